use crate::prelude::*;

/// What this delivery knows of one worker.
#[derive(Clone, Debug)]
pub struct Fitness {
    pub info: Worker,
    pub load: u32,
    /// Its own word on a reply or a load report.
    pub draining: bool,
    pub busy: u32,
    pub ramp: Ramp,
    /// Moves the cuts between slices at this worker.
    pub turn: u64,
    /// Could not be reached.
    pub down: Breaker,
    /// Reached, but fails.
    pub sick: Breaker,
    pub seen: Time,
    pub asking: bool,
}

impl Fitness {
    pub fn new(info: Worker, warm: Span, now: Time) -> Fitness {
        // Its warm-up began when the primary first listed it.
        let since = Time(now.0.saturating_sub(info.age.0));
        Fitness {
            turn: hash_of(info.id.as_str().as_bytes()),
            info,
            load: 0,
            draining: false,
            busy: 0,
            ramp: Ramp { since, warm, last: Time(0) },
            down: Breaker::new(1, Span::secs(2)),
            sick: Breaker::new(5, Span::secs(8)),
            seen: now,
            asking: false,
        }
    }
    pub fn usable(&self, link: &Link, now: Time) -> bool {
        let leaving = self.info.draining || self.draining || link.drained.contains(&self.info.id);
        let probed = self.down.wary() && self.busy > 0;
        !leaving && !link.empty.contains(&self.info.zone) && !self.down.open(now) && !probed
    }
}
