//! A small hollow fleet does what a fleet does, and is counted.
use dw_scale::prelude::*;

fn small() -> Fleet {
    let mut f = Fleet::new(Shape { edges: 1, agents: 2, tenants: 1, lists: 1, parts: 2, destinations: 3, ..Shape::default() });
    assert!(f.settle(5).is_some(), "a primary serves and five partitions are open");
    f
}

fn hand(f: &mut Fleet, n: u64) {
    let ask = ApiRequest::Submit {
        tenant: Shape::tenant(0),
        queue: Shape::list(0),
        id: MessageId(format!("event-{n}")),
        key: String::new(),
        callback: String::new(),
        ttl: None,
        declared_new: false,
        body: Bytes::from_static(b"body"),
    };
    f.ask(&Daemon("proxy-00001".into()), RequestId(1000 + n), ask);
}

#[test]
fn messages_are_taken_carried_and_ended() {
    let mut f = small();
    f.reset();
    (0..50).for_each(|n| hand(&mut f, n));
    f.run(Span::secs(3));
    assert_eq!(f.told.get(&202), Some(&50));
    let stores: Vec<Daemon> = f.shape.names().into_iter().filter(|d| d.kind() == DaemonKind::Store).collect();
    let ended: u64 = stores.iter().map(|d| f.status(d)["counts"]["ended"].as_u64().unwrap()).sum();
    assert_eq!(ended, 50);
    for kind in [DaemonKind::Store, DaemonKind::Delivery, DaemonKind::Proxy] {
        let (m, _) = f.meters(kind);
        assert!(m.nanos() > 0 && m.said_bytes() > 0, "{kind:?} is counted");
    }
    assert!(f.meters(DaemonKind::Store).0.saved_bytes > 50 * 4);
}

#[test]
fn the_same_run_counts_the_same_bytes() {
    let bytes = || {
        let mut f = small();
        f.reset();
        f.run(Span::secs(2));
        [DaemonKind::Placement, DaemonKind::Store, DaemonKind::Delivery, DaemonKind::Agent].map(|k| f.meters(k).0.control_bytes())
    };
    assert_eq!(bytes(), bytes());
}

#[test]
fn a_killed_primary_is_succeeded() {
    let mut f = small();
    let first = f.primary().unwrap();
    f.kill(&first);
    f.run(Span::secs(6));
    let second = f.primary().unwrap();
    assert_ne!(first, second);
}
