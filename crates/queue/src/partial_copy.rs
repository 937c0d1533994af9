//! A copy of a partition while its parts come in.
use crate::prelude::*;

/// So many messages' bytes are asked for at once.
const MAX_BODIES_REQUESTED: usize = 256;
/// What a record takes beside its texts, about.
const RECORD_OVERHEAD_BYTES: usize = 200;

/// How many bytes a record without its body takes, about.
pub fn record_size(head: &MessageHeader) -> usize {
    let parcel = head.caller_request.as_ref().map_or(0, |p| p.path.len() + p.host.len() + p.id.len() + p.callback_path.len());
    RECORD_OVERHEAD_BYTES + head.key.len() + head.completion_token.len() + parcel
}

/// Invariants: `records` are exactly the source's at operation `position.n`, of
/// those up to `position.after`; `missing` names at least all of them whose
/// bytes are neither here nor, as far as was known, held by the replica itself.
#[derive(Default)]
pub struct PartialCopy {
    records: Box<PartitionReplica>,
    /// Takes the accounts of files that `records` has no use for.
    scratch_journal: Journal,
    position: Option<CopyPosition>,
    /// The operation at which the last part stood.
    last_op: u64,
    next_seq: u64,
    complete: bool,
    missing_bodies: BTreeSet<MessageId>,
    /// Bytes from before it began anew: a message's bytes never change.
    reusable_bodies: BTreeMap<MessageId, Bytes>,
    /// Bytes that its parts brought: it holds no more of them in memory.
    received_bytes: usize,
}

/// How many bytes an operation of a copy takes, about.
fn operation_size(op: &PartitionOp) -> usize {
    match op {
        PartitionOp::Put(head, _, body) => record_size(head) + body.len(),
        _ => RECORD_OVERHEAD_BYTES,
    }
}

/// What a part did for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartResult {
    /// It answers an earlier question, and was not taken.
    Ignored,
    /// It brought records or bytes, or nothing is lacking.
    Progress,
    /// The source has not what is lacking, as yet.
    NoProgress,
}

impl PartialCopy {
    /// One that begins with the bytes that an earlier one brought.
    pub fn reusing_bodies_of(earlier: PartialCopy) -> PartialCopy {
        let mut spare = earlier.reusable_bodies;
        for record in earlier.records.records.into_values() {
            if let (1.., Some(body)) = (record.header.len, record.body) {
                spare.insert(record.header.id, body);
            }
        }
        let brought = spare.values().map(Bytes::len).sum();
        PartialCopy { reusable_bodies: spare, received_bytes: brought, ..PartialCopy::default() }
    }

    /// How many bytes it holds in memory, at most.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// The operation at which it stands.
    pub fn last_op(&self) -> u64 {
        self.last_op
    }

    /// The next place in the partition's order.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Whether no more records come.
    pub fn has_all_records(&self) -> bool {
        self.complete
    }

    /// How many messages' bytes are lacking.
    pub fn missing_body_count(&self) -> usize {
        self.missing_bodies.len()
    }

    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.records.values()
    }

    /// What to ask for next.
    pub fn request(&self) -> CopyRequest {
        CopyRequest { position: self.position.clone(), wanted: self.bodies_to_request() }
    }

    /// Messages whose bytes are asked for next.
    pub fn bodies_to_request(&self) -> Vec<MessageId> {
        self.missing_bodies.iter().take(MAX_BODIES_REQUESTED).cloned().collect()
    }

    /// Takes the next part. `held` says whether the replica itself holds a
    /// message's bytes.
    pub fn apply_part(
        &mut self,
        place: &PartitionId,
        part: CopyPart,
        held: impl Fn(&MessageHeader) -> bool,
        now: Time,
    ) -> PartResult {
        if part.from.is_none() {
            *self = PartialCopy::reusing_bodies_of(std::mem::take(self));
        } else if part.from != self.position {
            return PartResult::Ignored;
        }
        self.received_bytes += part.records.iter().map(|(head, _)| record_size(head)).sum::<usize>();
        self.received_bytes += part.ops.iter().map(operation_size).sum::<usize>();
        let brings = part.from.is_none() || !part.records.is_empty() || !part.bodies.is_empty() || !part.complete;
        for op in &part.ops {
            self.apply(place, op, now);
        }
        self.add_bodies(part.bodies);
        if let Some((last, _)) = part.records.last() {
            self.position = Some(CopyPosition { last_id: last.id.clone(), last_op: part.last_op });
        } else if let Some(position) = &mut self.position {
            position.last_op = part.last_op;
        }
        for (head, stage) in &part.records {
            self.put_record(head, *stage, &held, now);
        }
        (self.last_op, self.next_seq, self.complete) = (part.last_op, part.next_seq, part.complete);
        match brings || self.missing_bodies.is_empty() {
            true => PartResult::Progress,
            false => PartResult::NoProgress,
        }
    }

    fn apply(&mut self, place: &PartitionId, op: &PartitionOp, now: Time) {
        self.records.apply(place, op, 0, now, &mut self.scratch_journal);
        self.missing_bodies.remove(op.id());
        self.mark_if_missing(op.id());
    }

    fn put_record(&mut self, head: &MessageHeader, stage: Stage, held: &impl Fn(&MessageHeader) -> bool, now: Time) {
        self.records.put_record(head, stage, &Bytes::new(), 0, now, &mut self.scratch_journal);
        let Some(record) = self.records.records.get_mut(&head.id) else { return };
        if record.header.len == 0 {
            return;
        }
        record.body = self.reusable_bodies.remove(&head.id).filter(|body| head.matches(body));
        if record.body.is_none() && !held(head) {
            self.missing_bodies.insert(head.id.clone());
        }
    }

    /// Notes a record as missing if its bytes are not here.
    fn mark_if_missing(&mut self, id: &MessageId) {
        let Some(record) = self.records.records.get(id) else { return };
        if record.loaded_body().is_none() {
            self.missing_bodies.insert(id.clone());
        }
    }

    /// Takes bytes of its records; false when some are not what was handed in.
    pub fn add_bodies(&mut self, bodies: Vec<(MessageId, Bytes)>) -> bool {
        let mut sound = true;
        for (id, body) in bodies {
            let Some(record) = self.records.records.get_mut(&id).filter(|r| r.header.len > 0) else { continue };
            if !record.header.matches(&body) {
                sound = false;
                continue;
            }
            self.received_bytes += body.len();
            record.body = Some(body);
            self.missing_bodies.remove(&id);
        }
        sound
    }

    /// Whether every record has its bytes, here or held by the replica itself;
    /// those that have not are missing from now on.
    pub fn has_all_bodies(&mut self, held: impl Fn(&MessageHeader) -> bool) -> bool {
        if self.missing_bodies.is_empty() {
            let lacks = |record: &&Record| record.loaded_body().is_none() && !held(&record.header);
            self.missing_bodies = self.records.records.values().filter(lacks).map(|record| record.header.id.clone()).collect();
        }
        self.missing_bodies.is_empty()
    }
}
