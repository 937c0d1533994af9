//! How a store treats messages of different incarnations of one delivery.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use store_pair::*;

#[test]
fn a_new_incarnation_ends_the_attempts_of_the_earlier_and_a_late_message_of_that_ends_nothing() {
    let mut stores = StorePair::new();
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.submit();
    stores.run(Span::millis(100));
    assert_eq!(stores.offers.len(), 1, "not dispatched to the first incarnation");
    stores.report_capacity(SECOND_INCARNATION, stores.now);
    stores.run(Span::millis(300));
    stores.report_capacity(SECOND_INCARNATION, stores.now);
    assert_eq!(stores.offers.len(), 2, "not dispatched to the second incarnation");
    // The last message of the first incarnation arrives late.
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.run(Span::millis(300));
    stores.report_capacity(SECOND_INCARNATION, stores.now);
    stores.run(Span::millis(300));
    assert_eq!(stores.offers.len(), 2, "dispatched again while the second incarnation has it");
}
