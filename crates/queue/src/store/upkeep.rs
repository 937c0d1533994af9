//! Periodic maintenance: removing records past their retention, tracking duties that
//! nobody serves, and rewriting files that are mostly garbage.
use super::BodyWaiter;
use crate::prelude::*;

/// A replica drops ended records by itself this much later than its leader would.
const REPLICA_RETENTION_MARGIN: Span = Span::secs(30);
/// Bytes of the oldest file that are rewritten in one second at most.
const MAX_REWRITE_BYTES: u64 = 2 << 20;

impl Store {
    /// Runs every second: handles attempts past their deadline, messages past their
    /// retention or expiry, and the oldest file.
    pub(super) fn run_maintenance(&mut self, now: Time) {
        let retain = self.link.rules.retention;
        let led: Vec<PartitionId> = self.partitions.keys().filter(|k| self.is_serving(k, now)).cloned().collect();
        for partition in led {
            self.expire_overdue_attempts(&partition, now);
            let Some(part) = self.partitions.get_mut(&partition) else { continue };
            let Some(lead) = part.leader_state.as_mut() else { continue };
            // Deferred successes whose other attempts are over by now.
            let (hold_until, queues) = (lead.hold_until, &lead.queues);
            let to_release: Vec<MessageId> = lead
                .unpublished_successes
                .iter()
                .filter(|s| !queues.in_flight.contains_key(s) && !queues.is_held(**s, hold_until, now))
                .filter_map(|s| queues.ids.get(s).cloned())
                .collect();
            let mut to_drop = Vec::new();
            let mut expired = Vec::new();
            let mut stranded = Vec::new();
            for (id, record) in &part.records {
                match record.stage {
                    Stage::Ended(_) if retain > Span::ZERO && now.since(record.ended_at) > retain => to_drop.push(id.clone()),
                    Stage::Pending
                        if record.header.ttl.is_some_and(|t| now.since(record.received_at) > t)
                            && !lead.queues.in_flight.contains_key(&record.header.seq)
                            && !lead.unpublished_successes.contains(&record.header.seq) =>
                    {
                        expired.push(id.clone());
                    }
                    Stage::Pending
                        if !record.header.route.is_empty()
                            && !lead.visible_stages.contains_key(id)
                            && !lead.queues.is_tracked(&record.header) =>
                    {
                        stranded.push(id.clone());
                    }
                    _ => {}
                }
            }
            for id in to_release {
                self.release_deferred_success(&partition, &id, now);
            }
            for id in stranded {
                self.requeue_stranded(&partition, &id, now);
            }
            for id in expired {
                self.set_stage(&partition, &id, Stage::Ended(Outcome::Expired), None, now);
            }
            for id in to_drop.into_iter().take(2000) {
                self.write_op(&partition, PartitionOp::Remove(id), now);
            }
        }
        self.expire_routed(now);
        self.drop_old_replica_records(now);
        self.track_unserved_duties(now);
        self.rewrite_oldest_file();
    }

    /// Removes old records from replicas. One that no leader maintains receives no
    /// removals, so each drops its ended records by itself, later than any leader would.
    fn drop_old_replica_records(&mut self, now: Time) {
        let retain = self.link.rules.retention;
        if retain == Span::ZERO {
            return;
        }
        for (partition, part) in
            self.partitions.iter_mut().filter(|(_, part)| part.leader_state.is_none() && part.copy_fetch.is_none())
        {
            let is_past_retention = |record: &Record| {
                matches!(record.stage, Stage::Ended(_)) && now.since(record.ended_at) > retain + REPLICA_RETENTION_MARGIN
            };
            let expired: Vec<MessageId> = part
                .records
                .iter()
                .filter(|(_, record)| is_past_retention(record))
                .map(|(id, _)| id.clone())
                .take(1000)
                .collect();
            for id in expired {
                self.held_bytes += part.remove_record(partition, &id, &mut self.journal);
                self.journal.push(JournalEntry::Op {
                    partition: partition.clone(),
                    number: part.last_op,
                    op: PartitionOp::Remove(id),
                });
            }
        }
    }

    /// Records duties with something due whose holder has not reported capacity lately.
    fn track_unserved_duties(&mut self, now: Time) {
        if !self.link.config_is_current(now) {
            return self.unserved_since.clear();
        }
        let (queues, _) = self.ready_queues(now);
        self.unserved_since.retain(|d, _| queues.contains_key(d));
        for duty in queues.into_keys() {
            if self.reported_capacity.get(&duty).is_some_and(|c| now.since(c.received_at) < Span::millis(1500)) {
                self.unserved_since.remove(&duty);
                continue;
            }
            self.unserved_since.entry(duty).or_insert(now);
        }
    }

    /// The duties whose holder seems unreachable, for the report to placement.
    pub(super) fn unreachable_duties(&self, now: Time) -> Vec<Duty> {
        let unserved = self.unserved_since.iter().filter(|(_, t)| now.since(**t) >= Span::millis(1500)).map(|(d, _)| d.clone());
        // A delivery always reports an attempt's end, so one that does not is cut off.
        // Each move of an endpoint costs part of its rate, as the rate limiter of the new
        // holder starts with nothing saved, so an endpoint needs two such attempts.
        let min_unreported = |d: &Duty| if matches!(d, Duty::Endpoint(_)) { 2 } else { 1 };
        let unreported = self.unreported_in_a_row.iter().filter(|(d, n)| **n >= min_unreported(d)).map(|(d, _)| d.clone());
        unserved.chain(unreported).collect::<BTreeSet<Duty>>().into_iter().collect()
    }

    /// Rewrites the live records of the oldest file, a part at a time, so that the file
    /// can be removed. Bodies that are not in memory are read back for the next time.
    fn rewrite_oldest_file(&mut self) {
        // A record's journal entries take some space beyond its body.
        let count: usize = self.partitions.values().map(|part| part.records.len()).sum();
        let live_bytes = self.held_bytes.max(0) as u64 + count as u64 * 400;
        let Some((first, last)) = self.journal.sparse_segment(live_bytes) else { return };
        let (mut in_memory, mut on_disk) = (Vec::new(), Vec::new());
        let mut size = 0;
        for (partition, part) in &self.partitions {
            for record in part.records.values().filter(|record| first <= record.saved_in && record.saved_in <= last) {
                size += u64::from(record.header.len) + 256;
                if size > MAX_REWRITE_BYTES {
                    break;
                }
                let list = if record.loaded_body().is_some() { &mut in_memory } else { &mut on_disk };
                list.push((partition.clone(), record.header.id.clone()));
            }
        }
        for (partition, id) in in_memory {
            self.rewrite_record(&partition, &id);
        }
        for (partition, id) in on_disk {
            if !self.read_body_for(&partition, &id, BodyWaiter::Rewrite) {
                break;
            }
        }
    }
}
