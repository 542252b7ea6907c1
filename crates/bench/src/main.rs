//! Benchmark of the live path, on real time and loopback sockets.
//!
//! ```text
//! cargo run --release -p wasabiswitch-bench
//! ```
//!
//! Prints a Markdown table, which docs/MEASUREMENTS.md cites: throughput and latency of the daemon relative to a bare
//! pass-through on the same library, in alternating rounds of one run.

mod live;
mod passthrough;
mod setup;

use argh::FromArgs;

/// Measures throughput and latency of the live path, relative to a bare pass-through.
#[derive(FromArgs)]
struct Arguments {
    /// number of concurrent connections (default 64)
    #[argh(option, default = "64")]
    connections: usize,
    /// number of rounds for the daemon and for the pass-through (default 5)
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
