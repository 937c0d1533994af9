//! Taking messages in, and answering for their state.
use crate::prelude::*;

impl Store {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_carry(
        &mut self,
        from: Daemon,
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        again: bool,
        place: Place,
        head: Head,
        body: Bytes,
        now: Time,
    ) {
        let me = self.startup.me.id.clone();
        let to = via.clone().unwrap_or(proxy.clone());
        let word = |word| Msg::Carried { ask, proxy: proxy.clone(), via: via.clone(), word };
        let shed = self.parts.get(&place).and_then(|p| p.own.as_ref()).is_some_and(|o| o.shed.is_some());
        if shed || !self.serving(&place, now) {
            // One hop: the proxy may be cut off from the keeper and we not.
            let keeper = self.link.places.get(&place).map(|p| p.keeper.clone());
            if let (Some(keeper), None, true) = (keeper.filter(|k| *k != me), &via, from.kind() == Kind::Proxy) {
                let version = self.link.rules.version;
                return self.say(&keeper, Msg::Carry { ask, proxy, via: Some(me), again, place, version, head, body });
            }
            return self.say(&to, word(Carried::Elsewhere));
        }
        if !head.sound(&body) {
            return self.say(&to, word(Carried::Unknown));
        }
        let part = &self.parts[&place];
        if let Some(r) = part.recs.get(&head.id) {
            if r.stage == Stage::Ended(Outcome::Refused) {
                let n = part.n;
                let word = self.refused_word();
                return self.wait(&place, n, Wait::Carry { ask, proxy, via, word }, now);
            }
            if r.head.crc != head.crc || r.head.len != head.len || r.head.key != head.key {
                return self.say(&to, word(Carried::Conflict));
            }
            let n = part.n;
            let stage = r.stage;
            return self.wait(&place, n, Wait::Carry { ask, proxy, via, word: Carried::Accepted { stage } }, now);
        }
        if let Some((why, after, code)) = self.unfit(&place, &head, now) {
            self.counts.refused += 1;
            if !again {
                return self.say(&to, word(Carried::NotTaken { why, after, code }));
            }
            // An earlier sending may still be on its way: refuse it for good.
            // Its bytes are not kept, so its checksum is that of none.
            let head = Head { crc: crc32(b""), len: 0, ..head };
            let n = self.write(&place, Op::Put(head, Stage::Ended(Outcome::Refused), Bytes::new()), now);
            let word = Carried::NotTaken { why, after, code };
            return self.wait(&place, n, Wait::Carry { ask, proxy, via, word }, now);
        }
        self.counts.accepted += 1;
        let Some(part) = self.parts.get_mut(&place) else { return };
        let mut head = head;
        head.seq = part.next;
        let id = head.id.clone();
        let n = self.write(&place, Op::Put(head, Stage::Work, body), now);
        if let Some(own) = self.parts.get_mut(&place).and_then(|p| p.own.as_mut()) {
            own.shown.insert(id.clone(), None);
        }
        self.wait(&place, n, Wait::Enter { id }, now);
        self.wait(&place, n, Wait::Carry { ask, proxy, via, word: Carried::Accepted { stage: Stage::Work } }, now);
    }

    fn refused_word(&self) -> Carried {
        let why = "this id was refused before and never runs; send it under a new id".into();
        Carried::NotTaken { why, after: Span::secs(1), code: 409 }
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
                self.say(&to, Msg::Carried { ask, proxy, via, word });
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
