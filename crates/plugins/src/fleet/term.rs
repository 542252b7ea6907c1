//! Runs the loops of the owner, and joins them when its term ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use wasabiswitch_kernel::platform::Version;
use wasabiswitch_kernel::settings::PlatformSettings;
use wasabiswitch_kernel::tables::Term;
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::Limits;
use wasabiswitch_policy::fleet::ownership::{OWNER_LEASE, OwnerRow, may_act};

use super::writer::Writer;
use super::{directory, instances, log_notes, takeover, workers};

/// How long the tasks of a term may take to end; orders in flight end by their own timeouts.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The shortest pause between two plans, so that what happens together is planned together.
const PLAN_PAUSE: Duration = Duration::from_millis(4);
/// The longest pause between two plans while nothing happens.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// The pause after a rebuild that failed.
const REBUILD_PAUSE: Duration = Duration::from_millis(100);

/// Returns the processors of this daemon's instance, in thousandths of a core.
pub(crate) fn processor_milli(kernel: &Kernel) -> u32 {
    match &kernel.settings.platform {
        PlatformSettings::Fleet(fleet) => fleet.processor_milli,
        _ => unreachable!("fleet plug-ins are started only on the users' platform"),
    }
}

/// Returns the bounds that the engine plans by.
pub(crate) fn limits(kernel: &Kernel) -> Limits {
    match &kernel.settings.platform {
        PlatformSettings::Fleet(fleet) => fleet.limits.clone(),
        _ => unreachable!("fleet plug-ins are started only on the users' platform"),
    }
}

/// Runs a term from the write that began it, sent at `sent`, to its end.
///
/// The predecessor gives its last order at `predecessor_deadline` at the latest.
pub(crate) async fn run(
    kernel: &Arc<Kernel>,
    row: OwnerRow,
    version: Version,
    sent: Instant,
    predecessor_deadline: Instant,
) {
    let rebuilt = loop {
        match takeover::rebuild(kernel, row.fence, predecessor_deadline).await {
            Ok(rebuilt) => break rebuilt,
            Err(error) => log::warn!("fleet not rebuilt fence={} reason={error}", row.fence),
        }
        if !may_act(sent, kernel.clock.now()) || kernel.is_stopping() {
            log::warn!("lease over before the fleet was rebuilt fence={}", row.fence);
            return;
        }
        sleep(REBUILD_PAUSE).await;
    };
    let fence = row.fence;
    metrics::counter!(metric::OWNER_TERMS).increment(1);
    *kernel.tables.term.lock() = Some(Term {
        engine: rebuilt.engine,
        confirmed_sent: sent,
        writes: row.writes,
        write_failing_since: None,
        last_write_duration: Duration::ZERO,
        accepts: Default::default(),
        write_waiters: Default::default(),
        refused_requests: Default::default(),
        flush_waiters: Vec::new(),
        waves_changed: Default::default(),
        superseded: false,
        hand_over_requested: false,
    });
    let tasks = kernel.tasks.child();
    tasks.spawn_until_stopped("plan", plan(kernel.clone(), tasks.clone()));
    tasks.spawn_until_stopped(
        "directory",
        directory::follow(kernel.clone(), rebuilt.directory, tasks.clone()),
    );
    tasks.spawn_until_stopped("instances", instances::run(kernel.clone(), tasks.clone()));
    workers::ask_all(kernel, &tasks);
    let why = Writer::new(kernel.clone(), row, version, sent).run().await;
    let joined = tasks.join(JOIN_TIMEOUT).await;
    // Dropping the term tells everyone who waits that the outcome is open.
    drop(kernel.tables.term.lock().take());
    log::info!("term ended fence={fence} reason={why} joined={joined}");
}

/// Plans whenever something has happened, and sends the orders.
async fn plan(kernel: Arc<Kernel>, tasks: TaskTree) {
    loop {
        let now = kernel.clock.now();
        let (orders, notes) = {
            let mut guard = kernel.tables.term.lock();
            let Some(term) = guard.as_mut() else { return };
            let mut notes = Vec::new();
            let acts = !term.superseded && may_act(term.confirmed_sent, now);
            let orders = if acts { term.engine.plan(now, &mut notes) } else { Vec::new() };
            if term.engine.has_changes() {
                kernel.wakes.write.notify_one();
            }
            (orders, notes)
        };
        log_notes(&notes);
        for order in orders {
            workers::send(&kernel, &tasks, order);
        }
        sleep(PLAN_PAUSE).await;
        tokio::select! {
            () = sleep(PLAN_EVERY) => {}
            () = kernel.wakes.plan.notified() => {}
        }
    }
}

/// Notes that a newer owner was met, which ends the term.
pub(crate) fn depose(kernel: &Kernel, how: &str) {
    let mut guard = kernel.tables.term.lock();
    if let Some(term) = guard.as_mut().filter(|term| !term.superseded) {
        term.superseded = true;
        log::warn!("a newer owner was met fence={} by={how}", term.engine.fence);
        kernel.wakes.write.notify_one();
    }
}

/// The longest time for which an owner waits for a store that takes no write before its term ends.
///
/// It outlasts every outage that the users have told of, so that what runs is not given up for nothing.
pub(crate) const GIVE_UP_AFTER: Duration = OWNER_LEASE.saturating_mul(20);
