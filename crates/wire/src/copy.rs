//! A whole copy of a partition, asked for and sent in parts.
//!
//! Invariant: after each part the receiver holds exactly what the source held at
//! one operation, of the records up to one name. Whatever changes among these
//! while the copy is on its way comes as operations with the next part.
use crate::prelude::*;

/// How far a copy has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyPosition {
    /// The last record received.
    #[serde(rename = "after")]
    pub last_id: MessageId,
    /// The operation at which the records up to it stand.
    #[serde(rename = "n")]
    pub last_op: u64,
}

/// Asks for the next part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// `None` before the first record.
    pub position: Option<CopyPosition>,
    /// Received records whose bytes are lacking.
    pub wanted: Vec<MessageId>,
}

/// The next part of a copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyPart {
    /// Where it goes on; `None` when it begins, or begins anew because the
    /// source no longer keeps the operations since the position asked from.
    pub from: Option<CopyPosition>,
    /// Operations since then on records up to there, in order.
    pub ops: Vec<PartitionOp>,
    /// Bytes that were asked for, of those records that still have them.
    pub bodies: Vec<(MessageId, Bytes)>,
    /// The next records, by name, without their bytes.
    pub records: Vec<(MessageHeader, Stage)>,
    /// The operation at which all of this stands.
    #[serde(rename = "n")]
    pub last_op: u64,
    /// The next place in the partition's order.
    #[serde(rename = "next")]
    pub next_seq: u64,
    /// No records come after these.
    pub complete: bool,
}
