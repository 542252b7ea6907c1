//! Bounds on what each listener takes in; the decisions are in `wasabiswitch_policy::intake`.
//!
//! Each connection has a [`ClientConnection`], which its task updates with atomic operations. The table of connections is
//! locked when a connection is accepted or ends, and when a limit is reached. A connection that is to be closed or
//! whose body is refused is marked, and its task is woken.

use std::hash::{DefaultHasher, Hasher as _};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use futures_util::task::AtomicWaker;
use metrics::Gauge;
use slotmap::SlotMap;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use wasabiswitch_policy::intake::{
    self, CallerId, ConnectionLimits, Phase, Reader, RoomDecision, UNREAD_TIME,
    connection_to_close, decide_room,
};

use crate::metric;
use crate::settings::IntakeSettings;
use crate::tasks::TaskTree;

/// Unit of the budget, in bytes; a semaphore counts at most 2^32 units at a time.
const UNIT_BYTES: u64 = 1 << 10;
/// Time after which a body that waits for room is refused; callers wait 3 s for an answer.
const ROOM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a body that waits for room looks for others that have stalled.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two such looks of all bodies together, in milliseconds.
///
/// Each goes through the table of connections, and 1,300 bodies that wait would look 6,500 times a second.
const ROOM_CHECK_SPACING_MS: u64 = 2;
/// Time without a refusal after which a listener no longer counts as limiting its clients.
const CALM_TIME: Duration = Duration::from_secs(5);
/// Part of the entry listener's connections that the control listener has: one in this number.
const CONTROL_DIVISOR: usize = 2;
/// Number of connections of the readiness listener.
const PROBES_MAX: usize = 32;
/// Number of connections that may be ending while new ones are already accepted in their place.
const CLOSING_MAX: usize = 64;

/// Number of refused connections that stay open until their clients have read the response.
const REFUSED_MAX: usize = 32;

slotmap::new_key_type! { struct ConnectionKey; }

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct IntakeBounds {
    /// Bytes of bodies that are being read or held.
    pub bytes_max: u64,
    /// Number of connections.
    pub connections_max: usize,
    /// Number of connections from one address; zero for no bound.
    pub connections_per_address_max: usize,
    /// Limits on each connection.
    pub connection: ConnectionLimits,
}

/// Intakes of all listeners of a daemon.
#[derive(Debug)]
pub struct Intakes {
    /// Listener for callers.
    pub entry: Arc<Intake>,
    /// Listener for operators and peers.
    pub control: Arc<Intake>,
    /// Listener for the probes of the load balancer.
    pub readiness: Arc<Intake>,
}

impl Intakes {
    /// Creates the intakes as the settings have them; `tasks` are those of the daemon.
    pub fn new(settings: &IntakeSettings, tasks: &TaskTree) -> Intakes {
        let entry_bounds = settings.entry_bounds(process_descriptors());
        let control_bounds = IntakeBounds {
            connections_max: (entry_bounds.connections_max / CONTROL_DIVISOR).max(1),
            connections_per_address_max: 0,
            ..entry_bounds
        };
        let readiness_bounds =
            IntakeBounds { bytes_max: 0, connections_max: PROBES_MAX, ..control_bounds };
        Intakes {
            entry: Intake::new("entry", entry_bounds, tasks.clone()),
            control: Intake::new("control", control_bounds, tasks.clone()),
            readiness: Intake::new("readiness", readiness_bounds, tasks.clone()),
        }
    }
}

/// Returns the limit of the process on open descriptors, if the system states one.
fn process_descriptors() -> Option<u32> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Limit for which a listener refused a request or closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Number of connections.
    Connections,
    /// Number of connections from one address.
    Address,
    /// Budget of bytes.
    Budget,
    /// Size or number of headers of a head.
    HeadSize,
    /// Time of a head.
    HeadTime,
    /// Time of a body.
    BodyTime,
    /// Number of pieces of a body.
    BodyPieces,
}

impl Limit {
    /// Returns the label of the metric and the log.
    fn label(self) -> &'static str {
        match self {
            Limit::Connections => "connections",
            Limit::Address => "connections-per-address",
            Limit::Budget => "budget",
            Limit::HeadSize => "head-size",
            Limit::HeadTime => "head-time",
            Limit::BodyTime => "body-time",
            Limit::BodyPieces => "body-pieces",
        }
    }
}

