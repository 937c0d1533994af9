//! A worker gets nothing any more some time after the list showed it draining.
use crate::prelude::*;

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for p in &seen.posts {
        for r in &p.runs {
            let Some(shown) = seen.workers.get(&r.worker).and_then(|w| w.drained) else { continue };
            let listed = !seen.list_troubles.iter().any(|t| t.0 <= r.arrived && t.1 + limits.drain >= shown);
            if listed && r.arrived > shown + limits.drain && seen.touch(&r.sender, shown, r.arrived, limits.contact) {
                bad.push(format!("{} reached {} {:?} after it was listed as draining", p.id, r.worker, r.arrived.since(shown)));
            }
        }
    }
    bad
}
