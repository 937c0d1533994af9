//! Requests accepted by the configuration's routes: they are matched to a route, get a
//! message id, are submitted to a partition's leader and can be looked up by that id.
use super::{PendingLookup, RoutedTimeouts, Submission};
use crate::prelude::*;
use crate::responses;

/// How long callers may still be directed here after the proxy reports that it is not ready.
pub(super) const SHUTDOWN_LINGER: Span = Span::millis(2600);
/// A copy that is unanswered for this long is followed by a second one on another path.
const ROUTED_RESEND_AFTER: Span = Span::millis(150);
/// The response is sent after at most this multiple of the route's target time.
const MAX_TARGET_MULTIPLE: u64 = 5;
/// The response timeout is never shorter than this.
const MIN_RESPONSE_TIMEOUT: Span = Span::millis(400);
/// The lookup of a routed message ends after this.
const ROUTED_LOOKUP_TIMEOUT: Span = Span::millis(1700);

/// 503 with a retry after one second.
fn unavailable(reason: &str) -> ApiResponse {
    responses::rejected(503, reason, Some(Span::secs(1)))
}

impl Proxy {
    /// Whether callers may be directed here: the proxy knows the configuration in force and
    /// a leader of a spool partition that answers.
    pub(super) fn is_ready(&self, now: Time) -> bool {
        self.leaving_since.is_none() && self.link.config_is_current(now) && self.choose_partition(now).is_some()
    }

    /// The wall-clock time of `now`, in microseconds since 1970.
    fn unix_micros(&self, now: Time) -> u64 {
        self.startup.start_unix_micros + now.since(self.startup.started_at).0
    }

    /// Chooses the partition for a message that may go to any: one whose leader answers,
    /// in this zone if there is one.
    fn choose_partition(&self, now: Time) -> Option<u32> {
        let spool = self.link.rules.spool_partitions;
        let own_zone = &self.startup.me.zone;
        let candidates: Vec<(bool, u32)> = (0..spool)
            .filter_map(|n| {
                let leader = &self.link.partition_locations.get(&Rules::spool_partition(n))?.leader;
                let zone = self.link.zone_of(leader)?;
                (!self.outages.should_avoid(leader, now)).then_some((zone == own_zone, n))
            })
            .collect();
        let any_in_zone = candidates.iter().any(|f| f.0);
        let candidates: Vec<u32> = candidates.into_iter().filter(|f| f.0 || !any_in_zone).map(|f| f.1).collect();
        (!candidates.is_empty()).then(|| candidates[self.next_number as usize % candidates.len()])
    }

    /// Accepts a request by the configuration's routes and sends the first copy.
    pub(super) fn on_submit_routed(
        &mut self,
        request: RequestId,
        caller_request: Box<CallerRequest>,
        delay: Span,
        callback: String,
        body: Bytes,
        now: Time,
    ) {
        self.counts.submitted += 1;
        if !self.link.config_is_current(now) {
            self.counts.rejected += 1;
            return self.respond(request, unavailable("this proxy can't confirm the charter in force"));
        }
        let path = caller_request.path_without_query();
        let Some(route) = self.link.rules.routes.find_match(&caller_request.host, path).cloned() else {
            self.counts.rejected += 1;
            return self.respond(request, responses::rejected(404, "no route matches this host and path", None));
        };
        let max_body_bytes = match self.link.rules.limits.max_body_bytes {
            0 => MAX_BODY_BYTES,
            configured => configured.min(MAX_BODY_BYTES),
        };
        let invalid = match () {
            _ if caller_request.id.is_empty() => Some((400, "a request needs an id")),
            _ if body.len() as u64 > max_body_bytes => Some((413, "the body is larger than is taken")),
            _ if route.ordered && caller_request.key.is_empty() => Some((400, "this route is ordered; name an ordering key")),
            _ => None,
        };
        if let Some((code, why)) = invalid {
            self.counts.rejected += 1;
            return self.respond(request, responses::rejected(code, why, None));
        }
        if self.submissions.len() as u64 >= self.startup.max_submissions {
            self.counts.rejected += 1;
            return self.respond(request, unavailable("too much is under way here"));
        }
        // A key is heeded whether the route is ordered now or not: it may become so while the
        // message waits.
        let key = match caller_request.key.is_empty() {
            true => String::new(),
            false => route.order_scope.scoped_key(&caller_request.key),
        };
        let partition_number = match key.is_empty() {
            true => self.choose_partition(now),
            false => Some(self.link.rules.spool_partition_of_key(&key)),
        };
        let Some(partition_number) = partition_number else {
            self.counts.rejected += 1;
            return self.respond(request, unavailable("no store keeps messages just now"));
        };
        if !key.is_empty() && self.leader_is_lost(partition_number, now) {
            self.counts.rejected += 1;
            return self.respond(request, unavailable("the store that keeps this key's messages does not answer"));
        }
        let header = MessageHeader {
            id: self.new_message_id(partition_number),
            key,
            crc: crc32(&body),
            len: body.len() as u32,
            callback: if route.allows_callback { callback } else { String::new() },
            route: route.name.clone(),
            route_pattern: route.pattern.clone(),
            caller_request: Some(caller_request),
            accepted_unix_micros: self.unix_micros(now),
            delay,
            ..MessageHeader::default()
        };
        let response_timeout =
            Span((route.target_latency.0 * MAX_TARGET_MULTIPLE).max(MIN_RESPONSE_TIMEOUT.0)).min(self.startup.response_timeout);
        let submission = Submission {
            request,
            tenant: String::new(),
            holds_slot: false,
            partition: Rules::spool_partition(partition_number),
            header,
            config_version: self.link.rules.version,
            body,
            declared_new: true,
            refusal: None,
            open_copies: BTreeSet::new(),
            any_copy_sent: false,
            stale_answers: 0,
            received_at: now,
            last_sent_at: now,
            tried: BTreeSet::new(),
            routed: Some(RoutedTimeouts {
                resend_after: ROUTED_RESEND_AFTER,
                response_timeout,
                response_target: route.target_latency,
            }),
            maybe_written: false,
        };
        let n = self.next_number;
        self.next_number += 1;
        self.submissions.insert(n, submission);
        if !self.send_copy(n, false, now) {
            self.give_up(n);
        }
    }

