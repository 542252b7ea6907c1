//! Upstreams that count what they run, drain, and fail as planned.
//!
//! They speak HTTP/1.1 over raw bytes, so that they can cut, delay, double or cross answers in ways
//! that no server library would.

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

/// The longest request head that is read, in bytes.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// How an upstream treats the next request.
#[derives(record)]
pub enum Behaviour {
    /// It runs the request and answers.
    Answer,
    /// It runs the request and answers after a delay.
    AnswerAfter(Duration),
    /// It closes the connection before it reads anything.
    CloseAtOnce,
    /// It takes the connection and reads nothing.
    HangAtOnce,
    /// It reads the head and closes.
    CloseAfterHead,
    /// It reads the head and then nothing more.
    HangAfterHead,
    /// It reads the whole request, runs nothing and closes.
    CloseBeforeRun,
    /// It reads the whole request, runs nothing and never answers.
    HangBeforeRun,
    /// It says that it has not run the request.
    NotRun,
    /// It runs the request and closes without an answer.
    CloseAfterRun,
    /// It runs the request and never answers.
    HangAfterRun,
    /// It runs the request and closes within the head of the answer.
    CutHead,
    /// It runs the request and stops within the head of the answer.
    HangInHead,
    /// It runs the request and closes within the body of the answer.
    CutBody,
    /// It runs the request and closes within a body that is too large to be read ahead.
    CutLargeBody,
    /// It runs the request and stops within the body of the answer.
    HangInBody,
    /// It runs the request, answers, and sends more bytes than belong to the answer.
    TrailingBytes,
    /// It runs the request and answers with another request's id.
    WrongRequestId,
    /// It runs the request and answers 500.
    ServerError,
    /// It runs the request and answers with this many bytes.
    Large(usize),
}

impl Behaviour {
    /// Reports whether it shows before the request is read.
    fn is_before_reading(&self) -> bool {
        matches!(self, Behaviour::CloseAtOnce | Behaviour::HangAtOnce)
    }
}

#[derive(Debug, Default)]
struct Runs {
    total: u64,
    by_label: BTreeMap<String, u32>,
    default_behaviour: Option<Behaviour>,
    // Upstreams may share one plan.
    planned: Arc<Mutex<VecDeque<Behaviour>>>,
}

/// An upstream on a loopback port.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// The name that its answers carry.
    pub name: Arc<str>,
    runs: Arc<Mutex<Runs>>,
    running: Arc<AtomicU32>,
    running_most: Arc<AtomicU32>,
    draining: Arc<AtomicBool>,
}

/// The size of an answer that is cut within its body, in bytes.
const LARGE_BYTES: usize = 1 << 20;

/// The answer of an upstream that has not run a request.
const NOT_RUN_ANSWER: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    x-wasabiswitch-verdict: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// What becomes of a connection after an answer.
enum End {
    Open,
    Close,
    Hang,
}

/// The head of a request as the upstream reads it.
struct Head {
    label: Option<String>,
    request_id: Option<String>,
    closes: bool,
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
            closes: header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
            content_length: length.unwrap_or(0),
            chunked: header("transfer-encoding").is_some(),
        }
    }

    async fn read_body(&self, stream: &mut BufReader<Stream>) -> std::io::Result<()> {
        if self.chunked {
            return drain_chunks(stream).await;
        }
        drain(stream, self.content_length).await
    }
}

impl Upstream {
    /// Opens an upstream on a free loopback port; its tasks belong to `tasks`.
    pub async fn start(name: &str, tasks: &TaskTree) -> std::io::Result<Upstream> {
        Upstream::start_at(name, SocketAddr::from(([127, 0, 0, 1], 0)), tasks).await
    }

