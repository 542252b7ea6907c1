//! Claims of jobs on the room of a pool, and the choice of those that are all met.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::room::Room;

/// Claim of a job that can meet its objective on the capacity of its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Whether the team is beyond its share of a full pool; such jobs are given up first.
    pub over_share: bool,
    /// Priority of the queue; zero is the highest. Lower priorities are given up first.
    pub priority: u32,
    /// Value per unit of remaining work. Among equal priorities the lowest is given up first.
    pub density: f64,
    /// Time until the objective in milliseconds. Among equal values the latest is given up first.
    pub left_ms: f64,
}

/// Waiting work of one step of a job that has a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimPart {
    /// Index of the claim.
    pub claim: usize,
    /// Time by which the work has to be done so that the later steps are in time, in milliseconds.
    pub due_ms: f64,
    /// Work, in thousandths of a core times milliseconds.
    pub work: f64,
}

/// A chosen claim in the order in which claims are evicted from the choice: the greatest goes first.
struct EvictionOrder<'a>(&'a Claim, usize);

impl Ord for EvictionOrder<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let (a, b) = (self.0, other.0);
        (a.over_share.cmp(&b.over_share))
            .then(a.priority.cmp(&b.priority))
            .then(b.density.total_cmp(&a.density))
            .then(a.left_ms.total_cmp(&b.left_ms))
            .then(self.1.cmp(&other.1))
    }
}

impl PartialOrd for EvictionOrder<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for EvictionOrder<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for EvictionOrder<'_> {}

/// Returns for each claim whether it is chosen: the chosen ones are all met if their parts run in order of their due
/// times.
///
/// The parts are taken in order of their due times, and whenever the work up to a due time exceeds the room, claims
/// are given up until it fits (the algorithm of Moore and Hodgson, with weights).
pub fn choose(claims: &[Claim], parts: &[ClaimPart], room: &Room) -> Vec<bool> {
    let mut order: Vec<&ClaimPart> = parts.iter().collect();
    order.sort_by(|a, b| a.due_ms.total_cmp(&b.due_ms));
    let mut chosen = vec![true; claims.len()];
    let mut counted: Vec<Option<f64>> = vec![None; claims.len()];
    let mut heap = BinaryHeap::new();
    let mut work = 0.0;
    for part in order {
        if !chosen[part.claim] {
            continue;
        }
        if counted[part.claim].is_none() {
            heap.push(EvictionOrder(&claims[part.claim], part.claim));
        }
        *counted[part.claim].get_or_insert(0.0) += part.work;
        work += part.work;
        let available = room.work_within(part.due_ms);
        while work > available {
            let Some(EvictionOrder(_, given_up)) = heap.pop() else { break };
            chosen[given_up] = false;
            work -= counted[given_up].unwrap_or(0.0);
        }
    }
    chosen
}

/// Returns whether the work of a further job is done in time beside the chosen claims, without giving up any of
/// them.
///
/// Only the part `fill` of the room is used.
pub fn fits_beside(
    parts: &[ClaimPart],
    chosen: &[bool],
    job: &[ClaimPart],
    room: &Room,
    fill: f64,
) -> bool {
    let Some(first_due_ms) = job.iter().map(|part| part.due_ms).reduce(f64::min) else {
        return true;
    };
    let mut order: Vec<&ClaimPart> =
        parts.iter().filter(|part| chosen[part.claim]).chain(job).collect();
    order.sort_by(|a, b| a.due_ms.total_cmp(&b.due_ms));
    let mut work = 0.0;
    order.into_iter().all(|part| {
        work += part.work;
        part.due_ms < first_due_ms || work <= room.work_within(part.due_ms) * fill
    })
}
