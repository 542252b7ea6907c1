//! The users' platform on loopback addresses: the store, the machine service and the workers.
//!
//! Each worker has an address of its own. The spec of a task tells its worker what to do:
//! `work=MS` (time at work; 0: until it is stopped), `spread=MS` and `over=N` (task I takes I % N times MS longer),
//! `save=MS` (interval of checkpoints), `gang=N` (members that work only together), `fail=MS` (time until it fails).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{serve, Answer, Request};
use crate::json::{base64, parse, quote, Json};

/// Bounds of the pages, as the site file of the small deployment has them.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_MS: u64 = 200;
pub const GANG_MS: u64 = 3_000;
pub const ROW_BYTES: usize = 65_536;
pub const TX_ENTRIES_MAX: usize = 100;
pub const TX_BYTES_MAX: usize = 1_000_000;
pub const TX_MS: u64 = 4;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    Up,
    /// The process is gone and its machine sends nothing, or the path to the daemons is cut: no call gets an answer.
    Dark,
    /// The process is gone, and its machine refuses connections.
    Gone,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub started: u64,
    pub work: u64,
    pub done_ms: f64,
    pub last: u64,
    pub save: u64,
    pub gang: usize,
    pub saved: String,
    pub stops_at: Option<u64>,
    pub fail: u64,
}

pub struct Worker {
    pub id: String,
    pub machine: String,
    pub pool: String,
    pub address: Option<SocketAddr>,
    pub mode: Mode,
    /// Whether the process runs; it does behind a cut.
    pub alive: bool,
    /// Whether the worker writes its entry into the store.
    pub listed: bool,
    pub born: u64,
    pub clock_base: u64,
    pub fence: u64,
    pub until: u64,
    pub runs: Vec<Run>,
    pub ends: Vec<(u64, String, u64, String, String)>,
    pub acked: u64,
    pub next_end: u64,
    pub barriers: BTreeMap<String, u64>,
    /// Set whenever the process ends, so that connections to the old process close.
    pub incarnation: u64,
}

/// One run as its worker saw it.
#[derive(Clone, Debug)]
pub struct RunLog {
    pub worker: String,
    pub attempt: u64,
    pub checkpoint: String,
    pub start: u64,
    pub end: Option<u64>,
    pub how: String,
}

/// A start that gets no answer and is carried out later.
pub struct LateStart {
    pub at: u64,
    pub worker: String,
    pub body: Json,
}

#[derive(Default)]
pub struct State {
    pub rows: BTreeMap<(String, String), (Option<String>, u64)>,
    pub version: u64,
    pub workers: Vec<Worker>,
    pub logs: BTreeMap<String, Vec<RunLog>>,
    pub record: Vec<String>,
    /// Number of the next starts to leave unanswered and to carry out this many milliseconds later.
    pub delay_starts: Option<(usize, u64)>,
    pub late: Vec<LateStart>,
    /// Writes that were refused because a row was too large.
    pub rows_too_large: usize,
    pub commits: usize,
    /// Ends of each task whose number the daemons have acknowledged: task, attempt, how.
    pub acknowledged: BTreeSet<(String, u64, String)>,
    /// Names of the owner in the order of their first row.
    pub owner_rows: Vec<(u64, String)>,
}

