//! Acts on the fleet as a whole: machines that come and go, settings that
//! change, disks that fill, answers that are lost or wrong.
use super::{num, span};
use crate::prelude::*;

/// How a daemon is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends; what it had not synced is gone.
    Kill,
    /// The machine loses power; each unsynced file is kept or lost by itself.
    Power,
    /// The process ends and its disk is lost.
    Wipe,
}

/// What goes wrong with calls to workers, receivers and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// An answer arrives a second time.
    Extra,
    /// An answer can't be read.
    Garbled,
    /// The connection is reset, before or after the request was sent.
    Reset,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FleetAct {
    /// The first is gone for good; the second starts some time later, empty.
    Replace(String, String),
    /// A new daemon joins the fleet, empty and without founding it.
    Add(String),
    /// Gone for good.
    Remove(String),
    /// The first has the second's address from its next start on.
    Address(String, String),
    /// Its settings name these seeds from its next start on.
    Seeds(String, Vec<String>),
    Power(String),
    /// Its disk is full: nothing more is written.
    Fill(String),
    /// Its disk has room again.
    Free(String),
    /// Its disk does nothing for so long.
    Stall(String, Span),
    /// So many in a hundred answers to operators are lost.
    LoseAnswers(u64),
    /// Strikes right after the next acknowledged order.
    AfterAcknowledgement(Fault, String),
    /// So many operators at once, on top of the same revision.
    Rivals(u64),
    /// An operator reads the configuration back every so often from now on.
    Reads(Span),
    Calls(CallFault, u64),
}

impl FleetAct {
    /// Its name among a run's counts.
    pub fn label(&self) -> &'static str {
        match self {
            FleetAct::Replace(..) => "act: replace",
            FleetAct::Add(_) => "act: add",
            FleetAct::Remove(_) => "act: remove",
            FleetAct::Address(..) => "act: address",
            FleetAct::Seeds(..) => "act: seeds",
            FleetAct::Power(_) => "act: power",
            FleetAct::Fill(_) => "act: fill",
            FleetAct::Free(_) => "act: empty a disk",
            FleetAct::Stall(..) => "act: stall",
            FleetAct::LoseAnswers(_) => "act: lose-answers",
            FleetAct::AfterAcknowledgement(..) => "act: after-ack",
            FleetAct::Rivals(_) => "act: rivals",
            FleetAct::Reads(_) => "act: reads",
            FleetAct::Calls(..) => "act: calls",
        }
    }
}

/// The kinds of daemon that can be added to a fleet.
fn addable(name: &str) -> Result<String, String> {
    match Daemon(name.to_string()).kind() {
        DaemonKind::Placement | DaemonKind::Store | DaemonKind::Delivery => Ok(name.to_string()),
        _ => Err(format!("'{name}' can't be added; a placement daemon, store or delivery can")),
    }
}

/// Reads an act on the fleet; `None` when the words are no such act.
pub(super) fn parse(words: &[&str]) -> Result<Option<FleetAct>, String> {
    let text = |word: &str| word.to_string();
    Ok(Some(match words {
        ["replace", who, "by", new] => FleetAct::Replace(text(who), addable(new)?),
        ["add", new] => FleetAct::Add(addable(new)?),
        ["remove", who] => FleetAct::Remove(text(who)),
        ["address", who, "of", other] => FleetAct::Address(text(who), text(other)),
        ["seeds", who, seeds] => FleetAct::Seeds(text(who), seeds.split(',').map(text).collect()),
        ["power", who] => FleetAct::Power(text(who)),
        ["fill", who] => FleetAct::Fill(text(who)),
        ["empty", who] if who.contains('-') => FleetAct::Free(text(who)),
        ["stall", who, time] => FleetAct::Stall(text(who), span(time)?),
        ["lose-answers", share] => FleetAct::LoseAnswers(num(share)?),
        ["after-ack", "kill", who] => FleetAct::AfterAcknowledgement(Fault::Kill, text(who)),
        ["after-ack", "power", who] => FleetAct::AfterAcknowledgement(Fault::Power, text(who)),
        ["after-ack", "wipe", who] => FleetAct::AfterAcknowledgement(Fault::Wipe, text(who)),
        ["rivals", count] => FleetAct::Rivals(num(count)?),
        ["reads", time] => FleetAct::Reads(span(time)?),
        ["calls", "extra", share] => FleetAct::Calls(CallFault::Extra, num(share)?),
        ["calls", "garbled", share] => FleetAct::Calls(CallFault::Garbled, num(share)?),
        ["calls", "reset", share] => FleetAct::Calls(CallFault::Reset, num(share)?),
        _ => return Ok(None),
    }))
}
