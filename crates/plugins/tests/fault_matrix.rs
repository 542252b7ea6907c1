//! Every fault at every step of a live request, for each kind of request.
//!
//! Each cell starts a fresh world, injects one fault, sends one request and compares what the caller was
//! told with what the upstreams have run. The table in docs/FAULTS.md is written by
//! `UPDATE_EXPECT=1 cargo test -p wasabiswitch-plugins --test fault_matrix`.

use std::time::Duration;

use bytes::Bytes;
use expect_test::expect_file;
use http::Method;
use wasabiswitch_plugins as _;
use wasabiswitch_standin::cluster::{
    ClusterSpec, CollectedResponse, Daemon, TestCluster, request, teams,
};
use wasabiswitch_standin::network::DialFault;
use wasabiswitch_standin::upstream::Behaviour;
use wasabiswitch_standin::{Fault, FaultTarget, Operation};

/// The longest time that any answer may take: the service's deadline and what recording may add.
const ANSWER_MAX: Duration = Duration::from_secs(8);
/// A body that does not fit into the buffer of a connection.
const LARGE_BODY_BYTES: usize = 256 << 10;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// It must not be repeated after doubt.
    Plain,
    /// Its service says that it may be repeated.
    Repeatable,
    /// It has an idempotency key.
    Once,
}

const KINDS: [Kind; 3] = [Kind::Plain, Kind::Repeatable, Kind::Once];

/// One fault at one step.
struct Cell {
    step: &'static str,
    fault: &'static str,
    inject: fn(&TestCluster),
    // Whether the fault concerns only requests with an idempotency key.
    once_only: bool,
    // Whether the team already holds slots when the fault is injected.
    warm: bool,
    large_body: bool,
}

fn cell(step: &'static str, fault: &'static str, inject: fn(&TestCluster)) -> Cell {
    let once_only = step == "claim" || step == "record";
    let (warm, large_body) = (step != "admit", step == "send body");
    Cell { step, fault, inject, once_only, warm, large_body }
}

fn store(cluster: &TestCluster, prefix: &str, skip: u32, times: u32, fault: Fault) {
    for operation in [Operation::Commit, Operation::Read] {
        // The first write of a claim is made without a read.
        let skip = if operation == Operation::Read { 0 } else { skip };
        let calls = FaultTarget { operation, prefix: prefix.to_owned(), skip, times };
        cluster.standin.faults().inject_for(calls, fault);
    }
}

fn commit(cluster: &TestCluster, prefix: &str, skip: u32, fault: Fault) {
    let calls =
        FaultTarget { operation: Operation::Commit, prefix: prefix.to_owned(), skip, times: 1 };
    cluster.standin.faults().inject_for(calls, fault);
}

fn first(cluster: &TestCluster, behaviour: Behaviour) {
    cluster.upstreams[0].plan([behaviour]);
}

fn always(cluster: &TestCluster, behaviour: Behaviour) {
    for upstream in &cluster.upstreams {
        upstream.set_default_behaviour(Some(behaviour.clone()));
    }
}

fn dials(cluster: &TestCluster, count: usize, fault: DialFault) {
    for upstream in &cluster.upstreams {
        cluster.network.plan_dial_faults(upstream.address, vec![fault; count]);
    }
}

const ALWAYS: u32 = u32::MAX;
const SLOW: Duration = Duration::from_millis(300);

