//! Shows operators the fleet: its owner, pools, moves, waves, evacuations, teams and workers, and a job's tasks.
//!
//! Only the owner has this state. Any other daemon forwards the request to the owner; a forwarded request is
//! not forwarded again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::client::{ClientRequest, ClientResponse};
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{Code, NO_OWNER, NOT_FOUND, Problem};
use wasabiswitch_kernel::plugin::{PlatformKind, Plugin, Registration};
use wasabiswitch_kernel::tables::Term;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::evacuation::EvacuationView;
use wasabiswitch_policy::fleet::spec::ResourceVector;
use wasabiswitch_policy::fleet::state::Worker;
use wasabiswitch_policy::fleet::view::{
    JobView, MoveView, PoolView, RunView, StepView, TeamView, WaveView,
};

use super::is_acting;
use crate::route::control;

/// The path of the view of the fleet.
const FLEET_PATH: &str = "/v1/fleet";
/// The path of the view of a job.
const JOB_PATH: &str = "/v1/fleet/jobs/:id";
/// Time limit for the owner's response, which the owner builds from memory.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Query parameter that marks a forwarded request, which is not forwarded again.
const FORWARDED_PARAMETER: &str = "passed_on";

fn plugin() -> Plugin {
    Plugin {
        platform_kind: PlatformKind::Fleet,
        control_routes: vec![
            control(Method::GET, FLEET_PATH, Access::Open, show_fleet),
            control(Method::GET, JOB_PATH, Access::Open, show_job),
        ],
        ..Plugin::new("fleet view", &["fleet status"])
    }
}

inventory::submit! { Registration(plugin) }

async fn show_fleet(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let view = with_acting_term(&kernel, |term| Ok(fleet_json(&kernel, &term.engine)));
    match view {
        Some(view) => view.map(|view| ControlReply::json(&view)),
        None => forward_to_owner(&kernel, &request, FLEET_PATH).await,
    }
}

async fn show_job(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let id = request.param("id").to_owned();
    let view = with_acting_term(&kernel, |term| match term.engine.view_job(&id) {
        Some(job) => Ok(job_json(&id, &job)),
        None => {
            let place = term.locate(&id).as_str();
            let detail = format!("there is no accepted job {id}, its submission is {place}");
            Err(Problem::not_run(NOT_FOUND, detail))
        }
    });
    match view {
        Some(view) => view.map(|view| ControlReply::json(&view)),
        None => forward_to_owner(&kernel, &request, &format!("/v1/fleet/jobs/{id}")).await,
    }
}

/// Returns the result of `show` for the term, or `None` if this daemon does not own the fleet or may not act.
fn with_acting_term<T>(kernel: &Kernel, show: impl FnOnce(&Term) -> T) -> Option<T> {
    if !is_acting(kernel) {
        return None;
    }
    kernel.tables.term.lock().as_ref().map(show)
}

/// Forwards a request to the owner and returns the owner's response.
async fn forward_to_owner(kernel: &Kernel, request: &ControlRequest, path: &str) -> ControlResult {
    let no_owner = |detail: String| Problem::not_run(NO_OWNER, detail);
    let owner = kernel.tables.fleet.lock().owner.clone();
    let Some(owner) = owner.filter(|owner| owner.daemon != kernel.settings.daemon) else {
        return Err(no_owner("no daemon owns the fleet now; try again in two seconds".to_owned()));
    };
    if request.query.contains_key(FORWARDED_PARAMETER) {
        let detail = format!("this daemon does not own the fleet; ask {}", owner.daemon);
        return Err(no_owner(detail));
    }
    let outgoing = ClientRequest {
        method: Method::GET,
        path: &format!("{path}?{FORWARDED_PARAMETER}=1"),
        authorization: None,
        headers: &[],
        body: Bytes::new(),
    };
    let sent = kernel.client.send(owner.address, outgoing);
    let response = match tokio::time::timeout(RESPONSE_TIMEOUT, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            return Err(no_owner(format!("the owner {} is not reached: {error}", owner.daemon)));
        }
        Err(_) => return Err(no_owner(format!("the owner {} does not answer", owner.daemon))),
    };
    decode_response(&response).map_err(|(code, detail)| {
        Problem::not_run(code, format!("{} answered: {detail}", owner.daemon))
    })
}

