//! The daemon processes of the soak test, and the faults that are injected into them by signals and proxies.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use http::Method;
use serde_json::Value;
use tokio::sync::watch;
use wasabiswitch_kernel::http::client::{ClientRequest, HttpClient};
use wasabiswitch_kernel::network::Network;
use wasabiswitch_standin::free_port;

use crate::proxy::{Proxy, ProxyMode};
use crate::server::{Platform, StoreMode, config_with_advice};
use crate::{ODD_ENTRY_DEPTH, OTHER_POOL, WORKER_COUNT};

/// Time after which a call without a response fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which the query of a daemon for the owner fails.
const OWNER_QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// Pool of the first configuration.
const FIRST_POOL: &str = "p";
/// Time to wait until started daemons serve calls.
pub const START_TIME: Duration = Duration::from_millis(700);

struct Daemon {
    settings: PathBuf,
    /// File with the output of the daemon's processes.
    output: PathBuf,
    entry: SocketAddr,
    control: SocketAddr,
    proxy: Proxy,
    store_mode: watch::Sender<StoreMode>,
    child: Option<Child>,
}

/// The daemons, whose processes are killed on drop.
pub struct DaemonGroup {
    platform: Platform,
    daemons: Vec<Daemon>,
    client: HttpClient,
    /// Version of the operator's newest configuration.
    config_version: u64,
    /// Whether the files with the output of the daemons are kept.
    keeps_output: bool,
}

impl Drop for DaemonGroup {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if self.keeps_output || std::thread::panicking() {
            eprintln!("output of the daemons: {:?}", self.output_files());
            return;
        }
        for file in self.output_files() {
            // A file that is left has no effect on other tests.
            let _ = std::fs::remove_file(file);
        }
    }
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port()))
}

