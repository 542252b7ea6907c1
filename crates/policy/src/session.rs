//! Sessions of daemons: leases without a shared clock, and the fence that ends them.
//!
//! Each daemon keeps one row. It counts its lease from before it sent the renewal, so that it stops
//! no later than anyone else may end it. An observer may end a session only after it has seen the row
//! unchanged for the lease time and a margin, on its own monotonic clock, and only by a conditional
//! write. No wall clock is compared. See docs/DESIGN.md, "Sessions".

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, DataCentre, Epoch};

/// The times of a lease.
#[derives(value)]
pub struct LeaseTimes {
    /// How long a renewal is good for.
    pub lease: Duration,
    /// How much longer an observer waits, which covers the difference between two clocks' rates.
    pub margin: Duration,
}

impl LeaseTimes {
    /// Returns how often a holder renews.
    pub fn renew_every(&self) -> Duration {
        self.lease / 3
    }
}

/// Whether a session is in force.
#[derives(value)]
pub enum SessionState {
    /// Its daemon renews it.
    Live,
    /// Its daemon ended it after all its work had ended.
    Ended,
    /// An observer ended it; its daemon may still be running.
    Fenced,
}

/// The row of a daemon.
#[derives(record)]
pub struct SessionRow {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its current session.
    pub epoch: Epoch,
    /// Where its control listener is, as `IP:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// How often this session was renewed; any change shows that its holder lives.
    pub renewals: u64,
    /// Whether the session is in force.
    pub state: SessionState,
}

/// Returns the row of a new session of a daemon, which fences the daemon's earlier ones.
pub fn start(
    row: Option<&SessionRow>,
    daemon: &DaemonId,
    address: &str,
    data_centre: &DataCentre,
) -> SessionRow {
    SessionRow {
        daemon: daemon.clone(),
        epoch: row.map_or(0, |row| row.epoch) + 1,
        address: address.to_owned(),
        data_centre: data_centre.clone(),
        renewals: 0,
        state: SessionState::Live,
    }
}

/// Returns the renewed row, or `None` if the session is no longer in force.
pub fn renew(row: Option<&SessionRow>, epoch: Epoch) -> Option<SessionRow> {
    let row = row.filter(|row| row.epoch == epoch && row.state == SessionState::Live)?;
    Some(SessionRow { renewals: row.renewals + 1, ..row.clone() })
}

/// Returns the row after a planned stop, or `None` if the session is no longer in force.
pub fn end(row: Option<&SessionRow>, epoch: Epoch) -> Option<SessionRow> {
    let row = row.filter(|row| row.epoch == epoch && row.state == SessionState::Live)?;
    Some(SessionRow { state: SessionState::Ended, ..row.clone() })
}

/// Returns the fenced row, or `None` if the row is not the one that was watched.
pub fn fence(row: &SessionRow, epoch: Epoch, renewals: u64) -> Option<SessionRow> {
    let unchanged =
        row.epoch == epoch && row.renewals == renewals && row.state == SessionState::Live;
    unchanged.then(|| SessionRow { state: SessionState::Fenced, ..row.clone() })
}

/// The holder's view of its own lease.
#[derives(value)]
pub struct Lease {
    times: LeaseTimes,
    valid_from: Option<Instant>,
    lost: bool,
}

impl Lease {
    /// Creates a lease that is not yet held.
    pub fn new(times: LeaseTimes) -> Lease {
        Lease { times, valid_from: None, lost: false }
    }

    /// Records a renewal that took effect; `sent_at` is the time before it was sent.
    pub fn renewed(&mut self, sent_at: Instant) {
        if self.valid_from.is_none_or(|from| sent_at > from) {
            self.valid_from = Some(sent_at);
        }
    }

    /// Records that the session was found fenced.
    pub fn invalidate(&mut self) {
        self.lost = true;
    }

    /// Reports whether the holder may act on the session.
    pub fn is_held(&self, now: Instant) -> bool {
        !self.lost && self.valid_from.is_some_and(|from| now < from + self.times.lease)
    }

    /// Returns the time from which the lease is counted, unless the session was found fenced.
    pub fn valid_from(&self) -> Option<Instant> {
        self.valid_from.filter(|_| !self.lost)
    }

    /// Reports whether the lease was held and has run out or was fenced.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.valid_from.is_some() && !self.is_held(now)
    }
}

/// What an observer knows of one daemon's row.
#[derives(record)]
struct Seen {
    epoch: Epoch,
    renewals: u64,
    state: SessionState,
    unchanged_since: Instant,
    // When the row was first read after it could have been renewed in time, and was not.
    expired_at: Option<Instant>,
}

/// A session that may be fenced.
#[derives(record)]
pub struct ExpiredSession {
    /// The daemon.
    pub daemon: DaemonId,
    /// The session.
    pub epoch: Epoch,
    /// The renewals that the fence names.
    pub renewals: u64,
    /// When the lapse was read from the store.
    pub expired_at: Instant,
}

