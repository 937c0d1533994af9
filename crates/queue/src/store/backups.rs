//! The peers of a partition that its leader sees to: the backups that get every
//! operation, and those whose copy does not count yet.
use crate::prelude::*;

/// A backup that owes an acknowledgement for so many parts of a hundred of a
/// lease gives way to another, and sooner if it used to be fast.
const QUIET: u64 = 30;
/// A backup that lacks something is asked again after this.
const BACKUP_ASKED_AGAIN: Span = Span::millis(300);
/// A store that has to be made whole for its seat, after this.
const SEAT_ASKED_AGAIN: Span = Span::secs(1);
const SEAL_ASKED_AGAIN: Span = Span::secs(1);
/// A peer of this zone that is no backup is drawn in once in so long.
const NEAR_DRAWN_AGAIN: Span = Span::secs(4);
/// After a partition was opened its second copy is moved only for so long.
const SPREAD_WITHIN: Span = Span::secs(2);
/// A partition that has too few copies for so long is told of.
const SHORT_TOLD: Span = Span::secs(3);

impl Store {
    /// Chooses the peers that get every op, as many as must have it beside
    /// this store and one at least in another zone. A `lost` backup gives way to
    /// the next peer, if there is another.
    pub(super) fn choose_backups(&mut self, place: &PartitionId, lost: Option<&Daemon>, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let zone = self.startup.me.zone.clone();
        let far = |d: &Daemon| zones.get(d).is_some_and(|z| *z != zone);
        let all = self.backup_candidates(place, &zones);
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        let needed = own.backups_needed();
        if lost.is_some_and(|lost| !far(lost)) {
            own.same_zone_backup_changed_at = now;
        }
        own.backups.retain(|d, _| all.contains(d) && Some(d) != lost);
        // The one after the lost one comes first, the lost one itself last.
        let begin = lost.and_then(|lost| all.iter().position(|d| d == lost)).map_or(0, |at| at + 1);
        let in_turn: Vec<&Daemon> = all.iter().cycle().skip(begin).take(all.len()).collect();
        let mut joined = Vec::new();
        while own.backups.len() < needed {
            let last_place = own.backups.len() + 1 == needed;
            let must_be_far = last_place && !own.backups.keys().any(far);
            let fits = |d: &&&Daemon| !own.backups.contains_key(**d) && (!must_be_far || far(d));
            let Some(next) = in_turn.iter().find(fits).map(|d| (*d).clone()) else { break };
            own.backups.insert(next.clone(), now);
            joined.push(next);
        }
        joined.retain(|d| Some(d) != lost);
        if joined.is_empty() {
            return;
        }
        own.last_request = Time(0);
        if lost.is_some() {
            let names: Vec<String> = joined.iter().map(|d| d.to_string()).collect();
            self.note(LogEvent::BackupChosen, format!("{place} now {}", names.join(", ")));
        }
        self.tend(place, now);
    }

    /// The peers that may be backups of a partition, the fittest first.
    fn backup_candidates(&self, place: &PartitionId, zones: &BTreeMap<Daemon, Zone>) -> Vec<Daemon> {
        let Some(own) = self.parts.get(place).and_then(|p| p.leader_state.as_ref()) else { return Vec::new() };
        let me = &self.startup.me;
        let leaves = |d: &Daemon| own.replacement.as_ref().is_some_and(|s| s.0 == *d);
        // One backup has to be in another zone; of several, any may be near.
        let near_too = own.backups_needed() > 1;
        let apart = |d: &Daemon| zones.get(d).is_some_and(|z| near_too || *z != me.zone);
        let mut all: Vec<Daemon> =
            own.write_set.iter().map(|s| s.0.clone()).filter(|d| *d != me.id && apart(d) && !leaves(d)).collect();
        if all.is_empty() {
            return all;
        }
        let by = hash_of(place.to_string().as_bytes()) as usize % all.len();
        all.rotate_left(by);
        // Fenced ones have shown they are there; one whose folder was lost
        // does not count until its new one is known to all. Of those alike the
        // ones of this zone first: each op then leaves it as seldom as may be.
        let fitness = |d: &Daemon| match own.disk_id_of(d) {
            None => 1,
            Some(mark) if own.is_counted(d, mark) => 0,
            Some(_) => 2,
        };
        let is_far = |d: &Daemon| zones.get(d).is_none_or(|z| *z != me.zone);
        all.sort_by_key(|d| (fitness(d), is_far(d)));
        all
    }

