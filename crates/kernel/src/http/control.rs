//! The control listener, for operators, peers and the platform's probes.
//!
//! Plug-ins register routes with the access that each requires. The listener checks the key and passes
//! plain data to the route, so that no plug-in depends on the HTTP server library.

use std::collections::BTreeMap;
use std::future::Future as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Context;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::uri::Scheme;
use http::{Method, StatusCode, header};
use http_body_util::BodyExt as _;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::intake::ClientConnection;
use super::problem::{BAD_KEY, NOT_FOUND, Problem, REQUEST_ID_HEADER, VERDICT_HEADER};
use super::{connection, read_body};
use crate::kernel::Kernel;
use crate::tasks::TaskTree;

/// Maximum size of the body of a request, in bytes; the budget of the listener may allow less.
const BODY_MAX_BYTES: usize = 32 << 20;
/// Maximum size of the body of a request that needs no key, in bytes; no such route reads a body.
const OPEN_BODY_MAX_BYTES: usize = 4 << 10;
/// Caller as which all peers share the budget of the listener.
const PEER_CALLER: &str = "peer key";
/// Time after which a stop no longer waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Access that a route requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// No key is required.
    Open,
    /// The key of an operator is required.
    Operator,
    /// The peer key of the daemons is required.
    Peer,
}

/// Request on the control listener, as a route receives it.
#[derive(Clone, Debug, Default)]
pub struct ControlRequest {
    /// Name of the operator who sent the request; empty for other callers.
    pub operator: String,
    /// Values of the route's path parameters, by name.
    pub params: BTreeMap<String, String>,
    /// Query parameters, by name.
    pub query: BTreeMap<String, String>,
    /// Whole body.
    pub body: Bytes,
}

impl ControlRequest {
    /// Returns the value of a path parameter, or an empty string if the route has none of that name.
    pub fn param(&self, name: &str) -> &str {
        self.params.get(name).map_or("", String::as_str)
    }
}

/// Response of a route on the control listener.
#[derive(Clone, Debug)]
pub struct ControlReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Whole body.
    pub body: Bytes,
}

impl ControlReply {
    /// Creates a response in JSON.
    pub fn json(value: &serde_json::Value) -> ControlReply {
        ControlReply {
            status: StatusCode::OK,
            content_type: "application/json",
            body: value.to_string().into(),
        }
    }

    /// Creates a response in plain text, with the media type of the Prometheus text format.
    pub fn text(body: impl Into<Bytes>) -> ControlReply {
        ControlReply {
            status: StatusCode::OK,
            content_type: "text/plain; version=0.0.4; charset=utf-8",
            body: body.into(),
        }
    }

    /// Creates a response in MessagePack, for peers.
    pub fn binary(body: Vec<u8>) -> ControlReply {
        ControlReply {
            status: StatusCode::OK,
            content_type: "application/msgpack",
            body: body.into(),
        }
    }
}

/// Result of a route's handler.
pub type ControlResult = Result<ControlReply, Problem>;

/// Function that handles the requests of a route on the control listener.
pub type ControlHandler =
    Arc<dyn Fn(Arc<Kernel>, ControlRequest) -> BoxFuture<'static, ControlResult> + Send + Sync>;

/// Route on the control listener.
#[derive(Clone)]
pub struct ControlRoute {
    /// HTTP method.
    pub method: Method,
    /// Path pattern, in which a segment `:name` is a parameter.
    pub path: &'static str,
    /// Access that the route requires.
    pub access: Access,
    /// Function that handles the requests.
    pub handler: ControlHandler,
}

/// Serves the routes of all plug-ins until `stop` is cancelled.
pub async fn serve(kernel: Arc<Kernel>, listener: TcpListener, stop: CancellationToken) {
    let address = kernel.control_address();
    let intake = kernel.intakes.control.clone();
    let connections = TaskTree::new();
    connection::accept_until(&intake, listener, stop.cancelled(), |stream, admission| {
        let (kernel, client) = (kernel.clone(), admission.connection.clone());
        let respond = move |request| respond(kernel.clone(), client.clone(), request, address);
        let stop = connections.stop_token();
        connections.spawn("control connection", async move {
            let mut stopped = std::pin::pin!(stop.cancelled());
            let should_close =
                |context: &mut Context<'_>| stopped.as_mut().poll(context).is_ready();
            connection::serve(stream, admission, respond, should_close).await;
        });
    })
    .await;
    connections.join(STOP_TIMEOUT).await;
}

async fn respond(
    kernel: Arc<Kernel>,
    client: Arc<ClientConnection>,
    request: http::Request<Incoming>,
    address: SocketAddr,
) -> http::Response<BoxBody<Bytes, std::io::Error>> {
    let local = LocalAddr(address.into());
    let remote = RemoteAddr(address.into());
    let request = poem::Request::from((request, local, remote, Scheme::HTTP));
    handle(kernel, client, request).await.into()
}

