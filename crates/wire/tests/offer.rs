//! An attempt lasts no longer than its keeper counts on.
use dw_wire::prelude::*;

fn offer(limit: Span) -> Offer {
    Offer {
        duty: Duty::TargetShard(String::new()),
        place: PartitionId { tenant: "~".into(), waitlist: "spool".into(), part: 0 },
        head: MessageHeader::default(),
        stage: Stage::Pending,
        epoch: Epoch::ZERO,
        attempt: 1,
        body: Bytes::new(),
        goal: None,
        limit,
    }
}

#[test]
fn a_longer_attempt_by_a_newer_charter_is_cut_to_the_keepers() {
    assert_eq!(offer(Span::secs(1)).limited(Span::secs(2)), Span::secs(1));
}

#[test]
fn a_shorter_attempt_by_a_newer_charter_holds() {
    assert_eq!(offer(Span::secs(2)).limited(Span::secs(1)), Span::secs(1));
}

#[test]
fn a_keeper_that_does_not_say_leaves_it_to_the_charter() {
    assert_eq!(offer(Span::ZERO).limited(Span::secs(1)), Span::secs(1));
}

#[test]
fn a_route_that_is_not_in_force_stays_so() {
    assert_eq!(offer(Span::secs(1)).limited(Span::ZERO), Span::ZERO);
}
