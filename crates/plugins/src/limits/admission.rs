//! Lets requests run, makes them wait, or refuses them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use wasabiswitch_kernel::http::problem::{
    DEADLINE, NO_UPSTREAM, OVER_LIMIT, Problem, QUEUE_FULL, STORE_DOWN,
};
use wasabiswitch_kernel::lock::Guard;
use wasabiswitch_kernel::tables::{
    PoolQueue, RequestHandle, RequestsTable, TeamEntry, TeamsTable, WaitingRequest,
};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::ids::{PoolId, ServiceId, TeamId};
use wasabiswitch_policy::queue::{FairQueue, OfferOutcome, Urgency};
use wasabiswitch_policy::retry::RetryBudget;

use crate::membership::check_admission;

/// How long a caller is told to wait when its team's queue is full.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that wants to run.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Its team.
    pub team: TeamId,
    /// Its service, whose retry budget it adds to.
    pub service: ServiceId,
    /// The pool that would run it.
    pub pool: PoolId,
    /// Which work goes first.
    pub urgency: Urgency,
    /// When it must have been answered.
    pub deadline: Instant,
}

/// The right to have one request running; dropping it gives the slot to the next.
pub struct Permit {
    kernel: Arc<Kernel>,
    team: TeamId,
    pool: PoolId,
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Permit").field("team", &self.team).field("pool", &self.pool).finish()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut teams = self.kernel.tables.teams.lock();
        let mut requests = self.kernel.tables.requests.lock();
        if let Some(team) = teams.table.by_id_mut(&self.team) {
            team.running -= 1;
        }
        if let Some(pool_queue) = requests.pool_queues.get_mut(&self.pool) {
            pool_queue.record_end(&self.team);
        }
        let now = self.kernel.clock.now();
        pump(&mut teams, &mut requests, &self.pool, now);
    }
}

/// Waits until a request may run, for as long as its deadline allows.
pub async fn admit(kernel: &Arc<Kernel>, admission: &Admission) -> Result<Permit, Problem> {
    check_admission(kernel)?;
    let wait = match begin(kernel, admission)? {
        Begun::Running(permit) => return Ok(permit),
        Begun::Waiting(wait) => wait,
    };
    kernel.wakes.teams.notify_one();
    let left = admission.deadline.saturating_duration_since(kernel.clock.now());
    wait.finish(left).await
}

enum Begun {
    Running(Permit),
    Waiting(Wait),
}

fn begin(kernel: &Arc<Kernel>, admission: &Admission) -> Result<Begun, Problem> {
    let now = kernel.clock.now();
    let mut teams = kernel.tables.teams.lock();
    let mut requests = kernel.tables.requests.lock();
    let unknown = || Problem::not_run(OVER_LIMIT, "the team is not configured any more");
    let team = teams.table.by_id_mut(&admission.team).ok_or_else(unknown)?;
    let queue_max = kernel.settings.queue_max;
    let RequestsTable { waiting, pool_queues } = &mut *requests;
    let pool_queue =
        pool_queues.entry(admission.pool.clone()).or_insert_with(|| new_pool_queue(queue_max));
    pool_queue.record_arrival(&admission.team);
    earn_retry(team, &admission.service);
    let free =
        pool_queue.running < pool_queue.capacity && pool_queue.queue.team_len(&admission.team) == 0;
    if free && team.running < team.held_slots {
        team.running += 1;
        team.slots_needed_at = now;
        pool_queue.record_start(&admission.team);
        return Ok(Begun::Running(permit(kernel, admission)));
    }
    let weight = team.weight;
    let (sender, receiver) = oneshot::channel();
    let handle = waiting.insert(WaitingRequest {
        team: admission.team.clone(),
        pool: admission.pool.clone(),
        admitted: sender,
    });
    let offer = pool_queue.queue.offer(&admission.team, weight, admission.urgency, handle);
    match offer {
        OfferOutcome::Queued => {}
        OfferOutcome::QueuedInPlaceOf(shed) => drop_waiting(&mut teams, &mut requests, shed),
        OfferOutcome::Refused => {
            waiting.remove(handle);
            pool_queue.record_departure(&admission.team);
            return Err(queue_full());
        }
    }
    if let Some(team) = teams.table.by_id_mut(&admission.team) {
        team.waiting += 1;
    }
    pump(&mut teams, &mut requests, &admission.pool, now);
    drop((requests, teams));
    let admission = admission.clone();
    Ok(Begun::Waiting(Wait { kernel: kernel.clone(), admission, handle, receiver, over: false }))
}

fn earn_retry(team: &mut TeamEntry, service: &ServiceId) {
    match team.budgets.get_mut(service) {
        Some(budget) => budget.earn(),
        None => drop(team.budgets.insert(service.clone(), RetryBudget::default())),
    }
}

fn new_pool_queue(queue_max: usize) -> PoolQueue {
    PoolQueue::new(FairQueue::new(queue_max))
}

