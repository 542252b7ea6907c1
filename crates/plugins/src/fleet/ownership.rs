//! Watches the owner, takes the fleet over when it is gone, and hands it over at a stop.
//!
//! A daemon asks the owner for its status, which costs the store nothing. Only while the owner does not
//! answer that it may act does the daemon read the owner's row, and take over once the rules of
//! `wasabiswitch_policy::fleet::ownership` allow it.

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

use super::owner_calls::{OwnerAnswer, ask_owner, ask_peers, ask_to_give_up, know_owner};
use super::{port, term};

/// The table with one row a shard.
pub const OWNER_TABLE: &str = "owner";
/// How often the owner is asked for its status.
const WATCH_EVERY: Duration = Duration::from_millis(400);
/// How often the owner's row is read while the owner does not answer.
const SUSPECT_EVERY: Duration = Duration::from_millis(200);
/// How long a stop waits for the hand-over.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

fn plugin() -> Plugin {
    Plugin {
        platform_kind: PlatformKind::Fleet,
        periodic_tasks: vec![PeriodicTask {
            name: "ownership",
            interval: |_| WATCH_EVERY,
            wake: Some(|kernel| &kernel.wakes.owner),
            run: |kernel| async move { watch(&kernel).await }.boxed(),
        }],
        stop: |kernel| async move { release(&kernel).await }.boxed(),
        ..Plugin::new("fleet ownership", &["fleet configuration"])
    }
}

inventory::submit! { Registration(plugin) }

/// Returns the name of the row that names the owner.
pub(crate) fn owner_row_name() -> RowName {
    RowName { table: OWNER_TABLE, key: SHARDS[0].to_owned() }
}

/// What a daemon has seen while it suspects the owner.
#[derive(Default)]
struct Suspicion {
    seen: Option<Observation>,
    may_since: Option<Instant>,
    given_up: Option<SteppedDown>,
    silence: Option<UnresponsiveSince>,
}

impl Suspicion {
    /// Notes that the owner has answered, or not, a question that was sent at `asked`.
    fn note_answer(&mut self, answer: &OwnerAnswer, asked: Instant) {
        self.silence = match answer {
            OwnerAnswer::Silent(fence) => match self.silence {
                Some(silence) if silence.fence == *fence => Some(silence),
                _ => Some(UnresponsiveSince { fence: *fence, since: asked }),
            },
            OwnerAnswer::Acts | OwnerAnswer::StoreLost(..) | OwnerAnswer::Idle => None,
        };
    }
}

/// Watches the owner while it acts, and takes over when it does not.
async fn watch(kernel: &Arc<Kernel>) {
    if kernel.is_stopping() {
        return;
    }
    let mut suspicion = Suspicion::default();
    let asked = kernel.clock.now();
    let answer = ask_owner(kernel).await;
    suspicion.note_answer(&answer, asked);
    match answer {
        OwnerAnswer::Acts => return,
        OwnerAnswer::StoreLost(owner, milli) => {
            suspicion.given_up = ask_to_give_up(kernel, &owner, milli).await;
            if suspicion.given_up.is_none() {
                return;
            }
        }
        OwnerAnswer::Silent(_) | OwnerAnswer::Idle => {}
    }
    while !kernel.is_stopping() {
        match read_row(kernel).await {
            Ok(found) => {
                if look(kernel, found, &mut suspicion).await {
                    return;
                }
            }
            Err(error) => {
                log::warn!("owner not read verdict={} reason={error}", error.verdict.as_str());
                suspicion.seen = None;
                ask_peers(kernel).await;
            }
        }
        // Daemons that start together must not all write in the same moment.
        let jitter = Duration::from_millis(fastrand::u64(0..100));
        // The owner is asked during the pause: asking after it would double the time between reads.
        let asked = kernel.clock.now();
        let (answer, ()) =
            tokio::join!(ask_owner(kernel), tokio::time::sleep(SUSPECT_EVERY + jitter));
        suspicion.note_answer(&answer, asked);
        match answer {
            OwnerAnswer::Acts => return,
            OwnerAnswer::StoreLost(owner, milli) => {
                suspicion.given_up = ask_to_give_up(kernel, &owner, milli).await;
            }
            OwnerAnswer::Silent(_) | OwnerAnswer::Idle => {}
        }
    }
}

/// Decides on what was read; returns whether the watch can end.
async fn look(
    kernel: &Arc<Kernel>,
    found: Option<(OwnerRow, Version)>,
    suspicion: &mut Suspicion,
) -> bool {
    let own = &kernel.settings.daemon;
    let now = kernel.clock.now();
    let word = {
        let view = kernel.tables.fleet.lock();
        if view.config.is_none() {
            return false;
        }
        view.owner_heartbeat
    };
    let (fence, version, predecessor_deadline) = match &found {
        None => (1, 0, now),
        Some((row, version)) => {
            let observation = match &suspicion.seen {
                None => observe_first(row, *version, word, now),
                seen => observe(seen.as_ref(), *version, now),
            };
            let (given_up, silence) = (suspicion.given_up, suspicion.silence);
            let may = may_take_over(row, own, given_up, silence, &observation, now);
            let ends = predecessor_deadline(row, own, given_up, &observation);
            suspicion.seen = Some(observation);
            if !may {
                know_owner(kernel, &hint_of(row));
                suspicion.may_since = None;
                return false;
            }
            (row.fence + 1, *version, ends)
        }
    };
    let since = *suspicion.may_since.get_or_insert(now);
    let before_milli = found.as_ref().map(|(row, _)| row.processor_milli);
    let pause = takeover_delay(term::processor_milli(kernel), before_milli);
    if suspicion.given_up.is_none() && now.saturating_duration_since(since) < pause {
        return false;
    }
    let before = found.map(|(row, _)| row);
    take_over(kernel, fence, version, before, predecessor_deadline).await
}

/// Writes this daemon into the owner's row and runs its term; returns whether there was one.
///
/// The predecessor gives its last order at `predecessor_deadline` at the latest.
async fn take_over(
    kernel: &Arc<Kernel>,
    fence: u64,
    version: Version,
    before: Option<OwnerRow>,
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
                before.map_or_else(|| "nobody".to_owned(), |row| row.daemon.to_string())
            );
            know_owner(kernel, &hint_of(&row));
            term::run(kernel, row, version, sent, predecessor_deadline.max(sent)).await;
            true
        }
        Ok(RowTxOutcome::Conflict(_)) => {
            log::info!("another daemon took the fleet over fence={fence}");
            false
        }
        Err(error) => {
            // If the write took effect after all, the row names this daemon, which may then take
            // over at once under a higher fence.
            log::warn!("take-over not written fence={fence} reason={error}");
            false
        }
    }
}

fn hint_of(row: &OwnerRow) -> OwnerHint {
    OwnerHint { daemon: row.daemon.clone(), address: row.address.clone(), fence: row.fence }
}

pub(super) async fn read_row(
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
            log::error!("owner's row is damaged, it will be replaced reason={error}");
            Ok(None)
        }
    }
}

/// Waits until the term has ended, which it does by itself once a stop has begun.
async fn release(kernel: &Arc<Kernel>) {
    kernel.wakes.write.notify_one();
    let ended = async {
        while kernel.tables.term.lock().is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, ended).await.is_err() {
        log::warn!("the fleet was not handed over in time");
    }
}
