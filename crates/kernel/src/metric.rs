//! Names and descriptions of all metrics.
//!
//! Frequent events are counted by metrics; log lines are for changes of state. docs/operators/metrics.md lists
//! the metrics, and a test compares that list with [`ALL`].

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Type of a metric in the exposition format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A count that only grows.
    Counter,
    /// A value that goes up and down.
    Gauge,
    /// A distribution of samples.
    Histogram,
}

/// Metric that the daemon exports.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name, which ends in the unit if there is one.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: MetricKind,
    /// Description of the metric and its labels.
    pub help: &'static str,
}

macro_rules! metrics_list {
    ($($constant:ident = $name:literal, $kind:ident, $help:literal;)+) => {
        $(#[doc = $help] pub const $constant: &str = $name;)+

        /// All metrics, in the order of this file.
        pub const ALL: &[Metric] = &[
            $(Metric { name: $name, kind: MetricKind::$kind, help: $help }),+
        ];
    };
}

metrics_list! {
    REQUESTS = "wasabiswitch_requests_total", Counter,
        "Live requests that were answered, by service and verdict.";
    REFUSALS = "wasabiswitch_refusals_total", Counter,
        "Problems that callers were given, by code.";
    REQUEST_SECONDS = "wasabiswitch_request_seconds", Histogram,
        "Time from a live request's entry to the head of its answer, by service.";
    ATTEMPTS = "wasabiswitch_attempts_total", Counter,
        "Attempts at upstreams, by verdict.";
    RETRIES = "wasabiswitch_retries_total", Counter,
        "Attempts after the first.";
    ANSWERS_CUT = "wasabiswitch_answers_cut_total", Counter,
        "Answers of upstreams that ended before they were whole.";
    QUEUE_WAITING = "wasabiswitch_queue_waiting", Gauge,
        "Requests that wait in front of a pool, by pool.";
    QUEUE_SHED = "wasabiswitch_queue_shed_total", Counter,
        "Waiting requests that were shed because the queue was full.";
    ONCE_CLAIMS = "wasabiswitch_once_claims_total", Counter,
        "Claims of idempotency keys, by outcome.";
    GRANTED_SLOTS = "wasabiswitch_granted_slots", Gauge,
        "Slots that this daemon holds, by team.";
    UPSTREAMS_EJECTED = "wasabiswitch_upstreams_ejected_total", Counter,
        "Ejections of failing upstreams.";
    UPSTREAMS_LEAVING = "wasabiswitch_upstreams_leaving_total", Counter,
        "Upstreams that were found to be leaving, by who said so first.";
    STORE_CALLS = "wasabiswitch_store_calls_total", Counter,
        "Calls to the table service and the object store, by operation and outcome.";
    STORE_SECONDS = "wasabiswitch_store_seconds", Histogram,
        "Time of a call to the table service or the object store, by operation.";
    STORE_DOUBTS = "wasabiswitch_store_doubts_total", Counter,
        "Writes whose answer was lost and that were resolved by reading back, by outcome.";
    SESSION_EPOCH = "wasabiswitch_session_epoch", Gauge,
        "Epoch of this daemon's session.";
    SESSIONS_FENCED = "wasabiswitch_sessions_fenced_total", Counter,
        "Sessions of other daemons that this daemon has fenced.";
    PEER_MESSAGES = "wasabiswitch_peer_messages_total", Counter,
        "Messages to peers, by outcome.";
    PEER_BYTES = "wasabiswitch_peer_bytes_total", Counter,
        "Bytes of the messages to peers and of their answers.";
    CONFIG_GENERATION = "wasabiswitch_config_generation", Gauge,
        "Generation of the configuration in force here.";
    CONFIG_SECONDS = "wasabiswitch_config_adopt_seconds", Histogram,
        "Time to adopt a generation once it was known.";
    JOBS = "wasabiswitch_jobs_total", Counter,
        "Jobs that ended, by outcome.";
    JOBS_QUEUED = "wasabiswitch_jobs_queued", Gauge,
        "Jobs that wait for a worker, as the scheduler sees them.";
    INSTANCES_UNAVAILABLE = "wasabiswitch_instances_unavailable", Gauge,
        "Instances that are unavailable, by pool.";
    INSTANCE_MOVES = "wasabiswitch_instance_moves_total", Counter,
        "Moves of instances between pools that were begun.";
    WAVE_STEPS = "wasabiswitch_wave_steps_total", Counter,
        "Steps of maintenance waves that this daemon took.";
    ROWS_DROPPED = "wasabiswitch_rows_dropped_total", Counter,
        "Expired idempotency keys and old jobs that were dropped.";
    CALLS = "wasabiswitch_calls_total", Counter,
        "Calls about jobs that were answered, by what was asked and how.";
    CALL_SECONDS = "wasabiswitch_call_seconds", Histogram,
        "Time from a call about a job to its answer, by what was asked.";
    SUBMISSIONS = "wasabiswitch_submissions_total", Counter,
        "Submissions that this daemon decided as the owner, retries included, by queue and decision.";
    RUN_EVENTS = "wasabiswitch_run_events_total", Counter,
        "What happened to runs of tasks at the owner, by event.";
    STARTS = "wasabiswitch_starts_total", Counter,
        "Starts of tasks that were sent, by outcome.";
    WORKER_REPORTS = "wasabiswitch_worker_reports_total", Counter,
        "Reports of workers that were asked for, by outcome.";
    ADVICE_CALLS = "wasabiswitch_advice_calls_total", Counter,
        "Calls of the owner to the advice service, by outcome.";
    ADVICE_WAITING = "wasabiswitch_advice_waiting", Gauge,
        "Steps that wait for a call to the advice service, at the owner.";
    OWNER_WRITES = "wasabiswitch_owner_writes_total", Counter,
        "Writes of the owner to the store, by outcome.";
    OWNER_WRITE_SECONDS = "wasabiswitch_owner_write_seconds", Histogram,
        "Time of one write of the owner to the store.";
    OWNER_TERMS = "wasabiswitch_owner_terms_total", Counter,
        "Terms in which this daemon owned the fleet.";
    INSTANCE_CALLS = "wasabiswitch_instance_calls_total", Counter,
        "Moves and upkeep that were asked of the machine service, by outcome.";
    EVACUATIONS = "wasabiswitch_evacuations", Gauge,
        "Evacuations of data centres that are in force here.";
    EVACUATED_TASKS = "wasabiswitch_evacuated_tasks", Gauge,
        "Tasks that may still run in evacuated data centres, at the owner.";
    EVACUATION_RETURNS = "wasabiswitch_evacuation_returns_total", Counter,
        "Workers that have returned after an evacuation was lifted, at the owner.";
    FORECAST_PERIOD_SECONDS = "wasabiswitch_forecast_period_seconds", Gauge,
        "Period of the pools' demand that the forecast uses; zero without a forecast.";
    FORECASTS_WRONG = "wasabiswitch_forecasts_wrong_total", Counter,
        "Times at which a pool's forecast was set aside because it was wrong twice, by pool.";
    ENTRIES_REJECTED = "wasabiswitch_entries_rejected_total", Counter,
        "Invalid entries of the platform's lists that were skipped, by list.";
    INTAKE_CONNECTIONS = "wasabiswitch_intake_connections", Gauge,
        "Connections of clients, by listener.";
    INTAKE_BYTES = "wasabiswitch_intake_bytes", Gauge,
        "Bytes of bodies that are being read or are held by requests, by listener.";
    INTAKE_REFUSALS = "wasabiswitch_intake_refusals_total", Counter,
        "Requests and connections that were refused or closed at a limit, by listener and limit.";
    TASK_PANICS = "wasabiswitch_task_panics_total", Counter,
        "Tasks that panicked, by task.";
}

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of the process; later calls do nothing.
pub fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_ok() {
            describe();
        }
        handle
    });
}

fn describe() {
    for metric in ALL {
        match metric.kind {
            MetricKind::Counter => metrics::describe_counter!(metric.name, metric.help),
            MetricKind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
            MetricKind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
        }
    }
}

/// Returns all metrics in Prometheus text format, or an empty text before [`install`].
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Aggregates the samples of histograms, which otherwise accumulate in memory until the next [`render`].
pub fn run_upkeep() {
    if let Some(handle) = HANDLE.get() {
        handle.run_upkeep();
    }
}
