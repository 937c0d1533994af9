//! The map of places: rebuilt at a take-over, reconciled with the charter.
use crate::prelude::*;

/// Heard within this, a daemon may be granted something new.
const LIVE: Span = Span::millis(1400);

impl Placement {
    pub(super) fn all_reported(&self) -> bool {
        let due = |m: &&Member| matches!(m.id.kind(), Kind::Store | Kind::Delivery);
        let mut all = self.hard.members.values().filter(due).peekable();
        all.peek().is_some() && all.all(|m| self.seen.get(&m.id).is_some_and(|s| s.report.is_some()))
    }

    pub(super) fn repopulate(&mut self, now: Time) {
        let members: BTreeSet<Daemon> = self.hard.members.keys().cloned().collect();
        let built = rebuild(&self.rules.duties(), &members, &self.seen);
        let end = self.startup.terms.giver_end(now);
        for (duty, (holder, epoch)) in built.firm {
            let from_disk = self
                .seen
                .get(&holder)
                .and_then(|s| s.report.as_ref())
                .is_some_and(|r| r.claims.iter().any(|c| c.duty == duty && c.checkpoint));
            self.given.adopt(duty.clone(), holder.clone(), epoch, end);
            if from_disk {
                // Its memory is gone: the same holder, under a new epoch.
                self.given.renew_life(&duty, &holder, now);
            }
        }
        let hold = now + self.startup.hold;
        for (duty, store) in built.reserved {
            self.given.reserve(duty, store, hold);
        }
        for d in &built.late {
            self.note(Note::Late, d.to_string());
        }
        for (duty, owner) in built.placeheld {
            self.note(Note::Placeheld, format!("{duty} for {owner}"));
            self.given.reserve(duty, owner, hold);
        }
        self.late = built.late;
        self.turn(Office::Serving, now);
        self.publish();
        self.reconcile(now);
    }

    /// A report while serving: reservations and placeholders give way to the
    /// holder's own word, and a new life gets new epochs.
    pub(super) fn take_report(&mut self, from: &Daemon, report: &Report, anew: bool, now: Time) {
        if self.late.remove(from) {
            self.note(Note::Placeback, format!("{from} is no longer late"));
        }
        let claims: BTreeMap<&Duty, &Claim> = report.claims.iter().map(|c| (&c.duty, c)).collect();
        let mine: Vec<(Duty, Epoch, Time)> =
            self.given.iter().filter(|(_, g)| g.holder == *from).map(|(d, g)| (d.clone(), g.epoch, g.until)).collect();
        for (duty, epoch, until) in mine {
            let claim = claims.get(&duty);
            if report.leaving && claim.is_none() {
                self.given.release(&duty, from);
                continue;
            }
            if now >= until {
                continue;
            }
            // A store whose folder was lost keeps nothing until its copies
            // count again; its old life is over, so the place is free at once.
            if !self.counts(&duty, from) {
                self.given.release(&duty, from);
                continue;
            }
            if report.spent.contains(&(duty.clone(), epoch)) {
                self.given.renew_life(&duty, from, now);
            } else if epoch == Epoch::ZERO {
                let live = claim.filter(|c| !c.checkpoint && !anew);
                let Some(c) = live else {
                    self.given.renew_life(&duty, from, now);
                    continue;
                };
                if self.given.confirm(&duty, from, c.epoch, now) {
                    self.note(Note::Placeback, format!("{duty} at {from}"));
                }
            } else if anew || claim.is_some_and(|c| c.checkpoint) {
                self.given.renew_life(&duty, from, now);
            }
        }
        // A live claim nobody else holds, told after the window closed.
        let duties = self.rules.duties();
        for c in report.claims.iter().filter(|c| !c.checkpoint && !report.leaving) {
            if self.given.free(&c.duty, now) && self.given.get(&c.duty).is_none() && duties.contains(&c.duty) {
                self.given.adopt(c.duty.clone(), from.clone(), c.epoch, self.startup.terms.giver_end(now));
            }
        }
        for duty in &report.unheard {
            let settled = self.begun.get(duty).is_none_or(|t| now.since(*t) > Span::secs(3));
            let Some(holder) = self.given.get(duty).filter(|g| now < g.until).map(|g| g.holder.clone()) else { continue };
            if settled && !self.shed.contains_key(duty) {
                let zone = self.hard.members.get(from).map(|m| m.zone.clone());
                self.note(Note::Apart, format!("{duty} at {holder} and {from}"));
                self.apart.insert(duty.clone(), (holder, zone, now));
                self.shed.insert(duty.clone(), now);
            }
        }
        for (duty, epoch) in &report.gave {
            if self.given.get(duty).is_some_and(|g| g.holder == *from && g.epoch == *epoch) {
                self.given.release(duty, from);
                self.shed.remove(duty);
            }
        }
        for (place, store, mark) in &report.whole {
            let set = self.hard.layout.get(place);
            let known = self.seen.get(store).is_some_and(|s| s.disk == *mark);
            if known && set.is_some_and(|s| s.iter().any(|(d, m)| d == store && m != mark)) {
                let order = Order::Reseat { place: place.clone(), out: store.clone(), put: (store.clone(), *mark) };
                self.propose_once(format!("reseat {place} {store}"), order, now);
            }
            if known && self.joiner(place).as_ref() == Some(store) {
                let Some(out) = self.retiring_of(place).filter(|d| d != from) else { continue };
                let order = Order::Reseat { place: place.clone(), out: out.clone(), put: (store.clone(), *mark) };
                self.propose_once(format!("reseat {place} {out}"), order, now);
            }
        }
    }

