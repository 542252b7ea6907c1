//! Reads a [`Config`] from the operators' folder or from stored entries.
//!
//! [`wasabiswitch_policy::merge`] merges the files of the folder. Each merged entry is one object, which
//! this module reads field by field; docs/operators/configuration.md lists the fields.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use wasabiswitch_policy::config::{
    CheckError, Config, Instance, Key, Pool, Principal, Queue, Service, Team, check,
};
use wasabiswitch_policy::merge::{EntryKey, File, FileEntry, merge};

use crate::document::{Errors, Fields, LocatedError, Node, Position, Tree, canonical, parse};

/// Entries of a configuration, each as the text of a canonical JSON object.
pub type Entries = BTreeMap<EntryKey, String>;

/// Names of the sections of a configuration.
pub const SECTIONS: [&str; 6] = ["services", "pools", "instances", "teams", "queues", "keys"];

/// Extension of configuration files; other files in the folder are ignored.
const FILE_EXTENSION: &str = "json";

/// Name that stands for a file in the positions of entries that are in no file, such as granted keys.
const FILE_IN_FORCE: &str = "(in force)";

const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
const DEFAULT_KEEP_ANSWERS: Duration = Duration::from_secs(24 * 60 * 60);
const DEFAULT_ATTEMPTS_MAX: u32 = 3;
const DEFAULT_CONNECTIONS_MAX: u32 = 64;
const DEFAULT_JOBS_MAX: u32 = 100_000;
const DEFAULT_MEMORY_BYTES: u64 = 1 << 30;

/// Configuration together with the entries that it was read from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigDocument {
    /// Merged entries.
    pub entries: Entries,
    /// Configuration that the entries describe.
    pub config: Config,
}

/// Error that occurred when a configuration folder was read.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// The folder or a file in it could not be opened.
    #[error("{path}: {error}")]
    Io {
        /// Path of the folder or file.
        path: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The content of the files has errors, which are sorted by position.
    #[error("{}", join_lines(.0))]
    Content(Errors),
}

fn join_lines(errors: &Errors) -> String {
    let lines: Vec<String> = errors.iter().map(LocatedError::to_string).collect();
    lines.join("\n")
}

/// Reads and checks the folder at `path`.
pub fn read_folder(path: &Path) -> Result<ConfigDocument, FolderError> {
    let texts = read_texts(path)?;
    read_texts_as_config(&texts).map_err(FolderError::Content)
}

/// Reads the configuration files of a folder as pairs of name and text.
pub(crate) fn read_texts(path: &Path) -> Result<Vec<(String, String)>, FolderError> {
    let io_error = |path: &Path, error| FolderError::Io { path: path.display().to_string(), error };
    let listing = std::fs::read_dir(path).map_err(|error| io_error(path, error))?;
    let mut texts = Vec::new();
    for entry in listing {
        let file = entry.map_err(|error| io_error(path, error))?.path();
        if file.extension().is_none_or(|ending| ending != FILE_EXTENSION) {
            continue;
        }
        let text = std::fs::read_to_string(&file).map_err(|error| io_error(&file, error))?;
        let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
        texts.push((name, text));
    }
    Ok(texts)
}

/// Reads and checks files, given as pairs of name and text.
pub fn read_texts_as_config(texts: &[(String, String)]) -> Result<ConfigDocument, Errors> {
    let mut located = read_located(texts);
    if located.errors.is_empty() {
        located.errors = semantic_errors(&located.document.config, &located);
    }
    if located.errors.is_empty() { Ok(located.document) } else { Err(located.errors) }
}

/// Content of a folder with the positions of its entries, before the semantic checks.
pub(crate) struct LocatedDocument {
    /// Entries and configuration, without the parts that `errors` is about.
    pub(crate) document: ConfigDocument,
    /// Errors of syntax and types, sorted.
    pub(crate) errors: Errors,
    /// Entries that a file removes although no earlier file contains them.
    pub(crate) unused_removals: Vec<(EntryKey, Position)>,
    merged: Merged,
    positions: Positions,
}

