//! Which life of a delivery a store believes.
mod pair;
mod settings;
use dw_queue::prelude::*;
use pair::*;

#[test]
fn a_new_life_ends_what_the_earlier_had_in_hand_and_a_late_word_of_that_ends_nothing() {
    let mut pair = Pair::new();
    pair.reach(FIRST, pair.now);
    pair.carry();
    pair.run(Span::millis(100));
    assert_eq!(pair.offers.len(), 1, "not handed out to the first life");
    pair.reach(SECOND, pair.now);
    pair.run(Span::millis(300));
    pair.reach(SECOND, pair.now);
    assert_eq!(pair.offers.len(), 2, "not handed out to the second life");
    // What the first life wrote last comes late.
    pair.reach(FIRST, pair.now);
    pair.run(Span::millis(300));
    pair.reach(SECOND, pair.now);
    pair.run(Span::millis(300));
    assert_eq!(pair.offers.len(), 2, "handed out again while the second life has it");
}
