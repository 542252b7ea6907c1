/*!
Encoding of rows, configuration deltas and messages between daemons.

# Example

```
use wasabiswitch_policy::grants::{Grant, GrantRow};
use wasabiswitch_wire::{decode, encode};

let row = GrantRow {
    grants: vec![Grant { daemon: "d1".into(), epoch: 4, slots: 8, wanted_slots: 9 }],
};
let bytes = encode(&row);
assert_eq!(decode::<GrantRow>(&bytes).unwrap(), row);
```

# Format

A document consists of a version byte and one MessagePack value. Structs, among them those of the policy
crate, which does not depend on serde, are encoded as arrays of their fields by the visitors in [`codec`].
Enums are encoded as arrays whose first element is the number of the variant. Documents larger than
[`DOCUMENT_MAX_BYTES`] are rejected before they are decoded.

The policy crate does not depend on this crate, so that decisions stay separate from encodings.
*/

pub mod codec;
mod fleet_types;
pub mod message;
mod policy_types;

use codec::{Wire, WireType};

/// Version of the format, the first byte of each document.
pub const FORMAT_VERSION: u8 = 1;

/// Maximum size of a document that [`decode`] accepts, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 8 << 20;

/// Error of decoding a document.
#[derive(Debug, thiserror::Error)]
#[error("{kind}")]
pub struct Error {
    kind: ErrorKind,
}

impl Error {
    /// Returns the kind of the error.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Error {
        Error { kind }
    }
}

/// The kinds of [`Error`].
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The document has no bytes, not even the version.
    #[error("the document is empty")]
    Empty,
    /// The document is larger than [`DOCUMENT_MAX_BYTES`]; holds its size in bytes.
    #[error("the document has {0} bytes, more than the {DOCUMENT_MAX_BYTES} allowed")]
    TooLarge(usize),
    /// The document has another format version; holds that version.
    #[error("the document has format version {0}, not {FORMAT_VERSION}")]
    Version(u8),
    /// The document is not a valid encoding of the type.
    #[error("the document is damaged: {0}")]
    Damaged(#[from] rmp_serde::decode::Error),
}

/// Encodes `value` as a document.
pub fn encode<T: WireType>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    // Encoding into memory fails only for sequences and maps of unknown length, which no wire type has.
    rmp_serde::encode::write(&mut bytes, &Wire(value)).expect("wire types have a known length");
    bytes
}

/// Decodes a document that [`encode`] produced.
pub fn decode<T: WireType>(bytes: &[u8]) -> Result<T, Error> {
    let (&version, body) = bytes.split_first().ok_or(ErrorKind::Empty)?;
    if bytes.len() > DOCUMENT_MAX_BYTES {
        return Err(ErrorKind::TooLarge(bytes.len()).into());
    }
    if version != FORMAT_VERSION {
        return Err(ErrorKind::Version(version).into());
    }
    let Wire(value) = rmp_serde::from_slice(body).map_err(ErrorKind::Damaged)?;
    Ok(value)
}
