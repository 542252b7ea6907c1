//! Merging of the operators' configuration files into one set of entries, and differences of such
//! sets.
//!
//! An entry is one named object in one section, such as `teams/press`. Files are merged in the
//! order of their names: the fields of a later file replace the same fields of an earlier one, and
//! a null entry removes the entry. The functions are generic over the values, so that this crate
//! depends on no encoding and the values can carry their source positions.

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;

/// Key of an entry: its section and its name.
pub type EntryKey = (String, String);

/// Fields of one entry, by name.
pub type Fields<V> = BTreeMap<String, V>;

/// Entry of one file.
#[derives(record)]
pub struct FileEntry<V> {
    /// Section and name of the entry.
    pub key: EntryKey,
    /// Fields that the file sets, or `None` if the file removes the entry.
    pub fields: Option<Fields<V>>,
}

/// Configuration file, as its entries.
#[derives(record)]
pub struct File<V> {
    /// Name of the file, which determines the order of merging.
    pub name: String,
    /// Entries, in the order of the file.
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

/// Difference between two configurations: an entry that is set or, with `None`, removed.
pub type Change<T> = (EntryKey, Option<T>);

/// Returns the changes from `before` to `after`, sorted by key.
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
