//! Replaceable connections to upstreams and peers.
//!
//! The daemon opens connections through a [`Network`], so that tests can replace sockets by in-memory
//! streams, run on paused time, and cut or delay connections.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::TcpStream;

/// Byte stream of a connection.
#[derive(Debug)]
pub enum Stream {
    /// TCP socket.
    Tcp(TcpStream),
    /// In-memory stream within the process, for tests.
    Memory(DuplexStream),
}

/// Function that opens a connection to an address.
pub type DialFn = Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<Stream>> + Send + Sync>;

/// Functions that open connections to other processes.
#[derive(Clone)]
pub struct Network {
    /// Opens a connection.
    pub dial: DialFn,
}

impl std::fmt::Debug for Network {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Network")
    }
}

impl Default for Network {
    fn default() -> Network {
        Network::tcp()
    }
}

impl Network {
    /// Creates a network of TCP sockets.
    pub fn tcp() -> Network {
        Network { dial: Arc::new(|address| dial_tcp(address).boxed()) }
    }
}

async fn dial_tcp(address: SocketAddr) -> io::Result<Stream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(Stream::Tcp(stream))
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_read(context, buffer),
            Stream::Memory(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_write(context, bytes),
            Stream::Memory(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_write_vectored(context, buffers),
            Stream::Memory(stream) => Pin::new(stream).poll_write_vectored(context, buffers),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Stream::Tcp(stream) => stream.is_write_vectored(),
            Stream::Memory(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_flush(context),
            Stream::Memory(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_shutdown(context),
            Stream::Memory(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}
