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
    pub out: Daemon,
    pub joiner: Daemon,
    /// Distinguishes this replacement from an earlier one of the same stores:
    /// a copy counts only if it was made under this very number.
    pub number: Version,
}

/// What the primary knows of silent stores and replacements. Invariant: it
/// belongs to one term and is made anew at each take-over.
pub(super) struct Replacements {
    /// Since when this primary has listened without a break. A primary that
    /// was frozen or cut off heard nobody, which says nothing about them.
    listening: Time,
    last_round: Time,
    /// Stores taken for gone until they are heard again.
    absent: BTreeSet<Daemon>,
    /// Stores that were told to stop and whose seats a successor takes.
    pub departing: BTreeSet<Daemon>,
    swaps: BTreeMap<PartitionId, Replacement>,
    count: u64,
}

impl Replacements {
    pub fn new(now: Time) -> Replacements {
        Replacements {
            listening: now,
            last_round: now,
            absent: BTreeSet::new(),
            departing: BTreeSet::new(),
            swaps: BTreeMap::new(),
            count: 0,
        }
    }
    pub fn swap(&self, place: &PartitionId) -> Option<&Replacement> {
        self.swaps.get(place)
    }
    /// Whether no seat has to move on account of stores that are gone.
    fn idle(&self) -> bool {
        self.absent.is_empty() && self.departing.is_empty() && self.swaps.is_empty()
    }
    fn listen(&mut self, now: Time) {
        if now.since(self.last_round) > MAX_ROUND_GAP {
            self.listening = now;
        }
        self.last_round = now;
    }
}

impl Placement {
    /// One round: who is gone, which seats move, who is forgotten.
    pub(super) fn replace_stores(&mut self, now: Time) {
        self.replacements.listen(now);
        self.update_absent(now);
        self.update_departing(now);
        self.choose_replacements(now);
        self.drain_retiring_stores(now);
        self.remove_gone_members(now);
    }

    /// For how long a daemon was not heard while this primary listened.
    pub(super) fn silent_for(&self, daemon: &Daemon, now: Time) -> Span {
        let heard = self.daemons.get(daemon).map_or(Time(0), |s| s.at);
        now.since(heard.max(self.replacements.listening))
    }

    /// Whether a store is taken for gone.
    pub(super) fn is_absent(&self, store: &Daemon) -> bool {
        self.replacements.absent.contains(store)
    }

    fn update_absent(&mut self, now: Time) {
        let newcomer = |m: &Member| {
            let recent = self.daemons.get(&m.id).is_some_and(|s| now.since(s.since) < NEWCOMER_PERIOD);
            recent && self.is_live(&m.id, now) && self.seat_count(&m.id) == 0
        };
        let patience = match self.hard.of(DaemonKind::Store).any(newcomer) {
            true => ABSENT_AFTER_WITH_NEWCOMER,
            false => ABSENT_AFTER_WITHOUT_NEWCOMER,
        };
        let lively = self.liveness_window();
        let stores: Vec<Daemon> = self.hard.of(DaemonKind::Store).map(|m| m.id.clone()).collect();
        self.replacements.absent.retain(|d| stores.contains(d));
        for store in stores {
            let silence = self.silent_for(&store, now);
            if silence > patience {
                self.replacements.absent.insert(store);
            } else if silence < lively {
                self.replacements.absent.remove(&store);
            }
        }
    }

    /// Decides for each partition which seat moves, and tells its leader of
    /// each change at once.
    fn choose_replacements(&mut self, now: Time) {
        let width = self.target_write_set_size(now);
        let narrow = self.hard.layout.values().any(|set| set.len() < width);
        if self.replacements.idle() && self.hard.retiring.is_empty() && !narrow {
            return;
        }
        let places: Vec<PartitionId> = self.hard.layout.keys().cloned().collect();
        for place in places {
            let stands = self.replacements.swaps.get(&place).map(|s| (s.out.clone(), s.joiner.clone()));
            // An order under way may still be committed: until then the one
            // that leaves must not count again.
            let ordered = stands.as_ref().is_some_and(|s| self.proposed_at.contains_key(&write_set_change_key(&place, &s.0)));
            let wanted = self.wanted_replacement(&place, now).or_else(|| self.wanted_addition(&place, width, now));
            if ordered || wanted == stands {
                continue;
            }
            if let Some((out, joiner)) = wanted {
                self.replacements.count += 1;
                let number = Version { term: self.election.term(), count: self.replacements.count };
                self.replacements.swaps.insert(place.clone(), Replacement { out, joiner, number });
            } else {
                self.replacements.swaps.remove(&place);
            }
            if let Some(grant) = self.granted_leases.get(&Duty::Lead(place)) {
                self.holders_to_notify.insert(grant.holder.clone());
            }
        }
    }

    /// The seat of a partition that should move, and where to. One that is
    /// gone or about to go is first: a retiring one still counts meanwhile.
    pub(super) fn wanted_replacement(&self, place: &PartitionId, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.hard.layout.get(place)?;
        let stores = || set.iter().map(|s| &s.0);
        let gone = stores().find(|d| self.is_absent(d)).or_else(|| stores().find(|d| self.is_departing(d)));
        let replaced = gone.and_then(|out| Some((out.clone(), self.choose_substitute(place, out, now)?)));
        replaced.filter(|(out, joiner)| self.is_retiring(out) || !self.worsens_zone_spread(set, out, joiner)).or_else(|| {
            let out = stores().find(|d| self.is_retiring(d))?;
            Some((out.clone(), self.choose_substitute(place, out, now)?))
        })
    }

