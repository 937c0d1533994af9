//! Ordering keys across changes of the configuration.
//!
//! A key of one order scope is one key, whatever route its messages match. Each route has a
//! scope. A change of the configuration may bring requests of one route under another one,
//! while messages are under way under their keys: then both routes go on in one scope. If they
//! had different scopes before, they get a new one, whose messages wait for those of the same
//! key in the earlier scopes, its predecessors.
use crate::prelude::*;
use crate::route_changes::RouteChanges;

/// Separates an order scope from the key, in the ordering key of a message.
const KEY_SEPARATOR: char = '\u{1f}';
/// Encloses and separates the predecessors in the text of a scope. Names of routes have no
/// control characters.
const PREDECESSORS_BEGIN: char = '\u{1d}';
const PREDECESSOR_SEPARATOR: char = '\u{1e}';
const PREDECESSORS_END: char = '\u{1c}';
/// Stands before a predecessor all of whose routes were dropped.
const DROPPED_MARK: char = '\u{18}';
/// The longest text of a scope, as every message stores it.
const MAX_SCOPE_BYTES: usize = 1024;

/// The order scope of a route.
///
/// Invariant: the text tells the scopes apart and names the predecessors, each by its whole
/// text. So no scope precedes itself, whatever the series of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderScope {
    text: String,
}

impl OrderScope {
    pub fn parse(text: &str) -> OrderScope {
        OrderScope { text: text.to_string() }
    }

    /// A scope that replaces others.
    fn new(name: &str, predecessors: &[Predecessor]) -> OrderScope {
        let texts: Vec<String> = predecessors.iter().map(Predecessor::to_text).collect();
        let separator = PREDECESSOR_SEPARATOR.to_string();
        OrderScope { text: format!("{name}{PREDECESSORS_BEGIN}{}{PREDECESSORS_END}", texts.join(&separator)) }
    }

    pub fn text(&self) -> &str {
        &self.text
    }

    pub fn has_predecessors(&self) -> bool {
        self.text.contains(PREDECESSORS_BEGIN)
    }

    /// The scopes that it replaces, directly or because one of those replaced them: messages
    /// of theirs may still be under way.
    pub fn predecessors(&self) -> Vec<OrderScope> {
        self.nested_scopes().into_iter().map(|predecessor| predecessor.scope).collect()
    }

    /// Whether messages of the other scope go on with the routes of this one: it is the same,
    /// or was replaced by this one while routes of its own went on.
    pub fn continues(&self, other: &OrderScope) -> bool {
        let is_other = |predecessor: &Predecessor| !predecessor.is_dropped && predecessor.scope == *other;
        self == other || self.nested_scopes().iter().any(is_other)
    }

    /// All predecessors. One of a dropped scope counts as dropped.
    fn nested_scopes(&self) -> Vec<Predecessor> {
        let mut found = Vec::new();
        // The predecessors whose end has not been reached: where they begin, and whether they
        // are dropped.
        let mut open: Vec<(usize, bool)> = Vec::new();
        for (at, character) in self.text.char_indices() {
            if matches!(character, PREDECESSOR_SEPARATOR | PREDECESSORS_END) {
                let (begin, is_dropped) = open.pop().unwrap_or((at, false));
                found.push(Predecessor { scope: OrderScope::parse(&self.text[begin..at]), is_dropped });
            }
            if matches!(character, PREDECESSORS_BEGIN | PREDECESSOR_SEPARATOR) {
                let text_begin = at + character.len_utf8();
                let is_marked = self.text[text_begin..].starts_with(DROPPED_MARK);
                let is_dropped = is_marked || open.last().is_some_and(|outer| outer.1);
                open.push((text_begin + usize::from(is_marked), is_dropped));
            }
        }
        found
    }

    fn with_predecessors(self) -> impl Iterator<Item = OrderScope> {
        let predecessors = self.predecessors();
        std::iter::once(self).chain(predecessors)
    }

    /// The key under which the messages of an ordering key are stored.
    pub fn scoped_key(&self, key: &str) -> String {
        format!("{}{key}", self.key_prefix())
    }

