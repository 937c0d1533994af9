//! Changes of write sets: which store gives up its seat and which one takes it, and which
//! store is added to a set that is too small for the required fault tolerance.
//!
//! A write set is the set of stores that hold the copies of a partition; a seat is the
//! place of one store in it. A store leaves a write set when an operator retires it, when
//! it stops and a successor is running (`departure`), or when it has been silent for so
//! long that it counts as absent. The leader of the partition copies all of it to the new
//! store under a numbered `Replacement`; only then does a committed order move the seat.
use crate::prelude::*;

/// A longer pause than this between two rounds means that the primary was frozen or cut
/// off.
const MAX_ROUND_GAP: Span = Span::millis(500);
/// A store that is silent for this long counts as absent if a newcomer without any seat can
/// replace it.
const ABSENT_AFTER_WITH_NEWCOMER: Span = Span::secs(2);
/// Without a newcomer a store counts as absent only after this time, because its seats then
/// go to stores that already have some: a short restart moves nothing.
const ABSENT_AFTER_WITHOUT_NEWCOMER: Span = Span::secs(5);
/// A store counts as a newcomer for this long after it started.
const NEWCOMER_PERIOD: Span = Span::secs(10);
/// A daemon without a seat is removed from the members after it was silent for this long.
const REMOVE_MEMBER_AFTER: Span = Span::secs(30);

/// A replacement in progress. When a store is only added, nobody leaves: `removed` then
/// names the added store itself, which has no seat yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Replacement {
    pub removed: Daemon,
    pub added: Daemon,
    /// Distinguishes this replacement from an earlier one of the same stores: a copy counts
    /// only if it was made under this number.
    pub number: Version,
}

/// The absent and departing stores and the replacements in progress. Invariant: it belongs
/// to one term and is created anew at each failover.
pub(super) struct Replacements {
    /// Since when this primary has run without a break. While it was frozen or cut off it
    /// received nothing, which says nothing about the other daemons.
    listening_since: Time,
    last_round: Time,
    /// Stores that were silent for too long, until they are in contact again.
    absent: BTreeSet<Daemon>,
    /// Stores that were told to stop and whose seats move to a successor.
    pub departing: BTreeSet<Daemon>,
    /// The replacement in progress at each partition.
    active: BTreeMap<PartitionId, Replacement>,
    last_number: u64,
}

impl Replacements {
    pub fn new(now: Time) -> Replacements {
        Replacements {
            listening_since: now,
            last_round: now,
            absent: BTreeSet::new(),
            departing: BTreeSet::new(),
            active: BTreeMap::new(),
            last_number: 0,
        }
    }
    pub fn get(&self, partition: &PartitionId) -> Option<&Replacement> {
        self.active.get(partition)
    }
    /// Whether no seat has to move because a store is absent or departing.
    fn is_idle(&self) -> bool {
        self.absent.is_empty() && self.departing.is_empty() && self.active.is_empty()
    }
    /// Notes that a round runs now, and whether the primary had a break before it.
    fn record_round(&mut self, now: Time) {
        if now.since(self.last_round) > MAX_ROUND_GAP {
            self.listening_since = now;
        }
        self.last_round = now;
    }
}

impl Placement {
    /// One round: finds absent and departing stores, chooses which seats move, and removes
    /// members that are gone.
    pub(super) fn replace_stores(&mut self, now: Time) {
        self.replacements.record_round(now);
        self.update_absent(now);
        self.update_departing(now);
        self.choose_replacements(now);
        self.drain_retiring_stores(now);
        self.remove_gone_members(now);
    }

    /// How long a daemon has been silent while this primary was running.
    pub(super) fn silent_for(&self, daemon: &Daemon, now: Time) -> Span {
        let last_contact = self.daemons.get(daemon).map_or(Time(0), |s| s.last_pull_at);
        now.since(last_contact.max(self.replacements.listening_since))
    }

    /// Whether a store counts as absent.
    pub(super) fn is_absent(&self, store: &Daemon) -> bool {
        self.replacements.absent.contains(store)
    }

