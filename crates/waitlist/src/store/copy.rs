//! Second copies: the mate that gets every op, and siblings made whole.
use crate::prelude::*;

const BODIES_AT_ONCE: usize = 256 << 10;

impl Store {
    /// Matches the sibling that gets the second copy: in another zone, with
    /// the right mark, not the one just found wanting.
    pub(super) fn match_mate(&mut self, place: &Place, now: Time) {
        let me = self.startup.me.id.clone();
        let zone = self.startup.me.zone.clone();
        let zones: BTreeMap<Daemon, Zone> = self.link.members.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let turn = hash_of(place.to_string().as_bytes());
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
        let mut all: Vec<Daemon> = own
            .set
            .iter()
            .map(|(d, _)| d.clone())
            .filter(|d| *d != me && zones.get(d).is_some_and(|z| *z != zone) && own.swap.as_ref().is_none_or(|s| s.0 != *d))
            .collect();
        if all.is_empty() {
            return;
        }
        let by = turn as usize % all.len();
        all.rotate_left(by);
        // Fenced ones have shown they are there.
        all.sort_by_key(|d| !own.fences.contains_key(d));
        let next = match own.mate.as_ref().and_then(|m| all.iter().position(|d| d == m)) {
            Some(at) => all[(at + 1) % all.len()].clone(),
            None => all[0].clone(),
        };
        if own.mate.as_ref() == Some(&next) {
            return;
        }
        let had = own.mate.replace(next.clone());
        own.mate_since = now;
        own.asked = Time(0);
        if had.is_some() {
            self.note(Note::MateMatched, format!("{place} now {next}"));
        }
        self.tend(place, now);
    }

    /// Sees to the mate, and to siblings whose copy does not count.
    pub(super) fn tend(&mut self, place: &Place, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(own) = p.own.as_mut() else { return };
        let Some(mate) = own.mate.clone() else { return self.match_mate(place, now) };
        let (epoch, was, top) = (own.epoch, own.was, p.n);
        let mut lag = Vec::new();
        // A mate that lags and has not moved for a while gives way to another.
        let sib = own.sibs.entry(mate.clone()).or_default();
        let behind = sib.have.is_none_or(|h| h < top);
        // Silence counts from when there was something to acknowledge.
        sib.owed = behind.then(|| sib.owed.unwrap_or(now));
        let quiet = now.since(sib.heard.max(own.mate_since).max(sib.owed.unwrap_or(now))) > Span::millis(900);
        let leaves = own.swap.as_ref().is_some_and(|s| s.0 == mate);
        let switch = (behind && quiet) || leaves;
        if behind && !switch && now.since(sib.asked) > Span::millis(300) {
            sib.asked = now;
            match sib.have {
                None => lag.push(mate.clone()),
                Some(h) => sib.sent = h,
            }
        }
        // Repair: those whose folder has another mark than the one that counts.
        let set = own.set.clone();
        let serving = own.phase == Phase::Serving;
        let joining = own.swap.iter().map(|s| (s.1.clone(), Mark(0)));
        for (d, mark) in set.iter().cloned().chain(joining) {
            let disk = self.link.members.get(&d).map(|m| m.disk);
            if !serving || d == self.startup.me.id || disk.is_none_or(|m| m == mark) {
                continue;
            }
            let sib = own.sibs.entry(d.clone()).or_default();
            let whole = own.whole.get(&d) == disk.as_ref();
            if !whole && now.since(sib.asked) > Span::millis(1000) {
                sib.asked = now;
                lag.push(d);
            }
        }
        // Those never fenced may have come back since.
        let unseen: Vec<Daemon> =
            set.iter().map(|(d, _)| d.clone()).filter(|d| *d != self.startup.me.id && !own.fences.contains_key(d)).collect();
        if own.phase == Phase::Serving && !unseen.is_empty() && now.since(own.asked) > Span::secs(1) {
            own.asked = now;
            for d in unseen {
                self.out.push(Effect::Say(d, Msg::Seal { place: place.clone(), epoch }));
            }
        }
        for d in lag {
            self.note(Note::Repairing, format!("{place} at {d}"));
            let mark = set.iter().find(|s| s.0 == d).map_or(Mark(0), |s| s.1);
            self.say(&d, Msg::Lag { place: place.clone(), epoch, was, mark });
        }
        if switch {
            return self.match_mate(place, now);
        }
        self.dirty.insert(place.clone());
    }

