use crate::prelude::*;

/// An outside endpoint this delivery is the only sender to.
#[derive(Clone, Debug)]
pub struct Desk {
    pub epoch: Epoch,
    pub allowance: Allowance,
    pub breaker: Breaker,
    pub open: u32,
    pub waits: VecDeque<HandId>,
}

impl Desk {
    pub fn new(epoch: Epoch, rate: u32, now: Time) -> Desk {
        Desk {
            epoch,
            allowance: Allowance::new(rate, now),
            breaker: Breaker::new(5, Span::secs(5)),
            open: 0,
            waits: VecDeque::new(),
        }
    }
}
