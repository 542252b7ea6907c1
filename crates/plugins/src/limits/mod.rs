//! Enforces the limits of teams and shares the capacity of pools among them.
//!
//! A request runs only within a slot that this daemon holds for its team, so the sum over all
//! daemons stays within the limit under any fault. When a pool is full, requests wait in its queue,
//! and teams get their weighted shares. See docs/DESIGN.md, "Limits" and "Shares".

mod admission;
mod grants;
mod portions;

use std::time::Duration;

use futures_util::FutureExt as _;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::tables::{ActiveConfig, TeamEntry};
use wasabiswitch_wire::message::TeamLoad;

pub use admission::{AdmissionRequest, Permit, admit};
pub use grants::{GRANT_PREFIX, adjust_team, reclaim_and_adjust, release_all_slots};
pub use portions::update_portions;

/// Interval at which grants are adjusted if nothing triggers an earlier adjustment.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the portions of pools are recomputed.
const PORTIONS_INTERVAL: Duration = Duration::from_millis(250);

fn plugin() -> Plugin {
    Plugin {
        on_config: load_teams,
        periodic_tasks: vec![
            PeriodicTask {
                name: "grants",
                interval: |_| ADJUST_INTERVAL,
                wake: Some(|kernel| &kernel.wake_signals.teams),
                run: |kernel| async move { grants::adjust_all(&kernel).await }.boxed(),
            },
            PeriodicTask {
                name: "portions",
                interval: |_| PORTIONS_INTERVAL,
                wake: None,
                run: |kernel| async move { update_portions(&kernel) }.boxed(),
            },
        ],
        stop: |kernel| async move { release_all_slots(&kernel).await }.boxed(),
        ..Plugin::new("limits", &["membership", "config", "keys", "peers"])
    }
}

inventory::submit! { Registration(plugin) }

fn load_teams(kernel: &Kernel, active: &ActiveConfig) {
    let now = kernel.clock.now();
    let mut teams = kernel.tables.teams.lock();
    for (id, team) in &active.config.teams {
        let (_, entry) =
            teams.table.get_or_insert(id, || TeamEntry::new(team.weight, team.limit_slots, now));
        entry.weight = team.weight;
        entry.limit_slots = team.limit_slots;
    }
    // A removed team is kept while it holds slots, so that they can be released.
    teams.table.retain(|id, entry| {
        let configured = active.config.teams.contains_key(id);
        if !configured {
            entry.limit_slots = 0;
        }
        configured || entry.running > 0 || entry.held_slots > 0
    });
    drop(teams);
    kernel.wake_signals.teams.notify_one();
}

/// Returns the number of running and waiting requests of each team in each pool at this daemon.
pub fn demand_by_pool(kernel: &Kernel) -> Vec<TeamLoad> {
    let requests = kernel.tables.requests.lock();
    let loads =
        requests.pool_queues.iter().flat_map(|(pool, pool_queue)| {
            pool_queue.demand.iter().filter(|(_, slots)| **slots > 0).map(|(team, slots)| {
                TeamLoad { pool: pool.clone(), team: team.clone(), demand_slots: *slots }
            })
        });
    loads.collect()
}
