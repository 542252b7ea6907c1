//! The checker of the simulation, and the events that it prints with a violation.

use std::time::Instant;

use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::spec::Step;
use wasabiswitch_policy::fleet::state::TaskName;
use wasabiswitch_policy::ids::InstanceId;
use wasabiswitch_standin::fleet_worker::{FakeRun, FakeStart};

use super::{ORDER_TIMEOUT, Simulation};

/// Maximum number of a worker's events that are printed with a violation.
const WORKER_EVENTS_MAX: usize = 40;

/// Returns the cap of the team `t`, zero for none.
pub(super) fn cap_milli(config: &FleetConfig) -> u64 {
    config.teams.get("t").map_or(0, |(_, cap)| cap.cpu_milli)
}

impl Simulation {
    /// Adds an event to the history of a task.
    pub(super) fn trace_task(&mut self, task: &TaskName, event: String) {
        let at_ms = self.now.saturating_duration_since(self.origin).as_millis();
        self.trace.entry(task.clone()).or_default().push(format!("{at_ms} ms: {event}"));
    }

    /// Adds an event to the history of a worker, with what the owner's account holds for it.
    pub(super) fn trace_worker(&mut self, worker: &InstanceId, event: String) {
        let at_ms = self.now.saturating_duration_since(self.origin).as_millis();
        let account = self.engine.worker_key(worker).map(|key| {
            let worker = &self.engine.workers[key];
            format!("{}, {}", worker.describe_load(), self.engine.is_usable(worker, self.now))
        });
        let account = account.unwrap_or_default();
        let events = self.worker_trace.entry(worker.clone()).or_default();
        events.push(format!("{at_ms} ms: {event}; account: {account}"));
    }

    /// Returns the last events of a worker.
    fn recent_worker_events(&self, worker: &InstanceId) -> &[String] {
        let events = self.worker_trace.get(worker).map_or(&[][..], Vec::as_slice);
        &events[events.len().saturating_sub(WORKER_EVENTS_MAX)..]
    }

    /// Returns the highest cap by which an order that arrives now may have been sent; zero for no cap.
    fn highest_cap_milli(&self) -> u64 {
        let in_flight = |at: Instant| self.now.saturating_duration_since(at) <= ORDER_TIMEOUT;
        let replaced =
            self.replaced_caps.iter().filter(|(at, _)| in_flight(*at)).map(|(_, cap)| *cap);
        let caps: Vec<u64> = replaced.chain([cap_milli(&self.config)]).collect();
        if caps.contains(&0) { 0 } else { caps.into_iter().max().unwrap_or(0) }
    }

    /// Checks a start that a worker has just carried out against the runs on all workers, and records the rules that it broke.
    pub(super) fn check_start(
        &mut self,
        id: &InstanceId,
        start: &FakeStart,
        step: &Step,
        late: bool,
    ) {
        let name = &start.task;
        let running = self.workers.values().flat_map(|worker| &worker.runs);
        let counted =
            |run: &&FakeRun| !self.exempt_starts.contains(&(run.task.clone(), run.attempt));
        let same = running.clone().filter(|run| run.task == *name).filter(counted).count();
        if same > 1 && !step.speculative {
            let history = &self.trace[name];
            self.violations.push(format!("{name:?} runs {same} times at once: {history:#?}"));
        }
        // The platform does not count a start that is delivered late: a new incarnation of a worker, for example,
        // executes the start because the incarnation has neither the barrier nor the clock of the previous one.
        if self.acknowledged_done.contains(name) && !late {
            let history = &self.trace[name];
            self.violations
                .push(format!("{name:?} starts after its end was acknowledged: {history:#?}"));
        }
        let amount_milli = |task: &TaskName| {
            let steps = &self.stored_jobs[&task.job].0.submission.steps;
            steps[task.step as usize].resources.cpu_milli
        };
        let on_worker: u64 = self.workers[id].runs.iter().map(|run| amount_milli(&run.task)).sum();
        let capacity = self.workers[id].entry.capacity.cpu_milli;
        if on_worker > capacity {
            let history = self.recent_worker_events(id);
            self.violations
                .push(format!("{id} runs {on_worker} millicores of {capacity}: {history:#?}"));
        }
        let used: u64 = running.map(|run| amount_milli(&run.task)).sum();
        let cap = self.highest_cap_milli();
        // The platform allows a tenth and one task above the cap, for starts that are delivered late.
        let allowed = cap + cap / 10 + step.resources.cpu_milli;
        if cap > 0 && used > allowed {
            self.violations.push(format!("the team runs {used} millicores of {cap}"));
        }
    }
}
