//! Which message of a route is dispatched next.
use dw_queue::prelude::*;

const NOW: Time = Time::millis(10_000);
/// Messages that became eligible then or later can still start in time.
const IN_TIME_SINCE: Time = Time::millis(9_000);

fn order(queue: &mut RouteQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop_in_time(IN_TIME_SINCE, NOW)).map(|message| message.1).collect()
}

#[test]
fn messages_that_can_start_in_time_go_first_and_the_oldest_of_them() {
    let mut queue = RouteQueue::default();
    for (seq, eligible_at) in [(1, 2_000), (2, 9_500), (3, 9_100), (4, 8_999)] {
        queue.insert(NOW, seq, Time::millis(eligible_at), 0);
    }
    assert_eq!(queue.oldest_ready(NOW), Some(Time::millis(2_000)));
    assert_eq!(order(&mut queue), [3, 2, 1, 4]);
    assert!(queue.is_empty());
}

/// A late message that was queued only when the one before it of its key ended is late
/// all the same.
#[test]
fn the_time_of_eligibility_counts_not_the_time_of_queueing() {
    let mut queue = RouteQueue::default();
    queue.insert(NOW, 1, Time::millis(5_000), 3);
    queue.insert(Time::millis(9_200), 2, Time::millis(9_200), 1);
    assert_eq!(order(&mut queue), [2, 1]);
}

/// After a service was down, keys are served one after the other, smallest backlog
/// first: their new messages are soon in time again, and no key's backlog keeps all
/// others late.
#[test]
fn of_late_messages_the_key_with_the_smallest_backlog_goes_first() {
    let mut queue = RouteQueue::default();
    queue.insert(NOW, 1, Time::millis(1_000), 9);
    queue.insert(NOW, 2, Time::millis(4_000), 2);
    queue.insert(NOW, 3, Time::millis(3_000), 2);
    queue.insert(NOW, 4, Time::millis(2_000), 5);
    queue.set_key_backlog(1, 1);
    assert_eq!(order(&mut queue), [1, 3, 2, 4]);
}

#[test]
fn pop_oldest_takes_the_oldest() {
    let mut queue = RouteQueue::default();
    queue.insert(NOW, 1, Time::millis(1_000), 9);
    queue.insert(NOW, 2, Time::millis(9_500), 1);
    assert_eq!(queue.pop_oldest(NOW), Some((NOW, 1)));
    assert_eq!(queue.pop_oldest(NOW), Some((NOW, 2)));
    assert_eq!(queue.pop_oldest(NOW), None);
}

#[test]
fn a_rescheduled_message_waits_until_then() {
    let mut queue = RouteQueue::default();
    queue.insert(NOW, 1, Time::millis(9_500), 0);
    assert!(queue.oldest_ready(NOW).is_some());
    queue.reschedule(1, NOW + Span::millis(40));
    assert_eq!(queue.not_before(1), Some(NOW + Span::millis(40)));
    assert_eq!((queue.oldest_ready(NOW), queue.pop_in_time(IN_TIME_SINCE, NOW)), (None, None));
    let later = NOW + Span::millis(40);
    assert_eq!(queue.oldest_ready(later), Some(Time::millis(9_500)));
    assert_eq!(queue.pop_in_time(IN_TIME_SINCE, later), Some((later, 1)));
}

/// Through the partition's queues: the second of a key keeps its own age, and each new
/// message lengthens its key's backlog.
#[test]
fn the_next_of_a_key_keeps_the_time_at_which_it_was_accepted() {
    let header = |seq: u64, key: &str| MessageHeader {
        id: MessageId(format!("m{seq}")),
        key: key.into(),
        route: "turns".into(),
        seq,
        ..MessageHeader::default()
    };
    let mut queues = DispatchQueues { ordered: true, ..DispatchQueues::default() };
    for (seq, key, eligible_at) in [(1, "a", 1_000), (2, "b", 1_200), (3, "a", 1_500), (4, "c", 9_400)] {
        queues.eligible_at.insert(seq, Time::millis(eligible_at));
        queues.enqueue(&header(seq, key), Stage::Pending, NOW);
    }
    let queue = queues.routed.get_mut("turns").unwrap();
    assert_eq!(order(queue), [4, 2, 1]);
    let next = queues.finish_work(&header(1, "a"));
    assert_eq!(next, Some(3));
    queues.enqueue_next(&header(3, "a"), NOW);
    let queue = queues.routed.get_mut("turns").unwrap();
    assert_eq!(queue.oldest_ready(NOW), Some(Time::millis(1_500)));
}

/// Found by the seed sweep (fleet seeds 10, 12 and more): a message that was no longer
/// held back ran before its delay was over.
#[test]
fn nothing_is_dispatched_before_its_delay_is_over() {
    let mut queue = RouteQueue::default();
    let eligible_at = NOW + Span::millis(700);
    queue.insert(NOW + Span::secs(2), 1, eligible_at, 0);
    queue.reschedule(1, NOW);
    assert_eq!(queue.not_before(1), Some(eligible_at));
    assert_eq!((queue.pop_in_time(IN_TIME_SINCE, NOW), queue.pop_oldest(NOW)), (None, None));
    assert_eq!(queue.pop_in_time(IN_TIME_SINCE, eligible_at), Some((eligible_at, 1)));
}
