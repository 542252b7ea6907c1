//! Combines the configuration, the rows and the platform's list into views of instances, pools and
//! upstreams.

use std::collections::HashMap;
use std::time::Instant;

use wasabiswitch_kernel::store::CallClass;
use wasabiswitch_kernel::tables::{InstanceEntry, UpstreamEntry};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::config::Instance;
use wasabiswitch_policy::ids::{BootId, InstanceId};
use wasabiswitch_policy::instance::{InstanceRow, InstanceState, PoolView};
use wasabiswitch_policy::routing::{DrainNotice, Health};

/// Returns the row that an instance has before it is first written.
pub(super) fn configured_row(kernel: &Kernel, instance: &str) -> Option<InstanceRow> {
    let config = kernel.config();
    let configured = config.config.instances.get(instance)?;
    Some(InstanceRow { pool: configured.pool.clone(), state: InstanceState::Serving })
}

/// Returns the row of a configured instance, as known to this daemon.
pub fn current_row(kernel: &Kernel, instance: &str) -> Option<InstanceRow> {
    let configured = configured_row(kernel, instance)?;
    let instances = kernel.tables.instances.lock();
    let entry = instances.table.by_id(instance);
    Some(entry.and_then(|entry| entry.row.clone()).unwrap_or(configured))
}

/// Returns the instances of a pool with their failure domains, and the budget of the pool.
pub fn pool_view(kernel: &Kernel, pool: &str) -> PoolView {
    let config = kernel.config();
    let instances = kernel.tables.instances.lock();
    let domains = config
        .config
        .instances
        .iter()
        .filter(|(id, configured)| {
            let row = instances.table.by_id(id).and_then(|entry| entry.row.as_ref());
            **row.map_or(&configured.pool, |row| &row.pool) == *pool
        })
        .map(|(id, configured)| (id.clone(), configured.failure_domain.clone()))
        .collect();
    let unavailable_max = config.config.pools.get(pool).map_or(0, |pool| pool.unavailable_max);
    PoolView { unavailable_max, domains }
}

/// Reads the platform's list of instances, which lags behind; returns whether it has changed.
pub async fn list_instances(kernel: &Kernel) -> bool {
    let options = kernel.store.within(CallClass::Control, super::READ_INTERVAL);
    let Ok(list) = kernel.store.list_instances(options).await else { return false };
    let mut boots: HashMap<String, BootId> = HashMap::with_capacity(list.len());
    for listed in list {
        if listed.leaving {
            record_leaving(kernel, &listed.instance.as_str().into(), listed.boot, "list");
        }
        boots.insert(listed.instance, listed.boot);
    }
    let config = kernel.config();
    let mut instances = kernel.tables.instances.lock();
    let mut changed = !instances.list_read;
    for id in config.config.instances.keys() {
        let (_, entry) = instances.table.get_or_insert(id, InstanceEntry::default);
        let listed = boots.get(&**id).copied();
        // The platform may return a stale list, but the boot of an instance never decreases.
        let boot = entry.listed_boot.max(listed.unwrap_or(0));
        changed |= entry.listed != listed.is_some() || entry.listed_boot != boot;
        entry.listed = listed.is_some();
        entry.listed_boot = boot;
    }
    instances.list_read = true;
    changed
}

/// Records that a boot of an instance is leaving; later reports of the same boot have no effect.
pub fn record_leaving(kernel: &Kernel, instance: &InstanceId, boot: BootId, source: &'static str) {
    let is_new = {
        let mut upstreams = kernel.tables.upstreams.lock();
        let upstream = upstreams.table.by_id_mut(instance);
        upstream.is_some_and(|upstream| {
            let is_new = upstream.leaving.record(boot);
            if is_new {
                upstream.idle.clear();
            }
            is_new
        })
    };
    if is_new {
        kernel.tables.upstreams.lock().slots_by_pool = None;
    }
    if is_new {
        metrics::counter!(metric::UPSTREAMS_LEAVING, "source" => source).increment(1);
        kernel.wake_signals.peers.notify_one();
    }
}

/// Updates the table of upstreams from the configuration, the rows and the list.
pub fn refresh_upstreams(kernel: &Kernel) {
    let config = kernel.config();
    let now = kernel.clock.now();
    let daemons = kernel.tables.members.lock().connectivity.live().len().max(1) as u32;
    let instances = kernel.tables.instances.lock();
    let mut upstreams = kernel.tables.upstreams.lock();
    let upstreams = &mut *upstreams;
    upstreams.table.retain(|id, _| config.config.instances.contains_key(id));
    upstreams.by_pool.clear();
    upstreams.slots_by_pool = None;
    for (id, configured) in &config.config.instances {
        let entry = instances.table.by_id(id);
        let Some(updated) =
            build_upstream(id, configured, entry, instances.list_read, daemons, now)
        else {
            continue;
        };
        let pool = updated.pool.clone();
        let handle = match upstreams.table.find(id) {
            Some(handle) => {
                if let Some(existing) = upstreams.table.get_mut(handle) {
                    update(existing, updated);
                }
                handle
            }
            None => upstreams.table.set(id, updated),
        };
        upstreams.by_pool.entry(pool).or_default().push(handle);
    }
}

fn build_upstream(
    id: &InstanceId,
    configured: &Instance,
    entry: Option<&InstanceEntry>,
    list_read: bool,
    daemons: u32,
    now: Instant,
) -> Option<UpstreamEntry> {
    let row = entry.and_then(|entry| entry.row.as_ref());
    let serves = row.is_none_or(|row| row.state == InstanceState::Serving);
    // An instance that was configured after the last read of the list counts as listed, so that it does
    // not go through a slow start when the list shows it.
    let listed = !list_read || entry.is_none_or(|entry| entry.listed);
    let connections = (configured.connections_max / daemons).max(1);
    Some(UpstreamEntry {
        instance: id.clone(),
        address: configured.address.parse().ok()?,
        pool: row.map_or_else(|| configured.pool.clone(), |row| row.pool.clone()),
        failure_domain: configured.failure_domain.clone(),
        capacity: configured.slots.min(connections),
        outstanding: 0,
        boot: entry.map_or(0, |entry| entry.listed_boot),
        serving: serves && listed,
        // An instance that serves when it is first observed needs no slow start.
        serving_since: now.checked_sub(ASSUMED_SERVING_TIME).unwrap_or(now),
        leaving: DrainNotice::default(),
        health: Health::new(now),
        idle: Vec::new(),
    })
}

/// Time for which an instance is assumed to have served when it is first observed.
const ASSUMED_SERVING_TIME: std::time::Duration = std::time::Duration::from_secs(60);

fn update(existing: &mut UpstreamEntry, updated: UpstreamEntry) {
    // The first boot that is listed is not a reboot: the instance may have served for a long time.
    let rebooted = existing.boot != 0 && updated.boot > existing.boot;
    let returned = updated.serving && !existing.serving || rebooted;
    if returned {
        // The new entry's time lies `ASSUMED_SERVING_TIME` in the past; a slow start begins now.
        existing.serving_since = updated.serving_since + ASSUMED_SERVING_TIME;
    }
    if !updated.serving || updated.boot > existing.boot || updated.address != existing.address {
        existing.idle.clear();
    }
    existing.address = updated.address;
    existing.pool = updated.pool;
    existing.failure_domain = updated.failure_domain;
    existing.capacity = updated.capacity;
    existing.boot = updated.boot;
    existing.serving = updated.serving;
}
