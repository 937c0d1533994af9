//! A front over real sockets, with a core of a few lines behind it.
use dw_shell::front::{self, Leaving};
use dw_shell::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Takes every request for one that seeks its path, and answers how many
/// bytes came with it; `/away` needs no core.
struct Count;

impl Inbound for Count {
    fn hear(&self, request: &Request) -> Heard {
        match request.uri().path() {
            "/away" => Heard::Answer(bare(418)),
            path => Heard::Ask(ApiRequest::LookupRouted { name: path.to_string(), with_body: false }),
        }
    }
    fn answer(&self, request: &Request, verdict: ApiResponse) -> Response {
        let mut r = bare(verdict.code);
        *r.body_mut() = Bytes::from(format!("{} bytes", request.body().len()));
        r
    }
}

struct Room {
    at: SocketAddr,
    desk: Arc<Desk>,
    events: crossbeam_channel::Receiver<Event>,
    leaving: Leaving,
}

fn room(intake: InboundLimits, answer: Duration) -> Room {
    let (ring, events) = crossbeam_channel::bounded(16);
    let desk = Arc::new(Desk::new(ring, 16, AskLimits { callers: answer, operators: answer }));
    let f = Front { addr: "127.0.0.1:0".into(), inbound: Arc::new(Count), body_max: 1000 };
    let listener = front::bind(&f).unwrap();
    let at = listener.local_addr().unwrap();
    let leaving = Leaving::default();
    let text = r#"{"cluster":"c","id":"proxy-1","zone":"z","listen":"127.0.0.1:1"}"#;
    let startup = Startup { intake, ..Startup::parse(text, "s".as_ref()).unwrap() };
    let settings = watch::Sender::new(startup);
    tokio::spawn(front::serve(listener, f, desk.clone(), settings.subscribe(), leaving.clone()));
    Room { at, desk, events, leaving }
}

const LONG: Duration = Duration::from_secs(20);

impl Room {
    /// A core that says 200 to everything.
    fn content(&self) {
        let (desk, events) = (self.desk.clone(), self.events.clone());
        std::thread::spawn(move || {
            for e in events {
                if let Event::Request(id, _) = e {
                    desk.tell(id, ApiResponse::json(200, String::new()));
                }
            }
        });
    }
    async fn dial(&self) -> TcpStream {
        TcpStream::connect(self.at).await.unwrap()
    }
    /// Writes `text` and reads until the other side closes.
    async fn all(&self, text: &str) -> String {
        let mut s = self.dial().await;
        s.write_all(text.as_bytes()).await.unwrap();
        rest(&mut s).await
    }
}

async fn rest(s: &mut TcpStream) -> String {
    let mut out = Vec::new();
    // A reset ends it as well as a close does.
    let _ = tokio::time::timeout(LONG, s.read_to_end(&mut out)).await.expect("the connection stays open");
    String::from_utf8_lossy(&out).into_owned()
}

#[tokio::test]
async fn a_connection_carries_several_requests_of_either_form() {
    let room = room(InboundLimits::default(), LONG);
    room.content();
    let said = room
        .all(
            "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc\
             POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n\
             GET /away HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
        )
        .await;
    assert!(said.contains("3 bytes") && said.contains("4 bytes") && said.contains("418"), "{said}");
}

#[tokio::test]
async fn bodies_too_large_get_413_and_the_connection_ends() {
    let room = room(InboundLimits::default(), LONG);
    room.content();
    let long = format!("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1001\r\n\r\n{}", "x".repeat(1001));
    let chunked = format!("POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n", "x".repeat(1001));
    for text in [long, chunked] {
        let said = room.all(&text).await;
        assert!(said.starts_with("HTTP/1.1 413") && said.contains("connection: close"), "{said}");
    }
}

