//! Wire format of the rows and values that the policy crate defines.
//!
//! The order of the fields and the numbers of the variants define the format: a change of either
//! requires a new [`crate::FORMAT_VERSION`].

use wasabiswitch_policy::generation::GenerationRow;
use wasabiswitch_policy::grants::{Grant, GrantRow};
use wasabiswitch_policy::idempotency::{IdempotencyRow, IdempotencyState, StoredResponse};
use wasabiswitch_policy::instance::{Cause, FeedRow, InstanceRow, InstanceState, PoolRow, Reason};
use wasabiswitch_policy::jobs::{Claim, JobRow, JobSpec, JobState, Outcome, Resources};
use wasabiswitch_policy::session::{RoleRow, SessionRow, SessionState};
use wasabiswitch_policy::waves::{WaveRow, WaveState};

use crate::{wire_enum, wire_struct};

wire_struct!(Grant { daemon, epoch, slots, wanted_slots });
wire_struct!(GrantRow { grants });

wire_enum!(SessionState { 0 => Live, 1 => Ended, 2 => Fenced });
wire_struct!(SessionRow { daemon, epoch, address, data_centre, renewals, state });
wire_struct!(RoleRow { daemon, epoch });

wire_struct!(GenerationRow { generation, digest, snapshot, snapshot_digest, operator });

wire_struct!(StoredResponse { status, headers, body });
wire_enum!(IdempotencyState { 0 => Claimed, 1 => Released, 2 => Answered(answer), 3 => AnswerNotKept });
wire_struct!(IdempotencyRow { digest, daemon, epoch, claim, state, expires_unix_s });

wire_enum!(Reason { 0 => Operator, 1 => Move(pool), 2 => Wave(wave) });
wire_enum!(InstanceState {
    0 => Serving,
    1 => Leaving(reason),
    2 => Down(reason, boot),
    3 => Joining(reason),
});
wire_struct!(InstanceRow { pool, state });
wire_enum!(Cause { 0 => Failure, 1 => Planned });
wire_struct!(PoolRow { unavailable });
wire_struct!(FeedRow { sequence, recent });

wire_struct!(Resources { cpu_milli, memory_bytes, accelerators });
wire_struct!(JobSpec {
    team,
    key,
    queue,
    kind,
    resources,
    run_time_ms,
    deadline_ms,
    at_most_once,
    payload,
});
wire_struct!(Claim { daemon, epoch, instance });
wire_enum!(Outcome { 0 => Done, 1 => Failed, 2 => Cancelled, 3 => Impossible, 4 => InDoubt });
wire_enum!(JobState { 0 => Queued, 1 => Claimed(claim), 2 => Started(claim), 3 => Ended(outcome) });
wire_struct!(JobRow { spec, state, attempt, failed_on, cancel, detail, ended_unix_s });

wire_enum!(WaveState { 0 => Running, 1 => Halted(reason), 2 => Stopped, 3 => Finished });
wire_struct!(WaveRow { pool, waiting, active, done, failed, batch, returned, state });
