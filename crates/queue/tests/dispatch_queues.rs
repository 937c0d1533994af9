//! What is due to be dispatched, and the demand for slots that is reported to placement.
use dw_queue::prelude::*;

const NOW: Time = Time::millis(10_000);

fn attempt(duty: Duty) -> DispatchedAttempt {
    let to = Daemon("delivery-1".into());
    DispatchedAttempt {
        duty,
        delivery: to,
        attempt: 1,
        callback: String::new(),
        destination: None,
        incarnation: IncarnationId(0),
        deadline: NOW + Span::secs(3),
        body_bytes: 0,
    }
}

#[test]
fn a_dequeued_message_tells_since_when_it_was_due() {
    let mut queues = DispatchQueues::default();
    queues.unrouted.extend([(Time::millis(9_000), 7), (Time::millis(8_000), 9), (Time::millis(10_001), 1)]);
    assert_eq!(queues.pop_due(None, NOW), Some((Time::millis(8_000), 9)));
    assert_eq!(queues.pop_due(None, NOW), Some((Time::millis(9_000), 7)));
    assert_eq!(queues.pop_due(None, NOW), None);
}

#[test]
fn messages_that_wait_for_a_retry_and_call_backs_need_no_slot() {
    let mut queues = DispatchQueues::default();
    queues.unrouted.extend([(Time::millis(9_000), 1), (NOW, 2), (Time::millis(10_001), 3)]);
    assert_eq!(queues.slot_demand(NOW, 100), 2);
    let partition = PartitionId { tenant: "curators".into(), queue: "sheets".into(), number: 0 };
    queues.in_flight.insert(4, attempt(Duty::Deliver(partition)));
    queues.in_flight.insert(5, attempt(Duty::Endpoint("desk-1".into())));
    assert_eq!(queues.slot_demand(NOW, 100), 3);
    assert_eq!(queues.slot_demand(NOW, 1), 2);
}

/// The success of the next of a key was written but not committed when the call-back of
/// the first ended too: the next was in no queue, and was added to one again.
#[test]
fn work_that_finishes_twice_queues_the_next_of_its_key_once() {
    let header = |seq: u64| MessageHeader {
        id: MessageId(format!("m{seq}")),
        key: "k".into(),
        route: "turns".into(),
        callback: "10.0.0.1:80".into(),
        seq,
        ..MessageHeader::default()
    };
    let mut queues = DispatchQueues { ordered: true, ..DispatchQueues::default() };
    queues.enqueue(&header(1), Stage::Pending, NOW);
    queues.enqueue(&header(2), Stage::Pending, NOW);
    assert_eq!(queues.finish_work(&header(1)), Some(2));
    queues.enqueue_next(&header(2), NOW);
    assert_eq!(queues.routed["turns"].not_before(2), Some(NOW));
    // It was dispatched, and its end is applied but not yet committed.
    queues.routed.get_mut("turns").unwrap().remove(2);
    assert_eq!(queues.finish_work(&header(1)), None);
    assert_eq!(queues.routed["turns"].not_before(2), None);
    assert_eq!(queues.finish_work(&header(2)), None);
    assert!(queues.pending_by_key.is_empty());
}
