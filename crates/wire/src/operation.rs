//! Identities of operators' requests, by which a repeated request is recognised.
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Whether a request contains a complete configuration or a patch of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    Full,
    Patch,
}

/// The SHA-256 digest of a request: its kind, its base and its exact text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderDigest([u8; 32]);

impl OrderDigest {
    /// The digest of a request with the text `json`, based on revision `base`.
    pub fn of(kind: OrderKind, base: u64, json: &str) -> OrderDigest {
        let kind_byte = match kind {
            OrderKind::Full => b'w',
            OrderKind::Patch => b'p',
        };
        let mut hasher = Sha256::new();
        hasher.update([kind_byte]);
        hasher.update(base.to_be_bytes());
        hasher.update(json.as_bytes());
        OrderDigest(hasher.finalize().into())
    }
}

impl fmt::Display for OrderDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for OrderDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OrderDigest({self})")
    }
}

impl Serialize for OrderDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for OrderDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<OrderDigest, D::Error> {
        deserializer.deserialize_bytes(DigestVisitor)
    }
}

struct DigestVisitor;

impl Visitor<'_> for DigestVisitor {
    type Value = OrderDigest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest of 32 bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<OrderDigest, E> {
        let digest = bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(OrderDigest(digest))
    }
}

/// The identity of a request: two requests with the same id are the same request.
///
/// Earlier versions stored every id as a text; such an id is read as `Named`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperationId {
    /// An id that the operator chose.
    Named(String),
    /// A numbered configuration: the revision it builds on, and its digest.
    Numbered(u64, OrderDigest),
}

impl OperationId {
    /// The id of a numbered configuration with the text `json`.
    pub fn numbered(kind: OrderKind, base: u64, json: &str) -> OperationId {
        OperationId::Numbered(base, OrderDigest::of(kind, base, json))
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperationId::Named(name) => f.write_str(name),
            OperationId::Numbered(base, digest) => write!(f, "r{base}-{digest}"),
        }
    }
}
