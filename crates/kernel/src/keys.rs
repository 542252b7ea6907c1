//! Keys: how they look, and how they are compared.
//!
//! A key reads `wsk_ID_SECRET`. The id finds the entry; only the digest of the secret is kept, and it is
//! compared in constant time. A key must never reach a log, a metric, a problem or the journal, so
//! nothing here implements `Debug` over one.

use subtle::ConstantTimeEq as _;

/// The beginning of each key.
const PREFIX: &str = "wsk_";

/// The length of a generated secret, in bytes before encoding.
const SECRET_BYTES: usize = 32;

/// A key that was presented, split into its parts.
pub struct PresentedKey<'a> {
    /// The id.
    pub id: &'a str,
    /// The secret part.
    secret: &'a str,
}

impl<'a> PresentedKey<'a> {
    /// Splits a key; returns `None` if the text is none.
    pub fn parse(text: &'a str) -> Option<PresentedKey<'a>> {
        let (id, secret) = text.strip_prefix(PREFIX)?.rsplit_once('_')?;
        (!id.is_empty() && !secret.is_empty()).then_some(PresentedKey { id, secret })
    }

    /// Compares the secret part with a digest, in constant time.
    pub fn matches(&self, digest: &[u8; 32]) -> bool {
        secret_digest(self.secret).ct_eq(digest).into()
    }
}

/// Returns the digest of a secret.
pub fn secret_digest(secret: &str) -> [u8; 32] {
    *blake3::hash(secret.as_bytes()).as_bytes()
}

/// Reads a digest from its text of 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(Into::into)
}

/// A new key; the text is shown once and never kept.
pub struct NewKey {
    /// The whole key, for its holder.
    pub text: String,
    /// The digest, in hexadecimal, for the configuration.
    pub digest: String,
}

/// Creates a key with a random secret.
pub fn generate(id: &str) -> std::io::Result<NewKey> {
    use std::io::Read as _;
    let mut random = [0; SECRET_BYTES];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut random)?;
    // Hashing only serves to encode the random bytes as hexadecimal text.
    let secret = blake3::hash(&random).to_hex().to_string();
    let digest = blake3::Hash::from(secret_digest(&secret)).to_hex().to_string();
    Ok(NewKey { text: format!("{PREFIX}{id}_{secret}"), digest })
}

/// Compares two secrets in constant time.
pub fn secrets_match(a: &str, b: &str) -> bool {
    secret_digest(a).ct_eq(&secret_digest(b)).into()
}
