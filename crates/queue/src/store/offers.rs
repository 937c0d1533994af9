//! The offers of one step: limited by the bytes that are in flight at each delivery, and
//! sent in messages of bounded size.
use crate::partial_copy::record_size;
use crate::prelude::*;

/// Bytes of the offers in one message; the offer that crosses it is still sent.
const MAX_BYTES_PER_MESSAGE: usize = 1 << 20;
/// Body bytes that this store has in flight at one delivery. They fit into the queue of
/// frames for one peer, even if they are all offered at once.
const MAX_IN_FLIGHT_BYTES: u64 = 8 << 20;

/// The offers of one step, by delivery.
///
/// Invariant: `in_flight_bytes` counts the bodies of all attempts of this store that are
/// in flight, those of `offers` included.
pub(super) struct OfferBatch {
    offers: BTreeMap<Daemon, (Time, Vec<Offer>)>,
    in_flight_bytes: BTreeMap<Daemon, u64>,
}

impl OfferBatch {
    /// Whether a delivery takes one more body. `limit` is what it reported, 0 if it did
    /// not. A body that crosses the limit is still offered, so one always is.
    pub fn has_room(&self, delivery: &Daemon, limit: u64) -> bool {
        let limit = if limit == 0 { MAX_IN_FLIGHT_BYTES } else { limit.min(MAX_IN_FLIGHT_BYTES) };
        self.in_flight_bytes.get(delivery).is_none_or(|bytes| *bytes < limit)
    }

    pub fn add(&mut self, to: Daemon, requested_at: Time, offer: Offer) {
        add_bytes(&mut self.in_flight_bytes, &to, offer.body.len() as u64);
        self.offers.entry(to).or_insert((requested_at, Vec::new())).1.push(offer);
    }
}

fn add_bytes(by_delivery: &mut BTreeMap<Daemon, u64>, delivery: &Daemon, bytes: u64) {
    match by_delivery.get_mut(delivery) {
        Some(sum) => *sum += bytes,
        None => _ = by_delivery.insert(delivery.clone(), bytes),
    }
}

fn offer_size(offer: &Offer) -> usize {
    record_size(&offer.header) + offer.body.len()
}

impl Store {
    /// An empty batch.
    pub(super) fn begin_offers(&self) -> OfferBatch {
        let mut in_flight_bytes = BTreeMap::new();
        let led = self.partitions.values().filter_map(|part| part.leader_state.as_ref());
        for attempt in led.flat_map(|lead| lead.queues.in_flight.values()) {
            add_bytes(&mut in_flight_bytes, &attempt.delivery, attempt.body_bytes);
        }
        OfferBatch { offers: BTreeMap::new(), in_flight_bytes }
    }

    /// Sends a batch.
    pub(super) fn send_offers(&mut self, batch: OfferBatch) {
        for (to, (requested_at, offers)) in batch.offers {
            let mut entries = Vec::new();
            let mut size = 0;
            for offer in offers {
                size += offer_size(&offer);
                entries.push(offer);
                if size >= MAX_BYTES_PER_MESSAGE {
                    self.send(&to, PeerMessage::Offers { requested_at, entries: std::mem::take(&mut entries) });
                    size = 0;
                }
            }
            if !entries.is_empty() {
                self.send(&to, PeerMessage::Offers { requested_at, entries });
            }
        }
    }
}
