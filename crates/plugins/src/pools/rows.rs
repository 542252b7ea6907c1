//! Reads and writes the rows of instances and pools.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::store::{
    BaseVersion, CallClass, CallOptions, Change, RowWrite, StoreError, Stored,
};
use wasabiswitch_policy::ids::{InstanceId, PoolId};
use wasabiswitch_policy::instance::{
    DenialReason, Event, FeedDelta, FeedRow, InstanceRow, InstanceState, PoolRow, Reason,
    TransitionError, apply, mark_available, plan_outage,
};

use super::view::{configured_row, pool_view};

/// Key of the feed of changes.
const FEED_KEY: &str = "instance-feed";
/// Key prefix of instance rows.
const INSTANCE_PREFIX: &str = "instance/";
/// Key prefix of pool rows.
const POOL_PREFIX: &str = "pool/";
/// Timeout of a read or write of the rows.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the key of an instance's row.
pub fn instance_key(instance: &str) -> String {
    format!("{INSTANCE_PREFIX}{instance}")
}

/// Returns the key of a pool's row.
pub fn pool_key(pool: &str) -> String {
    format!("{POOL_PREFIX}{pool}")
}

/// Outcome of a change to the row of an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum RowChange {
    /// The row was changed to this one, or was equal to it already.
    Changed(InstanceRow),
    /// The state of the instance does not allow the event, or the daemon's view of its pool is stale.
    Misfit(TransitionError),
    /// The budget of the pool does not allow the change.
    Denied(DenialReason),
    /// No instance with this id is configured.
    Unknown,
}

fn options(kernel: &Kernel) -> CallOptions {
    kernel.store.within(CallClass::Control, CHANGE_TIMEOUT)
}

/// Applies an event to the row of an instance, and marks the instance available in the row of its pool if
/// it returns to service or leaves the pool.
pub async fn change_instance(
    kernel: &Kernel,
    instance: &InstanceId,
    event: &Event,
) -> Result<RowChange, StoreError> {
    write_transition(kernel, instance, event, None, |before, after, pool_before| {
        // An instance that is moved no longer counts as unavailable in the pool that it leaves.
        let is_available = after.state == InstanceState::Serving || after.pool != before.pool;
        Ok(if is_available { mark_available(pool_before, instance) } else { pool_before.clone() })
    })
    .await
}

/// Begins to drain an instance if the budget of its pool allows it.
///
/// `extra_write` is committed in the same batch, such as the row of the wave that drains the instance.
pub async fn drain_within_budget(
    kernel: &Kernel,
    instance: &InstanceId,
    reason: &Reason,
    extra_write: Option<&RowWrite>,
) -> Result<RowChange, StoreError> {
    let event = Event::Drain(reason.clone());
    let view = pool_view(kernel, &current_pool(kernel, instance));
    write_transition(kernel, instance, &event, extra_write, |_, _, pool_before| {
        plan_outage(pool_before, &view, instance)
    })
    .await
}

/// Returns the pool of an instance, as known to this daemon.
fn current_pool(kernel: &Kernel, instance: &str) -> PoolId {
    super::current_row(kernel, instance).map_or_else(PoolId::default, |row| row.pool)
}

/// Writes the row of an instance after an event, the feed, and the row of its pool in one batch.
///
/// All of them are written on condition that they have not changed since they were read. If two
/// controllers concurrently use the last of a budget, one of them gets a conflict and decides again.
async fn write_transition(
    kernel: &Kernel,
    instance: &InstanceId,
    event: &Event,
    extra_write: Option<&RowWrite>,
    update_pool: impl Fn(&InstanceRow, &InstanceRow, &PoolRow) -> Result<PoolRow, DenialReason>,
) -> Result<RowChange, StoreError> {
    let Some(configured) = configured_row(kernel, instance) else { return Ok(RowChange::Unknown) };
    let pool = current_pool(kernel, instance);
    let keys = [&*instance_key(instance), FEED_KEY, &*pool_key(&pool)];
    let outcome = kernel
        .store
        .transact(options(kernel), &keys, |rows| {
            let stored = rows.get::<InstanceRow>(0)?;
            let before = stored.as_ref().map_or(&configured, |stored| &stored.value);
            if before.pool != pool {
                // The instance has moved and this daemon's view is stale, so that the row that was read
                // is not the one of the instance's pool.
                kernel.wake_signals.instances.notify_one();
                return Ok(Change::Keep(RowChange::Misfit(TransitionError::State)));
            }
            let after = match apply(before, event) {
                Ok(after) if stored.is_some() && after == *before => {
                    return Ok(Change::Keep(RowChange::Changed(after)));
                }
                Ok(after) => after,
                Err(error) => return Ok(Change::Keep(RowChange::Misfit(error))),
            };
            let pool_row = rows.get::<PoolRow>(2)?;
            let pool_before = pool_row.as_ref().map(|row| row.value.clone()).unwrap_or_default();
            let pool_after = match update_pool(before, &after, &pool_before) {
                Ok(next) => next,
                Err(denied) => return Ok(Change::Keep(RowChange::Denied(denied))),
            };
            let feed = rows.get::<FeedRow>(1)?;
            let mut writes = vec![
                RowWrite::new(keys[0], BaseVersion::from(stored.as_ref()), &after),
                feed_write(feed.as_ref(), instance),
            ];
            if pool_after != pool_before {
                writes.push(RowWrite::new(
                    keys[2],
                    BaseVersion::from(pool_row.as_ref()),
                    &pool_after,
                ));
            }
            writes.extend(extra_write.cloned());
            Ok(Change::Write(writes, RowChange::Changed(after)))
        })
        .await?;
    apply_outcome(kernel, instance, &outcome);
    Ok(outcome)
}

