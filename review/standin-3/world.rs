//! A small deployment: three daemons as separate processes, and stand-ins for the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, call, serve};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;
use crate::workers::{self, Worker};

pub const HOST: &str = "mats.example";
pub const KEY: &str = "key-of-press-0123456789";
/// Time that the maintenance of a machine takes (`upkeepS`), and its move to another pool (`moveS`).
const UPKEEP: Duration = Duration::from_millis(2_000);
const MOVE: Duration = Duration::from_millis(1_500);
pub struct Machine {
    pub pool: String,
    pub state: &'static str,
    pub rack: String,
    pub worker: Option<Arc<Worker>>,
    pub address: SocketAddr,
    lives: u32,
    fence: u64,
    waves: BTreeSet<u64>,
}

/// A maintenance that the instance service has begun: machine, begin and end.
pub type Upkeep = (String, Instant, Instant);

#[derive(Default)]
pub struct Cloud {
    pub machines: BTreeMap<String, Machine>,
    pub upkeeps: Vec<Upkeep>,
    calls: u64,
    late_calls: u64,
}

/// Times of the advice service, in milliseconds: `decideMs` and `intervalMs`.
pub const DECIDE_MS: u64 = 200;
pub const INTERVAL_MS: u64 = 100;

/// Counts the orders to workers while half of them are late.
static ORDER: AtomicU32 = AtomicU32::new(0);

/// Returns whether an order is late, and by how much: 2 to 6 s.
fn draw(order: u32) -> (bool, Duration) {
    let drawn = order.wrapping_mul(2_654_435_761);
    (drawn >> 31 == 0, Duration::from_millis(2_000 + u64::from(drawn >> 8) % 4_000))
}

pub struct World {
    pub store: Store,
    pub cloud: Mutex<Cloud>,
    pub record: Arc<Record>,
    /// Decides for each call for maintenance, by its number, whether it gets no answer and is carried out later.
    pub late_upkeep: Mutex<Option<fn(u64) -> Option<Duration>>>,
    /// Whether half of the orders to workers get no answer and are carried out later.
    pub late_orders: Mutex<bool>,
    /// Workers that have crashed and started again.
    former: Mutex<Vec<Arc<Worker>>>,
    advice_turn: Mutex<u64>,
    advice_waiting: Mutex<u64>,
    pub daemons: Mutex<Vec<Daemon>>,
    folder: PathBuf,
}

