//! Scenarios: small text files, a word at a time.
use crate::prelude::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Kill(String),
    Start(String),
    /// Kill and lose the disk.
    Wipe(String),
    /// Every process of a zone; unsynced writes gone.
    Off(String),
    On(String),
    AllOff,
    AllOn,
    Freeze(String),
    Thaw(String),
    Cut(String, String),
    CutOne(String, String),
    Heal,
    Loss(u64),
    Delay(Span),
    Clock(String, u64),
    Disk(String, Span),
    /// One file of a data folder altered, while its process is down.
    Rot(String),
    Crash(String),
    Revive(String),
    Drain(String),
    Undrain(String),
    Order(String),
    Unorder(String),
    Lose(String, u64),
    Fail(String, u64),
    Slow(String, Span),
    Empty(String),
    Restore(String),
    List(String),
    Share(String, u32),
    /// Two operators state different shares from one base at once.
    Race(u32, u32),
    BadCharter,
    Poison(u64),
    /// So many in a hundred of the unordered messages are the first tenant's.
    Mix(u64),
    /// Another pace of messages.
    Rate(u64),
    Retire(String),
    /// Ask what retiring would move; checked against what then happens.
    PlanRetire(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Time,
    pub act: Act,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    pub name: String,
    pub seeds: u64,
    /// Single seeds besides, each of which once found a fault.
    pub more: Vec<u64>,
    pub run: Span,
    pub rate: u64,
    pub steps: Vec<Step>,
    pub bounds: Bounds,
    /// The longest time without any receipt.
    pub gap: Option<Span>,
    pub accepted: usize,
    /// Bytes of a message's body.
    pub body: usize,
    /// Ended messages are read back, state and bytes, until 120 s after.
    pub reread: bool,
    /// Bytes of a store's files at the end, at most.
    pub disk: Option<u64>,
    /// Refusals there must be, at least.
    pub refused: usize,
    /// The longest any waitlist with work, its call-backs and taking in may
    /// stand still.
    pub back: Option<Span>,
    /// The longest a tenant's message may wait for its first receipt.
    pub waits: Vec<(String, Span)>,
    /// Windows of contention that shares must be judged over, at least.
    pub contended: usize,
    /// A store that must be retired for good by the end.
    pub retired: Option<String>,
    /// How often a second copy may move to another sibling.
    pub mates: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptError {
    pub line: usize,
    pub why: String,
}

impl std::fmt::Display for ScriptError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}; the words are in docs/scenarios.md", self.line, self.why)
    }
}

fn span(w: &str) -> Result<Span, String> {
    let bad = || format!("'{w}' is no time; write 5s or 250ms");
    if let Some(n) = w.strip_suffix("ms") {
        return n.parse().map(Span::millis).map_err(|_| bad());
    }
    let n = w.strip_suffix('s').ok_or_else(bad)?;
    n.parse::<f64>().map(|s| Span((s * 1e6) as u64)).map_err(|_| bad())
}

fn num<T: std::str::FromStr>(w: &str) -> Result<T, String> {
    w.parse().map_err(|_| format!("'{w}' is no number"))
}

