//! Applies the operator's configuration and waves on every daemon.
//!
//! A daemon answers no calls until it has a configuration, and never returns to an older version.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::fleet::{Cursor, OperatorItem, WatchResult, WaveRequest};
use wasabiswitch_kernel::plugin::{PeriodicTask, PlatformKind, Plugin, Registration};
use wasabiswitch_kernel::tables::FleetView;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::maintenance::{Wave, WaveNumber};

use super::{evacuation, port};

/// Delay before the operator's rows are read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

fn plugin() -> Plugin {
    Plugin {
        platform_kind: PlatformKind::Fleet,
        periodic_tasks: vec![PeriodicTask {
            name: "configuration",
            interval: |_| RETRY_DELAY,
            wake: None,
            run: |kernel| async move { follow(&kernel).await }.boxed(),
        }],
        ..Plugin::new("fleet configuration", &[])
    }
}

inventory::submit! { Registration(plugin) }

/// Reads all operator rows, then applies their changes until the feed fails or loses its history.
async fn follow(kernel: &Arc<Kernel>) {
    let (items, mut cursor) = match (port(kernel).read_operator)(()).await {
        Ok(read) => read,
        Err(error) => {
            log::warn!("configuration not read verdict={} reason={error}", error.verdict.as_str());
            return;
        }
    };
    apply_read(kernel, items, cursor);
    loop {
        match (port(kernel).watch_operator)(cursor).await {
            Ok(WatchResult::Changes(items, next)) => {
                cursor = cursor.max(next);
                evacuation::apply_changes(kernel, &items, cursor);
                apply_items(kernel, items);
            }
            Ok(WatchResult::HistoryGone) => {
                log::info!("configuration feed lost its history cursor={cursor}, reading again");
                return;
            }
            Err(error) => {
                log::warn!("configuration feed failed cursor={cursor} reason={error}");
                return;
            }
        }
    }
}

/// Applies all rows of the operator, which were read at `cursor`, to the view, and to the term if there is one.
pub(super) fn apply_read(kernel: &Arc<Kernel>, items: Vec<OperatorItem>, cursor: Cursor) {
    evacuation::apply_read(kernel, &items, cursor);
    apply_items(kernel, items);
}

/// Applies the configurations and waves among rows of the operator; older ones than known change nothing.
fn apply_items(kernel: &Arc<Kernel>, items: Vec<OperatorItem>) {
    for item in items {
        match item {
            OperatorItem::Config(config) => adopt(kernel, config),
            OperatorItem::Wave(wave) => add_wave(kernel, wave),
            // The set of evacuations is applied as a whole.
            OperatorItem::Evacuation { .. } => {}
        }
    }
}

/// Applies the configuration, the waves and the evacuations of the view to the engine of a new term.
///
/// The caller holds the lock of the view until the term is in its table. What this daemon reads before is then in the view,
/// and what it reads later reaches the term, so that nothing read during a takeover is missed.
pub(super) fn apply_view(kernel: &Kernel, view: &FleetView, engine: &mut Engine) {
    if let Some(config) = &view.config {
        engine.apply_config(config);
    }
    for (number, (request, seen)) in &view.waves {
        add_wave_to_engine(engine, *number, request, *seen);
    }
    evacuation::apply_view(kernel, view, engine);
}

/// Adds a wave that was first read at `seen`, unless the engine has it.
fn add_wave_to_engine(
    engine: &mut Engine,
    number: WaveNumber,
    request: &WaveRequest,
    seen: Instant,
) {
    let wave = || Wave::new(request.instances.clone(), request.down_max, seen + request.time_limit);
    engine.waves.entry(number).or_insert_with(wave);
}

fn adopt(kernel: &Arc<Kernel>, config: Arc<FleetConfig>) {
    {
        let mut view = kernel.tables.fleet.lock();
        if view.config.as_ref().is_some_and(|current| current.version >= config.version) {
            return;
        }
        view.config = Some(config.clone());
        if let Some(term) = kernel.tables.term.lock().as_mut() {
            term.engine.apply_config(&config);
        }
    }
    log::info!(
        "configuration adopted version={} queues={} teams={} keys={}",
        config.version,
        config.routes.len(),
        config.teams.len(),
        config.keys.len()
    );
    kernel.wake_signals.plan.notify_one();
}

fn add_wave(kernel: &Arc<Kernel>, request: WaveRequest) {
    let now = kernel.clock.now();
    let number = request.wave;
    let mut view = kernel.tables.fleet.lock();
    let known = view.waves.contains_key(&number);
    view.waves.entry(number).or_insert_with(|| (request.clone(), now));
    if let Some(term) = kernel.tables.term.lock().as_mut() {
        add_wave_to_engine(&mut term.engine, number, &request, now);
    }
    if !known {
        log::info!(
            "maintenance wave read wave={number} instances={} down_max={} time_limit_s={}",
            request.instances.len(),
            request.down_max,
            request.time_limit.as_secs()
        );
    }
}
