//! Write sets that were laid out when there were few stores get more of them
//! when stores come, up to what the losses to be borne call for.
mod fleet;
use fleet::*;

const TWO_LOSSES: Tolerance = Tolerance { machines: 2, zones: 1, regions: 0 };

/// Three stores, write sets laid out, two losses to be borne.
fn narrow() -> Fleet {
    let mut f = Fleet::founded("", 0.0, TWO_LOSSES);
    f.stores(3);
    for n in 1..=3 {
        f.add(&format!("delivery-{n}"), &format!("z{n}"));
    }
    f.until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
    f.run(6_000);
    assert_eq!(f.put(0, &first()).code, 200);
    f.run(6_000);
    assert_eq!(widths(&f), BTreeSet::from([3]));
    f
}

fn widths(f: &Fleet) -> BTreeSet<usize> {
    hard(f).layout.values().map(Vec::len).collect()
}

fn zones_of(f: &Fleet, set: &[(Daemon, IncarnationId)]) -> BTreeMap<Zone, usize> {
    let mut zones = BTreeMap::new();
    for (store, _) in set {
        *zones.entry(hard(f).members[store].zone.clone()).or_default() += 1;
    }
    zones
}

#[test]
fn write_sets_grow_to_five_when_stores_come() {
    let mut f = narrow();
    f.add("store-4", "z1");
    f.run(4_000);
    assert_eq!(widths(&f), BTreeSet::from([3]), "four stores bear no more than three");
    f.add("store-5", "z2");
    f.until(6_000, |f| widths(f) == BTreeSet::from([5]));
    for set in hard(&f).layout.values() {
        assert_eq!(set.iter().map(|seat| &seat.0).collect::<BTreeSet<_>>().len(), 5, "a store twice: {set:?}");
        assert!(zones_of(&f, set).values().all(|seats| *seats <= 2), "{set:?}");
    }
    f.run(1_000);
    assert_eq!(swaps(&f), 0);
}

#[test]
fn a_set_takes_one_more_store_at_a_time() {
    let mut f = narrow();
    copying(&mut f, false);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.run(4_000);
    assert_eq!(widths(&f), BTreeSet::from([3]), "none is whole yet");
    assert_eq!(swaps(&f), 6, "one joiner for each set");
    copying(&mut f, true);
    let mut last = widths(&f);
    for _ in 0..200 {
        f.run(50);
        let now = widths(&f);
        let (was, is) = (last.last().copied().unwrap(), now.last().copied().unwrap());
        assert!(is <= was + 1, "from {was} to {is}");
        last = now;
    }
    assert_eq!(last, BTreeSet::from([5]));
}

#[test]
fn a_seat_that_has_to_move_goes_first() {
    let mut f = narrow();
    copying(&mut f, false);
    f.fakes.remove(&daemon("store-1"));
    f.run(6_000);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.fakes.values_mut().for_each(|fake| fake.copies = false);
    f.run(4_000);
    let leaving = f.fakes.values().flat_map(|fake| fake.swaps.values()).filter(|swap| swap.0 == daemon("store-1")).count();
    assert_eq!(leaving, 6, "each set replaces the store that is gone before it grows");
    copying(&mut f, true);
    f.until(8_000, |f| seats(f, "store-1") == 0);
    f.run(4_000);
    assert_eq!(widths(&f), BTreeSet::from([3]), "four stores are left");
}

#[test]
fn a_joiner_that_goes_again_holds_up_nothing() {
    let mut f = narrow();
    copying(&mut f, false);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.fakes.values_mut().for_each(|fake| fake.copies = false);
    f.run(2_000);
    f.fakes.remove(&daemon("store-4"));
    f.run(6_000);
    copying(&mut f, true);
    f.add("store-6", "z3");
    f.until(8_000, |f| widths(f) == BTreeSet::from([5]));
    assert_eq!(seats(&f, "store-4"), 0);
}
