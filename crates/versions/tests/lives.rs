//! News that an earlier life of a daemon asked for.
use dw_versions::prelude::*;

const PACE: Span = Span::millis(400);

fn member() -> Member {
    Member {
        machine: String::new(),
        id: Daemon("store-1".into()),
        zone: Zone("z1".into()),
        addr: "store-1:1".into(),
        http: "store-1:80".into(),
        life: Mark(1),
        disk: Mark(2),
    }
}

/// A link of a new life, and when it asked first.
fn started(now: Time) -> (ControlPlaneLink, Time) {
    let mut link = ControlPlaneLink::new(member(), vec![Daemon("placement-1".into())], PACE, LeaseTerms::default());
    let out = link.tick(now, || None);
    assert!(matches!(out.last(), Some(Effect::Say(_, Msg::Need { asked, .. })) if *asked == now), "{out:?}");
    (link, now)
}

fn grant() -> Grant {
    let epoch = Epoch { term: Term(1), count: 1 };
    Grant {
        duty: Duty::of_address("10.0.0.9:80"),
        epoch,
        set: Vec::new(),
        swap: None,
        swap_number: Version::ZERO,
        shed: false,
        slice: None,
    }
}

/// Whether the link holds what is granted in news that was asked for at `asked`.
fn holds(link: &mut ControlPlaneLink, asked: Time, now: Time) -> bool {
    let from = Daemon("placement-1".into());
    let fresh = Some(Span::secs(2));
    link.apply_updates(&from, asked, Term(1), fresh, Vec::new(), vec![grant()], Vec::new(), now, &mut Vec::new());
    link.leases.active_epoch(&grant().duty, now).is_some()
}

#[test]
fn a_grant_that_an_earlier_life_asked_for_is_not_held() {
    let (mut link, first) = started(Time::millis(10_000));
    let now = first + Span::millis(50);
    assert!(!holds(&mut link, Time(first.0 - 1), now));
    assert!(holds(&mut link, first, now));
}

#[test]
fn before_it_asked_a_daemon_holds_nothing() {
    let mut link = ControlPlaneLink::new(member(), vec![Daemon("placement-1".into())], PACE, LeaseTerms::default());
    assert!(!holds(&mut link, Time::millis(9_999), Time::millis(10_000)));
}
