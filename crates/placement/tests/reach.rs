//! Target shards: which ones there are, which deliveries get them, and that they seldom
//! move.
mod fleet;
use fleet::*;

/// A serving fleet with routes, in which all target shards are held.
fn serving_with_routes() -> Fleet {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    f.run_until(6_000, |f| f.target_shard_holders().len() == 3 * TARGET_SHARDS_PER_ZONE + 2 * TARGET_SHARDS_PER_ZONE);
    f
}

/// Whether each zone's worker shards are held by the delivery in that zone.
fn all_in_their_zones(f: &Fleet) -> bool {
    (1..=3).all(|n| f.worker_shard_holders(&format!("z{n}")) == vec![daemon(&format!("delivery-{n}")); TARGET_SHARDS_PER_ZONE])
}

#[test]
fn without_routes_there_are_no_target_shards() {
    let mut f = Fleet::serving();
    f.run(5_000);
    assert!(f.target_shard_holders().is_empty());
    let primary = f.primary().unwrap();
    assert!(!f.cores[&primary].duties().iter().any(|d| matches!(d, Duty::TargetShard(_))));
}

#[test]
fn worker_shards_go_to_deliveries_of_their_zone_and_address_shards_are_balanced() {
    let f = serving_with_routes();
    assert!(all_in_their_zones(&f), "{:?}", f.target_shard_holders());
    let all = f.target_shard_holders();
    for n in 1..=3 {
        let held = Duty::unlisted_address_shards().filter(|d| all[d] == daemon(&format!("delivery-{n}"))).count();
        assert!((2..=3).contains(&held), "delivery-{n} has {held}");
    }
    let primary = f.primary().unwrap();
    let leads = f.cores[&primary].duties().iter().filter(|d| matches!(d, Duty::Lead(_))).count();
    assert_eq!(leads, 6);
}

#[test]
fn two_deliveries_of_a_zone_share_its_shards() {
    let mut f = Fleet::serving();
    f.add("delivery-4", "z1");
    f.run(4_000);
    f.put_config(0, &first_config());
    f.run(8_000);
    let held = f.worker_shard_holders("z1");
    assert_eq!(held.len(), TARGET_SHARDS_PER_ZONE);
    assert!(held.contains(&daemon("delivery-1")) && held.contains(&daemon("delivery-4")), "{held:?}");
}

#[test]
fn shards_of_a_zone_without_a_delivery_are_held_elsewhere_and_return_to_a_new_one() {
    let mut f = serving_with_routes();
    f.fakes.remove(&daemon("delivery-2"));
    f.run_until(6_000, |f| f.worker_shard_holders("z2").len() == TARGET_SHARDS_PER_ZONE);
    assert!(f.target_shard_holders().values().all(|d| *d != daemon("delivery-2")));
    f.add("delivery-2", "z2");
    // Worker shards don't return before it has been live for a while. Address shards
    // belong to no zone: they are balanced meanwhile, one at a time.
    for _ in 0..40 {
        f.run(50);
        let requested: Vec<Duty> = f.fakes.values().flat_map(|x| x.requested_back.iter().cloned()).collect();
        assert!(requested.iter().all(|d| Duty::unlisted_address_shards().any(|a| a == *d)), "{requested:?}");
        assert!(requested.len() <= 1, "{requested:?}");
    }
    // Then they return, two at a time.
    let end = f.now + Span::secs(20);
    let mut most = 0;
    while f.now < end && !all_in_their_zones(&f) {
        most = most.max(f.fakes.values().map(|x| x.requested_back.len()).sum());
        f.run(50);
    }
    assert!(all_in_their_zones(&f), "{:?}", f.target_shard_holders());
    assert!(most <= 2, "{most} were requested back at once");
}

#[test]
fn shards_held_in_their_own_zone_do_not_move() {
    let mut f = serving_with_routes();
    f.run(10_000);
    let before = f.target_shard_holders();
    for _ in 0..60 {
        f.run(1_000);
        assert!(f.fakes.values().all(|x| x.requested_back.is_empty()));
        assert_eq!(f.target_shard_holders(), before);
    }
}

