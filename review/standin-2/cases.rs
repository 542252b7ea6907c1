//! The cases.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::json::{Json, number, object, text};
use crate::{CLIENT_WAIT, Client, Queue, World, job_id};

/// Bounds of `sites/podstawka-prod.toml`.
const CONTACT: Duration = Duration::from_millis(3_000);
const ACK: Duration = Duration::from_millis(4_000);
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(200);
const HARM: Duration = Duration::from_millis(4_000);

pub struct Outcome {
    /// What broke the rule; empty if it held.
    pub broken: Vec<String>,
    pub log: String,
}

fn outcome(world: &World, broken: Vec<String>) -> Result<Outcome, String> {
    for line in &broken {
        world.fleet.record(line);
    }
    Ok(Outcome { broken, log: world.fleet.log() })
}

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

fn start_world(world: &mut World, daemons: usize) -> Result<Client, String> {
    for _ in 0..daemons {
        world.start_daemon().map_err(|error| error.to_string())?;
    }
    match world.wait_until_ready() {
        true => Ok(world.client()),
        false => Err("the daemons do not become ready".to_owned()),
    }
}

fn job(spec: &str, step: Vec<(&str, Json)>) -> Json {
    object(vec![("spec", text(spec)), ("phases", Json::List(vec![object(step)]))])
}

fn small_job() -> Json {
    job(
        "ms=1000",
        vec![
            ("count", number(6)),
            ("cpu", number(1_800)),
            ("memMb", number(1_000)),
            ("estMs", number(1_000)),
        ],
    )
}

/// Hands in jobs of one work unit that lasts; returns their ids.
fn submit_lasting(client: &Client, queue: &Queue, count: u64) -> Result<Vec<String>, String> {
    let ids: Vec<String> = (0..count).map(|n| job_id(100 + n)).collect();
    for id in &ids {
        let step = vec![
            ("count", number(1)),
            ("cpu", number(500)),
            ("memMb", number(100)),
            ("longRunning", Json::Bool(true)),
        ];
        if !client.submit(queue, id, &job("serves=0", step)) {
            return Err("a job that lasts is not accepted".to_owned());
        }
    }
    Ok(ids)
}

/// Cancels jobs at once; returns what breaks the rules on it.
///
/// A cancel that has waited `ackMs` counts like one with an ack. Nothing is disrupted, so that all daemons are in touch.
fn cancel_all(world: &World, client: &Client, ids: &[String], queue: fn() -> Queue) -> Vec<String> {
    world.fleet.record("the jobs that last are cancelled");
    let cancelled = Instant::now();
    let cancels: Vec<_> = ids
        .iter()
        .map(|id| {
            let (client, id) = (client.clone(), id.clone());
            thread::spawn(move || {
                while cancelled.elapsed() < ACK {
                    let answer = client.attempt("DELETE", &queue(), &id, "");
                    if matches!(answer, Some((200..=299 | 410, _))) {
                        return cancelled.elapsed() <= ACK;
                    }
                    thread::sleep(Duration::from_millis(200));
                }
                false
            })
        })
        .collect();
    let total = cancels.len();
    let acked = cancels.into_iter().filter_map(|cancel| cancel.join().ok()).filter(|acked| *acked);
    let unacked = total - acked.count();
    let gone = ACK + CANCEL + STOP + seconds(0.2);
    thread::sleep(gone.saturating_sub(cancelled.elapsed()));
    let mut broken = Vec::new();
    for (worker, task, attempt) in world.fleet.running() {
        if ids.iter().any(|id| task.starts_with(id)) {
            broken.push(format!(
                "UNASKED: run {attempt} of {task} goes on at {worker} {gone:?} after the cancel of its job was sent"
            ));
        }
    }
    if total >= 3 && unacked * 10 > total {
        broken.push(format!(
            "Acks: {unacked} of {total} cancels of accepted jobs have no 2xx or 410 after {ACK:?}"
        ));
    }
    broken
}

