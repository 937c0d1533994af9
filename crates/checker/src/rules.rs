use crate::prelude::*;

/// What the rules allow.
#[derive(Clone, Debug)]
pub struct Limits {
    pub drain: Span,
    pub zone: Span,
    /// Sends to one endpoint in any 5 s.
    pub window: usize,
    pub call_back: Span,
    /// Until service must be back after a hard fault or its mending.
    pub back: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            drain: Span::millis(3300),
            zone: Span::millis(5300),
            window: 195,
            call_back: Span::secs(5),
            back: Span::secs(12),
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub broken: Vec<String>,
    pub sent: usize,
    pub accepted: usize,
    pub not_taken: usize,
    pub unknown: usize,
    pub receipts: usize,
    pub reruns: usize,
    pub call_backs: usize,
    pub slowest_call_back: Span,
    pub longest_gap: Span,
    /// The longest any one ordered key, and so its partition, went without a
    /// receipt.
    pub outage: Span,
    pub fair: Fairness,
    /// For each waitlist with work, its call-backs, and taking messages in:
    /// the longest time without any, over the whole run.
    pub idle: Longest,
    /// The same, from the last fault or mending on.
    pub idle_at_end: Longest,
}

/// Invariant: it is told only what happened outside the system; nothing in
/// it looks into a daemon.
pub struct Checker {
    limits: Limits,
    all: BTreeMap<String, Message>,
    /// For each key of an ordered list, the highest turn received so far.
    turns: BTreeMap<(String, String), (u64, String)>,
    sends: BTreeMap<String, Vec<Time>>,
    barred: BTreeMap<String, Time>,
    zones: BTreeMap<String, Time>,
    fresh: Vec<Fresh>,
    stated: Vec<(Time, BTreeMap<String, u32>)>,
    /// Endpoints that an allowance holds for.
    endpoints: BTreeSet<String>,
    /// Hard faults: from when to when something was broken.
    faults: Vec<(Time, Time)>,
    /// Call-back desks that were down.
    shut: Vec<(Time, Option<Time>)>,
    last_act: Time,
    last_receipt: Option<Time>,
    gap: Span,
    gap_from: Time,
    key_last: BTreeMap<(String, String), Time>,
    outage: Span,
    outage_at: (String, Time),
    broken: Vec<String>,
}

const SHOWN: usize = 30;

impl Checker {
    pub fn new(limits: Limits) -> Checker {
        Checker {
            limits,
            all: BTreeMap::new(),
            turns: BTreeMap::new(),
            sends: BTreeMap::new(),
            barred: BTreeMap::new(),
            zones: BTreeMap::new(),
            fresh: Vec::new(),
            stated: Vec::new(),
            endpoints: BTreeSet::new(),
            faults: Vec::new(),
            shut: Vec::new(),
            last_act: Time(0),
            last_receipt: None,
            gap: Span::ZERO,
            gap_from: Time(0),
            key_last: BTreeMap::new(),
            outage: Span::ZERO,
            outage_at: Default::default(),
            broken: Vec::new(),
        }
    }
    fn bad(&mut self, text: String) {
        if self.broken.len() < SHOWN {
            self.broken.push(text);
        }
    }
    pub fn broken(&self) -> &[String] {
        &self.broken
    }
    pub fn message(&self, id: &str) -> Option<&Message> {
        self.all.get(id)
    }
    pub fn ids(&self) -> Vec<String> {
        self.all.keys().cloned().collect()
    }

    #[allow(clippy::too_many_arguments)]
    pub fn sent(&mut self, id: &str, list: &str, key: &str, turn: u64, sum: u32, desk: bool, poison: bool) {
        self.all.entry(id.to_string()).or_insert_with(|| Message {
            list: list.to_string(),
            key: key.to_string(),
            turn,
            sum,
            desk,
            poison,
            sent: None,
            words: Vec::new(),
            receipts: Vec::new(),
            backs: Vec::new(),
            read: None,
            last_state: String::new(),
        });
    }

    /// The caller begins to send it.
    pub fn asked(&mut self, id: &str, now: Time) {
        if let Some(m) = self.all.get_mut(id) {
            m.sent.get_or_insert(now);
        }
    }

    pub fn told(&mut self, id: &str, word: Word, now: Time) {
        let Some(m) = self.all.get_mut(id) else { return };
        let earlier: Vec<Word> = m.words.iter().map(|w| w.1).collect();
        m.words.push((now, word));
        let received = !m.receipts.is_empty();
        match word {
            Word::NotTaken if received => self.bad(format!("{id}: told not taken after it was received")),
            Word::NotTaken if earlier.contains(&Word::Accepted) => {
                self.bad(format!("{id}: told not taken after it was accepted"))
            }
            Word::Accepted if earlier.contains(&Word::NotTaken) => {
                self.bad(format!("{id}: told accepted after it was not taken"))
            }
            _ => {}
        }
    }

