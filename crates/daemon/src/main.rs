//! `wasabiswitchd`: the daemon that stands between callers and upstreams.
//!
//! ```text
//! wasabiswitchd --settings examples/quickstart/daemon.json
//! wasabiswitchd --settings examples/quickstart/daemon.json --check
//! ```
//!
//! SIGTERM and SIGINT start a graceful shutdown: the daemon reports that it is not ready, finishes the requests in
//! flight, returns its grants, releases the fleet if it owns it and ends its session. A second signal ends the daemon
//! at once. SIGHUP reloads the settings.

mod embedded;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use tokio::signal::unix::{Signal, SignalKind, signal};
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::http::client::HttpClient;
use wasabiswitch_kernel::log_output::LogOutput;
use wasabiswitch_kernel::network::Network;
use wasabiswitch_kernel::platform::{Platform, http};
use wasabiswitch_kernel::plugin::{PlatformKind, registered_for_platform};
use wasabiswitch_kernel::settings::{self, PlatformSettings, Settings};
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_platform as _;
use wasabiswitch_plugins as _;

/// Serves callers' requests and jobs, and controls the fleet.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in JSON with comments; without it, the file that WASABISWITCH_SETTINGS names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and the first configuration, and exit
    #[argh(switch)]
    check: bool,
}

/// Environment variable with the path of the settings file.
const SETTINGS_ENV_VAR: &str = "WASABISWITCH_SETTINGS";

/// An error that ends the daemon or keeps it from starting.
#[derive(Debug, thiserror::Error)]
enum DaemonError {
    #[error("name the settings file with --settings or in {SETTINGS_ENV_VAR}")]
    NoSettings,
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
        Err(error) => {
            eprintln!("wasabiswitchd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, DaemonError> {
    let path = arguments
        .settings
        .clone()
        .or_else(|| std::env::var_os(SETTINGS_ENV_VAR).map(PathBuf::from))
        .ok_or(DaemonError::NoSettings)?;
    let settings = settings::read_file(&path)?;
    if arguments.check {
        if let Some(folder) = &settings.first_config {
            wasabiswitch_kernel::config_document::read_folder(folder)?;
        }
        println!("{}: no errors", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    start_log(&settings.log_level)?;
    metric::install();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all();
    if settings.worker_threads > 0 {
        builder.worker_threads(settings.worker_threads);
    }
    builder.build()?.block_on(serve(settings, &path))
}

/// Starts the log, which is written to standard output without blocking the threads that log.
fn start_log(level: &str) -> std::io::Result<()> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config =
        ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("wasabiswitch").build();
    let output = LogOutput::start(std::io::stdout())?;
    WriteLogger::init(level, config, output).map_err(std::io::Error::other)
}

async fn serve(settings: Settings, path: &Path) -> Result<ExitCode, DaemonError> {
    let mut signals = Signals::new()?;
    let standins = TaskTree::new();
    let platform = connect(&settings, &standins).await?;
    let stop_timeout = settings.stop_timeout;
    let platform_kind = match settings.platform {
        PlatformSettings::Fleet(_) => PlatformKind::Fleet,
        PlatformSettings::Embedded | PlatformSettings::Address(_) => PlatformKind::Rows,
    };
    let plugins = registered_for_platform(platform_kind);
    let kernel = Kernel::new(settings, platform, Network::tcp(), Clock::tokio(), plugins)?;
    kernel.start().await?;
    signals.wait_for_stop(path).await;
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

async fn connect(settings: &Settings, standins: &TaskTree) -> Result<Platform, DaemonError> {
    let client = HttpClient::new(Network::tcp());
    let address = match &settings.platform {
        PlatformSettings::Fleet(fleet) => {
            let port =
                wasabiswitch_platform::connect(fleet.store, fleet.instances, fleet.advice, client);
            return Ok(Platform::from_fleet(port));
        }
        PlatformSettings::Address(address) => *address,
        PlatformSettings::Embedded => embedded::start(settings, standins).await?,
    };
    Ok(http::connect(address, client))
}

/// Reloads the settings, of which only the log level is applied without a restart.
fn reload(path: &Path) {
    match settings::read_file(path) {
        Ok(settings) => {
            let level = settings.log_level.parse().unwrap_or(LevelFilter::Info);
            log::set_max_level(level);
            log::info!("settings reloaded log_level={level}; other changes need a restart");
        }
        Err(error) => log::error!("settings not reloaded, keeping the old ones: {error}"),
    }
}

/// The signals that the daemon handles: SIGTERM and SIGINT stop it, and SIGHUP reloads the settings.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, and reloads the settings at each SIGHUP until then.
    async fn wait_for_stop(&mut self, path: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(path),
            }
        }
    }

    /// Waits for the next SIGTERM or SIGINT.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