    pub(super) fn on_lag(&mut self, from: Daemon, place: Place, epoch: Epoch, was: Option<(Epoch, u64)>, mark: Mark, now: Time) {
        let p = self.parts.entry(place.clone()).or_default();
        if epoch < p.promised {
            let promised = p.promised;
            return self.say(&from, Msg::Refused { place, promised });
        }
        if epoch > p.promised {
            p.promised = epoch;
            p.fetch = None;
            self.close(&place, now);
            self.ledger.push(Line::Promise { place: place.clone(), epoch });
        }
        let Some(p) = self.parts.get_mut(&place) else { return };
        if p.installed == epoch {
            let upto = p.n;
            return self.later(Then::Ack { to: from, place, epoch, upto });
        }
        // An empty folder stands where a new partition began; it must not
        // pass for one that was there all along.
        if was == Some((p.installed, p.n)) && mark == self.mark {
            p.installed = epoch;
            p.n = 0;
            self.ledger.push(Line::Adopt { place: place.clone(), epoch });
            return self.later(Then::Ack { to: from, place, epoch, upto: 0 });
        }
        if p.fetch.as_ref().is_some_and(|f| f.epoch == epoch) {
            return;
        }
        self.begin_fetch(&place, epoch, from, now);
    }

    pub(super) fn begin_fetch(&mut self, place: &Place, epoch: Epoch, from: Daemon, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        p.fetch = Some(Fetching {
            epoch,
            from: from.clone(),
            digest: None,
            missing: BTreeSet::new(),
            bodies: BTreeMap::new(),
            asked: now,
        });
        self.say(&from, Msg::Fetch { place: place.clone(), epoch });
    }

    /// Asks again for what a copy still lacks.
    pub(super) fn retry_fetch(&mut self, place: &Place, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        if let Some(own) = p.own.as_mut() {
            own.asked = now;
        }
        let Some(f) = p.fetch.as_mut() else { return };
        f.asked = now;
        let (from, epoch) = (f.from.clone(), f.epoch);
        if f.digest.is_none() {
            return self.say(&from, Msg::Fetch { place: place.clone(), epoch });
        }
        self.want(place);
    }

    fn want(&mut self, place: &Place) {
        let Some(f) = self.parts.get(place).and_then(|p| p.fetch.as_ref()) else { return };
        let ids: Vec<MessageId> = f.missing.iter().take(256).cloned().collect();
        let (from, epoch) = (f.from.clone(), f.epoch);
        self.say(&from, Msg::Want { place: place.clone(), epoch, ids });
    }

    /// Only a replica fenced at this very epoch, or its keeper, hands out.
    fn serves(&self, place: &Place, epoch: Epoch) -> bool {
        self.parts.get(place).is_some_and(|p| p.promised == epoch)
    }

    pub(super) fn on_fetch(&mut self, from: Daemon, place: Place, epoch: Epoch) {
        if !self.serves(&place, epoch) {
            return;
        }
        let digest = self.parts[&place].digest();
        self.say(&from, Msg::Fetched { place, epoch, digest });
    }

    pub(super) fn on_want(&mut self, from: Daemon, place: Place, epoch: Epoch, ids: Vec<MessageId>) {
        if !self.serves(&place, epoch) {
            return;
        }
        let mut size = 0;
        let mut all = Vec::new();
        let mut bad = Vec::new();
        for id in ids {
            let Some(r) = self.parts[&place].recs.get(&id) else { continue };
            if !r.head.sound(&r.body) {
                bad.push(id);
                continue;
            }
            size += r.body.len() + 64;
            all.push((id, r.body.clone()));
            if size > BODIES_AT_ONCE {
                break;
            }
        }
        for id in bad {
            self.note(Note::BadBody, format!("{place} {id}"));
        }
        self.counts.bodies_sent += all.len() as u64;
        self.say(&from, Msg::Bodies { place, epoch, all });
    }

