//! Workers of the platform, as PROTOCOL.md describes them, with their entries in the store.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, number, object, text};
use crate::store::Store;

/// Bounds of `sites/podstawka-prod.toml`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const LEASE_MAX_MS: u64 = 10_000;
const CHECKPOINT_MS: u64 = 1_000;
const RESTORE_MS: u64 = 100;
/// Time until a task that lasts is at work.
const STARTUP_MS: u64 = 700;
const ENDS_PER_REPORT: usize = 500;
const UPKEEP: Duration = Duration::from_millis(2_000);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// What a work unit does, read from the text of its job's specification (`name=value` pairs).
#[derive(Clone, Debug, Default)]
struct Work {
    /// Time of the work; zero for a work unit that lasts.
    work_ms: u64,
    saves: bool,
    /// Whether the work unit serves users of its own, or fills.
    serves: bool,
    fills: bool,
}

impl Work {
    fn read(spec: &str, index: &str) -> Work {
        let pairs: BTreeMap<&str, u64> = spec
            .split(' ')
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        let value = |name: &str| pairs.get(name).copied();
        let first_ms = value("first_ms").filter(|_| index == "0");
        Work {
            work_ms: first_ms.or(value("ms")).unwrap_or(0),
            saves: value("saves") == Some(1),
            serves: value("serves") == Some(1),
            fills: value("fills") == Some(1),
        }
    }
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    attempt: u64,
    work: Work,
    started: Instant,
    /// Work that the checkpoint of the start holds.
    resumed_ms: u64,
    pace: u64,
}

impl Run {
    fn done_ms(&self, now: Instant) -> u64 {
        let restore_ms = if self.resumed_ms > 0 { RESTORE_MS } else { 0 };
        let worked_ms = now.saturating_duration_since(self.started).as_millis() as u64;
        self.resumed_ms + worked_ms.saturating_sub(restore_ms)
    }

    fn percent(&self, now: Instant) -> u64 {
        let whole_ms = if self.work.work_ms == 0 { STARTUP_MS } else { self.work.work_ms };
        (self.done_ms(now) * 100 / whole_ms.max(1)).min(100)
    }

    /// Returns the checkpoint of some work, in the form of the page's example.
    fn checkpoint_of(&self, done_ms: u64) -> String {
        match self.work.saves && done_ms > 0 {
            true => format!("{done_ms:08x}{}", &self.task[8..16]),
            false => String::new(),
        }
    }

    fn saved(&self, now: Instant) -> String {
        let whole = self.done_ms(now) / CHECKPOINT_MS * CHECKPOINT_MS;
        self.checkpoint_of(whole.max(self.resumed_ms))
    }
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    saved: String,
}

/// One lifetime of a worker.
struct Life {
    born: u64,
    started: Instant,
    clock_base: u64,
    fence: u64,
    lease_until: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    ends_count: u64,
    /// Highest attempt of each task that was stopped or has ended.
    barred: BTreeMap<String, u64>,
    labels: Vec<String>,
    is_up: bool,
}

impl Life {
    fn new(labels: Vec<String>, clock_base: u64) -> Life {
        Life {
            born: unix_ms(),
            started: Instant::now(),
            clock_base,
            fence: 0,
            lease_until: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            ends_count: 0,
            barred: BTreeMap::new(),
            labels,
            is_up: true,
        }
    }

    fn clock(&self) -> u64 {
        self.clock_base + self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: Option<u64>) {
        if let Some(until) = until {
            self.lease_until = self.lease_until.max(until.min(self.clock() + LEASE_MAX_MS));
        }
    }

    fn end(&mut self, at: usize, how: &'static str, now: Instant) -> Run {
        let run = self.runs.remove(at);
        let saved = match how {
            "done" => String::new(),
            _ => run.checkpoint_of(run.done_ms(now)),
        };
        self.ends_count += 1;
        let number = self.ends_count;
        let (task, attempt) = (run.task.clone(), run.attempt);
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(attempt);
        self.ends.push(End { number, task, attempt, how, saved });
        run
    }
}

pub struct Worker {
    pub id: String,
    service: String,
    pub machine: String,
    life: Mutex<Life>,
    server: Mutex<Option<Arc<Server>>>,
    is_cut_from_store: AtomicBool,
    last_entry: Mutex<Option<Instant>>,
    seq: AtomicU64,
}

