//! Bodies rest on disk. In memory stand those of the latest files, which are
//! still to be folded, and a bounded cache of others; what is needed and not
//! here is read back, checked, and whoever waited for it is served then.
use crate::prelude::*;

/// Invariant: `line` names every body in memory but those lent, oldest first;
/// `weight` is the sum of its entries, some of whose records may be gone.
#[derive(Default)]
pub struct Cache {
    line: VecDeque<(Place, MessageId, u64)>,
    weight: u64,
    /// Read back for somebody, and when: gone a little later.
    lent: VecDeque<(Place, MessageId, Time, u64)>,
    lent_weight: u64,
    loads: BTreeMap<u64, (Place, MessageId)>,
    loading: BTreeMap<(Place, MessageId), Vec<Parked>>,
    loading_bytes: u64,
    next: u64,
    /// Copies that failed their checksum: when a sibling was last asked, and
    /// how often.
    bad: BTreeMap<(Place, MessageId), (Time, usize)>,
}

/// A body as it can be had now.
pub(super) enum Body {
    Here(Bytes),
    /// It has to be read back.
    Later,
    /// The copy here is not what was handed in.
    Bad,
}

/// Who waits for a body.
#[derive(Clone, Debug)]
pub(super) enum Parked {
    Peek {
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        stage: Stage,
    },
    Want {
        from: Daemon,
        epoch: Epoch,
        ids: Vec<MessageId>,
    },
    /// Its place in the lane of what is due.
    Due {
        desk: Option<String>,
        at: Time,
        seq: u64,
    },
    /// To be written again, so that its file can go.
    Clean,
    /// Nobody: it will be asked for soon.
    Soon,
}

/// Bytes being read back at once, at most.
const LOADING: u64 = 4 << 20;
/// What is read back stays so long, and so many bytes of it.
const LENT: Span = Span::millis(800);
const LENT_BYTES: u64 = 8 << 20;
/// What an entry weighs beside its bytes.
const ENTRY: u64 = 256;

impl Cache {
    pub fn note(&mut self, place: &Place, op: &Op) {
        if let Op::Put(head, ..) = op {
            self.put(place, &head.id, head.len);
        }
    }
    pub fn put(&mut self, place: &Place, id: &MessageId, len: u32) {
        let weight = u64::from(len) + ENTRY;
        self.weight += weight;
        self.line.push_back((place.clone(), id.clone(), weight));
    }
    pub fn weight(&self) -> u64 {
        self.weight + self.lent_weight
    }
    pub fn is_bad(&self, place: &Place, id: &MessageId) -> bool {
        self.bad.contains_key(&(place.clone(), id.clone()))
    }
    pub fn bad(&self) -> usize {
        self.bad.len()
    }
}

impl Store {
    pub(super) fn body_of(&self, place: &Place, id: &MessageId) -> Body {
        let Some(r) = self.parts.get(place).and_then(|p| p.recs.get(id)) else { return Body::Bad };
        match &r.body {
            Some(b) if r.head.sound(b) => Body::Here(b.clone()),
            Some(_) => Body::Bad,
            None if self.cache.is_bad(place, id) => Body::Bad,
            None => Body::Later,
        }
    }

    /// Reads a body back, and serves `who` then; false when that can't be
    /// begun now.
    pub(super) fn park(&mut self, place: &Place, id: &MessageId, who: Parked) -> bool {
        let key = (place.clone(), id.clone());
        if let Some(all) = self.cache.loading.get_mut(&key) {
            all.push(who);
            return true;
        }
        let Some(r) = self.parts.get(place).and_then(|p| p.recs.get(id)) else { return false };
        let (len, at) = (r.head.len, r.at);
        let Some(name) = self.ledger.file_of(r.home) else { return false };
        if self.cache.loading_bytes >= LOADING {
            return false;
        }
        self.cache.loading_bytes += u64::from(len) + ENTRY;
        self.cache.next += 1;
        let n = self.cache.next;
        self.cache.loads.insert(n, key.clone());
        self.cache.loading.insert(key, vec![who]);
        self.counts.loads += 1;
        self.out.push(Effect::Load { n, name, at, len });
        true
    }