/// A job whose work units last can never be done, beside the jobs of another tenant.
pub fn hopeless_service(trouble: bool) -> Result<Outcome, String> {
    /// The fewer there are, the longer it takes; 38 (the widest on the sheets) take about two minutes.
    const COUNT: u64 = 100;
    /// Time after which the play goes on in any case.
    const WAIT_MAX: Duration = Duration::from_secs(92);
    fn small() -> Queue {
        Queue { name: "preview", service: "portal", key: "key-of-the-small-tenant" }
    }
    let hopeless = Queue { name: "prep", service: "portal", key: "key-of-the-other-tenant" };
    let queues = [hopeless, small()];
    let mut world = World::new(trouble, &queues);
    for worker in 0..4 {
        world.fleet.add_worker(worker, "portal", &["a", &format!("r1-{worker}")]);
    }
    let client = start_world(&mut world, 3)?;
    let [hopeless, _] = &queues;
    if !client.wait_for_owner(&small()) {
        return Err("no job is accepted".to_owned());
    }
    let lasting = submit_lasting(&client, &small(), 6)?;
    let step = vec![
        ("count", number(COUNT)),
        ("cpu", number(200)),
        ("memMb", number(200)),
        ("longRunning", Json::Bool(true)),
        ("mayMiss", number(5)),
    ];
    let spec = if trouble { "fails=1" } else { "serves=0" };
    if !client.submit(hopeless, &job_id(1), &job(spec, step)) {
        return Err("the job of the other tenant is not accepted".to_owned());
    }
    let begun = Instant::now();
    let mut accepted = (0, 0);
    while begun.elapsed() < WAIT_MAX
        && world.fleet.store.refused_as_too_large.load(Ordering::SeqCst) < 3
    {
        let is_in = client.submit(&small(), &job_id(1_000 + accepted.1), &small_job());
        accepted = (accepted.0 + u64::from(is_in), accepted.1 + 1);
        thread::sleep(seconds(1.0));
    }
    world.fleet.record(format!(
        "{} runs of the other tenant have failed; {} of {} usual jobs were accepted",
        world.fleet.failures.load(Ordering::SeqCst),
        accepted.0,
        accepted.1
    ));
    let broken = cancel_all(&world, &client, &lasting, small);
    for n in 0..3 {
        client.attempt("POST", &small(), &job_id(5_000 + n), &small_job().to_string());
    }
    outcome(&world, broken)
}

