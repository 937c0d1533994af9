//! A store that stood still reads words that lay in its socket meanwhile.
mod pair;
mod settings;
use dw_waitlist::prelude::*;
use pair::*;
use settings::*;

/// Finding of the soak (issue 32, seed 32308): the age that a delivery gives a
/// success counts from when it was sent. Read by a store that stood still, the
/// attempt seemed to have ended when the store woke, and an alarm said that it
/// had run on beyond its end.
#[test]
fn a_success_that_waited_for_a_frozen_store_did_not_outlive_its_attempt() {
    let mut pair = Pair::new();
    pair.reach(FIRST, pair.now);
    pair.carry();
    pair.run(Span::millis(100));
    let offer = pair.offers[0].clone();
    let one = Settled {
        place: place(),
        id: offer.head.id,
        epoch: offer.epoch,
        attempt: offer.attempt,
        stage: offer.stage,
        told: Told::Success,
        seal: "seal".into(),
        ended_ago: Span::ZERO,
    };
    pair.run(Span::millis(1_500));
    // It is sent as the freeze begins, well before the attempt's end, and read
    // after it, behind the clock's event.
    pair.now += Span::secs(2);
    pair.step(0, Event::Clock);
    pair.step(0, Event::Hear { from: daemon("delivery-1"), msg: Msg::Settled { all: vec![one] } });
    pair.reach(FIRST, pair.now);
    pair.run(Span::secs(1));
    assert_eq!(pair.offers.len(), 1, "it was handed out again");
    assert_eq!(pair.stores[0].counts.outlived, 0, "an alarm that lies");
}