    /// Opens an upstream at `address`; its tasks belong to `tasks`.
    pub async fn start_at(
        name: &str,
        address: SocketAddr,
        tasks: &TaskTree,
    ) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind(address).await?;
        let upstream = Upstream::new(name, listener.local_addr()?);
        let (own, connections) = (upstream.clone(), tasks.child());
        tasks.spawn_until_stopped(
            "upstream",
            async move { own.accept(listener, connections).await },
        );
        Ok(upstream)
    }

    /// Creates an upstream in a network inside the process.
    pub fn in_memory(name: &str, address: SocketAddr, network: &MemoryNetwork) -> Upstream {
        let upstream = Upstream::new(name, address);
        let own = upstream.clone();
        network.host(address, move |stream| {
            let own = own.clone();
            tokio::spawn(async move {
                let _ = own.serve(stream, CancellationToken::new()).await;
            });
        });
        upstream
    }

    fn new(name: &str, address: SocketAddr) -> Upstream {
        Upstream {
            address,
            name: name.into(),
            runs: Arc::default(),
            running: Arc::default(),
            running_most: Arc::default(),
            draining: Arc::default(),
        }
    }

    async fn accept(self, listener: TcpListener, connections: TaskTree) {
        while let Ok((stream, _)) = listener.accept().await {
            let (own, stop) = (self.clone(), connections.stop_token());
            connections.spawn("upstream connection", async move {
                if stream.set_nodelay(true).is_ok() {
                    let _ = own.serve(Stream::Tcp(stream), stop).await;
                }
            });
        }
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        lock(&self.runs)
    }

    /// Plans how the next requests are treated, one each.
    pub fn plan(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        lock(&self.runs().planned).extend(behaviours);
    }

    /// Makes this upstream follow the plan of another, so that either of them takes the next step.
    pub fn share_plan_with(&self, other: &Upstream) {
        let planned = other.runs().planned.clone();
        self.runs().planned = planned;
    }

    /// Sets how requests are treated that nothing else is planned for.
    pub fn set_default_behaviour(&self, behaviour: Option<Behaviour>) {
        self.runs().default_behaviour = behaviour;
    }

    /// Starts or ends a graceful shutdown: requests are refused as not run.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
    }

    /// Returns how many requests it has run.
    pub fn total_runs(&self) -> u64 {
        self.runs().total
    }

    /// Returns how often it has run the requests with a label in their `x-label` header.
    pub fn run_count(&self, label: &str) -> u32 {
        self.runs().by_label.get(label).copied().unwrap_or(0)
    }

    /// Returns how many requests it is running.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Returns the most requests that it has run at the same time.
    pub fn max_concurrent_runs(&self) -> u32 {
        self.running_most.load(Ordering::Acquire)
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
                // Only an idle connection is closed by a stop.
                () = stop.cancelled() => return Ok(()),
                head = read_head(&mut stream) => head?,
            };
            let Some(head) = head else { return Ok(()) };
            let behaviour = self.take_behaviour(false).unwrap_or_else(|| self.usual_behaviour());
            if self.treat(&mut stream, &head, behaviour).await? || head.closes {
                return Ok(());
            }
        }
    }

    /// Takes the planned behaviour if it applies before, or after, the head of a request.
    fn take_behaviour(&self, before_reading: bool) -> Option<Behaviour> {
        let runs = self.runs();
        let mut planned = lock(&runs.planned);
        let next = planned.front().or(runs.default_behaviour.as_ref()).cloned()?;
        if next.is_before_reading() != before_reading {
            return None;
        }
        planned.pop_front();
        Some(next)
    }

    fn usual_behaviour(&self) -> Behaviour {
        let draining = self.draining.load(Ordering::Acquire);
        if draining { Behaviour::NotRun } else { Behaviour::Answer }
    }

    /// Reads the rest of a request and answers it; returns whether the connection must close.
    async fn treat(
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
                stream.write_all(NOT_RUN_ANSWER.as_bytes()).await?;
                return Ok(true);
            }
            _ => self.run(head, &behaviour).await,
        }
        let (bytes, end) = self.answer(head, &behaviour);
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        match end {
            End::Open => Ok(false),
            End::Close => Ok(true),
            End::Hang => std::future::pending().await,
        }
    }

    /// Returns what is sent, and what becomes of the connection then.
    fn answer(&self, head: &Head, behaviour: &Behaviour) -> (Vec<u8>, End) {
        let body = match behaviour {
            Behaviour::Large(bytes) => "x".repeat(*bytes),
            _ => format!("{}\n", self.name),
        };
        let id = match behaviour {
            Behaviour::WrongRequestId => Some("00000000000000ff"),
            _ => head.request_id.as_deref(),
        };
        let echo = id.map_or(String::new(), |id| format!("x-wasabiswitch-request-id: {id}\r\n"));
        let whole =
            format!("HTTP/1.1 200 OK\r\n{echo}content-length: {}\r\n\r\n{body}", body.len());
        let cut_head = || b"HTTP/1.1 200 OK\r\ncontent-le".to_vec();
        let cut_body = || b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_vec();
        match behaviour {
            Behaviour::CloseAfterRun => (Vec::new(), End::Close),
            Behaviour::HangAfterRun => (Vec::new(), End::Hang),
            Behaviour::CutHead => (cut_head(), End::Close),
            Behaviour::HangInHead => (cut_head(), End::Hang),
            Behaviour::CutBody => (cut_body(), End::Close),
            Behaviour::HangInBody => (cut_body(), End::Hang),
            Behaviour::CutLargeBody => {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
                let half = "x".repeat(LARGE_BYTES / 2);
                ((head + &half).into_bytes(), End::Close)
            }
            Behaviour::TrailingBytes => ((whole + "surplus").into_bytes(), End::Open),
            Behaviour::ServerError => {
                let answer = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
                (answer.to_vec(), End::Open)
            }
            _ => (whole.into_bytes(), End::Open),
        }
    }

    async fn run(&self, head: &Head, behaviour: &Behaviour) {
        {
            let mut runs = self.runs();
            runs.total += 1;
            if let Some(label) = &head.label {
                *runs.by_label.entry(label.clone()).or_default() += 1;
            }
        }
        let running = self.running.fetch_add(1, Ordering::AcqRel) + 1;
        self.running_most.fetch_max(running, Ordering::AcqRel);
        if let Behaviour::AnswerAfter(delay) = behaviour {
            tokio::time::sleep(*delay).await;
        }
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the head of a request; returns `None` at the end of the connection.
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

async fn drain(stream: &mut BufReader<Stream>, mut bytes: usize) -> std::io::Result<()> {
    let mut buffer = [0; 16 << 10];
    while bytes > 0 {
        let part = bytes.min(buffer.len());
        stream.read_exact(&mut buffer[..part]).await?;
        bytes -= part;
    }
    Ok(())
}

async fn drain_chunks(stream: &mut BufReader<Stream>) -> std::io::Result<()> {
    loop {
        let size_line = read_line(stream).await?;
        let size = usize::from_str_radix(size_line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(std::io::Error::other)?;
        if size == 0 {
            while !read_line(stream).await?.is_empty() {}
            return Ok(());
        }
        drain(stream, size + 2).await?;
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
