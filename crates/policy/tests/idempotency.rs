//! The at-most-once state machine against a ledger that sees everything, under every interleaving.

use wasabiswitch_policy::idempotency::{
    ClaimOutcome, ClaimRequest, IdempotencyRow, IdempotencyState, RequestDigest, StoredAnswer,
    claim, end,
};

const DIGEST: RequestDigest = [1; 32];

fn answer() -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: b"done".to_vec() }
}

fn request(claim: u64) -> ClaimRequest {
    ClaimRequest { digest: DIGEST, daemon: "d".into(), epoch: 1, claim, expires_unix_s: 0 }
}

/// A process that runs the request, step by step, over a shared conditional row.
#[derive(Clone, Debug, PartialEq)]
enum Process {
    /// It has not read the row.
    Start,
    /// It has read the row at a version and decided.
    Decided(u64, Option<IdempotencyRow>),
    /// It holds the claim and may send.
    MaySend,
    /// It has sent the request, which ran.
    Sent,
    /// It has nothing more to do.
    Over,
}

/// The shared row, and the ledger of runs.
#[derive(Clone, Debug, Default)]
struct World {
    version: u64,
    row: Option<IdempotencyRow>,
    runs: u32,
}

/// Which way a step goes where the outside decides.
const CHOICES: [Choice; 3] = [Choice::Works, Choice::AnswerLost, Choice::Dies];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    Works,
    /// The write takes effect and its answer is lost for good, so the process must not go on.
    AnswerLost,
    /// The process dies.
    Dies,
}

fn advance(world: &mut World, process: &Process, id: u64, choice: Choice) -> Process {
    if choice == Choice::Dies {
        return Process::Over;
    }
    match process {
        Process::Start => match claim(world.row.as_ref(), &request(id)) {
            ClaimOutcome::Write(row) => Process::Decided(world.version, Some(row)),
            _ => Process::Over,
        },
        Process::Decided(version, row) => {
            if *version != world.version {
                return Process::Start;
            }
            world.version += 1;
            world.row.clone_from(row);
            if choice == Choice::AnswerLost { Process::Over } else { Process::MaySend }
        }
        Process::MaySend => {
            world.runs += 1;
            Process::Sent
        }
        Process::Sent => {
            let row = world.row.as_ref().expect("a claimed row exists");
            if let Some(next) = end(row, 1, id, IdempotencyState::Answered(answer())) {
                world.row = Some(next);
                world.version += 1;
            }
            Process::Over
        }
        Process::Over => Process::Over,
    }
}

/// Walks every interleaving of the processes and every choice of the outside.
fn explore(world: &World, processes: &[Process], depth: usize, seen: &mut u64) {
    *seen += 1;
    assert!(world.runs <= 1, "ran {} times", world.runs);
    assert!(depth < 40, "the processes come to an end");
    for index in 0..processes.len() {
        if processes[index] == Process::Over {
            continue;
        }
        for choice in CHOICES {
            let mut next_world = world.clone();
            let mut next = processes.to_vec();
            next[index] = advance(&mut next_world, &processes[index], index as u64 + 1, choice);
            explore(&next_world, &next, depth + 1, seen);
        }
    }
}

#[test]
fn no_interleaving_runs_twice() {
    let mut seen = 0;
    explore(&World::default(), &[Process::Start, Process::Start, Process::Start], 0, &mut seen);
    assert!(seen > 10_000, "only {seen} states were seen");
}

/// Reports whether an outcome is the expected one.
type Expected = fn(&ClaimOutcome) -> bool;

#[test]
fn what_a_row_says_to_a_repeat() {
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
        assert!(expected(&outcome), "{row:?} said {outcome:?}");
        let other = ClaimRequest { digest: [2; 32], ..request(3) };
        assert_eq!(claim(Some(&row), &other), ClaimOutcome::OtherRequest);
    }
}

#[test]
fn only_its_own_claim_can_be_ended_and_only_once() {
    let ClaimOutcome::Write(claimed) = claim(None, &request(1)) else { panic!("a new key") };
    assert!(end(&claimed, 1, 2, IdempotencyState::Released).is_none());
    assert!(end(&claimed, 2, 1, IdempotencyState::Released).is_none());
    let released = end(&claimed, 1, 1, IdempotencyState::Released).expect("the claim is the row's");
    assert!(end(&released, 1, 1, IdempotencyState::Answered(answer())).is_none());
}
