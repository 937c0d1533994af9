//! Messages carried whole: in at a proxy, on two stores, out by a delivery.
use super::sizes;
use crate::prelude::*;

pub const BODY: usize = 512;

/// Hands `rate` messages a second in, evenly, for so many seconds.
pub fn load(f: &mut Fleet, rate: u64, secs: u64, first: u64) -> u64 {
    let edges: Vec<Daemon> = f.shape.names().into_iter().filter(|d| d.kind() == DaemonKind::Proxy).collect();
    let (tenants, lists) = (f.shape.tenants as u64, f.shape.lists as u64);
    let mut n = first;
    for tick in 0..secs * 50 {
        let upto = first + rate * (tick + 1) / 50;
        while n < upto {
            let body = Bytes::from(vec![n as u8; BODY]);
            let ask = ApiRequest::Submit {
                tenant: Shape::tenant((n % tenants) as usize),
                queue: Shape::list((n / tenants % lists) as usize),
                id: MessageId(format!("event-{n:016}")),
                key: format!("key-{:08}", n % 10_007),
                callback: String::new(),
                ttl: None,
                declared_new: false,
                body,
            };
            f.ask(&edges[n as usize % edges.len()].clone(), RequestId(1000 + n), ask);
            n += 1;
        }
        f.run(Span::millis(20));
    }
    n
}

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new(
        "messages",
        "messages a second",
        format!("3 stores, 3 deliveries, 2 edges, 8 partitions, 32 workers, bodies of {BODY} bytes"),
    );
    for n in sizes(quick, &[50, 200, 500, 1000]) {
        let mut f = Fleet::new(Shape { edges: 2, workers: 32, ..Shape::default() });
        if f.settle(8).is_none() {
            continue;
        }
        let next = load(&mut f, n as u64, 2, 0);
        f.reset();
        f.told.clear();
        load(&mut f, n as u64, 4, next);
        let (x, secs) = (n as f64, 4.0);
        let taken = f.told.get(&202).copied().unwrap_or(0) as f64 / secs;
        axis.line("taken, 1/s", "1/s", x, taken);
        for (name, kind) in [("proxy", DaemonKind::Proxy), ("store", DaemonKind::Store), ("delivery", DaemonKind::Delivery)] {
            let (m, _) = f.meters(kind);
            // Over all daemons of the kind, so the slope is one message's.
            axis.line(&format!("{name}: processor time, us/s"), "us/s", x, m.nanos() as f64 / 1e3 / secs);
            axis.line(&format!("{name}: bytes sent, 1/s"), "B/s", x, m.said_bytes() as f64 / secs);
            axis.line(&format!("{name}: frames sent, 1/s"), "1/s", x, m.said_frames() as f64 / secs);
        }
        let (s, _) = f.meters(DaemonKind::Store);
        axis.line("store: bytes saved, 1/s", "B/s", x, s.saved_bytes as f64 / secs);
    }
    axis.fitted()
}
