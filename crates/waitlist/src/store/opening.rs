//! Grants, sealing, and the way to serving under a new epoch.
use crate::prelude::*;

impl Store {
    pub(super) fn on_grants(&mut self, grants: Vec<Grant>, now: Time) {
        for g in grants {
            if self.checkpoint.get(&g.duty) != Some(&g.epoch) {
                // The design's incremental checkpoint: one line on each change.
                self.checkpoint.insert(g.duty.clone(), g.epoch);
                self.ledger.push(Line::Grant { duty: g.duty.clone(), epoch: g.epoch, on: true });
            }
            self.restored = false;
            let Duty::Keep(place) = g.duty else { continue };
            if self.leaving.is_some() {
                continue;
            }
            if self.gave.get(&Duty::Keep(place.clone())).is_some_and(|x| x.0 >= g.epoch) {
                self.link.held.give_up(&Duty::Keep(place));
                continue;
            }
            let p = self.parts.entry(place.clone()).or_default();
            if g.epoch < p.promised {
                self.counts.fenced += 1;
                continue;
            }
            match &mut p.own {
                // An epoch is opened once: its numbers must not begin again.
                None if g.epoch == p.promised => {
                    let duty = Duty::Keep(place);
                    self.link.held.give_up(&duty);
                    self.spent.insert(duty, g.epoch);
                }
                Some(own) if own.epoch == g.epoch => {
                    let changed = own.set != g.set;
                    own.set = g.set;
                    own.swap = g.swap;
                    if g.shed {
                        own.shed.get_or_insert(now);
                    }
                    if changed {
                        // A copy acknowledged before may count from now on.
                        self.commit(&place, now);
                    }
                }
                _ => self.open(place, g.epoch, g.set, now),
            }
        }
    }

    fn open(&mut self, place: Place, epoch: Epoch, set: Vec<(Daemon, Mark)>, now: Time) {
        self.close(&place, now);
        // A folder that does not count must not be one of the two that do.
        if !set.iter().any(|(d, m)| *d == self.startup.me.id && *m == self.mark) {
            return;
        }
        self.spent.remove(&Duty::Keep(place.clone()));
        self.note(Note::Opening, format!("{place} epoch {epoch}"));
        let p = self.parts.entry(place.clone()).or_default();
        p.promised = epoch;
        p.fetch = None;
        p.own = Some(Keep::new(epoch, set, now));
        self.ledger.push(Line::Promise { place: place.clone(), epoch });
        self.later(Then::Promised { place: place.clone(), epoch });
        self.seal(&place, now);
    }

    /// Gives a partition up: whoever waits is told that the end is unknown.
    pub(super) fn close(&mut self, place: &Place, _now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(own) = p.own.take() else { return };
        for wait in own.waits.into_values().flatten() {
            if let Wait::Carry { ask, proxy, via, .. } = wait {
                let to = via.clone().unwrap_or(proxy.clone());
                self.say(&to, Msg::Carried { ask, proxy, via, word: Carried::Unknown });
            }
        }
    }

    fn seal(&mut self, place: &Place, now: Time) {
        let me = self.startup.me.id.clone();
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
        own.asked = now;
        let epoch = own.epoch;
        let to: Vec<Daemon> =
            own.set.iter().map(|(d, _)| d.clone()).filter(|d| *d != me && !own.fences.contains_key(d)).collect();
        for d in to {
            self.say(&d, Msg::Seal { place: place.clone(), epoch });
        }
    }

    pub(super) fn on_seal(&mut self, from: Daemon, place: Place, epoch: Epoch, now: Time) {
        let p = self.parts.entry(place.clone()).or_default();
        if epoch < p.promised {
            let promised = p.promised;
            self.counts.fenced += 1;
            return self.say(&from, Msg::Refused { place, promised });
        }
        if epoch > p.promised {
            p.promised = epoch;
            p.fetch = None;
            self.close(&place, now);
            self.ledger.push(Line::Promise { place: place.clone(), epoch });
        }
        self.later(Then::Sealed { to: from, place, epoch });
    }

    pub(super) fn on_refused(&mut self, place: Place, promised: Epoch, now: Time) {
        let Some(p) = self.parts.get_mut(&place) else { return };
        if p.own.as_ref().is_none_or(|o| o.epoch >= promised) {
            return;
        }
        p.promised = p.promised.max(promised);
        self.counts.fenced += 1;
        self.note(Note::Fenced, format!("{place} by epoch {promised}"));
        self.ledger.push(Line::Promise { place: place.clone(), epoch: promised });
        self.close(&place, now);
    }

    pub(super) fn promised(&mut self, place: &Place, epoch: Epoch, now: Time) {
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
        if own.epoch != epoch {
            return;
        }
        own.promised = true;
        self.sealed(place, now);
    }

    pub(super) fn on_sealed(&mut self, from: Daemon, place: Place, epoch: Epoch, fence: Fence, now: Time) {
        let Some(own) = self.parts.get_mut(&place).and_then(|p| p.own.as_mut()) else { return };
        if own.epoch != epoch {
            return;
        }
        own.sibs.entry(from.clone()).or_default().mark = fence.mark;
        own.fences.insert(from, fence);
        self.sealed(&place, now);
    }

