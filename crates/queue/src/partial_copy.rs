//! A copy of a partition while its parts come in.
use crate::prelude::*;

/// So many messages' bytes are asked for at once.
const WANTED_AT_ONCE: usize = 256;
/// What a record takes beside its texts, about.
const RECORD: usize = 200;

/// How many bytes a record without its body takes, about.
pub fn record_size(head: &MessageHeader) -> usize {
    let parcel = head.caller_request.as_ref().map_or(0, |p| p.path.len() + p.host.len() + p.id.len() + p.callback_path.len());
    RECORD + head.key.len() + head.completion_token.len() + parcel
}

/// Invariants: `records` are exactly the source's at operation `position.n`, of
/// those up to `position.after`; `missing` names at least all of them whose
/// bytes are neither here nor, as far as was known, held by the replica itself.
#[derive(Default)]
pub struct PartialCopy {
    records: Box<Part>,
    /// Takes the accounts of files that `records` has no use for.
    accounts: Ledger,
    position: Option<CopyPosition>,
    /// The operation at which the last part stood.
    n: u64,
    next: u64,
    complete: bool,
    missing: BTreeSet<MessageId>,
    /// Bytes from before it began anew: a message's bytes never change.
    spare: BTreeMap<MessageId, Bytes>,
    /// Bytes that its parts brought: it holds no more of them in memory.
    brought: usize,
}

/// How many bytes an operation of a copy takes, about.
fn operation_size(op: &PartitionOp) -> usize {
    match op {
        PartitionOp::Put(head, _, body) => record_size(head) + body.len(),
        _ => RECORD,
    }
}

/// What a part did for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It answers an earlier question, and was not taken.
    Late,
    /// It brought records or bytes, or nothing is lacking.
    Onward,
    /// The source has not what is lacking, as yet.
    InVain,
}

impl PartialCopy {
    /// One that begins with the bytes that an earlier one brought.
    pub fn after(earlier: PartialCopy) -> PartialCopy {
        let mut spare = earlier.spare;
        for record in earlier.records.recs.into_values() {
            if let (1.., Some(body)) = (record.head.len, record.body) {
                spare.insert(record.head.id, body);
            }
        }
        let brought = spare.values().map(Bytes::len).sum();
        PartialCopy { spare, brought, ..PartialCopy::default() }
    }

    /// How many bytes it holds in memory, at most.
    pub fn brought(&self) -> usize {
        self.brought
    }

    /// The operation at which it stands.
    pub fn n(&self) -> u64 {
        self.n
    }

    /// The next place in the partition's order.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether no more records come.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// How many messages' bytes are lacking.
    pub fn lacking(&self) -> usize {
        self.missing.len()
    }

    pub fn records(&self) -> impl Iterator<Item = &Rec> {
        self.records.recs.values()
    }

    /// What to ask for next.
    pub fn request(&self) -> CopyRequest {
        CopyRequest { position: self.position.clone(), wanted: self.wanted() }
    }

    /// Messages whose bytes are asked for next.
    pub fn wanted(&self) -> Vec<MessageId> {
        self.missing.iter().take(WANTED_AT_ONCE).cloned().collect()
    }

    /// Takes the next part. `held` says whether the replica itself holds a
    /// message's bytes.
    pub fn take(&mut self, place: &PartitionId, part: CopyPart, held: impl Fn(&MessageHeader) -> bool, now: Time) -> Taken {
        if part.from.is_none() {
            *self = PartialCopy::after(std::mem::take(self));
        } else if part.from != self.position {
            return Taken::Late;
        }
        self.brought += part.records.iter().map(|(head, _)| record_size(head)).sum::<usize>();
        self.brought += part.ops.iter().map(operation_size).sum::<usize>();
        let brings = part.from.is_none() || !part.records.is_empty() || !part.bodies.is_empty() || !part.complete;
        for op in &part.ops {
            self.apply(place, op, now);
        }
        self.take_bodies(part.bodies);
        if let Some((last, _)) = part.records.last() {
            self.position = Some(CopyPosition { last_id: last.id.clone(), last_op: part.last_op });
        } else if let Some(position) = &mut self.position {
            position.last_op = part.last_op;
        }
        for (head, stage) in &part.records {
            self.put(head, *stage, &held, now);
        }
        (self.n, self.next, self.complete) = (part.last_op, part.next_seq, part.complete);
        match brings || self.missing.is_empty() {
            true => Taken::Onward,
            false => Taken::InVain,
        }
    }

    fn apply(&mut self, place: &PartitionId, op: &PartitionOp, now: Time) {
        self.records.apply(place, op, 0, now, &mut self.accounts);
        self.missing.remove(op.id());
        self.seek(op.id());
    }

    fn put(&mut self, head: &MessageHeader, stage: Stage, held: &impl Fn(&MessageHeader) -> bool, now: Time) {
        self.records.put(head, stage, &Bytes::new(), 0, now, &mut self.accounts);
        let Some(record) = self.records.recs.get_mut(&head.id) else { return };
        if record.head.len == 0 {
            return;
        }
        record.body = self.spare.remove(&head.id).filter(|body| head.matches(body));
        if record.body.is_none() && !held(head) {
            self.missing.insert(head.id.clone());
        }
    }

    /// Notes a record as missing if its bytes are not here.
    fn seek(&mut self, id: &MessageId) {
        let Some(record) = self.records.recs.get(id) else { return };
        if record.bytes().is_none() {
            self.missing.insert(id.clone());
        }
    }

    /// Takes bytes of its records; false when some are not what was handed in.
    pub fn take_bodies(&mut self, bodies: Vec<(MessageId, Bytes)>) -> bool {
        let mut sound = true;
        for (id, body) in bodies {
            let Some(record) = self.records.recs.get_mut(&id).filter(|r| r.head.len > 0) else { continue };
            if !record.head.matches(&body) {
                sound = false;
                continue;
            }
            self.brought += body.len();
            record.body = Some(body);
            self.missing.remove(&id);
        }
        sound
    }

    /// Whether every record has its bytes, here or held by the replica itself;
    /// those that have not are missing from now on.
    pub fn has_all_bodies(&mut self, held: impl Fn(&MessageHeader) -> bool) -> bool {
        if self.missing.is_empty() {
            let lacks = |record: &&Rec| record.bytes().is_none() && !held(&record.head);
            self.missing = self.records.recs.values().filter(lacks).map(|record| record.head.id.clone()).collect();
        }
        self.missing.is_empty()
    }
}
