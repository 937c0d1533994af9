use crate::prelude::*;

/// What a piece of news changed.
#[derive(Debug, Default)]
pub struct Change {
    pub sources: Vec<Source>,
    /// Every grant standing for this daemon, when the news carried grants.
    pub grants: Option<Vec<Grant>>,
}

/// A daemon's link to the control plane, or a proxy's to its agent.
///
/// Invariants: no source's version ever falls; news of a lower term than
/// the highest heard is dropped; the charter in `rules` is used only while
/// `fresh`.
pub struct Link {
    pub me: Member,
    seeds: Vec<Daemon>,
    at: usize,
    hint: Option<Daemon>,
    pace: Span,
    due: Time,
    told: Time,
    heard: (Term, Time),
    term: Term,
    vector: Vector,
    fresh_until: Time,
    was_fresh: bool,
    pub held: Held<Duty>,
    pub since: BTreeMap<Duty, Time>,
    pub rules: Rules,
    pub charter: String,
    pub members: BTreeMap<Daemon, Member>,
    pub places: BTreeMap<Place, Placing>,
    pub workers: Vec<Worker>,
    pub empty: BTreeSet<Zone>,
    pub drained: BTreeSet<WorkerId>,
    pub late: Vec<Daemon>,
}

impl Link {
    pub fn new(me: Member, seeds: Vec<Daemon>, pace: Span, terms: Terms) -> Link {
        let at = hash_of(me.id.as_str().as_bytes()) as usize % seeds.len().max(1);
        Link {
            me,
            seeds,
            at,
            hint: None,
            pace,
            due: Time(0),
            told: Time(0),
            heard: (Term(0), Time(0)),
            term: Term(0),
            vector: Vector::default(),
            fresh_until: Time(0),
            was_fresh: false,
            held: Held::new(terms),
            since: BTreeMap::new(),
            rules: Rules::default(),
            charter: String::new(),
            members: BTreeMap::new(),
            places: BTreeMap::new(),
            workers: Vec::new(),
            empty: BTreeSet::new(),
            drained: BTreeSet::new(),
            late: Vec::new(),
        }
    }

    /// Whether the charter held is known to be the newest.
    pub fn fresh(&self, now: Time) -> bool {
        now < self.fresh_until && self.rules.version > Version::ZERO
    }
    pub fn vector(&self) -> &Vector {
        &self.vector
    }
    pub fn term(&self) -> Term {
        self.term
    }
    pub fn zone_of(&self, d: &Daemon) -> Option<&Zone> {
        self.members.get(d).map(|m| &m.zone)
    }
    pub fn spots(&self) -> Vec<Spot> {
        self.members.values().map(|m| Spot { id: m.id.clone(), zone: m.zone.clone() }).collect()
    }
    /// The epoch under which a duty may be acted on now.
    pub fn may(&self, duty: &Duty, now: Time) -> Option<Epoch> {
        self.held.may(duty, now)
    }

    /// Whether the next tick will pull.
    pub fn due(&self, now: Time) -> bool {
        now >= self.due
    }

    fn target(&self) -> Option<Daemon> {
        self.hint.clone().or_else(|| self.seeds.get(self.at % self.seeds.len().max(1)).cloned())
    }

    /// Pulls again at once.
    pub fn hurry(&mut self, now: Time) {
        self.due = now;
    }

