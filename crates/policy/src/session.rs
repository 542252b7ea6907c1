//! Sessions of daemons: leases without a shared clock, ended by their holder or by a fence.
//!
//! Each daemon renews one row in the table service. The holder counts its lease from the time at
//! which it sent the renewal, so that it stops acting before an observer may fence the session. An
//! observer fences a session only after the row has not changed for the lease time and a margin, on
//! the observer's monotonic clock, and only with a conditional write. Wall clocks are never
//! compared. See docs/DESIGN.md, "Sessions".

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, DataCentre, Epoch};

/// Durations that govern a lease.
#[derives(value)]
pub struct LeaseTimes {
    /// Time for which a renewal is valid.
    pub lease: Duration,
    /// Additional time that an observer waits, to cover the difference in rate between two clocks.
    pub margin: Duration,
}

impl LeaseTimes {
    /// Returns the interval at which a holder renews its lease.
    pub fn renewal_interval(&self) -> Duration {
        self.lease / 3
    }
}

/// State of a session.
#[derives(value)]
pub enum SessionState {
    /// In force; its daemon renews it.
    Live,
    /// Ended by its daemon, after all of the session's work had ended.
    Ended,
    /// Ended by an observer; the daemon may still be running.
    Fenced,
}

/// Stored row of a daemon and its current session.
#[derives(record)]
pub struct SessionRow {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Epoch of the current session.
    pub epoch: Epoch,
    /// Address of the daemon's control listener, as `IP:port`.
    pub address: String,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Number of renewals of this session; a change proves that the holder is alive.
    pub renewals: u64,
    /// State of the session.
    pub state: SessionState,
}

/// Returns the row of a new session, whose larger epoch fences the daemon's earlier sessions.
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

/// Returns the row of a session that its daemon ends, or `None` if it is no longer in force.
pub fn end(row: Option<&SessionRow>, epoch: Epoch) -> Option<SessionRow> {
    let row = row.filter(|row| row.epoch == epoch && row.state == SessionState::Live)?;
    Some(SessionRow { state: SessionState::Ended, ..row.clone() })
}

/// Returns the fenced row, or `None` if the row has changed since the observer read it.
pub fn fence(row: &SessionRow, epoch: Epoch, renewals: u64) -> Option<SessionRow> {
    let unchanged =
        row.epoch == epoch && row.renewals == renewals && row.state == SessionState::Live;
    unchanged.then(|| SessionRow { state: SessionState::Fenced, ..row.clone() })
}

/// Lease of a session, as its holder tracks it.
#[derives(value)]
pub struct Lease {
    times: LeaseTimes,
    valid_from: Option<Instant>,
    invalidated: bool,
}

impl Lease {
    /// Creates a lease that is not yet held.
    pub fn new(times: LeaseTimes) -> Lease {
        Lease { times, valid_from: None, invalidated: false }
    }

    /// Records a renewal that took effect; `sent_at` was read before the renewal was sent.
    pub fn renewed(&mut self, sent_at: Instant) {
        if self.valid_from.is_none_or(|from| sent_at > from) {
            self.valid_from = Some(sent_at);
        }
    }

    /// Invalidates the lease permanently, after the session was fenced or ended.
    pub fn invalidate(&mut self) {
        self.invalidated = true;
    }

    /// Returns whether the lease is held, so that the holder may act under its session.
    pub fn is_held(&self, now: Instant) -> bool {
        !self.invalidated && self.valid_from.is_some_and(|from| now < from + self.times.lease)
    }

    /// Returns the time at which the last effective renewal was sent, unless the lease was
    /// invalidated.
    pub fn valid_from(&self) -> Option<Instant> {
        self.valid_from.filter(|_| !self.invalidated)
    }

    /// Returns whether the lease was held once and has since expired or been invalidated.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.valid_from.is_some() && !self.is_held(now)
    }
}

/// Last observed row of one daemon.
#[derives(record)]
struct ObservedSession {
    epoch: Epoch,
    renewals: u64,
    state: SessionState,
    unchanged_since: Instant,
    // Time of the first read at which the row was unchanged for the lease time and the margin.
    expired_at: Option<Instant>,
}

/// Live session whose lease expired, so that an observer may fence it.
#[derives(record)]
pub struct ExpiredSession {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Epoch of the session.
    pub epoch: Epoch,
    /// Number of renewals as last read, on which the fence is conditional.
    pub renewals: u64,
    /// Time of the read that showed the expiry.
    pub expired_at: Instant,
}

/// Record of all session rows as an observer has read them, timed by the observer's monotonic clock.
#[derives(record)]
#[derive(Default)]
pub struct SessionWatch {
    observed: BTreeMap<DaemonId, ObservedSession>,
    // Time at which each fenced or superseded session was first known to have ended.
    ended_since: BTreeMap<(DaemonId, Epoch), Instant>,
    last_read_at: Option<Instant>,
}

