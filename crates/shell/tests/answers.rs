//! Answers to callers: each to its own request, and none that is not true any
//! more. Over real sockets, with the test as the core.
use dw_shell::front::{self, Leaving};
use dw_shell::prelude::*;
use dw_shell::timeout_stream::{ConnectionState, TimeoutStream};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const LONG: Duration = Duration::from_secs(20);

/// Every path is an ask by its name; an answer is the verdict's text.
struct Echo;

impl Inbound for Echo {
    fn hear(&self, request: &Request) -> Heard {
        Heard::Ask(match request.uri().path() {
            "/show" => ApiRequest::ShowConfig,
            "/zone" => ApiRequest::SetZoneEmpty { zone: Zone("z1".into()), empty: true, force: true },
            path => ApiRequest::LookupRouted { name: path.to_string(), with_body: false },
        })
    }
    fn answer(&self, _: &Request, verdict: ApiResponse) -> Response {
        let mut response = bare(verdict.code);
        *response.body_mut() = Bytes::from(verdict.json);
        response
    }
}

struct Daemonlike {
    addr: std::net::SocketAddr,
    desk: Arc<Desk>,
    events: crossbeam_channel::Receiver<Event>,
}

fn daemon() -> Daemonlike {
    let (ring, events) = crossbeam_channel::bounded(16);
    let desk = Arc::new(Desk::new(ring, 16, AskLimits { callers: LONG, operators: LONG }));
    let front = Front { addr: "127.0.0.1:0".into(), inbound: Arc::new(Echo), body_max: 1000 };
    let listener = front::bind(&front).unwrap();
    let addr = listener.local_addr().unwrap();
    let text = r#"{"cluster":"c","id":"proxy-1","zone":"z","listen":"127.0.0.1:1"}"#;
    let settings = watch::Sender::new(Startup::parse(text, "s".as_ref()).unwrap());
    tokio::spawn(front::serve(listener, front, desk.clone(), settings.subscribe(), Leaving::default()));
    Daemonlike { addr, desk, events }
}

impl Daemonlike {
    /// Sends a request for `path` over a connection of its own.
    async fn send(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).await.unwrap();
        stream.write_all(get(path).as_bytes()).await.unwrap();
        stream
    }
    /// The next ask.
    async fn asked(&self) -> (RequestId, ApiRequest) {
        let events = self.events.clone();
        let event = tokio::task::spawn_blocking(move || events.recv_timeout(LONG)).await.unwrap();
        let Ok(Event::Request(id, ask)) = event else { panic!("no ask but {event:?}") };
        (id, ask)
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

fn verdict(code: u16, text: &str) -> ApiResponse {
    ApiResponse::json(code, text.to_string())
}

/// Reads until `text` came or the connection ended.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut said = Vec::new();
    let mut buf = [0; 512];
    loop {
        let read = tokio::time::timeout(LONG, stream.read(&mut buf)).await.expect("the connection is silent");
        match read {
            Ok(0) | Err(_) => break,
            Ok(n) => said.extend_from_slice(&buf[..n]),
        }
        if String::from_utf8_lossy(&said).contains(text) {
            break;
        }
    }
    String::from_utf8_lossy(&said).into_owned()
}

#[tokio::test]
async fn answers_given_in_another_order_reach_their_own_callers() {
    let daemon = daemon();
    let mut streams = Vec::new();
    let mut asks = Vec::new();
    for path in ["/a", "/b", "/c"] {
        streams.push((path, daemon.send(path).await));
        asks.push(daemon.asked().await);
    }
    for (id, ask) in asks.into_iter().rev() {
        let ApiRequest::LookupRouted { name, .. } = ask else { panic!("{ask:?}") };
        daemon.desk.tell(id, verdict(200, &format!("for {name}")));
    }
    for (path, stream) in &mut streams {
        let said = read_until(stream, "for ").await;
        assert!(said.ends_with(&format!("for {path}")), "{said}");
    }
}