    /// Pulls when it is time; also says when the charter went stale or came back.
    pub fn tick(&mut self, now: Time, report: impl FnOnce() -> Option<Report>) -> Vec<Effect> {
        let mut out = Vec::new();
        for duty in self.held.lapse(now) {
            self.since.remove(&duty);
            out.push(Effect::Note(Note::Lapsed, duty.to_string()));
        }
        let fresh = self.fresh(now);
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            let note = if fresh { Note::CharterBack } else { Note::CharterStale };
            out.push(Effect::Note(note, format!("version {}", self.rules.version)));
        }
        if now < self.due {
            return out;
        }
        // Nobody answered for a while: try the next seed.
        if now.since(self.told) > self.pace.times(3) {
            self.hint = None;
            self.at = (self.at + 1) % self.seeds.len().max(1);
        }
        self.due = now + self.pace;
        let Some(to) = self.target() else { return out };
        out.push(Effect::Say(
            to,
            Msg::Need { asked: now, heard: self.heard, have: self.vector.clone(), me: self.me.clone(), report: report() },
        ));
        out
    }

    pub fn not_primary(&mut self, from: &Daemon, hint: Option<Daemon>, now: Time) {
        if self.hint.as_ref() == Some(from) || self.hint.is_none() {
            self.hint = hint.filter(|h| self.seeds.contains(h) && h != from);
            if self.hint.is_none() {
                self.at = (self.at + 1) % self.seeds.len().max(1);
            }
            // At most four times a pace, so a leaderless group is not flooded.
            self.due = self.due.min(now + Span(self.pace.0 / 4));
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn news(
        &mut self,
        from: &Daemon,
        asked: Time,
        term: Term,
        fresh: Option<Span>,
        items: Vec<(Version, Item)>,
        grants: Vec<Grant>,
        late: Vec<Daemon>,
        now: Time,
        out: &mut Vec<Effect>,
    ) -> Change {
        let mut change = Change::default();
        if term < self.term || asked > now {
            return change;
        }
        self.term = term;
        self.told = now;
        self.heard = (term, if self.heard.0 == term { self.heard.1.max(asked) } else { asked });
        if self.seeds.contains(from) {
            self.hint = Some(from.clone());
        }
        for (v, item) in items {
            let source = item.source();
            if v <= self.vector.get(source) {
                continue;
            }
            if !self.install(v, item, out) {
                continue;
            }
            self.vector.raise(source, v);
            change.sources.push(source);
        }
        if let Some(span) = fresh {
            self.fresh_until = self.fresh_until.max(asked + span);
        }
        for g in &grants {
            if self.held.may(&g.duty, now).is_none() {
                self.since.remove(&g.duty);
            }
            self.held.take(g.duty.clone(), g.epoch, asked);
            self.since.entry(g.duty.clone()).or_insert(now);
        }
        self.late = late;
        change.grants = Some(grants);
        change
    }

    fn install(&mut self, v: Version, item: Item, out: &mut Vec<Effect>) -> bool {
        match item {
            Item::Charter(json) => {
                let read = dw_charter::check::read(&json);
                let Ok(c) = read else {
                    out.push(Effect::Note(Note::CharterUnread, format!("version {v}")));
                    return false;
                };
                self.rules = compile(&c, v);
                self.charter = json;
                out.push(Effect::Note(Note::CharterHeld, format!("version {v}")));
            }
            Item::Workers(w) => self.workers = w,
            Item::Members(m) => {
                for x in &m {
                    if self.members.get(&x.id).is_none_or(|y| y.addr != x.addr) {
                        out.push(Effect::Learn(x.id.clone(), x.addr.clone()));
                        out.push(Effect::Zone(x.id.clone(), x.zone.clone()));
                    }
                }
                self.members = m.into_iter().map(|m| (m.id.clone(), m)).collect();
            }
            Item::Places(p) => self.places = p.into_iter().collect(),
            Item::Orders { empty, drained } => {
                self.empty = empty;
                self.drained = drained;
            }
        }
        true
    }

    /// Serves news onward, as an agent does for its proxy: what it lacks, and
    /// how long the agent itself may still trust what it holds.
    pub fn serve(&self, asked: Time, have: &Vector, now: Time) -> Msg {
        let mut items = Vec::new();
        for s in Source::ALL {
            let v = self.vector.get(s);
            if v <= have.get(s) {
                continue;
            }
            items.push((
                v,
                match s {
                    Source::Charter => Item::Charter(self.charter.clone()),
                    Source::Workers => Item::Workers(self.workers.clone()),
                    Source::Members => Item::Members(self.members.values().cloned().collect()),
                    Source::Places => Item::Places(self.places.iter().map(|(p, x)| (p.clone(), x.clone())).collect()),
                    Source::Orders => Item::Orders { empty: self.empty.clone(), drained: self.drained.clone() },
                },
            ));
        }
        let left = self.fresh_until.left(now);
        let fresh = (left > Span::ZERO).then_some(left);
        Msg::News { asked, term: self.term, fresh, items, grants: Vec::new(), late: Vec::new() }
    }
}
