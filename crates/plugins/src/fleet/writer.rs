//! Writes jobs and progress down, and renews the owner's lease with each write.
//!
//! There is one write in flight at a time, and each is conditional on the owner's row as the one before
//! left it. So a delayed write fails once a later one has taken effect, a successor's first write stops
//! all that follow, and a write whose answer was lost can simply be sent again.

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
use wasabiswitch_policy::fleet::admission::ACCEPTS_PER_WRITE;
use wasabiswitch_policy::fleet::maintenance::{WaveNumber, WaveProgress};
use wasabiswitch_policy::fleet::ownership::{OWNER_RENEWAL_INTERVAL, OwnerRow, SHARDS};
use wasabiswitch_policy::fleet::progress::ProgressChanges;
use wasabiswitch_policy::fleet::state::JobKey;
use wasabiswitch_policy::ids::JobId;
use wasabiswitch_wire::{decode, encode};

use super::ownership::owner_row_name;
use super::port;
use super::takeover::{JOB_TABLE, PROGRESS_TABLE, WAVE_TABLE};
use super::term::GIVE_UP_AFTER;

/// How long progress waits for more of it before it is written.
const PROGRESS_DELAY: Duration = Duration::from_millis(60);
/// The most rows that one write reads, puts and removes; the store takes 100, of at most 1 MB.
const ROWS_MAX: usize = 100;
/// The most rows of ended jobs that one write removes in each of both tables; a hundred writes a second are usual.
const REMOVES_MAX: usize = 20;
/// The pause after a write that the store refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(80);
/// How long the store may take for a write, as a multiple of the write before, until jobs that are not
/// in it are refused: a store that is slow is worth waiting for, one that is silent is not.
const OVERDUE_FACTOR: u32 = 2;
/// The bounds of that time: well above a healthy write, and below the timeout of the call.
const OVERDUE_MIN: Duration = Duration::from_millis(300);
const OVERDUE_MAX: Duration = Duration::from_millis(1_000);
/// The time of a write above which it is logged; a healthy store takes a few milliseconds.
const WRITE_SLOW: Duration = Duration::from_millis(100);
/// How often an overdue write is looked at.
const OVERDUE_EVERY: Duration = Duration::from_millis(50);
/// How long a submission waits for a store that refuses to write before it is refused itself.
const ACCEPT_PATIENCE: Duration = Duration::from_millis(140);

/// One write: the rows, and what is to be told once they are written.
struct Batch {
    accepts: Vec<PendingAccept>,
    changes: ProgressChanges,
    flush_waiters: Vec<oneshot::Sender<()>>,
    waves: Vec<(WaveNumber, WaveProgress)>,
    /// Jobs that have ended, of which only the progress is kept from now on.
    retired: Vec<(JobKey, JobId)>,
    /// Jobs whose state need not be readable any more.
    forgotten: Vec<JobId>,
    releases: bool,
}

/// The one writer of a term.
pub(crate) struct Writer {
    kernel: Arc<Kernel>,
    row: OwnerRow,
    version: Version,
    confirmed: Instant,
}

impl Writer {
    pub(crate) fn new(
        kernel: Arc<Kernel>,
        row: OwnerRow,
        version: Version,
        confirmed: Instant,
    ) -> Writer {
        Writer { kernel, row, version, confirmed }
    }

