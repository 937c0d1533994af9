//! A cold worker gets no more in any second than it can bear.
use crate::prelude::*;

const SECOND: Span = Span::secs(1);

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut by: BTreeMap<&str, Vec<Time>> = BTreeMap::new();
    for r in seen.posts.iter().flat_map(|p| &p.runs) {
        by.entry(r.worker.as_str()).or_default().push(r.arrived);
    }
    let mut bad = Vec::new();
    for (worker, times) in by.iter_mut() {
        let Some(w) = seen.workers.get(*worker) else { continue };
        let stated = seen.services.get(&w.service).map_or(0.0, |p| p.cold);
        if stated <= 0.0 {
            continue;
        }
        times.sort();
        let most = (stated * limits.cold_percent as f64 / 100.0) as u64 + limits.cold_more;
        for (from, to) in &w.cold {
            let cold: Vec<&Time> = times.iter().filter(|t| **t >= *from && **t < *to).collect();
            let worst = cold.iter().enumerate().map(|(n, t)| cold[n..].iter().filter(|x| x.since(**t) < SECOND).count()).max();
            if worst.is_some_and(|n| n as u64 > most) {
                bad.push(format!("{worker} got {worst:?} in a second while cold, at most {most}"));
            }
        }
    }
    bad
}
