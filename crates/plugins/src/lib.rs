/*!
The plug-ins of the daemon.

Each module registers its plug-ins, and the kernel starts them in the order of their declared
dependencies. A binary only has to link this crate:

```
use wasabiswitch_kernel::plugin::{PlatformKind, registered_for_platform, sort};
use wasabiswitch_plugins as _;

let names: Vec<_> = sort(registered_for_platform(PlatformKind::Rows)).unwrap().iter().map(|plugin| plugin.name).collect();
assert!(names.contains(&"live"));
```

| module | what it does |
|---|---|
| [`membership`] | renews this daemon's session, fences expired sessions, holds control roles |
| [`config`] | adopts newer configurations, and applies those that operators submit |
| [`keys`] | authorizes requests by API key, and grants and withdraws keys |
| [`peers`] | exchanges state changes with other daemons |
| [`limits`] | enforces the limits and shares of teams |
| [`pools`] | tracks the instances of each pool, and drains and moves them |
| [`live`] | forwards live requests to upstreams |
| [`jobs`] | accepts, places and tracks jobs |
| [`maintenance`] | runs maintenance waves |
| [`moves`] | moves instances to the pools that need them |
| [`cleanup`] | removes expired idempotency keys and old jobs |
| [`report`] | reports the error-budget burn of service levels |
| [`fleet`] | the job engine on the users' platform |
| [`explain`] | shows the reasons of past decisions |
| [`operator`] | serves health, readiness, metrics and lists to operators |

The decisions are made in `wasabiswitch-policy`; the modules of this crate collect the input of a
decision, call the policy, and apply the result.
*/

pub mod cleanup;
pub mod config;
pub mod explain;
pub mod fleet;
pub mod jobs;
pub mod keys;
pub mod limits;
pub mod live;
pub mod maintenance;
pub mod membership;
pub mod moves;
pub mod operator;
pub mod peers;
pub mod pools;
pub mod report;
mod route;
