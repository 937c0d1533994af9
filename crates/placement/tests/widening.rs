//! Write sets that were created when there were few stores grow when stores join, up to
//! the size that the tolerated losses require.
mod fleet;
use fleet::*;

const TWO_LOSSES: Tolerance = Tolerance { machines: 2, zones: 1, regions: 0 };

/// A fleet with three stores and write sets of three that has to tolerate two losses.
fn with_write_sets_of_three() -> Fleet {
    let mut f = Fleet::with_settings("", 0.0, TWO_LOSSES);
    f.add_stores(3);
    for n in 1..=3 {
        f.add(&format!("delivery-{n}"), &format!("z{n}"));
    }
    f.run_until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
    f.run(6_000);
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    f.run(6_000);
    assert_eq!(write_set_sizes(&f), BTreeSet::from([3]));
    f
}

/// The sizes of all write sets.
fn write_set_sizes(f: &Fleet) -> BTreeSet<usize> {
    state(f).layout.values().map(Vec::len).collect()
}

/// How many stores of a write set are in each zone.
fn stores_per_zone(f: &Fleet, set: &[(Daemon, IncarnationId)]) -> BTreeMap<Zone, usize> {
    let mut zones = BTreeMap::new();
    for (store, _) in set {
        *zones.entry(state(f).members[store].zone.clone()).or_default() += 1;
    }
    zones
}

#[test]
fn write_sets_grow_to_five_when_stores_come() {
    let mut f = with_write_sets_of_three();
    f.add("store-4", "z1");
    f.run(4_000);
    assert_eq!(write_set_sizes(&f), BTreeSet::from([3]), "four stores tolerate no more losses than three");
    f.add("store-5", "z2");
    f.run_until(6_000, |f| write_set_sizes(f) == BTreeSet::from([5]));
    for set in state(&f).layout.values() {
        assert_eq!(set.iter().map(|seat| &seat.0).collect::<BTreeSet<_>>().len(), 5, "a store twice: {set:?}");
        assert!(stores_per_zone(&f, set).values().all(|count| *count <= 2), "{set:?}");
    }
    f.run(1_000);
    assert_eq!(replacement_count(&f), 0);
}

#[test]
fn a_write_set_takes_one_more_store_at_a_time() {
    let mut f = with_write_sets_of_three();
    set_copying(&mut f, false);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.run(4_000);
    assert_eq!(write_set_sizes(&f), BTreeSet::from([3]), "no copy is complete yet");
    assert_eq!(replacement_count(&f), 6, "one joining store for each write set");
    set_copying(&mut f, true);
    let mut last = write_set_sizes(&f);
    for _ in 0..200 {
        f.run(50);
        let now = write_set_sizes(&f);
        let (before, after) = (last.last().copied().unwrap(), now.last().copied().unwrap());
        assert!(after <= before + 1, "from {before} to {after}");
        last = now;
    }
    assert_eq!(last, BTreeSet::from([5]));
}

#[test]
fn a_store_that_is_gone_is_replaced_before_its_write_sets_grow() {
    let mut f = with_write_sets_of_three();
    set_copying(&mut f, false);
    f.fakes.remove(&daemon("store-1"));
    f.run(6_000);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.fakes.values_mut().for_each(|fake| fake.copies_at_once = false);
    f.run(4_000);
    let leaving = f.fakes.values().flat_map(|fake| fake.replacements.values()).filter(|swap| swap.0 == daemon("store-1")).count();
    assert_eq!(leaving, 6, "each write set replaces the store that is gone before it grows");
    set_copying(&mut f, true);
    f.run_until(8_000, |f| seat_count(f, "store-1") == 0);
    f.run(4_000);
    assert_eq!(write_set_sizes(&f), BTreeSet::from([3]), "four stores are left");
}

#[test]
fn a_joining_store_that_is_lost_delays_nothing() {
    let mut f = with_write_sets_of_three();
    set_copying(&mut f, false);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.fakes.values_mut().for_each(|fake| fake.copies_at_once = false);
    f.run(2_000);
    f.fakes.remove(&daemon("store-4"));
    f.run(6_000);
    set_copying(&mut f, true);
    f.add("store-6", "z3");
    f.run_until(8_000, |f| write_set_sizes(f) == BTreeSet::from([5]));
    assert_eq!(seat_count(&f, "store-4"), 0);
}
