//! Tests of instance states, availability budgets and maintenance waves; random histories check every invariant
//! after every step.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use wasabiswitch_policy::ids::{FailureDomain, InstanceId};
use wasabiswitch_policy::instance::{
    Cause, DenialReason, Event, FeedDelta, FeedRow, InstanceRow, InstanceState, PoolRow, PoolView,
    Reason, TransitionError, apply, mark_available, mark_failed, plan_outage,
};
use wasabiswitch_policy::waves::{
    MaintenanceStatus, WaveRow, WaveState, WaveStep, next_step, start,
};

fn id(index: usize) -> InstanceId {
    format!("i{index:02}").into()
}

fn view(instances: usize, rack: usize, unavailable_max: u32) -> PoolView {
    let domains = (0..instances).map(|i| (id(i), FailureDomain::from(format!("r{}", i / rack))));
    PoolView { unavailable_max, domains: domains.collect() }
}

fn serving() -> InstanceRow {
    InstanceRow { pool: "p".into(), state: InstanceState::Serving }
}

#[test]
fn move_changes_the_pool_in_one_write_after_the_drain() {
    let to = Reason::Move("q".into());
    let leaving =
        apply(&serving(), &Event::Drain(to.clone())).expect("a serving instance can be drained");
    assert_eq!(&*leaving.pool, "p");
    let joining = apply(&leaving, &Event::Drained(7)).expect("a draining instance can finish");
    assert_eq!(joining, InstanceRow { pool: "q".into(), state: InstanceState::Joining(to) });
    assert_eq!(
        apply(&joining, &Event::Verified).expect("a joining instance can serve").state,
        InstanceState::Serving
    );
}

#[test]
fn instance_is_out_of_service_for_one_reason_at_a_time() {
    let wave = Reason::Wave("w".into());
    let leaving =
        apply(&serving(), &Event::Drain(wave.clone())).expect("a serving instance can be drained");
    assert_eq!(apply(&leaving, &Event::Drain(wave.clone())), Ok(leaving.clone()));
    let other = apply(&leaving, &Event::Drain(Reason::Operator));
    assert_eq!(other, Err(TransitionError::OtherReason(wave)));
}

#[test]
fn instance_returns_from_a_wave_only_with_a_new_boot_id() {
    let leaving = apply(&serving(), &Event::Drain(Reason::Wave("w".into())))
        .expect("a serving instance can be drained");
    let down = apply(&leaving, &Event::Drained(7)).expect("a draining instance can finish");
    assert_eq!(apply(&down, &Event::BootObserved(7)), Err(TransitionError::State));
    assert_eq!(apply(&down, &Event::Verified), Err(TransitionError::State));
    assert!(apply(&down, &Event::BootObserved(8)).is_ok());
}

#[test]
fn budget_reserves_the_instances_of_one_rack() {
    // Ten instances in racks of two, of which four may be unavailable.
    let view = view(10, 2, 4);
    let one = plan_outage(&PoolRow::default(), &view, "i00")
        .expect("one instance and a reserve of one rack fit");
    let two = plan_outage(&one, &view, "i01")
        .expect("two instances of a rack and a reserve of one rack fit");
    assert_eq!(plan_outage(&two, &view, "i01"), Ok(two.clone()), "the instance is down already");
    assert!(matches!(plan_outage(&one, &view, "i02"), Err(DenialReason::OtherDomain(_))));
    let failed = mark_failed(&PoolRow::default(), &id(5));
    assert!(
        plan_outage(&failed, &view, "i00").is_ok(),
        "one failed, one planned, and a reserve of one rack fit"
    );
    let failed = mark_failed(&failed, &id(7));
    let denied = DenialReason::Budget { unavailable: 3, reserve: 2, unavailable_max: 4 };
    assert_eq!(
        plan_outage(&failed, &view, "i00"),
        Err(denied),
        "failures count against the budget"
    );
    assert!(matches!(plan_outage(&PoolRow::default(), &view, "x"), Err(DenialReason::NotInPool)));
}

#[test]
fn feed_lists_recent_changes_or_requires_a_full_read() {
    let mut feed = FeedRow::default();
    for index in 0..100 {
        feed = feed.with_change(&id(index));
    }
    assert_eq!(feed.changes_since(100), FeedDelta::Changed(Vec::new()));
    assert_eq!(feed.changes_since(98), FeedDelta::Changed(vec![id(98), id(99)]));
    assert_eq!(feed.changes_since(1), FeedDelta::All);
}

/// Step of a random history of a pool; the numbers identify instances or racks.
#[derive(Clone, Copy, Debug)]
enum Step {
    Controller,
    Return(usize),
    Fail(usize),
    Repair(usize),
    FailRack(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Controller),
        4 => (0_usize..12).prop_map(Step::Return),
        1 => (0_usize..12).prop_map(Step::Fail),
        2 => (0_usize..12).prop_map(Step::Repair),
        1 => (0_usize..4).prop_map(Step::FailRack),
    ]
}

