//! An open message that nothing would ever run again.
mod pair;
mod settings;
use dw_queue::prelude::*;
use pair::*;

#[test]
fn a_message_in_no_line_is_counted_and_let_in_again() {
    let mut pair = Pair::new();
    pair.carry();
    pair.run(Span::millis(100));
    let part = pair.stores[0].parts.get_mut(&place()).unwrap();
    part.leader_state.as_mut().unwrap().queues.routed.clear();
    pair.run(Span::millis(1200));
    assert_eq!(pair.stores[0].counts.stranded, 1);
    pair.reach(FIRST, pair.now);
    pair.run(Span::millis(100));
    assert_eq!(pair.offers.len(), 1);
}

/// One that waits, one that is under way and one whose success is being
/// written are where they belong.
#[test]
fn messages_that_go_their_way_are_not_counted() {
    let mut pair = Pair::new();
    pair.carry();
    pair.run(Span::millis(1200));
    pair.reach(FIRST, pair.now);
    pair.run(Span::millis(1200));
    assert_eq!((pair.offers.len(), pair.stores[0].counts.stranded), (1, 0));
}
