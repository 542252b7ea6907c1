//! Commands of the operator: each sends requests to a daemon and prints the response.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use wasabiswitch_kernel::keys::generate;

use crate::arguments::{
    Arguments, Command, ExplainCommand, FLEET_PARTS, FleetAction, FleetJob, FleetShow,
    InstanceAction, JobAction, JobSubmit, KeyAction, ListOnly, ReportAction, ReportBurn,
    WaveAction,
};
use crate::client::{CommandError, DaemonClient};
use crate::output::{print_list, print_object};
use crate::{Exit, config, evacuation};

/// Address of the control listener if `--server` is not given; `config check` then works without a daemon.
const DEFAULT_SERVER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8081);
/// Time between two requests for the state of a job with `--wait`.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a command, prints its error if it fails, and returns the exit code.
pub(crate) async fn run(arguments: Arguments) -> Exit {
    match dispatch(&arguments).await {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("wasabictl: {error}");
            error.exit
        }
    }
}

async fn dispatch(arguments: &Arguments) -> Result<Exit, CommandError> {
    let json = arguments.json;
    let daemon = DaemonClient::new(arguments.server.unwrap_or(DEFAULT_SERVER));
    match &arguments.command {
        Command::Config(command) => {
            let server_given = arguments.server.is_some();
            return config::run(&daemon, server_given, json, &command.action).await;
        }
        Command::Key(command) => run_key(&daemon, json, &command.action).await?,
        Command::Pool(command) => list(&daemon, json, &command.action, "pools").await?,
        Command::Team(command) => list(&daemon, json, &command.action, "teams").await?,
        Command::Daemon(command) => list(&daemon, json, &command.action, "daemons").await?,
        Command::Instance(command) => run_instance(&daemon, json, &command.action).await?,
        Command::Wave(command) => run_wave(&daemon, json, &command.action).await?,
        Command::Fleet(command) => run_fleet(&daemon, json, &command.action).await?,
        Command::Evacuation(command) => evacuation::run(json, &command.action).await?,
        Command::Report(command) => run_report(&daemon, json, &command.action).await?,
        Command::Explain(command) => explain(&daemon, json, command).await?,
        Command::Job(command) => {
            return run_job(&DaemonClient::new(arguments.entry), json, &command.action).await;
        }
    }
    Ok(Exit::Done)
}

async fn list(
    daemon: &DaemonClient,
    json: bool,
    _: &ListOnly,
    what: &str,
) -> Result<(), CommandError> {
    print_list(json, &daemon.get(&format!("/v1/{what}")).await?, what);
    Ok(())
}

async fn run_key(
    daemon: &DaemonClient,
    json: bool,
    action: &KeyAction,
) -> Result<(), CommandError> {
    match action {
        KeyAction::New(new) => {
            let key = generate(&new.id)
                .map_err(|error| CommandError::new(Exit::NotRun, error.to_string()))?;
            print_object(json, &json!({ "key": key.text, "digest": key.digest }));
        }
        KeyAction::Grant(grant) => {
            let field = if grant.operator { "operator" } else { "team" };
            let body = json!({ field: grant.holder });
            print_object(json, &daemon.post("/v1/keys", body).await?);
        }
        KeyAction::Withdraw(withdraw) => {
            let path = format!("/v1/keys/{}", withdraw.id);
            print_object(json, &daemon.delete(&path).await?);
        }
        KeyAction::List(_) => print_list(json, &daemon.get("/v1/keys").await?, "keys"),
    }
    Ok(())
}

async fn run_instance(
    daemon: &DaemonClient,
    json: bool,
    action: &InstanceAction,
) -> Result<(), CommandError> {
    let path = match action {
        InstanceAction::List(_) => {
            print_list(json, &daemon.get("/v1/instances").await?, "instances");
            return Ok(());
        }
        InstanceAction::Drain(drain) => format!("/v1/instances/{}/drain", drain.id),
        InstanceAction::Serve(serve) => format!("/v1/instances/{}/serve", serve.id),
        InstanceAction::Move(target) => {
            format!("/v1/instances/{}/move?pool={}", target.id, target.pool)
        }
    };
    print_object(json, &daemon.post(&path, Value::Null).await?);
    Ok(())
}

