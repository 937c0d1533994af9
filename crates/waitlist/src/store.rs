//! The store daemon: one core over all its partitions.
use crate::prelude::*;

mod carry;
use carry::Copy;
mod copy;
mod dispatch;
mod opening;
mod status;

/// What a store is started with; checked by its shell.
#[derive(Clone, Debug)]
pub struct Startup {
    pub me: Member,
    pub seeds: Vec<Daemon>,
    pub pull: Span,
    pub terms: Terms,
    /// Bytes of bodies held at most.
    pub bytes_max: u64,
    /// Messages held at most.
    pub count_max: u64,
    /// Pace of retries.
    pub backoff: Span,
    pub backoff_max: Span,
    pub seed: u64,
}

/// What a delivery last said it takes.
pub struct RoomAt {
    pub to: Daemon,
    pub room: Room,
    pub asked: Time,
    pub at: Time,
}

/// Counts since the start, shown in status.
#[derive(Default)]
pub struct Counts {
    pub accepted: u64,
    pub refused: u64,
    pub stale: u64,
    pub offers: u64,
    pub ended: u64,
    pub fenced: u64,
    pub saves: u64,
    pub bodies_sent: u64,
}

/// Invariant: every effect that rests on a line is held in `thens` until the
/// save that carries the line is synced.
pub struct Store {
    pub startup: Startup,
    pub link: Link,
    pub watch: Watch,
    pub mark: Mark,
    pub ledger: Ledger,
    pub parts: BTreeMap<Place, Part>,
    thens: VecDeque<(u64, Then)>,
    rooms: BTreeMap<Duty, RoomAt>,
    /// Whose turn it is among the partitions of one duty.
    turns: BTreeMap<Duty, Turns>,
    /// Attempts of a duty that ran out in a row without a word.
    mute: BTreeMap<Duty, u32>,
    /// Since when something is due for a duty that nobody with room takes.
    starved: BTreeMap<Duty, Time>,
    pub held_bytes: i64,
    checkpoint: BTreeMap<Duty, Epoch>,
    restored: bool,
    /// Epochs granted again that were closed here; new ones are needed.
    pub(crate) spent: BTreeMap<Duty, Epoch>,
    /// Given up on request, told until placement has had time to hear it.
    pub(crate) gave: BTreeMap<Duty, (Epoch, Time)>,
    leaving: Option<Time>,
    pub counts: Counts,
    swept: Time,
    paced: Time,
    dirty: BTreeSet<Place>,
    /// Something may be due to be handed out.
    stirred: bool,
    rng: fastrand::Rng,
    out: Vec<Effect>,
}

impl Store {
    /// Reads the folder's files back. `fresh` is the mark for an empty one.
    pub fn new(startup: Startup, files: Vec<(String, Bytes)>, fresh: Mark, now: Time) -> (Store, Vec<Effect>) {
        let mut out = Vec::new();
        let (ledger, lines, spare) = match Ledger::open(&files) {
            Some(x) => x,
            None => {
                // A folder that can't be trusted whole is not trusted at all.
                out.push(Effect::Note(Note::DiskCorrupt, "the folder is set aside; siblings hand the state back".into()));
                out.extend(files.iter().map(|(n, _)| Effect::Remove(n.clone())));
                Ledger::open(&[]).expect("an empty folder opens")
            }
        };
        out.extend(spare.into_iter().map(Effect::Remove));
        let mut me = startup.me.clone();
        let link = Link::new(me.clone(), startup.seeds.clone(), startup.pull, startup.terms);
        let watch = Watch::new(Spot { id: me.id.clone(), zone: me.zone.clone() }, me.life, BeatPace::default());
        let rng = fastrand::Rng::with_seed(startup.seed);
        let mut s = Store {
            startup,
            link,
            watch,
            mark: Mark(0),
            ledger,
            parts: BTreeMap::new(),
            thens: VecDeque::new(),
            rooms: BTreeMap::new(),
            turns: BTreeMap::new(),
            mute: BTreeMap::new(),
            starved: BTreeMap::new(),
            held_bytes: 0,
            checkpoint: BTreeMap::new(),
            restored: true,
            spent: BTreeMap::new(),
            gave: BTreeMap::new(),
            leaving: None,
            counts: Counts::default(),
            swept: now,
            paced: now,
            dirty: BTreeSet::new(),
            stirred: false,
            rng,
            out,
        };
        let count = lines.len();
        for (home, line) in lines {
            s.replay(home, line, now);
        }
        s.ledger.graves.clear();
        if s.mark == Mark(0) {
            s.mark = fresh;
            s.ledger.push(Line::Mark(fresh));
        }
        me.disk = s.mark;
        s.link.me = me;
        s.out.push(Effect::Note(Note::Restored, format!("{count} lines, {} partitions", s.parts.len())));
        s.ledger.flush(&mut s.out);
        let out = std::mem::take(&mut s.out);
        (s, out)
    }

