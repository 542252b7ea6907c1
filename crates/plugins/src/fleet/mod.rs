//! The job engine on the users' platform: any daemon answers callers, one owns the fleet.
//!
//! | module | what it does |
//! |---|---|
//! | [`configuration`] | follows the operator's configuration and waves |
//! | [`queue_calls`] | answers callers, or passes their calls on to the owner |
//! | `owner_calls` | asks the owner and other daemons |
//! | [`ownership`] | watches the owner, takes the fleet over, hands it over |
//! | [`takeover`] | rebuilds the engine from the rows and from the workers |
//! | [`term`] | runs the loops of the owner and joins them |
//! | [`writer`] | writes jobs and progress down, and renews the owner's lease with each write |
//! | [`workers`] | asks each worker for its report, and carries out orders |
//! | [`directory`] | follows the workers' directory |
//! | [`instances`] | carries out waves and moves |
//! | [`status`] | tells other daemons what this one is |
//! | [`view`] | shows operators the fleet and its jobs, whichever daemon they ask |
//!
//! The decisions are in `wasabiswitch_policy::fleet`. See docs/PLATFORM.md.

pub mod configuration;
pub mod directory;
pub mod instances;
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

/// Returns the users' platform.
///
/// # Panics
///
/// If the daemon does not run on it; the plug-ins here are started only if it does.
pub(crate) fn port(kernel: &Kernel) -> &FleetPort {
    kernel.fleet_port().expect("fleet plug-ins are started only on the users' platform")
}

/// Reports whether this daemon owns the fleet and may act for it now.
pub(crate) fn is_acting(kernel: &Kernel) -> bool {
    let now = kernel.clock.now();
    let term = kernel.tables.term.lock();
    term.as_ref().is_some_and(|term| !term.superseded && may_act(term.confirmed_sent, now))
}

/// Writes a line for each thing that happened to a job.
pub(crate) fn log_notes(notes: &[JobEvent]) {
    for note in notes {
        metrics::counter!(metric::RUN_EVENTS, "event" => note.kind).increment(1);
        log::info!("{} job={} {}", note.kind, note.job, note.detail);
    }
}
