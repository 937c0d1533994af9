//! A daemon that has just started finds a leader that its settings don't name.
use dw_versions::prelude::*;

const PULL_INTERVAL: Span = Span::millis(400);

fn daemon(name: &str) -> Daemon {
    Daemon(name.into())
}

fn started_link(seeds: &[&str]) -> ControlPlaneLink {
    let me = Member {
        machine: String::new(),
        id: daemon("store-1"),
        zone: Zone("z1".into()),
        addr: "store-1:1".into(),
        http: "store-1:80".into(),
        incarnation: IncarnationId(1),
        disk_id: IncarnationId(2),
    };
    ControlPlaneLink::new(me, seeds.iter().map(|seed| daemon(seed)).collect(), PULL_INTERVAL, LeaseTerms::default())
}

/// The daemon from which the link pulls next, at the earliest at `start`, and when.
fn next_pull(link: &mut ControlPlaneLink, start: Time) -> (Daemon, Time) {
    for step in 0..200 {
        let now = start + Span::millis(10 * step);
        let target = link.tick(now, || None).into_iter().find_map(|effect| match effect {
            Effect::Send(to, PeerMessage::Pull { .. }) => Some(to),
            _ => None,
        });
        if let Some(target) = target {
            return (target, now);
        }
    }
    panic!("the link did not pull within 2 s");
}

fn contact(name: &str) -> Contact {
    Contact { id: daemon(name), address: format!("{name}:7000") }
}

/// Well after time zero, which a link that has received no updates takes for the time of the last ones.
const LATE_START: Time = Time::millis(60_000);

#[test]
fn a_named_leader_outside_the_seeds_is_pulled_from() {
    let mut link = started_link(&["placement-2", "placement-3"]);
    let (seed, now) = next_pull(&mut link, LATE_START);
    link.on_not_primary(&seed, Some(contact("placement-4")), now, &mut Vec::new());
    assert_eq!(next_pull(&mut link, now).0, daemon("placement-4"));
}

#[test]
fn after_a_named_leader_that_does_not_answer_the_seeds_are_tried() {
    let mut link = started_link(&["placement-2", "placement-3"]);
    let (seed, now) = next_pull(&mut link, LATE_START);
    link.on_not_primary(&seed, Some(contact("placement-4")), now, &mut Vec::new());
    let (mut target, mut at) = next_pull(&mut link, now);
    while target == daemon("placement-4") {
        assert!(at.since(now) <= PULL_INTERVAL.times(4), "still asked after {:?}", at.since(now));
        (target, at) = next_pull(&mut link, at + Span::millis(10));
    }
    assert!([daemon("placement-2"), daemon("placement-3")].contains(&target), "{target}");
}

#[test]
fn after_leaders_that_only_name_each_other_the_seeds_are_tried() {
    let mut link = started_link(&["placement-2", "placement-3"]);
    let (seed, started_at) = next_pull(&mut link, LATE_START);
    link.on_not_primary(&seed, Some(contact("placement-4")), started_at, &mut Vec::new());
    let (mut target, mut at) = next_pull(&mut link, started_at);
    while !["placement-2", "placement-3"].contains(&target.as_str()) {
        assert!(at.since(started_at) <= PULL_INTERVAL.times(4), "still asked after {:?}", at.since(started_at));
        let other = if target == daemon("placement-4") { "placement-5" } else { "placement-4" };
        link.on_not_primary(&target, Some(contact(other)), at, &mut Vec::new());
        (target, at) = next_pull(&mut link, at + Span::millis(10));
    }
}

#[test]
fn a_leader_that_announces_itself_is_pulled_from() {
    let mut link = started_link(&["placement-2", "placement-3"]);
    let (_, now) = next_pull(&mut link, LATE_START);
    link.on_new_primary(&daemon("placement-4"), Term(1), now);
    assert_eq!(next_pull(&mut link, now).0, daemon("placement-4"));
}
