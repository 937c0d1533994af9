//! By the number of workers the platform lists.
use super::{control_bytes, heap, micros, sizes};
use crate::prelude::*;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new("workers", "workers listed", "3 stores, 3 deliveries, 2 agents, 8 partitions, no messages");
    for n in sizes(quick, &[10, 100, 1000, 3000]) {
        let mut f = Fleet::new(Shape { agents: 2, workers: n, ..Shape::default() });
        let Some(primary) = f.settle(8) else { continue };
        f.reset();
        let (x, secs) = (n as f64, 4.0);
        f.run(Span::secs(4));
        let p = f.meter(&primary);
        let (d, count) = f.meters(DaemonKind::Delivery);
        let back = d.took.get("back").copied().unwrap_or_default();
        axis.either("primary: processor time, us/s", "us/s", x, p.nanos() as f64 / 1e3 / secs);
        axis.line("primary: memory, bytes", "bytes", x, p.heap as f64);
        axis.line("delivery: loads asked, 1/s", "1/s", x, back.count as f64 / secs / count as f64);
        axis.either("delivery: processor time, us/s", "us/s", x, micros(&f, DaemonKind::Delivery, secs));
        axis.line("delivery: memory, bytes", "bytes", x, heap(&f, DaemonKind::Delivery));
        axis.line("delivery: control, bytes/s", "B/s", x, control_bytes(&f, DaemonKind::Delivery, secs));
        axis.line("agent: memory, bytes", "bytes", x, heap(&f, DaemonKind::Agent));
        let list = Update::Workers(listed(&f));
        axis.line("the list as news, bytes", "bytes", x, encode(&list).len() as f64);
    }
    axis.fitted()
}

fn listed(f: &Fleet) -> Vec<Worker> {
    let mut list = dw_placement::prelude::WorkerList::default();
    let _ = list.read_unpaged(&f.shape.listed(), Time(1_000_000));
    list.workers
}
