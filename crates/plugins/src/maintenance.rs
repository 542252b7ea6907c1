//! Runs maintenance waves.
//!
//! The row of a wave holds all of its progress, so that any daemon can continue it. The daemon that holds
//! the role `fleet` executes the steps that `wasabiswitch_policy::waves` decides; the fleet controller
//! then drains and reboots each instance and returns it to service. See docs/operators/waves.md.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use http::Method;
use serde_json::{Value, json};
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRequest, ControlResult};
use wasabiswitch_kernel::http::problem::{CONFLICT, INVALID, NOT_FOUND, Problem};
use wasabiswitch_kernel::metric;
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::store::{
    BaseVersion, CallClass, CallOptions, Change, RowWrite, StoreError, Stored,
};
use wasabiswitch_kernel::tables::Subject;
use wasabiswitch_policy::ids::{FailureDomain, InstanceId, WaveId};
use wasabiswitch_policy::instance::{InstanceState, Reason, plan_outage};
use wasabiswitch_policy::waves::{
    MaintenanceStatus, WaveRow, WaveState, WaveStep, next_step, start,
};

use crate::membership::try_acquire_role;
use crate::pools::{
    FLEET_ROLE, RowChange, current_row, drain_time_max, drain_within_budget, pool_view,
};
use crate::route::{control, store_problem};

/// Key prefix of wave rows.
pub const WAVE_PREFIX: &str = "wave/";
/// Interval at which the running waves are advanced.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a read or write of wave rows.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time, beyond the longest drain, that an instance may stay in one state of its maintenance before the
/// maintenance counts as failed.
const RETURN_TIMEOUT: Duration = Duration::from_secs(15 * 60);

fn plugin() -> Plugin {
    Plugin {
        control_routes: vec![
            control(Method::POST, "/v1/waves", Access::Operator, start_route),
            control(Method::GET, "/v1/waves", Access::Operator, status_route),
            control(Method::POST, "/v1/waves/:id/stop", Access::Operator, stop_route),
        ],
        periodic_tasks: vec![PeriodicTask {
            name: "waves",
            interval: |_| STEP_INTERVAL,
            wake: None,
            run: |kernel| async move { tick(&kernel).await }.boxed(),
        }],
        ..Plugin::new("maintenance", &["pools"])
    }
}

inventory::submit! { Registration(plugin) }

fn wave_key(wave: &str) -> String {
    format!("{WAVE_PREFIX}{wave}")
}

fn options(kernel: &Kernel) -> CallOptions {
    kernel.store.within(CallClass::Control, CHANGE_TIMEOUT)
}

async fn read_waves(kernel: &Kernel) -> Result<Vec<(WaveId, Stored<WaveRow>)>, StoreError> {
    let rows = kernel.store.scan::<WaveRow>(options(kernel), WAVE_PREFIX).await?;
    Ok(rows.into_iter().map(|(key, row)| (key[WAVE_PREFIX.len()..].into(), row)).collect())
}

async fn tick(kernel: &Arc<Kernel>) {
    if !try_acquire_role(kernel, FLEET_ROLE).await {
        return;
    }
    let Ok(waves) = read_waves(kernel).await else { return };
    for (id, stored) in waves {
        if stored.value.state == WaveState::Running {
            step(kernel, &id, stored).await;
        }
    }
}

