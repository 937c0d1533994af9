//! Stores that are gone for good: their seats find new homes by themselves,
//! and nothing moves for a short silence.
mod fleet;
use fleet::*;

/// The bound from a replacement's start to the next loss, less a margin.
const REPLACED_MS: u64 = 3_000;

fn lose(f: &mut Fleet, store: &str) -> Fake {
    f.fakes.remove(&daemon(store)).expect("a daemon")
}

/// The daemon comes back with its disk, in a new life.
fn return_with_disk(f: &mut Fleet, mut fake: Fake) {
    fake.me.incarnation = IncarnationId(fake.me.incarnation.0 + 1);
    fake.held.clear();
    fake.swaps.clear();
    f.fakes.insert(fake.me.id.clone(), fake);
}

/// A fleet in which `store-4` is to take all seats of `store-1`, which is gone,
/// and no copy is made; and the one that is gone.
fn replacement_under_way() -> (Fleet, Fake) {
    let mut f = spooled(3);
    copying(&mut f, false);
    let fake = lose(&mut f, "store-1");
    f.run(3_000);
    f.add("store-4", "z1");
    f.fakes.get_mut(&daemon("store-4")).unwrap().copies = false;
    f.until(REPLACED_MS, |f| swaps(f) == 6);
    (f, fake)
}

#[test]
fn a_replacement_gets_the_seats_of_the_store_that_is_gone() {
    let mut f = spooled(3);
    let all = seats(&f, "store-1");
    assert_eq!(all, 6);
    lose(&mut f, "store-1");
    f.run(3_000);
    assert_eq!(seats(&f, "store-1"), all, "nobody could take them");
    f.add("store-4", "z1");
    let took = f.until(REPLACED_MS, |f| seats(f, "store-1") == 0);
    assert_eq!(seats(&f, "store-4"), all, "after {took} ms");
}

#[test]
fn spares_take_the_seats_of_a_store_that_stays_away() {
    let mut f = spooled(6);
    assert!(seats(&f, "store-1") > 0);
    lose(&mut f, "store-1");
    f.until(8_000, |f| seats(f, "store-1") == 0);
    for set in hard(&f).layout.values() {
        let zones: BTreeSet<&Zone> = set.iter().map(|s| &hard(&f).members[&s.0].zone).collect();
        assert_eq!(zones.len(), 3, "{set:?}");
    }
}

#[test]
fn a_short_restart_moves_nothing_where_there_are_spares() {
    let mut f = spooled(6);
    f.run(10_000);
    let before = hard(&f).layout.clone();
    for _ in 0..3 {
        let fake = lose(&mut f, "store-1");
        for _ in 0..40 {
            f.run(50);
            assert_eq!(swaps(&f), 0);
        }
        return_with_disk(&mut f, fake);
        f.run(1_000);
    }
    assert_eq!(hard(&f).layout, before);
}

#[test]
fn a_store_that_comes_back_in_time_keeps_its_seats() {
    let (mut f, fake) = replacement_under_way();
    return_with_disk(&mut f, fake);
    f.until(1_500, |f| swaps(f) == 0);
    copying(&mut f, true);
    f.run(2_000);
    assert_eq!((seats(&f, "store-1"), seats(&f, "store-4")), (6, 0));
}

#[test]
fn a_store_that_comes_back_later_is_one_without_those_seats() {
    let mut f = spooled(3);
    let fake = lose(&mut f, "store-1");
    f.run(3_000);
    f.add("store-4", "z1");
    f.until(REPLACED_MS, |f| seats(f, "store-1") == 0);
    return_with_disk(&mut f, fake);
    f.run(4_000);
    assert_eq!((seats(&f, "store-1"), swaps(&f)), (0, 0));
    // It is the spare that takes over from the next one lost.
    lose(&mut f, "store-4");
    f.until(9_000, |f| seats(f, "store-1") == 6);
}

