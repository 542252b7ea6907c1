//! Calls that take instances down for maintenance and get no answer, which may be carried out seconds later.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_policy::fleet::maintenance::{
    FleetOrder, FleetOutcome, Instance, InstanceState, MaintenanceStage, Wave,
};
use wasabiswitch_policy::ids::InstanceId;

use crate::simulation::{Faults, Simulation, instance};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Interval between two plans of a daemon.
const PLAN_INTERVAL: Duration = ms(100);
/// Time within which a call is carried out, as the platform states it.
const CALL_DELAY_MAX: Duration = ms(12_000);
/// Number of instances, each of which has a worker.
const INSTANCES: usize = 4;

/// A fleet with a wave over all instances, of which one may be down at once.
struct Fleet {
    sim: Simulation,
    instances: BTreeMap<InstanceId, Instance>,
}

impl Fleet {
    fn new() -> Fleet {
        let mut sim = Simulation::new(INSTANCES, 0, Faults::default(), 1);
        sim.run(ms(1_000));
        let listed = (0..INSTANCES).map(|number| {
            (format!("m{number}").as_str().into(), instance(&format!("w{number}"), "p"))
        });
        let instances: BTreeMap<InstanceId, Instance> = listed.collect();
        let wave = Wave::new(instances.keys().cloned().collect(), 1, sim.now + ms(60_000));
        sim.engine.waves.insert(1, wave);
        Fleet { sim, instances }
    }

    /// Runs until the last instance is called, which gets no answer, while the others, which go before it, are down.
    fn call_last_without_answer(&mut self) {
        let others = || (0..INSTANCES - 1).map(|number| format!("m{number}"));
        let set_state = |fleet: &mut Fleet, state| {
            for id in others() {
                fleet.instances.get_mut(id.as_str()).expect("the instance is listed").state = state;
            }
        };
        set_state(self, InstanceState::Down);
        while self.run(PLAN_INTERVAL, FleetOutcome::Unknown).is_empty() {}
        set_state(self, InstanceState::Up);
    }

    /// Runs for `time`, answers each call with `outcome`, and returns the called instances.
    fn run(&mut self, time: Duration, outcome: FleetOutcome) -> Vec<InstanceId> {
        let mut called = Vec::new();
        let until = self.sim.now + time;
        while self.sim.now < until {
            self.sim.run(PLAN_INTERVAL);
            let (now, engine) = (self.sim.now, &mut self.sim.engine);
            engine.apply_instance_list(self.instances.clone(), now, now, &mut Vec::new());
            for order in engine.plan_waves(now) {
                let FleetOrder::Maintain { instance, wave } = order else { continue };
                let row = engine.waves[&wave].calls_row();
                assert!(row.called.contains(&instance), "the call is not on record");
                assert!(engine.begin_maintenance_call(wave, &instance, now));
                assert!(!engine.begin_maintenance_call(wave, &instance, now), "sent twice");
                engine.apply_maintenance_outcome(wave, &instance, outcome, now);
                called.push(instance);
            }
        }
        called
    }
}

// More instances of a wave were down than it allows: a call without an answer lost its place after seconds, another instance went
// down, and then the call was carried out.
#[test]
fn call_without_an_answer_keeps_its_place_while_it_may_be_carried_out() {
    let mut fleet = Fleet::new();
    fleet.call_last_without_answer();
    let called = fleet.run(CALL_DELAY_MAX, FleetOutcome::Unknown);
    assert!(!called.is_empty(), "the call is not repeated");
    assert!(called.iter().all(|id| **id == *"m3"), "{called:?}");
    // The late call.
    let host = fleet.instances.get_mut(&called[0]).expect("the instance is listed");
    (host.state, host.worker) = (InstanceState::Maintenance, None);
    assert_eq!(fleet.run(ms(2_000), FleetOutcome::Accepted), Vec::<InstanceId>::new());
    let host = fleet.instances.get_mut(&called[0]).expect("the instance is listed");
    host.state = InstanceState::Up;
    // The repeated call is accepted without another maintenance, and settles the first one.
    let next = fleet.run(ms(1_000), FleetOutcome::Accepted);
    assert_eq!(next, [called[0].clone()]);
}

// As above, but a refusal of the repeated call says nothing of the first one.
#[test]
fn refused_repetition_of_a_call_does_not_settle_the_first_one() {
    for refusal in [FleetOutcome::Busy, FleetOutcome::NotRun] {
        let mut fleet = Fleet::new();
        fleet.call_last_without_answer();
        let repeated = fleet.run(CALL_DELAY_MAX, refusal);
        assert!(repeated.iter().all(|id| **id == *"m3"), "{refusal:?}: {repeated:?}");
        assert!(!repeated.is_empty());
    }
}

// As above, but the owner ended after it had sent the call, and its successor did not know of it.
#[test]
fn successor_counts_a_recorded_call_of_its_predecessor() {
    let mut fleet = Fleet::new();
    let now = fleet.sim.now;
    let wave = fleet.sim.engine.waves.get_mut(&1).expect("there is a wave");
    wave.restore_calls(["m2".into()], now);
    let called = fleet.run(CALL_DELAY_MAX, FleetOutcome::NotRun);
    assert!(!called.is_empty(), "the successor does not call the instance itself");
    assert!(called.iter().all(|id| **id == *"m2"), "{called:?}");
    // Its own call settles the predecessor's, which has the lower fence.
    assert_eq!(fleet.run(ms(300), FleetOutcome::Accepted), ["m2".into()] as [InstanceId; 1]);
    assert_eq!(fleet.sim.engine.waves[&1].calls_row().called, Vec::<InstanceId>::new());
}

// Guards against a wave that waits for ever for a call that cannot be carried out any more.
#[test]
fn call_that_cannot_be_carried_out_any_more_gives_its_place_up() {
    let mut fleet = Fleet::new();
    let now = fleet.sim.now;
    let wave = fleet.sim.engine.waves.get_mut(&1).expect("there is a wave");
    wave.restore_calls(["m2".into()], now);
    // The instance is down for another reason.
    let host = fleet.instances.get_mut("m2").expect("the instance is listed");
    (host.state, host.worker) = (InstanceState::Down, None);
    assert_eq!(fleet.run(CALL_DELAY_MAX, FleetOutcome::Accepted), Vec::<InstanceId>::new());
    let called = fleet.run(ms(2_000), FleetOutcome::Accepted);
    assert!(called.iter().any(|id| **id != *"m2"), "{called:?}");
    let stages = &fleet.sim.engine.waves[&1].stages;
    assert!(!matches!(stages["m2"], MaintenanceStage::Down(_)));
}

// As above, but the predecessor, whose lease had not ended, sent the recorded call after its successor had read the record.
#[test]
fn successor_counts_a_recorded_call_that_its_predecessor_sends_later() {
    const LEASE_LEFT: Duration = ms(2_000);
    let mut fleet = Fleet::new();
    let deadline = fleet.sim.now + LEASE_LEFT;
    let wave = fleet.sim.engine.waves.get_mut(&1).expect("there is a wave");
    wave.restore_calls(["m2".into()], deadline);
    let called = fleet.run(LEASE_LEFT + CALL_DELAY_MAX, FleetOutcome::NotRun);
    assert!(called.iter().all(|id| **id == *"m2"), "{called:?}");
}
