//! Callers: what they hand in, what they are told, what they look for.

use crate::prelude::*;
use serde_json::Value;

fn word_of(v: &Option<ApiResponse>) -> Word {
    match v {
        Some(v) if v.code == 202 => Word::Accepted,
        Some(v) if v.json.contains("\"taken\":false") => Word::NotTaken,
        _ => Word::Unknown,
    }
}

impl World {
    /// Hands a caller's or operator's request to a daemon; false when nothing
    /// listens there.
    pub fn ask(&mut self, to: &Daemon, ask: ApiRequest, asked: Asked) -> bool {
        let id = RequestId(self.next_ask);
        let Some(n) = self.nodes.get_mut(to) else { return false };
        if n.core.is_none() {
            return false;
        }
        self.next_ask += 1;
        n.asks.insert(id);
        self.asks.insert(id, (to.clone(), asked));
        self.soon(Span::secs(6), Ev::AskTimeout(id));
        self.step(to, Event::Request(id, ask));
        true
    }

    /// Whether an answer is lost on its way to an operator, who then waits for
    /// it in vain.
    fn answer_is_lost(&mut self, id: RequestId) -> bool {
        let operator = matches!(self.asks.get(&id), Some((_, Asked::Operator { .. } | Asked::Order(..))));
        operator && self.lost_answers > 0 && self.rng.u64(..100) < self.lost_answers
    }

    pub(super) fn told(&mut self, id: RequestId, v: Option<ApiResponse>) {
        if v.is_some() && self.answer_is_lost(id) {
            return self.count("answers lost", 1);
        }
        let Some((node, asked)) = self.asks.remove(&id) else { return };
        if let Some(n) = self.nodes.get_mut(&node) {
            n.asks.remove(&id);
        }
        match asked {
            Asked::Hand(n) => self.handed(n, v),
            Asked::Twin(n) => {
                let name = self.hands.get(n).map(Hand::name).unwrap_or_default();
                self.check.told(&name, word_of(&v), self.now);
            }
            Asked::Look(l) => self.looked(l, v),
            Asked::Operator { base, what } => self.operated(base, what, v),
            Asked::Ready(d) => self.probed(d, v),
            Asked::Post(n, post) => self.posted(n, post, v),
            Asked::Seek { post, body } => self.sought(post, body, v),
            Asked::Order(n, tries) => self.ordered(n, tries, v),
        }
    }

    pub(super) fn proxy(&mut self) -> Daemon {
        Daemon(format!("proxy-{}", self.rng.u64(1..=3)))
    }

    pub fn hand(&mut self, n: usize) {
        let to = self.proxy();
        let Some(h) = self.hands.get(n).cloned() else { return };
        let (tenant, queue) = h.list.split_once('/').unwrap_or((&h.list, ""));
        let ask = ApiRequest::Submit {
            tenant: tenant.into(),
            queue: queue.into(),
            id: MessageId(h.id.clone()),
            key: h.key.clone(),
            callback: h.desk.clone(),
            ttl: None,
            declared_new: h.first && !h.again,
            body: h.body.clone(),
        };
        self.check.asked(&h.name(), self.now);
        let first = !h.again;
        if first && h.habit == Habit::Twice {
            let other = self.proxy();
            self.ask(&other, ask.clone(), Asked::Twin(n));
        }
        if first && h.habit == Habit::HangsUp {
            // Gone before any verdict; it asks anew soon.
            let at = self.next_ask;
            if self.ask(&to, ask, Asked::Hand(n)) {
                let soon = Span::millis(self.rng.u64(1..60));
                self.soon(soon, Ev::AskTimeout(RequestId(at)));
            } else {
                self.soon(Span::millis(300), Ev::Hand(n));
            }
            return;
        }
        if !self.ask(&to, ask, Asked::Hand(n)) {
            // Refused at the door: nothing was taken, and nothing is told.
            self.soon(Span::millis(300), Ev::Hand(n));
        }
    }

