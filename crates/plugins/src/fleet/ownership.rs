//! Probes the owner, takes the fleet over when the owner fails, and hands it over at a stop.
//!
//! A daemon requests the owner's status, which puts no load on the store. It reads the owner's row only
//! while the owner does not confirm that it acts, and takes over once the rules of
//! `wasabiswitch_policy::fleet::ownership` allow it. See docs/PLATFORM.md.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt as _;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::Version;
use wasabiswitch_kernel::platform::fleet::{RowName, RowRange, RowTx, RowTxOutcome};
use wasabiswitch_kernel::plugin::{PeriodicTask, PlatformKind, Plugin, Registration};
use wasabiswitch_policy::fleet::calls::OwnerHint;
use wasabiswitch_policy::fleet::ownership::{
    Observation, OwnerRow, SHARDS, SteppedDown, UnresponsiveSince, may_take_over, observe,
    observe_first, predecessor_deadline, takeover_delay,
};
use wasabiswitch_wire::{decode, encode};

use super::owner_calls::{
    OwnerProbe, probe_owner, query_peers_for_owner, request_step_down, set_known_owner,
};
use super::{port, term};

/// The table with the owner's row of each shard.
pub const OWNER_TABLE: &str = "owner";
/// Interval between two probes of an owner that acts.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two reads of the owner's row while the owner is suspected.
const SUSPECT_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a stop waits for the handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

fn plugin() -> Plugin {
    Plugin {
        platform_kind: PlatformKind::Fleet,
        periodic_tasks: vec![PeriodicTask {
            name: "ownership",
            interval: |_| PROBE_INTERVAL,
            wake: Some(|kernel| &kernel.wake_signals.owner),
            run: |kernel| async move { watch(&kernel).await }.boxed(),
        }],
        stop: |kernel| async move { wait_for_handover(&kernel).await }.boxed(),
        ..Plugin::new("fleet ownership", &["fleet configuration"])
    }
}

inventory::submit! { Registration(plugin) }

/// Returns the key of the owner's row.
pub(crate) fn owner_row_name() -> RowName {
    RowName { table: OWNER_TABLE, key: SHARDS[0].to_owned() }
}

/// Evidence that a daemon has collected since it began to suspect the owner.
#[derive(Default)]
struct Suspicion {
    observation: Option<Observation>,
    eligible_since: Option<Instant>,
    stepped_down: Option<SteppedDown>,
    unresponsive: Option<UnresponsiveSince>,
}

impl Suspicion {
    /// Records the result of a probe that was sent at `sent`.
    fn record_probe(&mut self, probe: &OwnerProbe, sent: Instant) {
        self.unresponsive = match probe {
            OwnerProbe::Unresponsive(fence) => match self.unresponsive {
                Some(unresponsive) if unresponsive.fence == *fence => Some(unresponsive),
                _ => Some(UnresponsiveSince { fence: *fence, since: sent }),
            },
            OwnerProbe::Acting | OwnerProbe::StoreLost(..) | OwnerProbe::NotActing => None,
        };
    }
}

/// Probes the owner, and takes the fleet over if the owner has failed.
///
/// A stopping daemon still follows the ownership, since it forwards the calls that it receives until its end.
async fn watch(kernel: &Arc<Kernel>) {
    let mut suspicion = Suspicion::default();
    let sent = kernel.clock.now();
    let probe = probe_owner(kernel).await;
    suspicion.record_probe(&probe, sent);
    match probe {
        OwnerProbe::Acting => return,
        OwnerProbe::StoreLost(owner, processor_milli) => {
            suspicion.stepped_down = request_step_down(kernel, &owner, processor_milli).await;
            if suspicion.stepped_down.is_none() {
                return;
            }
        }
        OwnerProbe::Unresponsive(_) | OwnerProbe::NotActing => {}
    }
    loop {
        match read_owner_row(kernel).await {
            Ok(found) => {
                if evaluate_owner_row(kernel, found, &mut suspicion).await {
                    return;
                }
            }
            Err(error) => {
                log::warn!("owner row not read verdict={} reason={error}", error.verdict.as_str());
                suspicion.observation = None;
                query_peers_for_owner(kernel).await;
            }
        }
        // The jitter keeps daemons that start together from writing at the same moment.
        let jitter = Duration::from_millis(fastrand::u64(0..100));
        // The owner is probed during the pause: a probe after it would double the time between reads.
        let sent = kernel.clock.now();
        let (probe, ()) =
            tokio::join!(probe_owner(kernel), tokio::time::sleep(SUSPECT_READ_INTERVAL + jitter));
        suspicion.record_probe(&probe, sent);
        match probe {
            OwnerProbe::Acting => return,
            OwnerProbe::StoreLost(owner, processor_milli) => {
                suspicion.stepped_down = request_step_down(kernel, &owner, processor_milli).await;
            }
            OwnerProbe::Unresponsive(_) | OwnerProbe::NotActing => {}
        }
    }
}

