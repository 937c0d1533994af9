//! Stores that are gone for good: other stores take their seats without an order, and
//! nothing moves for a short silence.
mod fleet;
use fleet::*;

/// A replacement has to be complete this long after the new store starts: the least time
/// to the next loss, less a margin.
const MAX_REPLACEMENT_MS: u64 = 3_000;

fn remove_daemon(f: &mut Fleet, store: &str) -> FakeDaemon {
    f.fakes.remove(&daemon(store)).expect("a daemon")
}

/// The daemon comes back with its disk, in a new incarnation.
fn return_with_disk(f: &mut Fleet, mut fake: FakeDaemon) {
    fake.member.incarnation = IncarnationId(fake.member.incarnation.0 + 1);
    fake.held.clear();
    fake.replacements.clear();
    f.fakes.insert(fake.member.id.clone(), fake);
}

/// A fleet in which `store-4` is to take all seats of `store-1`, which is gone, but no
/// copy becomes complete; and the store that is gone.
fn replacement_in_progress() -> (Fleet, FakeDaemon) {
    let mut f = serving_with_stores(3);
    set_copying(&mut f, false);
    let fake = remove_daemon(&mut f, "store-1");
    f.run(3_000);
    f.add("store-4", "z1");
    f.fakes.get_mut(&daemon("store-4")).unwrap().copies_at_once = false;
    f.run_until(MAX_REPLACEMENT_MS, |f| replacement_count(f) == 6);
    (f, fake)
}

#[test]
fn a_replacement_gets_the_seats_of_the_store_that_is_gone() {
    let mut f = serving_with_stores(3);
    let all = seat_count(&f, "store-1");
    assert_eq!(all, 6);
    remove_daemon(&mut f, "store-1");
    f.run(3_000);
    assert_eq!(seat_count(&f, "store-1"), all, "no other store could take them");
    f.add("store-4", "z1");
    let took = f.run_until(MAX_REPLACEMENT_MS, |f| seat_count(f, "store-1") == 0);
    assert_eq!(seat_count(&f, "store-4"), all, "after {took} ms");
}

#[test]
fn spares_take_the_seats_of_a_store_that_stays_away() {
    let mut f = serving_with_stores(6);
    assert!(seat_count(&f, "store-1") > 0);
    remove_daemon(&mut f, "store-1");
    f.run_until(8_000, |f| seat_count(f, "store-1") == 0);
    for set in state(&f).layout.values() {
        let zones: BTreeSet<&Zone> = set.iter().map(|s| &state(&f).members[&s.0].zone).collect();
        assert_eq!(zones.len(), 3, "{set:?}");
    }
}

#[test]
fn a_short_restart_moves_nothing_where_there_are_spares() {
    let mut f = serving_with_stores(6);
    f.run(10_000);
    let before = state(&f).layout.clone();
    for _ in 0..3 {
        let fake = remove_daemon(&mut f, "store-1");
        for _ in 0..40 {
            f.run(50);
            assert_eq!(replacement_count(&f), 0);
        }
        return_with_disk(&mut f, fake);
        f.run(1_000);
    }
    assert_eq!(state(&f).layout, before);
}

#[test]
fn a_store_that_comes_back_in_time_keeps_its_seats() {
    let (mut f, fake) = replacement_in_progress();
    return_with_disk(&mut f, fake);
    f.run_until(1_500, |f| replacement_count(f) == 0);
    set_copying(&mut f, true);
    f.run(2_000);
    assert_eq!((seat_count(&f, "store-1"), seat_count(&f, "store-4")), (6, 0));
}

#[test]
fn a_store_that_comes_back_later_is_one_without_those_seats() {
    let mut f = serving_with_stores(3);
    let fake = remove_daemon(&mut f, "store-1");
    f.run(3_000);
    f.add("store-4", "z1");
    f.run_until(MAX_REPLACEMENT_MS, |f| seat_count(f, "store-1") == 0);
    return_with_disk(&mut f, fake);
    f.run(4_000);
    assert_eq!((seat_count(&f, "store-1"), replacement_count(&f)), (0, 0));
    // It is now the spare that takes the seats of the next store that is lost.
    remove_daemon(&mut f, "store-4");
    f.run_until(9_000, |f| seat_count(f, "store-1") == 6);
}

