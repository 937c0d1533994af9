//! A calm fleet by its number of partitions.
use super::{control_bytes, each, heap, micros, sizes};
use crate::prelude::*;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new(
        "partitions",
        "partitions, each with its duty to deliver",
        "6 stores, 6 deliveries, 2 edges, 4 workers, no messages",
    );
    for n in sizes(quick, &[16, 64, 256, 1024]) {
        let parts = (n / 4).min(32);
        let shape = Shape {
            stores: 6,
            deliveries: 6,
            edges: 2,
            tenants: 2,
            lists: n / 2 / parts,
            parts: parts as u32,
            ..Shape::default()
        };
        let mut f = Fleet::new(shape);
        let Some(primary) = f.settle(n) else { continue };
        f.run(Span::secs(3));
        f.reset();
        let (x, secs) = (n as f64, 4.0);
        f.run(Span::secs(4));
        let p = f.meter(&primary);
        axis.either("primary: one pull with a report, us", "us", x, each(&p, "need with report"));
        axis.either("primary: one pull without, us", "us", x, each(&p, "need"));
        let clock = p.took.get("clock").copied().unwrap_or_default();
        axis.either("primary: its own rounds, us/s", "us/s", x, clock.nanos as f64 / 1e3 / secs);
        axis.either("primary: processor time, us/s", "us/s", x, p.nanos() as f64 / 1e3 / secs);
        axis.line("primary: control, bytes/s", "B/s", x, p.control_bytes() as f64 / secs);
        axis.line("primary: memory, bytes", "bytes", x, p.heap as f64);
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
        let disk = f.disk_bytes(DaemonKind::Store) as f64 / 6.0;
        axis.line("store: on disk, bytes", "bytes", x, disk);
    }
    axis.fitted()
}
