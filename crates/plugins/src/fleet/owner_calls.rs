//! What a daemon asks of the owner and of other daemons, which costs the store nothing.
//!
//! The owner is asked for its status. An owner that has lost the store says so, and gives the fleet up to
//! the first daemon that reaches the store and asks for it. A daemon that cannot read the store itself
//! learns the owner from the daemons that it has heard of.

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

use super::ownership::read_row;
use super::status::{GIVE_UP_PATH, STATUS_PATH, YIELD_PATH};
use super::term::processor_milli;

/// How long a daemon may take to answer a question of this module.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// The time of a read that shows a slow store; a take-over would be slower than the owner's own writes.
const STORE_SLOW: Duration = Duration::from_millis(100);
/// The other daemons that are remembered; a third of them is enough to find one that knows the owner.
const PEERS_MAX: usize = 64;
/// How long a daemon that was not heard of is remembered.
const PEER_MEMORY: Duration = Duration::from_secs(30);
/// The daemons that are asked for the owner at a time.
const PEERS_ASKED: usize = 2;

/// What asking the owner has shown.
pub(super) enum OwnerAnswer {
    /// It acts.
    Acts,
    /// It would give the fleet up to a daemon that reaches the store; the processors of its instance.
    StoreLost(KnownOwner, u32),
    /// It says that it does not act, or nobody else is known to be the owner.
    Idle,
    /// The owner with this fence does not answer.
    Silent(u64),
}

/// Why a question has no usable answer.
enum AskError {
    NotReached(String),
    Refused(String),
}

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (AskError::NotReached(reason) | AskError::Refused(reason)) = self;
        f.write_str(reason)
    }
}

/// Sends a question to another daemon.
async fn ask<Q: WireType, A: WireType>(
    kernel: &Kernel,
    address: SocketAddr,
    path: &'static str,
    question: &Q,
) -> Result<A, AskError> {
    let outgoing = ClientRequest {
        method: Method::POST,
        path,
        authorization: Some(&kernel.settings.peer_key),
        headers: &[],
        body: Bytes::from(encode(question)),
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, kernel.client.send(address, outgoing)).await {
        Ok(Ok(answer)) if answer.status.is_success() => {
            decode(&answer.body).map_err(|error| AskError::Refused(error.to_string()))
        }
        Ok(Ok(answer)) => Err(AskError::Refused(format!("answered {}", answer.status))),
        Ok(Err(error)) => Err(AskError::NotReached(error.to_string())),
        Err(_) => {
            kernel.client.close_idle(address);
            Err(AskError::NotReached("no answer in time".to_owned()))
        }
    }
}

async fn ask_status(kernel: &Kernel, address: SocketAddr) -> Result<OwnerStatus, AskError> {
    let question = StatusRequest {
        daemon: kernel.settings.daemon.clone(),
        address: kernel.control_address().to_string(),
    };
    let status: OwnerStatus = ask(kernel, address, STATUS_PATH, &question).await?;
    for peer in &status.peers {
        note_peer(kernel, peer);
    }
    if let Some(hint) = &status.owner {
        follow_hint(kernel, hint);
    }
    Ok(status)
}

/// Remembers where another daemon is reached.
pub(super) fn note_peer(kernel: &Kernel, address: &str) {
    let Ok(address) = address.parse::<SocketAddr>() else {
        log::warn!("address of a daemon not understood address={address}");
        return;
    };
    if address == kernel.control_address() {
        return;
    }
    let now = kernel.clock.now();
    let mut view = kernel.tables.fleet.lock();
    if view.peers.len() >= PEERS_MAX {
        let fresh = |at: Instant| now.saturating_duration_since(at) < PEER_MEMORY;
        view.peers.retain(|_, at| fresh(*at));
    }
    if view.peers.len() < PEERS_MAX || view.peers.contains_key(&address) {
        view.peers.insert(address, now);
    }
}

/// Returns up to `count` other daemons, drawn at random.
pub(super) fn draw_peers(kernel: &Kernel, count: usize) -> Vec<SocketAddr> {
    let view = kernel.tables.fleet.lock();
    let peers: Vec<SocketAddr> = view.peers.keys().copied().collect();
    drop(view);
    fastrand::choose_multiple(peers, count)
}

/// Takes in what another daemon says of the owner, if it is newer than what is known here.
pub(super) fn follow_hint(kernel: &Kernel, hint: &OwnerHint) {
    let known = kernel.tables.fleet.lock().owner.as_ref().map_or(0, |owner| owner.fence);
    if hint.fence > known && hint.daemon != kernel.settings.daemon {
        know_owner(kernel, hint);
    }
}

