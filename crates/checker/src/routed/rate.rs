//! An address with a stated rate gets no more in any 5 s.
use crate::prelude::*;

const WINDOW: Span = Span::secs(5);

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for (service, times) in &seen.arrivals {
        let rate = seen.services.get(service).map_or(0.0, |p| p.rate);
        if rate <= 0.0 {
            continue;
        }
        let most = (rate * 5.0) as u64 * limits.rate_percent / 100 + limits.rate_more;
        let mut from = 0;
        for (n, t) in times.iter().enumerate() {
            while t.since(times[from]) >= WINDOW {
                from += 1;
            }
            let got = (n - from + 1) as u64;
            if got > most {
                bad.push(format!("{service} got {got} in 5 s to {} ms, at most {most}", t.0 / 1000));
                break;
            }
        }
    }
    bad
}