    /// A sender read a message's state. `None`: no such message.
    pub fn read(&mut self, id: &str, state: Option<&str>, now: Time) {
        let Some(m) = self.all.get_mut(id) else { return };
        let accepted = m.words.iter().any(|w| w.1 == Word::Accepted);
        let Some(state) = state else {
            // It may be forgotten once it ended long enough ago.
            let won = m.receipts.iter().filter_map(|r| r.done).filter(|d| d.1).map(|d| d.0).min();
            if won.is_some_and(|t| now.since(t) > Span::secs(120)) {
                m.last_state = "past its reading time".into();
                return;
            }
            if accepted {
                self.bad(format!("{id}: accepted, and then not known"));
            }
            return;
        };
        m.last_state = state.to_string();
        if state == "succeeded" {
            let ran = m.receipts.iter().any(|r| r.done.is_some_and(|d| d.1));
            m.read.get_or_insert(now);
            if !ran {
                self.bad(format!("{id}: read as succeeded, and no target had said so"));
            }
        }
    }

    pub fn read_body(&mut self, id: &str, sum: u32) {
        if self.all.get(id).is_some_and(|m| m.sum != sum) {
            self.bad(format!("{id}: read back with other bytes"));
        }
    }

    /// A worker or endpoint received a message to run.
    pub fn received(&mut self, target: &str, zone: &str, id: &str, sum: u32, now: Time) -> usize {
        self.sends.entry(target.to_string()).or_default().push(now);
        if let Some(last) = self.last_receipt {
            if now.since(last) > self.gap {
                self.gap = now.since(last);
                self.gap_from = last;
            }
        }
        self.last_receipt = Some(now);
        if self.barred.get(target).is_some_and(|t| now.since(*t) > self.limits.drain) {
            self.bad(format!("{target}: received {id} although draining or gone for {:?}", now.since(self.barred[target])));
        }
        if self.zones.get(zone).is_some_and(|t| now.since(*t) > self.limits.zone) {
            self.bad(format!("{target}: received {id} although zone {zone} is emptied"));
        }
        let Some(m) = self.all.get_mut(id) else {
            self.bad(format!("{target}: received {id}, which no caller sent"));
            return 0;
        };
        let mut bad = Vec::new();
        if m.sum != sum {
            bad.push(format!("{target}: received {id} altered"));
        }
        if m.words.iter().any(|w| w.1 == Word::NotTaken) {
            bad.push(format!("{target}: received {id}, told not taken"));
        }
        if let Some(read) = m.read {
            bad.push(format!("{target}: received {id} again {:?} after its sender read success", now.since(read)));
        }
        m.receipts.push(Receipt { target: target.to_string(), at: now, done: None });
        let n = m.receipts.len() - 1;
        if !m.key.is_empty() {
            let at = (m.list.clone(), m.key.clone());
            if let Some(last) = self.key_last.insert(at.clone(), now) {
                if now.since(last) > self.outage {
                    self.outage = now.since(last);
                    self.outage_at = (format!("{}/{}", at.0, at.1), last);
                }
            }
            let turn = (m.turn, id.to_string());
            let key = (m.list.clone(), m.key.clone());
            let top = self.turns.entry(key).or_insert(turn.clone());
            if turn.0 < top.0 {
                bad.push(format!("{target}: received {id} after {}, which came later for its key", top.1));
            } else {
                *top = turn;
            }
        }
        for b in bad {
            self.bad(b);
        }
        n
    }

    /// The target ended receipt `n` of a message.
    pub fn ended(&mut self, id: &str, n: usize, good: bool, now: Time) {
        if let Some(r) = self.all.get_mut(id).and_then(|m| m.receipts.get_mut(n)) {
            r.done = Some((now, good));
        }
    }

    pub fn called_back(&mut self, desk: &str, id: &str, now: Time) {
        self.sends.entry(desk.to_string()).or_default().push(now);
        let Some(m) = self.all.get_mut(id) else {
            self.bad(format!("{desk}: called back for {id}, which no caller sent"));
            return;
        };
        m.backs.push(now);
        if !m.receipts.iter().any(|r| r.done.is_some_and(|d| d.1)) {
            self.bad(format!("{desk}: called back for {id}, which has not succeeded"));
        }
    }

