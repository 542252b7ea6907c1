//! Runs the owner's loops, and joins them at the end of the term.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use wasabiswitch_kernel::platform::Version;
use wasabiswitch_kernel::settings::PlatformSettings;
use wasabiswitch_kernel::tables::Term;
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::ownership::{OWNER_LEASE, OwnerRow, may_act};
use wasabiswitch_policy::fleet::pressure::{Pressure, pause_after_plan};
use wasabiswitch_policy::fleet::{Engine, Limits};

use super::takeover::RebuiltEngine;
use super::writer::Writer;
use super::{
    configuration, directory, evacuation, instances, log_job_events, orders, takeover, workers,
};

/// Time limit for the tasks of a term to end; orders in flight end by their own timeouts.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum interval between two plans when no event occurs.
const PLAN_INTERVAL_IDLE: Duration = Duration::from_millis(100);
/// Delay before a failed rebuild is tried again.
const REBUILD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns the processor capacity of this daemon's instance, in thousandths of a core.
pub(crate) fn processor_milli(kernel: &Kernel) -> u32 {
    match &kernel.settings.platform {
        PlatformSettings::Fleet(fleet) => fleet.processor_milli,
        _ => unreachable!("fleet plug-ins are started only on the users' platform"),
    }
}

/// Returns the configured limits for the engine's plans.
pub(crate) fn limits(kernel: &Kernel) -> Limits {
    match &kernel.settings.platform {
        PlatformSettings::Fleet(fleet) => fleet.limits.clone(),
        _ => unreachable!("fleet plug-ins are started only on the users' platform"),
    }
}

/// Runs a term from the write that began it, sent at `sent`, to its end.
///
/// The predecessor sends its last order no later than `predecessor_deadline`.
pub(crate) async fn run(
    kernel: &Arc<Kernel>,
    row: OwnerRow,
    version: Version,
    sent: Instant,
    predecessor_deadline: Instant,
) {
    let RebuiltEngine { engine, directory_cursor } = loop {
        match takeover::rebuild(kernel, row.fence, predecessor_deadline).await {
            Ok(rebuilt) => break rebuilt,
            Err(error) => log::warn!("fleet not rebuilt fence={} reason={error}", row.fence),
        }
        // A stopping daemon rebuilds the fleet too, since its writer then releases it.
        if !may_act(sent, kernel.clock.now()) {
            log::warn!("term ended before the fleet was rebuilt fence={}", row.fence);
            return;
        }
        sleep(REBUILD_RETRY_DELAY).await;
    };
    let fence = row.fence;
    metrics::counter!(metric::OWNER_TERMS).increment(1);
    begin(kernel, engine, &row, sent);
    let tasks = kernel.tasks.child();
    tasks.spawn_until_stopped("plan", plan(kernel.clone(), fence, tasks.clone()));
    tasks.spawn_until_stopped(
        "directory",
        directory::follow(kernel.clone(), fence, directory_cursor, tasks.clone()),
    );
    tasks.spawn_until_stopped("instances", instances::run(kernel.clone(), fence, tasks.clone()));
    workers::poll_all_workers(kernel, fence, &tasks);
    let reason = Writer::new(kernel.clone(), row, version, sent).run().await;
    let joined = tasks.join(JOIN_TIMEOUT).await;
    // Dropping the term closes the channels of all waiting callers, whose outcome is then in doubt.
    drop(kernel.tables.term.lock().take());
    evacuation::end_report();
    log::info!("term ended fence={fence} reason={reason} joined={joined}");
}