/// Takes the fleet over if the owner's row allows it, and runs the term; returns whether there was a term.
///
/// A stopping daemon only records the owner that the row names.
async fn evaluate_owner_row(
    kernel: &Arc<Kernel>,
    found: Option<(OwnerRow, Version)>,
    suspicion: &mut Suspicion,
) -> bool {
    if kernel.is_stopping() {
        // This daemon would hand the fleet over again at once.
        if let Some((row, _)) = &found {
            set_known_owner(kernel, &owner_hint(row));
        }
        return false;
    }
    let own = &kernel.settings.daemon;
    let now = kernel.clock.now();
    let heartbeat = {
        let view = kernel.tables.fleet.lock();
        if view.config.is_none() {
            return false;
        }
        view.owner_heartbeat
    };
    let (fence, version, predecessor_deadline) = match &found {
        None => (1, 0, now),
        Some((row, version)) => {
            let observation = match &suspicion.observation {
                None => observe_first(row, *version, heartbeat, now),
                observation => observe(observation.as_ref(), *version, now),
            };
            let (stepped_down, unresponsive) = (suspicion.stepped_down, suspicion.unresponsive);
            let may_replace =
                may_take_over(row, own, stepped_down, unresponsive, &observation, now);
            let deadline = predecessor_deadline(row, own, stepped_down, &observation);
            suspicion.observation = Some(observation);
            if !may_replace {
                set_known_owner(kernel, &owner_hint(row));
                suspicion.eligible_since = None;
                return false;
            }
            (row.fence + 1, *version, deadline)
        }
    };
    let since = *suspicion.eligible_since.get_or_insert(now);
    let predecessor_milli = found.as_ref().map(|(row, _)| row.processor_milli);
    let delay = takeover_delay(term::processor_milli(kernel), predecessor_milli);
    if suspicion.stepped_down.is_none() && now.saturating_duration_since(since) < delay {
        return false;
    }
    let predecessor = found.map(|(row, _)| row);
    take_over(kernel, fence, version, predecessor, predecessor_deadline).await
}

/// Writes this daemon into the owner's row and runs its term; returns whether the write succeeded.
///
/// The predecessor sends its last order no later than `predecessor_deadline`.
async fn take_over(
    kernel: &Arc<Kernel>,
    fence: u64,
    version: Version,
    predecessor: Option<OwnerRow>,
    predecessor_deadline: Instant,
) -> bool {
    let row = OwnerRow {
        daemon: kernel.settings.daemon.clone(),
        incarnation: kernel.incarnation(),
        address: kernel.control_address().to_string(),
        fence,
        writes: 1,
        released: false,
        processor_milli: term::processor_milli(kernel),
    };
    let name = owner_row_name();
    let tx = RowTx {
        expected: vec![(name.clone(), version)],
        puts: vec![(name, Bytes::from(encode(&row)))],
        removes: Vec::new(),
    };
    let sent = kernel.clock.now();
    match (port(kernel).commit)(tx).await {
        Ok(RowTxOutcome::Committed(version)) => {
            log::info!(
                "took the fleet over fence={fence} before={}",
                predecessor.map_or_else(|| "nobody".to_owned(), |row| row.daemon.to_string())
            );
            set_known_owner(kernel, &owner_hint(&row));
            term::run(kernel, row, version, sent, predecessor_deadline.max(sent)).await;
            true
        }
        Ok(RowTxOutcome::Conflict(_)) => {
            log::info!("another daemon took the fleet over fence={fence}");
            false
        }
        Err(error) => {
            // If the write has taken effect nevertheless, the row names this daemon, which may then take over
            // at once under a higher fence.
            log::warn!("takeover not written fence={fence} reason={error}");
            false
        }
    }
}

fn owner_hint(row: &OwnerRow) -> OwnerHint {
    OwnerHint { daemon: row.daemon.clone(), address: row.address.clone(), fence: row.fence }
}

/// Reads the owner's row; a row that cannot be decoded counts as missing.
pub(super) async fn read_owner_row(
    kernel: &Kernel,
) -> wasabiswitch_kernel::platform::PlatformResult<Option<(OwnerRow, Version)>> {
    let range = RowRange { table: OWNER_TABLE, from: SHARDS[0].to_owned(), rows_max: 1 };
    let page = (port(kernel).read)(range).await?;
    let Some(row) = page.rows.into_iter().find(|row| row.key == SHARDS[0]) else {
        return Ok(None);
    };
    match decode::<OwnerRow>(&row.value) {
        Ok(read) => Ok(Some((read, row.version))),
        Err(error) => {
            log::error!("owner row not decoded, treated as missing reason={error}");
            Ok(None)
        }
    }
}

/// Waits until the term has ended; a term ends by itself once the daemon stops.
async fn wait_for_handover(kernel: &Arc<Kernel>) {
    kernel.wake_signals.write.notify_one();
    let ended = async {
        while kernel.tables.term.lock().is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(HANDOVER_TIMEOUT, ended).await.is_err() {
        log::warn!("the fleet was not handed over in time");
    }
}