/// Executes the steps of one wave until it has to wait.
async fn step(kernel: &Kernel, id: &WaveId, mut stored: Stored<WaveRow>) {
    for _ in 0..stored.value.waiting.len() + 2 {
        let row = &stored.value;
        let status_of = |instance: &InstanceId| maintenance_status(kernel, id, row, instance);
        let may_drain = |instance: &InstanceId| budget_allows(kernel, row, instance);
        let (next, drain) = match next_step(row, status_of, may_drain) {
            WaveStep::Wait => return,
            WaveStep::Advance(next) => (next, None),
            WaveStep::Drain(instance, next) => (next, Some(instance)),
        };
        let write = RowWrite::new(&wave_key(id), BaseVersion::from(Some(&stored)), &next);
        let committed = match &drain {
            None => kernel.store.commit(options(kernel), &[write]).await.unwrap_or(false),
            Some(instance) => drain_instance(kernel, id, instance, &write).await,
        };
        // Another daemon may have changed the rows first; the next tick reads them and decides again.
        if !committed {
            return;
        }
        record_step(kernel, id, &stored.value, &next, drain.as_ref());
        metrics::counter!(metric::WAVE_STEPS).increment(1);
        let Ok(Some(latest)) = kernel.store.read(options(kernel), &wave_key(id)).await else {
            return;
        };
        stored = latest;
    }
}

/// Drains an instance in the batch that writes the row of the wave; returns whether it was written.
async fn drain_instance(
    kernel: &Kernel,
    wave: &WaveId,
    instance: &InstanceId,
    write: &RowWrite,
) -> bool {
    let reason = Reason::Wave(wave.clone());
    let outcome = drain_within_budget(kernel, instance, &reason, Some(write)).await;
    matches!(outcome, Ok(RowChange::Changed(_)))
}

fn maintenance_status(
    kernel: &Kernel,
    wave: &WaveId,
    row: &WaveRow,
    instance: &InstanceId,
) -> MaintenanceStatus {
    let Some(instance_row) = current_row(kernel, instance) else {
        return MaintenanceStatus::LeftPool;
    };
    let is_own = |reason: &Reason| matches!(reason, Reason::Wave(id) if id == wave);
    match &instance_row.state {
        InstanceState::Serving if instance_row.pool != row.pool => MaintenanceStatus::LeftPool,
        InstanceState::Serving => MaintenanceStatus::Serving,
        InstanceState::Leaving(reason)
        | InstanceState::Down(reason, _)
        | InstanceState::Joining(reason) => {
            if !is_own(reason) {
                MaintenanceStatus::OutForOtherReason
            } else if is_overdue(kernel, row, instance) {
                MaintenanceStatus::Failed
            } else {
                MaintenanceStatus::InProgress
            }
        }
    }
}

fn is_overdue(kernel: &Kernel, row: &WaveRow, instance: &InstanceId) -> bool {
    let now = kernel.clock.now();
    let limit = drain_time_max(kernel, &row.pool) + RETURN_TIMEOUT;
    let instances = kernel.tables.instances.lock();
    let since = instances.table.by_id(instance).and_then(|entry| entry.state_since);
    since.is_some_and(|since| now >= since + limit)
}

fn budget_allows(kernel: &Kernel, row: &WaveRow, instance: &InstanceId) -> bool {
    let view = pool_view(kernel, &row.pool);
    let instances = kernel.tables.instances.lock();
    let pool_row = instances.pools.get(&row.pool).cloned().unwrap_or_default();
    plan_outage(&pool_row, &view, instance).is_ok()
}

/// Logs a change of the state of a wave and records the step in the journal.
fn record_step(
    kernel: &Kernel,
    id: &WaveId,
    before: &WaveRow,
    after: &WaveRow,
    drain: Option<&InstanceId>,
) {
    let (action, reason) = match (&after.state, drain) {
        (WaveState::Halted(why), _) => ("halted", why.clone()),
        (WaveState::Finished, _) => ("finished", "every instance was maintained".to_owned()),
        (_, Some(instance)) => ("drains", format!("{instance} is next and the budget allows it")),
        _ => ("advanced", "instances have come back".to_owned()),
    };
    if before.state != after.state {
        log::info!("wave {id}: {action}: {reason}");
    }
    let numbers = vec![
        ("waiting", after.waiting.len() as i64),
        ("active", after.active.len() as i64),
        ("done", after.done.len() as i64),
        ("failed", after.failed.len() as i64),
        ("batch", i64::from(after.batch)),
    ];
    let now = kernel.clock.now();
    kernel.tables.journal.lock().record(now, Subject::Wave, id, action, reason, numbers);
}

