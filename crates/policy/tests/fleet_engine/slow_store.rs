//! A store that is slow: more progress waits than one write takes.
//!
//! Who waits is the caller of a job that has ended, since its end is shown once it is written. The naive
//! order beside it is that of the jobs' acceptance.

use std::time::Duration;

use wasabiswitch_policy::fleet::admission::{ACCEPTS_PER_WRITE, is_persisted_in_time};
use wasabiswitch_policy::fleet::state::Phase;

use crate::world::{Faults, World, step, submission};

/// The rows of progress that one write takes here.
const ROWS: usize = 10;

/// A fleet in which forty early jobs have made progress and the ten last have ended.
fn many_jobs() -> World {
    let mut world = World::new(60, 0, Faults::default(), 1);
    for number in 0..40 {
        let steps = vec![step(1, 100), step(1, 60_000)];
        world.submit(submission(&format!("long-{number:02}"), steps));
    }
    for number in 0..ROWS {
        world.submit(submission(&format!("short-{number:02}"), vec![step(1, 100)]));
    }
    world.run_without_writes(Duration::from_secs(1));
    world
}

#[test]
fn jobs_that_have_ended_are_written_down_before_those_that_go_on() {
    let mut world = many_jobs();
    let naive = world.engine.clone().jobs.keys().take(ROWS).collect::<Vec<_>>();
    let ended = |key| world.engine.jobs[key].phase == Phase::Done;
    assert_eq!(naive.into_iter().filter(|key| ended(*key)).count(), 0);
    let changes = world.engine.take_changes(ROWS);
    assert_eq!(changes.jobs.len(), ROWS);
    assert!(changes.jobs.iter().all(|(_, _, row)| row.phase == Phase::Done));
    assert_eq!(changes.ends, Vec::new(), "ends are acknowledged after all of them are written");
    assert!(world.engine.has_changes());
}

#[test]
fn no_more_jobs_are_forgotten_than_a_write_can_remove() {
    let mut world = many_jobs();
    world.write_progress();
    let later = world.now + world.engine.limits.status_retention + Duration::from_secs(1);
    let first = world.engine.forget_ended(later, 4);
    let rest = world.engine.forget_ended(later, usize::MAX);
    assert_eq!((first.len(), rest.len()), (4, ROWS - 4));
}

#[test]
fn what_a_successor_reads_grows_with_the_jobs_that_live_and_not_with_those_that_have_ended() {
    let mut world = World::new(4, 0, Faults::default(), 5);
    for number in 0..50 {
        world.submit(submission(&format!("short-{number}"), vec![step(1, 50)]));
        world.run(Duration::from_millis(100));
    }
    world.submit(submission("long", vec![step(1, 60_000)]));
    world.run(Duration::from_secs(1));
    assert_eq!(world.job_rows(), 1);
    let before = world.engine.jobs.len();
    world.take_over();
    assert_eq!(world.engine.jobs.len(), before, "each job is still known");
    let shown = |world: &World, id: &str| {
        world.engine.jobs[world.engine.job_key(id).expect("it is known")].visible_phase
    };
    assert_eq!(shown(&world, "short-7"), Phase::Done);
    assert_eq!(shown(&world, "long"), Phase::Running);
    assert!(world.engine.cancel("short-7", world.now));
    assert_eq!(shown(&world, "short-7"), Phase::Done, "what has ended stays so");
}

#[test]
fn a_cancelled_job_is_kept_until_nothing_of_it_runs() {
    let mut world = World::new(4, 0, Faults::default(), 5);
    world.submit(submission("a", vec![step(3, 60_000)]));
    world.run(Duration::from_secs(1));
    assert!(world.engine.cancel("a", world.now));
    let changes = world.engine.take_changes(usize::MAX);
    world.engine.changes_written(&changes);
    assert_eq!(world.engine.take_retired(usize::MAX), Vec::new());
    world.run(Duration::from_secs(1));
    assert_eq!(world.job_rows(), 0);
    assert!(world.workers.values().all(|worker| worker.runs.is_empty()));
}

#[test]
fn a_submission_is_refused_at_once_when_the_writes_before_it_take_too_long() {
    let ms = Duration::from_millis;
    // A hundred submissions a second, for which a slow store takes four writes in three seconds.
    let cases = [
        (0, ms(8), true),
        (10 * ACCEPTS_PER_WRITE, ms(8), true),
        (0, ms(800), true),
        (ACCEPTS_PER_WRITE - 1, ms(800), true),
        (ACCEPTS_PER_WRITE, ms(800), false),
    ];
    for (waiting, write, in_time) in cases {
        assert_eq!(is_persisted_in_time(waiting, write), in_time, "{waiting} behind {write:?}");
    }
}
