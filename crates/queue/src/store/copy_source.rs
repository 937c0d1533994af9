//! A replica as the source of a whole copy.
use super::{Body, BodyWaiter};
use crate::partial_copy::record_size;
use crate::prelude::*;
use std::ops::Bound;

/// Bytes of bodies sent at once.
const MAX_BODY_BYTES_PER_PART: usize = 256 << 10;
/// Records sent at once, and bytes of theirs.
const MAX_RECORDS_PER_PART: usize = 1000;
const MAX_RECORD_BYTES_PER_PART: usize = 256 << 10;

/// Bytes that were asked for.
#[derive(Default)]
struct Bodies {
    here: Vec<(MessageId, Bytes)>,
    /// To be read back first.
    on_disk: Vec<MessageId>,
}

impl Store {
    /// Only a replica fenced at this very epoch, or its leader once that is
    /// whole, hands out.
    fn may_send_copies(&self, partition: &PartitionId, epoch: Epoch) -> bool {
        let Some(part) = self.partitions.get(partition) else { return false };
        part.promised == epoch && part.own.as_ref().is_none_or(LeaderState::is_whole)
    }

    /// A store that knows no parts is sent the list of all records.
    pub(super) fn on_fetch_copy(&mut self, from: Daemon, partition: PartitionId, epoch: Epoch) {
        if !self.may_send_copies(&partition, epoch) {
            return;
        }
        let snapshot = self.partitions[&partition].digest();
        self.send(&from, PeerMessage::WholeCopy { partition, epoch, snapshot });
    }

    /// Bytes by name: of a copy that goes by the list, or for a copy that is bad.
    pub(super) fn on_fetch_bodies(&mut self, from: Daemon, partition: PartitionId, epoch: Epoch, ids: Vec<MessageId>, now: Time) {
        if !self.may_send_copies(&partition, epoch) {
            return;
        }
        // One that copies is not silent, however long that takes.
        let peer =
            self.partitions.get_mut(&partition).and_then(|part| part.own.as_mut()).and_then(|lead| lead.peers.get_mut(&from));
        if let Some(peer) = peer {
            peer.heard = now;
        }
        let bodies = self.bodies_of(&partition, &ids, now);
        let waiter = BodyWaiter::FetchBodies { from: from.clone(), epoch, ids };
        if self.read_bodies_for(&partition, &bodies.on_disk, waiter) {
            return;
        }
        self.counts.bodies_sent += bodies.here.len() as u64;
        self.send(&from, PeerMessage::Bodies { partition, epoch, entries: bodies.here });
    }

    /// The next part of a copy, once the bytes that go with it are at hand.
    pub(super) fn on_copy_request(
        &mut self,
        from: Daemon,
        partition: PartitionId,
        epoch: Epoch,
        request: CopyRequest,
        now: Time,
    ) {
        if !self.may_send_copies(&partition, epoch) {
            return;
        }
        // One that copies is not silent, however long that takes.
        let peer =
            self.partitions.get_mut(&partition).and_then(|part| part.own.as_mut()).and_then(|lead| lead.peers.get_mut(&from));
        if let Some(peer) = peer {
            peer.heard = now;
        }
        let bodies = self.bodies_of(&partition, &request.wanted, now);
        let waiter = BodyWaiter::CopyPart { from: from.clone(), epoch, request: request.clone() };
        if self.read_bodies_for(&partition, &bodies.on_disk, waiter) {
            return;
        }
        // Too much is being read back now: it asks again.
        if bodies.here.is_empty() && !bodies.on_disk.is_empty() {
            return;
        }
        self.counts.bodies_sent += bodies.here.len() as u64;
        let part = Box::new(self.partitions[&partition].copy_part(request.position, bodies.here));
        if let Some(lead) = self.partitions.get_mut(&partition).and_then(|part| part.own.as_mut()) {
            lead.note_copying(from.clone(), part.last_op, now);
        }
        self.send(&from, PeerMessage::CopyPart { partition, epoch, part });
    }

    /// What there is of the bytes asked for, up to a bound. Of a record that is
    /// gone or has let go of its bytes there is nothing to send.
    fn bodies_of(&mut self, partition: &PartitionId, ids: &[MessageId], now: Time) -> Bodies {
        let mut bodies = Bodies::default();
        let mut size = 0;
        for id in ids {
            let Some(len) = self.partitions[partition].recs.get(id).map(|record| record.head.len as usize).filter(|len| *len > 0)
            else {
                continue;
            };
            match self.body_of(partition, id) {
                Body::InMemory(body) => bodies.here.push((id.clone(), body)),
                Body::OnDisk => bodies.on_disk.push(id.clone()),
                Body::Corrupt => {
                    self.on_corrupt_body(partition, id, now);
                    continue;
                }
            }
            size += len;
            if size > MAX_BODY_BYTES_PER_PART {
                break;
            }
        }
        bodies
    }

    /// Begins to read bytes back; `who` is served once the last of them is
    /// here. False when there is nothing to wait for.
    fn read_bodies_for(&mut self, partition: &PartitionId, ids: &[MessageId], waiter: BodyWaiter) -> bool {
        let Some((last, rest)) = ids.split_last() else { return false };
        let begun = rest.iter().all(|id| self.read_body_for(partition, id, BodyWaiter::Prefetch));
        begun && self.read_body_for(partition, last, waiter)
    }
}

impl Part {
    /// The part of a copy that goes on from `position`; from the beginning, if
    /// the operations since then are no longer kept.
    fn copy_part(&self, position: Option<CopyPosition>, bodies: Vec<(MessageId, Bytes)>) -> CopyPart {
        let since = position.and_then(|at| Some((self.ops_since(at.last_op)?, at)));
        let (ops, from) = match since {
            Some((ops, at)) => (ops, Some(at)),
            None => (Vec::new(), None),
        };
        let n = from.as_ref().map_or(self.n, |at| at.last_op + ops.len() as u64);
        // Records stand at the last operation: with one that comes later in
        // another part they would not fit.
        let (records, complete) = match n == self.n {
            true => self.records_after(from.as_ref().map(|at| &at.last_id)),
            false => (Vec::new(), false),
        };
        let known = |op: &PartitionOp| from.as_ref().is_some_and(|at| *op.id() <= at.last_id);
        let ops = ops.into_iter().filter(known).collect();
        CopyPart { from, ops, bodies, records, last_op: n, next_seq: self.next, complete }
    }

    /// Operations since the one numbered `n`, as many as are sent at once.
    fn ops_since(&self, n: u64) -> Option<Vec<PartitionOp>> {
        match &self.own {
            _ if n == self.n => Some(Vec::new()),
            Some(lead) if n < self.n => lead.ops_from(n + 1, self.n),
            _ => None,
        }
    }

    /// The next records by name, and whether none follow.
    fn records_after(&self, after: Option<&MessageId>) -> (Vec<(MessageHeader, Stage)>, bool) {
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.recs.range::<MessageId, _>((begin, Bound::Unbounded)).map(|entry| entry.1).peekable();
        let mut records = Vec::new();
        let mut size = 0;
        while let Some(record) = rest.next_if(|_| records.len() < MAX_RECORDS_PER_PART && size < MAX_RECORD_BYTES_PER_PART) {
            size += record_size(&record.head);
            records.push((record.head.clone(), record.stage));
        }
        (records, rest.peek().is_none())
    }
}
