//! A copy of a partition while its parts arrive.
use crate::prelude::*;

/// Most message bodies that are requested at once.
const MAX_BODIES_REQUESTED: usize = 256;
/// Approximate size of a record without its texts.
const RECORD_OVERHEAD_BYTES: usize = 200;

/// Approximate size in bytes of a record without its body.
pub fn record_size(header: &MessageHeader) -> usize {
    let request = header.caller_request.as_ref().map_or(0, |p| p.path.len() + p.host.len() + p.id.len() + p.callback_path.len());
    RECORD_OVERHEAD_BYTES + header.key.len() + header.completion_token.len() + request
}

/// A copy that is received in parts.
///
/// Invariants: `replica` holds exactly the records that the source had at operation
/// `position.last_op`, among those up to `position.last_id`; `missing_bodies` names
/// at least every record of them whose body is neither here nor, as far as is known,
/// already held by this store's own replica. A body is here only until it is written
/// to the journal, so memory does not grow with the bodies of the partition.
#[derive(Default)]
pub struct PartialCopy {
    replica: Box<PartitionReplica>,
    /// Satisfies the journal parameter of the replica's methods; it is never saved.
    scratch_journal: Journal,
    /// How far the list of records has arrived.
    position: Option<CopyPosition>,
    /// The last operation that the latest part includes.
    last_op: u64,
    next_seq: u64,
    /// No more records follow.
    complete: bool,
    /// Messages whose body is still to be requested.
    missing_bodies: BTreeSet<MessageId>,
    /// Messages whose body has arrived, and that are not written yet.
    arrived: BTreeSet<MessageId>,
    /// Bodies received before the copy was restarted: a message's body never changes.
    reusable_bodies: BTreeMap<MessageId, Bytes>,
    /// Bytes received in parts, without the bodies that are written: an upper bound of
    /// what the copy holds in memory.
    received_bytes: usize,
}

/// Approximate size in bytes of an operation in a copy.
fn operation_size(op: &PartitionOp) -> usize {
    match op {
        PartitionOp::Put(header, _, body) => record_size(header) + body.len(),
        _ => RECORD_OVERHEAD_BYTES,
    }
}

/// What a received part contributed to a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartResult {
    /// It answers an earlier request, and was ignored.
    Ignored,
    /// It contained records or bodies, or nothing is missing.
    Progress,
    /// The source does not have what is missing yet.
    NoProgress,
}

impl PartialCopy {
    /// A new copy that reuses the bodies that an earlier one received.
    pub fn reusing_bodies_of(earlier: PartialCopy) -> PartialCopy {
        let mut bodies = earlier.reusable_bodies;
        for record in earlier.replica.records.into_values() {
            if let (1.., Some(body)) = (record.header.len, record.body) {
                bodies.insert(record.header.id, body);
            }
        }
        let received_bytes = bodies.values().map(Bytes::len).sum();
        PartialCopy { reusable_bodies: bodies, received_bytes, ..PartialCopy::default() }
    }

    /// The most bytes that it may hold in memory.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// The last operation that it includes.
    pub fn last_op(&self) -> u64 {
        self.last_op
    }

    /// The sequence number of the partition's next message.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Whether all records have arrived, if not all bodies.
    pub fn has_all_records(&self) -> bool {
        self.complete
    }

