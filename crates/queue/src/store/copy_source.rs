//! The sending side of a copy: a replica sends the complete contents of a partition.
use super::{Body, BodyWaiter};
use crate::partial_copy::record_size;
use crate::prelude::*;
use std::ops::Bound;

/// Limit on the body bytes in one message; the body that crosses it is still sent.
const MAX_BODY_BYTES_PER_PART: usize = 256 << 10;
/// Limits on the records in one part: their number, and the bytes of their headers.
const MAX_RECORDS_PER_PART: usize = 1000;
const MAX_RECORD_BYTES_PER_PART: usize = 256 << 10;

/// The requested bodies.
#[derive(Default)]
struct Bodies {
    in_memory: Vec<(MessageId, Bytes)>,
    /// Ids of the bodies that have to be read from disk first.
    on_disk: Vec<MessageId>,
}

impl Store {
    /// Whether this replica may send copies: it is fenced at exactly this epoch, or leads
    /// under it and is complete.
    fn may_send_copies(&self, partition: &PartitionId, epoch: Epoch) -> bool {
        let Some(part) = self.partitions.get(partition) else { return false };
        part.promised_epoch == epoch && part.leader_state.as_ref().is_none_or(LeaderState::has_complete_data)
    }

    /// Sends the list of all records to a store of a version that does not know copies in
    /// parts.
    pub(super) fn on_fetch_copy(&mut self, from: Daemon, partition: PartitionId, epoch: Epoch) {
        if !self.may_send_copies(&partition, epoch) {
            return;
        }
        let snapshot = self.partitions[&partition].snapshot();
        self.send(&from, PeerMessage::WholeCopy { partition, epoch, snapshot });
    }

    /// Sends bodies by message id: for a copy made by list, or in place of a corrupt one.
    pub(super) fn on_fetch_bodies(&mut self, from: Daemon, partition: PartitionId, epoch: Epoch, ids: Vec<MessageId>, now: Time) {
        if !self.may_send_copies(&partition, epoch) {
            return;
        }
        // A peer that is copying is not silent, however long that takes.
        let peer = self
            .partitions
            .get_mut(&partition)
            .and_then(|part| part.leader_state.as_mut())
            .and_then(|lead| lead.peers.get_mut(&from));
        if let Some(peer) = peer {
            peer.last_contact = now;
        }
        let bodies = self.bodies_of(&partition, &ids, now);
        let waiter = BodyWaiter::FetchBodies { from: from.clone(), epoch, ids };
        if self.read_bodies_for(&partition, &bodies.on_disk, waiter) {
            return;
        }
        self.counts.bodies_sent += bodies.in_memory.len() as u64;
        self.send(&from, PeerMessage::Bodies { partition, epoch, entries: bodies.in_memory });
    }

    /// Sends the next part of a copy, once the bodies that go with it are in memory.
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
        // A peer that is copying is not silent, however long that takes.
        let peer = self
            .partitions
            .get_mut(&partition)
            .and_then(|part| part.leader_state.as_mut())
            .and_then(|lead| lead.peers.get_mut(&from));
        if let Some(peer) = peer {
            peer.last_contact = now;
        }
        let bodies = self.bodies_of(&partition, &request.wanted, now);
        let waiter = BodyWaiter::CopyPart { from: from.clone(), epoch, request: request.clone() };
        if self.read_bodies_for(&partition, &bodies.on_disk, waiter) {
            return;
        }
        // Too much is being read back now. The peer asks again.
        if bodies.in_memory.is_empty() && !bodies.on_disk.is_empty() {
            return;
        }
        self.counts.bodies_sent += bodies.in_memory.len() as u64;
        let part = Box::new(self.partitions[&partition].copy_part(request.position, bodies.in_memory));
        if let Some(lead) = self.partitions.get_mut(&partition).and_then(|part| part.leader_state.as_mut()) {
            lead.record_copying_peer(from.clone(), part.last_op, now);
        }
        self.send(&from, PeerMessage::CopyPart { partition, epoch, part });
    }

    /// The requested bodies that exist, up to a limit. There is nothing to send for a
    /// record that was removed or whose body was released.
    fn bodies_of(&mut self, partition: &PartitionId, ids: &[MessageId], now: Time) -> Bodies {
        let mut bodies = Bodies::default();
        let mut size = 0;
        for id in ids {
            let Some(len) =
                self.partitions[partition].records.get(id).map(|record| record.header.len as usize).filter(|len| *len > 0)
            else {
                continue;
            };
            match self.body_of(partition, id) {
                Body::InMemory(body) => bodies.in_memory.push((id.clone(), body)),
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

    /// Starts reading bodies from disk; `waiter` is served once the last of them is read.
    /// Returns false if there is nothing to wait for.
    fn read_bodies_for(&mut self, partition: &PartitionId, ids: &[MessageId], waiter: BodyWaiter) -> bool {
        let Some((last, rest)) = ids.split_last() else { return false };
        let begun = rest.iter().all(|id| self.read_body_for(partition, id, BodyWaiter::Prefetch));
        begun && self.read_body_for(partition, last, waiter)
    }
}

impl PartitionReplica {
    /// The part of a copy that continues from `position`, or from the beginning if the
    /// operations since then are no longer kept.
    fn copy_part(&self, position: Option<CopyPosition>, bodies: Vec<(MessageId, Bytes)>) -> CopyPart {
        let since = position.and_then(|at| Some((self.ops_since(at.last_op)?, at)));
        let (ops, from) = match since {
            Some((ops, at)) => (ops, Some(at)),
            None => (Vec::new(), None),
        };
        let n = from.as_ref().map_or(self.last_op, |at| at.last_op + ops.len() as u64);
        // The records are those after the last operation. If some operations follow only
        // in a later part, records sent now would not match them.
        let (records, complete) = match n == self.last_op {
            true => self.records_after(from.as_ref().map(|at| &at.last_id)),
            false => (Vec::new(), false),
        };
        let is_known = |op: &PartitionOp| from.as_ref().is_some_and(|at| *op.id() <= at.last_id);
        let ops = ops.into_iter().filter(is_known).collect();
        CopyPart { from, ops, bodies, records, last_op: n, next_seq: self.next_seq, complete }
    }

    /// The operations after number `n`, as many as are sent at once. `None` if they are
    /// no longer kept.
    fn ops_since(&self, n: u64) -> Option<Vec<PartitionOp>> {
        match &self.leader_state {
            _ if n == self.last_op => Some(Vec::new()),
            Some(lead) if n < self.last_op => lead.retained_ops_from(n + 1, self.last_op),
            _ => None,
        }
    }

    /// The next records by id, and whether these are the last.
    fn records_after(&self, after: Option<&MessageId>) -> (Vec<(MessageHeader, Stage)>, bool) {
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.records.range::<MessageId, _>((begin, Bound::Unbounded)).map(|entry| entry.1);
        let mut rest = rest.filter(|record| !self.is_foreign(record)).peekable();
        let mut records = Vec::new();
        let mut size = 0;
        while let Some(record) = rest.next_if(|_| records.len() < MAX_RECORDS_PER_PART && size < MAX_RECORD_BYTES_PER_PART) {
            size += record_size(&record.header);
            records.push((record.header.clone(), record.stage));
        }
        (records, rest.peek().is_none())
    }
}
