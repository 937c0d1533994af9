//! Which message of a route goes next.
use dw_queue::prelude::*;

const NOW: Time = Time::millis(10_000);
/// What is wanted since then or later can still begin in time.
const FRESH: Time = Time::millis(9_000);

fn order(due: &mut RouteQueue) -> Vec<u64> {
    std::iter::from_fn(|| due.pop_in_time(FRESH, NOW)).map(|one| one.1).collect()
}

#[test]
fn what_can_still_begin_in_time_goes_first_and_the_oldest_of_it() {
    let mut due = RouteQueue::default();
    for (seq, wanted) in [(1, 2_000), (2, 9_500), (3, 9_100), (4, 8_999)] {
        due.insert(NOW, seq, Time::millis(wanted), 0);
    }
    assert_eq!(due.oldest_ready(NOW), Some(Time::millis(2_000)));
    assert_eq!(order(&mut due), [3, 2, 1, 4]);
    assert!(due.is_empty());
}

/// Let in by the end of the one before it, a late one is late all the same.
#[test]
fn since_when_a_run_is_wanted_counts_not_when_it_was_let_in() {
    let mut due = RouteQueue::default();
    due.insert(NOW, 1, Time::millis(5_000), 3);
    due.insert(Time::millis(9_200), 2, Time::millis(9_200), 1);
    assert_eq!(order(&mut due), [2, 1]);
}

/// After a service was down, keys are worked off one after the other: those
/// with few waiting soon take what comes in in time, and no key's backlog
/// keeps all others late.
#[test]
fn of_those_that_are_late_the_key_with_the_fewest_goes_first() {
    let mut due = RouteQueue::default();
    due.insert(NOW, 1, Time::millis(1_000), 9);
    due.insert(NOW, 2, Time::millis(4_000), 2);
    due.insert(NOW, 3, Time::millis(3_000), 2);
    due.insert(NOW, 4, Time::millis(2_000), 5);
    due.set_key_backlog(1, 1);
    assert_eq!(order(&mut due), [1, 3, 2, 4]);
}

#[test]
fn the_oldest_turn_takes_the_oldest() {
    let mut due = RouteQueue::default();
    due.insert(NOW, 1, Time::millis(1_000), 9);
    due.insert(NOW, 2, Time::millis(9_500), 1);
    assert_eq!(due.pop_oldest(NOW), Some((NOW, 1)));
    assert_eq!(due.pop_oldest(NOW), Some((NOW, 2)));
    assert_eq!(due.pop_oldest(NOW), None);
}

#[test]
fn what_is_put_off_waits_until_then() {
    let mut due = RouteQueue::default();
    due.insert(NOW, 1, Time::millis(9_500), 0);
    assert!(due.oldest_ready(NOW).is_some());
    due.reschedule(1, NOW + Span::millis(40));
    assert_eq!(due.not_before(1), Some(NOW + Span::millis(40)));
    assert_eq!((due.oldest_ready(NOW), due.pop_in_time(FRESH, NOW)), (None, None));
    let later = NOW + Span::millis(40);
    assert_eq!(due.oldest_ready(later), Some(Time::millis(9_500)));
    assert_eq!(due.pop_in_time(FRESH, later), Some((later, 1)));
}

/// Through the partition's lines: the second of a key is no fresher than it
/// is, and each one that comes makes its key longer.
#[test]
fn a_key_s_next_keeps_the_time_at_which_it_was_handed_in() {
    let head = |seq: u64, key: &str| MessageHeader {
        id: MessageId(format!("m{seq}")),
        key: key.into(),
        route: "turns".into(),
        seq,
        ..MessageHeader::default()
    };
    let mut lane = DispatchQueues { ordered: true, ..DispatchQueues::default() };
    for (seq, key, wanted) in [(1, "a", 1_000), (2, "b", 1_200), (3, "a", 1_500), (4, "c", 9_400)] {
        lane.eligible_at.insert(seq, Time::millis(wanted));
        lane.enqueue(&head(seq, key), Stage::Pending, NOW);
    }
    let due = lane.routed.get_mut("turns").unwrap();
    assert_eq!(order(due), [4, 2, 1]);
    lane.finish_work(&head(1, "a"), NOW);
    let due = lane.routed.get_mut("turns").unwrap();
    assert_eq!(due.oldest_ready(NOW), Some(Time::millis(1_500)));
}

/// Found by the sweep (fleet seeds 10, 12 and more): let go of a rest, a message
/// ran before its delay was over.
#[test]
fn nothing_is_handed_out_before_its_delay_is_over() {
    let mut due = RouteQueue::default();
    let wanted = NOW + Span::millis(700);
    due.insert(NOW + Span::secs(2), 1, wanted, 0);
    due.reschedule(1, NOW);
    assert_eq!(due.not_before(1), Some(wanted));
    assert_eq!((due.pop_in_time(FRESH, NOW), due.pop_oldest(NOW)), (None, None));
    assert_eq!(due.pop_in_time(FRESH, wanted), Some((wanted, 1)));
}
