//! A network inside the process, whose links can be cut and slowed.
//!
//! Every host is a function that takes a stream. A link is named by the daemon that dials and the
//! address that it dials, so that a cut may be one-way.

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

/// The bytes that a connection holds before its writer waits.
const STREAM_BYTES: usize = 64 << 10;

type Accept = Arc<dyn Fn(Stream) + Send + Sync>;

#[derive(Default)]
struct Links {
    hosts: HashMap<SocketAddr, Accept>,
    // Links that are broken, for new and for open connections.
    cut: HashSet<(String, SocketAddr)>,
    // Tells the open connections to look whether their link was cut.
    changed: Arc<Notify>,
    // How the next dials to an address fail, one each.
    planned: HashMap<SocketAddr, VecDeque<DialFault>>,
    delay: Duration,
    // The chance in percent that a dial fails.
    loss_percent: u32,
}

/// How dialling fails.
#[derives(value)]
pub enum DialFault {
    /// Nobody is there.
    Refuse,
    /// It never ends.
    Hang,
    /// It takes this long.
    Slow(Duration),
}

/// A network inside the process; clones share their links.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    links: Arc<Mutex<Links>>,
}

impl std::fmt::Debug for MemoryNetwork {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MemoryNetwork")
    }
}

impl MemoryNetwork {
    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a host that takes connections at an address.
    pub fn host(&self, address: SocketAddr, accept: impl Fn(Stream) + Send + Sync + 'static) {
        self.links().hosts.insert(address, Arc::new(accept));
    }

    /// Adds the control listener of a daemon.
    pub fn host_control(&self, address: SocketAddr, kernel: &Arc<Kernel>) {
        let kernel = kernel.clone();
        self.host(address, move |stream| {
            tokio::spawn(serve_control(kernel.clone(), stream));
        });
    }

    /// Adds the entry listener of a daemon.
    pub fn host_entry(&self, address: SocketAddr, kernel: &Arc<Kernel>) {
        let kernel = kernel.clone();
        self.host(address, move |stream| entry::accept(&kernel, stream));
    }

    /// Removes a host, as when its process dies.
    pub fn remove(&self, address: SocketAddr) {
        let mut links = self.links();
        links.hosts.remove(&address);
        links.changed.notify_waiters();
    }

    /// Cuts or mends the link from a daemon to an address.
    pub fn set_cut(&self, from: &str, to: SocketAddr, cut: bool) {
        let link = (from.to_owned(), to);
        let mut links = self.links();
        if cut {
            links.cut.insert(link)
        } else {
            links.cut.remove(&link)
        };
        links.changed.notify_waiters();
    }

    /// Makes the next dials to an address fail, one each.
    pub fn plan_dial_faults(&self, to: SocketAddr, faults: impl IntoIterator<Item = DialFault>) {
        self.links().planned.entry(to).or_default().extend(faults);
    }

    /// Forgets all planned dials.
    pub fn clear_dial_faults(&self) {
        self.links().planned.clear();
    }

    /// Sets the time that dialling takes, and the chance in percent that it fails.
    pub fn set_quality(&self, delay: Duration, loss_percent: u32) {
        let mut links = self.links();
        links.delay = delay;
        links.loss_percent = loss_percent;
    }

    /// Returns the network as one daemon sees it.
    pub fn network_of(&self, daemon: &str) -> Network {
        let (own, daemon) = (self.clone(), daemon.to_owned());
        let dial = move |address| {
            let (own, link) = (own.clone(), (daemon.clone(), address));
            async move { own.dial(&link).await }.boxed()
        };
        Network { dial: Arc::new(dial) }
    }

    async fn dial(&self, link: &(String, SocketAddr)) -> io::Result<Stream> {
        let planned = self.links().planned.get_mut(&link.1).and_then(VecDeque::pop_front);
        match planned {
            Some(DialFault::Refuse) => return Err(io::ErrorKind::ConnectionRefused.into()),
            Some(DialFault::Hang) => std::future::pending().await,
            Some(DialFault::Slow(delay)) => tokio::time::sleep(delay).await,
            None => {}
        }
        let (accept, delay) = {
            let links = self.links();
            let lost = fastrand::u32(..100) < links.loss_percent;
            let reachable = !links.cut.contains(link) && !lost;
            let accept = links.hosts.get(&link.1).filter(|_| reachable).cloned();
            (accept, links.delay)
        };
        tokio::time::sleep(delay).await;
        let accept = accept.ok_or(io::ErrorKind::ConnectionRefused)?;
        let (caller, near) = tokio::io::duplex(STREAM_BYTES);
        let (far, host) = tokio::io::duplex(STREAM_BYTES);
        accept(Stream::Memory(host));
        tokio::spawn(self.clone().carry(link.clone(), near, far));
        Ok(Stream::Memory(caller))
    }

    /// Carries the bytes of one connection until it ends or its link is cut.
    async fn carry(
        self,
        link: (String, SocketAddr),
        mut near: DuplexStream,
        mut far: DuplexStream,
    ) {
        let mut copy = std::pin::pin!(tokio::io::copy_bidirectional(&mut near, &mut far));
        loop {
            let changed = self.links().changed.clone();
            tokio::select! {
                _ = &mut copy => return,
                () = changed.notified() => {}
            }
            let links = self.links();
            if links.cut.contains(&link) || !links.hosts.contains_key(&link.1) {
                return;
            }
        }
    }
}

/// Serves a daemon's control routes on one connection.
async fn serve_control(kernel: Arc<Kernel>, stream: Stream) {
    let service = service_fn(move |request| {
        let kernel = kernel.clone();
        async move { Ok::<_, Infallible>(answer(kernel, request).await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(kernel: Arc<Kernel>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let authorization = head.headers.get(http::header::AUTHORIZATION);
    let asked = RequestHead {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: Default::default(),
        authorization: authorization.and_then(|value| value.to_str().ok()).map(str::to_owned),
    };
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let (status, body) = match dispatch(&kernel, asked, body).await {
        Ok(reply) => (reply.status, reply.body),
        Err(problem) => (problem.status(), problem.to_json().into()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
