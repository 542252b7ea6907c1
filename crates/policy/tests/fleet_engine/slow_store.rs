//! Slow store: more progress rows are waiting than one write can take.
//!
//! A caller sees the end of a job only after it has been written, so the ends of jobs are written first. The
//! baseline is the order in which jobs were accepted.

use std::collections::BTreeSet;
use std::time::Duration;

use wasabiswitch_policy::fleet::admission::{ACCEPTS_PER_WRITE_MAX, is_persisted_in_time};
use wasabiswitch_policy::fleet::progress::ProgressChanges;
use wasabiswitch_policy::fleet::state::{Phase, Worker};
use wasabiswitch_policy::ids::JobId;

use crate::simulation::{Faults, Simulation, step, submission};

/// Maximum number of progress rows in one write of these tests.
const ROWS_PER_WRITE_MAX: usize = 10;

/// Returns a fleet in which the first forty jobs have made progress and the last ten have ended.
fn fleet_with_unwritten_progress() -> Simulation {
    let mut sim = Simulation::new(60, 0, Faults::default(), 1);
    for number in 0..40 {
        let steps = vec![step(1, 100), step(1, 60_000)];
        sim.submit(submission(&format!("long-{number:02}"), steps));
    }
    for number in 0..ROWS_PER_WRITE_MAX {
        sim.submit(submission(&format!("short-{number:02}"), vec![step(1, 100)]));
    }
    sim.run_without_writes(Duration::from_secs(1));
    sim
}

#[test]
fn ended_jobs_are_written_before_unfinished_ones() {
    let mut sim = fleet_with_unwritten_progress();
    let by_acceptance = sim.engine.clone().jobs.keys().take(ROWS_PER_WRITE_MAX).collect::<Vec<_>>();
    let ended = |key| sim.engine.jobs[key].phase == Phase::Done;
    assert_eq!(by_acceptance.into_iter().filter(|key| ended(*key)).count(), 0);
    let changes = sim.engine.take_changes(ROWS_PER_WRITE_MAX);
    assert_eq!(changes.jobs.len(), ROWS_PER_WRITE_MAX);
    assert!(changes.jobs.iter().all(|(_, _, row)| row.phase == Phase::Done));
    assert!(sim.engine.has_changes());
}

/// Returns the jobs of the ends that a worker would forget if `changes` were confirmed.
fn acknowledged_jobs(sim: &Simulation, changes: &ProgressChanges) -> BTreeSet<JobId> {
    let acknowledged = changes.ends.iter().flat_map(|(key, incarnation, number)| {
        let worker = &sim.workers[&sim.engine.workers[*key].entry.id];
        assert_eq!(worker.entry.incarnation, *incarnation);
        worker.ends.iter().filter(|end| end.number <= *number).map(|end| end.task.job.clone())
    });
    acknowledged.collect()
}

#[test]
fn write_acknowledges_the_ends_of_its_jobs_and_no_others() {
    let mut sim = fleet_with_unwritten_progress();
    let mut written: BTreeSet<JobId> = BTreeSet::new();
    let mut writes = 0;
    while sim.engine.has_changes() {
        let changes = sim.engine.take_changes(ROWS_PER_WRITE_MAX);
        written.extend(changes.jobs.iter().map(|(_, job, _)| job.clone()));
        let acknowledged = acknowledged_jobs(&sim, &changes);
        assert!(acknowledged.is_subset(&written), "{acknowledged:?} are not all in {written:?}");
        assert!(!acknowledged.is_empty(), "a write must not wait for the progress of other jobs");
        sim.engine.confirm_changes(&changes);
        writes += 1;
    }
    assert_eq!(writes, 5);
    let persisted = |worker: &Worker| worker.last_end_persisted == worker.last_end_received;
    assert!(sim.engine.workers.values().all(persisted));
}

// A worker whose first end belongs to a job that is not in the write keeps its later ends too.
#[test]
fn ends_after_one_that_is_not_written_are_not_acknowledged() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("long", vec![step(1, 100), step(1, 60_000)]));
    sim.submit(submission("short", vec![step(1, 200)]));
    sim.run_without_writes(Duration::from_secs(1));
    let first = sim.engine.take_changes(1);
    assert_eq!(*first.jobs[0].1, *"short", "ended jobs come first");
    assert_eq!(first.ends, Vec::new());
    sim.engine.confirm_changes(&first);
    let second = sim.engine.take_changes(1);
    assert_eq!(acknowledged_jobs(&sim, &second).len(), 2);
}

#[test]
fn at_most_the_given_number_of_ended_jobs_is_removed_at_once() {
    let mut sim = fleet_with_unwritten_progress();
    sim.write_progress();
    let later = sim.now + sim.engine.limits.status_retention + Duration::from_secs(1);
    let first = sim.engine.remove_expired_jobs(later, 4);
    let remaining = sim.engine.remove_expired_jobs(later, usize::MAX);
    assert_eq!((first.len(), remaining.len()), (4, ROWS_PER_WRITE_MAX - 4));
}

#[test]
fn successor_reads_full_rows_only_of_unfinished_jobs() {
    let mut sim = Simulation::new(4, 0, Faults::default(), 5);
    for number in 0..50 {
        sim.submit(submission(&format!("short-{number}"), vec![step(1, 50)]));
        sim.run(Duration::from_millis(100));
    }
    sim.submit(submission("long", vec![step(1, 60_000)]));
    sim.run(Duration::from_secs(1));
    assert_eq!(sim.job_row_count(), 1);
    let before = sim.engine.jobs.len();
    sim.take_over();
    assert_eq!(sim.engine.jobs.len(), before, "the successor knows all jobs");
    let shown = |sim: &Simulation, id: &str| {
        sim.engine.jobs[sim.engine.job_key(id).expect("the engine has the job")].visible_phase
    };
    assert_eq!(shown(&sim, "short-7"), Phase::Done);
    assert_eq!(shown(&sim, "long"), Phase::Running);
    assert!(sim.engine.cancel("short-7", sim.now));
    assert_eq!(
        shown(&sim, "short-7"),
        Phase::Done,
        "cancelling an ended job does not change its phase"
    );
}

#[test]
fn cancelled_job_keeps_its_row_until_its_runs_have_ended() {
    let mut sim = Simulation::new(4, 0, Faults::default(), 5);
    sim.submit(submission("a", vec![step(3, 60_000)]));
    sim.run(Duration::from_secs(1));
    assert!(sim.engine.cancel("a", sim.now));
    let changes = sim.engine.take_changes(usize::MAX);
    sim.engine.confirm_changes(&changes);
    assert_eq!(sim.engine.retirable_jobs(usize::MAX), Vec::new());
    sim.run(Duration::from_secs(1));
    assert_eq!(sim.job_row_count(), 0);
    assert!(sim.workers.values().all(|worker| worker.runs.is_empty()));
}

#[test]
fn submission_is_refused_when_its_write_would_be_too_late() {
    let ms = Duration::from_millis;
    // At a hundred submissions a second, a slow store completes four writes in three seconds.
    let cases = [
        (0, ms(8), true),
        (10 * ACCEPTS_PER_WRITE_MAX, ms(8), true),
        (0, ms(800), true),
        (ACCEPTS_PER_WRITE_MAX - 1, ms(800), true),
        (ACCEPTS_PER_WRITE_MAX, ms(800), false),
    ];
    for (waiting, write_time, in_time) in cases {
        assert_eq!(
            is_persisted_in_time(waiting, write_time),
            in_time,
            "{waiting} waiting, {write_time:?}"
        );
    }
}
