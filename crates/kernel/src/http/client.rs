//! HTTP client for the platform, for peers and for the command line.
//!
//! The client keeps a few idle connections per address. Its errors tell whether the request may have
//! been received.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use wasabiswitch_policy::Verdict;

use crate::network::Network;

/// Maximum number of idle connections per address.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Time after which opening a connection fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the body of a response, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Error of a request without a complete response.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {kind}")]
pub struct ClientError {
    address: SocketAddr,
    kind: ClientErrorKind,
}

/// The kinds of [`ClientError`].
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ClientErrorKind {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The request is malformed or was not sent.
    #[error("cannot send: {0}")]
    NotSent(String),
    /// The request may have been received, but no complete response arrived.
    #[error("no whole answer: {0}")]
    NoResponse(String),
}

impl ClientError {
    /// Returns whether the request may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            ClientErrorKind::Connect(_) | ClientErrorKind::NotSent(_) => Verdict::NotRun,
            ClientErrorKind::NoResponse(_) => Verdict::MayHaveRun,
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> &ClientErrorKind {
        &self.kind
    }
}

/// Request of the client.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path with the query.
    pub path: &'a str,
    /// Key for the `authorization` header, if any.
    pub authorization: Option<&'a str>,
    /// Additional headers, as pairs of name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// Whole body.
    pub body: Bytes,
}

/// Complete response to a request of the client.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

type Connection = SendRequest<Full<Bytes>>;

/// HTTP client, whose clones share their idle connections.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    network: Network,
    // Leaf lock: no other lock is taken while it is held.
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl HttpClient {
    /// Creates a client that opens its connections through `network`.
    pub fn new(network: Network) -> HttpClient {
        HttpClient { network, idle: Arc::default() }
    }

    /// Sends a request and reads the whole response.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: ClientRequest<'_>,
    ) -> Result<ClientResponse, ClientError> {
        let error = |kind| ClientError { address, kind };
        let mut unsent = build_request(address, &request).map_err(error)?;
        loop {
            let (mut connection, reused) = match self.take_idle(address) {
                Some(connection) => (connection, true),
                None => (self.open(address).await.map_err(error)?, false),
            };
            match connection.try_send_request(unsent).await {
                Ok(response) => {
                    let response = read_response(response).await.map_err(error)?;
                    self.put_idle(address, connection);
                    return Ok(response);
                }
                Err(mut failed) => match failed.take_message() {
                    // The idle connection was closed by the other side before the request was sent.
                    Some(request) if reused => unsent = request,
                    Some(_) => return Err(error(not_sent(failed.error()))),
                    None => return Err(error(no_response(failed.error()))),
                },
            }
        }
    }

    /// Closes the idle connections to an address, for example after a call there got no response.
    ///
    /// A connection can become unresponsive without being closed; each use of one would cost a timeout.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ClientErrorKind> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, (self.network.dial)(address))
            .await
            .map_err(|elapsed| ClientErrorKind::Connect(elapsed.into()))?
            .map_err(ClientErrorKind::Connect)?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|error| not_sent(&error))?;
        // The task is not joined, since the connection ends when its sender is dropped.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(connection);
        }
    }
}

fn build_request(
    address: SocketAddr,
    request: &ClientRequest<'_>,
) -> Result<Request<Full<Bytes>>, ClientErrorKind> {
    let mut builder = Request::builder().method(request.method.clone()).uri(request.path);
    if !request.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        builder = builder.header(header::HOST, address.to_string());
    }
    if let Some(key) = request.authorization {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    for (name, value) in request.headers {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(request.body.clone());
    builder.body(body).map_err(|error| ClientErrorKind::NotSent(error.to_string()))
}

async fn read_response(
    response: http::Response<hyper::body::Incoming>,
) -> Result<ClientResponse, ClientErrorKind> {
    let (head, body) = response.into_parts();
    let limited = Limited::new(body, RESPONSE_MAX_BYTES);
    let collected =
        limited.collect().await.map_err(|error| ClientErrorKind::NoResponse(error.to_string()))?;
    Ok(ClientResponse { status: head.status, body: collected.to_bytes() })
}

fn not_sent(error: &hyper::Error) -> ClientErrorKind {
    ClientErrorKind::NotSent(error.to_string())
}

fn no_response(error: &hyper::Error) -> ClientErrorKind {
    ClientErrorKind::NoResponse(error.to_string())
}
