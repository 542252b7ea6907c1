//! Applies the operator's evacuations of data centres on every daemon, and reports their progress at the owner.
//!
//! The set of the view is that of the operator's rows at one position of their feed. Rows come from the feed and from full
//! reads, of which a takeover makes one of its own, so that an older read may arrive after a newer change.

use std::collections::BTreeSet;
use std::sync::Arc;

use wasabiswitch_kernel::platform::fleet::{Cursor, OperatorItem};
use wasabiswitch_kernel::tables::FleetView;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::evacuation::EvacuationEvent;
use wasabiswitch_policy::ids::DataCentre;

use super::term::with_term;

/// Replaces the set of evacuations by that of a full read of the operator's rows, which is complete up to `cursor`.
pub(super) fn apply_read(kernel: &Arc<Kernel>, items: &[OperatorItem], cursor: Cursor) {
    apply(kernel, items, cursor, true);
}

/// Applies changes of the operator's rows up to `cursor`, in the order of the feed.
pub(super) fn apply_changes(kernel: &Arc<Kernel>, items: &[OperatorItem], cursor: Cursor) {
    apply(kernel, items, cursor, false);
}

fn apply(kernel: &Arc<Kernel>, items: &[OperatorItem], cursor: Cursor, is_full_read: bool) {
    let now = kernel.clock.now();
    let mut guard = kernel.tables.fleet.lock();
    let view = &mut *guard;
    if cursor < view.operator_cursor {
        // The set already has these rows, or newer ones.
        if is_full_read {
            let known = view.operator_cursor;
            log::info!("operator rows read late, evacuations kept cursor={cursor} known={known}");
        }
        return;
    }
    view.operator_cursor = cursor;
    let before = view.evacuations.clone();
    if is_full_read {
        view.evacuations.clear();
    }
    for item in items {
        match item {
            OperatorItem::Evacuation { data_centre, active: true } => {
                view.evacuations.insert(data_centre.clone());
            }
            OperatorItem::Evacuation { data_centre, active: false } => {
                view.evacuations.remove(data_centre);
            }
            _ => {}
        }
    }
    if view.evacuations == before {
        return;
    }
    // The view stays locked, so that the engine gets the sets in the order of the view.
    if let Some(term) = kernel.tables.term.lock().as_mut() {
        term.engine.set_evacuations(&view.evacuations, now);
    }
    log_changes(&before, &view.evacuations, cursor);
    metrics::gauge!(metric::EVACUATIONS).set(view.evacuations.len() as f64);
    drop(guard);
    kernel.wake_signals.plan.notify_one();
}

fn log_changes(before: &BTreeSet<DataCentre>, after: &BTreeSet<DataCentre>, cursor: Cursor) {
    for data_centre in after.difference(before) {
        log::info!("evacuation read data_centre={data_centre} cursor={cursor}");
    }
    for data_centre in before.difference(after) {
        log::info!("evacuation removed data_centre={data_centre} cursor={cursor}");
    }
}

/// Applies the evacuations of the view to the engine of a new term; see `configuration::apply_view`.
pub(super) fn apply_view(kernel: &Kernel, view: &FleetView, engine: &mut Engine) {
    engine.set_evacuations(&view.evacuations, kernel.clock.now());
}

/// Logs the changes of state since the last call, and sets the metrics of the owner.
pub(super) fn report(kernel: &Kernel, fence: u64) {
    let progress = with_term(kernel, fence, |term| {
        let engine = &mut term.engine;
        let events = engine.take_evacuation_events();
        (events, engine.count_evacuated_tasks(), engine.take_returned_workers())
    });
    let Some((events, tasks, returned)) = progress else { return };
    for event in &events {
        log_event(fence, event);
    }
    metrics::gauge!(metric::EVACUATED_TASKS).set(tasks as f64);
    metrics::counter!(metric::EVACUATION_RETURNS).increment(returned as u64);
}

/// Resets the owner's metrics at the end of its term.
pub(super) fn end_report() {
    metrics::gauge!(metric::EVACUATED_TASKS).set(0.0);
}

fn log_event(fence: u64, event: &EvacuationEvent) {
    match event {
        EvacuationEvent::Set { data_centre, workers: 0, tasks } => log::warn!(
            "evacuation set, no listed worker is in the data centre data_centre={data_centre} workers=0 \
             tasks={tasks} fence={fence}"
        ),
        EvacuationEvent::Set { data_centre, workers, tasks } => log::info!(
            "evacuation set data_centre={data_centre} workers={workers} tasks={tasks} fence={fence}"
        ),
        EvacuationEvent::Cleared { data_centre, took } => log::info!(
            "evacuation cleared data_centre={data_centre} took_ms={} fence={fence}",
            took.as_millis()
        ),
        EvacuationEvent::Lifted { data_centre, workers } => log::info!(
            "evacuation lifted data_centre={data_centre} workers={workers} fence={fence}"
        ),
        EvacuationEvent::Returned { data_centre, workers } => log::info!(
            "evacuation ended, all workers returned data_centre={data_centre} workers={workers} fence={fence}"
        ),
    }
}