    /// A peer closed its line: where something waits for its copy, another
    /// takes its part at once.
    pub(super) fn on_cut(&mut self, d: &Daemon, now: Time) {
        let waits = |p: &PartitionReplica| {
            p.leader_state.as_ref().is_some_and(|o| o.backups.contains_key(d) && !o.commit_actions.is_empty())
        };
        let all: Vec<PartitionId> = self.parts.iter().filter(|(_, p)| waits(p)).map(|(k, _)| k.clone()).collect();
        for place in all {
            self.choose_backups(&place, Some(d), now);
        }
    }

    /// Where somebody waits for an op, a backup that is silent gives way at once.
    pub(super) fn replace_silent_backups(&mut self, now: Time) {
        if self.standstill.is_catching_up(now) {
            return;
        }
        let longest = self.startup.terms.length.percent(QUIET);
        let silent = |own: &LeaderState| {
            let patience = SilenceLimits { min: own.min_silence.current(now), max: longest };
            let is_silent =
                |backup: &Daemon, since: &Time| own.peers.get(backup).is_some_and(|s| s.is_silent(*since, patience, now));
            !own.commit_actions.is_empty() && own.backups.iter().any(|(backup, since)| is_silent(backup, since))
        };
        let due: Vec<PartitionId> = self
            .parts
            .iter()
            .filter(|(_, p)| p.leader_state.as_ref().is_some_and(silent))
            .map(|(place, _)| place.clone())
            .collect();
        for place in due {
            if self.link.active_epoch(&Duty::Lead(place.clone()), now).is_some() {
                self.tend(&place, now);
            }
        }
    }

    /// Sees to the backups, and to seats whose copy does not count yet.
    pub(super) fn tend(&mut self, place: &PartitionId, now: Time) {
        let Some(own) = self.parts.get(place).and_then(|p| p.leader_state.as_ref()) else { return };
        if own.backups.is_empty() {
            self.choose_backups(place, None, now);
        }
        let (mut to_copy, lost) = self.check_backups(place, now);
        to_copy.extend(self.seats_to_fill(place, now));
        self.seal_unfenced(place, now);
        for peer in to_copy {
            self.offer_copy(place, peer);
        }
        self.watch_copies(place, now);
        self.dirty.insert(place.clone());
        let Some(own) = self.parts.get(place).and_then(|p| p.leader_state.as_ref()) else { return };
        if lost.is_some() || own.backups.len() < own.backups_needed() {
            return self.choose_backups(place, lost.as_ref(), now);
        }
        self.draw_near(place, now);
        self.spread_backups(place, now);
    }

    /// Where one backup is needed it is the one that answered first when the
    /// partition was sealed. Of all partitions that are opened at one time that
    /// may be the same store, and its loss would stall all of them. So once all
    /// stores of the set have answered, the partition's own first candidate
    /// takes the place, if it stands where the partition stood when it was
    /// sealed: then nothing has to be copied.
    fn spread_backups(&mut self, place: &PartitionId, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let Some(own) = self.parts.get(place).and_then(|p| p.leader_state.as_ref()) else { return };
        if own.phase != Phase::Serving || own.backups_needed() != 1 || own.balancing == BackupBalancing::Done {
            return;
        }
        let first = match own.balancing {
            BackupBalancing::NotStarted => self.backup_candidates(place, &zones).into_iter().next(),
            _ => None,
        };
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        match own.balancing.clone() {
            BackupBalancing::NotStarted if now.since(own.serving_since) > SPREAD_WITHIN => own.balancing = BackupBalancing::Done,
            BackupBalancing::NotStarted => {
                if own.fenced_replicas.len() + 1 < own.write_set.len() {
                    return;
                }
                own.balancing = BackupBalancing::Done;
                let Some(first) = first.filter(|d| !own.backups.contains_key(d)) else { return };
                let stands = own.fenced_replicas.get(&first).filter(|fence| own.is_counted(&first, fence.disk_id));
                if stands.is_some_and(|fence| own.recovered_state == Some((fence.installed_epoch, fence.last_op))) {
                    own.backups.insert(first.clone(), now);
                    own.balancing = BackupBalancing::CatchingUp(first);
                }
            }
            BackupBalancing::CatchingUp(first) if !own.backups.contains_key(&first) => own.balancing = BackupBalancing::Done,
            BackupBalancing::CatchingUp(first) => {
                if own.is_caught_up(&first) {
                    own.backups.retain(|backup, _| *backup == first);
                    own.balancing = BackupBalancing::Done;
                } else if now.since(own.serving_since) > SPREAD_WITHIN && own.backups.len() > 1 {
                    own.backups.remove(&first);
                    own.balancing = BackupBalancing::Done;
                }
            }
            BackupBalancing::Done => {}
        }
    }