/// Connections of a listener and the budget for their bodies.
#[derive(Debug)]
pub struct Intake {
    listener: &'static str,
    bounds: IntakeBounds,
    /// Free units of the budget.
    room: Arc<Semaphore>,
    connections: Mutex<SlotMap<ConnectionKey, Arc<ClientConnection>>>,
    /// Free places for refused connections that stay open until their clients have read the response.
    refused_places: Arc<Semaphore>,
    started: Instant,
    tasks: TaskTree,
    /// Whether clients have been limited within [`CALM_TIME`].
    is_limiting: AtomicBool,
    /// Time of the last repeated look for bodies that have stalled, in milliseconds since `started`.
    last_check_ms: AtomicU64,
    /// Time of the last refusal, in milliseconds since `started`.
    last_refusal_ms: AtomicU64,
    refusals: AtomicU64,
    connections_gauge: Gauge,
    bytes_gauge: Gauge,
}

/// State of a connection that its listener uses to bound what it takes in.
#[derive(Debug)]
pub struct ClientConnection {
    intake: Arc<Intake>,
    address: Option<IpAddr>,
    caller: AtomicU64,
    is_known: AtomicBool,
    phase: AtomicU8,
    /// Beginning of the phase or arrival of the last byte of a body, in milliseconds since the start of the intake.
    since_ms: AtomicU64,
    held_bytes: AtomicU64,
    is_waiting: AtomicBool,
    is_body_refused: AtomicBool,
    is_closing: AtomicBool,
    /// Whether the body of the last request was not read to its end.
    is_body_unread: AtomicBool,
    /// Whether bytes of an answer wait for the client to read.
    is_write_blocked: AtomicBool,
    /// Time at which the client last read while they wait, in milliseconds since the start of the intake.
    write_blocked_since_ms: AtomicU64,
    waker: AtomicWaker,
}

/// Entry of a connection in the table of its listener, which is removed on drop.
#[derive(Debug)]
pub(crate) struct Admission {
    key: ConnectionKey,
    pub(crate) connection: Arc<ClientConnection>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let intake = &self.connection.intake;
        intake.lock().remove(self.key);
        intake.connections_gauge.decrement(1.0);
    }
}

impl Intake {
    /// Creates the intake of a listener; `tasks` runs the task that logs the end of a period with refusals.
    pub fn new(listener: &'static str, bounds: IntakeBounds, tasks: TaskTree) -> Arc<Intake> {
        let units = usize::try_from(bounds.bytes_max / UNIT_BYTES).unwrap_or(usize::MAX);
        Arc::new(Intake {
            listener,
            bounds,
            room: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
            connections: Mutex::default(),
            refused_places: Arc::new(Semaphore::new(REFUSED_MAX)),
            started: Instant::now(),
            tasks,
            is_limiting: AtomicBool::new(false),
            last_check_ms: AtomicU64::new(0),
            last_refusal_ms: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            connections_gauge: metrics::gauge!(metric::INTAKE_CONNECTIONS, "listener" => listener),
            bytes_gauge: metrics::gauge!(metric::INTAKE_BYTES, "listener" => listener),
        })
    }

    /// Returns the bounds of the listener.
    pub fn bounds(&self) -> &IntakeBounds {
        &self.bounds
    }

    /// Returns the tasks of the daemon.
    pub(crate) fn tasks(&self) -> &TaskTree {
        &self.tasks
    }