/// A large job, whose work units save their progress, beside the jobs of another tenant.
pub fn large_job(trouble: bool) -> Result<Outcome, String> {
    const LARGE_COUNT: u64 = 4_000;
    /// The widest step of the sheets.
    const USUAL_COUNT: u64 = 32;
    let queues = [
        Queue { name: "quote", service: "portal", key: "key-of-the-large-tenant" },
        Queue { name: "preview", service: "portal", key: "key-of-the-small-tenant" },
    ];
    let mut world = World::new(trouble, &queues);
    for worker in 0..4 {
        world.fleet.add_worker(worker, "portal", &["a", "r1-1"]);
    }
    let client = start_world(&mut world, 3)?;
    let [large, small] = &queues;
    if !client.wait_for_owner(small) {
        return Err("no job is accepted".to_owned());
    }
    let lasting = submit_lasting(&client, small, 6)?;
    let count = if trouble { LARGE_COUNT } else { USUAL_COUNT };
    let step = vec![
        ("count", number(count)),
        ("cpu", number(10)),
        ("memMb", number(10)),
        ("estMs", number(30_000)),
        ("savesProgress", Json::Bool(true)),
    ];
    if !client.submit(large, &job_id(1), &job("ms=30000 first_ms=8000 saves=1", step)) {
        return Err("the large job is not accepted".to_owned());
    }
    // Usual jobs of the other tenant follow, while the large job runs.
    let accepted = Arc::new(AtomicUsize::new(0));
    let traffic: Vec<_> = (0..24)
        .map(|n| {
            let (client, accepted) = (client.clone(), accepted.clone());
            thread::sleep(seconds(0.5));
            thread::spawn(move || {
                let queue =
                    Queue { name: "preview", service: "portal", key: "key-of-the-small-tenant" };
                if client.submit(&queue, &job_id(1_000 + n), &small_job()) {
                    accepted.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let broken = cancel_all(&world, &client, &lasting, || Queue {
        name: "preview",
        service: "portal",
        key: "key-of-the-small-tenant",
    });
    for thread in traffic {
        let _ = thread.join();
    }
    world
        .fleet
        .record(format!("{} of 24 usual jobs were accepted", accepted.load(Ordering::SeqCst)));
    outcome(&world, broken)
}

/// A worker that is cut off from the store crashes and starts again under its id, as one of another kind.
pub fn reborn_kind(trouble: bool) -> Result<Outcome, String> {
    let queues = [Queue { name: "render", service: "studio", key: "key-of-the-studio" }];
    let mut world = World::new(trouble, &queues);
    let kinds = ["a", "a", "a", "b", "b"];
    let workers: Vec<_> = (0..kinds.len())
        .map(|n| world.fleet.add_worker(n, "studio", &[kinds[n], &format!("r1-{n}")]))
        .collect();
    let client = start_world(&mut world, 3)?;
    let [queue] = &queues;
    if !client.wait_for_owner(queue) {
        return Err("no job is accepted".to_owned());
    }
    let body = job(
        "ms=1000",
        vec![
            ("count", number(6)),
            ("cpu", number(1_800)),
            ("memMb", number(1_000)),
            ("estMs", number(1_000)),
            ("requiredLabel", text("a")),
        ],
    );
    let ids: Vec<String> = (0..40).map(job_id).collect();
    let mut traffic = Vec::new();
    for (n, id) in ids.iter().enumerate() {
        if n == 10 && trouble {
            // One of five workers: a share of 0.2, for 5 s.
            let (fleet, worker) = (world.fleet.clone(), workers[0].clone());
            traffic.push(thread::spawn(move || {
                fleet.cut_from_store(&worker, true);
                thread::sleep(seconds(0.5));
                fleet.crash(&worker);
                thread::sleep(seconds(0.5));
                fleet.restart(&worker, &["b", "r1-0"]);
                thread::sleep(seconds(4.0));
                fleet.cut_from_store(&worker, false);
            }));
        }
        let (client, id, body) = (client.clone(), id.clone(), body.clone());
        traffic.push(thread::spawn(move || {
            let queue = Queue { name: "render", service: "studio", key: "key-of-the-studio" };
            client.submit(&queue, &id, &body);
        }));
        thread::sleep(seconds(0.35));
    }
    for thread in traffic {
        let _ = thread.join();
    }
    thread::sleep(seconds(3.0));
    let starts = world.fleet.starts.lock().unwrap().clone();
    let mut counts: BTreeMap<(String, String), usize> = BTreeMap::new();
    let mut broken = Vec::new();
    for start in starts.iter().filter(|start| ids.iter().any(|id| start.task.starts_with(id))) {
        *counts.entry((start.worker.clone(), start.labels[0].clone())).or_default() += 1;
        if start.labels[0] != "a" {
            broken.push(format!(
                "ROUTE: {} ms: {} begins run {} of {} (requiredLabel a), its labels are {:?}",
                world.fleet.since_begin(start.at),
                start.worker,
                start.attempt,
                start.task,
                start.labels
            ));
        }
    }
    world.fleet.record(format!("starts by worker and kind: {counts:?}"));
    outcome(&world, broken)
}

/// Open channels to a worker go silent, and an order on the pace of a work unit that fills is lost.
pub fn lost_pace(trouble: bool) -> Result<Outcome, String> {
    /// Latency by a work unit's own users while they are few, and while they are many.
    const FEW_MS: u64 = 8;
    const MANY_MS: u64 = 75;
    const TARGET_MS: u64 = 100;
    /// Number of work units that fill beside one that serves, as on the sheets.
    const FILLERS: u64 = 2;
    let queues = [Queue { name: "prep", service: "shop", key: "key-of-the-shop" }];
    let mut world = World::new(trouble, &queues);
    world.fleet.load_ms.store(FEW_MS, Ordering::SeqCst);
    let workers: Vec<_> =
        (0..2).map(|n| world.fleet.add_worker(n, "shop", &["a", &format!("r1-{n}")])).collect();
    let client = start_world(&mut world, 3)?;
    let [queue] = &queues;
    if !client.wait_for_owner(queue) {
        return Err("no job is accepted".to_owned());
    }
    let step = |fills: bool| {
        let mut step = vec![
            ("count", number(if fills { 2 * FILLERS } else { 2 })),
            ("cpu", number(3_000)),
            ("memMb", number(10_000)),
            ("longRunning", Json::Bool(true)),
            ("maxPerServer", number(if fills { FILLERS } else { 1 })),
        ];
        match fills {
            true => step.push(("fills", Json::Bool(true))),
            false => step.push(("latencyTargetMs", number(TARGET_MS))),
        }
        step
    };
    let is_in = client.submit(queue, &job_id(1), &job("serves=1", step(false)))
        && client.submit(queue, &job_id(2), &job("fills=1", step(true)));
    if !is_in {
        return Err("the jobs that last are not accepted".to_owned());
    }
    thread::sleep(seconds(5.0));
    if trouble {
        world.fleet.silence_idle_channels(&workers[0]);
    }
    // Later than `contactMs`, so that no impairment is near.
    thread::sleep(CONTACT + seconds(1.0));
    world.fleet.record("the users become many");
    world.fleet.load_ms.store(MANY_MS, Ordering::SeqCst);
    let since = Instant::now();
    thread::sleep(seconds(20.0));
    let samples = world.fleet.samples.lock().unwrap().clone();
    let mut broken = Vec::new();
    for worker in workers.iter().map(|worker| &worker.id) {
        let mut harmed_since: Option<Instant> = None;
        let mut longest = Duration::ZERO;
        for sample in samples.iter().filter(|s| s.worker == *worker && s.at >= since) {
            let is_harmed = sample.latency_ms > TARGET_MS
                && sample.latency_alone_ms <= TARGET_MS
                && sample.pace > 0;
            harmed_since = if is_harmed { harmed_since.or(Some(sample.at)) } else { None };
            longest = longest.max(harmed_since.map_or(Duration::ZERO, |since| sample.at - since));
        }
        world.fleet.record(format!("{worker}: longest time over the target {longest:?}"));
        if longest > HARM {
            broken.push(format!(
                "HARM: the serving work unit on {worker} is over its target of {TARGET_MS} ms for {longest:?} on end by \
                 those that fill beside it, and these work on"
            ));
        }
    }
    outcome(&world, broken)
}

/// A worker with a member of a gang crashes, and the gang starts again.
pub fn gang_checkpoints(trouble: bool) -> Result<Outcome, String> {
    const MEMBERS: u64 = 4;
    let queues = [Queue { name: "batch", service: "desk", key: "key-of-the-desk" }];
    let mut world = World::new(trouble, &queues);
    let workers: Vec<_> = (0..8)
        .map(|n| world.fleet.add_worker(n, "desk", &["a", &format!("r1-{}", n / 4)]))
        .collect();
    let client = start_world(&mut world, 3)?;
    let [queue] = &queues;
    if !client.wait_for_owner(queue) {
        return Err("no job is accepted".to_owned());
    }
    let body = job(
        &format!("ms=8000 saves=1 gang={MEMBERS}"),
        vec![
            ("count", number(MEMBERS)),
            ("cpu", number(3_800)),
            ("memMb", number(7_800)),
            ("estMs", number(8_000)),
            ("gang", Json::Bool(true)),
            ("savesProgress", Json::Bool(true)),
            ("maxPerServer", number(1)),
        ],
    );
    let id = job_id(1);
    if !client.submit(queue, &id, &body) {
        return Err("the gang is not accepted".to_owned());
    }
    thread::sleep(seconds(3.7));
    if trouble {
        // One of eight workers: a share of 0.125, for 3 s.
        let start =
            world.fleet.starts.lock().unwrap().iter().find(|s| s.task.starts_with(&id)).cloned();
        let Some(start) = start else { return Err("the gang does not start".to_owned()) };
        let worker = workers.iter().find(|worker| worker.id == start.worker);
        let worker = worker.ok_or("the worker is unknown")?.clone();
        world.fleet.crash(&worker);
        let fleet = world.fleet.clone();
        thread::spawn(move || {
            thread::sleep(seconds(3.0));
            fleet.restart(&worker, &["a", "r1-0"]);
        });
    }
    let deadline = Instant::now() + seconds(30.0);
    while Instant::now() < deadline {
        thread::sleep(seconds(1.0));
        let answer = client.attempt("GET", queue, &id, "");
        if answer.is_some_and(|(_, body)| body.contains("done")) {
            break;
        }
    }
    thread::sleep(CLIENT_WAIT / 3);
    let starts = world.fleet.starts.lock().unwrap().clone();
    let mut by_attempt: BTreeMap<u64, BTreeMap<String, String>> = BTreeMap::new();
    for start in starts.iter().filter(|start| start.task.starts_with(&id)) {
        let members = by_attempt.entry(start.attempt).or_default();
        members.insert(start.task.clone(), start.checkpoint.clone());
    }
    let mut broken = Vec::new();
    for (attempt, members) in &by_attempt {
        world
            .fleet
            .record(format!("run {attempt} of the gang: members and checkpoints {members:?}"));
        if members.values().collect::<BTreeSet<_>>().len() > 1 {
            broken.push(format!(
                "UNASKED: run {attempt} of the gang is started with different checkpoints: {members:?}"
            ));
        }
    }
    outcome(&world, broken)
}

/// A call for the upkeep of a machine gets no answer and is carried out seconds later.
pub fn late_upkeep(trouble: bool) -> Result<Outcome, String> {
    /// Within the 2 to 12 s of the pages.
    const LATE: Duration = Duration::from_millis(4_200);
    let queues = [Queue { name: "render", service: "studio", key: "key-of-the-studio" }];
    let mut world = World::new(trouble, &queues);
    // The last machine is idle, since the jobs need the label of the others.
    for (n, kind) in ["a", "a", "a", "b"].iter().enumerate() {
        world.fleet.add_worker(n + 1, "studio", &[kind, &format!("r1-{n}")]);
    }
    let client = start_world(&mut world, 3)?;
    let [queue] = &queues;
    if !client.wait_for_owner(queue) {
        return Err("no job is accepted".to_owned());
    }
    let body = job(
        "ms=1000",
        vec![
            ("count", number(6)),
            ("cpu", number(1_800)),
            ("memMb", number(1_000)),
            ("estMs", number(1_000)),
            ("requiredLabel", text("a")),
        ],
    );
    let mut traffic = Vec::new();
    for n in 0..50 {
        if n == 8 {
            if trouble {
                let calls = AtomicUsize::new(0);
                let delay = move |request: &Request| {
                    let is_first = request.path == "/-/machine-upkeep"
                        && calls.fetch_add(1, Ordering::SeqCst) == 0;
                    is_first.then_some(LATE)
                };
                *world.fleet.delay_call.lock().unwrap() = Some(Box::new(delay));
            }
            world.fleet.request_wave(1, &["m-0001", "m-0002", "m-0003", "m-0004"], 1, 26);
        }
        let (client, body) = (client.clone(), body.clone());
        traffic.push(thread::spawn(move || {
            let queue = Queue { name: "render", service: "studio", key: "key-of-the-studio" };
            client.submit(&queue, &job_id(n), &body);
        }));
        thread::sleep(seconds(0.6));
    }
    for thread in traffic {
        let _ = thread.join();
    }
    let broken = world.fleet.wave.lock().unwrap().take().map_or(Vec::new(), |wave| wave.excess);
    outcome(&world, broken)
}
