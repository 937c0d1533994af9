//! Whoever asked for it is called back for every end, soon after it.
use crate::prelude::*;

/// By when a call-back is due that is owed since `from`.
fn due(seen: &Seen, limits: &RoutedLimits, desk: &str, from: Time, now: Time) -> Time {
    let mut due = from + limits.call_back;
    let none = Vec::new();
    let shut = seen.shut.get(desk).unwrap_or(&none);
    loop {
        let was = due;
        for t in &seen.troubles {
            if t.from <= due && t.to + limits.back >= from {
                due = due.max(t.to + limits.back);
            }
        }
        for (a, b) in shut {
            let end = b.unwrap_or(now);
            if *a <= due && end + limits.call_back >= from {
                due = due.max(end + limits.call_back);
            }
        }
        if due == was {
            return due;
        }
    }
}

pub fn watch(seen: &Seen, limits: &RoutedLimits, now: Time) -> Vec<String> {
    let mut bad = Vec::new();
    let wants = |p: &&Post| !p.desk.is_empty() && p.accepted().is_some() && seen.routes(&p.path).any(|r| r.call_back);
    for p in seen.posts.iter().filter(wants) {
        let Some(from) = seen.known_end(p) else { continue };
        // What a dropped route leaves behind is owed too, but not in time.
        let from = from.max(p.accepted().unwrap_or_default());
        let due = due(seen, limits, &p.desk, from, now);
        let first = p.backs.iter().filter(|b| b.good).map(|b| b.at).min();
        match first {
            Some(t) if t > due => bad.push(format!("{} was called back {:?} after its end", p.id, t.since(from))),
            None if due < now => {
                let failed = p.backs.len();
                bad.push(format!("{} ended {:?} ago and {} was never told ({failed} tries)", p.id, now.since(from), p.desk))
            }
            _ => {}
        }
    }
    bad
}
