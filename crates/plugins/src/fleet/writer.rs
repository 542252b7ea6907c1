//! Persists jobs and progress, and renews the owner's lease with each write.
//!
//! One write is in flight at a time, and each is conditional on the version of the owner's row that the
//! previous write left. So a delayed write fails once a later one has taken effect, a successor's first
//! write makes all later writes of this owner fail, and a write whose answer was lost can be sent again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::sleep;
use wasabiswitch_kernel::platform::fleet::{RowName, RowTx, RowTxOutcome, TableRow};
use wasabiswitch_kernel::platform::{PlatformError, PlatformResult, Version};
use wasabiswitch_kernel::tables::{AcceptOutcome, PendingAccept, Term};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::fleet::admission::ACCEPTS_PER_WRITE_MAX;
use wasabiswitch_policy::fleet::maintenance::{WaveCalls, WaveNumber, WaveProgress};
use wasabiswitch_policy::fleet::ownership::{OWNER_RENEWAL_INTERVAL, OwnerRow, SHARDS};
use wasabiswitch_policy::fleet::progress::ProgressChanges;
use wasabiswitch_policy::fleet::state::JobKey;
use wasabiswitch_policy::fleet::withdrawals::{WithdrawalChanges, WithdrawalRow};
use wasabiswitch_policy::ids::JobId;
use wasabiswitch_wire::{decode, encode};

use super::ownership::owner_row_name;
use super::port;
use super::takeover::{
    JOB_TABLE, PROGRESS_TABLE, SILENT_WORKER_TABLE, START_POOL_TABLE, WAVE_CALL_TABLE, WAVE_TABLE,
    WITHDRAWAL_TABLE,
};
use super::term::STORE_OUTAGE_MAX;

/// Time that progress waits for more progress, so that one write contains both.
const PROGRESS_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of rows that one write reads, puts and removes; the store accepts 100 rows of at most 1 MB.
const ROWS_MAX: usize = 100;
/// Maximum number of rows of ended jobs that one write removes from each of the two tables; a hundred writes
/// per second are usual.
const REMOVES_MAX: usize = 20;
/// Delay before a write that failed is sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Multiple of the previous write's duration after which a write is overdue and submissions outside it are
/// refused: it pays to wait for a slow store, but not for an unresponsive one.
const OVERDUE_FACTOR: u32 = 2;
/// Minimum time after which a write is overdue; well above the duration of a healthy write.
const OVERDUE_MIN: Duration = Duration::from_millis(300);
/// Maximum time after which a write is overdue; below the timeout of the call.
const OVERDUE_MAX: Duration = Duration::from_millis(1_000);
/// Duration from which a write is logged as slow; a healthy store takes a few milliseconds.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(100);
/// Interval between two checks of an overdue write.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a submission is refused while the store does not write.
const ACCEPT_WAIT_MAX: Duration = Duration::from_millis(140);

/// One write: the rows, and the waiters to notify once they are written.
struct Batch {
    accepts: Vec<PendingAccept>,
    changes: ProgressChanges,
    withdrawals: WithdrawalChanges,
    flush_waiters: Vec<oneshot::Sender<()>>,
    waves: Vec<(WaveNumber, WaveProgress, WaveCalls)>,
    wave_record_waiters: Vec<oneshot::Sender<()>>,
    /// Ended jobs, of which this write leaves only the progress row.
    retired: Vec<(JobKey, JobId)>,
    /// Jobs whose row of start pools this write removes, because they are retired.
    unused_start_pools: Vec<JobId>,
    /// Jobs whose status has expired, of which this write removes the last row.
    expired: Vec<JobId>,
    is_release: bool,
}

/// The writer of a term; a term has only one.
pub(crate) struct Writer {
    kernel: Arc<Kernel>,
    row: OwnerRow,
    version: Version,
    confirmed_sent: Instant,
}

impl Writer {
    pub(crate) fn new(
        kernel: Arc<Kernel>,
        row: OwnerRow,
        version: Version,
        confirmed_sent: Instant,
    ) -> Writer {
        Writer { kernel, row, version, confirmed_sent }
    }