    /// A worker drains or is gone; it must get nothing new soon after.
    pub fn bar(&mut self, target: &str, now: Time) {
        for f in self.fresh.iter_mut().filter(|f| f.target == target) {
            f.until.get_or_insert(now);
        }
        self.barred.insert(target.to_string(), now);
    }
    pub fn unbar(&mut self, target: &str) {
        self.barred.remove(target);
    }
    pub fn empty_zone(&mut self, zone: &str, now: Time) {
        self.zones.insert(zone.to_string(), now);
    }
    pub fn restore_zone(&mut self, zone: &str) {
        self.zones.remove(zone);
    }
    /// A fresh worker comes up, that warms for `warm`, with so many slots
    /// when it is warm.
    pub fn freshen(&mut self, target: &str, warm: Span, slots: u32, now: Time) {
        self.fresh.push(Fresh { target: target.to_string(), since: now, until: None, warm, slots });
    }
    /// Shares as an acknowledged charter states them.
    pub fn shares(&mut self, shares: BTreeMap<String, u32>, now: Time) {
        self.stated.push((now, shares));
    }
    /// This target has an allowance.
    pub fn endpoint(&mut self, name: &str) {
        self.endpoints.insert(name.to_string());
    }
    pub fn flag(&mut self, text: String) {
        self.bad(text);
    }
    /// Something was done to the system or mended.
    pub fn act(&mut self, now: Time) {
        self.last_act = self.last_act.max(now);
    }
    /// A hard fault, as long as it lasted.
    pub fn fault(&mut self, from: Time, to: Time) {
        self.faults.push((from, to));
    }
    /// A call-back desk is down, or misbehaves.
    pub fn shut(&mut self, now: Time) {
        self.shut.push((now, None));
    }
    /// It is well again.
    pub fn open(&mut self, now: Time) {
        self.shut.iter_mut().for_each(|s| _ = s.1.get_or_insert(now));
    }
    /// By when a call-back is due that was owed since `won`: later only for
    /// a desk that was down, and for hard faults until service is back.
    fn due(&self, won: Time, now: Time) -> Time {
        let mut due = won + self.limits.call_back;
        loop {
            let was = due;
            for (a, b) in &self.faults {
                if *a <= due && *b + self.limits.back >= won {
                    due = due.max(*b + self.limits.back);
                }
            }
            for (a, b) in &self.shut {
                let end = b.unwrap_or(now);
                if *a <= due && end >= won {
                    due = due.max(end + self.limits.call_back);
                }
            }
            if due == was {
                return due;
            }
        }
    }

    /// The end of a run in which everything accepted had time to end.
    pub fn finish(&mut self, now: Time) -> Outcome {
        let mut out = Outcome { longest_gap: self.gap, outage: self.outage, ..Outcome::default() };
        let mut bad = Vec::new();
        bad.extend(crate::warm::watch(&self.all, &self.fresh));
        out.fair = crate::fair::watch(&self.all, &self.stated, |a, b| {
            // Shares stated anew are in force after 3 s.
            let calm = |t: Time, more: Span| t > b || t + more < a;
            self.stated.iter().all(|s| calm(s.0, Span::secs(3)))
                && self.faults.iter().all(|f| f.0 > b || f.1 + self.limits.back < a)
        });
        bad.extend(out.fair.broken.iter().cloned());
        for (id, m) in &self.all {
            out.sent += 1;
            let last = m.words.last().map(|w| w.1);
            let accepted = m.words.iter().any(|w| w.1 == Word::Accepted);
            match last {
                _ if accepted => out.accepted += 1,
                Some(Word::NotTaken) => out.not_taken += 1,
                _ => out.unknown += 1,
            }
            out.receipts += m.receipts.len();
            out.reruns += m.receipts.len().saturating_sub(1);
            out.call_backs += m.backs.len();
            let won = m.receipts.iter().filter_map(|r| r.done).filter(|d| d.1).map(|d| d.0).min();
            if accepted && won.is_none() && !m.poison {
                bad.push(format!("{id}: accepted and never run to success (last state '{}')", m.last_state));
            }
            if accepted && m.poison && !matches!(m.last_state.as_str(), "failed" | "given-up") {
                bad.push(format!("{id}: can never succeed, and its state is '{}'", m.last_state));
            }
            if accepted && m.last_state.is_empty() {
                bad.push(format!("{id}: accepted, and its state was never read back"));
            }
            let (true, Some(won)) = (m.desk, won) else { continue };
            match m.backs.first() {
                None => bad.push(format!("{id}: succeeded and never called back")),
                Some(t) => {
                    let late = t.since(won);
                    out.slowest_call_back = out.slowest_call_back.max(late);
                    if late > self.limits.call_back && *t > self.due(won, now) {
                        bad.push(format!("{id}: called back {late:?} after its success"));
                    }
                }
            }
        }
        for (name, times) in &self.sends {
            if !self.endpoints.contains(name) {
                continue;
            }
            let mut from = 0;
            for (n, t) in times.iter().enumerate() {
                while t.since(times[from]) >= Span::secs(5) {
                    from += 1;
                }
                if n - from + 1 > self.limits.window {
                    bad.push(format!("{name}: {} in 5 s", n - from + 1));
                    break;
                }
            }
        }
        let idle = |from: Time| {
            let mut all = crate::outage::lists(&self.all, from, now);
            all.extend(crate::outage::call_backs(&self.all, from, now));
            all.extend(crate::outage::taking(&self.all, from, now));
            all
        };
        out.idle = idle(Time(0));
        out.idle_at_end = idle(self.last_act);
        for b in bad {
            self.bad(b);
        }
        out.broken.clone_from(&self.broken);
        out
    }

    /// Whose outage was the longest, and when it began.
    pub fn outage_at(&self) -> &(String, Time) {
        &self.outage_at
    }

    pub fn gap_from(&self) -> Time {
        self.gap_from
    }
}
