//! Taking messages in, and answering for their state.
use crate::prelude::*;

/// A proxy tells its caller a word no later than this after it was said.
const WORD_LIFE: Span = Span::millis(2100);

/// A copy of a message, as a proxy sent it.
pub(super) struct Copy {
    pub ask: u64,
    pub proxy: Daemon,
    pub via: Option<Daemon>,
    pub again: bool,
    pub place: Place,
    pub head: Head,
    pub body: Bytes,
    pub stamp: Option<Stamp>,
    pub refuse: Option<Refusal>,
}

impl Copy {
    fn to(&self) -> Daemon {
        self.via.clone().unwrap_or(self.proxy.clone())
    }
}

impl Store {
    pub(super) fn say_carried(&mut self, to: &Daemon, ask: u64, proxy: Daemon, via: Option<Daemon>, word: Carried, now: Time) {
        let clock = Some((self.startup.me.id.clone(), Reading { life: self.startup.me.life, at: now }));
        self.say(to, Msg::Carried { ask, proxy, via, word, clock });
    }

    fn answer(&mut self, c: Copy, word: Carried, now: Time) {
        self.say_carried(&c.to(), c.ask, c.proxy, c.via, word, now);
    }

    /// Answers once op `n` stands on two stores.
    fn answer_at(&mut self, c: Copy, n: u64, word: Carried, now: Time) {
        let place = c.place.clone();
        self.wait(&place, n, Wait::Carry { ask: c.ask, proxy: c.proxy, via: c.via, word }, now);
    }

    /// How old the copy's hand-in may be, if it was made in this life.
    fn oldest(&self, stamp: &Stamp, now: Time) -> Option<Span> {
        let r = stamp.reading.filter(|r| r.life == self.startup.me.life && r.at <= now)?;
        Some(now.since(r.at) + stamp.age)
    }

    /// Whether a copy was surely handed in under this very keeping, and not
    /// longer ago than refusals are remembered.
    fn timely(&self, own: &Keep, stamp: &Stamp, now: Time) -> bool {
        self.oldest(stamp, now).is_some_and(|old| old <= COPY_LIFE && own.opened + old <= now)
    }

    pub(super) fn on_carry(&mut self, from: Daemon, c: Copy, now: Time) {
        let me = self.startup.me.id.clone();
        let own = self.parts.get(&c.place).and_then(|p| p.own.as_ref());
        let shed = own.is_some_and(|o| o.shed.is_some());
        if shed || !self.serving(&c.place, now) {
            // One hop: the proxy may be cut off from the keeper and we not.
            let keeper = self.link.places.get(&c.place).map(|p| p.keeper.clone());
            if let (Some(keeper), None, true) = (keeper.filter(|k| *k != me), &c.via, from.kind() == Kind::Proxy) {
                let Copy { ask, proxy, again, place, head, body, stamp, refuse, .. } = c;
                let version = self.link.rules.version;
                let msg = Msg::Carry { ask, proxy, via: Some(me), again, place, version, head, body, stamp, refuse };
                return self.say(&keeper, msg);
            }
            return self.answer(c, Carried::Elsewhere, now);
        }
        if c.refuse.is_none() && !c.head.sound(&c.body) {
            return self.answer(c, Carried::Unknown, now);
        }
        let part = &self.parts[&c.place];
        if let Some(r) = part.recs.get(&c.head.id) {
            let (n, stage) = (part.n, r.stage);
            if stage == Stage::Ended(Outcome::Refused) {
                let word = self.refused_word();
                return self.answer_at(c, n, word, now);
            }
            if r.head.crc != c.head.crc || r.head.len != c.head.len || r.head.key != c.head.key {
                return self.answer(c, Carried::Conflict, now);
            }
            return self.answer_at(c, n, Carried::Accepted { stage }, now);
        }
        let own = part.own.as_ref();
        if let (Some(stamp), Some(own)) = (&c.stamp, own) {
            if !self.timely(own, stamp, now) {
                self.counts.stale += 1;
                return self.answer(c, Carried::Stale, now);
            }
        }
        if own.is_some_and(|o| o.refused.has(&c.head.id, now)) {
            let word = self.refused_word();
            return self.refuse(c, word, now);
        }
        if let Some(r) = c.refuse.clone() {
            return self.refuse(c, Carried::NotTaken { why: r.why, after: r.after, code: r.code }, now);
        }
        if let Some((why, after, code)) = self.unfit(&c.place, &c.head, now) {
            return self.refuse(c, Carried::NotTaken { why, after, code }, now);
        }
        self.counts.accepted += 1;
        let Some(part) = self.parts.get_mut(&c.place) else { return };
        let mut head = c.head.clone();
        head.seq = part.next;
        let id = head.id.clone();
        let place = c.place.clone();
        let n = self.write(&place, Op::Put(head, Stage::Work, c.body.clone()), now);
        if let Some(own) = self.parts.get_mut(&place).and_then(|p| p.own.as_mut()) {
            own.shown.insert(id.clone(), None);
        }
        self.wait(&place, n, Wait::Enter { id }, now);
        self.answer_at(c, n, Carried::Accepted { stage: Stage::Work }, now);
    }

