//! Handing attempts out and taking their ends in.
use crate::prelude::*;
use crate::store::opening::GRACE;
use crate::store::RoomAt;

/// Partitions with something due; for a call-back, with its desk.
type Lanes = Vec<(Place, Option<String>)>;

impl Store {
    pub(super) fn on_room(
        &mut self,
        from: Daemon,
        asked: Time,
        duties: Vec<Room>,
        places: Vec<(Place, Epoch)>,
        holding: Vec<Holding>,
        now: Time,
    ) {
        let bound = self.bound();
        self.stirred = true;
        for room in duties {
            let old = self.rooms.get(&room.duty);
            if old.is_some_and(|r| r.room.epoch > room.epoch || (r.to == from && r.asked > asked)) {
                self.counts.fenced += 1;
                continue;
            }
            // Another holder: what its predecessor did not tell is not its doing.
            if self.rooms.get(&room.duty).is_some_and(|r| r.to != from) {
                self.mute.remove(&room.duty);
            }
            if room.since >= bound {
                self.wake(&room.duty, &places, &holding, now);
            }
            self.rooms.insert(room.duty.clone(), RoomAt { to: from.clone(), room, asked, at: now });
        }
    }

    /// The duty's holder has held it longer than any attempt lasts, so what
    /// it does not hold in hand is not under way and need not rest.
    fn wake(&mut self, duty: &Duty, places: &[(Place, Epoch)], holding: &[Holding], now: Time) {
        for (place, epoch) in places {
            let Some(rule) = self.link.rules.rule_of(place) else { continue };
            let work = rule.duty(place) == *duty;
            let Some(p) = self.parts.get_mut(place) else { continue };
            let Some(own) = p.own.as_mut() else { continue };
            if own.epoch != *epoch || own.phase != Phase::Serving || own.quiet <= now {
                continue;
            }
            let held: BTreeSet<u64> =
                holding.iter().filter(|h| h.place == *place).filter_map(|h| p.recs.get(&h.id)).map(|r| r.head.seq).collect();
            let quiet = own.quiet;
            let mut set = match duty {
                Duty::Endpoint(e) if !work => own.lane.calls.get_mut(e),
                _ if work => Some(&mut own.lane.line),
                _ => None,
            };
            let Some(set) = set.as_mut() else { continue };
            let rest: Vec<u64> = set.iter().filter(|(t, s)| *t == quiet && !held.contains(s)).map(|(_, s)| *s).collect();
            for s in rest {
                set.remove(&(quiet, s));
                set.insert((now, s));
            }
        }
    }

    /// Hands out what is due, within the room each delivery has. Looked at
    /// when something was stirred, and on each clock event.
    pub(super) fn fill(&mut self, now: Time) {
        if !std::mem::take(&mut self.stirred) || self.rooms.is_empty() || !self.link.fresh(now) {
            return;
        }
        let (lanes, out) = self.due_lanes(now);
        let mut offers: BTreeMap<Daemon, (Time, Vec<Offer>)> = BTreeMap::new();
        for (duty, lanes) in lanes {
            let Some(r) = self.rooms.get(&duty) else { continue };
            if now.since(r.at) > GRACE.percent(80) {
                continue;
            }
            let (to, room, asked) = (r.to.clone(), r.room.room as usize, r.asked);
            let mut out = out.get(&duty).copied().unwrap_or(0);
            let mut idle = 0;
            let mut at = 0;
            while out < room && idle < lanes.len() {
                let (place, desk) = &lanes[at % lanes.len()];
                at += 1;
                match self.take(place, desk.as_deref(), &duty, &to, now) {
                    Some(offer) => {
                        idle = 0;
                        out += 1;
                        self.counts.offers += 1;
                        offers.entry(to.clone()).or_insert((asked, Vec::new())).1.push(offer);
                    }
                    None => idle += 1,
                }
            }
        }
        for (to, (asked, all)) in offers {
            self.say(&to, Msg::Offers { asked, all });
        }
    }

