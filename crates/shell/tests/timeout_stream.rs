//! Slow heads, slow bodies and quiet connections, on paused time.
use dw_shell::timeout_stream::{ConnectionState, TimeoutStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::{timeout, Instant};

const HEAD: Duration = Duration::from_secs(3);
const IDLE: Duration = Duration::from_secs(15);

fn pair() -> (DuplexStream, TimeoutStream<DuplexStream>, Arc<ConnectionState>) {
    let (theirs, ours) = tokio::io::duplex(64);
    let stand = Arc::new(ConnectionState::default());
    (theirs, TimeoutStream::new(ours, stand.clone(), HEAD, IDLE), stand)
}

/// Reads until an error, and tells after how long it came.
async fn ends(ours: &mut TimeoutStream<DuplexStream>) -> Duration {
    let since = Instant::now();
    let mut buf = [0; 8];
    while ours.read(&mut buf).await.is_ok_and(|n| n > 0) {}
    since.elapsed()
}

fn about(a: Duration, b: Duration) -> bool {
    a >= b && a < b + Duration::from_millis(50)
}

#[tokio::test(start_paused = true)]
async fn a_quiet_connection_ends_after_the_idle_time() {
    let (_theirs, mut ours, _) = pair();
    assert!(about(ends(&mut ours).await, IDLE));
}

#[tokio::test(start_paused = true)]
async fn a_head_must_be_whole_in_time_however_it_trickles() {
    let (mut theirs, mut ours, _) = pair();
    let trickle = tokio::spawn(async move {
        while timeout(HEAD / 4, std::future::pending::<()>()).await.is_err() && theirs.write_all(b"x").await.is_ok() {}
    });
    let took = ends(&mut ours).await;
    trickle.abort();
    assert!(about(took, HEAD + HEAD / 4), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_body_may_take_long_while_it_goes_on() {
    let (mut theirs, mut ours, stand) = pair();
    theirs.write_all(b"head").await.unwrap();
    let mut buf = [0; 8];
    ours.read_exact(&mut buf[..4]).await.unwrap();
    stand.set_busy(true);
    let send = async {
        for _ in 0..4 {
            let _ = timeout(HEAD * 2, std::future::pending::<()>()).await;
            theirs.write_all(b"x").await.unwrap();
        }
    };
    let (took, ()) = tokio::join!(ends(&mut ours), send);
    assert!(about(took, HEAD * 8 + IDLE), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn after_an_answer_the_idle_time_runs_anew() {
    let (mut theirs, mut ours, stand) = pair();
    theirs.write_all(b"head").await.unwrap();
    let mut buf = [0; 8];
    ours.read_exact(&mut buf[..4]).await.unwrap();
    stand.set_busy(true);
    let _ = timeout(IDLE / 2, ours.read(&mut buf)).await;
    stand.set_busy(false);
    assert!(about(ends(&mut ours).await, IDLE));
}
