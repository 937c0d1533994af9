//! Routed messages: handed to whichever delivery can reach a worker of their
//! service, and what becomes of them.
use super::dispatch::ended;
use super::{Body, Parked};
use crate::prelude::*;

/// What a delivery last said it takes here.
/// Invariant: of one delivery only the newest word counts.
pub struct Taking {
    life: IncarnationId,
    /// Lives that it had before: a late word of one says nothing.
    earlier_lives: Vec<IncarnationId>,
    asked: Time,
    at: Time,
    services: BTreeMap<String, u32>,
    addresses: BTreeSet<Duty>,
}

/// Of each delivery; a word of one before these comes hours late.
const LIVES_REMEMBERED: usize = 16;
/// A word older than this is no longer acted on.
const WORD: Span = Span::millis(1200);
/// Of one address to be called back at, so many at once from one store.
const CALLS_AT_ONCE: u32 = 6;
/// A call-back that failed is tried again after this, doubled to the cap.
const CALL_PAUSE: Span = Span::millis(300);
const CALL_PAUSE_MAX: Span = Span::secs(2);
/// After a run that failed, doubled to the cap; after one that may have run;
/// after one that did not.
const FAILED_PAUSE: Span = Span::millis(60);
const FAILED_PAUSE_MAX: Span = Span::secs(2);
const DOUBT_PAUSE: Span = Span::millis(120);
const DOUBT_PAUSE_MAX: Span = Span::secs(5);
const UNSTARTED_PAUSE: Span = Span::millis(40);
/// So many bodies are read back for one line at once.
const LATER_MAX: u32 = 16;
const READ: Span = Span::secs(1);

/// When a message was handed in, by this store's clock: what was read from
/// disk or copied from a peer tells it by the time of day.
pub(super) fn sent(head: &MessageHeader, made: Time, wall: u64, now: Time) -> Time {
    if head.accepted_unix_micros == 0 || wall == 0 {
        return now;
    }
    let day = wall + now.since(made).0;
    Time(now.0.saturating_sub(day.saturating_sub(head.accepted_unix_micros)))
}

/// One line with something due, and its place in turn.
struct Line {
    priority: u32,
    first: Time,
    place: PartitionId,
    /// Its route, or the address to be called back at.
    name: String,
}

impl Store {
    pub(super) fn on_reach(
        &mut self,
        from: &Daemon,
        asked: Time,
        reach: RoutedCapacity,
        places: &[(PartitionId, Epoch)],
        holding: &[InFlightAttempt],
        now: Time,
    ) {
        let old = self.taking.get(from);
        let overtaken = |t: &Taking| t.life == reach.incarnation && t.asked > asked;
        if old.is_some_and(|t| overtaken(t) || t.earlier_lives.contains(&reach.incarnation)) {
            return;
        }
        self.stirred = true;
        let mut earlier_lives = old.map(|t| t.earlier_lives.clone()).unwrap_or_default();
        if let Some(life) = old.map(|t| t.life).filter(|life| *life != reach.incarnation) {
            earlier_lives.push(life);
            earlier_lives.drain(..earlier_lives.len().saturating_sub(LIVES_REMEMBERED));
            self.life_over(from, reach.incarnation, now);
        }
        let services = reach.services.into_iter().collect();
        let addresses = reach.addresses.into_iter().collect();
        self.taking.insert(from.clone(), Taking { life: reach.incarnation, earlier_lives, asked, at: now, services, addresses });
        self.vouch(from, places, holding, now);
    }

    /// A delivery lives anew: what its earlier life had in hand is over, and
    /// may have run.
    fn life_over(&mut self, from: &Daemon, life: IncarnationId, now: Time) {
        let mut over = Vec::new();
        for (place, p) in &self.parts {
            let Some(own) = p.own.as_ref() else { continue };
            let gone = own.lane.flights.iter().filter(|(_, f)| f.to == *from && f.goal.is_some() && f.life != life);
            over.extend(gone.filter_map(|(seq, _)| Some((place.clone(), *seq, own.lane.ids.get(seq)?.clone()))));
        }
        for (place, seq, id) in over {
            if let Some(own) = self.parts.get_mut(&place).and_then(|p| p.own.as_mut()) {
                own.lane.flights.remove(&seq);
            }
            self.post_back(&place, &id, AttemptOutcome::Unknown, now);
        }
    }

