//! Slow request heads, slow bodies and idle connections, on paused time.
use dw_shell::timeout_stream::{ConnectionState, TimeoutStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::{timeout, Instant};

const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

fn pair() -> (DuplexStream, TimeoutStream<DuplexStream>, Arc<ConnectionState>) {
    let (client, server) = tokio::io::duplex(64);
    let state = Arc::new(ConnectionState::default());
    (client, TimeoutStream::new(server, state.clone(), HEAD_TIMEOUT, IDLE_TIMEOUT), state)
}

/// Reads until an error or the end, and returns how long that took.
async fn time_until_end(server: &mut TimeoutStream<DuplexStream>) -> Duration {
    let start = Instant::now();
    let mut buf = [0; 8];
    while server.read(&mut buf).await.is_ok_and(|n| n > 0) {}
    start.elapsed()
}

/// Whether `actual` is `expected` or up to 50 ms longer.
fn is_about(actual: Duration, expected: Duration) -> bool {
    actual >= expected && actual < expected + Duration::from_millis(50)
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_ends_after_the_idle_timeout() {
    let (_client, mut server, _) = pair();
    assert!(is_about(time_until_end(&mut server).await, IDLE_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn a_head_must_be_complete_in_time_even_if_bytes_keep_arriving() {
    let (mut client, mut server, _) = pair();
    let slow_sender = tokio::spawn(async move {
        while timeout(HEAD_TIMEOUT / 4, std::future::pending::<()>()).await.is_err() && client.write_all(b"x").await.is_ok() {}
    });
    let elapsed = time_until_end(&mut server).await;
    slow_sender.abort();
    assert!(is_about(elapsed, HEAD_TIMEOUT + HEAD_TIMEOUT / 4), "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_body_may_take_long_while_bytes_keep_arriving() {
    let (mut client, mut server, state) = pair();
    client.write_all(b"head").await.unwrap();
    let mut buf = [0; 8];
    server.read_exact(&mut buf[..4]).await.unwrap();
    state.set_busy(true);
    let send = async {
        for _ in 0..4 {
            let _ = timeout(HEAD_TIMEOUT * 2, std::future::pending::<()>()).await;
            client.write_all(b"x").await.unwrap();
        }
    };
    let (elapsed, ()) = tokio::join!(time_until_end(&mut server), send);
    assert!(is_about(elapsed, HEAD_TIMEOUT * 8 + IDLE_TIMEOUT), "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn the_idle_timeout_restarts_after_a_response() {
    let (mut client, mut server, state) = pair();
    client.write_all(b"head").await.unwrap();
    let mut buf = [0; 8];
    server.read_exact(&mut buf[..4]).await.unwrap();
    state.set_busy(true);
    let _ = timeout(IDLE_TIMEOUT / 2, server.read(&mut buf)).await;
    state.set_busy(false);
    assert!(is_about(time_until_end(&mut server).await, IDLE_TIMEOUT));
}
