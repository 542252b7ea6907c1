//! Exchanges state with the other daemons by gossip.
//!
//! Every half second a daemon sends a message of bounded size to a few peers in rotation. Each receiver
//! forwards what it learns, so that updates spread in rounds. No guarantee depends on these messages:
//! they only make daemons read the table service sooner, or let them continue without it. See
//! docs/DESIGN.md, "Peers".

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use futures_util::future::join_all;
use http::Method;
use wasabiswitch_kernel::http::client::ClientRequest;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{BAD_REQUEST, Problem};
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::tables::MembersTable;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::ids::{BootId, DaemonId, InstanceId, TeamId};
use wasabiswitch_wire::message::{
    DaemonLoad, LEAVING_PER_MESSAGE_MAX, LOADS_PER_MESSAGE_MAX, PeerMessage, PeerReply,
    TEAM_LOADS_MAX, TeamLoad,
};
use wasabiswitch_wire::{decode, encode};

use crate::membership::live_peers;
use crate::route::control;

/// Path at which daemons receive messages.
pub const MESSAGE_PATH: &str = "/peer/v1/message";
/// Interval between two rounds of messages.
const SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers that get a message in a round.
const FANOUT: usize = 2;
/// Timeout of a message, shorter than the interval between two rounds.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a peer's report that a team is short of slots is valid.
const PEER_SHORTAGE_VALIDITY: Duration = Duration::from_secs(2);

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![control(Method::POST, MESSAGE_PATH, Access::Peer, receive)],
        periodic_tasks: vec![PeriodicTask {
            name: "peers",
            interval: |_| SEND_INTERVAL,
            wake: Some(|kernel| &kernel.wake_signals.peers),
            run: |kernel| async move { send_round(&kernel).await }.boxed(),
        }],
        ..Plugin::new("peers", &["membership", "config"])
    }
}

inventory::submit! { Registration(plugin) }

/// Number of rounds of all daemons in the process, used only to rotate the peers.
static ROUND: AtomicU64 = AtomicU64::new(0);

/// Sends one round of messages.
pub async fn send_round(kernel: &Arc<Kernel>) {
    let peers = live_peers(kernel);
    if peers.is_empty() {
        return;
    }
    let round = ROUND.fetch_add(1, Ordering::Relaxed) as usize;
    let first = round * FANOUT + fastrand::usize(..peers.len());
    let count = FANOUT.min(peers.len());
    let chosen = (0..count).map(|step| &peers[(first + step) % peers.len()].1);
    join_all(chosen.map(|address| send(kernel, address, false))).await;
}

async fn send(kernel: &Arc<Kernel>, address: &str, all_leaving: bool) {
    let body = encode(&gossip_message(kernel, all_leaving));
    metrics::counter!(metric::PEER_BYTES).increment(body.len() as u64);
    let outgoing = ClientRequest {
        method: Method::POST,
        path: MESSAGE_PATH,
        authorization: Some(&kernel.settings.peer_key),
        headers: &[],
        body: body.into(),
    };
    let Ok(peer_address) = address.parse() else { return };
    let sent_at = kernel.clock.now();
    let send_call = kernel.client.send(peer_address, outgoing);
    let response = tokio::time::timeout(SEND_TIMEOUT, send_call).await;
    let reply = match response {
        Ok(Ok(response)) => decode::<PeerReply>(&response.body).ok(),
        _ => None,
    };
    let outcome = if reply.is_some() { "answered" } else { "failed" };
    metrics::counter!(metric::PEER_MESSAGES, "outcome" => outcome).increment(1);
    let Some(reply) = reply else { return };
    apply_peer_reply(kernel, &reply, sent_at);
    if reply.send_all_leaving && !all_leaving {
        Box::pin(send(kernel, address, true)).await;
    }
}

