//! Maintains the session of this daemon and monitors the sessions of the other daemons.
//!
//! Slots, roles and claims of jobs and idempotency keys are stored in the table service under the
//! session of the daemon that holds them. One renewal extends all of them, and fencing the session
//! revokes all of them. The rules are in `wasabiswitch_policy::session`; see docs/DESIGN.md, "Sessions",
//! for the reasons.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use wasabiswitch_kernel::http::problem::{CUT_OFF, Problem};
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::store::{CallClass, CallOptions, Change, StoreError};
use wasabiswitch_kernel::tables::{Member, MembersTable, Subject};
use wasabiswitch_kernel::{Error, Kernel, metric};
use wasabiswitch_policy::ids::{DaemonId, Epoch};
use wasabiswitch_policy::session::{
    ExpiredSession, RoleRow, SessionRow, acquire_role, end, fence, renew, start,
};

/// Key prefix of session rows.
const SESSION_PREFIX: &str = "session/";
/// Key prefix of role rows.
const ROLE_PREFIX: &str = "role/";
/// Timeout of a store call that renews, reads, fences or ends a session or acquires a role.
const SESSION_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for starting the first session.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after which a caller may retry a request that this daemon cannot admit.
const RETRY_AFTER: Duration = Duration::from_secs(1);

fn plugin() -> Plugin {
    Plugin {
        start: |kernel| async move { start_plugin(kernel).await }.boxed(),
        periodic_tasks: vec![PeriodicTask {
            name: "session",
            interval: |kernel| kernel.settings.lease.renewal_interval(),
            wake: None,
            run: |kernel| async move { tick(&kernel).await }.boxed(),
        }],
        stop: |kernel| async move { end_session(&kernel).await }.boxed(),
        ..Plugin::new("membership", &[])
    }
}

inventory::submit! { Registration(plugin) }

fn session_key(daemon: &str) -> String {
    format!("{SESSION_PREFIX}{daemon}")
}

async fn start_plugin(kernel: Arc<Kernel>) -> Result<(), Error> {
    start_session(&kernel, kernel.store.within(CallClass::Control, START_TIMEOUT)).await?;
    let _ = read_sessions(&kernel).await;
    Ok(())
}

/// Starts a new session, which fences the earlier sessions of this daemon.
async fn start_session(kernel: &Kernel, options: CallOptions) -> Result<(), StoreError> {
    let settings = &kernel.settings;
    let address = kernel.control_address().to_string();
    let sent_at = kernel.clock.now();
    let epoch = kernel
        .store
        .mutate(options, &session_key(&settings.daemon), |row: Option<&SessionRow>| {
            let next = start(row, &settings.daemon, &address, &settings.data_centre);
            let epoch = next.epoch;
            Change::Write(next, epoch)
        })
        .await?;
    let mut members = kernel.tables.members.lock();
    members.own.epoch = epoch;
    members.own.lease = wasabiswitch_policy::session::Lease::new(settings.lease);
    members.own.lease.renewed(sent_at);
    members.own.roles.clear();
    drop(members);
    clear_held_slots(kernel);
    metrics::gauge!(metric::SESSION_EPOCH).set(epoch as f64);
    log::info!("session {epoch} has started");
    Ok(())
}

/// Resets the held slots of all teams: a new session must not use the slots of an earlier one.
fn clear_held_slots(kernel: &Kernel) {
    let mut teams = kernel.tables.teams.lock();
    for team in teams.table.iter_mut() {
        team.held_slots = 0;
    }
}

async fn tick(kernel: &Kernel) {
    renew_session(kernel).await;
    if read_sessions(kernel).await.is_ok() {
        fence_expired(kernel).await;
    }
}

/// Renews the session, or starts a new one if the current session was fenced.
pub async fn renew_session(kernel: &Kernel) {
    let (daemon, epoch) = kernel.session();
    let sent_at = kernel.clock.now();
    let options = kernel.store.within(CallClass::Control, SESSION_CALL_TIMEOUT);
    let renewed = kernel
        .store
        .mutate(options, &session_key(&daemon), |row: Option<&SessionRow>| {
            match renew(row, epoch) {
                Some(next) => Change::Write(next, true),
                None => Change::Keep(false),
            }
        })
        .await;
    match renewed {
        Ok(true) => kernel.tables.members.lock().own.lease.renewed(sent_at),
        Ok(false) => {
            kernel.tables.members.lock().own.lease.invalidate();
            log::warn!("session {epoch} was fenced");
            let _ = start_session(kernel, options).await;
        }
        // The lease stays valid until it expires; each admission decides whether work continues after
        // that.
        Err(_) => {}
    }
}

