//! Implementation of [`FleetPort`] on the in-memory state, with fault injection.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use wasabiswitch_kernel::platform::fleet::{
    AdviceRequest, AdviceResponse, Cursor, FleetPort, HoldOrder, RunOrder, StartOrder, WatchResult,
    WorkerReply, WorkerTarget,
};
use wasabiswitch_kernel::platform::{PlatformError, PlatformFn, PlatformResult};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::fleet::outcomes::{StartAnswer, StartOutcome};
use wasabiswitch_policy::fleet::reports::WorkerReport;
use wasabiswitch_policy::ids::InstanceId;

use super::FleetStandIn;
use super::state::{InstanceRecord, State};
use crate::faults::{Fault, Operation};

/// Time after which a call without a response fails, like the timeout of the platform's client.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a start without a response fails.
const START_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a feed without a response fails.
const FEED_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Interval at which a waiting call checks the state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl FleetStandIn {
    /// Returns the platform's functions, which act on this state.
    pub fn port(&self) -> FleetPort {
        FleetPort {
            commit: self.function(Operation::Commit, CALL_TIMEOUT, |s, tx| Ok(s.commit(tx))),
            read: self.function(Operation::Read, CALL_TIMEOUT, |s, range| Ok(s.read(&range))),
            read_operator: self.function(Operation::Read, CALL_TIMEOUT, |s, ()| {
                Ok((s.operator.clone(), s.operator.len() as Cursor))
            }),
            watch_operator: self.watch(Some(Operation::WatchOperator), |s| s.operator.clone()),
            read_directory: self
                .function(Operation::ReadDirectory, CALL_TIMEOUT, |s, ()| Ok(s.read_directory())),
            watch_directory: self.watch(None, |s| s.directory.clone()),
            report_wave: self.function(Operation::ReportWave, CALL_TIMEOUT, |s, (wave, done)| {
                s.report_wave(wave, done);
                Ok(())
            }),
            start: self.start_function(),
            stop: self.worker_function(
                Operation::Stop,
                CALL_TIMEOUT,
                |order: &RunOrder| &order.target,
                State::stop,
            ),
            pace: self.worker_function(
                Operation::Stop,
                CALL_TIMEOUT,
                |(order, _): &(RunOrder, u32)| &order.target,
                |_, _| Ok(WorkerReply::Done(())),
            ),
            hold: self.hold_function(),
            advise: self.advise_function(),
            list_instances: self.function(Operation::List, CALL_TIMEOUT, |s, ()| {
                let listed = |(id, record): (&InstanceId, &InstanceRecord)| {
                    (id.clone(), record.listed.clone())
                };
                Ok(s.instances.iter().map(listed).collect())
            }),
            move_instance: self
                .function(Operation::Move, CALL_TIMEOUT, |s, order| Ok(s.move_instance(order))),
            start_maintenance: self.function(Operation::Maintenance, CALL_TIMEOUT, |s, order| {
                Ok(s.start_maintenance(order))
            }),
        }
    }

    /// Returns a function of the port that takes the next fault of `operation` first.
    fn function<A, T>(
        &self,
        operation: Operation,
        timeout: Duration,
        run: impl Fn(&mut State, A) -> PlatformResult<T> + Send + Sync + 'static,
    ) -> PlatformFn<A, T>
    where
        A: Clone + Send + 'static,
        T: Send + 'static,
    {
        self.keyed_function(operation, timeout, |_| "", run)
    }

    /// Returns a function of the port that calls a worker, and takes the next fault for this worker first.
    fn worker_function<A, T>(
        &self,
        operation: Operation,
        timeout: Duration,
        target: impl Fn(&A) -> &WorkerTarget + Send + Sync + 'static,
        run: impl Fn(&mut State, A) -> PlatformResult<T> + Send + Sync + 'static,
    ) -> PlatformFn<A, T>
    where
        A: Clone + Send + 'static,
        T: Send + 'static,
    {
        self.keyed_function(operation, timeout, move |argument| &target(argument).id, run)
    }

    fn keyed_function<A, T>(
        &self,
        operation: Operation,
        timeout: Duration,
        key: impl Fn(&A) -> &str + Send + Sync + 'static,
        run: impl Fn(&mut State, A) -> PlatformResult<T> + Send + Sync + 'static,
    ) -> PlatformFn<A, T>
    where
        A: Clone + Send + 'static,
        T: Send + 'static,
    {
        let (standin, run) = (self.clone(), Arc::new(run));
        Arc::new(move |argument: A| {
            let (standin, run) = (standin.clone(), run.clone());
            let fault = standin.faults.next(operation, key(&argument));
            let execute = move || {
                let mut state = standin.state();
                state.stale = fault == Some(Fault::StaleRead);
                run(&mut state, argument.clone())
            };
            async move { serve(fault, timeout, execute).await }.boxed()
        })
    }

    /// Returns a feed of the items that are appended to a list, which takes the next fault of `operation` first.
    fn watch<T: Send + 'static>(
        &self,
        operation: Option<Operation>,
        items: impl Fn(&State) -> Vec<T> + Send + Sync + 'static,
    ) -> PlatformFn<Cursor, WatchResult<T>> {
        let (standin, items) = (self.clone(), Arc::new(items));
        Arc::new(move |from: Cursor| {
            let (standin, items) = (standin.clone(), items.clone());
            let fault = operation.and_then(|operation| standin.faults.next(operation, ""));
            async move {
                if let Some(fault) = fault {
                    return serve(Some(fault), FEED_TIMEOUT, || Err(feed_failed())).await;
                }
                loop {
                    let all = items(&standin.state());
                    let end = all.len() as Cursor;
                    if end > from {
                        let new = all.into_iter().skip(from as usize).collect();
                        return Ok(WatchResult::Changes(new, end));
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
            .boxed()
        })
    }

    fn start_function(&self) -> PlatformFn<StartOrder, StartAnswer> {
        let cap_milli = self.cap_milli;
        let start = self.worker_function(
            Operation::Start,
            START_TIMEOUT,
            |order: &StartOrder| &order.target,
            move |state, order| Ok(state.start(&order, cap_milli)),
        );
        // A failed start is reported as an outcome, not as an error.
        Arc::new(move |order| {
            let started = start(order);
            async move {
                Ok(started.await.unwrap_or_else(|error| match error.verdict {
                    Verdict::NotRun => StartOutcome::NotSent.into(),
                    _ => StartOutcome::Unknown.into(),
                }))
            }
            .boxed()
        })
    }

    /// Returns the function that calls the advice service; a caller that drops the call leaves it with the service.
    fn advise_function(&self) -> PlatformFn<AdviceRequest, AdviceResponse> {
        let standin = self.clone();
        Arc::new(move |request: AdviceRequest| {
            let standin = standin.clone();
            async move {
                let call = {
                    let mut state = standin.state();
                    let now = state.now;
                    let Some(queue) = &mut state.advice else {
                        return Err(PlatformError::not_run("there is no advice here"));
                    };
                    queue.arrive(request.workers, now)
                };
                let Some(call) = call else { return Err(PlatformError::not_run("answered 429")) };
                loop {
                    {
                        let mut state = standin.state();
                        let now = state.now;
                        let queue = state.advice.as_mut().expect("the service stays");
                        if let Some(grants) = queue.take_answer(call, now) {
                            return Ok(AdviceResponse { grants, valid: queue.ticket_validity });
                        }
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
            .boxed()
        })
    }

    /// Returns the function that renews a worker's lease; it waits, up to the order's limit, for a run to end.
    fn hold_function(&self) -> PlatformFn<HoldOrder, WorkerReply<WorkerReport>> {
        let standin = self.clone();
        let hold = self.worker_function(
            Operation::Hold,
            CALL_TIMEOUT,
            |order: &HoldOrder| &order.target,
            |state, order| state.hold(&order),
        );
        Arc::new(move |order: HoldOrder| {
            let (standin, hold) = (standin.clone(), hold.clone());
            async move {
                let until = standin.clock.now() + order.wait;
                while standin.clock.now() < until && !standin.state().has_end(&order) {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                hold(order).await
            }
            .boxed()
        })
    }
}

fn feed_failed() -> PlatformError {
    PlatformError::not_run("the feed failed")
}

/// Executes a call, and injects the fault if there is one.
async fn serve<T: Send + 'static>(
    fault: Option<Fault>,
    timeout: Duration,
    execute: impl Fn() -> PlatformResult<T> + Send + 'static,
) -> PlatformResult<T> {
    let timed_out = || PlatformError::may_have_run("no answer in time");
    match fault {
        None | Some(Fault::StaleRead) => execute(),
        Some(Fault::Refuse) => Err(PlatformError::not_run("refused by plan")),
        Some(Fault::Hang) => {
            tokio::time::sleep(timeout).await;
            Err(timed_out())
        }
        Some(Fault::Slow(delay)) => {
            tokio::time::sleep(delay.min(timeout)).await;
            if delay > timeout { Err(timed_out()) } else { execute() }
        }
        Some(Fault::SlowResponse(delay)) => {
            let response = execute();
            tokio::time::sleep(delay.min(timeout)).await;
            if delay > timeout { Err(timed_out()) } else { response }
        }
        Some(Fault::LostResponse) => {
            drop(execute());
            tokio::time::sleep(timeout).await;
            Err(timed_out())
        }
        Some(Fault::DuplicateDelivery) => {
            drop(execute());
            execute()
        }
        Some(Fault::LateDelivery(delay)) => {
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                drop(execute());
            });
            tokio::time::sleep(timeout).await;
            Err(timed_out())
        }
    }
}
