//! A replica as the source of a whole copy.
use super::{Body, Parked};
use crate::partial_copy::record_size;
use crate::prelude::*;
use std::ops::Bound;

/// Bytes of bodies sent at once.
const BODIES_AT_ONCE: usize = 256 << 10;
/// Records sent at once, and bytes of theirs.
const RECORDS_AT_ONCE: usize = 1000;
const RECORD_BYTES_AT_ONCE: usize = 256 << 10;

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
    fn hands_out(&self, place: &PartitionId, epoch: Epoch) -> bool {
        let Some(part) = self.parts.get(place) else { return false };
        part.promised_epoch == epoch && part.leader_state.as_ref().is_none_or(LeaderState::has_complete_data)
    }

    /// A store that knows no parts is sent the list of all records.
    pub(super) fn on_fetch(&mut self, from: Daemon, place: PartitionId, epoch: Epoch) {
        if !self.hands_out(&place, epoch) {
            return;
        }
        let digest = self.parts[&place].snapshot();
        self.say(&from, PeerMessage::WholeCopy { partition: place, epoch, snapshot: digest });
    }

    /// Bytes by name: of a copy that goes by the list, or for a copy that is bad.
    pub(super) fn on_want(&mut self, from: Daemon, place: PartitionId, epoch: Epoch, ids: Vec<MessageId>, now: Time) {
        if !self.hands_out(&place, epoch) {
            return;
        }
        // One that copies is not silent, however long that takes.
        let peer = self.parts.get_mut(&place).and_then(|p| p.leader_state.as_mut()).and_then(|own| own.peers.get_mut(&from));
        if let Some(peer) = peer {
            peer.last_contact = now;
        }
        let bodies = self.bodies_of(&place, &ids, now);
        let who = Parked::Want { from: from.clone(), epoch, ids };
        if self.read_back(&place, &bodies.on_disk, who) {
            return;
        }
        self.counts.bodies_sent += bodies.here.len() as u64;
        self.say(&from, PeerMessage::Bodies { partition: place, epoch, entries: bodies.here });
    }

    /// The next part of a copy, once the bytes that go with it are at hand.
    pub(super) fn on_copy_request(&mut self, from: Daemon, place: PartitionId, epoch: Epoch, request: CopyRequest, now: Time) {
        if !self.hands_out(&place, epoch) {
            return;
        }
        // One that copies is not silent, however long that takes.
        let peer = self.parts.get_mut(&place).and_then(|p| p.leader_state.as_mut()).and_then(|own| own.peers.get_mut(&from));
        if let Some(peer) = peer {
            peer.last_contact = now;
        }
        let bodies = self.bodies_of(&place, &request.wanted, now);
        let who = Parked::CopyPart { from: from.clone(), epoch, request: request.clone() };
        if self.read_back(&place, &bodies.on_disk, who) {
            return;
        }
        // Too much is being read back now: it asks again.
        if bodies.here.is_empty() && !bodies.on_disk.is_empty() {
            return;
        }
        self.counts.bodies_sent += bodies.here.len() as u64;
        let part = Box::new(self.parts[&place].copy_part(request.position, bodies.here));
        if let Some(own) = self.parts.get_mut(&place).and_then(|p| p.leader_state.as_mut()) {
            own.record_copying_peer(from.clone(), part.last_op, now);
        }
        self.say(&from, PeerMessage::CopyPart { partition: place, epoch, part });
    }

    /// What there is of the bytes asked for, up to a bound. Of a record that is
    /// gone or has let go of its bytes there is nothing to send.
    fn bodies_of(&mut self, place: &PartitionId, ids: &[MessageId], now: Time) -> Bodies {
        let mut bodies = Bodies::default();
        let mut size = 0;
        for id in ids {
            let Some(len) = self.parts[place].records.get(id).map(|r| r.header.len as usize).filter(|len| *len > 0) else {
                continue;
            };
            match self.body_of(place, id) {
                Body::Here(body) => bodies.here.push((id.clone(), body)),
                Body::Later => bodies.on_disk.push(id.clone()),
                Body::Bad => {
                    self.found_bad(place, id, now);
                    continue;
                }
            }
            size += len;
            if size > BODIES_AT_ONCE {
                break;
            }
        }
        bodies
    }

    /// Begins to read bytes back; `who` is served once the last of them is
    /// here. False when there is nothing to wait for.
    fn read_back(&mut self, place: &PartitionId, ids: &[MessageId], who: Parked) -> bool {
        let Some((last, rest)) = ids.split_last() else { return false };
        let begun = rest.iter().all(|id| self.park(place, id, Parked::Soon));
        begun && self.park(place, last, who)
    }
}

impl PartitionReplica {
    /// The part of a copy that goes on from `position`; from the beginning, if
    /// the operations since then are no longer kept.
    fn copy_part(&self, position: Option<CopyPosition>, bodies: Vec<(MessageId, Bytes)>) -> CopyPart {
        let since = position.and_then(|at| Some((self.ops_since(at.last_op)?, at)));
        let (ops, from) = match since {
            Some((ops, at)) => (ops, Some(at)),
            None => (Vec::new(), None),
        };
        let n = from.as_ref().map_or(self.last_op, |at| at.last_op + ops.len() as u64);
        // Records stand at the last operation: with one that comes later in
        // another part they would not fit.
        let (records, complete) = match n == self.last_op {
            true => self.records_after(from.as_ref().map(|at| &at.last_id)),
            false => (Vec::new(), false),
        };
        let known = |op: &PartitionOp| from.as_ref().is_some_and(|at| *op.id() <= at.last_id);
        let ops = ops.into_iter().filter(known).collect();
        CopyPart { from, ops, bodies, records, last_op: n, next_seq: self.next_seq, complete }
    }

    /// Operations since the one numbered `n`, as many as are sent at once.
    fn ops_since(&self, n: u64) -> Option<Vec<PartitionOp>> {
        match &self.leader_state {
            _ if n == self.last_op => Some(Vec::new()),
            Some(own) if n < self.last_op => own.retained_ops_from(n + 1, self.last_op),
            _ => None,
        }
    }

    /// The next records by name, and whether none follow.
    fn records_after(&self, after: Option<&MessageId>) -> (Vec<(MessageHeader, Stage)>, bool) {
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.records.range::<MessageId, _>((begin, Bound::Unbounded)).map(|entry| entry.1).peekable();
        let mut records = Vec::new();
        let mut size = 0;
        while let Some(record) = rest.next_if(|_| records.len() < RECORDS_AT_ONCE && size < RECORD_BYTES_AT_ONCE) {
            size += record_size(&record.header);
            records.push((record.header.clone(), record.stage));
        }
        (records, rest.peek().is_none())
    }
}
