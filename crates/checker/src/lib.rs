//! The rules of "what must never happen", checked from the outside: from
//! what callers were told and what workers, endpoints and desks received.
//! The simulator and the fleet runner feed the same checker.
pub mod prelude;
pub mod rules;
pub mod seen;
#[cfg(test)]
mod tests;
