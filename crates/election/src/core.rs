//! The replica itself.
use crate::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Waiting to hear both siblings found the same fleet.
    Founding,
    /// Holds no vote: its folder's mark is not the committed one.
    Amnesiac,
    Standby,
    Asking,
    Candidate,
    Primary,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

struct Track {
    next: u64,
    have: u64,
    mark: Mark,
    /// Latest beat, by our clock when sent, that it answered.
    heard: Time,
}

/// Invariants: `applied <= commit <= last`; `saved <= issued`; a word is
/// sent only when everything issued before it is saved.
pub struct Election<C> {
    me: Daemon,
    siblings: Vec<Daemon>,
    pace: Pace,
    rng: fastrand::Rng,
    store: Stored<C>,
    role: Role,
    hint: Option<Daemon>,
    commit: u64,
    applied: u64,
    heard: Time,
    due: Time,
    beat: Time,
    won: Time,
    votes: BTreeSet<Daemon>,
    tracks: BTreeMap<Daemon, Track>,
    founders: BTreeMap<Daemon, Mark>,
    issued: u64,
    saved: u64,
    dirty: bool,
    /// Last entry known synced here, by save number.
    durable: u64,
    marks: VecDeque<(u64, u64)>,
    held: VecDeque<(u64, Daemon, Talk<C>)>,
    out: Vec<Act<C>>,
}

impl<C: Clone + PartialEq> Election<C> {
    /// `found` is the operator's explicit order to found a fleet.
    pub fn new(me: Daemon, siblings: Vec<Daemon>, stored: Stored<C>, found: bool, pace: Pace, seed: u64, now: Time) -> Self {
        let role = match (stored.founded, found) {
            (false, true) => Role::Founding,
            (false, false) => Role::Amnesiac,
            (true, _) => Role::Standby,
        };
        let durable = stored.last();
        let base = stored.base.index;
        let mut one = Election {
            me,
            siblings,
            pace,
            rng: fastrand::Rng::with_seed(seed),
            store: stored,
            role,
            hint: None,
            commit: base,
            applied: base,
            heard: now,
            due: now,
            beat: now,
            won: now,
            votes: BTreeSet::new(),
            tracks: BTreeMap::new(),
            founders: BTreeMap::new(),
            issued: 0,
            saved: 0,
            dirty: false,
            durable,
            marks: VecDeque::new(),
            held: VecDeque::new(),
            out: Vec::new(),
        };
        one.due = now + one.patience();
        one
    }

    pub fn role(&self) -> Role {
        self.role
    }
    pub fn term(&self) -> Term {
        self.store.term
    }
    pub fn commit(&self) -> u64 {
        self.commit
    }
    pub fn hint(&self) -> Option<&Daemon> {
        self.hint.as_ref()
    }
    pub fn members(&self) -> BTreeMap<Daemon, Mark> {
        self.store.members()
    }
    /// The capture this replica starts from.
    pub fn base(&self) -> &Base {
        &self.store.base
    }

    fn patience(&mut self) -> Span {
        let still = self.pace.still.0;
        Span(still + self.rng.u64(0..still))
    }
    fn majority(&self) -> usize {
        self.store.members().len() / 2 + 1
    }
    fn full(&self) -> bool {
        self.store.members().get(&self.me) == Some(&self.store.mark)
    }

    /// Whether the primary may act now: its term is open and its own lease,
    /// counted from when beats were sent, still runs.
    pub fn may_act(&self, now: Time) -> bool {
        self.role == Role::Primary
            && self.store.term_at(self.applied) == Some(self.store.term)
            && self.lease_end().is_some_and(|end| now < end)
    }
    fn lease_end(&self) -> Option<Time> {
        let members = self.store.members();
        let mut seen: Vec<Time> = self
            .tracks
            .iter()
            .filter(|(d, t)| members.get(*d) == Some(&t.mark) && t.heard > Time(0))
            .map(|(_, t)| t.heard)
            .collect();
        seen.sort_by(|a, b| b.cmp(a));
        let need = self.majority().saturating_sub(1);
        if need == 0 {
            return Some(Time(u64::MAX));
        }
        seen.get(need - 1).map(|t| *t + self.pace.lease())
    }

    /// Every change of role passes here.
    fn turn(&mut self, role: Role, now: Time) {
        if self.role == role {
            return;
        }
        if self.role == Role::Primary {
            self.out.push(Act::Lost);
        }
        self.role = role;
        match role {
            Role::Primary => {
                self.won = now;
                self.beat = now;
                self.hint = Some(self.me.clone());
                let next = self.store.last() + 1;
                self.tracks =
                    self.siblings.iter().map(|d| (d.clone(), Track { next, have: 0, mark: Mark(0), heard: Time(0) })).collect();
                self.out.push(Act::Won(self.store.term));
                self.push(Item::Open);
            }
            Role::Standby | Role::Amnesiac => {
                self.tracks.clear();
                self.due = now + self.patience();
            }
            Role::Asking | Role::Candidate => self.due = now + self.patience(),
            Role::Founding => {}
        }
    }

