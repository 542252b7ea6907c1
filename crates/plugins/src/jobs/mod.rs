//! Takes jobs, places them on workers, and follows them to their end.
//!
//! A job is a row under `job/` until it ends, and then one under `ended/`, moved in one batch. The daemon
//! that holds the role `jobs` places and follows them; each attempt is fenced, so that a worker refuses
//! what an earlier scheduler still sends. See docs/DESIGN.md, "Jobs".

mod routes;
mod rows;
mod scheduler;
mod sync;

use std::time::Duration;

use futures_util::FutureExt as _;
use http::Method;
use wasabiswitch_kernel::http::control::Access;
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};

use crate::route::{control, entry};

pub use rows::{ENDED_PREFIX, JOB_PREFIX, JOBS_GRANT_HOLDER};
pub use scheduler::JOBS_ROLE;

/// How often jobs are placed and workers are asked.
const SCHEDULE_EVERY: Duration = Duration::from_millis(500);

fn plugin() -> Plugin {
    Plugin {
        entry_routes: vec![
            entry(Some(Method::POST), "/v1/jobs", routes::submit_route),
            entry(Some(Method::GET), "/v1/jobs", routes::list_route),
            entry(Some(Method::GET), "/v1/jobs/", routes::show_route),
            entry(Some(Method::DELETE), "/v1/jobs/", routes::cancel_route),
        ],
        control_routes: vec![control(
            Method::GET,
            "/v1/scheduler",
            Access::Operator,
            routes::scheduler_route,
        )],
        periodic_tasks: vec![PeriodicTask {
            name: "scheduler",
            interval: |_| SCHEDULE_EVERY,
            wake: Some(|kernel| &kernel.wakes.jobs),
            run: |kernel| async move { scheduler::tick(&kernel).await }.boxed(),
        }],
        ..Plugin::new("jobs", &["limits", "pools"])
    }
}

inventory::submit! { Registration(plugin) }
