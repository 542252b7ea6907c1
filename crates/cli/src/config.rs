//! Configuration commands: compare and apply a folder, and show the configuration in force; [`crate::config_check`]
//! checks one.

use std::path::Path;

use serde_json::{Value, json};
use wasabiswitch_kernel::config_document::{
    ConfigDocument, Entries, preserve_key_changes, read_folder,
};
use wasabiswitch_policy::merge::{Change, diff};

use crate::arguments::ConfigAction;
use crate::client::{CommandError, DaemonClient};
use crate::output::{print_list, print_object};
use crate::{Exit, config_check};

/// Runs an action; without `--server`, `check` does not use the daemon.
pub(crate) async fn run(
    daemon: &DaemonClient,
    server_given: bool,
    json: bool,
    action: &ConfigAction,
) -> Result<Exit, CommandError> {
    match action {
        ConfigAction::Check(options) => {
            return config_check::run(server_given.then_some(daemon), json, options).await;
        }
        ConfigAction::Show(_) => {
            print_list(json, &daemon.get("/v1/config").await?, "entries");
        }
        ConfigAction::Diff(options) => {
            let (generation, changes) = pending_changes(daemon, &options.folder).await?;
            print_changes(json, generation, &changes);
        }
        ConfigAction::Apply(options) => {
            let (generation, changes) = pending_changes(daemon, &options.folder).await?;
            print_changes(json, generation, &changes);
            if changes.is_empty() {
                return Ok(Exit::Done);
            }
            let body = json!({ "base": generation, "changes": changes_to_json(&changes) });
            print_object(json, &daemon.post("/v1/config", body).await?);
        }
    }
    Ok(Exit::Done)
}

fn read_document(folder: &Path) -> Result<ConfigDocument, CommandError> {
    read_folder(folder).map_err(|error| CommandError::bad_input(error.to_string()))
}

/// Returns the generation in force and the changes that applying the folder would make to it.
async fn pending_changes(
    daemon: &DaemonClient,
    folder: &Path,
) -> Result<(u64, Vec<Change<String>>), CommandError> {
    let mut document = read_document(folder)?;
    let current = daemon.get("/v1/config").await?;
    let before = parse_entries(&current);
    preserve_key_changes(&before, &mut document.entries);
    let generation = current["generation"].as_u64().unwrap_or(0);
    Ok((generation, diff(&before, &document.entries)))
}

/// Returns the entries of a response of `GET /v1/config`.
pub(crate) fn parse_entries(current: &Value) -> Entries {
    let entries = current["entries"].as_array().into_iter().flatten();
    entries
        .map(|entry| {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            ((text("section"), text("name")), entry["value"].to_string())
        })
        .collect()
}

pub(crate) fn changes_to_json(changes: &[Change<String>]) -> Vec<Value> {
    let changes = changes.iter().map(|((section, name), text)| {
        let value: Option<Value> = text.as_ref().and_then(|text| serde_json::from_str(text).ok());
        json!({ "section": section, "name": name, "value": value })
    });
    changes.collect()
}

pub(crate) fn print_changes(json: bool, generation: u64, changes: &[Change<String>]) {
    if json {
        println!("{}", json!({ "generation": generation, "changes": changes_to_json(changes) }));
        return;
    }
    println!("{} changes to generation {generation}", changes.len());
    for ((section, name), text) in changes {
        match text {
            Some(text) => println!("+ {section}/{name} {text}"),
            None => println!("- {section}/{name}"),
        }
    }
}