    /// What the scoped keys of this scope begin with, and those of no other.
    pub fn key_prefix(&self) -> String {
        format!("{}{KEY_SEPARATOR}", self.text)
    }
}

/// A scope that another one replaces.
struct Predecessor {
    scope: OrderScope,
    /// No route of the scope went on.
    is_dropped: bool,
}

impl Predecessor {
    fn to_text(&self) -> String {
        match self.is_dropped {
            true => format!("{DROPPED_MARK}{}", self.scope.text),
            false => self.scope.text.clone(),
        }
    }
}

/// The scope and the ordering key of a scoped key.
pub fn split_scoped_key(scoped_key: &str) -> Option<(OrderScope, &str)> {
    let (scope, key) = scoped_key.split_once(KEY_SEPARATOR)?;
    Some((OrderScope::parse(scope), key))
}

/// Whether the scope of a scoped key has predecessors.
pub fn has_predecessors(scoped_key: &str) -> bool {
    scoped_key.split_once(KEY_SEPARATOR).is_some_and(|(scope, _)| scope.contains(PREDECESSORS_BEGIN))
}

/// The order scope of a route: its name, unless the configuration says otherwise.
pub fn order_scope(route: &Route) -> OrderScope {
    match route.order_scope.is_empty() {
        true => OrderScope::parse(&route.name),
        false => OrderScope::parse(&route.order_scope),
    }
}

/// Whether messages may wait under the route's ordering keys: it is ordered, or was.
fn has_ordering_keys(route: &Route) -> bool {
    route.ordered || !route.order_scope.is_empty()
}

/// Gives each route of `new` its order scope.
///
/// A route shares the scopes of the routes in `old` whose requests come under it. If it goes on
/// from several scopes, or takes over requests of a dropped route, whose last attempts may still
/// be under way, it gets a new scope with those as predecessors. A route that takes over
/// nothing gets a scope that no route has.
pub fn assign_order_scopes(old: &Config, new: &mut Config) {
    let changes = RouteChanges::new(&old.routes, &new.routes);
    let earlier = EarlierScopes::of_routes(&changes, old);
    let mut assigned = successor_scopes(&earlier, new);
    for (scope, same) in assigned.iter_mut().zip(&changes.same_pattern) {
        // Without keys to keep in order, the scope stays as it is.
        *scope = scope.take().or_else(|| same.map(|at| order_scope(&old.routes[at])));
    }
    let in_use: BTreeSet<OrderScope> =
        assigned.iter().flatten().cloned().chain(earlier.iter().flat_map(EarlierScopes::all)).collect();
    let mut taken: BTreeSet<OrderScope> = in_use.into_iter().flat_map(OrderScope::with_predecessors).collect();
    let with_keys: BTreeSet<OrderScope> = old.routes.iter().filter(|route| has_ordering_keys(route)).map(order_scope).collect();
    for (route, scope) in new.routes.iter_mut().zip(assigned) {
        let scope = scope.unwrap_or_else(|| OrderScope::parse(&unused_scope(&route.name, &taken)));
        taken.insert(scope.clone());
        let is_default = scope.text == route.name;
        let was_ordered = !route.ordered && (with_keys.contains(&scope) || scope.has_predecessors());
        route.order_scope = if is_default && !was_ordered { String::new() } else { scope.text };
    }
}

/// The scopes of the earlier routes whose requests come under one route.
#[derive(Default)]
struct EarlierScopes {
    /// Those that a route goes on with: they are replaced in all routes together.
    continued: BTreeSet<OrderScope>,
    /// Those of dropped routes that no route goes on with.
    dropped: BTreeSet<OrderScope>,
}

impl EarlierScopes {
    /// For each new route.
    fn of_routes(changes: &RouteChanges, old: &Config) -> Vec<EarlierScopes> {
        let continued: BTreeSet<OrderScope> =
            old.routes.iter().zip(&changes.is_continued).filter(|(_, is)| **is).map(|(route, _)| order_scope(route)).collect();
        let of_route = |taken_over: &BTreeSet<usize>| {
            let routes = taken_over.iter().map(|at| &old.routes[*at]);
            let scopes = routes.filter(|route| has_ordering_keys(route)).map(order_scope);
            let (continued, dropped) = scopes.partition(|scope| continued.contains(scope));
            EarlierScopes { continued, dropped }
        };
        changes.taken_over.iter().map(of_route).collect()
    }

