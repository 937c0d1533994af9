//! Stand-ins for what lies outside: workers, endpoints, desks, the
//! platform's list. Each is an HTTP server of its own; all tell the checker.
use crate::fleet::prelude::*;
use dropshot::{
    endpoint, ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer, RequestContext, ServerBuilder,
    UntypedBody,
};
use serde_json::json;

/// How a stand-in behaves just now.
#[derive(Clone, Debug, Default)]
pub struct Mood {
    pub draining: bool,
    /// Hidden from the platform's list.
    pub unlisted: bool,
    pub slow: Duration,
    /// Runs the message and loses the answer, once in so many.
    pub lose: u32,
    pub busy: u32,
    pub count: u32,
    pub up: bool,
}

#[derive(Clone)]
pub struct Standin {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub addr: String,
}

/// Everything outside the system. Invariant: locks are held only while
/// something is noted, never across a wait.
pub struct World {
    pub check: Mutex<Checker>,
    pub moods: Mutex<HashMap<String, Mood>>,
    pub workers: Mutex<Vec<Standin>>,
    servers: Mutex<HashMap<String, HttpServer<Arc<Seat>>>>,
    listed: Mutex<(Option<std::time::Instant>, String)>,
}

/// One server's place in the world.
pub struct Seat {
    world: Arc<World>,
    me: Standin,
}

type Ctx = RequestContext<Arc<Seat>>;
type Got = Result<http::Response<Body>, HttpError>;

fn reply(code: u16, load: u32, draining: bool, text: String) -> Got {
    http::Response::builder()
        .status(code)
        .header("content-type", "application/json")
        .header("dahliawick-load", load.to_string())
        .header("dahliawick-draining", if draining { "1" } else { "0" })
        .body(Body::from(text))
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

fn head(ctx: &Ctx, name: &str) -> String {
    ctx.request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string()
}

impl World {
    pub fn new() -> Arc<World> {
        Arc::new(World {
            check: Mutex::new(Checker::new(Limits::default())),
            moods: Mutex::new(HashMap::new()),
            workers: Mutex::new(Vec::new()),
            servers: Mutex::new(HashMap::new()),
            listed: Mutex::new((None, String::new())),
        })
    }
    pub fn note<T>(&self, f: impl FnOnce(&mut Checker) -> T) -> T {
        f(&mut self.check.lock().unwrap_or_else(|e| e.into_inner()))
    }
    pub fn mood<T>(&self, name: &str, f: impl FnOnce(&mut Mood) -> T) -> T {
        f(self.moods.lock().unwrap_or_else(|e| e.into_inner()).entry(name.to_string()).or_default())
    }

    pub fn open(self: &Arc<World>, me: Standin) -> Result<(), String> {
        let config = ConfigDropshot {
            bind_address: me.addr.parse().map_err(|_| format!("{} is no address", me.addr))?,
            default_request_body_max_bytes: 1 << 20,
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..Default::default()
        };
        let mut api = ApiDescription::new();
        api.register(work).map_err(|e| e.to_string())?;
        api.register(load_now).map_err(|e| e.to_string())?;
        api.register(inbox).map_err(|e| e.to_string())?;
        api.register(list).map_err(|e| e.to_string())?;
        let name = me.name.clone();
        let seat = Arc::new(Seat { world: self.clone(), me });
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, seat, log).config(config).start().map_err(|e| e.to_string())?;
        self.mood(&name, |m| m.up = true);
        self.servers.lock().unwrap_or_else(|e| e.into_inner()).insert(name, server);
        Ok(())
    }

    /// A crash: its port answers no more.
    pub async fn shut(&self, name: &str) {
        self.mood(name, |m| m.up = false);
        let server = self.servers.lock().unwrap_or_else(|e| e.into_inner()).remove(name);
        if let Some(s) = server {
            // Open connections may linger; what they bring meets `up`.
            tokio::spawn(async move {
                let _ = s.close().await;
            });
        }
    }
}

/// Counts a worker's runs under way, however they end.
struct Busy(Arc<Seat>);
impl Busy {
    fn new(s: &Arc<Seat>) -> Busy {
        s.world.mood(&s.me.name, |m| m.busy += 1);
        Busy(s.clone())
    }
}
impl Drop for Busy {
    fn drop(&mut self) {
        self.0.world.mood(&self.0.me.name, |m| m.busy = m.busy.saturating_sub(1));
    }
}

