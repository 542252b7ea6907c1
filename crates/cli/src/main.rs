//! `wasabictl`: command-line client with which operators manage a fleet of `wasabiswitchd` daemons.
//!
//! ```text
//! wasabictl config check examples/quickstart/config
//! wasabictl --server 127.0.0.1:8081 pool list
//! ```
//!
//! The API key is read from the environment variable `WASABISWITCH_KEY`. The exit code is 0 if the command succeeded, 1
//! if it failed and has not run, 2 for wrong usage or invalid input, and 3 if it failed and may have run. `config check`
//! also returns 1 if it has only warnings.

mod arguments;
mod client;
mod config;
mod config_check;
mod evacuation;
mod output;
mod run;

use std::process::ExitCode;

use argh::FromArgs as _;

use crate::arguments::Arguments;

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done,
    /// A check has found warnings, but no errors.
    Warnings,
    /// The command, or the job that it waited for, failed and has not run.
    NotRun,
    /// The usage is wrong, or the input is invalid.
    BadInput,
    /// The command, or the job that it waited for, failed and may have run.
    MayHaveRun,
}

impl Exit {
    /// Returns the exit code of the process.
    fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Warnings | Exit::NotRun => 1,
            Exit::BadInput => 2,
            Exit::MayHaveRun => 3,
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (command, rest) =
        args.split_first().map_or(("wasabictl", &[][..]), |(command, rest)| (*command, rest));
    let arguments = match Arguments::from_args(&[command], rest) {
        Ok(arguments) => arguments,
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            eprintln!("{}", early_exit.output);
            return ExitCode::from(Exit::BadInput.code());
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
    ExitCode::from(exit.code())
}
