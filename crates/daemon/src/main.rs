//! `wasabiswitchd`: the daemon that stands between callers and upstreams.
//!
//! ```text
//! wasabiswitchd --settings examples/quickstart/daemon.json
//! wasabiswitchd --settings examples/quickstart/daemon.json --check
//! ```
//!
//! SIGTERM and SIGINT stop it gracefully: it turns unready, finishes the requests in flight, gives back
//! what it holds and ends its session. A second signal ends it at once.

mod embedded;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
use tokio::signal::unix::{Signal, SignalKind, signal};
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::http::client::HttpClient;
use wasabiswitch_kernel::network::Network;
use wasabiswitch_kernel::platform::{Platform, http};
use wasabiswitch_kernel::plugin::registered;
use wasabiswitch_kernel::settings::{self, PlatformSettings, Settings};
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_plugins as _;

/// Serves callers' requests and jobs, and controls the fleet.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in JSON with comments
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and the first configuration, and exit
    #[argh(switch)]
    check: bool,
}

/// Why the daemon could not run.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Settings(#[from] settings::SettingsError),
    #[error("{0}")]
    FirstConfig(#[from] wasabiswitch_kernel::config_document::FolderError),
    #[error(transparent)]
    Kernel(#[from] wasabiswitch_kernel::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("wasabiswitchd: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, Failure> {
    let settings = settings::read_file(&arguments.settings)?;
    if arguments.check {
        if let Some(folder) = &settings.first_config {
            wasabiswitch_kernel::config_document::read_folder(folder)?;
        }
        println!("{}: no errors", arguments.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    start_log(&settings.log_level);
    metric::install();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all();
    if settings.worker_threads > 0 {
        builder.worker_threads(settings.worker_threads);
    }
    builder.build()?.block_on(serve(settings))
}

fn start_log(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config =
        ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("wasabiswitch").build();
    let _ = TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never);
}

async fn serve(settings: Settings) -> Result<ExitCode, Failure> {
    let mut signals = Signals::new()?;
    let standins = TaskTree::new();
    let platform = connect(&settings, &standins).await?;
    let stop_timeout = settings.stop_timeout;
    let kernel = Kernel::new(settings, platform, Network::tcp(), Clock::tokio(), registered())?;
    kernel.start().await?;
    signals.next().await;
    let finished = tokio::select! {
        finished = kernel.stop() => finished,
        () = signals.next() => {
            log::warn!("a second signal ends the daemon at once");
            false
        }
    };
    standins.join(stop_timeout).await;
    Ok(if finished { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn connect(settings: &Settings, standins: &TaskTree) -> Result<Platform, Failure> {
    let address = match settings.platform {
        PlatformSettings::Address(address) => address,
        PlatformSettings::Embedded => embedded::start(settings, standins).await?,
    };
    Ok(http::connect(address, HttpClient::new(Network::tcp())))
}

/// The signals that stop the daemon.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