#[derive(Clone)]
pub struct World {
    pub start: Instant,
    pub state: Arc<Mutex<State>>,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

fn spec_field(spec: &str, name: &str) -> u64 {
    let found = spec.split(';').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn ok(body: String) -> Answer {
    Answer::Reply(200, body)
}

impl World {
    pub fn new() -> World {
        let start = Instant::now();
        let state: Arc<Mutex<State>> = Arc::default();
        let unbound = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut world = World { start, state, store: unbound, cloud: unbound };
        let copy = world.clone();
        world.store = serve(Arc::new(move |request| copy.handle_store(request)));
        let copy = world.clone();
        world.cloud = serve(Arc::new(move |request| copy.handle_cloud(&request)));
        let copy = world.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            copy.tick();
        });
        world
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    pub fn note(&self, text: &str) {
        let now = self.now();
        self.lock().record.push(format!("{now:>7} {text}"));
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.put(table, key, Some(base64(value.as_bytes())));
        let now = self.now();
        if table == "op" {
            state.record.push(format!("{now:>7} operator writes {table}/{key} {value}"));
        }
    }

    pub fn add_worker(&self, id: &str, machine: &str, pool: &str) {
        let copy = self.clone();
        let name = id.to_owned();
        let address = serve(Arc::new(move |request| copy.handle_worker(&name, request)));
        let now = self.now();
        self.lock().workers.push(Worker {
            id: id.to_owned(),
            machine: machine.to_owned(),
            pool: pool.to_owned(),
            address: Some(address),
            mode: Mode::Up,
            alive: true,
            listed: true,
            born: unix_ms(),
            // The worker has been up for some minutes.
            clock_base: 300_000u64.wrapping_sub(now),
            fence: 0,
            until: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            acked: 0,
            next_end: 0,
            barriers: BTreeMap::new(),
            incarnation: 0,
        });
        self.publish(id);
    }

    /// Writes the worker's entry into the store, or removes it.
    pub fn publish(&self, id: &str) {
        let mut state = self.lock();
        let Some(w) = state.workers.iter().find(|w| w.id == id) else { return };
        let entry = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"labels\":[\"a\",\"r-{}\"],\"born\":{},\"seq\":1}}",
            quote(&w.pool),
            w.address.expect("the worker has an address"),
            w.machine,
            w.born
        );
        let value = w.listed.then(|| base64(entry.as_bytes()));
        state.put("servers", id, value);
    }

    /// The worker's process ends; its machine is silent from then on.
    pub fn crash(&self, id: &str, mode: Mode) {
        let mut state = self.lock();
        let now = self.now();
        state.advance(now);
        state.record.push(format!("{now:>7} worker {id} crashes ({mode:?})"));
        let Some(w) = state.workers.iter_mut().find(|w| w.id == id) else { return };
        w.mode = mode;
        w.alive = false;
        w.incarnation += 1;
        let runs = std::mem::take(&mut w.runs);
        w.ends.clear();
        for run in &runs {
            state.end_log(id, run, now, "lost with its worker");
            if run.gang > 0 {
                state.end_gang(&step_of(&run.task), run.attempt, now, "broken");
            }
        }
    }

    /// The worker starts again under its id, and knows nothing of before.
    pub fn restart(&self, id: &str) {
        let now = self.now();
        {
            let mut state = self.lock();
            state.record.push(format!("{now:>7} worker {id} starts again under its id"));
            let Some(w) = state.workers.iter_mut().find(|w| w.id == id) else { return };
            w.mode = Mode::Up;
            w.alive = true;
            w.listed = true;
            w.born = unix_ms();
            w.clock_base = 0u64.wrapping_sub(now);
            w.fence = 0;
            w.until = 0;
            w.acked = 0;
            w.next_end = 0;
            w.barriers.clear();
            w.incarnation += 1;
        }
        self.publish(id);
    }

    pub fn set_mode(&self, id: &str, mode: Mode) {
        let now = self.now();
        let mut state = self.lock();
        state.record.push(format!("{now:>7} worker {id}: path to the daemons is {mode:?}"));
        if let Some(w) = state.workers.iter_mut().find(|w| w.id == id) {
            w.mode = mode;
        }
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = self.now();
        state.advance(now);
        let (due, open): (Vec<LateStart>, Vec<LateStart>) =
            std::mem::take(&mut state.late).into_iter().partition(|late| late.at <= now);
        state.late = open;
        for late in due {
            let alive = state.workers.iter().any(|w| w.id == late.worker && w.alive);
            if alive {
                let (status, body) = state.start(&late.worker, &late.body, now);
                state.record.push(format!(
                    "{now:>7} late start carried out on {}: task {} run {} -> {status} {body}",
                    late.worker,
                    late.body.get("task").str(),
                    late.body.get("attempt").u64()
                ));
            }
        }
    }

    // --- the store ---

    fn handle_store(&self, request: Request) -> Answer {
        match request.path.as_str() {
            "/-/rows-tx" => {
                std::thread::sleep(Duration::from_millis(TX_MS));
                self.commit(&request.body)
            }
            "/-/rows-get" => {
                std::thread::sleep(Duration::from_millis(TX_MS));
                self.read_rows(&request)
            }
            "/-/rows-feed" => self.feed(&request),
            _ => Answer::Reply(404, "{}".into()),
        }
    }

