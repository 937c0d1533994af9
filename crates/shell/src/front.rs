//! HTTP in, in whatever words an `Inbound` speaks.
use crate::pool::set_socket_options;
use crate::prelude::*;
use crate::timeout_stream::{ConnectionState, TimeoutStream};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Shared by all connections of one address.
/// Invariant: `open` counts them, and is at most the `intake.connections` in force.
struct Door {
    front: Front,
    desk: Arc<Desk>,
    settings: watch::Receiver<Startup>,
    leaving: Leaving,
    open: AtomicUsize,
}

/// How far the daemon is on its way out.
#[derive(Clone)]
pub struct Leaving {
    /// Each answer ends its connection.
    told: Arc<AtomicBool>,
    /// What is under way is answered, then all connections end.
    end: watch::Sender<bool>,
}

impl Default for Leaving {
    fn default() -> Leaving {
        Leaving { told: Arc::default(), end: watch::Sender::new(false) }
    }
}

impl Leaving {
    pub fn tell(&self) {
        self.told.store(true, Ordering::Relaxed);
    }
    pub fn told(&self) -> bool {
        self.told.load(Ordering::Relaxed)
    }
    /// Takes no more connections and requests: every connection ends once the request that
    /// is under way on it is answered, if there is one.
    pub fn begin_end(&self) {
        self.end.send_replace(true);
    }
    /// Whether all connections have ended.
    pub fn has_ended(&self) -> bool {
        self.end.receiver_count() == 0
    }
    /// Ends every connection once its answer is out.
    pub async fn end(&self) {
        self.begin_end();
        self.end.closed().await;
    }
}

/// A connection's seat, given back when it ends in whatever way.
struct Seat(Arc<Door>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listens at a front's address.
pub fn bind(front: &Front) -> std::io::Result<std::net::TcpListener> {
    let at = std::net::TcpListener::bind(&front.addr)?;
    at.set_nonblocking(true)?;
    Ok(at)
}

/// Serves a front for as long as the process runs.
pub async fn serve(
    at: std::net::TcpListener,
    front: Front,
    desk: Arc<Desk>,
    settings: watch::Receiver<Startup>,
    leaving: Leaving,
) {
    let Ok(at) = TcpListener::from_std(at) else { return };
    let door = Arc::new(Door { front, desk, settings, leaving, open: AtomicUsize::new(0) });
    let mut end = door.leaving.end.subscribe();
    loop {
        let next = tokio::select! {
            next = at.accept() => next,
            _ = ended(&mut end) => return,
        };
        let Ok((stream, _)) = next else {
            // Out of descriptors; those who end give some back.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if door.open.load(Ordering::Relaxed) >= door.intake().connections {
            // Closed unread: the caller knows that nothing was taken.
            continue;
        }
        door.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(connection(stream, Seat(door.clone())));
    }
}

async fn connection(stream: TcpStream, seat: Seat) {
    set_socket_options(&stream);
    let intake = seat.0.intake();
    let mut end = seat.0.leaving.end.subscribe();
    let stand = Arc::new(ConnectionState::default());
    let stream =
        TimeoutStream::new(stream, stand.clone(), Duration::from_millis(intake.head_ms), Duration::from_millis(intake.idle_ms));
    let serve = service_fn(|request| {
        let (door, stand) = (seat.0.clone(), stand.clone());
        async move {
            stand.set_busy(true);
            let (mut response, end) = door.take(request).await;
            stand.set_write_deadline(end);
            stand.set_busy(false);
            if door.leaving.told() {
                close(&mut response);
            }
            Ok::<_, Infallible>(response.map(Full::new))
        }
    });
    let mut http = http1::Builder::new();
    // The stream itself sees to heads that come too slowly.
    http.header_read_timeout(None).max_buf_size(intake.head_bytes.max(8192)).max_headers(100);
    // Whatever ended it, the caller sees a closed connection.
    let mut work = std::pin::pin!(http.serve_connection(TokioIo::new(stream), serve));
    let ended = tokio::select! {
        _ = &mut work => false,
        _ = ended(&mut end) => true,
    };
    if ended {
        work.as_mut().graceful_shutdown();
        let _ = work.await;
    }
}

async fn ended(end: &mut watch::Receiver<bool>) {
    // Whoever could end it otherwise is gone, which is an end as well.
    drop(end.wait_for(|e| *e).await);
}

impl Door {
    fn intake(&self) -> InboundLimits {
        self.settings.borrow().intake
    }
    /// The response to a request, and when it may not be given any more.
    async fn take(&self, request: http::Request<Incoming>) -> (Response, Option<Time>) {
        let (head, body) = request.into_parts();
        let max = self.front.body_max;
        if body.size_hint().lower() > max {
            return (closed(413), None);
        }
        let body = match Limited::new(body, max as usize).collect().await {
            Ok(b) => b.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => return (closed(413), None),
            // The caller went, or sent what is no body; nothing was taken.
            Err(_) => return (closed(400), None),
        };
        let request = Request::from_parts(head, body);
        match self.front.inbound.hear(&request) {
            Heard::Answer(response) => (response, None),
            Heard::Ask(ask) => {
                let answer = self.desk.answer(ask).await;
                (self.front.inbound.answer(&request, answer.verdict), answer.end)
            }
        }
    }
}

fn close(response: &mut Response) {
    response.headers_mut().insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
}

fn closed(code: u16) -> Response {
    let mut r = bare(code);
    close(&mut r);
    r
}