    /// In one pass: the lanes that have something due, by duty, and how many
    /// attempts of each duty its present holder has in hand.
    fn due_lanes(&self, now: Time) -> (BTreeMap<Duty, Lanes>, BTreeMap<Duty, usize>) {
        let due = |set: &BTreeSet<(Time, u64)>| set.first().is_some_and(|f| f.0 <= now);
        let mut lanes: BTreeMap<Duty, Lanes> = BTreeMap::new();
        let mut out: BTreeMap<Duty, usize> = BTreeMap::new();
        for (place, p) in &self.parts {
            let Some(own) = p.own.as_ref() else { continue };
            for f in own.lane.flights.values() {
                if self.rooms.get(&f.duty).is_some_and(|r| r.to == f.to) {
                    *out.entry(f.duty.clone()).or_default() += 1;
                }
            }
            let work = due(&own.lane.line);
            let calls = own.lane.calls.values().any(due);
            if !(work || calls) || own.shed.is_some() || !self.serving(place, now) {
                continue;
            }
            if let (true, Some(rule)) = (work, self.link.rules.rule_of(place)) {
                lanes.entry(rule.duty(place)).or_default().push((place.clone(), None));
            }
            for (desk, _) in own.lane.calls.iter().filter(|(_, set)| due(set)) {
                lanes.entry(Duty::Endpoint(desk.clone())).or_default().push((place.clone(), Some(desk.clone())));
            }
        }
        (lanes, out)
    }

    fn take(&mut self, place: &Place, desk: Option<&str>, duty: &Duty, to: &Daemon, now: Time) -> Option<Offer> {
        let attempt = self.link.rules.rule_of(place)?.attempt;
        loop {
            let p = self.parts.get_mut(place)?;
            let own = p.own.as_mut()?;
            let seq = own.lane.pop(desk, now)?;
            let Some(r) = own.lane.ids.get(&seq).and_then(|id| p.recs.get(id)) else { continue };
            if !r.head.sound(&r.body) {
                let id = r.head.id.clone();
                // A bad copy is never handed out; the mate's is as good as ours was.
                self.note(Note::BadBody, format!("{place} {id}"));
                continue;
            }
            if own.won.remove(&seq) {
                let (id, next) = (r.head.id.clone(), won(r));
                self.stage(place, &id, next, None, now);
                continue;
            }
            let old = r.head.ttl.is_some_and(|ttl| now.since(r.taken) > ttl);
            if old && r.stage == Stage::Work {
                let id = r.head.id.clone();
                self.stage(place, &id, Stage::Ended(Outcome::Expired), None, now);
                continue;
            }
            own.attempts += 1;
            let flight =
                Flight { duty: duty.clone(), to: to.clone(), attempt: own.attempts, end: now + (attempt + GRACE).percent(105) };
            let offer = Offer {
                duty: duty.clone(),
                place: place.clone(),
                head: r.head.clone(),
                stage: r.stage,
                epoch: own.epoch,
                attempt: own.attempts,
                body: r.body.clone(),
            };
            own.lane.flights.insert(seq, flight);
            return Some(offer);
        }
    }

    /// Writes a new stage and tells when it stands on two stores.
    pub(super) fn stage(&mut self, place: &Place, id: &MessageId, stage: Stage, tell: Option<Wait>, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let (Some(own), Some(r)) = (p.own.as_mut(), p.recs.get(id)) else { return };
        own.shown.entry(id.clone()).or_insert(Some(r.stage));
        if matches!(stage, Stage::Ended(_)) {
            self.counts.ended += 1;
        }
        let n = self.write(place, Op::Stage(id.clone(), stage), now);
        self.wait(place, n, Wait::Staged { id: id.clone() }, now);
        if let Some(wait) = tell {
            self.wait(place, n, wait, now);
        }
    }

