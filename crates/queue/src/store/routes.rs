//! Waiting messages and the routes in force: to which route each belongs, and which of
//! them have expired.
use super::carry::Submission;
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

    /// Gives the waiting messages of a partition the name and pattern that their route has now,
    /// and moves those whose pattern no route has any more to the queue of that route.
    pub(super) fn assign_routes(&mut self, partition: &PartitionId) {
        let routes = &self.link.rules.routes;
        let Some(part) = self.partitions.get_mut(partition) else { return };
        let Some(lead) = part.leader_state.as_mut() else { return };
        for record in part.records.values_mut() {
            let header = &mut record.header;
            if record.stage != Stage::Pending || header.route.is_empty() {
                continue;
            }
            let Some(route) = message_route(routes, header) else { continue };
            let not_before = match header.route_pattern == route.pattern {
                true => None,
                false => lead.queues.routed.get_mut(header.route_queue()).and_then(|queue| queue.remove(header.seq)),
            };
            // A later configuration may change the prefix under the name that the route has now.
            if header.route != route.name {
                header.route.clone_from(&route.name);
            }
            if header.route_pattern != route.pattern {
                header.route_pattern.clone_from(&route.pattern);
            }
            if let Some(not_before) = not_before {
                lead.queues.enqueue_routed(header.route_queue(), &header.key, not_before, header.seq);
            }
        }
    }

    /// Makes a message that a proxy took under an earlier configuration one of the route that
    /// it belongs to now. Its queue would be that of a pattern which no route has otherwise.
    pub(super) fn assign_current_route(&self, header: &mut MessageHeader) {
        let Some(route) = message_route(&self.link.rules.routes, header) else { return };
        let (pattern, name) = (route.pattern.clone(), route.name.clone());
        (header.route_pattern, header.route) = (pattern, name);
    }

    /// Whether a proxy took the message under a later configuration, by a route that is not
    /// known here yet.
    pub(super) fn is_of_unknown_route(&self, submission: &Submission) -> bool {
        let pattern = &submission.header.route_pattern;
        let is_unknown = || !pattern.is_empty() && self.link.rules.routes.get(pattern).is_none();
        submission.version > self.link.rules.version && is_unknown()
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
