use crate::prelude::*;
use serde_json::json;

#[derive(Clone, Debug)]
pub struct Startup {
    pub me: Member,
    pub seeds: Vec<Daemon>,
    pub pull: Span,
    pub terms: Terms,
    /// Attempts in hand at most.
    pub hands_max: usize,
    pub seed: u64,
}

#[derive(Default)]
pub struct Counts {
    pub offers: u64,
    pub stale: u64,
    pub calls: u64,
    pub won: u64,
    pub again: u64,
    pub never: u64,
    pub unstarted: u64,
}

enum Called {
    Run { hand: HandId, worker: Option<WorkerId> },
    Load { worker: WorkerId },
}

/// Invariants: a hand is started only under a live lease of its duty, with
/// the newest charter confirmed, and early enough to end before its hard end;
/// `calls` names every open call.
pub struct Delivery {
    pub startup: Startup,
    pub link: Link,
    pub watch: Watch,
    hands: BTreeMap<HandId, Hand>,
    calls: BTreeMap<CallId, Called>,
    next_call: u64,
    workers: BTreeMap<WorkerId, Fitness>,
    /// When it first had a list. What comes new later is fresh, whatever age
    /// a new primary gives it; until `WARY` after it, all are met as fresh:
    /// another delivery may know one to be.
    listed: Option<Time>,
    lanes: BTreeMap<String, Lanes<HandId>>,
    /// Each duty's slice of its service's slots, as last granted.
    slices: BTreeMap<Duty, Slice>,
    desks: BTreeMap<String, Desk>,
    known: BTreeMap<Place, Epoch>,
    roomed: Time,
    paced: Time,
    leaving: Option<Time>,
    /// Duties asked back: nothing new is taken for them.
    shedding: BTreeSet<Duty>,
    gave: BTreeMap<Duty, (Epoch, Time)>,
    pub counts: Counts,
    rng: fastrand::Rng,
    ends: BTreeMap<Daemon, Vec<Settled>>,
    out: Vec<Effect>,
}

/// What one keeper is told: room for each duty, and the epochs known.
type Rooms = (Vec<Room>, Vec<(Place, Epoch)>);

const GRACE: Span = Span::secs(1);
/// Two pulls of others, and one of ours: by then a fresh worker is known here.
const WARY: Span = Span::millis(1500);

