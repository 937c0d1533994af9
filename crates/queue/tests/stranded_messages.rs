//! Pending messages that are in no queue, so that nothing would ever dispatch them.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use store_pair::*;

#[test]
fn a_message_in_no_queue_is_counted_and_queued_again() {
    let mut stores = StorePair::new();
    stores.submit();
    stores.run(Span::millis(100));
    let part = stores.cores[0].partitions.get_mut(&partition()).unwrap();
    part.leader_state.as_mut().unwrap().queues.routed.clear();
    stores.run(Span::millis(1200));
    assert_eq!(stores.cores[0].counts.stranded_requeued, 1);
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.run(Span::millis(100));
    assert_eq!(stores.offers.len(), 1);
}

/// A message that waits, one in flight and one whose success is being written are not
/// stranded.
#[test]
fn messages_that_make_progress_are_not_counted() {
    let mut stores = StorePair::new();
    stores.submit();
    stores.run(Span::millis(1200));
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.run(Span::millis(1200));
    assert_eq!((stores.offers.len(), stores.cores[0].counts.stranded_requeued), (1, 0));
}
