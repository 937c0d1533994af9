//! By the number of stores and deliveries, the destinations held still: what
//! of the cost is a holder's own, and what is everybody's.
use super::{control_bytes, each, micros, sizes};
use crate::prelude::*;

const DESTINATIONS: usize = 200;

pub fn run(quick: bool) -> Axis {
    let held = format!("half of them each, {DESTINATIONS} destinations, 2 agents, 4 workers, no messages");
    let mut axis = Axis::new("holders", "stores and deliveries", held);
    for n in sizes(quick, &[6, 12, 24, 60]) {
        let half = n / 2;
        let shape = Shape {
            stores: half,
            deliveries: half,
            agents: 2,
            tenants: 1,
            lists: 1,
            parts: 1,
            destinations: DESTINATIONS,
            ..Shape::default()
        };
        let mut f = Fleet::new(shape);
        let Some(primary) = f.settle(DESTINATIONS + 1) else { continue };
        // The balance moves one duty a second: let it come to rest.
        f.run(Span::secs(6));
        f.reset();
        let (x, secs) = (n as f64, 4.0);
        f.run(Span::secs(4));
        let p = f.meter(&primary);
        axis.either("primary: one pull with a report, us", "us", x, each(&p, "need with report"));
        axis.either("primary: processor time, us/s", "us/s", x, p.nanos() as f64 / 1e3 / secs);
        axis.line("primary: control, bytes/s", "B/s", x, p.control_bytes() as f64 / secs);
        for (name, kind) in [("store", DaemonKind::Store), ("delivery", DaemonKind::Delivery)] {
            axis.either(&format!("{name}: processor time, us/s"), "us/s", x, micros(&f, kind, secs));
            axis.either(&format!("{name}: control, bytes/s"), "B/s", x, control_bytes(&f, kind, secs));
        }
    }
    axis.fitted()
}
