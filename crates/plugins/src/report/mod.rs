//! The error-budget burn of each service and team.
//!
//! Each daemon keeps the outcomes of its own requests, in memory and for a bounded time; the
//! command line sums them over the daemons. docs/operators/burn-report.md explains the report.

mod html;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::plugin::{Plugin, Registration};
use wasabiswitch_kernel::tables::ServiceStats;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::burn::{Alert, Counts, History, alert, burn_rate};
use wasabiswitch_policy::ids::{ServiceId, TeamId};

use crate::route::control;

/// Period that the outcome history covers.
const HISTORY_RETENTION: Duration = Duration::from_secs(6 * 60 * 60);
/// Fraction of requests that must be good.
pub const OBJECTIVE: f64 = 0.999;
/// Windows of the report, short, middle and long, with their names.
pub const WINDOWS: [(&str, Duration); 3] = [
    ("5m", Duration::from_secs(5 * 60)),
    ("1h", Duration::from_secs(60 * 60)),
    ("6h", Duration::from_secs(6 * 60 * 60)),
];

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![
            control(Method::GET, "/v1/report/burn", Access::Operator, burn),
            control(Method::GET, "/v1/report/burn.html", Access::Operator, burn_html),
        ],
        ..Plugin::new("report", &["limits"])
    }
}

inventory::submit! { Registration(plugin) }

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Verdict that the caller received.
    pub verdict: Verdict,
    /// Whether the request counts as good for the objective.
    pub good: bool,
    /// Time at which the request arrived.
    pub started_at: Instant,
}

/// Records the outcome of one request in the burn history and the request metrics.
pub fn record_outcome(kernel: &Kernel, team: &TeamId, service: &ServiceId, outcome: Outcome) {
    let now = kernel.clock.now();
    let seconds = now.saturating_duration_since(outcome.started_at).as_secs_f64();
    let mut teams = kernel.tables.teams.lock();
    let Some(team) = teams.table.by_id_mut(team) else { return };
    if !team.stats.contains_key(service) {
        team.stats.insert(service.clone(), new_service_stats(service, now));
    }
    let Some(stats) = team.stats.get_mut(service) else { return };
    stats.history.record(outcome.good, now);
    stats.requests[outcome.verdict as usize].increment(1);
    stats.seconds.record(seconds);
}

/// Creates the history and metric handles of a service. The handles are cached, since every request
/// records them.
fn new_service_stats(service: &ServiceId, now: Instant) -> ServiceStats {
    let name = service.to_string();
    let requests = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran].map(|verdict| {
        let verdict = verdict.as_str();
        metrics::counter!(metric::REQUESTS, "service" => name.clone(), "verdict" => verdict)
    });
    ServiceStats {
        history: History::new(now, HISTORY_RETENTION),
        requests,
        seconds: metrics::histogram!(metric::REQUEST_SECONDS, "service" => name),
    }
}

/// The error-budget burn of one service for one team.
pub(crate) struct BurnLine {
    team: TeamId,
    service: ServiceId,
    // In the order of `WINDOWS`.
    windows: [Counts; 3],
    // Oldest first.
    buckets: Vec<Counts>,
}

impl BurnLine {
    fn rates(&self) -> [f64; 3] {
        self.windows.map(|counts| burn_rate(counts, OBJECTIVE))
    }

    fn alert(&self) -> Alert {
        let [short, middle, long] = self.rates();
        alert(short, middle, long)
    }

    /// Returns the fraction of the error budget that is left in the long window.
    fn budget_left(&self) -> f64 {
        (1.0 - self.rates()[2]).max(0.0)
    }
}

fn alert_name(alert: Alert) -> &'static str {
    match alert {
        Alert::None => "none",
        Alert::Slow => "slow",
        Alert::Fast => "fast",
    }
}

fn burn_lines(kernel: &Kernel) -> Vec<BurnLine> {
    let now = kernel.clock.now();
    let teams = kernel.tables.teams.lock();
    let mut lines: BTreeMap<(TeamId, ServiceId), BurnLine> = BTreeMap::new();
    for (team, entry) in teams.table.iter() {
        for (service, stats) in &entry.stats {
            let line = BurnLine {
                team: team.clone(),
                service: service.clone(),
                windows: WINDOWS.map(|(_, window)| stats.history.sum(window, now)),
                buckets: stats.history.buckets().copied().collect(),
            };
            lines.insert((team.clone(), service.clone()), line);
        }
    }
    lines.into_values().collect()
}

async fn burn(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let lines: Vec<Value> = burn_lines(&kernel).iter().map(line_json).collect();
    Ok(ControlReply::json(&json!({
        "daemon": kernel.settings.daemon,
        "objective": OBJECTIVE,
        "lines": lines,
    })))
}

fn line_json(line: &BurnLine) -> Value {
    let windows: Vec<Value> = WINDOWS
        .iter()
        .zip(line.windows.iter().zip(line.rates()))
        .map(|((name, _), (counts, rate))| {
            json!({ "window": name, "total": counts.total, "bad": counts.bad, "burn": rate })
        })
        .collect();
    json!({
        "team": line.team,
        "service": line.service,
        "windows": windows,
        "alert": alert_name(line.alert()),
        "budget_left": line.budget_left(),
    })
}

async fn burn_html(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let page = html::render_page(&kernel.settings.daemon, &burn_lines(&kernel));
    Ok(ControlReply { content_type: "text/html; charset=utf-8", ..ControlReply::text(page) })
}
