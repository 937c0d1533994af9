//! Routes compiled: how a request is matched, and what is done with its message.
use crate::prelude::*;

/// The tenant and the queue in which routed messages are kept. No
/// operator's name can be these, as names have no such sign.
pub const SPOOL: (&str, &str) = ("~", "spool");

/// One route as the daemons obey it.
#[derive(Clone, Debug, PartialEq)]
pub struct Passage {
    pub name: String,
    pub service: String,
    pub ordered: bool,
    pub attempts: u32,
    pub attempt: Span,
    pub worth: Span,
    pub call_back: bool,
    pub priority: u32,
    pub verdict: Span,
    pub start: Span,
}

/// All routes of a configuration. Invariant: of one host the prefixes stand longest
/// first, so the first that fits is the one that is meant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Passages {
    hosts: BTreeMap<String, Vec<(String, String)>>,
    all: BTreeMap<String, Passage>,
}

impl Passages {
    pub fn new(routes: &[Route]) -> Passages {
        let mut out = Passages::default();
        for r in routes {
            let one = Passage {
                name: r.name.clone(),
                service: r.service.clone(),
                ordered: r.ordered,
                attempts: r.attempts.max(1),
                attempt: Span::millis(r.attempt_ms.max(1)),
                worth: if r.worth_ms == 0 { Span::secs(86_400) } else { Span::millis(r.worth_ms) },
                call_back: r.call_back,
                priority: r.priority,
                verdict: Span::millis(r.verdict_ms),
                start: Span::millis(r.start_ms),
            };
            out.hosts.entry(host(&r.host)).or_default().push((r.prefix.clone(), r.name.clone()));
            out.all.insert(r.name.clone(), one);
        }
        for all in out.hosts.values_mut() {
            all.sort_by(|a, b| (b.0.len(), &a.0).cmp(&(a.0.len(), &b.0)));
        }
        out
    }
    /// Matches a request by its host and the longest prefix of its path.
    pub fn matched(&self, host_of: &str, path: &str) -> Option<&Passage> {
        let all = self.hosts.get(&host(host_of))?;
        let (_, name) = all.iter().find(|(p, _)| path.starts_with(p.as_str()))?;
        self.all.get(name)
    }
    pub fn get(&self, name: &str) -> Option<&Passage> {
        self.all.get(name)
    }
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = &Passage> {
        self.all.values()
    }
}

/// A host's name without its port, in small letters.
pub fn host(h: &str) -> String {
    h.rsplit_once(':').filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit())).map_or(h, |x| x.0).to_ascii_lowercase()
}
