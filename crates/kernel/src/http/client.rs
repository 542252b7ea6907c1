//! A small client for the platform, for peers and for the command line.
//!
//! It keeps a few idle connections for each address, and its errors say whether the request may have
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

/// The most idle connections that are kept for one address.
const IDLE_MAX: usize = 16;
/// The longest time that a connection takes to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// Why a request got no answer.
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
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The request could not be formed or was never sent.
    #[error("cannot send: {0}")]
    NotSent(String),
    /// The request may have been received, but no whole answer came.
    #[error("no whole answer: {0}")]
    NoAnswer(String),
}

impl ClientError {
    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            ClientErrorKind::Connect(_) | ClientErrorKind::NotSent(_) => Verdict::NotRun,
            ClientErrorKind::NoAnswer(_) => Verdict::MayHaveRun,
        }
    }

    /// Returns what went wrong.
    pub fn kind(&self) -> &ClientErrorKind {
        &self.kind
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct ClientRequest<'a> {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: &'a str,
    /// The key to present, if any.
    pub authorization: Option<&'a str>,
    /// Further headers, by name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

type Connection = SendRequest<Full<Bytes>>;

/// The client; clones share their connections.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    network: Network,
    // A leaf lock: nothing else is locked while it is held.
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(network: Network) -> HttpClient {
        HttpClient { network, idle: Arc::default() }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        outgoing: ClientRequest<'_>,
    ) -> Result<ClientResponse, ClientError> {
        let error = |kind| ClientError { address, kind };
        let mut request = build(address, &outgoing).map_err(error)?;
        loop {
            let (mut connection, reused) = match self.take_idle(address) {
                Some(connection) => (connection, true),
                None => (self.open(address).await.map_err(error)?, false),
            };
            match connection.try_send_request(request).await {
                Ok(answer) => {
                    let answer = read_answer(answer).await.map_err(error)?;
                    self.put_idle(address, connection);
                    return Ok(answer);
                }
                Err(mut failed) => match failed.take_message() {
                    // The idle connection had been closed, and the request was never sent.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(error(not_sent(failed.error()))),
                    None => return Err(error(no_answer(failed.error()))),
                },
            }
        }
    }

    /// Closes the idle connections to an address, such as after a call there got no answer.
    ///
    /// Connections can go silent without being closed, and then each of them would cost a timeout.
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
        // The connection ends when its sender is dropped, so nothing needs to join this task.
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
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }
}

fn build(
    address: SocketAddr,
    outgoing: &ClientRequest<'_>,
) -> Result<Request<Full<Bytes>>, ClientErrorKind> {
    let mut builder = Request::builder().method(outgoing.method.clone()).uri(outgoing.path);
    if !outgoing.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        builder = builder.header(header::HOST, address.to_string());
    }
    if let Some(key) = outgoing.authorization {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    for (name, value) in outgoing.headers {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(outgoing.body.clone());
    builder.body(body).map_err(|error| ClientErrorKind::NotSent(error.to_string()))
}

async fn read_answer(
    answer: http::Response<hyper::body::Incoming>,
) -> Result<ClientResponse, ClientErrorKind> {
    let (head, body) = answer.into_parts();
    let limited = Limited::new(body, ANSWER_MAX_BYTES);
    let collected =
        limited.collect().await.map_err(|error| ClientErrorKind::NoAnswer(error.to_string()))?;
    Ok(ClientResponse { status: head.status, body: collected.to_bytes() })
}

fn not_sent(error: &hyper::Error) -> ClientErrorKind {
    ClientErrorKind::NotSent(error.to_string())
}

fn no_answer(error: &hyper::Error) -> ClientErrorKind {
    ClientErrorKind::NoAnswer(error.to_string())
}
