//! Reads and conditional writes of rows; a lost response is resolved by reading the row back.
//!
//! Every write carries a fresh write id, which the row stores together with a few earlier ones. When
//! the response to a write is lost, the same conditional write is sent again: it takes effect at most
//! once, since it names the version that it replaces. If the repeat meets another version, the row's
//! list of write ids shows whether the first write took effect. An outcome that cannot be determined
//! is reported as unknown. See docs/DESIGN.md, "The store".

mod error;
mod rows;

use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::Semaphore;
use wasabiswitch_derive::derives;
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::breaker::{Breaker, BreakerConfig, Permit};
use wasabiswitch_policy::retry::backoff;
use wasabiswitch_wire::codec::WireType;
use wasabiswitch_wire::decode;

use crate::clock::Clock;
use crate::metric;
use crate::platform::{
    CommitOutcome, ListedInstance, Platform, PlatformError, PlatformResult, Row, ScanRange, Write,
};

pub use error::{StoreError, StoreErrorKind};
pub use rows::{BaseVersion, ReadRows, RowWrite, Stored};
use rows::{Envelope, RECENT_WRITES_MAX, open_row};

/// Maximum number of attempts at a read-modify-write that meets conflicts.
const CONFLICT_ATTEMPTS_MAX: u32 = 16;
/// Maximum number of times that one call is sent before its outcome is reported as unknown or as not run.
const CALLS_MAX: u32 = 4;
/// Time after which one call to the platform counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of rows in one page of a scan.
const SCAN_ROWS_MAX: usize = 1_000;

/// Class of work of a call; each class has its own limit of calls in flight.
#[derives(value)]
pub enum CallClass {
    /// Sessions, grants, roles and configuration.
    Control,
    /// Requests and jobs of callers.
    Caller,
    /// Views for operators.
    Display,
}

/// Maximum number of calls in flight of each class.
const CLASS_CALLS_IN_FLIGHT_MAX: [(CallClass, usize); 3] =
    [(CallClass::Control, 32), (CallClass::Caller, 64), (CallClass::Display, 4)];

/// Options of a call to the store.
#[derives(value)]
pub struct CallOptions {
    /// Class of work whose limit applies to the call.
    pub class: CallClass,
    /// Time by which the call must have ended, retries included; otherwise it fails.
    pub deadline: Instant,
}

/// Decision of a read-modify-write about the rows that were read.
#[derive(Debug)]
pub enum Change<T, R> {
    /// Writes the value and, once the write has taken effect, returns the result.
    Write(T, R),
    /// Leaves the row unchanged and returns the result.
    Keep(R),
}

/// Client of the table service and the object store, with a circuit breaker.
pub struct Store {
    platform: Platform,
    clock: Clock,
    class_permits: [Semaphore; 3],
    // Leaf locks: no other lock is taken while one of them is held.
    breaker: Mutex<Breaker>,
    last_answered_sent_at: Mutex<Option<Instant>>,
}

impl Store {
    /// Creates a store over the functions of `platform`.
    pub fn new(platform: Platform, clock: Clock) -> Store {
        Store {
            platform,
            clock,
            class_permits: CLASS_CALLS_IN_FLIGHT_MAX.map(|(_, calls)| Semaphore::new(calls)),
            breaker: Mutex::new(Breaker::new(BreakerConfig::default())),
            last_answered_sent_at: Mutex::new(None),
        }
    }

    /// Returns options for a call of `class` whose deadline is `limit` from now.
    pub fn within(&self, class: CallClass, limit: Duration) -> CallOptions {
        CallOptions { class, deadline: self.clock.now() + limit }
    }

    /// Returns the time at which the newest of the answered calls was sent.
    pub fn last_answered_sent_at(&self) -> Option<Instant> {
        *self.last_answered_sent_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads one row, or `None` if it does not exist.
    pub async fn read<T: WireType>(
        &self,
        options: CallOptions,
        key: &str,
    ) -> Result<Option<Stored<T>>, StoreError> {
        let rows = self.read_rows(options, vec![key.to_owned()]).await?;
        rows.into_iter().next().flatten().map(open_row).transpose()
    }

    async fn read_rows(
        &self,
        options: CallOptions,
        keys: Vec<String>,
    ) -> Result<Vec<Option<Row>>, StoreError> {
        let call = || (self.platform.read)(keys.clone());
        self.repeat("read", options, call).await.map_err(read_error)
    }

    /// Reads all rows whose keys start with `prefix`, in the order of their keys.
    pub async fn scan<T: WireType>(
        &self,
        options: CallOptions,
        prefix: &str,
    ) -> Result<Vec<(String, Stored<T>)>, StoreError> {
        let mut stored = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.scan_page(options, prefix, &after, SCAN_ROWS_MAX).await?;
            let is_last_page = page.len() < SCAN_ROWS_MAX;
            if let Some((last, _)) = page.last() {
                after.clone_from(last);
            }
            stored.extend(page);
            if is_last_page {
                return Ok(stored);
            }
        }
    }