async fn handle(
    kernel: Arc<Kernel>,
    client: Arc<ClientConnection>,
    mut request: poem::Request,
) -> poem::Response {
    let authorization = request.header(header::AUTHORIZATION).map(str::to_owned);
    let head = RequestHead {
        method: request.method().clone(),
        path: request.uri().path().to_owned(),
        query: request.params::<BTreeMap<String, String>>().unwrap_or_default(),
        authorization,
    };
    match answer(&kernel, &client, head, request.take_body()).await {
        Ok(reply) => poem::Response::builder()
            .status(reply.status)
            .content_type(reply.content_type)
            .body(reply.body),
        Err(problem) => problem_response(&problem),
    }
}

/// Checks the key of a request before it reads the body, so that clients without a key cannot fill the memory.
async fn answer(
    kernel: &Arc<Kernel>,
    client: &Arc<ClientConnection>,
    head: RequestHead,
    body: poem::Body,
) -> ControlResult {
    let admitted = admit(kernel, head)?;
    let max_bytes = match admitted.route.access {
        Access::Open => OPEN_BODY_MAX_BYTES,
        Access::Operator | Access::Peer => {
            let caller =
                if admitted.operator.is_empty() { PEER_CALLER } else { &admitted.operator };
            client.set_caller(caller);
            let bytes_max = client.intake().bounds().bytes_max;
            usize::try_from(bytes_max).map_or(BODY_MAX_BYTES, |max| max.min(BODY_MAX_BYTES))
        }
    };
    let body = BoxBody::from(body).map_err(Into::into).boxed_unsync();
    let body = read_body(body, max_bytes, client)
        .await
        .map_err(|error| error.into_problem(|| format!("a body has at most {max_bytes} bytes")))?;
    admitted.call(kernel, body).await
}

fn problem_response(problem: &Problem) -> poem::Response {
    let mut builder = poem::Response::builder()
        .status(problem.status())
        .content_type("application/problem+json")
        .header(VERDICT_HEADER, problem.verdict.as_str())
        .header(REQUEST_ID_HEADER, format!("{:016x}", fastrand::u64(..)));
    if let Some(seconds) = problem.retry_after_s() {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    builder.body(problem.to_json())
}

/// Head of a request on the control listener.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters, by name.
    pub query: BTreeMap<String, String>,
    /// Value of the `authorization` header.
    pub authorization: Option<String>,
}

/// Request whose route is found and whose key is valid.
struct AdmittedRequest<'a> {
    route: &'a ControlRoute,
    operator: String,
    params: BTreeMap<String, String>,
    query: BTreeMap<String, String>,
}

impl AdmittedRequest<'_> {
    async fn call(self, kernel: &Arc<Kernel>, body: Bytes) -> ControlResult {
        let AdmittedRequest { route, operator, params, query } = self;
        (route.handler)(kernel.clone(), ControlRequest { operator, params, query, body }).await
    }
}

/// Finds the route of a request and checks its key.
fn admit(kernel: &Arc<Kernel>, head: RequestHead) -> Result<AdmittedRequest<'_>, Problem> {
    let found = kernel
        .control_routes()
        .iter()
        .filter(|route| route.method == head.method)
        .find_map(|route| Some((route, match_path(route.path, &head.path)?)));
    let Some((route, params)) = found else {
        let detail = format!("nothing answers {} {}", head.method, head.path);
        return Err(Problem::not_run(NOT_FOUND, detail));
    };
    let operator = check_access(kernel, route.access, head.authorization.as_deref())?;
    Ok(AdmittedRequest { route, operator, params, query: head.query })
}

/// Checks the key of a request and passes the request to its route; tests call this without a socket.
pub async fn dispatch(kernel: &Arc<Kernel>, head: RequestHead, body: Bytes) -> ControlResult {
    admit(kernel, head)?.call(kernel, body).await
}

/// Returns the parameters of a path if the path matches the pattern of a route.
fn match_path(pattern: &str, path: &str) -> Option<BTreeMap<String, String>> {
    let (pattern_segments, segments) = (pattern.split('/'), path.split('/'));
    if pattern_segments.clone().count() != segments.clone().count() {
        return None;
    }
    let mut params = BTreeMap::new();
    for (pattern, segment) in pattern_segments.zip(segments) {
        match pattern.strip_prefix(':') {
            Some(name) => drop(params.insert(name.to_owned(), segment.to_owned())),
            None if pattern == segment => {}
            None => return None,
        }
    }
    Some(params)
}

fn check_access(
    kernel: &Arc<Kernel>,
    access: Access,
    authorization: Option<&str>,
) -> Result<String, Problem> {
    let refused = || Problem::not_run(BAD_KEY, "the key is missing, unknown or withdrawn");
    let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
    match access {
        Access::Open => Ok(String::new()),
        Access::Operator => kernel.check_operator(key.unwrap_or("")).ok_or_else(refused),
        Access::Peer => match key {
            Some(key) if kernel.check_peer(key) => Ok(String::new()),
            _ => Err(refused()),
        },
    }
}
