//! Entry routes for submitting, viewing, listing and cancelling jobs, and the control route that shows
//! the scheduler's state.

use std::sync::Arc;

use http::header::{self, HeaderValue};
use http::{HeaderMap, Response, StatusCode, Uri};
use serde::Deserialize;
use serde_json::json;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::control::{ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::entry::EntryRequest;
use wasabiswitch_kernel::http::problem::{
    BAD_KEY, BAD_REQUEST, INVALID, NOT_FOUND, NOT_YOURS, OTHER_REQUEST, Problem, QUEUE_FULL,
    VERDICT_HEADER, verdict_value,
};
use wasabiswitch_kernel::http::{Body, full_body, read_body};
use wasabiswitch_kernel::store::CallClass;
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::config::Principal;
use wasabiswitch_policy::ids::{KeyId, TeamId};
use wasabiswitch_policy::jobs::{Event, JobRow, JobSpec, JobState, Outcome, Resources, submit};

use super::rows::{ENDED_PREFIX, JOB_PREFIX, add_job, change_job, options, read_job};
use crate::membership::check_admission;
use crate::route::{json_body, store_problem};

/// Maximum size of the body of a submission.
const BODY_MAX_BYTES: usize = 256 << 10;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    queue: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    payload: String,
    run_time_ms: u64,
    #[serde(default)]
    deadline_ms: u64,
    #[serde(default)]
    at_most_once: bool,
    #[serde(default = "one_core")]
    cpu_milli: u64,
    #[serde(default)]
    memory_bytes: u64,
    #[serde(default)]
    accelerators: u32,
}

fn one_core() -> u64 {
    1_000
}

/// Parts of a request that are available before its body is read.
struct RequestHead {
    job: String,
    uri: Uri,
    headers: HeaderMap,
}

fn split_request(request: EntryRequest) -> (RequestHead, Body) {
    let (head, body) = request.http.into_parts();
    (RequestHead { job: request.rest, uri: head.uri, headers: head.headers }, body)
}

/// Returns the key and the team that a request authenticates with, or `None` if it carries no key.
fn caller(kernel: &Kernel, head: &RequestHead) -> Result<Option<(KeyId, TeamId)>, Problem> {
    let Some(value) = head.headers.get(header::AUTHORIZATION) else { return Ok(None) };
    let key = value.to_str().ok().and_then(|text| text.strip_prefix("Bearer "));
    match key.and_then(|key| kernel.authenticate(key)) {
        Some((id, Principal::Team(team))) => Ok(Some((id, team))),
        Some((_, Principal::Operator(_))) => {
            Err(Problem::not_run(NOT_YOURS, "an operator's key submits no work"))
        }
        None => Err(Problem::not_run(BAD_KEY, "the key is unknown or withdrawn")),
    }
}

fn job_response(
    result: Result<(StatusCode, serde_json::Value, Verdict), Problem>,
) -> Response<Body> {
    let (status, value, verdict) = match result {
        Ok(parts) => parts,
        Err(problem) => return problem.into_response(),
    };
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(VERDICT_HEADER, verdict_value(verdict));
    response
}

pub(super) async fn submit_route(kernel: Arc<Kernel>, request: EntryRequest) -> Response<Body> {
    job_response(submit_job(&kernel, request).await)
}

async fn submit_job(
    kernel: &Arc<Kernel>,
    request: EntryRequest,
) -> Result<(StatusCode, serde_json::Value, Verdict), Problem> {
    check_admission(kernel)?;
    let connection = request.connection.clone();
    let (head, body) = split_request(request);
    let caller = caller(kernel, &head)?;
    let idempotency_key = head.headers.get("idempotency-key").map(HeaderValue::as_bytes);
    if let Some((_, team)) = &caller {
        connection.set_caller(team);
    }
    let too_large = || format!("a submission has at most {BODY_MAX_BYTES} bytes");
    let body = read_body(body, BODY_MAX_BYTES, &connection)
        .await
        .map_err(|error| error.into_problem(too_large))?;
    let body: SubmitBody = json_body(&body)?;
    let spec = build_spec(kernel, body, caller)?;
    let id = job_id(&spec.team, idempotency_key);
    let row = submit(spec);
    let stored = add_job(kernel, &id, &row).await.map_err(|error| store_problem(&error))?;
    if stored.spec != row.spec {
        let detail = "the idempotency key belongs to another job";
        return Err(Problem::not_run(OTHER_REQUEST, detail));
    }
    kernel.wake_signals.jobs.notify_one();
    Ok((StatusCode::ACCEPTED, show(&id, &stored), job_verdict(&stored)))
}

/// Returns the id of a job: a hash of the team and the idempotency key, so that a repeated submission gets
/// the same id, or a random id if there is no key.
fn job_id(team: &str, idempotency_key: Option<&[u8]>) -> String {
    match idempotency_key {
        Some(key) => {
            let mut hasher = blake3::Hasher::new();
            hasher.update(team.as_bytes()).update(b"\0").update(key);
            hasher.finalize().to_hex()[..32].to_owned()
        }
        None => format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)),
    }
}

