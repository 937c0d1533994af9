//! Connections to those called, kept a while for the next call.
use crate::guarded_stream::{Exchange, GuardedStream};
use crate::prelude::*;
use bytes::BytesMut;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, Connection as Driver, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Mutex;
use std::task::{Context, Waker};
use std::time::Duration;
use tokio::net::TcpStream;

/// How long to try to reach somebody.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes that stay unconfirmed so long mean that the other machine is gone.
pub const SILENCE: Duration = Duration::from_millis(3000);
/// The usual time after which the other side closes a quiet connection.
const QUIET: Span = Span::millis(4000);
/// How much sooner than that it is closed here.
const AHEAD: Span = Span::millis(500);
/// No quiet connection is kept longer, whatever the other side would allow.
const KEPT: Span = Span::secs(10);
/// Quiet connections kept for one address.
const PER_ADDRESS: usize = 64;
/// So much of a response's body is kept; what is behind it is read and dropped,
/// for the head tells how a run ended.
const RESPONSE_MAX: usize = 1 << 20;

type Out = http::Request<Full<Bytes>>;

/// Why there is no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was written.
    Unsent,
    /// It may have been received.
    Lost(Loss),
}

/// How far an exchange came whose answer did not come in whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Bytes of the answer that were read.
    pub read: u64,
    /// The status of the answer, if its head came in.
    pub status: Option<http::StatusCode>,
    /// Why there were no more.
    pub why: String,
}

/// One connection. Invariant: it moves only while somebody asks over it or
/// looks whether it is fit, so a quiet one wakes nobody.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Moves the bytes. Invariant: there, but for the moment in which another
    /// takes its place.
    driver: Option<Driver<TokioIo<GuardedStream>, Full<Bytes>>>,
    exchange: Arc<Exchange>,
    /// The head of the answer under way, once that was read.
    head: Option<ResponseHead>,
    /// Its driver has ended.
    over: bool,
    /// No other request may be sent.
    read_only: bool,
    /// Closed here when it is quiet for so long.
    quiet: Span,
}

impl Connection {
    pub async fn open(addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(addr).await?;
        set_socket_options(&stream);
        let exchange = Arc::new(Exchange::default());
        let stream = GuardedStream::new(stream, exchange.clone());
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        Ok(Connection { sender, driver: Some(driver), exchange, head: None, over: false, read_only: false, quiet: QUIET - AHEAD })
    }

    /// Sends a request, no byte of it at `end` or later, and reads the whole
    /// response.
    pub async fn ask(&mut self, request: Out, end: Time) -> Result<Response, Failure> {
        self.exchange.begin(end);
        let response = self.exchanged(request).await.map_err(|why| self.failure(why))?;
        if let Some(said) = keep_alive(&response) {
            self.quiet = (said - AHEAD).min(KEPT);
        }
        Ok(response)
    }

    /// Reads the next response after one that was another request's. No other
    /// request may be sent over the connection then; `request` is the one that
    /// was sent, and is not sent again.
    pub async fn read_on(&mut self, request: Out) -> Result<Response, Failure> {
        self.read_only = true;
        let Some(driver) = self.driver.take() else { return Err(self.failure("it ended behind another's answer".into())) };
        let parts = driver.into_parts();
        let stream = parts.io.into_inner().into_read_only(parts.read_buf);
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(|e| self.failure(described(&e)))?;
        (self.sender, self.driver, self.over) = (sender, Some(driver), false);
        self.exchanged(request).await.map_err(|why| self.failure(why))
    }

    fn failure(&self, why: String) -> Failure {
        match self.written() {
            true => Failure::Lost(self.loss(why)),
            false => Failure::Unsent,
        }
    }

    /// Whether bytes of the last request may have been received.
    pub fn written(&self) -> bool {
        self.exchange.written()
    }

    /// How far the last request came, and why no further.
    pub fn loss(&self, why: String) -> Loss {
        Loss { read: self.exchange.read(), status: self.head.as_ref().map(ResponseHead::status), why }
    }

    /// The head of an answer that did not come in whole.
    pub fn take_head(&mut self) -> Option<ResponseHead> {
        self.head.take()
    }

