//! At-most-once execution of requests with an idempotency key.
//!
//! One test explores every interleaving of processes that claim the same key, with crashes and lost
//! acknowledgements at each step, and counts how often the request runs.

use wasabiswitch_policy::idempotency::{
    ClaimOutcome, ClaimRequest, IdempotencyRow, IdempotencyState, RequestDigest, StoredResponse,
    claim, end,
};

const DIGEST: RequestDigest = [1; 32];

fn answer() -> StoredResponse {
    StoredResponse { status: 200, headers: Vec::new(), body: b"done".to_vec() }
}

fn request(claim: u64) -> ClaimRequest {
    ClaimRequest { digest: DIGEST, daemon: "d".into(), epoch: 1, claim, expires_unix_s: 0 }
}

/// State of a process that runs the request, over a row with conditional writes.
#[derive(Clone, Debug, PartialEq)]
enum Process {
    /// The process has not read the row.
    Start,
    /// The process has read this version and is about to write this row.
    Decided(u64, Option<IdempotencyRow>),
    /// The process holds the claim and may send the request.
    MaySend,
    /// The process has sent the request, which has run.
    Sent,
    /// The process has finished or failed.
    Finished,
}

/// Shared row, and the number of executions of the request.
#[derive(Clone, Debug, Default)]
struct SharedState {
    version: u64,
    row: Option<IdempotencyRow>,
    executions: u32,
}

/// All outcomes that a step can have.
const STEP_OUTCOMES: [StepOutcome; 3] =
    [StepOutcome::Succeeds, StepOutcome::AcknowledgementLost, StepOutcome::Crashes];

#[derive(Clone, Copy, Debug, PartialEq)]
enum StepOutcome {
    Succeeds,
    /// The write takes effect and its acknowledgement is lost, so the process must not send.
    AcknowledgementLost,
    /// The process crashes before the step.
    Crashes,
}

fn advance(shared: &mut SharedState, process: &Process, id: u64, outcome: StepOutcome) -> Process {
    if outcome == StepOutcome::Crashes {
        return Process::Finished;
    }
    match process {
        Process::Start => match claim(shared.row.as_ref(), &request(id)) {
            ClaimOutcome::Write(row) => Process::Decided(shared.version, Some(row)),
            _ => Process::Finished,
        },
        Process::Decided(version, row) => {
            if *version != shared.version {
                return Process::Start;
            }
            shared.version += 1;
            shared.row.clone_from(row);
            if outcome == StepOutcome::AcknowledgementLost {
                Process::Finished
            } else {
                Process::MaySend
            }
        }
        Process::MaySend => {
            shared.executions += 1;
            Process::Sent
        }
        Process::Sent => {
            let row = shared.row.as_ref().expect("a claimed row exists");
            if let Some(next) = end(row, 1, id, IdempotencyState::Answered(answer())) {
                shared.row = Some(next);
                shared.version += 1;
            }
            Process::Finished
        }
        Process::Finished => Process::Finished,
    }
}

/// Explores every interleaving of the processes with every outcome of each step.
fn explore(shared: &SharedState, processes: &[Process], depth: usize, explored: &mut u64) {
    *explored += 1;
    assert!(shared.executions <= 1, "the request ran {} times", shared.executions);
    assert!(depth < 40, "the processes do not terminate");
    for index in 0..processes.len() {
        if processes[index] == Process::Finished {
            continue;
        }
        for outcome in STEP_OUTCOMES {
            let mut next_shared = shared.clone();
            let mut next = processes.to_vec();
            next[index] = advance(&mut next_shared, &processes[index], index as u64 + 1, outcome);
            explore(&next_shared, &next, depth + 1, explored);
        }
    }
}

#[test]
fn no_interleaving_executes_a_request_twice() {
    let mut explored = 0;
    explore(
        &SharedState::default(),
        &[Process::Start, Process::Start, Process::Start],
        0,
        &mut explored,
    );
    assert!(explored > 10_000, "only {explored} states were explored");
}

/// Predicate on the outcome of a claim.
type Expected = fn(&ClaimOutcome) -> bool;

#[test]
fn repeated_request_outcome_follows_from_the_row() {
    let ClaimOutcome::Write(claimed) = claim(None, &request(1)) else { panic!("a new key") };
    let ended = |state| end(&claimed, 1, 1, state).expect("the claim is the row's");
    let cases: [(IdempotencyRow, Expected); 4] = [
        (claimed.clone(), |outcome| *outcome == ClaimOutcome::InDoubt),
        (ended(IdempotencyState::Released), |outcome| matches!(outcome, ClaimOutcome::Write(_))),
        (ended(IdempotencyState::Answered(answer())), |outcome| {
            *outcome == ClaimOutcome::Repeat(answer())
        }),
        (ended(IdempotencyState::AnswerNotKept), |outcome| {
            *outcome == ClaimOutcome::RanWithoutAnswer
        }),
    ];
    for (row, expected) in cases {
        let outcome = claim(Some(&row), &request(2));
        assert!(expected(&outcome), "{row:?} gave {outcome:?}");
        let other = ClaimRequest { digest: [2; 32], ..request(3) };
        assert_eq!(claim(Some(&row), &other), ClaimOutcome::OtherRequest);
    }
}

#[test]
fn claim_is_ended_only_once_and_only_by_its_holder() {
    let ClaimOutcome::Write(claimed) = claim(None, &request(1)) else { panic!("a new key") };
    assert!(end(&claimed, 1, 2, IdempotencyState::Released).is_none());
    assert!(end(&claimed, 2, 1, IdempotencyState::Released).is_none());
    let released = end(&claimed, 1, 1, IdempotencyState::Released).expect("the claim is the row's");
    assert!(end(&released, 1, 1, IdempotencyState::Answered(answer())).is_none());
}
