//! Order across partitions: a message whose order scope replaced others waits for the
//! messages of its key that were accepted under those. Their leaders are asked.
use super::carry::Submission;
use crate::prelude::*;

/// Whether a message may be accepted under its order scope.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ScopeCheck {
    Accepted,
    /// The scope was replaced.
    Replaced,
    /// It is not known yet: messages may still be accepted under scopes that this one replaced.
    Unknown,
}

impl Store {
    /// Whether a message must not be attempted yet because messages of its ordering key may
    /// wait under an earlier order scope. If so it is back in its queue.
    pub(super) fn waits_for_predecessors(&mut self, partition: &PartitionId, id: &MessageId, now: Time) -> bool {
        let Some(record) = self.partitions.get(partition).and_then(|part| part.records.get(id)) else { return false };
        let scoped_key = record.header.key.clone();
        if !has_predecessors(&scoped_key) {
            return false;
        }
        let Some((scope, key)) = split_scoped_key(&scoped_key) else { return false };
        let open_scopes = self.open_predecessors(&scope, key);
        let Some(part) = self.partitions.get_mut(partition) else { return false };
        let (Some(lead), Some(record)) = (part.leader_state.as_mut(), part.records.get(id)) else { return false };
        let (seq, epoch) = (record.header.seq, lead.epoch);
        let check = lead.queues.predecessor_checks.entry(seq).or_insert_with(|| PredecessorCheck::new(open_scopes, now));
        if check.is_complete() {
            return false;
        }
        let keys: Vec<String> = check.open_scopes().map(|scope| scope.scoped_key(key)).collect();
        let is_query_due = check.is_query_due(now);
        if is_query_due {
            check.record_query(now);
        }
        let next_query_at = check.next_query_at();
        lead.queues.enqueue_routed(record.header.route_queue(), &scoped_key, next_query_at, seq);
        if is_query_due {
            keys.into_iter().for_each(|key| self.query_key(key, partition.clone(), epoch, seq, now));
        }
        self.take_if_check_complete(partition, id)
    }

    /// The predecessors of a scope under which messages of the key may be under way.
    fn open_predecessors(&self, scope: &OrderScope, key: &str) -> BTreeSet<OrderScope> {
        let is_open = |predecessor: &OrderScope| {
            self.replaced_scopes.may_be_pending(scope, predecessor, &self.partition_of_key(predecessor, key))
        };
        scope.predecessors().into_iter().filter(is_open).collect()
    }

    /// The partition that stores the messages of a key under a scope.
    fn partition_of_key(&self, scope: &OrderScope, key: &str) -> PartitionId {
        Rules::spool_partition(self.link.rules.spool_partition_of_key(&scope.scoped_key(key)))
    }

    /// Whether a message in its queue still waits for predecessors; takes it out if not.
    fn take_if_check_complete(&mut self, partition: &PartitionId, id: &MessageId) -> bool {
        let Some(part) = self.partitions.get_mut(partition) else { return true };
        let (Some(lead), Some(record)) = (part.leader_state.as_mut(), part.records.get(id)) else { return true };
        let seq = record.header.seq;
        let is_complete = lead.queues.predecessor_checks.get(&seq).is_some_and(PredecessorCheck::is_complete);
        if is_complete {
            lead.queues.dequeue(&record.header);
        }
        !is_complete
    }

    /// Asks the leader of the key's partition, which may be this store, whether messages of
    /// the key wait.
    fn query_key(&mut self, key: String, waiting_partition: PartitionId, waiting_epoch: Epoch, waiting_seq: u64, now: Time) {
        let partition = Rules::spool_partition(self.link.rules.spool_partition_of_key(&key));
        let leader = self.link.partition_locations.get(&partition).map(|location| location.leader.clone());
        let query = KeyQuery { partition, key, waiting_partition, waiting_epoch, waiting_seq };
        match leader {
            Some(leader) if leader == self.startup.me.id => {
                if let Some(is_pending) = self.is_key_pending(&query, now) {
                    self.on_key_answer(&query, is_pending, now);
                }
            }
            Some(leader) => self.send(&leader, PeerMessage::KeyQuery { query }),
            None => {}
        }
    }

