//! Knows the instances and their pools, drains them and moves them.
//!
//! An instance's row names its one pool and says how far it is from serving. Rows are written together
//! with a feed of changes, so that a daemon reads one row a second and not one for each instance. The
//! daemon that holds the role `fleet` takes each instance through its steps. See docs/DESIGN.md,
//! "Instances and pools".

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

/// How often the feed is read.
const READ_EVERY: Duration = Duration::from_secs(1);
/// The most daemons among which the reading of the platform's list is divided.
const TURNS_MAX: usize = 15;
/// The same for the daemon that controls the fleet, which decides by the list.
const CONTROLLER_TURNS_MAX: usize = 3;

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
            // What is new in the configuration is looked up in the list soon.
            kernel.tables.instances.lock().listed_at = None;
            refresh_upstreams(kernel);
        },
        start: |kernel| async move { start(&kernel).await }.boxed(),
        periodic_tasks: vec![
            PeriodicTask {
                name: "instances",
                interval: |_| READ_EVERY,
                wake: Some(|kernel| &kernel.wakes.instances),
                run: |kernel| async move { read_all(&kernel).await }.boxed(),
            },
            PeriodicTask {
                name: "fleet controller",
                interval: |_| READ_EVERY,
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
    let list_changed = is_own_turn(kernel) && list_instances(kernel).await;
    if feed_changed || list_changed || daemons_changed(kernel) {
        refresh_upstreams(kernel);
    }
}

/// Reports whether this daemon reads the platform's list now.
///
/// The daemons read it in turn, about one a second, and tell each other who is leaving, so that a list
/// of thousands of instances is not read by each of them each second. A daemon that hears from no peer
/// reads it each second.
fn is_own_turn(kernel: &Kernel) -> bool {
    let now = kernel.clock.now();
    let since = now.checked_sub(kernel.settings.cut_off).unwrap_or(now);
    let daemons = {
        let members = kernel.tables.members.lock();
        let controls = members.own.roles.contains(FLEET_ROLE);
        let turns_max = if controls { CONTROLLER_TURNS_MAX } else { TURNS_MAX };
        members.reach.daemons_in_contact(since).clamp(1, turns_max) as u32
    };
    let mut instances = kernel.tables.instances.lock();
    // A little more than the pause between two looks, so that one each second stays one each second.
    let due =
        instances.listed_at.is_none_or(|at| now + READ_EVERY / 2 >= at + READ_EVERY * daemons);
    if due {
        instances.listed_at = Some(now);
    }
    due
}

/// Reports whether the number of daemons, over which connections are divided, has changed.
fn daemons_changed(kernel: &Kernel) -> bool {
    let daemons = kernel.tables.members.lock().reach.live().len();
    let mut instances = kernel.tables.instances.lock();
    let changed = instances.daemons != daemons;
    instances.daemons = daemons;
    changed
}
