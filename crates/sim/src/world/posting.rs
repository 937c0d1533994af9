//! Callers of routed messages: what they send, what they are told, what they
//! seek.
use crate::prelude::*;

/// A caller gives a message up so long after its first try.
const PATIENCE: Span = Span::secs(2);
const TRIES: u32 = 4;
/// A caller waits so long for the word on one sending, and on what it seeks.
const WORD: Span = Span::millis(2500);
const SEEK: Span = Span::secs(2);
/// A proxy that missed so many probes gets no new callers.
const MISSES: u32 = 2;
/// Messages looked for in one round after the load.
const ROUND: usize = 250;

impl World {
    /// Where the platform's front passes a caller of a zone to.
    fn front(&mut self, zone: u64) -> Daemon {
        let own = Daemon(format!("proxy-{zone}"));
        let is_in = |d: &Daemon| self.mail.missed.get(d).copied().unwrap_or(0) < MISSES;
        let others: Vec<Daemon> = (1..=3).map(|n| Daemon(format!("proxy-{n}"))).filter(&is_in).collect();
        if is_in(&own) || others.is_empty() {
            return own;
        }
        others[self.rng.usize(..others.len())].clone()
    }

    /// Asks every proxy whether callers may be sent there.
    pub(super) fn probe_fronts(&mut self) {
        for n in 1..=3 {
            let d = Daemon(format!("proxy-{n}"));
            let at = self.next_ask;
            match self.ask(&d, ApiRequest::Ready, Asked::Ready(d.clone())) {
                true => self.soon(Span::millis(900), Ev::AskTimeout(RequestId(at))),
                false => self.probed(d, None),
            }
        }
        self.soon(Span::secs(1), Ev::Routed(Turn::Probe));
    }

    pub(super) fn probed(&mut self, d: Daemon, v: Option<ApiResponse>) {
        let missed = self.mail.missed.entry(d).or_default();
        match v.is_some_and(|v| v.code == 200) {
            true => *missed = 0,
            false => *missed += 1,
        }
    }

    /// One more message; half of them bulk, a quarter in order, the rest to
    /// fixed addresses.
    pub(super) fn post_flow(&mut self, n: usize) {
        if self.stopped {
            return;
        }
        let pace = 1_000_000 / self.rate.max(1) * [2, 8, 8, 4][n];
        let gap = pace / 2 + self.rng.u64(..pace.max(1));
        self.soon(Span(gap), Ev::Routed(Turn::Flow(n)));
        let keys = self.mail.routing.keys.max(1);
        let skewed = |r: f64| format!("k{}", (keys as f64 * r * r * r) as u64);
        let (path, key) = match n {
            0 if !self.mail.extra.is_empty() && self.rng.u64(..5) == 0 => {
                let name = self.mail.extra[self.rng.usize(..self.mail.extra.len())].clone();
                let n = name.rsplit('-').next().unwrap_or("0").to_string();
                let ordered = n.parse::<u64>().is_ok_and(|n| n.is_multiple_of(3));
                (format!("/extra/{n}/x"), if ordered { skewed(self.rng.f64()) } else { String::new() })
            }
            0 => ("/bulk/2f".to_string(), String::new()),
            1 if self.mail.routing.splits => (turns_path(self.rng.u64(..TURNS_DRAWS)), skewed(self.rng.f64())),
            1 => ("/turns/a?b=c".to_string(), skewed(self.rng.f64())),
            2 => ("/steps/a".to_string(), skewed(self.rng.f64())),
            _ => (format!("/push/{}/in", self.rng.u64(1..=3)), String::new()),
        };
        // Of ordered ones few, as those behind them wait too.
        let share = self.mail.routing.delayed / if key.is_empty() { 1 } else { 5 };
        let delayed = self.rng.u64(..100) < share;
        let delay = if delayed { Span::millis(self.rng.u64(500..4000)) } else { Span::ZERO };
        let calls = n == 0 && key.is_empty() || path.starts_with("/push/1/");
        let desk = if calls { format!("10.9.2.{}:80", self.rng.u64(1..=DESKS)) } else { String::new() };
        let zone = self.rng.u64(1..=3);
        self.post(path, key, delay, desk, zone, None);
    }