    /// With a majority fenced, the replica with the highest (installed, n)
    /// among them holds everything ever acknowledged.
    fn sealed(&mut self, place: &Place, now: Time) {
        let me = self.startup.me.id.clone();
        let mark = self.mark;
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(own) = p.own.as_mut() else { return };
        if own.phase != Phase::Sealing || !own.promised {
            return;
        }
        let mut full: Vec<(Daemon, (Epoch, u64))> =
            own.fences.iter().filter(|(d, f)| own.counts(d, f.mark)).map(|(d, f)| (d.clone(), (f.installed, f.n))).collect();
        let mine = (p.installed, p.n);
        if own.counts(&me, mark) {
            full.push((me.clone(), mine));
        }
        if full.len() < own.majority() {
            return;
        }
        let Some(best) = full.iter().max_by_key(|x| x.1).cloned() else { return };
        own.was = Some(best.1);
        let whole = own.counts(&me, mark) && mine == best.1;
        if whole {
            return self.adopt(place, now);
        }
        let epoch = own.epoch;
        self.turn(place, Phase::Fetching, now);
        self.begin_fetch(place, epoch, best.0, now);
    }

    /// This replica takes the epoch with the contents it has.
    pub(super) fn adopt(&mut self, place: &Place, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(own) = p.own.as_ref() else { return };
        let epoch = own.epoch;
        p.installed = epoch;
        p.n = 0;
        self.ledger.push(Line::Adopt { place: place.clone(), epoch });
        self.later(Then::Own { place: place.clone(), epoch, upto: 0 });
        self.turn(place, Phase::Spreading, now);
    }

    /// The one function for every change of a partition's phase.
    pub(super) fn turn(&mut self, place: &Place, phase: Phase, now: Time) {
        let bound = self.bound();
        let ordered = self.link.rules.rule_of(place).is_some_and(|r| r.ordered);
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(own) = p.own.as_mut() else { return };
        own.phase = phase;
        own.asked = Time(0);
        match phase {
            Phase::Sealing | Phase::Fetching => {}
            Phase::Spreading => {
                own.mate = None;
                self.match_mate(place, now);
            }
            Phase::Serving => {
                own.quiet = now + bound;
                own.lane = Lane { ordered, ..Lane::default() };
                let mut all: Vec<&Rec> = p.recs.values().collect();
                all.sort_by_key(|r| r.head.seq);
                for r in all {
                    own.lane.enter(&r.head, r.stage, own.quiet);
                }
                let text = format!("{place} epoch {} after {} ms", own.epoch, now.since(own.began).as_millis());
                self.note(Note::Opened, text);
            }
        }
    }

    /// Gives up each partition being shed once nobody waits on it any more,
    /// or soon after, so that placement may grant it at once.
    fn hand_over(&mut self, now: Time) {
        let done = |o: &Keep| o.shed.is_some_and(|t| o.waits.is_empty() || now.since(t) > Span::millis(1500));
        let all: Vec<(Place, Epoch)> =
            self.parts.iter().filter_map(|(k, p)| p.own.as_ref().filter(|o| done(o)).map(|o| (k.clone(), o.epoch))).collect();
        for (place, epoch) in all {
            self.close(&place, now);
            let duty = Duty::Keep(place);
            self.link.held.give_up(&duty);
            self.gave.insert(duty, (epoch, now));
            self.link.hurry(now);
        }
    }

    /// The daemon leaves: all its partitions are shed.
    pub(super) fn shed_all(&mut self, now: Time) {
        for own in self.parts.values_mut().filter_map(|p| p.own.as_mut()) {
            own.shed.get_or_insert(now);
        }
    }

    /// No attempt handed out before is under way after this long.
    pub(super) fn bound(&self) -> Span {
        (self.link.rules.attempt_max() + GRACE).percent(110)
    }

    /// Twice a beat: asks again what has not been answered.
    pub(super) fn drive(&mut self, now: Time) {
        self.hand_over(now);
        let owned: Vec<Place> = self.parts.iter().filter(|(_, p)| p.own.is_some()).map(|(k, _)| k.clone()).collect();
        for place in owned {
            let duty = Duty::Keep(place.clone());
            // A lease that ran out here pauses all acts. The state stays: the
            // same epoch may come back, and then nobody else had the place;
            // a higher one fences it.
            if self.link.may(&duty, now).is_none() {
                continue;
            }
            let Some(own) = self.parts.get(&place).and_then(|p| p.own.as_ref()) else { continue };
            let stale = now.since(own.asked) > Span::millis(300);
            match own.phase {
                Phase::Sealing if stale => self.seal(&place, now),
                Phase::Fetching if stale => self.retry_fetch(&place, now),
                Phase::Spreading | Phase::Serving => self.tend(&place, now),
                _ => {}
            }
        }
        let copying: Vec<Place> = self
            .parts
            .iter()
            .filter(|(_, p)| p.own.is_none() && p.fetch.as_ref().is_some_and(|f| now.since(f.asked) > Span::millis(400)))
            .map(|(k, _)| k.clone())
            .collect();
        for place in copying {
            self.retry_fetch(&place, now);
        }
        self.gave.retain(|_, x| now.since(x.1) < Span::secs(6));
        // Leases that ran out leave the checkpoint too.
        if !self.restored {
            let gone: Vec<Duty> = self.checkpoint.keys().filter(|d| self.link.may(d, now).is_none()).cloned().collect();
            for duty in gone {
                if let Some(epoch) = self.checkpoint.remove(&duty) {
                    self.ledger.push(Line::Grant { duty, epoch, on: false });
                }
            }
        }
    }
}

/// A room may be this old when an attempt is handed out under it.
pub const GRACE: Span = Span::secs(1);