    fn replay(&mut self, home: u64, line: Line, now: Time) {
        match line {
            Line::Mark(m) => self.mark = m,
            Line::Standing { place, promised, installed, n, next } => {
                let p = self.parts.entry(place).or_default();
                p.promised = p.promised.max(promised);
                p.installed = installed;
                p.n = n;
                p.next = p.next.max(next);
            }
            Line::Promise { place, epoch } => {
                let p = self.parts.entry(place).or_default();
                p.promised = p.promised.max(epoch);
            }
            Line::Adopt { place, epoch } => {
                let p = self.parts.entry(place).or_default();
                p.promised = p.promised.max(epoch);
                p.installed = epoch;
                p.n = 0;
            }
            Line::Install { place, epoch, n, next, keep } => {
                let p = self.parts.entry(place.clone()).or_default();
                self.held_bytes += p.retain(&place, &keep, now, &mut self.ledger);
                p.promised = p.promised.max(epoch);
                p.installed = epoch;
                p.n = n;
                p.next = next;
            }
            Line::Body { place, head, stage, body } => {
                let p = self.parts.entry(place).or_default();
                self.held_bytes += p.put(&head, stage, &body, home, now, &mut self.ledger);
            }
            Line::Op { place, n, op } => {
                let p = self.parts.entry(place.clone()).or_default();
                self.held_bytes += p.apply(&place, &op, home, now, &mut self.ledger);
                p.n = n;
            }
            Line::Grant { duty, epoch, on } => {
                if on {
                    self.checkpoint.insert(duty, epoch);
                } else {
                    self.checkpoint.remove(&duty);
                }
            }
        }
    }

    pub(crate) fn say(&mut self, to: &Daemon, msg: Msg) {
        self.out.push(Effect::Say(to.clone(), msg));
    }
    pub(crate) fn note(&mut self, note: Note, text: impl Into<String>) {
        self.out.push(Effect::Note(note, text.into()));
    }

    /// Holds `then` until all pushed so far is synced.
    pub(crate) fn later(&mut self, then: Then) {
        let at = self.ledger.last();
        if let Some((n, back)) = self.thens.back_mut() {
            // Of two acknowledgements of one stream only the later matters.
            let same = match (&*back, &then) {
                (Then::Own { place: a, epoch: x, .. }, Then::Own { place: b, epoch: y, .. }) => a == b && x == y,
                (Then::Ack { place: a, epoch: x, to: t, .. }, Then::Ack { place: b, epoch: y, to: u, .. }) => {
                    a == b && x == y && t == u
                }
                _ => false,
            };
            if same && *n == at {
                *back = then;
                return;
            }
        }
        self.thens.push_back((at, then));
    }

    fn settle(&mut self, now: Time) {
        while self.thens.front().is_some_and(|t| t.0 <= self.ledger.done) {
            let Some((_, then)) = self.thens.pop_front() else { return };
            match then {
                Then::Sealed { to, place, epoch } => {
                    let Some(p) = self.parts.get(&place) else { continue };
                    if p.promised != epoch {
                        continue;
                    }
                    let fence = Fence { mark: self.mark, installed: p.installed, n: p.n };
                    self.say(&to, Msg::Sealed { place, epoch, fence });
                }
                Then::Ack { to, place, epoch, upto } => {
                    let mark = self.mark;
                    self.say(&to, Msg::Appended { place, epoch, upto, mark });
                }
                Then::Promised { place, epoch } => self.promised(&place, epoch, now),
                Then::Own { place, epoch, upto } => self.own_durable(&place, epoch, upto, now),
            }
        }
    }

    fn on_clock(&mut self, now: Time) {
        self.stirred = true;
        // A report names every grant; it is made only when it will be sent.
        let report = self.link.due(now).then(|| self.report(now));
        let mut acts = self.link.tick(now, || report);
        self.out.append(&mut acts);
        for (to, beat) in self.watch.tick(now) {
            self.say(&to, Msg::Beat(beat));
        }
        if now.since(self.paced) >= Span::millis(100) {
            self.paced = now;
            self.drive(now);
            let doubts = self.watch.doubts(now);
            if !doubts.is_empty() && now.0 / 1_000_000 != (now.0 - 100_000) / 1_000_000 {
                for d in self.startup.seeds.clone() {
                    self.say(&d, Msg::Doubts { who: doubts.clone() });
                }
            }
        }
        if now.since(self.swept) >= Span::secs(1) {
            self.swept = now;
            self.sweep(now);
        }
        if let Some(since) = self.leaving {
            self.shed_all(now);
            let idle = self.parts.values().all(|p| p.own.is_none());
            if idle || now.since(since) > Span::secs(8) {
                self.out.push(Effect::Gone);
            }
        }
    }

