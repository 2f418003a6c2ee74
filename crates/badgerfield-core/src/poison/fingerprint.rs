//! Fingerprints, by which retries of a request are recognized.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{Account, IdError};
use crate::upstream_table::PromptPart;

/// Identifies the content of a request, independent of its sender and its attempt id.
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
        let mut digest = Sha256::new();
        let mut add = |field: &[u8]| {
            // Each field is preceded by its length, so that the boundary between fields is
            // unambiguous.
            digest.update(field.len().to_be_bytes());
            digest.update(field);
        };
        add(account.map_or("", Account::as_str).as_bytes());
        add(method.as_bytes());
        add(address.0.as_bytes());
        add(address.1.as_bytes());
        for part in parts {
            add(&part.id.to_be_bytes());
            add(&part.tokens.to_be_bytes());
        }
        add(body);
        let digest = digest.finalize();
        Self(digest.iter().take(16).fold(0, |sum, byte| sum << 8 | u128::from(*byte)))
    }

    /// Returns a key by which all processes choose the same upstreams for this request.
    #[must_use]
    pub fn rendezvous_key(self) -> u64 {
        let bytes = self.0.to_be_bytes();
        bytes.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
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
