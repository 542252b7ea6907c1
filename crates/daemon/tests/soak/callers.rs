//! Callers that each send one call after the other over a connection that is kept open.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use http::Method;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::{AcceptedJob, job_body};

/// Time limit that each call states in its header.
const CALL_DEADLINE: Duration = Duration::from_millis(3_000);
/// Time after which a call without an answer fails; the margin allows for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time before the end of a connection within which a request may not have been read by the daemon.
const UNREAD_REQUEST_TIME: Duration = Duration::from_millis(200);
/// Time from which an answered call counts as held.
const HELD_CALL_TIME: Duration = Duration::from_millis(1_500);
/// Delay before a caller connects again after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Range of the pause of a caller between two calls, in milliseconds.
const PAUSE_MS: Range<u64> = 5..80;

/// State that the callers of a seed share.
pub struct Shared {
    pub seed: u64,
    /// Addresses of the daemons.
    pub entries: Vec<SocketAddr>,
    /// Time of the last SIGTERM of each daemon.
    pub terminated: Mutex<Vec<Option<Instant>>>,
    /// Whether the callers are to end after their current call.
    pub ended: AtomicBool,
}

/// Record of the calls of a caller.
#[derive(Default)]
pub struct Record {
    pub accepted: Vec<AcceptedJob>,
    /// Calls that got no complete answer, and accepted jobs that were unknown.
    pub violations: Vec<String>,
    /// Number of calls with a complete answer.
    pub answered: usize,
    /// Number of those over a connection whose daemon had got SIGTERM since the connection was opened.
    pub answered_in_stop: usize,
    /// Number of those that took at least [`HELD_CALL_TIME`].
    pub held_in_stop: usize,
    /// Number of calls without an answer that may not have been read by the daemon.
    pub unread: usize,
    /// Longest time from a request to its answer.
    pub slowest_answer: Duration,
}

impl Record {
    /// Adds the record of another caller.
    pub fn merge(&mut self, other: Record) {
        self.accepted.extend(other.accepted);
        self.violations.extend(other.violations);
        self.answered += other.answered;
        self.answered_in_stop += other.answered_in_stop;
        self.held_in_stop += other.held_in_stop;
        self.unread += other.unread;
        self.slowest_answer = self.slowest_answer.max(other.slowest_answer);
    }
}

struct Call {
    method: Method,
    path: String,
    body: String,
    /// Index of the accepted job that the call concerns.
    job: Option<usize>,
}

struct Answer {
    status: u16,
    closes_connection: bool,
}

/// Sends calls to random daemons until the callers are to end.
pub async fn run(shared: Arc<Shared>, number: u64) -> Record {
    let mut rng = Rng::with_seed(shared.seed << 8 | number);
    let mut record = Record::default();
    let mut submitted = 0;
    while !shared.ended.load(Ordering::Acquire) {
        let daemon = rng.usize(..shared.entries.len());
        let opened = Instant::now();
        let Ok(mut stream) = TcpStream::connect(shared.entries[daemon]).await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        while !shared.ended.load(Ordering::Acquire) {
            let call = next_call(&mut rng, &mut record, &mut submitted, shared.seed, number);
            if stream.write_all(&encode(&call)).await.is_err() {
                record.unread += 1;
                break;
            }
            let sent = Instant::now();
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, read_answer(&mut stream)).await;
            let took = sent.elapsed();
            let terminated = shared.terminated.lock().expect("no test thread panics")[daemon];
            let reason = match answer {
                Ok(Ok(answer)) => {
                    record.answered += 1;
                    if terminated.is_some_and(|terminated| terminated > opened) {
                        record.answered_in_stop += 1;
                        record.held_in_stop += usize::from(took >= HELD_CALL_TIME);
                    }
                    record.slowest_answer = record.slowest_answer.max(took);
                    record_answer(&mut record, &call, &answer);
                    if answer.closes_connection {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
                    continue;
                }
                Ok(Err(_)) if took < UNREAD_REQUEST_TIME => {
                    record.unread += 1;
                    break;
                }
                Ok(Err(error)) => error.to_string(),
                Err(_) => "still open".to_owned(),
            };
            let since_stop = match terminated {
                Some(terminated) => {
                    format!("{} ms after SIGTERM", terminated.elapsed().as_millis())
                }
                None => "without SIGTERM".to_owned(),
            };
            record.violations.push(format!(
                "d{daemon} {} {}: no answer {since_stop}, {} ms after the call was sent ({reason})",
                call.method,
                call.path,
                took.as_millis(),
            ));
            break;
        }
    }
    record
}

fn next_call(
    rng: &mut Rng,
    record: &mut Record,
    submitted: &mut u64,
    seed: u64,
    caller: u64,
) -> Call {
    let job = (!record.accepted.is_empty()).then(|| rng.usize(..record.accepted.len()));
    match (rng.u8(0..8), job) {
        (0..3, _) => {
            *submitted += 1;
            let path = format!("/q/{:016x}", seed << 32 | caller << 24 | *submitted);
            Call { method: Method::POST, path, body: job_body(rng), job: None }
        }
        (3, Some(job)) if rng.bool() => {
            record.accepted[job].is_cancelled = true;
            let path = record.accepted[job].path.clone();
            Call { method: Method::DELETE, path, body: String::new(), job: Some(job) }
        }
        (4, _) | (_, None) => {
            Call { method: Method::GET, path: "/q/".to_owned(), body: String::new(), job: None }
        }
        (_, Some(job)) => {
            let path = record.accepted[job].path.clone();
            Call { method: Method::GET, path, body: String::new(), job: Some(job) }
        }
    }
}

fn encode(call: &Call) -> Vec<u8> {
    format!(
        "{} {} HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Bearer key\r\n\
         x-wasabiswitch-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n{}",
        call.method,
        call.path,
        CALL_DEADLINE.as_millis(),
        call.body.len(),
        call.body
    )
    .into_bytes()
}

fn record_answer(record: &mut Record, call: &Call, answer: &Answer) {
    if call.method == Method::POST && answer.status == 200 {
        record.accepted.push(AcceptedJob { path: call.path.clone(), is_cancelled: false });
    }
    if call.job.is_some() && answer.status == 410 {
        record
            .violations
            .push(format!("{} {} was accepted and is unknown", call.method, call.path));
    }
}

/// Reads a whole answer; fails if the connection ends before that.
async fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut received = Vec::new();
    let mut buffer = [0; 4 << 10];
    loop {
        if let Some(answer) = parse_answer(&received)? {
            return Ok(answer);
        }
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            let reason = format!("connection closed after {} bytes", received.len());
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
        }
        received.extend_from_slice(&buffer[..count]);
    }
}

/// Returns the answer if it has been received whole.
fn parse_answer(received: &[u8]) -> io::Result<Option<Answer>> {
    let text = String::from_utf8_lossy(received);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Ok(None) };
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let mut length = None;
    let mut closes_connection = false;
    for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse::<usize>().ok(),
            "connection" => closes_connection = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    match (status, length) {
        (Some(status), Some(length)) if body.len() >= length => {
            Ok(Some(Answer { status, closes_connection }))
        }
        (Some(_), Some(_)) => Ok(None),
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, format!("unexpected answer: {head}"))),
    }
}
