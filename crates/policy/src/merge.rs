//! Merges the operators' files, in the order of their names, into one set of entries.
//!
//! An entry is one named object in one section, such as `teams/press`. A later file's fields replace
//! an earlier file's fields of the same entry, and a null entry removes it. The merge is generic over
//! the value, so that this crate needs no encoding; values stay opaque and keep their source.

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;

/// Names an entry: its section and its name.
pub type EntryKey = (String, String);

/// The fields of one entry.
pub type Fields<V> = BTreeMap<String, V>;

/// One entry of one file.
#[derives(record)]
pub struct FileEntry<V> {
    /// The entry's section and name.
    pub key: EntryKey,
    /// The fields that the file sets, or `None` if the file removes the entry.
    pub fields: Option<Fields<V>>,
}

/// The entries of one file, in the order in which they stand.
#[derives(record)]
pub struct File<V> {
    /// The file's name, which gives the order of merging.
    pub name: String,
    /// Its entries.
    pub entries: Vec<FileEntry<V>>,
}

/// Merges `files` in the order of their names.
pub fn merge<V: Clone>(files: &[File<V>]) -> BTreeMap<EntryKey, Fields<V>> {
    let mut ordered: Vec<&File<V>> = files.iter().collect();
    ordered.sort_by(|a, b| a.name.cmp(&b.name));
    let mut merged: BTreeMap<EntryKey, Fields<V>> = BTreeMap::new();
    for entry in ordered.iter().flat_map(|file| &file.entries) {
        match &entry.fields {
            None => {
                merged.remove(&entry.key);
            }
            Some(fields) => {
                let target = merged.entry(entry.key.clone()).or_default();
                target.extend(fields.iter().map(|(name, value)| (name.clone(), value.clone())));
            }
        }
    }
    merged
}

/// One difference between two configurations: an entry that is set or, if `None`, removed.
pub type Change<T> = (EntryKey, Option<T>);

/// Returns the changes that turn `before` into `after`, in the order of their keys.
pub fn diff<T: Clone + PartialEq>(
    before: &BTreeMap<EntryKey, T>,
    after: &BTreeMap<EntryKey, T>,
) -> Vec<Change<T>> {
    let mut changes: Vec<Change<T>> = after
        .iter()
        .filter(|(key, value)| before.get(*key) != Some(*value))
        .map(|(key, value)| (key.clone(), Some(value.clone())))
        .collect();
    let removed = before.keys().filter(|key| !after.contains_key(*key));
    changes.extend(removed.map(|key| (key.clone(), None)));
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    changes
}

/// Applies `changes` to `entries` in place.
pub fn apply<T: Clone>(entries: &mut BTreeMap<EntryKey, T>, changes: &[Change<T>]) {
    for (key, value) in changes {
        match value {
            Some(value) => entries.insert(key.clone(), value.clone()),
            None => entries.remove(key),
        };
    }
}