    /// Reads at most `rows_max` rows whose keys start with `prefix` and come after `after`.
    pub async fn scan_page<T: WireType>(
        &self,
        options: CallOptions,
        prefix: &str,
        after: &str,
        rows_max: usize,
    ) -> Result<Vec<(String, Stored<T>)>, StoreError> {
        let range = ScanRange { prefix: prefix.to_owned(), after: after.to_owned(), rows_max };
        let call = || (self.platform.scan)(range.clone());
        let rows = self.repeat("scan", options, call).await.map_err(read_error)?;
        rows.into_iter().map(|row| Ok((row.key.clone(), open_row(row)?))).collect()
    }

    /// Reads a row, applies `decide`, and writes the row if it has not changed; retries on a conflict.
    ///
    /// `decide` may be called several times and must not have side effects.
    pub async fn mutate<T: WireType, R>(
        &self,
        options: CallOptions,
        key: &str,
        decide: impl FnMut(Option<&T>) -> Change<T, R>,
    ) -> Result<R, StoreError> {
        let stored = self.read(options, key).await?;
        self.mutate_from(options, key, stored, decide).await
    }

    /// Does the same as [`Store::mutate`], but assumes in its first attempt that the row does not exist.
    ///
    /// The assumption saves a read if it is right, and costs a write with a conflict if it is wrong.
    pub async fn mutate_absent<T: WireType, R>(
        &self,
        options: CallOptions,
        key: &str,
        decide: impl FnMut(Option<&T>) -> Change<T, R>,
    ) -> Result<R, StoreError> {
        self.mutate_from(options, key, None, decide).await
    }

    async fn mutate_from<T: WireType, R>(
        &self,
        options: CallOptions,
        key: &str,
        mut stored: Option<Stored<T>>,
        mut decide: impl FnMut(Option<&T>) -> Change<T, R>,
    ) -> Result<R, StoreError> {
        for attempt in 1..=CONFLICT_ATTEMPTS_MAX {
            let (value, result) = match decide(stored.as_ref().map(|stored| &stored.value)) {
                Change::Keep(result) => return Ok(result),
                Change::Write(value, result) => (value, result),
            };
            let write = RowWrite::new(key, BaseVersion::from(stored.as_ref()), &value);
            let write_id = fastrand::u64(..);
            if self.commit_as(options, &[write], write_id).await? {
                return Ok(result);
            }
            if attempt > 1 {
                self.back_off(options, attempt).await;
            }
            stored = self.read(options, key).await?;
            // If the write was delivered twice, the conflict may be with its own first delivery.
            if stored.as_ref().is_some_and(|stored| stored.recent_writes.contains(&write_id)) {
                return Ok(result);
            }
        }
        Err(StoreError::new(StoreErrorKind::Contention))
    }

    /// Reads several rows in one call.
    pub async fn read_many(
        &self,
        options: CallOptions,
        keys: &[&str],
    ) -> Result<ReadRows, StoreError> {
        let names = keys.iter().map(|key| (*key).to_owned()).collect();
        Ok(ReadRows { rows: self.read_rows(options, names).await? })
    }

    /// Reads rows, applies `decide`, and writes some of them in one batch if none has changed; retries on
    /// a conflict.
    ///
    /// `decide` may be called several times and must not have side effects. The first of its writes must
    /// not be a deletion.
    pub async fn transact<R>(
        &self,
        options: CallOptions,
        keys: &[&str],
        mut decide: impl FnMut(&ReadRows) -> Result<Change<Vec<RowWrite>, R>, StoreError>,
    ) -> Result<R, StoreError> {
        let mut earlier: Option<(u64, R)> = None;
        for attempt in 1..=CONFLICT_ATTEMPTS_MAX {
            let rows = self.read_many(options, keys).await?;
            // If the batch was delivered twice, the conflict may be with its own first delivery.
            if let Some((write_id, result)) = earlier
                && rows.contain_write(write_id)
            {
                return Ok(result);
            }
            let (writes, result) = match decide(&rows)? {
                Change::Keep(result) => return Ok(result),
                Change::Write(writes, result) => (writes, result),
            };
            let write_id = fastrand::u64(..);
            if self.commit_as(options, &writes, write_id).await? {
                return Ok(result);
            }
            earlier = Some((write_id, result));
            self.back_off(options, attempt).await;
        }
        Err(StoreError::new(StoreErrorKind::Contention))
    }

