//! A worker runs only what a caller sent, as it was sent.
use crate::prelude::*;

pub fn watch(seen: &Seen, _: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for p in &seen.posts {
        let wrong = p.runs.iter().find(|r| !r.same || r.sum != p.sum);
        bad.extend(wrong.map(|r| format!("{} reached {} altered", p.id, r.worker)));
        let bytes = p.sought.iter().find(|s| s.body.is_some_and(|b| b != p.sum));
        bad.extend(bytes.map(|_| format!("{} was read back with other bytes", p.id)));
    }
    bad
}
