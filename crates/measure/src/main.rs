//! Measures the system on simulated time, against naive policies and computed bounds.
//!
//! ```text
//! cargo run --release -p wasabiswitch-measure -- shares
//! cargo run --release -p wasabiswitch-measure -- config
//! cargo run --release -p wasabiswitch-measure -- fleet
//! cargo run --release -p wasabiswitch-measure -- capacity
//! ```
//!
//! Each prints tables in Markdown. docs/MEASUREMENTS.md and docs/CAPACITY.md cite the rows. The live
//! path is measured on real time by the crate `wasabiswitch-bench`; it is a crate of its own because
//! paused time makes tokio's clock slower.

mod capacity;
mod config;
mod fleet;
mod shares;

use argh::FromArgs;
use wasabiswitch_plugins as _;

/// Measures the system on simulated time.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Shares(Shares),
    Config(Config),
    Fleet(Fleet),
    Capacity(Capacity),
}

/// Closeness to share in a full fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "shares")]
struct Shares {}

/// Time from apply to in force, and idle calls of the store.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct Config {}

/// Buffer, roll-out time, moves and planning time against naive policies and bounds.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct Fleet {}

/// State, messages, processor time and memory as slopes.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {}

fn main() {
    let arguments: Arguments = argh::from_env();
    match arguments.what {
        What::Shares(_) => shares::run(),
        What::Config(_) => config::run(),
        What::Fleet(_) => fleet::run(),
        What::Capacity(_) => capacity::run(),
    }
}
