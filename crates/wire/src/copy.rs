//! A complete copy of a partition, which a replica fetches in parts, in the order of
//! the message ids.
//!
//! Invariant: after each part, the receiver's records up to the last received id are
//! exactly those that the source had after one operation. If any of them changes
//! during the transfer, the operations that changed it are in the next part.
use crate::prelude::*;

/// The progress of a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyPosition {
    /// The last record received.
    #[serde(rename = "after")]
    pub last_id: MessageId,
    /// The operation after which the source had these records.
    #[serde(rename = "n")]
    pub last_op: u64,
}

/// A request for the next part of a copy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// Where the next part continues; `None` before the first record.
    pub position: Option<CopyPosition>,
    /// Received records whose bodies are missing.
    pub wanted: Vec<MessageId>,
}

/// The next part of a copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyPart {
    /// The position that the part continues from. `None` if the copy starts, or starts
    /// again because the source no longer has the operations since the requested
    /// position.
    pub from: Option<CopyPosition>,
    /// The operations since `from` on the records up to its id, in order.
    pub ops: Vec<PartitionOp>,
    /// The requested bodies, as far as the records still have them.
    pub bodies: Vec<(MessageId, Bytes)>,
    /// The next records, ordered by id, without bodies.
    pub records: Vec<(MessageHeader, Stage)>,
    /// The source's last operation when it sent the part.
    #[serde(rename = "n")]
    pub last_op: u64,
    /// The sequence number that the partition's next message gets.
    #[serde(rename = "next")]
    pub next_seq: u64,
    /// These are the last records.
    pub complete: bool,
}
