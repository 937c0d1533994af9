//! A store whose disk was lost is made whole while its leader takes messages
//! in and messages end.
mod loaded;
mod settings;
use dw_queue::prelude::*;
use loaded::*;

/// Issue 32: each message that ended between the list and its bytes made the
/// copy begin anew, so that under load it never came to an end.
#[test]
fn messages_that_end_on_the_way_do_not_begin_a_copy_anew() {
    let mut stores = Loaded::with_messages(3, 600);
    stores.lose_disk();
    let took = stores.run_until_whole(Span::secs(4));
    assert_eq!(stores.notes_of(LogEvent::BodyChecksumMismatch), 0, "bytes that were let go of pass for bad ones");
    assert!(took < Span::secs(1), "{} ms", took.as_millis());
    stores.assert_same();
}

/// What is kept of messages that ended is not sent in one frame, however much
/// it is.
#[test]
fn no_answer_of_a_copy_grows_with_the_partition() {
    let mut stores = Loaded::with_messages(3, 600);
    stores.lose_disk();
    stores.run_until_whole(Span::secs(4));
    assert!(stores.largest <= 1 << 20, "{} bytes in one message", stores.largest);
}

/// A store that was away for a while has nearly all: bytes that it holds are
/// not sent again.
#[test]
fn bytes_that_a_store_holds_are_not_sent_again() {
    let mut stores = Loaded::with_messages(2, 600);
    stores.cut_off(Span::secs(3));
    let before = stores.sent_to_replica;
    stores.run_until_whole(Span::secs(4));
    let sent = stores.sent_to_replica - before;
    assert!(sent < 1_000_000, "{sent} bytes sent to a store that held nearly all");
    stores.assert_same();
}

/// What the source has not is asked for again and again, but not at once.
#[test]
fn a_copy_that_lacks_what_nobody_has_does_not_press_its_source() {
    let mut stores = Loaded::with_messages(2, 50);
    stores.alter_one();
    stores.lose_disk();
    stores.run(Span::secs(1));
    let before = stores.parts;
    stores.run(Span::secs(4));
    assert!((1..=20).contains(&(stores.parts - before)), "{} parts in 4 s", stores.parts - before);
}
