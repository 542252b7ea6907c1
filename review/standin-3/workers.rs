//! Workers: they run what they are told to, under leases, and list what runs and what has ended.
//!
//! The text of a specification says what a run does: `work=MS` (it ends done after that much work), `fail=MS` (it fails after
//! that time), `last=1` (it works until it is stopped), `gang=N` (it works only beside the N - 1 others of its run) and `saves=1`
//! (it saves its progress with each second of work).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, object};
use crate::record::Record;

/// Longest time of a lease (`holdMaxMs`).
const HOLD_MAX_MS: u64 = 10_000;
/// Time for which a member of a gang waits for the others (`gangMs`).
const GANG_WAIT: Duration = Duration::from_millis(3_000);
/// Work after which progress is saved anew (`checkpointS`).
const SAVE_EVERY_MS: u64 = 1_000;
/// Most ends in one list.
const ENDS_MAX: usize = 500;
/// Time within which a run that has failed at once is listed.
const TICK: Duration = Duration::from_millis(5);

#[derive(Clone)]
struct Run {
    attempt: u32,
    spec: String,
    started: Instant,
    /// Time from which it works; a member of a gang waits first.
    works_since: Option<Instant>,
    /// Work with which it started, in milliseconds.
    resumed_ms: u64,
    /// The string that the start carried.
    carried: String,
    saved: String,
}

impl Run {
    fn field(&self, name: &str) -> Option<u64> {
        let pairs = self.spec.split(',').filter_map(|pair| pair.split_once('='));
        let mut pairs = pairs.filter(|(key, _)| *key == name);
        pairs.next().and_then(|(_, value)| value.parse().ok())
    }

    fn worked_ms(&self, now: Instant) -> u64 {
        let since = self.works_since.map_or(0, |since| (now - since).as_millis() as u64);
        self.resumed_ms + since
    }

    fn percent(&self, now: Instant) -> u64 {
        match self.field("work") {
            Some(work_ms) => (self.worked_ms(now) * 100 / work_ms.max(1)).min(99),
            None => 100,
        }
    }
}

#[derive(Default)]
struct State {
    is_down: bool,
    /// Time at which the lease was last found expired.
    expired_at: Option<Instant>,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest attempt of each task that was stopped or has ended.
    closed: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str, String)>,
    ends: u64,
    listed: u64,
    /// Number of the last end in an answer that was sent.
    read: u64,
    /// All attempts that have ended, with how, for the checks.
    history: Vec<(Instant, String, u32, &'static str)>,
}

/// One life of a worker.
pub struct Worker {
    pub id: String,
    pub born_ms: u64,
    started: Instant,
    clock_base_ms: u64,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
}

/// A start that a worker has begun on an order.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Instant,
    pub task: String,
    pub attempt: u32,
    pub worker: String,
    pub checkpoint: String,
}

impl Worker {
    pub fn new(id: String, record: Arc<Record>) -> Arc<Worker> {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        Arc::new(Worker {
            clock_base_ms: 100_000 + (born.as_nanos() as u64 % 900_000),
            id,
            born_ms: born.as_millis() as u64,
            started: Instant::now(),
            state: Mutex::default(),
            ended: Condvar::new(),
            record,
        })
    }

    fn clock_ms(&self) -> u64 {
        self.clock_base_ms + self.started.elapsed().as_millis() as u64
    }

