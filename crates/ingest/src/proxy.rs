use crate::interpreter::Handed;
use crate::prelude::*;
use crate::verdicts;
use serde_json::json;

#[derive(Clone, Debug)]
pub struct Startup {
    pub me: Member,
    pub agent: Daemon,
    pub pull: Span,
    pub terms: Terms,
    /// Carries under way at most.
    pub seats: u64,
    /// After this without a word from the keeper, another way is tried.
    pub second: Span,
    /// After this the caller gets its verdict, whatever is known.
    pub limit: Span,
}

#[derive(Default)]
struct Counts {
    handed: u64,
    accepted: u64,
    refused: u64,
    unknown: u64,
    looked: u64,
    second: u64,
}

/// A message on its way. Invariants: `open` names the copies that may still
/// be written somewhere; "not taken" is told on the keeper's word, which
/// speaks of the id, or when the caller says that this is the id's first
/// sending and no copy was ever sent.
struct Carry {
    ask: AskId,
    tenant: String,
    seated: bool,
    place: Place,
    head: Head,
    body: Bytes,
    first: bool,
    /// The edge's own refusal, to be made true by the keeper.
    refuse: Option<Refusal>,
    open: BTreeSet<u64>,
    sent_any: bool,
    stale: u32,
    since: Time,
    sent: Time,
    tried: BTreeSet<Daemon>,
}

struct Peek {
    ask: AskId,
    place: Place,
    id: MessageId,
    body: bool,
    since: Time,
    sent: Time,
    tried: BTreeSet<Daemon>,
}

pub struct Proxy {
    pub startup: Startup,
    pub link: Link,
    seats: Seats,
    carries: BTreeMap<u64, Carry>,
    copies: BTreeMap<u64, u64>,
    peeks: BTreeMap<u64, Peek>,
    /// Each store's clock as last heard, and when.
    clocks: BTreeMap<Daemon, (Reading, Time)>,
    next: u64,
    counts: Counts,
    leaving: Option<Time>,
    out: Vec<Effect>,
}

impl Proxy {
    pub fn new(startup: Startup) -> Proxy {
        let link = Link::new(startup.me.clone(), vec![startup.agent.clone()], startup.pull, startup.terms);
        let seats = Seats::new(startup.seats);
        // Numbers of another life of this proxy must not meet these.
        let next = (startup.me.life.0 << 24) | 1;
        Proxy {
            startup,
            link,
            seats,
            carries: BTreeMap::new(),
            copies: BTreeMap::new(),
            peeks: BTreeMap::new(),
            clocks: BTreeMap::new(),
            next,
            counts: Counts::default(),
            leaving: None,
            out: Vec::new(),
        }
    }

    fn tell(&mut self, ask: AskId, v: Verdict) {
        self.out.push(Effect::Tell(ask, v));
    }

    /// Refuses at once, on the caller's word that the id was never sent.
    fn refuse(&mut self, ask: AskId, stop: Stop) {
        self.counts.refused += 1;
        self.tell(ask, verdicts::not_taken(stop.code, &stop.why, stop.after));
    }

    /// Refuses a sending whose id may have been sent before, though its
    /// partition can't be told: of the id nothing is known.
    fn refuse_sending(&mut self, ask: AskId, first: bool, stop: Stop) {
        if first {
            return self.refuse(ask, stop);
        }
        self.counts.unknown += 1;
        self.tell(ask, verdicts::refused_unknown(stop.code, &stop.why));
    }

