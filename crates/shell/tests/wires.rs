//! Connections to peers that close, stall or restart.
use dw_shell::peer_transport::{bind, PeerConnections, PeerTransport};
use dw_shell::prelude::*;
use std::net::TcpListener;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon's outgoing connections, and the listener of the peer to which they go.
struct TestPair {
    transport: Arc<PeerTransport>,
    connections: PeerConnections,
    peer: Daemon,
    listener: tokio::net::TcpListener,
    events: crossbeam_channel::Receiver<Event>,
}

impl TestPair {
    fn new() -> TestPair {
        let text = r#"{"cluster":"c","id":"store-1","zone":"z","listen":"127.0.0.1:0"}"#;
        let startup = Startup::parse(text, "s".as_ref()).unwrap();
        let (transport, _sockets) = bind(&startup, startup.member(IncarnationId(1))).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let peer = Daemon("store-2".into());
        transport.set_peer_address(&peer, &listener.local_addr().unwrap().to_string());
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        let (event_sender, events) = crossbeam_channel::bounded(16);
        TestPair { connections: PeerConnections::new(transport.clone(), event_sender), transport, peer, listener, events }
    }

    fn write(&mut self, n: u8) {
        self.connections.write(self.peer.clone(), vec![n; 4]);
    }

    async fn accept(&self) -> TcpStream {
        timeout(TEST_TIMEOUT, self.listener.accept()).await.expect("no new connection").unwrap().0
    }
}

/// Expects frame `n` over this connection.
async fn expect_frame(stream: &mut TcpStream, n: u8) {
    let mut frame = [0; 8];
    timeout(TEST_TIMEOUT, stream.read_exact(&mut frame)).await.expect("no frame").unwrap();
    assert_eq!(frame, [0, 0, 0, 4, n, n, n, n]);
}

/// Guards against incident TWICE: the peer closed the connection while the network was
/// interrupted, and frames written to it were lost for seconds. Here the old connection
/// stays open and nobody reads from it any more.
#[tokio::test]
async fn an_idle_connection_is_reopened() {
    let mut pair = TestPair::new();
    pair.write(1);
    let mut first = pair.accept().await;
    expect_frame(&mut first, 1).await;
    pair.write(2);
    expect_frame(&mut first, 2).await;
    // Lets the connection's task return to waiting for frames.
    tokio::task::yield_now().await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(2)).await;
    tokio::time::resume();
    pair.write(3);
    let mut second = pair.accept().await;
    expect_frame(&mut second, 3).await;
}

#[tokio::test]
async fn the_first_frame_after_a_peer_restart_arrives() {
    let mut pair = TestPair::new();
    let (peer, events) = (pair.peer.clone(), pair.events.clone());
    for n in 0..3u8 {
        pair.write(n);
        let mut stream = pair.accept().await;
        expect_frame(&mut stream, n).await;
        drop(stream);
        // The close is noticed once the runtime has polled its sockets, and is reported
        // although no frame is to be written.
        let event = tokio::task::spawn_blocking({
            let events = events.clone();
            move || events.recv_timeout(TEST_TIMEOUT)
        });
        assert_eq!(event.await.unwrap(), Ok(Event::PeerDisconnected(peer.clone())));
    }
}

const LARGE_FRAME_BYTES: usize = 256 << 10;

/// Expects one large frame and reads it slowly, in small pieces, as a busy peer does.
async fn expect_large_frame(stream: &mut TcpStream, n: u8) -> std::io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    assert_eq!(u32::from_be_bytes(length) as usize, LARGE_FRAME_BYTES);
    let mut frame = vec![0; LARGE_FRAME_BYTES];
    for piece in frame.chunks_mut(LARGE_FRAME_BYTES / 8) {
        stream.read_exact(piece).await?;
        tokio::time::sleep(Duration::from_millis(6)).await;
    }
    assert!(frame.iter().all(|b| *b == n));
    Ok(())
}

/// Guards against incident LOST: a connection that carried a complete copy was dropped
/// every two seconds, because its frames never ceased. The frames in transit were lost
/// each time, and the copy never completed.
#[tokio::test]
async fn a_connection_that_makes_progress_is_not_dropped_however_much_is_queued() {
    const FRAMES: u8 = 60;
    let mut pair = TestPair::new();
    for n in 0..FRAMES {
        pair.connections.write(pair.peer.clone(), vec![n; LARGE_FRAME_BYTES]);
    }
    let mut stream = pair.accept().await;
    for n in 0..FRAMES {
        timeout(TEST_TIMEOUT, expect_large_frame(&mut stream, n))
            .await
            .expect("no frame in time")
            .expect("the connection was dropped");
    }
}

/// The frames queued for a peer that reads nothing are bounded in bytes too: complete
/// copies would fill the memory long before the limit on the number of frames is reached.
#[tokio::test]
async fn the_frames_queued_for_a_peer_are_bounded_in_bytes() {
    let mut pair = TestPair::new();
    for n in 0..64 {
        pair.connections.write(pair.peer.clone(), vec![n; 1 << 20]);
    }
    assert_eq!(pair.transport.dropped_frames.load(std::sync::atomic::Ordering::Relaxed), 48);
    let mut stream = pair.accept().await;
    let mut length = [0; 4];
    timeout(TEST_TIMEOUT, stream.read_exact(&mut length)).await.expect("no frame in time").unwrap();
    assert_eq!(u32::from_be_bytes(length), 1 << 20);
}
