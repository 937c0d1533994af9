//! What was seen from outside of routed messages.
use crate::prelude::*;

/// What a caller was told of a request it sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PostWord {
    Accepted,
    /// It never runs; with the status.
    Refused(u16),
    Unknown,
    /// The connection ended without an answer.
    Broken,
}

/// How a run was over at its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Over {
    Done(String),
    Failed,
    Never,
    /// Given up at its hard end, or when its sender's connection closed.
    Dropped,
}

/// One arrival that a worker took on.
#[derive(Clone, Debug)]
pub struct PostRun {
    pub worker: String,
    pub service: String,
    pub zone: String,
    /// The daemon that sent it.
    pub sender: String,
    /// The life of that daemon.
    pub life: u64,
    pub sum: u32,
    /// Method, path, key and id are those its caller sent.
    pub same: bool,
    pub span: Span,
    pub arrived: Time,
    pub began: Option<Time>,
    pub over: Option<(Time, Over)>,
    /// When its sender read the answer.
    pub read: Option<Time>,
}

/// A posted message's state as someone was told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    Waiting,
    Done(String),
    Dead,
    /// No such message.
    None,
}

#[derive(Clone, Debug)]
pub struct Sought {
    pub at: Time,
    pub state: State,
    /// Checksum of its bytes, when these were asked for.
    pub body: Option<u32>,
}

#[derive(Clone, Debug)]
pub struct Back {
    pub desk: String,
    pub at: Time,
    pub state: State,
    /// The receiver accepted it.
    pub good: bool,
}

/// One request as its caller sent it; a further try is another one.
#[derive(Clone, Debug, Default)]
pub struct Post {
    pub id: String,
    pub path: String,
    pub key: String,
    pub sum: u32,
    pub delay: Span,
    pub desk: String,
    pub sent: Time,
    pub proxy: String,
    pub life: u64,
    pub word: Option<(Time, PostWord)>,
    pub runs: Vec<PostRun>,
    pub sought: Vec<Sought>,
    pub backs: Vec<Back>,
    /// Sent only to see which configuration is in force.
    pub trial: bool,
}

impl Post {
    pub fn accepted(&self) -> Option<Time> {
        self.word.filter(|w| w.1 == PostWord::Accepted).map(|w| w.0)
    }
}

#[derive(Clone, Debug)]
pub struct RouteSeen {
    pub name: String,
    pub prefix: String,
    pub service: String,
    pub ordered: bool,
    pub attempts: u32,
    pub attempt: Span,
    pub worth: Span,
    pub call_back: bool,
}

/// One configuration as an operator sent it.
#[derive(Clone, Debug)]
pub struct Stated {
    pub revision: u64,
    pub base: u64,
    pub valid: bool,
    pub sent: Time,
    pub acked: Option<Time>,
    pub refused: bool,
    pub routes: Vec<RouteSeen>,
    /// Its canonical text, to compare it when it is read back.
    pub text: String,
}

impl Stated {
    pub fn matched(&self, path: &str) -> Option<&RouteSeen> {
        self.routes.iter().filter(|r| path.starts_with(&r.prefix)).max_by_key(|r| r.prefix.len())
    }
    /// It may be in force at some time.
    pub fn possible(&self) -> bool {
        self.valid && !self.refused
    }
}

#[derive(Clone, Debug, Default)]
pub struct WorkerSeen {
    pub service: String,
    pub zone: String,
    /// Cold from when to when.
    pub cold: Vec<(Time, Time)>,
    /// When the list first showed it draining.
    pub drained: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// A stop and a start that were announced.
    Planned,
    /// A kill, a start after one, a cut, a freeze.
    Struck,
    /// It only stays down.
    Down,
}

/// Trouble, from when to when; on one daemon or on what all depend on.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub from: Time,
    pub to: Time,
    pub who: Option<String>,
    pub sort: Sort,
}

/// What a service states of its pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Arrivals a second; 0 for no bound.
    pub rate: f64,
    /// The same for a cold worker; 0 when it is not known.
    pub cold: f64,
}

/// Invariant: nothing in it comes from inside a daemon.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub posts: Vec<Post>,
    pub by_id: BTreeMap<String, usize>,
    pub configs: Vec<Stated>,
    pub workers: BTreeMap<String, WorkerSeen>,
    pub services: BTreeMap<String, Pace>,
    /// Arrivals at fixed addresses, by service.
    pub arrivals: BTreeMap<String, Vec<Time>>,
    /// Zones emptied: acknowledged when, taken back when.
    pub zones: Vec<(String, Time, Option<Time>)>,
    pub troubles: Vec<Trouble>,
    /// When the list could not be read, or showed nothing.
    pub list_troubles: Vec<(Time, Time)>,
    /// Receivers of call-backs that were down or misbehaved.
    pub shut: BTreeMap<String, Vec<(Time, Option<Time>)>>,
    /// From when on nothing more was sent by callers.
    pub stopped: Option<Time>,
    /// Some machine tells the time of day wrongly.
    pub days_apart: bool,
    /// When anything was done to workers, receivers or configurations.
    pub acts: Vec<Time>,
    pub flags: Vec<String>,
}

