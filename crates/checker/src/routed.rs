//! The rules of routed messages, judged only from what callers, workers,
//! those called back and the platform's list saw. One module per rule.
use crate::prelude::*;

mod allowed;
mod answered;
mod backs;
mod budget;
mod cold;
mod configs;
mod drained;
mod early;
mod emptied;
mod finished;
mod order;
mod rate;
mod refused;
pub mod seen;
mod sent;
mod told;
mod twice;

/// What the rules of routed messages allow.
#[derive(Clone, Debug)]
pub struct RoutedLimits {
    /// A daemon is in touch again so long after trouble on it.
    pub contact: Span,
    /// After its acknowledgement, until a configuration is in force everywhere.
    pub in_force: Span,
    /// After a worker saw a configuration's effect, its sender may still act by an
    /// older one for so long.
    pub back_slack: Span,
    pub drain: Span,
    pub zone: Span,
    pub call_back: Span,
    /// Until service must be back after trouble or its mending.
    pub back: Span,
    /// Ended messages are known for so long.
    pub known: Span,
    /// A run may begin so long before its delay is over.
    pub early: Span,
    /// Parts of a hundred of a stated rate, and some more, in any 5 s.
    pub rate_percent: u64,
    pub rate_more: u64,
    /// The same for a cold worker in any second.
    pub cold_percent: u64,
    pub cold_more: u64,
    /// What can be run has been run so long after the last trouble.
    pub stuck: Span,
}

impl Default for RoutedLimits {
    fn default() -> RoutedLimits {
        RoutedLimits {
            contact: Span::secs(4),
            in_force: Span::secs(3),
            back_slack: Span::millis(250),
            drain: Span::secs(3),
            zone: Span::secs(5),
            call_back: Span::secs(5),
            back: Span::secs(12),
            known: Span::secs(119),
            early: Span::millis(100),
            rate_percent: 110,
            rate_more: 5,
            cold_percent: 150,
            cold_more: 5,
            stuck: Span::secs(25),
        }
    }
}

/// Every rule's name and its watch.
type Watch = fn(&Seen, &RoutedLimits, Time) -> Vec<String>;
const WATCHES: [(&str, Watch); 16] = [
    ("refused", refused::watch),
    ("sent", sent::watch),
    ("allowed", allowed::watch),
    ("order", order::watch),
    ("twice", twice::watch),
    ("budget", budget::watch),
    ("finished", finished::watch),
    ("told", told::watch),
    ("backs", backs::watch),
    ("rate", rate::watch),
    ("cold", cold::watch),
    ("drained", drained::watch),
    ("emptied", emptied::watch),
    ("charters", configs::watch),
    ("answered", answered::watch),
    ("early", early::watch),
];

/// Shown of one rule, at most.
const SHOWN: usize = 4;

/// What breaks a rule, each with the rule's name before it.
pub fn judge(seen: &Seen, limits: &RoutedLimits, now: Time) -> Vec<String> {
    let mut out = seen.flags.clone();
    for (name, watch) in WATCHES {
        let bad = watch(seen, limits, now);
        let more = bad.len().saturating_sub(SHOWN);
        out.extend(bad.into_iter().take(SHOWN).map(|b| format!("{name}: {b}")));
        if more > 0 {
            out.push(format!("{name}: and {more} more"));
        }
    }
    out
}
