//! Runs maintenance waves and moves instances while this daemon owns the fleet.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use wasabiswitch_kernel::platform::fleet::InstanceOrder;
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::maintenance::{FleetOrder, FleetOutcome, WaveNumber};
use wasabiswitch_policy::fleet::ownership::may_act;
use wasabiswitch_policy::ids::{InstanceId, PoolId};

use super::{log_job_events, port, term};

/// Interval between two plans of waves and moves.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Number of plans between two log lines about all pools.
const PLANS_PER_LOG_LINE: u64 = 10;
/// Number of plans between two lists of the instances while a wave or a move is in progress.
const ACTIVE_PLANS_PER_LIST: u32 = 4;
/// Number of plans between two lists of the instances while no wave and no move is in progress.
const IDLE_PLANS_PER_LIST: u32 = 20;

/// Plans waves and moves until the term ends.
pub(crate) async fn run(kernel: Arc<Kernel>, tasks: TaskTree) {
    let mut plans_until_list = 0;
    let mut plans = 0u64;
    loop {
        if plans_until_list == 0 {
            refresh_instances(&kernel).await;
            plans_until_list =
                if is_active(&kernel) { ACTIVE_PLANS_PER_LIST } else { IDLE_PLANS_PER_LIST };
        }
        plans_until_list -= 1;
        plans += 1;
        if plans.is_multiple_of(PLANS_PER_LOG_LINE) {
            log_pools(&kernel);
        }
        for order in plan(&kernel) {
            let kernel = kernel.clone();
            tasks.spawn("instance order", async move { execute(&kernel, order).await });
        }
        sleep(PLAN_INTERVAL).await;
    }
}

fn log_pools(kernel: &Kernel) {
    let now = kernel.clock.now();
    let guard = kernel.tables.term.lock();
    if let Some(term) = guard.as_ref() {
        log::info!("pools {}", term.engine.describe_pools(now));
    }
}

fn is_active(kernel: &Kernel) -> bool {
    let guard = kernel.tables.term.lock();
    guard.as_ref().is_some_and(|term| {
        !term.engine.pending_moves.is_empty()
            || term.engine.waves.values().any(|wave| wave.reported != Some(true))
    })
}

async fn refresh_instances(kernel: &Kernel) {
    let sent = kernel.clock.now();
    match (port(kernel).list_instances)(()).await {
        Ok(instances) => {
            let now = kernel.clock.now();
            let mut events = Vec::new();
            if let Some(term) = kernel.tables.term.lock().as_mut() {
                term.engine.apply_instance_list(instances, sent, now, &mut events);
            }
            log_job_events(&events);
        }
        Err(error) => log::warn!("instances not listed reason={error}"),
    }
}

fn plan(kernel: &Kernel) -> Vec<FleetOrder> {
    let now = kernel.clock.now();
    let mut guard = kernel.tables.term.lock();
    let Some(term) = guard.as_mut() else { return Vec::new() };
    if term.superseded || !may_act(term.confirmed_sent, now) || term.engine.instances.is_empty() {
        return Vec::new();
    }
    let mut orders = term.engine.plan_waves(now);
    orders.extend(term.engine.plan_moves(now));
    kernel.wake_signals.plan.notify_one();
    orders
}

async fn execute(kernel: &Arc<Kernel>, order: FleetOrder) {
    match order {
        FleetOrder::Maintain { instance, wave } => start_maintenance(kernel, instance, wave).await,
        FleetOrder::Move { instance, pool } => move_instance(kernel, instance, pool).await,
        FleetOrder::Report { wave, done } => report_wave(kernel, wave, done).await,
    }
}

fn fence(kernel: &Kernel) -> u64 {
    kernel.tables.term.lock().as_ref().map_or(0, |term| term.engine.fence)
}

fn instance_order<T>(kernel: &Kernel, instance: &InstanceId, argument: T) -> InstanceOrder<T> {
    let holder = kernel.settings.daemon.clone();
    InstanceOrder { instance: instance.clone(), argument, holder, fence: fence(kernel) }
}

async fn start_maintenance(kernel: &Arc<Kernel>, instance: InstanceId, wave: WaveNumber) {
    let order = instance_order(kernel, &instance, wave);
    let outcome = (port(kernel).start_maintenance)(order).await.unwrap_or(FleetOutcome::Unknown);
    log::info!("maintenance order instance={instance} wave={wave} outcome={outcome:?}");
    let now = kernel.clock.now();
    if let Some(term) = kernel.tables.term.lock().as_mut() {
        term.engine.apply_maintenance_outcome(wave, &instance, outcome, now);
        if outcome == FleetOutcome::Accepted {
            term.waves_changed.insert(wave);
        }
    }
    handle_outcome(kernel, outcome);
}

async fn move_instance(kernel: &Arc<Kernel>, instance: InstanceId, pool: PoolId) {
    let order = instance_order(kernel, &instance, pool.clone());
    let outcome = (port(kernel).move_instance)(order).await.unwrap_or(FleetOutcome::Unknown);
    log::info!("move order instance={instance} pool={pool} outcome={outcome:?}");
    let now = kernel.clock.now();
    if let Some(term) = kernel.tables.term.lock().as_mut() {
        term.engine.apply_move_outcome(&instance, outcome, now);
    }
    handle_outcome(kernel, outcome);
}

fn handle_outcome(kernel: &Kernel, outcome: FleetOutcome) {
    metrics::counter!(metric::INSTANCE_CALLS, "outcome" => format!("{outcome:?}")).increment(1);
    if outcome == FleetOutcome::Fenced {
        term::end_term(kernel, "the instance service");
    }
    kernel.wake_signals.write.notify_one();
    kernel.wake_signals.plan.notify_one();
}

async fn report_wave(kernel: &Arc<Kernel>, wave: WaveNumber, done: bool) {
    match (port(kernel).report_wave)((wave, done)).await {
        Ok(()) => {
            log::info!("wave reported wave={wave} done={done}");
            if let Some(term) = kernel.tables.term.lock().as_mut()
                && let Some(entry) = term.engine.waves.get_mut(&wave)
            {
                entry.reported = Some(done);
            }
        }
        Err(error) => log::warn!("wave not reported wave={wave} reason={error}"),
    }
}
