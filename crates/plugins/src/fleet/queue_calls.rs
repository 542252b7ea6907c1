//! Answers calls to queues, or forwards them to the owner.
//!
//! The front end resolves the queue and the team of a call before it calls this module. Operations are
//! idempotent, since the caller chooses the id of a job, so a call whose answer was lost is forwarded again
//! until its deadline. A submission that has reached no owner is refused after `OWNER_WAIT_MAX`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use tokio::sync::oneshot;
use wasabiswitch_kernel::http::client::ClientRequest;
use wasabiswitch_kernel::tables::{AcceptOutcome, JobPlace, PendingAccept, Term};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::fleet::admission::{Admission, is_persisted_in_time};
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::ownership::may_report_absence;
use wasabiswitch_policy::fleet::progress::JobRow;
use wasabiswitch_policy::fleet::spec::Submission;
use wasabiswitch_policy::fleet::state::{Phase, QueueSettings};
use wasabiswitch_policy::ids::JobId;
use wasabiswitch_wire::{decode, encode};

use super::is_acting;

/// The path on which a daemon forwards calls to the owner.
pub const CALL_PATH: &str = "/fleet/call";
/// Time that a submission waits for an owner before it is refused; a quarter of the objective.
const OWNER_WAIT_MAX: Duration = Duration::from_millis(140);
/// Maximum time for which a call is repeated, whatever its caller states; the status of an ended job is kept for longer.
const CALL_TIME_MAX: Duration = Duration::from_secs(60);
/// Delay before a call is attempted again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time limit for one attempt to forward a call.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Minimum time for which a refused request is kept. A copy of a call is in transit between two daemons for
/// less than that, since their connections time out earlier.
const REFUSED_RETENTION: Duration = Duration::from_secs(10);
/// Number of refused requests above which those older than `REFUSED_RETENTION` are dropped.
const REFUSED_MAX: usize = 4_096;
/// Delay after which a caller may cancel an unknown job again while the records of such cancellations are full.
const WITHDRAWN_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Delay after which a caller that no owner could serve may retry; a takeover takes about two seconds.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Returns the newest configuration, or `None` before the first has been read.
pub fn config(kernel: &Kernel) -> Option<Arc<FleetConfig>> {
    kernel.tables.fleet.lock().config.clone()
}

/// Answers a call before `deadline`.
pub async fn answer(kernel: &Arc<Kernel>, call: Call, deadline: Instant) -> Reply {
    let started = kernel.clock.now();
    // A submission that is repeated for longer could outlast the record of its job's cancellation.
    let deadline = deadline.min(started + CALL_TIME_MAX);
    let operation = call.operation.as_str();
    let reply = answer_with_retries(kernel, call, started, deadline).await;
    let took = kernel.clock.now().saturating_duration_since(started);
    metrics::counter!(metric::CALLS, "ask" => operation, "reply" => reply.as_str()).increment(1);
    metrics::histogram!(metric::CALL_SECONDS, "ask" => operation).record(took.as_secs_f64());
    reply
}

