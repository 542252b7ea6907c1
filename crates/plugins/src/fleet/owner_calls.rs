//! Requests about the ownership between daemons.
//!
//! The owner is probed for its status, which puts no load on the store. An owner that has lost the store
//! reports this, and steps down for the first daemon that reaches the store and requests it. A daemon that
//! cannot read the store itself learns the owner from its known peers.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::client::ClientRequest;
use wasabiswitch_kernel::tables::KnownOwner;
use wasabiswitch_policy::fleet::calls::{
    HandOverRequest, OwnerHint, OwnerStatus, StatusRequest, StepDownRequest,
};
use wasabiswitch_policy::fleet::ownership::{
    OwnerHeartbeat, SteppedDown, should_hand_over, takeover_delay,
};
use wasabiswitch_wire::codec::WireType;
use wasabiswitch_wire::{decode, encode};

use super::ownership::read_owner_row;
use super::status::{HAND_OVER_PATH, STATUS_PATH, STEP_DOWN_PATH};
use super::term::processor_milli;

/// Time limit for the response to a request of this module.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);
/// Duration from which a read of the store counts as slow. A takeover with such a store would be slower than
/// the owner's own writes.
const SLOW_READ_THRESHOLD: Duration = Duration::from_millis(100);
/// Maximum number of known peers; a third of this number is enough to find one that knows the owner.
const PEERS_MAX: usize = 64;
/// Time since its last mention after which a peer is dropped when the table of peers is full.
const PEER_RETENTION: Duration = Duration::from_secs(30);
/// Number of peers that are queried for the owner at a time.
const PEERS_PER_QUERY: usize = 2;

/// Result of probing the owner.
pub(super) enum OwnerProbe {
    /// The owner acts and reaches the store.
    Acting,
    /// The owner has lost the store and would step down for a daemon that reaches it. The number is the
    /// processor capacity of the owner's instance, in thousandths of a core.
    StoreLost(KnownOwner, u32),
    /// The known owner reports that it does not act, or refuses the request, or no other daemon is known
    /// as the owner.
    NotActing,
    /// The owner with this fence does not answer.
    Unresponsive(u64),
}

/// Reason why a request has no usable response.
enum RequestError {
    Unreachable(String),
    Refused(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (RequestError::Unreachable(reason) | RequestError::Refused(reason)) = self;
        f.write_str(reason)
    }
}

/// Sends a request to another daemon and decodes the response.
async fn send_request<Q: WireType, A: WireType>(
    kernel: &Kernel,
    address: SocketAddr,
    path: &'static str,
    request: &Q,
) -> Result<A, RequestError> {
    let outgoing = ClientRequest {
        method: Method::POST,
        path,
        authorization: Some(&kernel.settings.peer_key),
        headers: &[],
        body: Bytes::from(encode(request)),
    };
    match tokio::time::timeout(RESPONSE_TIMEOUT, kernel.client.send(address, outgoing)).await {
        Ok(Ok(response)) if response.status.is_success() => {
            decode(&response.body).map_err(|error| RequestError::Refused(error.to_string()))
        }
        Ok(Ok(response)) => Err(RequestError::Refused(format!("answered {}", response.status))),
        Ok(Err(error)) => Err(RequestError::Unreachable(error.to_string())),
        Err(_) => {
            kernel.client.close_idle(address);
            Err(RequestError::Unreachable("no answer in time".to_owned()))
        }
    }
}

async fn request_status(kernel: &Kernel, address: SocketAddr) -> Result<OwnerStatus, RequestError> {
    let request = StatusRequest {
        daemon: kernel.settings.daemon.clone(),
        address: kernel.control_address().to_string(),
    };
    let status: OwnerStatus = send_request(kernel, address, STATUS_PATH, &request).await?;
    for peer in &status.peers {
        record_peer(kernel, peer);
    }
    if let Some(hint) = &status.owner {
        apply_owner_hint(kernel, hint);
    }
    Ok(status)
}

/// Records the address of another daemon and the time of this mention.
pub(super) fn record_peer(kernel: &Kernel, address: &str) {
    let Ok(address) = address.parse::<SocketAddr>() else {
        log::warn!("invalid address of a daemon address={address}");
        return;
    };
    if address == kernel.control_address() {
        return;
    }
    let now = kernel.clock.now();
    let mut view = kernel.tables.fleet.lock();
    if view.peers.len() >= PEERS_MAX {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_RETENTION;
        view.peers.retain(|_, at| is_recent(*at));
    }
    if view.peers.len() < PEERS_MAX || view.peers.contains_key(&address) {
        view.peers.insert(address, now);
    }
}

/// Returns up to `count` known peers, chosen at random.
pub(super) fn sample_peers(kernel: &Kernel, count: usize) -> Vec<SocketAddr> {
    let view = kernel.tables.fleet.lock();
    let peers: Vec<SocketAddr> = view.peers.keys().copied().collect();
    drop(view);
    fastrand::choose_multiple(peers, count)
}

/// Records the owner that another daemon reported, if its fence is newer than that of the known owner.
pub(super) fn apply_owner_hint(kernel: &Kernel, hint: &OwnerHint) {
    let known_fence = kernel.tables.fleet.lock().owner.as_ref().map_or(0, |owner| owner.fence);
    if hint.fence > known_fence && hint.daemon != kernel.settings.daemon {
        set_known_owner(kernel, hint);
    }
}