fn permit(kernel: &Arc<Kernel>, admission: &Admission) -> Permit {
    Permit { kernel: kernel.clone(), team: admission.team.clone(), pool: admission.pool.clone() }
}

fn queue_full() -> Problem {
    metrics::counter!(metric::QUEUE_SHED).increment(1);
    Problem::not_run(QUEUE_FULL, "the queue is full, and the team is furthest over its share")
        .retry_after(RETRY_AFTER)
}

/// Takes a waiting request out of the tables; its caller sees that its sender is gone.
fn drop_waiting(teams: &mut TeamsTable, requests: &mut RequestsTable, handle: RequestHandle) {
    let Some(waiting) = requests.waiting.remove(handle) else { return };
    if let Some(team) = teams.table.by_id_mut(&waiting.team) {
        team.waiting -= 1;
    }
    if let Some(pool_queue) = requests.pool_queues.get_mut(&waiting.pool) {
        pool_queue.record_departure(&waiting.team);
    }
}

/// Starts waiting requests of a pool while there are slots for them.
fn pump(teams: &mut TeamsTable, requests: &mut RequestsTable, pool: &PoolId, now: Instant) {
    loop {
        let Some(pool_queue) = requests.pool_queues.get_mut(pool) else { return };
        if pool_queue.running >= pool_queue.capacity {
            return;
        }
        let PoolQueue { queue, running_by_team, .. } = pool_queue;
        let running = |team: &TeamId| {
            let entry = teams.table.by_id(team)?;
            let may_run = entry.running < entry.held_slots;
            may_run.then(|| running_by_team.get(team).copied().unwrap_or(0))
        };
        let Some(handle) = queue.take(running) else { return };
        let Some(waiting) = requests.waiting.remove(handle) else { continue };
        let Some(team) = teams.table.by_id_mut(&waiting.team) else { continue };
        team.waiting -= 1;
        // A caller that has gone away is told nothing and takes no slot.
        let WaitingRequest { team: team_id, admitted, .. } = waiting;
        if admitted.send(()).is_err() {
            pool_queue.record_departure(&team_id);
            continue;
        }
        team.running += 1;
        team.slots_needed_at = now;
        pool_queue.record_start(&team_id);
    }
}

/// Starts waiting requests of all pools while there are slots for them.
pub(super) fn pump_all(kernel: &Kernel) {
    let now = kernel.clock.now();
    let mut teams = kernel.tables.teams.lock();
    let mut requests: Guard<'_, RequestsTable> = kernel.tables.requests.lock();
    let pools: Vec<PoolId> = requests.pool_queues.keys().cloned().collect();
    for pool in pools {
        pump(&mut teams, &mut requests, &pool, now);
    }
}

/// A request that waits; dropping it leaves the queue.
struct Wait {
    kernel: Arc<Kernel>,
    admission: Admission,
    handle: RequestHandle,
    receiver: oneshot::Receiver<()>,
    over: bool,
}

impl Wait {
    async fn finish(mut self, left: Duration) -> Result<Permit, Problem> {
        match tokio::time::timeout(left, &mut self.receiver).await {
            Ok(Ok(())) => {
                self.over = true;
                Ok(permit(&self.kernel, &self.admission))
            }
            Ok(Err(_)) => {
                self.over = true;
                Err(queue_full())
            }
            Err(_) => Err(self.too_late()),
        }
    }

    fn too_late(&self) -> Problem {
        let teams = self.kernel.tables.teams.lock();
        let team = teams.table.by_id(&self.admission.team);
        let no_slot = team.is_some_and(|team| team.running >= team.held_slots);
        let slot_request_failed = team.is_some_and(|team| team.slot_request_failed);
        let requests = self.kernel.tables.requests.lock();
        let pool_queue = requests.pool_queues.get(&self.admission.pool);
        let closed = pool_queue.is_some_and(|pool_queue| pool_queue.capacity == 0);
        let (code, detail) = match (no_slot, slot_request_failed, closed) {
            (true, true, _) => (STORE_DOWN, "no slot could be taken from the table service"),
            (true, false, _) => (OVER_LIMIT, "the team had no free slot before the deadline"),
            (false, _, true) => (NO_UPSTREAM, "no upstream accepted work before the deadline"),
            (false, _, false) => (DEADLINE, "the pool had no free slot before the deadline"),
        };
        Problem::not_run(code, detail).retry_after(RETRY_AFTER)
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let mut teams = self.kernel.tables.teams.lock();
        let mut requests = self.kernel.tables.requests.lock();
        // Requests are admitted under these locks, so from here on the answer does not change.
        if self.receiver.try_recv().is_ok() {
            drop((requests, teams));
            drop(permit(&self.kernel, &self.admission));
            return;
        }
        if let Some(pool_queue) = requests.pool_queues.get_mut(&self.admission.pool) {
            pool_queue.queue.remove(&self.admission.team, self.handle);
        }
        drop_waiting(&mut teams, &mut requests, self.handle);
    }
}
