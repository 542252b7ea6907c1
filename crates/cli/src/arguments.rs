//! Subcommands and options of the command line; the doc comments are the text of `--help`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Operates a fleet of wasabiswitch daemons.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// address of a daemon's control listener (default 127.0.0.1:8081)
    #[argh(option)]
    pub(crate) server: Option<SocketAddr>,
    /// address of a daemon's entry listener, for job commands (default 127.0.0.1:8080)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    pub(crate) entry: SocketAddr,
    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Config(ConfigCommand),
    Key(KeyCommand),
    Pool(PoolCommand),
    Instance(InstanceCommand),
    Wave(WaveCommand),
    Job(JobCommand),
    Team(TeamCommand),
    Daemon(DaemonCommand),
    Fleet(FleetCommand),
    Evacuation(EvacuationCommand),
    Report(ReportCommand),
    Explain(ExplainCommand),
}

/// Check, compare, apply and show the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigCommand {
    #[argh(subcommand)]
    pub(crate) action: ConfigAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigAction {
    Check(ConfigCheck),
    Diff(ConfigDiff),
    Apply(ConfigApply),
    Show(ConfigShow),
}

/// Print all errors of a configuration folder, and warnings about entries without effect; with --server, also the
/// changes that applying it would make. Exit codes: 0 no findings, 1 warnings only, 2 errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct ConfigCheck {
    /// configuration folder
    #[argh(positional)]
    pub(crate) folder: Option<PathBuf>,
    /// check a file with the configuration of the users' platform (value of the row op/config) instead of a folder
    #[argh(option)]
    pub(crate) platform: Option<PathBuf>,
}

/// Show the changes that applying a configuration folder would make.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct ConfigDiff {
    /// configuration folder
    #[argh(positional)]
    pub(crate) folder: PathBuf,
}

/// Apply a configuration folder.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ConfigApply {
    /// configuration folder
    #[argh(positional)]
    pub(crate) folder: PathBuf,
}

/// Show the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ConfigShow {}

/// Create, grant, withdraw and list API keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct KeyCommand {
    #[argh(subcommand)]
    pub(crate) action: KeyAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyAction {
    New(KeyNew),
    Grant(KeyGrant),
    Withdraw(KeyWithdraw),
    List(KeyList),
}

/// Generate a key and its digest for a configuration file, without a daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "new")]
pub(crate) struct KeyNew {
    /// id of the key
    #[argh(positional)]
    pub(crate) id: String,
}

/// Grant a new key to a team and print it; it cannot be shown again.
#[derive(FromArgs)]
#[argh(subcommand, name = "grant")]
pub(crate) struct KeyGrant {
    /// id of the team, or name of the operator with --operator
    #[argh(positional)]
    pub(crate) holder: String,
    /// grant the key to an operator
    #[argh(switch)]
    pub(crate) operator: bool,
}

/// Withdraw a key.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct KeyWithdraw {
    /// id of the key
    #[argh(positional)]
    pub(crate) id: String,
}

/// List the keys, without their secrets.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct KeyList {}

/// List pools.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct PoolCommand {
    #[argh(subcommand)]
    pub(crate) action: ListOnly,
}

/// List teams.
#[derive(FromArgs)]
#[argh(subcommand, name = "team")]
pub(crate) struct TeamCommand {
    #[argh(subcommand)]
    pub(crate) action: ListOnly,
}

/// List daemons.
#[derive(FromArgs)]
#[argh(subcommand, name = "daemon")]
pub(crate) struct DaemonCommand {
    #[argh(subcommand)]
    pub(crate) action: ListOnly,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ListOnly {
    List(List),
}

/// Print a table with one row per entry.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// List, drain, restore and move instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct InstanceCommand {
    #[argh(subcommand)]
    pub(crate) action: InstanceAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum InstanceAction {
    List(List),
    Drain(InstanceDrain),
    Serve(InstanceServe),
    Move(InstanceMove),
}

/// Take an instance out of service.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct InstanceDrain {
    /// id of the instance
    #[argh(positional)]
    pub(crate) id: String,
}

/// Bring a drained instance back into service.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct InstanceServe {
    /// id of the instance
    #[argh(positional)]
    pub(crate) id: String,
}

/// Move an instance to another pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct InstanceMove {
    /// id of the instance
    #[argh(positional)]
    pub(crate) id: String,
    /// id of the pool
    #[argh(positional)]
    pub(crate) pool: String,
}