fn act(w: &[&str]) -> Result<Act, String> {
    let s = |w: &str| w.to_string();
    Ok(match w {
        ["kill", x] => Act::Kill(s(x)),
        ["start", x] => Act::Start(s(x)),
        ["wipe", x] => Act::Wipe(s(x)),
        ["off", x] => Act::Off(s(x)),
        ["on", x] => Act::On(s(x)),
        ["alloff"] => Act::AllOff,
        ["allon"] => Act::AllOn,
        ["freeze", x] => Act::Freeze(s(x)),
        ["thaw", x] => Act::Thaw(s(x)),
        ["cut", x, y] => Act::Cut(s(x), s(y)),
        ["cutone", x, y] => Act::CutOne(s(x), s(y)),
        ["heal"] => Act::Heal,
        ["loss", n] => Act::Loss(num(n)?),
        ["delay", t] => Act::Delay(span(t)?),
        ["clock", x, n] => Act::Clock(s(x), num(n)?),
        ["disk", x, t] => Act::Disk(s(x), span(t)?),
        ["rot", x] => Act::Rot(s(x)),
        ["crash", x] => Act::Crash(s(x)),
        ["revive", x] => Act::Revive(s(x)),
        ["drain", x] => Act::Drain(s(x)),
        ["undrain", x] => Act::Undrain(s(x)),
        ["order-drain", x] => Act::Order(s(x)),
        ["order-undrain", x] => Act::Unorder(s(x)),
        ["lose", x, n] => Act::Lose(s(x), num(n)?),
        ["fail", x, n] => Act::Fail(s(x), num(n)?),
        ["slow", x, t] => Act::Slow(s(x), span(t)?),
        ["empty", x] => Act::Empty(s(x)),
        ["restore", x] => Act::Restore(s(x)),
        ["list", x @ ("down" | "empty" | "well")] => Act::List(s(x)),
        ["share", x, n] => Act::Share(s(x), num(n)?),
        ["race", a, b] => Act::Race(num(a)?, num(b)?),
        ["badcharter"] => Act::BadCharter,
        ["plan-retire", x] => Act::PlanRetire(s(x)),
        ["retire", x] => Act::Retire(s(x)),
        ["mix", n] => Act::Mix(num(n)?),
        ["rate", n] => Act::Rate(num(n)?),
        ["poison", n] => Act::Poison(num(n)?),
        _ => return Err(format!("'{}' is no act", w.join(" "))),
    })
}

impl Script {
    pub fn all_seeds(&self) -> impl Iterator<Item = u64> + '_ {
        (1..=self.seeds).chain(self.more.iter().copied())
    }
}

pub fn parse(text: &str) -> Result<Script, ScriptError> {
    let mut s = Script {
        name: String::new(),
        seeds: 3,
        more: Vec::new(),
        run: Span::secs(30),
        rate: 40,
        steps: Vec::new(),
        bounds: Bounds::default(),
        gap: None,
        accepted: 1,
        body: 120,
        reread: false,
        disk: None,
        refused: 0,
        back: None,
        waits: Vec::new(),
        contended: 0,
        retired: None,
        mates: None,
    };
    for (n, line) in text.lines().enumerate() {
        let fail = |why: String| ScriptError { line: n + 1, why };
        let line = line.split('#').next().unwrap_or_default();
        let w: Vec<&str> = line.split_whitespace().collect();
        match w.as_slice() {
            [] => {}
            ["name", rest @ ..] => s.name = rest.join(" "),
            ["seeds", x] => s.seeds = num(x).map_err(fail)?,
            ["seed", x] => s.more.push(num(x).map_err(fail)?),
            ["run", t] => s.run = span(t).map_err(fail)?,
            ["messages", x] => s.bounds.messages = num(x).map_err(fail)?,
            ["seats", x] => s.bounds.seats = num(x).map_err(fail)?,
            ["disk", x] => s.bounds.disk = num(x).map_err(fail)?,
            ["cache", x] => s.bounds.cache = num(x).map_err(fail)?,
            ["body", x] => s.body = num(x).map_err(fail)?,
            ["reread"] => s.reread = true,
            ["expect", "disk", x] => s.disk = Some(num(x).map_err(fail)?),
            ["expect", "refused", x] => s.refused = num(x).map_err(fail)?,
            ["rate", x] => s.rate = num(x).map_err(fail)?,
            ["expect", "gap", t] => s.gap = Some(span(t).map_err(fail)?),
            ["expect", "back", t] => s.back = Some(span(t).map_err(fail)?),
            ["expect", "wait", who, t] => s.waits.push((who.to_string(), span(t).map_err(fail)?)),
            ["expect", "contended", n] => s.contended = num(n).map_err(fail)?,
            ["expect", "mates", x] => s.mates = Some(num(x).map_err(fail)?),
            ["expect", "retired", x] => s.retired = Some(x.to_string()),
            ["expect", "accepted", x] => s.accepted = num(x).map_err(fail)?,
            ["at", t, rest @ ..] => {
                let at = Time(span(t).map_err(fail)?.0);
                if s.steps.last().is_some_and(|p| p.at > at) {
                    return Err(fail(format!("{t} comes after a later time")));
                }
                s.steps.push(Step { at, act: act(rest).map_err(fail)? });
            }
            _ => return Err(fail(format!("'{}' is no word here", w.join(" ")))),
        }
    }
    if s.name.is_empty() {
        return Err(ScriptError { line: 1, why: "no name is given".into() });
    }
    Ok(s)
}
