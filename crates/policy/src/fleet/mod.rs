//! The job engine: a state machine without I/O that runs graphs of steps on workers with leases.
//!
//! The daemon that owns the fleet holds one [`Engine`]. It passes events to the engine (submissions, reports
//! of workers, lost answers) and carries out the [`Order`]s that [`Engine::plan`] returns. The workers are
//! the source of truth for running tasks: a start is not persisted, and a new owner rebuilds the engine from
//! the rows of the jobs and the reports of all workers. See docs/PLATFORM.md.
//!
//! | module | contents |
//! |---|---|
//! | [`spec`] | submitted jobs, their resources and constraints, and their validation |
//! | [`settings`] | bounds of the platform, and settings of queues, pools and teams |
//! | [`job`] | state of jobs, tasks and runs |
//! | [`worker`] | state of workers |
//! | [`state`] | the tables of the engine |
//! | [`lease`] | bounds on the time in which an order can take effect on a worker |
//! | [`lease_bounds`] | leases on workers: renewals, orders that another incarnation may carry out, expired leases |
//! | [`reports`] | processing of the workers' reports |
//! | [`run_ends`] | ends of runs that workers report |
//! | [`run_times`] | measured run times of a queue's tasks, and those expected from them |
//! | [`lost_runs`] | runs that have ended without a report of their end |
//! | [`barriers`] | stops that keep starts in doubt from beginning on the next incarnation of a worker |
//! | [`outcomes`] | processing of the outcomes of starts and stops |
//! | [`placement`] | choice of a worker for a task |
//! | [`plan`] | choice of the tasks to start and to stop |
//! | [`pressure`] | bounds on reports, plans and starts, which follow the load of the owner's processor and link |
//! | [`start_pools`] | record of the pools in which the tasks of a job may have been started |
//! | [`progress`] | progress of jobs in the store, and its recovery by a new owner |
//! | [`silent_records`] | records of the workers that do not answer, and of the tasks that they may be running |
//! | [`silent_waits`] | evidence that ends the wait for a worker which did not answer at a takeover |
//! | [`unconfirmed`] | tasks and workers of which a new owner does not know whether they run |
//! | [`worker_ends`] | evidence in a list of instances that a worker has ended |
//! | [`advice`] | workers that the advice service allows for a step |
//! | [`admission`] | refusal of jobs at submission |
//! | [`withdrawals`] | cancellations of jobs that have not been accepted |
//! | [`overload`] | choice of the jobs that get the capacity of a pool while it is too small for all |
//! | [`room`] | room of a pool for waiting tasks |
//! | [`claims`] | claims of jobs on that room, and their choice |
//! | [`need`] | remaining need of a job |
//! | [`fairness`] | fair shares of teams in a full pool |
//! | [`calls`] | calls to a queue and their replies |
//! | [`config`] | the configuration, and the queue and team of a call |
//! | [`config_check`] | entries of the configuration that have no effect |
//! | [`order_fence`] | fencing tokens of the orders to workers |
//! | [`pace`] | throttling of filler tasks beside tasks with a latency target |
//! | [`maintenance`] | order of the instances in a maintenance wave |
//! | [`evacuation`] | evacuation of data centres, and the return of their workers |
//! | [`offered_load`] | measurement of the work that arrives for a pool |
//! | [`sizing`] | moves of instances between pools |
//! | [`ownership`] | election and takeover of the fleet's owner |
//! | [`view`] | views of the fleet for operators |

pub mod admission;
pub mod advice;
pub mod barriers;
pub mod calls;
pub mod claims;
pub mod config;
pub mod config_check;
pub mod demand_forecast;
pub mod evacuation;
pub mod fairness;
pub mod job;
pub mod lease;
pub mod lease_bounds;
pub mod lost_runs;
pub mod maintenance;
pub mod need;
pub mod offered_load;
pub mod order_fence;
pub mod outcomes;
pub mod overload;
pub mod ownership;
pub mod pace;
pub mod placement;
pub mod plan;
pub mod pressure;
pub mod progress;
pub mod reports;
pub mod room;
pub mod run_ends;
pub mod run_times;
pub mod settings;
pub mod silent_records;
pub mod silent_waits;
pub mod sizing;
pub mod spec;
pub mod start_pools;
pub mod state;
pub mod surplus;
pub mod unconfirmed;
pub mod view;
pub mod withdrawals;
pub mod worker;
pub mod worker_ends;

pub use plan::Order;
pub use state::{Engine, Limits};
