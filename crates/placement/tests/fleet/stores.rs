//! What tests of stores and their seats in write sets ask of a fleet.
use super::*;

/// A fleet with so many stores in three zones, and a configuration in force.
pub fn spooled(stores: usize) -> Fleet {
    let mut f = Fleet::whole();
    for n in 4..=stores {
        f.add(&format!("store-{n}"), &format!("z{}", (n - 1) % 3 + 1));
    }
    f.run(2_000);
    assert_eq!(f.put(0, &first()).code, 200);
    f.run(6_000);
    f
}

/// The committed state, as the primary has it.
pub fn hard(f: &Fleet) -> &Hard {
    &f.cores[&f.primary().expect("a primary")].committed
}

/// In how many write sets a store has a seat.
pub fn seats(f: &Fleet, store: &str) -> usize {
    hard(f).layout.values().filter(|set| set.iter().any(|s| s.0 == daemon(store))).count()
}

/// How many replacements of seats the leaders know of.
pub fn swaps(f: &Fleet) -> usize {
    f.fakes.values().map(|x| x.swaps.len()).sum()
}

/// Whether joiners are whole as soon as they are named.
pub fn copying(f: &mut Fleet, on: bool) {
    f.fakes.values_mut().for_each(|x| x.copies = on);
}
