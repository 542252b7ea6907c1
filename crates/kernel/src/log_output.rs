//! Non-blocking, rate-limited log output.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full, or more than
//! `LINES_PER_SECOND_MAX` lines arrive in a second, lines are dropped and counted, and the count is logged at most
//! once a second. The lines of each message, such as those about single tasks or workers, have a limit of their
//! own, so that other messages still pass. The first lines of each message in a second pass in any case, so that a
//! flood never hides a change of ownership.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Maximum number of lines that wait for the writing thread.
const QUEUE_CAPACITY_LINES: usize = 4_096;
/// Maximum number of lines in a second, beyond which lines are dropped and counted.
const LINES_PER_SECOND_MAX: u32 = 1_000;

/// Maximum number of lines of one message in a second; two messages that flood leave a fifth for the others.
const MESSAGE_LINES_PER_SECOND_MAX: u32 = 400;
/// Number of lines of each message that pass in a second in any case; ownership changes far less often.
const MESSAGE_LINES_PER_SECOND_MIN: u32 = 10;
/// Maximum number of different messages in a second, which bounds the memory; the program has about a hundred.
const MESSAGES_PER_SECOND_MAX: usize = 256;

/// Pause of the writing thread before it retries a write to a full non-blocking pipe.
const FULL_PIPE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Maximum size of one write, the page size of a pipe; log collectors with many sources drop larger bursts.
const CHUNK_MAX_BYTES: usize = 4_096;
/// Pause between two chunks, which limits the output to 4 MB per second.
const CHUNK_PAUSE: Duration = Duration::from_millis(1);

/// Writer for the logger, which queues whole lines for the writing thread.
#[derive(Debug)]
pub struct LogOutput {
    sender: SyncSender<Vec<u8>>,
    /// Start of an incomplete line, since a logger writes a line in parts.
    partial: Vec<u8>,
    window: RateWindow,
    dropped_lines: u64,
    /// Number of lines that the writing thread failed to write and that are not reported yet.
    failed_lines: Arc<AtomicU64>,
}

/// Counts of the lines that have passed in the current second.
#[derive(Debug)]
struct RateWindow {
    started_at: Instant,
    lines: u32,
    lines_by_message: HashMap<Vec<u8>, u32>,
}

impl RateWindow {
    fn new(started_at: Instant) -> RateWindow {
        RateWindow { started_at, lines: 0, lines_by_message: HashMap::new() }
    }

    /// Returns whether a line passes the limits, and counts it if it does.
    fn admit(&mut self, line: &[u8]) -> bool {
        let message = message_text(line);
        if self.lines_by_message.len() >= MESSAGES_PER_SECOND_MAX
            && !self.lines_by_message.contains_key(message)
        {
            return false;
        }
        let message_lines = self.lines_by_message.entry(message.to_vec()).or_default();
        let admitted = *message_lines < MESSAGE_LINES_PER_SECOND_MIN
            || (*message_lines < MESSAGE_LINES_PER_SECOND_MAX && self.lines < LINES_PER_SECOND_MAX);
        if admitted {
            *message_lines += 1;
            self.lines += 1;
        }
        admitted
    }
}

/// Returns the constant text of a line, between the level and the first field, which identifies the message.
fn message_text(line: &[u8]) -> &[u8] {
    let from = line.windows(2).position(|pair| pair == b"] ").map_or(0, |at| at + 2);
    let text = &line[from..];
    let fields = text.iter().position(|byte| *byte == b'=').unwrap_or(text.len());
    let to = text[..fields].iter().rposition(|byte| *byte == b' ').unwrap_or(0);
    &text[..to]
}

impl LogOutput {
    /// Starts the writing thread, which ends when the output is dropped.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start(mut target: impl Write + Send + 'static) -> io::Result<LogOutput> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        let failed_lines = Arc::new(AtomicU64::new(0));
        let count = failed_lines.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, &mut target, &count))?;
        Ok(LogOutput {
            sender,
            partial: Vec::new(),
            window: RateWindow::new(Instant::now()),
            dropped_lines: 0,
            failed_lines,
        })
    }

    fn enqueue(&mut self, line: Vec<u8>) {
        let now = Instant::now();
        if now.duration_since(self.window.started_at) >= Duration::from_secs(1) {
            self.window = RateWindow::new(now);
            self.report_dropped();
        }
        if !self.window.admit(&line) || self.sender.try_send(line).is_err() {
            self.dropped_lines += 1;
        }
    }

    /// Logs the number of lines that were dropped since the last such line, if any.
    fn report_dropped(&mut self) {
        self.dropped_lines += self.failed_lines.swap(0, Ordering::Relaxed);
        if self.dropped_lines == 0 {
            return;
        }
        let line = format!("lines left out count={}\n", self.dropped_lines);
        if self.sender.try_send(line.into_bytes()).is_ok() {
            self.dropped_lines = 0;
        }
    }
}

impl Drop for LogOutput {
    fn drop(&mut self) {
        self.report_dropped();
    }
}

impl Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        if self.partial.ends_with(b"\n") {
            let line = std::mem::take(&mut self.partial);
            self.enqueue(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, target: &mut impl Write, failed_lines: &AtomicU64) {
    while let Ok(mut text) = receiver.recv() {
        // Lines that have arrived in the meantime are written in the same call.
        text.extend(receiver.try_iter().flatten());
        let mut remaining = text.as_slice();
        while !remaining.is_empty() {
            match target.write(&remaining[..remaining.len().min(CHUNK_MAX_BYTES)]) {
                Ok(written) if written > 0 => {
                    remaining = &remaining[written..];
                    if !remaining.is_empty() {
                        std::thread::sleep(CHUNK_PAUSE);
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The pipe is non-blocking and full; the queue bounds the lines that wait meanwhile.
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(FULL_PIPE_RETRY_DELAY);
                }
                Ok(_) | Err(_) => {
                    // The lines are lost; their number is logged if the target recovers.
                    let lines = remaining.iter().filter(|byte| **byte == b'\n').count();
                    failed_lines.fetch_add(lines as u64, Ordering::Relaxed);
                    break;
                }
            }
        }
        // If the flush fails, the next write fails too and counts its lines.
        let _ = target.flush();
    }
}
