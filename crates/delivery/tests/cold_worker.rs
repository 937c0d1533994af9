//! The calls that a worker gets right after its start.
mod harness;
use dw_delivery::prelude::*;
use harness::{Harness, PlacementState};

/// A cold worker can take five calls in any second. It gets four of them, evenly spaced,
/// although it has free slots and more messages wait.
#[test]
fn a_cold_worker_gets_less_than_it_can_take_in_any_second() {
    let mut harness = Harness::new();
    (harness.cold, harness.slots) = (Span::secs(4), 64);
    let state = PlacementState { leader: 1, worker_listed: true, route_in_force: true, duty_granted: true };
    harness.send_update(state);
    harness.run(Span::millis(100));
    let mut started_at: Vec<Time> = Vec::new();
    for attempt in 1..=200 {
        harness.offer_numbered("bulk", attempt);
        harness.run(Span::millis(20));
        harness.send_update(state);
        started_at.resize(harness.started.len(), harness.now);
        let within_a_second = started_at.iter().filter(|at| harness.now.since(**at) <= Span::secs(1)).count();
        assert!(within_a_second <= 5, "{started_at:?}");
    }
    assert!(started_at.len() >= 14, "{started_at:?}");
}