    fn hear(&mut self, from: Daemon, msg: Msg, now: Time) {
        match msg {
            Msg::News { asked, term, fresh, items, grants, late } => {
                let change = self.link.news(&from, asked, term, fresh, items, grants, late, now, &mut self.out);
                if change.sources.contains(&Source::Members) {
                    self.watch.learn(self.link.spots(), now);
                }
                if let Some(grants) = change.grants {
                    self.on_grants(grants, now);
                }
            }
            Msg::NotPrimary { hint } => self.link.not_primary(&from, hint, now),
            Msg::Beat(beat) => self.watch.hear(from, beat, now),
            Msg::Carry { ask, proxy, via, again, place, version: _, head, body, stamp, refuse } => {
                let copy = Copy { ask, proxy, via, again, place, head, body, stamp, refuse };
                self.on_carry(from, copy, now)
            }
            // A word that passes through here because its ends are cut apart.
            Msg::Carried { ask, proxy, via, word, clock } if proxy != self.startup.me.id => {
                self.say(&proxy.clone(), Msg::Carried { ask, proxy, via, word, clock })
            }
            Msg::Peeked { ask, proxy, via, found } if proxy != self.startup.me.id => {
                self.say(&proxy.clone(), Msg::Peeked { ask, proxy, via, found })
            }
            Msg::Peek { ask, proxy, via, place, id, body } => self.on_peek(from, ask, proxy, via, place, id, body, now),
            Msg::Seal { place, epoch } => self.on_seal(from, place, epoch, now),
            Msg::Sealed { place, epoch, fence } => self.on_sealed(from, place, epoch, fence, now),
            Msg::Refused { place, promised } => self.on_refused(place, promised, now),
            Msg::Lag { place, epoch, was, mark } => self.on_lag(from, place, epoch, was, mark, now),
            Msg::Fetch { place, epoch } => self.on_fetch(from, place, epoch),
            Msg::Fetched { place, epoch, digest } => self.on_fetched(from, place, epoch, digest, now),
            Msg::Want { place, epoch, ids } => self.on_want(from, place, epoch, ids),
            Msg::Bodies { place, epoch, all } => self.on_bodies(from, place, epoch, all, now),
            Msg::Append { place, epoch, first, ops } => self.on_append(from, place, epoch, first, ops, now),
            Msg::Appended { place, epoch, upto, mark } => self.on_appended(from, place, epoch, upto, mark, now),
            Msg::Gap { place, epoch, installed, n } => self.on_gap(from, place, epoch, installed, n, now),
            Msg::Room { asked, duties, places, holding } => self.on_room(from, asked, duties, places, holding, now),
            Msg::Settled { all } => self.on_settled(from, all, now),
            _ => {}
        }
    }

    /// Ends a step: what changed is sent to the mates and saved together.
    fn end(&mut self, now: Time) -> Vec<Effect> {
        self.fill(now);
        for place in std::mem::take(&mut self.dirty) {
            self.spread(&place);
        }
        if self.ledger.wants_fold() {
            let lines = self.fold_lines();
            self.ledger.fold(lines, &mut self.out);
            self.ledger.trim(&mut self.out);
        } else {
            self.ledger.flush(&mut self.out);
        }
        std::mem::take(&mut self.out)
    }

    /// Everything the small files hold that still matters.
    fn fold_lines(&self) -> Vec<Line> {
        let from = self.ledger.fold_from();
        let mut lines = vec![Line::Mark(self.mark)];
        for (place, id) in self.ledger.graves.iter().filter(|g| g.0 < from).map(|g| (&g.1, &g.2)) {
            lines.push(Line::Op { place: place.clone(), n: 0, op: Op::Drop(id.clone()) });
        }
        for (place, p) in &self.parts {
            for r in p.recs.values() {
                if r.home >= from {
                    let body = r.body.clone();
                    lines.push(Line::Body { place: place.clone(), head: r.head.clone(), stage: r.stage, body });
                } else if r.touched >= from {
                    let op = Op::Stage(r.head.id.clone(), r.stage);
                    lines.push(Line::Op { place: place.clone(), n: 0, op });
                }
            }
            lines.push(Line::Standing {
                place: place.clone(),
                promised: p.promised,
                installed: p.installed,
                n: p.n,
                next: p.next,
            });
        }
        for (duty, epoch) in &self.checkpoint {
            lines.push(Line::Grant { duty: duty.clone(), epoch: *epoch, on: true });
        }
        lines
    }
}

impl Core for Store {
    fn step(&mut self, event: Event, now: Time) -> Vec<Effect> {
        match event {
            Event::Clock => self.on_clock(now),
            Event::Hear { from, msg } => self.hear(from, msg, now),
            Event::Saved(n) => {
                self.counts.saves += 1;
                self.ledger.saved(n);
                self.settle(now);
            }
            Event::Ask(id, Ask::Status) => {
                let v = self.status(now);
                self.out.push(Effect::Tell(id, v));
            }
            Event::Ask(id, _) => self.out.push(Effect::Tell(id, Verdict::json(404, "{}".into()))),
            Event::Leave => {
                self.leaving.get_or_insert(now);
                self.link.hurry(now);
            }
            Event::Back(..) => {}
        }
        // What waited only for lines already synced.
        self.settle(now);
        self.end(now)
    }
}
