//! A test cluster: daemons, a platform and upstreams inside one process, for tests and measurements.
//!
//! With tokio's paused time, minutes pass in milliseconds, and every run of a test is the same.

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

/// API key of the operator in every test cluster.
pub const OPERATOR_KEY: &str = "wsk_ops_secret";

/// Size and configuration of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Number of pools `p0`, `p1`, ...; each pool `pN` has a service `sN` and a queue `qN`.
    pub pools: usize,
    /// Number of instances `i0`, `i1`, ..., which are assigned to the pools in turn.
    pub instances: usize,
    /// Number of slots of each instance.
    pub slots: u32,
    /// Teams: name, weight, limit in slots.
    pub teams: Vec<(String, u32, u32)>,
    /// Number of instances in each failure domain.
    pub instances_per_domain: usize,
    /// Budget of each pool: the number of its instances that may be unavailable at the same time.
    pub unavailable_max: u32,
    /// Deadline of each service, in milliseconds.
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

/// Returns the teams with the given names, weights and limits in the form that [`ClusterSpec`] takes.
pub fn teams(teams: &[(&str, u32, u32)]) -> Vec<(String, u32, u32)> {
    teams.iter().map(|(name, weight, limit)| ((*name).to_owned(), *weight, *limit)).collect()
}

/// One gate per daemon name; a daemon's calls to the platform wait while its gate is closed (`false`).
type Gates = Arc<Mutex<HashMap<String, watch::Sender<bool>>>>;

/// A platform, its upstreams and the network that daemons are started in.
pub struct TestCluster {
    gates: Gates,
    clock: Clock,
    wall_offset_s: Arc<AtomicU64>,
    /// The platform that all daemons use.
    pub standin: StandIn,
    /// The network between daemons and upstreams.
    pub network: MemoryNetwork,
    /// The upstreams, in the order of the instances.
    pub upstreams: Vec<Upstream>,
    /// Size and configuration of this cluster.
    pub spec: ClusterSpec,
}

/// A daemon of a test cluster.
#[derive(Clone)]
pub struct Daemon {
    /// The daemon's kernel.
    pub kernel: Arc<Kernel>,
    /// Address of the control listener in the cluster's network.
    pub address: SocketAddr,
}

/// An HTTP response whose body has been read.
#[derive(Clone, Debug)]
pub struct CollectedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of the verdict header, or empty.
    pub verdict: String,
    /// The code of the problem in the body, or empty.
    pub code: String,
    /// The body, or `None` if it was truncated.
    pub body: Option<Bytes>,
    /// Whether the response was stored by an earlier request with the same idempotency key.
    pub repeated: bool,
}

/// Returns the API key of a team, which is the same in every test cluster.
pub fn team_key(team: &str) -> String {
    format!("wsk_{team}_secret")
}

fn digest() -> String {
    blake3::Hash::from(secret_digest("secret")).to_hex().to_string()
}

fn upstream_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 80))
}

/// Unix time of the simulated wall clock when it is created.
const WALL_CLOCK_START: Duration = Duration::from_secs(1_800_000_000);

/// Returns a clock whose wall time follows tokio's time, so that paused time drives both; `offset_s` is added to the
/// wall time.
pub(crate) fn simulated_clock(offset_s: Arc<AtomicU64>) -> Clock {
    let start = tokio::time::Instant::now();
    let wall = move || {
        let offset = Duration::from_secs(offset_s.load(Ordering::Acquire));
        std::time::UNIX_EPOCH + WALL_CLOCK_START + offset + start.elapsed()
    };
    Clock::new(|| tokio::time::Instant::now().into_std(), wall)
}