    /// Draws a peer of this zone in where all backups stand elsewhere, as may
    /// be after an opening or a failure: each operation crosses zones once
    /// less. Until it has caught up it is one backup more than is needed.
    fn draw_near(&mut self, place: &PartitionId, now: Time) {
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let here = self.startup.me.zone.clone();
        let near = |d: &Daemon| zones.get(d).is_some_and(|z| *z == here);
        let candidates = self.backup_candidates(place, &zones);
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        if own.phase != Phase::Serving || own.backups_needed() < 2 {
            return;
        }
        if own.backups.len() > own.backups_needed() {
            return own.remove_backup_in_other_zone(near);
        }
        if own.backups.keys().any(near) || now.since(own.same_zone_backup_changed_at) < NEAR_DRAWN_AGAIN {
            return;
        }
        let counts = |d: &Daemon| own.disk_id_of(d).is_some_and(|mark| own.is_counted(d, mark));
        let Some(next) = candidates.into_iter().find(|d| near(d) && counts(d)) else { return };
        own.same_zone_backup_changed_at = now;
        own.backups.insert(next, now);
        own.last_request = Time(0);
    }

    /// The backups that need a whole copy, and one that has to give way: it lags
    /// and has not moved for a while, it leaves, or it came back without its
    /// disk, so that nothing it holds counts until its new folder is seated.
    fn check_backups(&mut self, place: &PartitionId, now: Time) -> (Vec<Daemon>, Option<Daemon>) {
        let longest = self.startup.terms.length.percent(QUIET);
        let still = self.standstill.is_catching_up(now);
        let (members, here) = (&self.link.members, &self.startup.me.zone);
        let is_far = |d: &Daemon| members.get(d).is_some_and(|member| member.zone != *here);
        let (mut to_copy, mut lost) = (Vec::new(), None);
        let Some(p) = self.parts.get_mut(place) else { return (to_copy, lost) };
        let Some(own) = p.leader_state.as_mut() else { return (to_copy, lost) };
        let top = p.last_op;
        let patience = SilenceLimits { min: own.min_silence.current(now), max: longest };
        for (backup, since) in own.backups.clone() {
            let is_empty = own.has_lost_disk(&backup) && own.has_alternative_backup(&backup, &self.startup.me.id, is_far);
            let peer = own.peers.entry(backup.clone()).or_default();
            let behind = peer.update_behind(top, now);
            let quiet = !still && peer.is_silent(since, patience, now);
            let leaves = own.replacement.as_ref().is_some_and(|s| s.0 == backup);
            if (behind && quiet) || leaves || is_empty {
                if lost.is_none() && !leaves && !is_empty {
                    own.min_silence.record_replacement(longest, now);
                }
                lost.get_or_insert(backup);
                continue;
            }
            if behind && now.since(peer.last_request) > BACKUP_ASKED_AGAIN {
                peer.last_request = now;
                match peer.synced_op {
                    None => to_copy.push(backup.clone()),
                    Some(h) => peer.sent_op = h,
                }
            }
        }
        (to_copy, lost)
    }

