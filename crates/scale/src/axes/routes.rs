//! By the number of queues a configuration names.
use super::{each, heap, micros, sizes};
use crate::prelude::*;

pub fn run(quick: bool) -> Axis {
    let mut axis =
        Axis::new("routes", "waitlists, one partition each", "3 stores, 3 deliveries, 2 edges, 4 workers, 200 messages a second");
    for n in sizes(quick, &[10, 100, 1000]) {
        let shape = Shape { edges: 2, tenants: n / 5, lists: 5, parts: 1, ..Shape::default() };
        let text = shape.config_text();
        let mut f = Fleet::new(shape);
        if f.settle(n).is_none() {
            continue;
        }
        f.reset();
        let (x, secs) = (n as f64, 3u64);
        super::messages::load(&mut f, 200, secs, 0);
        let (proxies, _) = f.meters(DaemonKind::Proxy);
        axis.line("charter, bytes", "bytes", x, text.len() as f64);
        axis.either("proxy: taking one message in, us", "us", x, each(&proxies, "ask"));
        for (name, kind) in [
            ("store", DaemonKind::Store),
            ("delivery", DaemonKind::Delivery),
            ("agent", DaemonKind::Agent),
            ("proxy", DaemonKind::Proxy),
        ] {
            axis.line(&format!("{name}: memory, bytes"), "bytes", x, heap(&f, kind));
            axis.either(&format!("{name}: processor time, us/s"), "us/s", x, micros(&f, kind, secs as f64));
        }
    }
    axis.fitted()
}