impl Daemon {
    async fn new(number: usize, platform: &Platform, stop_settings: &str) -> Daemon {
        let (entry, control, ready) = (free_address(), free_address(), free_address());
        let (store_mode, receiver) = watch::channel(StoreMode::Normal);
        let proxy = Proxy::start(platform.serve_with_store_mode(receiver).await).await;
        let store = proxy.address;
        let text = format!(
            r#"{{"daemon": "d{number}", "data_centre": "dc", "entry_listen": "{entry}",
                "control_listen": "{control}", "peer_key": "peer-key-of-the-soak",
                {stop_settings}, "platform": {{"fleet": {{
                "store": "{store}", "instances": "{store}", "advice": "{store}", "readiness_listen": "{ready}"}}}}}}"#
        );
        let name = format!("wasabiswitch-soak-{}-{}.json", std::process::id(), entry.port());
        let settings = std::env::temp_dir().join(name);
        let output = settings.with_extension(format!("d{number}.log"));
        std::fs::write(&settings, text).expect("files can be written");
        Daemon { settings, output, entry, control, proxy, store_mode, child: None }
    }

    fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let output = OpenOptions::new().append(true).create(true).open(&self.output);
        let mut command = Command::new(env!("CARGO_BIN_EXE_wasabiswitchd"));
        command.arg("--settings").arg(&self.settings);
        command.stdout(Stdio::from(output.expect("files can be written")));
        self.child = Some(command.spawn().expect("the daemon starts"));
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            // The signal fails if the process has already ended.
            let _ = Command::new("kill").args([name, &id]).stderr(Stdio::null()).status();
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl DaemonGroup {
    /// Starts `count` daemons, each with its own proxy; `stop_settings` are the fields of the settings that govern a
    /// stop.
    pub async fn start(count: usize, platform: &Platform, stop_settings: &str) -> DaemonGroup {
        let mut daemons = Vec::new();
        for number in 0..count {
            let mut daemon = Daemon::new(number, platform, stop_settings).await;
            daemon.start();
            daemons.push(daemon);
        }
        tokio::time::sleep(START_TIME).await;
        DaemonGroup {
            platform: platform.clone(),
            daemons,
            client: HttpClient::new(Network::tcp()),
            config_version: 1,
            keeps_output: false,
        }
    }

    /// Keeps the files with the output of the daemons; returns their paths.
    pub fn keep_output(&mut self) -> Vec<PathBuf> {
        self.keeps_output = true;
        self.output_files()
    }

    fn output_files(&self) -> Vec<PathBuf> {
        self.daemons.iter().map(|daemon| daemon.output.clone()).collect()
    }

    /// Returns a caller of the daemons, which shares no connections with other callers.
    pub fn caller(&self) -> Caller {
        Caller { client: HttpClient::new(Network::tcp()), entries: self.entries() }
    }

    /// Injects a random fault into a daemon or the platform, or ends the faults of one daemon; other faults persist.
    pub async fn inject_fault(&mut self, rng: &mut Rng) {
        let number = rng.usize(..self.daemons.len());
        let daemon = &mut self.daemons[number];
        let delay = Duration::from_millis(rng.u64(5..120));
        match rng.u8(0..20) {
            0 => daemon.kill(),
            1 => daemon.signal("-TERM"),
            2 => daemon.signal("-STOP"),
            3 => daemon.signal("-HUP"),
            4 => drop(daemon.proxy.mode.send_replace(ProxyMode::Closed)),
            5 => drop(daemon.proxy.mode.send_replace(ProxyMode::Stalled)),
            6 => drop(daemon.proxy.mode.send_replace(ProxyMode::Slow(delay))),
            7 => drop(daemon.store_mode.send_replace(StoreMode::Refuse)),
            8 => drop(daemon.store_mode.send_replace(StoreMode::Hang)),
            9 => drop(daemon.store_mode.send_replace(StoreMode::LoseResponses)),
            10 => self.platform.drop_next_holds(),
            11 => self.platform.drop_starts([0, 2]),
            12 => self.platform.restart_worker(&format!("w{}", rng.u8(0..WORKER_COUNT as u8))),
            13 => self.put_odd_entries(),
            14 | 15 => self.change_pool(rng),
            _ => daemon.recover(),
        }
    }

    /// Writes a configuration in which the queue leads to one of the two pools.
    fn change_pool(&mut self, rng: &mut Rng) {
        self.config_version += 1;
        let pool = if rng.bool() { FIRST_POOL } else { OTHER_POOL };
        self.platform.put("op", "config", &config_with_advice(self.config_version, pool));
    }

    /// Writes entries that name no worker into the directory, and adds one to all other lists of the platform.
    fn put_odd_entries(&self) {
        let deep = "[".repeat(ODD_ENTRY_DEPTH) + &"]".repeat(ODD_ENTRY_DEPTH);
        let worker = |port: &str, cpu: &str| {
            format!(
                r#"{{"service":"p","addr":"127.0.0.1:{port}","zone":"dc","state":"ready",
                    "capacity":{{"cpu":{cpu},"memMb":1}}}}"#
            )
        };
        self.platform.put("servers", "odd & 1", deep.as_bytes());
        self.platform.put("servers", "odd & 2", worker("99999", "1").as_bytes());
        self.platform.put("servers", "odd & 3", worker("9", "99999999999999999999").as_bytes());
        self.platform.add_odd_entry(deep);
    }

    /// Returns the addresses at which the daemons serve callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.entry).collect()
    }

    /// Returns whether the daemon's process has not ended.
    pub fn is_running(&mut self, daemon: usize) -> bool {
        self.daemons[daemon].is_running()
    }

    /// Starts the daemon's process if it is not running.
    pub fn start_process(&mut self, daemon: usize) {
        self.daemons[daemon].start();
    }

    /// Requests a planned stop of the daemon's process.
    pub fn terminate_process(&self, daemon: usize) {
        self.daemons[daemon].signal("-TERM");
    }

    /// Kills the daemon's process and waits for its end.
    pub fn kill_process(&mut self, daemon: usize) {
        self.daemons[daemon].kill();
    }

    /// Sets how the store treats the calls of a daemon.
    pub fn set_store_mode(&self, daemon: usize, mode: StoreMode) {
        self.daemons[daemon].store_mode.send_replace(mode);
    }

    /// Sets how the proxy between a daemon and the platform behaves.
    pub fn set_proxy_mode(&self, daemon: usize, mode: ProxyMode) {
        self.daemons[daemon].proxy.mode.send_replace(mode);
    }

    /// Returns the owner of the fleet, as the first daemon that answers reports it.
    pub async fn owner(&self) -> Option<usize> {
        for daemon in &self.daemons {
            let request = ClientRequest {
                method: Method::GET,
                path: "/v1/fleet",
                authorization: None,
                headers: &[],
                body: Bytes::new(),
            };
            let response = self.client.send(daemon.control, request);
            let Ok(Ok(response)) = tokio::time::timeout(OWNER_QUERY_TIMEOUT, response).await else {
                continue;
            };
            let view: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            let name = view["owner"][0]["daemon"].as_str().and_then(|name| name.strip_prefix('d'));
            if let Some(number) = name.and_then(|number| number.parse().ok()) {
                return Some(number);
            }
        }
        None
    }

    /// Ends the faults of all daemons and restarts those that are not running.
    pub async fn end_faults(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::recover);
        tokio::time::sleep(START_TIME).await;
        self.daemons.iter_mut().for_each(Daemon::recover);
    }

    /// Sends a call to a daemon; returns status and body, with the status 0 if there was no response.
    pub async fn call(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let entry = self.daemons[daemon % self.daemons.len()].entry;
        send_call(&self.client, entry, method, path, body).await
    }
}

/// Caller of the daemons.
pub struct Caller {
    client: HttpClient,
    entries: Vec<SocketAddr>,
}

impl Caller {
    /// Sends a call to a daemon; returns status and body, with the status 0 if there was no response.
    pub async fn call(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let entry = self.entries[daemon % self.entries.len()];
        send_call(&self.client, entry, method, path, body).await
    }
}

async fn send_call(
    client: &HttpClient,
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> (u16, String) {
    let request = ClientRequest {
        method,
        path,
        authorization: Some("key"),
        headers: &[("host", "jobs.example")],
        body: Bytes::from(body.to_owned()),
    };
    let response = client.send(entry, request);
    match tokio::time::timeout(CALL_TIMEOUT, response).await {
        Ok(Ok(response)) => {
            (response.status.as_u16(), String::from_utf8_lossy(&response.body).into_owned())
        }
        _ => (0, String::new()),
    }
}

impl Daemon {
    /// Ends all faults of the daemon and starts its process if it is not running.
    fn recover(&mut self) {
        self.signal("-CONT");
        self.proxy.mode.send_replace(ProxyMode::Forward);
        self.store_mode.send_replace(StoreMode::Normal);
        self.start();
    }
}