impl Delivery {
    pub fn new(startup: Startup, _now: Time) -> Delivery {
        let link = Link::new(startup.me.clone(), startup.seeds.clone(), startup.pull, startup.terms);
        let spot = Spot { id: startup.me.id.clone(), zone: startup.me.zone.clone() };
        let watch = Watch::new(spot, startup.me.life, BeatPace::default());
        let rng = fastrand::Rng::with_seed(startup.seed);
        Delivery {
            startup,
            link,
            watch,
            hands: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            workers: BTreeMap::new(),
            listed: None,
            lanes: BTreeMap::new(),
            slices: BTreeMap::new(),
            desks: BTreeMap::new(),
            known: BTreeMap::new(),
            roomed: Time(0),
            paced: Time(0),
            leaving: None,
            shedding: BTreeSet::new(),
            gave: BTreeMap::new(),
            counts: Counts::default(),
            rng,
            ends: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    fn say(&mut self, to: &Daemon, msg: Msg) {
        self.out.push(Effect::Say(to.clone(), msg));
    }

    fn report(&self, now: Time) -> Report {
        let claims: Vec<Claim> =
            self.link.held.live(now).into_iter().map(|(duty, epoch)| Claim { duty, epoch, checkpoint: false }).collect();
        let mut wanted: BTreeMap<Duty, u32> = BTreeMap::new();
        for h in self.hands.values() {
            *wanted.entry(h.offer.duty.clone()).or_default() += 1;
        }
        let assigned = self.link.places.iter().map(|(p, x)| (p.clone(), x.keeper.clone())).collect();
        Report {
            claims,
            assigned,
            wanted: wanted.into_iter().collect(),
            gave: self.gave.iter().map(|(d, x)| (d.clone(), x.0)).collect(),
            warming: self
                .workers
                .values()
                .filter(|w| w.ramp.warming(now))
                .map(|w| (w.info.id.clone(), w.info.addr.clone(), now.since(w.ramp.since)))
                .collect(),
            leaving: self.leaving.is_some(),
            ..Report::default()
        }
    }

    fn on_clock(&mut self, now: Time) {
        let report = self.link.due(now).then(|| self.report(now));
        let mut acts = self.link.tick(now, || report);
        self.out.append(&mut acts);
        for (to, beat) in self.watch.tick(now) {
            self.say(&to, Msg::Beat(beat));
        }
        if now.since(self.paced) < Span::millis(100) {
            return self.start_all(now);
        }
        let second = now.0 / 1_000_000 != self.paced.0 / 1_000_000;
        self.paced = now;
        self.expire(now);
        self.remind(now);
        if now.since(self.roomed) >= Span::millis(400) {
            self.send_rooms(now);
        }
        if second {
            self.ask_loads(now);
            let doubts = self.watch.doubts(now);
            if !doubts.is_empty() {
                for d in self.startup.seeds.clone() {
                    self.say(&d, Msg::Doubts { who: doubts.clone() });
                }
            }
        }
        self.shed(now);
        self.start_all(now);
        if let Some(since) = self.leaving {
            for (duty, epoch) in self.link.held.live(now) {
                if !self.busy(&duty) {
                    self.link.held.give_up(&duty);
                    self.gave.insert(duty, (epoch, now));
                    self.link.hurry(now);
                }
            }
            let idle = self.hands.is_empty() && self.link.held.live(now).is_empty();
            if idle || now.since(since) > Span::secs(8) {
                self.out.push(Effect::Gone);
            }
        }
    }

    /// Whether an attempt of a duty may still have a call to make or open.
    /// What is settled is told on, whoever holds the duty.
    fn busy(&self, duty: &Duty) -> bool {
        self.hands.values().any(|h| h.offer.duty == *duty && !matches!(h.state, State::Settled { .. }))
    }

    /// Gives up what was asked back once nothing of it is in hand.
    fn shed(&mut self, now: Time) {
        self.gave.retain(|_, x| now.since(x.1) < Span::secs(6));
        for duty in self.shedding.clone() {
            let Some(epoch) = self.link.may(&duty, now) else { continue };
            if !self.busy(&duty) {
                self.link.held.give_up(&duty);
                self.gave.insert(duty, (epoch, now));
                self.link.hurry(now);
            }
        }
    }

    fn hear(&mut self, from: Daemon, msg: Msg, now: Time) {
        match msg {
            Msg::News { asked, term, fresh, items, grants, late } => {
                let change = self.link.news(&from, asked, term, fresh, items, grants, late, now, &mut self.out);
                self.learn(change, now);
            }
            Msg::NotPrimary { hint } => self.link.not_primary(&from, hint, now),
            Msg::Beat(beat) => self.watch.hear(from, beat, now),
            Msg::Offers { asked, all } => self.on_offers(asked, all, now),
            Msg::Noted { all } => {
                for id in all {
                    self.hands.remove(&id);
                }
            }
            _ => {}
        }
    }

    fn learn(&mut self, change: Change, now: Time) {
        if change.sources.contains(&Source::Members) {
            self.watch.learn(self.link.spots(), now);
        }
        if change.sources.contains(&Source::Charter) {
            for (name, desk) in self.desks.iter_mut() {
                if let Some(e) = self.link.rules.endpoints.get(name) {
                    desk.allowance.rate(e.allowance);
                }
            }
        }
        if change.sources.contains(&Source::Workers) || change.sources.contains(&Source::Charter) {
            self.learn_workers(now);
        }
        if change.sources.contains(&Source::Places) {
            for (p, x) in &self.link.places {
                let e = self.known.entry(p.clone()).or_default();
                *e = (*e).max(x.epoch);
            }
            self.send_rooms(now);
        }
        let Some(grants) = change.grants else { return };
        let mut new = false;
        self.shedding = grants.iter().filter(|g| g.shed).map(|g| g.duty.clone()).collect();
        self.learn_slices(&grants, now);
        for g in grants {
            if self.gave.get(&g.duty).is_some_and(|x| x.0 >= g.epoch) {
                self.link.held.give_up(&g.duty);
                continue;
            }
            let Duty::Endpoint(name) = &g.duty else { continue };
            let rate = self.link.rules.endpoints.get(name).map_or(1, |e| e.allowance);
            let same = self.desks.get(name).is_some_and(|d| d.epoch == g.epoch);
            if !same {
                new = true;
                let mut desk = Desk::new(g.epoch, rate, now);
                if let Some(old) = self.desks.remove(name) {
                    desk.open = old.open;
                    desk.waits = old.waits;
                }
                self.desks.insert(name.clone(), desk);
            }
        }
        if new {
            self.send_rooms(now);
        }
    }

    /// New cuts between the slices. A slot at a warming worker that comes over
    /// from another delivery counts as just used there.
    fn learn_slices(&mut self, grants: &[Grant], now: Time) {
        let next: BTreeMap<Duty, Slice> = grants.iter().filter_map(|g| Some((g.duty.clone(), g.slice?))).collect();
        if next == self.slices {
            return;
        }
        let warming: BTreeSet<String> =
            self.workers.values().filter(|w| w.ramp.warming(now)).map(|w| w.info.service.clone()).collect();
        let before: BTreeMap<String, Vec<Slice>> = warming.into_iter().map(|s| (s.clone(), self.slices_of(&s))).collect();
        self.slices = next;
        for (service, was) in before {
            let (full, new) = (self.full(&service), self.slices_of(&service));
            for w in self.workers.values_mut().filter(|w| w.info.service == service && w.ramp.warming(now)) {
                let slots = w.ramp.slots(full, now);
                let mine = |all: &[Slice]| all.iter().map(|s| s.of(slots, w.turn)).sum::<u32>();
                if mine(&new) > mine(&was) {
                    w.ramp.last = now;
                }
            }
        }
    }

    fn learn_workers(&mut self, now: Time) {
        if self.link.vector().get(Source::Workers) == Version::ZERO {
            return;
        }
        let list = self.link.workers.clone();
        let names: BTreeSet<WorkerId> = list.iter().map(|w| w.id.clone()).collect();
        for w in list {
            let warm = self.link.rules.services.get(&w.service).map_or(Span::secs(10), |s| Span::millis(s.warm_ms));
            match self.workers.get_mut(&w.id) {
                // The same name at another address is another worker.
                Some(f) if f.info.addr == w.addr => {
                    // Another delivery saw it come up anew.
                    let since = Time(now.0.saturating_sub(w.age.0));
                    if since > f.ramp.since + Span::secs(1) {
                        f.ramp.since = since;
                    }
                    f.info = w;
                    f.ramp.warm = warm;
                }
                _ => {
                    let w = Worker { age: if self.listed.is_some() { Span::ZERO } else { w.age }, ..w };
                    self.workers.insert(w.id.clone(), Fitness::new(w, warm, now));
                }
            }
        }
        self.workers.retain(|id, _| names.contains(id));
        self.listed.get_or_insert(now);
    }

    fn siblings(&self) -> u32 {
        (self.link.members.keys().filter(|d| d.kind() == Kind::Delivery).count() as u32).max(1)
    }
    /// What one worker may run at once, over all deliveries.
    fn full(&self, service: &str) -> u32 {
        self.link.rules.services.get(service).map_or(4, |s| s.slots)
    }
    /// The slices of a service that this daemon's duties have. Granted by a
    /// placement daemon that knows none, the duties share evenly.
    fn slices_of(&self, service: &str) -> Vec<Slice> {
        let takes = |p: &Place| self.link.rules.rule_of(p).is_some_and(|r| r.target == Target::Workers(service.to_string()));
        let mine = self.slices.iter().filter(|(d, _)| matches!(d, Duty::Deliver(p) if takes(p)));
        let all: Vec<Slice> = mine.map(|x| *x.1).collect();
        if !all.is_empty() || !self.slices.is_empty() {
            return all;
        }
        let all: Vec<&Daemon> = self.link.members.keys().filter(|d| d.kind() == Kind::Delivery).collect();
        let at = all.iter().position(|d| **d == self.startup.me.id).unwrap_or(0) as u32;
        let wide = Slice::WHOLE / self.siblings();
        vec![Slice { from: at * wide, to: (at + 1) * wide }]
    }

    fn room(&mut self, duty: &Duty, now: Time) -> u32 {
        if self.leaving.is_some() || self.shedding.contains(duty) || self.hands.len() >= self.startup.hands_max {
            return 0;
        }
        match duty {
            Duty::Keep(_) => 0,
            Duty::Deliver(place) => {
                let Some(rule) = self.link.rules.rule_of(place) else { return 0 };
                let Target::Workers(service) = &rule.target else { return 0 };
                let full = self.full(service);
                let fit = || self.workers.values().filter(|w| w.info.service == *service && w.usable(&self.link, now));
                if fit().next().is_none() {
                    return 0;
                }
                let slice =
                    self.slices.get(duty).copied().or_else(|| self.slices_of(service).first().copied()).unwrap_or_default();
                let mine: u32 = fit().map(|w| slice.of(w.ramp.slots(full, now), w.turn)).sum();
                // Twice what can run, so a free slot never waits for a trip.
                (mine * 2).clamp(1, 64)
            }
            Duty::Endpoint(name) => {
                let slots = self.link.rules.endpoints.get(name).map_or(1, |e| e.slots);
                let Some(desk) = self.desks.get_mut(name) else { return 0 };
                if desk.breaker.open(now) {
                    return 0;
                }
                if desk.breaker.wary() {
                    return 1;
                }
                // A second's worth from each store: so all tenants' messages
                // stand here to take their turns.
                slots.min(desk.allowance.pace() as u32).max(1)
            }
        }
    }

    /// Tells each keeper how much it may hand over, and what is in hand.
    fn send_rooms(&mut self, now: Time) {
        self.roomed = now;
        if !self.link.fresh(now) {
            return;
        }
        let mut by: BTreeMap<Daemon, Rooms> = BTreeMap::new();
        for (p, x) in &self.link.places {
            by.entry(x.keeper.clone()).or_default().1.push((p.clone(), x.epoch));
        }
        for (duty, epoch) in self.link.held.live(now) {
            let room = self.room(&duty, now);
            let since = self.link.since.get(&duty).map_or(Span::ZERO, |t| now.since(*t));
            let one = Room { duty: duty.clone(), epoch, room, since };
            for (keeper, (rooms, places)) in by.iter_mut() {
                let here = match &duty {
                    Duty::Deliver(p) => self.link.places.get(p).is_some_and(|x| x.keeper == *keeper),
                    _ => !places.is_empty(),
                };
                if here {
                    rooms.push(one.clone());
                }
            }
        }
        for (keeper, (duties, places)) in by {
            if duties.is_empty() {
                continue;
            }
            let here: BTreeSet<&Place> = places.iter().map(|p| &p.0).collect();
            let holding = self
                .hands
                .values()
                .filter(|h| here.contains(&h.offer.place))
                .map(|h| Holding { place: h.offer.place.clone(), id: h.offer.head.id.clone() })
                .collect();
            self.say(&keeper, Msg::Room { asked: now, duties, places, holding });
        }
    }

    fn on_offers(&mut self, asked: Time, all: Vec<Offer>, now: Time) {
        for offer in all {
            self.counts.offers += 1;
            let id = (offer.place.clone(), offer.epoch, offer.attempt);
            // An offer of a keeper since replaced is nobody's any more.
            let stale = self.known.get(&offer.place).is_some_and(|e| offer.epoch < *e);
            let held = self.link.may(&offer.duty, now).is_some();
            let rule = self.link.rules.rule_of(&offer.place).map(|r| (r.attempt, r.target.clone(), r.share));
            let slice = self.slices.get(&offer.duty).map(|s| s.wide());
            let (Some((attempt, target, share)), false, true) = (rule, stale, held) else {
                self.counts.stale += 1;
                continue;
            };
            if self.hands.contains_key(&id) || !offer.head.sound(&offer.body) {
                continue;
            }
            let hard = asked + attempt + GRACE;
            match (&offer.duty, offer.stage, target) {
                (Duty::Endpoint(name), _, _) => {
                    if let Some(d) = self.desks.get_mut(name) {
                        d.waits.push(&offer.place.tenant, share, id.clone());
                    }
                }
                (_, Stage::Work, Target::Workers(service)) => {
                    let place = offer.place.to_string();
                    self.lanes.entry(service).or_default().push(&place, slice.unwrap_or(share), id.clone())
                }
                _ => continue,
            }
            self.hands.insert(id, Hand { offer, state: State::Waiting, hard });
        }
        self.start_all(now);
    }

    /// Waiting hands whose time is up go back unstarted.
    fn expire(&mut self, now: Time) {
        let late: Vec<HandId> = self
            .hands
            .iter()
            .filter(|(_, h)| h.state == State::Waiting && h.hard.left(now) < Span::millis(300))
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            self.finish(&id, Told::Unstarted, now);
        }
        // What nobody will note any more: the keeper has long let it go.
        self.hands.retain(|_, h| match h.state {
            State::Settled { told, .. } => now.since(h.hard) < if told == Told::Success { Span::secs(60) } else { Span::secs(2) },
            _ => true,
        });
    }

    fn finish(&mut self, id: &HandId, told: Told, now: Time) {
        let Some(h) = self.hands.get_mut(id) else { return };
        match told {
            Told::Success => self.counts.won += 1,
            Told::Again => self.counts.again += 1,
            Told::Never => self.counts.never += 1,
            Told::Unstarted => self.counts.unstarted += 1,
        }
        h.state = State::Settled { told, at: now };
        h.offer.body = Bytes::new();
        let one = settled(h, told);
        if let Some(x) = self.link.places.get(&id.0) {
            self.ends.entry(x.keeper.clone()).or_default().push(one);
        }
    }

    /// Tells again what has not been noted.
    fn remind(&mut self, now: Time) {
        for h in self.hands.values_mut() {
            let State::Settled { told, at } = &mut h.state else { continue };
            if now.since(*at) < Span::millis(500) {
                continue;
            }
            *at = now;
            let told = *told;
            let Some(x) = self.link.places.get(&h.offer.place) else { continue };
            self.ends.entry(x.keeper.clone()).or_default().push(settled(h, told));
        }
    }

    fn start_all(&mut self, now: Time) {
        if !self.link.fresh(now) {
            return;
        }
        let services: Vec<String> = self.lanes.keys().cloned().collect();
        for s in services {
            if self.lanes.get(&s).is_none_or(Lanes::is_empty) {
                continue;
            }
            let slices = self.slices_of(&s);
            while self.lanes.get(&s).is_some_and(|l| !l.is_empty()) {
                let Some(worker) = self.match_worker(&s, &slices, now) else { break };
                let Some(id) = self.lanes.get_mut(&s).and_then(Lanes::pop) else { break };
                self.start_at_worker(id, worker, now);
            }
        }
        let desks: Vec<String> = self.desks.keys().cloned().collect();
        for d in desks {
            while self.start_at_desk(&d, now) {}
        }
    }

    /// The less loaded of two drawn at random, same zone first where the
    /// charter says so.
    fn match_worker(&mut self, service: &str, slices: &[Slice], now: Time) -> Option<WorkerId> {
        let full = self.full(service);
        let wary = self.listed.is_none_or(|t| now.since(t) < WARY);
        let near = self.link.rules.services.get(service).is_some_and(|s| s.same_zone_first);
        let of: Vec<&Fitness> = self.workers.values().filter(|w| w.info.service == service).collect();
        let sick = of.iter().filter(|w| w.sick.open(now)).count();
        // Never more than half set aside for failing: then it is not the workers.
        let floor = sick * 2 > of.len();
        let mut fit: Vec<&Fitness> = of
            .into_iter()
            .filter(|w| w.usable(&self.link, now) && (floor || !w.sick.open(now)))
            .filter(|w| {
                let slots = w.ramp.slots(full, now);
                let mine: u32 = slices.iter().map(|s| s.of(slots, w.turn)).sum();
                if wary {
                    let fresh = Ramp { since: now, ..w.ramp };
                    return w.busy < mine.min(1) && fresh.spaced(slots, mine, now);
                }
                w.busy < mine && w.ramp.spaced(slots, mine, now)
            })
            .collect();
        if near && fit.iter().any(|w| w.info.zone == self.startup.me.zone) {
            fit.retain(|w| w.info.zone == self.startup.me.zone);
        }
        if fit.is_empty() {
            return None;
        }
        let (a, b) = (fit[self.rng.usize(..fit.len())], fit[self.rng.usize(..fit.len())]);
        let weight = |f: &Fitness| (f.busy * 2 + f.load, f.busy);
        let best = if weight(a) <= weight(b) { a } else { b };
        Some(best.info.id.clone())
    }

    /// Whether a hand may still be started, checked right before the act.
    fn may_start(&self, id: &HandId, now: Time) -> Option<(Offer, Span)> {
        let h = self.hands.get(id).filter(|h| h.state == State::Waiting)?;
        let attempt = self.link.rules.rule_of(&id.0)?.attempt;
        let left = h.hard.left(now);
        let ok = self.link.may(&h.offer.duty, now).is_some() && left >= Span::millis(300);
        ok.then(|| (h.offer.clone(), Span(attempt.0.min(left.0))))
    }

    fn call(&mut self, called: Called, call: Call) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(id, called);
        self.counts.calls += 1;
        self.out.push(Effect::Call(id, call));
        id
    }