impl Seen {
    pub fn post(&mut self, p: Post) -> usize {
        let n = self.posts.len();
        self.by_id.insert(p.id.clone(), n);
        self.posts.push(p);
        n
    }
    pub fn flag(&mut self, text: String) {
        if self.flags.len() < 30 {
            self.flags.push(text);
        }
    }
    /// Whether a daemon was in touch from `from` to `to`: no trouble on it,
    /// nor on what all depend on, since `contact` before.
    pub fn touch(&self, who: &str, from: Time, to: Time, contact: Span) -> bool {
        let hit = |t: &&Trouble| t.who.as_deref().is_none_or(|w| w == who) && t.from <= to && t.to + contact >= from;
        !self.troubles.iter().filter(|t| t.sort != Sort::Down).any(|t| hit(&t))
    }
    /// No unplanned trouble anywhere from `from` to `to`.
    pub fn calm(&self, from: Time, to: Time) -> bool {
        !self.troubles.iter().any(|t| t.sort != Sort::Planned && t.from <= to && t.to >= from)
    }
    pub fn last_trouble(&self) -> Time {
        self.troubles.iter().map(|t| t.to).chain(self.acts.iter().copied()).max().unwrap_or_default()
    }
    /// Configurations that may be in force at `t`, of those sent before it: the
    /// newest acknowledged `since` ago, and whatever may have come after.
    pub fn in_force(&self, t: Time, since: Span) -> Vec<&Stated> {
        let sure = self.configs.iter().filter(|c| c.acked.is_some_and(|a| a + since <= t)).map(|c| c.revision).max();
        let from = sure.unwrap_or(0);
        self.configs.iter().filter(|c| c.possible() && c.revision >= from && c.sent <= t).collect()
    }
    /// The routes any possible configuration gives a path.
    pub fn routes<'a>(&'a self, path: &'a str) -> impl Iterator<Item = &'a RouteSeen> {
        self.configs.iter().filter(|c| c.possible()).filter_map(|c| c.matched(path))
    }
    /// The earliest moment at which a message may count as ended.
    pub fn ended(&self, p: &Post) -> Option<Time> {
        let over = |r: &PostRun| r.over.clone();
        let done = p.runs.iter().filter_map(over).filter(|o| matches!(o.1, Over::Done(_) | Over::Never)).map(|o| o.0).min();
        let mut failed: Vec<Time> = p.runs.iter().filter_map(over).filter(|o| o.1 == Over::Failed).map(|o| o.0).collect();
        failed.sort();
        let attempts = self.routes(&p.path).map(|r| r.attempts).min().unwrap_or(1).max(1) as usize;
        let given_up = failed.get(attempts - 1).copied();
        done.into_iter().chain(given_up).chain(self.dropped(p)).chain([p.sent + self.worth(p)]).min()
    }
    pub fn worth(&self, p: &Post) -> Span {
        self.routes(&p.path).map(|r| r.worth).min().unwrap_or(Span::ZERO)
    }
    /// When a configuration that may be in force dropped its route.
    pub fn dropped(&self, p: &Post) -> Option<Time> {
        let names: BTreeSet<&str> = self.routes(&p.path).map(|r| r.name.as_str()).collect();
        let standing = self.in_force(p.sent, Span::ZERO);
        let later = self.configs.iter().filter(|c| c.possible() && c.sent > p.sent);
        let gone = |c: &&Stated| c.matched(&p.path).is_none_or(|r| !names.contains(r.name.as_str()));
        standing.into_iter().chain(later).filter(gone).map(|c| c.sent.max(p.sent)).min()
    }
    /// Ended by a worker's word, and when its sender read it.
    pub fn known_end(&self, p: &Post) -> Option<Time> {
        let read = |r: &&PostRun| matches!(r.over, Some((_, Over::Done(_) | Over::Never)));
        let said = p.runs.iter().filter(read).filter_map(|r| r.read).min();
        let failed = |r: &&PostRun| matches!(r.over, Some((_, Over::Failed)));
        let mut failures: Vec<Time> = p.runs.iter().filter(failed).filter_map(|r| r.read).collect();
        failures.sort();
        let most = self.routes(&p.path).map(|r| r.attempts).max().unwrap_or(1).max(1) as usize;
        // A leader that is new may not know of failures before it.
        let kept = |all: &[Time]| {
            let (from, to) = (all[0], all[all.len() - 1]);
            !self.troubles.iter().any(|t| t.who.is_none() && t.from <= to && t.to >= from)
        };
        let given_up = failures.windows(most).find(|w| kept(w)).map(|w| w[most - 1]);
        said.into_iter().chain(given_up).min()
    }
}
