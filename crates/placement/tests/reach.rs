//! Duties of reach: which there are, who gets them, and that they move little.
mod fleet;
use fleet::*;

fn routed() -> Fleet {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    f.until(6_000, |f| f.reaches().len() == 3 * TARGET_SHARDS_PER_ZONE + 2 * TARGET_SHARDS_PER_ZONE);
    f
}

fn at_home(f: &Fleet) -> bool {
    (1..=3).all(|n| f.holders(&format!("z{n}")) == vec![daemon(&format!("delivery-{n}")); TARGET_SHARDS_PER_ZONE])
}

#[test]
fn without_routes_there_are_none() {
    let mut f = Fleet::whole();
    f.run(5_000);
    assert!(f.reaches().is_empty());
    let primary = f.primary().unwrap();
    assert!(!f.cores[&primary].duties().iter().any(|d| matches!(d, Duty::TargetShard(_))));
}

#[test]
fn each_goes_to_a_delivery_of_its_own_zone_and_addresses_are_evened_out() {
    let f = routed();
    assert!(at_home(&f), "{:?}", f.reaches());
    let all = f.reaches();
    for n in 1..=3 {
        let mine = Duty::unlisted_address_shards().filter(|d| all[d] == daemon(&format!("delivery-{n}"))).count();
        assert!((2..=3).contains(&mine), "delivery-{n} has {mine}");
    }
    let primary = f.primary().unwrap();
    let leads = f.cores[&primary].duties().iter().filter(|d| matches!(d, Duty::Lead(_))).count();
    assert_eq!(leads, 6);
}

#[test]
fn two_deliveries_of_a_zone_share_it() {
    let mut f = Fleet::whole();
    f.add("delivery-4", "z1");
    f.run(4_000);
    f.put(0, &first());
    f.run(8_000);
    let held = f.holders("z1");
    assert_eq!(held.len(), TARGET_SHARDS_PER_ZONE);
    assert!(held.contains(&daemon("delivery-1")) && held.contains(&daemon("delivery-4")), "{held:?}");
}

#[test]
fn a_zone_without_a_delivery_is_served_from_others_and_goes_home_when_one_settles() {
    let mut f = routed();
    f.fakes.remove(&daemon("delivery-2"));
    f.until(6_000, |f| f.holders("z2").len() == TARGET_SHARDS_PER_ZONE);
    assert!(f.reaches().values().all(|d| *d != daemon("delivery-2")));
    f.add("delivery-2", "z2");
    // Not before it has been live for a while. Addresses are at home nowhere:
    // they are evened out meanwhile, one at a time.
    for _ in 0..40 {
        f.run(50);
        let shed: Vec<Duty> = f.fakes.values().flat_map(|x| x.shed.iter().cloned()).collect();
        assert!(shed.iter().all(|d| Duty::unlisted_address_shards().any(|a| a == *d)), "{shed:?}");
        assert!(shed.len() <= 1, "{shed:?}");
    }
    // Two at a time.
    let end = f.now + Span::secs(20);
    let mut most = 0;
    while f.now < end && !at_home(&f) {
        most = most.max(f.fakes.values().map(|x| x.shed.len()).sum());
        f.run(50);
    }
    assert!(at_home(&f), "{:?}", f.reaches());
    assert!(most <= 2, "{most} were asked for at once");
}

#[test]
fn what_is_at_home_stays_there() {
    let mut f = routed();
    f.run(10_000);
    let before = f.reaches();
    for _ in 0..60 {
        f.run(1_000);
        assert!(f.fakes.values().all(|x| x.shed.is_empty()));
        assert_eq!(f.reaches(), before);
    }
}

#[test]
fn a_busy_holder_abroad_is_asked_and_never_forced() {
    let mut f = routed();
    f.fakes.remove(&daemon("delivery-2"));
    f.until(6_000, |f| f.holders("z2").len() == TARGET_SHARDS_PER_ZONE);
    let abroad = f.holders("z2");
    for d in ["delivery-1", "delivery-3"] {
        f.fakes.get_mut(&daemon(d)).unwrap().busy = true;
    }
    f.add("delivery-2", "z2");
    f.run(15_000);
    assert_eq!(f.holders("z2"), abroad);
    for d in ["delivery-1", "delivery-3"] {
        f.fakes.get_mut(&daemon(d)).unwrap().busy = false;
    }
    f.until(20_000, at_home);
}

#[test]
fn a_take_over_keeps_every_holder_and_epoch() {
    let mut f = routed();
    f.run(4_000);
    let mine = |f: &Fleet| {
        let all = f.fakes.iter();
        all.flat_map(|(d, x)| x.held.iter().map(|(y, e)| (y.clone(), d.clone(), e.0)).collect::<Vec<_>>())
            .collect::<BTreeSet<_>>()
    };
    let before = mine(&f);
    let old = f.primary().unwrap();
    f.kill(&old);
    f.until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
    f.run(10_000);
    assert_eq!(mine(&f), before);
}

#[test]
fn a_take_over_keeps_the_reach_of_a_zone_that_only_the_list_names() {
    let mut f = Fleet::listing("platform:80/instances", 0.0);
    f.stores(3);
    for n in 1..=3 {
        f.add(&format!("delivery-{n}"), &format!("z{n}"));
    }
    f.until(8_000, |f| f.calls.len() == 1);
    let far = Worker {
        id: "i-1".into(),
        service: "huvo11a".into(),
        addr: "10.0.0.9:8080".into(),
        zone: "z9".into(),
        draining: false,
        age: Span::ZERO,
        slots: 6,
        cold: Span::ZERO,
    };
    let (_, at, call, _) = f.calls.pop().unwrap();
    f.step(&at, Event::CallFinished(call, CallResult::WorkerList(ListPage { workers: vec![far], next: None })));
    f.run(4_000);
    assert_eq!(f.put(0, &first()).code, 200);
    f.until(6_000, |f| f.holders("z9").len() == TARGET_SHARDS_PER_ZONE);
    let before = f.holders("z9");
    let old = f.primary().unwrap();
    f.kill(&old);
    // The new primary has not read the list, and the platform says nothing.
    f.until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
    f.run(10_000);
    assert_eq!(f.holders("z9"), before);
}

#[test]
fn cut_apart_from_a_store_a_duty_moves_and_does_not_swing_back_and_forth() {
    let mut f = routed();
    let duty = Duty::worker_shards_in(&Zone("z2".into())).next().unwrap();
    let mut moves = 0;
    let mut last = f.reaches().get(&duty).cloned();
    // Two minutes in which store-1 and delivery-2 do not reach each other.
    for _ in 0..1200 {
        let here = f.reaches().get(&duty).cloned();
        let apart = here == Some(daemon("delivery-2"));
        f.fakes.get_mut(&daemon("store-1")).unwrap().unheard = if apart { vec![duty.clone()] } else { Vec::new() };
        if here.is_some() && here != last {
            moves += 1;
            last = here;
        }
        f.run(100);
    }
    assert!(moves > 0);
    assert!(moves <= 6, "{moves} moves in two minutes");
}
