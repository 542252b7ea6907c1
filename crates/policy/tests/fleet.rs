//! Instances, budgets and waves: every invariant after every step of random histories.

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
fn a_move_changes_the_pool_in_one_step_and_only_after_the_drain() {
    let to = Reason::Move("q".into());
    let leaving = apply(&serving(), &Event::Drain(to.clone())).expect("it serves");
    assert_eq!(&*leaving.pool, "p");
    let joining = apply(&leaving, &Event::Drained(7)).expect("it leaves");
    assert_eq!(joining, InstanceRow { pool: "q".into(), state: InstanceState::Joining(to) });
    assert_eq!(apply(&joining, &Event::Verified).expect("it joins").state, InstanceState::Serving);
}

#[test]
fn an_instance_is_out_for_one_reason_at_a_time() {
    let wave = Reason::Wave("w".into());
    let leaving = apply(&serving(), &Event::Drain(wave.clone())).expect("it serves");
    assert_eq!(apply(&leaving, &Event::Drain(wave.clone())), Ok(leaving.clone()));
    let other = apply(&leaving, &Event::Drain(Reason::Operator));
    assert_eq!(other, Err(TransitionError::OtherReason(wave)));
}

#[test]
fn a_maintained_instance_comes_back_only_with_a_new_boot() {
    let leaving = apply(&serving(), &Event::Drain(Reason::Wave("w".into()))).expect("it serves");
    let down = apply(&leaving, &Event::Drained(7)).expect("it leaves");
    assert_eq!(apply(&down, &Event::BootObserved(7)), Err(TransitionError::State));
    assert_eq!(apply(&down, &Event::Verified), Err(TransitionError::State));
    assert!(apply(&down, &Event::BootObserved(8)).is_ok());
}

#[test]
fn a_rack_is_kept_in_hand() {
    // Ten instances, racks of two, and a budget of four.
    let view = view(10, 2, 4);
    let one = plan_outage(&PoolRow::default(), &view, "i00").expect("one and a rack fit");
    let two = plan_outage(&one, &view, "i01").expect("two of one rack and another rack fit");
    assert_eq!(plan_outage(&two, &view, "i01"), Ok(two.clone()), "it is down already");
    assert!(matches!(plan_outage(&one, &view, "i02"), Err(DenialReason::OtherDomain(_))));
    let failed = mark_failed(&PoolRow::default(), &id(5));
    assert!(plan_outage(&failed, &view, "i00").is_ok(), "one failed, one planned, and a rack");
    let failed = mark_failed(&failed, &id(7));
    let denied = DenialReason::Budget { unavailable: 3, reserve: 2, unavailable_max: 4 };
    assert_eq!(plan_outage(&failed, &view, "i00"), Err(denied), "failures are counted first");
    assert!(matches!(plan_outage(&PoolRow::default(), &view, "x"), Err(DenialReason::NotInPool)));
}

#[test]
fn a_feed_tells_what_has_changed_or_to_read_all() {
    let mut feed = FeedRow::default();
    for index in 0..100 {
        feed = feed.with_change(&id(index));
    }
    assert_eq!(feed.changes_since(100), FeedDelta::Changed(Vec::new()));
    assert_eq!(feed.changes_since(98), FeedDelta::Changed(vec![id(98), id(99)]));
    assert_eq!(feed.changes_since(1), FeedDelta::All);
}

/// What may happen to a pool in one step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wave,
    Return(usize),
    Fail(usize),
    Repair(usize),
    RackFails(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Wave),
        4 => (0_usize..12).prop_map(Step::Return),
        1 => (0_usize..12).prop_map(Step::Fail),
        2 => (0_usize..12).prop_map(Step::Repair),
        1 => (0_usize..4).prop_map(Step::RackFails),
    ]
}

/// A pool, its wave, and what was seen of them.
struct History {
    view: PoolView,
    books: PoolRow,
    wave: WaveRow,
    maintained: BTreeMap<InstanceId, u32>,
    underway: BTreeSet<InstanceId>,
}

impl History {
    fn new() -> History {
        let view = view(12, 3, 5);
        let members =
            view.domains.iter().map(|(id, domain)| (id.clone(), (domain.clone(), 0))).collect();
        History {
            wave: start("p".into(), &members),
            view,
            books: PoolRow::default(),
            maintained: BTreeMap::new(),
            underway: BTreeSet::new(),
        }
    }