pub struct Daemon {
    pub entry: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Returns an address with a free port below those that the system gives to outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let base = std::process::id().wrapping_mul(61);
    loop {
        let port = 12_000 + (base + NEXT.fetch_add(1, Ordering::Relaxed)) % 18_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl World {
    /// Starts the stand-ins with `machines` machines in the pool `press`, on racks of four.
    pub fn start(record: Record, machines: usize, config: &Json) -> Arc<World> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let world = Arc::new(World {
            store: Store::default(),
            cloud: Mutex::default(),
            record: Arc::new(record),
            late_upkeep: Mutex::default(),
            late_orders: Mutex::default(),
            former: Mutex::default(),
            advice_turn: Mutex::default(),
            advice_waiting: Mutex::default(),
            daemons: Mutex::default(),
            folder,
        });
        world.store.put("op", "config", Some(config));
        for number in 0..machines {
            world.add_machine(&format!("m-{:02}", number + 1), &format!("r1-{}", number / 4 + 1));
        }
        let of_workers = world.clone();
        workers::run(move || of_workers.workers());
        world
    }

    fn add_machine(self: &Arc<World>, id: &str, rack: &str) {
        let listener = listener();
        let machine = Machine {
            pool: "press".into(),
            state: "up",
            rack: rack.into(),
            worker: None,
            address: listener.local_addr().expect("an address"),
            lives: 0,
            fence: 0,
            waves: BTreeSet::new(),
        };
        self.cloud.lock().unwrap().machines.insert(id.into(), machine);
        let (world, name) = (self.clone(), id.to_owned());
        serve(
            listener,
            Arc::new(move |request| {
                let worker = world.cloud.lock().unwrap().machines[&name].worker.clone();
                if *world.late_orders.lock().unwrap() && worker.is_some() {
                    let (is_late, delay) = draw(ORDER.fetch_add(1, Ordering::Relaxed));
                    if is_late {
                        world.carry_out_later(&name, request, delay);
                        return Answer::Silence;
                    }
                }
                worker.map_or(Answer::Close, |worker| worker.handle(&request, false))
            }),
        );
        self.begin_life(id);
    }

    /// Starts a new worker on a machine, which registers itself.
    fn begin_life(&self, id: &str) {
        let mut cloud = self.cloud.lock().unwrap();
        let machine = cloud.machines.get_mut(id).expect("a machine");
        machine.lives += 1;
        let worker = Worker::new(format!("i-{}-{}", &id[2..], machine.lives), self.record.clone());
        self.store.put("servers", &worker.id, Some(&entry_of(machine, &worker)));
        machine.state = "up";
        machine.worker = Some(worker);
    }

    fn carry_out_later(self: &Arc<World>, machine: &str, request: Request, delay: Duration) {
        let (world, machine) = (self.clone(), machine.to_owned());
        thread::spawn(move || {
            thread::sleep(delay);
            let worker = world.cloud.lock().unwrap().machines[&machine].worker.clone();
            if let Some(worker) = worker {
                let _ = worker.handle(&request, true);
            }
        });
    }

    /// Crashes the worker of a machine, which starts again under its id after `down`.
    pub fn crash_and_restart(self: &Arc<World>, id: &str, down: Duration) {
        let former = {
            let mut cloud = self.cloud.lock().unwrap();
            let machine = cloud.machines.get_mut(id).expect("a machine");
            let Some(former) = machine.worker.take() else { return };
            machine.state = "down";
            former.end();
            former
        };
        self.former.lock().unwrap().push(former.clone());
        let (world, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(down);
            let worker = Worker::new(former.id.clone(), world.record.clone());
            let entry = {
                let mut cloud = world.cloud.lock().unwrap();
                let machine = cloud.machines.get_mut(&id).expect("a machine");
                machine.state = "up";
                machine.worker = Some(worker.clone());
                entry_of(machine, &worker)
            };
            world.record.line(&format!("the worker of {id} starts again"));
            world.store.put("servers", &worker.id, Some(&entry));
        });
    }

