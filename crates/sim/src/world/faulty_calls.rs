//! Answers to calls that come twice or can't be read, and connections that
//! are reset.
use crate::prelude::*;

/// A reset comes at most so long after the request was sent.
const RESET: Span = Span::millis(60);
/// An extra answer comes at most so long after the first.
const EXTRA: Span = Span::millis(400);

/// How many calls in a hundred each fault befalls.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    extra: u64,
    garbled: u64,
    reset: u64,
}

impl CallFaults {
    pub fn set(&mut self, fault: CallFault, share: u64) {
        match fault {
            CallFault::Extra => self.extra = share,
            CallFault::Garbled => self.garbled = share,
            CallFault::Reset => self.reset = share,
        }
    }
}

impl World {
    /// Draws whether a fault befalls a call. Without faults nothing is drawn,
    /// so that other runs stay as they are.
    fn befalls(&mut self, share: u64) -> bool {
        share > 0 && self.rng.u64(..100) < share
    }

    /// Resets a call's connection; true when the request never left.
    pub(super) fn reset(&mut self, node: &Daemon, life: u64, id: CallId) -> bool {
        if !self.befalls(self.call_faults.reset) {
            return false;
        }
        self.count("calls reset", 1);
        let unsent = self.rng.bool();
        let sent = if unsent { SendState::NotSent } else { SendState::MaybeSent };
        let wait = Span(self.rng.u64(..RESET.0));
        self.soon(wait, Ev::Back { node: node.clone(), life, id, reply: CallResult::Failed(sent) });
        unsent
    }

    /// An answer as the daemon gets it; another copy of it may follow.
    pub(super) fn as_received(&mut self, node: &Daemon, life: u64, id: CallId, reply: CallResult) -> CallResult {
        if matches!(reply, CallResult::Failed(_)) {
            return reply;
        }
        if self.befalls(self.call_faults.extra) {
            self.count("extra answers", 1);
            let wait = Span(self.rng.u64(..EXTRA.0));
            self.soon(wait, Ev::ExtraAnswer { node: node.clone(), life, id, reply: reply.clone() });
        }
        if self.befalls(self.call_faults.garbled) {
            self.count("garbled answers", 1);
            return CallResult::Failed(SendState::MaybeSent);
        }
        reply
    }

    /// An answer to a call that is over already.
    pub(super) fn extra_answer(&mut self, node: &Daemon, life: u64, id: CallId, reply: CallResult) {
        if self.nodes.get(node).is_some_and(|n| n.life == life) {
            self.step(node, Event::CallFinished(id, reply));
        }
    }
}
