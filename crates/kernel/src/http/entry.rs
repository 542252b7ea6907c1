//! The entry listener, for callers.
//!
//! Each connection is a task that a stop joins. During a stop, each response carries `connection: close`;
//! after a grace period the listener and the idle connections are closed, and requests in flight are
//! finished. Those that do not end in time are answered as in doubt, since a connection that closes without a
//! response tells the caller nothing. See docs/DESIGN.md, "A stop".

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::ids::RequestId;

use super::intake::{Admission, ClientConnection};
use super::problem::{NOT_FOUND, Problem, REQUEST_ID_HEADER, STOPPED};
use super::{Body, connection};
use crate::kernel::Kernel;
use crate::network::Stream;

/// Time for which connections are still accepted, and idle ones kept, after a stop closes the entry listener.
///
/// The load balancer may still be opening connections before it sees that the daemon is unready, and a
/// caller may be sending a request on an idle connection at the moment of the stop.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// Request on the entry listener, as a route receives it.
#[derive(Debug)]
pub struct EntryRequest {
    /// HTTP request with its body.
    pub http: Request<Body>,
    /// Id of the request, which the response carries in a header.
    pub request_id: RequestId,
    /// Part of the path after the route's prefix, without the query.
    pub rest: String,
    /// Connection on which the request arrived.
    pub connection: Arc<ClientConnection>,
}

/// Function that handles the requests of a route on the entry listener.
pub type EntryHandler =
    Arc<dyn Fn(Arc<Kernel>, EntryRequest) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Route on the entry listener.
#[derive(Clone)]
pub struct EntryRoute {
    /// HTTP method, or `None` for all methods.
    pub method: Option<Method>,
    /// Prefix of the path if it ends in a slash, otherwise the whole path.
    pub prefix: &'static str,
    /// Function that handles the requests.
    pub handler: EntryHandler,
}

impl EntryRoute {
    fn matches(&self, method: &Method, path: &str) -> bool {
        let path_matches = match self.prefix.strip_suffix('/') {
            Some(_) => path.starts_with(self.prefix),
            None => path == self.prefix,
        };
        path_matches && self.method.as_ref().is_none_or(|own| own == method)
    }
}

/// Accepts connections until a grace period after the request tasks are stopped.
pub async fn serve(kernel: Arc<Kernel>, listener: TcpListener) {
    let stop = kernel.request_tasks.stop_token();
    let grace_end = async {
        stop.cancelled().await;
        tokio::time::sleep(CLOSE_GRACE_PERIOD).await;
    };
    let intake = kernel.intakes.entry.clone();
    connection::accept_until(&intake, listener, grace_end, |stream, admission| {
        spawn_connection(&kernel, stream, admission);
    })
    .await;
}

/// Spawns a task that serves a connection and that a stop of the daemon joins.
pub fn accept(kernel: &Arc<Kernel>, stream: Stream) {
    if let Some((stream, admission)) = connection::admit(&kernel.intakes.entry, stream, None) {
        spawn_connection(kernel, stream, admission);
    }
}

fn spawn_connection(kernel: &Arc<Kernel>, stream: Stream, admission: Admission) {
    let stop = kernel.request_tasks.stop_token();
    let connection = serve_connection(kernel.clone(), stream, admission, stop);
    kernel.request_tasks.spawn("entry connection", connection);
}

async fn serve_connection(
    kernel: Arc<Kernel>,
    stream: Stream,
    admission: Admission,
    stop: CancellationToken,
) {
    let (service_kernel, client) = (kernel.clone(), admission.connection.clone());
    let respond = move |request: Request<Incoming>| {
        respond(service_kernel.clone(), client.clone(), request.map(connection::incoming_body))
    };
    let mut stopped = std::pin::pin!(stop.cancelled());
    let response_time_over_token = kernel.response_time_over_token();
    let mut response_time_over = std::pin::pin!(response_time_over_token.cancelled());
    let mut grace = std::pin::pin!(None::<tokio::time::Sleep>);
    let mut wakers_registered = false;
    let should_close = |context: &mut Context<'_>| {
        // Polling a token takes a lock that all connections share. Each is polled only once, to register
        // the waker for a stop; later polls read atomic flags instead.
        if !wakers_registered {
            wakers_registered = true;
            let _ = stopped.as_mut().poll(context);
            let _ = response_time_over.as_mut().poll(context);
        }
        if !kernel.is_entry_closing() {
            return false;
        }
        if grace.is_none() {
            grace.set(Some(tokio::time::sleep(CLOSE_GRACE_PERIOD)));
        }
        let grace_end = grace.as_mut().as_pin_mut();
        grace_end.is_some_and(|grace_end| grace_end.poll(context).is_ready())
    };
    connection::serve(stream, admission, respond, should_close).await;
}

/// Passes a request to its route and returns the response; tests call this without a socket.
pub async fn handle(kernel: Arc<Kernel>, request: Request<Body>) -> Response<Body> {
    let connection = kernel.intakes.entry.detached_connection();
    respond(kernel, connection, request).await
}

async fn respond(
    kernel: Arc<Kernel>,
    connection: Arc<ClientConnection>,
    request: Request<Body>,
) -> Response<Body> {
    let request_id = fastrand::u64(..);
    let _in_flight = kernel.count_request();
    let path = request.uri().path();
    let route = kernel.entry_routes().iter().find(|route| route.matches(request.method(), path));
    let mut response = match route {
        Some(route) => {
            let rest = path[route.prefix.len()..].to_owned();
            let handler = route.handler.clone();
            let request = EntryRequest { http: request, request_id, rest, connection };
            let response = handler(kernel.clone(), request);
            respond_before_stop_ends(&kernel, request_id, response).await
        }
        None => {
            let detail = format!("nothing answers {} {path}", request.method());
            Problem::not_run(NOT_FOUND, detail).into_response()
        }
    };
    response.headers_mut().insert(REQUEST_ID_HEADER, request_id_value(request_id));
    if kernel.is_entry_closing() {
        // The caller then opens its next connection to another daemon.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the response of a handler, or a problem once a stop no longer waits for the request.
///
/// The connection's task is woken when the time for responses is over, and polls the request again.
async fn respond_before_stop_ends(
    kernel: &Kernel,
    request_id: RequestId,
    response: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    let received = kernel.clock.now();
    let mut response = std::pin::pin!(response);
    poll_fn(|context| match response.as_mut().poll(context) {
        Poll::Pending if kernel.is_response_time_over() => {
            Poll::Ready(stopped_response(kernel, request_id, received))
        }
        polled => polled,
    })
    .await
}

fn stopped_response(kernel: &Kernel, request_id: RequestId, received: Instant) -> Response<Body> {
    let held = kernel.clock.now().saturating_duration_since(received);
    log::warn!(
        "request answered at the end of the stop request={request_id:016x} held_ms={}",
        held.as_millis()
    );
    let detail = "the daemon stopped before the request ended";
    Problem::with_verdict(STOPPED, Verdict::MayHaveRun, detail).into_response()
}

/// Returns the header value of a request id, in hexadecimal.
pub fn request_id_value(request_id: RequestId) -> HeaderValue {
    HeaderValue::from_str(&format!("{request_id:016x}")).expect("hexadecimal is a valid header")
}
