//! PeerConnections to peers that go away and come back.
use dw_shell::peer_transport::{bind, PeerConnections, PeerTransport};
use dw_shell::prelude::*;
use std::net::TcpListener;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);

/// PeerConnections of one daemon, and the peer that they lead to.
struct Pair {
    wires: Arc<PeerTransport>,
    lines: PeerConnections,
    peer: Daemon,
    listener: tokio::net::TcpListener,
    heard: crossbeam_channel::Receiver<Event>,
}

impl Pair {
    fn new() -> Pair {
        let text = r#"{"cluster":"c","id":"store-1","zone":"z","listen":"127.0.0.1:0"}"#;
        let startup = Startup::parse(text, "s".as_ref()).unwrap();
        let (wires, _sockets) = bind(&startup, startup.member(IncarnationId(1))).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let peer = Daemon("store-2".into());
        wires.set_peer_address(&peer, &listener.local_addr().unwrap().to_string());
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        let (ring, heard) = crossbeam_channel::bounded(16);
        Pair { lines: PeerConnections::new(wires.clone(), ring), wires, peer, listener, heard }
    }

    fn write(&mut self, n: u8) {
        self.lines.write(self.peer.clone(), vec![n; 4]);
    }

    async fn accept(&self) -> TcpStream {
        timeout(LONG, self.listener.accept()).await.expect("no new line").unwrap().0
    }
}

/// Frame `n` comes over this line.
async fn expect(stream: &mut TcpStream, n: u8) {
    let mut frame = [0; 8];
    timeout(LONG, stream.read_exact(&mut frame)).await.expect("no frame").unwrap();
    assert_eq!(frame, [0, 0, 0, 4, n, n, n, n]);
}

/// Incident TWICE: the other end had gone during a cut, and what was written
/// was lost for seconds. Here it stays open and nobody reads it any more.
#[tokio::test]
async fn a_line_that_lay_idle_is_opened_anew() {
    let mut pair = Pair::new();
    pair.write(1);
    let mut first = pair.accept().await;
    expect(&mut first, 1).await;
    pair.write(2);
    expect(&mut first, 2).await;
    // The line's task comes back to waiting for frames.
    tokio::task::yield_now().await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(2)).await;
    tokio::time::resume();
    pair.write(3);
    let mut second = pair.accept().await;
    expect(&mut second, 3).await;
}

#[tokio::test]
async fn the_first_frame_after_a_peer_s_restart_arrives() {
    let mut pair = Pair::new();
    let (peer, heard) = (pair.peer.clone(), pair.heard.clone());
    for n in 0..3u8 {
        pair.write(n);
        let mut stream = pair.accept().await;
        expect(&mut stream, n).await;
        drop(stream);
        // The close is seen once the runtime has looked at its sockets, and
        // told without a frame to be written.
        let told = tokio::task::spawn_blocking({
            let heard = heard.clone();
            move || heard.recv_timeout(LONG)
        });
        assert_eq!(told.await.unwrap(), Ok(Event::PeerDisconnected(peer.clone())));
    }
}

const BIG: usize = 256 << 10;

/// Reads one big frame in small pieces, as a busy peer does.
async fn expect_big(stream: &mut TcpStream, n: u8) -> std::io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    assert_eq!(u32::from_be_bytes(length) as usize, BIG);
    let mut frame = vec![0; BIG];
    for piece in frame.chunks_mut(BIG / 8) {
        stream.read_exact(piece).await?;
        tokio::time::sleep(Duration::from_millis(6)).await;
    }
    assert!(frame.iter().all(|b| *b == n));
    Ok(())
}

/// Incident LOST: a line over which a whole copy went was broken each two
/// seconds, as its frames never ceased; what was under way was lost each time,
/// and the copy was never done.
#[tokio::test]
async fn a_line_that_moves_on_is_not_broken_however_much_is_to_be_written() {
    const FRAMES: u8 = 60;
    let mut pair = Pair::new();
    for n in 0..FRAMES {
        pair.lines.write(pair.peer.clone(), vec![n; BIG]);
    }
    let mut stream = pair.accept().await;
    for n in 0..FRAMES {
        timeout(LONG, expect_big(&mut stream, n)).await.expect("nothing came").expect("the line was broken");
    }
}

/// What waits for a peer that reads nothing is bounded in bytes too: whole
/// copies would fill the memory long before the count of frames does.
#[tokio::test]
async fn what_waits_for_a_line_is_bounded_in_bytes() {
    let mut pair = Pair::new();
    for n in 0..64 {
        pair.lines.write(pair.peer.clone(), vec![n; 1 << 20]);
    }
    assert_eq!(pair.wires.dropped_frames.load(std::sync::atomic::Ordering::Relaxed), 48);
    let mut stream = pair.accept().await;
    let mut length = [0; 4];
    timeout(LONG, stream.read_exact(&mut length)).await.expect("nothing came").unwrap();
    assert_eq!(u32::from_be_bytes(length), 1 << 20);
}
