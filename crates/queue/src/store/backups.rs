//! The peers that the leader of a partition maintains: the backups that receive every
//! operation, and stores whose copy does not count yet.
use crate::prelude::*;

/// A backup that owes an acknowledgement for this percentage of a lease is replaced, and
/// sooner if it used to respond fast.
const BACKUP_TIMEOUT_LEASE_PERCENT: u64 = 30;
/// A backup that lacks operations is sent them, or offered a copy, again after this.
const BACKUP_RETRY_DELAY: Span = Span::millis(300);
/// A store of the write set that needs a complete copy is notified again after this.
const SEAT_COPY_RETRY_DELAY: Span = Span::secs(1);
const FENCE_RETRY_DELAY: Span = Span::secs(1);
/// A backup in this zone is added at most once in this time.
const SAME_ZONE_BACKUP_RETRY_DELAY: Span = Span::secs(4);
/// The backup is moved only within this time after a partition was opened.
const BACKUP_REBALANCE_WINDOW: Span = Span::secs(2);
/// A partition that lacks copies for this long is logged.
const MISSING_COPIES_LOG_DELAY: Span = Span::secs(3);

impl Store {
    /// Chooses the backups, the peers that receive every operation: as many as must have
    /// it besides this store, at least one of them in another zone. A `lost` backup is
    /// replaced by the next peer, if there is another.
    pub(super) fn choose_backups(&mut self, partition: &PartitionId, lost: Option<&Daemon>, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let zone = self.startup.me.zone.clone();
        let is_far = |d: &Daemon| zones.get(d).is_some_and(|z| *z != zone);
        let candidates = self.backup_candidates(partition, &zones);
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        let needed = lead.backups_needed();
        if lost.is_some_and(|lost| !is_far(lost)) {
            lead.same_zone_backup_changed_at = now;
        }
        lead.backups.retain(|d, _| candidates.contains(d) && Some(d) != lost);
        // The peer after the lost one comes first, the lost one itself last.
        let start = lost.and_then(|lost| candidates.iter().position(|d| d == lost)).map_or(0, |at| at + 1);
        let candidates_in_order: Vec<&Daemon> = candidates.iter().cycle().skip(start).take(candidates.len()).collect();
        let mut added = Vec::new();
        while lead.backups.len() < needed {
            let is_last_needed = lead.backups.len() + 1 == needed;
            let must_be_far = is_last_needed && !lead.backups.keys().any(is_far);
            let is_eligible = |d: &&&Daemon| !lead.backups.contains_key(**d) && (!must_be_far || is_far(d));
            let Some(next) = candidates_in_order.iter().find(is_eligible).map(|d| (*d).clone()) else { break };
            lead.backups.insert(next.clone(), now);
            added.push(next);
        }
        added.retain(|d| Some(d) != lost);
        if added.is_empty() {
            return;
        }
        lead.last_request = Time(0);
        if lost.is_some() {
            let names: Vec<String> = added.iter().map(|d| d.to_string()).collect();
            self.log(LogEvent::BackupChosen, format!("{partition} now {}", names.join(", ")));
        }
        self.maintain_backups(partition, now);
    }