    fn settle(&mut self, now: Time) {
        let role = if self.full() { Role::Standby } else { Role::Amnesiac };
        self.turn(role, now);
    }

    fn push(&mut self, item: Item<C>) {
        self.store.log.push(Entry { term: self.store.term, item });
        self.dirty = true;
    }

    fn say(&mut self, to: Daemon, talk: Talk<C>) {
        self.held.push_back((u64::MAX, to, talk));
    }

    /// Ends a step: issues a save when something changed and lets go of the
    /// words that wait for nothing.
    fn end(&mut self) -> Vec<Act<C>> {
        if self.dirty {
            self.dirty = false;
            self.issued += 1;
            self.marks.push_back((self.issued, self.store.last()));
            self.out.push(Act::Save(self.issued, self.store.clone()));
        }
        for h in self.held.iter_mut().filter(|h| h.0 == u64::MAX) {
            h.0 = self.issued;
        }
        while self.held.front().is_some_and(|h| h.0 <= self.saved) {
            let Some((_, to, talk)) = self.held.pop_front() else { break };
            self.out.push(Act::Say(to, talk));
        }
        std::mem::take(&mut self.out)
    }

    /// The shell synced save `n`.
    pub fn saved(&mut self, n: u64, now: Time) -> Vec<Act<C>> {
        self.saved = self.saved.max(n);
        while self.marks.front().is_some_and(|m| m.0 <= n) {
            let Some((_, last)) = self.marks.pop_front() else { break };
            self.durable = last;
        }
        if self.role == Role::Primary {
            self.count(now);
        }
        self.end()
    }

    pub fn propose(&mut self, c: C, now: Time) -> Result<(u64, Term, Vec<Act<C>>), Refused> {
        if !self.may_act(now) {
            return Err(Refused);
        }
        self.push(Item::Do(c));
        self.spread(now);
        let at = (self.store.last(), self.store.term);
        Ok((at.0, at.1, self.end()))
    }

    /// Folds everything applied into a capture when the log has grown.
    pub fn fold(&mut self, data: impl FnOnce() -> Vec<u8>) -> Vec<Act<C>> {
        let count = (self.applied - self.store.base.index) as usize;
        if count < self.pace.keep {
            return Vec::new();
        }
        let mut members = self.store.base.members.clone();
        for e in self.store.log.iter().take(count) {
            match &e.item {
                Item::Admit(d, m) => {
                    members.insert(d.clone(), *m);
                }
                Item::Expel(d) => {
                    members.remove(d);
                }
                Item::Open | Item::Do(_) => {}
            }
        }
        let term = self.store.term_at(self.applied).unwrap_or_default();
        self.store.log.drain(..count);
        self.store.base = Base { index: self.applied, term, members, data: crate::log::bytes_lite::Blob(data()) };
        self.dirty = true;
        self.end()
    }

    /// A clock event; call it at least twice in each beat.
    pub fn tick(&mut self, now: Time) -> Vec<Act<C>> {
        match self.role {
            Role::Founding if now >= self.beat => {
                self.beat = now + self.pace.beat;
                for d in self.siblings.clone() {
                    self.say(d, Talk::Founding { mark: self.store.mark });
                }
            }
            Role::Standby | Role::Asking | Role::Candidate if now >= self.due => self.ask(true, now),
            Role::Primary => {
                let lost = self.lease_end().is_none_or(|end| now >= end);
                if lost && now.since(self.won) > self.pace.still.times(2) {
                    self.hint = None;
                    self.settle(now);
                } else if now >= self.beat {
                    self.spread(now);
                }
            }
            _ => {}
        }
        self.end()
    }

    fn ask(&mut self, pre: bool, now: Time) {
        if !self.full() {
            return self.turn(Role::Amnesiac, now);
        }
        self.hint = None;
        if pre {
            self.turn(Role::Asking, now);
        } else {
            self.turn(Role::Candidate, now);
            self.store.term = Term(self.store.term.0 + 1);
            self.store.vote = Some(self.me.clone());
            self.dirty = true;
        }
        self.due = now + self.patience();
        self.votes = BTreeSet::from([self.me.clone()]);
        let term = if pre { Term(self.store.term.0 + 1) } else { self.store.term };
        let last = self.store.last();
        let last_term = self.store.term_at(last).unwrap_or_default();
        for d in self.store.members().into_keys().filter(|d| *d != self.me).collect::<Vec<_>>() {
            self.say(d, Talk::Ask { pre, term, last, last_term });
        }
        self.tally(now);
    }

