//! Replacement of stores: which store gives up its seat in a write set, and
//! which one takes it; and which one joins a set that has fewer stores than the
//! losses to be borne call for.
//!
//! A store leaves a write set when an operator retires it, when it stops and a
//! successor is there (`departure`), or when it has been silent for so long that
//! it counts as gone. The leader of the partition
//! copies it whole to the joiner under a numbered `Swap`; only then the seat is
//! moved by a committed order.
use crate::prelude::*;

/// Between two rounds of a primary that works without a break.
const MAX_ROUND_GAP: Span = Span::millis(500);
/// A store silent for this long is replaced by a newcomer without any seat.
const ABSENT_AFTER_WITH_NEWCOMER: Span = Span::secs(2);
/// Without a newcomer, its seats go to stores that have seats already only
/// after this, so that a short restart moves nothing.
const ABSENT_AFTER_WITHOUT_NEWCOMER: Span = Span::secs(5);
/// For so long a store that just came up counts as a newcomer.
const NEWCOMER_PERIOD: Span = Span::secs(10);
/// A daemon without a seat that was silent for this long is a member no more.
const REMOVE_MEMBER_AFTER: Span = Span::secs(30);

/// One replacement under way, or one more seat: then nobody leaves, and `out`
/// names the joiner itself, which has no seat yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Replacement {
    pub removed: Daemon,
    pub added: Daemon,
    /// Distinguishes this replacement from an earlier one of the same stores:
    /// a copy counts only if it was made under this very number.
    pub number: Version,
}

/// What the primary knows of silent stores and replacements. Invariant: it
/// belongs to one term and is made anew at each take-over.
pub(super) struct Replacements {
    /// Since when this primary has listened without a break. A primary that
    /// was frozen or cut off heard nobody, which says nothing about them.
    listening_since: Time,
    last_round: Time,
    /// Stores taken for gone until they are heard again.
    absent: BTreeSet<Daemon>,
    /// Stores that were told to stop and whose seats a successor takes.
    pub departing: BTreeSet<Daemon>,
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
    /// Whether no seat has to move on account of stores that are gone.
    fn is_idle(&self) -> bool {
        self.absent.is_empty() && self.departing.is_empty() && self.active.is_empty()
    }
    fn record_round(&mut self, now: Time) {
        if now.since(self.last_round) > MAX_ROUND_GAP {
            self.listening_since = now;
        }
        self.last_round = now;
    }
}

impl Placement {
    /// One round: who is gone, which seats move, who is forgotten.
    pub(super) fn replace_stores(&mut self, now: Time) {
        self.replacements.record_round(now);
        self.update_absent(now);
        self.update_departing(now);
        self.choose_replacements(now);
        self.drain_retiring_stores(now);
        self.remove_gone_members(now);
    }

    /// For how long a daemon was not heard while this primary listened.
    pub(super) fn silent_for(&self, daemon: &Daemon, now: Time) -> Span {
        let last_contact = self.daemons.get(daemon).map_or(Time(0), |s| s.at);
        now.since(last_contact.max(self.replacements.listening_since))
    }

    /// Whether a store is taken for gone.
    pub(super) fn is_absent(&self, store: &Daemon) -> bool {
        self.replacements.absent.contains(store)
    }

