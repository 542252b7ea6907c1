//! Applies new configurations: stores them conditionally and waits until a majority confirms them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::Method;
use serde::Deserialize;
use serde_json::json;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::config_document::{self, digest_after};
use wasabiswitch_kernel::http::client::ClientRequest;
use wasabiswitch_kernel::http::control::{ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{CONFLICT, INVALID, NOT_IN_FORCE, Problem};
use wasabiswitch_kernel::store::{CallClass, CallOptions, Change};
use wasabiswitch_kernel::tables::ActiveConfig;
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::config::{check, check_change};
use wasabiswitch_policy::generation::{GenerationRow, advance, is_majority};
use wasabiswitch_policy::ids::{DaemonId, Generation, PoolId};
use wasabiswitch_policy::merge;
use wasabiswitch_wire::message::{ConfigDelta, ConfigSnapshot, PeerReply};
use wasabiswitch_wire::{decode, encode};

use super::GENERATION_KEY;
use super::adopt::{adopt_deltas, delta_object, peers_to_confirm, snapshot_object};
use crate::membership::holds_lease;
use crate::peers::{MESSAGE_PATH, apply_peer_reply, probe_message};
use crate::route::{json_body, store_problem};

/// Timeout for storing a configuration.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which a majority must confirm a configuration, which is the time in which it must be in force.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a peer is asked for its generation again.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Changes to the configuration that an operator proposes.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Generation on which the changes are based.
    pub base: Generation,
    /// Entries to set or remove.
    pub changes: Vec<merge::Change<String>>,
    /// Operator who proposes the changes.
    pub operator: String,
}

/// A configuration that a majority of the live daemons has in force.
#[derive(Clone, Debug)]
pub struct Applied {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Daemons that confirmed the generation, including the one that applied it.
    pub confirmed: Vec<DaemonId>,
    /// Daemons that were live when the confirmation began.
    pub live: Vec<DaemonId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyBody {
    base: Generation,
    changes: Vec<ApplyChange>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyChange {
    section: String,
    name: String,
    value: Option<serde_json::Value>,
}

pub(super) async fn apply_route(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let body: ApplyBody = json_body(&request.body)?;
    let changes = body.changes.into_iter();
    let changes = changes
        .map(|change| ((change.section, change.name), change.value.map(|v| v.to_string())))
        .collect();
    let proposal = Proposal { base: body.base, changes, operator: request.operator };
    let applied = apply_changes(&kernel, proposal).await?;
    Ok(ControlReply::json(&json!({
        "generation": applied.generation,
        "confirmed": applied.confirmed,
        "live": applied.live,
    })))
}

/// Stores the changes and waits until a majority of the live daemons has put them into force.
pub async fn apply_changes(kernel: &Arc<Kernel>, proposal: Proposal) -> Result<Applied, Problem> {
    if !holds_lease(kernel) {
        let detail = "this daemon's session is not in force, so it cannot store anything";
        return Err(Problem::not_run(NOT_IN_FORCE, detail));
    }
    let before = kernel.config();
    if before.generation != proposal.base {
        return Err(generation_conflict(proposal.base, before.generation));
    }
    let after = check_proposal(kernel, &before, &proposal)?;
    let delta = ConfigDelta {
        generation: proposal.base + 1,
        digest: digest_after(before.digest, &before.entries, &proposal.changes),
        previous_digest: before.digest,
        changes: proposal.changes,
    };
    store(kernel, &delta, after, &proposal.operator).await?;
    adopt_deltas(kernel, vec![delta.clone()])
        .map_err(|error| Problem::with_verdict(NOT_IN_FORCE, Verdict::Ran, error.to_string()))?;
    confirm(kernel, delta.generation).await
}

fn generation_conflict(base: Generation, newest: Generation) -> Problem {
    let detail = format!("the changes were made from generation {base}, and {newest} is in force");
    Problem::not_run(CONFLICT, detail)
}

fn check_proposal(
    kernel: &Kernel,
    before: &ActiveConfig,
    proposal: &Proposal,
) -> Result<BTreeMap<merge::EntryKey, String>, Problem> {
    // The digest is updated change by change, which requires that each entry changes at most once.
    let changed: BTreeSet<&merge::EntryKey> = proposal.changes.iter().map(|(key, _)| key).collect();
    if changed.len() < proposal.changes.len() {
        return Err(Problem::not_run(INVALID, "an entry is changed twice"));
    }
    let mut entries = before.entries.clone();
    merge::apply(&mut entries, &proposal.changes);
    // Only the changed entries are parsed; the others were parsed when they came into force.
    let mut config = before.config.clone();
    config_document::apply_changes(&mut config, &proposal.changes).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Problem::not_run(INVALID, lines.join("\n"))
    })?;
    let mut errors = check(&config);
    errors.extend(check_change(&pools_in_use(kernel), &config));
    if errors.is_empty() {
        return Ok(entries);
    }
    let lines: Vec<String> = errors
        .iter()
        .map(|error| format!("{}.{}.{}: {}", error.section, error.name, error.field, error.detail))
        .collect();
    Err(Problem::not_run(INVALID, lines.join("\n")))
}

