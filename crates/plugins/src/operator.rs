//! Health, readiness, metrics, and lists for operators.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use http::Method;
use serde_json::json;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{NOT_FOUND, Problem};
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::{Kernel, metric};

use crate::membership::check_admission;
use crate::route::control;

/// Interval at which the metrics recorder aggregates histogram samples.
pub(crate) const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![
            control(Method::GET, "/healthz", Access::Open, health),
            control(Method::GET, "/readyz", Access::Open, ready),
            control(Method::GET, "/metrics", Access::Open, export_metrics),
            control(Method::GET, "/v1/teams", Access::Operator, list_teams),
            control(Method::GET, "/v1/daemons", Access::Operator, list_daemons),
        ],
        periodic_tasks: vec![PeriodicTask {
            name: "metrics upkeep",
            interval: |_| METRICS_UPKEEP_INTERVAL,
            wake: None,
            run: |_| async { metric::run_upkeep() }.boxed(),
        }],
        ..Plugin::new("operator", &["limits"])
    }
}

inventory::submit! { Registration(plugin) }

async fn health(_: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    Ok(ControlReply::text("ok\n"))
}

/// Answers the readiness check of a load balancer: whether this daemon accepts requests.
async fn ready(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    if !kernel.is_ready() {
        let detail = "the daemon is starting or stopping";
        return Err(Problem::not_run(wasabiswitch_kernel::http::problem::NO_UPSTREAM, detail));
    }
    check_admission(&kernel)?;
    Ok(ControlReply::text("ready\n"))
}

async fn export_metrics(_: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    Ok(ControlReply::text(metric::render()))
}

async fn list_teams(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let teams = kernel.tables.teams.lock();
    let mut lines: Vec<(String, serde_json::Value)> = teams
        .table
        .iter()
        .map(|(id, team)| {
            let line = json!({
                "team": id,
                "weight": team.weight,
                "limit_slots": team.limit_slots,
                "held_here": team.held_slots,
                "running_here": team.running,
                "waiting_here": team.waiting,
            });
            (id.to_string(), line)
        })
        .collect();
    lines.sort_by(|a, b| a.0.cmp(&b.0));
    let lines: Vec<serde_json::Value> = lines.into_iter().map(|(_, line)| line).collect();
    Ok(ControlReply::json(&json!({ "teams": lines })))
}

async fn list_daemons(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let generation = kernel.config().generation;
    let members = kernel.tables.members.lock();
    let mut lines: Vec<(String, serde_json::Value)> = members
        .table
        .iter()
        .map(|(id, member)| {
            let is_own = *id == members.own.daemon;
            let line = json!({
                "daemon": id,
                "epoch": member.row.epoch,
                "address": member.row.address,
                "data_centre": member.row.data_centre,
                "generation": if is_own { generation } else { member.generation },
                "roles": if is_own {
                    members.own.roles.iter().copied().collect()
                } else {
                    Vec::new()
                },
            });
            (id.to_string(), line)
        })
        .collect();
    lines.sort_by(|a, b| a.0.cmp(&b.0));
    let lines: Vec<serde_json::Value> = lines.into_iter().map(|(_, line)| line).collect();
    if lines.is_empty() {
        return Err(Problem::not_run(NOT_FOUND, "no session has been read yet"));
    }
    Ok(ControlReply::json(&json!({ "daemons": lines })))
}