#[tokio::test]
async fn heads_too_large_or_unreadable_are_refused() {
    let room = room(InboundLimits { head_bytes: 8192, ..InboundLimits::default() }, LONG);
    let large = format!("GET /a HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "x".repeat(20_000));
    let said = room.all(&large).await;
    assert!(said.is_empty() || said.starts_with("HTTP/1.1 431"), "{said}");
    let said = room.all("NOT http at all\r\n\r\n").await;
    assert!(said.starts_with("HTTP/1.1 400"), "{said}");
}

#[tokio::test]
async fn without_a_verdict_in_time_the_answer_is_504() {
    let room = room(InboundLimits::default(), Duration::from_millis(20));
    let said = room.all("GET /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await;
    assert!(said.starts_with("HTTP/1.1 504"), "{said}");
    assert_eq!(room.desk.waiting(), 0);
}

#[tokio::test]
async fn a_client_that_goes_takes_its_ask_with_it() {
    let room = room(InboundLimits::default(), LONG);
    let mut s = room.dial().await;
    s.write_all(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    let events = room.events.clone();
    let asked = tokio::task::spawn_blocking(move || events.recv_timeout(LONG)).await.unwrap();
    assert!(matches!(asked, Ok(Event::Request(..))));
    drop(s);
    let gone = async {
        while room.desk.waiting() > 0 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(LONG, gone).await.expect("the ask stays");
}

#[tokio::test]
async fn a_half_sent_request_is_no_ask() {
    let room = room(InboundLimits::default(), LONG);
    for half in ["POST /a HTTP/1.1\r\nhost: h\r\ncontent-len", "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab"] {
        let mut s = room.dial().await;
        s.write_all(half.as_bytes()).await.unwrap();
        s.shutdown().await.unwrap();
        rest(&mut s).await;
    }
    assert!(room.events.try_recv().is_err());
}

#[tokio::test]
async fn while_leaving_answers_close_their_connections() {
    let room = room(InboundLimits::default(), LONG);
    room.content();
    room.leaving.tell();
    let said = room.all("GET /a HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert!(said.contains("200 OK") && said.contains("connection: close"), "{said}");
}

#[tokio::test]
async fn at_the_end_what_is_under_way_is_answered_and_the_quiet_are_closed() {
    let room = room(InboundLimits::default(), LONG);
    let mut quiet = room.dial().await;
    quiet.write_all(b"GET /away HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    let mut some = [0; 16];
    quiet.read_exact(&mut some).await.unwrap();
    let mut busy = room.dial().await;
    busy.write_all(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    let events = room.events.clone();
    let asked = tokio::task::spawn_blocking(move || events.recv_timeout(LONG)).await.unwrap();
    let Ok(Event::Request(id, _)) = asked else { panic!("no ask") };
    let leaving = room.leaving.clone();
    let end = tokio::spawn(async move { leaving.end().await });
    rest(&mut quiet).await;
    assert!(!end.is_finished());
    room.desk.tell(id, ApiResponse::json(200, String::new()));
    assert!(rest(&mut busy).await.starts_with("HTTP/1.1 200"));
    tokio::time::timeout(LONG, end).await.expect("it does not end").unwrap();
}

#[tokio::test]
async fn connections_beyond_the_bound_are_closed_unread() {
    let room = room(InboundLimits { connections: 1, ..InboundLimits::default() }, LONG);
    room.content();
    let mut first = room.dial().await;
    first.write_all(b"GET /away HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    let mut some = [0; 16];
    first.read_exact(&mut some).await.unwrap();
    assert_eq!(room.all("GET /away HTTP/1.1\r\nhost: h\r\n\r\n").await, "");
    drop(first);
    let freed = async { while room.all("GET /away HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await.is_empty() {} };
    tokio::time::timeout(LONG, freed).await.expect("the seat is not given back");
}

#[tokio::test]
async fn a_full_desk_says_that_nothing_was_taken() {
    let (ring, _events) = crossbeam_channel::bounded(16);
    let desk = Desk::new(ring, 0, AskLimits { callers: LONG, operators: LONG });
    let v = desk.ask(ApiRequest::Ready).await;
    assert_eq!(v.code, 503);
    assert!(v.retry_after.is_some());
}
