//! An attempt lasts no longer than its leader counts on.
use dw_wire::prelude::*;

fn offer(limit: Span) -> Offer {
    Offer {
        duty: Duty::TargetShard(String::new()),
        partition: PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 },
        header: MessageHeader::default(),
        stage: Stage::Pending,
        epoch: Epoch::ZERO,
        attempt: 1,
        body: Bytes::new(),
        destination: None,
        timeout: limit,
    }
}

#[test]
fn a_longer_attempt_by_a_newer_config_is_cut_to_the_leaders() {
    assert_eq!(offer(Span::secs(1)).attempt_timeout(Span::secs(2)), Span::secs(1));
}

#[test]
fn a_shorter_attempt_by_a_newer_config_holds() {
    assert_eq!(offer(Span::secs(2)).attempt_timeout(Span::secs(1)), Span::secs(1));
}

#[test]
fn a_leader_that_does_not_say_leaves_it_to_the_config() {
    assert_eq!(offer(Span::ZERO).attempt_timeout(Span::secs(1)), Span::secs(1));
}

#[test]
fn a_route_that_is_not_in_force_stays_so() {
    assert_eq!(offer(Span::secs(1)).attempt_timeout(Span::ZERO), Span::ZERO);
}
