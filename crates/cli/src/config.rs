//! Checks, compares and applies the configuration folder.

use std::path::Path;

use serde_json::{Value, json};
use wasabiswitch_kernel::config_document::{
    ConfigDocument, Entries, preserve_key_changes, read_folder,
};
use wasabiswitch_policy::merge::{Change, diff};

use crate::Exit;
use crate::arguments::ConfigAction;
use crate::client::{Daemon, Failure};
use crate::output::{print_list, print_object};

pub(crate) async fn run(
    daemon: &Daemon,
    json: bool,
    action: &ConfigAction,
) -> Result<Exit, Failure> {
    match action {
        ConfigAction::Check(check) => {
            let document = read(&check.folder)?;
            print_object(json, &json!({ "errors": 0, "entries": document.entries.len() }));
        }
        ConfigAction::Show(_) => {
            print_list(json, &daemon.get("/v1/config").await?, "entries");
        }
        ConfigAction::Diff(against) => {
            let (generation, changes) = changes_of(daemon, &against.folder).await?;
            print_changes(json, generation, &changes);
        }
        ConfigAction::Apply(apply) => {
            let (generation, changes) = changes_of(daemon, &apply.folder).await?;
            print_changes(json, generation, &changes);
            if changes.is_empty() {
                return Ok(Exit::Done);
            }
            let body = json!({ "base": generation, "changes": changes_json(&changes) });
            print_object(json, &daemon.post("/v1/config", body).await?);
        }
    }
    Ok(Exit::Done)
}

fn read(folder: &Path) -> Result<ConfigDocument, Failure> {
    read_folder(folder).map_err(|error| Failure::bad_input(error.to_string()))
}

/// Returns the generation in force and what the folder would change in it.
async fn changes_of(daemon: &Daemon, folder: &Path) -> Result<(u64, Vec<Change<String>>), Failure> {
    let mut document = read(folder)?;
    let shown = daemon.get("/v1/config").await?;
    let before = entries_of(&shown);
    preserve_key_changes(&before, &mut document.entries);
    let generation = shown["generation"].as_u64().unwrap_or(0);
    Ok((generation, diff(&before, &document.entries)))
}

fn entries_of(shown: &Value) -> Entries {
    let entries = shown["entries"].as_array().into_iter().flatten();
    entries
        .map(|entry| {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            ((text("section"), text("name")), entry["value"].to_string())
        })
        .collect()
}

fn changes_json(changes: &[Change<String>]) -> Vec<Value> {
    let changes = changes.iter().map(|((section, name), text)| {
        let value: Option<Value> = text.as_ref().and_then(|text| serde_json::from_str(text).ok());
        json!({ "section": section, "name": name, "value": value })
    });
    changes.collect()
}

fn print_changes(json: bool, generation: u64, changes: &[Change<String>]) {
    if json {
        println!("{}", json!({ "generation": generation, "changes": changes_json(changes) }));
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