#[test]
fn a_copy_made_under_an_earlier_replacement_is_not_counted() {
    let (mut f, fake) = replacement_under_way();
    let old: BTreeMap<PartitionId, Version> =
        f.fakes.values().flat_map(|x| x.swaps.iter().map(|(p, s)| (p.clone(), s.2))).collect();
    return_with_disk(&mut f, fake);
    f.until(1_500, |f| swaps(f) == 0);
    lose(&mut f, "store-1");
    f.until(6_000, |f| swaps(f) == 6);
    let primary = f.primary().unwrap();
    let leaders: Vec<Daemon> = f.fakes.values().filter(|x| !x.swaps.is_empty()).map(|x| x.me.id.clone()).collect();
    for leader in leaders {
        let fake = &f.fakes[&leader];
        let places: Vec<PartitionId> = fake.swaps.keys().cloned().collect();
        let whole = places.iter().map(|p| (p.clone(), daemon("store-4"), disk_of("store-4"))).collect();
        let swaps = places.iter().map(|p| (p.clone(), old[p])).collect();
        let report = Report { complete_copies: whole, replacement_numbers: swaps, ..Report::default() };
        let heard = (f.cores[&primary].election.term(), f.now);
        let msg = PeerMessage::Pull {
            requested_at: f.now,
            last_answered: heard,
            held_versions: VersionVector::default(),
            member: fake.me.clone(),
            report: Some(report),
            reads_compressed: false,
        };
        f.step(&primary, Event::MessageReceived { from: leader, message: msg });
    }
    assert_eq!((seats(&f, "store-1"), seats(&f, "store-4")), (6, 0));
    copying(&mut f, true);
    f.until(3_000, |f| seats(f, "store-4") == 6);
}

#[test]
fn no_seat_moves_into_a_zone_that_has_one_already() {
    let mut f = spooled(3);
    lose(&mut f, "store-1");
    f.add("store-4", "z2");
    f.run(15_000);
    assert_eq!((seats(&f, "store-1"), seats(&f, "store-4")), (6, 0));
    f.add("store-5", "z1");
    f.until(REPLACED_MS, |f| seats(f, "store-5") == 6);
}

#[test]
fn a_primary_that_was_frozen_replaces_nobody() {
    let mut f = spooled(6);
    let before = hard(&f).layout.clone();
    f.now += Span::secs(20);
    f.until(8_000, |f| f.primary().is_some());
    for _ in 0..30 {
        f.run(50);
        assert_eq!(swaps(&f), 0);
    }
    assert_eq!(hard(&f).layout, before);
}

#[test]
fn a_pause_of_the_primary_is_no_silence_of_others() {
    let mut f = spooled(6);
    let before = hard(&f).layout.clone();
    let primary = f.primary().unwrap();
    lose(&mut f, "store-1");
    f.run(4_600);
    assert_eq!(swaps(&f), 0);
    // Too short for an election: the same primary goes on.
    f.now += Span::millis(700);
    for _ in 0..60 {
        f.run(50);
        assert_eq!((f.primary(), swaps(&f)), (Some(primary.clone()), 0));
    }
    assert_eq!(hard(&f).layout, before);
    f.until(6_000, |f| seats(f, "store-1") == 0);
}

#[test]
fn the_replacement_goes_on_under_the_next_primary() {
    let mut f = spooled(3);
    lose(&mut f, "store-1");
    f.run(3_000);
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.add("store-4", "z1");
    f.until(9_000, |f| f.primary().is_some() && seats(f, "store-1") == 0);
    assert_eq!(seats(&f, "store-4"), 6);
}

#[test]
fn who_is_gone_for_good_is_a_member_no_more_until_heard_again() {
    let mut f = Fleet::whole();
    let fake = lose(&mut f, "delivery-1");
    f.run(25_000);
    assert!(hard(&f).members.contains_key(&daemon("delivery-1")));
    f.until(8_000, |f| !hard(f).members.contains_key(&daemon("delivery-1")));
    return_with_disk(&mut f, fake);
    f.until(1_500, |f| hard(f).members.contains_key(&daemon("delivery-1")));
}

#[test]
fn a_store_with_seats_is_never_forgotten() {
    let mut f = spooled(3);
    lose(&mut f, "store-1");
    f.run(40_000);
    assert!(hard(&f).members.contains_key(&daemon("store-1")));
}