    /// Writes until the term ends; returns why it did.
    pub(crate) async fn run(mut self) -> &'static str {
        loop {
            self.wait_for_work().await;
            let batch = self.take_batch();
            if self.is_deposed() {
                self.end_accepts(&batch.accepts, false);
                return "the fleet has a newer owner";
            }
            let releases = batch.releases;
            if let Err(why) = self.write(batch).await {
                return why;
            }
            if releases {
                self.end_accepts(&[], false);
                return "handed over";
            }
        }
    }

    async fn wait_for_work(&self) {
        let due = self.confirmed + OWNER_RENEWAL_INTERVAL;
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
                () = self.kernel.wakes.write.notified() => {}
            }
        }
    }

    /// Reports whether a caller, or a stop, waits for a write.
    fn is_urgent(&self) -> bool {
        let guard = self.kernel.tables.term.lock();
        let waited_for = guard.as_ref().is_some_and(|term| {
            !term.accepts.is_empty()
                || !term.flush_waiters.is_empty()
                || term.superseded
                || term.hand_over_requested
        });
        waited_for || self.kernel.is_stopping()
    }

    fn has_progress(&self) -> bool {
        let guard = self.kernel.tables.term.lock();
        let changed = |t: &Term| t.engine.has_changes() || !t.waves_changed.is_empty();
        guard.as_ref().is_some_and(changed)
    }

    fn is_deposed(&self) -> bool {
        self.kernel.tables.term.lock().as_ref().is_none_or(|term| term.superseded)
    }

    fn take_batch(&self) -> Batch {
        let now = self.kernel.clock.now();
        let mut guard = self.kernel.tables.term.lock();
        let term = guard.as_mut().expect("the term lasts as long as its writer");
        let waves = std::mem::take(&mut term.waves_changed);
        let waves = waves.into_iter().filter_map(|number| {
            let wave = term.engine.waves.get(&number)?;
            Some((number, WaveProgress { begun: wave.begun() }))
        });
        let waves: Vec<(WaveNumber, WaveProgress)> = waves.collect();
        let mut accepts = Vec::new();
        while accepts.len() < ACCEPTS_PER_WRITE
            && let Some((job, mut pending)) = term.accepts.pop_first()
        {
            term.write_waiters.insert(job, std::mem::take(&mut pending.waiters));
            accepts.push(pending);
        }
        // The owner's row is both expected and put.
        let mut rows_left = ROWS_MAX.saturating_sub(2 + waves.len() + accepts.len());
        let changes = term.engine.take_changes(rows_left);
        rows_left -= changes.jobs.len();
        // Who waits for all progress is told only by the write that holds the last of it.
        let all = !term.engine.has_changes();
        let retired = term.engine.retirable_jobs(rows_left.min(REMOVES_MAX));
        rows_left -= retired.len();
        Batch {
            accepts,
            changes,
            waves,
            flush_waiters: if all { std::mem::take(&mut term.flush_waiters) } else { Vec::new() },
            retired,
            forgotten: term.engine.remove_expired_jobs(now, rows_left.min(REMOVES_MAX)),
            releases: all
                && (self.kernel.is_stopping() || term.hand_over_requested)
                && term.accepts.is_empty(),
        }
    }

    /// Writes a batch, however often that takes; an error ends the term.
    async fn write(&mut self, mut batch: Batch) -> Result<(), &'static str> {
        self.row.writes += 1;
        self.row.released = batch.releases;
        let begun = self.kernel.clock.now();
        let mut may_have_run = false;
        loop {
            let sent = self.kernel.clock.now();
            let outcome = self.commit(&batch, sent).await;
            let took = self.kernel.clock.now().saturating_duration_since(sent);
            count_write(&outcome, took);
            if took >= WRITE_SLOW {
                self.log_slow(&batch, took);
            }
            match outcome {
                Ok(RowTxOutcome::Committed(version)) => {
                    self.written(batch, version, sent);
                    return Ok(());
                }
                Ok(RowTxOutcome::Conflict(rows)) => {
                    // An earlier try of this very write may have taken effect.
                    let Some(version) = self.own_version(&rows) else {
                        self.end_accepts(&batch.accepts, may_have_run);
                        return Err("the store has a newer owner");
                    };
                    self.written(batch, version, begun);
                    return Ok(());
                }
                Err(error) => {
                    may_have_run |= error.verdict != Verdict::NotRun;
                    log::warn!("write not confirmed writes={} reason={error}", self.row.writes);
                    self.note_failing(sent);
                }
            }
            if !may_have_run {
                self.refuse_late(&mut batch.accepts);
            }
            self.refuse_waiting();
            if let Some(why) = self.reason_to_end(begun) {
                self.end_accepts(&batch.accepts, may_have_run);
                return Err(why);
            }
            sleep(REFUSED_PAUSE).await;
        }
    }

    fn log_slow(&self, batch: &Batch, took: Duration) {
        log::info!(
            "write slow writes={} took_ms={} accepts={} progress={}",
            self.row.writes,
            took.as_millis(),
            batch.accepts.len(),
            batch.changes.jobs.len()
        );
    }

    /// Makes one try at a write; while it is overdue, jobs that are not in it are refused.
    async fn commit(&self, batch: &Batch, sent: Instant) -> PlatformResult<RowTxOutcome> {
        let mut commit = (port(&self.kernel).commit)(self.tx_of(batch));
        let last = self
            .kernel
            .tables
            .term
            .lock()
            .as_ref()
            .map_or(Duration::ZERO, |t| t.last_write_duration);
        let mut look_after = (last * OVERDUE_FACTOR).clamp(OVERDUE_MIN, OVERDUE_MAX);
        loop {
            tokio::select! {
                outcome = &mut commit => return outcome,
                () = sleep(look_after) => {}
            }
            look_after = OVERDUE_EVERY;
            // A daemon that asks for the fleet finds out whether the store is slow for all.
            self.note_failing(sent);
            self.refuse_waiting();
            if self.is_deposed() {
                return Err(PlatformError::may_have_run("the term ended meanwhile"));
            }
        }
    }

    /// Notes that the writes have failed, or have been without an answer, since `since`.
    fn note_failing(&self, since: Instant) {
        if let Some(term) = self.kernel.tables.term.lock().as_mut() {
            term.write_failing_since.get_or_insert(since);
        }
    }

    fn reason_to_end(&self, begun: Instant) -> Option<&'static str> {
        let waited = self.kernel.clock.now().saturating_duration_since(begun);
        if self.is_deposed() {
            Some("the fleet has a newer owner")
        } else if waited > GIVE_UP_AFTER {
            Some("the store does not take writes")
        } else if self.kernel.is_stopping() && waited > OWNER_RENEWAL_INTERVAL {
            Some("stopped while the store does not take writes")
        } else {
            None
        }
    }

    /// Ends the term for the submissions that still wait, `accepts` being those of the last write.
    ///
    /// Those that are certainly not written are told so; the others hear that the outcome is open.
    fn end_accepts(&self, accepts: &[PendingAccept], may_have_run: bool) {
        let mut guard = self.kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return };
        term.superseded = true;
        let unsent = std::mem::take(&mut term.accepts).into_values();
        answer(unsent.flat_map(|pending| pending.waiters), AcceptOutcome::TermEnded);
        if !may_have_run {
            answer(waiters_of(term, accepts), AcceptOutcome::TermEnded);
        }
        term.write_waiters.clear();
        term.flush_waiters.clear();
    }

    fn tx_of(&self, batch: &Batch) -> RowTx {
        let owner = owner_row_name();
        let mut puts = vec![(owner.clone(), Bytes::from(encode(&self.row)))];
        let named = |table, key: String| RowName { table, key };
        for pending in &batch.accepts {
            let key = pending.row.submission.job.to_string();
            puts.push((named(JOB_TABLE, key), Bytes::from(encode(&pending.row))));
        }
        for (_, job, progress) in &batch.changes.jobs {
            puts.push((named(PROGRESS_TABLE, job.to_string()), Bytes::from(encode(progress))));
        }
        for (number, progress) in &batch.waves {
            puts.push((named(WAVE_TABLE, number.to_string()), Bytes::from(encode(progress))));
        }
        let retired = batch.retired.iter().map(|(_, job)| named(JOB_TABLE, job.to_string()));
        let forgotten = batch.forgotten.iter().map(|job| named(PROGRESS_TABLE, job.to_string()));
        let removes = retired.chain(forgotten).collect();
        RowTx { expected: vec![(owner, self.version)], puts, removes }
    }

    /// Returns the version of the owner's row if it is as this very write puts it.
    fn own_version(&self, rows: &[TableRow]) -> Option<Version> {
        let row = rows.iter().find(|row| row.key == SHARDS[0])?;
        let read: OwnerRow = decode(&row.value).ok()?;
        (read == self.row).then_some(row.version)
    }

    /// Refuses the submissions of a write that is certainly not done, and have waited too long for it.
    fn refuse_late(&self, accepts: &mut Vec<PendingAccept>) {
        let (late, kept) = self.split_late(std::mem::take(accepts));
        *accepts = kept;
        if let Some(term) = self.kernel.tables.term.lock().as_mut() {
            answer(waiters_of(term, &late), AcceptOutcome::NotWritten);
        }
    }

    /// Refuses the submissions that wait for the next write and have waited too long.
    fn refuse_waiting(&self) {
        let mut guard = self.kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return };
        let waiting = std::mem::take(&mut term.accepts).into_values().collect();
        let (late, kept) = self.split_late(waiting);
        let named = |pending: PendingAccept| (pending.row.submission.job.clone(), pending);
        term.accepts = kept.into_iter().map(named).collect();
        answer(late.into_iter().flat_map(|pending| pending.waiters), AcceptOutcome::NotWritten);
    }

    fn split_late(&self, accepts: Vec<PendingAccept>) -> (Vec<PendingAccept>, Vec<PendingAccept>) {
        let now = self.kernel.clock.now();
        let late = |pending: &PendingAccept| {
            now.saturating_duration_since(pending.received_at) >= ACCEPT_PATIENCE
        };
        accepts.into_iter().partition(late)
    }

    fn written(&mut self, batch: Batch, version: Version, sent: Instant) {
        self.version = version;
        self.confirmed = sent;
        let (now, unix_ms) = (self.kernel.clock.now(), self.kernel.clock.unix_ms());
        {
            let mut guard = self.kernel.tables.term.lock();
            let Some(term) = guard.as_mut() else { return };
            term.confirmed_sent = sent;
            term.writes = self.row.writes;
            term.write_failing_since = None;
            term.last_write_duration = now.saturating_duration_since(sent);
            term.engine.confirm_changes(&batch.changes);
            term.engine.mark_retired(&batch.retired);
            for pending in batch.accepts {
                answer(waiters_of(term, std::slice::from_ref(&pending)), AcceptOutcome::Written);
                let row = pending.row;
                term.engine.accept(row.submission, row.queue_settings, now, unix_ms);
            }
        }
        for waiter in batch.flush_waiters {
            let _ = waiter.send(());
        }
        self.kernel.wakes.plan.notify_one();
    }
}

/// Takes out of a term everyone who waits for jobs of the write that is under way.
fn waiters_of(term: &mut Term, accepts: &[PendingAccept]) -> Vec<oneshot::Sender<AcceptOutcome>> {
    let jobs = accepts.iter().map(|pending| &pending.row.submission.job);
    jobs.filter_map(|job| term.write_waiters.remove(job)).flatten().collect()
}

fn answer(
    waiters: impl IntoIterator<Item = oneshot::Sender<AcceptOutcome>>,
    outcome: AcceptOutcome,
) {
    for waiter in waiters {
        // A caller that has gone away needs no answer.
        let _ = waiter.send(outcome);
    }
}

fn count_write(outcome: &PlatformResult<RowTxOutcome>, took: Duration) {
    let outcome = match outcome {
        Ok(RowTxOutcome::Committed(_)) => "committed",
        Ok(RowTxOutcome::Conflict(_)) => "conflict",
        Err(error) => error.verdict.as_str(),
    };
    metrics::counter!(metric::OWNER_WRITES, "outcome" => outcome).increment(1);
    metrics::histogram!(metric::OWNER_WRITE_SECONDS).record(took.as_secs_f64());
}
