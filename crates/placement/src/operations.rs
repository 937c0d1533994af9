//! The record of operators' orders that were carried out.
use crate::prelude::*;

/// The records take at most this many bytes together. They are part of the placement
/// state, which is written as a whole with every save.
pub const MAX_OPERATIONS_BYTES: usize = 256 << 10;

/// The most bytes that a record takes, without an id that its operator chose.
const MAX_UNNAMED_RECORD_BYTES: usize = 80;

/// One order that was carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    #[serde(rename = "i")]
    pub id: OperationId,
    /// The digest of the request. `None` where `id` contains it, and for operations
    /// recorded in the previous format.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<OrderDigest>,
    /// The version of the configuration that it made.
    #[serde(rename = "v")]
    pub version: Version,
}

impl Operation {
    /// An upper bound of the bytes that it takes when it is saved.
    fn max_saved_bytes(&self) -> usize {
        match &self.id {
            OperationId::Named(name) => MAX_UNNAMED_RECORD_BYTES + name.len(),
            OperationId::Numbered(..) => MAX_UNNAMED_RECORD_BYTES,
        }
    }

    /// Whether it is certain that this is the record of `request`.
    pub fn is_for(&self, request: Option<OrderDigest>) -> bool {
        self.request == request
    }
}

/// What is known of an order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationStatus {
    /// It was carried out and made this version.
    Done(Version),
    /// It is certain that it was not carried out.
    NotDone,
    /// Its id was used for a different request.
    IdReused,
    /// Not certain: its record may have been dropped, or doesn't say which request it
    /// is of.
    Unknown,
}

/// The records of the latest operations, oldest first.
///
/// Invariant: every numbered configuration carried out on a revision of at
/// least `complete_since` is recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Operations {
    records: VecDeque<Operation>,
    /// No record on this base or a later one was dropped.
    complete_since: u64,
    /// A record with an id that its operator chose was dropped.
    named_dropped: bool,
}

impl Operations {
    pub fn find(&self, id: &OperationId) -> Option<&Operation> {
        self.records.iter().rev().find(|o| o.id == *id)
    }

    /// What is known of an order with this id and request.
    pub fn status(&self, id: &OperationId, request: Option<OrderDigest>) -> OperationStatus {
        if let Some(operation) = self.find(id) {
            return match (operation.is_for(request), operation.request) {
                (true, _) => OperationStatus::Done(operation.version),
                (false, Some(_)) => OperationStatus::IdReused,
                (false, None) => OperationStatus::Unknown,
            };
        }
        let complete = match id {
            OperationId::Numbered(base, _) => *base >= self.complete_since,
            OperationId::Named(_) => !self.named_dropped,
        };
        if complete {
            return OperationStatus::NotDone;
        }
        OperationStatus::Unknown
    }

    /// Adds a record, and drops the oldest ones beyond `MAX_OPERATIONS_BYTES`.
    pub fn record(&mut self, operation: Operation) {
        self.records.push_back(operation);
        let mut bytes: usize = self.records.iter().map(Operation::max_saved_bytes).sum();
        while bytes > MAX_OPERATIONS_BYTES {
            let Some(oldest) = self.records.pop_front() else { return };
            bytes -= oldest.max_saved_bytes();
            match oldest.id {
                OperationId::Numbered(base, _) => self.mark_incomplete_below(base.saturating_add(1)),
                OperationId::Named(_) => self.named_dropped = true,
            }
        }
    }

    /// Numbered configurations on bases below `revision` may be missing.
    pub fn mark_incomplete_below(&mut self, revision: u64) {
        self.complete_since = self.complete_since.max(revision);
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