impl LocatedDocument {
    /// Returns the position of a field, or of its entry if no file sets the field; `None` if the folder does
    /// not contain the entry.
    pub(crate) fn position(&self, section: &str, name: &str, field: &str) -> Option<Position> {
        let key = (section.to_owned(), name.to_owned());
        let fields = self.merged.get(&key)?;
        let position = fields.get(field).map(|tree| &tree.position);
        position.or_else(|| self.positions.get(&key)).cloned()
    }
}

/// Reads files, given as pairs of name and text, without the semantic checks.
pub(crate) fn read_located(texts: &[(String, String)]) -> LocatedDocument {
    let mut errors = Errors::new();
    let mut files = Vec::new();
    let mut positions = Positions::new();
    let mut removals = Vec::new();
    for (name, text) in texts {
        match parse(name, text) {
            Ok(tree) => {
                files.push(read_file(name, &tree, &mut positions, &mut removals, &mut errors));
            }
            Err(error) => errors.push(error),
        }
    }
    let merged = merge(&files);
    let document = read_merged(&merged, &positions, &mut errors);
    errors.sort();
    let unused_removals = find_unused_removals(&files, removals);
    LocatedDocument { document, errors, unused_removals, merged, positions }
}

/// Returns those of `removals` whose entry no file with an earlier name contains.
fn find_unused_removals(
    files: &[File<Tree>],
    removals: Vec<(EntryKey, Position)>,
) -> Vec<(EntryKey, Position)> {
    let is_unused = |(key, position): &(EntryKey, Position)| {
        let earlier = files.iter().filter(|file| *file.name < *position.file);
        !earlier.flat_map(|file| &file.entries).any(|e| e.key == *key && e.fields.is_some())
    };
    removals.into_iter().filter(is_unused).collect()
}

/// Merged entries, whose fields may come from several files.
type Merged = BTreeMap<EntryKey, BTreeMap<String, Tree>>;

/// Position of each entry in the last file, by name, that contains it.
type Positions = BTreeMap<EntryKey, Position>;

fn read_file(
    name: &str,
    tree: &Tree,
    positions: &mut Positions,
    removals: &mut Vec<(EntryKey, Position)>,
    errors: &mut Errors,
) -> File<Tree> {
    let mut entries = Vec::new();
    for (section, section_tree) in object_fields(tree, "", errors) {
        if !SECTIONS.contains(&section.as_str()) {
            let detail = format!("the section is unknown; there are {}", SECTIONS.join(", "));
            let position = section_tree.position.clone();
            errors.push(LocatedError { position, field: section.clone(), detail });
            continue;
        }
        for (entry, entry_tree) in object_fields(section_tree, section, errors) {
            let key = (section.clone(), entry.clone());
            record_position(positions, &key, &entry_tree.position);
            let fields = match &entry_tree.node {
                Node::Null => {
                    removals.push((key.clone(), entry_tree.position.clone()));
                    None
                }
                _ => {
                    let path = format!("{section}.{entry}");
                    let fields = object_fields(entry_tree, &path, errors);
                    Some(fields.map(|(name, tree)| (name.clone(), tree.clone())).collect())
                }
            };
            entries.push(FileEntry { key, fields });
        }
    }
    File { name: name.to_owned(), entries }
}

fn record_position(positions: &mut Positions, key: &EntryKey, position: &Position) {
    let recorded = positions.entry(key.clone()).or_insert_with(|| position.clone());
    if position.file > recorded.file {
        *recorded = position.clone();
    }
}

fn object_fields<'a>(
    tree: &'a Tree,
    path: &str,
    errors: &mut Errors,
) -> impl Iterator<Item = (&'a String, &'a Tree)> + use<'a> {
    let fields = match &tree.node {
        Node::Object(fields) => Some(fields),
        other => {
            errors.push(LocatedError {
                position: tree.position.clone(),
                field: path.to_owned(),
                detail: format!("expected an object, found {}", other.type_name()),
            });
            None
        }
    };
    fields.into_iter().flatten()
}

fn read_merged(merged: &Merged, positions: &Positions, errors: &mut Errors) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for (key, fields) in merged {
        let position = positions[key].clone();
        read_entry(key, &position, fields, &mut document.config, errors);
        let object = Tree { position, node: Node::Object(fields.clone()) };
        document.entries.insert(key.clone(), canonical(&object));
    }
    document
}

