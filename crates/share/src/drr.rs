use crate::prelude::*;

/// Weighted deficit round robin over named flows, each cost one.
///
/// Invariant: a flow with nothing waiting keeps no deficit, so an idle share
/// is lent and never hoarded.
#[derive(Debug)]
pub struct Drr<T> {
    flows: BTreeMap<String, (u32, u64, VecDeque<T>)>,
    turn: VecDeque<String>,
}

impl<T> Default for Drr<T> {
    fn default() -> Self {
        Drr { flows: BTreeMap::new(), turn: VecDeque::new() }
    }
}

impl<T> Drr<T> {
    pub fn push(&mut self, flow: &str, weight: u32, item: T) {
        let f = self.flows.entry(flow.to_string()).or_insert((weight, 0, VecDeque::new()));
        f.0 = weight.max(1);
        if f.2.is_empty() {
            f.1 = u64::from(f.0);
            self.turn.push_back(flow.to_string());
        }
        f.2.push_back(item);
    }
    pub fn len(&self) -> usize {
        self.flows.values().map(|f| f.2.len()).sum()
    }
    pub fn is_empty(&self) -> bool {
        self.turn.is_empty()
    }
    /// The next item in its fair turn.
    pub fn pop(&mut self) -> Option<T> {
        let name = self.turn.front()?.clone();
        let f = self.flows.get_mut(&name)?;
        let item = f.2.pop_front()?;
        f.1 = f.1.saturating_sub(1);
        if f.2.is_empty() {
            self.turn.pop_front();
            self.flows.remove(&name);
        } else if f.1 == 0 {
            f.1 = u64::from(f.0);
            self.turn.rotate_left(1);
        }
        Some(item)
    }
    /// Takes out what does not pass, from wherever it waits.
    pub fn sift(&mut self, mut pass: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for f in self.flows.values_mut() {
            let mut rest = VecDeque::new();
            for t in f.2.drain(..) {
                if pass(&t) {
                    rest.push_back(t);
                } else {
                    out.push(t);
                }
            }
            f.2 = rest;
        }
        self.flows.retain(|_, f| !f.2.is_empty());
        let flows = &self.flows;
        self.turn.retain(|n| flows.contains_key(n));
        out
    }
}
