//! Runs the connections of all listeners within their limits.
//!
//! `hyper` bounds the size of a head and the number of its headers. Its time limit for heads also ends idle
//! connections, so the time of a head is measured here, from its first byte.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::net::TcpListener;
use tokio::time::Sleep;
use wasabiswitch_policy::intake::Phase;

use super::intake::{Admission, ClientConnection, Intake, Limit};
use super::{Body, BodyError};
use crate::network::Stream;

/// Pause after a failed accept, for example because file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of headers for which `hyper` needs no allocation.
const USUAL_HEADERS_MAX: usize = 100;
/// Time for which a connection with unread input stays open after its last response, so that the client can read it.
///
/// Closing it at once would reset it, and the client would lose the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Number of bytes that are read and dropped meanwhile; more than a body that the pages permit.
const LINGER_MAX_BYTES: usize = 512 << 10;
/// Response to a connection that is refused.
const REFUSED_CONNECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    x-wasabiswitch-verdict: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections until `end`, and passes those that the intake admits to `serve`.
pub(super) async fn accept_until(
    intake: &Arc<Intake>,
    listener: TcpListener,
    end: impl Future<Output = ()>,
    serve: impl Fn(Stream, Admission),
) {
    let mut end = std::pin::pin!(end);
    loop {
        // Waiting connections are accepted first, since closing the listener resets them.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut end => return,
        };
        match accepted {
            Ok((stream, address)) => {
                let _ = stream.set_nodelay(true);
                if let Some((stream, admission)) =
                    admit(intake, Stream::Tcp(stream), Some(address.ip()))
                {
                    serve(stream, admission);
                }
            }
            Err(_) => tokio::select! {
                () = &mut end => return,
                () = tokio::time::sleep(ACCEPT_RETRY_DELAY) => {}
            },
        }
    }
}

/// Admits a connection; one that is refused gets a response.
pub(super) fn admit(
    intake: &Arc<Intake>,
    stream: Stream,
    address: Option<IpAddr>,
) -> Option<(Stream, Admission)> {
    match intake.admit(address) {
        Some(admission) => Some((stream, admission)),
        None => {
            refuse(intake, stream);
            None
        }
    }
}

/// Sends the response to a refused connection, and keeps it open for a short time if few others are.
///
/// A socket that is closed before its input is read is reset, and the client then loses the response: 8 of 9 clients that
/// had sent a request did.
fn refuse(intake: &Arc<Intake>, mut stream: Stream) {
    let Some(place) = intake.refused_place() else {
        if let Stream::Tcp(stream) = &stream {
            let _ = stream.try_write(REFUSED_CONNECTION);
        }
        return;
    };
    let client = intake.detached_connection();
    intake.tasks().spawn_until_stopped("refused connection", async move {
        let _place = place;
        if stream.write_all(REFUSED_CONNECTION).await.is_ok() {
            linger(&mut stream, &client).await;
        }
    });
}

