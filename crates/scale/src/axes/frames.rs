//! The shell beside the cores: frames over loopback between two real ends,
//! sockets, threads and kernel in.
use super::sizes;
use crate::prelude::*;
use crate::thread_time::process_nanos;
use crossbeam_channel::bounded;
use dw_shell::peer_transport;
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
    let (ring, heard) = bounded(64);
    let (cuts, _untold) = bounded(64);
    let (one, _unheard) = peer_transport::bind(&a, a.member(IncarnationId(1))).ok()?;
    let (two, sockets) = peer_transport::bind(&b, b.member(IncarnationId(2))).ok()?;
    let to = Daemon("store-2".into());
    one.set_peer_address(&to, &b.listen);
    // One thread for each end, as in two daemons.
    let (words, written) = tokio::sync::mpsc::unbounded_channel::<Vec<u8>>();
    let (end, ended) = tokio::sync::oneshot::channel::<()>();
    let (lines, peer) = (one.clone(), to.clone());
    let sends = std::thread::spawn(move || {
        network()?.block_on(async move {
            let (mut lines, mut written) = (peer_transport::PeerConnections::new(lines, cuts), written);
            while let Some(frame) = written.recv().await {
                lines.write(peer.clone(), frame);
            }
            Some(())
        })
    });
    let hears = std::thread::spawn(move || {
        network()?.block_on(async move {
            tokio::select! { _ = peer_transport::serve(two, sockets, ring) => {}, _ = ended => {} }
            Some(())
        })
    });
    let place = PartitionId { tenant: "t".into(), queue: "w".into(), number: 0 };
    let body = Bytes::from(vec![7u8; len]);
    let say = || {
        let all = vec![(MessageId("event".into()), body.clone())];
        let frame = one.encode_frame(&to, PeerMessage::Bodies { partition: place.clone(), epoch: Epoch::ZERO, entries: all });
        let sent = frame.is_some_and(|f| words.send(f).is_ok());
        sent && heard.recv_timeout(Duration::from_secs(2)).is_ok()
    };
    // The line is dialled with the first.
    let ready = say();
    let began = process_nanos();
    let all = ready && (0..FRAMES).all(|_| say());
    let spent = process_nanos() - began;
    drop(words);
    let _ = end.send(());
    let _ = (sends.join(), hears.join());
    all.then(|| spent as f64 / 1e3 / FRAMES as f64)
}

fn network() -> Option<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().ok()
}
