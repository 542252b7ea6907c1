//! Applies new configurations and adopts newer generations.
//!
//! One row names the newest generation. The object store holds a delta of each generation and a snapshot
//! of some. A daemon that learns of a newer generation loads it from the store or, if the store is down,
//! from a peer; the generation of a daemon never decreases. See docs/DESIGN.md, "Configuration".

mod adopt;
mod apply;

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use http::Method;
use serde_json::json;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};

use crate::route::control;

pub use adopt::{AdoptError, adopt_deltas, adopt_snapshot, poll_store};
pub use apply::{Applied, Proposal, apply_changes};

/// Key of the row that names the newest generation.
pub const GENERATION_KEY: &str = "generation";
/// Interval at which the row is read.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![
            control(Method::GET, "/v1/config", Access::Operator, show),
            control(Method::POST, "/v1/config", Access::Operator, apply::apply_route),
            control(Method::POST, "/peer/v1/config", Access::Peer, adopt::serve_peer),
        ],
        start: |kernel| async move { adopt::load_first(&kernel).await }.boxed(),
        periodic_tasks: vec![PeriodicTask {
            name: "configuration",
            interval: |_| POLL_INTERVAL,
            wake: Some(|kernel| &kernel.wake_signals.config),
            run: |kernel| async move { adopt::poll(&kernel).await }.boxed(),
        }],
        ..Plugin::new("config", &["membership"])
    }
}

inventory::submit! { Registration(plugin) }

/// Returns the generation, the digest and all entries of the configuration in force.
async fn show(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let active = kernel.config();
    let entries: Vec<serde_json::Value> = active
        .entries
        .iter()
        .map(|(key, text)| {
            let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
            json!({ "section": key.0, "name": key.1, "value": value })
        })
        .collect();
    Ok(ControlReply::json(&json!({
        "generation": active.generation,
        "digest": format!("{:016x}", active.digest),
        "entries": entries,
    })))
}