fn cells() -> Vec<Cell> {
    vec![
        cell("claim", "refused once", |w| commit(w, "once/", 0, Fault::Refuse)),
        cell("claim", "refused always", |w| store(w, "once/", 0, ALWAYS, Fault::Refuse)),
        cell("claim", "hangs once", |w| commit(w, "once/", 0, Fault::Hang)),
        cell("claim", "hangs always", |w| store(w, "once/", 0, ALWAYS, Fault::Hang)),
        cell("claim", "slow", |w| commit(w, "once/", 0, Fault::Slow(SLOW))),
        cell("claim", "answer lost once", |w| commit(w, "once/", 0, Fault::LostResponse)),
        cell("claim", "answer lost always", |w| {
            store(w, "once/", 0, ALWAYS, Fault::LostResponse);
        }),
        cell("claim", "delivered twice", |w| commit(w, "once/", 0, Fault::DuplicateDelivery)),
        cell("claim", "answered late", |w| {
            commit(w, "once/", 0, Fault::SlowResponse(Duration::from_secs(2)));
        }),
        cell("admit", "refused once", |w| commit(w, "grant/", 0, Fault::Refuse)),
        cell("admit", "refused always", |w| store(w, "grant/", 0, ALWAYS, Fault::Refuse)),
        cell("admit", "hangs once", |w| commit(w, "grant/", 0, Fault::Hang)),
        cell("admit", "hangs always", |w| store(w, "grant/", 0, ALWAYS, Fault::Hang)),
        cell("admit", "answer lost once", |w| commit(w, "grant/", 0, Fault::LostResponse)),
        cell("admit", "delivered twice", |w| commit(w, "grant/", 0, Fault::DuplicateDelivery)),
        cell("admit", "store down", |w| w.standin.faults().outage(Fault::Refuse)),
        cell("connect", "refused once", |w| dials(w, 1, DialFault::Refuse)),
        cell("connect", "refused always", |w| dials(w, 100, DialFault::Refuse)),
        cell("connect", "hangs once", |w| dials(w, 1, DialFault::Hang)),
        cell("connect", "hangs always", |w| dials(w, 100, DialFault::Hang)),
        cell("connect", "slow", |w| dials(w, 1, DialFault::Slow(Duration::from_millis(200)))),
        cell("connect", "store down", |w| w.standin.faults().outage(Fault::Refuse)),
        cell("send head", "cut once", |w| first(w, Behaviour::CloseAtOnce)),
        cell("send head", "cut always", |w| always(w, Behaviour::CloseAtOnce)),
        cell("send head", "hangs", |w| always(w, Behaviour::HangAtOnce)),
        cell("send body", "cut once", |w| first(w, Behaviour::CloseAfterHead)),
        cell("send body", "cut always", |w| always(w, Behaviour::CloseAfterHead)),
        cell("send body", "hangs", |w| always(w, Behaviour::HangAfterHead)),
        cell("wait", "declined once", |w| first(w, Behaviour::NotRun)),
        cell("wait", "declined always", |w| always(w, Behaviour::NotRun)),
        cell("wait", "cut before it runs", |w| first(w, Behaviour::CloseBeforeRun)),
        cell("wait", "hangs before it runs", |w| always(w, Behaviour::HangBeforeRun)),
        cell("wait", "cut after it ran", |w| first(w, Behaviour::CloseAfterRun)),
        cell("wait", "hangs after it ran", |w| always(w, Behaviour::HangAfterRun)),
        cell("wait", "slow", |w| first(w, Behaviour::AnswerAfter(SLOW))),
        cell("wait", "store down", |w| {
            first(w, Behaviour::AnswerAfter(SLOW));
            let faults = w.standin.faults().clone();
            tokio::spawn(async move {
                tokio::time::sleep(SLOW / 3).await;
                faults.outage(Fault::Refuse);
            });
        }),
        cell("read head", "cut once", |w| first(w, Behaviour::CutHead)),
        cell("read head", "cut always", |w| always(w, Behaviour::CutHead)),
        cell("read head", "hangs", |w| always(w, Behaviour::HangInHead)),
        cell("read head", "of another request", |w| first(w, Behaviour::WrongRequestId)),
        cell("read head", "server error", |w| first(w, Behaviour::ServerError)),
        cell("read body", "cut", |w| always(w, Behaviour::CutBody)),
        cell("read body", "hangs", |w| always(w, Behaviour::HangInBody)),
        cell("read body", "large and cut", |w| always(w, Behaviour::CutLargeBody)),
        cell("read body", "surplus bytes", |w| first(w, Behaviour::TrailingBytes)),
        cell("read body", "larger than kept", |w| always(w, Behaviour::LargeBody(200 << 10))),
        cell("record", "refused once", |w| commit(w, "once/", 1, Fault::Refuse)),
        cell("record", "refused always", |w| store(w, "once/", 1, ALWAYS, Fault::Refuse)),
        cell("record", "hangs always", |w| store(w, "once/", 1, ALWAYS, Fault::Hang)),
        cell("record", "answer lost once", |w| commit(w, "once/", 1, Fault::LostResponse)),
        cell("record", "delivered twice", |w| commit(w, "once/", 1, Fault::DuplicateDelivery)),
    ]
}

fn describe(answer: &CollectedResponse) -> String {
    let body = match &answer.body {
        None => ", cut",
        Some(_) if answer.repeated => ", repeated",
        Some(_) => "",
    };
    let code = if answer.code.is_empty() { String::new() } else { format!(" {}", answer.code) };
    format!("{} {}{code}{body}", answer.verdict, answer.status)
}

async fn send(daemon: &Daemon, kind: Kind, label: &str, large_body: bool) -> CollectedResponse {
    let (method, key) = match kind {
        Kind::Plain => (Method::POST, None),
        Kind::Repeatable => (Method::GET, None),
        Kind::Once => (Method::POST, Some(label)),
    };
    let bytes = if large_body { LARGE_BODY_BYTES } else { 4 };
    let body = Bytes::from(vec![b'x'; bytes]);
    let call = daemon.call(request("t1", method, label, key, body));
    let answer = tokio::time::timeout(ANSWER_MAX, call).await;
    answer.unwrap_or_else(|_| panic!("{kind:?} {label}: no answer within {ANSWER_MAX:?}"))
}