/// An observer's memory of all session rows, on its own monotonic clock.
#[derives(record)]
#[derive(Default)]
pub struct SessionWatch {
    seen: BTreeMap<DaemonId, Seen>,
    // When each session was first seen to be over without a clean end.
    over_since: BTreeMap<(DaemonId, Epoch), Instant>,
    last_read_at: Option<Instant>,
}

impl SessionWatch {
    /// Begins to record rows that were read together at `read_at`.
    ///
    /// After a gap of more than `gap_max` without a read, all sessions get a whole new lease time: the
    /// store may have been down for their holders as well.
    pub fn begin_read(&mut self, read_at: Instant, gap_max: Duration) {
        let gap = self.last_read_at.is_some_and(|last| read_at > last + gap_max);
        if gap {
            for seen in self.seen.values_mut() {
                seen.unchanged_since = read_at;
                seen.expired_at = None;
            }
        }
        self.last_read_at = Some(read_at);
    }

    /// Records a row as read; `read_at` is the time after the read was answered.
    pub fn observe(&mut self, row: &SessionRow, times: LeaseTimes, read_at: Instant) {
        let changed = self.seen.get(&row.daemon).is_none_or(|seen| {
            (seen.epoch, seen.renewals, seen.state) != (row.epoch, row.renewals, row.state)
        });
        if !changed {
            self.note_unchanged(&row.daemon, times, read_at);
            return;
        }
        if let Some(before) = self.seen.get(&row.daemon)
            && before.epoch < row.epoch
            && before.state == SessionState::Live
        {
            self.over_since.entry((row.daemon.clone(), before.epoch)).or_insert(read_at);
        }
        if row.state == SessionState::Fenced {
            self.over_since.entry((row.daemon.clone(), row.epoch)).or_insert(read_at);
        }
        let seen = Seen {
            epoch: row.epoch,
            renewals: row.renewals,
            state: row.state,
            unchanged_since: read_at,
            expired_at: None,
        };
        self.seen.insert(row.daemon.clone(), seen);
    }

    fn note_unchanged(&mut self, daemon: &DaemonId, times: LeaseTimes, read_at: Instant) {
        let Some(seen) = self.seen.get_mut(daemon) else { return };
        let lapses_at = seen.unchanged_since + times.lease + times.margin;
        if seen.state == SessionState::Live && read_at >= lapses_at && seen.expired_at.is_none() {
            seen.expired_at = Some(read_at);
        }
    }

    /// Returns the sessions that may be fenced.
    pub fn expired(&self) -> Vec<ExpiredSession> {
        self.seen
            .iter()
            .filter_map(|(daemon, seen)| {
                Some(ExpiredSession {
                    daemon: daemon.clone(),
                    epoch: seen.epoch,
                    renewals: seen.renewals,
                    expired_at: seen.expired_at?,
                })
            })
            .collect()
    }

    /// Reports whether the work of a session must have ended.
    ///
    /// That is at once for a session that its daemon ended, and otherwise `work_time` after the
    /// session was first seen to be over, where `work_time` covers the longest request.
    pub fn work_ended(
        &mut self,
        daemon: &DaemonId,
        epoch: Epoch,
        work_time: Duration,
        now: Instant,
    ) -> bool {
        let Some(seen) = self.seen.get(daemon) else { return false };
        if seen.epoch == epoch {
            match seen.state {
                SessionState::Live => return false,
                SessionState::Ended => return true,
                SessionState::Fenced => {}
            }
        }
        if seen.epoch < epoch {
            return false;
        }
        let since = *self.over_since.entry((daemon.clone(), epoch)).or_insert(now);
        now >= since + work_time
    }

    /// Returns the daemons whose sessions are in force, in the order of their names.
    pub fn live(&self) -> Vec<(DaemonId, Epoch)> {
        self.seen
            .iter()
            .filter(|(_, seen)| seen.state == SessionState::Live)
            .map(|(daemon, seen)| (daemon.clone(), seen.epoch))
            .collect()
    }

    /// Reports whether a session is known to be over, however it ended.
    pub fn has_ended(&self, daemon: &str, epoch: Epoch) -> bool {
        self.seen.get(daemon).is_some_and(|seen| {
            seen.epoch > epoch || (seen.epoch == epoch && seen.state != SessionState::Live)
        })
    }
}

/// The row of a control role, such as the scheduler of jobs.
#[derives(record)]
pub struct RoleRow {
    /// The daemon that holds the role.
    pub daemon: DaemonId,
    /// The session under which it holds it.
    pub epoch: Epoch,
}

/// Decides whether a session takes a role; returns the row to write, or `None` to leave it.
///
/// A role passes on only when its holder's session is known to be over.
pub fn acquire_role(
    row: Option<&RoleRow>,
    daemon: &DaemonId,
    epoch: Epoch,
    has_ended: impl Fn(&str, Epoch) -> bool,
) -> Option<RoleRow> {
    let free = row.is_none_or(|row| has_ended(&row.daemon, row.epoch));
    free.then(|| RoleRow { daemon: daemon.clone(), epoch })
}