/// Records the owner of the fleet, and logs a change.
pub(super) fn set_known_owner(kernel: &Kernel, hint: &OwnerHint) {
    let Ok(address) = hint.address.parse::<SocketAddr>() else {
        log::warn!("invalid address of the owner address={}", hint.address);
        return;
    };
    let owner = KnownOwner { daemon: hint.daemon.clone(), address, fence: hint.fence };
    let mut view = kernel.tables.fleet.lock();
    if view.owner.as_ref() != Some(&owner) {
        log::info!("owner known daemon={} fence={}", owner.daemon, owner.fence);
        view.owner = Some(owner);
    }
}

/// Requests the known owner's status.
pub(super) async fn probe_owner(kernel: &Kernel) -> OwnerProbe {
    let owner = kernel.tables.fleet.lock().owner.clone();
    let Some(owner) = owner.filter(|owner| owner.daemon != kernel.settings.daemon) else {
        return OwnerProbe::NotActing;
    };
    let (probe, reason) = match request_status(kernel, owner.address).await {
        Ok(status) if status.acting && status.fence >= owner.fence && status.store_lost => {
            return OwnerProbe::StoreLost(owner, status.processor_milli);
        }
        Ok(status) if status.acting && status.fence >= owner.fence => {
            let received = kernel.clock.now();
            let heartbeat = OwnerHeartbeat { fence: status.fence, writes: status.writes, received };
            kernel.tables.fleet.lock().owner_heartbeat = Some(heartbeat);
            request_hand_over(kernel, &owner, &status).await;
            return OwnerProbe::Acting;
        }
        Ok(status) => (
            OwnerProbe::NotActing,
            format!("acting={} reported_fence={}", status.acting, status.fence),
        ),
        Err(RequestError::Refused(reason)) => (OwnerProbe::NotActing, reason),
        Err(RequestError::Unreachable(reason)) => (OwnerProbe::Unresponsive(owner.fence), reason),
    };
    log::info!(
        "owner did not confirm that it acts daemon={} fence={} {reason}",
        owner.daemon,
        owner.fence
    );
    probe
}

/// Queries some peers for the owner, for a daemon that cannot read the store.
pub(super) async fn query_peers_for_owner(kernel: &Kernel) {
    for peer in sample_peers(kernel, PEERS_PER_QUERY) {
        if let Err(reason) = request_status(kernel, peer).await {
            log::info!("status of a daemon not received address={peer} {reason}");
        }
    }
}

/// Asks an owner that has lost the store to step down, if this daemon reaches the store and is not stopping;
/// returns the owner's confirmation.
pub(super) async fn request_step_down(
    kernel: &Arc<Kernel>,
    owner: &KnownOwner,
    owner_milli: u32,
) -> Option<SteppedDown> {
    let delay = takeover_delay(processor_milli(kernel), Some(owner_milli));
    if !delay.is_zero() {
        // A daemon on a larger instance may have taken the fleet over during the delay.
        tokio::time::sleep(delay).await;
        let status = request_status(kernel, owner.address).await.ok()?;
        if !(status.acting && status.store_lost) {
            return None;
        }
    }
    let read_sent = kernel.clock.now();
    let read = read_owner_row(kernel).await;
    let took = kernel.clock.now().saturating_duration_since(read_sent);
    if took >= SLOW_READ_THRESHOLD {
        log::info!("the store is slow for this daemon too took_ms={}", took.as_millis());
        return None;
    }
    match read {
        Ok(Some((row, _))) if row.daemon == owner.daemon && row.fence == owner.fence => {}
        Ok(_) => return None,
        Err(error) => {
            log::info!("neither the owner nor this daemon reaches the store reason={error}");
            return None;
        }
    }
    let successor = OwnerHint {
        daemon: kernel.settings.daemon.clone(),
        address: kernel.control_address().to_string(),
        fence: owner.fence + 1,
    };
    if kernel.is_stopping() {
        // The owner would end its term for a daemon that no longer takes over.
        return None;
    }
    let request = StepDownRequest { successor };
    match send_request::<_, Option<SteppedDown>>(kernel, owner.address, STEP_DOWN_PATH, &request)
        .await
    {
        Ok(answer) => {
            log::info!(
                "owner asked to step down daemon={} granted={}",
                owner.daemon,
                answer.is_some()
            );
            answer
        }
        Err(reason) => {
            log::info!("request to step down failed daemon={} {reason}", owner.daemon);
            None
        }
    }
}

/// Asks an owner on a much smaller instance to hand over the fleet, since the small instance would slow the
/// fleet down.
async fn request_hand_over(kernel: &Kernel, owner: &KnownOwner, status: &OwnerStatus) {
    let own_milli = processor_milli(kernel);
    if kernel.is_stopping() || !should_hand_over(status.processor_milli, own_milli) {
        return;
    }
    let daemon = kernel.settings.daemon.clone();
    let request = HandOverRequest { daemon, processor_milli: own_milli };
    if let Err(reason) =
        send_request::<_, bool>(kernel, owner.address, HAND_OVER_PATH, &request).await
    {
        log::info!("request to hand over failed daemon={} {reason}", owner.daemon);
    }
}