    /// How many stores a write set should have, of those that are there.
    fn target_write_set_size(&self, now: Time) -> usize {
        let stays = |m: &&Member| self.is_live(&m.id, now) && !self.is_retiring(&m.id) && !self.is_departing(&m.id);
        self.startup.tolerates.replicas(self.hard.of(DaemonKind::Store).filter(stays).count())
    }

    /// The store that takes one more seat in a write set of fewer than `width`
    /// stores, laid out when there were fewer. One at a time: a majority of the
    /// set before and one of the set after always have a store in common. A
    /// seat that has to move goes first.
    fn wanted_addition(&self, place: &PartitionId, width: usize, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.hard.layout.get(place)?;
        let moves = |d: &Daemon| self.is_absent(d) || self.is_departing(d) || self.is_retiring(d);
        if set.len() >= width || set.iter().any(|seat| moves(&seat.0)) {
            return None;
        }
        let joiner = self.choose_joining_store(place, None, now).filter(|d| !moves(d))?;
        Some((joiner.clone(), joiner))
    }

    /// Whether a write set would have more of its seats in one zone if
    /// `joiner` took the seat of `out`.
    fn worsens_zone_spread(&self, set: &[(Daemon, IncarnationId)], out: &Daemon, joiner: &Daemon) -> bool {
        let zone = |d: &Daemon| self.hard.members.get(d).map(|m| &m.zone);
        let fullest = |stores: &[&Daemon]| {
            let mut counts: BTreeMap<Option<&Zone>, usize> = BTreeMap::new();
            for store in stores {
                *counts.entry(zone(store)).or_default() += 1;
            }
            counts.into_values().max().unwrap_or(0)
        };
        let before: Vec<&Daemon> = set.iter().map(|s| &s.0).collect();
        let after: Vec<&Daemon> = before.iter().map(|d| if *d == out { joiner } else { *d }).collect();
        fullest(&after) > fullest(&before)
    }

    /// The store that would take `out`'s seat in a partition's write set: one
    /// that is live, from the zone with the fewest seats of the set.
    pub(super) fn choose_substitute(&self, place: &PartitionId, out: &Daemon, now: Time) -> Option<Daemon> {
        self.choose_joining_store(place, Some(out), now)
    }

    fn choose_joining_store(&self, place: &PartitionId, out: Option<&Daemon>, now: Time) -> Option<Daemon> {
        let set = self.hard.layout.get(place)?;
        let zone = |d: &Daemon| self.hard.members.get(d).map(|m| m.zone.clone());
        let zones: Vec<_> = set.iter().filter(|s| Some(&s.0) != out).map(|s| zone(&s.0)).collect();
        let seats_in = |z: &Zone| zones.iter().filter(|x| x.as_ref() == Some(z)).count();
        self.hard
            .of(DaemonKind::Store)
            .filter(|m| Some(&m.id) != out && self.is_live(&m.id, now) && !set.iter().any(|s| s.0 == m.id))
            .min_by_key(|m| (seats_in(&m.zone), hash_of(format!("{place}@{}", m.id).as_bytes())))
            .map(|m| m.id.clone())
    }

    /// A leader's word that `store` holds a partition whole: the seat moves if
    /// that copy was made under the replacement that is under way.
    pub(super) fn commit_replacement(
        &mut self,
        leader: &Daemon,
        report: &Report,
        place: &PartitionId,
        put: (Daemon, IncarnationId),
        now: Time,
    ) {
        let Some(swap) = self.replacements.swap(place) else { return };
        let current = report.replacement_numbers.contains(&(place.clone(), swap.number));
        if !current || swap.joiner != put.0 || swap.out == *leader {
            return;
        }
        let out = swap.out.clone();
        let order = match out == put.0 {
            true => Order::AddStore { partition: place.clone(), added: put },
            false => Order::ReplaceStore { partition: place.clone(), removed: out.clone(), added: put },
        };
        self.propose_unless_recent(write_set_change_key(place, &out), order, now);
    }

    /// Asks retiring stores to give up what they keep; one without a seat has
    /// retired.
    fn drain_retiring_stores(&mut self, now: Time) {
        let leaving: Vec<Daemon> = self.hard.retiring.iter().filter(|r| *r.1 == Retirement::Asked).map(|r| r.0.clone()).collect();
        for store in leaving {
            if self.seat_count(&store) == 0 {
                let order = Order::RetireStore { store: store.clone(), state: Retirement::Done };
                self.propose_unless_recent(format!("retired {store}"), order, now);
            }
            let kept = |d: &Duty, g: &Daemon| matches!(d, Duty::Lead(_)) && *g == store;
            let held: Vec<Duty> =
                self.granted_leases.iter().filter(|(d, g)| now < g.until && kept(d, &g.holder)).map(|(d, _)| d.clone()).collect();
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
        let gone = |d: &&Daemon| {
            d.kind() != DaemonKind::Placement && self.silent_for(d, now) > REMOVE_MEMBER_AFTER && self.seat_count(d) == 0
        };
        let gone: Vec<Daemon> = self.hard.members.keys().filter(gone).cloned().collect();
        for daemon in gone {
            self.propose_unless_recent(format!("forget {daemon}"), Order::RemoveMember(daemon), now);
        }
    }
}

/// Under which a change of a seat is asked for once.
pub(super) fn write_set_change_key(place: &PartitionId, out: &Daemon) -> String {
    format!("reseat {place} {out}")
}
