//! Admission of requests: each one starts, waits in the queue of its pool, or is refused.

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

/// `Retry-After` value for callers when the queue is full or the wait for a slot timed out.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request for permission to run.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Team whose limit and share apply.
    pub team: TeamId,
    /// Service, whose retry budget for the team is credited.
    pub service: ServiceId,
    /// Pool that would run the request.
    pub pool: PoolId,
    /// Priority class within the queue of the pool.
    pub urgency: Urgency,
    /// Time at which the wait for a slot is abandoned.
    pub deadline: Instant,
}

/// Permission to have one request running; dropping it passes the slot to the next in the queue.
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
        start_waiting(&mut teams, &mut requests, &self.pool, now);
    }
}

/// Returns a permit, after a wait in the queue that lasts at most until the deadline.
pub async fn admit(kernel: &Arc<Kernel>, request: &AdmissionRequest) -> Result<Permit, Problem> {
    check_admission(kernel)?;
    let queued = match admit_or_enqueue(kernel, request)? {
        AdmissionState::Admitted(permit) => return Ok(permit),
        AdmissionState::Queued(queued) => queued,
    };
    kernel.wake_signals.teams.notify_one();
    let remaining = request.deadline.saturating_duration_since(kernel.clock.now());
    queued.wait_for_slot(remaining).await
}

enum AdmissionState {
    Admitted(Permit),
    Queued(QueuedRequest),
}

fn admit_or_enqueue(
    kernel: &Arc<Kernel>,
    request: &AdmissionRequest,
) -> Result<AdmissionState, Problem> {
    let now = kernel.clock.now();
    let mut teams = kernel.tables.teams.lock();
    let mut requests = kernel.tables.requests.lock();
    let unknown = || Problem::not_run(OVER_LIMIT, "the team is not configured any more");
    let team = teams.table.by_id_mut(&request.team).ok_or_else(unknown)?;
    let queue_max = kernel.settings.queue_max;
    let RequestsTable { waiting, pool_queues } = &mut *requests;
    let pool_queue =
        pool_queues.entry(request.pool.clone()).or_insert_with(|| new_pool_queue(queue_max));
    pool_queue.record_arrival(&request.team);
    credit_retry_budget(team, &request.service);
    let has_capacity =
        pool_queue.running < pool_queue.capacity && pool_queue.queue.team_len(&request.team) == 0;
    if has_capacity && team.running < team.held_slots {
        team.running += 1;
        team.slots_needed_at = now;
        pool_queue.record_start(&request.team);
        return Ok(AdmissionState::Admitted(new_permit(kernel, request)));
    }
    let weight = team.weight;
    let (sender, receiver) = oneshot::channel();
    let handle = waiting.insert(WaitingRequest {
        team: request.team.clone(),
        pool: request.pool.clone(),
        admitted: sender,
    });
    let offer = pool_queue.queue.offer(&request.team, weight, request.urgency, handle);
    match offer {
        OfferOutcome::Queued => {}
        OfferOutcome::QueuedInPlaceOf(shed) => remove_waiting(&mut teams, &mut requests, shed),
        OfferOutcome::Refused => {
            waiting.remove(handle);
            pool_queue.record_departure(&request.team);
            return Err(queue_full());
        }
    }
    if let Some(team) = teams.table.by_id_mut(&request.team) {
        team.waiting += 1;
    }
    start_waiting(&mut teams, &mut requests, &request.pool, now);
    drop((requests, teams));
    let request = request.clone();
    Ok(AdmissionState::Queued(QueuedRequest {
        kernel: kernel.clone(),
        request,
        handle,
        receiver,
        settled: false,
    }))
}

fn credit_retry_budget(team: &mut TeamEntry, service: &ServiceId) {
    match team.budgets.get_mut(service) {
        Some(budget) => budget.earn(),
        None => drop(team.budgets.insert(service.clone(), RetryBudget::default())),
    }
}

fn new_pool_queue(queue_max: usize) -> PoolQueue {
    PoolQueue::new(FairQueue::new(queue_max))
}

fn new_permit(kernel: &Arc<Kernel>, request: &AdmissionRequest) -> Permit {
    Permit { kernel: kernel.clone(), team: request.team.clone(), pool: request.pool.clone() }
}

fn queue_full() -> Problem {
    metrics::counter!(metric::QUEUE_SHED).increment(1);
    Problem::not_run(QUEUE_FULL, "the queue is full, and the team is furthest over its share")
        .retry_after(RETRY_AFTER)
}

/// Removes a waiting request from the tables; its caller notices by the closed channel.
fn remove_waiting(teams: &mut TeamsTable, requests: &mut RequestsTable, handle: RequestHandle) {
    let Some(waiting) = requests.waiting.remove(handle) else { return };
    if let Some(team) = teams.table.by_id_mut(&waiting.team) {
        team.waiting -= 1;
    }
    if let Some(pool_queue) = requests.pool_queues.get_mut(&waiting.pool) {
        pool_queue.record_departure(&waiting.team);
    }
}

/// Starts waiting requests of a pool while there are free slots.
fn start_waiting(
    teams: &mut TeamsTable,
    requests: &mut RequestsTable,
    pool: &PoolId,
    now: Instant,
) {
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
        // A caller that has disconnected takes no slot.
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

/// Starts waiting requests of all pools while there are free slots.
pub(super) fn start_waiting_in_all_pools(kernel: &Kernel) {
    let now = kernel.clock.now();
    let mut teams = kernel.tables.teams.lock();
    let mut requests: Guard<'_, RequestsTable> = kernel.tables.requests.lock();
    let pools: Vec<PoolId> = requests.pool_queues.keys().cloned().collect();
    for pool in pools {
        start_waiting(&mut teams, &mut requests, &pool, now);
    }
}

/// A request in the queue of its pool; dropping it removes it from the queue.
struct QueuedRequest {
    kernel: Arc<Kernel>,
    request: AdmissionRequest,
    handle: RequestHandle,
    receiver: oneshot::Receiver<()>,
    settled: bool,
}

impl QueuedRequest {
    async fn wait_for_slot(mut self, remaining: Duration) -> Result<Permit, Problem> {
        match tokio::time::timeout(remaining, &mut self.receiver).await {
            Ok(Ok(())) => {
                self.settled = true;
                Ok(new_permit(&self.kernel, &self.request))
            }
            Ok(Err(_)) => {
                self.settled = true;
                Err(queue_full())
            }
            Err(_) => Err(self.timeout_problem()),
        }
    }

    fn timeout_problem(&self) -> Problem {
        let teams = self.kernel.tables.teams.lock();
        let team = teams.table.by_id(&self.request.team);
        let no_slot = team.is_some_and(|team| team.running >= team.held_slots);
        let slot_request_failed = team.is_some_and(|team| team.slot_request_failed);
        let requests = self.kernel.tables.requests.lock();
        let pool_queue = requests.pool_queues.get(&self.request.pool);
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

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut teams = self.kernel.tables.teams.lock();
        let mut requests = self.kernel.tables.requests.lock();
        // Requests are admitted under these locks, so the outcome cannot change from here on.
        if self.receiver.try_recv().is_ok() {
            drop((requests, teams));
            drop(new_permit(&self.kernel, &self.request));
            return;
        }
        if let Some(pool_queue) = requests.pool_queues.get_mut(&self.request.pool) {
            pool_queue.queue.remove(&self.request.team, self.handle);
        }
        remove_waiting(&mut teams, &mut requests, self.handle);
    }
}