/// Reads all session rows and updates the table of members.
pub async fn read_sessions(kernel: &Kernel) -> Result<(), StoreError> {
    let options = kernel.store.within(CallClass::Control, SESSION_CALL_TIMEOUT);
    let rows = kernel.store.scan::<SessionRow>(options, SESSION_PREFIX).await?;
    let read_at = kernel.clock.now();
    let mut members = kernel.tables.members.lock();
    let members = &mut *members;
    let times = members.times;
    members.watch.begin_read(read_at, times.renewal_interval() * 2);
    for (_, stored) in rows {
        members.watch.observe(&stored.value, times, read_at);
        update_member(members, stored.value);
    }
    let live: BTreeSet<DaemonId> = members.watch.live().into_iter().map(|(id, _)| id).collect();
    members.table.retain(|id, _| live.contains(id));
    members.connectivity.set_live(live);
    Ok(())
}

fn update_member(members: &mut MembersTable, row: SessionRow) {
    let id = row.daemon.clone();
    let (_, member) =
        members.table.get_or_insert(&id, || Member { row: row.clone(), generation: 0, load: None });
    if member.row.epoch != row.epoch {
        member.load = None;
        member.generation = 0;
    }
    member.row = row;
}

async fn fence_expired(kernel: &Kernel) {
    let expired = {
        let members = kernel.tables.members.lock();
        let own = members.own.daemon.clone();
        let is_fenceable = |expired: &ExpiredSession| {
            expired.daemon != own && members.connectivity.may_fence(expired.expired_at)
        };
        let mut expired = members.watch.expired();
        expired.retain(is_fenceable);
        expired
    };
    for session in expired {
        let _ = fence_session(kernel, &session).await;
    }
}

async fn fence_session(kernel: &Kernel, expired: &ExpiredSession) -> Result<(), StoreError> {
    let options = kernel.store.within(CallClass::Control, SESSION_CALL_TIMEOUT);
    let fenced = kernel
        .store
        .mutate(options, &session_key(&expired.daemon), |row: Option<&SessionRow>| {
            match row.and_then(|row| fence(row, expired.epoch, expired.renewals)) {
                Some(next) => Change::Write(next.clone(), Some(next)),
                None => Change::Keep(None),
            }
        })
        .await?;
    let Some(row) = fenced else { return Ok(()) };
    let now = kernel.clock.now();
    {
        let mut members = kernel.tables.members.lock();
        let times = members.times;
        members.watch.observe(&row, times, now);
        let mut journal = kernel.tables.journal.lock();
        journal.record(
            now,
            Subject::Daemon,
            &expired.daemon,
            "fenced",
            "its session was not renewed for the lease time and the margin",
            vec![("epoch", expired.epoch as i64), ("renewals", expired.renewals as i64)],
        );
    }
    metrics::counter!(metric::SESSIONS_FENCED).increment(1);
    log::warn!("fenced session {} of {}", expired.epoch, expired.daemon);
    Ok(())
}

async fn end_session(kernel: &Kernel) {
    let (daemon, epoch) = kernel.session();
    let options = kernel.store.within(CallClass::Control, SESSION_CALL_TIMEOUT);
    let ended = kernel
        .store
        .mutate(options, &session_key(&daemon), |row: Option<&SessionRow>| match end(row, epoch) {
            Some(next) => Change::Write(next, ()),
            None => Change::Keep(()),
        })
        .await;
    kernel.tables.members.lock().own.lease.invalidate();
    if ended.is_err() {
        log::warn!("session {epoch} could not be ended and will be fenced");
    }
}

