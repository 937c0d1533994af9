//! A delayed message does not run before its delay is over.
use crate::prelude::*;

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    // A store that starts anew knows a delay by the time of day alone.
    if seen.days_apart {
        return bad;
    }
    for p in seen.posts.iter().filter(|p| p.delay > Span::ZERO) {
        let due = p.sent + p.delay;
        let early = p.runs.iter().filter_map(|r| r.began).find(|b| *b + limits.early < due);
        bad.extend(early.map(|b| format!("{} began {:?} before its delay was over", p.id, due.since(b))));
    }
    bad
}
