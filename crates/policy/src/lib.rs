/*!
Decision logic of wasabiswitch, as pure functions over plain structs.

# Example: dividing the slots of a full fleet

```
use wasabiswitch_policy::shares::{Claim, max_min};

let claims = [
    Claim { weight: 1, demand_slots: 10, limit_slots: 100 },
    Claim { weight: 3, demand_slots: 50, limit_slots: 100 },
    Claim { weight: 1, demand_slots: 1, limit_slots: 100 },
];
assert_eq!(max_min(&claims, 21), [5, 15, 1]);
```

# Example: whether to retry a failed attempt

```
use std::time::{Duration, Instant};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::retry::{Attempt, RetryStep, next_step};

let now = Instant::now();
let attempt = Attempt {
    verdict: Verdict::MayHaveRun,
    repeatable: false,
    attempts_made: 1,
    attempts_max: 3,
    deadline: now + Duration::from_secs(1),
};
assert_eq!(next_step(&attempt, now, true, 0.5), RetryStep::GiveUp);
```

# Scope

This crate contains the functions that make decisions. None of them performs I/O, awaits, reads a
clock or depends on an encoding: the current time and random numbers are arguments. Each rule can
therefore be tested against a naive model (see `tests/`) and used by another front end.

The reasons for the rules are in docs/DESIGN.md.
*/

pub mod breaker;
pub mod burn;
pub mod config;
pub mod config_check;
pub mod demand;
pub mod fleet;
pub mod generation;
pub mod grants;
pub mod idempotency;
pub mod ids;
pub mod instance;
pub mod intake;
pub mod jobs;
pub mod merge;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod routing;
pub mod session;
pub mod shares;
pub mod stop;
mod verdict;
pub mod waves;

pub use verdict::Verdict;