    /// Writes rows in one batch; returns `true` if they took effect, `false` on a conflict.
    pub async fn commit(
        &self,
        options: CallOptions,
        writes: &[RowWrite],
    ) -> Result<bool, StoreError> {
        self.commit_as(options, writes, fastrand::u64(..)).await
    }

    async fn commit_as(
        &self,
        options: CallOptions,
        writes: &[RowWrite],
        write_id: u64,
    ) -> Result<bool, StoreError> {
        let batch: Vec<Write> = writes.iter().map(|write| write.to_platform(write_id)).collect();
        let mut in_doubt = false;
        for call in 1..=CALLS_MAX {
            let outcome = self.call("commit", options, (self.platform.commit)(batch.clone())).await;
            match outcome {
                Ok(CommitOutcome::Committed(_)) => {
                    if in_doubt {
                        count_in_doubt("committed");
                    }
                    return Ok(true);
                }
                Ok(CommitOutcome::Conflict) if !in_doubt => return Ok(false),
                Ok(CommitOutcome::Conflict) => {
                    return self.read_back(options, &writes[0], write_id).await;
                }
                Err(error) if error.verdict == Verdict::NotRun && !in_doubt => {
                    if call == CALLS_MAX || self.is_late(options) {
                        return Err(error.into());
                    }
                }
                Err(error) => {
                    in_doubt = true;
                    if call == CALLS_MAX || self.is_late(options) {
                        count_in_doubt("unknown");
                        return Err(StoreError::new(StoreErrorKind::Unknown(error.detail)));
                    }
                }
            }
            self.back_off(options, call).await;
        }
        Err(StoreError::new(StoreErrorKind::Unknown("gave up".to_owned())))
    }

    /// Determines from the row's write ids whether a write whose response was lost took effect.
    async fn read_back(
        &self,
        options: CallOptions,
        write: &RowWrite,
        write_id: u64,
    ) -> Result<bool, StoreError> {
        let unknown = |detail: String| StoreError::new(StoreErrorKind::Unknown(detail));
        let rows = self.read_rows(options, vec![write.key.clone()]).await;
        let Ok(Some(Some(row))) = rows.map(|rows| rows.into_iter().next()) else {
            count_in_doubt("unknown");
            return Err(unknown("the row could not be read back".to_owned()));
        };
        let envelope: Envelope =
            decode(&row.value).map_err(|error| unknown(format!("row {:?}: {error}", row.key)))?;
        let recent = &envelope.recent_writes;
        let ours = recent.contains(&write_id);
        // The list holds every write since the base version if it contains the write of that version, or
        // if it is not full and thus goes back to the row's first write.
        let base_write = write.base.recent_writes.first();
        let complete =
            recent.len() < RECENT_WRITES_MAX || base_write.is_some_and(|id| recent.contains(id));
        if !ours && !complete {
            count_in_doubt("unknown");
            return Err(unknown("the row has changed too often".to_owned()));
        }
        count_in_doubt(if ours { "committed" } else { "not-committed" });
        Ok(ours)
    }

    /// Reads an object, or `None` if it does not exist.
    pub async fn get_object(
        &self,
        options: CallOptions,
        name: &str,
    ) -> Result<Option<Bytes>, StoreError> {
        let call = || (self.platform.get_object)(name.to_owned());
        self.repeat("get", options, call).await.map_err(read_error)
    }

    /// Writes an object; a retry may write the same content more than once.
    pub async fn put_object(
        &self,
        options: CallOptions,
        name: &str,
        body: Bytes,
    ) -> Result<(), StoreError> {
        let call = || (self.platform.put_object)((name.to_owned(), body.clone()));
        self.repeat("put", options, call).await.map_err(StoreError::from)
    }