    /// Stores of the set whose folder is another than the one that counts, and
    /// the one that takes a seat. A leader that waits for a copy in another zone
    /// sees to them too: one of them may be the only store there.
    fn seats_to_fill(&mut self, place: &PartitionId, now: Time) -> Vec<Daemon> {
        let mut to_copy = Vec::new();
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return to_copy };
        if !own.has_complete_data() {
            return to_copy;
        }
        let joining = own.replacement.iter().map(|s| (s.1.clone(), IncarnationId(0)));
        for (store, mark) in own.write_set.clone().into_iter().chain(joining) {
            let disk = self.link.members.get(&store).map(|m| m.disk_id);
            if store == self.startup.me.id || disk.is_none_or(|m| m == mark) {
                continue;
            }
            let whole = own.complete_copies.get(&store) == disk.as_ref();
            let peer = own.peers.entry(store.clone()).or_default();
            if !whole && now.since(peer.last_request) > SEAT_ASKED_AGAIN {
                peer.last_request = now;
                to_copy.push(store);
            }
        }
        to_copy
    }

    /// Stores of the set whose present folder is not the one that counts. One
    /// that is away may come back with its folder: it is not among them.
    pub(super) fn seats_without_copy(&self, own: &LeaderState) -> Vec<Daemon> {
        let lost = |seat: &&(Daemon, IncarnationId)| self.link.members.get(&seat.0).is_none_or(|member| member.disk_id != seat.1);
        own.write_set.iter().filter(lost).map(|seat| seat.0.clone()).collect()
    }

    /// Notes since when copies are lacking, and tells of it when it lasts.
    fn watch_copies(&mut self, place: &PartitionId, now: Time) {
        let Some(own) = self.parts.get(place).and_then(|p| p.leader_state.as_ref()) else { return };
        let (short, lacking) = (own.missing_copies, self.seats_without_copy(own));
        let names: Vec<String> = lacking.iter().map(Daemon::to_string).collect();
        let next = match short {
            _ if lacking.is_empty() => None,
            None => Some(MissingCopies { since: now, reported: false }),
            Some(known) => Some(MissingCopies { reported: known.reported || now.since(known.since) > SHORT_TOLD, ..known }),
        };
        let (was_told, is_told) = (short.is_some_and(|s| s.reported), next.is_some_and(|s| s.reported));
        if is_told && !was_told {
            self.note(LogEvent::TooFewCopies, format!("{place} lacks {}", names.join(", ")));
        }
        if was_told && next.is_none() {
            self.note(LogEvent::CopiesRestored, place.to_string());
        }
        if let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) {
            own.missing_copies = next;
        }
    }

    /// Stores of the set that were never fenced may have come back since.
    fn seal_unfenced(&mut self, place: &PartitionId, now: Time) {
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        let me = &self.startup.me.id;
        let unseen: Vec<Daemon> =
            own.write_set.iter().map(|seat| seat.0.clone()).filter(|d| d != me && !own.fenced_replicas.contains_key(d)).collect();
        if own.phase != Phase::Serving || unseen.is_empty() || now.since(own.last_request) <= SEAL_ASKED_AGAIN {
            return;
        }
        own.last_request = now;
        let epoch = own.epoch;
        for store in unseen {
            self.say(&store, PeerMessage::Fence { partition: place.clone(), epoch });
        }
    }

    /// Tells a peer that it lacks this epoch, so that it asks for a copy.
    fn offer_copy(&mut self, place: &PartitionId, peer: Daemon) {
        let Some(own) = self.parts.get(place).and_then(|p| p.leader_state.as_ref()) else { return };
        let mark = own.write_set.iter().find(|seat| seat.0 == peer).map_or(IncarnationId(0), |seat| seat.1);
        let short = own.peers.get(&peer).is_some_and(|s| s.must_fetch);
        let lag = PeerMessage::Lagging {
            partition: place.clone(),
            epoch: own.epoch,
            expected: own.recovered_state,
            disk_id: mark,
            must_fetch: short,
        };
        self.note(LogEvent::CopyRepairing, format!("{place} at {peer}"));
        self.say(&peer, lag);
    }
}
