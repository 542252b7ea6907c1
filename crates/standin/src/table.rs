//! A transactional table service: versioned rows, and batches of conditional writes.

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;
use wasabiswitch_kernel::platform::{CommitOutcome, Row, Version, Write};

/// The rows and their versions.
#[derives(record)]
#[derive(Default)]
pub struct TableService {
    rows: BTreeMap<String, (Version, Vec<u8>)>,
    last_version: Version,
    commits: u64,
}

impl TableService {
    /// Reads one row.
    pub fn read(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), version: *version, value: value.clone() })
    }

    /// Reads up to `rows_max` rows whose keys have a prefix and are greater than `after`, in the order of their keys.
    pub fn scan(&self, prefix: &str, after: &str, rows_max: usize) -> Vec<Row> {
        let start = if after.is_empty() { prefix } else { after };
        self.rows
            .range(start.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after || after.is_empty())
            .take(rows_max)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }

    /// Applies all writes, or none if the version of any row differs from the expected one.
    pub fn commit(&mut self, writes: Vec<Write>) -> CommitOutcome {
        let current = |key: &str| self.rows.get(key).map_or(0, |(version, _)| *version);
        if writes.iter().any(|write| current(&write.key) != write.expected) {
            return CommitOutcome::Conflict;
        }
        self.commits += 1;
        let mut versions = Vec::with_capacity(writes.len());
        for write in writes {
            self.last_version += 1;
            versions.push(self.last_version);
            match write.value {
                Some(value) => self.rows.insert(write.key, (self.last_version, value.0)),
                None => self.rows.remove(&write.key),
            };
        }
        CommitOutcome::Committed(versions)
    }

    /// Returns the number of batches that were committed.
    pub fn commits(&self) -> u64 {
        self.commits
    }

    /// Returns the number of rows, and the total size of their keys and values in bytes.
    pub fn size(&self) -> (usize, usize) {
        let bytes = self.rows.iter().map(|(key, (_, value))| key.len() + value.len()).sum();
        (self.rows.len(), bytes)
    }
}
