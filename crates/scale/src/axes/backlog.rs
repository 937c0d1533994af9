//! Messages that wait: memory, disk, and what each costs by how many wait.
use super::{messages, sizes};
use crate::prelude::*;

pub fn run(quick: bool) -> Axis {
    let held = format!("3 stores, 3 deliveries, 2 edges, 4 partitions, no worker takes any, bodies of {} bytes", messages::BODY);
    let mut axis = Axis::new("backlog", "messages waiting", held);
    for n in sizes(quick, &[2000, 6000, 20_000, 40_000]) {
        let shape = Shape { edges: 2, tenants: 2, lists: 1, parts: 2, workers: 32, ..Shape::default() };
        // The bodies rest on disk: what is in memory is the index.
        let mut f = Fleet::with_cache(shape, 64 << 10);
        f.working = false;
        if f.settle(4).is_none() {
            continue;
        }
        let next = messages::load(&mut f, n as u64 / 10, 10, 0);
        f.run(Span::secs(4));
        let x = n as f64;
        let (s, _) = f.meters(DaemonKind::Store);
        // Each message stands on two stores.
        axis.line("all stores: memory, bytes", "bytes", x, s.heap as f64);
        axis.line("all stores: on disk, bytes", "bytes", x, f.disk_bytes(DaemonKind::Store) as f64);
        f.reset();
        f.run(Span::secs(3));
        let (s, _) = f.meters(DaemonKind::Store);
        axis.either("all stores: idle rounds, us/s", "us/s", x, s.nanos() as f64 / 1e3 / 3.0);
        // A little more is taken in on top of it.
        f.reset();
        f.told.clear();
        messages::load(&mut f, 200, 2, next);
        let (t, _) = f.meters(DaemonKind::Store);
        let taken = f.told.get(&202).copied().unwrap_or(1).max(1) as f64;
        let idle = s.nanos() as f64 / 1e3 / 3.0 * 2.0;
        axis.either("all stores: taking one in, us", "us", x, (t.nanos() as f64 / 1e3 - idle).max(1.0) / taken);
        // A store reads its folder back.
        let one = Daemon("store-00001".into());
        f.kill(&one);
        f.reset();
        f.restart(&one);
        let back = f.meter(&one);
        let start = back.took.get("start").copied().unwrap_or_default();
        axis.line("one store: reading its folder back, ms", "ms", x, start.nanos as f64 / 1e6);
        f.run(Span::secs(12));
        // Workers are there again: the backlog begins to run off.
        f.working = true;
        let (mut before, mut done) = (ended(&mut f), 0);
        for _ in 0..50 {
            f.reset();
            f.run(Span::millis(100));
            let now = ended(&mut f);
            done = now - before;
            before = now;
            if done >= 100 {
                break;
            }
        }
        let (u, _) = f.meters(DaemonKind::Store);
        if done > 0 {
            axis.either("all stores: ending one, us", "us", x, u.nanos() as f64 / 1e3 / done as f64);
        }
    }
    axis.fitted()
}

fn ended(f: &mut Fleet) -> u64 {
    let stores: Vec<Daemon> = f.shape.names().into_iter().filter(|d| d.kind() == DaemonKind::Store).collect();
    stores.iter().map(|d| f.status(d)["counts"]["ended"].as_u64().unwrap_or(0)).sum()
}