    /// The whole response, or why there is none.
    async fn exchanged(&mut self, request: Out) -> Result<Response, String> {
        self.head = None;
        let sent = self.sender.try_send_request(request);
        let read_head = &mut self.head;
        let mut asked = pin!(async move {
            let sent = sent.await.map_err(|e| described(e.error()))?;
            let (head, body) = sent.into_parts();
            *read_head = Some(ResponseHead::from_parts(head.clone(), ()));
            let body = read_to_end(body).await.map_err(|e| described(&e))?;
            Ok(Response::from_parts(head, body))
        });
        let (driver, over) = (&mut self.driver, &mut self.over);
        poll_fn(|cx| {
            drive(driver, over, cx);
            asked.as_mut().poll(cx)
        })
        .await
    }

    /// Whether another request may be sent; notices what came meanwhile.
    fn fit(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        drive(&mut self.driver, &mut self.over, &mut cx);
        !self.over && !self.read_only && self.sender.is_ready()
    }
}

/// Moves the bytes of a connection that has not ended. Its socket stays open
/// then: bytes may wait that were read and not understood.
fn drive(driver: &mut Option<Driver<TokioIo<GuardedStream>, Full<Bytes>>>, over: &mut bool, cx: &mut Context<'_>) {
    let Some(driver) = driver.as_mut().filter(|_| !*over) else { return };
    *over = driver.poll_without_shutdown(cx).is_ready();
}

/// The first bytes of a body that came to its end.
async fn read_to_end(mut body: Incoming) -> hyper::Result<Bytes> {
    let mut kept = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let room = RESPONSE_MAX - kept.len();
        kept.extend_from_slice(&data[..data.len().min(room)]);
    }
    Ok(kept.freeze())
}

/// An error with all its causes.
fn described(error: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    let texts: Vec<String> = causes.map(|e| e.to_string()).collect();
    texts.join(": ")
}

/// No waiting for more bytes, no waiting for a silent machine.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, SILENCE.as_millis() as u32);
}

/// How long the other side keeps a quiet connection, if it says so.
fn keep_alive(response: &Response) -> Option<Span> {
    let said = response.headers().get("keep-alive")?.to_str().ok()?;
    let secs = said.split(',').find_map(|w| w.trim().strip_prefix("timeout="))?;
    secs.parse::<u32>().ok().map(|s| Span::secs(s.into()))
}

struct Idle {
    connection: Connection,
    until: Time,
}

/// Quiet connections by address. Invariant: each is dropped when its time is
/// over; `sweeping` is true while a task sees to that.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<Shelf>,
}

#[derive(Default)]
struct Shelf {
    connections: HashMap<SocketAddr, Vec<Idle>>,
    sweeping: bool,
}

impl Pool {
    /// A quiet connection that is fit for a request, the newest first.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut shelf = self.idle.lock().ok()?;
        let quiet = shelf.connections.get_mut(&addr)?;
        let now = now();
        while let Some(mut i) = quiet.pop() {
            if i.until > now && i.connection.fit() {
                return Some(i.connection);
            }
        }
        shelf.connections.remove(&addr);
        None
    }

    pub fn put(self: &Arc<Pool>, addr: SocketAddr, mut connection: Connection) {
        if !connection.fit() || connection.quiet == Span::ZERO {
            return;
        }
        let Ok(mut shelf) = self.idle.lock() else { return };
        let quiet = shelf.connections.entry(addr).or_default();
        if quiet.len() >= PER_ADDRESS {
            return;
        }
        let until = now() + connection.quiet;
        quiet.push(Idle { connection, until });
        if !std::mem::replace(&mut shelf.sweeping, true) {
            tokio::spawn(sweep(self.clone()));
        }
    }

    /// Drops what was quiet too long; when to look again.
    fn drop_old(&self) -> Option<Time> {
        let mut shelf = self.idle.lock().ok()?;
        let now = now();
        shelf.connections.retain(|_, quiet| {
            quiet.retain(|i| i.until > now);
            !quiet.is_empty()
        });
        let next = shelf.connections.values().flatten().map(|i| i.until).min();
        shelf.sweeping = next.is_some();
        next
    }
}

async fn sweep(pool: Arc<Pool>) {
    while let Some(next) = pool.drop_old() {
        // A little later, so that one look serves several.
        let wait = (next + AHEAD.percent(25)).remaining(now());
        tokio::time::sleep(Duration::from_micros(wait.0)).await;
    }
}
