//! The shell beside the cores: frames over loopback between two real ends,
//! sockets, threads and kernel in.
use super::sizes;
use crate::prelude::*;
use crate::thread_time::process_nanos;
use crossbeam_channel::bounded;
use dw_shell::prelude::Startup;
use std::time::Duration;

const FRAMES: u64 = 2000;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new(
        "frames",
        "bytes of a frame's body",
        format!("two ends in one process over loopback, {FRAMES} frames, one at a time"),
    );
    for n in sizes(quick, &[100, 1000, 10_000, 100_000]) {
        if let Some(us) = exchange(n) {
            axis.either("both ends, with their threads and the kernel, us", "us", n as f64, us);
        }
    }
    axis.fitted()
}

fn startup(id: &str, port: u16) -> Option<Startup> {
    let text = serde_json::json!({"cluster": "scale", "id": id, "zone": "z1", "listen": format!("127.0.0.1:{port}"), "http": "127.0.0.1:0"});
    serde_json::from_value(text).ok()
}

fn free_port() -> Option<u16> {
    std::net::TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok().map(|a| a.port())
}

/// Microseconds of processor time for one frame, or nothing when the machine
/// has no loopback to offer.
fn exchange(len: usize) -> Option<f64> {
    let (a, b) = (startup("store-1", free_port()?)?, startup("store-2", free_port()?)?);
    let ((left, _keep), (right, heard)) = (bounded(64), bounded(64));
    let one = dw_shell::wires::start(&a, a.member(Mark(1)), left).ok()?;
    let _two = dw_shell::wires::start(&b, b.member(Mark(2)), right).ok()?;
    let to = Daemon("store-2".into());
    one.learn(&to, &b.listen);
    let place = Place { tenant: "t".into(), waitlist: "w".into(), part: 0 };
    let body = Bytes::from(vec![7u8; len]);
    let say = || {
        let all = vec![(MessageId("event".into()), body.clone())];
        one.say(to.clone(), Msg::Bodies { place: place.clone(), epoch: Epoch::ZERO, all });
        heard.recv_timeout(Duration::from_secs(2)).is_ok()
    };
    // The line is dialled with the first.
    if !say() {
        return None;
    }
    let began = process_nanos();
    if !(0..FRAMES).all(|_| say()) {
        return None;
    }
    Some((process_nanos() - began) as f64 / 1e3 / FRAMES as f64)
}
