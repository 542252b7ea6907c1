/*!
The kernel of wasabiswitch: the parts that all plug-ins of the daemon share.

# Example: registering a plug-in

```
use std::sync::Arc;

use futures_util::FutureExt as _;
use wasabiswitch_kernel::http::control::{Access, ControlReply, ControlRoute};
use wasabiswitch_kernel::plugin::{Plugin, Registration, registered, sort};

fn plugin() -> Plugin {
    let hello = ControlRoute {
        method: http::Method::GET,
        path: "/hello",
        access: Access::Open,
        handler: Arc::new(|_, _| async { Ok(ControlReply::text("hello\n")) }.boxed()),
    };
    Plugin { control_routes: vec![hello], ..Plugin::new("hello", &[]) }
}

inventory::submit! { Registration(plugin) }

let sorted = sort(registered()).unwrap();
assert_eq!(sorted[0].name, "hello");
```

# Modules

- [`plugin`]: plug-ins, their registration and their start order.
- [`tables`] and [`lock`]: the shared tables and the order of their locks.
- [`log_output`]: non-blocking log output with rate limits.
- [`tasks`]: groups of tasks that are stopped and joined together.
- [`clock`], [`network`] and [`platform`]: time, connections and the platform, as structs of functions.
- [`store`]: conditional writes, with lost responses resolved by reading back.
- [`http`]: the two listeners, the HTTP client and problem responses.
- [`document`], [`settings`], [`config_document`] and [`config_findings`]: settings and configuration files, whose
  errors and warnings have positions.

The kernel depends on no plug-in and makes no decisions: the decisions are in `wasabiswitch-policy`.
docs/DESIGN.md describes the design, and docs/DEVELOPERS.md the place of new code.
*/

pub mod clock;
pub mod config_document;
pub mod config_findings;
pub mod document;
pub mod error;
pub mod http;
pub mod kernel;
pub mod keys;
pub mod lock;
pub mod log_output;
pub mod metric;
pub mod network;
pub mod platform;
pub mod plugin;
pub mod settings;
pub mod store;
pub mod tables;
pub mod tasks;

pub use error::{Error, ErrorKind};
pub use kernel::{BoundAddresses, Kernel, WakeSignals};
