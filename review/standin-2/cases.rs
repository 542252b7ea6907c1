//! The cases.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::json::{Json, number, object, text};
use crate::{Client, Queue, World, job_id};

/// Bounds of `sites/podstawka-prod.toml`.
const CONTACT: Duration = Duration::from_millis(3_000);
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

/// A start gets no answer, its worker goes dark at once, and the start is carried out when the worker is back.
pub fn late_start(trouble: bool) -> Result<Outcome, String> {
    play_late_start(trouble, false, Duration::from_millis(300))
}

/// The same while the daemon that has sent the start is stopped as planned, and another one takes the fleet over.
pub fn late_start_of_former_owner(trouble: bool) -> Result<Outcome, String> {
    play_late_start(trouble, true, Duration::from_millis(1_000))
}

/// Plays a start that is carried out `after_return` of its worker, with a planned stop of the leader if `hands_over`.
fn play_late_start(
    trouble: bool,
    hands_over: bool,
    after_return: Duration,
) -> Result<Outcome, String> {
    /// Time for which the worker is down, and for which it is cut off from the store.
    const DOWN: Duration = Duration::from_millis(3_000);
    const CUT: Duration = Duration::from_millis(5_000);
    const CRASH_AFTER: Duration = Duration::from_millis(150);
    const STOP_AFTER: Duration = Duration::from_millis(300);
    /// Share and length of `applied_late` on the site's day `scale-1`.
    const SHARE: f64 = 0.059;
    let queues = [Queue { name: "quote", service: "portal", key: "key-of-the-portal" }];
    let mut world = World::new(trouble, &queues);
    for n in 0..8 {
        world.fleet.add_worker(n, "portal", &["a", &format!("r1-{}", n / 4)]);
    }
    let client = start_world(&mut world, 3)?;
    let [queue] = &queues;
    if !client.wait_for_owner(queue) {
        return Err("no job is accepted".to_owned());
    }
    let is_dark = Arc::new(AtomicBool::new(false));
    if trouble {
        let (orders, delayed) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let (fleet, is_dark) = (world.fleet.clone(), is_dark.clone());
        *world.fleet.delay_start.lock().unwrap() = Some(Box::new(move |worker, request| {
            let count = orders.fetch_add(1, Ordering::SeqCst) + 1;
            let is_due = request.path == "/-/run-start" && SHARE * count as f64 >= 1.0;
            if !is_due || delayed.fetch_add(1, Ordering::SeqCst) > 0 {
                return None;
            }
            let (fleet, worker, is_dark) = (fleet.clone(), worker.clone(), is_dark.clone());
            thread::spawn(move || {
                thread::sleep(CRASH_AFTER);
                is_dark.store(true, Ordering::SeqCst);
                fleet.cut_from_store(&worker, true);
                fleet.crash_dark(&worker);
                thread::sleep(DOWN);
                fleet.restart(&worker, &["a", "r1-0"]);
                thread::sleep(CUT - DOWN);
                fleet.cut_from_store(&worker, false);
            });
            Some(CRASH_AFTER + DOWN + after_return)
        }));
    }
    let body = job(
        "ms=20000",
        vec![
            ("count", number(8)),
            ("cpu", number(3_800)),
            ("memMb", number(7_800)),
            ("estMs", number(20_000)),
        ],
    );
    // One after the other at once, so that the crash comes after the last one.
    for n in 0..4 {
        if !client.submit(queue, &job_id(n), &body) {
            return Err("a job is not accepted".to_owned());
        }
    }
    let until = Instant::now() + seconds(16.0);
    let mut stop_at = None;
    let mut broken: BTreeSet<String> = BTreeSet::new();
    while Instant::now() < until {
        if hands_over && is_dark.swap(false, Ordering::SeqCst) {
            stop_at = Some(Instant::now() + STOP_AFTER);
        }
        if stop_at.take_if(|at| *at <= Instant::now()).is_some() {
            world.terminate_leader()?;
        }
        let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (worker, task, attempt) in world.fleet.running() {
            runs.entry(task).or_default().push(format!("run {attempt} on {worker}"));
        }
        for (task, runs) in runs.into_iter().filter(|(_, runs)| runs.len() > 1) {
            let line = format!("TWICE: {task} at the same time: {}", runs.join(", "));
            if broken.insert(line.clone()) {
                world.fleet.record(line);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(Outcome { broken: broken.into_iter().collect(), log: world.fleet.log() })
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