#[test]
fn a_take_over_does_not_wait_for_one_that_is_gone_for_good() {
    let mut f = Fleet::whole();
    f.add("store-4", "z1");
    f.run(2_000);
    lose(&mut f, "store-4");
    f.until(40_000, |f| !hard(f).members.contains_key(&daemon("store-4")));
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.until(8_000, |f| f.primary().is_some());
    // The window is a second; every daemon that is left pulls within 400 ms.
    f.until(700, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
}

fn bearing_two(stores: usize) -> Fleet {
    let tolerates = Tolerance { machines: 2, ..Tolerance::default() };
    let mut f = Fleet::founded("", 0.0, tolerates);
    f.stores(stores);
    f.until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
    f.run(4_000);
    assert_eq!(f.put(0, &first()).code, 200);
    f.run(4_000);
    f
}

#[test]
fn a_write_set_is_as_wide_as_the_losses_to_be_borne_call_for() {
    for (stores, width) in [(3, 3), (4, 3), (5, 5), (9, 5)] {
        let f = bearing_two(stores);
        let layout = &hard(&f).layout;
        assert!(!layout.is_empty());
        for set in layout.values() {
            let mut zones: BTreeMap<&Zone, usize> = BTreeMap::new();
            for (store, _) in set {
                *zones.entry(&hard(&f).members[store].zone).or_default() += 1;
            }
            assert_eq!(set.len(), width, "of {stores} stores: {set:?}");
            assert!(zones.values().all(|n| *n <= 2), "{zones:?}");
        }
    }
}

#[test]
fn a_machine_that_the_widest_set_needs_is_not_retired() {
    let mut f = bearing_two(5);
    let machine = "machine-of-store-1".to_string();
    assert_eq!(f.ask(ApiRequest::RetireMachine { machine: machine.clone() }).code, 409);
    f.add("store-6", "z3");
    f.run(2_000);
    assert_eq!(f.ask(ApiRequest::RetireMachine { machine }).code, 200);
    f.until(6_000, |f| seats(f, "store-1") == 0);
}

/// The partitions that a store keeps, with their epochs.
fn kept(fake: &Fake) -> BTreeMap<Duty, Epoch> {
    let led = fake.held.iter().filter(|(duty, _)| matches!(duty, Duty::Lead(_)));
    led.map(|(duty, (epoch, _))| (duty.clone(), *epoch)).collect()
}

/// Whether each of these partitions is kept by a store that has a seat in it.
fn kept_in_their_write_sets(f: &Fleet, duties: &BTreeMap<Duty, Epoch>) -> bool {
    duties.keys().all(|duty| {
        let Duty::Lead(place) = duty else { return false };
        let seated = |store: &Daemon| hard(f).layout[place].iter().any(|seat| seat.0 == *store);
        let holders: Vec<&Fake> = f.fakes.values().filter(|x| x.held.contains_key(duty)).collect();
        holders.len() == 1 && seated(&holders[0].me.id)
    })
}

/// A fleet in which `store-4` took all seats of `store-1`, which is back with
/// its disk; and what that one kept before.
fn replaced_and_back() -> (Fleet, BTreeMap<Duty, Epoch>) {
    let mut f = spooled(3);
    let fake = lose(&mut f, "store-1");
    let before = kept(&fake);
    assert!(!before.is_empty());
    f.run(3_000);
    f.add("store-4", "z1");
    f.until(REPLACED_MS, |f| seats(f, "store-1") == 0);
    f.until(4_000, |f| kept_in_their_write_sets(f, &before));
    return_with_disk(&mut f, fake);
    (f, before)
}

#[test]
fn the_checkpoint_of_a_store_that_was_replaced_is_not_believed_at_a_take_over() {
    let (mut f, before) = replaced_and_back();
    f.fakes.get_mut(&daemon("store-1")).unwrap().checkpoint = before.clone();
    f.run(1_000);
    // Its successors at these partitions are lost together with the primary.
    let holder = |x: &&Fake| before.keys().any(|duty| x.held.contains_key(duty));
    let holders: Vec<Daemon> = f.fakes.values().filter(holder).map(|x| x.me.id.clone()).collect();
    lose(&mut f, holders[0].as_str());
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.until(9_000, |f| f.primary().is_some());
    f.until(9_000, |f| kept_in_their_write_sets(f, &before));
}

#[test]
fn a_claim_of_a_store_that_was_replaced_is_not_adopted_while_serving() {
    let (mut f, before) = replaced_and_back();
    // A new primary hears of no holder: all stores of the write sets are gone.
    let gone: Vec<Fake> = ["store-2", "store-3", "store-4"].map(|store| lose(&mut f, store)).into();
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.until(9_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
    // Whatever this one says it holds, it has no copy that counts.
    let long = f.now + Span::secs(60);
    let claims = before.iter().map(|(duty, epoch)| (duty.clone(), (*epoch, long))).collect();
    f.fakes.get_mut(&daemon("store-1")).unwrap().held = claims;
    f.run(1_000);
    for fake in gone {
        return_with_disk(&mut f, fake);
    }
    f.run(8_000);
    f.fakes.get_mut(&daemon("store-1")).unwrap().held.retain(|_, held| held.1 != long);
    f.until(1_000, |f| kept_in_their_write_sets(f, &before));
}