    pub(super) fn on_fetched(&mut self, from: Daemon, place: Place, epoch: Epoch, digest: Digest, now: Time) {
        let Some(p) = self.parts.get_mut(&place) else { return };
        let Some(f) = p.fetch.as_mut() else { return };
        if f.epoch != epoch || f.from != from {
            return;
        }
        f.asked = now;
        f.missing = digest
            .heads
            .iter()
            .filter(|(h, _)| {
                let here = p.recs.get(&h.id).is_some_and(|r| r.head.crc == h.crc && r.head.len == h.len && h.sound(&r.body));
                !here && !f.bodies.contains_key(&h.id)
            })
            .map(|(h, _)| h.id.clone())
            .collect();
        let done = f.missing.is_empty();
        f.digest = Some(digest);
        if done {
            return self.install(&place, now);
        }
        self.want(&place);
    }

    pub(super) fn on_bodies(&mut self, from: Daemon, place: Place, epoch: Epoch, all: Vec<(MessageId, Bytes)>, now: Time) {
        let Some(f) = self.parts.get_mut(&place).and_then(|p| p.fetch.as_mut()) else { return };
        if f.epoch != epoch || f.from != from {
            return;
        }
        f.asked = now;
        if all.is_empty() {
            // Dropped there meanwhile: a newer digest, asked for at the next
            // retry and never at once, no longer names them.
            f.digest = None;
            return;
        }
        for (id, body) in all {
            if f.missing.remove(&id) {
                f.bodies.insert(id, body);
            }
        }
        if !f.missing.is_empty() {
            return self.want(&place);
        }
        self.install(&place, now);
    }

    /// All is here: the copy takes its place in one step.
    fn install(&mut self, place: &Place, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(f) = p.fetch.take() else { return };
        let Some(digest) = f.digest else { return };
        let home = self.ledger.next();
        let mut bad = false;
        for (head, stage) in &digest.heads {
            let Some(body) = f.bodies.get(&head.id) else { continue };
            if !head.sound(body) {
                bad = true;
                break;
            }
            let line = Line::Body { place: place.clone(), head: head.clone(), stage: *stage, body: body.clone() };
            self.ledger.push(line);
            p.recs.remove(&head.id).iter().for_each(|r| self.ledger.unsettle(r.home));
            self.held_bytes += p.put(head, *stage, body, home, now, &mut self.ledger);
        }
        if bad {
            self.note(Note::BadBody, format!("{place} from {}", f.from));
            return self.begin_fetch(place, f.epoch, f.from, now);
        }
        let keep: Vec<_> = digest.heads.iter().map(|(h, s)| (h.id.clone(), *s, h.seq)).collect();
        self.held_bytes += p.retain(place, &keep, now, &mut self.ledger);
        // For a new keeper the count starts anew; for a sibling it goes on.
        let mine = p.own.is_some();
        let n = if mine { 0 } else { digest.n };
        p.installed = f.epoch;
        p.n = n;
        p.next = digest.next;
        let line = Line::Install { place: place.clone(), epoch: f.epoch, n, next: digest.next, keep };
        self.ledger.push(line);
        self.note(Note::Repaired, format!("{place} epoch {}", f.epoch));
        if mine {
            self.later(Then::Own { place: place.clone(), epoch: f.epoch, upto: 0 });
            return self.turn(place, Phase::Spreading, now);
        }
        self.later(Then::Ack { to: f.from, place: place.clone(), epoch: f.epoch, upto: n });
    }

