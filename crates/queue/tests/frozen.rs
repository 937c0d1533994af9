//! A store that stood still reads words that lay in its socket meanwhile.
mod pair;
mod settings;
use dw_queue::prelude::*;
use pair::*;
use settings::*;

/// A pair whose first store has handed out one message, once.
fn handed_out() -> Pair {
    let mut pair = Pair::new();
    pair.reach(FIRST, pair.now);
    pair.carry();
    pair.run(Span::millis(100));
    assert_eq!(pair.offers.len(), 1);
    pair
}

/// The word of its delivery that the attempt succeeded just now.
fn success(pair: &Pair) -> Event {
    let offer = &pair.offers[0];
    let one = AttemptResult {
        partition: place(),
        id: offer.header.id.clone(),
        epoch: offer.epoch,
        attempt: offer.attempt,
        stage: offer.stage,
        outcome: AttemptOutcome::Success,
        completion_token: "seal".into(),
        ended_ago: Span::ZERO,
    };
    Event::MessageReceived { from: daemon("delivery-1"), message: PeerMessage::AttemptResults { entries: vec![one] } }
}

/// Finding of the soak (issue 32, seed 32308): the age that a delivery gives a
/// success counts from when it was sent. Read by a store that stood still, the
/// attempt seemed to have ended when the store woke, and an alarm said that it
/// had run on beyond its end.
#[test]
fn a_success_that_waited_for_a_frozen_store_did_not_outlive_its_attempt() {
    let mut pair = handed_out();
    let word = success(&pair);
    pair.run(Span::millis(1_500));
    // It is sent as the freeze begins, well before the attempt's end, and read
    // after it, behind the clock's event.
    pair.now += Span::secs(2);
    pair.step(0, Event::Tick);
    pair.step(0, word);
    pair.reach(FIRST, pair.now);
    pair.run(Span::secs(1));
    assert_eq!(pair.offers.len(), 1, "it was handed out again");
    assert_eq!(pair.stores[0].counts.overrun_attempts, 0, "an alarm that lies");
    assert_eq!(pair.stores[0].counts.unreported_attempts, 0, "its word lay unread");
}

/// The alarm still tells the truth: without a standstill, and when the words
/// that lay unread after one have been read.
#[test]
fn a_success_beyond_its_attempts_end_is_told_of() {
    for frozen in [Span::ZERO, Span::secs(2)] {
        let mut pair = handed_out();
        pair.run(Span::millis(1_500));
        pair.now += frozen;
        pair.step(0, Event::Tick);
        pair.run(Span::secs(4));
        assert_eq!(pair.stores[0].counts.unreported_attempts, 1, "after {frozen:?}");
        let word = success(&pair);
        pair.step(0, word);
        assert_eq!(pair.stores[0].counts.overrun_attempts, 1, "after {frozen:?}");
    }
}
