//! Daemons, a platform and upstreams inside one process, for tests and measurements.
//!
//! On paused time minutes pass in milliseconds, and every run of a test is the same.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use http::{Method, Request, Response};
use http_body_util::BodyExt as _;
use serde_json::json;
use tokio::sync::watch;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::config_document::read_texts_as_config;
use wasabiswitch_kernel::http::client::{ClientError, ClientRequest, HttpClient};
use wasabiswitch_kernel::http::control::{ControlResult, RequestHead, dispatch};
use wasabiswitch_kernel::http::entry::handle;
use wasabiswitch_kernel::http::{Body, full_body};
use wasabiswitch_kernel::keys::secret_digest;
use wasabiswitch_kernel::platform::{Platform, PlatformFn};
use wasabiswitch_kernel::plugin::{PlatformKind, registered_for_platform};
use wasabiswitch_kernel::settings::{Settings, read_text};

use crate::StandIn;
use crate::network::MemoryNetwork;
use crate::upstream::Upstream;

/// The key of the operator in every world.
pub const OPERATOR_KEY: &str = "wsk_ops_secret";

/// What a world holds.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The pools, `p0` and so on, each with a service `s0` and so on and a queue `q0` and so on.
    pub pools: usize,
    /// The instances, `i0` and so on, which are spread over the pools in turn.
    pub instances: usize,
    /// The slots of each instance.
    pub slots: u32,
    /// The teams: name, weight, limit in slots.
    pub teams: Vec<(String, u32, u32)>,
    /// The instances of each failure domain.
    pub instances_per_domain: usize,
    /// The budget of each pool.
    pub unavailable_max: u32,
    /// The deadline of each service, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for ClusterSpec {
    fn default() -> ClusterSpec {
        ClusterSpec {
            pools: 1,
            instances: 2,
            slots: 8,
            teams: vec![("t1".to_owned(), 1, 4), ("t2".to_owned(), 1, 4)],
            instances_per_domain: 1,
            unavailable_max: 1,
            deadline_ms: 5_000,
        }
    }
}

/// Returns teams from their names, weights and limits.
pub fn teams(teams: &[(&str, u32, u32)]) -> Vec<(String, u32, u32)> {
    teams.iter().map(|(name, weight, limit)| ((*name).to_owned(), *weight, *limit)).collect()
}

/// What one daemon's calls to the platform wait for.
type Gates = Arc<Mutex<HashMap<String, watch::Sender<bool>>>>;

/// A platform, upstreams and a network.
pub struct TestCluster {
    gates: Gates,
    clock: Clock,
    wall_ahead_s: Arc<AtomicU64>,
    /// The platform.
    pub standin: StandIn,
    /// The network between daemons and upstreams.
    pub network: MemoryNetwork,
    /// The upstreams, in the order of the instances.
    pub upstreams: Vec<Upstream>,
    /// What the world holds.
    pub spec: ClusterSpec,
}

/// A daemon in a world.
#[derive(Clone)]
pub struct Daemon {
    /// Its kernel.
    pub kernel: Arc<Kernel>,
    /// Where its control listener is in the world's network.
    pub address: SocketAddr,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CollectedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The verdict header.
    pub verdict: String,
    /// The code of the problem, or empty.
    pub code: String,
    /// The body, or `None` if it broke off.
    pub body: Option<Bytes>,
    /// Whether it was kept from an earlier run.
    pub repeated: bool,
}

/// Returns the key of a team in every world.
pub fn team_key(team: &str) -> String {
    format!("wsk_{team}_secret")
}

fn digest() -> String {
    blake3::Hash::from(secret_digest("secret")).to_hex().to_string()
}

fn upstream_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 80))
}

/// The wall clock of a world at its beginning, in seconds of the Unix clock.
const WALL_BEGIN: Duration = Duration::from_secs(1_800_000_000);

/// Returns a clock whose wall time goes with tokio's time, so that paused time drives both.
pub(crate) fn simulated_clock(ahead_s: Arc<AtomicU64>) -> Clock {
    let begin = tokio::time::Instant::now();
    let wall = move || {
        let ahead = Duration::from_secs(ahead_s.load(Ordering::Acquire));
        std::time::UNIX_EPOCH + WALL_BEGIN + ahead + begin.elapsed()
    };
    Clock::new(|| tokio::time::Instant::now().into_std(), wall)
}

