//! Measures the live path on real time and loopback sockets.
//!
//! ```text
//! cargo run --release -p wasabiswitch-bench
//! ```
//!
//! It prints a table in Markdown, which docs/MEASUREMENTS.md cites: throughput and latency of the
//! daemon over a bare pass-through of the same library, measured in turn within one run.

mod live;
mod passthrough;
mod world;

use argh::FromArgs;

/// Measures throughput and latency of the live path over a bare pass-through.
#[derive(FromArgs)]
struct Arguments {
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
    live::run(arguments.connections, arguments.rounds, arguments.round_ms);
}
