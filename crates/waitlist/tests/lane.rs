//! What is due to be handed out, and what is told of it to placement.
use dw_waitlist::prelude::*;

const NOW: Time = Time::millis(10_000);

fn flight(duty: Duty) -> Flight {
    let to = Daemon("delivery-1".into());
    Flight { duty, to, attempt: 1, owes: String::new(), goal: None, life: Mark(0), end: NOW + Span::secs(3) }
}

#[test]
fn what_is_taken_says_since_when_it_was_due() {
    let mut lane = Lane::default();
    lane.line.extend([(Time::millis(9_000), 7), (Time::millis(8_000), 9), (Time::millis(10_001), 1)]);
    assert_eq!(lane.pop(None, NOW), Some((Time::millis(8_000), 9)));
    assert_eq!(lane.pop(None, NOW), Some((Time::millis(9_000), 7)));
    assert_eq!(lane.pop(None, NOW), None);
}

#[test]
fn what_waits_for_its_next_try_is_not_ready_and_call_backs_take_no_slot() {
    let mut lane = Lane::default();
    lane.line.extend([(Time::millis(9_000), 1), (NOW, 2), (Time::millis(10_001), 3)]);
    assert_eq!(lane.ready(NOW, 100), 2);
    let place = Place { tenant: "curators".into(), waitlist: "sheets".into(), part: 0 };
    lane.flights.insert(4, flight(Duty::Deliver(place)));
    lane.flights.insert(5, flight(Duty::Endpoint("desk-1".into())));
    assert_eq!(lane.ready(NOW, 100), 3);
    assert_eq!(lane.ready(NOW, 1), 2);
}
