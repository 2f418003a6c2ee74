//! Fingerprints, by which retries of a request are recognized.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{Account, IdError};
use crate::upstream_table::{PromptPart, shared_parts};

/// The bit that tells the fingerprints of prompt parts from those of requests.
const PART_BIT: u128 = 1;

/// Identifies the content of a request, independent of its sender and its attempt id, or a part of
/// the prompts of an account.
///
/// The fingerprint is a truncated cryptographic digest, so nobody can construct a request that is
/// mistaken for a request of another account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request from its account, method and address, the parts of its
    /// prompt and its body.
    #[must_use]
    pub fn new(
        account: Option<&Account>,
        method: &str,
        address: (&str, &str),
        parts: &[PromptPart],
        body: &[u8],
    ) -> Self {
        let mut digest = FieldDigest::default();
        digest.add(account.map_or("", Account::as_str).as_bytes());
        digest.add(method.as_bytes());
        digest.add(address.0.as_bytes());
        digest.add(address.1.as_bytes());
        for part in parts {
            digest.add(&part.id.to_be_bytes());
            digest.add(&part.tokens.to_be_bytes());
        }
        digest.add(body);
        Self(digest.finish() & !PART_BIT)
    }

    /// Returns the fingerprint of a part of an account's prompts, whatever its length is said to be.
    ///
    /// It contains the account, since callers name their parts themselves: what crashes under the
    /// parts of one account says nothing about those of another.
    #[must_use]
    pub fn of_part(account: Option<&Account>, part: u64) -> Self {
        let mut digest = FieldDigest::default();
        digest.add(account.map_or("", Account::as_str).as_bytes());
        digest.add(&part.to_be_bytes());
        Self(digest.finish() | PART_BIT)
    }

    /// Returns the fingerprints of the parts that other requests may share: all but the last.
    #[must_use]
    pub fn of_shared_parts(account: Option<&Account>, parts: &[PromptPart]) -> Vec<Self> {
        shared_parts(parts).iter().map(|part| Self::of_part(account, part.id)).collect()
    }

    /// Returns whether it identifies a prompt part.
    #[must_use]
    pub fn is_part(self) -> bool {
        self.0 & PART_BIT != 0
    }

    /// Returns a key by which all processes choose the same upstreams for this request.
    #[must_use]
    pub fn rendezvous_key(self) -> u64 {
        let bytes = self.0.to_be_bytes();
        bytes.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

/// A cryptographic digest of several fields.
#[derive(Default)]
struct FieldDigest(Sha256);

impl FieldDigest {
    /// Adds a field. It is preceded by its length, so that the boundary between fields is
    /// unambiguous.
    fn add(&mut self, field: &[u8]) {
        self.0.update(field.len().to_be_bytes());
        self.0.update(field);
    }

    fn finish(self) -> u128 {
        let digest = self.0.finalize();
        digest.iter().take(16).fold(0, |sum, byte| sum << 8 | u128::from(*byte))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let bad = || IdError::NotHex(text.chars().take(80).collect());
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(bad());
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| bad())
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(id: Fingerprint) -> Self {
        id.to_string()
    }
}
