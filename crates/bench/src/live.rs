//! Throughput and latency of the daemon over a bare pass-through, round by round in turn.

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
use crate::world::{Fleet, folder, settings, team_key};

/// The upstreams of the measurement.
const UPSTREAMS: usize = 8;
/// How long the daemon has to take its slots before the first round.
const WARM_UP: Duration = Duration::from_secs(2);

/// What one round gave.
#[derive(Clone, Copy, Debug)]
struct Round {
    per_second: f64,
    p50_us: f64,
    p99_us: f64,
}

fn runtime(threads: usize) -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("a runtime can be built")
}

/// Runs the measurement and prints its table.
pub(crate) fn run(connections: usize, rounds: usize, round_ms: u64) {
    // Runtimes of their own keep upstreams, proxies and load from sharing workers.
    let (upstream_runtime, proxy_runtime, load_runtime) = (runtime(2), runtime(3), runtime(3));
    let upstreams: Vec<SocketAddr> =
        (0..UPSTREAMS).map(|_| upstream_runtime.block_on(start_upstream())).collect();
    let standin = StandIn::new(Clock::tokio());
    let bare = proxy_runtime.block_on(start_bare(upstreams.clone()));
    let daemon = proxy_runtime.block_on(start_daemon(&standin, upstreams));
    std::thread::sleep(WARM_UP);
    let length = Duration::from_millis(round_ms);
    let measure = |address, path: &'static str| {
        load_runtime.block_on(load(address, path, connections, length))
    };
    measure(bare, "/x");
    measure(daemon, "/s/s0/x");
    let commits_before = commits(&standin);
    let mut pairs = Vec::new();
    let mut requests = 0.0;
    for _ in 0..rounds {
        let pair = (measure(bare, "/x"), measure(daemon, "/s/s0/x"));
        requests += pair.1.per_second * length.as_secs_f64();
        pairs.push(pair);
    }
    let writes = (commits(&standin) - commits_before) as f64;
    print_table(connections, &pairs);
    println!(
        "\nWrites of the store per plain request, renewals of the session included: {:.6}",
        writes / requests
    );
}

fn commits(standin: &StandIn) -> u64 {
    standin.counts().get(&Operation::Commit).copied().unwrap_or(0)
}

/// Takes one figure of a round.
type Figure = fn(&Round) -> f64;

fn print_table(connections: usize, pairs: &[(Round, Round)]) {
    println!("{connections} connections, {} rounds of each, in turn; medians\n", pairs.len());
    println!(
        "| figure | bare pass-through | daemon | ratio (median of pairs) |\n|---|---|---|---|"
    );
    let figures: [(&str, Figure); 3] = [
        ("requests per second", |round| round.per_second),
        ("p50 in microseconds", |round| round.p50_us),
        ("p99 in microseconds", |round| round.p99_us),
    ];
    for (name, figure) in figures {
        let bare = median(pairs.iter().map(|(bare, _)| figure(bare)));
        let daemon = median(pairs.iter().map(|(_, daemon)| figure(daemon)));
        let ratio = median(pairs.iter().map(|(bare, daemon)| figure(daemon) / figure(bare)));
        println!("| {name} | {bare:.0} | {daemon:.0} | {ratio:.3} |");
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

async fn start_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("it has an address");
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

async fn start_bare(upstreams: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("it has an address");
    tokio::spawn(passthrough::serve(listener, upstreams));
    address
}

async fn start_daemon(standin: &StandIn, upstreams: Vec<SocketAddr>) -> SocketAddr {
    let fleet = Fleet { pools: 1, instances: upstreams, slots: 32, teams: 1, limit_slots: 1_024 };
    for index in 0..fleet.instances.len() {
        standin.with_instances(|instances| instances.add(&format!("i{index}")));
    }
    let control = SocketAddr::from(([127, 0, 0, 1], 0));
    let kernel = Kernel::new(
        settings("d", control),
        standin.platform(),
        Network::tcp(),
        Clock::tokio(),
        registered_for_platform(PlatformKind::Rows),
    )
    .expect("the plug-ins fit together");
    let listening = kernel.start().await.expect("the daemon starts");
    let document = read_texts_as_config(&folder(&fleet)).expect("the folder has no errors");
    let changes = diff(&Default::default(), &document.entries);
    let proposal = Proposal { base: 0, changes, operator: "bench".to_owned() };
    apply_changes(&kernel, proposal).await.expect("the configuration is accepted");
    listening.entry
}

/// Sends requests over all connections for `length`, each as soon as the last is answered.
async fn load(
    address: SocketAddr,
    path: &'static str,
    connections: usize,
    length: Duration,
) -> Round {
    let begin = Instant::now();
    let tasks: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(load_connection(address, path, begin + length)))
        .collect();
    let mut latencies = Histogram::<u64>::new(3).expect("three digits are allowed");
    for task in tasks {
        latencies.add(task.await.expect("the load does not panic")).expect("the ranges agree");
    }
    Round {
        per_second: latencies.len() as f64 / begin.elapsed().as_secs_f64(),
        p50_us: latencies.value_at_quantile(0.5) as f64,
        p99_us: latencies.value_at_quantile(0.99) as f64,
    }
}

async fn load_connection(address: SocketAddr, path: &str, until: Instant) -> Histogram<u64> {
    let stream = TcpStream::connect(address).await.expect("the proxy accepts");
    stream.set_nodelay(true).expect("the option is known");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("it speaks HTTP");
    tokio::spawn(connection);
    let mut latencies = Histogram::<u64>::new(3).expect("three digits are allowed");
    while Instant::now() < until {
        let request = Request::get(path)
            .header("host", "bench")
            .header("authorization", format!("Bearer {}", team_key(0)))
            .body(Empty::<Bytes>::new())
            .expect("the request is well formed");
        let begin = Instant::now();
        let answer = sender.send_request(request).await.expect("the request is answered");
        assert!(answer.status().is_success(), "{}", answer.status());
        answer.into_body().collect().await.expect("the answer is whole");
        let micros = begin.elapsed().as_micros() as u64;
        latencies.record(micros).expect("the histogram grows");
    }
    latencies
}
