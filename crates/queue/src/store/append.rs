//! Replication: operations sent to the backups, their acknowledgements, and the commit
//! position.
use crate::prelude::*;

impl Store {
    /// Sends each backup the operations that it lacks.
    pub(super) fn replicate(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.own.as_ref()) else { return };
        for backup in lead.backups.keys().cloned().collect::<Vec<_>>() {
            self.replicate_to(partition, &backup, now);
        }
    }

    fn replicate_to(&mut self, partition: &PartitionId, backup: &Daemon, now: Time) {
        let Some(part) = self.partitions.get_mut(partition) else { return };
        let Some(lead) = part.own.as_mut() else { return };
        let last_op = part.n;
        let epoch = lead.epoch;
        let Some(acknowledged) = lead.peers.get(backup).and_then(|s| s.have) else { return };
        let sent = lead.peers.get(backup).map_or(acknowledged, |s| s.sent).max(acknowledged);
        if sent >= last_op || sent - acknowledged > 4 * 1024 {
            return;
        }
        let Some(ops) = lead.ops_from(sent + 1, last_op) else {
            // The operations it lacks are no longer kept: it needs a complete copy.
            if let Some(s) = lead.peers.get_mut(backup) {
                (s.have, s.short) = (None, true);
            }
            return;
        };
        if let Some(s) = lead.peers.get_mut(backup) {
            s.note_sent(sent + ops.len() as u64, now);
            if s.sent < last_op {
                self.to_replicate.insert(partition.clone());
            }
        }
        self.send(backup, PeerMessage::Append { partition: partition.clone(), epoch, first: sent + 1, ops });
    }

    pub(super) fn on_append(
        &mut self,
        from: Daemon,
        partition: PartitionId,
        epoch: Epoch,
        first: u64,
        ops: Vec<PartitionOp>,
        now: Time,
    ) {
        // Without an acknowledgement the leader chooses another backup.
        if self.is_disk_stuck() {
            return;
        }
        let part = self.partitions.entry(partition.clone()).or_default();
        if epoch < part.promised {
            let promised = part.promised;
            self.counts.fenced_requests += 1;
            return self.send(&from, PeerMessage::FenceRefused { partition, promised_epoch: promised });
        }
        if part.installed != epoch || first > part.n + 1 {
            let (installed, n) = (part.installed, part.n);
            return self.send(&from, PeerMessage::AppendGap { partition, epoch, installed_epoch: installed, last_op: n });
        }
        let file_version = self.ledger.next();
        for (at, op) in ops.into_iter().enumerate() {
            let n = first + at as u64;
            if n <= part.n {
                continue;
            }
            if let PartitionOp::Put(header, _, body) = &op {
                if !header.matches(body) {
                    break;
                }
            }
            self.held_bytes += part.apply(&partition, &op, file_version, now, &mut self.ledger);
            self.body_cache.insert_op(&partition, &op);
            part.n = n;
            self.ledger.push(Line::Op { place: partition.clone(), n, op });
        }
        let up_to = part.n;
        self.after_sync(Then::Ack { to: from, place: partition, epoch, upto: up_to });
    }

    pub(super) fn on_appended(
        &mut self,
        from: Daemon,
        partition: PartitionId,
        epoch: Epoch,
        up_to: u64,
        disk_id: IncarnationId,
        now: Time,
    ) {
        let Some(part) = self.partitions.get_mut(&partition) else { return };
        let last_op = part.n;
        let Some(lead) = part.own.as_mut() else { return };
        if lead.epoch != epoch || up_to > last_op {
            return;
        }
        let is_counted = lead.counts(&from, disk_id);
        // If it lacks operations, the first of them has to be kept here still.
        let is_resendable = up_to == last_op || lead.op(up_to + 1, last_op).is_some();
        let peer = lead.peers.entry(from.clone()).or_default();
        peer.short = !is_resendable;
        peer.note_acknowledged(up_to, now);
        peer.mark = disk_id;
        let is_first_acknowledgement = peer.have.is_none();
        peer.have = Some(peer.have.unwrap_or(0).max(up_to));
        peer.sent = peer.sent.max(up_to);
        if is_first_acknowledgement {
            peer.sent = up_to;
        }
        if !is_counted {
            if !lead.covers(&from, up_to) {
                // The copy was made for an earlier replacement and lacks operations: it
                // is made again.
                let Some(peer) = lead.peers.get_mut(&from) else { return };
                (peer.have, peer.short, peer.asked) = (None, true, Time(0));
                return;
            }
            // A complete copy under a new disk id: placement may count it from now on.
            if lead.whole.insert(from, disk_id) != Some(disk_id) {
                self.link.pull_now(now);
            }
            return;
        }
        lead.whole.remove(&from);
        lead.end_copying(&from);
        self.to_replicate.insert(partition.clone());
        self.advance_commit(&partition, now);
    }

    pub(super) fn on_append_gap(
        &mut self,
        from: Daemon,
        partition: PartitionId,
        epoch: Epoch,
        installed_epoch: Epoch,
        last_op: u64,
        now: Time,
    ) {
        let Some(lead) = self.partitions.get_mut(&partition).and_then(|part| part.own.as_mut()) else { return };
        if lead.epoch != epoch {
            return;
        }
        let expected = lead.was;
        let disk_id = lead.set.iter().find(|s| s.0 == from).map_or(IncarnationId(0), |s| s.1);
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.heard = now;
        if installed_epoch == epoch {
            peer.sent = last_op;
            peer.have = peer.have.map(|h| h.min(last_op));
            self.to_replicate.insert(partition);
            return;
        }
        peer.have = None;
        peer.asked = now;
        self.send(&from, PeerMessage::Lagging { partition, epoch, expected, disk_id, must_fetch: false });
    }

    pub(super) fn on_own_ops_synced(&mut self, partition: &PartitionId, epoch: Epoch, up_to: u64, now: Time) {
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return };
        if lead.epoch != epoch {
            return;
        }
        lead.adopted = true;
        lead.durable = lead.durable.max(up_to);
        self.advance_commit(partition, now);
    }

    /// Advances the commit position: an operation is committed once it is synced here and
    /// on enough peers that count, at least one of them in another zone.
    pub(super) fn advance_commit(&mut self, partition: &PartitionId, now: Time) {
        let zone = self.startup.me.zone.clone();
        let members = &self.link.members;
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return };
        if !lead.adopted {
            return;
        }
        let is_leaving = |d: &Daemon| lead.swap.as_ref().is_some_and(|s| s.0 == *d);
        let is_in_other_zone = |d: &Daemon| members.get(d).is_some_and(|m| m.zone != zone);
        let mut copies: Vec<(u64, bool)> = lead
            .peers
            .iter()
            .filter(|(d, s)| lead.counts(d, s.mark) && !is_leaving(d))
            .filter_map(|(d, s)| Some((s.have?, is_in_other_zone(d))))
            .collect();
        copies.sort_by(|a, b| b.cmp(a));
        let Some(on_enough_copies) = copies.get(lead.backups_needed() - 1).map(|c| c.0) else { return };
        let Some(in_other_zone) = copies.iter().filter(|c| c.1).map(|c| c.0).max() else { return };
        let committable = on_enough_copies.min(in_other_zone);
        if lead.phase == Phase::Spreading {
            self.set_phase(partition, Phase::Serving, now);
        }
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return };
        lead.committed = lead.committed.max(committable.min(lead.durable));
        let still_waiting = lead.waits.split_off(&(lead.committed + 1));
        let committed = std::mem::replace(&mut lead.waits, still_waiting);
        for wait in committed.into_values().flatten() {
            self.on_committed(partition, wait, now);
        }
    }
}
