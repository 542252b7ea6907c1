//! Reads and writes the rows of instances and pools.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::store::{
    BaseVersion, CallClass, CallOptions, Change, RowWrite, StoreError, Stored,
};
use wasabiswitch_policy::ids::{InstanceId, PoolId};
use wasabiswitch_policy::instance::{
    Denied, Event, FeedDelta, FeedRow, InstanceRow, InstanceState, PoolRow, Reason,
    TransitionError, apply, mark_available, plan_outage,
};

use super::view::{configured_row, pool_view};

/// The key of the feed of changes.
const FEED_KEY: &str = "instance-feed";
/// The key prefix of instance rows.
const INSTANCE_PREFIX: &str = "instance/";
/// The key prefix of pool rows.
const POOL_PREFIX: &str = "pool/";
/// How long a change may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the key of an instance's row.
pub fn instance_key(instance: &str) -> String {
    format!("{INSTANCE_PREFIX}{instance}")
}

/// Returns the key of a pool's row.
pub fn pool_key(pool: &str) -> String {
    format!("{POOL_PREFIX}{pool}")
}

/// What became of a change of an instance's row.
#[derive(Clone, Debug, PartialEq)]
pub enum RowChange {
    /// The row is now this.
    Changed(InstanceRow),
    /// The event did not fit the row.
    Misfit(TransitionError),
    /// The pool's budget does not allow it.
    Denied(Denied),
    /// There is no such instance.
    Unknown,
}

fn options(kernel: &Kernel) -> CallOptions {
    kernel.store.within(CallClass::Control, CHANGE_TIMEOUT)
}

/// Applies an event to an instance's row, and to its pool's row where it comes back to service.
pub async fn change_instance(
    kernel: &Kernel,
    instance: &InstanceId,
    event: &Event,
) -> Result<RowChange, StoreError> {
    write_change(kernel, instance, event, None, |before, after, books| {
        // A move takes the instance off the books of the pool that it leaves.
        let is_back = after.state == InstanceState::Serving || after.pool != before.pool;
        Ok(if is_back { mark_available(books, instance) } else { books.clone() })
    })
    .await
}

/// Takes an instance out of service on purpose, if the budget of its pool allows it.
///
/// `also` adds a write that must take effect together with it, such as the progress of a wave.
pub async fn drain_within_budget(
    kernel: &Kernel,
    instance: &InstanceId,
    reason: &Reason,
    also: Option<&RowWrite>,
) -> Result<RowChange, StoreError> {
    let event = Event::Drain(reason.clone());
    let view = pool_view(kernel, &pool_of(kernel, instance));
    write_change(kernel, instance, &event, also, |_, _, books| plan_outage(books, &view, instance))
        .await
}

/// Returns the pool that an instance is in, as this daemon knows it.
fn pool_of(kernel: &Kernel, instance: &str) -> PoolId {
    super::current_row(kernel, instance).map_or_else(PoolId::default, |row| row.pool)
}

/// Writes the row of an instance after an event, the feed, and the books of its pool together.
///
/// Since all of them are written on condition of what was read, of two controllers that race for the
/// last of a budget one meets a conflict and decides again.
async fn write_change(
    kernel: &Kernel,
    instance: &InstanceId,
    event: &Event,
    also: Option<&RowWrite>,
    books_after: impl Fn(&InstanceRow, &InstanceRow, &PoolRow) -> Result<PoolRow, Denied>,
) -> Result<RowChange, StoreError> {
    let Some(configured) = configured_row(kernel, instance) else { return Ok(RowChange::Unknown) };
    let pool = pool_of(kernel, instance);
    let keys = [&*instance_key(instance), FEED_KEY, &*pool_key(&pool)];
    let outcome = kernel
        .store
        .transact(options(kernel), &keys, |rows| {
            let stored = rows.get::<InstanceRow>(0)?;
            let before = stored.as_ref().map_or(&configured, |stored| &stored.value);
            if before.pool != pool {
                // This daemon has not yet seen the instance move, so these are not its pool's books.
                kernel.wakes.instances.notify_one();
                return Ok(Change::Keep(RowChange::Misfit(TransitionError::State)));
            }
            let after = match apply(before, event) {
                Ok(after) if stored.is_some() && after == *before => {
                    return Ok(Change::Keep(RowChange::Changed(after)));
                }
                Ok(after) => after,
                Err(misfit) => return Ok(Change::Keep(RowChange::Misfit(misfit))),
            };
            let pool_row = rows.get::<PoolRow>(2)?;
            let books = pool_row.as_ref().map(|row| row.value.clone()).unwrap_or_default();
            let next_books = match books_after(before, &after, &books) {
                Ok(next) => next,
                Err(denied) => return Ok(Change::Keep(RowChange::Denied(denied))),
            };
            let feed = rows.get::<FeedRow>(1)?;
            let mut writes = vec![
                RowWrite::new(keys[0], BaseVersion::from(stored.as_ref()), &after),
                feed_write(feed.as_ref(), instance),
            ];
            if next_books != books {
                writes.push(RowWrite::new(
                    keys[2],
                    BaseVersion::from(pool_row.as_ref()),
                    &next_books,
                ));
            }
            writes.extend(also.cloned());
            Ok(Change::Write(writes, RowChange::Changed(after)))
        })
        .await?;
    note_change(kernel, instance, &outcome);
    Ok(outcome)
}

fn feed_write(feed: Option<&Stored<FeedRow>>, instance: &InstanceId) -> RowWrite {
    let next = feed.map(|stored| stored.value.clone()).unwrap_or_default().with_change(instance);
    RowWrite::new(FEED_KEY, BaseVersion::from(feed), &next)
}

fn note_change(kernel: &Kernel, instance: &InstanceId, outcome: &RowChange) {
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

/// Writes a pool's row as `change` says, if that changes it.
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

/// Reads the rows that have changed since the last read; returns whether there were any.
pub async fn read_feed(kernel: &Kernel) -> Result<bool, StoreError> {
    let options = options(kernel);
    let feed = kernel.store.read::<FeedRow>(options, FEED_KEY).await?;
    let feed = feed.map(|stored| stored.value).unwrap_or_default();
    let known = kernel.tables.instances.lock().feed_sequence;
    let news = known.map_or(FeedDelta::All, |sequence| feed.changes_since(sequence));
    match news {
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
