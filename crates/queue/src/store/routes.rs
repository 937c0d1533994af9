//! Waiting messages and the routes in force: to which route each belongs, and which of
//! them have expired.
use super::dispatch::stage_after_work;
use crate::prelude::*;

impl Store {
    /// Assigns the waiting messages to the routes of a new configuration.
    pub(super) fn reassign_routes(&mut self) {
        let led: Vec<PartitionId> =
            self.partitions.iter().filter(|(_, part)| part.leader_state.is_some()).map(|(id, _)| id.clone()).collect();
        for partition in led {
            self.assign_routes(&partition);
        }
    }

    /// Moves the waiting messages of a partition whose pattern no route has any more to the
    /// route that they belong to now, if there is one.
    pub(super) fn assign_routes(&mut self, partition: &PartitionId) {
        let routes = &self.link.rules.routes;
        let Some(part) = self.partitions.get_mut(partition) else { return };
        let Some(lead) = part.leader_state.as_mut() else { return };
        for record in part.records.values_mut() {
            let header = &mut record.header;
            if record.stage != Stage::Pending || header.route.is_empty() || routes.get(&header.route_pattern).is_some() {
                continue;
            }
            let Some(route) = message_route(routes, header) else { continue };
            let not_before = lead.queues.routed.get_mut(header.route_queue()).and_then(|queue| queue.remove(header.seq));
            header.route_pattern.clone_from(&route.pattern);
            if let Some(not_before) = not_before {
                lead.queues.enqueue_routed(header.route_queue(), &header.key, not_before, header.seq);
            }
        }
    }

    /// Expires messages whose route was removed from the configuration or that have
    /// outlived the route's limit. Those in flight end with their attempt.
    pub(super) fn expire_routed(&mut self, now: Time) {
        let rules = &self.link.rules;
        let mut expired: Vec<(PartitionId, MessageId, Stage)> = Vec::new();
        for (partition, part) in self.partitions.iter().filter(|(k, _)| rules.is_spool_partition(k) && self.is_serving(k, now)) {
            let Some(lead) = part.leader_state.as_ref() else { continue };
            for (pattern, due) in &lead.queues.routed {
                let route = rules.routes.get(pattern);
                for (_, seq) in due.iter() {
                    let Some(record) = lead.queues.ids.get(&seq).and_then(|id| part.records.get(id)) else { continue };
                    // A message whose success is deferred has not expired.
                    let may_expire =
                        !lead.unpublished_successes.contains(&seq) && !lead.queues.is_held(seq, lead.hold_until, now);
                    if route.is_none_or(|x| now.since(record.received_at) > x.ttl) && may_expire {
                        expired.push((partition.clone(), record.header.id.clone(), stage_after_work(record, Outcome::Expired)));
                    }
                }
            }
        }
        for (partition, id, next) in expired {
            if let Some(part) = self.partitions.get_mut(&partition) {
                let (Some(lead), Some(record)) = (part.leader_state.as_mut(), part.records.get(&id)) else { continue };
                if let Some(due) = lead.queues.routed.get_mut(record.header.route_queue()) {
                    due.remove(record.header.seq);
                }
            }
            self.set_stage(&partition, &id, next, None, now);
        }
    }
}
