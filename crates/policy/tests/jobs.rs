//! Job state machine and placement, checked against a count of attempts and a naive scheduler.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabiswitch_policy::ids::{InstanceId, TeamId};
use wasabiswitch_policy::jobs::{
    Claim, Event, JobRow, JobSpec, JobState, Outcome, Resources, apply, submit,
};
use wasabiswitch_policy::placement::{
    Placement, QueuedJob, TeamUsage, Worker, WorkerHistory, infeasible_reason, place,
    should_quarantine,
};

fn spec(at_most_once: bool) -> JobSpec {
    JobSpec {
        team: "t".into(),
        key: None,
        queue: "q".into(),
        kind: "k".into(),
        resources: Resources { cpu_milli: 1_000, ..Resources::default() },
        run_time_ms: 1,
        deadline_ms: 0,
        at_most_once,
        payload: Vec::new(),
    }
}

fn claim(worker: u8) -> Event {
    Event::Claim(Claim { daemon: "d".into(), epoch: 1, instance: format!("w{worker}").into() })
}

/// Generates any event, for the current attempt or another one.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_u8..4).prop_map(claim),
        (0_u32..5).prop_map(Event::Started),
        (0_u32..5).prop_map(Event::Done),
        (0_u32..5).prop_map(Event::Failed),
        (0_u32..5).prop_map(Event::NotStarted),
        (0_u32..5).prop_map(Event::Lost),
        Just(Event::Cancel),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(16), failure_persistence: None, cases: 3_000, ..ProptestConfig::default() })]

    #[test]
    fn at_most_once_job_has_no_duplicate_start(
        events in prop::collection::vec(event(), 0..60),
    ) {
        let mut row = submit(spec(true));
        // Number of attempts that a worker may have started.
        let mut possibly_started = 0;
        for event in events {
            let Some(next) = apply(&row, &event) else { continue };
            match event {
                Event::Claim(_) => possibly_started += 1,
                Event::NotStarted(_) => possibly_started -= 1,
                _ => {}
            }
            prop_assert!(possibly_started <= 1, "duplicate start after an attempt in doubt");
            row = next;
        }
    }

    #[test]
    fn ended_jobs_and_stale_attempts_ignore_events(
        events in prop::collection::vec(event(), 0..60), at_most_once: bool,
    ) {
        let mut row = submit(spec(at_most_once));
        for event in events {
            let before = row.clone();
            let next = apply(&row, &event);
            if matches!(before.state, JobState::Ended(_)) {
                prop_assert!(next.is_none());
            }
            let attempt = match event {
                Event::Started(n) | Event::Done(n) | Event::Failed(n) | Event::NotStarted(n) | Event::Lost(n) => Some(n),
                _ => None,
            };
            if attempt.is_some_and(|attempt| attempt != before.attempt) {
                prop_assert!(next.is_none());
            }
            row = next.unwrap_or(row);
            prop_assert!(row.attempt >= before.attempt);
        }
    }

    #[test]
    fn placement_fits_and_is_work_conserving(
        jobs in prop::collection::vec((0_u8..3, 1_u64..5, 0_u32..2, -50_i64..50), 0..20),
        workers in prop::collection::vec((1_u64..6, 0_u32..3, any::<bool>()), 0..6),
        limit in 0_u32..8,
    ) {
        let waiting: Vec<QueuedJob> = jobs
            .iter()
            .enumerate()
            .map(|(index, (team, cores, accelerators, slack_ms))| QueuedJob {
                job: format!("j{index}").into(),
                team: format!("t{team}").into(),
                resources: Resources { cpu_milli: cores * 1_000, memory_bytes: 0, accelerators: *accelerators },
                due_ms: *slack_ms,
                slack_ms: *slack_ms,
                order: index as u64,
                failed_on: Vec::new(),
            })
            .collect();
        let workers: Vec<Worker> = workers
            .iter()
            .enumerate()
            .map(|(index, (cores, accelerators, usable))| {
                let total = Resources { cpu_milli: cores * 1_000, memory_bytes: 0, accelerators: *accelerators };
                Worker { instance: format!("w{index}").into(), total, free: total, usable: *usable }
            })
            .collect();
        let teams: BTreeMap<TeamId, TeamUsage> = (0..3)
            .map(|team| (TeamId::from(format!("t{team}")), TeamUsage { weight: team + 1, running: 0, limit }))
            .collect();
        let placed = place(&waiting, &workers, &teams, usize::MAX);
        check_placed(&waiting, &workers, &placed, limit)?;
    }
}