    /// A new message of some caller.
    pub(super) fn post(&mut self, path: String, key: String, delay: Span, desk: String, zone: u64, trial: Option<Daemon>) {
        let kind = match self.rng.u64(..1000) {
            x if x < self.poison * 10 => "never ",
            x if x < self.poison * 10 + 4 => "always ",
            _ => "",
        };
        let mut text = format!("{kind}{path} {key} {} ", self.rng.u64(..));
        while text.len() < self.body {
            text.push_str("lorem ");
        }
        let until = self.now + PATIENCE;
        let t = Trying { path, key, body: text.into(), delay, desk, zone, until, tries: 0, trial, post: 0 };
        self.mail.tries.push(t);
        self.post_try(self.mail.tries.len() - 1);
    }

    /// One sending, under an id of its own.
    pub(super) fn post_try(&mut self, n: usize) {
        let Some(t) = self.mail.tries.get(n).cloned() else { return };
        let to = match &t.trial {
            Some(d) => d.clone(),
            None => self.front(t.zone),
        };
        let Some(node) = self.nodes.get(&to).filter(|x| x.core.is_some()) else {
            // Nothing listens there: nothing was read.
            return self.post_again(n, Span::millis(100));
        };
        let life = node.life;
        let id = format!("q{:06x}", self.seen.posts.len());
        let parcel = CallerRequest {
            method: "POST".into(),
            path: t.path.clone(),
            host: HOST.into(),
            id: id.clone(),
            key: t.key.clone(),
            media_type: "text/plain".into(),
            callback_path: format!("/done/{id}"),
        };
        let post = Post {
            id,
            path: t.path.clone(),
            key: t.key.clone(),
            sum: crc32(&t.body),
            delay: t.delay,
            desk: t.desk.clone(),
            sent: self.now,
            proxy: to.0.clone(),
            life,
            trial: t.trial.is_some(),
            ..Post::default()
        };
        let post = self.seen.post(post);
        if let Some(t) = self.mail.tries.get_mut(n) {
            t.post = post;
            t.tries += 1;
        }
        self.count("posts", 1);
        let at = self.next_ask;
        let ask = ApiRequest::SubmitRouted { caller_request: Box::new(parcel), delay: t.delay, callback: t.desk, body: t.body };
        self.ask(&to, ask, Asked::Post(n, post));
        self.soon(WORD, Ev::AskTimeout(RequestId(at)));
    }

    fn post_again(&mut self, n: usize, after: Span) {
        let Some(t) = self.mail.tries.get(n) else { return };
        if t.trial.is_some() || t.tries >= TRIES || self.now + after > t.until {
            self.count("posts given up", 1);
            return;
        }
        self.soon(after, Ev::Routed(Turn::Try(n)));
    }

    pub(super) fn posted(&mut self, n: usize, post: usize, v: Option<ApiResponse>) {
        let told = v.as_ref().map(|v| format!("{} {}", v.code, v.json)).unwrap_or_default();
        let word = match v.as_ref().map(|v| v.code) {
            Some(202) => PostWord::Accepted,
            Some(c @ (400 | 404 | 408 | 413 | 421 | 429 | 503)) => PostWord::Refused(c),
            Some(_) => PostWord::Unknown,
            // Not its caller, who waits no longer.
            None if self.seen.posts.get(post).is_some_and(|p| p.sent + WORD > self.now) => PostWord::Broken,
            None => PostWord::Unknown,
        };
        let Some(p) = self.seen.posts.get_mut(post) else { return };
        p.word = Some((self.now, word));
        let (id, took) = (p.id.clone(), self.now.since(p.sent));
        if word == PostWord::Accepted && took > Span::millis(120) {
            self.count("accepted late", 1);
        }
        if self.loud {
            self.say(format!("{id} told {word:?} after {took:?} {told}"));
        }
        match (word, v) {
            (PostWord::Accepted, Some(v)) => {
                self.count("accepted", 1);
                let name = v.name.unwrap_or_else(|| id.clone());
                self.mail.names.insert(post, name);
                if self.rng.u64(..4) == 0 {
                    let soon = Span::millis(self.rng.u64(1..1500));
                    self.soon(soon, Ev::Routed(Turn::Seek { post, follow: 4 }));
                }
            }
            (PostWord::Refused(408 | 421 | 429 | 503), Some(v)) => {
                self.count("refused", 1);
                let after = v.retry_after.unwrap_or(Span::millis(200)).0.max(50_000);
                self.post_again(n, Span(after));
            }
            (PostWord::Refused(404), _) => self.count("no route", 1),
            (PostWord::Refused(_), _) => self.count("refused", 1),
            _ => self.count("unknown", 1),
        }
    }