/// Applies a peer's reply to a message that was sent at `sent_at`.
pub fn apply_peer_reply(kernel: &Kernel, reply: &PeerReply, sent_at: Instant) {
    let newer = {
        let mut members = kernel.tables.members.lock();
        members.connectivity.peer_answered(&reply.from, sent_at);
        // The age was measured when the peer replied, so counting it back from `sent_at` makes the
        // contact appear too old. Counting it back from now makes it appear too recent, which is safe.
        record_store_age(&mut members, kernel.clock.now(), reply.store_contact_age_ms);
        record_generation(&mut members, &reply.from, reply.generation);
        reply.generation
    };
    if newer > kernel.config().generation {
        kernel.wake_signals.config.notify_one();
    }
}

fn record_store_age(members: &mut MembersTable, now: Instant, age_ms: u64) {
    if let Some(at) = now.checked_sub(Duration::from_millis(age_ms)) {
        members.connectivity.record_store_contact(at);
    }
}

fn record_generation(members: &mut MembersTable, from: &str, generation: u64) {
    if let Some(member) = members.table.by_id_mut(from) {
        member.generation = member.generation.max(generation);
    }
}

/// Returns a message with the generation and the age of the last contact with the store, but without
/// loads and leaving instances.
pub fn probe_message(kernel: &Kernel) -> PeerMessage {
    let generation = kernel.config().generation;
    let now = kernel.clock.now();
    let members = kernel.tables.members.lock();
    PeerMessage {
        from: members.own.daemon.clone(),
        epoch: members.own.epoch,
        generation,
        loads: Vec::new(),
        leaving: Vec::new(),
        leaving_digest: 0,
        short_teams: Vec::new(),
        store_contact_age_ms: members.connectivity.store_contact_age(now).as_millis() as u64,
    }
}

fn gossip_message(kernel: &Kernel, all_leaving: bool) -> PeerMessage {
    let base = probe_message(kernel);
    let mut loads = vec![own_load(kernel)];
    loads.extend(other_loads(kernel));
    let mut leaving = leaving_boots(kernel);
    let leaving_digest = digest_leaving(&leaving);
    if !all_leaving {
        fastrand::shuffle(&mut leaving);
        leaving.truncate(LEAVING_PER_MESSAGE_MAX);
    }
    PeerMessage { loads, leaving, leaving_digest, short_teams: short_teams(kernel), ..base }
}

/// Returns the demand of the teams at this daemon, in descending order.
fn own_load(kernel: &Kernel) -> DaemonLoad {
    let mut teams = crate::limits::demand_by_pool(kernel);
    teams.sort_by_key(|load| std::cmp::Reverse(load.demand_slots));
    teams.truncate(TEAM_LOADS_MAX);
    let mut members = kernel.tables.members.lock();
    let own = &mut members.own;
    own.load_sequence += 1;
    DaemonLoad { daemon: own.daemon.clone(), epoch: own.epoch, sequence: own.load_sequence, teams }
}

/// Returns the most recently received loads of the other daemons, `LOADS_PER_MESSAGE_MAX - 1` at most.
fn other_loads(kernel: &Kernel) -> Vec<DaemonLoad> {
    let members = kernel.tables.members.lock();
    let mut known: Vec<&(DaemonLoad, Instant)> =
        members.table.iter().filter_map(|(_, member)| member.load.as_ref()).collect();
    known.sort_by_key(|(_, received_at)| std::cmp::Reverse(*received_at));
    known.into_iter().take(LOADS_PER_MESSAGE_MAX - 1).map(|(load, _)| load.clone()).collect()
}

fn leaving_boots(kernel: &Kernel) -> Vec<(InstanceId, BootId)> {
    let upstreams = kernel.tables.upstreams.lock();
    let mut leaving: Vec<(InstanceId, BootId)> = upstreams
        .table
        .iter()
        .filter(|(_, upstream)| upstream.leaving.applies_to(upstream.boot))
        .map(|(id, upstream)| (id.clone(), upstream.boot))
        .collect();
    leaving.sort();
    leaving
}

