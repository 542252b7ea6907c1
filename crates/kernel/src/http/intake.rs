//! Bounds on what each listener takes in; the decisions are in `wasabiswitch_policy::intake`.
//!
//! Each connection has a [`ClientConnection`], which its task updates with atomic operations. The table of connections is
//! locked when a connection is accepted or ends, and when a limit is reached. A connection that is to be closed or
//! whose body is refused is marked, and its task is woken.

mod bounds;
mod charge;
mod client_connection;

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use metrics::Gauge;
use slotmap::SlotMap;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use wasabiswitch_policy::intake::{Phase, RoomDecision, connection_to_close, decide_room};

pub use self::bounds::{IntakeBounds, Intakes, Limit};
pub(super) use self::charge::Charge;
pub use self::client_connection::ClientConnection;
use crate::metric;
use crate::tasks::TaskTree;

/// Unit of the budget, in bytes; a semaphore counts at most 2^32 units at a time.
const UNIT_BYTES: u64 = 1 << 10;
/// Minimum interval between two looks of the waiting bodies together for others that have stalled, in milliseconds.
///
/// Each goes through the table of connections, and 1,300 bodies that wait would look 6,500 times a second.
const ROOM_CHECK_SPACING_MS: u64 = 2;
/// Time without a refusal after which a listener no longer counts as limiting its clients.
const CALM_TIME: Duration = Duration::from_secs(5);
/// Number of connections that may be ending while new ones are already accepted in their place.
const CLOSING_MAX: usize = 64;
/// Number of refused connections that stay open until their clients have read the response.
const REFUSED_MAX: usize = 32;

slotmap::new_key_type! { struct ConnectionKey; }

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