impl SessionWatch {
    /// Begins to record a scan of all rows that was answered at `read_at`.
    ///
    /// After more than `gap_max` without a scan, the lease time of every session starts anew: the
    /// store may have been unavailable to the holders as well.
    pub fn begin_read(&mut self, read_at: Instant, gap_max: Duration) {
        let gap = self.last_read_at.is_some_and(|last| read_at > last + gap_max);
        if gap {
            for session in self.observed.values_mut() {
                session.unchanged_since = read_at;
                session.expired_at = None;
            }
        }
        self.last_read_at = Some(read_at);
    }

    /// Records one row; `read_at` was read after the scan was answered.
    pub fn observe(&mut self, row: &SessionRow, times: LeaseTimes, read_at: Instant) {
        let changed = self.observed.get(&row.daemon).is_none_or(|session| {
            (session.epoch, session.renewals, session.state) != (row.epoch, row.renewals, row.state)
        });
        if !changed {
            self.record_unchanged(&row.daemon, times, read_at);
            return;
        }
        if let Some(before) = self.observed.get(&row.daemon)
            && before.epoch < row.epoch
            && before.state == SessionState::Live
        {
            self.ended_since.entry((row.daemon.clone(), before.epoch)).or_insert(read_at);
        }
        if row.state == SessionState::Fenced {
            self.ended_since.entry((row.daemon.clone(), row.epoch)).or_insert(read_at);
        }
        let session = ObservedSession {
            epoch: row.epoch,
            renewals: row.renewals,
            state: row.state,
            unchanged_since: read_at,
            expired_at: None,
        };
        self.observed.insert(row.daemon.clone(), session);
    }

    fn record_unchanged(&mut self, daemon: &DaemonId, times: LeaseTimes, read_at: Instant) {
        let Some(session) = self.observed.get_mut(daemon) else { return };
        let expires_at = session.unchanged_since + times.lease + times.margin;
        if session.state == SessionState::Live
            && read_at >= expires_at
            && session.expired_at.is_none()
        {
            session.expired_at = Some(read_at);
        }
    }

    /// Returns the live sessions whose leases have expired.
    pub fn expired(&self) -> Vec<ExpiredSession> {
        self.observed
            .iter()
            .filter_map(|(daemon, session)| {
                Some(ExpiredSession {
                    daemon: daemon.clone(),
                    epoch: session.epoch,
                    renewals: session.renewals,
                    expired_at: session.expired_at?,
                })
            })
            .collect()
    }

    /// Returns whether all work of a session must have ended.
    ///
    /// The work of a session that its daemon ended has ended with it. The work of a fenced or
    /// superseded session counts as ended `work_time` after the end was first observed; `work_time`
    /// must cover the longest request.
    pub fn work_ended(
        &mut self,
        daemon: &DaemonId,
        epoch: Epoch,
        work_time: Duration,
        now: Instant,
    ) -> bool {
        let Some(session) = self.observed.get(daemon) else { return false };
        if session.epoch == epoch {
            match session.state {
                SessionState::Live => return false,
                SessionState::Ended => return true,
                SessionState::Fenced => {}
            }
        }
        if session.epoch < epoch {
            return false;
        }
        let since = *self.ended_since.entry((daemon.clone(), epoch)).or_insert(now);
        now >= since + work_time
    }

    /// Returns the live sessions, ordered by daemon.
    pub fn live(&self) -> Vec<(DaemonId, Epoch)> {
        self.observed
            .iter()
            .filter(|(_, session)| session.state == SessionState::Live)
            .map(|(daemon, session)| (daemon.clone(), session.epoch))
            .collect()
    }

    /// Returns whether a session is known to have been ended, fenced or superseded.
    pub fn has_ended(&self, daemon: &str, epoch: Epoch) -> bool {
        self.observed.get(daemon).is_some_and(|session| {
            session.epoch > epoch || (session.epoch == epoch && session.state != SessionState::Live)
        })
    }
}

/// Stored row of a control role, such as the job scheduler.
#[derives(record)]
pub struct RoleRow {
    /// Daemon that holds the role.
    pub daemon: DaemonId,
    /// Epoch of the session under which the role is held.
    pub epoch: Epoch,
}

/// Returns the row with which a session acquires a role, or `None` if the role is taken.
///
/// A role changes hands only after its holder's session is known to have ended.
pub fn acquire_role(
    row: Option<&RoleRow>,
    daemon: &DaemonId,
    epoch: Epoch,
    has_ended: impl Fn(&str, Epoch) -> bool,
) -> Option<RoleRow> {
    let free = row.is_none_or(|row| has_ended(&row.daemon, row.epoch));
    free.then(|| RoleRow { daemon: daemon.clone(), epoch })
}
