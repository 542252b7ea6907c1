//! The control listener: what operators, peers and the platform's probes reach.
//!
//! Plug-ins register routes with the access that they need; the listener checks the key and hands
//! over plain data, so that no plug-in depends on the HTTP library.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode, header};
use poem::endpoint::make;
use poem::listener::TcpAcceptor;
use poem::{EndpointExt as _, Route, RouteMethod, Server};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::problem::{BAD_KEY, BODY_TOO_LARGE, Problem, REQUEST_ID_HEADER, VERDICT_HEADER};
use crate::kernel::Kernel;

/// The largest body of a request, in bytes.
const BODY_MAX_BYTES: usize = 32 << 20;
/// How long a stop waits for requests that were begun.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Everyone who reaches the listener.
    Open,
    /// Operators, with their keys.
    Operator,
    /// Other daemons, with the peer key.
    Peer,
}

/// A request as a plug-in sees it.
#[derive(Clone, Debug, Default)]
pub struct ControlRequest {
    /// The operator who sent it; empty for other callers.
    pub operator: String,
    /// The parts of the path that the route names.
    pub params: BTreeMap<String, String>,
    /// The query's names and values.
    pub query: BTreeMap<String, String>,
    /// The whole body.
    pub body: Bytes,
}

impl ControlRequest {
    /// Returns a part of the path that the route names.
    pub fn param(&self, name: &str) -> &str {
        self.params.get(name).map_or("", String::as_str)
    }
}

/// An answer of a plug-in.
#[derive(Clone, Debug)]
pub struct ControlReply {
    /// The status.
    pub status: StatusCode,
    /// The media type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}

impl ControlReply {
    /// Creates an answer in JSON.
    pub fn json(value: &serde_json::Value) -> ControlReply {
        ControlReply {
            status: StatusCode::OK,
            content_type: "application/json",
            body: value.to_string().into(),
        }
    }

    /// Creates an answer in plain text.
    pub fn text(body: impl Into<Bytes>) -> ControlReply {
        ControlReply {
            status: StatusCode::OK,
            content_type: "text/plain; version=0.0.4; charset=utf-8",
            body: body.into(),
        }
    }

    /// Creates an answer in MessagePack, for peers.
    pub fn binary(body: Vec<u8>) -> ControlReply {
        ControlReply {
            status: StatusCode::OK,
            content_type: "application/msgpack",
            body: body.into(),
        }
    }
}

/// What a route's function returns.
pub type ControlResult = Result<ControlReply, Problem>;

/// Answers a request on the control listener.
pub type ControlHandler =
    Arc<dyn Fn(Arc<Kernel>, ControlRequest) -> BoxFuture<'static, ControlResult> + Send + Sync>;

/// A path on the control listener.
#[derive(Clone)]
pub struct ControlRoute {
    /// The method.
    pub method: Method,
    /// The path, in which `:name` stands for a part.
    pub path: &'static str,
    /// Who may use it.
    pub access: Access,
    /// Answers the requests.
    pub handler: ControlHandler,
}

/// Serves the routes of all plug-ins until `stop` is cancelled.
pub async fn serve(
    kernel: Arc<Kernel>,
    listener: TcpListener,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    let endpoint = build_routes(&kernel);
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop.cancelled_owned(), Some(STOP_TIMEOUT))
        .await
}

fn build_routes(kernel: &Arc<Kernel>) -> Route {
    let mut by_path: BTreeMap<&str, Vec<ControlRoute>> = BTreeMap::new();
    for route in kernel.control_routes() {
        by_path.entry(route.path).or_default().push(route.clone());
    }
    by_path.into_iter().fold(Route::new(), |routes, (path, own)| {
        let methods = own.into_iter().fold(RouteMethod::new(), |methods, route| {
            let method = route.method.clone();
            let kernel = kernel.clone();
            let endpoint = make(move |request| answer(kernel.clone(), route.clone(), request));
            methods.method(method, endpoint.boxed())
        });
        routes.at(path, methods)
    })
}

async fn answer(
    kernel: Arc<Kernel>,
    route: ControlRoute,
    request: poem::Request,
) -> poem::Response {
    let result = match read_request(&kernel, &route, request).await {
        Ok(request) => (route.handler)(kernel, request).await,
        Err(problem) => Err(problem),
    };
    match result {
        Ok(reply) => poem::Response::builder()
            .status(reply.status)
            .content_type(reply.content_type)
            .body(reply.body),
        Err(problem) => problem_response(&problem),
    }
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

async fn read_request(
    kernel: &Arc<Kernel>,
    route: &ControlRoute,
    mut request: poem::Request,
) -> Result<ControlRequest, Problem> {
    let operator = check_access(kernel, route.access, &request)?;
    let params = path_params(route.path, &request);
    let query = request.params::<BTreeMap<String, String>>().unwrap_or_default();
    let body = request.take_body().into_bytes_limit(BODY_MAX_BYTES).await.map_err(|_| {
        Problem::not_run(BODY_TOO_LARGE, format!("a body has at most {BODY_MAX_BYTES} bytes"))
    })?;
    Ok(ControlRequest { operator, params, query, body })
}

fn path_params(path: &str, request: &poem::Request) -> BTreeMap<String, String> {
    let names = path.split('/').filter_map(|part| part.strip_prefix(':'));
    names
        .filter_map(|name| {
            request.raw_path_param(name).map(|value| (name.to_owned(), value.to_owned()))
        })
        .collect()
}

fn check_access(
    kernel: &Arc<Kernel>,
    access: Access,
    request: &poem::Request,
) -> Result<String, Problem> {
    let refused = || Problem::not_run(BAD_KEY, "the key is missing, unknown or withdrawn");
    let key = request.header(header::AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
    match access {
        Access::Open => Ok(String::new()),
        Access::Operator => kernel.check_operator(key.unwrap_or("")).ok_or_else(refused),
        Access::Peer => match key {
            Some(key) if kernel.check_peer(key) => Ok(String::new()),
            _ => Err(refused()),
        },
    }
}
