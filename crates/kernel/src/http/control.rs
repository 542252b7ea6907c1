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
use poem::Server;
use poem::endpoint::make;
use poem::listener::TcpAcceptor;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::problem::{
    BAD_KEY, BODY_TOO_LARGE, NOT_FOUND, Problem, REQUEST_ID_HEADER, VERDICT_HEADER,
};
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
    let endpoint = make(move |request| answer(kernel.clone(), request));
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop.cancelled_owned(), Some(STOP_TIMEOUT))
        .await
}

async fn answer(kernel: Arc<Kernel>, mut request: poem::Request) -> poem::Response {
    let header = request.header(header::AUTHORIZATION).map(str::to_owned);
    let asked = RequestHead {
        method: request.method().clone(),
        path: request.uri().path().to_owned(),
        query: request.params::<BTreeMap<String, String>>().unwrap_or_default(),
        authorization: header,
    };
    let result = match request.take_body().into_bytes_limit(BODY_MAX_BYTES).await {
        Ok(body) => dispatch(&kernel, asked, body).await,
        Err(_) => {
            let detail = format!("a body has at most {BODY_MAX_BYTES} bytes");
            Err(Problem::not_run(BODY_TOO_LARGE, detail))
        }
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

/// The head of a request on the control listener.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The path, without its query.
    pub path: String,
    /// The query's names and values.
    pub query: BTreeMap<String, String>,
    /// The `authorization` header.
    pub authorization: Option<String>,
}

/// Checks the key of a request and answers it; tests call this without a socket.
pub async fn dispatch(kernel: &Arc<Kernel>, asked: RequestHead, body: Bytes) -> ControlResult {
    let found = kernel
        .control_routes()
        .iter()
        .filter(|route| route.method == asked.method)
        .find_map(|route| Some((route, match_path(route.path, &asked.path)?)));
    let Some((route, params)) = found else {
        let detail = format!("nothing answers {} {}", asked.method, asked.path);
        return Err(Problem::not_run(NOT_FOUND, detail));
    };
    let operator = check_access(kernel, route.access, asked.authorization.as_deref())?;
    let request = ControlRequest { operator, params, query: asked.query, body };
    (route.handler)(kernel.clone(), request).await
}

/// Returns the named parts of a path if it has the form of a route.
fn match_path(form: &str, path: &str) -> Option<BTreeMap<String, String>> {
    let (forms, parts) = (form.split('/'), path.split('/'));
    if forms.clone().count() != parts.clone().count() {
        return None;
    }
    let mut params = BTreeMap::new();
    for (form, part) in forms.zip(parts) {
        match form.strip_prefix(':') {
            Some(name) => drop(params.insert(name.to_owned(), part.to_owned())),
            None if form == part => {}
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
