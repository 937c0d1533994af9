//! What is due to be handed out.
use dw_waitlist::prelude::*;

const NOW: Time = Time::millis(10_000);

#[test]
fn what_is_taken_says_since_when_it_was_due() {
    let mut lane = Lane::default();
    lane.line.extend([(Time::millis(9_000), 7), (Time::millis(8_000), 9), (Time::millis(10_001), 1)]);
    assert_eq!(lane.pop(None, NOW), Some((Time::millis(8_000), 9)));
    assert_eq!(lane.pop(None, NOW), Some((Time::millis(9_000), 7)));
    assert_eq!(lane.pop(None, NOW), None);
}
