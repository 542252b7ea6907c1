//! Test upstreams that count the requests they run, shut down gracefully, and misbehave as planned.
//!
//! The HTTP/1.1 protocol is written by hand on the byte stream, since no server library would truncate a response,
//! append bytes to it or send the id of another request.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wasabiswitch_derive::derives;
use wasabiswitch_kernel::network::Stream;
use wasabiswitch_kernel::tasks::TaskTree;

use crate::network::MemoryNetwork;

/// Length limit of a request head.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Behaviour of an upstream towards one request.
#[derives(record)]
pub enum Behaviour {
    /// Runs the request and responds.
    Respond,
    /// Runs the request and responds after a delay.
    RespondAfter(Duration),
    /// Closes the connection before reading anything.
    CloseAtOnce,
    /// Accepts the connection and reads nothing.
    HangAtOnce,
    /// Reads the request head and closes the connection.
    CloseAfterHead,
    /// Reads the request head and hangs.
    HangAfterHead,
    /// Reads the whole request, does not run it and closes the connection.
    CloseBeforeRun,
    /// Reads the whole request, does not run it and never responds.
    HangBeforeRun,
    /// Responds with the verdict that the request was not run.
    NotRun,
    /// Runs the request and closes the connection without a response.
    CloseAfterRun,
    /// Runs the request and never responds.
    HangAfterRun,
    /// Runs the request and closes the connection within the response head.
    CutHead,
    /// Runs the request and hangs within the response head.
    HangInHead,
    /// Runs the request and closes the connection within the response body.
    CutBody,
    /// Runs the request and closes the connection within a response body that is too large to be read ahead.
    CutLargeBody,
    /// Runs the request and hangs within the response body.
    HangInBody,
    /// Runs the request, responds, and sends further bytes after the response.
    TrailingBytes,
    /// Runs the request and responds with the id of another request.
    WrongRequestId,
    /// Runs the request and responds with status 500.
    ServerError,
    /// Runs the request and responds with a body of this many bytes.
    LargeBody(usize),
}

impl Behaviour {
    /// Returns whether the behaviour applies before a request is read.
    fn is_before_reading(&self) -> bool {
        matches!(self, Behaviour::CloseAtOnce | Behaviour::HangAtOnce)
    }
}

#[derive(Debug, Default)]
struct State {
    total_runs: u64,
    runs_by_label: BTreeMap<String, u32>,
    default_behaviour: Option<Behaviour>,
    // Behaviours for the next requests; upstreams may share one plan.
    planned: Arc<Mutex<VecDeque<Behaviour>>>,
}

/// An upstream on a loopback port or in a [`MemoryNetwork`]; clones share its state.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address on which the upstream accepts connections.
    pub address: SocketAddr,
    /// Name of the upstream, which is the body of its responses.
    pub name: Arc<str>,
    state: Arc<Mutex<State>>,
    running: Arc<AtomicU32>,
    running_max: Arc<AtomicU32>,
    draining: Arc<AtomicBool>,
}

/// Size of the response body that [`Behaviour::CutLargeBody`] truncates.
const LARGE_BODY_BYTES: usize = 1 << 20;

/// Response to a request that was not run.
const NOT_RUN_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    x-wasabiswitch-verdict: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Treatment of a connection after a response.
enum AfterResponse {
    KeepOpen,
    Close,
    Hang,
}

/// The headers of a request that the upstream evaluates.
struct Head {
    label: Option<String>,
    request_id: Option<String>,
    // Whether the caller asks for the connection to be closed after the response.
    connection_close: bool,
    content_length: usize,
    chunked: bool,
}

impl Head {
    fn parse(text: &str) -> Head {
        let header = |name: &str| {
            text.lines().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
            })
        };
        let length = header("content-length").and_then(|length| length.parse().ok());
        Head {
            label: header("x-label"),
            request_id: header("x-wasabiswitch-request-id"),
            connection_close: header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close")),
            content_length: length.unwrap_or(0),
            chunked: header("transfer-encoding").is_some(),
        }
    }

    async fn read_body(&self, stream: &mut BufReader<Stream>) -> std::io::Result<()> {
        if self.chunked {
            return discard_chunks(stream).await;
        }
        discard(stream, self.content_length).await
    }
}

impl Upstream {
    /// Starts an upstream on a free loopback port; its tasks are spawned in `tasks`.
    pub async fn start(name: &str, tasks: &TaskTree) -> std::io::Result<Upstream> {
        Upstream::start_at(name, SocketAddr::from(([127, 0, 0, 1], 0)), tasks).await
    }

