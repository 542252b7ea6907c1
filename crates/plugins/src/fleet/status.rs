//! Tells other daemons what this daemon is, and takes calls that are passed on.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use http::Method;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{BAD_REQUEST, Problem};
use wasabiswitch_kernel::plugin::{PeriodicTask, PlatformKind, Plugin, Registration};
use wasabiswitch_kernel::tables::Term;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::calls::{
    Call, HandOverRequest, OwnerHint, OwnerStatus, Reply, StatusRequest, StepDownRequest,
};
use wasabiswitch_policy::fleet::ownership::{SteppedDown, has_lost_store, should_hand_over};
use wasabiswitch_wire::{decode, encode};

use super::owner_calls::{draw_peers, follow_hint, note_peer};
use super::term::processor_milli;
use super::{is_acting, queue_calls};
use crate::operator::UPKEEP_EVERY;
use crate::route::control;

/// The path on which daemons ask each other for their part in the ownership.
pub const STATUS_PATH: &str = "/fleet/status";
/// The path on which a daemon on a larger instance asks the owner to hand over.
pub const YIELD_PATH: &str = "/fleet/yield";
/// The path on which a daemon that reaches the store asks an owner that does not to give the fleet up.
pub const GIVE_UP_PATH: &str = "/fleet/give-up";
/// The other daemons that one status tells of; a few are enough, since each answer draws anew.
const PEERS_TOLD: usize = 4;
/// How long a call that was passed on may take here; the daemon that passed it on waits less.
const CALL_TIME_MAX: Duration = Duration::from_millis(2_500);

fn plugin() -> Plugin {
    Plugin {
        platform_kind: PlatformKind::Fleet,
        control_routes: vec![
            control(Method::POST, queue_calls::CALL_PATH, Access::Peer, take_call),
            control(Method::POST, STATUS_PATH, Access::Peer, tell_status),
            control(Method::POST, YIELD_PATH, Access::Peer, take_yield_request),
            control(Method::POST, GIVE_UP_PATH, Access::Peer, take_give_up_request),
            control(Method::GET, "/metrics", Access::Open, export_metrics),
        ],
        periodic_tasks: vec![PeriodicTask {
            name: "metrics upkeep",
            interval: |_| UPKEEP_EVERY,
            wake: None,
            run: |_| async { metric::run_upkeep() }.boxed(),
        }],
        ..Plugin::new("fleet status", &[])
    }
}

inventory::submit! { Registration(plugin) }

async fn take_call(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let call: Call = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the call: {error}")))?;
    let deadline = kernel.clock.now() + CALL_TIME_MAX;
    let reply: Reply = queue_calls::serve_as_owner(&kernel, call, deadline).await;
    Ok(ControlReply::binary(encode(&reply)))
}

async fn tell_status(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let asked: StatusRequest = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the request: {error}")))?;
    note_peer(&kernel, &asked.address);
    // Each lock is released before the next is taken, whose rank is lower.
    let config_version = queue_calls::config(&kernel).map_or(0, |config| config.version);
    let owner = kernel.tables.fleet.lock().owner.clone();
    let now = kernel.clock.now();
    let (fence, writes, store_lost) = {
        let term = kernel.tables.term.lock();
        term.as_ref().map_or((0, 0, false), |term| {
            (term.engine.fence, term.writes, has_lost_store(term.write_failing_since, now))
        })
    };
    let status = OwnerStatus {
        acting: is_acting(&kernel),
        fence,
        config_version,
        processor_milli: processor_milli(&kernel),
        writes,
        store_lost,
        owner: owner.map(|owner| OwnerHint {
            daemon: owner.daemon,
            address: owner.address.to_string(),
            fence: owner.fence,
        }),
        peers: draw_peers(&kernel, PEERS_TOLD).iter().map(ToString::to_string).collect(),
    };
    Ok(ControlReply::binary(encode(&status)))
}

async fn take_yield_request(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let asked: HandOverRequest = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the request: {error}")))?;
    let yields = should_hand_over(processor_milli(&kernel), asked.processor_milli);
    if yields
        && let Some(term) =
            kernel.tables.term.lock().as_mut().filter(|term| !term.hand_over_requested)
    {
        log::info!("yielding to={} its_milli={}", asked.daemon, asked.processor_milli);
        term.hand_over_requested = true;
        kernel.wakes.write.notify_one();
    }
    Ok(ControlReply::binary(encode(&yields)))
}

/// Ends the term of an owner that has lost the store, for a daemon that reaches it.
///
/// From here on this daemon orders nothing more, so the successor need not wait for the lease.
async fn take_give_up_request(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let asked: StepDownRequest = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the request: {error}")))?;
    let now = kernel.clock.now();
    let given_up = {
        let mut guard = kernel.tables.term.lock();
        let lost = |term: &&mut Term| {
            !term.superseded
                && has_lost_store(term.write_failing_since, now)
                && term.engine.fence < asked.successor.fence
        };
        guard.as_mut().filter(lost).map(|term| {
            term.superseded = true;
            SteppedDown { incarnation: kernel.incarnation(), fence: term.engine.fence }
        })
    };
    if let Some(given_up) = &given_up {
        let SteppedDown { fence, .. } = given_up;
        log::warn!(
            "gave the fleet up, the store is lost fence={fence} to={}",
            asked.successor.daemon
        );
        follow_hint(&kernel, &asked.successor);
        kernel.wakes.write.notify_one();
    }
    Ok(ControlReply::binary(encode(&given_up)))
}

async fn export_metrics(_: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    Ok(ControlReply::text(metric::render()))
}