    /// Whether a message of the key has not ended; `None` if this store can't tell, as it
    /// does not serve the partition.
    fn is_key_pending(&self, query: &KeyQuery, now: Time) -> Option<bool> {
        if !self.is_serving(&query.partition, now) {
            return None;
        }
        let lead = self.partitions.get(&query.partition)?.leader_state.as_ref()?;
        Some(lead.queues.pending_by_key.contains_key(&query.key))
    }

    pub(super) fn on_key_query(&mut self, from: &Daemon, query: KeyQuery, now: Time) {
        if let Some(is_pending) = self.is_key_pending(&query, now) {
            self.send(from, PeerMessage::KeyAnswer { query, is_pending });
        }
    }

    pub(super) fn on_key_answer(&mut self, query: &KeyQuery, is_pending: bool, now: Time) {
        let Some((scope, _)) = split_scoped_key(&query.key).filter(|_| !is_pending) else { return };
        let Some(part) = self.partitions.get_mut(&query.waiting_partition) else { return };
        let Some(lead) = part.leader_state.as_mut().filter(|lead| lead.epoch == query.waiting_epoch) else { return };
        let Some(check) = lead.queues.predecessor_checks.get_mut(&query.waiting_seq) else { return };
        if !check.clear_scope(&scope) {
            return;
        }
        let record = lead.queues.ids.get(&query.waiting_seq).and_then(|id| part.records.get(id));
        if let Some(queue) = record.and_then(|record| lead.queues.routed.get_mut(record.header.route_queue())) {
            queue.reschedule(query.waiting_seq, now);
            self.dispatch_needed = true;
        }
    }

    /// Whether a message may be accepted under the order scope of its key.
    ///
    /// If that scope replaced others, messages of the key must not be accepted under those any
    /// more: one that is sent later would be in another partition, and might be attempted first.
    pub(super) fn check_scope(&self, submission: &Submission, now: Time) -> ScopeCheck {
        let header = &submission.header;
        let Some((scope, key)) = split_scoped_key(&header.key).filter(|_| !header.route.is_empty()) else {
            return ScopeCheck::Accepted;
        };
        let Some(route) = message_route(&self.link.rules.routes, header) else { return ScopeCheck::Accepted };
        if route.order_scope != scope {
            return match submission.version > self.link.rules.version {
                true => ScopeCheck::Unknown,
                false => ScopeCheck::Replaced,
            };
        }
        let config_lease = self.link.config_lease();
        let is_closed = |predecessor: &OrderScope| {
            self.replaced_scopes.is_closed(&scope, &self.partition_of_key(predecessor, key), config_lease, now)
        };
        match !scope.has_predecessors() || scope.predecessors().iter().all(is_closed) {
            true => ScopeCheck::Accepted,
            false => ScopeCheck::Unknown,
        }
    }

    /// A new configuration is in force: tells the other stores which scopes were replaced, and
    /// asks them.
    pub(super) fn update_replaced_scopes(&mut self, now: Time) {
        let scopes = self.link.rules.routes.iter().map(|route| &route.order_scope);
        let in_force = scopes.filter(|scope| scope.has_predecessors()).cloned().collect();
        if !self.replaced_scopes.set_in_force(in_force, now) {
            return;
        }
        let others: BTreeSet<Daemon> = self.spool_leaders(&self.spool_partitions());
        let texts: Vec<String> = self.scopes_with_predecessors();
        for other in others {
            self.send_replaced_scopes(&other, &texts, now);
        }
        self.query_replaced_scopes(now);
    }

    /// The texts of the scopes in force that have predecessors.
    fn scopes_with_predecessors(&self) -> Vec<String> {
        let scopes = self.link.rules.routes.iter().map(|route| &route.order_scope);
        let texts: BTreeSet<&str> = scopes.filter(|scope| scope.has_predecessors()).map(OrderScope::text).collect();
        texts.into_iter().map(String::from).collect()
    }

