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
        () = copy(client_in, upstream_out, request_mode) => {}
        () = copy(upstream_in, client_out, response_mode) => {}
        _ = mode.wait_for(|mode| *mode == ProxyMode::Closed) => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if count == 0 || mode.wait_for(|mode| *mode != ProxyMode::Stalled).await.is_err() {
            return;
        }
        let current = *mode.borrow();
        if let ProxyMode::Slow(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