fn build_spec(
    kernel: &Kernel,
    body: SubmitBody,
    caller: Option<(KeyId, TeamId)>,
) -> Result<JobSpec, Problem> {
    let active = kernel.config();
    let queue = active.config.queues.get(body.queue.as_str()).ok_or_else(|| {
        Problem::not_run(INVALID, format!("there is no queue named {:?}", body.queue))
    })?;
    let (key, team) = match (caller, &queue.open_team) {
        (Some((key, team)), _) => (Some(key), team),
        (None, Some(team)) => (None, team.clone()),
        (None, None) => return Err(Problem::not_run(BAD_KEY, "the queue needs a key")),
    };
    let queued = kernel.tables.jobs.lock().queued_in(&body.queue);
    if queued >= queue.jobs_max {
        let detail = format!("queue {:?} holds {queued} jobs already", body.queue);
        return Err(Problem::not_run(QUEUE_FULL, detail));
    }
    if body.run_time_ms == 0 {
        let detail = "run_time_ms must be longer than zero";
        return Err(Problem::not_run(BAD_REQUEST, detail));
    }
    Ok(JobSpec {
        team,
        key,
        queue: body.queue.into(),
        kind: body.kind,
        resources: Resources {
            cpu_milli: body.cpu_milli,
            memory_bytes: body.memory_bytes,
            accelerators: body.accelerators,
        },
        run_time_ms: body.run_time_ms,
        deadline_ms: body.deadline_ms,
        at_most_once: body.at_most_once,
        payload: body.payload.into_bytes(),
    })
}

pub(super) async fn show_route(kernel: Arc<Kernel>, request: EntryRequest) -> Response<Body> {
    job_response(show_job(&kernel, &split_request(request).0).await)
}

async fn show_job(
    kernel: &Kernel,
    head: &RequestHead,
) -> Result<(StatusCode, serde_json::Value, Verdict), Problem> {
    let row = read_visible_job(kernel, head).await?;
    Ok((StatusCode::OK, show(&head.job, &row), job_verdict(&row)))
}

/// Reads the job that a request names, if the caller may view it.
async fn read_visible_job(kernel: &Kernel, head: &RequestHead) -> Result<JobRow, Problem> {
    let caller = caller(kernel, head)?;
    let row = read_job(kernel, &head.job).await.map_err(|error| store_problem(&error))?;
    let not_found = || Problem::not_run(NOT_FOUND, format!("there is no job {:?}", head.job));
    let row = row.ok_or_else(not_found)?;
    let may_view = match &caller {
        Some((_, team)) => *team == row.spec.team,
        None => row.spec.key.is_none(),
    };
    if may_view { Ok(row) } else { Err(Problem::not_run(NOT_YOURS, "the job is another team's")) }
}

pub(super) async fn cancel_route(kernel: Arc<Kernel>, request: EntryRequest) -> Response<Body> {
    job_response(cancel_job(&kernel, &split_request(request).0).await)
}

async fn cancel_job(
    kernel: &Kernel,
    head: &RequestHead,
) -> Result<(StatusCode, serde_json::Value, Verdict), Problem> {
    let before = read_visible_job(kernel, head).await?;
    let after = change_job(kernel, CallClass::Caller, &head.job, &Event::Cancel)
        .await
        .map_err(|error| store_problem(&error))?;
    kernel.wake_signals.jobs.notify_one();
    let row = after.unwrap_or(before);
    Ok((StatusCode::ACCEPTED, show(&head.job, &row), job_verdict(&row)))
}

pub(super) async fn list_route(kernel: Arc<Kernel>, request: EntryRequest) -> Response<Body> {
    job_response(list_jobs(&kernel, &split_request(request).0).await)
}

async fn list_jobs(
    kernel: &Kernel,
    head: &RequestHead,
) -> Result<(StatusCode, serde_json::Value, Verdict), Problem> {
    let Some((_, team)) = caller(kernel, head)? else {
        return Err(Problem::not_run(BAD_KEY, "a list needs a key"));
    };
    let query = head.uri.query().unwrap_or("");
    let state_filter = query.split('&').find_map(|pair| pair.strip_prefix("state="));
    let mut jobs = Vec::new();
    for prefix in [JOB_PREFIX, ENDED_PREFIX] {
        let rows = kernel
            .store
            .scan::<JobRow>(options(kernel, CallClass::Display), prefix)
            .await
            .map_err(|error| store_problem(&error))?;
        let own = rows.iter().filter(|(_, stored)| stored.value.spec.team == team);
        let shown = own.map(|(key, stored)| show(&key[prefix.len()..], &stored.value));
        jobs.extend(shown.filter(|job| state_filter.is_none_or(|state| job["state"] == state)));
    }
    Ok((StatusCode::OK, json!({ "jobs": jobs }), Verdict::Ran))
}

fn show(id: &str, row: &JobRow) -> serde_json::Value {
    json!({
        "id": id,
        "team": row.spec.team,
        "queue": row.spec.queue,
        "state": state_name(&row.state),
        "attempt": row.attempt,
        "cancel": row.cancel,
        "detail": row.detail,
    })
}

fn state_name(state: &JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Claimed(_) | JobState::Started(_) => "running",
        JobState::Ended(Outcome::Done) => "done",
        JobState::Ended(Outcome::Failed) => "failed",
        JobState::Ended(Outcome::Cancelled) => "cancelled",
        JobState::Ended(Outcome::Impossible) => "impossible",
        JobState::Ended(Outcome::InDoubt) => "in-doubt",
    }
}

/// Returns the verdict of a response: whether the job has run, and not whether the request was handled.
fn job_verdict(row: &JobRow) -> Verdict {
    match (&row.state, row.attempt) {
        (_, 0) => Verdict::NotRun,
        (JobState::Ended(Outcome::Done | Outcome::Failed), _) => Verdict::Ran,
        _ => Verdict::MayHaveRun,
    }
}

pub(super) async fn scheduler_route(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let jobs = kernel.tables.jobs.lock();
    let queued = jobs.table.iter().filter(|(_, entry)| entry.row.state == JobState::Queued);
    Ok(ControlReply::json(&json!({
        "jobs": jobs.table.len(),
        "queued": queued.count(),
        "workers_set_aside": jobs.quarantined_since.keys().collect::<Vec<_>>(),
    })))
}
