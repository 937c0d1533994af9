//! Callers, as small states moved by the world's events.
use crate::prelude::*;

/// A message being handed in.
#[derive(Clone, Debug)]
pub struct Hand {
    pub list: String,
    pub id: String,
    pub key: String,
    pub turn: u64,
    pub desk: String,
    pub poison: bool,
    pub body: Bytes,
    pub again: bool,
    pub chain: Option<usize>,
    pub follow: bool,
    pub over: bool,
}

impl Hand {
    pub fn name(&self) -> String {
        format!("{}/{}", self.list, self.id)
    }
}

/// One key's messages in order.
#[derive(Clone, Debug)]
pub struct Chain {
    pub list: String,
    pub key: String,
    pub turn: u64,
    pub pause: Span,
}

/// What a look was for.
#[derive(Clone, Debug)]
pub struct Looking {
    pub hand: usize,
    pub body: bool,
    pub follow: u32,
}