#[test]
fn a_copy_made_under_an_earlier_replacement_is_not_counted() {
    let (mut f, fake) = replacement_in_progress();
    let old: BTreeMap<PartitionId, Version> =
        f.fakes.values().flat_map(|x| x.replacements.iter().map(|(p, s)| (p.clone(), s.2))).collect();
    return_with_disk(&mut f, fake);
    f.run_until(1_500, |f| replacement_count(f) == 0);
    remove_daemon(&mut f, "store-1");
    f.run_until(6_000, |f| replacement_count(f) == 6);
    let primary = f.primary().unwrap();
    let leaders: Vec<Daemon> = f.fakes.values().filter(|x| !x.replacements.is_empty()).map(|x| x.member.id.clone()).collect();
    for leader in leaders {
        let fake = &f.fakes[&leader];
        let partitions: Vec<PartitionId> = fake.replacements.keys().cloned().collect();
        let complete_copies = partitions.iter().map(|p| (p.clone(), daemon("store-4"), disk_of("store-4"))).collect();
        let replacement_numbers = partitions.iter().map(|p| (p.clone(), old[p])).collect();
        let report = Report { complete_copies, replacement_numbers, ..Report::default() };
        let last_answered = (f.cores[&primary].election.term(), f.now);
        let message = PeerMessage::Pull {
            requested_at: f.now,
            last_answered,
            held_versions: VersionVector::default(),
            member: fake.member.clone(),
            report: Some(report),
            reads_compressed: false,
        };
        f.step(&primary, Event::MessageReceived { from: leader, message });
    }
    assert_eq!((seat_count(&f, "store-1"), seat_count(&f, "store-4")), (6, 0));
    set_copying(&mut f, true);
    f.run_until(3_000, |f| seat_count(f, "store-4") == 6);
}

#[test]
fn no_seat_moves_into_a_zone_that_has_one_already() {
    let mut f = serving_with_stores(3);
    remove_daemon(&mut f, "store-1");
    f.add("store-4", "z2");
    f.run(15_000);
    assert_eq!((seat_count(&f, "store-1"), seat_count(&f, "store-4")), (6, 0));
    f.add("store-5", "z1");
    f.run_until(MAX_REPLACEMENT_MS, |f| seat_count(f, "store-5") == 6);
}

#[test]
fn a_primary_that_was_frozen_replaces_nobody() {
    let mut f = serving_with_stores(6);
    let before = state(&f).layout.clone();
    f.now += Span::secs(20);
    f.run_until(8_000, |f| f.primary().is_some());
    for _ in 0..30 {
        f.run(50);
        assert_eq!(replacement_count(&f), 0);
    }
    assert_eq!(state(&f).layout, before);
}

#[test]
fn a_pause_of_the_primary_does_not_count_as_silence_of_others() {
    let mut f = serving_with_stores(6);
    let before = state(&f).layout.clone();
    let primary = f.primary().unwrap();
    remove_daemon(&mut f, "store-1");
    f.run(4_600);
    assert_eq!(replacement_count(&f), 0);
    // Too short for an election: the same primary goes on.
    f.now += Span::millis(700);
    for _ in 0..60 {
        f.run(50);
        assert_eq!((f.primary(), replacement_count(&f)), (Some(primary.clone()), 0));
    }
    assert_eq!(state(&f).layout, before);
    f.run_until(6_000, |f| seat_count(f, "store-1") == 0);
}

#[test]
fn the_replacement_goes_on_under_the_next_primary() {
    let mut f = serving_with_stores(3);
    remove_daemon(&mut f, "store-1");
    f.run(3_000);
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.add("store-4", "z1");
    f.run_until(9_000, |f| f.primary().is_some() && seat_count(f, "store-1") == 0);
    assert_eq!(seat_count(&f, "store-4"), 6);
}

#[test]
fn a_daemon_that_is_gone_for_good_is_removed_until_it_pulls_again() {
    let mut f = Fleet::serving();
    let fake = remove_daemon(&mut f, "delivery-1");
    f.run(25_000);
    assert!(state(&f).members.contains_key(&daemon("delivery-1")));
    f.run_until(8_000, |f| !state(f).members.contains_key(&daemon("delivery-1")));
    return_with_disk(&mut f, fake);
    f.run_until(1_500, |f| state(f).members.contains_key(&daemon("delivery-1")));
}

#[test]
fn a_store_with_seats_is_never_removed() {
    let mut f = serving_with_stores(3);
    remove_daemon(&mut f, "store-1");
    f.run(40_000);
    assert!(state(&f).members.contains_key(&daemon("store-1")));
}

