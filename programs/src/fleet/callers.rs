//! Callers: at a steady pace whatever the verdicts, and in order per key
//! where order matters.
use crate::fleet::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// One kind of traffic.
#[derive(Clone, Debug)]
pub struct Kind {
    /// `tenant/waitlist`.
    pub lists: Vec<String>,
    pub rate: f64,
    /// Keys in order per list; zero for no order.
    pub keys: usize,
    pub desks: Vec<String>,
    /// One in so many can never succeed.
    pub poison: u64,
}

pub struct Callers {
    pub world: Arc<World>,
    pub proxies: Vec<String>,
    pub stop: AtomicBool,
    pub halt: AtomicBool,
    next: AtomicU64,
    pub took: Mutex<Vec<u64>>,
    pub errors: AtomicU64,
}

impl Callers {
    pub fn new(world: Arc<World>, proxies: Vec<String>) -> Arc<Callers> {
        Arc::new(Callers {
            world,
            proxies,
            stop: AtomicBool::new(false),
            halt: AtomicBool::new(false),
            next: AtomicU64::new(1),
            took: Mutex::new(Vec::new()),
            errors: AtomicU64::new(0),
        })
    }
    fn proxy(&self) -> &str {
        &self.proxies[fastrand::usize(..self.proxies.len())]
    }
    fn done(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    pub fn begin(self: &Arc<Callers>, k: Kind) {
        let me = self.clone();
        if k.keys == 0 {
            tokio::spawn(async move { me.flow(k).await });
            return;
        }
        for list in &k.lists {
            for n in 0..k.keys {
                let (me, list) = (self.clone(), list.clone());
                let pause = k.lists.len() as f64 * k.keys as f64 / k.rate;
                tokio::spawn(async move { me.chain(list, format!("key-{n}"), Duration::from_secs_f64(pause)).await });
            }
        }
    }

    async fn flow(self: Arc<Callers>, k: Kind) {
        let mut beat = tokio::time::interval(Duration::from_secs_f64(1.0 / k.rate));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
        let mut n = 0u64;
        while !self.done() {
            beat.tick().await;
            n += 1;
            let list = k.lists[n as usize % k.lists.len()].clone();
            let desk = if k.desks.is_empty() { String::new() } else { k.desks[n as usize % k.desks.len()].clone() };
            let poison = k.poison > 0 && n.is_multiple_of(k.poison);
            let me = self.clone();
            tokio::spawn(async move {
                let (id, word) = me.hand(&list, "", 0, &desk, poison).await;
                if word == Word::Accepted && n.is_multiple_of(4) && !poison {
                    me.follow(&list, &id, "").await;
                }
            });
        }
    }

    /// A key's messages, each sent when the one before was accepted.
    async fn chain(self: Arc<Callers>, list: String, key: String, pause: Duration) {
        let mut turn = 0;
        tokio::time::sleep(pause.mul_f64(fastrand::f64())).await;
        while !self.done() {
            turn += 1;
            while !self.done() {
                let (_, word) = self.hand(&list, &key, turn, "", false).await;
                if word == Word::Accepted {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Hands one message in and stays with it until its end is known.
    async fn hand(&self, list: &str, key: &str, turn: u64, desk: &str, poison: bool) -> (String, Word) {
        let id = format!("m{:08}", self.next.fetch_add(1, Ordering::Relaxed));
        let name = format!("{list}/{id}");
        let mut body = format!("{}{name} key {key} turn {turn} ", if poison { "poison " } else { "" });
        while body.len() < 600 {
            body.push_str("the quick brown fox ");
        }
        let sum = crc32(body.as_bytes());
        self.world.note(|c| c.sent(&name, list, key, turn, sum, !desk.is_empty(), poison));
        let (tenant, waitlist) = list.split_once('/').unwrap_or((list, ""));
        let mut again = false;
        loop {
            let url = format!(
                "http://{}/v1/tenants/{tenant}/waitlists/{waitlist}/messages?id={id}&key={key}&desk={desk}&again={again}",
                self.proxy()
            );
            let from = std::time::Instant::now();
            let said = ask_with(http::Method::POST, &url, body.clone(), Duration::from_secs(6)).await;
            let took = from.elapsed().as_micros() as u64;
            let word = match &said {
                Ok(s) if s.code == 202 => Word::Accepted,
                Ok(s) if s.json()["taken"] == serde_json::Value::Bool(false) => Word::NotTaken,
                _ => Word::Unknown,
            };
            if said.is_err() {
                self.errors.fetch_add(1, Ordering::Relaxed);
            }
            if word == Word::Accepted {
                if let Ok(mut t) = self.took.lock() {
                    t.push(took);
                }
            }
            // A connection refused took nothing in, and says so by itself.
            let refused = said.as_ref().is_err_and(|e| e.contains("onnect"));
            if !refused || again {
                self.world.note(|c| c.told(&name, word, now()));
            }
            if word != Word::Unknown || self.halt.load(Ordering::Relaxed) {
                return (name, word);
            }
            again = again || !refused;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    /// Reads a message's state until it has ended.
    async fn follow(&self, list: &str, name: &str, key: &str) {
        for _ in 0..30 {
            tokio::time::sleep(Duration::from_millis(400)).await;
            if self.look(list, name, key).await.is_some_and(|s| s != "waiting") {
                return;
            }
        }
    }

    /// Reads one state and tells the checker.
    pub async fn look(&self, list: &str, name: &str, key: &str) -> Option<String> {
        let (tenant, waitlist) = list.split_once('/').unwrap_or((list, ""));
        let id = name.rsplit('/').next().unwrap_or_default();
        let at = format!("http://{}/v1/tenants/{tenant}/waitlists/{waitlist}/messages/{id}", self.proxy());
        let said = ask_with(http::Method::GET, &format!("{at}?key={key}"), "", Duration::from_secs(6)).await.ok()?;
        match said.code {
            200 => {
                let state = said.json()["state"].as_str()?.to_string();
                self.world.note(|c| c.read(name, Some(&state), now()));
                Some(state)
            }
            404 => {
                self.world.note(|c| c.read(name, None, now()));
                Some("gone".into())
            }
            _ => None,
        }
    }

    /// Reads the bytes back.
    pub async fn look_body(&self, list: &str, name: &str, key: &str) -> bool {
        let (tenant, waitlist) = list.split_once('/').unwrap_or((list, ""));
        let id = name.rsplit('/').next().unwrap_or_default();
        let url = format!("http://{}/v1/tenants/{tenant}/waitlists/{waitlist}/messages/{id}/body?key={key}", self.proxy());
        let Ok(said) = ask_with(http::Method::GET, &url, "", Duration::from_secs(6)).await else { return false };
        if said.code != 200 {
            return false;
        }
        let sum = crc32(&said.body);
        self.world.note(|c| c.read_body(name, sum));
        true
    }
}