    pub(super) fn on_settled(&mut self, from: Daemon, all: Vec<Settled>, now: Time) {
        let mut noted = Vec::new();
        self.stirred = true;
        for s in &all {
            if let Some(rule) = self.link.rules.rule_of(&s.place) {
                self.mute.remove(&rule.duty(&s.place));
            }
        }
        for s in all {
            if !self.serving(&s.place, now) {
                continue;
            }
            let tell = Wait::Settle { to: from.clone(), attempt: s.attempt, epoch: s.epoch };
            let Some(p) = self.parts.get_mut(&s.place) else { continue };
            let n = p.n;
            let Some(own) = p.own.as_mut() else { continue };
            let Some(r) = p.recs.get_mut(&s.id) else {
                noted.push((s.place, s.epoch, s.attempt));
                continue;
            };
            if r.stage.rank() > s.stage.rank() || own.won.contains(&r.head.seq) {
                // Told before; it may still be on its way to two stores.
                if !own.won.contains(&r.head.seq) {
                    self.wait(&s.place, n, tell, now);
                }
                continue;
            }
            let seq = r.head.seq;
            let flown = own.epoch == s.epoch && own.lane.flights.get(&seq).is_some_and(|f| f.attempt == s.attempt);
            match s.told {
                // Worker evidence stands above what the keeper itself guesses,
                // but while another attempt may be under way it is kept back.
                Told::Success if !flown && (own.lane.flights.contains_key(&seq) || own.lane.rests(seq, own.quiet, now)) => {
                    own.won.insert(seq);
                }
                Told::Success => {
                    let next = won(r);
                    own.lane.flights.remove(&seq);
                    own.won.remove(&seq);
                    self.stage(&s.place, &s.id, next, Some(tell), now);
                }
                Told::Never if s.stage == Stage::Work && flown => {
                    own.lane.flights.remove(&seq);
                    self.stage(&s.place, &s.id, Stage::Ended(Outcome::Failed), Some(tell), now);
                }
                Told::Never | Told::Again | Told::Unstarted => {
                    noted.push((s.place.clone(), s.epoch, s.attempt));
                    if !flown {
                        continue;
                    }
                    own.lane.flights.remove(&seq);
                    self.back(&s.place, &s.id, s.told != Told::Unstarted, now);
                }
            }
        }
        if !noted.is_empty() {
            self.say(&from, Msg::Noted { all: noted });
        }
    }

    /// An attempt ended without success: again later, or given up.
    fn back(&mut self, place: &Place, id: &MessageId, tried: bool, now: Time) {
        let max = self.link.rules.rule_of(place).map_or(1, |r| r.attempts);
        let (base, cap) = (self.startup.backoff, self.startup.backoff_max);
        let jitter = self.rng.u64(50..=100);
        let Some(p) = self.parts.get_mut(place) else { return };
        let (Some(own), Some(r)) = (p.own.as_mut(), p.recs.get_mut(id)) else { return };
        if own.won.remove(&r.head.seq) {
            let next = won(r);
            return self.stage(place, id, next, None, now);
        }
        if tried {
            r.tries += 1;
        }
        let pause = match tried {
            true => Span((base.0 << r.tries.min(16).saturating_sub(1)).min(cap.0)).percent(jitter),
            false => Span::millis(100),
        };
        match r.stage {
            Stage::Work if r.tries >= max => self.stage(place, id, Stage::Ended(Outcome::GivenUp), None, now),
            Stage::Work => {
                own.lane.line.insert((now + pause, r.head.seq));
            }
            // The work succeeded; a desk that never wakes does not undo that.
            Stage::Calling if now.since(r.ended) > CALLING_MAX => {
                self.stage(place, id, Stage::Ended(Outcome::Succeeded), None, now)
            }
            Stage::Calling => {
                let desk = r.head.desk.clone();
                own.lane.calls.entry(desk).or_default().insert((now + pause, r.head.seq));
            }
            Stage::Ended(_) => {}
        }
    }

