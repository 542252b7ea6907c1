//! A bare pass-through: forwards each request to one upstream, and decides nothing.
//!
//! It is the baseline of the live path, with the same library, sockets and pooling.

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

type Pool = Arc<Mutex<Vec<SendRequest<Incoming>>>>;

/// Serves `listener` by forwarding to the upstreams in turn.
pub(crate) async fn serve(listener: TcpListener, upstreams: Vec<SocketAddr>) {
    let pools: Arc<Vec<(SocketAddr, Pool)>> =
        Arc::new(upstreams.into_iter().map(|address| (address, Pool::default())).collect());
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let pools = pools.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let pools = pools.clone();
                async move { Ok::<_, Infallible>(forward(&pools, request).await) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn forward(pools: &[(SocketAddr, Pool)], request: Request<Incoming>) -> Response<Body> {
    let (address, pool) = &pools[fastrand::usize(..pools.len())];
    let idle = pool.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let sender = match idle.filter(SendRequest::is_ready) {
        Some(sender) => Some(sender),
        None => open(*address).await,
    };
    let Some(mut sender) = sender else { return failed() };
    let Ok(answer) = sender.send_request(request).await else { return failed() };
    let (head, body) = answer.into_parts();
    let Ok(whole) = body.collect().await else { return failed() };
    pool.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
    Response::from_parts(head, wasabiswitch_kernel::http::full_body(whole.to_bytes()))
}

fn failed() -> Response<Body> {
    let body = Empty::<Bytes>::new().map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

async fn open(address: SocketAddr) -> Option<SendRequest<Incoming>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
