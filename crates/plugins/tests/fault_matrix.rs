//! Verdicts of live requests under every fault at every step, for each kind of request.
//!
//! Each cell starts a fresh daemon with two upstreams, injects one fault, sends one request and
//! compares the verdict that the caller received with the number of runs at the upstreams. The
//! table in docs/FAULTS.md is written by
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

/// Time limit for any answer: the deadline of the service and the time to record the outcome.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Size of a body that does not fit into the buffer of a connection.
const LARGE_BODY_BYTES: usize = 256 << 10;

/// A kind of request, distinguished by whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    /// A request that must not be repeated while its outcome is in doubt.
    Plain,
    /// A request that its service declares repeatable.
    Repeatable,
    /// A request with an idempotency key.
    AtMostOnce,
}

const REQUEST_KINDS: [RequestKind; 3] =
    [RequestKind::Plain, RequestKind::Repeatable, RequestKind::AtMostOnce];

/// One fault at one step.
struct Cell {
    step: &'static str,
    fault: &'static str,
    inject: fn(&TestCluster),
    // Whether the fault affects only requests with an idempotency key.
    at_most_once_only: bool,
    // Whether the team already holds slots when the fault is injected.
    warmed_up: bool,
    large_body: bool,
}

fn cell(step: &'static str, fault: &'static str, inject: fn(&TestCluster)) -> Cell {
    let at_most_once_only = step == "claim" || step == "record";
    let (warmed_up, large_body) = (step != "admit", step == "send body");
    Cell { step, fault, inject, at_most_once_only, warmed_up, large_body }
}

/// Injects a fault into `times` commits and reads of rows under a prefix, after `skip` commits.
fn store_calls(cluster: &TestCluster, prefix: &str, skip: u32, times: u32, fault: Fault) {
    for operation in [Operation::Commit, Operation::Read] {
        // No read is skipped, since the first write of a claim is made without one.
        let skip = if operation == Operation::Read { 0 } else { skip };
        let calls = FaultTarget { operation, prefix: prefix.to_owned(), skip, times };
        cluster.standin.faults().inject_for(calls, fault);
    }
}

/// Injects a fault into one commit of a row under a prefix, after `skip` others.
fn commit(cluster: &TestCluster, prefix: &str, skip: u32, fault: Fault) {
    let calls =
        FaultTarget { operation: Operation::Commit, prefix: prefix.to_owned(), skip, times: 1 };
    cluster.standin.faults().inject_for(calls, fault);
}

/// Sets the behaviour of the upstreams for the next request; they share one plan.
fn first_request(cluster: &TestCluster, behaviour: Behaviour) {
    cluster.upstreams[0].plan([behaviour]);
}

/// Sets the behaviour of the upstreams for every request.
fn every_request(cluster: &TestCluster, behaviour: Behaviour) {
    for upstream in &cluster.upstreams {
        upstream.set_default_behaviour(Some(behaviour.clone()));
    }
}

/// Injects a fault into the next `count` dials to each upstream.
fn next_dials(cluster: &TestCluster, count: usize, fault: DialFault) {
    for upstream in &cluster.upstreams {
        cluster.network.plan_dial_faults(upstream.address, vec![fault; count]);
    }
}

const ALWAYS: u32 = u32::MAX;
const SLOW_DELAY: Duration = Duration::from_millis(300);

