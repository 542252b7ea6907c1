//! Throughput and latency of the daemon relative to a bare pass-through, in alternating rounds.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Empty, Full};
use hyper::client::conn::http1::handshake;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::config_document::read_texts_as_config;
use wasabiswitch_kernel::network::Network;
use wasabiswitch_kernel::plugin::{PlatformKind, registered_for_platform};
use wasabiswitch_plugins::config::{Proposal, apply_changes};
use wasabiswitch_policy::merge::diff;
use wasabiswitch_standin::{Operation, StandIn};

use crate::passthrough;
use crate::setup::{FleetSpec, config_files, daemon_settings, team_key};

/// Number of upstreams.
const UPSTREAM_COUNT: usize = 8;
/// Time before the first round, in which the daemon obtains its slots.
const WARM_UP: Duration = Duration::from_secs(2);

/// Throughput and latency of one round.
#[derive(Clone, Copy, Debug)]
struct RoundResult {
    per_second: f64,
    p50_us: f64,
    p99_us: f64,
}

fn build_runtime(threads: usize) -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("a runtime can be built")
}

/// Runs the measurement and prints its table.
pub(crate) fn run(connections: usize, rounds: usize, round_ms: u64) {
    // Separate runtimes, so that upstreams, proxies and load do not share worker threads.
    let (upstream_runtime, proxy_runtime, load_runtime) =
        (build_runtime(2), build_runtime(3), build_runtime(3));
    let upstreams: Vec<SocketAddr> =
        (0..UPSTREAM_COUNT).map(|_| upstream_runtime.block_on(start_upstream())).collect();
    let standin = StandIn::new(Clock::tokio());
    let baseline = proxy_runtime.block_on(start_passthrough(upstreams.clone()));
    let daemon = proxy_runtime.block_on(start_daemon(&standin, upstreams));
    std::thread::sleep(WARM_UP);
    let length = Duration::from_millis(round_ms);
    let measure = |address, path: &'static str| {
        load_runtime.block_on(run_load(address, path, connections, length))
    };
    measure(baseline, "/x");
    measure(daemon, "/s/s0/x");
    let commits_before = commit_count(&standin);
    let mut pairs = Vec::new();
    let mut requests = 0.0;
    for _ in 0..rounds {
        let pair = (measure(baseline, "/x"), measure(daemon, "/s/s0/x"));
        requests += pair.1.per_second * length.as_secs_f64();
        pairs.push(pair);
    }
    let writes = (commit_count(&standin) - commits_before) as f64;
    print_table(connections, &pairs);
    println!(
        "\nWrites of the store per plain request, renewals of the session included: {:.6}",
        writes / requests
    );
}

/// Returns the number of commits that the store has served.
fn commit_count(standin: &StandIn) -> u64 {
    standin.counts().get(&Operation::Commit).copied().unwrap_or(0)
}

/// Accessor of one field of a round's result.
type RoundField = fn(&RoundResult) -> f64;

fn print_table(connections: usize, pairs: &[(RoundResult, RoundResult)]) {
    println!("{connections} connections, {} rounds of each, in turn; medians\n", pairs.len());
    println!(
        "| figure | bare pass-through | daemon | ratio (median of pairs) |\n|---|---|---|---|"
    );
    let figures: [(&str, RoundField); 3] = [
        ("requests per second", |round| round.per_second),
        ("p50 in microseconds", |round| round.p50_us),
        ("p99 in microseconds", |round| round.p99_us),
    ];
    for (name, field) in figures {
        let baseline = median(pairs.iter().map(|(baseline, _)| field(baseline)));
        let daemon = median(pairs.iter().map(|(_, daemon)| field(daemon)));
        let ratio = median(pairs.iter().map(|(baseline, daemon)| field(daemon) / field(baseline)));
        println!("| {name} | {baseline:.0} | {daemon:.0} | {ratio:.3} |");
    }
}

/// Returns the median; for an even number of values, the larger of the two in the middle.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

async fn start_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                let _ = request.into_body().collect().await;
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"answer"))))
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn start_passthrough(upstreams: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(passthrough::serve(listener, upstreams));
    address
}

async fn start_daemon(standin: &StandIn, upstreams: Vec<SocketAddr>) -> SocketAddr {
    let fleet =
        FleetSpec { pools: 1, instances: upstreams, slots: 32, teams: 1, limit_slots: 1_024 };
    for index in 0..fleet.instances.len() {
        standin.with_instances(|instances| instances.add(&format!("i{index}")));
    }
    let control = SocketAddr::from(([127, 0, 0, 1], 0));
    let kernel = Kernel::new(
        daemon_settings("d", control),
        standin.platform(),
        Network::tcp(),
        Clock::tokio(),
        registered_for_platform(PlatformKind::Rows),
    )
    .expect("the plug-ins fit together");
    let listening = kernel.start().await.expect("the daemon starts");
    let document = read_texts_as_config(&config_files(&fleet)).expect("the folder has no errors");
    let changes = diff(&Default::default(), &document.entries);
    let proposal = Proposal { base: 0, changes, operator: "bench".to_owned() };
    apply_changes(&kernel, proposal).await.expect("the configuration is accepted");
    listening.entry
}

/// Sends requests on all connections for `length`; each connection sends a request as soon as the response to the
/// previous one is complete.
async fn run_load(
    address: SocketAddr,
    path: &'static str,
    connections: usize,
    length: Duration,
) -> RoundResult {
    let begin = Instant::now();
    let tasks: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(run_connection(address, path, begin + length)))
        .collect();
    let mut latencies = Histogram::<u64>::new(3).expect("three significant digits are valid");
    for task in tasks {
        latencies
            .add(task.await.expect("the connection's task does not panic"))
            .expect("the latencies fit into the histogram");
    }
    RoundResult {
        per_second: latencies.len() as f64 / begin.elapsed().as_secs_f64(),
        p50_us: latencies.value_at_quantile(0.5) as f64,
        p99_us: latencies.value_at_quantile(0.99) as f64,
    }
}

async fn run_connection(address: SocketAddr, path: &str, until: Instant) -> Histogram<u64> {
    let stream = TcpStream::connect(address).await.expect("the proxy accepts");
    stream.set_nodelay(true).expect("TCP_NODELAY can be set");
    let (mut sender, connection) =
        handshake(TokioIo::new(stream)).await.expect("the HTTP handshake succeeds");
    tokio::spawn(connection);
    let mut latencies = Histogram::<u64>::new(3).expect("three significant digits are valid");
    while Instant::now() < until {
        let request = Request::get(path)
            .header("host", "bench")
            .header("authorization", format!("Bearer {}", team_key(0)))
            .body(Empty::<Bytes>::new())
            .expect("the request is well formed");
        let begin = Instant::now();
        let response = sender.send_request(request).await.expect("the request is answered");
        assert!(response.status().is_success(), "{}", response.status());
        response.into_body().collect().await.expect("the response body is complete");
        let micros = begin.elapsed().as_micros() as u64;
        latencies.record(micros).expect("the histogram resizes itself");
    }
    latencies
}