    fn all(&self) -> impl Iterator<Item = OrderScope> + '_ {
        self.continued.iter().chain(&self.dropped).cloned()
    }

    fn add(&mut self, other: &EarlierScopes) {
        self.continued.extend(other.continued.iter().cloned());
        self.dropped.extend(other.dropped.iter().cloned());
    }

    /// Those that are not predecessors of others among them.
    fn latest(&self) -> BTreeSet<OrderScope> {
        let replaced: BTreeSet<OrderScope> = self.all().flat_map(|scope| scope.predecessors()).collect();
        self.all().filter(|scope| !replaced.contains(scope)).collect()
    }

    /// The scope that goes on after all of these; `name` for a new one.
    fn successor(&self, name: &str) -> Option<OrderScope> {
        let latest = self.latest();
        let only = latest.first().filter(|scope| latest.len() == 1 && self.continued.contains(scope));
        if let Some(scope) = only {
            return Some(scope.clone());
        }
        let is_dropped = |scope: &OrderScope| self.dropped.contains(scope);
        let predecessors: Vec<Predecessor> =
            latest.iter().map(|scope| Predecessor { scope: scope.clone(), is_dropped: is_dropped(scope) }).collect();
        let merged = OrderScope::new(name, &predecessors);
        match merged.text.len() <= MAX_SCOPE_BYTES {
            true => Some(merged).filter(|_| !latest.is_empty()),
            // The longest text stands for most of the earlier scopes.
            false => latest.into_iter().max_by_key(|scope| scope.text.len()),
        }
    }
}

/// The scope of each new route that has earlier ones to go on from. Routes that share one go on
/// in one scope together.
fn successor_scopes(earlier: &[EarlierScopes], new: &Config) -> Vec<Option<OrderScope>> {
    let mut routes_by_scope: BTreeMap<&OrderScope, Vec<usize>> = BTreeMap::new();
    for (at, scopes) in earlier.iter().enumerate() {
        scopes.continued.iter().for_each(|scope| routes_by_scope.entry(scope).or_default().push(at));
    }
    let mut successors: Vec<Option<OrderScope>> = vec![None; earlier.len()];
    let mut is_grouped = vec![false; earlier.len()];
    for first in 0..earlier.len() {
        let group = routes_joined_with(first, earlier, &mut routes_by_scope, &mut is_grouped);
        let mut scopes = EarlierScopes::default();
        group.iter().for_each(|at| scopes.add(&earlier[*at]));
        let successor = scopes.successor(&format!("{}~{}", new.routes[first].name, new.revision));
        group.iter().for_each(|at| successors[*at].clone_from(&successor));
    }
    successors
}

/// A route that is in no group yet, with all that share scopes with it, directly or through
/// others.
fn routes_joined_with(
    first: usize,
    earlier: &[EarlierScopes],
    routes_by_scope: &mut BTreeMap<&OrderScope, Vec<usize>>,
    is_grouped: &mut [bool],
) -> Vec<usize> {
    let mut group = Vec::new();
    let mut open = vec![first];
    while let Some(at) = open.pop() {
        if std::mem::replace(&mut is_grouped[at], true) {
            continue;
        }
        group.push(at);
        open.extend(earlier[at].continued.iter().filter_map(|scope| routes_by_scope.remove(scope)).flatten());
    }
    group
}

/// The name itself, or with a number if another route has that scope.
fn unused_scope(name: &str, taken: &BTreeSet<OrderScope>) -> String {
    let numbered = (1..).map(|number| format!("{name}~{number}"));
    std::iter::once(name.to_string()).chain(numbered).find(|scope| !taken.contains(&OrderScope::parse(scope))).unwrap_or_default()
}
