//! Accepts jobs, places them on workers, and tracks them until they end.
//!
//! The row of a job is stored under `job/` and is moved to `ended/` in one batch when the job ends. The
//! daemon that holds the role `jobs` is the scheduler: it places and tracks the jobs. The number of an
//! attempt is its fencing token, with which a worker refuses late requests of an earlier scheduler. See
//! docs/DESIGN.md, "Jobs".

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

/// Interval at which jobs are placed and workers are synchronized.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(500);

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
            interval: |_| SCHEDULE_INTERVAL,
            wake: Some(|kernel| &kernel.wake_signals.jobs),
            run: |kernel| async move { scheduler::tick(&kernel).await }.boxed(),
        }],
        ..Plugin::new("jobs", &["limits", "pools"])
    }
}

inventory::submit! { Registration(plugin) }
