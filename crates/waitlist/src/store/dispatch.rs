//! Handing attempts out and taking their ends in.
use super::Parked;
use crate::prelude::*;
use crate::store::opening::GRACE;
use crate::store::RoomAt;

/// Call-backs owed or soon to be, by desk and tenant.
type Owed = BTreeMap<(String, String), u64>;

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
        let mut owed = self.owed();
        let mut offers: BTreeMap<Daemon, (Time, Vec<Offer>)> = BTreeMap::new();
        for (duty, lanes) in lanes {
            let Some(r) = self.rooms.get(&duty) else { continue };
            if now.since(r.at) > GRACE.percent(80) {
                continue;
            }
            let (to, room, asked) = (r.to.clone(), r.room.room as usize, r.asked);
            let mut out = out.get(&duty).copied().unwrap_or(0);
            let mut lanes = self.weigh(lanes);
            let mut turns = self.turns.remove(&duty).unwrap_or_default();
            while out < room {
                let Some(name) = turns.next(lanes.iter().map(|l| (l.0.as_str(), l.1))) else { break };
                let Some(at) = lanes.iter().position(|l| l.0 == name) else { break };
                let (_, _, place, desk) = &lanes[at];
                match self.take(place, desk.as_deref(), &duty, &to, &mut owed, now) {
                    Some(offer) => {
                        out += 1;
                        self.counts.offers += 1;
                        offers.entry(to.clone()).or_insert((asked, Vec::new())).1.push(offer);
                    }
                    None => _ = lanes.swap_remove(at),
                }
            }
            self.turns.insert(duty, turns);
        }
        for (to, (asked, all)) in offers {
            self.say(&to, Msg::Offers { asked, all });
        }
    }

    /// Lanes of one duty with their names and weights: a tenant's share,
    /// spread over its lanes.
    fn weigh(&self, lanes: Lanes) -> Vec<(String, u32, Place, Option<String>)> {
        let mut count: BTreeMap<String, u32> = BTreeMap::new();
        for (p, _) in &lanes {
            *count.entry(p.tenant.clone()).or_default() += 1;
        }
        let weight = |p: &Place| {
            let share = self.link.rules.shares.get(&p.tenant).copied().unwrap_or(1);
            (share * 1000 / count[&p.tenant]).max(1)
        };
        lanes.into_iter().map(|(p, d)| (format!("{p}{}", d.as_deref().unwrap_or("")), weight(&p), p, d)).collect()
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

    /// What each tenant owes each desk here, or may soon: call-backs waiting
    /// and under way, and work under way that ends in one.
    fn owed(&self) -> Owed {
        let mut owed = Owed::new();
        for (place, p) in &self.parts {
            let Some(own) = p.own.as_ref() else { continue };
            for (desk, set) in own.lane.calls.iter().filter(|c| !c.1.is_empty()) {
                *owed.entry((desk.clone(), place.tenant.clone())).or_default() += set.len() as u64;
            }
            for f in own.lane.flights.values().filter(|f| !f.owes.is_empty()) {
                *owed.entry((f.owes.clone(), place.tenant.clone())).or_default() += 1;
            }
        }
        owed
    }

    /// How much a tenant may owe a desk from here: its share of what the desk
    /// takes in `OWED`, spread over the stores. Work that could not be called
    /// back in time waits instead. A bound on the stock, not on the rate: it
    /// is felt only when the desk is behind.
    fn owes_at_most(&self, desk: &str, tenant: &str) -> u64 {
        let rules = &self.link.rules;
        let Some(e) = rules.endpoints.get(desk) else { return u64::MAX };
        let stores = self.link.members.keys().filter(|d| d.kind() == Kind::Store).count().max(1) as u64;
        let all: u64 = rules.shares.values().map(|s| u64::from(*s)).sum();
        let share = u64::from(rules.shares.get(tenant).copied().unwrap_or(1));
        let whole = u64::from(e.allowance) * OWED.0 * 8 / 10_000_000;
        (whole * share).checked_div(all * stores).unwrap_or(0).max(2)
    }

    fn take(&mut self, place: &Place, desk: Option<&str>, duty: &Duty, to: &Daemon, owed: &mut Owed, now: Time) -> Option<Offer> {
        let attempt = self.link.rules.rule_of(place)?.attempt;
        let (mut held, mut later) = (0, 0);
        let desks = self.link.rules.rule_of(place)?.desks.clone();
        let bounds: Vec<(String, u64)> = desks.into_iter().map(|d| (d.clone(), self.owes_at_most(&d, &place.tenant))).collect();
        let most = |desk: &str| bounds.iter().find(|b| b.0 == desk).map_or(u64::MAX, |b| b.1);
        loop {
            let p = self.parts.get_mut(place)?;
            let own = p.own.as_mut()?;
            let seq = own.lane.pop(desk, now)?;
            let Some(r) = own.lane.ids.get(&seq).and_then(|id| p.recs.get(id)) else { continue };
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
            let key = (r.head.desk.clone(), place.tenant.clone());
            let due = if key.0.is_empty() { 0 } else { owed.get(&key).copied().unwrap_or(0) };
            if r.stage == Stage::Work && due > 0 && due >= most(&key.0) {
                // Others behind it may owe another desk.
                own.lane.line.insert((now + HELD, seq));
                held += 1;
                if held >= HELD_MAX {
                    return None;
                }
                continue;
            }
            let id = r.head.id.clone();
            let wait = |own: &mut Keep, at: Time| match desk {
                Some(d) => own.lane.calls.entry(d.to_string()).or_default().insert((at, seq)),
                None => own.lane.line.insert((at, seq)),
            };
            // A call-back carries none of the bytes, and its head says so.
            let mut head = r.head.clone();
            let body = match &r.body {
                _ if r.stage == Stage::Calling => {
                    (head.len, head.crc) = (0, crc32(b""));
                    Bytes::new()
                }
                Some(b) if r.head.sound(b) => b.clone(),
                None if !self.cache.is_bad(place, &id) => {
                    let at = now + READ;
                    wait(own, at);
                    later += 1;
                    let who = Parked::Due { desk: desk.map(String::from), at, seq };
                    if !self.park(place, &id, who) || later >= LATER_MAX {
                        return None;
                    }
                    continue;
                }
                _ => {
                    wait(own, now + BAD);
                    self.found_bad(place, &id, now);
                    continue;
                }
            };
            if !key.0.is_empty() && r.stage == Stage::Work {
                *owed.entry(key).or_default() += 1;
            }
            own.attempts += 1;
            let flight = Flight {
                duty: duty.clone(),
                to: to.clone(),
                attempt: own.attempts,
                owes: r.head.desk.clone(),
                end: now + (attempt + GRACE).percent(105),
            };
            let offer = Offer {
                duty: duty.clone(),
                place: place.clone(),
                head,
                stage: r.stage,
                epoch: own.epoch,
                attempt: own.attempts,
                body,
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
        self.forget(now);
        self.watch_duties(now);
        self.clean();
    }

    /// A copy that no keeper tends hears of no drops. What ended here lets go
    /// of its room all the same, later than any keeper would drop it.
    fn forget(&mut self, now: Time) {
        let retain = self.link.rules.retain;
        if retain == Span::ZERO {
            return;
        }
        for (place, p) in self.parts.iter_mut().filter(|(_, p)| p.own.is_none() && p.fetch.is_none()) {
            let past = |r: &Rec| matches!(r.stage, Stage::Ended(_)) && now.since(r.ended) > retain + FORGET;
            let old: Vec<MessageId> = p.recs.iter().filter(|(_, r)| past(r)).map(|(id, _)| id.clone()).take(1000).collect();
            for id in old {
                self.held_bytes += p.drop(place, &id, &mut self.ledger);
                self.ledger.push(Line::Op { place: place.clone(), n: p.n, op: Op::Drop(id) });
            }
        }
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

    /// Writes living records of the oldest file again, a part at a time, so
    /// that it can go; what is not in memory is read back for the next time.
    fn clean(&mut self) {
        // A record's lines take some room beside its bytes.
        let count: usize = self.parts.values().map(|p| p.recs.len()).sum();
        let live = self.held_bytes.max(0) as u64 + count as u64 * 400;
        let Some((first, last)) = self.ledger.sparse(live) else { return };
        let home = self.ledger.next();
        let mut lines = Vec::new();
        let mut absent = Vec::new();
        let mut size = 0;
        for (place, p) in self.parts.iter_mut() {
            for r in p.recs.values_mut().filter(|r| first <= r.home && r.home <= last) {
                size += u64::from(r.head.len) + 256;
                if size > CLEAN {
                    break;
                }
                let Some(body) = r.body.clone() else {
                    absent.push((place.clone(), r.head.id.clone()));
                    continue;
                };
                self.ledger.unsettle(r.home);
                self.ledger.settle(home);
                r.home = home;
                self.cache.put(place, &r.head.id, r.head.len);
                lines.push(Line::Body { place: place.clone(), head: r.head.clone(), stage: r.stage, body });
            }
        }
        for line in lines {
            self.ledger.push(line);
        }
        for (place, id) in absent {
            if !self.park(&place, &id, Parked::Clean) {
                break;
            }
        }
    }
}

/// Beyond the reading time, for a copy that nobody tends.
const FORGET: Span = Span::secs(30);
/// How much of the oldest file is written again in one second.
const CLEAN: u64 = 2 << 20;

/// The stage after a success.
fn won(r: &Rec) -> Stage {
    match (r.stage, r.head.desk.is_empty()) {
        (Stage::Work, false) => Stage::Calling,
        _ => Stage::Ended(Outcome::Succeeded),
    }
}

/// A desk is owed at most what it takes in this time.
const OWED: Span = Span::millis(2000);
/// Work that would owe more is looked at again after this; so many at once.
const HELD: Span = Span::millis(100);
const HELD_MAX: u32 = 64;
/// A body that is read back is looked for again after this, if not before;
/// so many at once. A bad one after the other time.
const READ: Span = Span::millis(1000);
const LATER_MAX: u32 = 16;
const BAD: Span = Span::millis(500);
/// How long a call-back is tried.
const CALLING_MAX: Span = Span::secs(600);
