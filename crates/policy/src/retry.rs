//! Whether and when a request is sent again.
//!
//! A request is repeated only if its last attempt has not run, or if its service says that it may be
//! repeated. The deadline is fixed when the request enters, and each attempt gets what is left of
//! it: retries that start the clock again were one of the two faults described in "RPC retry logic in
//! nomad client's rpc.go is incorrect"; the other was to recover the verdict from an error's text.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::Verdict;

/// A failed attempt and the rules of its request.
#[derives(value)]
pub struct Attempt {
    /// What is known of the attempt.
    pub verdict: Verdict,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The attempts so far, this one included.
    pub attempts_made: u32,
    /// The most attempts that the service allows.
    pub attempts_max: u32,
    /// When the request must be answered, fixed when it entered.
    pub deadline: Instant,
}

/// What to do after a failed attempt.
#[derives(value)]
pub enum RetryStep {
    /// Send the request again after a pause.
    After(Duration),
    /// Report the failure.
    GiveUp,
}

/// The longest pause before the first retry; it doubles with each further one.
const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// The longest pause before any retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Decides what to do after a failed attempt.
///
/// `budget_left` is whether the retry budget allows another; `jitter` is a random number in `0..1`.
pub fn next_step(attempt: &Attempt, now: Instant, budget_left: bool, jitter: f64) -> RetryStep {
    let may_repeat = match attempt.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => attempt.repeatable,
        Verdict::Ran => false,
    };
    if !may_repeat || !budget_left || attempt.attempts_made >= attempt.attempts_max {
        return RetryStep::GiveUp;
    }
    let pause = backoff(attempt.attempts_made, jitter);
    if now + pause >= attempt.deadline {
        return RetryStep::GiveUp;
    }
    RetryStep::After(pause)
}

/// Returns the pause before retry number `retry`, counted from one, with full jitter.
pub fn backoff(retry: u32, jitter: f64) -> Duration {
    let doublings = retry.saturating_sub(1).min(16);
    let ceiling = (BACKOFF_BASE * 2_u32.pow(doublings)).min(BACKOFF_MAX);
    ceiling.mul_f64(jitter.clamp(0.0, 1.0))
}

/// A budget that bounds retries to a part of the requests, so that an outage is not multiplied.
#[derives(record)]
pub struct RetryBudget {
    tokens_milli: u64,
}

/// The tokens that one request earns, in thousandths of a retry.
const EARNED_MILLI: u64 = 200;
/// The most tokens that a budget holds, in thousandths of a retry.
const TOKENS_MAX_MILLI: u64 = 10_000;
/// The cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens_milli: TOKENS_MAX_MILLI }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.tokens_milli = (self.tokens_milli + EARNED_MILLI).min(TOKENS_MAX_MILLI);
    }

    /// Takes one retry from the budget; returns whether it had one.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens_milli >= RETRY_COST_MILLI;
        if enough {
            self.tokens_milli -= RETRY_COST_MILLI;
        }
        enough
    }
}
