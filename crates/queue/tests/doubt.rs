//! How soon a message runs again of which nobody knows whether it has run.
mod pair;
mod settings;
use dw_queue::prelude::*;
use pair::*;
use settings::daemon;

/// Ends the latest attempt in doubt; gives how long the next was waited for.
fn next_after_doubt(pair: &mut Pair) -> Span {
    let offer = pair.offers.last().unwrap();
    let doubt = AttemptResult {
        partition: place(),
        id: offer.header.id.clone(),
        epoch: offer.epoch,
        attempt: offer.attempt,
        stage: offer.stage,
        outcome: AttemptOutcome::Unknown,
        completion_token: String::new(),
        ended_ago: Span::ZERO,
    };
    let (begun, count) = (pair.now, pair.offers.len());
    pair.step(
        0,
        Event::MessageReceived { from: daemon("delivery-1"), message: PeerMessage::AttemptResults { entries: vec![doubt] } },
    );
    while pair.offers.len() == count {
        assert!(pair.now.since(begun) < Span::secs(20), "it never runs again");
        pair.run(Span::millis(20));
        pair.reach(FIRST, pair.now);
    }
    pair.now.since(begun)
}

/// Issue 29: a message whose run always goes past its route's time took a
/// worker's slot again each 120 ms after it, to the end of its days.
#[test]
fn doubt_after_doubt_lets_a_message_wait_longer_and_longer() {
    let mut pair = Pair::new();
    pair.reach(FIRST, pair.now);
    pair.carry();
    pair.run(Span::millis(100));
    assert_eq!(pair.offers.len(), 1);
    let waits: Vec<Span> = (0..9).map(|_| next_after_doubt(&mut pair)).collect();
    assert!(waits[0] < Span::millis(200), "a first doubt waits as ever: {waits:?}");
    assert!(waits[8] >= Span::secs(2), "{waits:?}");
    assert!(waits[8] <= Span::secs(6), "{waits:?}");
}
