/*!
The kernel of wasabiswitch: what every capability of the daemon shares.

# Example: a plug-in of one's own

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

# What the kernel gives

- [`plugin`]: plug-ins, their registration and their order.
- [`tables`] and [`lock`]: the shared tables, and the order of their locks.
- [`log_output`]: lines on standard output that hold nobody up.
- [`tasks`]: tasks whose parents join them.
- [`clock`], [`network`] and [`platform`]: the outside world, as structs of functions.
- [`store`]: conditional writes whose lost answers are resolved.
- [`http`]: the two listeners and the problems that callers see.
- [`document`], [`settings`] and [`config_document`]: files whose errors have positions.

The kernel knows no plug-in by name and decides nothing: decisions are in `wasabiswitch-policy`. The
design is in docs/DESIGN.md, and docs/DEVELOPERS.md tells where things go.
*/

pub mod clock;
pub mod config_document;
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
