//! How a daemon that has just started finds a leader its settings don't name.
use dw_versions::prelude::*;

const PACE: Span = Span::millis(400);

fn daemon(name: &str) -> Daemon {
    Daemon(name.into())
}

fn started(seeds: &[&str]) -> ControlPlaneLink {
    let me = Member {
        machine: String::new(),
        id: daemon("store-1"),
        zone: Zone("z1".into()),
        addr: "store-1:1".into(),
        http: "store-1:80".into(),
        life: Mark(1),
        disk: Mark(2),
    };
    ControlPlaneLink::new(me, seeds.iter().map(|seed| daemon(seed)).collect(), PACE, LeaseTerms::default())
}

/// Whom the link asks at its next tick, and when that is.
fn next_asked(link: &mut ControlPlaneLink, from: Time) -> (Daemon, Time) {
    for step in 0..200 {
        let now = from + Span::millis(10 * step);
        let asked = link.tick(now, || None).into_iter().find_map(|effect| match effect {
            Effect::Say(to, Msg::Need { .. }) => Some(to),
            _ => None,
        });
        if let Some(to) = asked {
            return (to, now);
        }
    }
    panic!("nobody is asked");
}

fn contact(name: &str) -> Contact {
    Contact { id: daemon(name), address: format!("{name}:7000") }
}

/// A daemon that started long after time began has been told nothing yet.
const LATE_START: Time = Time::millis(60_000);

#[test]
fn a_named_leader_outside_the_seeds_is_asked() {
    let mut link = started(&["placement-2", "placement-3"]);
    let (seed, now) = next_asked(&mut link, LATE_START);
    link.on_not_primary(&seed, Some(contact("placement-4")), now, &mut Vec::new());
    assert_eq!(next_asked(&mut link, now).0, daemon("placement-4"));
}

#[test]
fn a_named_leader_that_does_not_answer_is_left_for_the_seeds() {
    let mut link = started(&["placement-2", "placement-3"]);
    let (seed, now) = next_asked(&mut link, LATE_START);
    link.on_not_primary(&seed, Some(contact("placement-4")), now, &mut Vec::new());
    let (mut asked, mut at) = next_asked(&mut link, now);
    while asked == daemon("placement-4") {
        assert!(at.since(now) <= PACE.times(4), "still asked after {:?}", at.since(now));
        (asked, at) = next_asked(&mut link, at + Span::millis(10));
    }
    assert!([daemon("placement-2"), daemon("placement-3")].contains(&asked), "{asked}");
}

#[test]
fn leaders_that_name_each_other_are_left_for_the_seeds() {
    let mut link = started(&["placement-2", "placement-3"]);
    let (seed, began) = next_asked(&mut link, LATE_START);
    link.on_not_primary(&seed, Some(contact("placement-4")), began, &mut Vec::new());
    let (mut asked, mut at) = next_asked(&mut link, began);
    while !["placement-2", "placement-3"].contains(&asked.as_str()) {
        assert!(at.since(began) <= PACE.times(4), "still asked after {:?}", at.since(began));
        let other = if asked == daemon("placement-4") { "placement-5" } else { "placement-4" };
        link.on_not_primary(&asked, Some(contact(other)), at, &mut Vec::new());
        (asked, at) = next_asked(&mut link, at + Span::millis(10));
    }
}

#[test]
fn a_leader_that_announces_itself_is_asked() {
    let mut link = started(&["placement-2", "placement-3"]);
    let (_, now) = next_asked(&mut link, LATE_START);
    link.on_new_primary(&daemon("placement-4"), Term(1), now);
    assert_eq!(next_asked(&mut link, now).0, daemon("placement-4"));
}
