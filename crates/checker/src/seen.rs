use crate::prelude::*;

/// What a caller was told of a message it handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Accepted,
    NotTaken,
    Unknown,
}

/// One receipt by a target.
#[derive(Clone, Debug)]
pub struct Receipt {
    pub target: String,
    pub at: Time,
    pub done: Option<(Time, bool)>,
}

/// One message as the outside knows it.
#[derive(Clone, Debug)]
pub struct Message {
    pub list: String,
    pub key: String,
    /// Place in the caller's own order for that key.
    pub turn: u64,
    pub sum: u32,
    pub desk: bool,
    pub poison: bool,
    pub words: Vec<(Time, Word)>,
    pub receipts: Vec<Receipt>,
    pub backs: Vec<Time>,
    /// First time its sender read that it succeeded.
    pub read: Option<Time>,
    pub last_state: String,
}
