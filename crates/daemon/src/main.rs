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

/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "WASABISWITCH_SETTINGS";

/// Why the daemon could not run.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("name the settings file with --settings or in {SETTINGS_VARIABLE}")]
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
        Err(failure) => {
            eprintln!("wasabiswitchd: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, Failure> {
    let path = arguments
        .settings
        .clone()
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or(Failure::NoSettings)?;
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

/// Writes the log to standard output without ever waiting for it.
fn start_log(level: &str) -> std::io::Result<()> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config =
        ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("wasabiswitch").build();
    let output = LogOutput::start(std::io::stdout())?;
    WriteLogger::init(level, config, output).map_err(std::io::Error::other)
}

async fn serve(settings: Settings, path: &Path) -> Result<ExitCode, Failure> {
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
    signals.stop_or_reload(path).await;
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

/// Reads the settings again; of them, only the level of the log changes without a restart.
fn reload(path: &Path) {
    match settings::read_file(path) {
        Ok(settings) => {
            let level = settings.log_level.parse().unwrap_or(LevelFilter::Info);
            log::set_max_level(level);
            log::info!("settings read again log_level={level}; other changes need a restart");
        }
        Err(error) => log::error!("settings not read again, the old ones hold: {error}"),
    }
}

/// The signals that stop the daemon, and the one that makes it read its settings again.
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

    /// Waits for a stop, and reads the settings again at each SIGHUP until then.
    async fn stop_or_reload(&mut self, path: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(path),
            }
        }
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
