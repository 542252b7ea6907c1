//! Loads newer generations from the store or a peer and puts them into force.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use wasabiswitch_kernel::config_document::{self, Entries, digest, digest_after, read_entries};
use wasabiswitch_kernel::http::client::ClientRequest;
use wasabiswitch_kernel::http::control::{ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{BAD_REQUEST, Problem};
use wasabiswitch_kernel::store::{CallClass, CallOptions, StoreError};
use wasabiswitch_kernel::tables::ActiveConfig;
use wasabiswitch_kernel::{Error, ErrorKind, Kernel, metric};
use wasabiswitch_policy::generation::{GenerationRow, should_adopt};
use wasabiswitch_policy::ids::Generation;
use wasabiswitch_policy::merge;
use wasabiswitch_wire::message::{ConfigDelta, ConfigReply, ConfigRequest, ConfigSnapshot};
use wasabiswitch_wire::{decode, encode};

use super::GENERATION_KEY;
use super::apply::{Proposal, apply_changes};
use crate::membership::live_peers;

/// Maximum number of deltas that are kept in memory for peers with an older generation.
const RETAINED_DELTAS_MAX: usize = 256;
/// Maximum number of generations that are adopted by deltas alone; beyond it a snapshot is loaded first.
const DELTA_CHAIN_MAX: u64 = 128;
/// Timeout of a poll of the store or of one peer.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for loading the configuration at start.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Error that prevents the adoption of a configuration.
#[derive(Debug, thiserror::Error)]
pub enum AdoptError {
    /// The table service or the object store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An object is missing or corrupt, or its digest differs from the expected one.
    #[error("generation {generation}: {detail}")]
    Damaged {
        /// The generation that could not be adopted.
        generation: Generation,
        /// Description of the error.
        detail: String,
    },
}

fn damaged(generation: Generation, detail: impl Into<String>) -> AdoptError {
    AdoptError::Damaged { generation, detail: detail.into() }
}

/// Returns the name of the object that holds the delta of a generation.
pub(super) fn delta_object(generation: Generation, digest: u64) -> String {
    format!("config/delta/{generation}-{digest:016x}")
}

/// Returns the name of the object that holds the snapshot of a generation.
pub(super) fn snapshot_object(generation: Generation, digest: u64) -> String {
    format!("config/snapshot/{generation}-{digest:016x}")
}

/// Loads the configuration at start; if none is stored, applies the one of the setting `first_config`.
pub(super) async fn load_first(kernel: &Arc<Kernel>) -> Result<(), Error> {
    let options = kernel.store.within(CallClass::Control, LOAD_TIMEOUT);
    let row = kernel.store.read::<GenerationRow>(options, GENERATION_KEY).await?;
    if row.is_none()
        && let Some(folder) = &kernel.settings.first_config
    {
        let document = config_document::read_folder(folder)
            .map_err(|error| ErrorKind::FirstConfig(error.to_string()))?;
        let changes = merge::diff(&BTreeMap::new(), &document.entries);
        let proposal = Proposal { base: 0, changes, operator: "first-config".to_owned() };
        // Another daemon may apply its first configuration concurrently. Only one of them is accepted;
        // this daemon loads it below, so a failure is ignored here.
        let _ = apply_changes(kernel, proposal).await;
    }
    poll_store(kernel).await.map_err(|error| ErrorKind::StoredConfig(error.to_string()).into())
}

/// Adopts a newer generation from the store or, if the store fails, from a peer.
pub(super) async fn poll(kernel: &Arc<Kernel>) {
    if poll_store(kernel).await.is_err() {
        poll_peers(kernel).await;
    }
}

/// Reads the generation row and adopts the generation that it names.
pub async fn poll_store(kernel: &Kernel) -> Result<(), AdoptError> {
    let options = kernel.store.within(CallClass::Control, POLL_TIMEOUT);
    let stored = kernel.store.read::<GenerationRow>(options, GENERATION_KEY).await?;
    let Some(row) = stored.map(|stored| stored.value) else { return Ok(()) };
    let current = kernel.config().generation;
    if !should_adopt(current, row.generation) {
        return Ok(());
    }
    let started_at = kernel.clock.now();
    if row.generation - current > DELTA_CHAIN_MAX || current < row.snapshot {
        let name = snapshot_object(row.snapshot, row.snapshot_digest);
        let snapshot = load_object(kernel, options, row.snapshot, &name).await?;
        adopt_snapshot(kernel, snapshot)?;
    }
    let deltas = load_delta_chain(kernel, options, &row).await?;
    adopt_deltas(kernel, deltas)?;
    let seconds = kernel.clock.now().saturating_duration_since(started_at).as_secs_f64();
    metrics::histogram!(metric::CONFIG_SECONDS).record(seconds);
    Ok(())
}

/// Loads the deltas from the newest generation back to the one in force; returns them in ascending order.
async fn load_delta_chain(
    kernel: &Kernel,
    options: CallOptions,
    row: &GenerationRow,
) -> Result<Vec<ConfigDelta>, AdoptError> {
    let current = kernel.config().generation;
    let mut chain = VecDeque::new();
    let (mut generation, mut digest) = (row.generation, row.digest);
    while generation > current {
        let name = delta_object(generation, digest);
        let delta: ConfigDelta = load_object(kernel, options, generation, &name).await?;
        (generation, digest) = (generation - 1, delta.previous_digest);
        chain.push_front(delta);
    }
    Ok(chain.into())
}

async fn load_object<T: wasabiswitch_wire::codec::WireType>(
    kernel: &Kernel,
    options: CallOptions,
    generation: Generation,
    name: &str,
) -> Result<T, AdoptError> {
    let object = kernel.store.get_object(options, name).await?;
    let bytes = object.ok_or_else(|| damaged(generation, format!("there is no object {name}")))?;
    decode(&bytes).map_err(|error| damaged(generation, error.to_string()))
}

/// Requests the configuration from peers with a newer generation, one after the other, until one is
/// adopted.
async fn poll_peers(kernel: &Arc<Kernel>) {
    let current = kernel.config().generation;
    let newer_peers: Vec<String> = {
        let members = kernel.tables.members.lock();
        let newer = members.table.iter().filter(|(_, member)| member.generation > current);
        newer.map(|(_, member)| member.row.address.clone()).collect()
    };
    for address in newer_peers {
        if fetch_from_peer(kernel, &address).await.is_some() {
            return;
        }
    }
}

async fn fetch_from_peer(kernel: &Arc<Kernel>, address: &str) -> Option<()> {
    let request = ConfigRequest { after: kernel.config().generation };
    let outgoing = ClientRequest {
        method: Method::POST,
        path: "/peer/v1/config",
        authorization: Some(&kernel.settings.peer_key),
        headers: &[],
        body: encode(&request).into(),
    };
    let send = kernel.client.send(address.parse().ok()?, outgoing);
    let response = tokio::time::timeout(POLL_TIMEOUT, send).await.ok()?.ok()?;
    let adopted = match decode::<ConfigReply>(&response.body).ok()? {
        ConfigReply::Deltas(deltas) => adopt_deltas(kernel, deltas),
        ConfigReply::Snapshot(snapshot) => adopt_snapshot(kernel, snapshot),
    };
    adopted.ok()
}

/// Serves newer deltas to a peer, or a snapshot if this daemon does not hold all deltas that it needs.
pub(super) async fn serve_peer(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let request: ConfigRequest =
        decode(&request.body).map_err(|error| Problem::not_run(BAD_REQUEST, error.to_string()))?;
    let table = kernel.tables.config.lock();
    let newer = table.deltas.iter().filter(|delta| delta.generation > request.after);
    let deltas: Vec<ConfigDelta> = newer.cloned().collect();
    let contiguous = deltas.first().is_none_or(|delta| delta.generation == request.after + 1);
    let reply = if contiguous && request.after + deltas.len() as u64 == table.active.generation {
        ConfigReply::Deltas(deltas)
    } else {
        ConfigReply::Snapshot(ConfigSnapshot {
            generation: table.active.generation,
            digest: table.active.digest,
            entries: table.active.entries.clone(),
        })
    };
    Ok(ControlReply::binary(encode(&reply)))
}

/// Puts deltas into force, skipping those that are not newer than the generation in force.
pub fn adopt_deltas(kernel: &Kernel, deltas: Vec<ConfigDelta>) -> Result<(), AdoptError> {
    let mut next = (*kernel.config()).clone();
    let mut adopted = Vec::new();
    for delta in deltas {
        if !should_adopt(next.generation, delta.generation) {
            continue;
        }
        if delta.generation != next.generation + 1 || delta.previous_digest != next.digest {
            return Err(damaged(delta.generation, "it does not follow the one in force"));
        }
        next = apply_delta(next, &delta)?;
        adopted.push(delta);
    }
    activate(kernel, next, adopted);
    Ok(())
}

fn apply_delta(mut next: ActiveConfig, delta: &ConfigDelta) -> Result<ActiveConfig, AdoptError> {
    next.digest = digest_after(next.digest, &next.entries, &delta.changes);
    if next.digest != delta.digest {
        return Err(damaged(delta.generation, "the digest does not match the changes"));
    }
    merge::apply(&mut next.entries, &delta.changes);
    config_document::apply_changes(&mut next.config, &delta.changes)
        .map_err(|errors| damaged(delta.generation, errors[0].to_string()))?;
    next.generation = delta.generation;
    Ok(next)
}

/// Puts a snapshot into force, unless it is not newer than the generation in force.
pub fn adopt_snapshot(kernel: &Kernel, snapshot: ConfigSnapshot) -> Result<(), AdoptError> {
    if !should_adopt(kernel.config().generation, snapshot.generation) {
        return Ok(());
    }
    if digest(&snapshot.entries) != snapshot.digest {
        return Err(damaged(snapshot.generation, "the digest does not match the entries"));
    }
    let next = build_active_config(snapshot.generation, snapshot.entries)
        .map_err(|detail| damaged(snapshot.generation, detail))?;
    activate(kernel, next, Vec::new());
    Ok(())
}

fn build_active_config(generation: Generation, entries: Entries) -> Result<ActiveConfig, String> {
    let config = read_entries(&entries).map_err(|errors| errors[0].to_string())?;
    Ok(ActiveConfig { generation, digest: digest(&entries), entries, config })
}

fn activate(kernel: &Kernel, next: ActiveConfig, deltas: Vec<ConfigDelta>) {
    let active = Arc::new(next);
    {
        let mut table = kernel.tables.config.lock();
        // Another task may have put a newer generation into force; the generation never decreases.
        if !should_adopt(table.active.generation, active.generation) {
            return;
        }
        if deltas.is_empty() {
            table.deltas.clear();
        }
        table.deltas.extend(deltas);
        while table.deltas.len() > RETAINED_DELTAS_MAX {
            table.deltas.pop_front();
        }
        table.active = active.clone();
    }
    kernel.notify_config_adopted(&active);
    metrics::gauge!(metric::CONFIG_GENERATION).set(active.generation as f64);
    kernel.wake_signals.peers.notify_one();
    log::debug!("generation {} is in force", active.generation);
}

/// Returns the live peers that are asked to confirm a generation, with their addresses.
pub(super) fn peers_to_confirm(kernel: &Kernel) -> Vec<(Arc<str>, String)> {
    live_peers(kernel)
}
