//! Explains decisions from the decision journal.
//!
//! Each decision is recorded with its reason and the numbers it was based on. The journal of a
//! daemon is a bounded ring; the command line queries the daemons one by one.

use std::sync::Arc;

use http::Method;
use serde_json::{Value, json};
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{NOT_FOUND, Problem};
use wasabiswitch_kernel::plugin::{Plugin, Registration};
use wasabiswitch_kernel::tables::{Decision, Subject};

use crate::route::control;

/// Subjects that can be queried.
const SUBJECTS: [Subject; 6] = [
    Subject::Instance,
    Subject::Job,
    Subject::Team,
    Subject::Wave,
    Subject::Request,
    Subject::Daemon,
];

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![control(
            Method::GET,
            "/v1/explain/:subject/:id",
            Access::Operator,
            explain,
        )],
        ..Plugin::new("explain", &[])
    }
}

inventory::submit! { Registration(plugin) }

async fn explain(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let name = request.param("subject");
    let subject = SUBJECTS.into_iter().find(|subject| subject.as_str() == name);
    let unknown = || Problem::not_run(NOT_FOUND, format!("{name:?} cannot be explained"));
    let subject = subject.ok_or_else(unknown)?;
    let now = kernel.clock.now();
    let journal = kernel.tables.journal.lock();
    let decisions: Vec<Value> = journal
        .decisions_about(subject, request.param("id"))
        .into_iter()
        .map(|decision| decision_json(decision, now))
        .collect();
    let daemon = &kernel.settings.daemon;
    Ok(ControlReply::json(&json!({ "daemon": daemon, "decisions": decisions })))
}

fn decision_json(decision: &Decision, now: std::time::Instant) -> Value {
    let numbers: serde_json::Map<String, Value> = decision
        .numbers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).into()))
        .collect();
    json!({
        "sequence": decision.sequence,
        "age_s": now.saturating_duration_since(decision.at).as_secs(),
        "action": decision.action,
        "reason": decision.reason,
        "numbers": numbers,
    })
}
