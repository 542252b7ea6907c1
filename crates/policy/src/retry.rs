//! Retry policy for requests.
//!
//! A request is sent again only if its last attempt did not run, or if its service declares it
//! repeatable. The deadline is fixed when the request arrives, and each attempt gets the remaining
//! time. The Nomad issue "RPC retry logic in nomad client's rpc.go is incorrect" describes the two
//! faults that this avoids: restarting the timer at each retry, and deriving the verdict from the
//! text of an error.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::Verdict;

/// Failed attempt, with the retry limits of its request.
#[derives(value)]
pub struct Attempt {
    /// Whether the attempt has run.
    pub verdict: Verdict,
    /// Whether the service allows the request to run more than once.
    pub repeatable: bool,
    /// Number of attempts so far, including this one.
    pub attempts_made: u32,
    /// Maximum number of attempts that the service allows.
    pub attempts_max: u32,
    /// Deadline of the request, fixed when it arrived.
    pub deadline: Instant,
}

/// Step after a failed attempt.
#[derives(value)]
pub enum RetryStep {
    /// Send the request again after this pause.
    After(Duration),
    /// Report the failure to the caller.
    GiveUp,
}

/// Maximum pause before the first retry; the maximum doubles with each further retry.
const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Maximum pause before any retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Returns the step after a failed attempt.
///
/// `budget_left` is whether the retry budget allows a retry; `jitter` is a random number in `0..1`.
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

/// Returns the exponential backoff before retry number `retry`, counted from one, with full jitter.
pub fn backoff(retry: u32, jitter: f64) -> Duration {
    let doublings = retry.saturating_sub(1).min(16);
    let ceiling = (BACKOFF_BASE * 2_u32.pow(doublings)).min(BACKOFF_MAX);
    ceiling.mul_f64(jitter.clamp(0.0, 1.0))
}

/// Token bucket that limits retries to a fraction of the requests, so that retries cannot multiply
/// the load of an outage.
#[derives(record)]
pub struct RetryBudget {
    tokens_milli: u64,
}

/// Tokens earned by one request, in thousandths of a retry.
const TOKENS_PER_REQUEST_MILLI: u64 = 200;
/// Capacity of a budget, in thousandths of a retry.
const TOKENS_MAX_MILLI: u64 = 10_000;
/// Tokens spent by one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens_milli: TOKENS_MAX_MILLI }
    }
}

impl RetryBudget {
    /// Adds the tokens that the first attempt of a request earns.
    pub fn earn(&mut self) {
        self.tokens_milli = (self.tokens_milli + TOKENS_PER_REQUEST_MILLI).min(TOKENS_MAX_MILLI);
    }

    /// Takes the tokens of one retry; returns whether there were enough.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens_milli >= RETRY_COST_MILLI;
        if enough {
            self.tokens_milli -= RETRY_COST_MILLI;
        }
        enough
    }
}
