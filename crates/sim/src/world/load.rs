//! The load: who sends what, and when.
use crate::prelude::*;

pub const TENANTS: [&str; 2] = ["curators", "partners"];

impl World {
    pub(super) fn new_hand(&mut self, list: String, key: String, turn: u64, chain: Option<usize>) -> usize {
        let n = self.hands.len();
        let desk = if list.ends_with("sheets") { "desk-1".to_string() } else { String::new() };
        let poison = list.ends_with("sheets") && self.poison > 0 && self.rng.u64(..100) < self.poison;
        let id = format!("m{n:06}");
        let mut text = format!("{}{list}/{id} key {key} turn {turn} ", if poison { "poison " } else { "" });
        while text.len() < self.body {
            text.push_str("lorem ");
        }
        let body = Bytes::from(text);
        let follow = chain.is_none() && self.rng.u64(..4) == 0 && !poison;
        let habit = match self.rng.u64(..20) {
            0 | 1 => Habit::Twice,
            2 => Habit::HangsUp,
            _ => Habit::Plain,
        };
        // One in three says so when it sends an id for the first time.
        let first = habit != Habit::Twice && self.rng.u64(..3) == 0;
        let h = Hand {
            habit,
            first,
            list: list.clone(),
            id,
            key: key.clone(),
            turn,
            desk: desk.clone(),
            poison,
            body,
            again: false,
            chain,
            follow,
            over: false,
        };
        let name = h.name();
        self.check.sent(&name, &list, &key, turn, crc32(&h.body), !desk.is_empty(), poison);
        self.hands.push(h);
        n
    }

    pub(super) fn flow(&mut self, n: usize) {
        if self.stopped {
            return;
        }
        let tenant = TENANTS[usize::from(self.rng.u64(..100) >= self.mix)];
        let list = match n {
            0 => format!("{tenant}/sheets"),
            _ => format!("{tenant}/notices-{}", self.rng.u64(1..=2)),
        };
        let h = self.new_hand(list, String::new(), 0, None);
        self.hand(h);
        // Half the rate is bulk, a quarter notices, a quarter in order.
        let pace = if n == 0 { 2_000_000 } else { 4_000_000 } / self.rate.max(1);
        let gap = pace / 2 + self.rng.u64(..pace.max(1));
        self.soon(Span(gap), Ev::Flow(n));
    }

    pub(super) fn next_turn(&mut self, c: usize) {
        if self.stopped {
            return;
        }
        let ch = self.chains[c].clone();
        let h = self.new_hand(ch.list, ch.key, ch.turn, Some(c));
        self.hand(h);
    }

    pub fn begin_load(&mut self) {
        self.soon(Span(0), Ev::Flow(0));
        self.soon(Span(0), Ev::Flow(1));
        for t in TENANTS {
            for k in 0..4 {
                let pause = Span(8 * 4_000_000 / self.rate.max(1));
                self.chains.push(Chain { list: format!("{t}/records"), key: format!("k{k}"), turn: 1, pause });
                let first = self.rng.u64(..pause.0);
                self.soon(Span(first), Ev::Next(self.chains.len() - 1));
            }
        }
    }
}
