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
const BREAK: Span = Span::millis(500);
/// A store silent for this long is replaced by a newcomer without any seat.
const REPLACED: Span = Span::secs(2);
/// Without a newcomer, its seats go to stores that have seats already only
/// after this, so that a short restart moves nothing.
const MOVED: Span = Span::secs(5);
/// For so long a store that just came up counts as a newcomer.
const NEW: Span = Span::secs(10);
/// A daemon without a seat that was silent for this long is a member no more.
const FORGOTTEN: Span = Span::secs(30);

/// One replacement under way, or one more seat: then nobody leaves, and `out`
/// names the joiner itself, which has no seat yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Swap {
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
    swaps: BTreeMap<PartitionId, Swap>,
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
    pub fn swap(&self, place: &PartitionId) -> Option<&Swap> {
        self.swaps.get(place)
    }
    /// Whether no seat has to move on account of stores that are gone.
    fn idle(&self) -> bool {
        self.absent.is_empty() && self.departing.is_empty() && self.swaps.is_empty()
    }
    fn listen(&mut self, now: Time) {
        if now.since(self.last_round) > BREAK {
            self.listening = now;
        }
        self.last_round = now;
    }
}

impl Placement {
    /// One round: who is gone, which seats move, who is forgotten.
    pub(super) fn replace_stores(&mut self, now: Time) {
        self.replacements.listen(now);
        self.mark_absent(now);
        self.mark_departing(now);
        self.choose_swaps(now);
        self.empty_retiring(now);
        self.forget_gone(now);
    }

    /// For how long a daemon was not heard while this primary listened.
    pub(super) fn silence(&self, daemon: &Daemon, now: Time) -> Span {
        let heard = self.seen.get(daemon).map_or(Time(0), |s| s.at);
        now.since(heard.max(self.replacements.listening))
    }

    /// Whether a store is taken for gone.
    pub(super) fn absent(&self, store: &Daemon) -> bool {
        self.replacements.absent.contains(store)
    }

    fn mark_absent(&mut self, now: Time) {
        let newcomer = |m: &Member| {
            let recent = self.seen.get(&m.id).is_some_and(|s| now.since(s.since) < NEW);
            recent && self.live(&m.id, now) && self.seats_of(&m.id) == 0
        };
        let patience = match self.hard.of(DaemonKind::Store).any(newcomer) {
            true => REPLACED,
            false => MOVED,
        };
        let lively = self.lively();
        let stores: Vec<Daemon> = self.hard.of(DaemonKind::Store).map(|m| m.id.clone()).collect();
        self.replacements.absent.retain(|d| stores.contains(d));
        for store in stores {
            let silence = self.silence(&store, now);
            if silence > patience {
                self.replacements.absent.insert(store);
            } else if silence < lively {
                self.replacements.absent.remove(&store);
            }
        }
    }

    /// Decides for each partition which seat moves, and tells its leader of
    /// each change at once.
    fn choose_swaps(&mut self, now: Time) {
        let width = self.wanted_width(now);
        let narrow = self.hard.layout.values().any(|set| set.len() < width);
        if self.replacements.idle() && self.hard.retiring.is_empty() && !narrow {
            return;
        }
        let places: Vec<PartitionId> = self.hard.layout.keys().cloned().collect();
        for place in places {
            let stands = self.replacements.swaps.get(&place).map(|s| (s.out.clone(), s.joiner.clone()));
            // An order under way may still be committed: until then the one
            // that leaves must not count again.
            let ordered = stands.as_ref().is_some_and(|s| self.asked.contains_key(&reseat_key(&place, &s.0)));
            let wanted = self.wanted_swap(&place, now).or_else(|| self.wanted_seat(&place, width, now));
            if ordered || wanted == stands {
                continue;
            }
            if let Some((out, joiner)) = wanted {
                self.replacements.count += 1;
                let number = Version { term: self.election.term(), count: self.replacements.count };
                self.replacements.swaps.insert(place.clone(), Swap { out, joiner, number });
            } else {
                self.replacements.swaps.remove(&place);
            }
            if let Some(grant) = self.given.get(&Duty::Lead(place)) {
                self.granted.insert(grant.holder.clone());
            }
        }
    }

    /// The seat of a partition that should move, and where to. One that is
    /// gone or about to go is first: a retiring one still counts meanwhile.
    pub(super) fn wanted_swap(&self, place: &PartitionId, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.hard.layout.get(place)?;
        let stores = || set.iter().map(|s| &s.0);
        let gone = stores().find(|d| self.absent(d)).or_else(|| stores().find(|d| self.departing(d)));
        let replaced = gone.and_then(|out| Some((out.clone(), self.heir(place, out, now)?)));
        replaced.filter(|(out, joiner)| self.retiring(out) || !self.crowds(set, out, joiner)).or_else(|| {
            let out = stores().find(|d| self.retiring(d))?;
            Some((out.clone(), self.heir(place, out, now)?))
        })
    }