    /// Says that an id never runs, and sees to it: the id is remembered until
    /// no copy handed in before can be written, and by then the word is told.
    /// Where that can't be had the end is unknown.
    fn refuse(&mut self, c: Copy, word: Carried, now: Time) {
        self.counts.refused += 1;
        if c.stamp.is_none() && c.again {
            // A proxy of the first version: the refusal is written down. Its
            // bytes are not kept, so its checksum is that of none.
            let head = Head { crc: crc32(b""), len: 0, ..c.head.clone() };
            let place = c.place.clone();
            let n = self.write(&place, Op::Put(head, Stage::Ended(Outcome::Refused), Bytes::new()), now);
            return self.answer_at(c, n, word, now);
        }
        // The next keeper opens only after this lease; the word must be with
        // its caller by then.
        let left = self.link.held.end(&Duty::Keep(c.place.clone())).map_or(Span::ZERO, |t| t.left(now));
        let own = self.parts.get_mut(&c.place).and_then(|p| p.own.as_mut());
        let sure = c.stamp.is_none() || (left >= WORD_LIFE && own.is_some_and(|o| o.refused.add(&c.head.id, now)));
        let word = if sure { word } else { Carried::Unknown };
        self.answer(c, word, now);
    }

    fn refused_word(&self) -> Carried {
        let why = "this id was refused a moment ago; come back later with it, or send the message under a new id now".into();
        Carried::NotTaken { why, after: COPY_LIFE.percent(120), code: 409 }
    }

    /// Why a message can't be taken now, if so, and when to come back.
    fn unfit(&mut self, place: &Place, head: &Head, now: Time) -> Option<(String, Span, u16)> {
        if !self.link.fresh(now) {
            return Some(("the charter in force can't be confirmed".into(), Span::secs(1), 503));
        }
        let Some(rule) = self.link.rules.rule_of(place) else {
            return Some(("no such waitlist".into(), Span::ZERO, 404));
        };
        if rule.ordered && head.key.is_empty() {
            return Some(("this waitlist needs an ordering key".into(), Span::ZERO, 400));
        }
        let count: usize = self.parts.values().map(|p| p.recs.len()).sum();
        let bytes = self.held_bytes.max(0) as u64 + u64::from(head.len);
        let fill = (count as u64 * 100 / self.startup.count_max).max(bytes * 100 / self.startup.bytes_max);
        if fill >= 100 || self.leaving.is_some() {
            return Some(("this store is full".into(), Span::secs(2), 503));
        }
        if fill < 70 {
            return None;
        }
        // Near the bound each tenant keeps to its share of what waits.
        let mine: usize = self.parts.iter().filter(|(k, _)| k.tenant == place.tenant).map(|(_, p)| p.recs.len()).sum();
        let all: u32 = self.link.rules.shares.values().sum();
        let share = self.link.rules.shares.get(&place.tenant).copied().unwrap_or(1);
        if mine as u64 * u64::from(all) > self.startup.count_max * u64::from(share) {
            return Some(("over this tenant's share of a store that is nearly full".into(), Span::secs(2), 429));
        }
        None
    }