/// Returns the semantic errors of a configuration at their positions in a folder, sorted.
pub(crate) fn semantic_errors(config: &Config, located: &LocatedDocument) -> Errors {
    let locate = |error: CheckError| {
        let position = located.position(error.section, &error.name, error.field);
        let field = format!("{}.{}.{}", error.section, error.name, error.field);
        let position = position.unwrap_or_else(position_in_force);
        LocatedError { position, field, detail: error.detail }
    };
    let mut errors: Errors = check(config).into_iter().map(locate).collect();
    errors.sort();
    errors
}

/// Returns the position of an entry that is in no file, but in the configuration in force.
pub(crate) fn position_in_force() -> Position {
    Position { file: FILE_IN_FORCE.into(), line: 1, column: 1 }
}

/// Reads stored entries without the semantic checks, which were made when the entries were accepted.
pub fn read_entries(entries: &Entries) -> Result<Config, Errors> {
    let mut config = Config::default();
    let mut errors = Errors::new();
    for (key, text) in entries {
        read_stored_entry(key, text, &mut config, &mut errors);
    }
    if errors.is_empty() { Ok(config) } else { Err(errors) }
}

/// Applies changed entries to a configuration; the other entries are not read again.
pub fn apply_changes(
    config: &mut Config,
    changes: &[(EntryKey, Option<String>)],
) -> Result<(), Errors> {
    let mut errors = Errors::new();
    for (key, text) in changes {
        match text {
            Some(text) => read_stored_entry(key, text, config, &mut errors),
            None => remove_entry(key, config),
        }
    }
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn read_stored_entry(key: &EntryKey, text: &str, config: &mut Config, errors: &mut Errors) {
    let file = format!("{}/{}", key.0, key.1);
    match parse(&file, text) {
        Ok(Tree { position, node: Node::Object(fields) }) => {
            read_entry(key, &position, &fields, config, errors);
        }
        Ok(tree) => errors.push(LocatedError {
            position: tree.position,
            field: String::new(),
            detail: "expected an object".to_owned(),
        }),
        Err(error) => errors.push(error),
    }
}

fn remove_entry(key: &EntryKey, config: &mut Config) {
    let name = key.1.as_str();
    match key.0.as_str() {
        "services" => drop(config.services.remove(name)),
        "pools" => drop(config.pools.remove(name)),
        "instances" => drop(config.instances.remove(name)),
        "teams" => drop(config.teams.remove(name)),
        "queues" => drop(config.queues.remove(name)),
        "keys" => drop(config.keys.remove(name)),
        _ => {}
    }
}

fn read_entry(
    key: &EntryKey,
    position: &Position,
    fields: &BTreeMap<String, Tree>,
    config: &mut Config,
    errors: &mut Errors,
) {
    let (section, name) = (key.0.as_str(), key.1.as_str());
    let path = format!("{section}.{name}");
    let mut fields = Fields::new(&path, position, fields, errors);
    match section {
        "services" => drop(config.services.insert(name.into(), read_service(&mut fields))),
        "pools" => drop(config.pools.insert(name.into(), read_pool(&mut fields))),
        "instances" => drop(config.instances.insert(name.into(), read_instance(&mut fields))),
        "teams" => drop(config.teams.insert(name.into(), read_team(&mut fields))),
        "queues" => drop(config.queues.insert(name.into(), read_queue(&mut fields))),
        "keys" => drop(config.keys.insert(name.into(), read_key(&mut fields))),
        _ => fields.reject("", format!("the section {section:?} is unknown")),
    }
    fields.finish();
}

fn read_service(fields: &mut Fields<'_>) -> Service {
    let deadline = fields.millis("deadline_ms").unwrap_or(DEFAULT_DEADLINE);
    Service {
        pool: fields.required_string("pool").into(),
        repeatable_methods: fields.strings("repeatable_methods").unwrap_or_default(),
        urgent: fields.flag("urgent"),
        deadline,
        attempts_max: fields.number_u32("attempts_max").unwrap_or(DEFAULT_ATTEMPTS_MAX),
        keep_answers: fields.seconds("keep_answers_s").unwrap_or(DEFAULT_KEEP_ANSWERS),
    }
}

fn read_pool(fields: &mut Fields<'_>) -> Pool {
    Pool { unavailable_max: fields.required_u32("unavailable_max"), spare: fields.flag("spare") }
}

fn read_instance(fields: &mut Fields<'_>) -> Instance {
    Instance {
        pool: fields.required_string("pool").into(),
        failure_domain: fields.required_string("failure_domain").into(),
        data_centre: fields.required_string("data_centre").into(),
        address: fields.required_string("address"),
        slots: fields.required_u32("slots"),
        connections_max: fields.number_u32("connections_max").unwrap_or(DEFAULT_CONNECTIONS_MAX),
        cpu_milli: fields.number("cpu_milli", u64::MAX).unwrap_or(1_000),
        memory_bytes: fields.number("memory_bytes", u64::MAX).unwrap_or(DEFAULT_MEMORY_BYTES),
        accelerators: fields.number_u32("accelerators").unwrap_or(0),
    }
}

fn read_team(fields: &mut Fields<'_>) -> Team {
    Team { weight: fields.required_u32("weight"), limit_slots: fields.required_u32("limit_slots") }
}

fn read_queue(fields: &mut Fields<'_>) -> Queue {
    Queue {
        pool: fields.required_string("pool").into(),
        open_team: fields.string("open_team").map(Into::into),
        jobs_max: fields.number_u32("jobs_max").unwrap_or(DEFAULT_JOBS_MAX),
    }
}

fn read_key(fields: &mut Fields<'_>) -> Key {
    let team = fields.string("team");
    let operator = fields.string("operator");
    let digest = fields.required_string("digest");
    let holder = match (team, operator) {
        (Some(team), None) => Principal::Team(team.into()),
        (None, Some(operator)) => Principal::Operator(operator),
        _ => {
            let detail = "a key belongs to either a team or an operator".to_owned();
            fields.reject("team", detail);
            Principal::Operator(String::new())
        }
    };
    Key { holder, digest, granted: fields.flag("granted"), withdrawn: fields.flag("withdrawn") }
}

/// Copies the changes that commands have made to keys from the entries in force to those of a folder.
///
/// Keys that a command granted are in no file and are kept. Revoked keys stay revoked while the folder still
/// contains them with the same digest.
pub fn preserve_key_changes(before: &Entries, after: &mut Entries) {
    let key_entries = before.iter().filter(|(key, _)| key.0 == "keys");
    for (key, text) in key_entries {
        let Ok(config) = read_entries(&Entries::from([(key.clone(), text.clone())])) else {
            continue;
        };
        let Some(stored) = config.keys.get(key.1.as_str()) else { continue };
        let same_digest = after.get(key).is_none_or(|text| text.contains(&stored.digest));
        if (stored.granted && !after.contains_key(key)) || (stored.withdrawn && same_digest) {
            after.insert(key.clone(), text.clone());
        }
    }
}

/// Returns the digest of a set of entries, which does not depend on the order of the changes to them.
///
/// The digest is the exclusive or of the digests of the entries, so that [`digest_after`] updates it in
/// time proportional to the changes.
pub fn digest(entries: &Entries) -> u64 {
    entries.iter().fold(0, |sum, (key, text)| sum ^ entry_digest(key, text))
}

/// Returns the digest of `entries` after `changes`, from the `digest` before them, in time proportional to
/// the changes.
pub fn digest_after(digest: u64, entries: &Entries, changes: &[(EntryKey, Option<String>)]) -> u64 {
    changes.iter().fold(digest, |sum, (key, text)| {
        let old = entries.get(key).map_or(0, |old| entry_digest(key, old));
        let new = text.as_ref().map_or(0, |new| entry_digest(key, new));
        sum ^ old ^ new
    })
}

/// Returns the digest of one entry: the first eight bytes of a hash over section, name and text.
pub fn entry_digest(key: &EntryKey, text: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [key.0.as_str(), "\0", key.1.as_str(), "\0", text] {
        hasher.update(part.as_bytes());
    }
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}