    fn tally(&mut self, now: Time) {
        if self.votes.len() < self.majority() {
            return;
        }
        match self.role {
            Role::Asking => self.ask(false, now),
            Role::Candidate => {
                self.turn(Role::Primary, now);
                self.spread(now);
            }
            _ => {}
        }
    }

    /// Sends each sibling what it lacks; an empty append is a beat.
    fn spread(&mut self, now: Time) {
        self.beat = now + self.pace.beat;
        for d in self.siblings.clone() {
            let Some(t) = self.tracks.get(&d) else { continue };
            let mut prev = t.next - 1;
            let mut base = None;
            // Who has shown nothing yet may lack even the founding members.
            if prev < self.store.base.index || t.have == 0 {
                base = Some(self.store.base.clone());
                prev = prev.max(self.store.base.index);
            }
            let entries: Vec<_> = (prev + 1..=self.store.last()).filter_map(|n| self.store.entry(n).cloned()).take(256).collect();
            let prev_term = self.store.term_at(prev).unwrap_or_default();
            let talk = Talk::Append { term: self.store.term, prev, prev_term, base, entries, commit: self.commit, sent: now };
            self.say(d, talk);
        }
    }

    fn follow(&mut self, term: Term, now: Time) {
        if term > self.store.term {
            self.store.term = term;
            self.store.vote = None;
            self.dirty = true;
        }
        self.settle(now);
    }

    pub fn hear(&mut self, from: Daemon, talk: Talk<C>, now: Time) -> Vec<Act<C>> {
        if !self.siblings.contains(&from) {
            return Vec::new();
        }
        match talk {
            Talk::Founding { mark } => self.on_founding(from, mark, now),
            Talk::Ask { pre, term, last, last_term } => self.on_ask(from, pre, term, last, last_term, now),
            Talk::Vote { pre, term, yes, mark } => self.on_vote(from, pre, term, yes, mark, now),
            Talk::Append { term, prev, prev_term, base, entries, commit, sent } => {
                self.on_append(from, term, prev, prev_term, base, entries, commit, sent, now)
            }
            Talk::Appended { term, ok, have, mark, sent } => self.on_appended(from, term, ok, have, mark, sent, now),
        }
        self.end()
    }

    fn on_founding(&mut self, from: Daemon, mark: Mark, now: Time) {
        if self.role != Role::Founding {
            // A sibling that missed our word while we founded is told again.
            if self.store.members().get(&from) == Some(&mark) && self.store.founded {
                self.say(from, Talk::Founding { mark: self.store.mark });
            }
            return;
        }
        self.founders.insert(from, mark);
        if self.founders.len() < self.siblings.len() {
            return;
        }
        let mut members = std::mem::take(&mut self.founders);
        members.insert(self.me.clone(), self.store.mark);
        self.store.base.members = members;
        self.store.founded = true;
        self.dirty = true;
        self.turn(Role::Standby, now);
    }

    fn on_ask(&mut self, from: Daemon, pre: bool, term: Term, last: u64, last_term: Term, now: Time) {
        if matches!(self.role, Role::Founding | Role::Amnesiac) {
            return;
        }
        // A replica that hears a primary votes for nobody else.
        let calm =
            self.role == Role::Primary && self.lease_end().is_some_and(|e| now < e) || now.since(self.heard) < self.pace.still;
        if calm {
            return;
        }
        if !pre && term > self.store.term {
            self.follow(term, now);
        }
        let my_last = self.store.last();
        let my_term = self.store.term_at(my_last).unwrap_or_default();
        let fresh = (last_term, last) >= (my_term, my_last);
        let free = match pre {
            true => term > self.store.term,
            false => term == self.store.term && self.store.vote.as_ref().is_none_or(|v| *v == from),
        };
        let yes = fresh && free && self.full();
        if yes && !pre {
            self.store.vote = Some(from.clone());
            self.dirty = true;
            self.due = now + self.patience();
        }
        let term = if pre { term } else { self.store.term };
        self.say(from, Talk::Vote { pre, term, yes, mark: self.store.mark });
    }

    fn on_vote(&mut self, from: Daemon, pre: bool, term: Term, yes: bool, mark: Mark, now: Time) {
        if !pre && term > self.store.term {
            return self.follow(term, now);
        }
        let wanted = match (pre, self.role) {
            (true, Role::Asking) => Term(self.store.term.0 + 1),
            (false, Role::Candidate) => self.store.term,
            _ => return,
        };
        if !yes || term != wanted || self.store.members().get(&from) != Some(&mark) {
            return;
        }
        self.votes.insert(from);
        self.tally(now);
    }