#[test]
fn a_failover_does_not_wait_for_a_store_that_is_gone_for_good() {
    let mut f = Fleet::serving();
    f.add("store-4", "z1");
    f.run(2_000);
    remove_daemon(&mut f, "store-4");
    f.run_until(40_000, |f| !state(f).members.contains_key(&daemon("store-4")));
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.run_until(8_000, |f| f.primary().is_some());
    // Reports are collected for up to a second; every remaining daemon pulls within
    // 400 ms.
    f.run_until(700, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
}

fn tolerating_two_losses(stores: usize) -> Fleet {
    let tolerates = Tolerance { machines: 2, ..Tolerance::default() };
    let mut f = Fleet::with_settings("", 0.0, tolerates);
    f.add_stores(stores);
    f.run_until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
    f.run(4_000);
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    f.run(4_000);
    f
}

#[test]
fn write_sets_are_as_large_as_the_tolerated_losses_require() {
    for (stores, width) in [(3, 3), (4, 3), (5, 5), (9, 5)] {
        let f = tolerating_two_losses(stores);
        let layout = &state(&f).layout;
        assert!(!layout.is_empty());
        for set in layout.values() {
            let mut zones: BTreeMap<&Zone, usize> = BTreeMap::new();
            for (store, _) in set {
                *zones.entry(&state(&f).members[store].zone).or_default() += 1;
            }
            assert_eq!(set.len(), width, "of {stores} stores: {set:?}");
            assert!(zones.values().all(|n| *n <= 2), "{zones:?}");
        }
    }
}

#[test]
fn a_machine_that_the_largest_write_set_needs_is_not_retired() {
    let mut f = tolerating_two_losses(5);
    let machine = "machine-of-store-1".to_string();
    assert_eq!(f.request(ApiRequest::RetireMachine { machine: machine.clone() }).code, 409);
    f.add("store-6", "z3");
    f.run(2_000);
    assert_eq!(f.request(ApiRequest::RetireMachine { machine }).code, 200);
    f.run_until(6_000, |f| seat_count(f, "store-1") == 0);
}

/// The partitions that a store leads, with their epochs.
fn led_partitions(fake: &FakeDaemon) -> BTreeMap<Duty, Epoch> {
    let led = fake.held.iter().filter(|(duty, _)| matches!(duty, Duty::Lead(_)));
    led.map(|(duty, (epoch, _))| (duty.clone(), *epoch)).collect()
}

/// Whether each of these partitions is led by exactly one store, of its write set.
fn led_in_their_write_sets(f: &Fleet, duties: &BTreeMap<Duty, Epoch>) -> bool {
    duties.keys().all(|duty| {
        let Duty::Lead(partition) = duty else { return false };
        let in_write_set = |store: &Daemon| state(f).layout[partition].iter().any(|seat| seat.0 == *store);
        let holders: Vec<&FakeDaemon> = f.fakes.values().filter(|x| x.held.contains_key(duty)).collect();
        holders.len() == 1 && in_write_set(&holders[0].member.id)
    })
}

/// A fleet in which `store-4` took all seats of `store-1`, which is back with its disk;
/// and the partitions that `store-1` led before.
fn replaced_and_back() -> (Fleet, BTreeMap<Duty, Epoch>) {
    let mut f = serving_with_stores(3);
    let fake = remove_daemon(&mut f, "store-1");
    let before = led_partitions(&fake);
    assert!(!before.is_empty());
    f.run(3_000);
    f.add("store-4", "z1");
    f.run_until(MAX_REPLACEMENT_MS, |f| seat_count(f, "store-1") == 0);
    f.run_until(4_000, |f| led_in_their_write_sets(f, &before));
    return_with_disk(&mut f, fake);
    (f, before)
}

#[test]
fn the_checkpoint_of_a_store_that_was_replaced_is_not_believed_at_a_take_over() {
    let (mut f, before) = replaced_and_back();
    f.fakes.get_mut(&daemon("store-1")).unwrap().checkpoint = before.clone();
    f.run(1_000);
    // A new leader of these partitions is lost together with the primary.
    let holder = |x: &&FakeDaemon| before.keys().any(|duty| x.held.contains_key(duty));
    let holders: Vec<Daemon> = f.fakes.values().filter(holder).map(|x| x.member.id.clone()).collect();
    remove_daemon(&mut f, holders[0].as_str());
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.run_until(9_000, |f| f.primary().is_some());
    f.run_until(9_000, |f| led_in_their_write_sets(f, &before));
}

#[test]
fn a_claim_of_a_store_that_was_replaced_is_not_adopted_while_serving() {
    let (mut f, before) = replaced_and_back();
    // A new primary learns of no holder: all stores of the write sets are gone.
    let gone: Vec<FakeDaemon> = ["store-2", "store-3", "store-4"].map(|store| remove_daemon(&mut f, store)).into();
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.run_until(9_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
    // Whatever this store claims, its copy doesn't count any more.
    let far_end = f.now + Span::secs(60);
    let claims = before.iter().map(|(duty, epoch)| (duty.clone(), (*epoch, far_end))).collect();
    f.fakes.get_mut(&daemon("store-1")).unwrap().held = claims;
    f.run(1_000);
    for fake in gone {
        return_with_disk(&mut f, fake);
    }
    f.run(8_000);
    f.fakes.get_mut(&daemon("store-1")).unwrap().held.retain(|_, held| held.1 != far_end);
    f.run_until(1_000, |f| led_in_their_write_sets(f, &before));
}