impl TestCluster {
    /// Creates a world without daemons.
    pub fn new(spec: ClusterSpec) -> TestCluster {
        let network = MemoryNetwork::default();
        let wall_ahead_s = Arc::<AtomicU64>::default();
        let clock = simulated_clock(wall_ahead_s.clone());
        let standin = StandIn::new(clock.clone());
        let upstreams = (0..spec.instances)
            .map(|index| {
                let name = format!("i{index}");
                standin.with_instances(|instances| instances.add(&name));
                Upstream::in_memory(&name, upstream_address(index), &network)
            })
            .collect();
        TestCluster {
            gates: Gates::default(),
            clock,
            wall_ahead_s,
            standin,
            network,
            upstreams,
            spec,
        }
    }

    /// Returns the configuration folder of the world, as one file.
    pub fn config_files(&self) -> Vec<(String, String)> {
        let ClusterSpec {
            pools,
            instances,
            slots,
            teams,
            instances_per_domain,
            unavailable_max,
            deadline_ms,
        } = &self.spec;
        let entries = |lines: Vec<String>| lines.join(",");
        let of_pools = |line: &dyn Fn(usize) -> String| entries((0..*pools).map(line).collect());
        let digest = digest();
        let instance = |index: usize| {
            let (pool, domain) = (index % pools, index / instances_per_domain);
            let address = upstream_address(index);
            format!(
                r#""i{index}": {{"pool": "p{pool}", "failure_domain": "r{domain}",
                    "data_centre": "dc", "address": "{address}", "slots": {slots},
                    "cpu_milli": 4000}}"#
            )
        };
        let service = |pool: usize| {
            format!(
                r#""s{pool}": {{"pool": "p{pool}", "repeatable_methods": ["GET"],
                    "deadline_ms": {deadline_ms}}}"#
            )
        };
        let team = |(name, weight, limit): &(String, u32, u32)| {
            format!(r#""{name}": {{"weight": {weight}, "limit_slots": {limit}}}"#)
        };
        let key = |(name, _, _): &(String, u32, u32)| {
            format!(r#""{name}": {{"team": "{name}", "digest": "{digest}"}}"#)
        };
        let text = format!(
            r#"{{"pools": {{{}, "spare": {{"unavailable_max": 9, "spare": true}}}},
                "services": {{{}}}, "queues": {{{}}}, "instances": {{{}}}, "teams": {{{}}},
                "keys": {{{}, "ops": {{"operator": "ops", "digest": "{digest}"}}}}}}"#,
            of_pools(&|pool| format!(r#""p{pool}": {{"unavailable_max": {unavailable_max}}}"#)),
            of_pools(&service),
            of_pools(&|pool| format!(r#""q{pool}": {{"pool": "p{pool}"}}"#)),
            entries((0..*instances).map(instance).collect()),
            entries(teams.iter().map(team).collect()),
            entries(teams.iter().map(key).collect()),
        );
        vec![("all.json".to_owned(), text)]
    }

    /// Returns the settings of a daemon.
    pub fn settings(&self, name: &str, address: SocketAddr) -> Settings {
        let text = format!(
            r#"{{"daemon": "{name}", "data_centre": "dc", "entry_listen": "127.0.0.1:0",
                "control_listen": "{address}", "peer_key": "peer-key-of-the-tests",
                "platform": {{"embedded": true}}, "drain_notice_ms": 100,
                "first_operator_digest": "{}"}}"#,
            digest()
        );
        read_text("settings", &text).expect("the settings are valid")
    }

    /// Starts a daemon; the first one applies the configuration.
    pub async fn start(&self, index: u8) -> Daemon {
        let name = format!("d{index}");
        let address = SocketAddr::from(([10, 1, 0, index], 8081));
        let daemon = self.build(&name, address);
        self.network.host_control(address, &daemon.kernel);
        self.network.host_entry(daemon.entry_address(), &daemon.kernel);
        daemon.kernel.start_plugins().await.expect("the daemon starts");
        if daemon.kernel.config().generation == 0 {
            self.apply_folder(&daemon).await;
        }
        daemon
    }

    /// Creates a daemon without starting it.
    pub fn build(&self, name: &str, address: SocketAddr) -> Daemon {
        let kernel = Kernel::new(
            self.settings(name, address),
            self.gated_platform(name),
            self.network.network_of(name),
            self.clock.clone(),
            registered_for_platform(PlatformKind::Rows),
        );
        Daemon { kernel: kernel.expect("the plug-ins fit together"), address }
    }

    async fn apply_folder(&self, daemon: &Daemon) {
        let document =
            read_texts_as_config(&self.config_files()).expect("the folder has no errors");
        let changes: Vec<serde_json::Value> = document
            .entries
            .iter()
            .map(|((section, name), text)| {
                let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
                json!({ "section": section, "name": name, "value": value })
            })
            .collect();
        let body = json!({ "base": 0, "changes": changes }).to_string();
        daemon.control(Method::POST, "/v1/config", &body).await.expect("it is accepted");
    }

    /// Starts daemons `1..=count` and lets them meet.
    pub async fn start_daemons(&self, count: u8) -> Vec<Daemon> {
        let mut daemons = Vec::new();
        for index in 1..=count {
            daemons.push(self.start(index).await);
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        daemons
    }

    /// Sets the wall clock forward, and nothing else.
    pub fn advance_wall(&self, by: Duration) {
        self.wall_ahead_s.fetch_add(by.as_secs(), Ordering::AcqRel);
    }

    /// Returns how often all upstreams together have run the requests with a label.
    pub fn run_count(&self, label: &str) -> u32 {
        self.upstreams.iter().map(|upstream| upstream.run_count(label)).sum()
    }

    /// Returns the platform as one daemon reaches it, which can be made to hang.
    fn gated_platform(&self, name: &str) -> Platform {
        let (sender, gate) = watch::channel(true);
        self.gates.lock().expect("no test panics here").insert(name.to_owned(), sender);
        let platform = self.standin.platform();
        Platform {
            read: gated(&gate, platform.read),
            scan: gated(&gate, platform.scan),
            commit: gated(&gate, platform.commit),
            get_object: gated(&gate, platform.get_object),
            put_object: gated(&gate, platform.put_object),
            list_instances: gated(&gate, platform.list_instances),
            sync_worker: gated(&gate, platform.sync_worker),
            reboot: gated(&gate, platform.reboot),
            fleet: None,
        }
    }

    fn set_gate(&self, daemon: &Daemon, open: bool) {
        let gates = self.gates.lock().expect("no test panics here");
        let gate = gates.get(&*daemon.kernel.settings.daemon).expect("the daemon was built here");
        gate.send_replace(open);
    }

    /// Makes a daemon's calls to the platform hang.
    pub fn pause_platform_calls(&self, daemon: &Daemon) -> PausedDaemon<'_> {
        self.set_gate(daemon, false);
        PausedDaemon { cluster: self, daemon: daemon.clone(), others: Vec::new() }
    }

    /// Makes all that a daemon sends and receives hang, as if its process were paused.
    pub fn pause(&self, daemon: &Daemon, all: &[Daemon]) -> PausedDaemon<'_> {
        self.set_gate(daemon, false);
        self.set_isolated(daemon, all, true);
        PausedDaemon { cluster: self, daemon: daemon.clone(), others: all.to_vec() }
    }

    /// Cuts or mends all links between daemons that lead to or from one of them.
    pub fn set_isolated(&self, daemon: &Daemon, others: &[Daemon], cut: bool) {
        let name = daemon.kernel.settings.daemon.clone();
        for other in others.iter().filter(|other| other.address != daemon.address) {
            self.network.set_cut(&name, other.address, cut);
            self.network.set_cut(&other.kernel.settings.daemon, daemon.address, cut);
        }
    }
}