/// State of a pool and its wave, with the number of times that each instance was maintained.
struct History {
    view: PoolView,
    pool_row: PoolRow,
    wave: WaveRow,
    maintained: BTreeMap<InstanceId, u32>,
    in_maintenance: BTreeSet<InstanceId>,
}

impl History {
    fn new() -> History {
        let view = view(12, 3, 5);
        let members =
            view.domains.iter().map(|(id, domain)| (id.clone(), (domain.clone(), 0))).collect();
        History {
            wave: start("p".into(), &members),
            view,
            pool_row: PoolRow::default(),
            maintained: BTreeMap::new(),
            in_maintenance: BTreeSet::new(),
        }
    }

    /// Runs one step of a controller that keeps no state between steps, as if it crashed after each.
    fn step_controller(&mut self) {
        let status = |id: &InstanceId| {
            if self.in_maintenance.contains(id) {
                MaintenanceStatus::InProgress
            } else {
                MaintenanceStatus::Serving
            }
        };
        let may_drain = |id: &InstanceId| {
            !self.pool_row.unavailable.contains_key(id)
                && plan_outage(&self.pool_row, &self.view, id).is_ok()
        };
        match next_step(&self.wave, status, may_drain) {
            WaveStep::Advance(next) => self.wave = next,
            WaveStep::Drain(id, next) => {
                self.pool_row = plan_outage(&self.pool_row, &self.view, &id)
                    .expect("the budget allowed the instance to go down");
                *self.maintained.entry(id.clone()).or_default() += 1;
                self.in_maintenance.insert(id);
                self.wave = next;
            }
            WaveStep::Wait => {}
        }
    }

    fn finish_maintenance(&mut self, id: &InstanceId) {
        if self.in_maintenance.remove(id) {
            self.pool_row = mark_available(&self.pool_row, id);
        }
    }

    fn repair(&mut self, id: &InstanceId) {
        if self.pool_row.unavailable.get(id) == Some(&Cause::Failure) {
            self.pool_row = mark_available(&self.pool_row, id);
        }
    }

    fn unavailable(&self) -> usize {
        self.pool_row.unavailable.len()
    }

    fn planned_domains(&self) -> BTreeSet<&FailureDomain> {
        let planned =
            self.pool_row.unavailable.iter().filter(|(_, cause)| **cause == Cause::Planned);
        planned.map(|(id, _)| &self.view.domains[id]).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(15), failure_persistence: None, cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn wave_keeps_the_budget_and_maintains_each_instance_once(
        steps in prop::collection::vec(step(), 0..250)
    ) {
        let mut history = History::new();
        for step in steps {
            let before = history.unavailable();
            match step {
                Step::Controller => {
                    history.step_controller();
                    if history.unavailable() > before {
                        prop_assert!(history.unavailable() as u32 <= history.view.unavailable_max);
                    }
                }
                Step::Return(index) => history.finish_maintenance(&id(index)),
                Step::Repair(index) => history.repair(&id(index)),
                Step::Fail(index) => history.pool_row = mark_failed(&history.pool_row, &id(index)),
                Step::FailRack(rack) => {
                    let had_failures = history
                        .pool_row
                        .unavailable
                        .values()
                        .any(|cause| *cause == Cause::Failure);
                    for index in rack * 3..rack * 3 + 3 {
                        history.pool_row = mark_failed(&history.pool_row, &id(index));
                    }
                    // The budget has a reserve for one failed rack, which earlier failures may have used up.
                    if !had_failures {
                        prop_assert!(history.unavailable() as u32 <= history.view.unavailable_max);
                    }
                }
            }
            prop_assert!(history.planned_domains().len() <= 1, "one failure domain at a time");
            prop_assert!(history.maintained.values().all(|times| *times == 1), "each instance once");
            if history.wave.state == WaveState::Finished {
                prop_assert_eq!(history.wave.done.len(), 12, "no instance is skipped");
            }
        }
    }
}

#[test]
fn wave_starts_with_one_instance_and_doubles_its_batches() {
    let mut history = History::new();
    history.view = view(12, 12, 24);
    let mut batches = Vec::new();
    while history.wave.state == WaveState::Running {
        for _ in 0..40 {
            history.step_controller();
        }
        batches.push(history.in_maintenance.len());
        for id in history.in_maintenance.clone() {
            history.finish_maintenance(&id);
        }
    }
    assert_eq!(batches, [1, 2, 4, 5, 0]);
}

#[test]
fn wave_halts_with_a_reason_when_its_first_instance_is_lost() {
    let mut history = History::new();
    history.step_controller();
    let lost = history
        .in_maintenance
        .iter()
        .next()
        .cloned()
        .expect("the first instance is in maintenance");
    let status = |id: &InstanceId| {
        if *id == lost { MaintenanceStatus::Failed } else { MaintenanceStatus::Serving }
    };
    let WaveStep::Advance(next) = next_step(&history.wave, status, |_| true) else {
        panic!("the wave must record a lost instance")
    };
    let halted = WaveState::Halted("the first instance did not come back".to_owned());
    assert_eq!(next.state, halted);
    assert_eq!(next_step(&next, status, |_| true), WaveStep::Wait);
}
