//! Runs a case of the review: the platform, the workers and the clients in this process, and daemons as processes of
//! their own.
//!
//! `world CASE FOLDER` writes `record.txt` into the folder. It exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod cases;
mod http;
mod json;
mod store;
mod workers;

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http::{Server, call};
use json::{Json, number, object, text};
use store::Store;
use workers::Fleet;

/// Program that the deploy file names.
const PROGRAM: &str = "target/release/wasabiswitchd";
/// Time that clients wait for an answer, as the sheets have it.
pub const CLIENT_WAIT: Duration = Duration::from_millis(3_000);
/// Number of a client's retries, as the sheets have it.
const RETRIES: usize = 4;
const HOST: &str = "jobs.example";

/// A daemon as a process of its own; it is killed when the value is dropped.
pub struct Daemon {
    pub entry: SocketAddr,
    readiness: SocketAddr,
    name: String,
    log: PathBuf,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A small deployment.
pub struct World {
    pub fleet: Arc<Fleet>,
    pub daemons: Vec<Daemon>,
    /// Whether the case plays its disruption.
    pub trouble: bool,
    store: Server,
    machines: Server,
    folder: PathBuf,
    next_daemon: AtomicUsize,
}

/// A queue of the manifest: its name, its service and the key of its only tenant.
pub struct Queue {
    pub name: &'static str,
    pub service: &'static str,
    pub key: &'static str,
}

impl World {
    pub fn new(trouble: bool, queues: &[Queue]) -> World {
        let store = Arc::new(Store::new());
        let fleet = Fleet::new(store.clone());
        let own = store.clone();
        let store_server = Server::start(move |request| own.handle(&request));
        let own = fleet.clone();
        let machines = Server::start(move |request| own.receive_call(request));
        let folder =
            std::env::temp_dir().join(format!("wasabiswitch-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        store.put("op", "config", Some(&manifest(queues)));
        let next_daemon = AtomicUsize::new(0);
        let daemons = Vec::new();
        World { fleet, daemons, trouble, store: store_server, machines, folder, next_daemon }
    }

    /// Starts a daemon, with other ports if another process has taken one of them meanwhile.
    pub fn start_daemon(&mut self) -> std::io::Result<()> {
        for _ in 0..5 {
            let mut daemon = self.spawn_daemon()?;
            thread::sleep(Duration::from_millis(150));
            if daemon.child.try_wait()?.is_none() {
                self.daemons.push(daemon);
                return Ok(());
            }
        }
        Err(std::io::Error::other("the daemon ends at its start"))
    }

    fn spawn_daemon(&self) -> std::io::Result<Daemon> {
        let name = format!("front-z-a-{}", self.next_daemon.fetch_add(1, Ordering::SeqCst) + 1);
        let [entry, control, readiness] = [free_port()?, free_port()?, free_port()?];
        // What deploy/settings.template gives for a machine of `sites/podstawka-prod.toml`.
        let settings = format!(
            r#"{{"daemon": "{name}", "data_centre": "z-a", "entry_listen": "{entry}",
                "control_listen": "{control}", "peer_key": "wasabiswitch-between-daemons",
                "worker_threads": 1, "drain_notice_ms": 2200, "stop_timeout_ms": 3600,
                "termination_grace_s": 6, "memory_mib": 260, "descriptors_max": 4100,
                "platform": {{"fleet": {{"store": "{}", "instances": "{}", "status_kept_s": 120,
                "lease_max_ms": 10000, "move_s": 1.5, "instance_calls_per_s": 64.0, "upkeep_s": 2,
                "processor_share": 0.25, "processor_cores": 1,
                "readiness_listen": "{readiness}"}}}}}}"#,
            self.store.address, self.machines.address
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let log_path = self.folder.join(format!("{name}.log"));
        let log = std::fs::File::create(&log_path)?;
        let child = Command::new(PROGRAM)
            .env("WASABISWITCH_SETTINGS", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.fleet.record(format!("daemon {name} starts, clients call it on {entry}"));
        Ok(Daemon { entry, readiness, name, log: log_path, child })
    }

    /// Waits until all daemons report that they are ready; returns whether they did in time.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        let is_ready = |daemon: &Daemon| {
            let answer = call(daemon.readiness, "GET", "/-/ready", &[], "", Duration::from_secs(1));
            matches!(answer, Some((200, _)))
        };
        while Instant::now() < deadline {
            if self.daemons.iter().all(is_ready) {
                self.fleet.record("all daemons are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends SIGTERM to the daemon that has taken the fleet over last, as its log says.
    pub fn terminate_leader(&self) -> Result<(), String> {
        let is_leader = |daemon: &&Daemon| {
            let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
            log.contains("took the fleet over")
        };
        let leader = self.daemons.iter().find(is_leader).ok_or("no daemon leads")?;
        self.fleet.record(format!("daemon {} gets SIGTERM", leader.name));
        let pid = leader.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        status.map(drop).map_err(|error| error.to_string())
    }

    pub fn client(&self) -> Client {
        Client {
            fleet: self.fleet.clone(),
            entries: self.daemons.iter().map(|daemon| daemon.entry).collect(),
            next: Arc::default(),
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs of the daemons: {}", self.folder.display());
        }
    }
}

/// Clients behind the platform's balancer, which sends each call to another daemon.
#[derive(Clone)]
pub struct Client {
    fleet: Arc<Fleet>,
    entries: Vec<SocketAddr>,
    next: Arc<AtomicUsize>,
}

impl Client {
    /// Makes one attempt at a call; `None` without an answer.
    pub fn attempt(
        &self,
        method: &str,
        queue: &Queue,
        job: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let entry = self.entries[self.next.fetch_add(1, Ordering::SeqCst) % self.entries.len()];
        let wait_ms = CLIENT_WAIT.as_millis().to_string();
        let authorization = format!("Bearer {}", queue.key);
        let headers = [
            ("host", HOST),
            ("authorization", &*authorization),
            ("content-type", "application/json"),
            ("x-wasabiswitch-deadline-ms", &*wait_ms),
        ];
        let path = format!("/{}/{job}", queue.name);
        let answer = call(entry, method, &path, &headers, body, CLIENT_WAIT);
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
        self.fleet.record(format!("client: {method} {path} -> {shown}"));
        answer
    }

    /// Hands a job in, with the retries of the sheets; returns whether it was accepted.
    pub fn submit(&self, queue: &Queue, job: &str, body: &Json) -> bool {
        let body = body.to_string();
        for _ in 0..=RETRIES {
            match self.attempt("POST", queue, job, &body) {
                Some((200..=299, _)) => return true,
                Some((400..=428, _)) => return false,
                Some((429 | 503, _)) => thread::sleep(Duration::from_millis(1_000)),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        false
    }

    /// Hands in small jobs until one is accepted, which shows that the fleet has an owner.
    pub fn wait_for_owner(&self, queue: &Queue) -> bool {
        (0..10).any(|number| {
            let step = object(vec![
                ("count", number_of(1)),
                ("cpu", number_of(500)),
                ("memMb", number_of(100)),
                ("estMs", number_of(200)),
            ]);
            let body = object(vec![("spec", text("ms=200")), ("phases", Json::List(vec![step]))]);
            self.submit(queue, &job_id(90_000 + number), &body)
        })
    }
}

fn number_of(value: u64) -> Json {
    number(value)
}

/// Returns the id of a job: 16 hexadecimal digits.
pub fn job_id(number: u64) -> String {
    // The multiplication spreads the digits, as in ids that clients draw.
    format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn manifest(queues: &[Queue]) -> Json {
    let routes = queues.iter().map(|queue| {
        object(vec![
            ("name", text(format!("r-{}", queue.name))),
            ("host", text(HOST)),
            ("prefix", text(format!("/{}/", queue.name))),
            ("kind", text("non_idempotent")),
            ("timeoutMs", number(3_000)),
            ("sloMs", number(600)),
            ("priority", number(0)),
            ("service", text(queue.service)),
            ("maxAttempts", number(4)),
            ("slackFactor", Json::Number(1.6)),
            ("public", Json::Bool(false)),
        ])
    });
    let mut names: Vec<&str> = queues.iter().map(|queue| queue.service).collect();
    names.sort_unstable();
    names.dedup();
    let services = names.iter().map(|name| {
        object(vec![
            ("name", text(*name)),
            ("healthPath", text("/health")),
            ("maxConns", number(64)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
            ("admissionCheck", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ])
    });
    let no_cap = || object(vec![("cpu", number(0)), ("memMb", number(0)), ("gpu", number(0))]);
    let tenants = queues.iter().map(|queue| {
        object(vec![
            ("name", text(format!("tenant-{}", queue.name))),
            ("apiKeys", Json::List(vec![text(queue.key)])),
            ("weight", number(1)),
            ("cap", no_cap()),
        ])
    });
    object(vec![
        ("version", number(7)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services.collect())),
        ("tenants", Json::List(tenants.collect())),
    ])
}

fn free_port() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("world CASE FOLDER");
        return ExitCode::from(2);
    };
    if !Path::new(PROGRAM).exists() {
        eprintln!("{PROGRAM} is not built");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "late-start-of-former-owner" => cases::late_start_of_former_owner(trouble),
        "late-start" => cases::late_start(trouble),
        "reborn-kind" => cases::reborn_kind(trouble),
        "late-upkeep" => cases::late_upkeep(trouble),
        "lost-pace" => cases::lost_pace(trouble),
        other => Err(format!("no case {other}")),
    };
    let (code, text) = match &verdict {
        Ok(cases::Outcome { broken, log }) => (u8::from(!broken.is_empty()), {
            let found = match broken.is_empty() {
                true => "the rule held".to_owned(),
                false => format!("THE RULE WAS BROKEN\n{}", broken.join("\n")),
            };
            format!("trouble: {trouble}\n{found}\n\n{log}")
        }),
        Err(reason) => (2, format!("trouble: {trouble}\nthe case could not run: {reason}\n")),
    };
    if std::fs::write(Path::new(folder).join("record.txt"), text).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
