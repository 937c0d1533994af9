//! Late responses and closes on pooled connections, and calls that are started late,
//! over real sockets. The runtime has one thread, so a test that blocks simulates a frozen
//! process: time passes and nothing is noticed.
use dw_shell::calls::{make_call, HttpClient};
use dw_shell::pool::Pool;
use dw_shell::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const TEST_TIMEOUT: Span = Span::secs(20);
/// Longer than a test server takes for anything it does.
const FREEZE_DURATION: Duration = Duration::from_millis(300);

/// What a server does on a connection after each request.
#[derive(Clone, Copy)]
enum AfterRequest {
    /// It responds and waits for the next request.
    KeepOpen,
    /// It responds and closes the connection a moment later.
    Close,
    /// It responds and sends a second response a moment later.
    RespondTwice,
    /// It resets the connection without a response.
    Reset,
}

/// A server that responds with the number of the request, counted over all of its
/// connections.
struct TestServer {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

fn response(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len())
}

/// Starts a server. `after_request` gives, by the connection's number, what the server does
/// after each request.
fn serve(after_request: impl Fn(usize) -> AfterRequest + Send + Clone + 'static) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (connections, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let server = TestServer { addr, connections: connections.clone(), requests: requests.clone() };
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let after_request = after_request(connections.fetch_add(1, Ordering::SeqCst));
            let requests = requests.clone();
            std::thread::spawn(move || serve_connection(stream.unwrap(), after_request, &requests));
        }
    });
    server
}

fn serve_connection(mut stream: TcpStream, after_request: AfterRequest, requests: &AtomicUsize) {
    let mut head = Vec::new();
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        let number = requests.fetch_add(1, Ordering::SeqCst) + 1;
        if matches!(after_request, AfterRequest::Reset) {
            // Closing a socket with unread bytes resets the connection. There are none here,
            // so a linger time of zero does it.
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            return;
        }
        stream.write_all(response(&format!("answer {number}")).as_bytes()).unwrap();
        match after_request {
            AfterRequest::KeepOpen | AfterRequest::Reset => {}
            AfterRequest::Close => {
                std::thread::sleep(FREEZE_DURATION / 6);
                return;
            }
            AfterRequest::RespondTwice => {
                std::thread::sleep(FREEZE_DURATION / 6);
                stream.write_all(response("a second answer").as_bytes()).unwrap();
            }
        }
    }
}

fn call(addr: SocketAddr, timeout: Span) -> Call {
    Call {
        is_post: true,
        addr: addr.to_string(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout,
        kind: CallKind::Plain,
    }
}

async fn call_for_text(pool: &Arc<Pool>, addr: SocketAddr) -> String {
    match make_call(pool, &OwnProtocol, call(addr, TEST_TIMEOUT)).await {
        CallResult::Answered { body, .. } => String::from_utf8_lossy(&body).into_owned(),
        other => format!("{other:?}"),
    }
}

#[tokio::test]
async fn a_late_second_response_is_not_taken_for_the_next_call() {
    let server = serve(|n| if n == 0 { AfterRequest::RespondTwice } else { AfterRequest::KeepOpen });
    let pool = Arc::default();
    assert_eq!(call_for_text(&pool, server.addr).await, "answer 1");
    std::thread::sleep(FREEZE_DURATION);
    assert_eq!(call_for_text(&pool, server.addr).await, "answer 2");
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_connection_that_was_closed_meanwhile_is_not_written_to() {
    let server = serve(|n| if n == 0 { AfterRequest::Close } else { AfterRequest::KeepOpen });
    let pool = Arc::default();
    assert_eq!(call_for_text(&pool, server.addr).await, "answer 1");
    std::thread::sleep(FREEZE_DURATION);
    assert_eq!(call_for_text(&pool, server.addr).await, "answer 2");
    assert_eq!(server.requests.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_reset_after_the_last_byte_leaves_the_outcome_unknown_and_sends_once() {
    let server = serve(|_| AfterRequest::Reset);
    let result = make_call(&Arc::default(), &OwnProtocol, call(server.addr, TEST_TIMEOUT)).await;
    assert_eq!(result, CallResult::Failed(SendState::MaybeSent));
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_call_whose_deadline_passes_while_it_connects_is_not_sent() {
    let server = serve(|_| AfterRequest::KeepOpen);
    let (addr, pool) = (server.addr, Arc::default());
    let call_task = tokio::spawn(async move { make_call(&pool, &OwnProtocol, call(addr, Span::millis(100))).await });
    // The call begins to connect; then the process is frozen past the deadline.
    tokio::task::yield_now().await;
    std::thread::sleep(FREEZE_DURATION);
    assert_eq!(call_task.await.unwrap(), CallResult::Failed(SendState::NotSent));
    tokio::time::sleep(FREEZE_DURATION).await;
    assert_eq!(server.requests.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_call_that_is_started_after_its_deadline_is_not_sent() {
    let server = serve(|_| AfterRequest::KeepOpen);
    let (event_sender, events) = crossbeam_channel::unbounded();
    let client = HttpClient::new(Arc::new(OwnProtocol), event_sender);
    client.start_call(CallId(1), call(server.addr, Span::millis(100)), now());
    // The process is frozen before the call's task has run.
    std::thread::sleep(FREEZE_DURATION);
    tokio::time::sleep(FREEZE_DURATION).await;
    assert_eq!(events.try_recv(), Ok(Event::CallFinished(CallId(1), CallResult::Failed(SendState::NotSent))));
    assert_eq!(server.requests.load(Ordering::SeqCst), 0);
}

/// Lets no call share a connection with another.
struct NeverShare;

impl Outbound for NeverShare {
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
async fn a_call_that_may_not_share_gets_its_own_connection() {
    let server = serve(|_| AfterRequest::KeepOpen);
    let pool = Arc::default();
    assert_eq!(call_for_text(&pool, server.addr).await, "answer 1");
    for _ in 0..2 {
        let result = make_call(&pool, &NeverShare, call(server.addr, TEST_TIMEOUT)).await;
        assert!(matches!(result, CallResult::Answered { code: 200, .. }), "{result:?}");
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 3);
}

/// If the core is far behind, the result of a call waits until the core takes it.
#[tokio::test]
async fn a_call_result_is_not_dropped_while_the_event_queue_is_full() {
    let server = serve(|_| AfterRequest::KeepOpen);
    let (event_sender, events) = crossbeam_channel::bounded(1);
    event_sender.send(Event::Tick).unwrap();
    let client = HttpClient::new(Arc::new(OwnProtocol), event_sender);
    client.start_call(CallId(1), call(server.addr, TEST_TIMEOUT), now());
    tokio::time::sleep(FREEZE_DURATION).await;
    assert_eq!(events.try_recv(), Ok(Event::Tick));
    let event = tokio::task::spawn_blocking(move || events.recv_timeout(FREEZE_DURATION * 10)).await.unwrap();
    assert!(matches!(event, Ok(Event::CallFinished(CallId(1), CallResult::Answered { code: 200, .. }))), "{event:?}");
}
