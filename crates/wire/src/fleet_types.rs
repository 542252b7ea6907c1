//! Wire format of the job engine's rows and of the calls between daemons.
//!
//! The order of the fields and the numbers of the variants define the format: a change of either
//! requires a new [`crate::FORMAT_VERSION`].

use wasabiswitch_policy::fleet::calls::{
    Call, HandOverRequest, OwnerHint, OwnerStatus, QueueOperation, Reply, StatusRequest,
    StepDownRequest,
};
use wasabiswitch_policy::fleet::maintenance::{WaveCalls, WaveProgress};
use wasabiswitch_policy::fleet::ownership::{OwnerRow, SteppedDown};
use wasabiswitch_policy::fleet::progress::{JobRow, OccurrenceProgress, ProgressRow, StepProgress};
use wasabiswitch_policy::fleet::silent_records::SilentWorkerRow;
use wasabiswitch_policy::fleet::spec::{ResourceVector, Step, Submission};
use wasabiswitch_policy::fleet::start_pools::StartPoolsRow;
use wasabiswitch_policy::fleet::state::{Phase, QueueSettings, TaskName};
use wasabiswitch_policy::fleet::withdrawals::WithdrawalRow;

use crate::{wire_enum, wire_struct};

wire_struct!(ResourceVector { cpu_milli, memory_mib, accelerators });
wire_struct!(Step {
    count,
    resources,
    estimate_ms,
    after,
    checkpoints,
    gang,
    rack_local,
    required_label,
    data_rack,
    per_worker_max,
    speculative,
    long_running,
    image,
    latency_target_ms,
    fills,
    unavailable_max,
});
wire_struct!(Submission { job, queue, team, spec, steps, repeats, first_unix_ms, period_ms });
wire_struct!(QueueSettings {
    pool,
    priority,
    attempts_max,
    slack_factor,
    objective_ms,
    requires_advice
});
wire_struct!(JobRow { submission, queue_settings, accepted_fence });
wire_enum!(Phase { 0 => Queued, 1 => Running, 2 => Done, 3 => Failed, 4 => Cancelled });
wire_struct!(StepProgress { done, failures, checkpoints });
wire_struct!(OccurrenceProgress { number, steps });
wire_struct!(ProgressRow { phase, next_occurrence, occurrences });
wire_struct!(StartPoolsRow { pools });
wire_struct!(TaskName { job, occurrence, step, index });
wire_struct!(SilentWorkerRow { tasks });
wire_struct!(WithdrawalRow { recorded_by });
wire_struct!(WaveProgress { begun });
wire_struct!(WaveCalls { called });
wire_struct!(OwnerRow { daemon, incarnation, address, fence, writes, released, processor_milli });

wire_enum!(QueueOperation { 0 => Submit(submission), 1 => State(job), 2 => Cancel(job), 3 => Pending });
wire_struct!(Call { request_id, config_version, queue, operation });
wire_enum!(Reply {
    0 => Accepted,
    1 => Refused(reason, retry_after_ms),
    2 => Invalid(reason),
    3 => State(phase),
    4 => Cancelled,
    5 => Gone,
    6 => Pending(count),
    7 => NotOwner,
    8 => InDoubt,
});
wire_struct!(OwnerHint { daemon, address, fence });
wire_struct!(StatusRequest { daemon, address });
wire_struct!(OwnerStatus {
    acting,
    fence,
    config_version,
    processor_milli,
    writes,
    store_lost,
    owner,
    peers,
});
wire_struct!(StepDownRequest { successor });
wire_struct!(SteppedDown { incarnation, fence });
wire_struct!(HandOverRequest { daemon, processor_milli });