/// A daemon that hangs.
pub struct PausedDaemon<'a> {
    cluster: &'a TestCluster,
    daemon: Daemon,
    others: Vec<Daemon>,
}

impl PausedDaemon<'_> {
    /// Lets the daemon go on.
    pub fn resume(self) {
        self.cluster.set_gate(&self.daemon, true);
        self.cluster.set_isolated(&self.daemon, &self.others, false);
    }
}

/// Makes a function wait until its gate is open.
fn gated<A: Send + 'static, T: Send + 'static>(
    gate: &watch::Receiver<bool>,
    function: PlatformFn<A, T>,
) -> PlatformFn<A, T> {
    let gate = gate.clone();
    Arc::new(move |argument| {
        let (mut gate, function) = (gate.clone(), function.clone());
        async move {
            // A world that is gone has no gate, and its daemons may hang.
            if gate.wait_for(|open| *open).await.is_err() {
                std::future::pending::<()>().await;
            }
            function(argument).await
        }
        .boxed()
    })
}

impl Daemon {
    /// Ends the daemon's own work as a killed process would, without handing anything back.
    pub fn kill(&self, cluster: &TestCluster) {
        self.kernel.tasks.stop();
        cluster.network.remove(self.address);
    }

    /// Returns where its entry listener is in the world's network.
    pub fn entry_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), 8080)
    }

    /// Sends a request over a connection of its own to the entry listener.
    pub async fn connect_and_send(
        &self,
        cluster: &TestCluster,
        team: &str,
    ) -> Result<u16, ClientError> {
        let client = HttpClient::new(cluster.network.network_of("caller"));
        let outgoing = ClientRequest {
            method: Method::GET,
            path: "/s/s0/path",
            authorization: Some(&team_key(team)),
            headers: &[],
            body: Bytes::new(),
        };
        let answer = client.send(self.entry_address(), outgoing).await?;
        Ok(answer.status.as_u16())
    }

    /// Sends a request to the entry listener's routes.
    pub async fn call(&self, request: Request<Body>) -> CollectedResponse {
        collect_response(handle(self.kernel.clone(), request).await).await
    }

    /// Sends a request of a team; `key` is its idempotency key.
    pub async fn send(
        &self,
        team: &str,
        method: Method,
        label: &str,
        key: Option<&str>,
    ) -> CollectedResponse {
        self.call(request(team, method, label, key, Bytes::from_static(b"body"))).await
    }

    /// FaultTarget the control listener as the operator.
    pub async fn control(&self, method: Method, path: &str, body: &str) -> ControlResult {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let asked = RequestHead {
            method,
            path: path.to_owned(),
            query: query.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
            authorization: Some(format!("Bearer {OPERATOR_KEY}")),
        };
        dispatch(&self.kernel, asked, Bytes::from(body.to_owned())).await
    }

    /// FaultTarget the control listener and reads the JSON answer.
    pub async fn control_json(&self, method: Method, path: &str, body: &str) -> serde_json::Value {
        let reply =
            self.control(method, path, body).await.expect("the operator's call is answered");
        serde_json::from_slice(&reply.body).expect("the answer is JSON")
    }
}

/// Returns a request of a team; `key` is its idempotency key.
pub fn request(
    team: &str,
    method: Method,
    label: &str,
    key: Option<&str>,
    body: Bytes,
) -> Request<Body> {
    let mut builder = Request::builder()
        .method(method)
        .uri("/s/s0/path")
        .header("authorization", format!("Bearer {}", team_key(team)))
        .header("x-label", label);
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(full_body(body)).expect("the request is well formed")
}

/// Reads a whole answer.
pub async fn collect_response(response: Response<Body>) -> CollectedResponse {
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok().map(|body| body.to_bytes());
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let problem: serde_json::Value =
        body.as_ref().and_then(|body| serde_json::from_slice(body).ok()).unwrap_or_default();
    CollectedResponse {
        status: head.status.as_u16(),
        verdict: text("x-wasabiswitch-verdict"),
        code: problem["code"].as_str().unwrap_or_default().to_owned(),
        body,
        repeated: !text("x-wasabiswitch-repeated").is_empty(),
    }
}
