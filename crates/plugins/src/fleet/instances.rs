//! Runs maintenance waves and moves instances while this daemon owns the fleet.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;
use wasabiswitch_kernel::platform::fleet::InstanceOrder;
use wasabiswitch_kernel::tables::Term;
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::demand_forecast::ForecastEvent;
use wasabiswitch_policy::fleet::maintenance::{FleetOrder, FleetOutcome, WaveNumber};
use wasabiswitch_policy::fleet::ownership::may_act;
use wasabiswitch_policy::ids::{InstanceId, PoolId};

use super::term::with_term;
use super::{evacuation, log_job_events, port, term};

/// Interval between two plans of waves and moves.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Number of plans between two log lines about all pools.
const PLANS_PER_LOG_LINE: u64 = 10;
/// Number of plans between two lists of the instances while a wave or a move is in progress, or tasks wait for silent workers.
const ACTIVE_PLANS_PER_LIST: u32 = 4;
/// Number of plans between two lists of the instances at other times.
const IDLE_PLANS_PER_LIST: u32 = 20;

/// Plans waves and moves until the term with `fence` ends.
pub(crate) async fn run(kernel: Arc<Kernel>, fence: u64, tasks: TaskTree) {
    let mut plans_until_list = 0;
    let mut plans = 0u64;
    loop {
        if plans_until_list == 0 {
            refresh_instances(&kernel, fence).await;
            plans_until_list =
                if is_active(&kernel, fence) { ACTIVE_PLANS_PER_LIST } else { IDLE_PLANS_PER_LIST };
        }
        plans_until_list -= 1;
        plans += 1;
        if plans.is_multiple_of(PLANS_PER_LOG_LINE) {
            log_pools(&kernel, fence);
            report_advice(&kernel, fence);
        }
        evacuation::report(&kernel, fence);
        for order in plan(&kernel, fence) {
            let kernel = kernel.clone();
            tasks.spawn("instance order", async move { execute(&kernel, fence, order).await });
        }
        sleep(PLAN_INTERVAL).await;
    }
}

fn log_pools(kernel: &Kernel, fence: u64) {
    let now = kernel.clock.now();
    if let Some(pools) = with_term(kernel, fence, |term| term.engine.describe_pools(now)) {
        log::info!("pools {pools}");
    }
}

/// Logs and records how many steps wait for a call to the advice service.
fn report_advice(kernel: &Kernel, fence: u64) {
    let now = kernel.clock.now();
    let Some(load) = with_term(kernel, fence, |term| term.engine.advice_load(now)) else { return };
    metrics::gauge!(metric::ADVICE_WAITING).set(load.waiting as f64);
    if load.waiting > 0 {
        log::info!(
            "steps wait for advice waiting={} oldest_ms={} under_way={} given_up={}",
            load.waiting,
            load.oldest.as_millis(),
            load.under_way,
            load.given_up
        );
    }
}

fn is_active(kernel: &Kernel, fence: u64) -> bool {
    let is_active = |term: &mut Term| {
        !term.engine.pending_moves.is_empty()
            || term.engine.has_silent_workers()
            || term.engine.waves.values().any(|wave| wave.reported != Some(true))
    };
    with_term(kernel, fence, is_active).unwrap_or(false)
}

async fn refresh_instances(kernel: &Kernel, fence: u64) {
    let sent = kernel.clock.now();
    match (port(kernel).list_instances)(()).await {
        Ok(instances) => {
            let now = kernel.clock.now();
            let mut events = Vec::new();
            with_term(kernel, fence, |term| {
                term.engine.apply_instance_list(instances, sent, now, &mut events);
            });
            log_job_events(&events);
        }
        Err(error) => log::warn!("instances not listed reason={error}"),
    }
}

fn plan(kernel: &Kernel, fence: u64) -> Vec<FleetOrder> {
    let now = kernel.clock.now();
    let orders = with_term(kernel, fence, |term| {
        if term.superseded || !may_act(term.confirmed_sent, now) || term.engine.instances.is_empty()
        {
            return Vec::new();
        }
        let mut orders = term.engine.plan_waves(now);
        orders.extend(term.engine.plan_moves(now));
        kernel.wake_signals.plan.notify_one();
        orders
    });
    log_forecast(kernel, fence);
    orders.unwrap_or_default()
}

