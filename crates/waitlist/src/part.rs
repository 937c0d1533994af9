//! One partition as one store holds it, keeper or not.
use crate::prelude::*;

/// Invariant: `stage` never goes back; `home` is the version of the file the
/// bytes stand in.
#[derive(Clone, Debug)]
pub struct Rec {
    pub head: Head,
    pub stage: Stage,
    pub body: Bytes,
    pub home: u64,
    pub touched: u64,
    /// By this store's clock; after a restart, when it was read back.
    pub taken: Time,
    pub ended: Time,
    pub tries: u32,
}

/// Invariants: `installed <= promised`; `n` counts the ops of epoch
/// `installed` applied here without a gap, so of two replicas the one with
/// the higher (installed, n) holds everything the other's history holds.
#[derive(Default)]
pub struct Part {
    pub promised: Epoch,
    pub installed: Epoch,
    pub n: u64,
    /// The next place in order.
    pub next: u64,
    pub recs: BTreeMap<MessageId, Rec>,
    pub fetch: Option<Fetching>,
    pub own: Option<Keep>,
}

impl Part {
    /// Applies one op; every change of a partition's contents passes here.
    /// Gives the change in bytes held.
    pub fn apply(&mut self, place: &Place, op: &Op, home: u64, now: Time, ledger: &mut Ledger) -> i64 {
        match op {
            Op::Put(head, stage, body) => self.put(head, *stage, body, home, now, ledger),
            Op::Stage(id, stage) => {
                let Some(r) = self.recs.get_mut(id) else { return 0 };
                if stage.rank() > r.stage.rank() {
                    r.stage = *stage;
                    r.touched = home;
                    r.ended = now;
                }
                0
            }
            Op::Drop(id) => self.drop(place, id, ledger),
        }
    }
    pub fn put(&mut self, head: &Head, stage: Stage, body: &Bytes, home: u64, now: Time, ledger: &mut Ledger) -> i64 {
        self.next = self.next.max(head.seq + 1);
        if let Some(r) = self.recs.get_mut(&head.id) {
            ledger.unsettle(r.home);
            ledger.settle(home);
            r.home = home;
            r.head = head.clone();
            if stage.rank() >= r.stage.rank() {
                r.stage = stage;
            }
            return 0;
        }
        ledger.settle(home);
        let rec = Rec { head: head.clone(), stage, body: body.clone(), home, touched: home, taken: now, ended: now, tries: 0 };
        self.recs.insert(head.id.clone(), rec);
        body.len() as i64
    }
    pub fn drop(&mut self, place: &Place, id: &MessageId, ledger: &mut Ledger) -> i64 {
        let Some(r) = self.recs.remove(id) else { return 0 };
        ledger.unsettle(r.home);
        ledger.graves.push((r.home, place.clone(), id.clone()));
        -(r.body.len() as i64)
    }
    pub fn digest(&self) -> Digest {
        Digest { n: self.n, next: self.next, heads: self.recs.values().map(|r| (r.head.clone(), r.stage)).collect() }
    }
    /// Keeps exactly these, with these stages.
    pub fn retain(&mut self, place: &Place, keep: &[(MessageId, Stage, u64)], now: Time, ledger: &mut Ledger) -> i64 {
        let want: BTreeMap<&MessageId, (Stage, u64)> = keep.iter().map(|(i, s, q)| (i, (*s, *q))).collect();
        let gone: Vec<MessageId> = self.recs.keys().filter(|i| !want.contains_key(i)).cloned().collect();
        let mut held = 0;
        for id in gone {
            held += self.drop(place, &id, ledger);
        }
        for (id, r) in self.recs.iter_mut() {
            let Some((stage, seq)) = want.get(id) else { continue };
            if r.stage != *stage {
                r.ended = now;
                r.stage = *stage;
                r.touched = ledger.next();
            }
            r.head.seq = *seq;
        }
        held
    }
}