    /// Returns a place for a refused connection that stays open for a short time, if one is free.
    pub(crate) fn refused_place(&self) -> Option<OwnedSemaphorePermit> {
        self.refused_places.clone().try_acquire_owned().ok()
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<ClientConnection>>> {
        // A leaf lock: nothing else is locked while it is held.
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns a connection that is not in the table, for requests that arrive without a socket.
    pub fn detached_connection(self: &Arc<Intake>) -> Arc<ClientConnection> {
        Arc::new(ClientConnection::new(self.clone(), None))
    }

    /// Admits a new connection, and closes another one for it if necessary; `None` if there is none to close.
    pub(crate) fn admit(self: &Arc<Intake>, address: Option<IpAddr>) -> Option<Admission> {
        let mut woken = None;
        let (admission, limit) = {
            let mut connections = self.lock();
            let limit = self.make_space(&connections, address, &mut woken);
            let admission = limit.is_none_or(|(_, has_space)| has_space).then(|| {
                let connection = Arc::new(ClientConnection::new(self.clone(), address));
                Admission { key: connections.insert(connection.clone()), connection }
            });
            (admission, limit)
        };
        if let Some(waker) = woken {
            waker.wake();
        }
        if let Some((limit, _)) = limit {
            self.count_refusal(limit);
        }
        if admission.is_some() {
            self.connections_gauge.increment(1.0);
        }
        admission
    }

    /// Returns the limit that a new connection reaches and whether there is space for it nevertheless.
    fn make_space(
        &self,
        connections: &SlotMap<ConnectionKey, Arc<ClientConnection>>,
        address: Option<IpAddr>,
        woken: &mut Option<Waker>,
    ) -> Option<(Limit, bool)> {
        let per_address_max = self.bounds.connections_per_address_max;
        if per_address_max > 0 && address.is_some() {
            let same = connections.values().filter(|connection| connection.address == address);
            if same.count() >= per_address_max {
                return Some((Limit::Address, false));
            }
        }
        let connections_max = self.bounds.connections_max;
        if connections.len() < connections_max {
            return None;
        }
        let closing = connections.values().filter(|connection| connection.is_closing()).count();
        if connections.len() >= connections_max + CLOSING_MAX {
            return Some((Limit::Connections, false));
        }
        if connections.len() - closing < connections_max {
            return Some((Limit::Connections, true));
        }
        let now_ms = self.now_ms();
        let open = || connections.values().filter(|connection| !connection.is_closing());
        let chosen = connection_to_close(open().map(|connection| connection.view(now_ms)));
        let Some(chosen) = chosen.and_then(|index| open().nth(index)) else {
            return Some((Limit::Connections, false));
        };
        chosen.is_closing.store(true, Ordering::Release);
        *woken = chosen.waker.take();
        Some((Limit::Connections, true))
    }

    /// Returns whether a body that waits may look for room again, and records that it does.
    fn may_check_again(&self) -> bool {
        let (now_ms, last_ms) = (self.now_ms(), self.last_check_ms.load(Ordering::Relaxed));
        now_ms >= last_ms + ROOM_CHECK_SPACING_MS
            && self
                .last_check_ms
                .compare_exchange(last_ms, now_ms, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }

    /// Refuses a body so that `requester` gets `units`, if that is necessary; returns whether `requester` itself is
    /// refused.
    fn make_room(&self, requester: &Arc<ClientConnection>, units: u32) -> bool {
        let now_ms = self.now_ms();
        let mut readers = Vec::new();
        let mut states = Vec::new();
        let own = requester.reader(now_ms);
        for connection in self.lock().values() {
            if connection.phase() == Phase::Body && !Arc::ptr_eq(connection, requester) {
                states.push(connection.reader(now_ms));
                readers.push(connection.clone());
            }
        }
        states.push(own);
        readers.push(requester.clone());
        let requester_index = states.len() - 1;
        let needed_bytes = u64::from(units) * UNIT_BYTES;
        let free_bytes = self.room.available_permits() as u64 * UNIT_BYTES;
        let budget = self.bounds.bytes_max;
        match decide_room(&states, requester_index, needed_bytes, free_bytes, budget) {
            RoomDecision::Wait => false,
            RoomDecision::Refuse(index) if index == requester_index => true,
            RoomDecision::Refuse(index) => {
                readers[index].is_body_refused.store(true, Ordering::Release);
                readers[index].waker.wake();
                false
            }
        }
    }

    /// Counts a refusal, and logs the first one after a time without any.
    pub(crate) fn count_refusal(self: &Arc<Intake>, limit: Limit) {
        let labels = [("listener", self.listener), ("limit", limit.label())];
        metrics::counter!(metric::INTAKE_REFUSALS, &labels).increment(1);
        self.refusals.fetch_add(1, Ordering::Relaxed);
        self.last_refusal_ms.store(self.now_ms(), Ordering::Relaxed);
        if self.is_limiting.swap(true, Ordering::AcqRel) {
            return;
        }
        log::warn!(
            "intake limits its clients listener={} limit={} connections={} free_bytes={}",
            self.listener,
            limit.label(),
            self.lock().len(),
            self.room.available_permits() as u64 * UNIT_BYTES
        );
        let intake = self.clone();
        self.tasks.spawn_until_stopped("intake", async move { intake.wait_until_calm().await });
    }

    async fn wait_until_calm(&self) {
        loop {
            tokio::time::sleep(CALM_TIME).await;
            let quiet_ms =
                self.now_ms().saturating_sub(self.last_refusal_ms.load(Ordering::Relaxed));
            if u128::from(quiet_ms) >= CALM_TIME.as_millis() {
                break;
            }
        }
        self.is_limiting.store(false, Ordering::Release);
        log::info!(
            "intake no longer limits its clients listener={} refused={}",
            self.listener,
            self.refusals.swap(0, Ordering::Relaxed)
        );
    }
}

impl ClientConnection {
    fn new(intake: Arc<Intake>, address: Option<IpAddr>) -> ClientConnection {
        let since_ms = intake.now_ms();
        ClientConnection {
            intake,
            address,
            caller: AtomicU64::new(hash(&address)),
            is_known: AtomicBool::new(false),
            phase: AtomicU8::new(Phase::New as u8),
            since_ms: AtomicU64::new(since_ms),
            held_bytes: AtomicU64::new(0),
            is_waiting: AtomicBool::new(false),
            is_body_refused: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            is_body_unread: AtomicBool::new(false),
            is_write_blocked: AtomicBool::new(false),
            write_blocked_since_ms: AtomicU64::new(0),
            waker: AtomicWaker::new(),
        }
    }

    /// Returns the intake of the connection's listener.
    pub(crate) fn intake(&self) -> &Arc<Intake> {
        &self.intake
    }

    /// Records that a request has presented a valid key of `caller`, which shares the budget with other callers.
    pub fn set_caller(&self, caller: &str) {
        self.caller.store(hash(caller), Ordering::Relaxed);
        self.is_known.store(true, Ordering::Relaxed);
    }

    /// Returns what the connection is doing.
    pub(crate) fn phase(&self) -> Phase {
        const PHASES: [Phase; 7] = [
            Phase::New,
            Phase::Idle,
            Phase::Head,
            Phase::Body,
            Phase::Serving,
            Phase::Lingering,
            Phase::Unread,
        ];
        PHASES[usize::from(self.phase.load(Ordering::Acquire))]
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.since_ms.store(self.intake.now_ms(), Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_bytes(&self) {
        match self.phase() {
            Phase::New | Phase::Idle => self.set_phase(Phase::Head),
            Phase::Body => self.since_ms.store(self.intake.now_ms(), Ordering::Relaxed),
            Phase::Head | Phase::Serving | Phase::Lingering | Phase::Unread => {}
        }
    }

    /// Records whether bytes of an answer wait for the client to read.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        if self.is_write_blocked.load(Ordering::Relaxed) != is_blocked {
            self.write_blocked_since_ms.store(self.intake.now_ms(), Ordering::Relaxed);
            self.is_write_blocked.store(is_blocked, Ordering::Release);
        }
    }

    /// Returns whether no answer is being prepared or sent, or the client has not read one for [`UNREAD_TIME`].
    pub(crate) fn may_close(&self) -> bool {
        match self.unread_time(self.intake.now_ms()) {
            Some(unread) => unread >= UNREAD_TIME,
            None => self.phase() != Phase::Serving,
        }
    }

    /// Returns the time for which bytes of an answer have waited for the client to read, if any do.
    fn unread_time(&self, now_ms: u64) -> Option<Duration> {
        let since_ms = || self.write_blocked_since_ms.load(Ordering::Relaxed);
        let is_blocked = self.is_write_blocked.load(Ordering::Acquire);
        is_blocked.then(|| Duration::from_millis(now_ms.saturating_sub(since_ms())))
    }

    /// Returns the time for which the phase has lasted or, while a body arrives, since its last byte.
    pub(crate) fn quiet(&self) -> Duration {
        self.quiet_at(self.intake.now_ms())
    }

    fn quiet_at(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.since_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the connection is to be closed for another one.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Records whether a request has a body that was not read to its end.
    pub(crate) fn set_body_unread(&self, is_unread: bool) {
        self.is_body_unread.store(is_unread, Ordering::Relaxed);
    }

    /// Returns whether a body was not read to its end, so that the client may still be sending it.
    pub(crate) fn is_body_unread(&self) -> bool {
        self.is_body_unread.load(Ordering::Relaxed)
    }

    /// Registers the task that is woken when the connection is to be closed or its body is refused.
    pub(crate) fn register(&self, waker: &Waker) {
        self.waker.register(waker);
    }

    pub(super) fn is_body_refused(&self) -> bool {
        self.is_body_refused.load(Ordering::Acquire) || self.is_closing()
    }

    /// Begins to collect a body.
    pub(super) fn begin_body(&self) {
        self.is_body_refused.store(false, Ordering::Release);
        self.set_phase(Phase::Body);
    }

    /// Ends the collection of a body, after which the request is served.
    pub(super) fn end_body(&self) {
        self.is_waiting.store(false, Ordering::Relaxed);
        self.set_phase(Phase::Serving);
    }

    /// Returns whether the connection waits for room in the budget.
    pub(super) fn is_waiting(&self) -> bool {
        self.is_waiting.load(Ordering::Relaxed)
    }

    fn set_waiting(&self, is_waiting: bool) {
        self.is_waiting.store(is_waiting, Ordering::Relaxed);
        self.since_ms.store(self.intake.now_ms(), Ordering::Relaxed);
    }

    fn view(&self, now_ms: u64) -> intake::Connection {
        let (phase, quiet) = match self.unread_time(now_ms) {
            Some(unread) => (Phase::Unread, unread),
            None => (self.phase(), self.quiet_at(now_ms)),
        };
        intake::Connection {
            phase,
            quiet,
            is_known: self.is_known.load(Ordering::Relaxed),
            is_waiting: self.is_waiting(),
        }
    }

    fn reader(&self, now_ms: u64) -> Reader {
        Reader {
            caller: self.caller.load(Ordering::Relaxed),
            held_bytes: self.held_bytes.load(Ordering::Relaxed),
            quiet: self.quiet_at(now_ms),
            is_waiting: self.is_waiting(),
            is_refused: self.is_body_refused(),
        }
    }
}

fn hash<T: std::hash::Hash + ?Sized>(value: &T) -> CallerId {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Share of the budget that a connection holds, which is returned on drop.
#[derive(Debug)]
pub(super) struct Charge {
    connection: Arc<ClientConnection>,
    permit: Option<OwnedSemaphorePermit>,
    bytes: u64,
}

impl Charge {
    pub(super) fn new(connection: Arc<ClientConnection>) -> Charge {
        Charge { connection, permit: None, bytes: 0 }
    }

    /// Takes room from the budget for `bytes` more, a multiple of [`UNIT_BYTES`]; returns whether there was room.
    ///
    /// Without room, the body waits, or another one is refused.
    pub(super) async fn add(&mut self, bytes: usize) -> bool {
        let Ok(units) = u32::try_from(bytes as u64 / UNIT_BYTES) else { return false };
        let room = &self.connection.intake.room;
        let permit = match room.clone().try_acquire_many_owned(units) {
            Ok(permit) => permit,
            Err(_) => match self.wait_for_room(units).await {
                Some(permit) => permit,
                None => return false,
            },
        };
        let added = u64::from(units) * UNIT_BYTES;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            held => *held = Some(permit),
        }
        self.bytes += added;
        self.connection.held_bytes.fetch_add(added, Ordering::Relaxed);
        self.connection.intake.bytes_gauge.increment(added as f64);
        true
    }

    async fn wait_for_room(&self, units: u32) -> Option<OwnedSemaphorePermit> {
        let (connection, intake) = (&self.connection, &self.connection.intake);
        let end = Instant::now() + ROOM_TIMEOUT;
        connection.set_waiting(true);
        let mut permit = std::pin::pin!(intake.room.clone().acquire_many_owned(units));
        let mut is_first = true;
        let acquired = loop {
            if (is_first || intake.may_check_again()) && intake.make_room(connection, units) {
                break None;
            }
            is_first = false;
            let check = Instant::now() + ROOM_CHECK_INTERVAL;
            match tokio::time::timeout_at(check, permit.as_mut()).await {
                Ok(permit) => break permit.ok(),
                Err(_) if check >= end => break None,
                Err(_) => {}
            }
        };
        connection.set_waiting(false);
        acquired
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.connection.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.connection.intake.bytes_gauge.decrement(self.bytes as f64);
    }
}