fn log_forecast(kernel: &Kernel, fence: u64) {
    let events = with_term(kernel, fence, |term| term.engine.demand_forecast.take_events());
    for event in events.into_iter().flatten() {
        match event {
            ForecastEvent::Learned { period, similarity } => {
                let period_ms = period.as_millis();
                metrics::gauge!(metric::FORECAST_PERIOD_SECONDS).set(period.as_secs_f64());
                log::info!(
                    "demand forecast learned period_ms={period_ms} similarity={similarity:.2}"
                );
            }
            ForecastEvent::Lost => {
                metrics::gauge!(metric::FORECAST_PERIOD_SECONDS).set(0.0);
                log::info!("demand forecast lost");
            }
            ForecastEvent::Wrong { pool } => {
                metrics::counter!(metric::FORECASTS_WRONG, "pool" => pool.to_string()).increment(1);
                log::info!("demand forecast wrong pool={pool}");
            }
        }
    }
}

async fn execute(kernel: &Arc<Kernel>, fence: u64, order: FleetOrder) {
    match order {
        FleetOrder::Maintain { instance, wave } => {
            start_maintenance(kernel, fence, instance, wave).await;
        }
        FleetOrder::Move { instance, pool } => move_instance(kernel, fence, instance, pool).await,
        FleetOrder::Report { wave, done } => report_wave(kernel, fence, wave, done).await,
    }
}

fn instance_order<T>(
    kernel: &Kernel,
    fence: u64,
    instance: &InstanceId,
    argument: T,
) -> InstanceOrder<T> {
    let holder = kernel.settings.daemon.clone();
    InstanceOrder { instance: instance.clone(), argument, holder, fence }
}

async fn start_maintenance(
    kernel: &Arc<Kernel>,
    fence: u64,
    instance: InstanceId,
    wave: WaveNumber,
) {
    if !record_call(kernel, fence, wave, &instance).await {
        return;
    }
    let order = instance_order(kernel, fence, &instance, wave);
    let outcome = (port(kernel).start_maintenance)(order).await.unwrap_or(FleetOutcome::Unknown);
    log::info!("maintenance order instance={instance} wave={wave} outcome={outcome:?}");
    let now = kernel.clock.now();
    with_term(kernel, fence, |term| {
        term.engine.apply_maintenance_outcome(wave, &instance, outcome, now);
        if outcome == FleetOutcome::Accepted {
            term.waves_changed.insert(wave);
        }
    });
    handle_outcome(kernel, fence, outcome);
}

/// Waits until the store has the record of a maintenance call, from which a successor counts it; returns whether the call is still to
/// be sent.
async fn record_call(
    kernel: &Arc<Kernel>,
    fence: u64,
    wave: WaveNumber,
    instance: &InstanceId,
) -> bool {
    let (sender, recorded) = oneshot::channel();
    with_term(kernel, fence, |term| {
        term.waves_changed.insert(wave);
        term.wave_record_waiters.push(sender);
    });
    kernel.wake_signals.write.notify_one();
    if recorded.await.is_err() {
        log::info!("maintenance order not recorded instance={instance} wave={wave}");
        return false;
    }
    let now = kernel.clock.now();
    let is_due = with_term(kernel, fence, |term| {
        if term.superseded || !may_act(term.confirmed_sent, now) {
            let not_run = FleetOutcome::NotRun;
            term.engine.apply_maintenance_outcome(wave, instance, not_run, now);
            return false;
        }
        term.engine.begin_maintenance_call(wave, instance, now)
    });
    is_due == Some(true)
}

async fn move_instance(kernel: &Arc<Kernel>, fence: u64, instance: InstanceId, pool: PoolId) {
    let order = instance_order(kernel, fence, &instance, pool.clone());
    let outcome = (port(kernel).move_instance)(order).await.unwrap_or(FleetOutcome::Unknown);
    log::info!("move order instance={instance} pool={pool} outcome={outcome:?}");
    let now = kernel.clock.now();
    with_term(kernel, fence, |term| term.engine.apply_move_outcome(&instance, outcome, now));
    handle_outcome(kernel, fence, outcome);
}

fn handle_outcome(kernel: &Kernel, fence: u64, outcome: FleetOutcome) {
    metrics::counter!(metric::INSTANCE_CALLS, "outcome" => format!("{outcome:?}")).increment(1);
    if outcome == FleetOutcome::Fenced {
        term::end_term(kernel, fence, "the instance service");
    }
    kernel.wake_signals.write.notify_one();
    kernel.wake_signals.plan.notify_one();
}

async fn report_wave(kernel: &Arc<Kernel>, fence: u64, wave: WaveNumber, done: bool) {
    match (port(kernel).report_wave)((wave, done)).await {
        Ok(()) => {
            log::info!("wave reported wave={wave} done={done}");
            with_term(kernel, fence, |term| {
                if let Some(entry) = term.engine.waves.get_mut(&wave) {
                    entry.reported = Some(done);
                }
            });
        }
        Err(error) => log::warn!("wave not reported wave={wave} reason={error}"),
    }
}
