//! The giver's side: who holds what until when.
use crate::prelude::*;

#[derive(Clone, Debug, PartialEq)]
pub struct Gift<H> {
    pub holder: H,
    pub epoch: Epoch,
    pub until: Time,
}

/// Invariant: a thing is given anew only after the giver's end of its last
/// lease, or to the same holder, and always under a higher epoch.
#[derive(Clone, Debug)]
pub struct Given<K, H> {
    terms: Terms,
    all: BTreeMap<K, Gift<H>>,
    top: Epoch,
}

impl<K: Ord + Clone, H: PartialEq + Clone> Given<K, H> {
    pub fn new(terms: Terms, term: Term) -> Given<K, H> {
        Given { terms, all: BTreeMap::new(), top: Epoch { term, count: 0 } }
    }
    pub fn get(&self, k: &K) -> Option<&Gift<H>> {
        self.all.get(k)
    }
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Gift<H>)> {
        self.all.iter()
    }
    pub fn free(&self, k: &K, now: Time) -> bool {
        self.all.get(k).is_none_or(|g| now >= g.until)
    }
    /// Gives a free thing; `None` when it is not free.
    pub fn give(&mut self, k: K, holder: H, now: Time) -> Option<Epoch> {
        if !self.free(&k, now) {
            return None;
        }
        self.top = self.top.next();
        self.all.insert(k, Gift { holder, epoch: self.top, until: self.terms.giver_end(now) });
        Some(self.top)
    }
    /// A holder that lives anew gets its own thing under a new epoch.
    pub fn renew_life(&mut self, k: &K, holder: &H, now: Time) -> Option<Epoch> {
        let gift = self.all.get_mut(k).filter(|g| g.holder == *holder)?;
        self.top = self.top.next();
        gift.epoch = self.top;
        gift.until = self.terms.giver_end(now);
        Some(self.top)
    }
    /// Takes a claim known from elsewhere, as at a take-over; the higher epoch stays.
    pub fn adopt(&mut self, k: K, holder: H, epoch: Epoch, until: Time) {
        if self.all.get(&k).is_some_and(|g| g.epoch >= epoch) {
            return;
        }
        self.all.insert(k, Gift { holder, epoch, until });
    }
    /// Renews everything this holder has that still runs.
    pub fn renew(&mut self, holder: &H, now: Time) -> Vec<(K, Epoch)> {
        let end = self.terms.giver_end(now);
        let mut out = Vec::new();
        for (k, g) in self.all.iter_mut().filter(|(_, g)| g.holder == *holder && now < g.until) {
            g.until = g.until.max(end);
            out.push((k.clone(), g.epoch));
        }
        out
    }
    /// Lets a lease run out: it is no longer renewed, and never cut short.
    pub fn forget(&mut self, now: Time) {
        self.all.retain(|_, g| now < g.until);
    }
    pub fn release(&mut self, k: &K, holder: &H) -> bool {
        if self.all.get(k).is_none_or(|g| g.holder != *holder) {
            return false;
        }
        self.all.remove(k);
        true
    }
}
