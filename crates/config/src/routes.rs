//! Compiled routes: how a request is matched to a route, and how its message is handled.
use crate::order_scope::{order_scope, split_scoped_key, OrderScope};
use crate::prelude::*;

/// Tenant and name of the spool, the queue that stores routed messages. No tenant of
/// an operator can have this name, because '~' is not allowed in names.
pub const SPOOL: (&str, &str) = ("~", "spool");

/// One route as the daemons apply it.
#[derive(Clone, Debug, PartialEq)]
pub struct CompiledRoute {
    pub name: String,
    /// The requests that it matches: host and path prefix. No two routes of a
    /// configuration have the same, and a route keeps it when operators rename it.
    pub pattern: String,
    /// Sets its ordering keys apart from those of other routes. A route keeps it when
    /// operators rename it or change its pattern, and shares it with routes that take over
    /// requests of it.
    pub order_scope: OrderScope,
    pub service: String,
    pub ordered: bool,
    pub max_attempts: u32,
    pub attempt_timeout: Span,
    /// How long after its acceptance a message may still be attempted.
    pub ttl: Span,
    pub allows_callback: bool,
    /// 0 is the highest priority.
    pub priority: u32,
    /// Within how long the caller wants to know whether its message was accepted.
    pub target_latency: Span,
    /// Within how long the first attempt should start.
    pub target_start: Span,
}

/// What an accepted message records of its request and the route that it matched.
#[derive(Clone, Copy, Debug)]
pub struct RoutedMessage<'a> {
    /// Pattern of the route; empty from a version that did not record it.
    pub pattern: &'a str,
    pub route_name: &'a str,
    /// Its ordering key with the order scope; empty for none.
    pub scoped_key: &'a str,
    pub host: &'a str,
    pub path: &'a str,
}

/// All routes of a configuration. Invariant: the prefixes of one host are sorted by
/// length, longest first, so the first prefix that matches is the longest match.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompiledRoutes {
    /// For each host its pairs of path prefix and route pattern.
    prefixes_by_host: BTreeMap<String, Vec<(String, String)>>,
    by_pattern: BTreeMap<String, CompiledRoute>,
}

impl CompiledRoutes {
    pub fn new(routes: &[Route]) -> CompiledRoutes {
        let mut out = CompiledRoutes::default();
        for r in routes {
            let compiled = CompiledRoute {
                name: r.name.clone(),
                pattern: route_pattern(&r.host, &r.prefix),
                order_scope: order_scope(r),
                service: r.service.clone(),
                ordered: r.ordered,
                max_attempts: r.max_attempts.max(1),
                attempt_timeout: Span::millis(r.attempt_timeout_ms.max(1)),
                ttl: if r.ttl_ms == 0 { Span::secs(86_400) } else { Span::millis(r.ttl_ms) },
                allows_callback: r.allows_callback,
                priority: r.priority,
                target_latency: Span::millis(r.target_latency_ms),
                target_start: Span::millis(r.target_start_ms),
            };
            out.prefixes_by_host.entry(normalize_host(&r.host)).or_default().push((r.prefix.clone(), compiled.pattern.clone()));
            out.by_pattern.insert(compiled.pattern.clone(), compiled);
        }
        for prefixes in out.prefixes_by_host.values_mut() {
            prefixes.sort_by(|a, b| (b.0.len(), &a.0).cmp(&(a.0.len(), &b.0)));
        }
        out
    }
    /// Finds the route for a request by its host and the longest matching path prefix.
    pub fn find_match(&self, host: &str, path: &str) -> Option<&CompiledRoute> {
        let prefixes = self.prefixes_by_host.get(&normalize_host(host))?;
        let (_, pattern) = prefixes.iter().find(|(p, _)| path.starts_with(p.as_str()))?;
        self.by_pattern.get(pattern)
    }
    /// The route with this pattern.
    pub fn get(&self, pattern: &str) -> Option<&CompiledRoute> {
        self.by_pattern.get(pattern)
    }
    /// The route in force to which an accepted message belongs; `None` if the
    /// configuration has dropped it.
    ///
    /// That is the route with the pattern under which the message was accepted, whatever
    /// its name is now: operators may give a name to another route. If there is none,
    /// it is the route of the message's route name, as long as that is the one which
    /// requests like the message's match now. A message with an ordering key goes on with the
    /// route that they match now if that one continues its order scope: its own may have got
    /// another name, and then another prefix. A message of a version that recorded no pattern
    /// is matched anew.
    pub fn route_of(&self, message: &RoutedMessage) -> Option<&CompiledRoute> {
        if let Some(route) = self.by_pattern.get(message.pattern) {
            return Some(route);
        }
        let matched = self.find_match(message.host, message.path)?;
        let continues_scope =
            || split_scoped_key(message.scoped_key).is_some_and(|(scope, _)| matched.order_scope.continues(&scope));
        (message.pattern.is_empty() || matched.name == message.route_name || continues_scope()).then_some(matched)
    }
    pub fn is_empty(&self) -> bool {
        self.by_pattern.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = &CompiledRoute> {
        self.by_pattern.values()
    }
}

/// What a route matches, as one text. Prefixes begin with '/', and hosts have none.
pub fn route_pattern(host: &str, prefix: &str) -> String {
    format!("{}{prefix}", normalize_host(host))
}

/// Returns the host name without its port, in lower case.
pub fn normalize_host(host: &str) -> String {
    host.rsplit_once(':').filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit())).map_or(host, |x| x.0).to_ascii_lowercase()
}
