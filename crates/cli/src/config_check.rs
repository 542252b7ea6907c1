//! `config check`: the findings of a configuration folder or of a file of the users' platform.
//!
//! Findings are printed to standard error and the summary to standard output; with `--json`, both are one object on
//! standard output. docs/operators/configuration.md lists the findings.

use std::path::Path;

use serde_json::{Value, json};
use wasabiswitch_kernel::config_document::Entries;
use wasabiswitch_kernel::config_findings::read_folder_for_check;
use wasabiswitch_kernel::document::LocatedFinding;
use wasabiswitch_policy::config_check::Severity;
use wasabiswitch_policy::merge::{Change, diff};

use crate::Exit;
use crate::arguments::ConfigCheck;
use crate::client::{CommandError, DaemonClient};
use crate::config::{changes_to_json, parse_entries, print_changes};
use crate::output::print_object;

/// Result of a check.
struct Outcome {
    findings: Vec<LocatedFinding>,
    /// Number of entries of the folder; a file of the platform has none.
    entries: Option<usize>,
    /// Generation in force and the changes to it, if a daemon was asked.
    pending: Option<(u64, Vec<Change<String>>)>,
}

/// Checks a folder, or a file of the platform; `daemon` is `None` without `--server`.
pub(crate) async fn run(
    daemon: Option<&DaemonClient>,
    json: bool,
    options: &ConfigCheck,
) -> Result<Exit, CommandError> {
    let (outcome, failure) = match (&options.folder, &options.platform) {
        (Some(folder), None) => check_folder(daemon, folder).await?,
        (None, Some(_)) if daemon.is_some() => {
            return Err(CommandError::bad_input(
                "--platform works without a daemon, so --server cannot be given with it",
            ));
        }
        (None, Some(file)) => (check_platform_file(file)?, None),
        _ => {
            return Err(CommandError::bad_input(
                "expected either a configuration folder or --platform FILE",
            ));
        }
    };
    print(json, &outcome);
    match (exit_of(&outcome.findings), failure) {
        (Exit::BadInput, Some(failure)) => {
            eprintln!("wasabictl: {failure}");
            Ok(Exit::BadInput)
        }
        (_, Some(failure)) => Err(failure),
        (exit, None) => Ok(exit),
    }
}

/// Checks a folder; a failure to ask the daemon is returned beside the findings of the folder alone.
async fn check_folder(
    daemon: Option<&DaemonClient>,
    folder: &Path,
) -> Result<(Outcome, Option<CommandError>), CommandError> {
    let checked = read_folder_for_check(folder)
        .map_err(|error| CommandError::bad_input(error.to_string()))?;
    let entries = Some(checked.entries().len());
    let offline = || Outcome { findings: checked.findings(), entries, pending: None };
    let Some(daemon) = daemon else { return Ok((offline(), None)) };
    let current = match daemon.get("/v1/config").await {
        Ok(current) => current,
        Err(error) => return Ok((offline(), Some(error))),
    };
    let before: Entries = parse_entries(&current);
    let (after, findings) = checked.findings_after(&before);
    let generation = current["generation"].as_u64().unwrap_or(0);
    // A folder with errors cannot be applied, and the entries with errors may be incomplete.
    let pending =
        (exit_of(&findings) != Exit::BadInput).then(|| (generation, diff(&before, &after)));
    Ok((Outcome { findings, entries, pending }, None))
}

fn check_platform_file(file: &Path) -> Result<Outcome, CommandError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::bad_input(format!("{name}: {error}")))?;
    let findings = wasabiswitch_platform::config_check::check(&name, &text);
    Ok(Outcome { findings, entries: None, pending: None })
}

fn count(findings: &[LocatedFinding], severity: Severity) -> usize {
    findings.iter().filter(|finding| finding.severity == severity).count()
}

fn exit_of(findings: &[LocatedFinding]) -> Exit {
    if count(findings, Severity::Error) > 0 {
        Exit::BadInput
    } else if findings.is_empty() {
        Exit::Done
    } else {
        Exit::Warnings
    }
}

fn print(json: bool, outcome: &Outcome) {
    let mut summary = json!({
        "errors": count(&outcome.findings, Severity::Error),
        "warnings": count(&outcome.findings, Severity::Warning),
    });
    if let Some(entries) = outcome.entries {
        summary["entries"] = json!(entries);
    }
    if json {
        summary["findings"] = outcome.findings.iter().map(finding_to_json).collect();
        if let Some((generation, changes)) = &outcome.pending {
            summary["generation"] = json!(generation);
            summary["changes"] = json!(changes_to_json(changes));
        }
        print_object(json, &summary);
        return;
    }
    for finding in &outcome.findings {
        eprintln!("{finding}");
    }
    print_object(json, &summary);
    if let Some((generation, changes)) = &outcome.pending {
        print_changes(json, *generation, changes);
    }
}

fn finding_to_json(finding: &LocatedFinding) -> Value {
    json!({
        "file": &*finding.position.file,
        "line": finding.position.line,
        "column": finding.position.column,
        "field": finding.field,
        "severity": finding.severity.as_str(),
        "detail": finding.detail,
    })
}