    fn start_at_worker(&mut self, id: HandId, worker: WorkerId, now: Time) {
        let Some((offer, limit)) = self.may_start(&id, now) else { return self.finish(&id, Told::Unstarted, now) };
        let Some(w) = self.workers.get_mut(&worker) else { return self.finish(&id, Told::Unstarted, now) };
        w.busy += 1;
        w.ramp.last = now;
        let addr = w.info.addr.clone();
        let call = Call { post: true, addr, path: "/run".into(), headers: headers(&offer), body: offer.body.clone(), limit };
        let call = self.call(Called::Run { hand: id.clone(), worker: Some(worker) }, call);
        if let Some(h) = self.hands.get_mut(&id) {
            h.state = State::Running(call);
        }
    }

    fn start_at_desk(&mut self, name: &str, now: Time) -> bool {
        let Some(end) = self.link.rules.endpoints.get(name).cloned() else { return false };
        let Some(desk) = self.desks.get_mut(name) else { return false };
        let most = if desk.breaker.wary() { 1 } else { end.slots };
        if desk.breaker.open(now) || desk.open >= most || desk.waits.is_empty() || desk.allowance.room(now) == 0 {
            return false;
        }
        let Some(id) = desk.waits.pop() else { return false };
        let Some((offer, limit)) = self.may_start(&id, now) else {
            if self.hands.get(&id).is_some_and(|h| h.state == State::Waiting) {
                self.finish(&id, Told::Unstarted, now);
            }
            return true;
        };
        if let Some(desk) = self.desks.get_mut(name) {
            desk.open += 1;
            desk.allowance.take(now);
        }
        let body = match offer.stage {
            Stage::Calling => Bytes::from(
                json!({"id": offer.head.id, "tenant": offer.place.tenant, "waitlist": offer.place.waitlist, "state": "succeeded"})
                    .to_string(),
            ),
            _ => offer.body.clone(),
        };
        let call = Call { post: true, addr: end.address, path: end.path, headers: headers(&offer), body, limit };
        let call = self.call(Called::Run { hand: id.clone(), worker: None }, call);
        if let Some(h) = self.hands.get_mut(&id) {
            h.state = State::Running(call);
        }
        true
    }

