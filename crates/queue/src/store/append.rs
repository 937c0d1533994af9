//! Operations sent to the backups, their acknowledgements, and what stands.
use crate::prelude::*;

impl Store {
    /// Sends each backup what it lacks of the latest ops.
    pub(super) fn spread(&mut self, place: &PartitionId, now: Time) {
        let Some(own) = self.parts.get(place).and_then(|p| p.leader_state.as_ref()) else { return };
        for backup in own.backups.keys().cloned().collect::<Vec<_>>() {
            self.spread_to(place, &backup, now);
        }
    }

    fn spread_to(&mut self, place: &PartitionId, backup: &Daemon, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(own) = p.leader_state.as_mut() else { return };
        let top = p.last_op;
        let epoch = own.epoch;
        let Some(have) = own.peers.get(backup).and_then(|s| s.synced_op) else { return };
        let sent = own.peers.get(backup).map_or(have, |s| s.sent_op).max(have);
        if sent >= top || sent - have > 4 * 1024 {
            return;
        }
        let Some(ops) = own.retained_ops_from(sent + 1, top) else {
            // Too far behind for the ops kept: it copies the whole.
            if let Some(s) = own.peers.get_mut(backup) {
                (s.synced_op, s.must_fetch) = (None, true);
            }
            return;
        };
        if let Some(s) = own.peers.get_mut(backup) {
            s.record_sent(sent + ops.len() as u64, now);
            if s.sent_op < top {
                self.dirty.insert(place.clone());
            }
        }
        self.say(backup, PeerMessage::Append { partition: place.clone(), epoch, first: sent + 1, ops });
    }

    pub(super) fn on_append(
        &mut self,
        from: Daemon,
        place: PartitionId,
        epoch: Epoch,
        first: u64,
        ops: Vec<PartitionOp>,
        now: Time,
    ) {
        // Unacknowledged, the second copy goes to another peer.
        if self.refuses_writes() {
            return;
        }
        let p = self.parts.entry(place.clone()).or_default();
        if epoch < p.promised_epoch {
            let promised = p.promised_epoch;
            self.counts.fenced += 1;
            return self.say(&from, PeerMessage::FenceRefused { partition: place, promised_epoch: promised });
        }
        if p.installed_epoch != epoch || first > p.last_op + 1 {
            let (installed, n) = (p.installed_epoch, p.last_op);
            return self.say(&from, PeerMessage::AppendGap { partition: place, epoch, installed_epoch: installed, last_op: n });
        }
        let home = self.ledger.next_save();
        for (at, op) in ops.into_iter().enumerate() {
            let n = first + at as u64;
            if n <= p.last_op {
                continue;
            }
            if let PartitionOp::Put(head, _, body) = &op {
                if !head.matches(body) {
                    break;
                }
            }
            self.held_bytes += p.apply(&place, &op, home, now, &mut self.ledger);
            self.cache.note(&place, &op);
            p.last_op = n;
            self.ledger.push(JournalEntry::Op { partition: place.clone(), number: n, op });
        }
        let upto = p.last_op;
        self.later(SyncAction::AcknowledgeOps { to: from, partition: place, epoch, up_to: upto });
    }

    pub(super) fn on_appended(
        &mut self,
        from: Daemon,
        place: PartitionId,
        epoch: Epoch,
        upto: u64,
        mark: IncarnationId,
        now: Time,
    ) {
        let Some(p) = self.parts.get_mut(&place) else { return };
        let top = p.last_op;
        let Some(own) = p.leader_state.as_mut() else { return };
        if own.epoch != epoch || upto > top {
            return;
        }
        let counts = own.is_counted(&from, mark);
        // The last op it lacks must be kept, if it lacks any.
        let kept = upto == top || own.retained_op(upto + 1, top).is_some();
        let peer = own.peers.entry(from.clone()).or_default();
        peer.must_fetch = !kept;
        peer.record_ack(upto, now);
        peer.disk_id = mark;
        let first = peer.synced_op.is_none();
        peer.synced_op = Some(peer.synced_op.unwrap_or(0).max(upto));
        peer.sent_op = peer.sent_op.max(upto);
        if first {
            peer.sent_op = upto;
        }
        if !counts {
            if !own.is_copy_sufficient(&from, upto) {
                // Made for an earlier replacement: it is copied once more.
                let Some(peer) = own.peers.get_mut(&from) else { return };
                (peer.synced_op, peer.must_fetch, peer.last_request) = (None, true, Time(0));
                return;
            }
            // A copy made whole under a new mark: placement may count it now.
            if own.complete_copies.insert(from, mark) != Some(mark) {
                self.link.pull_now(now);
            }
            return;
        }
        own.complete_copies.remove(&from);
        own.remove_copying_peer(&from);
        self.dirty.insert(place.clone());
        self.commit(&place, now);
    }

    pub(super) fn on_gap(&mut self, from: Daemon, place: PartitionId, epoch: Epoch, installed: Epoch, n: u64, now: Time) {
        let Some(own) = self.parts.get_mut(&place).and_then(|p| p.leader_state.as_mut()) else { return };
        if own.epoch != epoch {
            return;
        }
        let was = own.recovered_state;
        let mark = own.write_set.iter().find(|s| s.0 == from).map_or(IncarnationId(0), |s| s.1);
        let Some(peer) = own.peers.get_mut(&from) else { return };
        peer.last_contact = now;
        if installed == epoch {
            peer.sent_op = n;
            peer.synced_op = peer.synced_op.map(|h| h.min(n));
            self.dirty.insert(place);
            return;
        }
        peer.synced_op = None;
        peer.last_request = now;
        self.say(&from, PeerMessage::Lagging { partition: place, epoch, expected: was, disk_id: mark, must_fetch: false });
    }

    pub(super) fn own_durable(&mut self, place: &PartitionId, epoch: Epoch, upto: u64, now: Time) {
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        if own.epoch != epoch {
            return;
        }
        own.adoption_synced = true;
        own.durable = own.durable.max(upto);
        self.commit(place, now);
    }

    /// What is synced here and on enough counting peers, one of them in
    /// another zone, stands.
    pub(super) fn commit(&mut self, place: &PartitionId, now: Time) {
        let zone = self.startup.me.zone.clone();
        let members = &self.link.members;
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        if !own.adoption_synced {
            return;
        }
        let leaves = |d: &Daemon| own.replacement.as_ref().is_some_and(|s| s.0 == *d);
        let far = |d: &Daemon| members.get(d).is_some_and(|m| m.zone != zone);
        let mut copies: Vec<(u64, bool)> = own
            .peers
            .iter()
            .filter(|(d, s)| own.is_counted(d, s.disk_id) && !leaves(d))
            .filter_map(|(d, s)| Some((s.synced_op?, far(d))))
            .collect();
        copies.sort_by(|a, b| b.cmp(a));
        let Some(enough) = copies.get(own.backups_needed() - 1).map(|c| c.0) else { return };
        let Some(elsewhere) = copies.iter().filter(|c| c.1).map(|c| c.0).max() else { return };
        let best = enough.min(elsewhere);
        if own.phase == Phase::AwaitingBackups {
            self.turn(place, Phase::Serving, now);
        }
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        own.committed = own.committed.max(best.min(own.durable));
        let rest = own.commit_actions.split_off(&(own.committed + 1));
        let done = std::mem::replace(&mut own.commit_actions, rest);
        for wait in done.into_values().flatten() {
            self.committed(place, wait, now);
        }
    }
}
