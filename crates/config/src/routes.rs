//! Compiled routes: how a request is matched to a route, and how its message is handled.
use crate::prelude::*;

/// Tenant and name of the spool, the queue that stores routed messages. No tenant of
/// an operator can have this name, because '~' is not allowed in names.
pub const SPOOL: (&str, &str) = ("~", "spool");

/// One route as the daemons apply it.
#[derive(Clone, Debug, PartialEq)]
pub struct CompiledRoute {
    pub name: String,
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

/// All routes of a configuration. Invariant: the prefixes of one host are sorted by
/// length, longest first, so the first prefix that matches is the longest match.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompiledRoutes {
    /// For each host its pairs of path prefix and route name.
    prefixes_by_host: BTreeMap<String, Vec<(String, String)>>,
    by_name: BTreeMap<String, CompiledRoute>,
}

impl CompiledRoutes {
    pub fn new(routes: &[Route]) -> CompiledRoutes {
        let mut out = CompiledRoutes::default();
        for r in routes {
            let compiled = CompiledRoute {
                name: r.name.clone(),
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
            out.prefixes_by_host.entry(normalize_host(&r.host)).or_default().push((r.prefix.clone(), r.name.clone()));
            out.by_name.insert(r.name.clone(), compiled);
        }
        for prefixes in out.prefixes_by_host.values_mut() {
            prefixes.sort_by(|a, b| (b.0.len(), &a.0).cmp(&(a.0.len(), &b.0)));
        }
        out
    }
    /// Finds the route for a request by its host and the longest matching path prefix.
    pub fn find_match(&self, host: &str, path: &str) -> Option<&CompiledRoute> {
        let prefixes = self.prefixes_by_host.get(&normalize_host(host))?;
        let (_, name) = prefixes.iter().find(|(p, _)| path.starts_with(p.as_str()))?;
        self.by_name.get(name)
    }
    pub fn get(&self, name: &str) -> Option<&CompiledRoute> {
        self.by_name.get(name)
    }
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = &CompiledRoute> {
        self.by_name.values()
    }
}

/// Returns the host name without its port, in lower case.
pub fn normalize_host(host: &str) -> String {
    host.rsplit_once(':').filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit())).map_or(host, |x| x.0).to_ascii_lowercase()
}
