//! A listener that answers the readiness probes of a load balancer.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Response, StatusCode};
use tokio::net::TcpListener;

use super::{Body, connection, full_body};
use crate::kernel::Kernel;

/// Answers requests for `path` with the status 200 while `is_ready` returns `true`, and all others with 503.
///
/// # Errors
///
/// The listener cannot be opened.
pub async fn serve(
    kernel: Arc<Kernel>,
    address: SocketAddr,
    path: &'static str,
    is_ready: fn(&Kernel) -> bool,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let intake = kernel.intakes.readiness.clone();
    connection::accept_until(&intake, listener, std::future::pending(), |stream, admission| {
        let answering_kernel = kernel.clone();
        let respond = move |request: http::Request<hyper::body::Incoming>| {
            let is_ready = request.uri().path() == path && is_ready(&answering_kernel);
            ready(response(is_ready))
        };
        let connection = connection::serve(stream, admission, respond, |_| false);
        kernel.tasks.spawn_until_stopped("readiness connection", connection);
    })
    .await;
    Ok(())
}

fn response(is_ready: bool) -> Response<Body> {
    let mut response = Response::new(full_body(""));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
