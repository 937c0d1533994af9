//! Replication: operations sent to the backups, their acknowledgements, and the commit
//! position.
use crate::prelude::*;

impl Store {
    /// Sends each backup the operations that it lacks.
    pub(super) fn replicate(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.leader_state.as_ref()) else { return };
        for backup in lead.backups.keys().cloned().collect::<Vec<_>>() {
            self.replicate_to(partition, &backup, now);
        }
    }

    fn replicate_to(&mut self, partition: &PartitionId, backup: &Daemon, now: Time) {
        let Some(part) = self.partitions.get_mut(partition) else { return };
        let Some(lead) = part.leader_state.as_mut() else { return };
        let last_op = part.last_op;
        let epoch = lead.epoch;
        let Some(acknowledged) = lead.peers.get(backup).and_then(|s| s.synced_op) else { return };
        let sent = lead.peers.get(backup).map_or(acknowledged, |s| s.sent_op).max(acknowledged);
        if sent >= last_op || sent - acknowledged > 4 * 1024 {
            return;
        }
        let Some(ops) = lead.retained_ops_from(sent + 1, last_op) else {
            // The operations it lacks are no longer kept: it needs a complete copy.
            if let Some(s) = lead.peers.get_mut(backup) {
                (s.synced_op, s.must_fetch) = (None, true);
            }
            return;
        };
        if let Some(s) = lead.peers.get_mut(backup) {
            s.record_sent(sent + ops.len() as u64, now);
            if s.sent_op < last_op {
                self.to_replicate.insert(partition.clone());
            }
        }
        self.send(backup, PeerMessage::Append { partition: partition.clone(), epoch, first_op: sent + 1, ops });
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
        if epoch < part.promised_epoch {
            let promised = part.promised_epoch;
            self.counts.fenced_requests += 1;
            return self.send(&from, PeerMessage::FenceRefused { partition, promised_epoch: promised });
        }
        if part.installed_epoch != epoch || first > part.last_op + 1 {
            let (installed, n) = (part.installed_epoch, part.last_op);
            return self.send(&from, PeerMessage::AppendGap { partition, epoch, installed_epoch: installed, last_op: n });
        }
        let file_version = self.journal.next_save();
        for (at, op) in ops.into_iter().enumerate() {
            let n = first + at as u64;
            if n <= part.last_op {
                continue;
            }
            if let PartitionOp::Put(header, _, body) = &op {
                if !header.matches(body) {
                    break;
                }
            }
            self.held_bytes += part.apply(&partition, &op, file_version, now, &mut self.journal);
            self.body_cache.insert_op(&partition, &op);
            part.last_op = n;
            self.journal.push(JournalEntry::Op { partition: partition.clone(), number: n, op });
        }
        let up_to = part.last_op;
        self.after_sync(SyncAction::AcknowledgeOps { to: from, partition, epoch, up_to });
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
        let last_op = part.last_op;
        let Some(lead) = part.leader_state.as_mut() else { return };
        if lead.epoch != epoch || up_to > last_op {
            return;
        }
        let is_counted = lead.is_counted(&from, disk_id);
        // If it lacks operations, the first of them has to be kept here still.
        let is_resendable = up_to == last_op || lead.retained_op(up_to + 1, last_op).is_some();
        let peer = lead.peers.entry(from.clone()).or_default();
        peer.must_fetch = !is_resendable;
        peer.record_ack(up_to, now);
        peer.disk_id = disk_id;
        let is_first_acknowledgement = peer.synced_op.is_none();
        peer.synced_op = Some(peer.synced_op.unwrap_or(0).max(up_to));
        peer.sent_op = peer.sent_op.max(up_to);
        if is_first_acknowledgement {
            peer.sent_op = up_to;
        }
        if !is_counted {
            if !lead.is_copy_sufficient(&from, up_to) {
                // The copy was made for an earlier replacement and lacks operations: it
                // is made again.
                let Some(peer) = lead.peers.get_mut(&from) else { return };
                (peer.synced_op, peer.must_fetch, peer.last_request) = (None, true, Time(0));
                return;
            }
            // A complete copy under a new disk id: placement may count it from now on.
            if lead.complete_copies.insert(from, disk_id) != Some(disk_id) {
                self.link.pull_now(now);
            }
            return;
        }
        lead.complete_copies.remove(&from);
        lead.remove_copying_peer(&from);
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
        let Some(lead) = self.partitions.get_mut(&partition).and_then(|part| part.leader_state.as_mut()) else { return };
        if lead.epoch != epoch {
            return;
        }
        let expected = lead.recovered_state;
        let disk_id = lead.write_set.iter().find(|s| s.0 == from).map_or(IncarnationId(0), |s| s.1);
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.last_contact = now;
        if installed_epoch == epoch {
            peer.sent_op = last_op;
            peer.synced_op = peer.synced_op.map(|h| h.min(last_op));
            self.to_replicate.insert(partition);
            return;
        }
        peer.synced_op = None;
        peer.last_request = now;
        self.send(&from, PeerMessage::Lagging { partition, epoch, expected, disk_id, must_fetch: false });
    }

    pub(super) fn on_own_ops_synced(&mut self, partition: &PartitionId, epoch: Epoch, up_to: u64, now: Time) {
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        if lead.epoch != epoch {
            return;
        }
        lead.adoption_synced = true;
        lead.durable = lead.durable.max(up_to);
        self.advance_commit(partition, now);
    }

    /// Advances the commit position: an operation is committed once it is synced here and
    /// on enough peers that count, at least one of them in another zone.
    pub(super) fn advance_commit(&mut self, partition: &PartitionId, now: Time) {
        let zone = self.startup.me.zone.clone();
        let members = &self.link.members;
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        if !lead.adoption_synced {
            return;
        }
        let is_leaving = |d: &Daemon| lead.replacement.as_ref().is_some_and(|s| s.0 == *d);
        let is_in_other_zone = |d: &Daemon| members.get(d).is_some_and(|m| m.zone != zone);
        let mut copies: Vec<(u64, bool)> = lead
            .peers
            .iter()
            .filter(|(d, s)| lead.is_counted(d, s.disk_id) && !is_leaving(d))
            .filter_map(|(d, s)| Some((s.synced_op?, is_in_other_zone(d))))
            .collect();
        copies.sort_by(|a, b| b.cmp(a));
        let Some(on_enough_copies) = copies.get(lead.backups_needed() - 1).map(|c| c.0) else { return };
        let Some(in_other_zone) = copies.iter().filter(|c| c.1).map(|c| c.0).max() else { return };
        let committable = on_enough_copies.min(in_other_zone);
        if lead.phase == Phase::AwaitingBackups {
            self.set_phase(partition, Phase::Serving, now);
        }
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        lead.committed = lead.committed.max(committable.min(lead.durable));
        let still_waiting = lead.commit_actions.split_off(&(lead.committed + 1));
        let committed = std::mem::replace(&mut lead.commit_actions, still_waiting);
        for wait in committed.into_values().flatten() {
            self.on_committed(partition, wait, now);
        }
    }
}
