//! The job engine: graphs of steps on leased workers, as one state machine without I/O.
//!
//! The daemon that owns the fleet holds one [`Engine`]. It feeds it what happened (a submission, the
//! report of a worker, a lost answer) and carries out the [`Order`]s that [`Engine::plan`] returns.
//! The workers are the record of what runs: nothing is written for a start, and a new owner rebuilds
//! the engine from the rows of the jobs and the reports of all workers. See docs/PLATFORM.md.
//!
//! | module | what it decides |
//! |---|---|
//! | [`spec`] | what a job asks for, and whether it can be accepted |
//! | [`settings`] | bounds, queues, pools and teams |
//! | [`job`] | jobs, tasks and attempts |
//! | [`worker`] | workers and what they have |
//! | [`state`] | the tables of all of these |
//! | [`lease`] | how long an order may still take effect at a worker |
//! | [`reports`] | what a worker's report changes |
//! | [`outcomes`] | what the answer to an order, or its loss, changes |
//! | [`placement`] | which worker takes a task |
//! | [`plan`] | which tasks start and stop now |
//! | [`progress`] | what is written down, and how it is read back |
//! | [`advice`] | which workers an outside policy allows |
//! | [`admission`] | which jobs are refused at submission |
//! | [`fairness`] | which teams go first when a pool is full |
//! | [`calls`] | what callers ask, and the answers |
//! | [`config`] | which queue and which team a call is for |
//! | [`pace`] | how far fillers are slowed for the tasks that they disturb |
//! | [`maintenance`] | which instances of a maintenance wave go down next |
//! | [`offered_load`] | how much work arrives for a pool |
//! | [`sizing`] | which instances change their pool |
//! | [`ownership`] | who may act for the fleet |
//! | [`view`] | what operators are shown |

pub mod admission;
pub mod advice;
pub mod calls;
pub mod config;
pub mod fairness;
pub mod job;
pub mod lease;
pub mod maintenance;
pub mod offered_load;
pub mod outcomes;
pub mod ownership;
pub mod pace;
pub mod placement;
pub mod plan;
pub mod progress;
pub mod reports;
pub mod settings;
pub mod sizing;
pub mod spec;
pub mod state;
pub mod view;
pub mod worker;

pub use plan::Order;
pub use state::{Engine, Limits};
