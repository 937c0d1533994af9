//! What the programs share: their command line and their way of starting.
pub mod daemon;
pub mod outside;
pub mod prelude;
