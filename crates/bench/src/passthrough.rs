//! Bare pass-through proxy: forwards each request to a random upstream, without any other decision.
//!
//! It is the baseline for the live path, with the same library, sockets and connection pooling.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use wasabiswitch_kernel::http::Body;

/// Pool of idle connections to one upstream.
type IdleConnections = Arc<Mutex<Vec<SendRequest<Incoming>>>>;

/// Accepts connections from `listener`, and forwards each request to a random upstream.
pub(crate) async fn serve(listener: TcpListener, upstreams: Vec<SocketAddr>) {
    let upstreams: Arc<Vec<(SocketAddr, IdleConnections)>> = Arc::new(
        upstreams.into_iter().map(|address| (address, IdleConnections::default())).collect(),
    );
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let upstreams = upstreams.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let upstreams = upstreams.clone();
                async move { Ok::<_, Infallible>(forward(&upstreams, request).await) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn forward(
    upstreams: &[(SocketAddr, IdleConnections)],
    request: Request<Incoming>,
) -> Response<Body> {
    let (address, idle_connections) = &upstreams[fastrand::usize(..upstreams.len())];
    let idle = idle_connections.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let sender = match idle.filter(SendRequest::is_ready) {
        Some(sender) => Some(sender),
        None => connect(*address).await,
    };
    let Some(mut sender) = sender else { return bad_gateway() };
    let Ok(response) = sender.send_request(request).await else { return bad_gateway() };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else { return bad_gateway() };
    idle_connections.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
    Response::from_parts(head, wasabiswitch_kernel::http::full_body(body.to_bytes()))
}

fn bad_gateway() -> Response<Body> {
    let body = Empty::<Bytes>::new().map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Incoming>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