    /// Adds stores that were silent for too long to the absent ones; removes those that are
    /// in contact again.
    fn update_absent(&mut self, now: Time) {
        let is_newcomer = |m: &Member| {
            let is_recent = self.daemons.get(&m.id).is_some_and(|s| now.since(s.live_since) < NEWCOMER_PERIOD);
            is_recent && self.is_live(&m.id, now) && self.seat_count(&m.id) == 0
        };
        let timeout = match self.committed.members_of_kind(DaemonKind::Store).any(is_newcomer) {
            true => ABSENT_AFTER_WITH_NEWCOMER,
            false => ABSENT_AFTER_WITHOUT_NEWCOMER,
        };
        let liveness_window = self.liveness_window();
        let stores: Vec<Daemon> = self.committed.members_of_kind(DaemonKind::Store).map(|m| m.id.clone()).collect();
        self.replacements.absent.retain(|d| stores.contains(d));
        for store in stores {
            let silence = self.silent_for(&store, now);
            if silence > timeout {
                self.replacements.absent.insert(store);
            } else if silence < liveness_window {
                self.replacements.absent.remove(&store);
            }
        }
    }

    /// Decides for each partition which seat moves, and notifies its leader of each change
    /// at once.
    fn choose_replacements(&mut self, now: Time) {
        let size = self.target_write_set_size(now);
        let any_too_small = self.committed.layout.values().any(|set| set.len() < size);
        if self.replacements.is_idle() && self.committed.retiring_stores.is_empty() && !any_too_small {
            return;
        }
        let partitions: Vec<PartitionId> = self.committed.layout.keys().cloned().collect();
        for partition in partitions {
            let current = self.replacements.active.get(&partition).map(|s| (s.removed.clone(), s.added.clone()));
            // A proposed order may still be committed: until then the store that leaves
            // must not count again.
            let is_proposed =
                current.as_ref().is_some_and(|s| self.proposed_at.contains_key(&write_set_change_key(&partition, &s.0)));
            let wanted = self.wanted_replacement(&partition, now).or_else(|| self.wanted_addition(&partition, size, now));
            if is_proposed || wanted == current {
                continue;
            }
            if let Some((removed, added)) = wanted {
                self.replacements.last_number += 1;
                let number = Version { term: self.election.term(), count: self.replacements.last_number };
                self.replacements.active.insert(partition.clone(), Replacement { removed, added, number });
            } else {
                self.replacements.active.remove(&partition);
            }
            if let Some(grant) = self.granted_leases.get(&Duty::Lead(partition)) {
                self.holders_to_notify.insert(grant.holder.clone());
            }
        }
    }

    /// The store of a write set that should be replaced, and the one to replace it. Absent
    /// and departing stores come first: a retiring one still counts in the meantime.
    pub(super) fn wanted_replacement(&self, partition: &PartitionId, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.committed.layout.get(partition)?;
        let stores = || set.iter().map(|s| &s.0);
        let leaving = stores().find(|d| self.is_absent(d)).or_else(|| stores().find(|d| self.is_departing(d)));
        let replacement = leaving.and_then(|removed| Some((removed.clone(), self.choose_substitute(partition, removed, now)?)));
        replacement
            .filter(|(removed, added)| self.is_retiring(removed) || !self.worsens_zone_spread(set, removed, added))
            .or_else(|| {
                let removed = stores().find(|d| self.is_retiring(d))?;
                Some((removed.clone(), self.choose_substitute(partition, removed, now)?))
            })
    }

    /// The number of stores that a write set should have, given the stores that remain
    /// available.
    fn target_write_set_size(&self, now: Time) -> usize {
        let remains = |m: &&Member| self.is_live(&m.id, now) && !self.is_retiring(&m.id) && !self.is_departing(&m.id);
        self.startup.tolerates.replicas(self.committed.members_of_kind(DaemonKind::Store).filter(remains).count())
    }

    /// The store to add to a write set of fewer than `size` stores, one created when there
    /// were fewer stores. Stores are added one at a time: a majority of the set before and
    /// a majority of the set after then always have a store in common. Seats that have to
    /// move come first.
    fn wanted_addition(&self, partition: &PartitionId, size: usize, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.committed.layout.get(partition)?;
        let must_leave = |d: &Daemon| self.is_absent(d) || self.is_departing(d) || self.is_retiring(d);
        if set.len() >= size || set.iter().any(|seat| must_leave(&seat.0)) {
            return None;
        }
        let added = self.choose_joining_store(partition, None, now).filter(|d| !must_leave(d))?;
        Some((added.clone(), added))
    }

