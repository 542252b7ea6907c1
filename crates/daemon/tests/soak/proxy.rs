//! A loopback TCP proxy with fault injection: it delays or stalls the bytes, or closes the connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Behaviour of the proxy towards all its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProxyMode {
    /// Forwards the bytes.
    Forward,
    /// Forwards the bytes after a delay.
    Slow(Duration),
    /// Keeps the connections open and forwards nothing.
    Stalled,
    /// Closes open connections and, at once, new ones.
    Closed,
    /// Keeps the connections open and loses the bytes, also those that a connection gets after lost ones.
    Lost,
    /// Forwards requests, and loses the responses in the same way.
    ResponsesLost,
    /// Forwards requests, and closes a connection midway through the next response.
    ResponsesBroken,
}

/// Direction of the bytes on a connection.
#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Response,
}

/// A running proxy, which ends with the runtime of the test.
pub struct Proxy {
    pub address: SocketAddr,
    pub mode: watch::Sender<ProxyMode>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
        let address = listener.local_addr().expect("the listener has an address");
        let (mode, receiver) = watch::channel(ProxyMode::Forward);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let receiver = receiver.clone();
                tokio::spawn(forward(stream, target, receiver));
            }
        });
        Proxy { address, mode }
    }
}

async fn forward(stream: TcpStream, target: SocketAddr, mut mode: watch::Receiver<ProxyMode>) {
    if *mode.borrow() == ProxyMode::Closed {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let ((client_in, client_out), (upstream_in, upstream_out)) =
        (stream.into_split(), upstream.into_split());
    let (request_mode, response_mode) = (mode.clone(), mode.clone());
    tokio::select! {
        () = copy(client_in, upstream_out, Direction::Request, request_mode) => {}
        () = copy(upstream_in, client_out, Direction::Response, response_mode) => {}
        _ = mode.wait_for(|mode| *mode == ProxyMode::Closed) => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<ProxyMode>,
) {
    let mut buffer = vec![0; 16 << 10];
    let mut has_lost_bytes = false;
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if count == 0 || mode.wait_for(|mode| *mode != ProxyMode::Stalled).await.is_err() {
            return;
        }
        let current = *mode.borrow();
        let is_response = direction == Direction::Response;
        match current {
            ProxyMode::Slow(delay) => tokio::time::sleep(delay).await,
            ProxyMode::Lost => has_lost_bytes = true,
            ProxyMode::ResponsesLost if is_response => has_lost_bytes = true,
            ProxyMode::ResponsesBroken if is_response => {
                // A failure has the same effect as the end that follows.
                let _ = to.write_all(&buffer[..count / 2]).await;
                return;
            }
            _ => {}
        }
        if has_lost_bytes {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
