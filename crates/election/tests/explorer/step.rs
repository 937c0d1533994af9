//! The steps that are possible in a world.
use super::world::{Machine, World};

/// One event. A message is given by its position in the list of pending messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    /// All pending writes of a replica become durable.
    Persist(Machine),
    /// The clock advances by one heartbeat interval; only this replica gets a tick.
    Heartbeat(Machine),
    /// The clock advances past every election timeout; only this replica gets a tick.
    Timeout(Machine),
    /// The process ends and pending writes are lost.
    Crash(Machine),
    /// The process ends right after its pending writes became durable.
    CrashAfterWrite(Machine),
    Restart(Machine),
    /// The disk is lost, and the replica restarts with an empty one.
    Wipe(Machine),
    /// The machine is removed together with its disk.
    Remove(Machine),
    /// A new machine replaces a removed one.
    AddReplacement,
    /// A removed machine comes back with its disk.
    ReturnRemoved(Machine),
    /// Messages from and to the machine are lost.
    Isolate(Machine),
    /// Messages from the machine are lost; messages to it arrive.
    BlockOutbound(Machine),
    /// Messages to the machine are lost; messages from it arrive.
    BlockInbound(Machine),
    /// Messages from and to the machine arrive again.
    Reconnect(Machine),
    Propose(Machine),
    Compact(Machine),
    Leave(Machine),
}

/// The kind of a step, for choices that do not depend on the state of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepKind {
    Deliver,
    Drop,
    Duplicate,
    Persist,
    Heartbeat,
    Timeout,
    Crash,
    CrashAfterWrite,
    Restart,
    Wipe,
    Remove,
    AddReplacement,
    ReturnRemoved,
    Isolate,
    BlockOutbound,
    BlockInbound,
    Reconnect,
    Propose,
    Compact,
    Leave,
}

/// All kinds, with their weights in random histories.
pub const STEP_WEIGHTS: [(u32, StepKind); 20] = [
    (100, StepKind::Deliver),
    (4, StepKind::Drop),
    (4, StepKind::Duplicate),
    (50, StepKind::Persist),
    (24, StepKind::Heartbeat),
    (4, StepKind::Timeout),
    (3, StepKind::Crash),
    (2, StepKind::CrashAfterWrite),
    (8, StepKind::Restart),
    (3, StepKind::Wipe),
    (2, StepKind::Remove),
    (6, StepKind::AddReplacement),
    (2, StepKind::ReturnRemoved),
    (2, StepKind::Isolate),
    (2, StepKind::BlockOutbound),
    (2, StepKind::BlockInbound),
    (6, StepKind::Reconnect),
    (10, StepKind::Propose),
    (4, StepKind::Compact),
    (1, StepKind::Leave),
];

/// A kind of step, and a number that selects one of the possible steps of that kind.
#[derive(Clone, Copy, Debug)]
pub struct StepChoice {
    pub kind: StepKind,
    pub selector: u16,
}

impl StepChoice {
    /// The selected step, if a step of the kind is possible in `world`.
    pub fn step(self, world: &World) -> Option<Step> {
        let possible: Vec<Step> = world.steps().into_iter().filter(|step| step.kind() == self.kind).collect();
        let index = usize::from(self.selector).checked_rem(possible.len())?;
        Some(possible[index])
    }
}

impl Step {
    pub fn kind(self) -> StepKind {
        match self {
            Step::Deliver(_) => StepKind::Deliver,
            Step::Drop(_) => StepKind::Drop,
            Step::Duplicate(_) => StepKind::Duplicate,
            Step::Persist(_) => StepKind::Persist,
            Step::Heartbeat(_) => StepKind::Heartbeat,
            Step::Timeout(_) => StepKind::Timeout,
            Step::Crash(_) => StepKind::Crash,
            Step::CrashAfterWrite(_) => StepKind::CrashAfterWrite,
            Step::Restart(_) => StepKind::Restart,
            Step::Wipe(_) => StepKind::Wipe,
            Step::Remove(_) => StepKind::Remove,
            Step::AddReplacement => StepKind::AddReplacement,
            Step::ReturnRemoved(_) => StepKind::ReturnRemoved,
            Step::Isolate(_) => StepKind::Isolate,
            Step::BlockOutbound(_) => StepKind::BlockOutbound,
            Step::BlockInbound(_) => StepKind::BlockInbound,
            Step::Reconnect(_) => StepKind::Reconnect,
            Step::Propose(_) => StepKind::Propose,
            Step::Compact(_) => StepKind::Compact,
            Step::Leave(_) => StepKind::Leave,
        }
    }
}