    /// Writes until the term ends; returns the reason of its end.
    pub(crate) async fn run(mut self) -> &'static str {
        loop {
            self.wait_for_work().await;
            let batch = self.take_batch();
            if self.is_superseded() {
                self.end_submissions(&batch.accepts, false);
                return "the fleet has a newer owner";
            }
            let is_release = batch.is_release;
            if let Err(reason) = self.write(batch).await {
                return reason;
            }
            if is_release {
                self.end_submissions(&[], false);
                return "handed over";
            }
        }
    }

    async fn wait_for_work(&self) {
        let due = self.confirmed_sent + OWNER_RENEWAL_INTERVAL;
        loop {
            let now = self.kernel.clock.now();
            if now >= due || self.is_urgent() {
                return;
            }
            if self.has_progress() {
                sleep(PROGRESS_DELAY.min(due.saturating_duration_since(now))).await;
                return;
            }
            tokio::select! {
                () = sleep(due.saturating_duration_since(now)) => {}
                () = self.kernel.wake_signals.write.notified() => {}
            }
        }
    }

    /// Returns whether a caller, a worker that answers again, a handover or a stop waits for a write.
    fn is_urgent(&self) -> bool {
        let guard = self.kernel.tables.term.lock();
        let has_waiters = guard.as_ref().is_some_and(|term| {
            !term.accepts.is_empty()
                || !term.flush_waiters.is_empty()
                || !term.wave_record_waiters.is_empty()
                || term.engine.has_record_removals()
                || term.superseded
                || term.hand_over_requested
        });
        has_waiters || self.kernel.is_stopping()
    }

    fn has_progress(&self) -> bool {
        let guard = self.kernel.tables.term.lock();
        let changed = |t: &Term| t.engine.has_changes() || !t.waves_changed.is_empty();
        guard.as_ref().is_some_and(changed)
    }

    fn is_superseded(&self) -> bool {
        self.kernel.tables.term.lock().as_ref().is_none_or(|term| term.superseded)
    }

    fn take_batch(&self) -> Batch {
        let now = self.kernel.clock.now();
        let mut guard = self.kernel.tables.term.lock();
        let term = guard.as_mut().expect("the term lasts as long as its writer");
        let waves = std::mem::take(&mut term.waves_changed);
        let waves = waves.into_iter().filter_map(|number| {
            let wave = term.engine.waves.get(&number)?;
            Some((number, WaveProgress { begun: wave.begun() }, wave.calls_row()))
        });
        let waves: Vec<(WaveNumber, WaveProgress, WaveCalls)> = waves.collect();
        let wave_record_waiters = std::mem::take(&mut term.wave_record_waiters);
        let mut accepts = Vec::new();
        while accepts.len() < ACCEPTS_PER_WRITE_MAX
            && let Some((job, mut pending)) = term.accepts.pop_first()
        {
            term.write_waiters.insert(job, std::mem::take(&mut pending.waiters));
            accepts.push(pending);
        }
        // The owner's row counts twice, since it is both expected and put.
        let mut rows_left = ROWS_MAX.saturating_sub(2 + 2 * waves.len() + accepts.len());
        let withdrawals = term.engine.take_withdrawals(rows_left, now);
        rows_left -= withdrawals.rows();
        let changes = term.engine.take_changes(rows_left);
        rows_left -= changes.rows();
        // Flush waiters are notified only by the write that contains the last of the pending progress.
        let is_complete = !term.engine.has_changes();
        let retired = term.engine.retirable_jobs(rows_left.min(REMOVES_MAX));
        rows_left -= retired.len();
        let unused_start_pools =
            term.engine.take_unused_start_pools(&retired, rows_left.min(REMOVES_MAX));
        rows_left -= unused_start_pools.len();
        Batch {
            accepts,
            changes,
            withdrawals,
            waves,
            wave_record_waiters,
            flush_waiters: if is_complete {
                std::mem::take(&mut term.flush_waiters)
            } else {
                Vec::new()
            },
            retired,
            unused_start_pools,
            expired: term.engine.remove_expired_jobs(now, rows_left.min(REMOVES_MAX)),
            is_release: is_complete
                && (self.kernel.is_stopping() || term.hand_over_requested)
                && term.accepts.is_empty(),
        }
    }

    /// Writes a batch, with as many attempts as it needs; an error is the reason why the term ends.
    async fn write(&mut self, mut batch: Batch) -> Result<(), &'static str> {
        self.row.writes += 1;
        self.row.released = batch.is_release;
        let first_sent = self.kernel.clock.now();
        let mut may_have_run = false;
        loop {
            let sent = self.kernel.clock.now();
            let outcome = self.commit(&batch, sent).await;
            let took = self.kernel.clock.now().saturating_duration_since(sent);
            record_write_metrics(&outcome, took);
            if took >= SLOW_WRITE_THRESHOLD {
                self.log_slow_write(&batch, took);
            }
            match outcome {
                Ok(RowTxOutcome::Committed(version)) => {
                    self.complete_write(batch, version, sent);
                    return Ok(());
                }
                Ok(RowTxOutcome::Conflict(rows)) => {
                    // An earlier attempt of the same write may have taken effect.
                    let Some(version) = self.own_version(&rows) else {
                        self.end_submissions(&batch.accepts, may_have_run);
                        return Err("the store has a newer owner");
                    };
                    self.complete_write(batch, version, first_sent);
                    return Ok(());
                }
                Err(error) => {
                    may_have_run |= error.verdict != Verdict::NotRun;
                    log::warn!(
                        "owner's write not confirmed writes={} reason={error}",
                        self.row.writes
                    );
                    self.record_write_failure(sent);
                }
            }
            if !may_have_run {
                self.refuse_overdue_in_batch(&mut batch.accepts);
            }
            self.refuse_overdue_in_queue();
            if let Some(reason) = self.reason_to_end(first_sent) {
                self.end_submissions(&batch.accepts, may_have_run);
                return Err(reason);
            }
            sleep(WRITE_RETRY_DELAY).await;
        }
    }

    fn log_slow_write(&self, batch: &Batch, took: Duration) {
        log::info!(
            "owner's write is slow writes={} took_ms={} accepts={} progress={} start_pools={}",
            self.row.writes,
            took.as_millis(),
            batch.accepts.len(),
            batch.changes.jobs.len(),
            batch.changes.start_pools.len()
        );
    }

    /// Makes one attempt to write a batch; while it is overdue, submissions outside it are refused.
    async fn commit(&self, batch: &Batch, sent: Instant) -> PlatformResult<RowTxOutcome> {
        let mut commit = (port(&self.kernel).commit)(self.transaction(batch));
        let last_duration = self
            .kernel
            .tables
            .term
            .lock()
            .as_ref()
            .map_or(Duration::ZERO, |t| t.last_write_duration);
        let mut check_after = (last_duration * OVERDUE_FACTOR).clamp(OVERDUE_MIN, OVERDUE_MAX);
        loop {
            tokio::select! {
                outcome = &mut commit => return outcome,
                () = sleep(check_after) => {}
            }
            check_after = OVERDUE_CHECK_INTERVAL;
            // The recorded failure lets another daemon ask this owner to step down, once that daemon has
            // checked that the store is not slow for it as well.
            self.record_write_failure(sent);
            self.refuse_overdue_in_queue();
            if self.is_superseded() {
                return Err(PlatformError::may_have_run("the term ended meanwhile"));
            }
        }
    }

    /// Records that writes have failed, or have been unanswered, since `since`.
    fn record_write_failure(&self, since: Instant) {
        if let Some(term) = self.kernel.tables.term.lock().as_mut() {
            term.write_failing_since.get_or_insert(since);
        }
    }

    fn reason_to_end(&self, first_sent: Instant) -> Option<&'static str> {
        let waited = self.kernel.clock.now().saturating_duration_since(first_sent);
        if self.is_superseded() {
            Some("the fleet has a newer owner")
        } else if waited > STORE_OUTAGE_MAX {
            Some("the store does not take writes")
        } else if self.kernel.is_stopping() && waited > OWNER_RENEWAL_INTERVAL {
            Some("stopped while the store does not take writes")
        } else {
            None
        }
    }

    /// Ends the term for all waiting submissions; `accepts` are those of the last write.
    ///
    /// A submission that is certainly not written is answered so; the outcome of the others is in doubt.
    fn end_submissions(&self, accepts: &[PendingAccept], may_have_run: bool) {
        let mut guard = self.kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return };
        term.superseded = true;
        let unsent = std::mem::take(&mut term.accepts).into_values();
        notify_waiters(unsent.flat_map(|pending| pending.waiters), AcceptOutcome::TermEnded);
        if !may_have_run {
            notify_waiters(take_waiters(term, accepts), AcceptOutcome::TermEnded);
        }
        term.write_waiters.clear();
        term.flush_waiters.clear();
        term.wave_record_waiters.clear();
    }

    fn transaction(&self, batch: &Batch) -> RowTx {
        let owner = owner_row_name();
        let mut puts = vec![(owner.clone(), Bytes::from(encode(&self.row)))];
        let row_name = |table, key: String| RowName { table, key };
        for pending in &batch.accepts {
            let key = pending.row.submission.job.to_string();
            puts.push((row_name(JOB_TABLE, key), Bytes::from(encode(&pending.row))));
        }
        for (_, job, progress) in &batch.changes.jobs {
            puts.push((row_name(PROGRESS_TABLE, job.to_string()), Bytes::from(encode(progress))));
        }
        for (_, job, pools) in &batch.changes.start_pools {
            puts.push((row_name(START_POOL_TABLE, job.to_string()), Bytes::from(encode(pools))));
        }
        for (worker, record) in &batch.changes.silent_workers {
            let row = row_name(SILENT_WORKER_TABLE, worker.to_string());
            puts.push((row, Bytes::from(encode(record))));
        }
        let withdrawal = WithdrawalRow { recorded_by: self.row.fence };
        for job in &batch.withdrawals.added {
            let row = row_name(WITHDRAWAL_TABLE, job.to_string());
            puts.push((row, Bytes::from(encode(&withdrawal))));
        }
        for (number, progress, calls) in &batch.waves {
            puts.push((row_name(WAVE_TABLE, number.to_string()), Bytes::from(encode(progress))));
            puts.push((row_name(WAVE_CALL_TABLE, number.to_string()), Bytes::from(encode(calls))));
        }
        let retired = batch.retired.iter().map(|(_, job)| row_name(JOB_TABLE, job.to_string()));
        let expired = batch.expired.iter().map(|job| row_name(PROGRESS_TABLE, job.to_string()));
        let unused = batch.unused_start_pools.iter();
        let unused = unused.map(|job| row_name(START_POOL_TABLE, job.to_string()));
        let answering = batch.changes.answering_workers.iter();
        let answering = answering.map(|id| row_name(SILENT_WORKER_TABLE, id.to_string()));
        let forgotten = batch.withdrawals.expired.iter();
        let forgotten = forgotten.map(|job| row_name(WITHDRAWAL_TABLE, job.to_string()));
        let removes = retired.chain(unused).chain(expired).chain(answering);
        let removes = removes.chain(forgotten).collect();
        RowTx { expected: vec![(owner, self.version)], puts, removes }
    }

    /// Returns the version of the owner's row if this same write has put it.
    fn own_version(&self, rows: &[TableRow]) -> Option<Version> {
        let row = rows.iter().find(|row| row.key == SHARDS[0])?;
        let stored: OwnerRow = decode(&row.value).ok()?;
        (stored == self.row).then_some(row.version)
    }

    /// Refuses the overdue submissions of a write that has certainly not taken effect.
    fn refuse_overdue_in_batch(&self, accepts: &mut Vec<PendingAccept>) {
        let (overdue, kept) = self.partition_overdue(std::mem::take(accepts));
        *accepts = kept;
        if let Some(term) = self.kernel.tables.term.lock().as_mut() {
            notify_waiters(take_waiters(term, &overdue), AcceptOutcome::NotWritten);
        }
    }

    /// Refuses the overdue submissions among those that wait for the next write.
    fn refuse_overdue_in_queue(&self) {
        let mut guard = self.kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return };
        let waiting = std::mem::take(&mut term.accepts).into_values().collect();
        let (overdue, kept) = self.partition_overdue(waiting);
        let with_job = |pending: PendingAccept| (pending.row.submission.job.clone(), pending);
        term.accepts = kept.into_iter().map(with_job).collect();
        notify_waiters(
            overdue.into_iter().flat_map(|pending| pending.waiters),
            AcceptOutcome::NotWritten,
        );
    }

    /// Separates the submissions that have waited for [`ACCEPT_WAIT_MAX`] from the others.
    fn partition_overdue(
        &self,
        accepts: Vec<PendingAccept>,
    ) -> (Vec<PendingAccept>, Vec<PendingAccept>) {
        let now = self.kernel.clock.now();
        let is_overdue = |pending: &PendingAccept| {
            now.saturating_duration_since(pending.received_at) >= ACCEPT_WAIT_MAX
        };
        accepts.into_iter().partition(is_overdue)
    }

    fn complete_write(&mut self, batch: Batch, version: Version, sent: Instant) {
        log_silent_records(&batch.changes);
        self.version = version;
        self.confirmed_sent = sent;
        let (now, unix_ms) = (self.kernel.clock.now(), self.kernel.clock.unix_ms());
        {
            let mut guard = self.kernel.tables.term.lock();
            let Some(term) = guard.as_mut() else { return };
            term.confirmed_sent = sent;
            term.engine.confirmed_sent = Some(sent);
            term.writes = self.row.writes;
            term.write_failing_since = None;
            term.last_write_duration = now.saturating_duration_since(sent);
            term.engine.confirm_changes(&batch.changes);
            // Before the jobs, which a stored withdrawal cancels at once.
            term.engine.confirm_withdrawals(&batch.withdrawals);
            term.engine.mark_retired(&batch.retired);
            for pending in batch.accepts {
                notify_waiters(
                    take_waiters(term, std::slice::from_ref(&pending)),
                    AcceptOutcome::Written,
                );
                let row = pending.row;
                term.engine.accept(row.submission, row.queue_settings, now, unix_ms);
            }
        }
        for waiter in batch.flush_waiters.into_iter().chain(batch.wave_record_waiters) {
            let _ = waiter.send(());
        }
        self.kernel.wake_signals.plan.notify_one();
    }
}

