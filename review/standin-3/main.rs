//! Cases 11 to 15: `world CASE RECORD` plays a case; without trouble where the environment has `TROUBLE=0`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod workers;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("world CASE RECORD");
        return ExitCode::from(2);
    };
    let is_calm = std::env::var("TROUBLE").is_ok_and(|trouble| trouble == "0");
    // A case whose record or stand-ins cannot be set up could not run.
    let played = std::panic::catch_unwind(|| cases::play(&case, &path, !is_calm));
    ExitCode::from(played.unwrap_or(2))
}