    /// Kills the daemon that owns the fleet, which starts again after `down`.
    pub fn kill_owner(self: &Arc<World>, down: Duration) {
        let mut newest = (0, 0);
        for number in 0..self.daemons.lock().unwrap().len() {
            let log = std::fs::read_to_string(self.folder.join(format!("daemon-{number}.log")));
            let log = log.unwrap_or_default();
            let terms = log.lines().filter_map(|line| line.split("term begins fence=").nth(1));
            let fences = terms.filter_map(|rest| rest.split(' ').next()?.parse::<u64>().ok());
            newest = newest.max((fences.max().unwrap_or(0), number));
        }
        let number = newest.1;
        {
            let mut daemons = self.daemons.lock().unwrap();
            let _ = daemons[number].child.kill();
            let _ = daemons[number].child.wait();
        }
        self.record.line(&format!("the owner, front-krk-a-{}, is killed", number + 1));
        let world = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            if let Some(child) = world.spawn_daemon(number) {
                world.daemons.lock().unwrap()[number].child = child;
            }
        });
    }

    fn spawn_daemon(&self, number: usize) -> Option<Child> {
        let log = self.folder.join(format!("daemon-{number}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).ok()?;
        Command::new("target/release/wasabiswitchd")
            .env_clear()
            .env("WASABISWITCH_SETTINGS", self.folder.join(format!("boot-{number}.json")))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .ok()
    }

    /// Returns all workers so far that have not left.
    pub fn all_workers(&self) -> Vec<Arc<Worker>> {
        let mut workers = self.workers();
        workers.extend(self.former.lock().unwrap().iter().cloned());
        workers
    }

    /// Ends the worker of a machine, which has left; its entry is removed.
    fn end_life(&self, cloud: &mut Cloud, id: &str) {
        let machine = cloud.machines.get_mut(id).expect("a machine");
        if let Some(worker) = machine.worker.take() {
            worker.end();
            self.store.put("servers", &worker.id, None);
        }
    }

    /// Returns the number of calls for maintenance that got no answer.
    pub fn late_calls(&self) -> u64 {
        self.cloud.lock().unwrap().late_calls
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let cloud = self.cloud.lock().unwrap();
        cloud.machines.values().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// Takes a machine down for maintenance or for a move; returns the status and the reason of a refusal.
    fn take_down(
        self: &Arc<World>,
        id: &str,
        wave: Option<u64>,
        pool: Option<&str>,
        fence: u64,
    ) -> (u16, &'static str) {
        let mut cloud = self.cloud.lock().unwrap();
        let Some(machine) = cloud.machines.get_mut(id) else { return (400, "") };
        if fence < machine.fence {
            return (409, "fence");
        }
        machine.fence = fence;
        if wave.is_some_and(|wave| machine.waves.contains(&wave))
            || pool.is_some_and(|pool| machine.pool == pool)
        {
            return (200, "");
        }
        if machine.state != "up" {
            return (409, "busy");
        }
        machine.state = if wave.is_some() { "upkeep" } else { "moving" };
        machine.waves.extend(wave);
        if let Some(pool) = pool {
            machine.pool = pool.to_owned();
        }
        let time = if wave.is_some() { UPKEEP } else { MOVE };
        if wave.is_some() {
            let now = Instant::now();
            cloud.upkeeps.push((id.to_owned(), now, now + UPKEEP));
            self.record.line(&format!("instance service: the maintenance of {id} begins"));
        }
        self.end_life(&mut cloud, id);
        let (world, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(time);
            world.begin_life(&id);
        });
        (200, "")
    }

    fn handle_cloud(self: &Arc<World>, request: &Request) -> Answer {
        if request.method == "GET" {
            return self.list_machines();
        }
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".into());
        };
        let fence = request.header("x-wasabiswitch-fence-token").parse().unwrap_or(0);
        let id = body.get("machine").str().to_owned();
        let (wave, pool) = match request.path.as_str() {
            "/-/machine-upkeep" => (body.get("wave").u64(), None),
            _ => (None, Some(body.get("pool").str().to_owned())),
        };
        let is_late = *self.late_upkeep.lock().unwrap();
        let number = {
            let mut cloud = self.cloud.lock().unwrap();
            cloud.calls += u64::from(wave.is_some());
            cloud.calls
        };
        if wave.is_some()
            && let Some(delay) = is_late.and_then(|is_late| is_late(number))
        {
            self.record.line(&format!(
                "instance service: call {number}, maintenance of {id}, gets no answer and is carried out {} ms later",
                delay.as_millis()
            ));
            self.cloud.lock().unwrap().late_calls += 1;
            let world = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let outcome = world.take_down(&id, wave, None, fence);
                world
                    .record
                    .line(&format!("instance service: call {number} is carried out: {outcome:?}"));
            });
            return Answer::Silence;
        }
        let (status, reason) = self.take_down(&id, wave, pool.as_deref(), fence);
        if wave.is_some() {
            self.record.line(&format!(
                "instance service: call {number}, maintenance of {id}, is answered {status} {reason}"
            ));
        }
        Answer::Reply(status, object(vec![("reason", Json::text(reason))]).write())
    }

    fn list_machines(&self) -> Answer {
        let cloud = self.cloud.lock().unwrap();
        let machines = cloud.machines.iter().map(|(id, machine)| {
            let worker =
                machine.worker.as_ref().map_or(Json::Null, |worker| Json::text(&worker.id));
            object(vec![
                ("machine", Json::text(id)),
                ("pool", Json::text(&machine.pool)),
                ("state", Json::text(machine.state)),
                ("zone", Json::text("krk-a")),
                ("labels", Json::Array(vec![Json::text("a"), Json::text(&machine.rack)])),
                ("capacity", capacity()),
                ("id", worker),
            ])
        });
        let machines = Json::Array(machines.collect());
        Answer::Reply(200, object(vec![("machines", machines), ("nextToken", Json::Null)]).write())
    }

    /// Answers for the workers of a call after their time; one call at a time, in the order of their arrival.
    fn handle_advice(&self, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".into());
        };
        let workers = body.get("workers").items();
        let phase = body.get("phase").str();
        let arrived = Instant::now();
        let turn = {
            let mut waiting = self.advice_waiting.lock().unwrap();
            let turn = *self.advice_turn.lock().unwrap();
            if *waiting - turn >= 32 {
                return Answer::Reply(429, "{}".into());
            }
            *waiting += 1;
            *waiting - 1
        };
        while *self.advice_turn.lock().unwrap() != turn {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(DECIDE_MS + INTERVAL_MS * workers.len() as u64));
        *self.advice_turn.lock().unwrap() += 1;
        self.record.line(&format!(
            "advice service: call {turn} for {phase} with {} workers is answered {} ms after its arrival",
            workers.len(),
            arrived.elapsed().as_millis()
        ));
        let granted = workers.iter().map(|worker| {
            Json::Array(vec![worker.clone(), Json::text(format!("ticket-{}", worker.str()))])
        });
        let granted = Json::Array(granted.collect());
        Answer::Reply(
            200,
            object(vec![("granted", granted), ("validMs", Json::number(3_000))]).write(),
        )
    }

    /// Starts `count` daemons with the command of the deploy file, and waits until they are ready.
    pub fn start_daemons(self: &Arc<World>, count: usize) -> bool {
        let stand_in = |handler: Box<dyn Fn(Request) -> Answer + Send + Sync>| {
            let listener = listener();
            let address = listener.local_addr().expect("an address");
            serve(listener, Arc::from(handler));
            address
        };
        let world = self.clone();
        let store = stand_in(Box::new(move |request| world.store.handle(&request)));
        let world = self.clone();
        let cloud = stand_in(Box::new(move |request| world.handle_cloud(&request)));
        let world = self.clone();
        let advice = stand_in(Box::new(move |request| world.handle_advice(&request)));
        for number in 0..count {
            let (entry, control, ready) = (free_address(), free_address(), free_address());
            let fleet = object(vec![
                ("store", Json::text(store.to_string())),
                ("instances", Json::text(cloud.to_string())),
                ("advice", Json::text(advice.to_string())),
                ("status_kept_s", Json::number(120)),
                ("lease_max_ms", Json::number(10_000)),
                ("move_s", Json::Number(1.5)),
                ("instance_calls_per_s", Json::number(64)),
                ("upkeep_s", Json::number(2)),
                ("processor_share", Json::Number(0.25)),
                ("processor_cores", Json::number(1)),
                ("readiness_listen", Json::text(ready.to_string())),
            ]);
            let settings = object(vec![
                ("daemon", Json::text(format!("front-krk-a-{}", number + 1))),
                ("data_centre", Json::text("krk-a")),
                ("entry_listen", Json::text(entry.to_string())),
                ("control_listen", Json::text(control.to_string())),
                ("peer_key", Json::text("wasabiswitch-between-daemons")),
                ("worker_threads", Json::number(1)),
                ("drain_notice_ms", Json::number(2_200)),
                ("stop_timeout_ms", Json::number(3_600)),
                ("termination_grace_s", Json::number(6)),
                ("memory_mib", Json::number(260)),
                ("descriptors_max", Json::number(4_100)),
                ("platform", object(vec![("fleet", fleet)])),
            ]);
            let path = self.folder.join(format!("boot-{number}.json"));
            std::fs::write(&path, settings.write()).expect("the settings can be written");
            let Some(child) = self.spawn_daemon(number) else { return false };
            self.record.line(&format!("daemon front-krk-a-{} starts", number + 1));
            self.daemons.lock().unwrap().push(Daemon { entry, ready, child });
        }
        let until = Instant::now() + Duration::from_secs(8);
        let ready: Vec<SocketAddr> = self.daemons.lock().unwrap().iter().map(|d| d.ready).collect();
        let is_ready = |address: &SocketAddr| {
            let answer = call(*address, "GET", "/-/ready", &[], "", Duration::from_millis(500));
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if ready.iter().all(is_ready) {
                // The first owner takes the fleet over.
                thread::sleep(Duration::from_millis(3_000));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all daemons, and removes their files unless they are to be kept.
    pub fn end(&self) {
        for daemon in self.daemons.lock().unwrap().iter_mut() {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    pub fn entry(&self, number: usize) -> SocketAddr {
        let daemons = self.daemons.lock().unwrap();
        daemons[number % daemons.len()].entry
    }

    /// Sends a call of a client to a daemon; `None` if it gets no answer in time.
    pub fn ask(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        body: &str,
        wait_ms: u64,
    ) -> Option<(u16, Json)> {
        let authorization = format!("Bearer {KEY}");
        let wait = wait_ms.to_string();
        let headers = [
            ("host", HOST),
            ("authorization", authorization.as_str()),
            ("x-wasabiswitch-deadline-ms", wait.as_str()),
            ("content-type", "application/json"),
        ];
        let timeout = Duration::from_millis(wait_ms);
        let answer = call(self.entry(daemon), method, path, &headers, body, timeout);
        answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Submits a job as a client does: up to four more times after a refusal or no answer, each at another daemon.
    pub fn submit(&self, path: &str, body: &str, name: &str) -> bool {
        for attempt in 0..5 {
            let answer = self.ask(attempt, "POST", path, body, 3_000).map(|(status, _)| status);
            self.record.line(&format!("client: POST {path} ({name}) answered {answer:?}"));
            match answer {
                Some(200..=299) => return true,
                Some(400..=428) => return false,
                _ => thread::sleep(Duration::from_millis(1_000)),
            }
        }
        false
    }

    pub fn state(&self, daemon: usize, path: &str) -> String {
        match self.ask(daemon, "GET", path, "", 3_000) {
            Some((200, body)) => body.get("state").str().to_owned(),
            Some((status, _)) => format!("answered {status}"),
            None => "no answer".to_owned(),
        }
    }
}

fn entry_of(machine: &Machine, worker: &Worker) -> Json {
    object(vec![
        ("service", Json::text(&machine.pool)),
        ("addr", Json::text(machine.address.to_string())),
        ("zone", Json::text("krk-a")),
        ("version", Json::text("v1")),
        ("slots", Json::number(8)),
        ("state", Json::text("ready")),
        ("coldLeftMs", Json::number(0)),
        ("capacity", capacity()),
        ("labels", Json::Array(vec![Json::text("a"), Json::text(&machine.rack)])),
        ("seq", Json::number(1)),
        ("born", Json::number(worker.born_ms)),
    ])
}

fn capacity() -> Json {
    object(vec![
        ("cpu", Json::number(32_000)),
        ("memMb", Json::number(131_072)),
        ("gpu", Json::number(0)),
    ])
}

/// The configuration: three queues of the pool `press`, one of them with advice, and an idle pool.
pub fn config() -> Json {
    let route = |name: &str, prefix: &str, advice: bool| {
        let mut fields = vec![
            ("name", Json::text(name)),
            ("host", Json::text(HOST)),
            ("prefix", Json::text(prefix)),
            ("kind", Json::text("non_idempotent")),
            ("timeoutMs", Json::number(3_000)),
            ("sloMs", Json::number(2_500)),
            ("priority", Json::number(0)),
            ("service", Json::text("press")),
            ("maxAttempts", Json::number(2)),
            ("slackFactor", Json::Number(2.2)),
            ("public", Json::Bool(false)),
        ];
        if advice {
            let times = vec![
                ("decideMs", Json::number(DECIDE_MS)),
                ("intervalMs", Json::number(INTERVAL_MS)),
                ("validMs", Json::number(3_000)),
            ];
            fields.push(("advice", object(times)));
        }
        object(fields)
    };
    let routes = vec![
        route("r-plates", "/plates/", false),
        route("r-advised", "/advised/", true),
        route("r-other", "/other/", false),
    ];
    let service = |name: &str| object(vec![("name", Json::text(name))]);
    let zero = object(vec![
        ("cpu", Json::number(0)),
        ("memMb", Json::number(0)),
        ("gpu", Json::number(0)),
    ]);
    let tenant = object(vec![
        ("name", Json::text("press-team")),
        ("apiKeys", Json::Array(vec![Json::text(KEY)])),
        ("weight", Json::number(10)),
        ("cap", zero),
    ]);
    object(vec![
        ("version", Json::number(3)),
        ("routes", Json::Array(routes)),
        ("services", Json::Array(vec![service("press")])),
        ("tenants", Json::Array(vec![tenant])),
        ("limits", object(Vec::new())),
    ])
}

/// Builds the body of a job with one step.
pub fn job(count: u64, cpu: u64, spec: &str, more: Vec<(&str, Json)>) -> String {
    let mut step = vec![
        ("count", Json::number(count)),
        ("cpu", Json::number(cpu)),
        ("memMb", Json::number(256)),
    ];
    step.extend(more);
    let phases = Json::Array(vec![object(step)]);
    object(vec![("spec", Json::text(spec)), ("phases", phases)]).write()
}
