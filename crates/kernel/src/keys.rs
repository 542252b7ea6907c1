//! Format, generation and comparison of API keys.
//!
//! A key has the form `wsk_ID_SECRET`. The id identifies the entry in the configuration, which stores
//! only the digest of the secret; digests are compared in constant time. A key must never appear in a
//! log, a metric, a problem or the journal, so no type here that holds one implements `Debug`.

use subtle::ConstantTimeEq as _;

/// Prefix of every key.
const PREFIX: &str = "wsk_";

/// Number of random bytes of a generated secret.
const SECRET_BYTES: usize = 32;

/// Key from a request, split into its parts.
pub struct PresentedKey<'a> {
    /// Id of the entry in the configuration.
    pub id: &'a str,
    secret: &'a str,
}

impl<'a> PresentedKey<'a> {
    /// Splits a key, or returns `None` if the text does not have the form of a key.
    pub fn parse(text: &'a str) -> Option<PresentedKey<'a>> {
        let (id, secret) = text.strip_prefix(PREFIX)?.rsplit_once('_')?;
        (!id.is_empty() && !secret.is_empty()).then_some(PresentedKey { id, secret })
    }

    /// Returns whether the secret has the given digest, in constant time.
    pub fn matches(&self, digest: &[u8; 32]) -> bool {
        secret_digest(self.secret).ct_eq(digest).into()
    }
}

/// Returns the digest of a secret.
pub fn secret_digest(secret: &str) -> [u8; 32] {
    *blake3::hash(secret.as_bytes()).as_bytes()
}

/// Parses a digest from 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(Into::into)
}

/// Generated key, whose text is shown once and never stored.
pub struct NewKey {
    /// Whole key, for its holder.
    pub text: String,
    /// Digest of the secret in hexadecimal, for the configuration.
    pub digest: String,
}

/// Generates a key with the given id and a random secret.
pub fn generate(id: &str) -> std::io::Result<NewKey> {
    use std::io::Read as _;
    let mut random = [0; SECRET_BYTES];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut random)?;
    // The hash only encodes the random bytes as hexadecimal text.
    let secret = blake3::hash(&random).to_hex().to_string();
    let digest = blake3::Hash::from(secret_digest(&secret)).to_hex().to_string();
    Ok(NewKey { text: format!("{PREFIX}{id}_{secret}"), digest })
}

/// Returns whether two secrets are equal, in constant time.
pub fn secrets_match(a: &str, b: &str) -> bool {
    secret_digest(a).ct_eq(&secret_digest(b)).into()
}
