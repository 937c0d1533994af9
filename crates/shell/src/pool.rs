//! Pool of idle HTTP client connections, kept for the next call to the same address.
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

/// How long an attempt to connect may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection is dropped once sent bytes stay unacknowledged for this long: the other
/// machine has probably failed.
pub const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(3000);
/// The time after which servers usually close an idle connection.
const USUAL_SERVER_KEEP_ALIVE: Span = Span::millis(4000);
/// How much earlier than the server this side closes an idle connection.
const KEEP_ALIVE_MARGIN: Span = Span::millis(500);
/// No idle connection is kept longer, even if the server would allow it.
const MAX_IDLE_TIME: Span = Span::secs(10);
/// Idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// How much of a response's body is kept. The rest is read and discarded, not treated
/// as an error, because the head alone tells how a run ended.
const MAX_RESPONSE_BODY_BYTES: usize = 1 << 20;

type OutgoingRequest = http::Request<Full<Bytes>>;

/// Why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No byte of the request was written.
    NotSent,
    /// The server may have received the request.
    ResponseLost(LostResponse),
}

/// How much of a response arrived that did not arrive completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostResponse {
    /// Bytes of the response that were read.
    pub bytes_read: u64,
    /// The status of the response, if its head arrived.
    pub status: Option<http::StatusCode>,
    /// Why no more bytes were read.
    pub why: String,
}

/// One HTTP/1.1 client connection. Invariant: it is polled only while a request is in
/// progress or its reusability is checked, so an idle connection wakes no task.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Reads from and writes to the stream. Invariant: `Some`, except while
    /// `read_next_response` replaces it.
    driver: Option<Driver<TokioIo<GuardedStream>, Full<Bytes>>>,
    exchange: Arc<Exchange>,
    /// The head of the response in progress, once it was read.
    response_head: Option<ResponseHead>,
    /// The driver has finished.
    is_driver_done: bool,
    /// No other request may be sent.
    is_read_only: bool,
    /// This side closes the connection once it has been idle for this long.
    idle_timeout: Span,
}

impl Connection {
    /// Connects to `addr`.
    pub async fn open(addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(addr).await?;
        set_socket_options(&stream);
        let exchange = Arc::new(Exchange::default());
        let stream = GuardedStream::new(stream, exchange.clone());
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        Ok(Connection {
            sender,
            driver: Some(driver),
            exchange,
            response_head: None,
            is_driver_done: false,
            is_read_only: false,
            idle_timeout: USUAL_SERVER_KEEP_ALIVE - KEEP_ALIVE_MARGIN,
        })
    }

    /// Sends a request, no byte of it at `deadline` or later, and reads the
    /// complete response.
    pub async fn send_request(&mut self, request: OutgoingRequest, deadline: Time) -> Result<Response, RequestError> {
        self.exchange.begin(deadline);
        let response = self.run_exchange(request).await.map_err(|why| self.request_error(why))?;
        if let Some(keep_alive) = keep_alive_timeout(&response) {
            self.idle_timeout = (keep_alive - KEEP_ALIVE_MARGIN).min(MAX_IDLE_TIME);
        }
        Ok(response)
    }

    /// Reads the next response after one that belonged to another request. From
    /// then on no other request may be sent over the connection. `request` is the
    /// one that was sent; it is not sent again.
    pub async fn read_next_response(&mut self, request: OutgoingRequest) -> Result<Response, RequestError> {
        self.is_read_only = true;
        let Some(driver) = self.driver.take() else {
            return Err(self.request_error("the connection ended after another request's response".into()));
        };
        let parts = driver.into_parts();
        let stream = parts.io.into_inner().into_read_only(parts.read_buf);
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(|e| self.request_error(error_chain(&e)))?;
        (self.sender, self.driver, self.is_driver_done) = (sender, Some(driver), false);
        self.run_exchange(request).await.map_err(|why| self.request_error(why))
    }

    fn request_error(&self, why: String) -> RequestError {
        match self.may_have_been_sent() {
            true => RequestError::ResponseLost(self.lost_response(why)),
            false => RequestError::NotSent,
        }
    }

    /// Whether the server may have received bytes of the last request.
    pub fn may_have_been_sent(&self) -> bool {
        self.exchange.has_written()
    }

    /// How much of the last request's response was read, and why no more.
    pub fn lost_response(&self, why: String) -> LostResponse {
        LostResponse {
            bytes_read: self.exchange.bytes_read(),
            status: self.response_head.as_ref().map(ResponseHead::status),
            why,
        }
    }

    /// Takes the head of a response that did not arrive completely, if its head did.
    pub fn take_response_head(&mut self) -> Option<ResponseHead> {
        self.response_head.take()
    }