    fn update_absent(&mut self, now: Time) {
        let is_newcomer = |m: &Member| {
            let is_recent = self.daemons.get(&m.id).is_some_and(|s| now.since(s.since) < NEWCOMER_PERIOD);
            is_recent && self.is_live(&m.id, now) && self.seat_count(&m.id) == 0
        };
        let timeout = match self.hard.of(DaemonKind::Store).any(is_newcomer) {
            true => ABSENT_AFTER_WITH_NEWCOMER,
            false => ABSENT_AFTER_WITHOUT_NEWCOMER,
        };
        let liveness_window = self.liveness_window();
        let stores: Vec<Daemon> = self.hard.of(DaemonKind::Store).map(|m| m.id.clone()).collect();
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

    /// Decides for each partition which seat moves, and tells its leader of
    /// each change at once.
    fn choose_replacements(&mut self, now: Time) {
        let size = self.target_write_set_size(now);
        let any_too_small = self.hard.layout.values().any(|set| set.len() < size);
        if self.replacements.is_idle() && self.hard.retiring.is_empty() && !any_too_small {
            return;
        }
        let partitions: Vec<PartitionId> = self.hard.layout.keys().cloned().collect();
        for partition in partitions {
            let current = self.replacements.active.get(&partition).map(|s| (s.removed.clone(), s.added.clone()));
            // An order under way may still be committed: until then the one
            // that leaves must not count again.
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

    /// The seat of a partition that should move, and where to. One that is
    /// gone or about to go is first: a retiring one still counts meanwhile.
    pub(super) fn wanted_replacement(&self, partition: &PartitionId, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.hard.layout.get(partition)?;
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

    /// How many stores a write set should have, of those that are there.
    fn target_write_set_size(&self, now: Time) -> usize {
        let remains = |m: &&Member| self.is_live(&m.id, now) && !self.is_retiring(&m.id) && !self.is_departing(&m.id);
        self.startup.tolerates.replicas(self.hard.of(DaemonKind::Store).filter(remains).count())
    }

    /// The store that takes one more seat in a write set of fewer than `width`
    /// stores, laid out when there were fewer. One at a time: a majority of the
    /// set before and one of the set after always have a store in common. A
    /// seat that has to move goes first.
    fn wanted_addition(&self, partition: &PartitionId, size: usize, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.hard.layout.get(partition)?;
        let must_leave = |d: &Daemon| self.is_absent(d) || self.is_departing(d) || self.is_retiring(d);
        if set.len() >= size || set.iter().any(|seat| must_leave(&seat.0)) {
            return None;
        }
        let added = self.choose_joining_store(partition, None, now).filter(|d| !must_leave(d))?;
        Some((added.clone(), added))
    }

    /// Whether a write set would have more of its seats in one zone if
    /// `joiner` took the seat of `out`.
    fn worsens_zone_spread(&self, set: &[(Daemon, IncarnationId)], removed: &Daemon, added: &Daemon) -> bool {
        let zone = |d: &Daemon| self.hard.members.get(d).map(|m| &m.zone);
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

    /// The store that would take `out`'s seat in a partition's write set: one
    /// that is live, from the zone with the fewest seats of the set.
    pub(super) fn choose_substitute(&self, partition: &PartitionId, removed: &Daemon, now: Time) -> Option<Daemon> {
        self.choose_joining_store(partition, Some(removed), now)
    }

    fn choose_joining_store(&self, partition: &PartitionId, removed: Option<&Daemon>, now: Time) -> Option<Daemon> {
        let set = self.hard.layout.get(partition)?;
        let zone = |d: &Daemon| self.hard.members.get(d).map(|m| m.zone.clone());
        let zones: Vec<_> = set.iter().filter(|s| Some(&s.0) != removed).map(|s| zone(&s.0)).collect();
        let seats_in = |z: &Zone| zones.iter().filter(|x| x.as_ref() == Some(z)).count();
        self.hard
            .of(DaemonKind::Store)
            .filter(|m| Some(&m.id) != removed && self.is_live(&m.id, now) && !set.iter().any(|s| s.0 == m.id))
            .min_by_key(|m| (seats_in(&m.zone), hash_of(format!("{partition}@{}", m.id).as_bytes())))
            .map(|m| m.id.clone())
    }

    /// A leader's word that `store` holds a partition whole: the seat moves if
    /// that copy was made under the replacement that is under way.
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

    /// Asks retiring stores to give up what they keep; one without a seat has
    /// retired.
    fn drain_retiring_stores(&mut self, now: Time) {
        let retiring: Vec<Daemon> =
            self.hard.retiring.iter().filter(|r| *r.1 == Retirement::Asked).map(|r| r.0.clone()).collect();
        for store in retiring {
            if self.seat_count(&store) == 0 {
                let order = Order::RetireStore { store: store.clone(), state: Retirement::Done };
                self.propose_unless_recent(format!("retired {store}"), order, now);
            }
            let is_led = |d: &Duty, g: &Daemon| matches!(d, Duty::Lead(_)) && *g == store;
            let held: Vec<Duty> = self
                .granted_leases
                .iter()
                .filter(|(d, g)| now < g.until && is_led(d, &g.holder))
                .map(|(d, _)| d.clone())
                .collect();
            for duty in held {
                if self.release_requests.insert(duty, now).is_none() {
                    self.holders_to_notify.insert(store.clone());
                }
            }
        }
    }

    /// Gives up on members that are gone for good: whoever takes over would
    /// wait for their reports.
    fn remove_gone_members(&mut self, now: Time) {
        let is_gone = |d: &&Daemon| {
            d.kind() != DaemonKind::Placement && self.silent_for(d, now) > REMOVE_MEMBER_AFTER && self.seat_count(d) == 0
        };
        let gone: Vec<Daemon> = self.hard.members.keys().filter(is_gone).cloned().collect();
        for daemon in gone {
            self.propose_unless_recent(format!("remove {daemon}"), Order::RemoveMember(daemon), now);
        }
    }
}

/// Under which a change of a seat is asked for once.
pub(super) fn write_set_change_key(partition: &PartitionId, removed: &Daemon) -> String {
    format!("write set {partition} {removed}")
}
