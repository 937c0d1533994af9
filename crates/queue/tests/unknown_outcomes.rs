//! How soon a message runs again after an attempt with an unknown outcome.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use settings::daemon;
use store_pair::*;

/// Ends the latest attempt with an unknown outcome; returns the time until the next.
fn wait_after_unknown_outcome(stores: &mut StorePair) -> Span {
    let offer = stores.offers.last().unwrap();
    let result = AttemptResult {
        partition: partition(),
        id: offer.header.id.clone(),
        epoch: offer.epoch,
        attempt: offer.attempt,
        stage: offer.stage,
        outcome: AttemptOutcome::Unknown,
        completion_token: String::new(),
        ended_ago: Span::ZERO,
    };
    let (started, count) = (stores.now, stores.offers.len());
    stores.step(
        0,
        Event::MessageReceived { from: daemon("delivery-1"), message: PeerMessage::AttemptResults { entries: vec![result] } },
    );
    while stores.offers.len() == count {
        assert!(stores.now.since(started) < Span::secs(20), "it never runs again");
        stores.run(Span::millis(20));
        stores.report_capacity(FIRST_INCARNATION, stores.now);
    }
    stores.now.since(started)
}

/// Issue 29: a message whose runs always exceeded its route's time limit took a
/// worker's slot again 120 ms after each run, until the message expired.
#[test]
fn repeated_unknown_outcomes_lengthen_the_wait() {
    let mut stores = StorePair::new();
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.submit();
    stores.run(Span::millis(100));
    assert_eq!(stores.offers.len(), 1);
    let waits: Vec<Span> = (0..9).map(|_| wait_after_unknown_outcome(&mut stores)).collect();
    assert!(waits[0] < Span::millis(200), "the wait after the first unknown outcome is not lengthened: {waits:?}");
    assert!(waits[8] >= Span::secs(2), "{waits:?}");
    assert!(waits[8] <= Span::secs(6), "{waits:?}");
}