    /// Each second: attempts past their hard end, messages past their reading
    /// time or their worth, and the oldest files.
    pub(super) fn sweep(&mut self, now: Time) {
        let retain = self.link.rules.retain;
        let owned: Vec<Place> = self.parts.keys().filter(|p| self.serving(p, now)).cloned().collect();
        for place in owned {
            let Some(p) = self.parts.get_mut(&place) else { continue };
            let Some(own) = p.own.as_mut() else { continue };
            let mute = &mut self.mute;
            own.lane.flights.values().filter(|f| now >= f.end).for_each(|f| *mute.entry(f.duty.clone()).or_default() += 1);
            let late: Vec<MessageId> = own.lane.overdue(now).into_iter().filter_map(|s| own.lane.ids.get(&s).cloned()).collect();
            // Kept-back successes whose other attempts are over by now.
            let (quiet, lane) = (own.quiet, &own.lane);
            let sure: Vec<MessageId> = own
                .won
                .iter()
                .filter(|s| !lane.flights.contains_key(s) && !lane.rests(**s, quiet, now))
                .filter_map(|s| lane.ids.get(s).cloned())
                .collect();
            let mut drop = Vec::new();
            let mut old = Vec::new();
            for (id, r) in &p.recs {
                match r.stage {
                    Stage::Ended(_) if retain > Span::ZERO && now.since(r.ended) > retain => drop.push(id.clone()),
                    Stage::Work
                        if r.head.ttl.is_some_and(|t| now.since(r.taken) > t) && !own.lane.flights.contains_key(&r.head.seq) =>
                    {
                        old.push(id.clone());
                    }
                    _ => {}
                }
            }
            for id in late {
                self.back(&place, &id, true, now);
            }
            for id in sure {
                self.settle_won(&place, &id, now);
            }
            for id in old {
                self.stage(&place, &id, Stage::Ended(Outcome::Expired), None, now);
            }
            for id in drop.into_iter().take(2000) {
                self.write(&place, Op::Drop(id), now);
            }
        }
        self.watch_duties(now);
        self.clean();
    }

    /// Notes duties that have something due and a holder that we do not hear.
    fn watch_duties(&mut self, now: Time) {
        if !self.link.fresh(now) {
            return self.starved.clear();
        }
        let (lanes, _) = self.due_lanes(now);
        self.starved.retain(|d, _| lanes.contains_key(d));
        for duty in lanes.into_keys() {
            if self.rooms.get(&duty).is_some_and(|r| now.since(r.at) < Span::millis(1500)) {
                self.starved.remove(&duty);
                continue;
            }
            self.starved.entry(duty).or_insert(now);
        }
    }

    /// What placement is told of them.
    pub(super) fn unheard(&self, now: Time) -> Vec<Duty> {
        let quiet = self.starved.iter().filter(|(_, t)| now.since(**t) >= Span::millis(1500)).map(|(d, _)| d.clone());
        // A delivery always tells an attempt's end; one that does not is cut
        // off. Moving an endpoint costs its newcomer's share, so twice there.
        let few = |d: &Duty| if matches!(d, Duty::Endpoint(_)) { 2 } else { 1 };
        let mute = self.mute.iter().filter(|(d, n)| **n >= few(d)).map(|(d, _)| d.clone());
        quiet.chain(mute).collect::<BTreeSet<Duty>>().into_iter().collect()
    }

    /// A success kept back is shown now that nothing else is under way.
    fn settle_won(&mut self, place: &Place, id: &MessageId, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let (Some(own), Some(r)) = (p.own.as_mut(), p.recs.get(id)) else { return };
        let seq = r.head.seq;
        if !own.won.remove(&seq) {
            return;
        }
        let next = won(r);
        own.lane.line.retain(|(_, s)| *s != seq);
        own.lane.calls.values_mut().for_each(|c| c.retain(|(_, s)| *s != seq));
        self.stage(place, id, next, None, now);
    }

    /// Writes the few living records of the oldest file again, so it can go.
    fn clean(&mut self) {
        let Some((first, last)) = self.ledger.sparse() else { return };
        let home = self.ledger.next();
        let mut lines = Vec::new();
        for (place, p) in self.parts.iter_mut() {
            for r in p.recs.values_mut().filter(|r| first <= r.home && r.home <= last) {
                self.ledger.unsettle(r.home);
                self.ledger.settle(home);
                r.home = home;
                let body = r.body.clone();
                lines.push(Line::Body { place: place.clone(), head: r.head.clone(), stage: r.stage, body });
            }
        }
        for line in lines {
            self.ledger.push(line);
        }
    }
}

/// The stage after a success.
fn won(r: &Rec) -> Stage {
    match (r.stage, r.head.desk.is_empty()) {
        (Stage::Work, false) => Stage::Calling,
        _ => Stage::Ended(Outcome::Succeeded),
    }
}

/// How long a call-back is tried.
const CALLING_MAX: Span = Span::secs(600);
