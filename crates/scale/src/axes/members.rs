//! Who watches whom, by the number of members: the membership core alone.
use super::sizes;
use crate::prelude::*;
use crate::thread_time::nanos;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new("members", "members of the fleet", "one watcher; its ring places are worked out anew");
    for n in sizes(quick, &[100, 300, 1000, 2000]) {
        let (mut watch, spots) = watcher(n);
        let t = nanos();
        watch.update_members(spots, Time(0));
        let x = n as f64;
        axis.either("learning one list, ms", "ms", x, (nanos() - t) as f64 / 1e6);
    }
    for n in sizes(quick, &[100, 1000, 10_000]) {
        let (x, shape) = (n as f64, Shape { agents: n, ..Shape::default() });
        let members = shape.members();
        let spots: Vec<RingMember> = members.iter().map(|m| RingMember { id: m.id.clone(), zone: m.zone.clone() }).collect();
        let t = nanos();
        let rounds = 20_000 / n.max(100) + 2;
        for m in members.iter().take(rounds) {
            std::hint::black_box(dw_membership::prelude::watchers(&m.id, &spots, 3));
        }
        axis.either("naming one daemon's watchers, us", "us", x, (nanos() - t) as f64 / 1e3 / rounds as f64);
        let item = Update::Members(members);
        let t = nanos();
        let bytes = encode(&item);
        axis.either("the list as news, written, us", "us", x, (nanos() - t) as f64 / 1e3);
        axis.line("the list as news, bytes", "bytes", x, bytes.len() as f64);
        let t = nanos();
        std::hint::black_box(decode::<Update>(&bytes).is_ok());
        axis.either("the list as news, read, us", "us", x, (nanos() - t) as f64 / 1e3);
    }
    axis.fitted()
}

fn watcher(n: usize) -> (FailureDetector, Vec<RingMember>) {
    let shape = Shape { agents: n, stores: 0, deliveries: 0, ..Shape::default() };
    let spots: Vec<RingMember> = shape.members().into_iter().map(|m| RingMember { zone: m.zone, id: m.id }).collect();
    let me = spots[spots.len() - 1].clone();
    (FailureDetector::new(me, IncarnationId(1), HeartbeatTiming::default()), spots)
}
