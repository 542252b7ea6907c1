//! Encoding of stored rows: an envelope with the ids of the last writes and the encoded value.

use wasabiswitch_derive::derives;
use wasabiswitch_wire::codec::WireType;
use wasabiswitch_wire::{decode, encode, wire_struct};

use super::error::{StoreError, StoreErrorKind};
use crate::platform::{Row, RowValue, Version, Write};

/// Maximum number of write ids in the envelope of a row.
pub(super) const RECENT_WRITES_MAX: usize = 8;

/// Stored form of a row: the ids of its last writes, newest first, and the encoded value.
pub(super) struct Envelope {
    pub(super) recent_writes: Vec<u64>,
    value: Vec<u8>,
}

wire_struct!(Envelope { recent_writes, value });

/// Decoded row with the version at which it was read.
#[derives(record)]
pub struct Stored<T> {
    /// Version at the time of the read.
    pub version: Version,
    /// Ids of the last writes, newest first.
    pub(super) recent_writes: Vec<u64>,
    /// Decoded value.
    pub value: T,
}

impl<T> Stored<T> {
    fn base_version(&self) -> BaseVersion {
        BaseVersion { version: self.version, recent_writes: self.recent_writes.clone() }
    }
}

/// Version of a row that a conditional write replaces; the default stands for a row that does not exist.
#[derives(record)]
#[derive(Default)]
pub struct BaseVersion {
    version: Version,
    pub(super) recent_writes: Vec<u64>,
}

impl<T> From<Option<&Stored<T>>> for BaseVersion {
    fn from(stored: Option<&Stored<T>>) -> BaseVersion {
        stored.map(Stored::base_version).unwrap_or_default()
    }
}

/// Conditional write or deletion of one row.
#[derives(record)]
pub struct RowWrite {
    pub(super) key: String,
    pub(super) base: BaseVersion,
    value: Option<Vec<u8>>,
}

impl RowWrite {
    /// Creates a write that replaces the version `base` of the row with `value`.
    pub fn new<T: WireType>(key: &str, base: BaseVersion, value: &T) -> RowWrite {
        RowWrite { key: key.to_owned(), base, value: Some(encode(value)) }
    }

    /// Creates a deletion of the version `base` of the row.
    ///
    /// A deleted row stores no write id, so the first row of a batch must be one that is written.
    pub fn delete(key: &str, base: BaseVersion) -> RowWrite {
        RowWrite { key: key.to_owned(), base, value: None }
    }

    pub(super) fn to_platform(&self, write_id: u64) -> Write {
        let kept = self.base.recent_writes.iter().take(RECENT_WRITES_MAX - 1);
        let recent_writes = std::iter::once(write_id).chain(kept.copied()).collect();
        let value = self.value.clone().map(|value| {
            let envelope = Envelope { recent_writes, value };
            RowValue(encode(&envelope))
        });
        Write { key: self.key.clone(), expected: self.base.version, value }
    }
}

/// Rows that a transaction has read, in the order of its keys.
#[derives(record)]
pub struct ReadRows {
    pub(super) rows: Vec<Option<Row>>,
}

impl ReadRows {
    /// Decodes the row of the key at `index`, or returns `None` if the row does not exist.
    pub fn get<T: WireType>(&self, index: usize) -> Result<Option<Stored<T>>, StoreError> {
        self.rows[index].clone().map(open_row).transpose()
    }

    /// Returns whether any of the rows holds `write_id`.
    pub(super) fn contain_write(&self, write_id: u64) -> bool {
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