async fn start_route(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let pool = request.query.get("pool").cloned().unwrap_or_default();
    if !kernel.config().config.pools.contains_key(pool.as_str()) {
        return Err(Problem::not_run(INVALID, format!("there is no pool named {pool:?}")));
    }
    let waves = read_waves(&kernel).await.map_err(|error| store_problem(&error))?;
    let running = waves.iter().find(|(_, stored)| {
        *stored.value.pool == *pool && stored.value.state == WaveState::Running
    });
    if let Some((id, _)) = running {
        return Err(Problem::not_run(CONFLICT, format!("wave {id} maintains this pool already")));
    }
    let row = start(pool.as_str().into(), &members_with_load(&kernel, &pool));
    // The id consists of the pool and a count, so that of two concurrent requests only one creates the
    // wave.
    let count = waves.iter().filter(|(_, stored)| *stored.value.pool == *pool).count();
    let id: WaveId = format!("{pool}-{}", count + 1).into();
    let created = kernel
        .store
        .mutate_absent(options(&kernel), &wave_key(&id), |known: Option<&WaveRow>| match known {
            None => Change::Write(row.clone(), true),
            Some(_) => Change::Keep(false),
        })
        .await
        .map_err(|error| store_problem(&error))?;
    if !created {
        return Err(Problem::not_run(CONFLICT, format!("wave {id} was started by someone else")));
    }
    Ok(ControlReply::json(&wave_json(&id, &row)))
}

fn members_with_load(kernel: &Kernel, pool: &str) -> BTreeMap<InstanceId, (FailureDomain, u32)> {
    let domains = pool_view(kernel, pool).domains;
    let upstreams = kernel.tables.upstreams.lock();
    let members = domains.into_iter().map(|(id, domain)| {
        let load = upstreams.table.by_id(&id).map_or(0, |upstream| upstream.outstanding);
        (id, (domain, load))
    });
    members.collect()
}

async fn status_route(kernel: Arc<Kernel>, _: ControlRequest) -> ControlResult {
    let waves = read_waves(&kernel).await.map_err(|error| store_problem(&error))?;
    let waves: Vec<Value> = waves.iter().map(|(id, stored)| wave_json(id, &stored.value)).collect();
    Ok(ControlReply::json(&json!({ "waves": waves })))
}

async fn stop_route(kernel: Arc<Kernel>, request: ControlRequest) -> ControlResult {
    let id = request.param("id");
    let stopped = kernel
        .store
        .mutate(options(&kernel), &wave_key(id), |row: Option<&WaveRow>| match row {
            Some(row) if row.state == WaveState::Running => {
                let next = WaveRow { state: WaveState::Stopped, ..row.clone() };
                Change::Write(next.clone(), Some(next))
            }
            Some(row) => Change::Keep(Some(row.clone())),
            None => Change::Keep(None),
        })
        .await
        .map_err(|error| store_problem(&error))?;
    let row =
        stopped.ok_or_else(|| Problem::not_run(NOT_FOUND, format!("there is no wave {id:?}")))?;
    Ok(ControlReply::json(&wave_json(id, &row)))
}

fn wave_json(id: &str, row: &WaveRow) -> Value {
    let (state, why) = match &row.state {
        WaveState::Running => ("running", ""),
        WaveState::Halted(why) => ("halted", why.as_str()),
        WaveState::Stopped => ("stopped", "an operator stopped it"),
        WaveState::Finished => ("finished", ""),
    };
    json!({
        "wave": id,
        "pool": row.pool,
        "state": state,
        "why": why,
        "waiting": row.waiting.len(),
        "active": row.active,
        "done": row.done.len(),
        "failed": row.failed,
        "batch": row.batch,
    })
}