    /// A delivery that knows a new leader's epoch takes nothing of an earlier
    /// one any more. Once every delivery has said so, only what one of them
    /// names is still under way, and the rest need not wait.
    fn vouch(&mut self, from: &Daemon, places: &[(PartitionId, Epoch)], holding: &[InFlightAttempt], now: Time) {
        let all: BTreeSet<&Daemon> = self.link.members.keys().filter(|d| d.kind() == DaemonKind::Delivery).collect();
        for (place, epoch) in places {
            let Some(p) = self.parts.get_mut(place) else { continue };
            let Some(own) = p.own.as_mut() else { continue };
            if own.epoch != *epoch || own.phase != Phase::Serving || own.quiet <= now {
                continue;
            }
            let held = holding.iter().filter(|h| h.partition == *place).filter_map(|h| p.recs.get(&h.id)).map(|r| r.head.seq);
            own.vouched.insert(from.clone(), held.collect());
            if !all.iter().all(|d| own.vouched.contains_key(*d)) {
                continue;
            }
            let held: BTreeSet<u64> = own.vouched.values().flatten().copied().collect();
            let quiet = own.quiet;
            for due in own.lane.posts.values_mut() {
                let over = |one: &(Time, u64)| one.0 == quiet && !held.contains(&one.1);
                let over: Vec<u64> = due.iter().filter(over).map(|one| one.1).collect();
                for seq in over {
                    due.put_off(seq, now);
                }
            }
            for set in own.lane.calls.values_mut() {
                let rest: Vec<u64> = set.iter().filter(|(t, s)| *t == quiet && !held.contains(s)).map(|x| x.1).collect();
                for seq in rest {
                    set.remove(&(quiet, seq));
                    set.insert((now, seq));
                }
            }
        }
    }

    /// Hands out what is due: to a delivery of this zone while it has room,
    /// else to the one that has most.
    pub(super) fn fill_posts(&mut self, now: Time) {
        if self.taking.is_empty() || self.link.rules.spool_partitions == 0 {
            return;
        }
        if self.routed != self.link.rules.version {
            self.routed = self.link.rules.version;
            self.end_dropped(now);
        }
        let mut out: BTreeMap<(Destination, Daemon), u32> = BTreeMap::new();
        let mut goals: BTreeMap<Destination, Vec<Line>> = BTreeMap::new();
        for (place, p) in &self.parts {
            let Some(own) = p.own.as_ref() else { continue };
            for f in own.lane.flights.values() {
                if let Some(g) = &f.goal {
                    *out.entry((g.clone(), f.to.clone())).or_default() += 1;
                }
            }
            if own.shed.is_some() || !self.link.rules.is_spool_partition(place) || !self.serving(place, now) {
                continue;
            }
            for (name, due) in &own.lane.posts {
                let Some(first) = due.oldest(now) else { continue };
                let Some(route) = self.link.rules.routes.get(name) else { continue };
                let line = Line { priority: route.priority, first, place: place.clone(), name: name.clone() };
                goals.entry(Destination::Service(route.service.clone())).or_default().push(line);
            }
            for (desk, set) in &own.lane.calls {
                let Some((first, _)) = set.first().filter(|f| f.0 <= now) else { continue };
                let line = Line { priority: 0, first: *first, place: place.clone(), name: desk.clone() };
                goals.entry(Destination::Address(desk.clone())).or_default().push(line);
            }
        }
        let mut offers: BTreeMap<Daemon, (Time, Vec<Offer>)> = BTreeMap::new();
        for (goal, mut lines) in goals {
            lines.sort_by_key(|l| std::cmp::Reverse((l.priority, l.first)));
            while let Some(line) = lines.pop() {
                let Some((to, asked, life)) = self.taker(&goal, &out, now) else { break };
                let Some(offer) = self.take_post(&line, &goal, &to, life, now) else { continue };
                *out.entry((goal.clone(), to.clone())).or_default() += 1;
                self.counts.offers += 1;
                offers.entry(to).or_insert((asked, Vec::new())).1.push(offer);
                // Lines of one priority take turns.
                let at = lines.iter().position(|l| l.priority == line.priority).unwrap_or(lines.len());
                lines.insert(at, line);
            }
        }
        for (to, (asked, all)) in offers {
            self.say(&to, PeerMessage::Offers { requested_at: asked, entries: all });
        }
    }