fn digest_leaving(leaving: &[(InstanceId, BootId)]) -> u64 {
    let mut hasher = DefaultHasher::new();
    leaving.hash(&mut hasher);
    hasher.finish()
}

fn short_teams(kernel: &Kernel) -> Vec<TeamId> {
    let teams = kernel.tables.teams.lock();
    let short = teams
        .table
        .iter()
        .filter(|(_, team)| team.short_since.is_some() && team.demand_slots() > team.held_slots);
    short.map(|(id, _)| id.clone()).take(TEAM_LOADS_MAX).collect()
}

async fn receive(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let message: PeerMessage =
        decode(&request.body).map_err(|error| Problem::not_run(BAD_REQUEST, error.to_string()))?;
    Ok(ControlReply::binary(encode(&handle_message(&kernel, message))))
}

/// Applies a peer's message and returns the reply.
pub fn handle_message(kernel: &Kernel, message: PeerMessage) -> PeerReply {
    let now = kernel.clock.now();
    let generation = message.generation;
    {
        let mut members = kernel.tables.members.lock();
        record_store_age(&mut members, now, message.store_contact_age_ms);
        record_generation(&mut members, &message.from, generation);
        for load in message.loads {
            record_load(&mut members, load, now);
        }
    }
    record_short_teams(kernel, &message.short_teams, now);
    for (instance, boot) in &message.leaving {
        crate::pools::record_leaving(kernel, instance, *boot, "peer");
    }
    let own_generation = kernel.config().generation;
    if generation > own_generation {
        kernel.wake_signals.config.notify_one();
    }
    let own_digest = digest_leaving(&leaving_boots(kernel));
    let has_digest = message.leaving_digest != 0;
    let members = kernel.tables.members.lock();
    PeerReply {
        from: members.own.daemon.clone(),
        epoch: members.own.epoch,
        generation: own_generation,
        send_all_leaving: has_digest && own_digest != message.leaving_digest,
        store_contact_age_ms: members.connectivity.store_contact_age(now).as_millis() as u64,
    }
}

/// Records the load of a daemon, unless a newer one is known.
///
/// A load that other peers have forwarded may arrive after a newer one.
fn record_load(members: &mut MembersTable, load: DaemonLoad, now: Instant) {
    if load.daemon == members.own.daemon {
        return;
    }
    let Some(member) = members.table.by_id_mut(&load.daemon) else { return };
    let newer = member
        .load
        .as_ref()
        .is_none_or(|(known, _)| (load.epoch, load.sequence) > (known.epoch, known.sequence));
    if newer && load.epoch == member.row.epoch {
        member.load = Some((load, now));
    }
}

fn record_short_teams(kernel: &Kernel, short: &[TeamId], now: Instant) {
    let mut teams = kernel.tables.teams.lock();
    let mut has_surplus = false;
    for id in short {
        if let Some(team) = teams.table.by_id_mut(id) {
            team.others_short_until = Some(now + PEER_SHORTAGE_VALIDITY);
            has_surplus |= team.held_slots > team.demand_slots();
        }
    }
    drop(teams);
    if has_surplus {
        kernel.wake_signals.teams.notify_one();
    }
}

/// Returns the loads of all live daemons by id; the order is the same on every daemon.
pub fn all_loads(kernel: &Kernel) -> BTreeMap<DaemonId, Vec<TeamLoad>> {
    let own = crate::limits::demand_by_pool(kernel);
    let members = kernel.tables.members.lock();
    let mut loads: BTreeMap<DaemonId, Vec<TeamLoad>> = members
        .table
        .iter()
        .map(|(id, member)| {
            let teams = member.load.as_ref().map_or(Vec::new(), |(load, _)| load.teams.clone());
            (id.clone(), teams)
        })
        .collect();
    loads.insert(members.own.daemon.clone(), own);
    loads
}