    pub(super) fn handed(&mut self, n: usize, v: Option<ApiResponse>) {
        let Some(h) = self.hands.get_mut(n) else { return };
        let word = word_of(&v);
        let name = h.name();
        // One of its sendings was refused: it sends the id no more.
        let refused = |m: &dw_checker::prelude::Message| m.words.iter().any(|w| w.1 == Word::NotTaken);
        let word = match word {
            Word::Unknown if self.check.message(&name).is_some_and(refused) => Word::NotTaken,
            w => w,
        };
        let chain = h.chain;
        let follow = h.follow;
        h.again = true;
        h.over = word != Word::Unknown;
        if self.loud {
            self.say(format!("caller told {word:?} for {name}"));
        }
        self.check.told(&name, word, self.now);
        match (word, chain) {
            (Word::Unknown, _) => self.soon(Span::millis(300), Ev::Hand(n)),
            (Word::Accepted, Some(c)) => {
                let pause = self.chains[c].pause;
                self.chains[c].turn += 1;
                self.soon(pause, Ev::Next(c));
            }
            (Word::NotTaken, Some(c)) => self.soon(Span::millis(500), Ev::Next(c)),
            (Word::Accepted, None) if follow => {
                self.soon(Span::millis(200), Ev::Look(Looking { hand: n, body: false, follow: 40 }))
            }
            _ => {}
        }
    }

    pub(super) fn look(&mut self, l: Looking) {
        let to = self.proxy();
        let Some(h) = self.hands.get(l.hand).cloned() else { return };
        let (tenant, queue) = h.list.split_once('/').unwrap_or((&h.list, ""));
        let ask =
            ApiRequest::Lookup { tenant: tenant.into(), queue: queue.into(), id: MessageId(h.id), key: h.key, with_body: l.body };
        if !self.ask(&to, ask, Asked::Look(l.clone())) && l.follow > 0 {
            self.soon(Span::millis(300), Ev::Look(l));
        }
    }

    pub(super) fn looked(&mut self, l: Looking, v: Option<ApiResponse>) {
        let Some(h) = self.hands.get(l.hand) else { return };
        let name = h.name();
        let mut over = false;
        if let Some(v) = v {
            match (v.code, v.body) {
                (200, Some(b)) => {
                    self.check.read_body(&name, crc32(&b));
                    if self.stopped {
                        self.shut.insert(l.hand);
                    }
                }
                (200, None) => {
                    let j: Value = serde_json::from_str(&v.json).unwrap_or_default();
                    let state = j["state"].as_str().unwrap_or_default().to_string();
                    self.check.read(&name, Some(&state), self.now);
                    over = state != "waiting";
                    let owed = self.check.message(&name).is_some_and(|m| m.desk && !m.poison && m.backs.is_empty());
                    if over && l.follow == 0 && !owed {
                        self.look(Looking { body: true, ..l.clone() });
                    }
                }
                (404, _) => {
                    self.check.read(&name, None, self.now);
                    // Rightly forgotten, or noted as a fault: either way over.
                    if self.stopped {
                        self.shut.insert(l.hand);
                    }
                }
                (code, _) if self.loud => self.say(format!("looked for {name}: {code}")),
                _ => {}
            }
        }
        if l.follow > 0 && !over {
            self.soon(Span::millis(400), Ev::Look(Looking { follow: l.follow - 1, ..l }));
        }
    }

    /// Reads some ended messages back, one after the other, as long as they
    /// have to be readable.
    pub(super) fn read_again(&mut self) {
        self.soon(Span::millis(250), Ev::Reread);
        let count = self.hands.len();
        for _ in 0..8.min(count) {
            self.reread = (self.reread + 1) % count;
            let name = self.hands[self.reread].name();
            let Some(m) = self.check.message(&name) else { continue };
            let won = m.receipts.iter().filter_map(|r| r.done).filter(|d| d.1).map(|d| d.0).min();
            let accepted = m.words.iter().any(|w| w.1 == Word::Accepted);
            if accepted && won.is_some_and(|t| self.now.since(t) < Span::millis(119_000)) {
                for body in [false, true] {
                    self.look(Looking { hand: self.reread, body, follow: 0 });
                }
                self.count("read again", 1);
            }
        }
    }

    /// All that is not yet shut is looked at again; true when none is left.
    pub fn settle(&mut self) -> bool {
        let open: Vec<usize> = (0..self.hands.len())
            .filter(|n| {
                let h = &self.hands[*n];
                let told = self.check.message(&h.name()).map(|m| m.words.clone()).unwrap_or_default();
                let accepted = told.iter().any(|w| w.1 == Word::Accepted);
                (accepted && !self.shut.contains(n)) || (!accepted && !h.over)
            })
            .collect();
        self.open = open.len();
        for n in &open {
            if self.hands[*n].over {
                self.look(Looking { hand: *n, body: false, follow: 0 });
            }
        }
        open.is_empty()
    }
}
