//! Errors and warnings of a configuration folder, each at its position, for `wasabictl config check`.
//!
//! The rules are pure functions of [`wasabiswitch_policy::config`] and
//! [`wasabiswitch_policy::config_check`]; docs/design/config-check.md gives the reasons.

use std::path::Path;

use wasabiswitch_policy::config::Config;
use wasabiswitch_policy::config_check::{Severity, warnings};

use crate::config_document::{
    Entries, FolderError, LocatedDocument, position_in_force, preserve_key_changes, read_entries,
    read_located, read_texts, semantic_errors,
};
use crate::document::{LocatedError, LocatedFinding};

/// Folder that has been read, with its findings.
pub struct CheckedFolder {
    located: LocatedDocument,
}

/// Reads the folder at `path`.
///
/// # Errors
///
/// Only an I/O error is returned; errors in the content are findings.
pub fn read_folder_for_check(path: &Path) -> Result<CheckedFolder, FolderError> {
    read_texts(path).map(|texts| read_texts_for_check(&texts))
}

/// Reads files, given as pairs of name and text.
pub fn read_texts_for_check(texts: &[(String, String)]) -> CheckedFolder {
    CheckedFolder { located: read_located(texts) }
}

impl CheckedFolder {
    /// Returns the merged entries of the folder.
    pub fn entries(&self) -> &Entries {
        &self.located.document.entries
    }

    /// Returns the findings of the folder alone, sorted by position.
    pub fn findings(&self) -> Vec<LocatedFinding> {
        // The values of fields with errors are not known, so that rules over several entries would find
        // mistakes that are not there.
        if !self.located.errors.is_empty() {
            return sorted(self.located.errors.iter().cloned().map(as_error).collect());
        }
        self.findings_of(&self.located.document.config)
    }

    /// Returns the entries that applying the folder would put into force after `before`, and their findings.
    ///
    /// Unlike the folder alone, they contain the keys that commands have granted or revoked. After errors of
    /// syntax or types, the findings are those of the folder alone.
    pub fn findings_after(&self, before: &Entries) -> (Entries, Vec<LocatedFinding>) {
        let mut entries = self.entries().clone();
        preserve_key_changes(before, &mut entries);
        let findings = match read_entries(&entries) {
            Ok(config) if self.located.errors.is_empty() => self.findings_of(&config),
            _ => self.findings(),
        };
        (entries, findings)
    }

    fn findings_of(&self, config: &Config) -> Vec<LocatedFinding> {
        let errors = semantic_errors(config, &self.located);
        let mut findings: Vec<LocatedFinding> = errors.into_iter().map(as_error).collect();
        for warning in warnings(config) {
            let (section, name, field) = (warning.section, &warning.name, warning.field);
            let position = self.located.position(section, name, field);
            let dot = if field.is_empty() { "" } else { "." };
            findings.push(LocatedFinding {
                position: position.unwrap_or_else(position_in_force),
                field: format!("{section}.{name}{dot}{field}"),
                severity: Severity::Warning,
                detail: warning.detail,
            });
        }
        for ((section, name), position) in &self.located.unused_removals {
            findings.push(LocatedFinding {
                position: position.clone(),
                field: format!("{section}.{name}"),
                severity: Severity::Warning,
                detail: "null removes nothing, since no earlier file contains the entry".to_owned(),
            });
        }
        sorted(findings)
    }
}

fn as_error(error: LocatedError) -> LocatedFinding {
    LocatedFinding {
        position: error.position,
        field: error.field,
        severity: Severity::Error,
        detail: error.detail,
    }
}

fn sorted(mut findings: Vec<LocatedFinding>) -> Vec<LocatedFinding> {
    findings.sort();
    findings
}