#[test]
fn a_busy_holder_in_another_zone_is_asked_and_never_forced() {
    let mut f = serving_with_routes();
    f.fakes.remove(&daemon("delivery-2"));
    f.run_until(6_000, |f| f.worker_shard_holders("z2").len() == TARGET_SHARDS_PER_ZONE);
    let holders = f.worker_shard_holders("z2");
    for d in ["delivery-1", "delivery-3"] {
        f.fakes.get_mut(&daemon(d)).unwrap().busy = true;
    }
    f.add("delivery-2", "z2");
    f.run(15_000);
    assert_eq!(f.worker_shard_holders("z2"), holders);
    for d in ["delivery-1", "delivery-3"] {
        f.fakes.get_mut(&daemon(d)).unwrap().busy = false;
    }
    f.run_until(20_000, all_in_their_zones);
}

#[test]
fn a_failover_keeps_every_holder_and_epoch() {
    let mut f = serving_with_routes();
    f.run(4_000);
    let grants = |f: &Fleet| {
        let all = f.fakes.iter();
        all.flat_map(|(d, x)| x.held.iter().map(|(duty, held)| (duty.clone(), d.clone(), held.0)).collect::<Vec<_>>())
            .collect::<BTreeSet<_>>()
    };
    let before = grants(&f);
    let old_primary = f.primary().unwrap();
    f.kill(&old_primary);
    f.run_until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
    f.run(10_000);
    assert_eq!(grants(&f), before);
}

#[test]
fn a_failover_keeps_the_shards_of_a_zone_that_only_the_worker_list_names() {
    let mut f = Fleet::with_worker_list("platform:80/instances", 0.0);
    f.add_stores(3);
    for n in 1..=3 {
        f.add(&format!("delivery-{n}"), &format!("z{n}"));
    }
    f.run_until(8_000, |f| f.calls.len() == 1);
    let worker = Worker {
        id: "i-1".into(),
        service: "huvo11a".into(),
        addr: "10.0.0.9:8080".into(),
        zone: "z9".into(),
        draining: false,
        age: Span::ZERO,
        slots: 6,
        remaining_warm_up: Span::ZERO,
    };
    let (_, caller, call, _) = f.calls.pop().unwrap();
    f.step(&caller, Event::CallFinished(call, CallResult::WorkerList(ListPage { workers: vec![worker], next: None })));
    f.run(4_000);
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    f.run_until(6_000, |f| f.worker_shard_holders("z9").len() == TARGET_SHARDS_PER_ZONE);
    let before = f.worker_shard_holders("z9");
    let old_primary = f.primary().unwrap();
    f.kill(&old_primary);
    // The new primary has not read the worker list, and the platform doesn't answer it.
    f.run_until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
    f.run(10_000);
    assert_eq!(f.worker_shard_holders("z9"), before);
}

#[test]
fn a_duty_moves_from_a_holder_that_a_store_cannot_reach_and_does_not_oscillate() {
    let mut f = serving_with_routes();
    let duty = Duty::worker_shards_in(&Zone("z2".into())).next().unwrap();
    let mut moves = 0;
    let mut last = f.target_shard_holders().get(&duty).cloned();
    // Two minutes in which store-1 and delivery-2 do not reach each other.
    for _ in 0..1200 {
        let holder = f.target_shard_holders().get(&duty).cloned();
        let unreachable = holder == Some(daemon("delivery-2"));
        f.fakes.get_mut(&daemon("store-1")).unwrap().unreachable_holders =
            if unreachable { vec![duty.clone()] } else { Vec::new() };
        if holder.is_some() && holder != last {
            moves += 1;
            last = holder;
        }
        f.run(100);
    }
    assert!(moves > 0);
    assert!(moves <= 6, "{moves} moves in two minutes");
}
