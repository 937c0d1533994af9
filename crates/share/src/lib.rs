//! Fair shares, allowances, warm-up and breakers: who may go now.
pub mod allowance;
pub mod breaker;
pub mod drr;
pub mod prelude;
pub mod ramp;
pub mod seats;
#[cfg(test)]
mod tests;
