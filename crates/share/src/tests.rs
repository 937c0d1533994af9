use crate::prelude::*;

#[test]
fn a_flood_leaves_the_others_their_shares_and_idle_seats_are_lent() {
    let mut s = Seats::new(100);
    s.shares(&BTreeMap::from([("a".into(), 50), ("b".into(), 50)]));
    let lent = (0..200).filter(|_| s.take("a")).count();
    assert_eq!(lent, 75);
    let own = (0..200).filter(|_| s.take("b")).count();
    assert_eq!(own, 25);
    // As the flood's seats come free, the other tenant gets its share.
    for _ in 0..50 {
        s.give_back("a");
        assert!(s.take("b") || s.held()["b"] >= 50);
    }
    assert!(s.held()["b"] >= 50);
}

#[test]
fn turns_follow_weights_while_both_wait() {
    let mut d = Drr::default();
    for n in 0..400 {
        d.push("a", 3, ("a", n));
        d.push("b", 1, ("b", n));
    }
    let first: Vec<_> = (0..400).filter_map(|_| d.pop()).collect();
    let a = first.iter().filter(|x| x.0 == "a").count();
    assert_eq!(a, 300);
    assert_eq!(std::iter::from_fn(|| d.pop()).count(), 400);
}

#[test]
fn no_five_seconds_see_more_than_the_allowance_even_when_holders_change() {
    for seed in 0..300 {
        let mut rng = fastrand_lite(seed);
        let mut sends = Vec::new();
        let mut now = Time(0);
        for _ in 0..6 {
            let mut a = Allowance::new(39, now);
            // A lease is given again three seconds after its last renewal at the soonest.
            let end = now + Span::millis(3000 + rng() % 9000);
            while now < end {
                while a.take(now) {
                    sends.push(now + Span::millis(rng() % 250));
                }
                now += Span::millis(20);
            }
        }
        sends.sort();
        for (n, t) in sends.iter().enumerate() {
            let inside = sends[n..].iter().take_while(|x| x.since(*t) < Span::secs(5)).count();
            assert!(inside <= 195, "seed {seed}: {inside} in 5 s");
        }
    }
}

#[test]
fn a_fresh_worker_gets_few_spaced_out() {
    let r = Ramp { since: Time(0), warm: Span::secs(10), last: Time::millis(100) };
    assert_eq!(r.slots(8, Time::millis(100)), 1);
    assert!(!r.spaced(Time::millis(300)));
    assert!(r.spaced(Time::millis(700)));
    assert_eq!(r.slots(8, Time::millis(10_000)), 8);
}

/// A small generator: this crate needs none outside tests.
fn fastrand_lite(seed: u64) -> impl FnMut() -> u64 {
    let mut n = seed;
    move || {
        n += 1;
        hash_of(&n.to_le_bytes())
    }
}