/// Start, show and stop maintenance waves.
#[derive(FromArgs)]
#[argh(subcommand, name = "wave")]
pub(crate) struct WaveCommand {
    #[argh(subcommand)]
    pub(crate) action: WaveAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum WaveAction {
    Start(WaveStart),
    Status(WaveStatus),
    Stop(WaveStop),
}

/// Start a wave that maintains all instances of a pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct WaveStart {
    /// id of the pool
    #[argh(positional)]
    pub(crate) pool: String,
}

/// Show all waves.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct WaveStatus {}

/// Stop a wave; instances under maintenance return to service.
#[derive(FromArgs)]
#[argh(subcommand, name = "stop")]
pub(crate) struct WaveStop {
    /// id of the wave
    #[argh(positional)]
    pub(crate) id: String,
}

/// Submit, list and cancel jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct JobCommand {
    #[argh(subcommand)]
    pub(crate) action: JobAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum JobAction {
    Submit(JobSubmit),
    List(JobList),
    Cancel(JobCancel),
}

/// Submit a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct JobSubmit {
    /// id of the queue
    #[argh(positional)]
    pub(crate) queue: String,
    /// expected run time, in milliseconds
    #[argh(option)]
    pub(crate) run_time_ms: u64,
    /// time after submission by which the job should end, in milliseconds (default: no deadline)
    #[argh(option, default = "0")]
    pub(crate) deadline_ms: u64,
    /// kind of job; run times are estimated from earlier jobs of the kind
    #[argh(option, default = "String::new()")]
    pub(crate) kind: String,
    /// data that is passed to the worker
    #[argh(option, default = "String::new()")]
    pub(crate) payload: String,
    /// run the job at most once
    #[argh(switch)]
    pub(crate) at_most_once: bool,
    /// wait until the job has ended
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// List the team's jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct JobList {
    /// list only jobs in this state
    #[argh(option)]
    pub(crate) state: Option<String>,
}

/// Cancel a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct JobCancel {
    /// id of the job
    #[argh(positional)]
    pub(crate) id: String,
}

/// Show the fleet on the users' platform; any daemon can answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub(crate) struct FleetCommand {
    #[argh(subcommand)]
    pub(crate) action: FleetAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum FleetAction {
    Show(FleetShow),
    Job(FleetJob),
}

/// Show the owner of the fleet, or another part of the owner's state.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct FleetShow {
    /// part: owner, pools, moves, waves, evacuations, teams or workers (default owner)
    #[argh(positional, default = "FLEET_PARTS[0].to_owned()")]
    pub(crate) part: String,
}

/// Parts of the state that `fleet show` accepts; the first is the default.
pub(crate) const FLEET_PARTS: [&str; 7] =
    ["owner", "pools", "moves", "waves", "evacuations", "teams", "workers"];

/// Show the steps of a job and where its tasks run.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct FleetJob {
    /// id of the job
    #[argh(positional)]
    pub(crate) id: String,
}

/// Evacuate data centres of the users' platform; writes to the platform's store, without a daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuation")]
pub(crate) struct EvacuationCommand {
    #[argh(subcommand)]
    pub(crate) action: EvacuationAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum EvacuationAction {
    Set(EvacuationSet),
    Lift(EvacuationLift),
    List(EvacuationList),
}

/// Evacuate a data centre: no task is started there until the evacuation is lifted.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub(crate) struct EvacuationSet {
    /// name of the data centre
    #[argh(positional)]
    pub(crate) data_centre: String,
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// accept a name that no listed worker has as its data centre
    #[argh(switch)]
    pub(crate) unlisted: bool,
}

/// Lift the evacuation of a data centre.
#[derive(FromArgs)]
#[argh(subcommand, name = "lift")]
pub(crate) struct EvacuationLift {
    /// name of the data centre
    #[argh(positional)]
    pub(crate) data_centre: String,
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
}

/// List the evacuated data centres.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct EvacuationList {
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
}

/// Print reports.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct ReportCommand {
    #[argh(subcommand)]
    pub(crate) action: ReportAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ReportAction {
    Burn(ReportBurn),
}

/// Print the service-level burn that one daemon has measured.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub(crate) struct ReportBurn {
    /// write an HTML page with plots to this file instead
    #[argh(option)]
    pub(crate) html: Option<PathBuf>,
}

/// Show the recorded decisions about a subject, with their reasons.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    /// kind of subject: instance, job, team, wave, request or daemon
    #[argh(positional)]
    pub(crate) subject: String,
    /// id of the subject
    #[argh(positional)]
    pub(crate) id: String,
}
