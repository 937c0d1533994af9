//! A whole daemon, with a core of a few lines, that ends while callers' requests are on
//! their way.
use crossbeam_channel::{bounded, Sender};
use dw_shell::prelude::*;
use dw_shell::run::run;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const HEAD: &str = "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
/// What a daemon answers to the head once it reads the body.
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Takes every request for a lookup, and answers with the verdict's status.
struct Lookups;

impl Inbound for Lookups {
    fn hear(&self, request: &Request) -> Heard {
        Heard::Ask(ApiRequest::LookupRouted { name: request.uri().path().to_string(), with_body: false })
    }
    fn answer(&self, _: &Request, verdict: ApiResponse) -> Response {
        bare(verdict.code)
    }
}

/// Has nothing to do from the start, and says so once. It answers 200 to every request.
struct FinishedCore {
    finished: Sender<()>,
    has_finished: bool,
}

impl Core for FinishedCore {
    fn step(&mut self, event: Event, _: Time) -> Vec<Effect> {
        if let Event::Request(id, _) = event {
            return vec![Effect::Respond(id, ApiResponse::json(200, String::new()))];
        }
        if std::mem::replace(&mut self.has_finished, true) {
            return Vec::new();
        }
        self.finished.send(()).unwrap();
        vec![Effect::Exit]
    }
}

fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// Connects once the daemon listens.
fn connect(address: &str) -> TcpStream {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(e) => assert!(Instant::now() < deadline, "{e}"),
        }
    }
}

/// Connects, sends the head of a request and the first half of its body; returns when the daemon
/// reads the body.
fn begin_request(address: &str) -> TcpStream {
    let mut caller = connect(address);
    caller.write_all(HEAD.as_bytes()).unwrap();
    let mut answer = [0; CONTINUE.len()];
    caller.read_exact(&mut answer).unwrap();
    assert_eq!(answer, CONTINUE.as_bytes());
    caller.write_all(b"ab").unwrap();
    caller
}

/// Runs a daemon whose core finishes when `begin` lets it; returns what callers need.
fn start() -> (String, Sender<()>, crossbeam_channel::Receiver<()>, std::thread::JoinHandle<()>) {
    let address = free_address();
    let (begin, begun) = bounded::<()>(0);
    let (finished, has_finished) = bounded(1);
    let front = Front { addr: address.clone(), inbound: Arc::new(Lookups), body_max: 1000 };
    let daemon = std::thread::spawn(move || {
        let text = format!(r#"{{"cluster":"c","id":"proxy-1","zone":"z","listen":"{}"}}"#, free_address());
        let startup = Startup { http: String::new(), ..Startup::parse(&text, "s".as_ref()).unwrap() };
        let speech = Speech { fronts: vec![front], ..Speech::own() };
        let make = |_| {
            begun.recv().unwrap();
            (FinishedCore { finished, has_finished: false }, Vec::new())
        };
        run(&startup, Vec::new(), Face::Status, speech, make).unwrap();
    });
    (address, begin, has_finished, daemon)
}

/// Review case 6, LOST: an edge that was stopped read requests to their end and gave no
/// answer, as its core had ended while their bodies were on their way.
#[test]
fn a_request_whose_body_is_on_its_way_when_the_core_ends_is_answered() {
    let (address, begin, has_finished, daemon) = start();
    // It is accepted before the connection of the request, which comes later.
    let mut idle = connect(&address);
    let mut caller = begin_request(&address);
    begin.send(()).unwrap();
    has_finished.recv_timeout(Duration::from_secs(10)).unwrap();
    // An idle connection ends at once.
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    caller.write_all(b"cd").unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    daemon.join().unwrap();
}

/// A caller that never sends the rest does not keep the daemon.
#[test]
fn a_daemon_ends_though_a_body_never_comes() {
    let (address, begin, has_finished, daemon) = start();
    let _caller = begin_request(&address);
    begin.send(()).unwrap();
    has_finished.recv_timeout(Duration::from_secs(10)).unwrap();
    daemon.join().unwrap();
}