/// Returns the pools that the rows of instances name.
fn pools_in_use(kernel: &Kernel) -> Vec<PoolId> {
    let instances = kernel.tables.instances.lock();
    let rows = instances.table.iter().filter_map(|(_, entry)| entry.row.as_ref());
    let pools: BTreeSet<PoolId> = rows.map(|row| row.pool.clone()).collect();
    pools.into_iter().collect()
}

async fn store(
    kernel: &Kernel,
    delta: &ConfigDelta,
    entries: BTreeMap<merge::EntryKey, String>,
    operator: &str,
) -> Result<(), Problem> {
    let options = kernel.store.within(CallClass::Control, STORE_TIMEOUT);
    let name = delta_object(delta.generation, delta.digest);
    // The objects are written before the row, which must never name a missing object.
    put(kernel, options, &name, encode(delta)).await?;
    let (generation, digest) = (delta.generation, delta.digest);
    let newest = kernel
        .store
        .read::<GenerationRow>(options, GENERATION_KEY)
        .await
        .map_err(|error| store_problem(&error))?;
    let planned = advance(newest.as_ref().map(|s| &s.value), generation - 1, digest, operator);
    if planned.is_some_and(|row| row.snapshot == generation) {
        let snapshot = ConfigSnapshot { generation, digest, entries };
        put(kernel, options, &snapshot_object(generation, digest), encode(&snapshot)).await?;
    }
    let committed = kernel
        .store
        .mutate(options, GENERATION_KEY, |row: Option<&GenerationRow>| {
            match advance(row, generation - 1, digest, operator) {
                Some(next) => Change::Write(next, Ok(())),
                None => Change::Keep(Err(row.map_or(0, |row| row.generation))),
            }
        })
        .await
        .map_err(|error| store_problem(&error))?;
    committed.map_err(|newest| generation_conflict(generation - 1, newest))
}

async fn put(
    kernel: &Kernel,
    options: CallOptions,
    name: &str,
    body: Vec<u8>,
) -> Result<(), Problem> {
    // An object that no row names has no effect, so a failure here certainly leaves none.
    kernel.store.put_object(options, name, body.into()).await.map_err(|error| {
        let mut problem = store_problem(&error);
        problem.verdict = Verdict::NotRun;
        problem
    })
}

/// Waits until a majority of the live daemons has the generation in force.
async fn confirm(kernel: &Arc<Kernel>, generation: Generation) -> Result<Applied, Problem> {
    let own = kernel.settings.daemon.clone();
    let peers = peers_to_confirm(kernel);
    let live: BTreeSet<DaemonId> =
        peers.iter().map(|(id, _)| id.clone()).chain([own.clone()]).collect();
    let mut confirmed = BTreeSet::from([own]);
    let mut confirmations: FuturesUnordered<_> = peers
        .into_iter()
        .map(|(id, address)| async move {
            let wait = wait_for_peer(kernel, &address, generation);
            tokio::time::timeout(CONFIRM_TIMEOUT, wait).await.is_ok().then_some(id)
        })
        .collect();
    while !is_majority(&confirmed, &live) {
        match confirmations.next().await {
            Some(confirmation) => confirmed.extend(confirmation),
            None => break,
        }
    }
    let in_force = is_majority(&confirmed, &live);
    let applied = Applied {
        generation,
        confirmed: confirmed.into_iter().collect(),
        live: live.into_iter().collect(),
    };
    if in_force {
        return Ok(applied);
    }
    let detail = format!(
        "generation {generation} is stored, and {} of {} daemons have confirmed it",
        applied.confirmed.len(),
        applied.live.len()
    );
    Err(Problem::with_verdict(NOT_IN_FORCE, Verdict::MayHaveRun, detail))
}

/// Sends a peer the number of the new generation until the peer reports that it has it in force.
async fn wait_for_peer(kernel: &Arc<Kernel>, address: &str, generation: Generation) {
    loop {
        if request_generation(kernel, address).await.is_some_and(|in_force| in_force >= generation)
        {
            return;
        }
        tokio::time::sleep(CONFIRM_RETRY_DELAY).await;
    }
}

async fn request_generation(kernel: &Arc<Kernel>, address: &str) -> Option<Generation> {
    let outgoing = ClientRequest {
        method: Method::POST,
        path: MESSAGE_PATH,
        authorization: Some(&kernel.settings.peer_key),
        headers: &[],
        body: encode(&probe_message(kernel)).into(),
    };
    let sent_at = kernel.clock.now();
    let response = kernel.client.send(address.parse().ok()?, outgoing).await.ok()?;
    let reply: PeerReply = decode(&response.body).ok()?;
    apply_peer_reply(kernel, &reply, sent_at);
    Some(reply.generation)
}
