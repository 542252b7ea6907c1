/*!
The capabilities of the daemon, one module each.

Every module registers one plug-in, and the kernel starts them in the order that they declare. The
binary only has to name this crate:

```
use wasabiswitch_kernel::plugin::{PlatformKind, registered_for_platform, sort};
use wasabiswitch_plugins as _;

let names: Vec<_> = sort(registered_for_platform(PlatformKind::Rows)).unwrap().iter().map(|plugin| plugin.name).collect();
assert!(names.contains(&"live"));
```

| module | what it does |
|---|---|
| [`membership`] | keeps this daemon's session, watches and fences others, holds control roles |
| [`config`] | adopts configurations, forward only, and applies new ones |
| [`keys`] | knows who may do what; grants and withdraws keys |
| [`peers`] | exchanges small deltas with other daemons |
| [`limits`] | keeps teams within their limits and shares |
| [`pools`] | knows the instances and their pools, drains and moves them |
| [`live`] | serves live requests |
| [`jobs`] | takes, places and follows jobs |
| [`maintenance`] | runs maintenance waves |
| [`moves`] | moves instances to the pools that need them |
| [`cleanup`] | drops expired idempotency keys and old jobs |
| [`report`] | reports service-level burn |
| [`fleet`] | the job engine on the users' platform |
| [`explain`] | answers why something was decided |
| [`operator`] | health, readiness, metrics and lists for operators |

The decisions themselves are in `wasabiswitch-policy`; the modules here gather what a decision needs,
ask for it, and carry it out.
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
