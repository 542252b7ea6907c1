//! Graceful stops of a daemon with callers' requests in flight.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use wasabiswitch_kernel::http::client::{ClientRequest, HttpClient};
use wasabiswitch_kernel::http::entry;
use wasabiswitch_kernel::network::Stream;
use wasabiswitch_plugins as _;
use wasabiswitch_standin::cluster::{ClusterSpec, Daemon, TestCluster, team_key};
use wasabiswitch_standin::upstream::Behaviour;

/// Time limit of the service, which is longer than a stop waits for requests in flight.
const REQUEST_TIME_LIMIT: Duration = Duration::from_secs(120);

/// Starts a daemon whose upstreams run requests and never respond.
async fn start_with_unresponsive_upstreams() -> (TestCluster, Daemon) {
    fastrand::seed(31);
    let cluster = TestCluster::new(ClusterSpec {
        deadline_ms: REQUEST_TIME_LIMIT.as_millis() as u64,
        ..ClusterSpec::default()
    });
    let daemon = cluster.start_daemons(1).await.remove(0);
    for upstream in &cluster.upstreams {
        upstream.set_default_behaviour(Some(Behaviour::HangAfterRun));
    }
    (cluster, daemon)
}

// Guards against a stop that ends with requests in flight that have no response.
#[tokio::test(start_paused = true)]
async fn requests_in_flight_at_the_end_of_a_stop_are_answered_as_in_doubt() {
    let (cluster, daemon) = start_with_unresponsive_upstreams().await;
    let client = HttpClient::new(cluster.network.network_of("caller"));
    let key = team_key("t1");
    let request = ClientRequest {
        method: Method::GET,
        path: "/s/s0/path",
        authorization: Some(&key),
        headers: &[],
        body: Bytes::new(),
    };
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        daemon.kernel.stop().await
    };
    let response = tokio::select! {
        biased;
        response = client.send(daemon.entry_address(), request) => response,
        // The process exits when the stop returns.
        _ = stop => panic!("the stop returned before the request had a response"),
    };
    let response = response.expect("the daemon responds");
    let problem: Value = serde_json::from_slice(&response.body).expect("the body is JSON");
    assert_eq!(response.status, 504);
    assert_eq!(
        (&problem["code"], &problem["verdict"]),
        (&json!("stopped"), &json!("may-have-run"))
    );
}

/// Sends a request over a connection.
///
/// A connection that the daemon has closed fails here or when the response is read.
fn send_over(stream: &mut TcpStream) {
    let head = format!(
        "GET /s/s0/path HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\r\n",
        team_key("t1")
    );
    let _ = stream.write_all(head.as_bytes());
}

/// Reads a response, which is empty if the connection was closed.
fn read_response(stream: &mut TcpStream) -> String {
    let mut response = [0; 4_096];
    let length = stream.read(&mut response).unwrap_or(0);
    String::from_utf8_lossy(&response[..length]).into_owned()
}

fn spawn_stop(daemon: &Daemon) -> JoinHandle<bool> {
    let kernel = daemon.kernel.clone();
    tokio::spawn(async move { kernel.stop().await })
}

/// Waits until the entry listener and the connections have started their grace period.
async fn wait_until_entry_closes(daemon: &Daemon) {
    while !daemon.kernel.is_entry_closing() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // The tasks that the stop wakes are polled within these turns of the only thread.
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

/// Keeps the only thread of the runtime busy until `count` requests have been sent and the grace period of 300 ms is
/// over, so that its end and the requests become ready together.
fn block_past_the_grace_period(sent: &mpsc::Receiver<()>, count: usize) {
    for _ in 0..count {
        sent.recv().expect("the callers do not panic");
    }
    std::thread::sleep(Duration::from_millis(400));
}

// Guards against a busy daemon that closes a connection as idle at the end of a stop's grace period, unread.
#[tokio::test]
async fn request_that_arrives_while_a_busy_daemon_closes_idle_connections_is_answered() {
    fastrand::seed(31);
    let cluster = TestCluster::new(ClusterSpec::default());
    let daemon = cluster.start_daemons(1).await.remove(0);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    let (served, first_served) = tokio::sync::oneshot::channel();
    let (send_again, may_send_again) = mpsc::channel();
    let (sender, sent) = mpsc::channel();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the daemon accepts");
        send_over(&mut stream);
        served.send(read_response(&mut stream)).expect("the test waits for the first response");
        may_send_again.recv().expect("the test sends the signal");
        send_over(&mut stream);
        sender.send(()).expect("the test waits for the request");
        read_response(&mut stream)
    });
    let (stream, _) = listener.accept().await.expect("the caller connects");
    entry::accept(&daemon.kernel, Stream::Tcp(stream));
    let first = first_served.await.expect("the caller does not panic");
    assert!(first.starts_with("HTTP/1.1 200"), "{first:?}");
    let stop = spawn_stop(&daemon);
    wait_until_entry_closes(&daemon).await;
    send_again.send(()).expect("the caller waits for the signal");
    block_past_the_grace_period(&sent, 1);
    assert!(stop.await.expect("the stop does not panic"));
    let second = caller.join().expect("the caller does not panic");
    assert!(second.starts_with("HTTP/1.1 200"), "{second:?}");
    assert!(second.contains("connection: close"), "{second:?}");
}

// Guards against an entry listener that closes at the end of a stop's grace period with connections in its backlog.
#[tokio::test]
async fn connections_that_wait_while_a_busy_daemon_closes_its_listener_are_served() {
    const CALLER_COUNT: usize = 8;
    fastrand::seed(31);
    let cluster = TestCluster::new(ClusterSpec::default());
    let daemon = cluster.start_daemons(1).await.remove(0);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    daemon
        .kernel
        .request_tasks
        .spawn("entry listener", entry::serve(daemon.kernel.clone(), listener));
    let stop = spawn_stop(&daemon);
    wait_until_entry_closes(&daemon).await;
    let (sender, sent) = mpsc::channel();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|_| {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("the listener is open");
                send_over(&mut stream);
                sender.send(()).expect("the test waits for the request");
                read_response(&mut stream)
            })
        })
        .collect();
    block_past_the_grace_period(&sent, CALLER_COUNT);
    assert!(stop.await.expect("the stop does not panic"));
    for caller in callers {
        let response = caller.join().expect("the caller does not panic");
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
}