    /// How many stores a write set should have, of those that are there.
    fn wanted_width(&self, now: Time) -> usize {
        let stays = |m: &&Member| self.live(&m.id, now) && !self.retiring(&m.id) && !self.departing(&m.id);
        self.startup.tolerates.replicas(self.hard.of(DaemonKind::Store).filter(stays).count())
    }

    /// The store that takes one more seat in a write set of fewer than `width`
    /// stores, laid out when there were fewer. One at a time: a majority of the
    /// set before and one of the set after always have a store in common. A
    /// seat that has to move goes first.
    fn wanted_seat(&self, place: &PartitionId, width: usize, now: Time) -> Option<(Daemon, Daemon)> {
        let set = self.hard.layout.get(place)?;
        let moves = |d: &Daemon| self.absent(d) || self.departing(d) || self.retiring(d);
        if set.len() >= width || set.iter().any(|seat| moves(&seat.0)) {
            return None;
        }
        let joiner = self.joiner(place, None, now).filter(|d| !moves(d))?;
        Some((joiner.clone(), joiner))
    }

    /// Whether a write set would have more of its seats in one zone if
    /// `joiner` took the seat of `out`.
    fn crowds(&self, set: &[(Daemon, IncarnationId)], out: &Daemon, joiner: &Daemon) -> bool {
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
    pub(super) fn heir(&self, place: &PartitionId, out: &Daemon, now: Time) -> Option<Daemon> {
        self.joiner(place, Some(out), now)
    }

    fn joiner(&self, place: &PartitionId, out: Option<&Daemon>, now: Time) -> Option<Daemon> {
        let set = self.hard.layout.get(place)?;
        let zone = |d: &Daemon| self.hard.members.get(d).map(|m| m.zone.clone());
        let zones: Vec<_> = set.iter().filter(|s| Some(&s.0) != out).map(|s| zone(&s.0)).collect();
        let seats_in = |z: &Zone| zones.iter().filter(|x| x.as_ref() == Some(z)).count();
        self.hard
            .of(DaemonKind::Store)
            .filter(|m| Some(&m.id) != out && self.live(&m.id, now) && !set.iter().any(|s| s.0 == m.id))
            .min_by_key(|m| (seats_in(&m.zone), hash_of(format!("{place}@{}", m.id).as_bytes())))
            .map(|m| m.id.clone())
    }

    /// A leader's word that `store` holds a partition whole: the seat moves if
    /// that copy was made under the replacement that is under way.
    pub(super) fn move_seat(
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
        self.propose_once(reseat_key(place, &out), order, now);
    }

    /// Asks retiring stores to give up what they keep; one without a seat has
    /// retired.
    fn empty_retiring(&mut self, now: Time) {
        let leaving: Vec<Daemon> = self.hard.retiring.iter().filter(|r| *r.1 == Retirement::Asked).map(|r| r.0.clone()).collect();
        for store in leaving {
            if self.seats_of(&store) == 0 {
                let order = Order::RetireStore { store: store.clone(), state: Retirement::Done };
                self.propose_once(format!("retired {store}"), order, now);
            }
            let kept = |d: &Duty, g: &Daemon| matches!(d, Duty::Lead(_)) && *g == store;
            let held: Vec<Duty> =
                self.given.iter().filter(|(d, g)| now < g.expires_at && kept(d, &g.holder)).map(|(d, _)| d.clone()).collect();
            for duty in held {
                if self.shed.insert(duty, now).is_none() {
                    self.granted.insert(store.clone());
                }
            }
        }
    }

    /// Gives up on members that are gone for good: whoever takes over would
    /// wait for their reports.
    fn forget_gone(&mut self, now: Time) {
        let gone = |d: &&Daemon| d.kind() != DaemonKind::Placement && self.silence(d, now) > FORGOTTEN && self.seats_of(d) == 0;
        let gone: Vec<Daemon> = self.hard.members.keys().filter(gone).cloned().collect();
        for daemon in gone {
            self.propose_once(format!("forget {daemon}"), Order::RemoveMember(daemon), now);
        }
    }
}

/// Under which a change of a seat is asked for once.
pub(super) fn reseat_key(place: &PartitionId, out: &Daemon) -> String {
    format!("reseat {place} {out}")
}