    pub(super) fn on_loaded(&mut self, n: u64, bytes: Option<Bytes>, now: Time) {
        let Some((place, id)) = self.cache.loads.remove(&n) else { return };
        if self.cache.loads.is_empty() {
            self.cache.loading_bytes = 0;
        }
        let waits = self.cache.loading.remove(&(place.clone(), id.clone())).unwrap_or_default();
        let rec = self.parts.get_mut(&place).and_then(|p| p.recs.get_mut(&id));
        let mut good = false;
        match (rec, bytes) {
            (Some(r), Some(b)) if r.head.sound(&b) => {
                self.cache.loading_bytes = self.cache.loading_bytes.saturating_sub(u64::from(r.head.len) + ENTRY);
                r.body.get_or_insert(b);
                let weight = u64::from(r.head.len) + ENTRY;
                self.cache.lent_weight += weight;
                self.cache.lent.push_back((place.clone(), id.clone(), now, weight));
                good = true;
            }
            // Folded into another file meanwhile, if its home has moved.
            (Some(r), Some(_)) if r.body.is_none() => self.found_bad(&place, &id, now),
            _ => {}
        }
        for w in waits {
            self.unpark(&place, &id, w, good, now);
        }
    }

    fn unpark(&mut self, place: &Place, id: &MessageId, who: Parked, good: bool, now: Time) {
        match who {
            Parked::Peek { ask, proxy, via, stage } => {
                let body = match self.body_of(place, id) {
                    Body::Here(b) if good => Some(b),
                    _ => None,
                };
                let Some(r) = self.parts.get(place).and_then(|p| p.recs.get(id)) else { return };
                let found = Found::Here { head: r.head.clone(), stage, body };
                let to = via.clone().unwrap_or(proxy.clone());
                self.say(&to, Msg::Peeked { ask, proxy, via, found });
            }
            Parked::Want { from, epoch, ids } if good => self.on_want(from, place.clone(), epoch, ids, now),
            // It asks again by itself.
            Parked::Want { .. } | Parked::Soon => {}
            Parked::Clean => self.write_again(place, id),
            Parked::Due { desk, at, seq } => {
                let Some(own) = self.parts.get_mut(place).and_then(|p| p.own.as_mut()) else { return };
                let set = match &desk {
                    Some(d) => own.lane.calls.entry(d.clone()).or_default(),
                    None => &mut own.lane.line,
                };
                if good && set.remove(&(at, seq)) {
                    set.insert((now, seq));
                    self.stirred = true;
                }
            }
        }
    }

    /// The copy here does not pass its checksum: it is never handed out, and
    /// a sibling is asked for its own.
    pub(super) fn found_bad(&mut self, place: &Place, id: &MessageId, now: Time) {
        let key = (place.clone(), id.clone());
        if self.cache.bad.contains_key(&key) {
            return;
        }
        self.note(Note::BadBody, format!("{place} {id}; a sibling is asked for its copy"));
        if let Some(r) = self.parts.get_mut(place).and_then(|p| p.recs.get_mut(id)) {
            r.body = None;
        }
        self.cache.bad.insert(key, (Time(0), 0));
        self.mend(now);
    }

