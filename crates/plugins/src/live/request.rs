//! Validation of live requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::Body;
use wasabiswitch_kernel::http::entry::{EntryRequest, request_id_value};
use wasabiswitch_kernel::http::intake::ClientConnection;
use wasabiswitch_kernel::http::problem::{BAD_KEY, BAD_REQUEST, NOT_FOUND, NOT_YOURS, Problem};
use wasabiswitch_policy::config::Principal;
use wasabiswitch_policy::ids::{PoolId, ServiceId, TeamId};
use wasabiswitch_policy::queue::Urgency;

use crate::limits::AdmissionRequest;

/// Header by which a caller shortens the deadline, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-wasabiswitch-deadline-ms");
/// Header with the idempotency key of a request that may run at most once.
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// A validated live request with a fixed deadline.
pub(crate) struct LiveRequest {
    pub(crate) request_id: HeaderValue,
    pub(crate) team: TeamId,
    pub(crate) service: ServiceId,
    pub(crate) pool: PoolId,
    pub(crate) urgency: Urgency,
    /// Whether the request may be sent again when its outcome is in doubt.
    pub(crate) repeatable: bool,
    pub(crate) attempts_max: u32,
    pub(crate) answer_retention: Duration,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Connection on which the request arrived.
    pub(crate) connection: Arc<ClientConnection>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) deadline: Instant,
}

impl LiveRequest {
    /// Returns the fields that the limits plug-in needs to admit the request.
    pub(crate) fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            team: self.team.clone(),
            service: self.service.clone(),
            pool: self.pool.clone(),
            urgency: self.urgency,
            deadline: self.deadline,
        }
    }
}

/// Validates a request, authenticates its team and fixes its deadline.
pub(crate) fn accept(kernel: &Arc<Kernel>, request: EntryRequest) -> Result<LiveRequest, Problem> {
    let now = kernel.clock.now();
    let team = authenticate_team(kernel, request.http.headers())?;
    request.connection.set_caller(&team);
    let (name, path) = request.rest.split_once('/').unwrap_or((&request.rest, ""));
    let active = kernel.config();
    let (service_id, service) = active
        .config
        .services
        .get_key_value(name)
        .ok_or_else(|| Problem::not_run(NOT_FOUND, format!("there is no service {name:?}")))?;
    let (head, body) = request.http.into_parts();
    let deadline = now + time_limit(&head.headers, service.deadline)?;
    let idempotency_key = idempotency_key(&head.headers)?;
    let method = head.method.as_str();
    let repeatable_method = service.repeatable_methods.iter().any(|allowed| allowed == method);
    Ok(LiveRequest {
        request_id: request_id_value(request.request_id),
        team,
        service: service_id.clone(),
        pool: service.pool.clone(),
        urgency: if service.urgent { Urgency::Urgent } else { Urgency::Deferrable },
        repeatable: idempotency_key.is_none() && repeatable_method,
        attempts_max: service.attempts_max,
        answer_retention: service.keep_answers,
        method: head.method,
        uri: upstream_uri(path, head.uri.query())?,
        idempotency_key,
        headers: head.headers,
        body,
        connection: request.connection,
        deadline,
    })
}

/// Returns the team that the API key in the `Authorization` header belongs to.
pub(crate) fn authenticate_team(kernel: &Kernel, headers: &HeaderMap) -> Result<TeamId, Problem> {
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let holder = presented.and_then(|key| kernel.authenticate(key));
    match holder {
        Some((_, Principal::Team(team))) => Ok(team),
        Some((_, Principal::Operator(_))) => {
            Err(Problem::not_run(NOT_YOURS, "an operator's key submits no work"))
        }
        None => Err(Problem::not_run(BAD_KEY, "the key is missing, unknown or withdrawn")),
    }
}

fn time_limit(headers: &HeaderMap, time_limit_max: Duration) -> Result<Duration, Problem> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(time_limit_max) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let millis = millis.ok_or_else(|| {
        let detail = format!("{DEADLINE_HEADER} is not a whole number of milliseconds");
        Problem::not_run(BAD_REQUEST, detail)
    })?;
    Ok(Duration::from_millis(millis).min(time_limit_max))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else { return Ok(None) };
    let text = value
        .to_str()
        .ok()
        .filter(|text| !text.is_empty() && text.len() <= IDEMPOTENCY_KEY_MAX_BYTES);
    let text = text.ok_or_else(|| {
        let detail =
            format!("an idempotency key has 1 to {IDEMPOTENCY_KEY_MAX_BYTES} visible characters");
        Problem::not_run(BAD_REQUEST, detail)
    })?;
    Ok(Some(text.to_owned()))
}

fn upstream_uri(path: &str, query: Option<&str>) -> Result<Uri, Problem> {
    let text = match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    text.parse().map_err(|_| Problem::not_run(BAD_REQUEST, "the path is malformed"))
}