/// Serves the requests of a connection until it ends, reaches a limit or is closed for another one.
///
/// `should_close` is polled while the connection is waiting; once it returns `true`, the connection closes after its
/// current request.
pub(super) async fn serve<B, F>(
    mut stream: Stream,
    admission: Admission,
    respond: impl Fn(Request<Incoming>) -> F,
    mut should_close: impl FnMut(&mut Context<'_>) -> bool,
) where
    B: http_body::Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<BodyError>,
    F: Future<Output = Response<B>>,
{
    let client = &admission.connection;
    let limits = client.intake().bounds().connection;
    let service = service_fn(|request: Request<Incoming>| {
        client.set_body_unread(!http_body::Body::is_end_stream(request.body()));
        client.set_phase(Phase::Serving);
        let response = respond(request);
        async {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| ServedBody { body, client: client.clone() }))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_max_bytes);
    if limits.headers_max != USUAL_HEADERS_MAX {
        builder.max_headers(limits.headers_max);
    }
    let observed = ObservedStream { stream: &mut stream, client };
    let mut head_timer = HeadTimer::default();
    let mut is_closing = false;
    let result = {
        let connection = builder.serve_connection(TokioIo::new(observed), service);
        let mut connection = std::pin::pin!(connection);
        poll_fn(|context| {
            client.register(context.waker());
            // What has arrived is read before the connection can be closed.
            let mut polled = connection.as_mut().poll(context);
            if polled.is_pending() && !is_closing && should_close(context) {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                polled = connection.as_mut().poll(context);
            }
            if let Poll::Ready(result) = polled {
                return Poll::Ready(Some(result));
            }
            if client.is_closing() && client.may_close() {
                return Poll::Ready(None);
            }
            if head_timer.poll(client, limits.head_timeout, context).is_ready() {
                client.intake().count_refusal(Limit::HeadTime);
                return Poll::Ready(None);
            }
            Poll::Pending
        })
        .await
    };
    // Errors of the stream are ignored; the counters of the request cover a caller that disconnects.
    let is_parse_error = match &result {
        Some(Ok(())) => false,
        Some(Err(error)) if error.is_parse() => true,
        Some(Err(_)) | None => return,
    };
    if result.is_some_and(|result| result.is_err_and(|error| error.is_parse_too_large())) {
        client.intake().count_refusal(Limit::HeadSize);
    }
    if is_parse_error || client.is_body_unread() {
        client.set_phase(Phase::Lingering);
        linger(&mut stream, client).await;
    } else {
        let _ = stream.shutdown().await;
    }
}

/// Drops what the client still sends until it has read the response and closes, or a limit is reached.
async fn linger(stream: &mut Stream, client: &ClientConnection) {
    let drop_input = async {
        if stream.shutdown().await.is_err() {
            return;
        }
        let (mut buffer, mut count) = ([0; 2 << 10], 0);
        while count < LINGER_MAX_BYTES {
            match stream.read(&mut buffer).await {
                Ok(length) if length > 0 => count += length,
                _ => return,
            }
        }
    };
    let mut drop_input = std::pin::pin!(tokio::time::timeout(LINGER_TIME, drop_input));
    poll_fn(|context| {
        client.register(context.waker());
        let polled = drop_input.as_mut().poll(context);
        if polled.is_ready() || client.is_closing() { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}

/// Timer that ends when a head does not arrive in time.
///
/// It is set only once a connection waits for the rest of a head, which heads that arrive at once never do. A connection
/// that has sent nothing has no time limit: callers and load balancers open connections before they need them.
#[derive(Default)]
struct HeadTimer {
    sleep: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    fn poll(
        &mut self,
        client: &ClientConnection,
        limit: Duration,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        loop {
            if client.phase() != Phase::Head {
                return Poll::Pending;
            }
            let Some(left) = limit.checked_sub(client.quiet()).filter(|left| !left.is_zero())
            else {
                return Poll::Ready(());
            };
            // The timer may have been set for an earlier head, and is then set again when it ends.
            let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep(left)));
            if sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.sleep = None;
        }
    }
}

/// Body of a response, after which the connection is idle.
struct ServedBody<B> {
    body: B,
    client: Arc<ClientConnection>,
}

impl<B> Drop for ServedBody<B> {
    fn drop(&mut self) {
        self.client.set_phase(Phase::Idle);
    }
}

impl<B: http_body::Body + Unpin> http_body::Body for ServedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream that records on its connection when bytes arrive and whether the client reads, and that is shut down by its owner.
struct ObservedStream<'a> {
    stream: &'a mut Stream,
    client: &'a ClientConnection,
}

impl AsyncRead for ObservedStream<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut *self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.client.record_bytes();
        }
        polled
    }
}

impl AsyncWrite for ObservedStream<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.stream).poll_write(context, bytes);
        self.client.set_write_blocked(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.stream).poll_write_vectored(context, buffers);
        self.client.set_write_blocked(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Converts the body of a request as `hyper` receives it.
pub(super) fn incoming_body(body: Incoming) -> Body {
    use http_body_util::BodyExt as _;
    body.map_err(Into::into).boxed_unsync()
}