    /// Starts an upstream at `address`; its tasks are spawned in `tasks`.
    pub async fn start_at(
        name: &str,
        address: SocketAddr,
        tasks: &TaskTree,
    ) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind(address).await?;
        let upstream = Upstream::new(name, listener.local_addr()?);
        let (this, connections) = (upstream.clone(), tasks.child());
        tasks.spawn_until_stopped(
            "upstream",
            async move { this.accept(listener, connections).await },
        );
        Ok(upstream)
    }

    /// Creates an upstream that accepts connections at `address` of an in-process network.
    pub fn in_memory(name: &str, address: SocketAddr, network: &MemoryNetwork) -> Upstream {
        let upstream = Upstream::new(name, address);
        let this = upstream.clone();
        network.host(address, move |stream| {
            let this = this.clone();
            tokio::spawn(async move {
                let _ = this.serve(stream, CancellationToken::new()).await;
            });
        });
        upstream
    }

    fn new(name: &str, address: SocketAddr) -> Upstream {
        Upstream {
            address,
            name: name.into(),
            state: Arc::default(),
            running: Arc::default(),
            running_max: Arc::default(),
            draining: Arc::default(),
        }
    }

    async fn accept(self, listener: TcpListener, connections: TaskTree) {
        while let Ok((stream, _)) = listener.accept().await {
            let (this, stop) = (self.clone(), connections.stop_token());
            connections.spawn("upstream connection", async move {
                if stream.set_nodelay(true).is_ok() {
                    let _ = this.serve(Stream::Tcp(stream), stop).await;
                }
            });
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Plans the behaviours towards the next requests, one per request.
    pub fn plan(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        lock(&self.state().planned).extend(behaviours);
    }

    /// Shares the plan of another upstream, so that the next request to either of them takes the next behaviour.
    pub fn share_plan_with(&self, other: &Upstream) {
        let planned = other.state().planned.clone();
        self.state().planned = planned;
    }

    /// Sets the behaviour towards requests for which none is planned.
    ///
    /// With `None` these requests are run, or refused as not run while the upstream is draining.
    pub fn set_default_behaviour(&self, behaviour: Option<Behaviour>) {
        self.state().default_behaviour = behaviour;
    }

    /// Starts or ends a graceful shutdown, during which requests are refused as not run.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
    }

    /// Returns the number of requests that this upstream has run.
    pub fn total_runs(&self) -> u64 {
        self.state().total_runs
    }

    /// Returns how often this upstream has run a request with a given label in its `x-label` header.
    pub fn run_count(&self, label: &str) -> u32 {
        self.state().runs_by_label.get(label).copied().unwrap_or(0)
    }

    /// Returns the number of requests that this upstream is running.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Returns the highest number of requests that this upstream has run at the same time.
    pub fn max_concurrent_runs(&self) -> u32 {
        self.running_max.load(Ordering::Acquire)
    }

    async fn serve(&self, stream: Stream, stop: CancellationToken) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        loop {
            match self.take_behaviour(true) {
                Some(Behaviour::CloseAtOnce) => return Ok(()),
                Some(Behaviour::HangAtOnce) => std::future::pending().await,
                _ => {}
            }
            let head = tokio::select! {
                // A stop closes only an idle connection; a request in progress is completed first.
                () = stop.cancelled() => return Ok(()),
                head = read_head(&mut stream) => head?,
            };
            let Some(head) = head else { return Ok(()) };
            let behaviour = self.take_behaviour(false).unwrap_or_else(|| self.normal_behaviour());
            if self.handle(&mut stream, &head, behaviour).await? || head.connection_close {
                return Ok(());
            }
        }
    }

    /// Takes the next behaviour from the plan, or the default one, if it applies at this point: before the head of a
    /// request is read, or after.
    fn take_behaviour(&self, before_reading: bool) -> Option<Behaviour> {
        let state = self.state();
        let mut planned = lock(&state.planned);
        let next = planned.front().or(state.default_behaviour.as_ref()).cloned()?;
        if next.is_before_reading() != before_reading {
            return None;
        }
        planned.pop_front();
        Some(next)
    }

    fn normal_behaviour(&self) -> Behaviour {
        let draining = self.draining.load(Ordering::Acquire);
        if draining { Behaviour::NotRun } else { Behaviour::Respond }
    }

    /// Reads the rest of a request and responds; returns whether the connection must close.
    async fn handle(
        &self,
        stream: &mut BufReader<Stream>,
        head: &Head,
        behaviour: Behaviour,
    ) -> std::io::Result<bool> {
        match behaviour {
            Behaviour::CloseAtOnce | Behaviour::CloseAfterHead => return Ok(true),
            Behaviour::HangAtOnce | Behaviour::HangAfterHead => std::future::pending().await,
            _ => head.read_body(stream).await?,
        }
        match behaviour {
            Behaviour::CloseBeforeRun => return Ok(true),
            Behaviour::HangBeforeRun => std::future::pending().await,
            Behaviour::NotRun => {
                stream.write_all(NOT_RUN_RESPONSE.as_bytes()).await?;
                return Ok(true);
            }
            _ => self.run(head, &behaviour).await,
        }
        let (bytes, after) = self.response(head, &behaviour);
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        match after {
            AfterResponse::KeepOpen => Ok(false),
            AfterResponse::Close => Ok(true),
            AfterResponse::Hang => std::future::pending().await,
        }
    }

    /// Returns the bytes to send, and the treatment of the connection after them.
    fn response(&self, head: &Head, behaviour: &Behaviour) -> (Vec<u8>, AfterResponse) {
        let body = match behaviour {
            Behaviour::LargeBody(bytes) => "x".repeat(*bytes),
            _ => format!("{}\n", self.name),
        };
        let id = match behaviour {
            Behaviour::WrongRequestId => Some("00000000000000ff"),
            _ => head.request_id.as_deref(),
        };
        let echo = id.map_or(String::new(), |id| format!("x-wasabiswitch-request-id: {id}\r\n"));
        let complete =
            format!("HTTP/1.1 200 OK\r\n{echo}content-length: {}\r\n\r\n{body}", body.len());
        let partial_head = || b"HTTP/1.1 200 OK\r\ncontent-le".to_vec();
        let partial_body = || b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_vec();
        match behaviour {
            Behaviour::CloseAfterRun => (Vec::new(), AfterResponse::Close),
            Behaviour::HangAfterRun => (Vec::new(), AfterResponse::Hang),
            Behaviour::CutHead => (partial_head(), AfterResponse::Close),
            Behaviour::HangInHead => (partial_head(), AfterResponse::Hang),
            Behaviour::CutBody => (partial_body(), AfterResponse::Close),
            Behaviour::HangInBody => (partial_body(), AfterResponse::Hang),
            Behaviour::CutLargeBody => {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n");
                let half = "x".repeat(LARGE_BODY_BYTES / 2);
                ((head + &half).into_bytes(), AfterResponse::Close)
            }
            Behaviour::TrailingBytes => {
                ((complete + "surplus").into_bytes(), AfterResponse::KeepOpen)
            }
            Behaviour::ServerError => {
                let response = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
                (response.to_vec(), AfterResponse::KeepOpen)
            }
            _ => (complete.into_bytes(), AfterResponse::KeepOpen),
        }
    }

    async fn run(&self, head: &Head, behaviour: &Behaviour) {
        {
            let mut state = self.state();
            state.total_runs += 1;
            if let Some(label) = &head.label {
                *state.runs_by_label.entry(label.clone()).or_default() += 1;
            }
        }
        let running = self.running.fetch_add(1, Ordering::AcqRel) + 1;
        self.running_max.fetch_max(running, Ordering::AcqRel);
        if let Behaviour::RespondAfter(delay) = behaviour {
            tokio::time::sleep(*delay).await;
        }
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the head of a request; returns `None` if the connection ends before its first byte.
async fn read_head(stream: &mut BufReader<Stream>) -> std::io::Result<Option<Head>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) if head.is_empty() => return Ok(None),
            Err(error) => return Err(error),
        }
        if head.len() > HEAD_MAX_BYTES {
            return Err(std::io::Error::other("the head is too long"));
        }
    }
    Ok(Some(Head::parse(&String::from_utf8_lossy(&head))))
}

async fn discard(stream: &mut BufReader<Stream>, mut bytes: usize) -> std::io::Result<()> {
    let mut buffer = [0; 16 << 10];
    while bytes > 0 {
        let part = bytes.min(buffer.len());
        stream.read_exact(&mut buffer[..part]).await?;
        bytes -= part;
    }
    Ok(())
}

async fn discard_chunks(stream: &mut BufReader<Stream>) -> std::io::Result<()> {
    loop {
        let size_line = read_line(stream).await?;
        let size = usize::from_str_radix(size_line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(std::io::Error::other)?;
        if size == 0 {
            while !read_line(stream).await?.is_empty() {}
            return Ok(());
        }
        discard(stream, size + 2).await?;
    }
}

async fn read_line(stream: &mut BufReader<Stream>) -> std::io::Result<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(stream.read_u8().await?);
    }
    line.truncate(line.len() - 2);
    Ok(String::from_utf8_lossy(&line).into_owned())
}
