//! HTTP in, in whatever words an `Inbound` speaks.
use crate::patience::{Patience, Stand};
use crate::pool::tune;
use crate::prelude::*;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Shared by all connections of one address.
/// Invariant: `open` counts them, and is at most `intake.connections`.
struct Door {
    front: Front,
    desk: Arc<Desk>,
    intake: Intake,
    leaving: Arc<AtomicBool>,
    open: AtomicUsize,
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
pub async fn serve(at: std::net::TcpListener, front: Front, desk: Arc<Desk>, intake: Intake, leaving: Arc<AtomicBool>) {
    let Ok(at) = TcpListener::from_std(at) else { return };
    let door = Arc::new(Door { front, desk, intake, leaving, open: AtomicUsize::new(0) });
    loop {
        let Ok((stream, _)) = at.accept().await else {
            // Out of descriptors; those who end give some back.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if door.open.load(Ordering::Relaxed) >= door.intake.connections {
            // Closed unread: the caller knows that nothing was taken.
            continue;
        }
        door.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(connection(stream, Seat(door.clone())));
    }
}

async fn connection(stream: TcpStream, seat: Seat) {
    tune(&stream);
    let intake = &seat.0.intake;
    let stand = Arc::new(Stand::default());
    let stream =
        Patience::new(stream, stand.clone(), Duration::from_millis(intake.head_ms), Duration::from_millis(intake.idle_ms));
    let serve = service_fn(|request| {
        let (door, stand) = (seat.0.clone(), stand.clone());
        async move {
            stand.set_busy(true);
            let mut response = door.take(request).await;
            stand.set_busy(false);
            if door.leaving.load(Ordering::Relaxed) {
                close(&mut response);
            }
            Ok::<_, Infallible>(response.map(Full::new))
        }
    });
    let mut http = http1::Builder::new();
    // The stream itself sees to heads that come too slowly.
    http.header_read_timeout(None).max_buf_size(intake.head_bytes.max(8192)).max_headers(100);
    // Whatever ended it, the caller sees a closed connection.
    let _ = http.serve_connection(TokioIo::new(stream), serve).await;
}

impl Door {
    async fn take(&self, request: http::Request<Incoming>) -> Response {
        let (head, body) = request.into_parts();
        let max = self.front.body_max;
        if body.size_hint().lower() > max {
            return closed(413);
        }
        let body = match Limited::new(body, max as usize).collect().await {
            Ok(b) => b.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => return closed(413),
            // The caller went, or sent what is no body; nothing was taken.
            Err(_) => return closed(400),
        };
        let request = Request::from_parts(head, body);
        match self.front.inbound.hear(&request) {
            Heard::Answer(response) => response,
            Heard::Ask(ask) => self.front.inbound.answer(&request, self.desk.ask(ask).await),
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
