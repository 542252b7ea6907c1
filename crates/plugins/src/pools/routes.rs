//! Control routes for listing pools and instances, and for draining, moving and returning instances.

use std::sync::Arc;

use serde_json::json;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::control::{ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{CONFLICT, INVALID, NOT_FOUND, Problem};
use wasabiswitch_kernel::tables::Subject;
use wasabiswitch_policy::instance::{Event, InstanceState, Reason};

use super::rows::{RowChange, change_instance, drain_within_budget};
use super::view::{current_row, pool_view};
use crate::route::store_problem;

pub(super) async fn list_pools(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let config = kernel.config();
    let pools: Vec<serde_json::Value> = config
        .config
        .pools
        .iter()
        .map(|(id, pool)| {
            let view = pool_view(&kernel, id);
            let instances = kernel.tables.instances.lock();
            let unavailable = instances.pools.get(id).map_or(0, |row| row.unavailable.len());
            json!({
                "pool": id,
                "instances": view.domains.len(),
                "unavailable": unavailable,
                "unavailable_max": pool.unavailable_max,
                "spare": pool.spare,
            })
        })
        .collect();
    Ok(ControlReply::json(&json!({ "pools": pools })))
}

pub(super) async fn list_instances(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let config = kernel.config();
    let instances: Vec<serde_json::Value> = config
        .config
        .instances
        .iter()
        .filter_map(|(id, configured)| {
            let row = current_row(&kernel, id)?;
            let upstreams = kernel.tables.upstreams.lock();
            let upstream = upstreams.table.by_id(id);
            Some(json!({
                "instance": id,
                "pool": row.pool,
                "state": state_name(&row.state),
                "failure_domain": configured.failure_domain,
                "data_centre": configured.data_centre,
                "boot": upstream.map_or(0, |upstream| upstream.boot),
                "accepts_work": upstream.is_some_and(|upstream| upstream.accepts_work()),
                "running_here": upstream.map_or(0, |upstream| upstream.outstanding),
            }))
        })
        .collect();
    Ok(ControlReply::json(&json!({ "instances": instances })))
}

fn state_name(state: &InstanceState) -> String {
    let describe = |reason: &Reason| match reason {
        Reason::Operator => "for an operator".to_owned(),
        Reason::Move(pool) => format!("to move to {pool}"),
        Reason::Wave(wave) => format!("for wave {wave}"),
    };
    match state {
        InstanceState::Serving => "serving".to_owned(),
        InstanceState::Leaving(reason) => format!("leaving {}", describe(reason)),
        InstanceState::Down(reason, _) => format!("down {}", describe(reason)),
        InstanceState::Joining(reason) => format!("joining {}", describe(reason)),
    }
}

pub(super) async fn drain(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    drain_instance(&kernel, &request, Reason::Operator, "drain").await
}

pub(super) async fn move_to(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let pool = request.query.get("pool").cloned().unwrap_or_default();
    if !kernel.config().config.pools.contains_key(pool.as_str()) {
        return Err(Problem::not_run(INVALID, format!("there is no pool named {pool:?}")));
    }
    let row = current_row(&kernel, request.param("id"));
    if row.is_some_and(|row| *row.pool == *pool) {
        return Err(Problem::not_run(INVALID, format!("it is in pool {pool:?} already")));
    }
    drain_instance(&kernel, &request, Reason::Move(pool.as_str().into()), "move").await
}

async fn drain_instance(
    kernel: &Kernel,
    request: &ControlRequest,
    reason: Reason,
    action: &'static str,
) -> ControlResult {
    let id = request.param("id").into();
    let outcome = drain_within_budget(kernel, &id, &reason, None)
        .await
        .map_err(|error| store_problem(&error))?;
    journal_and_reply(kernel, request, outcome, action)
}

pub(super) async fn serve(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let id = request.param("id").into();
    let outcome = change_instance(&kernel, &id, &Event::Cancel)
        .await
        .map_err(|error| store_problem(&error))?;
    journal_and_reply(&kernel, &request, outcome, "serve")
}

fn journal_and_reply(
    kernel: &Kernel,
    request: &ControlRequest,
    outcome: RowChange,
    action: &'static str,
) -> ControlResult {
    let id = request.param("id");
    let refused = |detail: String| Err(Problem::not_run(CONFLICT, detail));
    let (reason, reply) = match outcome {
        RowChange::Changed(row) => {
            let state = state_name(&row.state);
            let reply = json!({ "instance": id, "pool": row.pool, "state": state });
            (format!("operator {}", request.operator), Ok(ControlReply::json(&reply)))
        }
        RowChange::Unknown => {
            let detail = format!("there is no instance {id:?}");
            return Err(Problem::not_run(NOT_FOUND, detail));
        }
        RowChange::Misfit(error) => {
            let detail = format!("its state does not allow it: {error:?}");
            (detail.clone(), refused(detail))
        }
        RowChange::Denied(denied) => {
            let detail = format!("the pool's budget does not allow it: {denied:?}");
            (detail.clone(), refused(detail))
        }
    };
    let now = kernel.clock.now();
    let mut journal = kernel.tables.journal.lock();
    journal.record(now, Subject::Instance, id, action, reason, Vec::new());
    reply
}
