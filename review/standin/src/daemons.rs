//! The project's daemons as separate processes, and a client of theirs.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::world::World;

pub const HOST: &str = "jobs.example";
pub const KEY: &str = "jbvk9m68k7b2ex5wa5xw";

/// Processes that run, with the names of their daemons.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

pub struct Daemon {
    pub name: String,
    pub entry: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// Three free loopback addresses; they are held until all are known, so that they differ.
fn free_addresses() -> [SocketAddr; 3] {
    let listeners =
        [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("loopback can be bound"));
    listeners.map(|listener| listener.local_addr().expect("the listener has an address"))
}

impl Daemon {
    /// Writes settings as the platform renders `deploy/settings.template`, and starts the daemon.
    pub fn start(world: &World, folder: &PathBuf, name: &str) -> Daemon {
        let [entry, control, readiness] = free_addresses();
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{
  "daemon": "{name}",
  "data_centre": "z-a",
  "entry_listen": "{entry}",
  "control_listen": "{control}",
  "peer_key": "wasabiswitch-between-daemons",
  "worker_threads": 1,
  "drain_notice_ms": 2200,
  "stop_timeout_ms": 3600,
  "termination_grace_s": 6,
  "platform": {{
    "fleet": {{
      "store": "{}",
      "instances": "{}",
      "status_kept_s": 120,
      "move_s": 1.5,
      "instance_calls_per_s": 64.0,
      "upkeep_s": 2,
      "processor_share": 0.25,
      "processor_cores": 1,
      "readiness_listen": "{readiness}"
    }}
  }}
}}
"#,
            world.store, world.cloud
        );
        std::fs::write(&settings, text).expect("the temporary folder can be written");
        let log = folder.join(format!("{name}.log"));
        let daemon = Daemon { name: name.to_owned(), entry, readiness, settings, log };
        daemon.spawn(world);
        daemon
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&self, world: &World) {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/wasabiswitchd")
            .env("WASABISWITCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                world.note(&format!("daemon {} starts", self.name));
                CHILDREN.lock().expect("no panic with the lock").push((self.name.clone(), child));
            }
            Err(error) => {
                eprintln!("the daemon does not start: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn kill(&self, world: &World) {
        end_children(|name| name == self.name);
        world.note(&format!("daemon {} is killed", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, "GET", "/-/ready", &[], "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// Kills the daemons that this program started and whose names satisfy `which`.
pub fn end_children(which: impl Fn(&str) -> bool) {
    let mut children = CHILDREN.lock().expect("no panic with the lock");
    for (name, child) in children.iter_mut() {
        if which(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    children.retain(|(name, _)| !which(name));
}

/// Sends a call of a client, and notes it and its answer; 0 stands for no answer.
pub fn client(
    world: &World,
    entry: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, String) {
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("Authorization", authorization.as_str()),
        ("Content-Type", "application/json"),
        ("X-Wasabiswitch-Deadline-Ms", "3000"),
    ];
    let sent = world.now();
    let answer = call(entry, method, path, &headers, body, Duration::from_millis(3_000));
    let (status, text) = answer.map_or((0, String::new()), |(status, body)| {
        (status, String::from_utf8_lossy(&body).into_owned())
    });
    let short: String = body.chars().take(300).collect();
    world.note(&format!("client {method} {path} {short} sent at {sent} -> {status} {text}"));
    (status, text)
}

/// Sends a call until it is answered with `wanted`, for at most `limit`; retries come every 300 ms.
pub fn client_until(
    world: &World,
    entries: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    wanted: u16,
    limit: Duration,
) -> bool {
    let until = Instant::now() + limit;
    let mut turn = 0;
    while Instant::now() < until {
        if client(world, entries[turn % entries.len()], method, path, body).0 == wanted {
            return true;
        }
        turn += 1;
        std::thread::sleep(Duration::from_millis(300));
    }
    false
}