    /// Reads the platform's list of instances, which lags behind their state.
    pub async fn list_instances(
        &self,
        options: CallOptions,
    ) -> Result<Vec<ListedInstance>, StoreError> {
        self.repeat("list", options, || (self.platform.list_instances)(()))
            .await
            .map_err(read_error)
    }

    /// Makes an idempotent call, and retries it until it is answered or the deadline has passed.
    async fn repeat<T, F>(
        &self,
        operation: &'static str,
        options: CallOptions,
        call: impl Fn() -> F,
    ) -> PlatformResult<T>
    where
        F: Future<Output = PlatformResult<T>>,
    {
        let mut calls = 1;
        loop {
            match self.call(operation, options, call()).await {
                Err(error) if calls == CALLS_MAX || self.is_late(options) => return Err(error),
                Err(_) => self.back_off(options, calls).await,
                Ok(response) => return Ok(response),
            }
            calls += 1;
        }
    }

    /// Waits before a retry, but no longer than until the deadline: a later answer is of no use to the caller.
    async fn back_off(&self, options: CallOptions, retry: u32) {
        let remaining = options.deadline.saturating_duration_since(self.clock.now());
        tokio::time::sleep(backoff(retry, fastrand::f64()).min(remaining)).await;
    }

    fn is_late(&self, options: CallOptions) -> bool {
        self.clock.now() >= options.deadline
    }

    /// Makes one call, subject to the limit of its class, its deadline and the circuit breaker.
    async fn call<T>(
        &self,
        operation: &'static str,
        options: CallOptions,
        call: impl Future<Output = PlatformResult<T>>,
    ) -> PlatformResult<T> {
        let late = || PlatformError::not_run("the deadline has passed");
        let remaining = options.deadline.saturating_duration_since(self.clock.now());
        let class = &self.class_permits[options.class as usize];
        let _permit = tokio::time::timeout(remaining, class.acquire()).await.map_err(|_| late())?;
        let sent_at = self.clock.now();
        let remaining = options.deadline.saturating_duration_since(sent_at).min(CALL_TIMEOUT);
        if remaining.is_zero() {
            return Err(late());
        }
        self.check_breaker(operation, sent_at)?;
        let mut guard = AbandonGuard { store: self, answered: false };
        let outcome = tokio::time::timeout(remaining, call)
            .await
            .unwrap_or_else(|_| Err(PlatformError::may_have_run("no answer in time")));
        guard.answered = true;
        self.record_outcome(operation, sent_at, outcome.is_ok());
        outcome
    }

    fn check_breaker(&self, operation: &'static str, now: Instant) -> PlatformResult<()> {
        let permit = self.breaker.lock().unwrap_or_else(PoisonError::into_inner).permit(now);
        if permit != Permit::Refuse {
            return Ok(());
        }
        metrics::counter!(metric::STORE_CALLS, "operation" => operation, "outcome" => "not-sent")
            .increment(1);
        Err(PlatformError::not_run("recent calls have failed, so this one was not sent"))
    }

    fn record_outcome(&self, operation: &'static str, sent_at: Instant, answered: bool) {
        let now = self.clock.now();
        {
            let mut breaker = self.breaker.lock().unwrap_or_else(PoisonError::into_inner);
            if answered { breaker.succeeded() } else { breaker.failed(now) }
        }
        if answered {
            let mut last_answered_sent_at =
                self.last_answered_sent_at.lock().unwrap_or_else(PoisonError::into_inner);
            *last_answered_sent_at = (*last_answered_sent_at).max(Some(sent_at));
        }
        let outcome = if answered { "answered" } else { "failed" };
        metrics::counter!(metric::STORE_CALLS, "operation" => operation, "outcome" => outcome)
            .increment(1);
        let seconds = now.saturating_duration_since(sent_at).as_secs_f64();
        metrics::histogram!(metric::STORE_SECONDS, "operation" => operation).record(seconds);
    }
}

/// Guard that reports a call to the breaker as abandoned if its future is dropped before it has an
/// outcome.
struct AbandonGuard<'a> {
    store: &'a Store,
    answered: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.store.breaker.lock().unwrap_or_else(PoisonError::into_inner).abandoned();
        }
    }
}

fn count_in_doubt(outcome: &'static str) {
    metrics::counter!(metric::STORE_DOUBTS, "outcome" => outcome).increment(1);
}

/// Returns the error of a failed read, which is never in doubt since a read has no effect.
fn read_error(error: PlatformError) -> StoreError {
    StoreError::new(StoreErrorKind::Unavailable(error.detail))
}
