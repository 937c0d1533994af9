//! What a store sees to now and then, whatever is asked of it: records whose
//! time is over, duties that nobody takes, and files that are mostly waste.
use super::Parked;
use crate::prelude::*;

/// Beyond the reading time, for a copy that nobody tends.
const FORGET: Span = Span::secs(30);
/// How much of the oldest file is written again in one second.
const CLEAN: u64 = 2 << 20;

impl Store {
    /// Each second: attempts past their hard end, messages past their reading
    /// time or their worth, and the oldest files.
    pub(super) fn sweep(&mut self, now: Time) {
        let retain = self.link.rules.retention;
        let owned: Vec<PartitionId> = self.parts.keys().filter(|p| self.serving(p, now)).cloned().collect();
        for place in owned {
            self.lapse_overdue(&place, now);
            let Some(p) = self.parts.get_mut(&place) else { continue };
            let Some(own) = p.own.as_mut() else { continue };
            // Kept-back successes whose other attempts are over by now.
            let (quiet, lane) = (own.quiet, &own.lane);
            let sure: Vec<MessageId> = own
                .won
                .iter()
                .filter(|s| !lane.flights.contains_key(s) && !lane.rests(**s, quiet, now))
                .filter_map(|s| lane.ids.get(s).cloned())
                .collect();
            let mut drop = Vec::new();
            let mut old = Vec::new();
            let mut stranded = Vec::new();
            for (id, r) in &p.recs {
                match r.stage {
                    Stage::Ended(_) if retain > Span::ZERO && now.since(r.ended) > retain => drop.push(id.clone()),
                    Stage::Pending
                        if r.head.ttl.is_some_and(|t| now.since(r.taken) > t)
                            && !own.lane.flights.contains_key(&r.head.seq)
                            && !own.won.contains(&r.head.seq) =>
                    {
                        old.push(id.clone());
                    }
                    Stage::Pending if !r.head.route.is_empty() && !own.shown.contains_key(id) && !own.lane.stands(&r.head) => {
                        stranded.push(id.clone());
                    }
                    _ => {}
                }
            }
            for id in sure {
                self.settle_won(&place, &id, now);
            }
            for id in stranded {
                self.let_in_again(&place, &id, now);
            }
            for id in old {
                self.stage(&place, &id, Stage::Ended(Outcome::Expired), None, now);
            }
            for id in drop.into_iter().take(2000) {
                self.write(&place, PartitionOp::Remove(id), now);
            }
        }
        self.end_dropped(now);
        self.forget(now);
        self.watch_duties(now);
        self.clean();
    }

    /// A copy that no leader tends hears of no drops. What ended here lets go
    /// of its room all the same, later than any leader would drop it.
    fn forget(&mut self, now: Time) {
        let retain = self.link.rules.retention;
        if retain == Span::ZERO {
            return;
        }
        for (place, p) in self.parts.iter_mut().filter(|(_, p)| p.own.is_none() && p.fetch.is_none()) {
            let past = |r: &Rec| matches!(r.stage, Stage::Ended(_)) && now.since(r.ended) > retain + FORGET;
            let old: Vec<MessageId> = p.recs.iter().filter(|(_, r)| past(r)).map(|(id, _)| id.clone()).take(1000).collect();
            for id in old {
                self.held_bytes += p.drop(place, &id, &mut self.ledger);
                self.ledger.push(Line::Op { place: place.clone(), n: p.n, op: PartitionOp::Remove(id) });
            }
        }
    }

    /// Notes duties that have something due and a holder that we do not hear.
    fn watch_duties(&mut self, now: Time) {
        if !self.link.config_is_current(now) {
            return self.starved.clear();
        }
        let (lanes, _) = self.due_lanes(now);
        self.starved.retain(|d, _| lanes.contains_key(d));
        for duty in lanes.into_keys() {
            if self.rooms.get(&duty).is_some_and(|r| now.since(r.at) < Span::millis(1500)) {
                self.starved.remove(&duty);
                continue;
            }
            self.starved.entry(duty).or_insert(now);
        }
    }

    /// What placement is told of them.
    pub(super) fn unheard(&self, now: Time) -> Vec<Duty> {
        let quiet = self.starved.iter().filter(|(_, t)| now.since(**t) >= Span::millis(1500)).map(|(d, _)| d.clone());
        // A delivery always tells an attempt's end; one that does not is cut
        // off. Moving an endpoint costs its newcomer's share, so twice there.
        let few = |d: &Duty| if matches!(d, Duty::Endpoint(_)) { 2 } else { 1 };
        let mute = self.mute.iter().filter(|(d, n)| **n >= few(d)).map(|(d, _)| d.clone());
        quiet.chain(mute).collect::<BTreeSet<Duty>>().into_iter().collect()
    }

    /// Writes living records of the oldest file again, a part at a time, so
    /// that it can go; what is not in memory is read back for the next time.
    fn clean(&mut self) {
        // A record's lines take some room beside its bytes.
        let count: usize = self.parts.values().map(|p| p.recs.len()).sum();
        let live = self.held_bytes.max(0) as u64 + count as u64 * 400;
        let Some((first, last)) = self.ledger.sparse(live) else { return };
        let (mut here, mut absent) = (Vec::new(), Vec::new());
        let mut size = 0;
        for (place, p) in &self.parts {
            for r in p.recs.values().filter(|r| first <= r.home && r.home <= last) {
                size += u64::from(r.head.len) + 256;
                if size > CLEAN {
                    break;
                }
                let set = if r.bytes().is_some() { &mut here } else { &mut absent };
                set.push((place.clone(), r.head.id.clone()));
            }
        }
        for (place, id) in here {
            self.write_again(&place, &id);
        }
        for (place, id) in absent {
            if !self.park(&place, &id, Parked::Clean) {
                break;
            }
        }
    }
}