    /// Asks those not heard lately how loaded they are.
    fn ask_loads(&mut self, now: Time) {
        let idle: Vec<(WorkerId, String)> = self
            .workers
            .values()
            .filter(|w| !w.asking && now.since(w.seen) > Span::millis(900) && w.busy == 0)
            .map(|w| (w.info.id.clone(), w.info.addr.clone()))
            .collect();
        for (worker, addr) in idle {
            if let Some(w) = self.workers.get_mut(&worker) {
                w.asking = true;
            }
            let call = Call {
                post: false,
                addr,
                path: "/load".into(),
                headers: Vec::new(),
                body: Bytes::new(),
                limit: Span::millis(800),
            };
            self.call(Called::Load { worker }, call);
        }
    }

    fn on_back(&mut self, id: CallId, reply: Reply, now: Time) {
        let Some(called) = self.calls.remove(&id) else { return };
        match called {
            Called::Load { worker } => {
                let Some(w) = self.workers.get_mut(&worker) else { return };
                w.asking = false;
                w.seen = now;
                self.hear_worker(&worker, &reply, true, now);
            }
            Called::Run { hand, worker } => {
                if let Some(w) = &worker {
                    if let Some(f) = self.workers.get_mut(w) {
                        f.busy = f.busy.saturating_sub(1);
                        f.seen = now;
                    }
                    self.hear_worker(w, &reply, false, now);
                } else if let Some(Duty::Endpoint(name)) = self.hands.get(&hand).map(|h| h.offer.duty.clone()) {
                    self.hear_desk(&name, &reply, now);
                }
                self.finish(&hand, told(&reply), now);
            }
        }
        self.start_all(now);
    }

