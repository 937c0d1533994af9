//! Connections on which something comes late, and calls that come late
//! themselves, against real sockets. The runtime has one thread, so a blocked
//! test is a frozen process: time goes on and nothing is noticed.
use dw_shell::calls::{make_call, HttpClient};
use dw_shell::pool::Pool;
use dw_shell::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const LONG: Span = Span::secs(20);
/// Longer than a test's server takes for anything.
const FREEZE: Duration = Duration::from_millis(300);

/// What a server does on one of its connections after a request.
#[derive(Clone, Copy)]
enum Then {
    /// It waits for the next request.
    Stay,
    /// It closes the connection a moment later.
    Close,
    /// It sends a second answer a moment later.
    AnswerAgain,
    /// It resets the connection without an answer.
    Reset,
}

/// A server that answers with the number of the request, counted over all of
/// its connections.
struct Server {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

fn answer(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len())
}

/// Serves; `then` says what follows each request, by the connection's number.
fn serve(then: impl Fn(usize) -> Then + Send + Clone + 'static) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (connections, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let server = Server { addr, connections: connections.clone(), requests: requests.clone() };
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let then = then(connections.fetch_add(1, Ordering::SeqCst));
            let requests = requests.clone();
            std::thread::spawn(move || converse(stream.unwrap(), then, &requests));
        }
    });
    server
}

fn converse(mut stream: TcpStream, then: Then, requests: &AtomicUsize) {
    let mut head = Vec::new();
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        let number = requests.fetch_add(1, Ordering::SeqCst) + 1;
        if matches!(then, Then::Reset) {
            // Closing with unread bytes resets; there are none, so linger does.
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            return;
        }
        stream.write_all(answer(&format!("answer {number}")).as_bytes()).unwrap();
        match then {
            Then::Stay | Then::Reset => {}
            Then::Close => {
                std::thread::sleep(FREEZE / 6);
                return;
            }
            Then::AnswerAgain => {
                std::thread::sleep(FREEZE / 6);
                stream.write_all(answer("a second answer").as_bytes()).unwrap();
            }
        }
    }
}

fn call(addr: SocketAddr, limit: Span) -> Call {
    Call {
        is_post: true,
        addr: addr.to_string(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout: limit,
        kind: CallKind::Plain,
    }
}

async fn text(pool: &Arc<Pool>, addr: SocketAddr) -> String {
    match make_call(pool, &OwnProtocol, call(addr, LONG)).await {
        CallResult::Answered { body, .. } => String::from_utf8_lossy(&body).into_owned(),
        other => format!("{other:?}"),
    }
}

#[tokio::test]
async fn a_late_second_answer_is_not_taken_for_the_next_calls() {
    let server = serve(|n| if n == 0 { Then::AnswerAgain } else { Then::Stay });
    let pool = Arc::default();
    assert_eq!(text(&pool, server.addr).await, "answer 1");
    std::thread::sleep(FREEZE);
    assert_eq!(text(&pool, server.addr).await, "answer 2");
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_connection_that_was_closed_meanwhile_is_not_written_to() {
    let server = serve(|n| if n == 0 { Then::Close } else { Then::Stay });
    let pool = Arc::default();
    assert_eq!(text(&pool, server.addr).await, "answer 1");
    std::thread::sleep(FREEZE);
    assert_eq!(text(&pool, server.addr).await, "answer 2");
    assert_eq!(server.requests.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_reset_after_the_last_byte_is_a_doubt_and_one_sending() {
    let server = serve(|_| Then::Reset);
    let reply = make_call(&Arc::default(), &OwnProtocol, call(server.addr, LONG)).await;
    assert_eq!(reply, CallResult::Failed(SendState::MaybeSent));
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_call_whose_end_passes_while_it_connects_is_not_sent() {
    let server = serve(|_| Then::Stay);
    let (addr, pool) = (server.addr, Arc::default());
    let calling = tokio::spawn(async move { make_call(&pool, &OwnProtocol, call(addr, Span::millis(100))).await });
    // It begins to connect; then the process is frozen past the end.
    tokio::task::yield_now().await;
    std::thread::sleep(FREEZE);
    assert_eq!(calling.await.unwrap(), CallResult::Failed(SendState::NotSent));
    tokio::time::sleep(FREEZE).await;
    assert_eq!(server.requests.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_call_that_was_decided_long_ago_is_not_sent() {
    let server = serve(|_| Then::Stay);
    let (ring, events) = crossbeam_channel::unbounded();
    let caller = HttpClient::new(Arc::new(OwnProtocol), ring);
    caller.start_call(CallId(1), call(server.addr, Span::millis(100)), now());
    // The task has not run yet when the process is frozen.
    std::thread::sleep(FREEZE);
    tokio::time::sleep(FREEZE).await;
    assert_eq!(events.try_recv(), Ok(Event::CallFinished(CallId(1), CallResult::Failed(SendState::NotSent))));
    assert_eq!(server.requests.load(Ordering::SeqCst), 0);
}

/// Says that no call may share a connection with another.
struct Alone;

impl Outbound for Alone {
    fn request(&self, call: &Call) -> Result<Request, CallResult> {
        OwnProtocol.request(call)
    }
    fn reply(&self, call: &Call, response: Response) -> Meant {
        OwnProtocol.reply(call, response)
    }
    fn may_share(&self, _: &Call) -> bool {
        false
    }
}

#[tokio::test]
async fn a_call_that_may_not_share_has_a_connection_of_its_own() {
    let server = serve(|_| Then::Stay);
    let pool = Arc::default();
    assert_eq!(text(&pool, server.addr).await, "answer 1");
    for _ in 0..2 {
        let reply = make_call(&pool, &Alone, call(server.addr, LONG)).await;
        assert!(matches!(reply, CallResult::Answered { code: 200, .. }), "{reply:?}");
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 3);
}

/// The core is far behind: what a call came to waits for it.
#[tokio::test]
async fn an_end_of_a_call_is_not_dropped_while_the_ring_is_full() {
    let server = serve(|_| Then::Stay);
    let (ring, events) = crossbeam_channel::bounded(1);
    ring.send(Event::Tick).unwrap();
    let caller = HttpClient::new(Arc::new(OwnProtocol), ring);
    caller.start_call(CallId(1), call(server.addr, LONG), now());
    tokio::time::sleep(FREEZE).await;
    assert_eq!(events.try_recv(), Ok(Event::Tick));
    let end = tokio::task::spawn_blocking(move || events.recv_timeout(FREEZE * 10)).await.unwrap();
    assert!(matches!(end, Ok(Event::CallFinished(CallId(1), CallResult::Answered { code: 200, .. }))), "{end:?}");
}