impl TestCluster {
    /// Creates a cluster that has no daemons yet.
    pub fn new(spec: ClusterSpec) -> TestCluster {
        let network = MemoryNetwork::default();
        let wall_offset_s = Arc::<AtomicU64>::default();
        let clock = simulated_clock(wall_offset_s.clone());
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
            wall_offset_s,
            standin,
            network,
            upstreams,
            spec,
        }
    }

    /// Returns the files of the cluster's configuration folder, name and text: a single file.
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
        let per_pool = |line: &dyn Fn(usize) -> String| entries((0..*pools).map(line).collect());
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
            per_pool(&|pool| format!(r#""p{pool}": {{"unavailable_max": {unavailable_max}}}"#)),
            per_pool(&service),
            per_pool(&|pool| format!(r#""q{pool}": {{"pool": "p{pool}"}}"#)),
            entries((0..*instances).map(instance).collect()),
            entries(teams.iter().map(team).collect()),
            entries(teams.iter().map(key).collect()),
        );
        vec![("all.json".to_owned(), text)]
    }

    /// Returns the settings of a daemon whose control listener is at `address`.
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

    /// Starts the daemon `d<index>`; the first daemon applies the configuration.
    pub async fn start(&self, index: u8) -> Daemon {
        let name = format!("d{index}");
        let address = SocketAddr::from(([10, 1, 0, index], 8081));
        let daemon = self.build(&name, address);
        self.network.host_control(address, &daemon.kernel);
        self.network.host_entry(daemon.entry_address(), &daemon.kernel);
        daemon.kernel.start_plugins().await.expect("the daemon starts");
        if daemon.kernel.config().generation == 0 {
            self.apply_config(&daemon).await;
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

    async fn apply_config(&self, daemon: &Daemon) {
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
        daemon
            .control(Method::POST, "/v1/config", &body)
            .await
            .expect("the configuration is accepted");
    }

    /// Starts daemons `d1` to `d<count>` and waits 4 s, in which they discover each other.
    pub async fn start_daemons(&self, count: u8) -> Vec<Daemon> {
        let mut daemons = Vec::new();
        for index in 1..=count {
            daemons.push(self.start(index).await);
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        daemons
    }

    /// Advances the wall clock without advancing the monotonic clock.
    pub fn advance_wall_clock(&self, by: Duration) {
        self.wall_offset_s.fetch_add(by.as_secs(), Ordering::AcqRel);
    }

    /// Returns how often requests with a label were run, on all upstreams together.
    pub fn run_count(&self, label: &str) -> u32 {
        self.upstreams.iter().map(|upstream| upstream.run_count(label)).sum()
    }

    /// Returns the platform's functions for one daemon, whose gate can be closed.
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

    /// Makes a daemon's calls to the platform hang until [`PausedDaemon::resume`].
    pub fn pause_platform_calls(&self, daemon: &Daemon) -> PausedDaemon<'_> {
        self.set_gate(daemon, false);
        PausedDaemon { cluster: self, daemon: daemon.clone(), others: Vec::new() }
    }

    /// Makes a daemon's platform calls hang and cuts its links to the other daemons, as if its process were paused.
    pub fn pause(&self, daemon: &Daemon, all: &[Daemon]) -> PausedDaemon<'_> {
        self.set_gate(daemon, false);
        self.set_isolated(daemon, all, true);
        PausedDaemon { cluster: self, daemon: daemon.clone(), others: all.to_vec() }
    }

    /// Cuts or restores the links between one daemon and the others, in both directions.
    pub fn set_isolated(&self, daemon: &Daemon, others: &[Daemon], cut: bool) {
        let name = daemon.kernel.settings.daemon.clone();
        for other in others.iter().filter(|other| other.address != daemon.address) {
            self.network.set_cut(&name, other.address, cut);
            self.network.set_cut(&other.kernel.settings.daemon, daemon.address, cut);
        }
    }
}

/// A daemon that is paused, or whose platform calls hang.
pub struct PausedDaemon<'a> {
    cluster: &'a TestCluster,
    daemon: Daemon,
    others: Vec<Daemon>,
}

impl PausedDaemon<'_> {
    /// Opens the daemon's gate and restores its links.
    pub fn resume(self) {
        self.cluster.set_gate(&self.daemon, true);
        self.cluster.set_isolated(&self.daemon, &self.others, false);
    }
}

/// Wraps a function of the platform so that each call waits until the gate is open.
fn gated<A: Send + 'static, T: Send + 'static>(
    gate: &watch::Receiver<bool>,
    function: PlatformFn<A, T>,
) -> PlatformFn<A, T> {
    let gate = gate.clone();
    Arc::new(move |argument| {
        let (mut gate, function) = (gate.clone(), function.clone());
        async move {
            // Waiting fails if the cluster was dropped while the gate was closed; the call then never completes.
            if gate.wait_for(|open| *open).await.is_err() {
                std::future::pending::<()>().await;
            }
            function(argument).await
        }
        .boxed()
    })
}

impl Daemon {
    /// Stops the daemon's tasks and removes its control listener; like a killed process, the daemon releases nothing.
    pub fn kill(&self, cluster: &TestCluster) {
        self.kernel.tasks.stop();
        cluster.network.remove(self.address);
    }

    /// Returns the address of the entry listener in the cluster's network.
    pub fn entry_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), 8080)
    }

    /// Sends a request of a team over a new connection to the entry listener; returns the status.
    pub async fn connect_and_send(
        &self,
        cluster: &TestCluster,
        team: &str,
    ) -> Result<u16, ClientError> {
        let client = HttpClient::new(cluster.network.network_of("caller"));
        let request = ClientRequest {
            method: Method::GET,
            path: "/s/s0/path",
            authorization: Some(&team_key(team)),
            headers: &[],
            body: Bytes::new(),
        };
        let response = client.send(self.entry_address(), request).await?;
        Ok(response.status.as_u16())
    }

    /// Passes a request to the entry routes, without a connection.
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

    /// Calls a control route as the operator, without a connection.
    pub async fn control(&self, method: Method, path: &str, body: &str) -> ControlResult {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let head = RequestHead {
            method,
            path: path.to_owned(),
            query: query.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
            authorization: Some(format!("Bearer {OPERATOR_KEY}")),
        };
        dispatch(&self.kernel, head, Bytes::from(body.to_owned())).await
    }

    /// Calls a control route as the operator and parses the JSON response.
    pub async fn control_json(&self, method: Method, path: &str, body: &str) -> serde_json::Value {
        let reply = self.control(method, path, body).await.expect("the operator's call succeeds");
        serde_json::from_slice(&reply.body).expect("the body is JSON")
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

/// Reads the body of a response and the headers that tests check.
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
