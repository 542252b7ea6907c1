//! Tracks the instances and their pools, drains instances and moves them.
//!
//! The row of an instance holds its pool and its state. Rows are written together with a feed of changes,
//! so that a daemon reads one row per second and not one per instance. The daemon that holds the role
//! `fleet` advances the instances that are out of service. See docs/DESIGN.md, "Instances and pools".

mod controller;
mod routes;
mod rows;
mod view;

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use http::Method;
use wasabiswitch_kernel::http::control::Access;
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::{Error, Kernel};

use crate::route::control;

pub use controller::{FLEET_ROLE, drain_propagation_time, drain_time_max};
pub use rows::{
    RowChange, change_instance, drain_within_budget, instance_key, pool_key, read_feed,
};
pub use view::{current_row, list_instances, pool_view, record_leaving, refresh_upstreams};

/// Interval at which the feed is read and the fleet controller runs.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of daemons that take turns in reading the platform's list.
const LIST_READERS_MAX: usize = 15;
/// Value used instead of [`LIST_READERS_MAX`] by the daemon that runs the fleet controller, which reads the list
/// more often because its decisions depend on the list.
const CONTROLLER_LIST_READERS_MAX: usize = 3;

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![
            control(Method::GET, "/v1/pools", Access::Operator, routes::list_pools),
            control(Method::GET, "/v1/instances", Access::Operator, routes::list_instances),
            control(Method::POST, "/v1/instances/:id/drain", Access::Operator, routes::drain),
            control(Method::POST, "/v1/instances/:id/serve", Access::Operator, routes::serve),
            control(Method::POST, "/v1/instances/:id/move", Access::Operator, routes::move_to),
        ],
        on_config: |kernel, _| {
            // The list is read soon, since the configuration may have new instances.
            kernel.tables.instances.lock().list_requested_at = None;
            refresh_upstreams(kernel);
        },
        start: |kernel| async move { start(&kernel).await }.boxed(),
        periodic_tasks: vec![
            PeriodicTask {
                name: "instances",
                interval: |_| READ_INTERVAL,
                wake: Some(|kernel| &kernel.wake_signals.instances),
                run: |kernel| async move { read_all(&kernel).await }.boxed(),
            },
            PeriodicTask {
                name: "fleet controller",
                interval: |_| READ_INTERVAL,
                wake: None,
                run: |kernel| async move { controller::tick(&kernel).await }.boxed(),
            },
        ],
        ..Plugin::new("pools", &["config", "limits", "peers"])
    }
}

inventory::submit! { Registration(plugin) }

async fn start(kernel: &Arc<Kernel>) -> Result<(), Error> {
    read_all(kernel).await;
    Ok(())
}

async fn read_all(kernel: &Kernel) {
    let feed_changed = read_feed(kernel).await.unwrap_or(false);
    let list_changed = is_list_read_due(kernel) && list_instances(kernel).await;
    if feed_changed || list_changed || daemon_count_changed(kernel) {
        refresh_upstreams(kernel);
    }
}

/// Returns whether this daemon is due to read the platform's list, and records the read if so.
///
/// The daemons take turns, about one read per second in total, and notify each other of leaving
/// instances, so that not every daemon reads a list of thousands of instances each second. A daemon
/// without contact to a peer reads it each second.
fn is_list_read_due(kernel: &Kernel) -> bool {
    let now = kernel.clock.now();
    let since = now.checked_sub(kernel.settings.cut_off).unwrap_or(now);
    let daemons = {
        let members = kernel.tables.members.lock();
        let runs_controller = members.own.roles.contains(FLEET_ROLE);
        let readers_max =
            if runs_controller { CONTROLLER_LIST_READERS_MAX } else { LIST_READERS_MAX };
        members.connectivity.daemons_in_contact(since).clamp(1, readers_max) as u32
    };
    let mut instances = kernel.tables.instances.lock();
    // The tolerance of half an interval keeps a read that is due each second from being postponed to
    // every other tick.
    let due = instances
        .list_requested_at
        .is_none_or(|at| now + READ_INTERVAL / 2 >= at + READ_INTERVAL * daemons);
    if due {
        instances.list_requested_at = Some(now);
    }
    due
}

/// Returns whether the number of live daemons, among which connections are divided, has changed.
fn daemon_count_changed(kernel: &Kernel) -> bool {
    let daemons = kernel.tables.members.lock().connectivity.live().len();
    let mut instances = kernel.tables.instances.lock();
    let changed = instances.daemons != daemons;
    instances.daemons = daemons;
    changed
}
