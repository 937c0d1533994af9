//! How long inherited messages are held back when a partition is opened.
use dw_queue::prelude::*;

const NOW: Time = Time::millis(100_000);

#[test]
fn the_hold_covers_the_longest_attempt_with_its_margin() {
    let mut longest = LongestAttempt::default();
    longest.set_current(Span::secs(4), NOW);
    assert_eq!(longest.failover_hold(NOW), Span::millis(4400));
}

#[test]
fn a_shorter_attempt_counts_only_when_no_earlier_attempt_can_be_running() {
    let mut longest = LongestAttempt::default();
    longest.set_current(Span::secs(4), NOW);
    longest.set_current(Span::secs(2), NOW);
    longest.set_current(Span::secs(3), NOW + Span::secs(1));
    assert_eq!(longest.failover_hold(NOW + Span::millis(6900)), Span::millis(4400));
    assert_eq!(longest.failover_hold(NOW + Span::secs(7)), Span::millis(3300));
}

#[test]
fn a_longer_attempt_counts_at_once() {
    let mut longest = LongestAttempt::default();
    longest.set_current(Span::secs(2), NOW);
    longest.set_current(Span::secs(4), NOW);
    assert_eq!(longest.failover_hold(NOW), Span::millis(4400));
}
