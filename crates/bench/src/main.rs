//! Measures the system against naive versions and computed bounds, in one run each.
//!
//! ```text
//! cargo run --release -p wasabiswitch-bench -- live
//! cargo run --release -p wasabiswitch-bench -- shares
//! cargo run --release -p wasabiswitch-bench -- config
//! cargo run --release -p wasabiswitch-bench -- fleet
//! cargo run --release -p wasabiswitch-bench -- capacity
//! ```
//!
//! Each prints a table in Markdown. docs/MEASUREMENTS.md and docs/CAPACITY.md cite the rows.

mod live;
mod passthrough;
mod world;

use argh::FromArgs;

/// Measures the system.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Live(Live),
}

/// Throughput and latency of the live path over a bare pass-through.
#[derive(FromArgs)]
#[argh(subcommand, name = "live")]
struct Live {
    /// connections of the load (default 64)
    #[argh(option, default = "64")]
    connections: usize,
    /// rounds of each kind (default 5)
    #[argh(option, default = "5")]
    rounds: usize,
    /// length of a round in milliseconds (default 2000)
    #[argh(option, default = "2000")]
    round_ms: u64,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    match arguments.what {
        What::Live(live) => live::run(live.connections, live.rounds, live.round_ms),
    }
}
