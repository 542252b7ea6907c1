//! An in-process network with fault injection: links can be cut, and dialling can be delayed or fail.
//!
//! Every host is a function that accepts a stream. A link is identified by the dialling daemon and the dialled address,
//! so that a partition can be one-way.

use std::collections::{HashMap, HashSet, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::DuplexStream;
use tokio::sync::Notify;
use wasabiswitch_derive::derives;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::control::{RequestHead, dispatch};
use wasabiswitch_kernel::http::entry;
use wasabiswitch_kernel::network::{Network, Stream};

/// Buffer size of a connection; a writer waits while the buffer is full.
const STREAM_BUFFER_BYTES: usize = 64 << 10;

type Accept = Arc<dyn Fn(Stream) + Send + Sync>;

/// Hosts and links of a network, and the planned faults.
#[derive(Default)]
struct NetworkState {
    hosts: HashMap<SocketAddr, Accept>,
    // Links on which dialling fails and open connections end.
    cut: HashSet<(String, SocketAddr)>,
    // Wakes the open connections when a link was cut or a host removed.
    changed: Arc<Notify>,
    // Faults of the next dials to an address, one per dial.
    dial_faults: HashMap<SocketAddr, VecDeque<DialFault>>,
    // Time that each dial takes.
    dial_delay: Duration,
    // Probability in percent that a dial fails.
    dial_failure_percent: u32,
}

/// A fault of one dial.
#[derives(value)]
pub enum DialFault {
    /// The connection is refused.
    Refuse,
    /// The dial never completes.
    Hang,
    /// The dial is delayed by this time.
    Slow(Duration),
}

/// An in-process network; clones share its hosts and links.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    state: Arc<Mutex<NetworkState>>,
}

impl std::fmt::Debug for MemoryNetwork {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MemoryNetwork")
    }
}

impl MemoryNetwork {
    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a host that accepts connections at an address.
    pub fn host(&self, address: SocketAddr, accept: impl Fn(Stream) + Send + Sync + 'static) {
        self.state().hosts.insert(address, Arc::new(accept));
    }

    /// Adds a host that serves the control routes of a daemon.
    pub fn host_control(&self, address: SocketAddr, kernel: &Arc<Kernel>) {
        let kernel = kernel.clone();
        self.host(address, move |stream| {
            tokio::spawn(serve_control(kernel.clone(), stream));
        });
    }

    /// Adds a host that serves the entry routes of a daemon.
    pub fn host_entry(&self, address: SocketAddr, kernel: &Arc<Kernel>) {
        let kernel = kernel.clone();
        self.host(address, move |stream| entry::accept(&kernel, stream));
    }

    /// Removes a host and ends its connections, as the end of its process would.
    pub fn remove(&self, address: SocketAddr) {
        let mut state = self.state();
        state.hosts.remove(&address);
        state.changed.notify_waiters();
    }

    /// Cuts or restores the link from a daemon to an address.
    pub fn set_cut(&self, from: &str, to: SocketAddr, cut: bool) {
        let link = (from.to_owned(), to);
        let mut state = self.state();
        if cut {
            state.cut.insert(link)
        } else {
            state.cut.remove(&link)
        };
        state.changed.notify_waiters();
    }

    /// Plans the faults of the next dials to an address, one per dial.
    pub fn plan_dial_faults(&self, to: SocketAddr, faults: impl IntoIterator<Item = DialFault>) {
        self.state().dial_faults.entry(to).or_default().extend(faults);
    }

    /// Removes all planned dial faults.
    pub fn clear_dial_faults(&self) {
        self.state().dial_faults.clear();
    }

    /// Sets the time that every dial takes, and the probability in percent that it fails.
    pub fn set_dial_quality(&self, dial_delay: Duration, dial_failure_percent: u32) {
        let mut state = self.state();
        state.dial_delay = dial_delay;
        state.dial_failure_percent = dial_failure_percent;
    }

    /// Returns the network through which one daemon dials.
    pub fn network_of(&self, daemon: &str) -> Network {
        let (network, daemon) = (self.clone(), daemon.to_owned());
        let dial = move |address| {
            let (network, link) = (network.clone(), (daemon.clone(), address));
            async move { network.dial(&link).await }.boxed()
        };
        Network { dial: Arc::new(dial) }
    }

    async fn dial(&self, link: &(String, SocketAddr)) -> io::Result<Stream> {
        let fault = self.state().dial_faults.get_mut(&link.1).and_then(VecDeque::pop_front);
        match fault {
            Some(DialFault::Refuse) => return Err(io::ErrorKind::ConnectionRefused.into()),
            Some(DialFault::Hang) => std::future::pending().await,
            Some(DialFault::Slow(delay)) => tokio::time::sleep(delay).await,
            None => {}
        }
        let (accept, delay) = {
            let state = self.state();
            let fails = fastrand::u32(..100) < state.dial_failure_percent;
            let reachable = !state.cut.contains(link) && !fails;
            let accept = state.hosts.get(&link.1).filter(|_| reachable).cloned();
            (accept, state.dial_delay)
        };
        tokio::time::sleep(delay).await;
        let accept = accept.ok_or(io::ErrorKind::ConnectionRefused)?;
        let (caller, caller_end) = tokio::io::duplex(STREAM_BUFFER_BYTES);
        let (host_end, host) = tokio::io::duplex(STREAM_BUFFER_BYTES);
        accept(Stream::Memory(host));
        tokio::spawn(self.clone().relay(link.clone(), caller_end, host_end));
        Ok(Stream::Memory(caller))
    }

    /// Relays the bytes of one connection until it ends, its link is cut or its host is removed.
    async fn relay(
        self,
        link: (String, SocketAddr),
        mut caller_end: DuplexStream,
        mut host_end: DuplexStream,
    ) {
        let mut copy =
            std::pin::pin!(tokio::io::copy_bidirectional(&mut caller_end, &mut host_end));
        loop {
            let changed = self.state().changed.clone();
            tokio::select! {
                _ = &mut copy => return,
                () = changed.notified() => {}
            }
            let state = self.state();
            if state.cut.contains(&link) || !state.hosts.contains_key(&link.1) {
                return;
            }
        }
    }
}

/// Serves the control routes of a daemon on one connection.
async fn serve_control(kernel: Arc<Kernel>, stream: Stream) {
    let service = service_fn(move |request| {
        let kernel = kernel.clone();
        async move { Ok::<_, Infallible>(dispatch_request(kernel, request).await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn dispatch_request(
    kernel: Arc<Kernel>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let authorization = parts.headers.get(http::header::AUTHORIZATION);
    let head = RequestHead {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: Default::default(),
        authorization: authorization.and_then(|value| value.to_str().ok()).map(str::to_owned),
    };
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let (status, body) = match dispatch(&kernel, head, body).await {
        Ok(reply) => (reply.status, reply.body),
        Err(problem) => (problem.status(), problem.to_json().into()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