    /// Sends `request` and returns the complete response, or why there is none.
    async fn run_exchange(&mut self, request: OutgoingRequest) -> Result<Response, String> {
        self.response_head = None;
        let sent = self.sender.try_send_request(request);
        let response_head = &mut self.response_head;
        let mut exchange = pin!(async move {
            let response = sent.await.map_err(|e| error_chain(e.error()))?;
            let (head, body) = response.into_parts();
            *response_head = Some(ResponseHead::from_parts(head.clone(), ()));
            let body = read_body(body).await.map_err(|e| error_chain(&e))?;
            Ok(Response::from_parts(head, body))
        });
        let (driver, is_done) = (&mut self.driver, &mut self.is_driver_done);
        poll_fn(|cx| {
            poll_driver(driver, is_done, cx);
            exchange.as_mut().poll(cx)
        })
        .await
    }

    /// Whether another request may be sent. Polls the connection first, so that bytes
    /// or a close that arrived while it was idle are noticed.
    fn is_reusable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        poll_driver(&mut self.driver, &mut self.is_driver_done, &mut cx);
        !self.is_driver_done && !self.is_read_only && self.sender.is_ready()
    }
}

/// Polls the driver of a connection until it is done. The socket is not shut down
/// then: the driver may still hold bytes that it read and did not parse.
fn poll_driver(driver: &mut Option<Driver<TokioIo<GuardedStream>, Full<Bytes>>>, is_done: &mut bool, cx: &mut Context<'_>) {
    let Some(driver) = driver.as_mut().filter(|_| !*is_done) else { return };
    *is_done = driver.poll_without_shutdown(cx).is_ready();
}

/// Reads a body to its end and returns its first `MAX_RESPONSE_BODY_BYTES` bytes.
async fn read_body(mut body: Incoming) -> hyper::Result<Bytes> {
    let mut kept = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let capacity = MAX_RESPONSE_BODY_BYTES - kept.len();
        kept.extend_from_slice(&data[..data.len().min(capacity)]);
    }
    Ok(kept.freeze())
}

/// The text of an error with all its causes.
fn error_chain(error: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    let texts: Vec<String> = causes.map(|e| e.to_string()).collect();
    texts.join(": ")
}

/// Sends small writes at once (no Nagle delay) and drops the connection if the other
/// machine stops acknowledging data.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_DATA_TIMEOUT.as_millis() as u32);
}

/// How long the server keeps an idle connection, if its `keep-alive` header says so.
fn keep_alive_timeout(response: &Response) -> Option<Span> {
    let header = response.headers().get("keep-alive")?.to_str().ok()?;
    let secs = header.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    secs.parse::<u32>().ok().map(|s| Span::secs(s.into()))
}

struct IdleConnection {
    connection: Connection,
    expires_at: Time,
}

/// Idle connections by address. Invariant: each is dropped after it expires;
/// `is_sweeper_running` is true while a task does that.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<IdleConnections>,
}

#[derive(Default)]
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
    is_sweeper_running: bool,
}

impl Pool {
    /// Takes an idle connection that can be reused, the most recently added first.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.by_address.get_mut(&addr)?;
        let now = now();
        while let Some(mut candidate) = connections.pop() {
            if candidate.expires_at > now && candidate.connection.is_reusable() {
                return Some(candidate.connection);
            }
        }
        idle.by_address.remove(&addr);
        None
    }

    /// Keeps a connection for later calls, if it can be reused.
    pub fn put(self: &Arc<Pool>, addr: SocketAddr, mut connection: Connection) {
        if !connection.is_reusable() || connection.idle_timeout == Span::ZERO {
            return;
        }
        let Ok(mut idle) = self.idle.lock() else { return };
        let connections = idle.by_address.entry(addr).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            return;
        }
        let expires_at = now() + connection.idle_timeout;
        connections.push(IdleConnection { connection, expires_at });
        if !std::mem::replace(&mut idle.is_sweeper_running, true) {
            tokio::spawn(drop_expired_periodically(self.clone()));
        }
    }

    /// Drops expired connections and returns when the next one expires.
    fn drop_expired(&self) -> Option<Time> {
        let mut idle = self.idle.lock().ok()?;
        let now = now();
        idle.by_address.retain(|_, connections| {
            connections.retain(|c| c.expires_at > now);
            !connections.is_empty()
        });
        let next = idle.by_address.values().flatten().map(|c| c.expires_at).min();
        idle.is_sweeper_running = next.is_some();
        next
    }
}

/// Drops expired connections until none are left.
async fn drop_expired_periodically(pool: Arc<Pool>) {
    while let Some(next) = pool.drop_expired() {
        // Waits a little longer, so that one pass drops several connections.
        let wait = (next + KEEP_ALIVE_MARGIN.percent(25)).remaining(now());
        tokio::time::sleep(Duration::from_micros(wait.0)).await;
    }
}