    /// Asks siblings in turn for copies that are bad here.
    pub(super) fn mend(&mut self, now: Time) {
        let due: Vec<((Place, MessageId), usize)> = self
            .cache
            .bad
            .iter()
            .filter(|(_, b)| now.since(b.0) >= Span::millis(500) || b.1 == 0)
            .map(|(k, b)| (k.clone(), b.1))
            .take(64)
            .collect();
        for ((place, id), tries) in due {
            let key = (place.clone(), id.clone());
            // No sibling had a good one: what is here is read once more, as a
            // disk may have misread it.
            let Some(p) = self.parts.get(&place).filter(|p| p.recs.contains_key(&id) && tries < 2) else {
                self.cache.bad.remove(&key);
                continue;
            };
            let epoch = p.promised;
            let all: Vec<Daemon> = match &p.own {
                Some(own) => own.sibs.iter().filter(|s| s.1.have.is_some()).map(|s| s.0.clone()).collect(),
                None => self.link.places.get(&place).map(|x| x.keeper.clone()).into_iter().collect(),
            };
            self.cache.bad.insert(key, (now, tries + 1));
            let Some(to) = all.get(tries % all.len().max(1)).cloned() else { continue };
            self.say(&to, Msg::Want { place, epoch, ids: vec![id] });
        }
    }

    /// Takes good copies in for bad ones; gives back the others.
    pub(super) fn mended(&mut self, place: &Place, all: Vec<(MessageId, Bytes)>) -> Vec<(MessageId, Bytes)> {
        let mut rest = Vec::new();
        for (id, body) in all {
            let key = (place.clone(), id.clone());
            let known = self.cache.bad.contains_key(&key);
            let home = self.ledger.next();
            let rec = self.parts.get_mut(place).and_then(|p| p.recs.get_mut(&id));
            let Some(r) = rec.filter(|r| known && r.head.sound(&body)) else {
                rest.push((id, body));
                continue;
            };
            self.ledger.unsettle(r.home);
            self.ledger.settle(home);
            r.home = home;
            r.body = Some(body.clone());
            let line = Line::Body { place: place.clone(), head: r.head.clone(), stage: r.stage, body };
            self.cache.put(place, &id, r.head.len);
            self.ledger.push(line);
            self.cache.bad.remove(&key);
            self.stirred = true;
            self.note(Note::Repaired, format!("{place} {id}"));
        }
        rest
    }

    /// Writes a record again whose body was read back for that.
    fn write_again(&mut self, place: &Place, id: &MessageId) {
        let home = self.ledger.next();
        let Some(r) = self.parts.get_mut(place).and_then(|p| p.recs.get_mut(id)) else { return };
        let Some(body) = r.body.clone() else { return };
        self.ledger.unsettle(r.home);
        self.ledger.settle(home);
        r.home = home;
        self.cache.put(place, id, r.head.len);
        self.ledger.push(Line::Body { place: place.clone(), head: r.head.clone(), stage: r.stage, body });
    }

    /// Where bodies of the latest save stand; then memory is given back.
    pub(super) fn cool(&mut self, now: Time) {
        for s in std::mem::take(&mut self.ledger.stood) {
            let rec = self.parts.get_mut(&s.place).and_then(|p| p.recs.get_mut(&s.id));
            if let Some(r) = rec.filter(|r| s.first <= r.home && r.home <= s.last) {
                r.at = s.at;
            }
        }
        // Bodies of small files stay until they are folded.
        let from = self.ledger.fold_from().min(self.ledger.done + 1);
        while let Some((_, _, at, _)) = self.cache.lent.front() {
            if now.since(*at) < LENT && self.cache.lent_weight <= LENT_BYTES {
                break;
            }
            let Some((place, id, _, weight)) = self.cache.lent.pop_front() else { break };
            self.cache.lent_weight -= weight;
            let rec = self.parts.get_mut(&place).and_then(|p| p.recs.get_mut(&id));
            if let Some(r) = rec.filter(|r| r.home < from) {
                r.body = None;
            }
        }
        while self.cache.weight > self.startup.cache_max {
            let Some((place, id, weight)) = self.cache.line.front().cloned() else { return };
            let rec = self.parts.get_mut(&place).and_then(|p| p.recs.get_mut(&id));
            match rec {
                Some(r) if r.body.is_some() && r.home >= from => return,
                Some(r) => r.body = None,
                None => {}
            }
            self.cache.line.pop_front();
            self.cache.weight -= weight;
        }
    }
}
