//! Lines to siblings that go away and come back.
use dw_shell::prelude::*;
use dw_shell::wires::{bind, Lines};
use std::net::TcpListener;
use std::time::Duration;
use tokio::io::AsyncReadExt;

const LONG: Duration = Duration::from_secs(20);

#[tokio::test]
async fn the_first_frame_after_a_sibling_s_restart_arrives() {
    let text = r#"{"cluster":"c","id":"store-1","zone":"z","listen":"127.0.0.1:0"}"#;
    let startup = Startup::parse(text, "s".as_ref()).unwrap();
    let (wires, _sockets) = bind(&startup, startup.member(Mark(1))).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let sibling = Daemon("store-2".into());
    wires.learn(&sibling, &listener.local_addr().unwrap().to_string());
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let (ring, heard) = crossbeam_channel::bounded(16);
    let mut lines = Lines::new(wires, ring);
    for n in 0..3u8 {
        lines.write(sibling.clone(), vec![n; 4]);
        let (mut stream, _) = tokio::time::timeout(LONG, listener.accept()).await.expect("no new line").unwrap();
        let mut frame = [0; 8];
        tokio::time::timeout(LONG, stream.read_exact(&mut frame)).await.expect("no frame").unwrap();
        assert_eq!(frame, [0, 0, 0, 4, n, n, n, n]);
        drop(stream);
        // The close is seen once the runtime has looked at its sockets, and
        // told without a frame to be written.
        let told = tokio::task::spawn_blocking({
            let heard = heard.clone();
            move || heard.recv_timeout(LONG)
        });
        assert_eq!(told.await.unwrap(), Ok(Event::Cut(sibling.clone())));
    }
}
