//! Requests taken in by the configuration's routes: matched, named, carried to a
//! partition's leader, and sought again by their names.
use super::{Bounds, Carry, Peek};
use crate::prelude::*;
use crate::verdicts;

/// How long callers may still be sent here after it is no longer ready.
pub(super) const LINGER: Span = Span::millis(2600);
/// A copy without a word for this long is sent another way.
const SECOND: Span = Span::millis(150);
/// The last word comes no later than so many times the time wanted.
const PATIENCE: u64 = 5;
const LEAST: Span = Span::millis(400);
/// Looked for again after this, and given up after that.
const SOUGHT: Span = Span::millis(1700);

fn short(why: &str) -> ApiResponse {
    verdicts::not_taken(503, why, Some(Span::secs(1)))
}

impl Proxy {
    /// Whether callers may be sent here: it knows the configuration in force and
    /// some leader of the spool that answers.
    pub(super) fn ready(&self, now: Time) -> bool {
        self.leaving.is_none() && self.link.config_is_current(now) && self.free_part(now).is_some()
    }

    fn wall(&self, now: Time) -> u64 {
        self.startup.wall + now.since(self.startup.now).0
    }

    /// A partition for a message that may be kept in any: one whose leader
    /// answers, in this zone if there is one.
    fn free_part(&self, now: Time) -> Option<u32> {
        let spool = self.link.rules.spool_partitions;
        let near = &self.startup.me.zone;
        let fit: Vec<(bool, u32)> = (0..spool)
            .filter_map(|n| {
                let leader = &self.link.partition_locations.get(&Rules::spool_partition(n))?.leader;
                let zone = self.link.zone_of(leader)?;
                (!self.outages.avoids(leader, now)).then_some((zone == near, n))
            })
            .collect();
        let any_near = fit.iter().any(|f| f.0);
        let fit: Vec<u32> = fit.into_iter().filter(|f| f.0 || !any_near).map(|f| f.1).collect();
        (!fit.is_empty()).then(|| fit[self.next as usize % fit.len()])
    }

    pub(super) fn on_post(
        &mut self,
        ask: RequestId,
        parcel: Box<CallerRequest>,
        delay: Span,
        desk: String,
        body: Bytes,
        now: Time,
    ) {
        self.counts.handed += 1;
        if !self.link.config_is_current(now) {
            self.counts.refused += 1;
            return self.tell(ask, short("this proxy can't confirm the charter in force"));
        }
        let path = parcel.path.split('?').next().unwrap_or_default();
        let Some(route) = self.link.rules.routes.find_match(&parcel.host, path).cloned() else {
            self.counts.refused += 1;
            return self.tell(ask, verdicts::not_taken(404, "no route matches this host and path", None));
        };
        let most = self.link.rules.limits.max_body_bytes;
        let wrong = match () {
            _ if parcel.id.is_empty() => Some((400, "a request needs an id")),
            _ if most > 0 && body.len() as u64 > most => Some((413, "the body is larger than is taken")),
            _ if route.ordered && parcel.key.is_empty() => Some((400, "this route is ordered; name an ordering key")),
            _ => None,
        };
        if let Some((code, why)) = wrong {
            self.counts.refused += 1;
            return self.tell(ask, verdicts::not_taken(code, why, None));
        }
        if self.carries.len() as u64 >= self.startup.seats {
            self.counts.refused += 1;
            return self.tell(ask, short("too much is under way here"));
        }
        let key = match route.ordered {
            true => format!("{}\u{1f}{}", route.name, parcel.key),
            false => String::new(),
        };
        let spool = self.link.rules.spool_partitions.max(1);
        let part = match key.is_empty() {
            true => self.free_part(now),
            false => Some((hash_of(key.as_bytes()) % u64::from(spool)) as u32),
        };
        let Some(part) = part else {
            self.counts.refused += 1;
            return self.tell(ask, short("no store keeps messages just now"));
        };
        if !key.is_empty() && self.leader_is_lost(part, now) {
            self.counts.refused += 1;
            return self.tell(ask, short("the store that keeps this key's messages does not answer"));
        }
        let head = MessageHeader {
            id: self.name(part),
            key,
            crc: crc32(&body),
            len: body.len() as u32,
            callback: if route.allows_callback { desk } else { String::new() },
            route: route.name.clone(),
            caller_request: Some(parcel),
            accepted_unix_micros: self.wall(now),
            delay,
            ..MessageHeader::default()
        };
        let limit = Span((route.target_latency.0 * PATIENCE).max(LEAST.0)).min(self.startup.limit);
        let carry = Carry {
            ask,
            tenant: String::new(),
            seated: false,
            place: Rules::spool_partition(part),
            head,
            body,
            first: true,
            refuse: None,
            open: BTreeSet::new(),
            sent_any: false,
            stale: 0,
            since: now,
            sent: now,
            tried: BTreeSet::new(),
            post: Some(Bounds { second: SECOND, limit, wanted: route.target_latency }),
            doubt: false,
        };
        let n = self.next;
        self.next += 1;
        self.carries.insert(n, carry);
        if !self.send_copy(n, false, now) {
            self.give_up(n);
        }
    }

