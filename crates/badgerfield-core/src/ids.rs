//! Identifiers. Each kind has its own type, so that they cannot be confused.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum length of an identifier, in bytes.
pub const MAX_ID_LEN: usize = 128;

/// The reason why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("expected an identifier, found nothing")]
    Empty,
    /// The text is longer than [`MAX_ID_LEN`].
    #[error("expected at most {MAX_ID_LEN} bytes, found {0}")]
    TooLong(usize),
    /// The text contains a character that is not allowed.
    #[error("expected letters, digits, '.', '_', '-' or '/', found {0:?}")]
    BadChar(char),
    /// The text is not a hexadecimal number.
    #[error("expected a number in hexadecimal, found {0:?}")]
    NotHex(String),
}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_LEN {
        return Err(IdError::TooLong(text.len()));
    }
    for c in text.chars() {
        if c.is_ascii_alphanumeric() || "._-/".contains(c) {
            continue;
        }
        return Err(IdError::BadChar(c));
    }
    Ok(())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_id(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id!(
    /// The id of a VM. It stays the same when the process on the VM restarts.
    VmId
);
text_id!(
    /// The name of a region.
    Region
);
text_id!(
    /// The name of a failure domain.
    Domain
);
text_id!(
    /// The name of a client account.
    Account
);
text_id!(
    /// The id of a prepaid budget of a client account, as `account/budget`.
    BudgetId
);
text_id!(
    /// The name of a model.
    Model
);
text_id!(
    /// The name of an adapter of a model.
    Adapter
);
text_id!(
    /// The name of a hardware generation.
    Hardware
);
text_id!(
    /// The id of an upstream: a replica of a model engine or of a plain service.
    UpstreamId
);
text_id!(
    /// The name of a plain service.
    Service
);
text_id!(
    /// A version of an upstream's software.
    SoftwareVersion
);
text_id!(
    /// The author of a change of the templates.
    Author
);

/// The id of one run of the process on a VM. Each start gets a new one; none is used twice.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let id = u64::from_str_radix(text, 16).map_err(|_| IdError::NotHex(text.to_owned()))?;
        Ok(Self(id))
    }
}

/// The id of a caller's request, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The id of one run of a request, unique within one process; also the serial number of its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// The highest bit of a [`RunId`], set if the id stands for a reservation.
const RESERVATION_BIT: u64 = 1 << 63;

/// The id of a reservation of tokens for a request on a route, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub u64);

impl ReservationId {
    /// Returns the id under which the holdings keep the reservation.
    #[must_use]
    pub fn to_run_id(self) -> RunId {
        RunId(self.0 | RESERVATION_BIT)
    }

    /// Returns the reservation that an id stands for, or `None` if it is the id of a run.
    #[must_use]
    pub(crate) fn from_run_id(run: RunId) -> Option<Self> {
        (run.0 & RESERVATION_BIT != 0).then_some(Self(run.0 & !RESERVATION_BIT))
    }
}

/// The id of one attempt of a request at one upstream, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// The id of a call to the store, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreCallId(pub u64);

/// The key of a request: a digest of the budget and the caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Computes the key from the caller's key and the budget that pays for the request.
    #[must_use]
    pub fn new(budget: &BudgetId, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(budget.as_str().as_bytes());
        hash.update([0]);
        hash.update(key.as_bytes());
        let digest = hash.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The version of a template set or of one of its templates. It only increases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TemplateVersion(pub u64);

impl TemplateVersion {
    /// Returns the next version.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for TemplateVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// The number of a budget's period. Each renewal increases it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Period(pub u64);

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number of a membership view. It only increases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the next epoch.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}", self.0)
    }
}

/// A short digest of a service and of a version of its upstreams' software, as processes send it to
/// each other.
///
/// All upstreams of a service whose entries name no version count as one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionTag(u32);

impl VersionTag {
    /// Stands for versions that a process cannot tell. No version has it but by a collision of
    /// digests, which would only keep streams from being resumed.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the tag of a version, or of upstreams without one.
    #[must_use]
    pub fn new(service: &Service, version: Option<&SoftwareVersion>) -> Self {
        let version = version.map_or("", SoftwareVersion::as_str);
        // Identifiers contain no line breaks.
        let text = format!("{service}\n{version}");
        let [a, b, c, d, ..] = xxh3_64_with_seed(text.as_bytes(), 0).to_be_bytes();
        Self(u32::from_be_bytes([a, b, c, d]))
    }
}

impl fmt::Display for VersionTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Returns the weight of a process for a subject in rendezvous hashing; the highest weight wins.
#[must_use]
pub(crate) fn rendezvous_weight(subject: &[u8], node: Incarnation) -> u64 {
    xxh3_64_with_seed(subject, node.0)
}
