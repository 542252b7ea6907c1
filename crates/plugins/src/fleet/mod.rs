//! The job engine on the users' platform: every daemon answers callers, and one daemon owns the fleet.
//!
//! | module | what it does |
//! |---|---|
//! | [`configuration`] | applies the operator's configuration and waves |
//! | `evacuation` | applies the evacuations of data centres, and reports their progress |
//! | [`queue_calls`] | answers calls to queues, or forwards them to the owner |
//! | `owner_calls` | sends requests about the ownership to the owner and other daemons |
//! | [`ownership`] | probes the owner, takes the fleet over, hands it over |
//! | [`takeover`] | rebuilds the engine from the store and the workers |
//! | [`term`] | runs the owner's loops and joins them at the end of the term |
//! | [`writer`] | persists jobs and progress, and renews the owner's lease with each write |
//! | [`workers`] | requests reports from each worker and applies them |
//! | `orders` | sends orders to workers and applies the answers |
//! | `advice` | sends calls to the advice service |
//! | [`directory`] | applies changes of the workers' directory |
//! | [`instances`] | runs maintenance waves and moves instances |
//! | [`status`] | serves this daemon's status to other daemons |
//! | [`view`] | shows operators the fleet and its jobs, through any daemon |
//!
//! The decisions are in `wasabiswitch_policy::fleet`. See docs/PLATFORM.md.

mod advice;
pub mod configuration;
pub mod directory;
mod evacuation;
pub mod instances;
mod orders;
mod owner_calls;
pub mod ownership;
pub mod queue_calls;
pub mod status;
pub mod takeover;
pub mod term;
pub mod view;
pub mod workers;
pub mod writer;

use wasabiswitch_kernel::platform::fleet::FleetPort;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::ownership::may_act;
use wasabiswitch_policy::fleet::reports::JobEvent;

/// Returns the port of the users' platform.
///
/// # Panics
///
/// Panics if the daemon runs on another platform, where the plug-ins of this module are not started.
pub(crate) fn port(kernel: &Kernel) -> &FleetPort {
    kernel.fleet_port().expect("fleet plug-ins are started only on the users' platform")
}

/// Returns whether this daemon owns the fleet and its lease allows it to act now.
pub(crate) fn is_acting(kernel: &Kernel) -> bool {
    let now = kernel.clock.now();
    let term = kernel.tables.term.lock();
    term.as_ref().is_some_and(|term| !term.superseded && may_act(term.confirmed_sent, now))
}

/// Logs and counts each job event.
pub(crate) fn log_job_events(events: &[JobEvent]) {
    for event in events {
        metrics::counter!(metric::RUN_EVENTS, "event" => event.kind).increment(1);
        log::info!("{} job={} {}", event.kind, event.job, event.detail);
    }
}
