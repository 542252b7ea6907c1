//! Measurements on simulated time, compared with naive policies and computed bounds.
//!
//! ```text
//! cargo run --release -p wasabiswitch-measure -- shares
//! cargo run --release -p wasabiswitch-measure -- config
//! cargo run --release -p wasabiswitch-measure -- fleet
//! cargo run --release -p wasabiswitch-measure -- capacity
//! ```
//!
//! Each command prints Markdown tables, whose rows docs/MEASUREMENTS.md and docs/CAPACITY.md cite. The crate
//! `wasabiswitch-bench` measures the live path on real time; it is a separate crate because support for paused time
//! makes tokio's clock slower.

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
    measurement: Measurement,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Measurement {
    Shares(Shares),
    Config(Config),
    Fleet(Fleet),
    Capacity(Capacity),
}

/// Measure how far teams are below their fair shares in a saturated fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "shares")]
struct Shares {}

/// Measure the time until a configuration change is in force, and the store operations of idle daemons.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct Config {}

/// Compare wave duration, moves, buffer and missed deadlines with naive policies and computed bounds, and measure
/// planning time.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct Fleet {}

/// Measure how state, messages, processor time and memory grow with the size of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {}

fn main() {
    let arguments: Arguments = argh::from_env();
    match arguments.measurement {
        Measurement::Shares(_) => shares::run(),
        Measurement::Config(_) => config::run(),
        Measurement::Fleet(_) => fleet::run(),
        Measurement::Capacity(_) => capacity::run(),
    }
}