/// Checks whether this daemon may admit new work now.
pub fn check_admission(kernel: &Kernel) -> Result<(), Problem> {
    let now = kernel.clock.now();
    let mut members = kernel.tables.members.lock();
    if let Some(last_answered_sent_at) = kernel.store.last_answered_sent_at() {
        members.connectivity.store_answered(last_answered_sent_at);
    }
    let refused = |detail: &str| Problem::not_run(CUT_OFF, detail).retry_after(RETRY_AFTER);
    if members.connectivity.is_cut_off(now, kernel.settings.cut_off) {
        return Err(refused("this daemon reaches neither the table service nor its peers"));
    }
    if !session_allows_work(&members, now, kernel.settings.cut_off) {
        return Err(refused("the session of this daemon is not in force"));
    }
    Ok(())
}

fn session_allows_work(members: &MembersTable, now: Instant, cut_off: Duration) -> bool {
    let lease = &members.own.lease;
    let Some(valid_from) = lease.valid_from() else { return false };
    lease.is_held(now) || members.connectivity.may_continue(valid_from, members.times, now, cut_off)
}

/// Returns whether this daemon holds its lease, without which it may claim and control nothing.
pub fn holds_lease(kernel: &Kernel) -> bool {
    let now = kernel.clock.now();
    kernel.tables.members.lock().own.lease.is_held(now)
}

/// Acquires a control role if it is free; returns whether this daemon holds it.
///
/// A role is bound to the session, so that holding it takes no writes of its own.
pub async fn try_acquire_role(kernel: &Kernel, role: &'static str) -> bool {
    if !holds_lease(kernel) || kernel.is_stopping() {
        return false;
    }
    let (daemon, epoch) = kernel.session();
    if kernel.tables.members.lock().own.roles.contains(role) {
        return true;
    }
    if !may_request_role(kernel, role) {
        return false;
    }
    let options = kernel.store.within(CallClass::Control, SESSION_CALL_TIMEOUT);
    let acquired = kernel
        .store
        .mutate(options, &format!("{ROLE_PREFIX}{role}"), |row: Option<&RoleRow>| {
            let is_ours = row.is_some_and(|row| row.daemon == daemon && row.epoch == epoch);
            if is_ours {
                return Change::Keep(true);
            }
            match acquire_role(row, &daemon, epoch, |other, at| {
                session_has_ended(kernel, other, at)
            }) {
                Some(next) => Change::Write(next, true),
                None => Change::Keep(false),
            }
        })
        .await
        .unwrap_or(false);
    if acquired {
        let mut members = kernel.tables.members.lock();
        if members.own.epoch == epoch && members.own.roles.insert(role) {
            log::info!("acquired the role {role}");
        }
    }
    acquired
}

/// Returns whether this daemon may continue a role that it holds after its lease has expired.
///
/// It may do so as long as no other daemon can have fenced its session, and makes no new decisions meanwhile.
pub fn may_continue_role(kernel: &Kernel, role: &'static str) -> bool {
    let now = kernel.clock.now();
    let members = kernel.tables.members.lock();
    let holds = members.own.roles.contains(role);
    holds && session_allows_work(&members, now, kernel.settings.cut_off)
}

/// Returns whether a role may be requested from the store now, and records the request if so.
///
/// Limits the requests for a role that another daemon holds to one per renewal interval, regardless of
/// the number of plug-ins that need the role.
fn may_request_role(kernel: &Kernel, role: &'static str) -> bool {
    let now = kernel.clock.now();
    let mut members = kernel.tables.members.lock();
    let interval = members.times.renewal_interval();
    let requested_at = members.own.roles_requested_at.get(role);
    if requested_at.is_some_and(|at| now < *at + interval) {
        return false;
    }
    members.own.roles_requested_at.insert(role, now);
    true
}

fn session_has_ended(kernel: &Kernel, daemon: &str, epoch: Epoch) -> bool {
    kernel.tables.members.lock().watch.has_ended(daemon, epoch)
}

/// Returns the other live daemons with the addresses of their control listeners, sorted by id.
pub fn live_peers(kernel: &Kernel) -> Vec<(DaemonId, String)> {
    let members = kernel.tables.members.lock();
    let own = members.own.daemon.clone();
    let mut peers: Vec<(DaemonId, String)> = members
        .table
        .iter()
        .filter(|(id, _)| ***id != *own)
        .map(|(id, member)| (id.clone(), member.row.address.clone()))
        .collect();
    peers.sort();
    peers
}