/// Removes and returns the waiters for jobs of the write in flight.
fn take_waiters(term: &mut Term, accepts: &[PendingAccept]) -> Vec<oneshot::Sender<AcceptOutcome>> {
    let jobs = accepts.iter().map(|pending| &pending.row.submission.job);
    jobs.filter_map(|job| term.write_waiters.remove(job)).flatten().collect()
}

fn notify_waiters(
    waiters: impl IntoIterator<Item = oneshot::Sender<AcceptOutcome>>,
    outcome: AcceptOutcome,
) {
    for waiter in waiters {
        // Sending fails if the caller has stopped waiting, and then needs no answer.
        let _ = waiter.send(outcome);
    }
}

/// Logs the workers whose records have been written or removed.
fn log_silent_records(changes: &ProgressChanges) {
    for (worker, record) in &changes.silent_workers {
        let tasks = record.tasks.as_ref().map_or_else(|| "any".to_owned(), |t| t.len().to_string());
        log::info!("unresponsive worker recorded worker={worker} possible_tasks={tasks}");
    }
    for worker in &changes.answering_workers {
        log::info!("record of an unresponsive worker removed worker={worker}");
    }
}

fn record_write_metrics(outcome: &PlatformResult<RowTxOutcome>, took: Duration) {
    let outcome = match outcome {
        Ok(RowTxOutcome::Committed(_)) => "committed",
        Ok(RowTxOutcome::Conflict(_)) => "conflict",
        Err(error) => error.verdict.as_str(),
    };
    metrics::counter!(metric::OWNER_WRITES, "outcome" => outcome).increment(1);
    metrics::histogram!(metric::OWNER_WRITE_SECONDS).record(took.as_secs_f64());
}
