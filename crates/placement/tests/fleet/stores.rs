//! What tests of write sets ask of a fleet. A seat is a store's place in the write set
//! of one partition.
use super::*;

/// A fleet with this many stores in three zones, and a configuration in force.
pub fn serving_with_stores(stores: usize) -> Fleet {
    let mut f = Fleet::serving();
    for n in 4..=stores {
        f.add(&format!("store-{n}"), &format!("z{}", (n - 1) % 3 + 1));
    }
    f.run(2_000);
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    f.run(6_000);
    f
}

/// The applied state of the primary.
pub fn state(f: &Fleet) -> &PlacementState {
    &f.cores[&f.primary().expect("a primary")].committed
}

/// How many seats a store has.
pub fn seat_count(f: &Fleet, store: &str) -> usize {
    state(f).layout.values().filter(|set| set.iter().any(|s| s.0 == daemon(store))).count()
}

/// How many replacements of stores the leaders of partitions know of.
pub fn replacement_count(f: &Fleet) -> usize {
    f.fakes.values().map(|x| x.replacements.len()).sum()
}

/// Whether the copies of joining stores are reported as complete at once, or never.
pub fn set_copying(f: &mut Fleet, complete_at_once: bool) {
    f.fakes.values_mut().for_each(|x| x.copies_at_once = complete_at_once);
}
