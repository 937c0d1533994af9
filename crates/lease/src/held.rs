//! The holder's side.
use crate::prelude::*;

/// Invariant: `epoch` of a thing never falls; `may` is asked immediately
/// before each outward act.
#[derive(Clone, Debug)]
pub struct Held<K> {
    terms: Terms,
    all: BTreeMap<K, (Epoch, Time)>,
}

impl<K: Ord + Clone> Held<K> {
    pub fn new(terms: Terms) -> Held<K> {
        Held { terms, all: BTreeMap::new() }
    }
    /// Takes a grant answered to what was asked at `asked`; true when the
    /// epoch is new here. A lower epoch is refused.
    pub fn take(&mut self, k: K, epoch: Epoch, asked: Time) -> bool {
        let end = self.terms.holder_end(asked);
        let Some(cur) = self.all.get_mut(&k) else {
            self.all.insert(k, (epoch, end));
            return true;
        };
        if epoch < cur.0 {
            return false;
        }
        let new = epoch > cur.0;
        *cur = (epoch, if new { end } else { cur.1.max(end) });
        new
    }
    /// The epoch under which the holder may act now.
    pub fn may(&self, k: &K, now: Time) -> Option<Epoch> {
        self.all.get(k).filter(|(_, end)| now < *end).map(|(e, _)| *e)
    }
    pub fn end(&self, k: &K) -> Option<Time> {
        self.all.get(k).map(|x| x.1)
    }
    pub fn live(&self, now: Time) -> Vec<(K, Epoch)> {
        self.all.iter().filter(|(_, x)| now < x.1).map(|(k, x)| (k.clone(), x.0)).collect()
    }
    /// Drops what has run out and says what.
    pub fn lapse(&mut self, now: Time) -> Vec<K> {
        let gone: Vec<K> = self.all.iter().filter(|(_, x)| now >= x.1).map(|(k, _)| k.clone()).collect();
        for k in &gone {
            self.all.remove(k);
        }
        gone
    }
}