fn feed_write(feed: Option<&Stored<FeedRow>>, instance: &InstanceId) -> RowWrite {
    let next = feed.map(|stored| stored.value.clone()).unwrap_or_default().with_change(instance);
    RowWrite::new(FEED_KEY, BaseVersion::from(feed), &next)
}

fn apply_outcome(kernel: &Kernel, instance: &InstanceId, outcome: &RowChange) {
    let RowChange::Changed(row) = outcome else { return };
    set_row(kernel, instance, row.clone());
    super::refresh_upstreams(kernel);
}

fn set_row(kernel: &Kernel, instance: &InstanceId, row: InstanceRow) {
    let now = kernel.clock.now();
    let mut instances = kernel.tables.instances.lock();
    let (_, entry) = instances.table.get_or_insert(instance, Default::default);
    if entry.row.as_ref() != Some(&row) {
        entry.state_since = Some(now);
        entry.row = Some(row);
    }
}

/// Applies `change` to the row of a pool, and writes the row if it differs.
pub(super) async fn change_pool(
    kernel: &Kernel,
    pool: &PoolId,
    change: impl Fn(&PoolRow) -> PoolRow,
) -> Result<(), StoreError> {
    let after = kernel
        .store
        .mutate(options(kernel), &pool_key(pool), |row: Option<&PoolRow>| {
            let before = row.cloned().unwrap_or_default();
            let after = change(&before);
            if after == before { Change::Keep(after) } else { Change::Write(after.clone(), after) }
        })
        .await?;
    kernel.tables.instances.lock().pools.insert(pool.clone(), after);
    Ok(())
}

/// Reads the rows that have changed since the last read; returns whether any has changed.
pub async fn read_feed(kernel: &Kernel) -> Result<bool, StoreError> {
    let options = options(kernel);
    let feed = kernel.store.read::<FeedRow>(options, FEED_KEY).await?;
    let feed = feed.map(|stored| stored.value).unwrap_or_default();
    let known = kernel.tables.instances.lock().feed_sequence;
    let delta = known.map_or(FeedDelta::All, |sequence| feed.changes_since(sequence));
    match delta {
        FeedDelta::Changed(ids) if ids.is_empty() => return Ok(false),
        FeedDelta::Changed(ids) => read_instances(kernel, &ids).await?,
        FeedDelta::All => read_every_instance(kernel).await?,
    }
    read_pools(kernel).await?;
    kernel.tables.instances.lock().feed_sequence = Some(feed.sequence);
    Ok(true)
}

async fn read_instances(kernel: &Kernel, ids: &[InstanceId]) -> Result<(), StoreError> {
    let keys: Vec<String> = ids.iter().map(|id| instance_key(id)).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let rows = kernel.store.read_many(options(kernel), &keys).await?;
    for (index, id) in ids.iter().enumerate() {
        if let Some(stored) = rows.get::<InstanceRow>(index)? {
            set_row(kernel, id, stored.value);
        }
    }
    Ok(())
}

async fn read_every_instance(kernel: &Kernel) -> Result<(), StoreError> {
    let rows = kernel.store.scan::<InstanceRow>(options(kernel), INSTANCE_PREFIX).await?;
    for (key, stored) in rows {
        set_row(kernel, &key[INSTANCE_PREFIX.len()..].into(), stored.value);
    }
    Ok(())
}

async fn read_pools(kernel: &Kernel) -> Result<(), StoreError> {
    let rows = kernel.store.scan::<PoolRow>(options(kernel), POOL_PREFIX).await?;
    let pools: BTreeMap<PoolId, PoolRow> = rows
        .into_iter()
        .map(|(key, stored)| (key[POOL_PREFIX.len()..].into(), stored.value))
        .collect();
    kernel.tables.instances.lock().pools = pools;
    Ok(())
}
