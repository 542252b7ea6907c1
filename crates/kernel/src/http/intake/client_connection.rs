//! State of one connection, which its task updates with atomic operations.

use std::hash::{DefaultHasher, Hasher as _};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::Waker;
use std::time::Duration;

use futures_util::task::AtomicWaker;
use wasabiswitch_policy::intake::{self, CallerId, Phase, Reader, UNREAD_TIME};

use super::Intake;

/// State of a connection that its listener uses to bound what it takes in.
#[derive(Debug)]
pub struct ClientConnection {
    pub(super) intake: Arc<Intake>,
    pub(super) address: Option<IpAddr>,
    caller: AtomicU64,
    is_known: AtomicBool,
    phase: AtomicU8,
    /// Beginning of the phase or arrival of the last byte of a body, in milliseconds since the start of the intake.
    since_ms: AtomicU64,
    pub(super) held_bytes: AtomicU64,
    is_waiting: AtomicBool,
    pub(super) is_body_refused: AtomicBool,
    pub(super) is_closing: AtomicBool,
    /// Whether the body of the last request was not read to its end.
    is_body_unread: AtomicBool,
    /// Whether bytes of an answer wait for the client to read.
    is_write_blocked: AtomicBool,
    /// Time at which the client last read while they wait, in milliseconds since the start of the intake.
    write_blocked_since_ms: AtomicU64,
    pub(super) waker: AtomicWaker,
}

impl ClientConnection {
    pub(super) fn new(intake: Arc<Intake>, address: Option<IpAddr>) -> ClientConnection {
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

    pub(in crate::http) fn is_body_refused(&self) -> bool {
        self.is_body_refused.load(Ordering::Acquire) || self.is_closing()
    }

    /// Begins to collect a body.
    pub(in crate::http) fn begin_body(&self) {
        self.is_body_refused.store(false, Ordering::Release);
        self.set_phase(Phase::Body);
    }

    /// Ends the collection of a body, after which the request is served.
    pub(in crate::http) fn end_body(&self) {
        self.is_waiting.store(false, Ordering::Relaxed);
        self.set_phase(Phase::Serving);
    }

    /// Returns whether the connection waits for room in the budget.
    pub(in crate::http) fn is_waiting(&self) -> bool {
        self.is_waiting.load(Ordering::Relaxed)
    }

    pub(super) fn set_waiting(&self, is_waiting: bool) {
        self.is_waiting.store(is_waiting, Ordering::Relaxed);
        self.since_ms.store(self.intake.now_ms(), Ordering::Relaxed);
    }

    pub(super) fn view(&self, now_ms: u64) -> intake::Connection {
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

    pub(super) fn reader(&self, now_ms: u64) -> Reader {
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
