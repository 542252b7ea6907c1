//! Mutexes with a fixed lock order.
//!
//! Every shared table has a [`Rank`], and a thread takes locks only in increasing order of rank, which
//! rules out deadlocks. A debug build panics on a violation. The guards are not `Send`, so a spawned task
//! that holds one across an await does not compile.

use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard, PoisonError};

use wasabiswitch_derive::derives;

/// Position of a lock in the lock order; the variants are in this order.
#[derives(value)]
pub enum Rank {
    /// The configuration in force.
    Config,
    /// The keys of teams and operators.
    Keys,
    /// The daemons and their sessions.
    Members,
    /// Instances and rows of pools.
    Instances,
    /// The teams, with their slots and running requests.
    Teams,
    /// The upstreams and their connections.
    Upstreams,
    /// The queues of waiting requests.
    Requests,
    /// The jobs.
    Jobs,
    /// The daemon's view of the users' platform.
    Fleet,
    /// State of the owner of the fleet.
    Term,
    /// The journal of decisions.
    Journal,
}

/// Mutex with a position in the lock order.
#[derive(Debug)]
pub struct Ranked<T> {
    rank: Rank,
    mutex: Mutex<T>,
}

impl<T> Ranked<T> {
    /// Creates a mutex of the given rank.
    pub fn new(rank: Rank, value: T) -> Ranked<T> {
        Ranked { rank, mutex: Mutex::new(value) }
    }

    /// Locks the mutex; blocks the thread until it is free.
    ///
    /// # Panics
    ///
    /// In a debug build, if the thread already holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        held::push(self.rank);
        // Poisoning is ignored: a table is consistent between statements, also after a panic.
        let guard = self.mutex.lock().unwrap_or_else(PoisonError::into_inner);
        Guard { rank: self.rank, guard }
    }
}

/// Guard of a [`Ranked`] mutex, which unlocks it when dropped.
#[derive(Debug)]
pub struct Guard<'a, T> {
    rank: Rank,
    guard: MutexGuard<'a, T>,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        held::pop(self.rank);
    }
}

/// Ranks of the locks that the current thread holds; empty functions in release builds.
mod held {
    use super::Rank;

    #[cfg(debug_assertions)]
    thread_local! {
        static HELD: std::cell::RefCell<Vec<Rank>> = const { std::cell::RefCell::new(Vec::new()) };
    }

    #[cfg(debug_assertions)]
    pub(super) fn push(rank: Rank) {
        HELD.with_borrow_mut(|held| {
            if let Some(&last) = held.iter().max() {
                assert!(last < rank, "lock of rank {rank:?} taken while {last:?} is held");
            }
            held.push(rank);
        });
    }

    #[cfg(debug_assertions)]
    pub(super) fn pop(rank: Rank) {
        HELD.with_borrow_mut(|held| held.retain(|&other| other != rank));
    }

    #[cfg(not(debug_assertions))]
    pub(super) fn push(_: Rank) {}

    #[cfg(not(debug_assertions))]
    pub(super) fn pop(_: Rank) {}
}
