//! What was accepted ends, or comes back whole and is told as waiting; and
//! it is known until long after its end.
use crate::prelude::*;

pub fn watch(seen: &Seen, limits: &RoutedLimits, now: Time) -> Vec<String> {
    let mut bad = Vec::new();
    let calm_since = seen.last_trouble().max(seen.stopped.unwrap_or(now));
    for p in seen.posts.iter().filter(|p| p.accepted().is_some()) {
        let ended = seen.ended(p).filter(|t| *t <= now);
        // From when on it may be forgotten.
        let last = p.runs.iter().filter_map(|r| r.over.as_ref()).map(|o| o.0).max().unwrap_or(p.sent);
        let lost = |s: &&Sought| s.state == State::None && ended.is_none_or(|e| s.at < e.max(last) + limits.known);
        if let Some(s) = p.sought.iter().find(lost) {
            bad.push(format!("{} was accepted, and not known at {} ms (ended: {ended:?})", p.id, s.at.0 / 1000));
        }
        if ended.is_some() {
            continue;
        }
        let newest = p.sought.iter().filter(|s| s.body.is_none()).max_by_key(|s| s.at);
        let back = p.sought.iter().any(|s| s.body == Some(p.sum) && seen.stopped.is_none_or(|t| s.at >= t));
        match newest.map(|s| &s.state) {
            Some(State::Waiting) if back => {}
            state => bad.push(format!("{} was accepted and has not ended; told {state:?}, bytes back: {back}", p.id)),
        }
        let due = calm_since.max(p.sent + p.delay) + limits.stuck;
        if now >= due {
            let runs: Vec<_> = p.runs.iter().map(|r| r.over.as_ref().map(|o| &o.1)).collect();
            bad.push(format!(
                "{} {} key '{}' is stuck: not ended for long after all was well; runs {runs:?}",
                p.id, p.path, p.key
            ));
        }
    }
    bad
}
