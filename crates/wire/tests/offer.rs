//! The timeout of an attempt is never longer than the one that the leader relies on,
//! also if the delivery daemon has another configuration.
use dw_wire::prelude::*;

fn offer(timeout: Span) -> Offer {
    Offer {
        duty: Duty::TargetShard(String::new()),
        partition: PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 },
        header: MessageHeader::default(),
        stage: Stage::Pending,
        epoch: Epoch::ZERO,
        attempt: 1,
        body: Bytes::new(),
        destination: None,
        timeout,
    }
}

#[test]
fn a_longer_configured_timeout_is_cut_to_the_leaders() {
    assert_eq!(offer(Span::secs(1)).attempt_timeout(Span::secs(2)), Span::secs(1));
}

#[test]
fn a_shorter_configured_timeout_is_used() {
    assert_eq!(offer(Span::secs(2)).attempt_timeout(Span::secs(1)), Span::secs(1));
}

#[test]
fn the_configured_timeout_is_used_if_the_leader_sends_none() {
    assert_eq!(offer(Span::ZERO).attempt_timeout(Span::secs(1)), Span::secs(1));
}

#[test]
fn the_timeout_stays_zero_for_a_route_that_is_not_configured() {
    assert_eq!(offer(Span::secs(1)).attempt_timeout(Span::ZERO), Span::ZERO);
}