    fn taker(
        &self,
        goal: &Destination,
        out: &BTreeMap<(Destination, Daemon), u32>,
        now: Time,
    ) -> Option<(Daemon, Time, IncarnationId)> {
        let zone = &self.startup.me.zone;
        let spare = |d: &Daemon, t: &Taking| {
            let most = match goal {
                Destination::Service(s) => t.services.get(s).copied().unwrap_or(0),
                Destination::Address(a) if t.addresses.contains(&Duty::for_unlisted_address(a)) => CALLS_AT_ONCE,
                Destination::Address(_) => 0,
            };
            most.saturating_sub(out.get(&(goal.clone(), d.clone())).copied().unwrap_or(0))
        };
        let fit = self.taking.iter().filter(|(_, t)| now.since(t.at) < WORD);
        let best = fit
            .map(|(d, t)| (spare(d, t), d, t))
            .filter(|x| x.0 > 0)
            .max_by_key(|(s, d, _)| (self.link.zone_of(d) == Some(zone), *s, std::cmp::Reverse(*d)))?;
        Some((best.1.clone(), best.2.asked, best.2.life))
    }

    fn take_post(&mut self, line: &Line, goal: &Destination, to: &Daemon, life: IncarnationId, now: Time) -> Option<Offer> {
        let call = matches!(goal, Destination::Address(_));
        let attempt = match call {
            true => CALLBACK_TIMEOUT,
            false => self.link.rules.routes.get(&line.name)?.attempt_timeout,
        };
        let worth = self.link.rules.routes.get(&line.name).map(|r| r.ttl);
        // What can still begin in the time wanted goes before what is late
        // already; but each fourth turn is the oldest's.
        let start = self.link.rules.routes.get(&line.name).map_or(Span::ZERO, |r| r.target_start);
        let oldest = start == Span::ZERO || self.counts.offers.is_multiple_of(4);
        let fresh = Time(now.0.saturating_sub(start.0));
        let place = &line.place;
        let mut later = 0;
        loop {
            let p = self.parts.get_mut(place)?;
            let own = p.own.as_mut()?;
            let (due, seq) = match call {
                true => own.lane.pop(Some(&line.name), now)?,
                false => match (own.lane.posts.get_mut(&line.name)?, oldest) {
                    (due, true) => due.pop_oldest(now)?,
                    (due, false) => due.pop_fresh(fresh, now)?,
                },
            };
            let Some(r) = own.lane.ids.get(&seq).and_then(|id| p.recs.get(id)) else { continue };
            let id = r.head.id.clone();
            if own.won.contains(&seq) {
                self.settle_won(place, &id, now);
                continue;
            }
            if !self.may_hand_out(place, &id, call) {
                continue;
            }
            let r = self.parts.get(place)?.recs.get(&id)?;
            if !call && worth.is_some_and(|w| now.since(r.taken) > w) {
                let next = ended(r, Outcome::Expired);
                self.stage(place, &id, next, None, now);
                continue;
            }
            let (head, body) = match self.post_bytes(place, &id, call) {
                Ok(x) => x,
                Err(bad) => {
                    let part = self.parts.get_mut(place)?;
                    let key = part.recs.get(&id).map(|r| r.head.key.clone()).unwrap_or_default();
                    part.own.as_mut()?.lane.post(&line.name, &key, now + READ, seq);
                    if bad {
                        self.found_bad(place, &id, now);
                        continue;
                    }
                    later += 1;
                    let who = Parked::Post { route: line.name.clone(), due, seq };
                    if !self.park(place, &id, who) || later >= LATER_MAX {
                        return None;
                    }
                    continue;
                }
            };
            let p = self.parts.get_mut(place)?;
            let stage = p.recs.get(&id)?.stage;
            let own = p.own.as_mut()?;
            own.attempts += 1;
            let (epoch, attempt_id) = (own.epoch, own.attempts);
            let duty = Duty::TargetShard(String::new());
            let flight = Flight {
                duty: duty.clone(),
                to: to.clone(),
                attempt: attempt_id,
                owes: String::new(),
                goal: Some(goal.clone()),
                life,
                end: now + (attempt + MAX_ROUTED_START_DELAY).percent(105),
            };
            own.lane.flights.insert(seq, flight);
            let place = place.clone();
            return Some(Offer {
                duty,
                partition: place,
                header: head,
                stage,
                epoch,
                attempt: attempt_id,
                body,
                destination: Some(goal.clone()),
                timeout: attempt,
            });
        }
    }

    /// A message's head and bytes as they are handed out; a call-back carries
    /// none, and its head says so. `Err` when they are not at hand, and
    /// whether the copy here is bad.
    fn post_bytes(&mut self, place: &PartitionId, id: &MessageId, call: bool) -> Result<(MessageHeader, Bytes), bool> {
        let head = self.parts.get(place).and_then(|p| p.recs.get(id)).map(|r| r.head.clone()).ok_or(true)?;
        if call {
            return Ok((MessageHeader { len: 0, crc: crc32(b""), ..head }, Bytes::new()));
        }
        match self.body_of(place, id) {
            Body::Here(b) => Ok((head, b)),
            Body::Later => Err(false),
            Body::Bad => Err(true),
        }
    }