    #[allow(clippy::too_many_arguments)]
    fn on_hand(
        &mut self,
        ask: AskId,
        tenant: String,
        waitlist: String,
        id: MessageId,
        key: String,
        desk: String,
        ttl: Option<Span>,
        first: bool,
        body: Bytes,
        now: Time,
    ) {
        self.counts.handed += 1;
        let stop = |code, why: &str, after| Stop { code, why: why.to_string(), after };
        if id.as_str().is_empty() || id.as_str().len() > 128 || key.len() > 256 {
            // No message can ever have been taken under these.
            return self.refuse(ask, stop(400, "give an id of 1 to 128 bytes and a key of at most 256", None));
        }
        if !self.link.fresh(now) || self.leaving.is_some() {
            if !first {
                self.counts.unknown += 1;
                return self.tell(ask, verdicts::unknown(&id));
            }
            return self.refuse(ask, stop(503, "this proxy can't confirm the charter in force", Some(Span::secs(1))));
        }
        let Some(rule) = self.link.rules.rule(&tenant, &waitlist).cloned() else {
            return self.refuse_sending(ask, first, stop(404, "no such tenant or waitlist", None));
        };
        let msg = Handed { id: &id, key: &key, desk: &desk, ttl, len: body.len() as u64 };
        let made = run(&rule, &msg, &mut self.seats);
        let refuse = match made.stop {
            Some(s) if first || !made.placed => return self.refuse_sending(ask, first, s),
            // The keeper has to hear of it, and what is under way is bounded.
            Some(_) if self.carries.len() as u64 >= self.startup.seats * 4 => {
                self.counts.unknown += 1;
                return self.tell(ask, verdicts::unknown(&id));
            }
            Some(s) => Some(Refusal { why: s.why, after: s.after.unwrap_or(Span::ZERO), code: s.code }),
            None => None,
        };
        let place = Place { tenant: tenant.clone(), waitlist, part: made.part };
        let head = Head { id, key, seq: 0, crc: crc32(&body), len: body.len() as u32, desk, ttl };
        let body = if refuse.is_some() { Bytes::new() } else { body };
        let carry = Carry {
            ask,
            tenant,
            seated: made.seated,
            place,
            head,
            body,
            first,
            refuse,
            open: BTreeSet::new(),
            sent_any: false,
            stale: 0,
            since: now,
            sent: now,
            tried: BTreeSet::new(),
        };
        let n = self.next;
        self.next += 1;
        self.carries.insert(n, carry);
        if !self.send_copy(n, false, now) {
            self.give_up(n);
        }
    }

    /// Sends one copy, to the keeper or around a cut; false when there is no
    /// way to send it.
    fn send_copy(&mut self, n: u64, around: bool, now: Time) -> bool {
        let Some(c) = self.carries.get_mut(&n) else { return false };
        let keeper = self.link.places.get(&c.place).map(|p| p.keeper.clone());
        let to = match (around, keeper) {
            (false, Some(k)) => k,
            (_, keeper) => {
                let stores = self.link.members.keys().filter(|d| d.kind() == Kind::Store && Some(*d) != keeper.as_ref());
                let Some(d) = stores.into_iter().find(|d| !c.tried.contains(*d)) else { return false };
                d.clone()
            }
        };
        c.tried.insert(to.clone());
        c.sent = now;
        c.sent_any = true;
        let copy = self.next;
        self.next += 1;
        c.open.insert(copy);
        self.copies.insert(copy, n);
        // Sent around a cut, it is the keeper's clock that counts all the same.
        let keeper = self.link.places.get(&c.place).map(|p| &p.keeper);
        let reading = keeper.and_then(|k| self.clocks.get(k)).map(|r| r.0);
        let msg = Msg::Carry {
            ask: copy,
            proxy: self.startup.me.id.clone(),
            via: None,
            again: true,
            place: c.place.clone(),
            version: self.link.rules.version,
            head: c.head.clone(),
            body: c.body.clone(),
            stamp: Some(Stamp { reading, age: now.since(c.since) }),
            refuse: c.refuse.clone(),
        };
        self.out.push(Effect::Say(to, msg));
        true
    }

    fn close(&mut self, n: u64, v: Verdict) {
        let Some(c) = self.carries.remove(&n) else { return };
        for copy in &c.open {
            self.copies.remove(copy);
        }
        if c.seated {
            self.seats.give_back(&c.tenant);
        }
        match v.code {
            202 => self.counts.accepted += 1,
            504 => self.counts.unknown += 1,
            _ => self.counts.refused += 1,
        }
        self.tell(c.ask, v);
    }

    /// The final verdict, at once, with what is certain.
    fn give_up(&mut self, n: u64) {
        let Some(c) = self.carries.get(&n) else { return };
        let v = match c.first && !c.sent_any {
            true => verdicts::not_taken(503, "no store keeps this partition just now", Some(Span::secs(1))),
            false => verdicts::unknown(&c.head.id),
        };
        self.close(n, v);
    }

