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
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use wasabiswitch_derive::derives;
use wasabiswitch_kernel::tasks::TaskTree;

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
    /// It reads the head, runs nothing and closes.
    CloseAfterHead,
    /// It runs the request and closes without an answer.
    CloseAfterRun,
    /// It runs the request and closes within the head of the answer.
    CutHead,
    /// It runs the request and closes within the body of the answer.
    CutBody,
    /// It runs the request, answers, and sends more bytes than belong to the answer.
    Surplus,
    /// It runs the request and answers with another request's id.
    Crossed,
    /// It says that it has not run the request.
    NotRun,
    /// It runs the request and answers 500.
    ServerError,
    /// It reads the request and never answers.
    Hang,
    /// It runs the request and answers with this many bytes.
    Large(usize),
}

#[derive(Debug, Default)]
struct Runs {
    total: u64,
    by_label: BTreeMap<String, u32>,
    planned: VecDeque<Behaviour>,
    always: Option<Behaviour>,
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

/// A request as the upstream reads it.
struct Incoming {
    label: Option<String>,
    request_id: Option<String>,
    closes: bool,
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
        let upstream = Upstream {
            address: listener.local_addr()?,
            name: name.into(),
            runs: Arc::default(),
            running: Arc::default(),
            running_most: Arc::default(),
            draining: Arc::default(),
        };
        let (own, connections) = (upstream.clone(), tasks.child());
        tasks.spawn_until_stopped(
            "upstream",
            async move { own.accept(listener, connections).await },
        );
        Ok(upstream)
    }

    async fn accept(self, listener: TcpListener, connections: TaskTree) {
        while let Ok((stream, _)) = listener.accept().await {
            let (own, stop) = (self.clone(), connections.stop_token());
            connections.spawn("upstream connection", async move {
                let _ = own.serve(stream, stop).await;
            });
        }
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Plans how the next requests are treated, one each.
    pub fn plan(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.runs().planned.extend(behaviours);
    }

    /// Sets how requests are treated that nothing else is planned for.
    pub fn always(&self, behaviour: Behaviour) {
        self.runs().always = Some(behaviour);
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
    pub fn runs_of(&self, label: &str) -> u32 {
        self.runs().by_label.get(label).copied().unwrap_or(0)
    }

    /// Returns the most requests that it has run at the same time.
    pub fn most_at_once(&self) -> u32 {
        self.running_most.load(Ordering::Acquire)
    }

    async fn serve(&self, stream: TcpStream, stop: CancellationToken) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        loop {
            let behaviour = self.next_behaviour();
            if behaviour == Some(Behaviour::CloseAtOnce) {
                return Ok(());
            }
            let incoming = tokio::select! {
                // Only an idle connection is closed by a stop.
                () = stop.cancelled() => return Ok(()),
                incoming = read_request(&mut stream) => incoming?,
            };
            let Some(incoming) = incoming else { return Ok(()) };
            // A behaviour may have been planned while the connection was idle.
            let behaviour = behaviour.or_else(|| self.next_behaviour());
            let behaviour = behaviour.unwrap_or_else(|| self.usual_behaviour());
            let close = self.answer(&mut stream, &incoming, behaviour).await?;
            if close || incoming.closes {
                return Ok(());
            }
        }
    }

    /// Takes a planned behaviour that applies before the request is read, or any after.
    fn next_behaviour(&self) -> Option<Behaviour> {
        self.runs().planned.pop_front()
    }

    fn usual_behaviour(&self) -> Behaviour {
        if self.draining.load(Ordering::Acquire) {
            return Behaviour::NotRun;
        }
        self.runs().always.clone().unwrap_or(Behaviour::Answer)
    }

    /// Answers one request; returns whether the connection must close.
    async fn answer(
        &self,
        stream: &mut BufReader<TcpStream>,
        incoming: &Incoming,
        behaviour: Behaviour,
    ) -> std::io::Result<bool> {
        let body = format!("{}\n", self.name);
        let whole = |id: Option<&String>, body: &str| {
            let echo =
                id.map_or(String::new(), |id| format!("x-wasabiswitch-request-id: {id}\r\n"));
            format!("HTTP/1.1 200 OK\r\n{echo}content-length: {}\r\n\r\n{body}", body.len())
        };
        match behaviour {
            Behaviour::CloseAtOnce | Behaviour::CloseAfterHead => return Ok(true),
            Behaviour::NotRun => {
                let refusal = "HTTP/1.1 503 Service Unavailable\r\n\
                    x-wasabiswitch-verdict: not-run\r\nconnection: close\r\n\
                    content-length: 0\r\n\r\n";
                stream.write_all(refusal.as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::Hang => std::future::pending().await,
            _ => {}
        }
        self.run(incoming, &behaviour).await;
        match behaviour {
            Behaviour::CloseAfterRun => return Ok(true),
            Behaviour::CutHead => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").await?;
                return Ok(true);
            }
            Behaviour::CutBody => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf").await?;
                return Ok(true);
            }
            Behaviour::Surplus => {
                let answer = whole(incoming.request_id.as_ref(), &body) + "surplus";
                stream.write_all(answer.as_bytes()).await?;
            }
            Behaviour::Crossed => {
                let other = "00000000000000ff".to_owned();
                stream.write_all(whole(Some(&other), &body).as_bytes()).await?;
            }
            Behaviour::ServerError => {
                let answer = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer.as_bytes()).await?;
            }
            Behaviour::Large(bytes) => {
                let body = "x".repeat(bytes);
                let answer = whole(incoming.request_id.as_ref(), &body);
                stream.write_all(answer.as_bytes()).await?;
            }
            _ => {
                let answer = whole(incoming.request_id.as_ref(), &body);
                stream.write_all(answer.as_bytes()).await?;
            }
        }
        stream.flush().await?;
        Ok(false)
    }

    async fn run(&self, incoming: &Incoming, behaviour: &Behaviour) {
        {
            let mut runs = self.runs();
            runs.total += 1;
            if let Some(label) = &incoming.label {
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

/// Reads one request; returns `None` at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Incoming>> {
    let Some(head) = read_head(stream).await? else { return Ok(None) };
    let header = |name: &str| {
        head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    match header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => drain(stream, length).await?,
        None if header("transfer-encoding").is_some() => drain_chunks(stream).await?,
        None => {}
    }
    Ok(Some(Incoming {
        label: header("x-label"),
        request_id: header("x-wasabiswitch-request-id"),
        closes: header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
    }))
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
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
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

async fn drain(stream: &mut BufReader<TcpStream>, mut bytes: usize) -> std::io::Result<()> {
    let mut buffer = [0; 16 << 10];
    while bytes > 0 {
        let part = bytes.min(buffer.len());
        stream.read_exact(&mut buffer[..part]).await?;
        bytes -= part;
    }
    Ok(())
}

async fn drain_chunks(stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
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

async fn read_line(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(stream.read_u8().await?);
    }
    line.truncate(line.len() - 2);
    Ok(String::from_utf8_lossy(&line).into_owned())
}
