//! What this daemon makes of the configuration, the rows and the platform's list together.

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

/// Returns an instance's row as this daemon knows it.
pub fn current_row(kernel: &Kernel, instance: &str) -> Option<InstanceRow> {
    let configured = configured_row(kernel, instance)?;
    let instances = kernel.tables.instances.lock();
    let entry = instances.table.by_id(instance);
    Some(entry.and_then(|entry| entry.row.clone()).unwrap_or(configured))
}

/// Returns the members of a pool with their failure domains, and its budget.
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

/// Reads the platform's list of instances, which is late; returns whether it tells anything new.
pub async fn list_instances(kernel: &Kernel) -> bool {
    let options = kernel.store.within(CallClass::Control, super::READ_EVERY);
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
        // The list may be answered from the past, but a boot never goes back.
        let boot = entry.listed_boot.max(listed.unwrap_or(0));
        changed |= entry.listed != listed.is_some() || entry.listed_boot != boot;
        entry.listed = listed.is_some();
        entry.listed_boot = boot;
    }
    instances.list_read = true;
    changed
}

/// Records that a boot of an instance is leaving; the first to say so counts.
pub fn record_leaving(kernel: &Kernel, instance: &InstanceId, boot: BootId, source: &'static str) {
    let news = {
        let mut upstreams = kernel.tables.upstreams.lock();
        let upstream = upstreams.table.by_id_mut(instance);
        upstream.is_some_and(|upstream| {
            let news = upstream.leaving.record(boot);
            if news {
                upstream.idle.clear();
            }
            news
        })
    };
    if news {
        kernel.tables.upstreams.lock().slots_by_pool = None;
    }
    if news {
        metrics::counter!(metric::UPSTREAMS_LEAVING, "source" => source).increment(1);
        kernel.wakes.peers.notify_one();
    }
}

/// Brings the table of upstreams up to date with the configuration, the rows and the list.
pub fn refresh_upstreams(kernel: &Kernel) {
    let config = kernel.config();
    let now = kernel.clock.now();
    let daemons = kernel.tables.members.lock().reach.live().len().max(1) as u32;
    let instances = kernel.tables.instances.lock();
    let mut upstreams = kernel.tables.upstreams.lock();
    let upstreams = &mut *upstreams;
    upstreams.table.retain(|id, _| config.config.instances.contains_key(id));
    upstreams.by_pool.clear();
    upstreams.slots_by_pool = None;
    for (id, configured) in &config.config.instances {
        let seen = instances.table.by_id(id);
        let Some(fresh) = upstream_of(id, configured, seen, instances.list_read, daemons, now)
        else {
            continue;
        };
        let pool = fresh.pool.clone();
        let handle = match upstreams.table.find(id) {
            Some(handle) => {
                if let Some(known) = upstreams.table.get_mut(handle) {
                    update(known, fresh);
                }
                handle
            }
            None => upstreams.table.set(id, fresh),
        };
        upstreams.by_pool.entry(pool).or_default().push(handle);
    }
}

fn upstream_of(
    id: &InstanceId,
    configured: &Instance,
    seen: Option<&InstanceEntry>,
    list_read: bool,
    daemons: u32,
    now: Instant,
) -> Option<UpstreamEntry> {
    let row = seen.and_then(|entry| entry.row.as_ref());
    let serves = row.is_none_or(|row| row.state == InstanceState::Serving);
    // An instance that was configured since the last list was read is taken to be there, so that it
    // does not go through a slow start when the list shows it.
    let listed = !list_read || seen.is_none_or(|entry| entry.listed);
    let connections = (configured.connections_max / daemons).max(1);
    Some(UpstreamEntry {
        instance: id.clone(),
        address: configured.address.parse().ok()?,
        pool: row.map_or_else(|| configured.pool.clone(), |row| row.pool.clone()),
        failure_domain: configured.failure_domain.clone(),
        capacity: configured.slots.min(connections),
        outstanding: 0,
        boot: seen.map_or(0, |entry| entry.listed_boot),
        serving: serves && listed,
        // An instance that serves when it is first seen is taken to be warm.
        serving_since: now.checked_sub(WARM).unwrap_or(now),
        leaving: DrainNotice::default(),
        health: Health::new(now),
        idle: Vec::new(),
    })
}

/// How long ago an instance that is seen for the first time is taken to have begun to serve.
const WARM: std::time::Duration = std::time::Duration::from_secs(60);

fn update(known: &mut UpstreamEntry, fresh: UpstreamEntry) {
    // The first boot that is listed is no new boot: the instance may have served for long.
    let rebooted = known.boot != 0 && fresh.boot > known.boot;
    let came_back = fresh.serving && !known.serving || rebooted;
    if came_back {
        // The fresh entry's time lies before; a slow start begins now.
        known.serving_since = fresh.serving_since + WARM;
    }
    if !fresh.serving || fresh.boot > known.boot || fresh.address != known.address {
        known.idle.clear();
    }
    known.address = fresh.address;
    known.pool = fresh.pool;
    known.failure_domain = fresh.failure_domain;
    known.capacity = fresh.capacity;
    known.boot = fresh.boot;
    known.serving = fresh.serving;
}