    fn on_carried(&mut self, copy: u64, word: Carried, clock: Option<(Daemon, Reading)>, now: Time) {
        if let Some((d, r)) = clock {
            if self.link.members.contains_key(&d) {
                self.clocks.insert(d, (r, now));
            }
        }
        let Some(n) = self.copies.remove(&copy) else { return };
        let Some(c) = self.carries.get_mut(&n) else { return };
        if !c.open.remove(&copy) {
            return;
        }
        let id = c.head.id.clone();
        let late = now.since(c.since) > self.startup.limit;
        match word {
            Carried::Accepted { stage } => self.close(n, verdicts::accepted(&id, stage)),
            Carried::Conflict => self.close(n, verdicts::conflict(&id)),
            // An old word might speak of an id that was sent again since.
            Carried::NotTaken { .. } if late => self.give_up(n),
            Carried::NotTaken { why, after, code } => {
                let after = (after > Span::ZERO).then_some(after);
                self.close(n, verdicts::not_taken(code, &why, after));
            }
            Carried::Unknown => {
                if c.open.is_empty() {
                    self.give_up(n);
                }
            }
            Carried::Stale if late => self.give_up(n),
            // Nothing was written, and the keeper's clock is known now; a
            // message handed in before the keeper opened has to be sent anew.
            Carried::Stale => {
                c.stale += 1;
                if c.stale <= 2 {
                    if !self.send_copy(n, false, now) {
                        self.give_up(n);
                    }
                } else if c.open.is_empty() {
                    self.give_up(n);
                }
            }
            // Nothing was written there; the newest places may name another.
            Carried::Elsewhere => {
                self.link.hurry(now);
                if late {
                    self.give_up(n);
                }
            }
        }
    }

