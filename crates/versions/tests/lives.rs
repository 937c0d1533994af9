//! Updates that answer a pull of an earlier incarnation are ignored.
use dw_versions::prelude::*;

const PULL_INTERVAL: Span = Span::millis(400);

fn member() -> Member {
    Member {
        machine: String::new(),
        id: Daemon("store-1".into()),
        zone: Zone("z1".into()),
        addr: "store-1:1".into(),
        http: "store-1:80".into(),
        incarnation: IncarnationId(1),
        disk_id: IncarnationId(2),
    }
}

/// A link that has just started, and the time of its first pull.
fn started_link(now: Time) -> (ControlPlaneLink, Time) {
    let mut link = ControlPlaneLink::new(member(), vec![Daemon("placement-1".into())], PULL_INTERVAL, LeaseTerms::default());
    let out = link.tick(now, || None);
    assert!(
        matches!(out.last(), Some(Effect::Send(_, PeerMessage::Pull { requested_at, .. })) if *requested_at == now),
        "{out:?}"
    );
    (link, now)
}

fn grant() -> Grant {
    let epoch = Epoch { term: Term(1), count: 1 };
    Grant {
        duty: Duty::for_unlisted_address("10.0.0.9:80"),
        epoch,
        write_set: Vec::new(),
        replacement: None,
        replacement_number: Version::ZERO,
        release_requested: false,
        slot_range: None,
    }
}

/// Whether the link accepts a grant in the response to a pull sent at `requested_at`.
fn accepts_grant(link: &mut ControlPlaneLink, requested_at: Time, now: Time) -> bool {
    let from = Daemon("placement-1".into());
    let config_valid_for = Some(Span::secs(2));
    link.apply_updates(
        &from,
        requested_at,
        Term(1),
        config_valid_for,
        Vec::new(),
        vec![grant()],
        Vec::new(),
        now,
        &mut Vec::new(),
    );
    link.leases.active_epoch(&grant().duty, now).is_some()
}

#[test]
fn a_grant_requested_by_an_earlier_incarnation_is_not_accepted() {
    let (mut link, first_pull_at) = started_link(Time::millis(10_000));
    let now = first_pull_at + Span::millis(50);
    assert!(!accepts_grant(&mut link, Time(first_pull_at.0 - 1), now));
    assert!(accepts_grant(&mut link, first_pull_at, now));
}

#[test]
fn no_grant_is_accepted_before_the_first_pull() {
    let mut link = ControlPlaneLink::new(member(), vec![Daemon("placement-1".into())], PULL_INTERVAL, LeaseTerms::default());
    assert!(!accepts_grant(&mut link, Time::millis(9_999), Time::millis(10_000)));
}
