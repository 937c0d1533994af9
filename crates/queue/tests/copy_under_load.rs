//! A store that lost its disk fetches a copy while its leader accepts messages and
//! messages end.
mod loaded_stores;
mod settings;
use dw_queue::prelude::*;
use loaded_stores::*;

/// Issue 32: each message that ended between the list of records and the request for its
/// body restarted the copy, so that under load it was never complete.
#[test]
fn messages_that_end_during_a_copy_do_not_restart_it() {
    let mut stores = LoadedStores::with_messages(3, 600);
    stores.replace_disk_of_replica();
    let took = stores.run_until_copied(Span::secs(4));
    assert_eq!(stores.event_count(LogEvent::BodyChecksumMismatch), 0, "released bodies are taken for corrupt ones");
    assert!(took < Span::secs(1), "{} ms", took.as_millis());
    stores.assert_same_records();
}

/// The records of messages that ended are sent in several frames, however many there are.
#[test]
fn no_part_of_a_copy_grows_with_the_partition() {
    let mut stores = LoadedStores::with_messages(3, 600);
    stores.replace_disk_of_replica();
    stores.run_until_copied(Span::secs(4));
    assert!(stores.largest_message <= 1 << 20, "{} bytes in one message", stores.largest_message);
}

/// A store that was unreachable for a while has nearly all messages: bodies that it holds
/// are not sent again.
#[test]
fn bodies_that_a_store_holds_are_not_sent_again() {
    let mut stores = LoadedStores::with_messages(2, 600);
    stores.isolate_leader(Span::secs(3));
    let before = stores.sent_to_replica;
    stores.run_until_copied(Span::secs(4));
    let sent = stores.sent_to_replica - before;
    assert!(sent < 1_000_000, "{sent} bytes sent to a store that held nearly all");
    stores.assert_same_records();
}

/// A body that the source does not have is requested again and again, but not at once.
#[test]
fn a_copy_that_lacks_a_body_that_no_store_has_does_not_flood_its_source() {
    let mut stores = LoadedStores::with_messages(2, 50);
    stores.corrupt_one_body();
    stores.replace_disk_of_replica();
    stores.run(Span::secs(1));
    let before = stores.copy_parts;
    stores.run(Span::secs(4));
    assert!((1..=20).contains(&(stores.copy_parts - before)), "{} parts in 4 s", stores.copy_parts - before);
}