    fn spool_partitions(&self) -> Vec<PartitionId> {
        (0..self.link.rules.spool_partitions).map(Rules::spool_partition).collect()
    }

    /// The other stores that lead these partitions.
    fn spool_leaders(&self, partitions: &[PartitionId]) -> BTreeSet<Daemon> {
        let locations = partitions.iter().filter_map(|partition| self.link.partition_locations.get(partition));
        locations.map(|location| location.leader.clone()).filter(|leader| *leader != self.startup.me.id).collect()
    }

    /// Asks about replaced scopes when it is time.
    pub(super) fn query_replaced_scopes(&mut self, now: Time) {
        let Some((scopes, partitions)) = self.replaced_scopes.take_due_query(&self.spool_partitions(), now) else { return };
        let scopes: Vec<String> = scopes.iter().map(|scope| scope.text().to_string()).collect();
        for state in self.replaced_scopes_states(&scopes, now) {
            self.replaced_scopes.record(&state);
        }
        for leader in self.spool_leaders(&partitions) {
            self.send(&leader, PeerMessage::ReplacedScopesQuery { scopes: scopes.clone() });
        }
    }

    pub(super) fn on_replaced_scopes_query(&mut self, from: &Daemon, scopes: &[String], now: Time) {
        self.send_replaced_scopes(from, scopes, now);
    }

    pub(super) fn on_replaced_scopes(&mut self, states: &[ReplacedScopesState], now: Time) {
        states.iter().for_each(|state| self.replaced_scopes.record(state));
        self.dispatch_needed = true;
        self.retry_held_submissions(now);
    }

    fn send_replaced_scopes(&mut self, to: &Daemon, scopes: &[String], now: Time) {
        let states = self.replaced_scopes_states(scopes, now);
        if !states.is_empty() {
            self.send(to, PeerMessage::ReplacedScopes { states });
        }
    }

    /// The state of these scopes, where they are in force, in the partitions that this store leads.
    fn replaced_scopes_states(&self, scopes: &[String], now: Time) -> Vec<ReplacedScopesState> {
        let in_force: Vec<OrderScope> =
            scopes.iter().map(|text| OrderScope::parse(text)).filter(|scope| self.is_scope_in_force(scope)).collect();
        let led = self.spool_partitions().into_iter().filter(|partition| self.is_serving(partition, now));
        let state = |partition: &PartitionId, scope: &OrderScope| ReplacedScopesState {
            partition: partition.clone(),
            scope: scope.text().to_string(),
            pending: self.pending_predecessors(partition, scope),
        };
        led.flat_map(|partition| in_force.iter().map(|scope| state(&partition, scope)).collect::<Vec<_>>()).collect()
    }

    /// Whether a route has this scope, or one that replaced it.
    fn is_scope_in_force(&self, scope: &OrderScope) -> bool {
        let mut scopes = self.link.rules.routes.iter().map(|route| &route.order_scope);
        scopes.any(|current| current == scope || current.has_predecessors() && current.predecessors().contains(scope))
    }

    /// The predecessors of a scope with messages whose work is not over in a partition that this
    /// store leads, also those whose acceptance is not committed yet.
    fn pending_predecessors(&self, partition: &PartitionId, scope: &OrderScope) -> Vec<String> {
        let Some(part) = self.partitions.get(partition) else { return Vec::new() };
        let Some(lead) = part.leader_state.as_ref() else { return Vec::new() };
        let uncommitted: Vec<&str> = lead
            .visible_stages
            .iter()
            .filter(|(_, stage)| stage.is_none())
            .filter_map(|(id, _)| part.records.get(id))
            .map(|record| record.header.key.as_str())
            .collect();
        let is_pending = |predecessor: &OrderScope| {
            let prefix = predecessor.key_prefix();
            let waiting = lead.queues.pending_by_key.range(prefix.clone()..).next();
            waiting.is_some_and(|(key, _)| key.starts_with(&prefix)) || uncommitted.iter().any(|key| key.starts_with(&prefix))
        };
        scope.predecessors().iter().filter(|predecessor| is_pending(predecessor)).map(|scope| scope.text().to_string()).collect()
    }
}
