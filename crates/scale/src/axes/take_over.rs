//! The primary is lost: what its successor collects, and how long it takes.
use super::sizes;
use crate::prelude::*;

pub fn run(quick: bool) -> Axis {
    let mut axis =
        Axis::new("take-over", "stores and deliveries", "half of them each, 4 partitions for each store, 4 workers, no messages");
    for n in sizes(quick, &[12, 24, 60, 120]) {
        let (half, x) = (n / 2, n as f64);
        let shape = Shape { stores: half, deliveries: half, tenants: half, lists: 1, parts: 4, ..Shape::default() };
        let mut f = Fleet::new(shape);
        let Some(primary) = f.settle(half * 4) else { continue };
        f.run(Span::secs(4));
        f.reset();
        f.notes.clear();
        let killed = f.now;
        f.kill(&primary);
        let when = |f: &Fleet, what: LogEvent| f.notes.iter().find(|n| n.2 == what).map(|n| n.0);
        if !f.run_until(Span::secs(12), |f| when(f, LogEvent::Serving).is_some()) {
            continue;
        }
        let (Some(won), Some(serves)) = (when(&f, LogEvent::ElectedPrimary), when(&f, LogEvent::Serving)) else { continue };
        let heir = f.notes.iter().find(|n| n.2 == LogEvent::Serving).map(|n| n.1.clone()).unwrap_or_default();
        let m = f.meter(&heir);
        let reports = m.took.get("need with report").copied().unwrap_or_default();
        axis.either("from the kill to elected, ms", "ms", x, won.since(killed).as_millis() as f64);
        axis.either("from elected to serving, ms", "ms", x, serves.since(won).as_millis() as f64);
        axis.either("reports collected, bytes", "bytes", x, reports.bytes as f64);
        axis.either("heir's processor time until it serves, ms", "ms", x, m.nanos() as f64 / 1e6);
        f.reset();
        f.run(Span::secs(2));
        let m = f.meter(&heir);
        axis.either("heir's first two seconds of service, ms/s", "ms/s", x, m.nanos() as f64 / 2e6);
    }
    axis.fitted()
}