#[endpoint { method = POST, path = "/run" }]
async fn work(ctx: Ctx, body: UntypedBody) -> Got {
    let seat = ctx.context().clone();
    let mood = seat.world.mood(&seat.me.name, |m| {
        m.count += 1;
        m.clone()
    });
    if !mood.up {
        return reply(500, 0, false, "{}".into());
    }
    if mood.draining {
        return reply(503, mood.busy, true, "{}".into());
    }
    let _busy = Busy::new(&seat);
    run_one(&ctx, &seat, &mood, body.as_bytes()).await
}

async fn run_one(ctx: &Ctx, seat: &Arc<Seat>, mood: &Mood, bytes: &[u8]) -> Got {
    let id = format!("{}/{}/{}", head(ctx, "dahliawick-tenant"), head(ctx, "dahliawick-waitlist"), head(ctx, "dahliawick-id"));
    let sum = crc32(bytes);
    let poison = bytes.starts_with(b"poison");
    let n = seat.world.note(|c| c.received(&seat.me.name, &seat.me.zone, &id, sum, now()));
    tokio::time::sleep(Duration::from_millis(5) + mood.slow).await;
    if !seat.world.mood(&seat.me.name, |m| m.up) {
        return reply(500, 0, false, "{}".into());
    }
    seat.world.note(|c| c.ended(&id, n, !poison, now()));
    if mood.lose > 0 && mood.count.is_multiple_of(mood.lose) {
        // It ran; the answer is lost: the caller's time runs out.
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    let code = if poison { 422 } else { 200 };
    let (busy, draining) = seat.world.mood(&seat.me.name, |m| (m.busy, m.draining));
    reply(code, busy.saturating_sub(1), draining, "{}".into())
}

#[endpoint { method = GET, path = "/load" }]
async fn load_now(ctx: Ctx) -> Got {
    let seat = ctx.context();
    let m = seat.world.mood(&seat.me.name, |m| m.clone());
    reply(200, m.busy, m.draining, json!({"load": m.busy, "draining": m.draining}).to_string())
}

/// An outside endpoint, or a call-back desk.
#[endpoint { method = POST, path = "/inbox" }]
async fn inbox(ctx: Ctx, body: UntypedBody) -> Got {
    let seat = ctx.context().clone();
    let mood = seat.world.mood(&seat.me.name, |m| {
        m.count += 1;
        m.clone()
    });
    if !mood.up {
        return reply(500, 0, false, "{}".into());
    }
    if seat.me.service != "desk" {
        return run_one(&ctx, &seat, &mood, body.as_bytes()).await;
    }
    let v: serde_json::Value = serde_json::from_slice(body.as_bytes()).unwrap_or_default();
    let text = |k: &str| v[k].as_str().unwrap_or_default().to_string();
    let id = format!("{}/{}/{}", text("tenant"), text("waitlist"), text("id"));
    seat.world.note(|c| c.called_back(&seat.me.name, &id, now()));
    tokio::time::sleep(mood.slow).await;
    reply(200, 0, false, "{}".into())
}

/// The platform's list: half a second late, and limited to four a second.
#[endpoint { method = GET, path = "/workers" }]
async fn list(ctx: Ctx) -> Got {
    let world = &ctx.context().world;
    let fresh = {
        let mut l = world.listed.lock().unwrap_or_else(|e| e.into_inner());
        let age = l.0.map(|t| t.elapsed());
        if age.is_some_and(|a| a < Duration::from_millis(250)) {
            return reply(429, 0, false, "{}".into());
        }
        let old = std::mem::take(&mut l.1);
        let moods = world.moods.lock().unwrap_or_else(|e| e.into_inner());
        let all: Vec<_> = world
            .workers
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .iter()
            .filter(|w| !moods.get(&w.name).is_some_and(|m| m.unlisted))
            .map(|w| {
                let draining = moods.get(&w.name).is_some_and(|m| m.draining);
                json!({"id": w.name, "service": w.service, "address": w.addr, "zone": w.zone,
                       "state": if draining { "draining" } else { "ready" }})
            })
            .collect();
        let new = json!({ "workers": all }).to_string();
        *l = (Some(std::time::Instant::now()), new.clone());
        if old.is_empty() {
            new
        } else {
            old
        }
    };
    reply(200, 0, false, fresh)
}
