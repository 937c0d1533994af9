//! HTTP in, by `dropshot`: requests become asks, tells become responses.
use crate::prelude::*;
use crossbeam_channel::Sender;
use dropshot::{
    endpoint, ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, Path, Query, RequestContext, ServerBuilder,
    TypedBody, UntypedBody,
};
use schemars::JsonSchema;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;

/// Which requests a program takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Face {
    Status,
    Callers,
    Operators,
}

/// Invariant: each ask that entered the ring is in `waits` until it is told
/// or its limit passes; at most `most` are.
pub struct Desk {
    ring: Sender<Event>,
    waits: Mutex<HashMap<AskId, oneshot::Sender<Verdict>>>,
    next: AtomicU64,
    most: usize,
    limit: Duration,
}

impl Desk {
    pub fn new(ring: Sender<Event>, most: usize, limit: Duration) -> Desk {
        Desk { ring, waits: Mutex::new(HashMap::new()), next: AtomicU64::new(1), most, limit }
    }
    pub fn tell(&self, id: AskId, v: Verdict) {
        let wait = self.waits.lock().ok().and_then(|mut w| w.remove(&id));
        if let Some(w) = wait {
            // The caller may be gone; nothing is owed then.
            let _ = w.send(v);
        }
    }
    async fn ask(&self, ask: Ask) -> Verdict {
        let id = AskId(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        {
            let Ok(mut w) = self.waits.lock() else { return full() };
            if w.len() >= self.most {
                return full();
            }
            w.insert(id, tx);
        }
        if self.ring.try_send(Event::Ask(id, ask)).is_err() {
            if let Ok(mut w) = self.waits.lock() {
                w.remove(&id);
            }
            return full();
        }
        match tokio::time::timeout(self.limit, rx).await {
            Ok(Ok(v)) => v,
            _ => {
                if let Ok(mut w) = self.waits.lock() {
                    w.remove(&id);
                }
                let text =
                    r#"{"taken":"unknown","error":"no verdict in time; ask for the message by its id","retry_after_ms":1000}"#;
                Verdict { after: Some(Span::secs(1)), ..Verdict::json(504, text.into()) }
            }
        }
    }
}

/// Nothing was handed to the core.
fn full() -> Verdict {
    let text = r#"{"taken":false,"error":"this process has too much under way","retry_after_ms":1000}"#;
    Verdict { after: Some(Span::secs(1)), ..Verdict::json(503, text.into()) }
}

fn respond(v: Verdict) -> Result<http::Response<Body>, HttpError> {
    let mut r = http::Response::builder().status(v.code);
    if let Some(s) = v.after {
        // Whole seconds, rounded up, as the header wants; the body has millis.
        r = r.header("retry-after", s.0.div_ceil(1_000_000).to_string());
    }
    let (kind, body) = match v.body {
        Some(b) => ("application/octet-stream", Body::from(b.to_vec())),
        None => ("application/json", Body::from(v.json)),
    };
    r.header("content-type", kind).body(body).map_err(|e| HttpError::for_internal_error(e.to_string()))
}

type Ctx = RequestContext<Arc<Desk>>;
type Got = Result<http::Response<Body>, HttpError>;

#[derive(Deserialize, JsonSchema)]
struct ListPath {
    tenant: String,
    waitlist: String,
}

#[derive(Deserialize, JsonSchema)]
struct MessagePath {
    tenant: String,
    waitlist: String,
    id: String,
}

#[derive(Deserialize, JsonSchema)]
struct HandQuery {
    /// The caller's own id: the idempotency key.
    id: String,
    /// The ordering key.
    key: Option<String>,
    /// The endpoint to call back after success.
    desk: Option<String>,
    /// Milliseconds since 1970.
    deadline_ms: Option<u64>,
    /// Set it when this id may have been sent before.
    again: Option<bool>,
}

#[derive(Deserialize, JsonSchema)]
struct LookQuery {
    key: Option<String>,
}

#[endpoint { method = GET, path = "/v1/status" }]
async fn status(ctx: Ctx) -> Got {
    respond(ctx.context().ask(Ask::Status).await)
}

#[endpoint { method = POST, path = "/v1/tenants/{tenant}/waitlists/{waitlist}/messages" }]
async fn hand(ctx: Ctx, path: Path<ListPath>, query: Query<HandQuery>, body: UntypedBody) -> Got {
    let (p, q) = (path.into_inner(), query.into_inner());
    let body = Bytes::copy_from_slice(body.as_bytes());
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let ask = Ask::Hand {
        tenant: p.tenant,
        waitlist: p.waitlist,
        id: MessageId(q.id),
        key: q.key.unwrap_or_default(),
        desk: q.desk.unwrap_or_default(),
        ttl: q.deadline_ms.map(|d| Span::millis(d.saturating_sub(wall))),
        again: q.again.unwrap_or(false),
        body,
    };
    respond(ctx.context().ask(ask).await)
}

async fn look_at(ctx: Ctx, p: MessagePath, key: Option<String>, body: bool) -> Got {
    let ask = Ask::Look { tenant: p.tenant, waitlist: p.waitlist, id: MessageId(p.id), key: key.unwrap_or_default(), body };
    respond(ctx.context().ask(ask).await)
}

#[endpoint { method = GET, path = "/v1/tenants/{tenant}/waitlists/{waitlist}/messages/{id}" }]
async fn look(ctx: Ctx, path: Path<MessagePath>, query: Query<LookQuery>) -> Got {
    look_at(ctx, path.into_inner(), query.into_inner().key, false).await
}

#[endpoint { method = GET, path = "/v1/tenants/{tenant}/waitlists/{waitlist}/messages/{id}/body" }]
async fn look_body(ctx: Ctx, path: Path<MessagePath>, query: Query<LookQuery>) -> Got {
    look_at(ctx, path.into_inner(), query.into_inner().key, true).await
}

#[derive(Deserialize, JsonSchema)]
struct ApplyQuery {
    /// The version this change was made from.
    base: String,
    /// The operation's own id.
    op: String,
}

fn text(body: &UntypedBody) -> String {
    String::from_utf8_lossy(body.as_bytes()).into_owned()
}

#[endpoint { method = GET, path = "/v1/charter" }]
async fn charter(ctx: Ctx) -> Got {
    respond(ctx.context().ask(Ask::CharterShow).await)
}

#[endpoint { method = PUT, path = "/v1/charter" }]
async fn apply(ctx: Ctx, query: Query<ApplyQuery>, body: UntypedBody) -> Got {
    let q = query.into_inner();
    respond(ctx.context().ask(Ask::Apply(Charge { op: q.op, base: q.base, json: text(&body), patch: false })).await)
}

#[endpoint { method = PATCH, path = "/v1/charter" }]
async fn patch(ctx: Ctx, query: Query<ApplyQuery>, body: UntypedBody) -> Got {
    let q = query.into_inner();
    respond(ctx.context().ask(Ask::Apply(Charge { op: q.op, base: q.base, json: text(&body), patch: true })).await)
}

#[derive(Deserialize, JsonSchema)]
struct PlanQuery {
    empty: Option<String>,
    retire: Option<String>,
}

#[endpoint { method = POST, path = "/v1/plan" }]
async fn plan(ctx: Ctx, query: Query<PlanQuery>, body: UntypedBody) -> Got {
    let q = query.into_inner();
    let json = text(&body);
    let whole = (!json.is_empty()).then_some(json);
    let ask = Ask::Plan { charter: whole, empty: q.empty.map(Zone), retire: q.retire.map(Daemon) };
    respond(ctx.context().ask(ask).await)
}

#[derive(Deserialize, JsonSchema)]
struct NamePath {
    name: String,
}

#[derive(Deserialize, JsonSchema)]
struct Switch {
    on: bool,
}

/// `{"on": true}` empties the zone, `{"on": false}` takes it back.
#[endpoint { method = PUT, path = "/v1/zones/{name}/empty" }]
async fn zone(ctx: Ctx, path: Path<NamePath>, body: TypedBody<Switch>) -> Got {
    let zone = Zone(path.into_inner().name);
    respond(ctx.context().ask(Ask::Zone { zone, empty: body.into_inner().on }).await)
}

#[endpoint { method = PUT, path = "/v1/workers/{name}/drain" }]
async fn drain(ctx: Ctx, path: Path<NamePath>, body: TypedBody<Switch>) -> Got {
    let worker = WorkerId(path.into_inner().name);
    respond(ctx.context().ask(Ask::Drain { worker, on: body.into_inner().on }).await)
}

#[endpoint { method = PUT, path = "/v1/stores/{name}/retire" }]
async fn retire(ctx: Ctx, path: Path<NamePath>) -> Got {
    respond(ctx.context().ask(Ask::Retire { store: Daemon(path.into_inner().name) }).await)
}

fn api(face: Face) -> Result<ApiDescription<Arc<Desk>>, dropshot::ApiDescriptionRegisterError> {
    let mut a = ApiDescription::new();
    a.register(status)?;
    if face == Face::Callers {
        a.register(hand)?;
        a.register(look)?;
        a.register(look_body)?;
    }
    if face == Face::Operators {
        a.register(charter)?;
        a.register(apply)?;
        a.register(patch)?;
        a.register(plan)?;
        a.register(zone)?;
        a.register(drain)?;
        a.register(retire)?;
    }
    Ok(a)
}

/// Starts the HTTP thread and waits until it listens.
pub fn start(face: Face, addr: &str, desk: Arc<Desk>) -> Result<(), String> {
    let form = ConfigDropshot {
        bind_address: addr.parse().map_err(|e| format!("{addr}: {e}"))?,
        default_request_body_max_bytes: 1 << 20,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..Default::default()
    };
    let api = api(face).map_err(|e| e.to_string())?;
    let (tx, rx) = std::sync::mpsc::sync_channel(1);
    let serve = move || {
        let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        rt.block_on(async move {
            let log = slog::Logger::root(slog::Discard, slog::o!());
            match ServerBuilder::new(api, desk, log).config(form).start() {
                Ok(server) => {
                    let _ = tx.send(Ok(()));
                    let _ = server.await;
                }
                Err(e) => {
                    let _ = tx.send(Err(e.to_string()));
                }
            }
        });
    };
    std::thread::Builder::new().name("http".into()).spawn(serve).map_err(|e| e.to_string())?;
    rx.recv().map_err(|e| e.to_string())?
}