    /// Sends the mate what it lacks of the latest ops.
    pub(super) fn spread(&mut self, place: &Place) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let Some(own) = p.own.as_mut() else { return };
        let top = p.n;
        let epoch = own.epoch;
        let Some(mate) = own.mate.clone() else { return };
        let Some(have) = own.sibs.get(&mate).and_then(|s| s.have) else { return };
        let sent = own.sibs.get(&mate).map_or(have, |s| s.sent).max(have);
        if sent >= top || sent - have > 4 * 1024 {
            return;
        }
        let Some(ops) = own.ops_from(sent + 1, top) else {
            // Too far behind for the ops kept: it copies the whole.
            if let Some(s) = own.sibs.get_mut(&mate) {
                s.have = None;
            }
            return;
        };
        if let Some(s) = own.sibs.get_mut(&mate) {
            s.sent = sent + ops.len() as u64;
            if s.sent < top {
                self.dirty.insert(place.clone());
            }
        }
        self.say(&mate, Msg::Append { place: place.clone(), epoch, first: sent + 1, ops });
    }

    pub(super) fn on_append(&mut self, from: Daemon, place: Place, epoch: Epoch, first: u64, ops: Vec<Op>, now: Time) {
        let p = self.parts.entry(place.clone()).or_default();
        if epoch < p.promised {
            let promised = p.promised;
            self.counts.fenced += 1;
            return self.say(&from, Msg::Refused { place, promised });
        }
        if p.installed != epoch || first > p.n + 1 {
            let (installed, n) = (p.installed, p.n);
            return self.say(&from, Msg::Gap { place, epoch, installed, n });
        }
        let home = self.ledger.next();
        for (at, op) in ops.into_iter().enumerate() {
            let n = first + at as u64;
            if n <= p.n {
                continue;
            }
            if let Op::Put(head, _, body) = &op {
                if !head.sound(body) {
                    break;
                }
            }
            self.held_bytes += p.apply(&place, &op, home, now, &mut self.ledger);
            p.n = n;
            self.ledger.push(Line::Op { place: place.clone(), n, op });
        }
        let upto = p.n;
        self.later(Then::Ack { to: from, place, epoch, upto });
    }

    pub(super) fn on_appended(&mut self, from: Daemon, place: Place, epoch: Epoch, upto: u64, mark: Mark, now: Time) {
        let Some(p) = self.parts.get_mut(&place) else { return };
        let top = p.n;
        let Some(own) = p.own.as_mut() else { return };
        if own.epoch != epoch || upto > top {
            return;
        }
        let counts = own.counts(&from, mark);
        let sib = own.sibs.entry(from.clone()).or_default();
        sib.heard = now;
        sib.mark = mark;
        let first = sib.have.is_none();
        sib.have = Some(sib.have.unwrap_or(0).max(upto));
        sib.sent = sib.sent.max(upto);
        if first {
            sib.sent = upto;
        }
        if !counts {
            // A copy made whole under a new mark: placement may count it now.
            own.whole.insert(from, mark);
            return;
        }
        own.whole.remove(&from);
        self.dirty.insert(place.clone());
        self.commit(&place, now);
    }

    pub(super) fn on_gap(&mut self, from: Daemon, place: Place, epoch: Epoch, installed: Epoch, n: u64, now: Time) {
        let Some(own) = self.parts.get_mut(&place).and_then(|p| p.own.as_mut()) else { return };
        if own.epoch != epoch {
            return;
        }
        let was = own.was;
        let mark = own.set.iter().find(|s| s.0 == from).map_or(Mark(0), |s| s.1);
        let Some(sib) = own.sibs.get_mut(&from) else { return };
        sib.heard = now;
        if installed == epoch {
            sib.sent = n;
            sib.have = sib.have.map(|h| h.min(n));
            self.dirty.insert(place);
            return;
        }
        sib.have = None;
        sib.asked = now;
        self.say(&from, Msg::Lag { place, epoch, was, mark });
    }

    pub(super) fn own_durable(&mut self, place: &Place, epoch: Epoch, upto: u64, now: Time) {
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
        if own.epoch != epoch {
            return;
        }
        own.adopted = true;
        own.durable = own.durable.max(upto);
        self.commit(place, now);
    }

    /// What is synced here and on a counting sibling in another zone stands.
    pub(super) fn commit(&mut self, place: &Place, now: Time) {
        let zone = self.startup.me.zone.clone();
        let members = &self.link.members;
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
        if !own.adopted {
            return;
        }
        let best = own
            .sibs
            .iter()
            .filter(|(d, s)| {
                members.get(*d).is_some_and(|m| m.zone != zone) && own.set.iter().any(|(x, m)| x == *d && *m == s.mark)
            })
            .filter(|(d, _)| own.swap.as_ref().is_none_or(|s| s.0 != **d))
            .filter_map(|(_, s)| s.have)
            .max();
        let Some(best) = best else { return };
        if own.phase == Phase::Spreading {
            self.turn(place, Phase::Serving, now);
        }
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
        own.committed = own.committed.max(best.min(own.durable));
        let rest = own.waits.split_off(&(own.committed + 1));
        let done = std::mem::replace(&mut own.waits, rest);
        for wait in done.into_values().flatten() {
            self.committed(place, wait, now);
        }
    }
}