/// A wave of upkeep, and what the machine service knows of it.
pub struct Wave {
    number: u64,
    machines: Vec<String>,
    cap: usize,
    /// Highest fence number with which each machine was called.
    fences: BTreeMap<String, u64>,
    /// Time at which the upkeep of each machine began.
    begun: BTreeMap<String, Instant>,
    /// Upkeeps that began while as many machines as allowed were down.
    pub excess: Vec<String>,
}

/// A start that a worker has carried out.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Instant,
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    pub checkpoint: String,
    /// Labels of the lifetime that has begun the work unit.
    pub labels: Vec<String>,
}

/// State of a serving work unit at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: Instant,
    pub worker: String,
    pub latency_ms: u64,
    pub latency_alone_ms: u64,
    pub pace: u64,
}

type DelayStart = dyn Fn(&Arc<Worker>, &Request) -> Option<Duration> + Send + Sync;
type DelayCall = dyn Fn(&Request) -> Option<Duration> + Send + Sync;

pub struct Fleet {
    pub store: Arc<Store>,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    pub starts: Mutex<Vec<Start>>,
    pub samples: Mutex<Vec<Sample>>,
    /// Latency that the load of its own users causes to each serving work unit.
    pub load_ms: AtomicU64,
    /// Decides which starts get no answer and are carried out later.
    pub delay_start: Mutex<Option<Box<DelayStart>>>,
    pub wave: Mutex<Option<Wave>>,
    /// Decides which calls to the machine service get no answer and are carried out later.
    pub delay_call: Mutex<Option<Box<DelayCall>>>,
    log: Mutex<Vec<String>>,
    begun: Instant,
    changed: Condvar,
    changes: Mutex<u64>,
}

impl Fleet {
    pub fn new(store: Arc<Store>) -> Arc<Fleet> {
        let fleet = Arc::new(Fleet {
            store,
            workers: Mutex::default(),
            starts: Mutex::default(),
            samples: Mutex::default(),
            load_ms: AtomicU64::new(0),
            delay_start: Mutex::default(),
            wave: Mutex::default(),
            delay_call: Mutex::default(),
            log: Mutex::default(),
            begun: Instant::now(),
            changed: Condvar::new(),
            changes: Mutex::default(),
        });
        let ticking = fleet.clone();
        thread::spawn(move || {
            loop {
                ticking.advance();
                thread::sleep(Duration::from_millis(10));
            }
        });
        fleet
    }

    pub fn record(&self, line: impl Into<String>) {
        let at = self.begun.elapsed().as_millis();
        self.log.lock().unwrap().push(format!("{at:6} ms  {}", line.into()));
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().join("\n") + "\n"
    }