/// Puts the term of a rebuilt engine into its table; the term began with the write of `row`, which was sent at `sent`.
fn begin(kernel: &Kernel, mut engine: Engine, row: &OwnerRow, sent: Instant) {
    // The view stays locked until the term is in its table, see `apply_view`.
    let view = kernel.tables.fleet.lock();
    configuration::apply_view(kernel, &view, &mut engine);
    log::info!(
        "term begins fence={} config_version={} waves={}",
        row.fence,
        view.config.as_ref().map_or(0, |config| config.version),
        engine.waves.len()
    );
    engine.confirmed_sent = Some(sent);
    *kernel.tables.term.lock() = Some(Term {
        engine,
        pressure: Pressure::default(),
        confirmed_sent: sent,
        writes: row.writes,
        write_failing_since: None,
        last_write_duration: Duration::ZERO,
        accepts: Default::default(),
        write_waiters: Default::default(),
        refused_requests: Default::default(),
        flush_waiters: Vec::new(),
        waves_changed: Default::default(),
        wave_record_waiters: Vec::new(),
        superseded: false,
        hand_over_requested: false,
    });
}

/// Runs `action` on the term with `fence`; returns `None` if this daemon's term is another one or none.
///
/// An answer may arrive after the term in which the order was sent has ended. In a later term of the same daemon the
/// order's keys name other workers and tasks.
pub(crate) fn with_term<R>(
    kernel: &Kernel,
    fence: u64,
    action: impl FnOnce(&mut Term) -> R,
) -> Option<R> {
    let mut guard = kernel.tables.term.lock();
    guard.as_mut().filter(|term| term.engine.fence == fence).map(action)
}

/// Plans after each event and at regular intervals, and sends the orders.
async fn plan(kernel: Arc<Kernel>, fence: u64, tasks: TaskTree) {
    loop {
        let now = kernel.clock.now();
        let mut events = Vec::new();
        let orders = with_term(&kernel, fence, |term| {
            let can_act = !term.superseded && may_act(term.confirmed_sent, now);
            let orders = if can_act { term.engine.plan(now, &mut events) } else { Vec::new() };
            if term.engine.has_changes() {
                kernel.wake_signals.write.notify_one();
            }
            log_forgotten_workers(&mut term.engine, now);
            log_wait_changes(&mut term.engine, now);
            orders
        });
        let Some(orders) = orders else { return };
        let pause = pause_after_plan(kernel.clock.now().saturating_duration_since(now));
        log_job_events(&events);
        for order in orders {
            orders::spawn_order(&kernel, fence, &tasks, order);
        }
        let paused_at = kernel.clock.now();
        sleep(pause).await;
        let paused = kernel.clock.now().saturating_duration_since(paused_at);
        with_term(&kernel, fence, |term| term.pressure.record_timer(pause, paused));
        tokio::select! {
            () = sleep(PLAN_INTERVAL_IDLE) => {}
            () = kernel.wake_signals.plan.notified() => {}
        }
    }
}

/// Logs the workers that the engine has removed, with what may still reach a later incarnation under the same id.
fn log_forgotten_workers(engine: &mut Engine, now: Instant) {
    for worker in engine.take_forgotten_workers() {
        log::info!(
            "worker forgotten worker={} incarnation={} listed={} {}",
            worker.entry.id,
            worker.incarnation,
            worker.listed,
            worker.describe_orders_in_doubt(now)
        );
    }
}

/// Logs for which workers tasks wait after a takeover, and on what evidence they wait or wait no longer.
fn log_wait_changes(engine: &mut Engine, now: Instant) {
    for change in engine.take_wait_changes() {
        let subject = match change.until {
            Some(_) => "tasks wait for a silent worker",
            None => "tasks wait no longer for a silent worker",
        };
        log::info!("{subject} {}", change.describe(now));
    }
}

/// Ends the term with `fence` as superseded, because `source` has shown that the fleet has a newer owner.
pub(crate) fn end_term(kernel: &Kernel, fence: u64, source: &str) {
    let ended = with_term(kernel, fence, |term| !std::mem::replace(&mut term.superseded, true));
    if ended == Some(true) {
        log::warn!("term superseded by a newer owner fence={fence} by={source}");
        kernel.wake_signals.write.notify_one();
    }
}

/// Time after which the term of an owner ends when the store accepts no write.
///
/// It is longer than every outage that the users have reported, so that running tasks are not abandoned
/// needlessly.
pub(crate) const STORE_OUTAGE_MAX: Duration = OWNER_LEASE.saturating_mul(20);