    #[allow(clippy::too_many_arguments)]
    fn on_append(
        &mut self,
        from: Daemon,
        term: Term,
        prev: u64,
        prev_term: Term,
        base: Option<Base>,
        entries: Vec<Entry<C>>,
        commit: u64,
        sent: Time,
        now: Time,
    ) {
        let mark = self.store.mark;
        if term < self.store.term {
            let term = self.store.term;
            return self.say(from, Talk::Appended { term, ok: false, have: 0, mark, sent });
        }
        if term > self.store.term || !matches!(self.role, Role::Standby | Role::Amnesiac) {
            self.follow(term, now);
        }
        self.heard = now;
        self.due = now + self.patience();
        self.hint = Some(from.clone());
        let new = !self.store.founded;
        if let Some(base) = base.filter(|b| new || b.index > self.applied) {
            self.store.log.clear();
            self.applied = base.index;
            self.commit = self.commit.max(base.index);
            self.store.base = base.clone();
            self.store.founded = true;
            self.dirty = true;
            self.out.push(Act::Install(base));
        }
        let behind = prev < self.store.base.index;
        if !behind && self.store.term_at(prev) != Some(prev_term) {
            let have = self.commit.min(prev.saturating_sub(1));
            return self.say(from, Talk::Appended { term, ok: false, have, mark, sent });
        }
        let mut at = prev;
        for e in entries {
            at += 1;
            if at <= self.store.base.index {
                continue;
            }
            if self.store.term_at(at) == Some(e.term) {
                continue;
            }
            let cut = (at - self.store.base.index - 1) as usize;
            self.store.log.truncate(cut);
            self.store.log.push(e);
            self.dirty = true;
        }
        self.raise(commit.min(at));
        self.settle(now);
        self.say(from, Talk::Appended { term, ok: true, have: at, mark, sent });
    }

    #[allow(clippy::too_many_arguments)]
    fn on_appended(&mut self, from: Daemon, term: Term, ok: bool, have: u64, mark: Mark, sent: Time, now: Time) {
        if term > self.store.term {
            return self.follow(term, now);
        }
        if self.role != Role::Primary || term < self.store.term {
            return;
        }
        let last = self.store.last();
        let Some(t) = self.tracks.get_mut(&from) else { return };
        if t.mark != mark {
            // Another life of that disk: what the old one held is gone.
            t.have = 0;
            t.mark = mark;
        }
        t.heard = t.heard.max(sent);
        if ok {
            t.have = t.have.max(have);
            t.next = t.have.min(last) + 1;
        } else {
            t.next = have.min(last) + 1;
            t.have = t.have.min(have);
        }
        let more = t.next <= last;
        self.count(now);
        self.readmit(&from, mark, now);
        if more && !ok {
            self.spread(now);
        }
    }

    /// A caught-up replica with a new mark is expelled, then admitted: two
    /// changes, each of one member, each in its turn.
    fn readmit(&mut self, from: &Daemon, mark: Mark, now: Time) {
        let members = self.store.members();
        if members.get(from) == Some(&mark) || !self.may_act(now) {
            return;
        }
        let pending = (self.commit + 1..=self.store.last())
            .filter_map(|n| self.store.entry(n))
            .any(|e| matches!(e.item, Item::Admit(..) | Item::Expel(_)));
        let behind = self.tracks.get(from).is_none_or(|t| t.have < self.commit);
        if pending || behind {
            return;
        }
        let item = match members.contains_key(from) {
            true => Item::Expel(from.clone()),
            false => Item::Admit(from.clone(), mark),
        };
        self.push(item);
        self.spread(now);
    }

    /// Commits what a majority of full members has synced, in this term only.
    fn count(&mut self, _now: Time) {
        let members = self.store.members();
        let mut have: Vec<u64> =
            self.tracks.iter().filter(|(d, t)| members.get(*d) == Some(&t.mark)).map(|(_, t)| t.have).collect();
        if self.full() {
            have.push(self.durable);
        }
        have.sort_by(|a, b| b.cmp(a));
        let Some(n) = have.get(self.majority() - 1).copied() else { return };
        if n > self.commit && self.store.term_at(n) == Some(self.store.term) {
            self.raise(n);
        }
    }

    fn raise(&mut self, commit: u64) {
        self.commit = self.commit.max(commit);
        while self.applied < self.commit {
            let Some(e) = self.store.entry(self.applied + 1) else { return };
            let (term, item) = (e.term, e.item.clone());
            self.applied += 1;
            if let Item::Do(c) = item {
                self.out.push(Act::Apply(self.applied, term, c));
            }
        }
    }
}
