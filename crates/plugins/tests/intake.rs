//! Tests of clients within the limits, which the limits on other clients must not harm. They run on paused time.

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, duplex};
use wasabiswitch_kernel::http::{ReadBodyError, entry, hold_room};
use wasabiswitch_kernel::network::Stream;
use wasabiswitch_plugins as _;
use wasabiswitch_standin::cluster::{ClusterSpec, Daemon, TestCluster, team_key};

/// Size of a large body that is permitted, in bytes.
const BODY_BYTES: usize = 250_000;
/// Time after which a client counts as cut off.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

async fn start_daemon() -> (TestCluster, Daemon) {
    let cluster = TestCluster::new(ClusterSpec::default());
    let daemon = cluster.start_daemons(1).await.remove(0);
    (cluster, daemon)
}

fn connect(daemon: &Daemon) -> DuplexStream {
    let (client, server) = duplex(16 << 10);
    entry::accept(&daemon.kernel, Stream::Memory(server));
    client
}

fn head(extra: &str) -> String {
    format!(
        "POST /s/s0/path HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n{extra}",
        team_key("t1")
    )
}

/// Reads what arrives until the text contains the end of a head, and returns it.
async fn read_head(stream: &mut DuplexStream) -> String {
    let mut text = Vec::new();
    let read = async {
        while !text.windows(4).any(|window| window == b"\r\n\r\n") {
            let mut buffer = [0; 4_096];
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => text.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
    };
    let _ = tokio::time::timeout(RESPONSE_TIMEOUT, read).await;
    String::from_utf8_lossy(&text).into_owned()
}

async fn write(stream: &mut DuplexStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("the connection is open");
}

/// Guards against a time limit for heads that counts the pause between two requests.
#[tokio::test(start_paused = true)]
async fn connection_that_was_idle_for_a_minute_is_served() {
    fastrand::seed(61);
    let (_cluster, daemon) = start_daemon().await;
    let mut stream = connect(&daemon);
    for _ in 0..2 {
        write(&mut stream, &head("content-length: 0\r\n\r\n")).await;
        let response = read_head(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
}

/// Guards against a time limit on connections that callers or load balancers open before they need them.
#[tokio::test(start_paused = true)]
async fn connection_whose_first_request_comes_after_a_minute_is_served() {
    fastrand::seed(65);
    let (_cluster, daemon) = start_daemon().await;
    let mut stream = connect(&daemon);
    tokio::time::sleep(Duration::from_secs(60)).await;
    write(&mut stream, &head("content-length: 0\r\n\r\n")).await;
    let response = read_head(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

/// Guards against limits that a slow client reaches while the daemon is not under load.
#[tokio::test(start_paused = true)]
async fn slow_head_and_slow_large_body_are_served() {
    fastrand::seed(62);
    let (_cluster, daemon) = start_daemon().await;
    let mut stream = connect(&daemon);
    for part in head(&format!("idempotency-key: a\r\ncontent-length: {BODY_BYTES}\r\n\r\n"))
        .split_inclusive("\r\n")
    {
        write(&mut stream, part).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    for _ in 0..BODY_BYTES / 1_000 {
        write(&mut stream, &"x".repeat(1_000)).await;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let response = read_head(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

/// Guards against a head that never ends and holds its connection for ever.
#[tokio::test(start_paused = true)]
async fn head_without_end_is_closed() {
    fastrand::seed(63);
    let (_cluster, daemon) = start_daemon().await;
    let mut stream = connect(&daemon);
    write(&mut stream, &head("")).await;
    assert_eq!(read_head(&mut stream).await, "");
    assert!(stream.write_all(b"x").await.is_err(), "the daemon has closed the connection");
}

/// Guards against a refused body whose client cannot read the answer, and against an answer that is not true.
#[tokio::test(start_paused = true)]
async fn large_body_gets_its_answer_while_it_is_being_sent() {
    fastrand::seed(64);
    let (_cluster, daemon) = start_daemon().await;
    let mut stream = connect(&daemon);
    write(&mut stream, &head("idempotency-key: a\r\ncontent-length: 2000000\r\n\r\n")).await;
    for _ in 0..100 {
        write(&mut stream, &"x".repeat(1_000)).await;
    }
    let response = read_head(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
    assert!(response.contains("x-wasabiswitch-verdict: not-run"), "{response:?}");
}

/// Guards against parsed submissions that wait for the owner and together exceed the memory, and against the refusal of
/// a single one that exceeds the budget.
#[tokio::test(start_paused = true)]
async fn what_requests_hold_until_they_are_answered_counts_against_the_budget() {
    fastrand::seed(66);
    let (_cluster, daemon) = start_daemon().await;
    let intake = &daemon.kernel.intakes.entry;
    let budget = intake.bounds().bytes_max as usize;
    let connection = intake.detached_connection();
    let held = hold_room(&connection, 2 * budget).await.expect("the budget is free");
    assert!(held.is_some(), "the request holds the whole budget");
    let small = hold_room(&intake.detached_connection(), 1_000).await;
    assert!(matches!(small, Ok(None)), "a small one needs no room");
    let refused = hold_room(&intake.detached_connection(), budget / 2).await;
    assert!(matches!(refused, Err(ReadBodyError::NoRoom)), "{refused:?}");
    drop(held);
    let next = hold_room(&intake.detached_connection(), budget / 2).await;
    assert!(matches!(next, Ok(Some(_))), "{next:?}");
}