    fn hear_worker(&mut self, id: &WorkerId, reply: &Reply, load_only: bool, now: Time) {
        let Some(f) = self.workers.get_mut(id) else { return };
        match reply {
            Reply::Got { code, load, draining, .. } => {
                f.load = load.unwrap_or(f.load);
                f.draining = *draining;
                if f.down.pass() {
                    // Back from the dead: it warms up anew.
                    f.ramp.since = now;
                    self.out.push(Effect::Note(Note::WorkerBack, id.to_string()));
                }
                let Some(f) = self.workers.get_mut(id) else { return };
                if *code >= 500 && *code != 503 {
                    if f.sick.fail(now) {
                        self.out.push(Effect::Note(Note::WorkerEjected, id.to_string()));
                    }
                } else if !load_only && f.sick.pass() {
                    // One that answered all the while, if badly, is no fresh one.
                    if std::mem::take(&mut f.lost) {
                        f.ramp.since = now;
                    }
                    self.out.push(Effect::Note(Note::WorkerBack, id.to_string()));
                }
            }
            Reply::Lost(Sent::No) => {
                if f.down.fail(now) {
                    self.out.push(Effect::Note(Note::WorkerEjected, format!("{id} can't be reached")));
                }
            }
            Reply::Lost(Sent::Maybe) => {
                f.lost = true;
                if f.sick.fail(now) {
                    self.out.push(Effect::Note(Note::WorkerEjected, id.to_string()));
                }
            }
        }
    }