    /// Ends the worker with all that it runs.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        let now = Instant::now();
        for (task, run) in std::mem::take(&mut state.runs) {
            state.history.push((now, task, run.attempt, "gone"));
        }
        self.ended.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().is_down
    }

    /// Returns all ends so far.
    pub fn history(&self) -> Vec<(Instant, String, u32, &'static str)> {
        self.state.lock().unwrap().history.clone()
    }

    /// Carries a request out; the answer is not sent if the request `is_late`.
    pub fn handle(&self, request: &Request, is_late: bool) -> Answer {
        if self.is_down() {
            return Answer::Close;
        }
        let expected = request.header("x-wasabiswitch-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Answer::Reply(421, "{}".into());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".into());
        };
        let fence = body.get("fence").u64().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if fence < state.fence {
                return self.refuse("fence");
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/-/run-start" => self.start(&body),
            "/-/run-stop" => self.stop(&body),
            "/-/hold" => self.hold(&body, is_late),
            "/-/pace" => self.answer(Vec::new()),
            _ => Answer::Reply(404, "{}".into()),
        }
    }

    fn answer(&self, mut fields: Vec<(&str, Json)>) -> Answer {
        fields.push(("clockMs", Json::number(self.clock_ms())));
        fields.push(("born", Json::number(self.born_ms)));
        Answer::Reply(200, object(fields).write())
    }

    fn refuse(&self, reason: &str) -> Answer {
        let clock_ms = Json::number(self.clock_ms());
        Answer::Reply(
            409,
            object(vec![("clockMs", clock_ms), ("reason", Json::text(reason))]).write(),
        )
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(until_ms) = body.get("untilMs").u64() {
            state.until_ms = state.until_ms.max(until_ms.min(self.clock_ms() + HOLD_MAX_MS));
        }
    }

    fn start(&self, body: &Json) -> Answer {
        let task = body.get("task").str().to_owned();
        let attempt = body.get("attempt").u64().unwrap_or(0) as u32;
        let mut state = self.state.lock().unwrap();
        if state.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
            self.extend(&mut state, body);
            return self.answer(Vec::new());
        }
        if body.get("untilMs").u64().unwrap_or(0) < self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(&mut state, body);
        if state.closed.get(&task).is_some_and(|closed| attempt <= *closed) {
            return self.refuse("old");
        }
        let carried = body.get("checkpoint").str().to_owned();
        let resumed_ms = u64::from_str_radix(carried.get(..8).unwrap_or("0"), 16).unwrap_or(0);
        let now = Instant::now();
        let mut run = Run {
            attempt,
            spec: body.get("spec").str().to_owned(),
            started: now,
            works_since: None,
            resumed_ms,
            saved: carried.clone(),
            carried,
        };
        if run.field("gang").is_none() {
            run.works_since = Some(now);
        }
        self.record.start(Start {
            at: now,
            task: task.clone(),
            attempt,
            worker: self.id.clone(),
            checkpoint: run.carried.clone(),
        });
        // A newer run of the task replaces the older one.
        self.finish(&mut state, &task, "stopped");
        state.runs.insert(task, run);
        self.answer(Vec::new())
    }

    fn stop(&self, body: &Json) -> Answer {
        let task = body.get("task").str().to_owned();
        let attempt = body.get("attempt").u64().unwrap_or(0) as u32;
        let mut state = self.state.lock().unwrap();
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(attempt);
        if state.runs.get(&task).is_some_and(|run| run.attempt <= attempt) {
            self.finish(&mut state, &task, "stopped");
        }
        self.answer(Vec::new())
    }

    fn finish(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.attempt);
        state.ends += 1;
        let number = state.ends;
        let saved = if how == "done" { String::new() } else { run.saved };
        state.ended.push((number, task.to_owned(), run.attempt, how, saved));
        state.history.push((Instant::now(), task.to_owned(), run.attempt, how));
        self.ended.notify_all();
    }

    /// Forgets the ends up to a cursor. An end counts as taken note of unless the worker's lease has expired since.
    fn take_note(&self, state: &mut State, cursor: u64) {
        let (noted, kept) =
            std::mem::take(&mut state.ended).into_iter().partition(|end| end.0 <= cursor);
        state.ended = kept;
        let noted: Vec<(u64, String, u32, &'static str, String)> = noted;
        let unread: Vec<&str> =
            noted.iter().filter(|end| end.0 > state.read).map(|end| end.1.as_str()).collect();
        if !unread.is_empty() {
            self.record.line(&format!(
                "worker {}: ackCursor {cursor} makes it forget ends that no answer has had: {}",
                self.id,
                unread.join(" ")
            ));
        }
        for (_, task, attempt, _, _) in noted {
            let ended = state.history.iter().rev().find(|end| end.1 == task && end.2 == attempt);
            if ended.is_some_and(|end| state.expired_at.is_none_or(|expired| expired < end.0)) {
                self.record.note_end(task, attempt);
            }
        }
    }

    fn hold(&self, body: &Json, is_late: bool) -> Answer {
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body);
        let cursor = body.get("ackCursor").u64().unwrap_or(0);
        self.take_note(&mut state, cursor);
        let wait_ms = body.get("waitMs").u64().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while state.ends <= state.listed && !state.is_down {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        if state.is_down {
            return Answer::Close;
        }
        let now = Instant::now();
        let running = state.runs.iter().map(|(task, run)| {
            Json::Array(vec![
                Json::text(task),
                Json::number(u64::from(run.attempt)),
                Json::text(&run.saved),
                Json::number(run.percent(now)),
                Json::number(0),
            ])
        });
        let running = Json::Array(running.collect());
        let ends: Vec<_> = state.ended.iter().take(ENDS_MAX).cloned().collect();
        if !is_late {
            state.read = state.read.max(ends.last().map_or(0, |end| end.0));
        }
        state.listed = state.listed.max(ends.last().map_or(0, |end| end.0));
        let finished = ends.into_iter().map(|(number, task, attempt, how, saved)| {
            Json::Array(vec![
                Json::number(number),
                Json::text(task),
                Json::number(u64::from(attempt)),
                Json::text(how),
                Json::text(saved),
            ])
        });
        self.answer(vec![("running", running), ("finished", Json::Array(finished.collect()))])
    }

    /// Advances what runs; the members of gangs begin in [`advance_gangs`].
    fn advance(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.until_ms < self.clock_ms() {
            state.expired_at = Some(now);
            let tasks: Vec<String> = state.runs.keys().cloned().collect();
            for task in tasks {
                self.finish(&mut state, &task, "lapsed");
            }
        }
        let mut ended = Vec::new();
        for (task, run) in &mut state.runs {
            if run.works_since.is_none() {
                continue;
            }
            let worked_ms = run.worked_ms(now);
            if run.field("saves").is_some() && worked_ms / SAVE_EVERY_MS > 0 {
                let saved_ms = worked_ms / SAVE_EVERY_MS * SAVE_EVERY_MS;
                if saved_ms > run.resumed_ms {
                    run.saved = format!("{saved_ms:08x}{:08x}", name_hash(gang_of(task)));
                }
            }
            let ran_ms = (now - run.started).as_millis() as u64;
            if run.field("fail").is_some_and(|fail_ms| ran_ms >= fail_ms) {
                ended.push((task.clone(), "failed"));
            } else if run.field("work").is_some_and(|work_ms| worked_ms >= work_ms) {
                ended.push((task.clone(), "done"));
            }
        }
        for (task, how) in ended {
            self.finish(&mut state, &task, how);
        }
    }
}