async fn run_wave(
    daemon: &DaemonClient,
    json: bool,
    action: &WaveAction,
) -> Result<(), CommandError> {
    let path = match action {
        WaveAction::Status(_) => {
            print_list(json, &daemon.get("/v1/waves").await?, "waves");
            return Ok(());
        }
        WaveAction::Start(start) => format!("/v1/waves?pool={}", start.pool),
        WaveAction::Stop(stop) => format!("/v1/waves/{}/stop", stop.id),
    };
    print_object(json, &daemon.post(&path, Value::Null).await?);
    Ok(())
}

async fn run_fleet(
    daemon: &DaemonClient,
    json: bool,
    action: &FleetAction,
) -> Result<(), CommandError> {
    match action {
        FleetAction::Show(FleetShow { part }) => {
            if !FLEET_PARTS.contains(&&**part) {
                let parts = FLEET_PARTS.join(", ");
                return Err(CommandError::bad_input(format!(
                    "unknown part {part}; expected one of {parts}"
                )));
            }
            print_list(json, &daemon.get("/v1/fleet").await?, part);
        }
        FleetAction::Job(FleetJob { id }) => {
            let job = daemon.get(&format!("/v1/fleet/jobs/{id}")).await?;
            if !json {
                println!("job {id} is {}", job["phase"].as_str().unwrap_or("unknown"));
                print_list(json, &job, "steps");
            }
            print_list(json, &job, "runs");
        }
    }
    Ok(())
}

async fn run_report(
    daemon: &DaemonClient,
    json: bool,
    action: &ReportAction,
) -> Result<(), CommandError> {
    let ReportAction::Burn(ReportBurn { html }) = action;
    if let Some(file) = html {
        let page = daemon.request_text(Method::GET, "/v1/report/burn.html", None).await?;
        return std::fs::write(file, page).map_err(|error| {
            CommandError::new(Exit::NotRun, format!("{}: {error}", file.display()))
        });
    }
    print_list(json, &daemon.get("/v1/report/burn").await?, "lines");
    Ok(())
}

async fn explain(
    daemon: &DaemonClient,
    json: bool,
    command: &ExplainCommand,
) -> Result<(), CommandError> {
    let path = format!("/v1/explain/{}/{}", command.subject, command.id);
    print_list(json, &daemon.get(&path).await?, "decisions");
    Ok(())
}

async fn run_job(
    daemon: &DaemonClient,
    json: bool,
    action: &JobAction,
) -> Result<Exit, CommandError> {
    match action {
        JobAction::Submit(submit) => return submit_job(daemon, json, submit).await,
        JobAction::List(list) => {
            let query = list.state.as_ref().map_or(String::new(), |s| format!("?state={s}"));
            print_list(json, &daemon.get(&format!("/v1/jobs{query}")).await?, "jobs");
        }
        JobAction::Cancel(cancel) => {
            let path = format!("/v1/jobs/{}", cancel.id);
            print_object(json, &daemon.delete(&path).await?);
        }
    }
    Ok(Exit::Done)
}

async fn submit_job(
    daemon: &DaemonClient,
    json: bool,
    submit: &JobSubmit,
) -> Result<Exit, CommandError> {
    let body = json!({
        "queue": submit.queue,
        "run_time_ms": submit.run_time_ms,
        "deadline_ms": submit.deadline_ms,
        "kind": submit.kind,
        "payload": submit.payload,
        "at_most_once": submit.at_most_once,
    });
    let mut job = daemon.post("/v1/jobs", body).await?;
    let path = format!("/v1/jobs/{}", job["id"].as_str().unwrap_or_default());
    while submit.wait && !has_ended(&job) {
        tokio::time::sleep(JOB_POLL_INTERVAL).await;
        job = daemon.get(&path).await?;
    }
    print_object(json, &job);
    Ok(match job["state"].as_str() {
        Some("failed" | "in-doubt") => Exit::MayHaveRun,
        Some("cancelled") if job["attempt"] != 0 => Exit::MayHaveRun,
        Some("cancelled" | "impossible") => Exit::NotRun,
        _ => Exit::Done,
    })
}

fn has_ended(job: &Value) -> bool {
    !matches!(job["state"].as_str(), Some("queued" | "running"))
}