    fn hear_desk(&mut self, name: &str, reply: &Reply, now: Time) {
        let Some(d) = self.desks.get_mut(name) else { return };
        d.open = d.open.saturating_sub(1);
        let fit = matches!(reply, Reply::Got { code, .. } if *code < 500);
        if fit && d.breaker.pass() {
            self.out.push(Effect::Note(Note::BreakerShut, name.to_string()));
        }
        if !fit && d.breaker.fail(now) {
            self.out.push(Effect::Note(Note::BreakerOpen, name.to_string()));
        }
    }

    fn status(&self, now: Time) -> Verdict {
        let c = &self.counts;
        let v = json!({
            "daemon": self.startup.me.id.to_string(),
            "zone": self.startup.me.zone.to_string(),
            "term": self.link.term().0,
            "charter": self.link.rules.version.to_string(),
            "fresh": self.link.fresh(now),
            "duties": self.link.held.live(now).iter().map(|(d, e)| format!("{d}@{e}")).collect::<Vec<_>>(),
            "late_stores": self.link.late.iter().map(|d| d.to_string()).collect::<Vec<_>>(),
            "hands": self.hands.len(),
            "running": self.calls.len(),
            "workers": self.workers.values().map(|w| json!({
                "id": w.info.id, "service": w.info.service, "zone": w.info.zone, "load": w.load, "busy": w.busy,
                "usable": w.usable(&self.link, now), "draining": w.draining || w.info.draining,
            })).collect::<Vec<_>>(),
            "leaving": self.leaving.is_some(),
            "counts": {"offers": c.offers, "stale": c.stale, "calls": c.calls, "won": c.won, "again": c.again,
                       "never": c.never, "unstarted": c.unstarted},
        });
        Verdict::json(200, v.to_string())
    }