    /// How many bodies are missing.
    pub fn missing_body_count(&self) -> usize {
        self.missing_bodies.len()
    }

    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.replica.records.values()
    }

    /// The next request to the source.
    pub fn request(&self) -> CopyRequest {
        CopyRequest { position: self.position.clone(), wanted: self.bodies_to_request() }
    }

    /// Messages whose bodies are requested next.
    pub fn bodies_to_request(&self) -> Vec<MessageId> {
        self.missing_bodies.iter().take(MAX_BODIES_REQUESTED).cloned().collect()
    }

    /// Applies the next part. `held` tells whether this store's own replica already
    /// holds a message's body.
    pub fn apply_part(
        &mut self,
        partition: &PartitionId,
        part: CopyPart,
        held: impl Fn(&MessageHeader) -> bool,
        now: Time,
    ) -> PartResult {
        if part.from.is_none() {
            *self = PartialCopy::reusing_bodies_of(std::mem::take(self));
        } else if part.from != self.position {
            return PartResult::Ignored;
        }
        self.received_bytes += part.records.iter().map(|(header, _)| record_size(header)).sum::<usize>();
        self.received_bytes += part.ops.iter().map(operation_size).sum::<usize>();
        let has_content = part.from.is_none() || !part.records.is_empty() || !part.bodies.is_empty() || !part.complete;
        for op in &part.ops {
            self.apply_op(partition, op, &held, now);
        }
        self.add_bodies(part.bodies);
        if let Some((last, _)) = part.records.last() {
            self.position = Some(CopyPosition { last_id: last.id.clone(), last_op: part.last_op });
        } else if let Some(position) = &mut self.position {
            position.last_op = part.last_op;
        }
        for (header, stage) in &part.records {
            self.put_record(header, *stage, &held, now);
        }
        (self.last_op, self.next_seq, self.complete) = (part.last_op, part.next_seq, part.complete);
        match has_content || self.missing_bodies.is_empty() {
            true => PartResult::Progress,
            false => PartResult::NoProgress,
        }
    }

    fn apply_op(&mut self, partition: &PartitionId, op: &PartitionOp, held: &impl Fn(&MessageHeader) -> bool, now: Time) {
        self.replica.apply(partition, op, 0, now, &mut self.scratch_journal);
        self.missing_bodies.remove(op.id());
        let Some(record) = self.replica.records.get(op.id()) else { return };
        if matches!(op, PartitionOp::Put(..)) {
            self.arrived.insert(op.id().clone());
        } else if record.loaded_body().is_none() && !held(&record.header) {
            self.missing_bodies.insert(op.id().clone());
        }
    }

    fn put_record(&mut self, header: &MessageHeader, stage: Stage, held: &impl Fn(&MessageHeader) -> bool, now: Time) {
        self.replica.put_record(header, stage, &Bytes::new(), 0, now, &mut self.scratch_journal);
        let Some(record) = self.replica.records.get_mut(&header.id) else { return };
        if record.header.len > 0 {
            record.body = self.reusable_bodies.remove(&header.id).filter(|body| header.matches(body));
        }
        if record.loaded_body().is_some() {
            self.arrived.insert(header.id.clone());
        } else if !held(header) {
            self.missing_bodies.insert(header.id.clone());
        }
    }

    /// The records that have arrived since the last call, with their bodies.
    pub fn take_arrived(&mut self) -> Vec<Record> {
        let ids = std::mem::take(&mut self.arrived);
        ids.iter()
            .filter_map(|id| self.replica.records.get(id))
            .filter(|record| record.loaded_body().is_some())
            .cloned()
            .collect()
    }

    /// Releases the body of a record that this store's own replica holds now.
    pub fn release_body(&mut self, id: &MessageId) {
        let Some(record) = self.replica.records.get_mut(id) else { return };
        let released = record.body.take().map_or(0, |body| body.len());
        self.received_bytes = self.received_bytes.saturating_sub(released);
    }

    /// Adds bodies of its records; false when a body does not match its header.
    pub fn add_bodies(&mut self, bodies: Vec<(MessageId, Bytes)>) -> bool {
        let mut all_match = true;
        for (id, body) in bodies {
            let Some(record) = self.replica.records.get_mut(&id).filter(|r| r.header.len > 0) else { continue };
            if !record.header.matches(&body) {
                all_match = false;
                continue;
            }
            self.received_bytes += body.len();
            record.body = Some(body);
            self.missing_bodies.remove(&id);
            self.arrived.insert(id);
        }
        all_match
    }

    /// Whether every body is here or held by this store's own replica; those that
    /// are not are marked as missing.
    pub fn has_all_bodies(&mut self, held: impl Fn(&MessageHeader) -> bool) -> bool {
        if self.missing_bodies.is_empty() {
            let is_missing = |record: &&Record| record.loaded_body().is_none() && !held(&record.header);
            self.missing_bodies =
                self.replica.records.values().filter(is_missing).map(|record| record.header.id.clone()).collect();
        }
        self.missing_bodies.is_empty()
    }
}