    /// Whether a message of this partition alone is refused at once, as its
    /// leader was silent for long.
    fn leader_is_lost(&mut self, part: u32, now: Time) -> bool {
        let leader = self.link.partition_locations.get(&Rules::spool_partition(part)).map(|placing| &placing.leader);
        leader.is_some_and(|leader| self.outages.refuses(leader, now))
    }

    /// A name that nobody else gives and that leads any proxy to the leader.
    fn name(&mut self, part: u32) -> MessageId {
        let n = self.next;
        self.next += 1;
        MessageId(format!("{part:x}-{n:x}"))
    }

    /// The leader wrote nothing: a message that may be kept anywhere goes to
    /// another partition under another name; one of a key waits for its own.
    pub(super) fn post_elsewhere(&mut self, n: u64, now: Time) {
        let Some(c) = self.carries.get(&n) else { return };
        let Some(bounds) = c.post else { return };
        if c.doubt || now.since(c.since) >= bounds.limit {
            return self.give_up(n);
        }
        let leader = self.link.partition_locations.get(&c.place).map(|placing| &placing.leader);
        if !c.head.key.is_empty() {
            return self.outages.note_elsewhere(None, &c.place, now);
        }
        self.outages.note_elsewhere(leader, &c.place, now);
        let Some(part) = self.free_part(now) else { return self.not_kept(n) };
        let id = self.name(part);
        let Some(c) = self.carries.get_mut(&n) else { return };
        c.head.id = id;
        c.place = Rules::spool_partition(part);
        c.tried.clear();
        if !self.send_copy(n, false, now) {
            self.not_kept(n);
        }
    }

    /// No copy was written anywhere and none is on its way.
    pub(super) fn not_kept(&mut self, n: u64) {
        self.close(n, short("no store keeps this partition just now"));
    }

    pub(super) fn on_seek(&mut self, ask: RequestId, name: String, body: bool, now: Time) {
        self.counts.looked += 1;
        let part = name.split_once('-').and_then(|(p, _)| u32::from_str_radix(p, 16).ok());
        let Some(part) = part.filter(|p| *p < self.link.rules.spool_partitions || self.link.rules.spool_partitions == 0) else {
            return self.tell(ask, verdicts::no_such());
        };
        if self.link.rules.spool_partitions == 0 || self.peeks.len() as u64 >= self.startup.seats * 2 {
            return self.tell(ask, verdicts::unread());
        }
        let n = self.next;
        self.next += 1;
        let peek = Peek {
            ask,
            place: Rules::spool_partition(part),
            id: MessageId(name),
            body,
            since: now,
            sent: now,
            tried: BTreeSet::new(),
            sought: true,
        };
        self.peeks.insert(n, peek);
        if !self.send_peek(n, now) {
            self.end_peek(n, verdicts::unread());
        }
    }

    pub(super) fn peek_limit(p: &Peek, limit: Span) -> Span {
        if p.sought {
            SOUGHT
        } else {
            limit
        }
    }
}