    fn on_clock(&mut self, now: Time) {
        let mut acts = self.link.tick(now, || None);
        self.out.append(&mut acts);
        let limit = self.startup.limit;
        let second = self.startup.second;
        let due: Vec<u64> = self.carries.iter().filter(|(_, c)| now.since(c.sent) >= second).map(|(n, _)| *n).collect();
        for n in due {
            let Some(c) = self.carries.get(&n) else { continue };
            if now.since(c.since) >= limit {
                self.give_up(n);
                continue;
            }
            let idle = c.open.is_empty();
            if c.open.len() < 2 {
                if !idle {
                    self.counts.second += 1;
                }
                self.send_copy(n, !idle, now);
            }
        }
        let late: Vec<u64> = self.peeks.iter().filter(|(_, p)| now.since(p.sent) >= second).map(|(n, _)| *n).collect();
        for n in late {
            let Some(p) = self.peeks.get(&n) else { continue };
            if now.since(p.since) >= limit || !self.send_peek(n, now) {
                self.end_peek(n, verdicts::unread());
            }
        }
        if let Some(since) = self.leaving {
            let idle = self.carries.is_empty() && self.peeks.is_empty();
            if idle || now.since(since) > limit.times(2) {
                self.out.push(Effect::Gone);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn on_look(&mut self, ask: AskId, tenant: String, waitlist: String, id: MessageId, key: String, body: bool, now: Time) {
        self.counts.looked += 1;
        if !self.link.fresh(now) {
            return self.tell(ask, verdicts::unread());
        }
        let Some(rule) = self.link.rules.rule(&tenant, &waitlist) else {
            return self.tell(ask, Verdict::json(404, json!({"error": "no such tenant or waitlist"}).to_string()));
        };
        if rule.ordered && key.is_empty() {
            let why = "this waitlist is ordered; name the message's key too";
            return self.tell(ask, Verdict::json(400, json!({ "error": why }).to_string()));
        }
        if self.peeks.len() as u64 >= self.startup.seats {
            return self.tell(ask, verdicts::unread());
        }
        let part = rule.part_of(&key, &id);
        let place = Place { tenant, waitlist, part };
        let n = self.next;
        self.next += 1;
        self.peeks.insert(n, Peek { ask, place, id, body, since: now, sent: now, tried: BTreeSet::new() });
        if !self.send_peek(n, now) {
            self.end_peek(n, verdicts::unread());
        }
    }

    /// Asks the keeper, then around it.
    fn send_peek(&mut self, n: u64, now: Time) -> bool {
        let Some(p) = self.peeks.get_mut(&n) else { return false };
        let keeper = self.link.places.get(&p.place).map(|x| x.keeper.clone());
        let stores = self.link.members.keys().filter(|d| d.kind() == Kind::Store).cloned();
        let Some(to) = keeper.into_iter().chain(stores).find(|d| !p.tried.contains(d)) else { return false };
        p.tried.insert(to.clone());
        p.sent = now;
        let proxy = self.startup.me.id.clone();
        let msg = Msg::Peek { ask: n, proxy, via: None, place: p.place.clone(), id: p.id.clone(), body: p.body };
        self.out.push(Effect::Say(to, msg));
        true
    }

    fn end_peek(&mut self, n: u64, v: Verdict) {
        if let Some(p) = self.peeks.remove(&n) {
            self.tell(p.ask, v);
        }
    }

    fn on_peeked(&mut self, n: u64, found: Found, now: Time) {
        let Some(p) = self.peeks.get_mut(&n) else { return };
        let v = match found {
            Found::Elsewhere => {
                // Tried again soon, with what the places then say.
                p.tried.clear();
                return self.link.hurry(now);
            }
            Found::Nothing => verdicts::no_such(),
            Found::Here { head, stage, body } if p.body => match body {
                Some(b) => Verdict { body: Some(b), ..verdicts::state(&head, stage) },
                None => verdicts::unread(),
            },
            Found::Here { head, stage, .. } => verdicts::state(&head, stage),
        };
        self.end_peek(n, v);
    }

    fn status(&self, now: Time) -> Verdict {
        let c = &self.counts;
        let v = json!({
            "daemon": self.startup.me.id.to_string(),
            "zone": self.startup.me.zone.to_string(),
            "term": self.link.term().0,
            "charter": self.link.rules.version.to_string(),
            "fresh": self.link.fresh(now),
            "under_way": self.carries.len(),
            "seats": self.seats.held(),
            "places": self.link.places.len(),
            "leaving": self.leaving.is_some(),
            "counts": {"handed": c.handed, "accepted": c.accepted, "refused": c.refused, "unknown": c.unknown,
                       "looked": c.looked, "second_copies": c.second},
        });
        Verdict::json(200, v.to_string())
    }
}

impl Core for Proxy {
    fn step(&mut self, event: Event, now: Time) -> Vec<Effect> {
        match event {
            Event::Clock => self.on_clock(now),
            Event::Hear { from, msg } => match msg {
                Msg::News { asked, term, fresh, items, grants, late } => {
                    let change = self.link.news(&from, asked, term, fresh, items, grants, late, now, &mut self.out);
                    if change.sources.contains(&Source::Charter) {
                        self.seats.shares(&self.link.rules.shares);
                    }
                }
                Msg::Carried { ask, word, clock, .. } => self.on_carried(ask, word, clock, now),
                Msg::Peeked { ask, found, .. } => self.on_peeked(ask, found, now),
                _ => {}
            },
            Event::Ask(ask, Ask::Hand { tenant, waitlist, id, key, desk, ttl, first, body }) => {
                self.on_hand(ask, tenant, waitlist, id, key, desk, ttl, first, body, now)
            }
            Event::Ask(ask, Ask::Look { tenant, waitlist, id, key, body }) => {
                self.on_look(ask, tenant, waitlist, id, key, body, now)
            }
            Event::Ask(ask, Ask::Status) => {
                let v = self.status(now);
                self.tell(ask, v);
            }
            Event::Ask(ask, _) => {
                let why = json!({"error": "operators' orders go to a placement daemon"}).to_string();
                self.tell(ask, Verdict::json(404, why));
            }
            Event::Leave => {
                self.leaving.get_or_insert(now);
            }
            Event::Saved(_) | Event::Loaded(..) | Event::Back(..) => {}
        }
        std::mem::take(&mut self.out)
    }
}