/// Remembers who owns the fleet.
pub(super) fn know_owner(kernel: &Kernel, hint: &OwnerHint) {
    let Ok(address) = hint.address.parse::<SocketAddr>() else {
        log::warn!("owner's address not understood address={}", hint.address);
        return;
    };
    let owner = KnownOwner { daemon: hint.daemon.clone(), address, fence: hint.fence };
    let mut view = kernel.tables.fleet.lock();
    if view.owner.as_ref() != Some(&owner) {
        log::info!("owner known daemon={} fence={}", owner.daemon, owner.fence);
        view.owner = Some(owner);
    }
}

/// Asks the known owner whether it may act.
pub(super) async fn ask_owner(kernel: &Kernel) -> OwnerAnswer {
    let owner = kernel.tables.fleet.lock().owner.clone();
    let Some(owner) = owner.filter(|owner| owner.daemon != kernel.settings.daemon) else {
        return OwnerAnswer::Idle;
    };
    let (answer, reason) = match ask_status(kernel, owner.address).await {
        Ok(status) if status.acting && status.fence >= owner.fence && status.store_lost => {
            return OwnerAnswer::StoreLost(owner, status.processor_milli);
        }
        Ok(status) if status.acting && status.fence >= owner.fence => {
            let received = kernel.clock.now();
            let word = OwnerHeartbeat { fence: status.fence, writes: status.writes, received };
            kernel.tables.fleet.lock().owner_heartbeat = Some(word);
            ask_to_yield(kernel, &owner, &status).await;
            return OwnerAnswer::Acts;
        }
        Ok(status) => {
            (OwnerAnswer::Idle, format!("acting={} fence={}", status.acting, status.fence))
        }
        Err(AskError::Refused(reason)) => (OwnerAnswer::Idle, reason),
        Err(AskError::NotReached(reason)) => (OwnerAnswer::Silent(owner.fence), reason),
    };
    log::info!("owner does not act daemon={} fence={} {reason}", owner.daemon, owner.fence);
    answer
}

/// Asks some other daemons for the owner, for a daemon that cannot read the store.
pub(super) async fn ask_peers(kernel: &Kernel) {
    for peer in draw_peers(kernel, PEERS_ASKED) {
        if let Err(reason) = ask_status(kernel, peer).await {
            log::info!("daemon not reached for the owner address={peer} {reason}");
        }
    }
}

/// Asks an owner that has lost the store to give the fleet up, if this daemon reaches the store.
pub(super) async fn ask_to_give_up(
    kernel: &Arc<Kernel>,
    owner: &KnownOwner,
    owner_milli: u32,
) -> Option<SteppedDown> {
    let pause = takeover_delay(processor_milli(kernel), Some(owner_milli));
    if !pause.is_zero() {
        // A daemon on a larger instance may do it meanwhile.
        tokio::time::sleep(pause).await;
        let status = ask_status(kernel, owner.address).await.ok()?;
        if !(status.acting && status.store_lost) {
            return None;
        }
    }
    let asked = kernel.clock.now();
    let read = read_row(kernel).await;
    let took = kernel.clock.now().saturating_duration_since(asked);
    if took >= STORE_SLOW {
        log::info!("the store is slow for this daemon too took_ms={}", took.as_millis());
        return None;
    }
    match read {
        Ok(Some((row, _))) if row.daemon == owner.daemon && row.fence == owner.fence => {}
        Ok(_) => return None,
        Err(error) => {
            log::info!("the owner has lost the store, and so has this daemon reason={error}");
            return None;
        }
    }
    let successor = OwnerHint {
        daemon: kernel.settings.daemon.clone(),
        address: kernel.control_address().to_string(),
        fence: owner.fence + 1,
    };
    let question = StepDownRequest { successor };
    match ask::<_, Option<SteppedDown>>(kernel, owner.address, GIVE_UP_PATH, &question).await {
        Ok(answer) => {
            log::info!(
                "owner asked to give up daemon={} granted={}",
                owner.daemon,
                answer.is_some()
            );
            answer
        }
        Err(reason) => {
            log::info!("owner not reached to give up daemon={} {reason}", owner.daemon);
            None
        }
    }
}

/// Asks an owner on a much smaller instance to hand over, so that it does not hold the fleet up.
async fn ask_to_yield(kernel: &Kernel, owner: &KnownOwner, status: &OwnerStatus) {
    let own_milli = processor_milli(kernel);
    if kernel.is_stopping() || !should_hand_over(status.processor_milli, own_milli) {
        return;
    }
    let daemon = kernel.settings.daemon.clone();
    let question = HandOverRequest { daemon, processor_milli: own_milli };
    if let Err(reason) = ask::<_, bool>(kernel, owner.address, YIELD_PATH, &question).await {
        log::info!("owner not reached to yield daemon={} {reason}", owner.daemon);
    }
}
