//! Cancellations of jobs that have not been accepted.

use std::time::Duration;

use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_policy::fleet::withdrawals::WITHDRAWALS_MAX;
use wasabiswitch_policy::ids::JobId;

use crate::simulation::{Faults, Simulation, queue_settings, step, submission};

/// Number of rows that a write has room for.
const ROWS_MAX: usize = 100;

/// Creates a fleet without jobs in which the id `a` is withdrawn.
fn withdrawn() -> Simulation {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    assert!(sim.engine.withdraw(&"a".into(), sim.now));
    sim
}

/// Returns the phase of the job `a` that callers see.
fn visible_phase(sim: &Simulation) -> Phase {
    sim.engine.jobs[sim.engine.job_key("a").expect("the job was accepted")].visible_phase
}

// Guards against a cancellation that callers see before a successor would know it, or that they do not see at all.
#[test]
fn withdrawn_job_is_shown_as_cancelled_once_either_record_is_stored() {
    let mut sim = withdrawn();
    sim.submit(submission("a", vec![step(1, 50)]));
    assert_eq!(visible_phase(&sim), Phase::Queued, "a successor would not know the cancellation");
    let changes = sim.engine.take_withdrawals(ROWS_MAX, sim.now);
    assert_eq!(changes.added, ["a".into()]);
    sim.engine.confirm_withdrawals(&changes);
    assert!(sim.engine.is_withdrawal_stored("a"));
    sim.write_progress();
    assert_eq!(visible_phase(&sim), Phase::Cancelled);

    let mut sim = withdrawn();
    let changes = sim.engine.take_withdrawals(ROWS_MAX, sim.now);
    sim.engine.confirm_withdrawals(&changes);
    sim.submit(submission("a", vec![step(1, 50)]));
    assert_eq!(visible_phase(&sim), Phase::Cancelled);
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.starts, Vec::new());
}

// A job would run although it was cancelled: its owner ended after the write with its row and before the one with its cancellation.
#[test]
fn successor_cancels_an_accepted_job_that_was_withdrawn() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(1, 50)]));
    sim.take_over();
    sim.engine.restore_withdrawals([JobId::from("a")], sim.now);
    assert_eq!(visible_phase(&sim), Phase::Cancelled);
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.starts, Vec::new());
}

// Guards against rows that stay in the store for ever, and against those that are removed while a submission may still arrive.
#[test]
fn records_of_withdrawn_ids_are_removed_after_the_status_of_a_job_would_be() {
    let mut sim = withdrawn();
    let changes = sim.engine.take_withdrawals(ROWS_MAX, sim.now);
    sim.engine.confirm_withdrawals(&changes);
    let retention = sim.engine.limits.status_retention;
    let kept = sim.engine.take_withdrawals(ROWS_MAX, sim.now + retention);
    assert_eq!(kept.rows(), 0);
    let later = sim.now + retention + Duration::from_millis(1);
    let changes = sim.engine.take_withdrawals(ROWS_MAX, later);
    assert_eq!(changes.expired, ["a".into()]);
    sim.engine.confirm_withdrawals(&changes);
    assert!(!sim.engine.is_withdrawn("a"));
}

// Guards against callers that fill the owner's memory and the store by cancelling unknown jobs.
#[test]
fn withdrawn_ids_are_bounded() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    for number in 0..WITHDRAWALS_MAX {
        assert!(sim.engine.withdraw(&format!("{number}").as_str().into(), sim.now));
    }
    assert!(!sim.engine.withdraw(&"more".into(), sim.now));
    assert!(sim.engine.withdraw(&"0".into(), sim.now), "a repeated cancellation needs no room");
    let written = sim.engine.take_withdrawals(ROWS_MAX, sim.now).added.len();
    assert!(written <= ROWS_MAX / 2, "cancellations displace the progress of jobs");
    sim.engine.accept(submission("b", vec![step(1, 50)]), queue_settings(), sim.now, 0);
    assert!(sim.engine.job_key("b").is_some());
}