    /// Whether a message that only this partition may hold is rejected at once, because the
    /// leader has been silent for long.
    fn leader_is_lost(&mut self, partition_number: u32, now: Time) -> bool {
        let leader =
            self.link.partition_locations.get(&Rules::spool_partition(partition_number)).map(|location| &location.leader);
        leader.is_some_and(|leader| self.outages.should_reject(leader, now))
    }

    /// A message id that no other proxy assigns and from which any proxy can tell the partition.
    fn new_message_id(&mut self, partition_number: u32) -> MessageId {
        let n = self.next_number;
        self.next_number += 1;
        MessageId(format!("{partition_number:x}-{n:x}"))
    }

    /// The store wrote nothing, as it does not lead the partition. A message without a key
    /// goes to another partition under a new id; one with a key waits for its partition.
    pub(super) fn retry_not_leader(&mut self, n: u64, now: Time) {
        let Some(submission) = self.submissions.get(&n) else { return };
        let Some(timeouts) = submission.routed else { return };
        if submission.maybe_written || now.since(submission.received_at) >= timeouts.response_timeout {
            return self.give_up(n);
        }
        let leader = self.link.partition_locations.get(&submission.partition).map(|location| &location.leader);
        if !submission.header.key.is_empty() {
            return self.outages.record_not_leader(None, &submission.partition, now);
        }
        self.outages.record_not_leader(leader, &submission.partition, now);
        let Some(partition_number) = self.choose_partition(now) else { return self.reject_unwritten(n) };
        let id = self.new_message_id(partition_number);
        let Some(submission) = self.submissions.get_mut(&n) else { return };
        submission.header.id = id;
        submission.partition = Rules::spool_partition(partition_number);
        submission.tried.clear();
        if !self.send_copy(n, false, now) {
            self.reject_unwritten(n);
        }
    }

    /// Rejects a message of which no copy was written and none is open.
    pub(super) fn reject_unwritten(&mut self, n: u64) {
        self.finish_submission(n, unavailable("no store keeps this partition just now"));
    }

    /// Starts the lookup of a routed message, whose id starts with its partition's number.
    pub(super) fn on_lookup_routed(&mut self, request: RequestId, name: String, with_body: bool, now: Time) {
        self.counts.lookups += 1;
        let partition_number = name.split_once('-').and_then(|(p, _)| u32::from_str_radix(p, 16).ok());
        let Some(partition_number) =
            partition_number.filter(|p| *p < self.link.rules.spool_partitions || self.link.rules.spool_partitions == 0)
        else {
            return self.respond(request, responses::not_found());
        };
        if self.link.rules.spool_partitions == 0 || self.lookups.len() as u64 >= self.startup.max_submissions * 2 {
            return self.respond(request, responses::partition_unreadable());
        }
        let n = self.next_number;
        self.next_number += 1;
        let lookup = PendingLookup {
            request,
            partition: Rules::spool_partition(partition_number),
            id: MessageId(name),
            with_body,
            received_at: now,
            last_sent_at: now,
            tried: BTreeSet::new(),
            is_routed: true,
        };
        self.lookups.insert(n, lookup);
        if !self.send_lookup(n, now) {
            self.finish_lookup(n, responses::partition_unreadable());
        }
    }

    /// How long a lookup may take: `timeout`, or less for a routed message.
    pub(super) fn lookup_timeout(lookup: &PendingLookup, timeout: Span) -> Span {
        if lookup.is_routed {
            ROUTED_LOOKUP_TIMEOUT
        } else {
            timeout
        }
    }
}
