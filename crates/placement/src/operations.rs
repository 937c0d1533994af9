//! The record of operators' orders that were carried out.
use crate::prelude::*;

/// All records together take no more bytes than this. They are part of the
/// hard state, which is written whole with every save.
pub const MAX_OPERATIONS_BYTES: usize = 256 << 10;

/// The most bytes that a record takes without its operator's own id.
const RECORD_BYTES: usize = 80;

/// One order that was carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    #[serde(rename = "i")]
    pub id: OperationId,
    /// What was asked, where `id` does not say it; unknown for an operation
    /// recorded in the earlier form.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<OrderDigest>,
    /// The version of the configuration that it made.
    #[serde(rename = "v")]
    pub version: Version,
}

impl Operation {
    /// At least the bytes that it takes when it is saved.
    fn weight(&self) -> usize {
        match &self.id {
            OperationId::Named(name) => RECORD_BYTES + name.len(),
            OperationId::Numbered(..) => RECORD_BYTES,
        }
    }

    /// Surely recorded for this very request.
    pub fn is_for(&self, request: Option<OrderDigest>) -> bool {
        self.request == request
    }
}

/// What is known of an order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationStatus {
    /// It was carried out and made this version.
    Done(Version),
    /// It was surely not carried out.
    NotDone,
    /// Its id was used for a different request.
    IdReused,
    /// Its record may have been dropped.
    Unknown,
}

/// The latest operations, oldest first.
///
/// Invariant: every numbered configuration carried out on a revision of at
/// least `complete_since` is recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Operations {
    records: VecDeque<Operation>,
    /// The lowest base from which no record was dropped.
    complete_since: u64,
    /// An operation with an id of its operator's was dropped.
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

    pub fn record(&mut self, operation: Operation) {
        self.records.push_back(operation);
        let mut weight: usize = self.records.iter().map(Operation::weight).sum();
        while weight > MAX_OPERATIONS_BYTES {
            let Some(oldest) = self.records.pop_front() else { return };
            weight -= oldest.weight();
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
