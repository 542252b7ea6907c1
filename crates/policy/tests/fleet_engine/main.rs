//! Tests of the job engine against simulated workers, with orders whose answers are lost, or which are
//! delivered late or executed twice.

mod advice;
mod bursts;
mod demand_forecast;
mod ends_on_record;
mod evacuation;
mod fixtures;
mod former_incarnations;
mod head_of_line_blocking;
mod hot_team;
mod instance_service;
mod late_backlog;
mod maintenance_calls;
mod overload;
mod ownership;
mod peaks;
mod random_faults;
mod regressions;
mod restarted_worker;
mod silent_records;
mod simulation;
mod sizing;
mod slow_store;
mod split_brain;
mod successor;
mod transition;
mod withdrawals;
mod worker_capacity;
mod workers_leaving_at_takeover;
