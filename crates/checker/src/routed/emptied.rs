//! Nothing reaches a zone some time after its emptying was acknowledged.
use crate::prelude::*;

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for (zone, acked, back) in &seen.zones {
        let until = back.unwrap_or(Time(u64::MAX));
        for p in &seen.posts {
            let late = |r: &&PostRun| r.zone == *zone && r.arrived > *acked + limits.zone && r.arrived < until;
            let hit = p.runs.iter().filter(late).find(|r| seen.touch(&r.sender, *acked, r.arrived, limits.contact));
            bad.extend(
                hit.map(|r| format!("{} reached {} {:?} after zone {zone} was emptied", p.id, r.worker, r.arrived.since(*acked))),
            );
        }
    }
    bad
}
