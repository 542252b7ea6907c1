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
use wasabiswitch_kernel::plugin::{Plugin, Registration, Tick};
use wasabiswitch_kernel::{Error, Kernel};

use crate::route::control;

pub use controller::{FLEET_ROLE, notice_time, settle_time};
pub use rows::{RowChange, change_instance, instance_key, plan_down_instance, pool_key, read_feed};
pub use view::{current_row, list_instances, note_leaving, pool_view, refresh_upstreams};

/// How often the feed and the platform's list are read.
const READ_EVERY: Duration = Duration::from_secs(1);

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![
            control(Method::GET, "/v1/pools", Access::Operator, routes::list_pools),
            control(Method::GET, "/v1/instances", Access::Operator, routes::list_instances),
            control(Method::POST, "/v1/instances/:id/drain", Access::Operator, routes::drain),
            control(Method::POST, "/v1/instances/:id/serve", Access::Operator, routes::serve),
            control(Method::POST, "/v1/instances/:id/move", Access::Operator, routes::move_to),
        ],
        on_config: |kernel, _| refresh_upstreams(kernel),
        start: |kernel| async move { start(&kernel).await }.boxed(),
        ticks: vec![
            Tick {
                name: "instances",
                every: |_| READ_EVERY,
                wake: Some(|kernel| &kernel.wakes.instances),
                run: |kernel| async move { read_all(&kernel).await }.boxed(),
            },
            Tick {
                name: "fleet controller",
                every: |_| READ_EVERY,
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
    let _ = read_feed(kernel).await;
    list_instances(kernel).await;
    refresh_upstreams(kernel);
}