    /// Serving under a live lease; asked before every act as keeper.
    pub(super) fn serving(&self, place: &Place, now: Time) -> bool {
        let Some(own) = self.parts.get(place).and_then(|p| p.own.as_ref()) else { return false };
        own.phase == Phase::Serving && self.link.may(&Duty::Keep(place.clone()), now) == Some(own.epoch)
    }

    /// Writes one op as keeper; gives its number.
    pub(super) fn write(&mut self, place: &Place, op: Op, now: Time) -> u64 {
        let home = self.ledger.next();
        let Some(p) = self.parts.get_mut(place) else { return 0 };
        self.held_bytes += p.apply(place, &op, home, now, &mut self.ledger);
        p.n += 1;
        let n = p.n;
        let Some(own) = p.own.as_mut() else { return n };
        own.recent.push_back(op.clone());
        if own.recent.len() > crate::keep::RECENT {
            own.recent.pop_front();
        }
        let epoch = own.epoch;
        self.ledger.push(Line::Op { place: place.clone(), n, op });
        self.later(Then::Own { place: place.clone(), epoch, upto: n });
        self.dirty.insert(place.clone());
        n
    }

    /// Does `wait` once op `n` stands on two stores; at once if it does.
    pub(super) fn wait(&mut self, place: &Place, n: u64, wait: Wait, now: Time) {
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
        if n <= own.committed {
            return self.committed(place, wait, now);
        }
        own.waits.entry(n).or_default().push(wait);
    }

    pub(super) fn committed(&mut self, place: &Place, wait: Wait, now: Time) {
        match wait {
            Wait::Carry { ask, proxy, via, word } => {
                let to = via.clone().unwrap_or(proxy.clone());
                self.say_carried(&to, ask, proxy, via, word, now);
            }
            Wait::Settle { to, attempt, epoch } => self.say(&to, Msg::Noted { all: vec![(place.clone(), epoch, attempt)] }),
            Wait::Enter { id } => {
                let Some(p) = self.parts.get_mut(place) else { return };
                let (Some(own), Some(r)) = (p.own.as_mut(), p.recs.get(&id)) else { return };
                own.shown.remove(&id);
                own.lane.enter(&r.head, r.stage, now);
                self.stirred = true;
            }
            Wait::Staged { id } => {
                let Some(p) = self.parts.get_mut(place) else { return };
                let (Some(own), Some(r)) = (p.own.as_mut(), p.recs.get(&id)) else { return };
                own.shown.remove(&id);
                self.stirred = true;
                own.lane.leave_work(&r.head, now);
                match r.stage {
                    Stage::Calling => own.lane.enter(&r.head, r.stage, now),
                    _ => own.lane.forget(r.head.seq),
                }
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_peek(
        &mut self,
        from: Daemon,
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        place: Place,
        id: MessageId,
        body: bool,
        now: Time,
    ) {
        if !self.serving(&place, now) {
            let me = self.startup.me.id.clone();
            let keeper = self.link.places.get(&place).map(|p| p.keeper.clone());
            if let (Some(keeper), None, true) = (keeper.filter(|k| *k != me), &via, from.kind() == Kind::Proxy) {
                return self.say(&keeper, Msg::Peek { ask, proxy, via: Some(me), place, id, body });
            }
            let to = via.clone().unwrap_or(proxy.clone());
            return self.say(&to, Msg::Peeked { ask, proxy, via, found: Found::Elsewhere });
        }
        let p = &self.parts[&place];
        let shown = p.own.as_ref().and_then(|o| o.shown.get(&id).copied());
        let found = match (p.recs.get(&id), shown) {
            // Not on two stores yet: nobody may count on it.
            (_, Some(None)) => Found::Elsewhere,
            (None, _) => Found::Nothing,
            (Some(r), shown) => {
                let stage = shown.flatten().unwrap_or(r.stage);
                let body = (body && r.head.sound(&r.body)).then(|| r.body.clone());
                Found::Here { head: r.head.clone(), stage, body }
            }
        };
        let to = via.clone().unwrap_or(proxy.clone());
        self.say(&to, Msg::Peeked { ask, proxy, via, found });
    }
}
