//! Rows as they are kept: an envelope with the ids of the last writes, around the encoded value.

use wasabiswitch_derive::derives;
use wasabiswitch_wire::codec::WireType;
use wasabiswitch_wire::{decode, encode, wire_struct};

use super::error::{StoreError, StoreErrorKind};
use crate::platform::{Row, RowValue, Version, Write};

/// The write ids that a row keeps.
pub(super) const RECENT_WRITES: usize = 8;

/// The envelope of a row: the ids of its last writes, and the encoded value.
pub(super) struct Envelope {
    pub(super) recent_writes: Vec<u64>,
    value: Vec<u8>,
}

wire_struct!(Envelope { recent_writes, value });

/// A row as it was read.
#[derives(record)]
pub struct Stored<T> {
    /// The version.
    pub version: Version,
    /// The ids of its last writes.
    pub(super) recent_writes: Vec<u64>,
    /// The value.
    pub value: T,
}

impl<T> Stored<T> {
    fn without_value(&self) -> BaseVersion {
        BaseVersion { version: self.version, recent_writes: self.recent_writes.clone() }
    }
}

/// What a write builds on.
#[derives(record)]
#[derive(Default)]
pub struct BaseVersion {
    version: Version,
    pub(super) recent_writes: Vec<u64>,
}

impl<T> From<Option<&Stored<T>>> for BaseVersion {
    fn from(stored: Option<&Stored<T>>) -> BaseVersion {
        stored.map(Stored::without_value).unwrap_or_default()
    }
}

/// A row to write or to delete.
#[derives(record)]
pub struct RowWrite {
    pub(super) key: String,
    pub(super) base: BaseVersion,
    value: Option<Vec<u8>>,
}

impl RowWrite {
    /// Prepares to write `value` over the row that was read as `base`.
    pub fn new<T: WireType>(key: &str, base: BaseVersion, value: &T) -> RowWrite {
        RowWrite { key: key.to_owned(), base, value: Some(encode(value)) }
    }

    /// Prepares to delete the row that was read as `base`.
    ///
    /// A deleted row keeps no write id, so a batch must start with a row that is written.
    pub fn delete(key: &str, base: BaseVersion) -> RowWrite {
        RowWrite { key: key.to_owned(), base, value: None }
    }

    pub(super) fn to_platform(&self, write_id: u64) -> Write {
        let kept = self.base.recent_writes.iter().take(RECENT_WRITES - 1);
        let recent_writes = std::iter::once(write_id).chain(kept.copied()).collect();
        let value = self.value.clone().map(|value| {
            let envelope = Envelope { recent_writes, value };
            RowValue(encode(&envelope))
        });
        Write { key: self.key.clone(), expected: self.base.version, value }
    }
}

/// The rows that a transaction has read, in the order of its keys.
#[derives(record)]
pub struct ReadRows {
    pub(super) rows: Vec<Option<Row>>,
}

impl ReadRows {
    /// Decodes the row at `index`, if it exists.
    pub fn get<T: WireType>(&self, index: usize) -> Result<Option<Stored<T>>, StoreError> {
        self.rows[index].clone().map(open_row).transpose()
    }

    /// Reports whether any of the rows was written under `write_id`.
    pub(super) fn show_write(&self, write_id: u64) -> bool {
        self.rows.iter().flatten().any(|row| {
            decode::<Envelope>(&row.value).is_ok_and(|row| row.recent_writes.contains(&write_id))
        })
    }
}

pub(super) fn open_row<T: WireType>(row: Row) -> Result<Stored<T>, StoreError> {
    let damaged =
        |detail: String| StoreError::new(StoreErrorKind::Damaged { key: row.key.clone(), detail });
    let envelope: Envelope = decode(&row.value).map_err(|error| damaged(error.to_string()))?;
    let value = decode(&envelope.value).map_err(|error| damaged(error.to_string()))?;
    Ok(Stored { version: row.version, recent_writes: envelope.recent_writes, value })
}