    /// Whether a daemon's folder is one that counts for a duty.
    fn counts(&self, duty: &Duty, d: &Daemon) -> bool {
        let Duty::Keep(place) = duty else { return true };
        let disk = self.seen.get(d).map(|s| s.disk);
        self.hard.layout.get(place).is_some_and(|set| set.iter().any(|(x, m)| x == d && Some(*m) == disk))
    }

    fn retiring(&self, d: &Daemon) -> bool {
        self.hard.retiring.get(d).is_some_and(|r| *r != Retirement::None)
    }
    /// The retiring store in a partition's write set, if any.
    pub(super) fn retiring_of(&self, place: &Place) -> Option<Daemon> {
        self.hard.layout.get(place)?.iter().map(|s| s.0.clone()).find(|d| self.retiring(d))
    }
    /// The store that takes a retiring one's seat: zones apart first.
    pub(super) fn joiner(&self, place: &Place) -> Option<Daemon> {
        let out = self.retiring_of(place)?;
        let set = self.hard.layout.get(place)?;
        let zone = |d: &Daemon| self.hard.members.get(d).map(|m| m.zone.clone());
        let zones: BTreeSet<_> = set.iter().filter(|s| s.0 != out).map(|s| zone(&s.0)).collect();
        self.hard
            .of(Kind::Store)
            .filter(|m| !self.retiring(&m.id) && !set.iter().any(|s| s.0 == m.id))
            .min_by_key(|m| (zones.contains(&Some(m.zone.clone())), hash_of(format!("{place}@{}", m.id).as_bytes())))
            .map(|m| m.id.clone())
    }
    /// Places a retiring store still has a seat in.
    pub(super) fn seats_of(&self, d: &Daemon) -> usize {
        self.hard.layout.values().filter(|set| set.iter().any(|s| s.0 == *d)).count()
    }

    /// Asks holders to give duties up: all of a retiring store's, and one at
    /// a time where another could carry it with less. Nothing is taken away.
    fn balance(&mut self, now: Time) {
        if now.since(self.balanced) < Span::secs(1) || now < self.startup.terms.giver_end(self.won) {
            return;
        }
        self.balanced = now;
        self.shed.retain(|_, t| now.since(*t) < Span::secs(5));
        for (d, r) in self.hard.retiring.clone() {
            if r == Retirement::Asked && self.seats_of(&d) == 0 {
                let order = Order::Retire { store: d.clone(), state: Retirement::Done };
                self.propose_once(format!("retired {d}"), order, now);
            }
        }
        let held: Vec<(Duty, Daemon)> =
            self.given.iter().filter(|(_, g)| now < g.until).map(|(d, g)| (d.clone(), g.holder.clone())).collect();
        for (duty, holder) in &held {
            if self.retiring(holder) && matches!(duty, Duty::Keep(_)) {
                self.shed.insert(duty.clone(), now);
            }
        }
        let moved = self.apart.values().any(|a| now.since(a.2) < Span::secs(15));
        if !self.shed.is_empty() || moved {
            return;
        }
        let kind = |d: &Duty| matches!(d, Duty::Keep(_));
        let load = |d: &Daemon, keep: bool| held.iter().filter(|(x, h)| h == d && kind(x) == keep).count();
        for (duty, holder) in &held {
            let others: Vec<Daemon> = match duty {
                Duty::Keep(p) => self.hard.layout.get(p).into_iter().flatten().map(|s| s.0.clone()).collect(),
                _ => self.hard.of(Kind::Delivery).map(|m| m.id.clone()).collect(),
            };
            let keep = kind(duty);
            let here = load(holder, keep);
            let better = others.iter().any(|d| self.live(d, now) && self.counts(duty, d) && load(d, keep) + 2 <= here);
            if better {
                self.shed.insert(duty.clone(), now);
                return;
            }
        }
    }

    fn live(&self, d: &Daemon, now: Time) -> bool {
        let doubted =
            self.doubts.get(d).is_some_and(|by| by.values().filter(|t| now.since(**t) < Span::millis(2500)).count() >= 2);
        let heard =
            self.seen.get(d).is_some_and(|s| now.since(s.at) < LIVE && s.hears && s.report.as_ref().is_some_and(|r| !r.leaving));
        heard && !self.retiring(d) && !(doubted && now.since(self.seen[d].at) > Span::millis(600))
    }

