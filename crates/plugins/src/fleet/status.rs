//! Serves this daemon's status, requests about the ownership, and calls that other daemons forward.

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

use super::owner_calls::{apply_owner_hint, record_peer, sample_peers};
use super::term::processor_milli;
use super::{is_acting, queue_calls};
use crate::operator::METRICS_UPKEEP_INTERVAL;
use crate::route::control;

/// The path on which daemons request each other's status.
pub const STATUS_PATH: &str = "/fleet/status";
/// The path on which a daemon on a larger instance asks the owner to hand over.
pub const HAND_OVER_PATH: &str = "/fleet/yield";
/// The path on which a daemon that reaches the store asks an owner that has lost it to step down.
pub const STEP_DOWN_PATH: &str = "/fleet/give-up";
/// Number of peers in a status; a few are enough, since each status has a new random choice.
const PEERS_PER_STATUS: usize = 4;
/// Time limit for a forwarded call; the daemon that forwarded it waits for less than that.
const FORWARDED_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

fn plugin() -> Plugin {
    Plugin {
        platform_kind: PlatformKind::Fleet,
        control_routes: vec![
            control(Method::POST, queue_calls::CALL_PATH, Access::Peer, handle_forwarded_call),
            control(Method::POST, STATUS_PATH, Access::Peer, handle_status_request),
            control(Method::POST, HAND_OVER_PATH, Access::Peer, handle_hand_over_request),
            control(Method::POST, STEP_DOWN_PATH, Access::Peer, handle_step_down_request),
            control(Method::GET, "/metrics", Access::Open, export_metrics),
        ],
        periodic_tasks: vec![PeriodicTask {
            name: "metrics upkeep",
            interval: |_| METRICS_UPKEEP_INTERVAL,
            wake: None,
            run: |_| async { metric::run_upkeep() }.boxed(),
        }],
        ..Plugin::new("fleet status", &[])
    }
}

inventory::submit! { Registration(plugin) }

async fn handle_forwarded_call(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let call: Call = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the call: {error}")))?;
    let deadline = kernel.clock.now() + FORWARDED_CALL_TIMEOUT;
    let reply: Reply = queue_calls::serve_as_owner(&kernel, call, deadline).await;
    Ok(ControlReply::binary(encode(&reply)))
}

async fn handle_status_request(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let message: StatusRequest = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the request: {error}")))?;
    record_peer(&kernel, &message.address);
    // Each lock is released before the next is acquired, which has a lower rank.
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
        peers: sample_peers(&kernel, PEERS_PER_STATUS).iter().map(ToString::to_string).collect(),
    };
    Ok(ControlReply::binary(encode(&status)))
}

async fn handle_hand_over_request(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let message: HandOverRequest = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the request: {error}")))?;
    let hands_over = should_hand_over(processor_milli(&kernel), message.processor_milli);
    if hands_over
        && let Some(term) =
            kernel.tables.term.lock().as_mut().filter(|term| !term.hand_over_requested)
    {
        log::info!(
            "handing the fleet over to={} its_milli={}",
            message.daemon,
            message.processor_milli
        );
        term.hand_over_requested = true;
        kernel.wake_signals.write.notify_one();
    }
    Ok(ControlReply::binary(encode(&hands_over)))
}

/// Ends this daemon's term if it has lost the store, at the request of a daemon that reaches the store.
///
/// This daemon sends no orders after that, so the successor need not wait until the lease expires.
async fn handle_step_down_request(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let message: StepDownRequest = decode(&request.body)
        .map_err(|error| Problem::not_run(BAD_REQUEST, format!("the request: {error}")))?;
    let now = kernel.clock.now();
    let stepped_down = {
        let mut guard = kernel.tables.term.lock();
        let can_step_down = |term: &&mut Term| {
            !term.superseded
                && has_lost_store(term.write_failing_since, now)
                && term.engine.fence < message.successor.fence
        };
        guard.as_mut().filter(can_step_down).map(|term| {
            term.superseded = true;
            SteppedDown { incarnation: kernel.incarnation(), fence: term.engine.fence }
        })
    };
    if let Some(stepped_down) = &stepped_down {
        let SteppedDown { fence, .. } = stepped_down;
        log::warn!(
            "owner stepped down after losing the store fence={fence} to={}",
            message.successor.daemon
        );
        apply_owner_hint(&kernel, &message.successor);
        kernel.wake_signals.write.notify_one();
    }
    Ok(ControlReply::binary(encode(&stepped_down)))
}

async fn export_metrics(_: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    Ok(ControlReply::text(metric::render()))
}
