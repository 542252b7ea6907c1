//! The entry listener, for callers.
//!
//! Each connection is a task that a stop joins. During a stop, each response carries `connection: close`;
//! after a grace period the listener and the idle connections are closed, and requests in flight are
//! finished. Those that do not end in time are answered as in doubt, since a connection that closes without a
//! response tells the caller nothing. See docs/DESIGN.md, "A stop".

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::ids::RequestId;

use super::Body;
use super::problem::{NOT_FOUND, Problem, REQUEST_ID_HEADER, STOPPED};
use crate::kernel::Kernel;
use crate::network::Stream;

/// Time within which the head of a request must arrive.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which connections are still accepted, and idle ones kept, after a stop closes the entry listener.
///
/// The load balancer may still be opening connections before it sees that the daemon is unready, and a
/// caller may be sending a request on an idle connection at the moment of the stop.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Pause after a failed accept, for example because file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Request on the entry listener, as a route receives it.
#[derive(Debug)]
pub struct EntryRequest {
    /// HTTP request with its body.
    pub http: Request<Body>,
    /// Id of the request, which the response carries in a header.
    pub request_id: RequestId,
    /// Part of the path after the route's prefix, without the query.
    pub rest: String,
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
    let mut grace_end = std::pin::pin!(grace_end);
    loop {
        // Waiting connections are accepted first, since closing the listener resets them.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut grace_end => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                accept(&kernel, Stream::Tcp(stream));
            }
            Err(_) => tokio::select! {
                () = &mut grace_end => return,
                () = tokio::time::sleep(ACCEPT_RETRY_DELAY) => {}
            },
        }
    }
}

/// Spawns a task that serves a connection and that a stop of the daemon joins.
pub fn accept(kernel: &Arc<Kernel>, stream: Stream) {
    let stop = kernel.request_tasks.stop_token();
    let connection = serve_connection(kernel.clone(), stream, stop);
    kernel.request_tasks.spawn("entry connection", connection);
}

async fn serve_connection(kernel: Arc<Kernel>, stream: Stream, stop: CancellationToken) {
    let service_kernel = kernel.clone();
    let service = service_fn(move |request| {
        let kernel = service_kernel.clone();
        async move { Ok::<_, Infallible>(dispatch(kernel, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut stopped = std::pin::pin!(stop.cancelled());
    let response_time_over_token = kernel.response_time_over_token();
    let mut response_time_over = std::pin::pin!(response_time_over_token.cancelled());
    let mut grace = std::pin::pin!(None::<tokio::time::Sleep>);
    let (mut wakers_registered, mut closing) = (false, false);
    // Errors of the connection are ignored; the counters of the request cover a caller that disconnects.
    let _ = poll_fn(|context| {
        // Polling a token takes a lock that all connections share. Each is polled only once, to register
        // the waker for a stop; later polls read atomic flags instead.
        if !wakers_registered {
            wakers_registered = true;
            let _ = stopped.as_mut().poll(context);
            let _ = response_time_over.as_mut().poll(context);
        }
        // What has arrived is read before the connection can be closed as idle.
        let polled = connection.as_mut().poll(context);
        if polled.is_pending() && !closing && kernel.is_entry_closing() {
            if grace.is_none() {
                grace.set(Some(tokio::time::sleep(CLOSE_GRACE_PERIOD)));
            }
            if let Some(grace_end) = grace.as_mut().as_pin_mut()
                && grace_end.poll(context).is_ready()
            {
                closing = true;
                connection.as_mut().graceful_shutdown();
                return connection.as_mut().poll(context);
            }
        }
        polled
    })
    .await;
}

async fn dispatch(kernel: Arc<Kernel>, request: Request<Incoming>) -> Response<Body> {
    let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
    handle(kernel, request).await
}

/// Passes a request to its route and returns the response; tests call this without a socket.
pub async fn handle(kernel: Arc<Kernel>, request: Request<Body>) -> Response<Body> {
    let request_id = fastrand::u64(..);
    let _in_flight = kernel.count_request();
    let path = request.uri().path();
    let route = kernel.entry_routes().iter().find(|route| route.matches(request.method(), path));
    let mut response = match route {
        Some(route) => {
            let rest = path[route.prefix.len()..].to_owned();
            let handler = route.handler.clone();
            let response =
                handler(kernel.clone(), EntryRequest { http: request, request_id, rest });
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
