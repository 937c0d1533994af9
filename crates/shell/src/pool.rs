//! Connections to those called, kept a while for the next call.
use crate::prelude::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long to try to reach somebody.
pub const REACH: Duration = Duration::from_millis(300);
/// Bytes that stay unconfirmed so long mean that the other machine is gone.
pub const SILENCE: Duration = Duration::from_millis(3000);
/// The usual time after which the other side closes a quiet connection.
const QUIET: Duration = Duration::from_millis(4000);
/// How much sooner than that it is closed here.
const AHEAD: Duration = Duration::from_millis(500);
/// No quiet connection is kept longer, whatever the other side would allow.
const KEPT: Duration = Duration::from_secs(10);
/// Quiet connections kept for one address.
const PER_ADDRESS: usize = 64;
/// The largest response read.
const RESPONSE_MAX: usize = 1 << 20;

type Out = http::Request<Full<Bytes>>;

/// Why there is no response.
pub enum Trouble {
    /// Nothing of the request was written; here it is back.
    Unsent(Box<Out>),
    Lost,
}

/// One connection. Invariant: it moves only while somebody asks over it or
/// looks whether it is fit, so a quiet one wakes nobody.
pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    work: Pin<Box<dyn Future<Output = ()> + Send>>,
    over: bool,
    /// Closed here when it is quiet for so long.
    quiet: Duration,
}

impl Line {
    pub async fn open(addr: SocketAddr) -> std::io::Result<Line> {
        let stream = TcpStream::connect(addr).await?;
        tune(&stream);
        let (sender, work) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let work = Box::pin(async move { drop(work.await) });
        Ok(Line { sender, work, over: false, quiet: QUIET - AHEAD })
    }

    /// Sends a request and reads the whole response.
    pub async fn ask(&mut self, request: Out) -> Result<Response, Trouble> {
        let sent = self.sender.try_send_request(request);
        let mut asked = pin!(async move {
            let response = sent.await.map_err(|mut e| match e.take_message() {
                Some(r) => Trouble::Unsent(Box::new(r)),
                None => Trouble::Lost,
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, RESPONSE_MAX).collect().await.map_err(|_| Trouble::Lost)?;
            Ok(Response::from_parts(head, body.to_bytes()))
        });
        let (work, over) = (&mut self.work, &mut self.over);
        let response: Response = poll_fn(|cx| {
            if !*over && work.as_mut().poll(cx).is_ready() {
                *over = true;
            }
            asked.as_mut().poll(cx)
        })
        .await?;
        if let Some(said) = patience(&response) {
            self.quiet = said.saturating_sub(AHEAD).min(KEPT);
        }
        Ok(response)
    }

    /// Whether another request may be sent; notices what came meanwhile.
    fn fit(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        if !self.over && self.work.as_mut().poll(&mut cx) != Poll::Pending {
            self.over = true;
        }
        !self.over && self.sender.is_ready()
    }
}

/// No waiting for more bytes, no waiting for a silent machine.
pub fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, SILENCE.as_millis() as u32);
}

/// How long the other side keeps a quiet connection, if it says so.
fn patience(response: &Response) -> Option<Duration> {
    let said = response.headers().get("keep-alive")?.to_str().ok()?;
    let secs = said.split(',').find_map(|w| w.trim().strip_prefix("timeout="))?;
    secs.parse::<u32>().ok().map(|s| Duration::from_secs(s.into()))
}

struct Idle {
    line: Line,
    until: Instant,
}

/// Quiet connections by address. Invariant: each is dropped when its time is
/// over; `sweeping` is true while a task sees to that.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<Shelf>,
}

#[derive(Default)]
struct Shelf {
    lines: HashMap<SocketAddr, Vec<Idle>>,
    sweeping: bool,
}

impl Pool {
    /// A quiet connection that is fit for a request, the newest first.
    pub fn take(&self, addr: SocketAddr) -> Option<Line> {
        let mut shelf = self.idle.lock().ok()?;
        let lines = shelf.lines.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(mut i) = lines.pop() {
            if i.until > now && i.line.fit() {
                return Some(i.line);
            }
        }
        shelf.lines.remove(&addr);
        None
    }

    pub fn put(self: &Arc<Pool>, addr: SocketAddr, mut line: Line) {
        if !line.fit() || line.quiet.is_zero() {
            return;
        }
        let Ok(mut shelf) = self.idle.lock() else { return };
        let lines = shelf.lines.entry(addr).or_default();
        if lines.len() >= PER_ADDRESS {
            return;
        }
        let until = Instant::now() + line.quiet;
        lines.push(Idle { line, until });
        if !std::mem::replace(&mut shelf.sweeping, true) {
            tokio::spawn(sweep(self.clone()));
        }
    }

    /// Drops what was quiet too long; when to look again.
    fn drop_old(&self) -> Option<Instant> {
        let mut shelf = self.idle.lock().ok()?;
        let now = Instant::now();
        shelf.lines.retain(|_, lines| {
            lines.retain(|i| i.until > now);
            !lines.is_empty()
        });
        let next = shelf.lines.values().flatten().map(|i| i.until).min();
        shelf.sweeping = next.is_some();
        next
    }
}

async fn sweep(pool: Arc<Pool>) {
    while let Some(next) = pool.drop_old() {
        // A little later, so that one look serves several.
        tokio::time::sleep_until(next + AHEAD / 4).await;
    }
}