    fn end(&mut self) -> Vec<Effect> {
        for (to, all) in std::mem::take(&mut self.ends) {
            self.out.push(Effect::Say(to, Msg::Settled { all }));
        }
        std::mem::take(&mut self.out)
    }
}

fn settled(h: &Hand, told: Told) -> Settled {
    let o = &h.offer;
    Settled { place: o.place.clone(), id: o.head.id.clone(), epoch: o.epoch, attempt: o.attempt, stage: o.stage, told }
}

/// What the target is told, so that it can refuse what it has seen or what
/// comes out of order.
fn headers(o: &Offer) -> Vec<(&'static str, String)> {
    vec![
        ("dahliawick-id", o.head.id.to_string()),
        ("dahliawick-tenant", o.place.tenant.clone()),
        ("dahliawick-waitlist", o.place.waitlist.clone()),
        ("dahliawick-key", o.head.key.clone()),
        ("dahliawick-sequence", o.head.seq.to_string()),
        ("dahliawick-attempt", format!("{}-{}", o.epoch, o.attempt)),
    ]
}

fn told(reply: &Reply) -> Told {
    match reply {
        Reply::Got { code: 200..=299, .. } => Told::Success,
        // Busy or draining: it did not run.
        Reply::Got { code: 503 | 429, .. } => Told::Unstarted,
        Reply::Got { code: 408, .. } => Told::Again,
        Reply::Got { code: 400..=499, .. } => Told::Never,
        Reply::Got { .. } => Told::Again,
        Reply::Lost(Sent::No) => Told::Unstarted,
        Reply::Lost(Sent::Maybe) => Told::Again,
    }
}

impl Core for Delivery {
    fn step(&mut self, event: Event, now: Time) -> Vec<Effect> {
        match event {
            Event::Clock => self.on_clock(now),
            Event::Hear { from, msg } => self.hear(from, msg, now),
            Event::Back(id, reply) => self.on_back(id, reply, now),
            Event::Ask(id, Ask::Status) => {
                let v = self.status(now);
                self.out.push(Effect::Tell(id, v));
            }
            Event::Ask(id, _) => self.out.push(Effect::Tell(id, Verdict::json(404, "{}".into()))),
            Event::Leave => {
                self.leaving.get_or_insert(now);
                self.link.hurry(now);
                self.send_rooms(now);
            }
            Event::Saved(_) | Event::Loaded(..) => {}
        }
        self.end()
    }
}
