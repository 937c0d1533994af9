//! Messages with large bodies that are due at once.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use settings::caller_request;
use store_pair::*;

const BODY_BYTES: usize = 255_000;
const MESSAGES: u64 = 72;
/// What the transport queues for one peer.
const MAX_QUEUED_BYTES: u64 = 16 << 20;

/// Stores with messages that all come due together, a little later.
fn stores_with_messages() -> StorePair {
    let mut stores = StorePair::new();
    for number in 0..MESSAGES {
        let header = MessageHeader {
            id: MessageId(format!("0-{number:x}")),
            route: "bulk".into(),
            route_pattern: "h/".into(),
            caller_request: Some(Box::new(caller_request())),
            delay: Span::secs(2),
            ..MessageHeader::default()
        };
        let body = Bytes::from(vec![number as u8; BODY_BYTES]);
        assert_eq!(stores.submit_with_body(header, body), [SubmitOutcome::Accepted { stage: Stage::Pending }]);
    }
    stores.run(Span::secs(2));
    stores
}

/// A delivery reports workers for all messages at once, and so many bytes.
fn report(stores: &mut StorePair, body_bytes: u64) {
    let services = vec![("sheets".to_string(), 2 * MESSAGES as u32)];
    let capacity = RoutedCapacity { incarnation: FIRST_INCARNATION, services, addresses: Vec::new(), body_bytes };
    stores.report_routed_capacity(capacity, stores.now);
}

fn body_bytes(offers: &[Offer]) -> u64 {
    offers.iter().map(|offer| offer.body.len() as u64).sum()
}

/// Issue 48, LOST: due messages went into one frame, which was over the largest size and
/// was dropped without a word, again with each retry. They were never run.
#[test]
fn offers_are_divided_into_frames() {
    let mut stores = stores_with_messages();
    report(&mut stores, 0);
    assert!(!stores.offers.is_empty());
    assert!(stores.largest_offers_message <= MAX_FRAME_BYTES, "{} bytes in one frame", stores.largest_offers_message);
}

/// What one delivery is offered fits into the queue of frames to it. All messages run as
/// results come in.
#[test]
fn offers_to_one_delivery_are_bounded_in_bytes() {
    let mut stores = stores_with_messages();
    let mut ended = 0;
    while ended < MESSAGES {
        report(&mut stores, 0);
        stores.run(Span::millis(40));
        assert!(body_bytes(&stores.offers) <= MAX_QUEUED_BYTES / 2 + BODY_BYTES as u64);
        let oldest = stores.offers.remove(0);
        stores.succeed(&oldest);
        ended += 1;
    }
    assert!(stores.offers.is_empty());
}

/// A delivery with little memory reports less. A body above its limit is offered alone.
#[test]
fn a_delivery_gets_no_more_bytes_than_it_reports() {
    let mut stores = stores_with_messages();
    report(&mut stores, 600_000);
    assert_eq!(stores.offers.len(), 3);
    let mut stores = stores_with_messages();
    report(&mut stores, 1);
    assert_eq!(stores.offers.len(), 1);
}