    /// The peers that may be backups of a partition, the best first.
    fn backup_candidates(&self, partition: &PartitionId, zones: &BTreeMap<Daemon, Zone>) -> Vec<Daemon> {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.leader_state.as_ref()) else { return Vec::new() };
        let me = &self.startup.me;
        let is_leaving = |d: &Daemon| lead.replacement.as_ref().is_some_and(|s| s.0 == *d);
        // A single backup has to be in another zone; of several, some may be in this
        // zone.
        let same_zone_allowed = lead.backups_needed() > 1;
        let is_in_allowed_zone = |d: &Daemon| zones.get(d).is_some_and(|z| same_zone_allowed || *z != me.zone);
        let mut candidates: Vec<Daemon> = lead
            .write_set
            .iter()
            .map(|s| s.0.clone())
            .filter(|d| *d != me.id && is_in_allowed_zone(d) && !is_leaving(d))
            .collect();
        if candidates.is_empty() {
            return candidates;
        }
        let offset = hash_of(partition.to_string().as_bytes()) as usize % candidates.len();
        candidates.rotate_left(offset);
        // Fenced peers have shown that they are reachable. A peer that lost its folder
        // does not count until its new folder is known to all. Among equals those in this
        // zone come first, so that each operation leaves the zone as seldom as possible.
        let fitness = |d: &Daemon| match lead.disk_id_of(d) {
            None => 1,
            Some(disk_id) if lead.is_counted(d, disk_id) => 0,
            Some(_) => 2,
        };
        let is_far = |d: &Daemon| zones.get(d).is_none_or(|z| *z != me.zone);
        candidates.sort_by_key(|d| (fitness(d), is_far(d)));
        candidates
    }

    /// A connection to a peer was closed. Where something waits for its acknowledgement,
    /// another backup is chosen at once.
    pub(super) fn on_peer_disconnected(&mut self, peer: &Daemon, now: Time) {
        let awaits_peer = |part: &PartitionReplica| {
            part.leader_state.as_ref().is_some_and(|o| o.backups.contains_key(peer) && !o.commit_actions.is_empty())
        };
        let affected: Vec<PartitionId> =
            self.partitions.iter().filter(|(_, part)| awaits_peer(part)).map(|(k, _)| k.clone()).collect();
        for partition in affected {
            self.choose_backups(&partition, Some(peer), now);
        }
    }

    /// Replaces silent backups of the partitions where somebody waits for an operation to
    /// be committed.
    pub(super) fn replace_silent_backups(&mut self, now: Time) {
        if self.stall_detector.is_catching_up(now) {
            return;
        }
        let longest = self.startup.lease_terms.length.percent(BACKUP_TIMEOUT_LEASE_PERCENT);
        let has_silent_backup = |lead: &LeaderState| {
            let patience = SilenceLimits { min: lead.min_silence.current(now), max: longest };
            let is_silent =
                |backup: &Daemon, since: &Time| lead.peers.get(backup).is_some_and(|s| s.is_silent(*since, patience, now));
            !lead.commit_actions.is_empty() && lead.backups.iter().any(|(backup, since)| is_silent(backup, since))
        };
        let affected: Vec<PartitionId> = self
            .partitions
            .iter()
            .filter(|(_, part)| part.leader_state.as_ref().is_some_and(has_silent_backup))
            .map(|(partition, _)| partition.clone())
            .collect();
        for partition in affected {
            if self.link.active_epoch(&Duty::Lead(partition.clone()), now).is_some() {
                self.maintain_backups(&partition, now);
            }
        }
    }

    /// Maintains the backups, and the stores of the write set whose copy does not count
    /// yet.
    pub(super) fn maintain_backups(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.leader_state.as_ref()) else { return };
        if lead.backups.is_empty() {
            self.choose_backups(partition, None, now);
        }
        let (mut to_copy, lost) = self.check_backups(partition, now);
        to_copy.extend(self.stores_needing_copy(partition, now));
        self.fence_unfenced(partition, now);
        for peer in to_copy {
            self.offer_copy(partition, peer);
        }
        self.track_missing_copies(partition, now);
        self.to_replicate.insert(partition.clone());
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.leader_state.as_ref()) else { return };
        if lost.is_some() || lead.backups.len() < lead.backups_needed() {
            return self.choose_backups(partition, lost.as_ref(), now);
        }
        self.add_same_zone_backup(partition, now);
        self.rebalance_backup(partition, now);
    }

    /// Spreads second copies over the stores. Where one backup is needed, it is the store
    /// that answered first when the partition was fenced. For partitions that are opened
    /// at the same time that may be the same store, and its loss would stall all of them.
    /// So once all stores of the write set have answered, the partition's own first
    /// candidate becomes the backup, provided it was at the same operation as the
    /// partition when it was fenced: then nothing has to be copied.
    fn rebalance_backup(&mut self, partition: &PartitionId, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.leader_state.as_ref()) else { return };
        if lead.phase != Phase::Serving || lead.backups_needed() != 1 || lead.balancing == BackupBalancing::Done {
            return;
        }
        let preferred = match lead.balancing {
            BackupBalancing::NotStarted => self.backup_candidates(partition, &zones).into_iter().next(),
            _ => None,
        };
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        match lead.balancing.clone() {
            BackupBalancing::NotStarted if now.since(lead.serving_since) > BACKUP_REBALANCE_WINDOW => {
                lead.balancing = BackupBalancing::Done
            }
            BackupBalancing::NotStarted => {
                if lead.fenced_replicas.len() + 1 < lead.write_set.len() {
                    return;
                }
                lead.balancing = BackupBalancing::Done;
                let Some(preferred) = preferred.filter(|d| !lead.backups.contains_key(d)) else { return };
                let fenced_state =
                    lead.fenced_replicas.get(&preferred).filter(|replica| lead.is_counted(&preferred, replica.disk_id));
                if fenced_state.is_some_and(|replica| lead.recovered_state == Some((replica.installed_epoch, replica.last_op))) {
                    lead.backups.insert(preferred.clone(), now);
                    lead.balancing = BackupBalancing::CatchingUp(preferred);
                }
            }
            BackupBalancing::CatchingUp(preferred) if !lead.backups.contains_key(&preferred) => {
                lead.balancing = BackupBalancing::Done
            }
            BackupBalancing::CatchingUp(preferred) => {
                if lead.is_caught_up(&preferred) {
                    lead.backups.retain(|backup, _| *backup == preferred);
                    lead.balancing = BackupBalancing::Done;
                } else if now.since(lead.serving_since) > BACKUP_REBALANCE_WINDOW && lead.backups.len() > 1 {
                    lead.backups.remove(&preferred);
                    lead.balancing = BackupBalancing::Done;
                }
            }
            BackupBalancing::Done => {}
        }
    }

    /// Adds a backup in this zone where all backups are in other zones, as may be after
    /// an opening or a failure: each operation then crosses zones once less. Until it has
    /// caught up there is one backup more than needed.
    fn add_same_zone_backup(&mut self, partition: &PartitionId, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let this_zone = self.startup.me.zone.clone();
        let is_in_this_zone = |d: &Daemon| zones.get(d).is_some_and(|z| *z == this_zone);
        let candidates = self.backup_candidates(partition, &zones);
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        if lead.phase != Phase::Serving || lead.backups_needed() < 2 {
            return;
        }
        if lead.backups.len() > lead.backups_needed() {
            return lead.remove_backup_in_other_zone(is_in_this_zone);
        }
        if lead.backups.keys().any(is_in_this_zone) || now.since(lead.same_zone_backup_changed_at) < SAME_ZONE_BACKUP_RETRY_DELAY
        {
            return;
        }
        let is_counted = |d: &Daemon| lead.disk_id_of(d).is_some_and(|disk_id| lead.is_counted(d, disk_id));
        let Some(next) = candidates.into_iter().find(|d| is_in_this_zone(d) && is_counted(d)) else { return };
        lead.same_zone_backup_changed_at = now;
        lead.backups.insert(next, now);
        lead.last_request = Time(0);
    }

    /// Returns the backups that need a complete copy, and one that has to be replaced: it
    /// lags and has not responded for a while, it leaves the write set, or it came back
    /// without its disk, so that nothing it holds counts until its new folder is in the
    /// write set.
    fn check_backups(&mut self, partition: &PartitionId, now: Time) -> (Vec<Daemon>, Option<Daemon>) {
        let longest = self.startup.lease_terms.length.percent(BACKUP_TIMEOUT_LEASE_PERCENT);
        let is_catching_up = self.stall_detector.is_catching_up(now);
        let (members, this_zone) = (&self.link.members, &self.startup.me.zone);
        let is_far = |d: &Daemon| members.get(d).is_some_and(|member| member.zone != *this_zone);
        let (mut to_copy, mut lost) = (Vec::new(), None);
        let Some(part) = self.partitions.get_mut(partition) else { return (to_copy, lost) };
        let Some(lead) = part.leader_state.as_mut() else { return (to_copy, lost) };
        let last_op = part.last_op;
        let patience = SilenceLimits { min: lead.min_silence.current(now), max: longest };
        for (backup, since) in lead.backups.clone() {
            let has_empty_disk = lead.has_lost_disk(&backup) && lead.has_alternative_backup(&backup, &self.startup.me.id, is_far);
            let peer = lead.peers.entry(backup.clone()).or_default();
            let is_behind = peer.update_behind(last_op, now);
            let is_silent = !is_catching_up && peer.is_silent(since, patience, now);
            let is_leaving = lead.replacement.as_ref().is_some_and(|s| s.0 == backup);
            if (is_behind && is_silent) || is_leaving || has_empty_disk {
                if lost.is_none() && !is_leaving && !has_empty_disk {
                    lead.min_silence.record_replacement(longest, now);
                }
                lost.get_or_insert(backup);
                continue;
            }
            if is_behind && now.since(peer.last_request) > BACKUP_RETRY_DELAY {
                peer.last_request = now;
                match peer.synced_op {
                    None => to_copy.push(backup.clone()),
                    Some(h) => peer.sent_op = h,
                }
            }
        }
        (to_copy, lost)
    }

    /// Stores of the write set whose folder is not the one that counts, and the store
    /// that joins the set. A leader that waits for a copy in another zone copies to them
    /// too: one of them may be the only store there.
    fn stores_needing_copy(&mut self, partition: &PartitionId, now: Time) -> Vec<Daemon> {
        let mut to_copy = Vec::new();
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return to_copy };
        if !lead.has_complete_data() {
            return to_copy;
        }
        let joining_seat = lead.replacement.iter().map(|s| (s.1.clone(), IncarnationId(0)));
        for (store, counted_disk_id) in lead.write_set.clone().into_iter().chain(joining_seat) {
            let current_disk_id = self.link.members.get(&store).map(|m| m.disk_id);
            if store == self.startup.me.id || current_disk_id.is_none_or(|m| m == counted_disk_id) {
                continue;
            }
            let is_complete = lead.complete_copies.get(&store) == current_disk_id.as_ref();
            let peer = lead.peers.entry(store.clone()).or_default();
            if !is_complete && now.since(peer.last_request) > SEAT_COPY_RETRY_DELAY {
                peer.last_request = now;
                to_copy.push(store);
            }
        }
        to_copy
    }

    /// Stores of the write set whose present folder is not the one that counts, or that
    /// are no members any more. A member that is unreachable may come back with its
    /// folder, so it is not among them.
    pub(super) fn seats_without_copy(&self, lead: &LeaderState) -> Vec<Daemon> {
        let has_other_folder =
            |seat: &&(Daemon, IncarnationId)| self.link.members.get(&seat.0).is_none_or(|member| member.disk_id != seat.1);
        lead.write_set.iter().filter(has_other_folder).map(|seat| seat.0.clone()).collect()
    }

    /// Records since when copies are missing, and logs it if that lasts.
    fn track_missing_copies(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.leader_state.as_ref()) else { return };
        let (shortage, missing) = (lead.missing_copies, self.seats_without_copy(lead));
        let names: Vec<String> = missing.iter().map(Daemon::to_string).collect();
        let new_shortage = match shortage {
            _ if missing.is_empty() => None,
            None => Some(MissingCopies { since: now, reported: false }),
            Some(known) => {
                Some(MissingCopies { reported: known.reported || now.since(known.since) > MISSING_COPIES_LOG_DELAY, ..known })
            }
        };
        let (was_logged, is_logged) = (shortage.is_some_and(|s| s.reported), new_shortage.is_some_and(|s| s.reported));
        if is_logged && !was_logged {
            self.log(LogEvent::TooFewCopies, format!("{partition} lacks {}", names.join(", ")));
        }
        if was_logged && new_shortage.is_none() {
            self.log(LogEvent::CopiesRestored, partition.to_string());
        }
        if let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) {
            lead.missing_copies = new_shortage;
        }
    }

    /// Fences stores of the write set that were never fenced, as they may have come back.
    fn fence_unfenced(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        let me = &self.startup.me.id;
        let unfenced: Vec<Daemon> = lead
            .write_set
            .iter()
            .map(|seat| seat.0.clone())
            .filter(|d| d != me && !lead.fenced_replicas.contains_key(d))
            .collect();
        if lead.phase != Phase::Serving || unfenced.is_empty() || now.since(lead.last_request) <= FENCE_RETRY_DELAY {
            return;
        }
        lead.last_request = now;
        let epoch = lead.epoch;
        for store in unfenced {
            self.send(&store, PeerMessage::Fence { partition: partition.clone(), epoch });
        }
    }

    /// Tells a peer that it lacks this epoch, so that it requests a copy.
    fn offer_copy(&mut self, partition: &PartitionId, peer: Daemon) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.leader_state.as_ref()) else { return };
        let disk_id = lead.write_set.iter().find(|seat| seat.0 == peer).map_or(IncarnationId(0), |seat| seat.1);
        let must_fetch = lead.peers.get(&peer).is_some_and(|s| s.must_fetch);
        let message = PeerMessage::Lagging {
            partition: partition.clone(),
            epoch: lead.epoch,
            expected: lead.recovered_state,
            disk_id,
            must_fetch,
        };
        self.log(LogEvent::CopyRepairing, format!("{partition} at {peer}"));
        self.send(&peer, message);
    }
}