fn cells() -> Vec<Cell> {
    vec![
        cell("claim", "refused once", |w| commit(w, "once/", 0, Fault::Refuse)),
        cell("claim", "refused always", |w| store_calls(w, "once/", 0, ALWAYS, Fault::Refuse)),
        cell("claim", "hangs once", |w| commit(w, "once/", 0, Fault::Hang)),
        cell("claim", "hangs always", |w| store_calls(w, "once/", 0, ALWAYS, Fault::Hang)),
        cell("claim", "slow", |w| commit(w, "once/", 0, Fault::Slow(SLOW_DELAY))),
        cell("claim", "answer lost once", |w| commit(w, "once/", 0, Fault::LostResponse)),
        cell("claim", "answer lost always", |w| {
            store_calls(w, "once/", 0, ALWAYS, Fault::LostResponse);
        }),
        cell("claim", "delivered twice", |w| commit(w, "once/", 0, Fault::DuplicateDelivery)),
        cell("claim", "answered late", |w| {
            commit(w, "once/", 0, Fault::SlowResponse(Duration::from_secs(2)));
        }),
        cell("admit", "refused once", |w| commit(w, "grant/", 0, Fault::Refuse)),
        cell("admit", "refused always", |w| store_calls(w, "grant/", 0, ALWAYS, Fault::Refuse)),
        cell("admit", "hangs once", |w| commit(w, "grant/", 0, Fault::Hang)),
        cell("admit", "hangs always", |w| store_calls(w, "grant/", 0, ALWAYS, Fault::Hang)),
        cell("admit", "answer lost once", |w| commit(w, "grant/", 0, Fault::LostResponse)),
        cell("admit", "delivered twice", |w| commit(w, "grant/", 0, Fault::DuplicateDelivery)),
        cell("admit", "store down", |w| w.standin.faults().outage(Fault::Refuse)),
        cell("connect", "refused once", |w| next_dials(w, 1, DialFault::Refuse)),
        cell("connect", "refused always", |w| next_dials(w, 100, DialFault::Refuse)),
        cell("connect", "hangs once", |w| next_dials(w, 1, DialFault::Hang)),
        cell("connect", "hangs always", |w| next_dials(w, 100, DialFault::Hang)),
        cell("connect", "slow", |w| next_dials(w, 1, DialFault::Slow(Duration::from_millis(200)))),
        cell("connect", "store down", |w| w.standin.faults().outage(Fault::Refuse)),
        cell("send head", "cut once", |w| first_request(w, Behaviour::CloseAtOnce)),
        cell("send head", "cut always", |w| every_request(w, Behaviour::CloseAtOnce)),
        cell("send head", "hangs", |w| every_request(w, Behaviour::HangAtOnce)),
        cell("send body", "cut once", |w| first_request(w, Behaviour::CloseAfterHead)),
        cell("send body", "cut always", |w| every_request(w, Behaviour::CloseAfterHead)),
        cell("send body", "hangs", |w| every_request(w, Behaviour::HangAfterHead)),
        cell("wait", "declined once", |w| first_request(w, Behaviour::NotRun)),
        cell("wait", "declined always", |w| every_request(w, Behaviour::NotRun)),
        cell("wait", "cut before it runs", |w| first_request(w, Behaviour::CloseBeforeRun)),
        cell("wait", "hangs before it runs", |w| every_request(w, Behaviour::HangBeforeRun)),
        cell("wait", "cut after it ran", |w| first_request(w, Behaviour::CloseAfterRun)),
        cell("wait", "hangs after it ran", |w| every_request(w, Behaviour::HangAfterRun)),
        cell("wait", "slow", |w| first_request(w, Behaviour::RespondAfter(SLOW_DELAY))),
        cell("wait", "store down", |w| {
            first_request(w, Behaviour::RespondAfter(SLOW_DELAY));
            let faults = w.standin.faults().clone();
            tokio::spawn(async move {
                tokio::time::sleep(SLOW_DELAY / 3).await;
                faults.outage(Fault::Refuse);
            });
        }),
        cell("read head", "cut once", |w| first_request(w, Behaviour::CutHead)),
        cell("read head", "cut always", |w| every_request(w, Behaviour::CutHead)),
        cell("read head", "hangs", |w| every_request(w, Behaviour::HangInHead)),
        cell("read head", "of another request", |w| first_request(w, Behaviour::WrongRequestId)),
        cell("read head", "server error", |w| first_request(w, Behaviour::ServerError)),
        cell("read body", "cut", |w| every_request(w, Behaviour::CutBody)),
        cell("read body", "hangs", |w| every_request(w, Behaviour::HangInBody)),
        cell("read body", "large and cut", |w| every_request(w, Behaviour::CutLargeBody)),
        cell("read body", "surplus bytes", |w| first_request(w, Behaviour::TrailingBytes)),
        cell("read body", "larger than kept", |w| {
            every_request(w, Behaviour::LargeBody(200 << 10));
        }),
        cell("record", "refused once", |w| commit(w, "once/", 1, Fault::Refuse)),
        cell("record", "refused always", |w| store_calls(w, "once/", 1, ALWAYS, Fault::Refuse)),
        cell("record", "hangs always", |w| store_calls(w, "once/", 1, ALWAYS, Fault::Hang)),
        cell("record", "answer lost once", |w| commit(w, "once/", 1, Fault::LostResponse)),
        cell("record", "delivered twice", |w| commit(w, "once/", 1, Fault::DuplicateDelivery)),
    ]
}

