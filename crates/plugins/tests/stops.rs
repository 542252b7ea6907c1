//! Graceful stops of a daemon with callers' requests in flight.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
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

// A stop closed the connections of requests that were still in flight at its time limit, without a response.
#[tokio::test(start_paused = true)]
async fn requests_in_flight_at_the_end_of_a_stop_are_answered_as_in_doubt() {
    let (cluster, daemon) = start_with_unresponsive_upstreams().await;
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        daemon.kernel.stop().await
    };
    let status = tokio::select! {
        biased;
        status = daemon.connect_and_send(&cluster, "t1") => status,
        // The process exits when the stop returns.
        _ = stop => panic!("the stop returned before the request had a response"),
    };
    assert_eq!(status.expect("the daemon responds"), 504);
}

/// Sends a request over a kept connection and returns the response, which is empty if the connection was closed.
fn send_over(stream: &mut TcpStream) -> String {
    let head = format!(
        "GET /s/s0/path HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\r\n",
        team_key("t1")
    );
    // A connection that the daemon has closed fails here or at the read.
    let _ = stream.write_all(head.as_bytes());
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
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
}

/// Keeps the only thread of the runtime busy until the grace period of 300 ms is over, so that its end and everything that
/// arrives meanwhile become ready together.
fn block_past_the_grace_period() {
    std::thread::sleep(Duration::from_millis(600));
}

// A busy daemon closed an idle connection at the end of the stop's grace period although a request had arrived on it.
#[tokio::test]
async fn request_that_arrives_while_a_busy_daemon_closes_idle_connections_is_answered() {
    fastrand::seed(31);
    let cluster = TestCluster::new(ClusterSpec::default());
    let daemon = cluster.start_daemons(1).await.remove(0);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    let (served, first_served) = tokio::sync::oneshot::channel();
    let (send_again, may_send_again) = std::sync::mpsc::channel();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the daemon accepts");
        let first = send_over(&mut stream);
        served.send(first).expect("the test waits for the first response");
        may_send_again.recv().expect("the test sends the signal");
        send_over(&mut stream)
    });
    let (stream, _) = listener.accept().await.expect("the caller connects");
    entry::accept(&daemon.kernel, Stream::Tcp(stream));
    let first = first_served.await.expect("the caller does not panic");
    assert!(first.starts_with("HTTP/1.1 200"), "{first:?}");
    let stop = spawn_stop(&daemon);
    wait_until_entry_closes(&daemon).await;
    send_again.send(()).expect("the caller waits for the signal");
    block_past_the_grace_period();
    assert!(stop.await.expect("the stop does not panic"));
    let second = caller.join().expect("the caller does not panic");
    assert!(second.starts_with("HTTP/1.1 200"), "{second:?}");
    assert!(second.contains("connection: close"), "{second:?}");
}

// The entry listener closed at the end of the stop's grace period with connections in its backlog, whose requests were lost.
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
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|_| {
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("the listener is open");
                send_over(&mut stream)
            })
        })
        .collect();
    block_past_the_grace_period();
    assert!(stop.await.expect("the stop does not panic"));
    for caller in callers {
        let response = caller.join().expect("the caller does not panic");
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
}
