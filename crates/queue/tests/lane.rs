//! What is due to be handed out, and what is told of it to placement.
use dw_queue::prelude::*;

const NOW: Time = Time::millis(10_000);

fn flight(duty: Duty) -> DispatchedAttempt {
    let to = Daemon("delivery-1".into());
    DispatchedAttempt {
        duty,
        delivery: to,
        attempt: 1,
        callback: String::new(),
        destination: None,
        incarnation: IncarnationId(0),
        deadline: NOW + Span::secs(3),
    }
}

#[test]
fn what_is_taken_says_since_when_it_was_due() {
    let mut lane = DispatchQueues::default();
    lane.unrouted.extend([(Time::millis(9_000), 7), (Time::millis(8_000), 9), (Time::millis(10_001), 1)]);
    assert_eq!(lane.pop_due(None, NOW), Some((Time::millis(8_000), 9)));
    assert_eq!(lane.pop_due(None, NOW), Some((Time::millis(9_000), 7)));
    assert_eq!(lane.pop_due(None, NOW), None);
}

#[test]
fn what_waits_for_its_next_try_is_not_ready_and_call_backs_take_no_slot() {
    let mut lane = DispatchQueues::default();
    lane.unrouted.extend([(Time::millis(9_000), 1), (NOW, 2), (Time::millis(10_001), 3)]);
    assert_eq!(lane.slot_demand(NOW, 100), 2);
    let place = PartitionId { tenant: "curators".into(), queue: "sheets".into(), number: 0 };
    lane.in_flight.insert(4, flight(Duty::Deliver(place)));
    lane.in_flight.insert(5, flight(Duty::Endpoint("desk-1".into())));
    assert_eq!(lane.slot_demand(NOW, 100), 3);
    assert_eq!(lane.slot_demand(NOW, 1), 2);
}

/// The next of a key ended between its success and its commit, when the first
/// one's call-back ended too: it stood in no line and was put back into one.
#[test]
fn a_record_that_leaves_twice_lets_the_next_of_its_key_in_once() {
    let head = |seq: u64| MessageHeader {
        id: MessageId(format!("m{seq}")),
        key: "k".into(),
        route: "turns".into(),
        callback: "10.0.0.1:80".into(),
        seq,
        ..MessageHeader::default()
    };
    let mut lane = DispatchQueues { ordered: true, ..DispatchQueues::default() };
    lane.enqueue(&head(1), Stage::Pending, NOW);
    lane.enqueue(&head(2), Stage::Pending, NOW);
    lane.finish_work(&head(1), NOW);
    assert_eq!(lane.routed["turns"].not_before(2), Some(NOW));
    // Handed out, and its end is applied but not yet on two stores.
    lane.routed.get_mut("turns").unwrap().remove(2);
    lane.finish_work(&head(1), NOW);
    assert_eq!(lane.routed["turns"].not_before(2), None);
    lane.finish_work(&head(2), NOW);
    assert!(lane.pending_by_key.is_empty());
}
