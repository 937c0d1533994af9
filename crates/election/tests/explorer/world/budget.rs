//! Limits that keep a search small.
use crate::explorer::StepKind;

/// How often each limited kind of step may still happen.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Budget {
    pub heartbeats: u8,
    pub timeouts: u8,
    pub duplicates: u8,
    pub drops: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub removals: u8,
    pub disconnections: u8,
    pub proposals: u8,
    pub compactions: u8,
    pub leaves: u8,
}

impl Budget {
    /// No limits, for histories of a fixed length. `u8::MAX` means unlimited.
    pub const UNBOUNDED: Budget = Budget {
        heartbeats: u8::MAX,
        timeouts: u8::MAX,
        duplicates: u8::MAX,
        drops: u8::MAX,
        crashes: u8::MAX,
        wipes: u8::MAX,
        removals: u8::MAX,
        disconnections: u8::MAX,
        proposals: u8::MAX,
        compactions: u8::MAX,
        leaves: u8::MAX,
    };

    fn remaining(&mut self, kind: StepKind) -> Option<&mut u8> {
        match kind {
            StepKind::Heartbeat => Some(&mut self.heartbeats),
            StepKind::Timeout => Some(&mut self.timeouts),
            StepKind::Duplicate => Some(&mut self.duplicates),
            StepKind::Drop => Some(&mut self.drops),
            StepKind::Crash | StepKind::CrashAfterWrite => Some(&mut self.crashes),
            StepKind::Wipe => Some(&mut self.wipes),
            StepKind::Remove => Some(&mut self.removals),
            StepKind::Isolate | StepKind::BlockOutbound | StepKind::BlockInbound => Some(&mut self.disconnections),
            StepKind::Propose => Some(&mut self.proposals),
            StepKind::Compact => Some(&mut self.compactions),
            StepKind::Leave => Some(&mut self.leaves),
            StepKind::Deliver
            | StepKind::Persist
            | StepKind::Restart
            | StepKind::AddReplacement
            | StepKind::ReturnRemoved
            | StepKind::Reconnect => None,
        }
    }

    pub fn allows(mut self, kind: StepKind) -> bool {
        self.remaining(kind).is_none_or(|count| *count > 0)
    }

    pub fn spend(&mut self, kind: StepKind) {
        if let Some(count) = self.remaining(kind).filter(|count| **count < u8::MAX) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Restrictions that let a search reach deeper. Each leaves out some possible
/// histories and adds no impossible ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reductions {
    /// Every write is durable as soon as it is issued.
    pub immediate_writes: bool,
    /// No `Join` message arrives.
    pub drop_joins: bool,
}
