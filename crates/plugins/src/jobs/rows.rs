//! Reads and writes the rows of jobs, and the slots that running jobs hold.

use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::store::{
    BaseVersion, CallClass, CallOptions, Change, RowWrite, StoreError,
};
use wasabiswitch_policy::grants::{GrantRequest, GrantRow, adjust};
use wasabiswitch_policy::jobs::{Event, JobRow, JobState, apply};

use crate::limits::GRANT_PREFIX;

/// Key prefix of the rows of jobs that have not ended.
pub const JOB_PREFIX: &str = "job/";
/// Key prefix of the rows of jobs that have ended.
pub const ENDED_PREFIX: &str = "ended/";
/// Holder of the slots of running jobs.
///
/// It is not a session, so that the slots stay held when the session of the scheduler ends.
pub const JOBS_GRANT_HOLDER: &str = "@jobs";
/// Timeout of a read or write of job rows.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) fn job_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}")
}

pub(super) fn ended_key(job: &str) -> String {
    format!("{ENDED_PREFIX}{job}")
}

pub(super) fn options(kernel: &Kernel, class: CallClass) -> CallOptions {
    kernel.store.within(class, CHANGE_TIMEOUT)
}

/// Reads the row of a job, active or ended.
pub(super) async fn read_job(kernel: &Kernel, job: &str) -> Result<Option<JobRow>, StoreError> {
    let keys = [&*job_key(job), &*ended_key(job)];
    let rows = kernel.store.read_many(options(kernel, CallClass::Caller), &keys).await?;
    let active = rows.get::<JobRow>(0)?;
    let row = match active {
        Some(active) => Some(active),
        None => rows.get::<JobRow>(1)?,
    };
    Ok(row.map(|stored| stored.value))
}

/// Adds a job unless its id exists already; returns the stored row.
///
/// The id is looked up among the ended jobs too: it may be derived from an idempotency key, and a repeated
/// submission must not run the job again.
pub(super) async fn add_job(
    kernel: &Kernel,
    job: &str,
    row: &JobRow,
) -> Result<JobRow, StoreError> {
    let keys = [&*job_key(job), &*ended_key(job)];
    kernel
        .store
        .transact(options(kernel, CallClass::Caller), &keys, |rows| {
            let known = match rows.get::<JobRow>(0)? {
                Some(active) => Some(active),
                None => rows.get::<JobRow>(1)?,
            };
            Ok(match known {
                Some(known) => Change::Keep(known.value),
                None => {
                    let write = RowWrite::new(keys[0], BaseVersion::default(), row);
                    Change::Write(vec![write], row.clone())
                }
            })
        })
        .await
}

/// Applies an event to the row of a job; returns the new row, or `None` if the job is not active or its
/// state does not allow the event.
///
/// A job that ends is moved to the rows of ended jobs in the same batch.
pub(super) async fn change_job(
    kernel: &Kernel,
    class: CallClass,
    job: &str,
    event: &Event,
) -> Result<Option<JobRow>, StoreError> {
    let keys = [&*job_key(job), &*ended_key(job)];
    kernel
        .store
        .transact(options(kernel, class), &keys, |rows| {
            let Some(stored) = rows.get::<JobRow>(0)? else { return Ok(Change::Keep(None)) };
            let Some(mut after) = apply(&stored.value, event) else {
                return Ok(Change::Keep(None));
            };
            let base = BaseVersion::from(Some(&stored));
            let writes = if matches!(after.state, JobState::Ended(_)) {
                after.ended_unix_s = kernel.clock.unix_s();
                let ended = rows.get::<JobRow>(1)?;
                vec![
                    RowWrite::new(keys[1], BaseVersion::from(ended.as_ref()), &after),
                    RowWrite::delete(keys[0], base),
                ]
            } else {
                vec![RowWrite::new(keys[0], base, &after)]
            };
            Ok(Change::Write(writes, Some(after)))
        })
        .await
}

/// Adjusts the number of a team's slots that its jobs hold; returns the number held afterwards.
pub(super) async fn adjust_job_slots(
    kernel: &Kernel,
    team: &str,
    wanted_slots: u32,
    running_slots: u32,
) -> Result<u32, StoreError> {
    let config = kernel.config();
    let limit_slots = config.config.teams.get(team).map_or(0, |team| team.limit_slots);
    let request = GrantRequest {
        daemon: JOBS_GRANT_HOLDER.into(),
        epoch: 0,
        wanted_slots,
        running_slots,
        limit_slots,
    };
    let key = format!("{GRANT_PREFIX}{team}");
    kernel
        .store
        .mutate(options(kernel, CallClass::Control), &key, |row: Option<&GrantRow>| {
            let before = row.cloned().unwrap_or_default();
            let after = adjust(&before, &request);
            let held = after.held_slots(JOBS_GRANT_HOLDER, 0);
            if after == before { Change::Keep(held) } else { Change::Write(after, held) }
        })
        .await
}