    fn commit(&self, body: &[u8]) -> Answer {
        let size = body.len();
        let tx = parse(body);
        let now = self.now();
        let mut state = self.lock();
        let (expected, puts, remove) =
            (tx.get("expectedRev").list(), tx.get("puts").list(), tx.get("remove").list());
        let name =
            |row: &Json| (row.get("table").str().to_owned(), row.get("key").str().to_owned());
        let too_large =
            puts.iter().find(|row| row.get("value").str().len() / 4 * 3 > ROW_BYTES + 2);
        if let Some(row) = too_large {
            let (table, key) = name(row);
            state.rows_too_large += 1;
            if state.rows_too_large <= 40 {
                let bytes = row.get("value").str().len() / 4 * 3;
                state
                    .record
                    .push(format!("{now:>7} store refuses row {table}/{key} of {bytes} bytes"));
            }
            return Answer::Reply(400, "{\"error\":\"row too large\"}".into());
        }
        if expected.len() + puts.len() + remove.len() > TX_ENTRIES_MAX || size > TX_BYTES_MAX {
            state.record.push(format!("{now:>7} store refuses a call of {size} bytes"));
            return Answer::Reply(400, "{\"error\":\"call too large\"}".into());
        }
        let closed = |row: &&Json| matches!(row.get("table").str(), "op" | "servers");
        if puts.iter().chain(remove).any(|row| closed(&row)) {
            return Answer::Reply(403, "{}".into());
        }
        let conflict =
            expected.iter().any(|row| state.version_of(&name(row)) != row.get("ver").u64());
        if conflict {
            let rows: Vec<String> =
                expected.iter().filter_map(|row| state.row_json(&name(row))).collect();
            return Answer::Reply(
                412,
                format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{now}}}",
                    rows.join(","),
                    state.version
                ),
            );
        }
        state.version += 1;
        state.commits += 1;
        let version = state.version;
        for row in puts {
            let name = name(row);
            if name.0 == "owner" {
                let value = row.get("value").str();
                if state.owner_rows.last().map(|(_, v)| v.as_str()) != Some(value) {
                    state.owner_rows.push((now, value.to_owned()));
                }
            }
            state.rows.insert(name, (Some(row.get("value").str().to_owned()), version));
        }
        for row in remove {
            state.rows.insert(name(row), (None, version));
        }
        ok(format!("{{\"ver\":{version},\"nowMs\":{now}}}"))
    }

    fn read_rows(&self, request: &Request) -> Answer {
        let (table, from) = (request.param("table"), request.param("from"));
        let limit = request.param("limit").parse().unwrap_or(500).min(500);
        let state = self.lock();
        let (mut rows, mut size, mut more) = (Vec::new(), 0, false);
        for (name, (value, _)) in state.rows.range((table.clone(), from)..) {
            if name.0 != table {
                break;
            }
            let Some(value) = value else { continue };
            if rows.len() >= limit || size + value.len() > TX_BYTES_MAX {
                more = true;
                break;
            }
            size += value.len();
            rows.extend(state.row_json(name));
        }
        let now = self.now();
        ok(format!(
            "{{\"rows\":[{}],\"hasMore\":{more},\"ver\":{},\"nowMs\":{now}}}",
            rows.join(","),
            state.version
        ))
    }

    fn feed(&self, request: &Request) -> Answer {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("waitMs").parse().unwrap_or(0);
        let until = self.now() + wait.min(30_000);
        loop {
            {
                let state = self.lock();
                let mut changed: Vec<(u64, String)> = state
                    .rows
                    .iter()
                    .filter(|((t, _), (_, version))| *t == table && *version > after)
                    .map(|((t, key), (value, version))| {
                        let body = match value {
                            Some(value) => format!("\"value\":\"{value}\""),
                            None => "\"tombstone\":true".to_owned(),
                        };
                        (*version, format!("{{\"table\":{},\"part\":\"\",\"key\":{},{body},\"ver\":{version}}}", quote(t), quote(key)))
                    })
                    .collect();
                if !changed.is_empty() || self.now() >= until {
                    changed.sort();
                    let rows: Vec<String> = changed.into_iter().map(|(_, row)| row).collect();
                    return ok(format!(
                        "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                        rows.join(","),
                        state.version,
                        self.now()
                    ));
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    // --- the machine service ---

    fn handle_cloud(&self, request: &Request) -> Answer {
        if request.path != "/-/machines" {
            return Answer::Reply(400, "{}".into());
        }
        let state = self.lock();
        let machines: Vec<String> = state
            .workers
            .iter()
            .map(|w| {
                let (up, id) = if w.alive { ("up", quote(&w.id)) } else { ("down", "\"\"".to_owned()) };
                format!(
                    "{{\"machine\":{},\"pool\":{},\"state\":\"{up}\",\"zone\":\"z-a\",\"labels\":[\"a\",\"r-{}\"],\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"id\":{id}}}",
                    quote(&w.machine),
                    quote(&w.pool),
                    w.machine
                )
            })
            .collect();
        ok(format!("{{\"machines\":[{}],\"nextToken\":null}}", machines.join(",")))
    }

    // --- the workers ---

    fn handle_worker(&self, id: &str, request: Request) -> Answer {
        let body = parse(&request.body);
        let expected = request.header("x-wasabiswitch-expect-instance").to_owned();
        let incarnation = {
            let state = self.lock();
            let Some(w) = state.workers.iter().find(|w| w.id == id) else { return Answer::Close };
            match w.mode {
                Mode::Dark => return Answer::Silence,
                Mode::Gone => return Answer::Close,
                Mode::Up => w.incarnation,
            }
        };
        if !expected.is_empty() && expected != id {
            return Answer::Reply(421, "{}".into());
        }
        let until = self.now() + body.get("waitMs").u64().min(2_000);
        loop {
            {
                let mut state = self.lock();
                let now = self.now();
                state.advance(now);
                let w =
                    state.workers.iter().find(|w| w.id == id).expect("workers stay in the list");
                if w.mode != Mode::Up || w.incarnation != incarnation {
                    return if w.mode == Mode::Dark { Answer::Silence } else { Answer::Close };
                }
                let (status, answer) = match request.path.as_str() {
                    "/-/run-start" => {
                        if let Some((left, delay)) =
                            state.delay_starts.filter(|(left, _)| *left > 0)
                        {
                            state.delay_starts = Some((left - 1, delay));
                            state.record.push(format!(
                                "{now:>7} start of {} run {} on {id}: no answer, to be carried out in {delay} ms",
                                body.get("task").str(),
                                body.get("attempt").u64()
                            ));
                            state.late.push(LateStart {
                                at: now + delay,
                                worker: id.to_owned(),
                                body,
                            });
                            return Answer::Silence;
                        }
                        state.start(id, &body, now)
                    }
                    "/-/run-stop" => state.stop(id, &body, now),
                    "/-/hold" => match state.hold(id, &body, now, now >= until) {
                        Some(answer) => answer,
                        None => {
                            drop(state);
                            std::thread::sleep(Duration::from_millis(5));
                            continue;
                        }
                    },
                    "/-/pace" => (200, format!("{{\"clockMs\":{}}}", state.clock(id, now))),
                    _ => (200, "{}".to_owned()),
                };
                return Answer::Reply(status, answer);
            }
        }
    }
}

impl State {
    pub fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        self.rows.insert((table.to_owned(), key.to_owned()), (value, self.version));
    }

    fn version_of(&self, name: &(String, String)) -> u64 {
        self.rows.get(name).filter(|(value, _)| value.is_some()).map_or(0, |(_, version)| *version)
    }

    fn row_json(&self, name: &(String, String)) -> Option<String> {
        let (value, version) = self.rows.get(name)?;
        let value = value.as_ref()?;
        Some(format!(
            "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":\"{value}\",\"ver\":{version}}}",
            quote(&name.0),
            quote(&name.1)
        ))
    }

    fn worker(&mut self, id: &str) -> &mut Worker {
        self.workers.iter_mut().find(|w| w.id == id).expect("workers stay in the list")
    }

    fn clock(&mut self, id: &str, now: u64) -> u64 {
        self.worker(id).clock_base.wrapping_add(now)
    }

    fn end_log(&mut self, worker: &str, run: &Run, now: u64, how: &str) {
        let logs = self.logs.entry(run.task.clone()).or_default();
        let found = logs
            .iter_mut()
            .rev()
            .find(|l| l.worker == worker && l.attempt == run.attempt && l.end.is_none());
        if let Some(log) = found {
            log.end = Some(now);
            log.how = how.to_owned();
        }
    }

    /// Ends a run on a worker that is up, and lists the end.
    fn end(&mut self, id: &str, run: Run, now: u64, how: &str) {
        self.end_log(id, &run, now, how);
        let saved =
            if how == "stopped" && run.save > 0 { checkpoint(&run) } else { run.saved.clone() };
        let w = self.worker(id);
        w.next_end += 1;
        let number = w.next_end;
        let barrier = w.barriers.entry(run.task.clone()).or_default();
        *barrier = (*barrier).max(run.attempt);
        let saved = if how == "done" { String::new() } else { saved };
        w.ends.push((number, run.task, run.attempt, how.to_owned(), saved));
    }

    /// The members of each gang's run: how many are present, and whether they carry the same checkpoint.
    fn gangs(&self) -> BTreeMap<(String, u64), (usize, BTreeSet<String>)> {
        let mut gangs: BTreeMap<(String, u64), (usize, BTreeSet<String>)> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| w.alive) {
            for run in w.runs.iter().filter(|run| run.gang > 0) {
                let entry = gangs.entry((step_of(&run.task), run.attempt)).or_default();
                entry.0 += 1;
                if run.done_ms == start_of(&run.saved) {
                    entry.1.insert(run.saved.clone());
                }
            }
        }
        gangs
    }

    pub fn advance(&mut self, now: u64) {
        let gangs = self.gangs();
        let ids: Vec<String> =
            self.workers.iter().filter(|w| w.alive).map(|w| w.id.clone()).collect();
        let mut ended_gangs: Vec<(String, u64, bool)> = Vec::new();
        for id in ids {
            let clock = self.clock(&id, now);
            let lapsed = clock >= self.worker(&id).until;
            let runs = std::mem::take(&mut self.worker(&id).runs);
            for mut run in runs {
                let together = run.gang == 0 || {
                    let (present, saved) = &gangs[&(step_of(&run.task), run.attempt)];
                    // Members work once all are present, and only from one common checkpoint.
                    *present >= run.gang && (saved.len() <= 1)
                };
                if together {
                    run.done_ms += now.saturating_sub(run.last) as f64;
                    if run.save > 0
                        && run.done_ms as u64 / run.save > start_of(&run.saved) as u64 / run.save
                    {
                        let steps = run.done_ms as u64 / run.save * run.save;
                        run.saved = format!("{steps:08x}{}", tag(&run.task));
                    }
                }
                run.last = run.last.max(now);
                let how = match run.stops_at {
                    Some(at) if at <= now => Some("stopped"),
                    _ if lapsed => Some("lapsed"),
                    None if run.fail > 0 && run.done_ms >= run.fail as f64 => Some("failed"),
                    None if run.work > 0 && run.done_ms >= run.work as f64 => Some("done"),
                    None if run.gang > 0
                        && !together
                        && now.saturating_sub(run.started) >= GANG_MS =>
                    {
                        Some("alone")
                    }
                    _ => None,
                };
                match how {
                    Some(how) => {
                        if run.gang > 0 {
                            ended_gangs.push((step_of(&run.task), run.attempt, how == "done"));
                        }
                        self.end(&id, run, now, how);
                    }
                    None => self.worker(&id).runs.push(run),
                }
            }
        }
        for (step, attempt, done) in ended_gangs {
            self.end_gang(&step, attempt, now, if done { "done" } else { "broken" });
        }
    }

    /// Ends the other members of a gang's run.
    fn end_gang(&mut self, step: &str, attempt: u64, now: u64, how: &str) {
        let ids: Vec<String> =
            self.workers.iter().filter(|w| w.alive).map(|w| w.id.clone()).collect();
        for id in ids {
            let runs = std::mem::take(&mut self.worker(&id).runs);
            for run in runs {
                if run.gang > 0 && run.attempt == attempt && step_of(&run.task) == step {
                    self.end(&id, run, now, how);
                } else {
                    self.worker(&id).runs.push(run);
                }
            }
        }
    }

    pub fn start(&mut self, id: &str, body: &Json, now: u64) -> (u16, String) {
        let clock = self.clock(id, now);
        let refuse =
            |reason: &str| (409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"));
        let fence = body.get("fence").u64();
        let until = body.get("untilMs").u64();
        let (task, attempt) = (body.get("task").str().to_owned(), body.get("attempt").u64());
        let w = self.worker(id);
        if fence < w.fence {
            return refuse("fence");
        }
        w.fence = fence;
        if until <= clock {
            return refuse("late");
        }
        w.until = w.until.max(until.min(clock + HOLD_MAX_MS));
        if w.runs.iter().any(|run| run.task == task && run.attempt == attempt) {
            return (200, format!("{{\"clockMs\":{clock}}}"));
        }
        if w.barriers.get(&task).is_some_and(|barrier| attempt <= *barrier) {
            return refuse("old");
        }
        let spec = body.get("spec").str();
        let index: u64 = task.rsplit('.').next().and_then(|i| i.parse().ok()).unwrap_or(0);
        let over = spec_field(spec, "over").max(1);
        let saved = body.get("checkpoint").str().to_owned();
        let mut work = spec_field(spec, "work");
        if work > 0 {
            work += spec_field(spec, "spread") * (index % over);
        }
        w.runs.push(Run {
            task: task.clone(),
            attempt,
            started: now,
            work,
            done_ms: start_of(&saved),
            last: now,
            save: spec_field(spec, "save"),
            gang: spec_field(spec, "gang") as usize,
            saved: saved.clone(),
            stops_at: None,
            fail: spec_field(spec, "fail"),
        });
        self.logs.entry(task).or_default().push(RunLog {
            worker: id.to_owned(),
            attempt,
            checkpoint: saved,
            start: now,
            end: None,
            how: String::new(),
        });
        (200, format!("{{\"clockMs\":{clock}}}"))
    }

    fn stop(&mut self, id: &str, body: &Json, now: u64) -> (u16, String) {
        let clock = self.clock(id, now);
        let w = self.worker(id);
        if body.get("fence").u64() < w.fence {
            return (409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}"));
        }
        w.fence = body.get("fence").u64();
        let (task, attempt) = (body.get("task").str().to_owned(), body.get("attempt").u64());
        let barrier = w.barriers.entry(task.clone()).or_default();
        *barrier = (*barrier).max(attempt);
        for run in w.runs.iter_mut().filter(|run| run.task == task && run.attempt == attempt) {
            run.stops_at.get_or_insert(now + STOP_MS / 2);
        }
        (200, format!("{{\"clockMs\":{clock}}}"))
    }

    fn hold(&mut self, id: &str, body: &Json, now: u64, waited: bool) -> Option<(u16, String)> {
        let clock = self.clock(id, now);
        let w = self.worker(id);
        if body.get("fence").u64() < w.fence {
            return Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}")));
        }
        w.fence = body.get("fence").u64();
        if !body.get("untilMs").is_null() {
            w.until = w.until.max(body.get("untilMs").u64().min(clock + HOLD_MAX_MS));
        }
        let cursor = body.get("ackCursor").u64();
        let mut acknowledged = Vec::new();
        if cursor > w.acked {
            w.acked = cursor;
            for end in w.ends.iter().filter(|end| end.0 <= cursor) {
                acknowledged.push((end.1.clone(), end.2, end.3.clone()));
            }
            w.ends.retain(|end| end.0 > cursor);
        }
        let answer = if w.ends.is_empty() && !waited {
            None
        } else {
            let running: Vec<String> = w
                .runs
                .iter()
                .map(|run| {
                    let percent = match run.work {
                        0 if run.fail > 0 => 0,
                        0 => 100,
                        work => (run.done_ms * 100.0 / work as f64).min(100.0) as u64,
                    };
                    format!("[{},{},\"{}\",{percent},0]", quote(&run.task), run.attempt, run.saved)
                })
                .collect();
            let finished: Vec<String> = w
                .ends
                .iter()
                .take(500)
                .map(|(n, task, attempt, how, saved)| {
                    format!("[{n},{},{attempt},\"{how}\",\"{saved}\"]", quote(task))
                })
                .collect();
            Some((
                200,
                format!(
                    "{{\"clockMs\":{clock},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                    w.born,
                    running.join(","),
                    finished.join(",")
                ),
            ))
        };
        self.acknowledged.extend(acknowledged);
        answer
    }
}

/// Work that a checkpoint contains, in milliseconds.
fn start_of(saved: &str) -> f64 {
    saved.get(..8).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0) as f64
}

fn checkpoint(run: &Run) -> String {
    format!("{:08x}{}", run.done_ms as u64, tag(&run.task))
}

fn tag(task: &str) -> String {
    task.chars().take(8).collect()
}

/// The name of a task without its index.
pub fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or_else(String::new, |(step, _)| step.to_owned())
}

pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
