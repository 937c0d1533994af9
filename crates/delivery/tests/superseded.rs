//! What a delivery does with attempts of a leader that was replaced.
mod told;
use dw_delivery::prelude::{AttemptOutcome as End, Span};
use told::Told;

#[test]
fn an_attempt_that_waits_begins_when_its_worker_is_there() {
    let mut told = Told::new();
    told.news(1, 1);
    told.offer();
    told.run(Span::millis(100));
    assert!(told.begun.is_empty());
    told.news(1, 2);
    told.run(Span::millis(600));
    assert_eq!(told.begun.len(), 1);
}

#[test]
fn an_attempt_that_waits_never_begins_once_its_leader_is_replaced() {
    let mut told = Told::new();
    told.news(1, 1);
    told.offer();
    told.run(Span::millis(100));
    told.news(2, 1);
    told.news(2, 2);
    told.run(Span::millis(600));
    assert!(told.begun.is_empty(), "{:?}", told.begun);
    assert_eq!(told.holding, []);
}

#[test]
fn an_attempt_under_way_goes_on_and_is_named_to_the_new_leader() {
    let mut told = Told::new();
    told.news(1, 2);
    told.run(Span::millis(600));
    told.offer();
    told.run(Span::millis(100));
    assert_eq!(told.begun.len(), 1);
    told.news(2, 2);
    told.run(Span::millis(500));
    assert_eq!(told.holding.len(), 1);
}

/// Its leader would wait for the attempt's end, some seconds, to hand it out
/// again.
#[test]
fn an_offer_by_a_route_that_is_not_known_yet_goes_back_at_once() {
    let mut told = Told::new();
    told.news(1, 2);
    told.run(Span::millis(600));
    told.offer_by("newer");
    let unstarted = told.settled.iter().filter(|s| s.outcome == End::NotStarted).count();
    assert_eq!((unstarted, told.begun.len()), (1, 0));
}
