//! Limits of the log output: which lines are dropped, and that a reader that stalls blocks no logger.

use std::io::{self, ErrorKind, Write};
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use wasabiswitch_kernel::log_output::LogOutput;

/// Target that sends what is written to a channel.
struct ChannelWriter(Sender<Vec<u8>>);

impl Write for ChannelWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Target whose writes block, like a full pipe without a reader.
struct BlockedWriter;

impl Write for BlockedWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flood_of_one_message_does_not_drop_others() {
    let (sender, lines) = channel();
    let mut output = LogOutput::start(ChannelWriter(sender)).expect("the thread starts");
    for _ in 0..5_000 {
        output.write_all(b"[INFO] run done job=a task=0.0.0\n").expect("the write succeeds");
    }
    output.write_all(b"[INFO] took the fleet over fence=2\n").expect("the write succeeds");
    drop(output);
    let text = String::from_utf8(lines.iter().flatten().collect()).expect("the output is UTF-8");
    assert!(text.contains("took the fleet over"));
    assert!(text.contains("lines left out count="), "dropped lines are counted");
    assert!(text.lines().count() <= 2_000, "the lines span at most two windows");
}

#[test]
fn flood_of_several_messages_does_not_drop_ownership_changes() {
    let (sender, lines) = channel();
    let mut output = LogOutput::start(ChannelWriter(sender)).expect("the thread starts");
    for number in 0..2_000 {
        for message in [
            "worker listed",
            "report not received",
            "no owner found for a call",
            "maintenance wave read",
        ] {
            let line = format!("2026-10-02T03:24:18Z [WARN] {message} worker=w-{number}\n");
            output.write_all(line.as_bytes()).expect("the write succeeds");
        }
        if number % 500 == 499 {
            let line = format!("2026-10-02T03:24:18Z [INFO] took the fleet over fence={number}\n");
            output.write_all(line.as_bytes()).expect("the write succeeds");
        }
    }
    drop(output);
    let text = String::from_utf8(lines.iter().flatten().collect()).expect("the output is UTF-8");
    assert_eq!(text.matches("took the fleet over").count(), 4);
    assert!(
        text.matches("lines left out").count() <= 3,
        "reported at most once a second, and at the end"
    );
}

/// Target that fails every second write with an error of the given kind and accepts at most 50 bytes
/// per write.
struct FlakyWriter {
    kind: ErrorKind,
    writes: u32,
    lines: Sender<Vec<u8>>,
}

impl Write for FlakyWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writes += 1;
        if self.writes.is_multiple_of(2) {
            return Err(self.kind.into());
        }
        let accepted = bytes.len().min(50);
        self.lines.send(bytes[..accepted].to_vec()).map_err(io::Error::other)?;
        Ok(accepted)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_through(kind: ErrorKind) -> String {
    let (sender, lines) = channel();
    let mut output = LogOutput::start(FlakyWriter { kind, writes: 0, lines: sender })
        .expect("the thread starts");
    for number in 0..40 {
        let line = format!("[INFO] took the fleet over fence={number}\n");
        output.write_all(line.as_bytes()).expect("the write succeeds");
        // The pause ends the rate window, so that failed lines are reported.
        if number == 20 {
            std::thread::sleep(Duration::from_millis(1_100));
        }
    }
    drop(output);
    String::from_utf8(lines.iter().flatten().collect()).expect("the output is UTF-8")
}

#[test]
fn full_nonblocking_pipe_loses_no_line() {
    let text = write_through(ErrorKind::WouldBlock);
    assert_eq!(text.matches("took the fleet over fence=").count(), 40);
    assert!(!text.contains("lines left out"));
}

#[test]
fn failed_writes_are_counted() {
    assert!(write_through(ErrorKind::BrokenPipe).contains("lines left out count="));
}

#[test]
fn blocked_pipe_does_not_block_the_logger() {
    let mut output = LogOutput::start(BlockedWriter).expect("the thread starts");
    let started_at = Instant::now();
    for _ in 0..20_000 {
        output.write_all(b"[INFO] took the fleet over fence=2\n").expect("the write succeeds");
    }
    assert!(started_at.elapsed() < Duration::from_secs(1));
}