/// Decodes the owner's response; the error is the code and the detail of the owner's refusal.
fn decode_response(response: &ClientResponse) -> Result<ControlReply, (Code, String)> {
    let parsed: Result<Value, _> = serde_json::from_slice(&response.body);
    let body = parsed.map_err(|error| (NO_OWNER, format!("{}, {error}", response.status)))?;
    if response.status.is_success() {
        return Ok(ControlReply::json(&body));
    }
    let detail = body["detail"].as_str().unwrap_or("no reason given").to_owned();
    let code = if response.status == StatusCode::NOT_FOUND { NOT_FOUND } else { NO_OWNER };
    Err((code, detail))
}

fn fleet_json(kernel: &Kernel, engine: &Engine) -> Value {
    let now = kernel.clock.now();
    let list = |values: Vec<Value>| Value::Array(values);
    json!({
        "owner": [{
            "daemon": &*kernel.settings.daemon,
            "fence": engine.fence,
            "jobs": engine.jobs.len(),
            "live_jobs": engine.live.len(),
        }],
        "pools": list(engine.view_pools(now).iter().map(pool_json).collect()),
        "moves": list(engine.view_moves(now).iter().map(move_json).collect()),
        "waves": list(engine.view_waves(now).iter().map(wave_json).collect()),
        "evacuations": list(engine.view_evacuations(now).iter().map(evacuation_json).collect()),
        "teams": list(engine.view_teams().iter().map(team_json).collect()),
        "workers": list(engine.workers.values().map(worker_json).collect()),
    })
}

fn pool_json(view: &PoolView) -> Value {
    json!({
        "pool": &*view.pool,
        "instances": view.instances,
        "workers": view.workers,
        "target": view.target,
        "empty": view.empty,
        "running_milli": view.running_milli,
        "offered_milli": view.offered_milli,
        "accepted_milli": view.accepted_milli,
    })
}

fn move_json(view: &MoveView) -> Value {
    json!({ "instance": &*view.instance, "to": &*view.to, "age_ms": view.age_ms })
}

fn wave_json(view: &WaveView) -> Value {
    json!({
        "wave": view.wave,
        "waiting": view.waiting,
        "draining": view.draining,
        "down": view.down,
        "done": view.done,
        "down_max": view.down_max,
        "left_ms": view.left_ms,
    })
}

fn evacuation_json(view: &EvacuationView) -> Value {
    json!({
        "data_centre": &*view.data_centre,
        "state": if view.in_force { "in force" } else { "returning" },
        "workers": view.workers,
        "tasks": view.tasks,
        "returned": view.returned,
        "age_ms": view.age_ms,
    })
}

fn amount_json(amount: &ResourceVector) -> Value {
    json!({
        "cpu_milli": amount.cpu_milli,
        "memory_mib": amount.memory_mib,
        "accelerators": amount.accelerators,
    })
}

fn team_json(view: &TeamView) -> Value {
    json!({
        "team": &*view.team,
        "weight": view.weight,
        "used": amount_json(&view.used),
        "cap": amount_json(&view.cap),
    })
}

fn worker_json(worker: &Worker) -> Value {
    json!({
        "worker": &*worker.entry.id,
        "pool": &*worker.entry.pool,
        "listed": worker.listed,
        "draining": worker.entry.draining,
        "cordon": worker.cordon.map(|cordon| format!("{cordon:?}")),
        "runs": worker.runs.len(),
        "orphans": worker.orphans.len(),
        "starts_in_doubt": worker.starts_in_doubt.len(),
        "reserved_cpu_milli": worker.reserved.cpu_milli,
        "cpu_milli": worker.entry.capacity.cpu_milli,
    })
}

fn job_json(id: &str, view: &JobView) -> Value {
    let step = |step: &StepView| {
        json!({
            "occurrence": step.occurrence,
            "step": step.step,
            "after": step.after,
            "tasks": step.tasks,
            "done": step.done,
            "running": step.running,
        })
    };
    let run = |run: &RunView| {
        json!({
            "occurrence": run.occurrence,
            "step": run.step,
            "task": run.task,
            "attempt": run.attempt,
            "worker": &*run.worker,
            "state": run.state,
            "percent": run.percent,
        })
    };
    json!({
        "job": id,
        "phase": view.phase.as_str(),
        "steps": view.steps.iter().map(step).collect::<Vec<_>>(),
        "runs": view.runs.iter().map(run).collect::<Vec<_>>(),
    })
}