    /// Whether replacing `removed` by `added` would put more seats of a write set into one
    /// zone.
    fn worsens_zone_spread(&self, set: &[(Daemon, IncarnationId)], removed: &Daemon, added: &Daemon) -> bool {
        let zone = |d: &Daemon| self.committed.members.get(d).map(|m| &m.zone);
        let max_per_zone = |stores: &[&Daemon]| {
            let mut counts: BTreeMap<Option<&Zone>, usize> = BTreeMap::new();
            for store in stores {
                *counts.entry(zone(store)).or_default() += 1;
            }
            counts.into_values().max().unwrap_or(0)
        };
        let before: Vec<&Daemon> = set.iter().map(|s| &s.0).collect();
        let after: Vec<&Daemon> = before.iter().map(|d| if *d == removed { added } else { *d }).collect();
        max_per_zone(&after) > max_per_zone(&before)
    }

    /// The store that would take the seat of `removed` in a write set: a live one, from the
    /// zone with the fewest seats in the set.
    pub(super) fn choose_substitute(&self, partition: &PartitionId, removed: &Daemon, now: Time) -> Option<Daemon> {
        self.choose_joining_store(partition, Some(removed), now)
    }

    /// The live store outside a write set that should join it, in place of `removed` if
    /// given.
    fn choose_joining_store(&self, partition: &PartitionId, removed: Option<&Daemon>, now: Time) -> Option<Daemon> {
        let set = self.committed.layout.get(partition)?;
        let zone = |d: &Daemon| self.committed.members.get(d).map(|m| m.zone.clone());
        let zones: Vec<_> = set.iter().filter(|s| Some(&s.0) != removed).map(|s| zone(&s.0)).collect();
        let seats_in = |z: &Zone| zones.iter().filter(|x| x.as_ref() == Some(z)).count();
        self.committed
            .members_of_kind(DaemonKind::Store)
            .filter(|m| Some(&m.id) != removed && self.is_live(&m.id, now) && !set.iter().any(|s| s.0 == m.id))
            .min_by_key(|m| (seats_in(&m.zone), hash_of(format!("{partition}@{}", m.id).as_bytes())))
            .map(|m| m.id.clone())
    }

    /// Called when a leader reports that `added` holds a full copy of a partition: proposes
    /// to move the seat if the copy was made under the replacement now in progress.
    pub(super) fn commit_replacement(
        &mut self,
        leader: &Daemon,
        report: &Report,
        partition: &PartitionId,
        added: (Daemon, IncarnationId),
        now: Time,
    ) {
        let Some(replacement) = self.replacements.get(partition) else { return };
        let is_current = report.replacement_numbers.contains(&(partition.clone(), replacement.number));
        if !is_current || replacement.added != added.0 || replacement.removed == *leader {
            return;
        }
        let removed = replacement.removed.clone();
        let order = match removed == added.0 {
            true => Order::AddStore { partition: partition.clone(), added },
            false => Order::ReplaceStore { partition: partition.clone(), removed: removed.clone(), added },
        };
        self.propose_unless_recent(write_set_change_key(partition, &removed), order, now);
    }

    /// Asks retiring stores to release the partitions they lead; marks those without a seat
    /// as retired.
    fn drain_retiring_stores(&mut self, now: Time) {
        let retiring: Vec<Daemon> =
            self.committed.retiring_stores.iter().filter(|r| *r.1 == Retirement::Asked).map(|r| r.0.clone()).collect();
        for store in retiring {
            if self.seat_count(&store) == 0 {
                let order = Order::RetireStore { store: store.clone(), state: Retirement::Done };
                self.propose_unless_recent(format!("retired {store}"), order, now);
            }
            let is_led = |d: &Duty, g: &Daemon| matches!(d, Duty::Lead(_)) && *g == store;
            let held: Vec<Duty> = self
                .granted_leases
                .iter()
                .filter(|(d, g)| now < g.expires_at && is_led(d, &g.holder))
                .map(|(d, _)| d.clone())
                .collect();
            for duty in held {
                if self.release_requests.insert(duty, now).is_none() {
                    self.holders_to_notify.insert(store.clone());
                }
            }
        }
    }

    /// Removes members that are gone for good; otherwise the next primary would wait for
    /// their reports.
    fn remove_gone_members(&mut self, now: Time) {
        let is_gone = |d: &&Daemon| {
            d.kind() != DaemonKind::Placement && self.silent_for(d, now) > REMOVE_MEMBER_AFTER && self.seat_count(d) == 0
        };
        let gone: Vec<Daemon> = self.committed.members.keys().filter(is_gone).cloned().collect();
        for daemon in gone {
            self.propose_unless_recent(format!("remove {daemon}"), Order::RemoveMember(daemon), now);
        }
    }
}

/// The key under which a change of a write set is proposed only once.
pub(super) fn write_set_change_key(partition: &PartitionId, removed: &Daemon) -> String {
    format!("write set {partition} {removed}")
}