/// Runs one cell and checks what must hold in each; returns its line of the table.
async fn run_cell(cell: &Cell, kind: Kind) -> String {
    let context = format!("{} / {} / {kind:?}", cell.step, cell.fault);
    // A limit of one leaves no base, so that a slot must be taken when the request comes.
    let limit = if cell.warm { 4 } else { 1 };
    let cluster = TestCluster::new(ClusterSpec {
        teams: teams(&[("t1", 1, limit)]),
        ..ClusterSpec::default()
    });
    for upstream in &cluster.upstreams[1..] {
        upstream.share_plan_with(&cluster.upstreams[0]);
    }
    let daemon = cluster.start(1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    if cell.warm {
        send(&daemon, Kind::Plain, "warm", false).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        // Idle connections would let the request pass the step at which it is to fail.
        drop_idle_connections(&daemon);
    }
    println!("{context}");
    (cell.inject)(&cluster);
    let answer = send(&daemon, kind, "x", cell.large_body).await;
    let runs = cluster.run_count("x");
    check(&context, kind, &answer, runs);
    let mut line = format!("{}; runs {runs}", describe(&answer));
    if kind == Kind::Once {
        cluster.standin.faults().clear();
        cluster.network.clear_dial_faults();
        for upstream in &cluster.upstreams {
            upstream.set_default_behaviour(None);
        }
        tokio::time::sleep(Duration::from_secs(15)).await;
        let repeat = send(&daemon, kind, "x", cell.large_body).await;
        let runs = cluster.run_count("x");
        check(&context, kind, &repeat, runs);
        line.push_str(&format!("; repeat: {}; runs {runs}", describe(&repeat)));
    }
    daemon.kernel.stop().await;
    line
}

fn drop_idle_connections(daemon: &Daemon) {
    let mut upstreams = daemon.kernel.tables.upstreams.lock();
    for upstream in upstreams.table.iter_mut() {
        upstream.idle.clear();
    }
}

/// What must hold whatever fails.
fn check(context: &str, kind: Kind, answer: &CollectedResponse, runs: u32) {
    match answer.verdict.as_str() {
        "not-run" => assert_eq!(runs, 0, "{context}: said not-run"),
        "ran" => assert!(runs >= 1, "{context}: said ran"),
        "may-have-run" => {}
        other => panic!("{context}: the verdict is {other:?}"),
    }
    if kind != Kind::Repeatable {
        assert!(runs <= 1, "{context}: ran {runs} times");
    }
    if answer.status == 200 && answer.code.is_empty() && answer.body.is_some() {
        assert_eq!(answer.verdict, "ran", "{context}: a whole answer has run");
    }
}

fn write_table(lines: &[(String, String, Kind, String)]) -> String {
    let mut table = String::from(
        "# Every fault at every step of a live request\n\n\
         Written by `UPDATE_EXPECT=1 cargo test -p wasabiswitch-plugins --test fault_matrix`, and \
         compared on each run of the tests.\n\n\
         Each cell is a fresh daemon with two upstreams in two failure domains and one injected fault. \
         It shows the verdict, status and code that the caller was given, and how often the upstreams \
         have run the request. For requests with an idempotency key it also shows the answer to a \
         repeat after the fault has ended. In every cell the tests check that `not-run` means no run, \
         that `ran` means a run, and that a request which may not be repeated runs at most once.\n\n\
         | step | fault | request | outcome |\n|---|---|---|---|\n",
    );
    for (step, fault, kind, outcome) in lines {
        let kind = match kind {
            Kind::Plain => "not repeatable",
            Kind::Repeatable => "repeatable",
            Kind::Once => "at most once",
        };
        table.push_str(&format!("| {step} | {fault} | {kind} | {outcome} |\n"));
    }
    table
}

#[test]
fn every_fault_at_every_step() {
    let mut lines = Vec::new();
    for cell in cells() {
        for kind in KINDS.into_iter().filter(|kind| !cell.once_only || *kind == Kind::Once) {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .start_paused(true)
                .build()
                .expect("a runtime can be built");
            fastrand::seed(7);
            let outcome = runtime.block_on(run_cell(&cell, kind));
            lines.push((cell.step.to_owned(), cell.fault.to_owned(), kind, outcome));
        }
    }
    expect_file!["../../../docs/FAULTS.md"].assert_eq(&write_table(&lines));
}
