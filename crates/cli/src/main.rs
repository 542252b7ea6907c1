//! `wasabictl`: what operators do with a fleet of `wasabiswitchd`.
//!
//! ```text
//! wasabictl config check examples/quickstart/config
//! wasabictl --server 127.0.0.1:8081 pool list
//! ```
//!
//! The key is taken from the environment variable `WASABISWITCH_KEY`. The exit code is 0 if it was done,
//! 1 if it was refused and has not run, 2 for wrong usage or bad input, and 3 if it may have run.

mod arguments;
mod client;
mod config;
mod output;
mod run;

use std::process::ExitCode;

use argh::FromArgs as _;

use crate::arguments::Arguments;

/// What became of a command, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It was done.
    Done = 0,
    /// It was refused and has not run.
    NotRun = 1,
    /// The usage or the input was wrong.
    BadInput = 2,
    /// It may have run.
    MayHaveRun = 3,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (command, rest) = words.split_first().map_or(("wasabictl", &[][..]), |(c, r)| (*c, r));
    let arguments = match Arguments::from_args(&[command], rest) {
        Ok(arguments) => arguments,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("{}", early.output);
            return ExitCode::from(Exit::BadInput as u8);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let exit = match runtime {
        Ok(runtime) => runtime.block_on(run::run(arguments)),
        Err(error) => {
            eprintln!("wasabictl: {error}");
            Exit::NotRun
        }
    };
    ExitCode::from(exit as u8)
}