    pub fn since_begin(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.begun).as_millis()
    }

    /// Returns the runs on all workers that are up, as worker, task and attempt.
    pub fn running(&self) -> Vec<(String, String, u64)> {
        let workers = self.workers.lock().unwrap();
        let of_worker = |worker: &Arc<Worker>| -> Vec<_> {
            let life = worker.life.lock().unwrap();
            let runs = life.runs.iter();
            runs.map(|run| (worker.id.clone(), run.task.clone(), run.attempt)).collect()
        };
        workers.iter().flat_map(of_worker).collect()
    }

    fn notify(&self) {
        *self.changes.lock().unwrap() += 1;
        self.changed.notify_all();
    }

    pub fn add_worker(
        self: &Arc<Fleet>,
        number: usize,
        service: &str,
        labels: &[&str],
    ) -> Arc<Worker> {
        let labels = labels.iter().map(|label| (*label).to_owned()).collect();
        self.add_worker_on(&format!("m-{number:04x}"), number, service, labels)
    }

    fn add_worker_on(
        self: &Arc<Fleet>,
        machine: &str,
        number: usize,
        service: &str,
        labels: Vec<String>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: format!("i-{number:08x}"),
            service: service.to_owned(),
            machine: machine.to_owned(),
            life: Mutex::new(Life::new(labels, 480_000 + 1_000 * number as u64)),
            server: Mutex::default(),
            is_cut_from_store: AtomicBool::new(false),
            last_entry: Mutex::default(),
            seq: AtomicU64::new(0),
        });
        let (fleet, own) = (self.clone(), worker.clone());
        let server = Server::start(move |request| fleet.receive(&own, request));
        *worker.server.lock().unwrap() = Some(Arc::new(server));
        self.workers.lock().unwrap().push(worker.clone());
        let (fleet, own) = (self.clone(), worker.clone());
        thread::spawn(move || {
            loop {
                fleet.write_entry(&own);
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    /// Writes the status report of a worker; its entry is removed after three intervals of silence.
    fn write_entry(&self, worker: &Worker) {
        let life = worker.life.lock().unwrap();
        let mut last = worker.last_entry.lock().unwrap();
        if !life.is_up || worker.is_cut_from_store.load(Ordering::SeqCst) {
            if last.is_some_and(|at| at.elapsed() > 3 * HEARTBEAT) {
                *last = None;
                self.store.put("servers", &worker.id, None);
                self.record(format!("the entry of {} has expired", worker.id));
            }
            return;
        }
        *last = Some(Instant::now());
        let address = worker.server.lock().unwrap().as_ref().map(|server| server.address);
        let amount =
            object(vec![("cpu", number(32_000)), ("memMb", number(131_072)), ("gpu", number(0))]);
        let entry = object(vec![
            ("service", text(&*worker.service)),
            ("addr", text(address.map(|address| address.to_string()).unwrap_or_default())),
            ("zone", text("z-a")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("coldLeftMs", number(0)),
            ("capacity", amount),
            ("labels", Json::List(life.labels.iter().map(|label| text(&**label)).collect())),
            ("clockMs", number(life.clock())),
            ("born", number(life.born)),
            ("seq", number(worker.seq.fetch_add(1, Ordering::SeqCst))),
        ]);
        self.store.put("servers", &worker.id, Some(&entry));
    }

    /// Cuts a worker off from the store, or ends the cut.
    pub fn cut_from_store(&self, worker: &Worker, is_cut: bool) {
        worker.is_cut_from_store.store(is_cut, Ordering::SeqCst);
        self.record(format!("{} is cut off from the store: {is_cut}", worker.id));
        if !is_cut {
            self.write_entry(worker);
        }
    }

    /// Crashes a worker whose machine goes dark: nothing is answered any more, and no channel is reset.
    pub fn crash_dark(&self, worker: &Worker) {
        {
            let mut life = worker.life.lock().unwrap();
            life.is_up = false;
            life.runs.clear();
        }
        if let Some(server) = &*worker.server.lock().unwrap() {
            server.set_dark(true);
        }
        self.record(format!("{} crashes and is dark", worker.id));
        self.notify();
    }

    /// Crashes a worker: all that runs there is gone, and its channels are reset.
    pub fn crash(&self, worker: &Worker) {
        {
            let mut life = worker.life.lock().unwrap();
            life.is_up = false;
            life.runs.clear();
        }
        if let Some(server) = &*worker.server.lock().unwrap() {
            server.set_up(false);
        }
        self.record(format!("{} crashes", worker.id));
        self.notify();
    }

    /// Lets the channels to a worker that carry no request go silent for good; new ones work.
    pub fn silence_idle_channels(&self, worker: &Worker) {
        let server = worker.server.lock().unwrap().clone();
        let Some(server) = server else { return };
        // A request for a report is in progress nearly all the time; its channel goes on.
        while !server.is_busy() {
            thread::sleep(Duration::from_millis(5));
        }
        let (idle, busy) = server.silence_idle();
        self.record(format!("{}: {idle} open channels go silent, {busy} go on", worker.id));
    }

    /// Starts a crashed worker again under its id, as a new lifetime.
    pub fn restart(&self, worker: &Worker, labels: &[&str]) {
        let labels: Vec<String> = labels.iter().map(|label| (*label).to_owned()).collect();
        let born = {
            let mut life = worker.life.lock().unwrap();
            *life = Life::new(labels.clone(), 1_000);
            life.born
        };
        self.write_entry(worker);
        if let Some(server) = &*worker.server.lock().unwrap() {
            server.set_dark(false);
            server.set_up(true);
        }
        self.record(format!("{} is up again, born {born}, labels {labels:?}", worker.id));
    }

    /// Answers a call to the machine service.
    pub fn receive_call(self: &Arc<Fleet>, request: Request) -> Answer {
        let delay = self.delay_call.lock().unwrap().as_ref().and_then(|delay| delay(&request));
        match (request.path.as_str(), delay) {
            ("/-/machines", _) => Answer::Send(200, self.machines().to_string()),
            ("/-/machine-upkeep", None) => self.upkeep(&request),
            ("/-/machine-upkeep", Some(delay)) => {
                self.record(format!("machine service: no answer to {}", request.body));
                let fleet = self.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    fleet.record(format!("machine service: carries out late {}", request.body));
                    fleet.upkeep(&request);
                });
                Answer::Never
            }
            // No case has a standby pool.
            _ => Answer::Send(400, "{}".to_owned()),
        }
    }

    /// Writes the row that requests a wave.
    pub fn request_wave(
        &self,
        number_of_wave: u64,
        machines: &[&str],
        cap: usize,
        deadline_s: u64,
    ) {
        let machines: Vec<String> = machines.iter().map(|name| (*name).to_owned()).collect();
        let row = object(vec![
            ("wave", number(number_of_wave)),
            ("machines", Json::List(machines.iter().map(|name| text(&**name)).collect())),
            ("deadlineS", number(deadline_s)),
            ("cap", number(cap as u64)),
        ]);
        self.record(format!("wave {number_of_wave} of {machines:?}, {cap} at once"));
        *self.wave.lock().unwrap() = Some(Wave {
            number: number_of_wave,
            machines,
            cap,
            fences: BTreeMap::new(),
            begun: BTreeMap::new(),
            excess: Vec::new(),
        });
        self.store.put("op", &format!("wave/{number_of_wave}"), Some(&row));
    }

    /// Returns the machines of the wave that are down for their upkeep.
    fn down_machines(wave: &Wave) -> Vec<&String> {
        let down = wave.begun.iter().filter(|(_, since)| since.elapsed() < UPKEEP);
        down.map(|(machine, _)| machine).collect()
    }

    fn upkeep(self: &Arc<Fleet>, request: &Request) -> Answer {
        let refuse =
            |reason: &str| Answer::Send(409, object(vec![("reason", text(reason))]).to_string());
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let machine = body.get("machine").text().to_owned();
        let fence = request.headers.get("x-wasabiswitch-fence-token");
        let fence: u64 = fence.and_then(|fence| fence.parse().ok()).unwrap_or(0);
        let workers = self.workers.lock().unwrap().clone();
        let worker = workers.iter().rev().find(|worker| worker.machine == machine);
        let Some(worker) = worker.cloned() else { return Answer::Send(400, "{}".to_owned()) };
        let mut guard = self.wave.lock().unwrap();
        let Some(wave) = guard.as_mut() else { return refuse("wave") };
        let highest = wave.fences.entry(machine.clone()).or_default();
        if fence < *highest {
            return refuse("fence");
        }
        *highest = fence;
        if body.get("wave").number() != Some(wave.number) || !wave.machines.contains(&machine) {
            return refuse("wave");
        }
        if wave.begun.contains_key(&machine) {
            return Answer::Send(200, "{}".to_owned());
        }
        let down = Fleet::down_machines(wave);
        let line = format!("the upkeep of {machine} begins while {down:?} are down for theirs");
        self.record(&*line);
        if down.len() >= wave.cap {
            let at = self.since_begin(Instant::now());
            wave.excess.push(format!("LIMIT: {at} ms: {line}, {} at once are allowed", wave.cap));
        }
        wave.begun.insert(machine.clone(), Instant::now());
        drop(guard);
        self.crash(&worker);
        let fleet = self.clone();
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            let labels = worker.life.lock().unwrap().labels.clone();
            // No id is used again.
            let number = 100 + fleet.workers.lock().unwrap().len();
            let worker = fleet.add_worker_on(&machine, number, &worker.service, labels);
            fleet.record(format!("{machine} is up again with {}", worker.id));
        });
        Answer::Send(200, "{}".to_owned())
    }

    /// Returns the list of machines for the machine service.
    fn machines(&self) -> Json {
        let workers = self.workers.lock().unwrap();
        // The last worker of a machine is the present one.
        let present: BTreeMap<&String, &Arc<Worker>> =
            workers.iter().map(|worker| (&worker.machine, worker)).collect();
        let wave = self.wave.lock().unwrap();
        let down = wave.as_ref().map(Fleet::down_machines).unwrap_or_default();
        let machines = present.into_iter().map(|(machine, worker)| {
            let life = worker.life.lock().unwrap();
            let is_in_upkeep = down.contains(&machine);
            let is_down = is_in_upkeep || !life.is_up;
            let state = match (is_in_upkeep, is_down) {
                (true, _) => "upkeep",
                (false, true) => "down",
                (false, false) => "up",
            };
            let mut fields = vec![
                ("machine", text(&**machine)),
                ("pool", text(&*worker.service)),
                ("state", text(state)),
                ("zone", text("z-a")),
                ("labels", Json::List(life.labels.iter().map(|label| text(&**label)).collect())),
            ];
            if !is_down {
                fields.push(("id", text(&*worker.id)));
            }
            object(fields)
        });
        object(vec![("machines", Json::List(machines.collect())), ("nextToken", text(""))])
    }

    /// Ends the runs whose work is done or whose lease has run out.
    fn advance(&self) {
        let now = Instant::now();
        let workers = self.workers.lock().unwrap().clone();
        let mut ended = false;
        for worker in &workers {
            let mut life = worker.life.lock().unwrap();
            let lapsed = life.clock() > life.lease_until;
            let mut at = 0;
            while at < life.runs.len() {
                let run = &life.runs[at];
                let is_done = run.work.work_ms > 0 && run.done_ms(now) >= run.work.work_ms;
                let how = match (lapsed, is_done) {
                    (true, _) => Some("lapsed"),
                    (false, true) => Some("done"),
                    (false, false) => None,
                };
                match how {
                    Some(how) => {
                        let run = life.end(at, how, now);
                        ended = true;
                        self.record(format!(
                            "{} ends run {} of {} as {how}",
                            worker.id, run.attempt, run.task
                        ));
                    }
                    None => at += 1,
                }
            }
            self.sample(worker, &life, now);
        }
        if ended {
            self.notify();
        }
    }

    fn sample(&self, worker: &Worker, life: &Life, now: Instant) {
        if let Some((latency_ms, latency_alone_ms, pace)) = self.latency(life, now) {
            let worker = worker.id.clone();
            let sample = Sample { at: now, worker, latency_ms, latency_alone_ms, pace };
            self.samples.lock().unwrap().push(sample);
        }
    }

    /// Returns the tail latency of the serving work units of a worker, that without the ones that fill, and the pace of the latter.
    fn latency(&self, life: &Life, now: Instant) -> Option<(u64, u64, u64)> {
        life.runs.iter().find(|run| run.work.serves && run.percent(now) == 100)?;
        let fillers = life.runs.iter().filter(|run| run.work.fills && run.percent(now) == 100);
        let pace = fillers.map(|run| run.pace).sum::<u64>();
        let alone_ms = self.load_ms.load(Ordering::SeqCst);
        Some((alone_ms + pace * 4 / 10, alone_ms, pace))
    }

    fn receive(self: &Arc<Fleet>, worker: &Arc<Worker>, request: Request) -> Answer {
        let delay = self.delay_start.lock().unwrap();
        let late = delay.as_ref().and_then(|delay| delay(worker, &request));
        drop(delay);
        let Some(late) = late else { return self.carry_out(worker, &request) };
        self.record(format!("{} gets a start and does not answer: {}", worker.id, request.body));
        let (fleet, worker) = (self.clone(), worker.clone());
        thread::spawn(move || {
            thread::sleep(late);
            let answer = match fleet.carry_out(&worker, &request) {
                Answer::Send(status, body) => format!("{status} {body}"),
                Answer::Never => "none".to_owned(),
            };
            fleet.record(format!("{} carries the start out late, answer {answer}", worker.id));
        });
        Answer::Never
    }

    fn carry_out(self: &Arc<Fleet>, worker: &Worker, request: &Request) -> Answer {
        let is_meant =
            request.headers.get("x-wasabiswitch-expect-instance").is_none_or(|id| *id == worker.id);
        if !is_meant {
            return Answer::Send(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Send(400, "{}".to_owned());
        };
        let mut life = worker.life.lock().unwrap();
        let refuse = |life: &Life, reason: &str| {
            let body = object(vec![("clockMs", number(life.clock())), ("reason", text(reason))]);
            Answer::Send(409, body.to_string())
        };
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        let (task, attempt) = (body.get("task").text().to_owned(), body.get("attempt").number());
        let attempt = attempt.unwrap_or(0);
        let now = Instant::now();
        let is_run = |run: &Run| run.task == task && run.attempt == attempt;
        match request.path.as_str() {
            "/-/run-start" => {
                let until = body.get("untilMs").number().unwrap_or(0);
                if life.clock() >= until {
                    return refuse(&life, "late");
                }
                life.extend(Some(until));
                let is_known = life.runs.iter().any(is_run);
                let is_old = life.barred.get(&task).is_some_and(|barred| attempt <= *barred);
                if !is_known && is_old {
                    return refuse(&life, "old");
                }
                if !is_known {
                    let checkpoint = body.get("checkpoint").text().to_owned();
                    let index = task.rsplit('.').next().unwrap_or("");
                    let work = Work::read(body.get("spec").text(), index);
                    let resumed = checkpoint.get(..8).and_then(|h| u64::from_str_radix(h, 16).ok());
                    life.runs.push(Run {
                        task: task.clone(),
                        attempt,
                        work,
                        started: now,
                        resumed_ms: resumed.unwrap_or(0),
                        pace: 100,
                    });
                    self.record(format!(
                        "{} begins run {attempt} of {task}, fence {fence}",
                        worker.id
                    ));
                    self.starts.lock().unwrap().push(Start {
                        at: now,
                        worker: worker.id.clone(),
                        task,
                        attempt,
                        checkpoint,
                        labels: life.labels.clone(),
                    });
                }
            }
            "/-/run-stop" => {
                let barred = life.barred.entry(task.clone()).or_default();
                *barred = (*barred).max(attempt);
                if let Some(at) = life.runs.iter().position(is_run) {
                    life.end(at, "stopped", now);
                    self.record(format!("{} stops run {attempt} of {task}", worker.id));
                    drop(life);
                    self.notify();
                    life = worker.life.lock().unwrap();
                }
            }
            "/-/pace" => {
                let percent = body.get("percent").number().unwrap_or(100);
                for run in life.runs.iter_mut().filter(|run| is_run(run)) {
                    run.pace = percent;
                }
                self.record(format!("{} sets the pace of {task} to {percent}", worker.id));
            }
            "/-/hold" => {
                life.extend(body.get("untilMs").number());
                let cursor = body.get("ackCursor").number().unwrap_or(0);
                life.ends.retain(|end| end.number > cursor);
                let wait_ms = body.get("waitMs").number().unwrap_or(0).min(2_000);
                let deadline = now + Duration::from_millis(wait_ms);
                let born = life.born;
                while life.ends.is_empty() && life.born == born && Instant::now() < deadline {
                    drop(life);
                    let changes = self.changes.lock().unwrap();
                    let left = deadline.saturating_duration_since(Instant::now());
                    drop(self.changed.wait_timeout(changes, left.min(Duration::from_millis(50))));
                    life = worker.life.lock().unwrap();
                }
                return Answer::Send(200, self.report(&life).to_string());
            }
            _ => return Answer::Send(404, "{}".to_owned()),
        }
        Answer::Send(200, object(vec![("clockMs", number(life.clock()))]).to_string())
    }

    fn report(&self, life: &Life) -> Json {
        let now = Instant::now();
        let gauge = |run: &Run| match self.latency(life, now) {
            Some((latency_ms, _, _)) if run.work.serves => latency_ms,
            _ => 0,
        };
        let running = life.runs.iter().map(|run| {
            Json::List(vec![
                text(&*run.task),
                number(run.attempt),
                text(run.saved(now)),
                number(run.percent(now)),
                number(gauge(run)),
            ])
        });
        let finished = life.ends.iter().take(ENDS_PER_REPORT).map(|end| {
            Json::List(vec![
                number(end.number),
                text(&*end.task),
                number(end.attempt),
                text(end.how),
                text(&*end.saved),
            ])
        });
        object(vec![
            ("clockMs", number(life.clock())),
            ("born", number(life.born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ])
    }
}
