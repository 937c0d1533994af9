//! The small interpreter a message passes through at the edge.
use crate::prelude::*;

/// What the steps have made of a message so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Made {
    pub part: u32,
    pub seated: bool,
    pub carry: bool,
}

/// Why a message stopped: code, words, when to come back.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    pub code: u16,
    pub why: String,
    pub after: Option<Span>,
}

impl Stop {
    fn new(code: u16, why: impl Into<String>) -> Stop {
        Stop { code, why: why.into(), after: None }
    }
}

/// The message as the steps see it.
pub struct Handed<'a> {
    pub id: &'a MessageId,
    pub key: &'a str,
    pub desk: &'a str,
    pub ttl: Option<Span>,
    pub len: u64,
    pub again: bool,
}

/// Runs a rule's steps in order; the first that refuses ends it.
pub fn run(rule: &Rule, msg: &Handed, seats: &mut Seats) -> Result<Made, Stop> {
    let mut made = Made::default();
    for step in &rule.ops {
        match step {
            Step::Body(max) if msg.len > *max => {
                return Err(Stop::new(413, format!("the body is {} bytes; at most {max} are taken", msg.len)));
            }
            Step::Key if msg.key.is_empty() => {
                return Err(Stop::new(400, "this waitlist is ordered; name an ordering key"));
            }
            Step::Deadline if msg.ttl == Some(Span::ZERO) => {
                return Err(Stop::new(400, "the deadline has passed; send it with a later one"));
            }
            Step::Desk(desks) if !msg.desk.is_empty() && !desks.iter().any(|d| d == msg.desk) => {
                return Err(Stop::new(400, format!("'{}' is no call-back desk of this waitlist", msg.desk)));
            }
            Step::Match(_) => made.part = rule.part_of(msg.key, msg.id),
            Step::Share => {
                // One already sent once must reach its keeper to be refused.
                made.seated = seats.take(&rule.tenant);
                if !made.seated && !msg.again {
                    let why = "over this tenant's share of what is under way";
                    return Err(Stop { after: Some(Span::secs(1)), ..Stop::new(429, why) });
                }
            }
            Step::Carry => made.carry = true,
            Step::Body(_) | Step::Key | Step::Deadline | Step::Desk(_) => {}
        }
    }
    Ok(made)
}
