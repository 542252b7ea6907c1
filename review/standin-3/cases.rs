//! The cases.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::record::Record;
use crate::workers::Start;
use crate::world::{World, config, job};

/// Time limit of a case.
const LONGEST: Duration = Duration::from_secs(117);
/// Time after the acknowledgement of a cancelling in which tasks may still start (`cancel_ms`).
const CANCEL: Duration = Duration::from_millis(3_000);

/// Result of a case: whether the rule was broken, or `None` if it could not run.
type Broken = Option<bool>;

pub fn play(case: &str, path: &str, trouble: bool) -> u8 {
    let (machines, writes_starts, run): (usize, bool, fn(&Arc<World>, bool) -> Broken) = match case
    {
        "late-holds" => (15, true, late_holds),
        "upkeep" => (14, true, upkeep),
        "cancel" => (4, true, cancel),
        "advice" => (8, true, advice),
        _ => return 2,
    };
    let world = World::start(Record::new(path, writes_starts), machines, &config());
    world.record.line(&format!("case {case}, trouble={trouble}"));
    let of_watch = world.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        of_watch.record.line("the case took too long");
        of_watch.end();
        std::process::exit(2);
    });
    let played = catch_unwind(AssertUnwindSafe(|| {
        if world.start_daemons(3) { run(&world, trouble) } else { None }
    }));
    world.end();
    let broken = played.unwrap_or(None);
    match broken {
        Some(broken) => {
            world.record.line(if broken { "the rule was broken" } else { "the rule held" });
            u8::from(broken)
        }
        None => {
            world.record.line("the case could not run");
            2
        }
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn path_of(prefix: &str, number: u64) -> String {
    format!("{prefix}{:016x}", 0x5c0e_0000_0000_0000u64 + number)
}

fn job_of(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or(path)
}

/// Returns the starts of a job's tasks.
fn starts_of(world: &World, path: &str) -> Vec<Start> {
    let prefix = format!("{}.", job_of(path));
    world.record.starts().into_iter().filter(|start| start.task.starts_with(&prefix)).collect()
}

/// Workers crash and restart under their ids while half of the orders to workers are carried out late.
fn late_holds(world: &Arc<World>, trouble: bool) -> Broken {
    let began = Instant::now();
    let of_clients = world.clone();
    let clients = thread::spawn(move || {
        let mut number = 0;
        while began.elapsed() < Duration::from_secs(76) {
            let path = path_of("/plates/", number);
            number += 1;
            let body = job(8, 2_000, "work=400", vec![("estMs", Json::number(400))]);
            let world = of_clients.clone();
            thread::spawn(move || world.submit(&path, &body, "job of 8 tasks of 0.4 s"));
            pause(150);
        }
    });
    for round in 0..7 {
        pause(2_500);
        if trouble {
            world.record.line(
                "half of the orders get no answer and are carried out 2 to 6 s later, for 5.5 s",
            );
            *world.late_orders.lock().unwrap() = true;
            pause(2_000);
            for number in [2 * round + 1, 2 * round + 2] {
                let machine = format!("m-{number:02}");
                world.record.line(&format!("the worker of {machine} crashes, for 0.6 s"));
                world.crash_and_restart(&machine, Duration::from_millis(600));
            }
            pause(3_500);
            *world.late_orders.lock().unwrap() = false;
        } else {
            pause(5_000);
        }
        pause(3_000);
    }
    let _ = clients.join();
    pause(12_000);
    Some(count_double_runs(world) > 0)
}

/// Counts and records the pairs of runs of one task that overlap, or of which one begins after the other has ended `done` and was taken note of.
fn count_double_runs(world: &World) -> usize {
    let mut ends: BTreeMap<(String, u32, String), Vec<(Instant, &str)>> = BTreeMap::new();
    for worker in world.all_workers() {
        for (at, task, attempt, how) in worker.history() {
            ends.entry((task, attempt, worker.id.clone())).or_default().push((at, how));
        }
    }
    let mut runs: BTreeMap<String, Vec<(Start, Instant, &str)>> = BTreeMap::new();
    for start in world.record.starts() {
        let found = ends.get(&(start.task.clone(), start.attempt, start.worker.clone()));
        let found = found.into_iter().flatten().filter(|(at, _)| *at >= start.at);
        let (end, how) = found.min_by_key(|end| end.0).copied().unwrap_or((Instant::now(), "runs"));
        runs.entry(start.task.clone()).or_default().push((start, end, how));
    }
    let mut count = 0;
    for (task, runs) in &mut runs {
        runs.sort_by_key(|run| run.0.at);
        for (index, (first, end, how)) in runs.iter().enumerate() {
            for (second, _, second_how) in &runs[index + 1..] {
                let is_noted = *how == "done" && world.record.is_noted(task, first.attempt);
                if second.at < *end || is_noted {
                    count += 1;
                    world.record.line(&format!(
                        "{task}: attempt {} on {} from {} to {} ms ({how}, taken note of: {is_noted}), and attempt {} on \
                         {} from {} ms ({second_how})",
                        first.attempt,
                        first.worker,
                        world.record.ms(first.at),
                        world.record.ms(*end),
                        second.attempt,
                        second.worker,
                        world.record.ms(second.at)
                    ));
                }
            }
        }
    }
    count
}

/// A wave takes one machine down at a time; six calls to the instance service get no answer and are carried out later, and the owner
/// that sent one is killed.
fn upkeep(world: &Arc<World>, trouble: bool) -> Broken {
    if trouble {
        // Six of the calls; 4 to 8 s later.
        *world.late_upkeep.lock().unwrap() = Some(|call| {
            let is_late = call % 2 == 1 && call < 12;
            is_late.then(|| Duration::from_millis(4_000 + call * 1_973 % 4_000))
        });
    }
    let wave = crate::json::object(vec![
        ("wave", Json::number(1)),
        (
            "machines",
            Json::Array((1..=12).map(|number| Json::text(format!("m-{number:02}"))).collect()),
        ),
        ("deadlineS", Json::number(90)),
        ("cap", Json::number(1)),
    ]);
    world.record.line(&format!("operator: op/wave/1 {}", wave.write()));
    world.store.put("op", "wave/1", Some(&wave));
    let began = Instant::now();
    let mut number = 0;
    let mut kills = 0;
    while began.elapsed() < Duration::from_secs(75) {
        if world.late_calls() > kills {
            kills += 1;
            world.kill_owner(Duration::from_secs(3));
        }
        let body = job(6, 1_800, "work=1000", vec![("estMs", Json::number(1_000))]);
        let path = path_of("/plates/", number);
        number += 1;
        let answer = world.ask(number as usize, "POST", &path, &body, 3_000).map(|a| a.0);
        world.record.line(&format!("client: POST {path} answered {answer:?}"));
        pause(200);
    }
    let upkeeps = world.cloud.lock().unwrap().upkeeps.clone();
    let mut broken = false;
    for (id, begin, _) in &upkeeps {
        let down = upkeeps
            .iter()
            .filter(|(other, from, until)| other != id && from < begin && begin < until);
        for (other, from, until) in down {
            world.record.line(&format!(
                "the maintenance of {id} begins at {} ms while {other} is down from {} to {} ms",
                world.record.ms(*begin),
                world.record.ms(*from),
                world.record.ms(*until)
            ));
            broken = true;
        }
    }
    world.record.line(&format!("{} of 12 machines have had their maintenance", upkeeps.len()));
    Some(broken)
}

/// Jobs of a queue with advice come 2.6 times as often for four seconds.
fn advice(world: &Arc<World>, trouble: bool) -> Broken {
    let began = Instant::now();
    let mut accepted = Vec::new();
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(30) {
        let path = path_of("/advised/", number);
        number += 1;
        let body = job(4, 500, "work=300", vec![("estMs", Json::number(300))]);
        if world.submit(&path, &body, "job of an advised queue") {
            accepted.push(path);
        }
        let in_burst = trouble && (10..14).contains(&began.elapsed().as_secs());
        // 0.8 jobs a second, in the burst 2.1.
        pause(if in_burst { 480 } else { 1_250 });
    }
    world.record.line("the traffic ends");
    pause(14_000);
    let asked = Instant::now();
    pause(3_000);
    let mut broken = false;
    for path in &accepted {
        let state = world.state(0, path);
        let starts = starts_of(world, path);
        let has_run = !starts.is_empty();
        if !has_run {
            world
                .record
                .line(&format!("client: GET {path}: {state}; nothing of it has ever started"));
        }
        broken |= !has_run || starts.iter().all(|start| start.at > asked);
    }
    Some(broken)
}

/// A client gives a submission up while the store is slow, and cancels the job.
fn cancel(world: &Arc<World>, trouble: bool) -> Broken {
    let path = path_of("/plates/", 1);
    let step = |fields: Vec<(&str, Json)>| {
        let mut step = vec![
            ("count", Json::number(2)),
            ("cpu", Json::number(500)),
            ("memMb", Json::number(256)),
            ("estMs", Json::number(8_000)),
        ];
        step.extend(fields);
        crate::json::object(step)
    };
    let first = step(Vec::new());
    let second = step(vec![("after", Json::Array(vec![Json::number(0)]))]);
    let body = crate::json::object(vec![
        ("spec", Json::text("work=8000")),
        ("phases", Json::Array(vec![first, second])),
    ]);
    if trouble {
        world.record.line("the store answers after 240 ms, for 4.5 s");
        *world.store.slow_ms.lock().unwrap() = 240;
    }
    // Four other clients wait for their answers, so that one client of five leaves early.
    let others: Vec<_> = (10..14)
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || {
                pause((number - 10) * 100);
                let body = job(2, 500, "work=500", vec![("estMs", Json::number(500))]);
                world.submit(&path_of("/plates/", number), &body, "job of another client")
            })
        })
        .collect();
    pause(700);
    let answer = world.ask(0, "POST", &path, &body.write(), 100).map(|a| a.0);
    world.record.line(&format!("client: POST {path} answered {answer:?}, gives up after 100 ms"));
    let answer = world.ask(1, "DELETE", &path, "", 3_000).map(|a| a.0);
    let acknowledged = Instant::now();
    world.record.line(&format!("client: DELETE {path} answered {answer:?}"));
    if !matches!(answer, Some(200..=299 | 410)) {
        return None;
    }
    pause(3_400);
    *world.store.slow_ms.lock().unwrap() = 0;
    for other in others {
        let _ = other.join();
    }
    pause(12_000);
    let late = starts_of(world, &path);
    let late = late.iter().filter(|start| start.at > acknowledged + CANCEL).count();
    world.record.line(&format!("client: GET {path}: {}", world.state(0, &path)));
    world.record.line(&format!("starts later than 3 s after the acknowledgement: {late}"));
    Some(late > 0)
}
