//! The troubles of a soak: drawn from a seed alone, overlapping, and said in
//! words that the runner reads again; violations are read from logs.
use dahliawick::fleet::prelude::*;
use dahliawick::fleet::soak::violations;

fn targets() -> Targets {
    let named = |kind: &str| (1..=3).map(|n| format!("{kind}-{n}")).collect::<Vec<_>>();
    Targets { daemons: [named("store"), named("delivery")].concat(), stores: named("store"), workers: named("postings") }
}

#[test]
fn troubles_overlap_and_never_strike_one_daemon_twice_at_a_time() {
    let mut overlaps = 0;
    for seed in 0..50 {
        let faults = draw_soak(seed, 40, &targets());
        assert!(faults.len() > 8, "seed {seed}: {faults:?}");
        for (n, a) in faults.iter().enumerate() {
            let end = a.at + a.back.unwrap();
            assert!(end < 40.0, "seed {seed}: {a:?}");
            for b in faults[n + 1..].iter().filter(|b| b.at < end) {
                overlaps += 1;
                assert_ne!(a.who, b.who, "seed {seed}");
            }
        }
    }
    assert!(overlaps > 200, "{overlaps}");
}

#[test]
fn the_same_seed_draws_the_same_and_its_words_are_read_again() {
    let faults = draw_soak(7, 30, &targets());
    assert_eq!(faults, draw_soak(7, 30, &targets()));
    let read = parse_faults(&soak_words(&faults)).unwrap();
    assert_eq!(read.len(), faults.len());
    for (a, b) in faults.iter().zip(read) {
        assert_eq!((a.verb, &a.who), (b.verb, &b.who));
        assert!((a.at - b.at).abs() < 0.01 && (a.back.unwrap() - b.back.unwrap()).abs() < 0.01);
    }
}

#[test]
fn a_violated_invariant_is_found_in_a_log_and_nothing_else_is() {
    let dir = std::env::temp_dir().join(format!("dahliawick-violations-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("store-1.log"), "x [WARN] 310 an attempt's end passed without a word of it: 312 ms\n").unwrap();
    assert_eq!(violations(&dir).unwrap(), Vec::<String>::new());
    let line = "x [ERROR] 312 an attempt ran on beyond its end: ~/spool/0";
    std::fs::write(dir.join("store-2.log"), format!("{line}\n")).unwrap();
    assert_eq!(violations(&dir).unwrap(), [format!("invariant: store-2: {line}")]);
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn stores_lose_their_disks_in_turn() {
    for seed in 0..50 {
        let faults = draw_soak(seed, 40, &targets());
        let wiped: Vec<&Fault> = faults.iter().filter(|f| f.verb == Verb::Wipe).collect();
        assert!(wiped.len() >= 3, "seed {seed}: {wiped:?}");
        for pair in wiped.windows(2) {
            assert_ne!(pair[0].who, pair[1].who, "seed {seed}");
            assert!(pair[1].at - pair[0].at >= 6.0, "seed {seed}: {pair:?}");
        }
    }
}
