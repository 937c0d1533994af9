//! By the number of outside destinations: each is an endpoint, a queue
//! with one partition, and two duties.
use super::{control_bytes, each, heap, micros, sizes};
use crate::prelude::*;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new("destinations", "outside destinations", "6 stores, 6 deliveries, 2 edges, 4 workers, no messages");
    for n in sizes(quick, &[10, 100, 300, 1000]) {
        let shape =
            Shape { stores: 6, deliveries: 6, edges: 2, tenants: 1, lists: 1, parts: 1, destinations: n, ..Shape::default() };
        let text = shape.config_text();
        let mut f = Fleet::new(shape);
        let Some(primary) = f.settle(n + 1) else { continue };
        f.run(Span::secs(3));
        f.reset();
        let (x, secs) = (n as f64, 3.0);
        f.run(Span::secs(3));
        let p = f.meter(&primary);
        axis.line("charter, bytes", "bytes", x, text.len() as f64);
        axis.either("primary: one pull with a report, us", "us", x, each(&p, "need with report"));
        axis.either("primary: processor time, us/s", "us/s", x, p.nanos() as f64 / 1e3 / secs);
        axis.line("primary: memory, bytes", "bytes", x, p.heap as f64);
        axis.line("primary: control, bytes/s", "B/s", x, p.control_bytes() as f64 / secs);
        for (name, kind) in [
            ("store", DaemonKind::Store),
            ("delivery", DaemonKind::Delivery),
            ("agent", DaemonKind::Agent),
            ("proxy", DaemonKind::Proxy),
        ] {
            axis.either(&format!("{name}: processor time, us/s"), "us/s", x, micros(&f, kind, secs));
            axis.line(&format!("{name}: control, bytes/s"), "B/s", x, control_bytes(&f, kind, secs));
            axis.line(&format!("{name}: memory, bytes"), "bytes", x, heap(&f, kind));
        }
    }
    axis.fitted()
}
