//! Routes compiled: how a request is matched, and what is done with its message.
use crate::prelude::*;

/// The tenant and the queue in which routed messages are kept. No
/// operator's name can be these, as names have no such sign.
pub const SPOOL: (&str, &str) = ("~", "spool");

/// One route as the daemons obey it.
#[derive(Clone, Debug, PartialEq)]
pub struct CompiledRoute {
    pub name: String,
    pub service: String,
    pub ordered: bool,
    pub max_attempts: u32,
    pub attempt_timeout: Span,
    pub ttl: Span,
    pub allows_callback: bool,
    pub priority: u32,
    pub target_latency: Span,
    pub target_start: Span,
}

/// All routes of a configuration. Invariant: of one host the prefixes stand longest
/// first, so the first that fits is the one that is meant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompiledRoutes {
    prefixes_by_host: BTreeMap<String, Vec<(String, String)>>,
    by_name: BTreeMap<String, CompiledRoute>,
}

impl CompiledRoutes {
    pub fn new(routes: &[Route]) -> CompiledRoutes {
        let mut out = CompiledRoutes::default();
        for r in routes {
            let one = CompiledRoute {
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
            out.by_name.insert(r.name.clone(), one);
        }
        for all in out.prefixes_by_host.values_mut() {
            all.sort_by(|a, b| (b.0.len(), &a.0).cmp(&(a.0.len(), &b.0)));
        }
        out
    }
    /// Matches a request by its host and the longest prefix of its path.
    pub fn find_match(&self, host_of: &str, path: &str) -> Option<&CompiledRoute> {
        let all = self.prefixes_by_host.get(&normalize_host(host_of))?;
        let (_, name) = all.iter().find(|(p, _)| path.starts_with(p.as_str()))?;
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

/// A host's name without its port, in small letters.
pub fn normalize_host(h: &str) -> String {
    h.rsplit_once(':').filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit())).map_or(h, |x| x.0).to_ascii_lowercase()
}