    /// Grants what the charter calls for and nobody holds.
    pub(super) fn reconcile(&mut self, now: Time) {
        let duties = self.rules.duties();
        let gone: Vec<Duty> =
            self.given.iter().filter(|(_, g)| now >= g.until && g.epoch == Epoch::ZERO).map(|(d, _)| d.clone()).collect();
        for d in gone {
            self.note(Note::Reclaimed, d.to_string());
        }
        // What nobody accounts for may still be held under an earlier term.
        let sure = now >= self.startup.terms.giver_end(self.won);
        let free: Vec<Duty> =
            duties.iter().filter(|d| self.given.free(d, now) && (sure || self.given.get(d).is_some())).cloned().collect();
        if free.is_empty() {
            self.balance(now);
            return self.publish();
        }
        self.lay_out(&free, now);
        let mut loads: BTreeMap<Daemon, usize> = BTreeMap::new();
        for (d, g) in self.given.iter().filter(|(_, g)| now < g.until) {
            let weight = if matches!(d, Duty::Endpoint(_)) { 1 } else { 2 };
            *loads.entry(g.holder.clone()).or_default() += weight;
        }
        for duty in free {
            let fit: Vec<Daemon> = match &duty {
                Duty::Keep(place) => {
                    let Some(set) = self.hard.layout.get(place) else { continue };
                    set.iter().filter(|(d, m)| self.live(d, now) && self.seen[d].disk == *m).map(|(d, _)| d.clone()).collect()
                }
                _ => self.hard.of(Kind::Delivery).map(|m| m.id.clone()).filter(|d| self.live(d, now)).collect(),
            };
            // Cut apart before: rather one that stands with the store, or for
            // an endpoint, which many stores feed, in neither of their zones.
            let apart = self.apart.get(&duty).filter(|a| now.since(a.2) < Span::secs(15));
            let ill = |d: &Daemon| {
                let Some((was, zone, _)) = apart else { return 0 };
                let at = |x: &Daemon| self.hard.members.get(x).map(|m| m.zone.clone());
                let (here, there) = (at(d), at(was));
                match duty {
                    _ if d == was => 3,
                    Duty::Endpoint(_) => u8::from(here == there || here == *zone),
                    _ => u8::from(here != *zone),
                }
            };
            let spread = |d: &Daemon| hash_of(format!("{duty}@{d}").as_bytes());
            let Some(best) = fit.into_iter().min_by_key(|d| (ill(d), loads.get(d).copied().unwrap_or(0), spread(d))) else {
                continue;
            };
            let Some(epoch) = self.given.give(duty.clone(), best.clone(), now) else { continue };
            self.begun.insert(duty.clone(), now);
            *loads.entry(best.clone()).or_default() += 2;
            self.note(Note::Granted, format!("{duty} to {best} epoch {epoch}"));
        }
        self.publish();
    }

    /// Write sets for partitions that have none: three stores, zones apart.
    fn lay_out(&mut self, free: &[Duty], now: Time) {
        let mut stores: Vec<(Daemon, Zone, Mark)> = self
            .hard
            .of(Kind::Store)
            .filter(|m| self.live(&m.id, now))
            .map(|m| (m.id.clone(), m.zone.clone(), self.seen[&m.id].disk))
            .collect();
        if stores.len() < 3 {
            return;
        }
        let mut lay = BTreeMap::new();
        for duty in free {
            let Duty::Keep(place) = duty else { continue };
            if self.hard.layout.contains_key(place) {
                continue;
            }
            stores.sort_by_key(|s| hash_of(format!("{place}@{}", s.0).as_bytes()));
            let mut set: Vec<(Daemon, Mark)> = Vec::new();
            let mut zones = BTreeSet::new();
            for far in [true, false] {
                for (d, z, m) in &stores {
                    let new = zones.insert(z.clone());
                    if set.len() < 3 && (new || !far) && !set.iter().any(|x| x.0 == *d) {
                        set.push((d.clone(), *m));
                    }
                }
            }
            lay.insert(place.clone(), set);
        }
        if !lay.is_empty() {
            self.propose_once("layout".into(), Order::Layout(lay), now);
        }
    }

    /// Makes a new version of the places when any keeper changed.
    pub(super) fn publish(&mut self) {
        let placed: BTreeMap<Place, Placing> = self
            .given
            .iter()
            .filter_map(|(d, g)| match d {
                Duty::Keep(p) => Some((p.clone(), Placing { keeper: g.holder.clone(), epoch: g.epoch })),
                _ => None,
            })
            .collect();
        if placed == self.placed {
            return;
        }
        self.placed = placed;
        self.places_version.count += 1;
    }
}
