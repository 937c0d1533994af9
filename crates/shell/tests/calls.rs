//! Outgoing calls to servers that misbehave.
use dw_shell::calls::make_call;
use dw_shell::pool::Pool;
use dw_shell::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server on its own thread; `ended_connections` yields the number of each connection
/// that ends.
struct TestServer {
    addr: SocketAddr,
    ended_connections: Receiver<usize>,
}

/// Starts a server. `respond` gives the response for a connection's number and the
/// request's number on it; `None` closes the connection.
fn serve(respond: impl Fn(usize, usize) -> Option<String> + Send + Clone + 'static) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, ended_connections) = channel();
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate() {
            let (respond, tx) = (respond.clone(), tx.clone());
            std::thread::spawn(move || {
                serve_connection(stream.unwrap(), |m| respond(n, m));
                let _ = tx.send(n);
            });
        }
    });
    TestServer { addr, ended_connections }
}

fn serve_connection(mut stream: TcpStream, respond: impl Fn(usize) -> Option<String>) {
    let mut request_number = 0;
    let mut received = Vec::new();
    let mut buf = [0; 1024];
    loop {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return,
            Ok(n) => received.extend_from_slice(&buf[..n]),
        }
        if !received.ends_with(b"\r\n\r\n") {
            continue;
        }
        received.clear();
        let Some(response) = respond(request_number) else { return };
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        request_number += 1;
    }
}

fn call(addr: SocketAddr, timeout: Span) -> Call {
    Call {
        is_post: false,
        addr: addr.to_string(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout,
        kind: CallKind::Plain,
    }
}

const TEST_TIMEOUT: Span = Span(20_000_000);

async fn call_server(pool: &Arc<Pool>, addr: SocketAddr) -> CallResult {
    make_call(pool, &OwnProtocol, call(addr, TEST_TIMEOUT)).await
}

fn is_ok(result: &CallResult) -> bool {
    matches!(result, CallResult::Answered { code: 200, .. })
}

/// Waits for the end of a connection without blocking the runtime, which polls its sockets.
async fn wait_for_connection_end(server: TestServer) -> (usize, TestServer) {
    tokio::task::spawn_blocking(move || (server.ended_connections.recv().unwrap(), server)).await.unwrap()
}

#[tokio::test]
async fn a_refused_connection_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(call_server(&Arc::default(), addr).await, CallResult::Failed(SendState::NotSent));
}

#[tokio::test]
async fn a_call_to_an_invalid_address_is_not_sent() {
    let mut c = call(([127, 0, 0, 1], 1).into(), TEST_TIMEOUT);
    c.addr = "nowhere".into();
    assert_eq!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Failed(SendState::NotSent));
}

#[tokio::test]
async fn a_close_without_a_response_leaves_the_outcome_unknown() {
    let server = serve(|_, _| None);
    assert_eq!(call_server(&Arc::default(), server.addr).await, CallResult::Failed(SendState::MaybeSent));
}

#[tokio::test]
async fn a_truncated_response_leaves_the_outcome_unknown() {
    let server = serve(|_, m| (m == 0).then(|| "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf".to_string()));
    let c = call(server.addr, Span::millis(100));
    assert_eq!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Failed(SendState::MaybeSent));
}

#[tokio::test]
async fn the_timeout_ends_a_call_and_closes_its_socket() {
    let server = serve(|_, _| Some(String::new()));
    let c = call(server.addr, Span::millis(50));
    assert_eq!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Failed(SendState::MaybeSent));
    wait_for_connection_end(server).await;
}

#[tokio::test]
async fn a_connection_is_reused() {
    let server = serve(|n, _| (n == 0).then(|| OK.to_string()));
    let pool = Arc::default();
    for _ in 0..3 {
        assert!(is_ok(&call_server(&pool, server.addr).await));
    }
}

#[tokio::test]
async fn a_close_on_a_reused_connection_leaves_the_outcome_unknown() {
    let server = serve(|n, m| (n > 0 || m == 0).then(|| OK.to_string()));
    let pool = Arc::default();
    assert!(is_ok(&call_server(&pool, server.addr).await));
    assert_eq!(call_server(&pool, server.addr).await, CallResult::Failed(SendState::MaybeSent));
    assert!(is_ok(&call_server(&pool, server.addr).await));
}

#[tokio::test]
async fn an_unsolicited_response_ends_its_connection() {
    let server = serve(|n, m| match (n, m) {
        (0, 0) => Some(format!("{OK}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale")),
        _ => Some(OK.to_string()),
    });
    let pool = Arc::default();
    assert!(is_ok(&call_server(&pool, server.addr).await));
    // The second response belongs to no request and must not be taken for the next request's.
    let r = call_server(&pool, server.addr).await;
    assert!(matches!(&r, CallResult::Answered { body, .. } if body == "ok"), "{r:?}");
    let (n, _) = wait_for_connection_end(server).await;
    assert_eq!(n, 0);
}

#[tokio::test]
async fn a_connection_that_the_server_will_close_is_not_kept() {
    let close = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let no_keep_alive = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 2\r\n\r\nok";
    for text in [close, no_keep_alive] {
        let server = serve(move |_, m| (m == 0).then(|| text.to_string()));
        let pool = Arc::default();
        for _ in 0..2 {
            assert!(is_ok(&call_server(&pool, server.addr).await));
        }
    }
}

/// Lets no connection be reused.
struct NeverReuse;

impl Outbound for NeverReuse {
    fn request(&self, call: &Call) -> Result<Request, CallResult> {
        OwnProtocol.request(call)
    }
    fn reply(&self, call: &Call, response: Response) -> Meant {
        Meant { reuse: false, ..OwnProtocol.reply(call, response) }
    }
}

#[tokio::test]
async fn a_connection_that_may_not_be_reused_is_closed_at_once() {
    let server = serve(|_, m| (m == 0).then(|| OK.to_string()));
    let pool = Arc::default();
    for _ in 0..2 {
        assert!(is_ok(&make_call(&pool, &NeverReuse, call(server.addr, TEST_TIMEOUT)).await));
    }
    wait_for_connection_end(server).await;
}

#[tokio::test]
async fn a_call_with_an_invalid_header_is_not_sent() {
    let mut c = call(([127, 0, 0, 1], 1).into(), TEST_TIMEOUT);
    c.headers.push(("x", "a\nb".into()));
    assert!(matches!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Answered { code: 400, .. }));
}

/// The outcome of a run that succeeded is known, however large its response is.
#[tokio::test]
async fn a_response_with_a_large_body_is_read_to_its_end() {
    let large = 3 << 20;
    let server = serve(move |_, _| Some(format!("HTTP/1.1 200 OK\r\ncontent-length: {large}\r\n\r\n{}", "x".repeat(large))));
    let pool = Arc::default();
    for _ in 0..2 {
        let CallResult::Answered { code: 200, body, .. } = call_server(&pool, server.addr).await else {
            panic!("the response was lost")
        };
        assert_eq!(body.len(), 1 << 20);
    }
}