/// Checks that the placements fit on the workers and that no job left over would still fit.
fn check_placed(
    waiting: &[QueuedJob],
    workers: &[Worker],
    placed: &[Placement],
    limit: u32,
) -> Result<(), TestCaseError> {
    let mut free: BTreeMap<&InstanceId, Resources> =
        workers.iter().filter(|w| w.usable).map(|w| (&w.instance, w.free)).collect();
    let mut running: BTreeMap<&TeamId, u32> = BTreeMap::new();
    for placement in placed {
        let job = waiting.iter().find(|job| job.job == placement.job).expect("a known job");
        let available = free.get_mut(&placement.instance).expect("a usable worker");
        prop_assert!(job.resources.fits(available), "{placement:?} does not fit");
        *available = available.saturating_sub(&job.resources);
        *running.entry(&job.team).or_default() += 1;
    }
    prop_assert!(running.values().all(|count| *count <= limit));
    for job in waiting.iter().filter(|job| placed.iter().all(|p| p.job != job.job)) {
        let below = running.get(&job.team).copied().unwrap_or(0) < limit;
        let fits = free.values().any(|available| job.resources.fits(available));
        prop_assert!(!(below && fits), "{:?} was not placed although it fits", job.job);
    }
    Ok(())
}

#[test]
fn job_state_transitions() {
    let claimed = |row: &JobRow| apply(row, &claim(1)).expect("it is queued");
    // Events after the first claim, the final state, and whether the job may run at most once.
    let cases: [(&[Event], JobState, bool); 6] = [
        (&[Event::Done(1)], JobState::Ended(Outcome::Done), false),
        (&[Event::Failed(1)], JobState::Queued, false),
        (&[Event::Failed(1)], JobState::Ended(Outcome::Failed), true),
        (&[Event::Lost(1)], JobState::Queued, false),
        (&[Event::Lost(1)], JobState::Ended(Outcome::InDoubt), true),
        (&[Event::Cancel, Event::Lost(1)], JobState::Ended(Outcome::Cancelled), false),
    ];
    for (events, state, at_most_once) in cases {
        let first = claimed(&submit(spec(at_most_once)));
        let last = events.iter().try_fold(first, |row, event| apply(&row, event));
        assert_eq!(last.expect("each event fits").state, state, "{events:?}");
    }
}

#[test]
fn job_fails_after_failing_on_the_maximum_number_of_workers() {
    let mut row = submit(spec(false));
    for worker in 0..3 {
        row = apply(&row, &claim(worker)).expect("it is queued");
        row = apply(&row, &Event::Failed(row.attempt)).expect("it runs");
    }
    assert_eq!(row.state, JobState::Ended(Outcome::Failed));
}

#[test]
fn job_is_infeasible_only_if_no_worker_is_large_enough() {
    let total = Resources { cpu_milli: 4_000, memory_bytes: 8, accelerators: 0 };
    let worker = Worker { instance: "w".into(), total, free: Resources::default(), usable: false };
    let workers = [worker];
    assert!(infeasible_reason(&total, &workers).is_none(), "a busy worker may be free later");
    let more = Resources { accelerators: 1, ..total };
    assert!(infeasible_reason(&more, &workers).is_some());
    assert!(infeasible_reason(&more, &[]).is_none(), "an empty pool may be filled");
}

#[test]
fn worker_is_quarantined_only_if_its_peers_succeed() {
    let record = |failed, done| WorkerHistory { failed, done };
    let cases = [
        (record(3, 0), record(0, 5), true),
        (record(2, 0), record(0, 5), false),
        (record(3, 0), record(5, 1), false),
        (record(3, 0), record(0, 0), false),
        (record(9, 1), record(0, 5), false),
    ];
    for (own, peers, quarantined) in cases {
        assert_eq!(should_quarantine(own, peers), quarantined, "{own:?} among {peers:?}");
    }
}