    /// Lets a controller take one step, which dies afterwards with all that it knew.
    fn controller(&mut self) {
        let sight = |id: &InstanceId| {
            if self.underway.contains(id) {
                MaintenanceStatus::InProgress
            } else {
                MaintenanceStatus::Serving
            }
        };
        let may_drain = |id: &InstanceId| {
            !self.books.unavailable.contains_key(id)
                && plan_outage(&self.books, &self.view, id).is_ok()
        };
        match next_step(&self.wave, sight, may_drain) {
            WaveStep::Advance(next) => self.wave = next,
            WaveStep::Drain(id, next) => {
                self.books = plan_outage(&self.books, &self.view, &id).expect("it was allowed");
                *self.maintained.entry(id.clone()).or_default() += 1;
                self.underway.insert(id);
                self.wave = next;
            }
            WaveStep::Wait => {}
        }
    }

    fn come_back(&mut self, id: &InstanceId) {
        if self.underway.remove(id) {
            self.books = mark_available(&self.books, id);
        }
    }

    fn repair(&mut self, id: &InstanceId) {
        if self.books.unavailable.get(id) == Some(&Cause::Failure) {
            self.books = mark_available(&self.books, id);
        }
    }

    fn unavailable(&self) -> usize {
        self.books.unavailable.len()
    }

    fn planned(&self) -> BTreeSet<&FailureDomain> {
        let planned = self.books.unavailable.iter().filter(|(_, cause)| **cause == Cause::Planned);
        planned.map(|(id, _)| &self.view.domains[id]).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(15), failure_persistence: None, cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn a_wave_keeps_its_promises(steps in prop::collection::vec(step(), 0..250)) {
        let mut history = History::new();
        for step in steps {
            let before = history.unavailable();
            match step {
                Step::Wave => {
                    history.controller();
                    if history.unavailable() > before {
                        prop_assert!(history.unavailable() as u32 <= history.view.unavailable_max);
                    }
                }
                Step::Return(index) => history.come_back(&id(index)),
                Step::Repair(index) => history.repair(&id(index)),
                Step::Fail(index) => history.books = mark_failed(&history.books, &id(index)),
                Step::RackFails(rack) => {
                    let had_failures = history
                        .books
                        .unavailable
                        .values()
                        .any(|cause| *cause == Cause::Failure);
                    for index in rack * 3..rack * 3 + 3 {
                        history.books = mark_failed(&history.books, &id(index));
                    }
                    // One whole rack at a time is what the budget has in hand.
                    if !had_failures {
                        prop_assert!(history.unavailable() as u32 <= history.view.unavailable_max);
                    }
                }
            }
            prop_assert!(history.planned().len() <= 1, "one failure domain at a time");
            prop_assert!(history.maintained.values().all(|times| *times == 1), "none twice");
            if history.wave.state == WaveState::Finished {
                prop_assert_eq!(history.wave.done.len(), 12, "none is skipped");
            }
        }
    }
}

#[test]
fn a_wave_begins_with_one_and_doubles() {
    let mut history = History::new();
    history.view = view(12, 12, 24);
    let mut batches = Vec::new();
    while history.wave.state == WaveState::Running {
        for _ in 0..40 {
            history.controller();
        }
        batches.push(history.underway.len());
        for id in history.underway.clone() {
            history.come_back(&id);
        }
    }
    assert_eq!(batches, [1, 2, 4, 5, 0]);
}

#[test]
fn a_wave_halts_and_says_why() {
    let mut history = History::new();
    history.controller();
    let lost = history.underway.iter().next().cloned().expect("the first is out");
    let sight = |id: &InstanceId| {
        if *id == lost { MaintenanceStatus::Failed } else { MaintenanceStatus::Serving }
    };
    let WaveStep::Advance(next) = next_step(&history.wave, sight, |_| true) else {
        panic!("a lost instance is booked")
    };
    let halted = WaveState::Halted("the first instance did not come back".to_owned());
    assert_eq!(next.state, halted);
    assert_eq!(next_step(&next, sight, |_| true), WaveStep::Wait);
}