fn describe_answer(answer: &CollectedResponse) -> String {
    let body = match &answer.body {
        None => ", cut",
        Some(_) if answer.repeated => ", repeated",
        Some(_) => "",
    };
    let code = if answer.code.is_empty() { String::new() } else { format!(" {}", answer.code) };
    format!("{} {}{code}{body}", answer.verdict, answer.status)
}

async fn send(
    daemon: &Daemon,
    kind: RequestKind,
    label: &str,
    large_body: bool,
) -> CollectedResponse {
    let (method, key) = match kind {
        RequestKind::Plain => (Method::POST, None),
        RequestKind::Repeatable => (Method::GET, None),
        RequestKind::AtMostOnce => (Method::POST, Some(label)),
    };
    let bytes = if large_body { LARGE_BODY_BYTES } else { 4 };
    let body = Bytes::from(vec![b'x'; bytes]);
    let call = daemon.call(request("t1", method, label, key, body));
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
    answer.unwrap_or_else(|_| panic!("{kind:?} {label}: no answer within {ANSWER_TIMEOUT:?}"))
}

/// Runs one cell, checks the invariants, and returns the outcome for the table.
async fn run_cell(cell: &Cell, kind: RequestKind) -> String {
    let context = format!("{} / {} / {kind:?}", cell.step, cell.fault);
    // A limit of one gives the daemon no base slot, so a slot must be acquired for the request.
    let limit = if cell.warmed_up { 4 } else { 1 };
    let cluster = TestCluster::new(ClusterSpec {
        teams: teams(&[("t1", 1, limit)]),
        ..ClusterSpec::default()
    });
    for upstream in &cluster.upstreams[1..] {
        upstream.share_plan_with(&cluster.upstreams[0]);
    }
    let daemon = cluster.start(1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    if cell.warmed_up {
        send(&daemon, RequestKind::Plain, "warm", false).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        // A request on an idle connection would skip the step into which the fault is injected.
        drop_idle_connections(&daemon);
    }
    println!("{context}");
    (cell.inject)(&cluster);
    let answer = send(&daemon, kind, "x", cell.large_body).await;
    let runs = cluster.run_count("x");
    check_invariants(&context, kind, &answer, runs);
    let mut line = format!("{}; runs {runs}", describe_answer(&answer));
    if kind == RequestKind::AtMostOnce {
        cluster.standin.faults().clear();
        cluster.network.clear_dial_faults();
        for upstream in &cluster.upstreams {
            upstream.set_default_behaviour(None);
        }
        tokio::time::sleep(Duration::from_secs(15)).await;
        let repeat = send(&daemon, kind, "x", cell.large_body).await;
        let runs = cluster.run_count("x");
        check_invariants(&context, kind, &repeat, runs);
        line.push_str(&format!("; repeat: {}; runs {runs}", describe_answer(&repeat)));
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

/// Checks that the verdict agrees with the number of runs, and that a request that may not be
/// repeated ran at most once.
fn check_invariants(context: &str, kind: RequestKind, answer: &CollectedResponse, runs: u32) {
    match answer.verdict.as_str() {
        "not-run" => assert_eq!(runs, 0, "{context}: the verdict is not-run"),
        "ran" => assert!(runs >= 1, "{context}: the verdict is ran"),
        "may-have-run" => {}
        other => panic!("{context}: the verdict is {other:?}"),
    }
    if kind != RequestKind::Repeatable {
        assert!(runs <= 1, "{context}: ran {runs} times");
    }
    if answer.status == 200 && answer.code.is_empty() && answer.body.is_some() {
        assert_eq!(answer.verdict, "ran", "{context}: a complete response has the verdict ran");
    }
}

fn write_table(lines: &[(String, String, RequestKind, String)]) -> String {
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
            RequestKind::Plain => "not repeatable",
            RequestKind::Repeatable => "repeatable",
            RequestKind::AtMostOnce => "at most once",
        };
        table.push_str(&format!("| {step} | {fault} | {kind} | {outcome} |\n"));
    }
    table
}

#[test]
fn every_fault_at_every_step() {
    let mut lines = Vec::new();
    for cell in cells() {
        for kind in REQUEST_KINDS
            .into_iter()
            .filter(|kind| !cell.at_most_once_only || *kind == RequestKind::AtMostOnce)
        {
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
