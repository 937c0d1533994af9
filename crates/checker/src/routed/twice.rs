//! After a success whose answer was whole in time and was read, a message
//! does not run again while no unplanned trouble is near.
use crate::prelude::*;

const IN_TIME: Span = Span::millis(50);

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for p in &seen.posts {
        for (n, r) in p.runs.iter().enumerate() {
            let Some((done, Over::Done(_))) = &r.over else { continue };
            let (Some(read), Some(began)) = (r.read, r.began) else { continue };
            if *done + IN_TIME > r.arrived + r.span {
                continue;
            }
            let again = p.runs.iter().enumerate().find(|(m, x)| *m != n && x.began.is_some_and(|b| b > read));
            let Some((_, x)) = again else { continue };
            let from = Time(began.0.saturating_sub(limits.contact.0));
            if seen.calm(from, x.arrived) {
                bad.push(format!("{} ran at {} {:?} after {} had said done", p.id, x.worker, x.arrived.since(read), r.worker));
            }
        }
    }
    bad
}
