//! What a store knows of the order scopes that others have replaced: where messages may still
//! be accepted under them, and where some are under way.
use crate::prelude::*;

/// Stores are asked again after the first delay, doubled with each query up to the maximum,
/// while one may still accept messages under a replaced scope.
const FIRST_QUERY_DELAY: Span = Span::millis(50);
const MAX_QUERY_DELAY: Span = Span::millis(400);
/// Later they are asked at this interval, until no message of a replaced scope is under way.
const PENDING_QUERY_INTERVAL: Span = Span::secs(1);

/// A scope in force that replaced others, its predecessors.
#[derive(Debug)]
struct Successor {
    first_seen_at: Time,
    predecessors: BTreeSet<OrderScope>,
    /// By partition of the spool whose leader has told, the predecessors with messages under way there.
    pending: BTreeMap<PartitionId, BTreeSet<OrderScope>>,
}

impl Successor {
    fn is_settled(&self, partition: &PartitionId) -> bool {
        self.pending.get(partition).is_some_and(BTreeSet::is_empty)
    }
}

/// The scopes in force that replaced others.
///
/// Invariant: what is known of a partition is final. Its leader has the new scope in force, and so
/// has each later one, as placement grants a partition together with the configuration.
#[derive(Debug, Default)]
pub struct ReplacedScopes {
    successors: BTreeMap<OrderScope, Successor>,
    queries: u32,
    next_query_at: Time,
}

impl ReplacedScopes {
    /// Takes over the scopes of a new configuration; returns whether there are new ones.
    pub fn set_in_force(&mut self, scopes: BTreeSet<OrderScope>, now: Time) -> bool {
        self.successors.retain(|scope, _| scopes.contains(scope));
        let known = self.successors.len();
        for scope in scopes {
            let predecessors: BTreeSet<OrderScope> = scope.predecessors().into_iter().collect();
            let new = || Successor { first_seen_at: now, predecessors, pending: BTreeMap::new() };
            self.successors.entry(scope).or_insert_with(new);
        }
        let has_new = self.successors.len() > known;
        if has_new {
            (self.queries, self.next_query_at) = (0, now);
        }
        has_new
    }

    /// Records what the leader of a partition has told.
    pub fn record(&mut self, state: &ReplacedScopesState) {
        let Some(successor) = self.successors.get_mut(&OrderScope::parse(&state.scope)) else { return };
        let pending = state.pending.iter().map(|text| OrderScope::parse(text)).collect();
        successor.pending.insert(state.partition.clone(), pending);
    }

    /// Whether no message is accepted in a partition any more under the predecessors of this
    /// scope. That is so once its leader has told, or once each store whose configuration is
    /// older has lost the lease on it.
    pub fn is_closed(&self, scope: &OrderScope, partition: &PartitionId, config_lease: Span, now: Time) -> bool {
        let Some(successor) = self.successors.get(scope) else { return false };
        successor.pending.contains_key(partition) || now.since(successor.first_seen_at) > config_lease
    }

    /// Whether a message of a predecessor may be under way in a partition.
    pub fn may_be_pending(&self, scope: &OrderScope, predecessor: &OrderScope, partition: &PartitionId) -> bool {
        let successor = self.successors.get(scope).filter(|successor| successor.predecessors.contains(predecessor));
        let pending = successor.and_then(|successor| successor.pending.get(partition));
        pending.is_none_or(|pending| pending.contains(predecessor))
    }

    /// The scopes and the partitions whose leaders are to be asked now.
    pub fn take_due_query(&mut self, partitions: &[PartitionId], now: Time) -> Option<(Vec<OrderScope>, Vec<PartitionId>)> {
        if self.successors.is_empty() || now < self.next_query_at {
            return None;
        }
        let is_open = |successor: &Successor| !partitions.iter().all(|partition| successor.is_settled(partition));
        let open: Vec<(&OrderScope, &Successor)> = self.successors.iter().filter(|(_, successor)| is_open(successor)).collect();
        let has_settled = |partition: &PartitionId| open.iter().all(|(_, successor)| successor.is_settled(partition));
        let asked: Vec<PartitionId> = partitions.iter().filter(|partition| !has_settled(partition)).cloned().collect();
        let all_told = open.iter().all(|(_, successor)| successor.pending.len() >= partitions.len());
        let delay = match all_told {
            true => PENDING_QUERY_INTERVAL,
            false => Span(FIRST_QUERY_DELAY.0 << self.queries.min(8)).min(MAX_QUERY_DELAY),
        };
        let scopes = open.iter().map(|(scope, _)| (*scope).clone()).collect();
        self.queries += 1;
        self.next_query_at = now + delay;
        (!asked.is_empty()).then_some((scopes, asked))
    }
}
