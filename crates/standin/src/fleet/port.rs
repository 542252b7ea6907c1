//! The functions of the port over the state, each of which fails as planned.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use wasabiswitch_kernel::platform::fleet::{
    Cursor, FleetPort, HoldOrder, StartOrder, WatchResult, WorkerReply,
};
use wasabiswitch_kernel::platform::{PlatformError, PlatformFn, PlatformResult};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::reports::WorkerReport;
use wasabiswitch_policy::ids::InstanceId;

use super::FleetStandIn;
use super::state::{Machine, State};
use crate::faults::{Fault, Operation};

/// How long a call waits for its answer, like that of the platform's client.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a start waits for its answer.
const START_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a call that waits looks again.
const POLL: Duration = Duration::from_millis(20);

impl FleetStandIn {
    /// Returns the platform's functions over this state.
    pub fn port(&self) -> FleetPort {
        FleetPort {
            commit: self.function(Operation::Commit, CALL_TIMEOUT, |s, tx| Ok(s.commit(tx))),
            read: self.function(Operation::Read, CALL_TIMEOUT, |s, range| Ok(s.read(&range))),
            read_operator: self.function(Operation::Read, CALL_TIMEOUT, |s, ()| {
                Ok((s.operator.clone(), s.operator.len() as Cursor))
            }),
            watch_operator: self.watch(|s| s.operator.clone()),
            read_directory: self
                .function(Operation::ReadDirectory, CALL_TIMEOUT, |s, ()| Ok(s.read_directory())),
            watch_directory: self.watch(|s| s.directory.clone()),
            report_wave: self.function(Operation::ReportWave, CALL_TIMEOUT, |s, (wave, done)| {
                s.report_wave(wave, done);
                Ok(())
            }),
            start: self.start_function(),
            stop: self.function(Operation::Stop, CALL_TIMEOUT, State::stop),
            pace: self.function(Operation::Stop, CALL_TIMEOUT, |_, _| Ok(WorkerReply::Done(()))),
            hold: self.hold_function(),
            advise: self.function(Operation::Read, CALL_TIMEOUT, |_, _| {
                Err(PlatformError::not_run("there is no advice here"))
            }),
            list_instances: self.function(Operation::List, CALL_TIMEOUT, |s, ()| {
                let listed =
                    |(id, machine): (&InstanceId, &Machine)| (id.clone(), machine.listed.clone());
                Ok(s.machines.iter().map(listed).collect())
            }),
            move_instance: self
                .function(Operation::Move, CALL_TIMEOUT, |s, order| Ok(s.move_instance(order))),
            start_maintenance: self
                .function(Operation::Maintenance, CALL_TIMEOUT, |s, order| Ok(s.upkeep(order))),
        }
    }

    /// Makes a function of the port that fails as planned.
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
        let (standin, run) = (self.clone(), Arc::new(run));
        Arc::new(move |argument: A| {
            let (standin, run) = (standin.clone(), run.clone());
            let fault = standin.faults.next(operation, "");
            let act = move || {
                let mut state = standin.state();
                state.stale = fault == Some(Fault::StaleRead);
                run(&mut state, argument.clone())
            };
            async move { serve(fault, timeout, act).await }.boxed()
        })
    }

    /// Makes a feed of what is appended to a list.
    fn watch<T: Send + 'static>(
        &self,
        items: impl Fn(&State) -> Vec<T> + Send + Sync + 'static,
    ) -> PlatformFn<Cursor, WatchResult<T>> {
        let (standin, items) = (self.clone(), Arc::new(items));
        Arc::new(move |from: Cursor| {
            let (standin, items) = (standin.clone(), items.clone());
            async move {
                loop {
                    let all = items(&standin.state());
                    let end = all.len() as Cursor;
                    if end > from {
                        let new = all.into_iter().skip(from as usize).collect();
                        return Ok(WatchResult::Changes(new, end));
                    }
                    tokio::time::sleep(POLL).await;
                }
            }
            .boxed()
        })
    }

    fn start_function(&self) -> PlatformFn<StartOrder, StartOutcome> {
        let cap_milli = self.cap_milli;
        let start = self.function(Operation::Start, START_TIMEOUT, move |state, order| {
            Ok(state.start(&order, cap_milli))
        });
        // A start has no errors: what became of it is an outcome.
        Arc::new(move |order| {
            let sent = start(order);
            async move {
                Ok(sent.await.unwrap_or_else(|error| match error.verdict {
                    Verdict::NotRun => StartOutcome::NotSent,
                    _ => StartOutcome::Unknown,
                }))
            }
            .boxed()
        })
    }

    /// Makes the function that holds a worker, whose answer waits for an end.
    fn hold_function(&self) -> PlatformFn<HoldOrder, WorkerReply<WorkerReport>> {
        let standin = self.clone();
        let once = self
            .function(Operation::Hold, CALL_TIMEOUT, |state, order: HoldOrder| state.hold(&order));
        Arc::new(move |order: HoldOrder| {
            let (standin, once) = (standin.clone(), once.clone());
            async move {
                let until = standin.clock.now() + order.wait;
                while standin.clock.now() < until && !standin.state().has_end(&order) {
                    tokio::time::sleep(POLL).await;
                }
                once(order).await
            }
            .boxed()
        })
    }
}

/// Carries a call out, or fails as planned.
async fn serve<T: Send + 'static>(
    fault: Option<Fault>,
    timeout: Duration,
    act: impl Fn() -> PlatformResult<T> + Send + 'static,
) -> PlatformResult<T> {
    let unanswered = || PlatformError::may_have_run("no answer in time");
    match fault {
        None | Some(Fault::StaleRead) => act(),
        Some(Fault::Refuse) => Err(PlatformError::not_run("refused by plan")),
        Some(Fault::Hang) => {
            tokio::time::sleep(timeout).await;
            Err(unanswered())
        }
        Some(Fault::Slow(delay)) => {
            tokio::time::sleep(delay.min(timeout)).await;
            if delay > timeout { Err(unanswered()) } else { act() }
        }
        Some(Fault::SlowResponse(delay)) => {
            let answer = act();
            tokio::time::sleep(delay.min(timeout)).await;
            if delay > timeout { Err(unanswered()) } else { answer }
        }
        Some(Fault::LostResponse) => {
            drop(act());
            tokio::time::sleep(timeout).await;
            Err(unanswered())
        }
        Some(Fault::DuplicateDelivery) => {
            drop(act());
            act()
        }
        Some(Fault::LateDelivery(delay)) => {
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                drop(act());
            });
            tokio::time::sleep(timeout).await;
            Err(unanswered())
        }
    }
}