    /// An attempt's hard end has passed without a word of it.
    pub(super) fn lapsed(&mut self, place: &PartitionId, id: &MessageId, now: Time) {
        let routed = self.parts.get(place).and_then(|p| p.recs.get(id)).is_some_and(|r| !r.head.route.is_empty());
        match routed {
            true => self.post_back(place, id, AttemptOutcome::Unknown, now),
            false => self.back(place, id, true, now),
        }
    }

    /// A run ended without success: again later, or given up when a worker
    /// has said so often enough that it failed.
    pub(super) fn post_back(&mut self, place: &PartitionId, id: &MessageId, told: AttemptOutcome, now: Time) {
        let jitter = self.rng.u64(70..=100);
        let Some(p) = self.parts.get_mut(place) else { return };
        let (Some(own), Some(r)) = (p.own.as_mut(), p.recs.get_mut(id)) else { return };
        let seq = r.head.seq;
        if own.won.contains(&seq) {
            return self.settle_won(place, id, now);
        }
        let double = |base: Span, n: u32, cap: Span| Span((base.0 << n.min(12)).min(cap.0)).percent(jitter);
        match r.stage {
            Stage::Pending => {
                let Some(route) = self.link.rules.routes.get(&r.head.route) else {
                    let next = ended(r, Outcome::Expired);
                    return self.stage(place, id, next, None, now);
                };
                r.tries += u32::from(told == AttemptOutcome::Failed);
                if r.tries >= route.max_attempts {
                    let next = ended(r, Outcome::GivenUp);
                    return self.stage(place, id, next, None, now);
                }
                let pause = match told {
                    AttemptOutcome::Failed => double(FAILED_PAUSE, r.tries - 1, FAILED_PAUSE_MAX),
                    AttemptOutcome::NotStarted => UNSTARTED_PAUSE,
                    // A run that always goes past its time must not take a
                    // worker's slot again and again.
                    _ => {
                        let pause = Span((DOUBT_PAUSE.0 << r.doubts.min(12)).min(DOUBT_PAUSE_MAX.0));
                        r.doubts += 1;
                        pause
                    }
                };
                own.lane.post(&r.head.route, &r.head.key, now + pause, seq);
            }
            Stage::EndedAwaitingCallback(_) => {
                let pause = match told {
                    AttemptOutcome::NotStarted => UNSTARTED_PAUSE,
                    _ => double(CALL_PAUSE, r.tries, CALL_PAUSE_MAX),
                };
                r.tries += u32::from(told != AttemptOutcome::NotStarted);
                own.lane.calls.entry(r.head.callback.clone()).or_default().insert((now + pause, seq));
            }
            Stage::SucceededAwaitingCallback | Stage::Ended(_) => {}
        }
    }

    /// Messages whose route a configuration dropped, or that are past their worth,
    /// end; those under way when their run does.
    pub(super) fn end_dropped(&mut self, now: Time) {
        let rules = &self.link.rules;
        let mut gone: Vec<(PartitionId, MessageId, Stage)> = Vec::new();
        for (place, p) in self.parts.iter().filter(|(k, _)| rules.is_spool_partition(k) && self.serving(k, now)) {
            let Some(own) = p.own.as_ref() else { continue };
            for (name, due) in &own.lane.posts {
                let route = rules.routes.get(name);
                for (_, seq) in due.iter() {
                    let Some(r) = own.lane.ids.get(&seq).and_then(|id| p.recs.get(id)) else { continue };
                    // One whose success is kept back did not expire.
                    let open = !own.won.contains(&seq) && !own.lane.rests(seq, own.quiet, now);
                    if route.is_none_or(|x| now.since(r.taken) > x.ttl) && open {
                        gone.push((place.clone(), r.head.id.clone(), ended(r, Outcome::Expired)));
                    }
                }
            }
        }
        for (place, id, next) in gone {
            if let Some(p) = self.parts.get_mut(&place) {
                let (Some(own), Some(r)) = (p.own.as_mut(), p.recs.get(&id)) else { continue };
                if let Some(due) = own.lane.posts.get_mut(&r.head.route) {
                    due.take(r.head.seq);
                }
            }
            self.stage(&place, &id, next, None, now);
        }
    }
}
