//! Each rule is shown able to fail.
use crate::prelude::*;

fn one() -> Checker {
    let mut c = Checker::new(Limits::default());
    c.sent("m", "l", "k", 1, 7, false, false);
    c.sent("n", "l", "k", 2, 8, false, false);
    c
}

fn says(c: &mut Checker, what: &str) {
    let out = c.finish(Time::millis(60_000));
    assert!(out.broken.iter().any(|b| b.contains(what)), "{what}: {:?}", out.broken);
}

#[test]
fn a_sound_run_breaks_nothing() {
    let mut c = one();
    for id in ["m", "n"] {
        c.told(id, Word::Accepted, Time::millis(1));
        let sum = if id == "m" { 7 } else { 8 };
        let n = c.received("w", "z", id, sum, Time::millis(2));
        c.ended(id, n, true, Time::millis(3));
        c.read(id, Some("succeeded"), Time::millis(4));
    }
    assert_eq!(c.finish(Time::millis(60_000)).broken, Vec::<String>::new());
}

#[test]
fn every_rule_can_fail() {
    let mut c = one();
    c.told("m", Word::Accepted, Time(1));
    c.read("m", None, Time(2));
    says(&mut c, "accepted, and then not known");
    says(&mut c, "never run to success");

    let mut c = one();
    c.told("m", Word::NotTaken, Time(1));
    c.received("w", "z", "m", 7, Time(2));
    says(&mut c, "told not taken");

    let mut c = one();
    let n = c.received("w", "z", "m", 7, Time(2));
    c.ended("m", n, true, Time(3));
    c.read("m", Some("succeeded"), Time(4));
    c.received("w", "z", "m", 7, Time(5));
    says(&mut c, "after its sender read success");

    let mut c = one();
    c.received("w", "z", "n", 8, Time(2));
    c.received("w", "z", "m", 7, Time(3));
    says(&mut c, "came later for its key");

    let mut c = one();
    c.received("w", "z", "m", 9, Time(2));
    c.received("w", "z", "x", 9, Time(2));
    says(&mut c, "altered");
    says(&mut c, "which no caller sent");

    let mut c = one();
    c.bar("w", Time(1));
    c.empty_zone("y", Time(1));
    c.received("w", "z", "m", 7, Time::millis(4000));
    c.received("v", "y", "m", 7, Time::millis(6000));
    says(&mut c, "draining or gone");
    says(&mut c, "is emptied");

    let mut c = one();
    c.endpoint("e");
    for n in 0..196 {
        c.received("e", "", "m", 7, Time::millis(n * 10));
    }
    says(&mut c, "196 in 5 s");

    let mut c = one();
    c.freshen("w", Time(0));
    for _ in 0..21 {
        c.received("w", "z", "m", 7, Time(1));
    }
    says(&mut c, "flooded");

    let mut c = one();
    c.sent("b", "l", "", 1, 1, true, false);
    let n = c.received("w", "z", "b", 1, Time(1));
    c.ended("b", n, true, Time(2));
    c.called_back("d", "b", Time::millis(5200));
    says(&mut c, "called back Span(5199998) after");

    let mut c = one();
    c.told("m", Word::Accepted, Time(1));
    c.read("m", Some("succeeded"), Time(2));
    c.read_body("m", 1);
    says(&mut c, "no target had said so");
    says(&mut c, "other bytes");
}