    /// Asks any proxy what became of a message, and sometimes for its bytes.
    pub(super) fn seek(&mut self, post: usize, body: bool) {
        let Some(name) = self.mail.names.get(&post).cloned() else { return };
        let to = self.proxy();
        let at = self.next_ask;
        if self.ask(&to, ApiRequest::LookupRouted { name, with_body: body }, Asked::Seek { post, body }) {
            self.soon(SEEK, Ev::AskTimeout(RequestId(at)));
        }
    }

    pub(super) fn seek_on(&mut self, post: usize, follow: u32) {
        let body = self.rng.u64(..3) == 0;
        self.seek(post, body);
        if follow > 0 && !self.mail.shut.contains(&post) {
            let soon = Span::millis(self.rng.u64(200..2500));
            self.soon(soon, Ev::Routed(Turn::Seek { post, follow: follow - 1 }));
        }
    }

    pub(super) fn sought(&mut self, post: usize, body: bool, v: Option<ApiResponse>) {
        let Some(v) = v else { return };
        let state = match (v.code, v.message_status) {
            (200, Some(RoutedMessageStatus::Waiting)) => State::Waiting,
            (200, Some(RoutedMessageStatus::Done(seal))) => State::Done(seal),
            (200, Some(RoutedMessageStatus::Dead)) => State::Dead,
            (404, _) => State::None,
            _ => return self.count("not sought", 1),
        };
        self.count("sought", 1);
        if matches!(state, State::Done(_) | State::Dead) {
            self.mail.shut.insert(post);
        }
        let sum = v.body.as_ref().map(|b| crc32(b));
        let at = self.now;
        let Some(p) = self.seen.posts.get_mut(post) else { return };
        if body && sum.is_none() && state != State::None {
            let id = p.id.clone();
            return self.seen.flag(format!("told: {id} was sought with its bytes, and told none"));
        }
        p.sought.push(Sought { at, state, body: sum });
    }

    /// After the load: whatever is not told as ended is sought, state and
    /// bytes; true when nothing is left.
    pub(super) fn settle_routed(&mut self) -> bool {
        let open: Vec<usize> = self.mail.names.keys().copied().filter(|n| !self.mail.shut.contains(n)).collect();
        self.open = open.len();
        let from = self.rng.usize(..open.len().max(1));
        let some: Vec<usize> = open.iter().copied().cycle().skip(from).take(open.len().min(ROUND)).collect();
        for post in some {
            self.seek(post, false);
            self.seek(post, true);
        }
        let wants = |p: &Post| p.backs.iter().all(|b| !b.good) && self.seen.known_end(p).is_some();
        let owed = self.seen.posts.iter().filter(|p| !p.desk.is_empty() && p.accepted().is_some() && wants(p)).count();
        let calm = open.is_empty() && owed == 0;
        self.mail.calm = if calm { self.mail.calm + 1 } else { 0 };
        self.mail.calm > 2
    }

    /// Ended messages are sought again as long as they have to be known.
    pub(super) fn seek_again(&mut self) {
        self.soon(Span::millis(250), Ev::Routed(Turn::Again));
        let shut: Vec<usize> = self.mail.shut.iter().copied().collect();
        if shut.is_empty() {
            return;
        }
        for _ in 0..6 {
            let post = shut[self.rng.usize(..shut.len())];
            self.seek(post, false);
        }
    }
}
