//! What a delivery daemon does with the attempts of a leader that was replaced.
mod harness;
use dw_delivery::prelude::{AttemptOutcome, Span};
use harness::Harness;

#[test]
fn a_waiting_attempt_starts_when_its_worker_is_listed() {
    let mut harness = Harness::new();
    harness.send_lists(1, 1);
    harness.offer();
    harness.run(Span::millis(100));
    assert!(harness.started.is_empty());
    harness.send_lists(1, 2);
    harness.run(Span::millis(600));
    assert_eq!(harness.started.len(), 1);
}

#[test]
fn a_waiting_attempt_never_starts_once_its_leader_is_replaced() {
    let mut harness = Harness::new();
    harness.send_lists(1, 1);
    harness.offer();
    harness.run(Span::millis(100));
    harness.send_lists(2, 1);
    harness.send_lists(2, 2);
    harness.run(Span::millis(600));
    assert!(harness.started.is_empty(), "{:?}", harness.started);
    assert_eq!(harness.in_flight, []);
}

#[test]
fn a_running_attempt_continues_and_is_reported_to_the_new_leader() {
    let mut harness = Harness::new();
    harness.send_lists(1, 2);
    harness.run(Span::millis(600));
    harness.offer();
    harness.run(Span::millis(100));
    assert_eq!(harness.started.len(), 1);
    harness.send_lists(2, 2);
    harness.run(Span::millis(500));
    assert_eq!(harness.in_flight.len(), 1);
}

/// Otherwise the leader would wait some seconds for the attempt's result before it
/// dispatches the message again.
#[test]
fn an_offer_of_an_unknown_route_is_returned_at_once() {
    let mut harness = Harness::new();
    harness.send_lists(1, 2);
    harness.run(Span::millis(600));
    harness.offer_by_route("newer");
    let not_started = harness.results.iter().filter(|result| result.outcome == AttemptOutcome::NotStarted).count();
    assert_eq!((not_started, harness.started.len()), (1, 0));
}
