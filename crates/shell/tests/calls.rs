//! Outward calls against servers that misbehave.
use dw_shell::calls::make_call;
use dw_shell::pool::Pool;
use dw_shell::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server on a thread of its own; says when each connection is over.
struct Served {
    addr: SocketAddr,
    ended: Receiver<usize>,
}

/// Gives each connection's answers by its number and the request's; `None`
/// closes it.
fn serve(answer: impl Fn(usize, usize) -> Option<String> + Send + Clone + 'static) -> Served {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, ended) = channel();
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate() {
            let (answer, tx) = (answer.clone(), tx.clone());
            std::thread::spawn(move || {
                one(stream.unwrap(), |m| answer(n, m));
                let _ = tx.send(n);
            });
        }
    });
    Served { addr, ended }
}

fn one(mut s: TcpStream, answer: impl Fn(usize) -> Option<String>) {
    let mut m = 0;
    let mut got = Vec::new();
    let mut buf = [0; 1024];
    loop {
        match s.read(&mut buf) {
            Ok(0) | Err(_) => return,
            Ok(n) => got.extend_from_slice(&buf[..n]),
        }
        if !got.ends_with(b"\r\n\r\n") {
            continue;
        }
        got.clear();
        let Some(text) = answer(m) else { return };
        if s.write_all(text.as_bytes()).is_err() {
            return;
        }
        m += 1;
    }
}

fn call(addr: SocketAddr, limit: Span) -> Call {
    Call {
        is_post: false,
        addr: addr.to_string(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout: limit,
        kind: CallKind::Plain,
    }
}

const LONG: Span = Span(20_000_000);

async fn go(pool: &Arc<Pool>, addr: SocketAddr) -> CallResult {
    make_call(pool, &OwnProtocol, call(addr, LONG)).await
}

fn ok(r: &CallResult) -> bool {
    matches!(r, CallResult::Answered { code: 200, .. })
}

/// Waits for the end of a connection while the runtime looks at its sockets.
async fn ended(served: Served) -> (usize, Served) {
    tokio::task::spawn_blocking(move || (served.ended.recv().unwrap(), served)).await.unwrap()
}

#[tokio::test]
async fn a_dead_port_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(go(&Arc::default(), addr).await, CallResult::Failed(SendState::NotSent));
}

#[tokio::test]
async fn what_is_no_address_is_not_called() {
    let mut c = call(([127, 0, 0, 1], 1).into(), LONG);
    c.addr = "nowhere".into();
    assert_eq!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Failed(SendState::NotSent));
}

#[tokio::test]
async fn a_close_without_an_answer_is_a_doubt() {
    let s = serve(|_, _| None);
    assert_eq!(go(&Arc::default(), s.addr).await, CallResult::Failed(SendState::MaybeSent));
}

#[tokio::test]
async fn an_answer_cut_short_is_a_doubt() {
    let s = serve(|_, m| (m == 0).then(|| "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf".to_string()));
    let c = call(s.addr, Span::millis(100));
    assert_eq!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Failed(SendState::MaybeSent));
}

#[tokio::test]
async fn the_limit_ends_a_call_and_its_socket() {
    let s = serve(|_, _| Some(String::new()));
    let c = call(s.addr, Span::millis(50));
    assert_eq!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Failed(SendState::MaybeSent));
    ended(s).await;
}

#[tokio::test]
async fn a_connection_is_used_again() {
    let s = serve(|n, _| (n == 0).then(|| OK.to_string()));
    let pool = Arc::default();
    for _ in 0..3 {
        assert!(ok(&go(&pool, s.addr).await));
    }
}

#[tokio::test]
async fn a_request_answered_by_closing_is_a_doubt() {
    let s = serve(|n, m| (n > 0 || m == 0).then(|| OK.to_string()));
    let pool = Arc::default();
    assert!(ok(&go(&pool, s.addr).await));
    assert_eq!(go(&pool, s.addr).await, CallResult::Failed(SendState::MaybeSent));
    assert!(ok(&go(&pool, s.addr).await));
}

#[tokio::test]
async fn an_answer_nobody_asked_for_ends_its_connection() {
    let s = serve(|n, m| match (n, m) {
        (0, 0) => Some(format!("{OK}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale")),
        _ => Some(OK.to_string()),
    });
    let pool = Arc::default();
    assert!(ok(&go(&pool, s.addr).await));
    // Nobody asked for the second answer; it must not pass for one.
    let r = go(&pool, s.addr).await;
    assert!(matches!(&r, CallResult::Answered { body, .. } if body == "ok"), "{r:?}");
    let (n, _) = ended(s).await;
    assert_eq!(n, 0);
}

#[tokio::test]
async fn a_connection_said_to_close_is_not_kept() {
    let close = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let brief = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 2\r\n\r\nok";
    for text in [close, brief] {
        let s = serve(move |_, m| (m == 0).then(|| text.to_string()));
        let pool = Arc::default();
        for _ in 0..2 {
            assert!(ok(&go(&pool, s.addr).await));
        }
    }
}

/// Trusts no connection twice.
struct Wary;

impl Outbound for Wary {
    fn request(&self, call: &Call) -> Result<Request, CallResult> {
        OwnProtocol.request(call)
    }
    fn reply(&self, call: &Call, response: Response) -> Meant {
        Meant { reuse: false, ..OwnProtocol.reply(call, response) }
    }
}

#[tokio::test]
async fn a_connection_that_is_not_trusted_is_closed_at_once() {
    let s = serve(|_, m| (m == 0).then(|| OK.to_string()));
    let pool = Arc::default();
    for _ in 0..2 {
        assert!(ok(&make_call(&pool, &Wary, call(s.addr, LONG)).await));
    }
    ended(s).await;
}

#[tokio::test]
async fn a_head_that_can_not_be_written_is_not_sent() {
    let mut c = call(([127, 0, 0, 1], 1).into(), LONG);
    c.headers.push(("x", "a\nb".into()));
    assert!(matches!(make_call(&Arc::default(), &OwnProtocol, c).await, CallResult::Answered { code: 400, .. }));
}

/// A run that succeeded is not in doubt for the size of its answer.
#[tokio::test]
async fn an_answer_with_a_large_body_is_read_to_its_end() {
    let large = 3 << 20;
    let s = serve(move |_, _| Some(format!("HTTP/1.1 200 OK\r\ncontent-length: {large}\r\n\r\n{}", "x".repeat(large))));
    let pool = Arc::default();
    for _ in 0..2 {
        let CallResult::Answered { code: 200, body, .. } = go(&pool, s.addr).await else { panic!("it is lost") };
        assert_eq!(body.len(), 1 << 20);
    }
}
