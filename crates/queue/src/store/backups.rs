//! The peers of a partition that its leader sees to: the backups that get every
//! operation, and those whose copy does not count yet.
use crate::prelude::*;

/// A backup that owes an acknowledgement for so many parts of a hundred of a
/// lease gives way to another, and sooner if it used to be fast.
const BACKUP_TIMEOUT_LEASE_PERCENT: u64 = 30;
/// A backup that lacks something is asked again after this.
const BACKUP_RETRY_DELAY: Span = Span::millis(300);
/// A store that has to be made whole for its seat, after this.
const SEAT_COPY_RETRY_DELAY: Span = Span::secs(1);
const FENCE_RETRY_DELAY: Span = Span::secs(1);
/// A peer of this zone that is no backup is drawn in once in so long.
const SAME_ZONE_BACKUP_RETRY_DELAY: Span = Span::secs(4);
/// After a partition was opened its second copy is moved only for so long.
const BACKUP_REBALANCE_WINDOW: Span = Span::secs(2);
/// A partition that has too few copies for so long is told of.
const MISSING_COPIES_LOG_DELAY: Span = Span::secs(3);

impl Store {
    /// Chooses the peers that get every op, as many as must have it beside
    /// this store and one at least in another zone. A `lost` backup gives way to
    /// the next peer, if there is another.
    pub(super) fn choose_backups(&mut self, partition: &PartitionId, lost: Option<&Daemon>, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let zone = self.startup.me.zone.clone();
        let is_far = |d: &Daemon| zones.get(d).is_some_and(|z| *z != zone);
        let all = self.backup_candidates(partition, &zones);
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return };
        let needed = lead.backups_needed();
        if lost.is_some_and(|lost| !is_far(lost)) {
            lead.near_drawn = now;
        }
        lead.backups.retain(|d, _| all.contains(d) && Some(d) != lost);
        // The one after the lost one comes first, the lost one itself last.
        let begin = lost.and_then(|lost| all.iter().position(|d| d == lost)).map_or(0, |at| at + 1);
        let in_turn: Vec<&Daemon> = all.iter().cycle().skip(begin).take(all.len()).collect();
        let mut joined = Vec::new();
        while lead.backups.len() < needed {
            let last_place = lead.backups.len() + 1 == needed;
            let must_be_far = last_place && !lead.backups.keys().any(is_far);
            let fits = |d: &&&Daemon| !lead.backups.contains_key(**d) && (!must_be_far || is_far(d));
            let Some(next) = in_turn.iter().find(fits).map(|d| (*d).clone()) else { break };
            lead.backups.insert(next.clone(), now);
            joined.push(next);
        }
        joined.retain(|d| Some(d) != lost);
        if joined.is_empty() {
            return;
        }
        lead.asked = Time(0);
        if lost.is_some() {
            let names: Vec<String> = joined.iter().map(|d| d.to_string()).collect();
            self.log(LogEvent::BackupChosen, format!("{partition} now {}", names.join(", ")));
        }
        self.maintain_backups(partition, now);
    }

    /// The peers that may be backups of a partition, the fittest first.
    fn backup_candidates(&self, partition: &PartitionId, zones: &BTreeMap<Daemon, Zone>) -> Vec<Daemon> {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.own.as_ref()) else { return Vec::new() };
        let me = &self.startup.me;
        let leaves = |d: &Daemon| lead.swap.as_ref().is_some_and(|s| s.0 == *d);
        // One backup has to be in another zone; of several, any may be near.
        let near_too = lead.backups_needed() > 1;
        let apart = |d: &Daemon| zones.get(d).is_some_and(|z| near_too || *z != me.zone);
        let mut all: Vec<Daemon> =
            lead.set.iter().map(|s| s.0.clone()).filter(|d| *d != me.id && apart(d) && !leaves(d)).collect();
        if all.is_empty() {
            return all;
        }
        let by = hash_of(partition.to_string().as_bytes()) as usize % all.len();
        all.rotate_left(by);
        // Fenced ones have shown they are there; one whose folder was lost
        // does not count until its new one is known to all. Of those alike the
        // ones of this zone first: each op then leaves it as seldom as may be.
        let fitness = |d: &Daemon| match lead.folder_of(d) {
            None => 1,
            Some(disk_id) if lead.counts(d, disk_id) => 0,
            Some(_) => 2,
        };
        let is_far = |d: &Daemon| zones.get(d).is_none_or(|z| *z != me.zone);
        all.sort_by_key(|d| (fitness(d), is_far(d)));
        all
    }

    /// A peer closed its line: where something waits for its copy, another
    /// takes its part at once.
    pub(super) fn on_peer_disconnected(&mut self, peer: &Daemon, now: Time) {
        let waits = |part: &Part| part.own.as_ref().is_some_and(|o| o.backups.contains_key(peer) && !o.waits.is_empty());
        let affected: Vec<PartitionId> = self.partitions.iter().filter(|(_, part)| waits(part)).map(|(k, _)| k.clone()).collect();
        for partition in affected {
            self.choose_backups(&partition, Some(peer), now);
        }
    }

    /// Where somebody waits for an op, a backup that is silent gives way at once.
    pub(super) fn replace_silent_backups(&mut self, now: Time) {
        if self.standstill.is_catching_up(now) {
            return;
        }
        let longest = self.startup.lease_terms.length.percent(BACKUP_TIMEOUT_LEASE_PERCENT);
        let silent = |lead: &LeaderState| {
            let patience = Patience { least: lead.patience_least.now(now), longest };
            let is_silent =
                |backup: &Daemon, since: &Time| lead.peers.get(backup).is_some_and(|s| s.is_silent(*since, patience, now));
            !lead.waits.is_empty() && lead.backups.iter().any(|(backup, since)| is_silent(backup, since))
        };
        let due: Vec<PartitionId> = self
            .partitions
            .iter()
            .filter(|(_, part)| part.own.as_ref().is_some_and(silent))
            .map(|(partition, _)| partition.clone())
            .collect();
        for partition in due {
            if self.link.active_epoch(&Duty::Lead(partition.clone()), now).is_some() {
                self.maintain_backups(&partition, now);
            }
        }
    }

    /// Sees to the backups, and to seats whose copy does not count yet.
    pub(super) fn maintain_backups(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.own.as_ref()) else { return };
        if lead.backups.is_empty() {
            self.choose_backups(partition, None, now);
        }
        let (mut to_copy, lost) = self.check_backups(partition, now);
        to_copy.extend(self.seats_to_copy_to(partition, now));
        self.fence_unfenced(partition, now);
        for peer in to_copy {
            self.offer_copy(partition, peer);
        }
        self.track_missing_copies(partition, now);
        self.to_replicate.insert(partition.clone());
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.own.as_ref()) else { return };
        if lost.is_some() || lead.backups.len() < lead.backups_needed() {
            return self.choose_backups(partition, lost.as_ref(), now);
        }
        self.add_same_zone_backup(partition, now);
        self.rebalance_backup(partition, now);
    }

    /// Where one backup is needed it is the one that answered first when the
    /// partition was sealed. Of all partitions that are opened at one time that
    /// may be the same store, and its loss would stall all of them. So once all
    /// stores of the set have answered, the partition's own first candidate
    /// takes the place, if it stands where the partition stood when it was
    /// sealed: then nothing has to be copied.
    fn rebalance_backup(&mut self, partition: &PartitionId, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.own.as_ref()) else { return };
        if lead.phase != Phase::Serving || lead.backups_needed() != 1 || lead.spread == Spread::Done {
            return;
        }
        let first = match lead.spread {
            Spread::Open => self.backup_candidates(partition, &zones).into_iter().next(),
            _ => None,
        };
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return };
        match lead.spread.clone() {
            Spread::Open if now.since(lead.opened) > BACKUP_REBALANCE_WINDOW => lead.spread = Spread::Done,
            Spread::Open => {
                if lead.fences.len() + 1 < lead.set.len() {
                    return;
                }
                lead.spread = Spread::Done;
                let Some(first) = first.filter(|d| !lead.backups.contains_key(d)) else { return };
                let stands = lead.fences.get(&first).filter(|replica| lead.counts(&first, replica.disk_id));
                if stands.is_some_and(|replica| lead.was == Some((replica.installed_epoch, replica.last_op))) {
                    lead.backups.insert(first.clone(), now);
                    lead.spread = Spread::Drawn(first);
                }
            }
            Spread::Drawn(first) if !lead.backups.contains_key(&first) => lead.spread = Spread::Done,
            Spread::Drawn(first) => {
                if lead.is_level(&first) {
                    lead.backups.retain(|backup, _| *backup == first);
                    lead.spread = Spread::Done;
                } else if now.since(lead.opened) > BACKUP_REBALANCE_WINDOW && lead.backups.len() > 1 {
                    lead.backups.remove(&first);
                    lead.spread = Spread::Done;
                }
            }
            Spread::Done => {}
        }
    }

    /// Draws a peer of this zone in where all backups stand elsewhere, as may
    /// be after an opening or a failure: each operation crosses zones once
    /// less. Until it has caught up it is one backup more than is needed.
    fn add_same_zone_backup(&mut self, partition: &PartitionId, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let here = self.startup.me.zone.clone();
        let near = |d: &Daemon| zones.get(d).is_some_and(|z| *z == here);
        let candidates = self.backup_candidates(partition, &zones);
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return };
        if lead.phase != Phase::Serving || lead.backups_needed() < 2 {
            return;
        }
        if lead.backups.len() > lead.backups_needed() {
            return lead.release_far_backup(near);
        }
        if lead.backups.keys().any(near) || now.since(lead.near_drawn) < SAME_ZONE_BACKUP_RETRY_DELAY {
            return;
        }
        let counts = |d: &Daemon| lead.folder_of(d).is_some_and(|disk_id| lead.counts(d, disk_id));
        let Some(next) = candidates.into_iter().find(|d| near(d) && counts(d)) else { return };
        lead.near_drawn = now;
        lead.backups.insert(next, now);
        lead.asked = Time(0);
    }

    /// The backups that need a whole copy, and one that has to give way: it lags
    /// and has not moved for a while, it leaves, or it came back without its
    /// disk, so that nothing it holds counts until its new folder is seated.
    fn check_backups(&mut self, partition: &PartitionId, now: Time) -> (Vec<Daemon>, Option<Daemon>) {
        let longest = self.startup.lease_terms.length.percent(BACKUP_TIMEOUT_LEASE_PERCENT);
        let still = self.standstill.is_catching_up(now);
        let (members, here) = (&self.link.members, &self.startup.me.zone);
        let is_far = |d: &Daemon| members.get(d).is_some_and(|member| member.zone != *here);
        let (mut to_copy, mut lost) = (Vec::new(), None);
        let Some(part) = self.partitions.get_mut(partition) else { return (to_copy, lost) };
        let Some(lead) = part.own.as_mut() else { return (to_copy, lost) };
        let top = part.n;
        let patience = Patience { least: lead.patience_least.now(now), longest };
        for (backup, since) in lead.backups.clone() {
            let is_empty = lead.has_lost_its_disk(&backup) && lead.has_other_backup(&backup, &self.startup.me.id, is_far);
            let peer = lead.peers.entry(backup.clone()).or_default();
            let behind = peer.note_behind(top, now);
            let quiet = !still && peer.is_silent(since, patience, now);
            let leaves = lead.swap.as_ref().is_some_and(|s| s.0 == backup);
            if (behind && quiet) || leaves || is_empty {
                if lost.is_none() && !leaves && !is_empty {
                    lead.patience_least.note_given_way(longest, now);
                }
                lost.get_or_insert(backup);
                continue;
            }
            if behind && now.since(peer.asked) > BACKUP_RETRY_DELAY {
                peer.asked = now;
                match peer.have {
                    None => to_copy.push(backup.clone()),
                    Some(h) => peer.sent = h,
                }
            }
        }
        (to_copy, lost)
    }

    /// Stores of the set whose folder is another than the one that counts, and
    /// the one that takes a seat. A leader that waits for a copy in another zone
    /// sees to them too: one of them may be the only store there.
    fn seats_to_copy_to(&mut self, partition: &PartitionId, now: Time) -> Vec<Daemon> {
        let mut to_copy = Vec::new();
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return to_copy };
        if !lead.is_whole() {
            return to_copy;
        }
        let joining = lead.swap.iter().map(|s| (s.1.clone(), IncarnationId(0)));
        for (store, disk_id) in lead.set.clone().into_iter().chain(joining) {
            let disk = self.link.members.get(&store).map(|m| m.disk_id);
            if store == self.startup.me.id || disk.is_none_or(|m| m == disk_id) {
                continue;
            }
            let whole = lead.whole.get(&store) == disk.as_ref();
            let peer = lead.peers.entry(store.clone()).or_default();
            if !whole && now.since(peer.asked) > SEAT_COPY_RETRY_DELAY {
                peer.asked = now;
                to_copy.push(store);
            }
        }
        to_copy
    }

    /// Stores of the set whose present folder is not the one that counts. One
    /// that is away may come back with its folder: it is not among them.
    pub(super) fn seats_without_copy(&self, lead: &LeaderState) -> Vec<Daemon> {
        let lost = |seat: &&(Daemon, IncarnationId)| self.link.members.get(&seat.0).is_none_or(|member| member.disk_id != seat.1);
        lead.set.iter().filter(lost).map(|seat| seat.0.clone()).collect()
    }

    /// Notes since when copies are lacking, and tells of it when it lasts.
    fn track_missing_copies(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.own.as_ref()) else { return };
        let (short, lacking) = (lead.short, self.seats_without_copy(lead));
        let names: Vec<String> = lacking.iter().map(Daemon::to_string).collect();
        let next = match short {
            _ if lacking.is_empty() => None,
            None => Some(ShortOfCopies { since: now, told: false }),
            Some(known) => Some(ShortOfCopies { told: known.told || now.since(known.since) > MISSING_COPIES_LOG_DELAY, ..known }),
        };
        let (was_told, is_told) = (short.is_some_and(|s| s.told), next.is_some_and(|s| s.told));
        if is_told && !was_told {
            self.log(LogEvent::TooFewCopies, format!("{partition} lacks {}", names.join(", ")));
        }
        if was_told && next.is_none() {
            self.log(LogEvent::CopiesRestored, partition.to_string());
        }
        if let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) {
            lead.short = next;
        }
    }

    /// Stores of the set that were never fenced may have come back since.
    fn fence_unfenced(&mut self, partition: &PartitionId, now: Time) {
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.own.as_mut()) else { return };
        let me = &self.startup.me.id;
        let unseen: Vec<Daemon> =
            lead.set.iter().map(|seat| seat.0.clone()).filter(|d| d != me && !lead.fences.contains_key(d)).collect();
        if lead.phase != Phase::Serving || unseen.is_empty() || now.since(lead.asked) <= FENCE_RETRY_DELAY {
            return;
        }
        lead.asked = now;
        let epoch = lead.epoch;
        for store in unseen {
            self.send(&store, PeerMessage::Fence { partition: partition.clone(), epoch });
        }
    }

    /// Tells a peer that it lacks this epoch, so that it asks for a copy.
    fn offer_copy(&mut self, partition: &PartitionId, peer: Daemon) {
        let Some(lead) = self.partitions.get(partition).and_then(|part| part.own.as_ref()) else { return };
        let disk_id = lead.set.iter().find(|seat| seat.0 == peer).map_or(IncarnationId(0), |seat| seat.1);
        let must_fetch = lead.peers.get(&peer).is_some_and(|s| s.short);
        let message =
            PeerMessage::Lagging { partition: partition.clone(), epoch: lead.epoch, expected: lead.was, disk_id, must_fetch };
        self.log(LogEvent::CopyRepairing, format!("{partition} at {peer}"));
        self.send(&peer, message);
    }
}