/// Returns the name of a task without its index: the step, which is the gang.
fn gang_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn name_hash(name: &str) -> u32 {
    name.bytes().fold(2_166_136_261, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(16_777_619))
}

/// Lets the members of each run of a gang begin to work together, and ends them together.
///
/// The members of one run have the same attempt, and carry the same saved value: a gang cannot go on from several points.
fn advance_gangs(workers: &[Arc<Worker>]) {
    struct Member {
        worker: Arc<Worker>,
        task: String,
        run: Run,
    }
    let mut gangs: BTreeMap<(String, u32), Vec<Member>> = BTreeMap::new();
    for worker in workers {
        let state = worker.state.lock().unwrap();
        for (task, run) in state.runs.iter().filter(|(_, run)| run.field("gang").is_some()) {
            let gang = (gang_of(task).to_owned(), run.attempt);
            let member = Member { worker: worker.clone(), task: task.clone(), run: run.clone() };
            gangs.entry(gang).or_default().push(member);
        }
    }
    let now = Instant::now();
    for members in gangs.into_values() {
        let size = members[0].run.field("gang").unwrap_or(1) as usize;
        let carried: BTreeSet<&str> = members.iter().map(|m| m.run.carried.as_str()).collect();
        let is_whole = members.len() == size;
        let has_begun = members.iter().any(|member| member.run.works_since.is_some());
        for member in &members {
            let mut state = member.worker.state.lock().unwrap();
            if has_begun && !is_whole {
                member.worker.finish(&mut state, &member.task, "broken");
            } else if !has_begun && is_whole && carried.len() == 1 {
                if let Some(run) = state.runs.get_mut(&member.task) {
                    run.works_since = Some(now);
                }
            } else if !has_begun && now - member.run.started > GANG_WAIT {
                member.worker.finish(&mut state, &member.task, "alone");
            }
        }
    }
}

/// Advances all workers until the process ends.
pub fn run(workers: impl Fn() -> Vec<Arc<Worker>> + Send + 'static) {
    thread::spawn(move || {
        loop {
            let workers = workers();
            advance_gangs(&workers);
            workers.iter().for_each(|worker| worker.advance());
            thread::sleep(TICK);
        }
    });
}
