//! The state of outside endpoints.
use crate::prelude::*;

/// An outside endpoint that only this daemon sends to, as it holds the endpoint's duty.
#[derive(Debug)]
pub struct EndpointState {
    pub epoch: Epoch,
    pub rate_limiter: RateLimiter,
    pub breaker: CircuitBreaker,
    /// Calls in progress there.
    pub open_calls: u32,
    /// Attempts that wait for the endpoint, queued fairly by the tenants' shares.
    pub waiting: FairQueues<AttemptId>,
}

impl EndpointState {
    pub fn new(epoch: Epoch, rate: u32, now: Time) -> EndpointState {
        EndpointState {
            epoch,
            rate_limiter: RateLimiter::with_window_limit(rate, now),
            breaker: CircuitBreaker::new(5, Span::secs(5)),
            open_calls: 0,
            waiting: FairQueues::default(),
        }
    }
}