#[tokio::test]
async fn requests_sent_at_once_over_one_connection_are_answered_in_their_order() {
    let daemon = daemon();
    let mut stream = daemon.send("/a").await;
    stream.write_all(get("/b").as_bytes()).await.unwrap();
    let (first, _) = daemon.asked().await;
    // The second is not asked before the first is answered.
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(daemon.events.try_recv().is_err());
    daemon.desk.tell(first, verdict(200, "for a"));
    let (second, _) = daemon.asked().await;
    // A second verdict for the first finds nobody.
    daemon.desk.tell(first, verdict(200, "again for a"));
    daemon.desk.tell(second, verdict(200, "for b"));
    let said = read_until(&mut stream, "for b").await;
    assert!(said.find("for a") < said.find("for b") && !said.contains("again"), "{said}");
}

#[tokio::test]
async fn a_verdict_for_a_caller_that_went_reaches_nobody_else() {
    let daemon = daemon();
    let gone = daemon.send("/gone").await;
    let (old, _) = daemon.asked().await;
    drop(gone);
    let mut stream = daemon.send("/here").await;
    let (new, _) = daemon.asked().await;
    daemon.desk.tell(old, verdict(200, "for gone"));
    daemon.desk.tell(new, verdict(200, "for here"));
    let said = read_until(&mut stream, "for ").await;
    assert!(said.ends_with("for here"), "{said}");
}

#[tokio::test]
async fn a_caller_that_closed_its_half_gets_its_own_answer_or_none() {
    let daemon = daemon();
    let mut stream = daemon.send("/half").await;
    let (id, _) = daemon.asked().await;
    stream.shutdown().await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    daemon.desk.tell(id, verdict(200, "for half"));
    let said = read_until(&mut stream, "for ").await;
    assert!(said.is_empty() || said.ends_with("for half"), "{said}");
    assert_eq!(daemon.desk.waiting(), 0);
}

/// What a caller of `path` is told when the core came to its verdict `ago`.
async fn told(path: &str, code: u16, ago: Span) -> String {
    let daemon = daemon();
    let mut stream = daemon.send(path).await;
    let (id, _) = daemon.asked().await;
    daemon.desk.tell_decided(id, verdict(code, "decided"), Time(now().0 - ago.0));
    read_until(&mut stream, "\r\n\r\n").await
}

#[tokio::test]
async fn a_read_back_or_a_refusal_that_was_decided_long_ago_is_not_given() {
    for (path, code) in [("/show", 200), ("/show", 404), ("/zone", 409), ("/zone", 503)] {
        let said = told(path, code, Span::secs(20)).await;
        assert!(said.starts_with("HTTP/1.1 504"), "{path} {code}: {said}");
        let said = told(path, code, Span::ZERO).await;
        assert!(said.starts_with(&format!("HTTP/1.1 {code}")), "{path} {code}: {said}");
    }
}

#[tokio::test]
async fn a_confirmation_is_given_however_late() {
    let said = told("/zone", 200, Span::secs(20)).await;
    assert!(said.starts_with("HTTP/1.1 200"), "{said}");
}

#[tokio::test]
async fn an_answer_whose_end_passed_on_its_way_to_the_socket_is_not_written() {
    let (ours, mut theirs) = tokio::io::duplex(64);
    let stand = Arc::new(ConnectionState::default());
    let mut stream = TimeoutStream::new(ours, stand.clone(), LONG, LONG);
    stand.set_write_deadline(Some(now() + Span::secs(20)));
    stream.write_all(b"in time").await.unwrap();
    stand.set_write_deadline(Some(now() + Span::millis(1)));
    // Frozen between the decision and the write.
    std::thread::sleep(Duration::from_millis(20));
    assert_eq!(stream.write_all(b"too late").await.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    drop(stream);
    let mut said = String::new();
    theirs.read_to_string(&mut said).await.unwrap();
    assert_eq!(said, "in time");
}