async fn answer_with_retries(
    kernel: &Arc<Kernel>,
    call: Call,
    started: Instant,
    deadline: Instant,
) -> Reply {
    let mut in_doubt = false;
    loop {
        let was_in_doubt = in_doubt;
        let reply = match attempt(kernel, &call, deadline).await {
            Ok(Reply::NotOwner) => None,
            Ok(Reply::InDoubt) => {
                // The call is attempted again: a successor has read everything that its predecessor
                // wrote, so the successor's answer is final.
                in_doubt = true;
                None
            }
            Ok(reply) => Some(reply),
            Err(verdict) => {
                in_doubt |= verdict != Verdict::NotRun;
                None
            }
        };
        if let Some(reply) = reply {
            return reply;
        }
        if in_doubt && !was_in_doubt {
            log_doubt(kernel, &call, started);
        }
        kernel.wake_signals.owner.notify_one();
        let now = kernel.clock.now();
        let wait_until = match (&call.operation, in_doubt) {
            // The submission has certainly not taken effect, and an early refusal serves the caller better
            // than a long wait.
            (QueueOperation::Submit(_), false) => started + OWNER_WAIT_MAX,
            _ => deadline,
        };
        if now + RETRY_DELAY >= wait_until.min(deadline) {
            return no_owner_reply(kernel, &call, in_doubt, started);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Logs that an attempt may have taken effect without an answer; once per call, so that the lines stay bounded.
fn log_doubt(kernel: &Kernel, call: &Call, started: Instant) {
    log::info!(
        "call in doubt request={:016x} queue={} operation={} held_ms={} {}",
        call.request_id,
        call.queue,
        call.operation.as_str(),
        held_ms(kernel, started),
        known_owner(kernel)
    );
}

fn held_ms(kernel: &Kernel, started: Instant) -> u128 {
    kernel.clock.now().saturating_duration_since(started).as_millis()
}

/// Describes the owner to which this daemon forwards calls.
fn known_owner(kernel: &Kernel) -> String {
    let owner = kernel.tables.fleet.lock().owner.clone();
    owner.map_or_else(
        || "owner=unknown".to_owned(),
        |owner| format!("owner={} fence={}", owner.daemon, owner.fence),
    )
}

fn no_owner_reply(kernel: &Kernel, call: &Call, in_doubt: bool, started: Instant) -> Reply {
    log::warn!(
        "no owner found for a call request={:016x} queue={} held_ms={} in_doubt={in_doubt} {}",
        call.request_id,
        call.queue,
        held_ms(kernel, started),
        known_owner(kernel)
    );
    match in_doubt {
        true => Reply::InDoubt,
        false => Reply::refused("no daemon owns the fleet now", NO_OWNER_RETRY_AFTER),
    }
}

/// Makes one attempt to have the owner answer a call; the error is the verdict on whether the call may have
/// taken effect.
async fn attempt(kernel: &Arc<Kernel>, call: &Call, deadline: Instant) -> Result<Reply, Verdict> {
    if is_acting(kernel) {
        return Ok(serve_as_owner(kernel, call.clone(), deadline).await);
    }
    let owner = kernel.tables.fleet.lock().owner.clone();
    let Some(owner) = owner.filter(|owner| owner.daemon != kernel.settings.daemon) else {
        return Err(Verdict::NotRun);
    };
    let outgoing = ClientRequest {
        method: Method::POST,
        path: CALL_PATH,
        authorization: Some(&kernel.settings.peer_key),
        headers: &[],
        body: Bytes::from(encode(call)),
    };
    let remaining = deadline.saturating_duration_since(kernel.clock.now()).min(ATTEMPT_TIMEOUT);
    let sent = tokio::time::timeout(remaining, kernel.client.send(owner.address, outgoing)).await;
    let response = match sent {
        Ok(Ok(response)) if response.status.is_success() => response,
        Ok(Ok(_)) => return Err(Verdict::NotRun),
        Ok(Err(error)) => return Err(error.verdict()),
        Err(_) => {
            kernel.client.close_idle(owner.address);
            return Err(Verdict::MayHaveRun);
        }
    };
    decode(&response.body).map_err(|error| {
        log::warn!("owner's response not decoded owner={} reason={error}", owner.daemon);
        Verdict::MayHaveRun
    })
}

/// Answers a call as the owner.
pub async fn serve_as_owner(kernel: &Arc<Kernel>, call: Call, deadline: Instant) -> Reply {
    let request = call.request_id;
    let own_version = config(kernel).map_or(0, |config| config.version);
    if !is_acting(kernel) || own_version < call.config_version {
        return Reply::NotOwner;
    }
    let now = kernel.clock.now();
    match call.operation {
        QueueOperation::Submit(submission) => submit(kernel, request, *submission, deadline).await,
        QueueOperation::State(job) => state(kernel, &job, deadline).await,
        QueueOperation::Cancel(job) => cancel(kernel, request, &job, deadline).await,
        QueueOperation::Pending => {
            with_term(kernel, |term| match may_report_absence(term.confirmed_sent, now) {
                true => Reply::Pending(term.engine.pending(&call.queue) as u64),
                false => Reply::NotOwner,
            })
        }
    }
}

fn with_term(kernel: &Kernel, operation: impl FnOnce(&mut Term) -> Reply) -> Reply {
    kernel.tables.term.lock().as_mut().map_or(Reply::NotOwner, operation)
}

/// Returns [`Reply::Gone`] for an unknown job, unless a successor may have accepted it.
fn absent_reply(term: &Term, now: Instant) -> Reply {
    if may_report_absence(term.confirmed_sent, now) { Reply::Gone } else { Reply::NotOwner }
}

/// State of a submission: answered, or waiting for its write.
enum SubmissionState {
    Answered(Reply),
    Waiting(oneshot::Receiver<AcceptOutcome>),
}

async fn submit(
    kernel: &Arc<Kernel>,
    request: u64,
    submission: Submission,
    deadline: Instant,
) -> Reply {
    let queue_settings = config(kernel).and_then(|config| {
        config.routes.iter().find(|r| r.queue == submission.queue).map(|r| r.queue_settings.clone())
    });
    let Some(queue_settings) = queue_settings else { return Reply::Gone };
    let (job, queue) = (submission.job.clone(), submission.queue.clone());
    let started = begin_submit(kernel, request, submission, queue_settings);
    let waiting = match started {
        SubmissionState::Answered(reply) => return reply,
        SubmissionState::Waiting(waiting) => waiting,
    };
    kernel.wake_signals.write.notify_one();
    let remaining = deadline.saturating_duration_since(kernel.clock.now());
    let outcome = tokio::time::timeout(remaining, waiting).await;
    let reply = match outcome {
        Ok(Ok(AcceptOutcome::Written)) => Reply::Accepted,
        Ok(Ok(AcceptOutcome::NotWritten)) => {
            Reply::refused("the store does not take the job", NO_OWNER_RETRY_AFTER)
        }
        Ok(Ok(AcceptOutcome::TermEnded)) => Reply::NotOwner,
        // The term or the time limit has ended, and the write may still take effect.
        Ok(Err(_)) | Err(_) => Reply::InDoubt,
    };
    log::info!("submission request={request:016x} job={job} queue={queue} outcome={reply:?}");
    if matches!(reply, Reply::Refused(..))
        && let Some(term) = kernel.tables.term.lock().as_mut()
    {
        record_refusal(term, request, kernel.clock.now());
    }
    reply
}

fn begin_submit(
    kernel: &Arc<Kernel>,
    request: u64,
    submission: Submission,
    queue_settings: QueueSettings,
) -> SubmissionState {
    let now = kernel.clock.now();
    let mut guard = kernel.tables.term.lock();
    let Some(term) = guard.as_mut() else { return SubmissionState::Answered(Reply::NotOwner) };
    match term.locate(&submission.job) {
        JobPlace::Known(_) => return SubmissionState::Answered(Reply::Accepted),
        JobPlace::BeingWritten | JobPlace::Waiting => {
            let outcome = term.wait_for_accept(&submission.job);
            // A job in one of these places has waiters; without them another daemon may still answer.
            return outcome.map_or_else(
                || SubmissionState::Answered(Reply::NotOwner),
                SubmissionState::Waiting,
            );
        }
        JobPlace::Withdrawn => {
            log::info!(
                "submission of a cancelled job request={request:016x} job={}",
                submission.job
            );
            return SubmissionState::Waiting(accept(term, submission, queue_settings, now));
        }
        JobPlace::Absent => {}
    }
    if term.refused_requests.contains_key(&request) {
        // The request is a delayed copy of one that was refused; the refusal states that nothing runs.
        return SubmissionState::Answered(Reply::refused(
            "the request was refused",
            NO_OWNER_RETRY_AFTER,
        ));
    }
    let admission = term.engine.admit(&submission, &queue_settings, now);
    count_submission(&submission, admission.as_str());
    match admission {
        Admission::Accept => {}
        Admission::TooLarge => {
            let reason = "no worker is large enough for one of the tasks";
            log::info!(
                "submission refused request={request:016x} job={} reason={reason}",
                submission.job
            );
            return SubmissionState::Answered(Reply::Invalid(reason.to_owned()));
        }
        Admission::Evacuated { retry_after } => {
            log::info!(
                "submission refused request={request:016x} job={} queue={} reason=evacuated \
                 retry_after_ms={}",
                submission.job,
                submission.queue,
                retry_after.as_millis()
            );
            record_refusal(term, request, now);
            let reason = "the only workers that could run the job are in an evacuated data centre";
            return SubmissionState::Answered(Reply::refused(reason, retry_after));
        }
        Admission::TooLate { estimate, retry_after } => {
            log::info!(
                "submission refused request={request:016x} job={} queue={} reason=too late estimate_ms={} \
                 retry_after_ms={}",
                submission.job,
                submission.queue,
                estimate.as_millis(),
                retry_after.as_millis()
            );
            record_refusal(term, request, now);
            let reason = "the job could not be done in time";
            return SubmissionState::Answered(Reply::refused(reason, retry_after));
        }
    }
    if let Some(refusal) = refuse_for_slow_store(term, request, &submission, now) {
        return SubmissionState::Answered(refusal);
    }
    SubmissionState::Waiting(accept(term, submission, queue_settings, now))
}

/// Adds a job to the next write; returns the receiver of the outcome.
fn accept(
    term: &mut Term,
    submission: Submission,
    queue_settings: QueueSettings,
    now: Instant,
) -> oneshot::Receiver<AcceptOutcome> {
    let (sender, receiver) = oneshot::channel();
    let job = submission.job.clone();
    let row = JobRow { submission, queue_settings, accepted_fence: term.engine.fence };
    let pending = PendingAccept { row, received_at: now, waiters: vec![sender] };
    term.accepts.insert(job, pending);
    receiver
}

/// Counts a decision on a submission. One that is refused for a slow store has been counted as accepted before.
fn count_submission(submission: &Submission, decision: &'static str) {
    let queue = submission.queue.to_string();
    metrics::counter!(metric::SUBMISSIONS, "queue" => queue, "decision" => decision).increment(1);
}

/// Refuses a submission that the store would write too late, so that its outcome is not in doubt.
fn refuse_for_slow_store(
    term: &mut Term,
    request: u64,
    submission: &Submission,
    now: Instant,
) -> Option<Reply> {
    let (waiting, last_write) = (term.accepts.len(), term.last_write_duration);
    if is_persisted_in_time(waiting, last_write) {
        return None;
    }
    count_submission(submission, "slow-store");
    log::info!(
        "submission refused request={request:016x} job={} reason=slow store waiting={waiting} write_ms={}",
        submission.job,
        last_write.as_millis()
    );
    term.engine.withdraw_admission(submission, now);
    record_refusal(term, request, now);
    let reason = "the store is too slow to take the job in time";
    Some(Reply::refused(reason, NO_OWNER_RETRY_AFTER))
}

/// Records a refused request, for as long as a delayed copy of it may arrive.
fn record_refusal(term: &mut Term, request: u64, now: Instant) {
    if term.refused_requests.len() >= REFUSED_MAX {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REFUSED_RETENTION;
        term.refused_requests.retain(|_, at| is_recent(*at));
    }
    term.refused_requests.insert(request, now);
}

/// Returns the phase of a job; a job whose row is being written is shown once the outcome is known.
async fn state(kernel: &Arc<Kernel>, job: &str, deadline: Instant) -> Reply {
    loop {
        let now = kernel.clock.now();
        let outcome = {
            let mut guard = kernel.tables.term.lock();
            let Some(term) = guard.as_mut() else { return Reply::NotOwner };
            match term.locate(job) {
                JobPlace::Known(key) => return Reply::State(term.engine.jobs[key].visible_phase),
                JobPlace::Withdrawn | JobPlace::Absent => return absent_reply(term, now),
                JobPlace::BeingWritten | JobPlace::Waiting => term.wait_for_accept(job),
            }
        };
        let Some(outcome) = outcome else { return Reply::NotOwner };
        let remaining = deadline.saturating_duration_since(now);
        match tokio::time::timeout(remaining, outcome).await {
            Ok(Ok(AcceptOutcome::TermEnded)) => return Reply::NotOwner,
            // The place of the job is decided now.
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return Reply::InDoubt,
        }
    }
}

/// Progress of a cancellation: answered, or waiting for its write.
enum CancelState {
    Answered(Reply),
    Waiting(oneshot::Receiver<()>),
}

/// Cancels a job wherever it is. One that is not accepted is withdrawn, so that it is cancelled as soon as a submission of it is
/// accepted.
async fn cancel(kernel: &Arc<Kernel>, request: u64, job: &JobId, deadline: Instant) -> Reply {
    let (place, state) = {
        let mut guard = kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return Reply::NotOwner };
        (term.locate(job), begin_cancel(term, job, kernel.clock.now()))
    };
    let reply = match state {
        CancelState::Answered(reply) => reply,
        CancelState::Waiting(written) => {
            kernel.wake_signals.write.notify_one();
            kernel.wake_signals.plan.notify_one();
            let remaining = deadline.saturating_duration_since(kernel.clock.now());
            match tokio::time::timeout(remaining, written).await {
                Ok(Ok(())) => with_term(kernel, |term| match term.engine.job_key(job) {
                    Some(_) => Reply::Cancelled,
                    None => Reply::Gone,
                }),
                // The term or the time limit has ended, and the write may still take effect.
                Ok(Err(_)) | Err(_) => Reply::InDoubt,
            }
        }
    };
    log::info!(
        "cancellation request={request:016x} job={job} found={} outcome={reply:?}",
        place.as_str()
    );
    reply
}

fn begin_cancel(term: &mut Term, job: &JobId, now: Instant) -> CancelState {
    match term.locate(job) {
        JobPlace::Known(key) => {
            term.engine.cancel(job, now);
            if term.engine.jobs[key].visible_phase == Phase::Cancelled {
                return CancelState::Answered(Reply::Cancelled);
            }
        }
        JobPlace::Withdrawn if term.engine.is_withdrawal_stored(job) => {
            return CancelState::Answered(absent_reply(term, now));
        }
        JobPlace::BeingWritten | JobPlace::Waiting | JobPlace::Withdrawn | JobPlace::Absent => {
            if !term.engine.withdraw(job, now) {
                let reason = "too many unknown jobs are being cancelled";
                let refusal = Reply::refused(reason, WITHDRAWN_RETRY_AFTER);
                return CancelState::Answered(refusal);
            }
        }
    }
    let (sender, receiver) = oneshot::channel();
    term.flush_waiters.push(sender);
    CancelState::Waiting(receiver)
}
