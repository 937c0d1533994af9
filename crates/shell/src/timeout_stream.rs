//! A caller's stream that runs out of patience: with a head that does not
//! come in whole, and with a connection that stays quiet.
use crate::prelude::*;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep_until, Instant, Sleep};

/// Where a connection is, as the one who answers its requests knows.
#[derive(Default)]
pub struct ConnectionState {
    /// A request's head is in; its body or its answer is under way.
    busy: AtomicBool,
    /// When the answers that wait to be written may not be given any more, by
    /// the boot-time clock; 0 for never.
    end: AtomicU64,
}

impl ConnectionState {
    pub fn set_busy(&self, on: bool) {
        self.busy.store(on, Ordering::Relaxed);
    }
    /// The next answer may be written only before `end`.
    pub fn set_write_deadline(&self, end: Option<Time>) {
        let Some(end) = end else { return };
        let before = self.end.load(Ordering::Relaxed);
        let soonest = if before == 0 { end.0 } else { before.min(end.0) };
        self.end.store(soonest, Ordering::Relaxed);
    }
    /// Whether what waits to be written comes too late.
    fn check(&self) -> io::Result<()> {
        let end = self.end.load(Ordering::Relaxed);
        if end > 0 && now().0 >= end {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
    /// An answer is on its way.
    fn note(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.end.store(0, Ordering::Relaxed);
        }
    }
    fn busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Waiting {
    /// For the first byte of a request.
    Quiet,
    /// For the rest of its head.
    Head,
    /// For its body, or until it is answered.
    Busy,
}

pub struct TimeoutStream<S> {
    stream: S,
    stand: Arc<ConnectionState>,
    head: Duration,
    idle: Duration,
    waiting: Waiting,
    end: Pin<Box<Sleep>>,
}

impl<S> TimeoutStream<S> {
    pub fn new(stream: S, stand: Arc<ConnectionState>, head: Duration, idle: Duration) -> TimeoutStream<S> {
        let end = Box::pin(sleep_until(Instant::now() + idle));
        TimeoutStream { stream, stand, head, idle, waiting: Waiting::Quiet, end }
    }
    fn wait(&mut self, waiting: Waiting, span: Duration) {
        self.waiting = waiting;
        self.end.as_mut().reset(Instant::now() + span);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TimeoutStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        let busy = me.stand.busy();
        if busy != (me.waiting == Waiting::Busy) {
            me.wait(if busy { Waiting::Busy } else { Waiting::Quiet }, me.idle);
        }
        let had = buf.filled().len();
        if let Poll::Ready(r) = Pin::new(&mut me.stream).poll_read(cx, buf) {
            match me.waiting {
                _ if buf.filled().len() == had => {}
                Waiting::Quiet => me.wait(Waiting::Head, me.head),
                Waiting::Head => {}
                Waiting::Busy => me.wait(Waiting::Busy, me.idle),
            }
            return Poll::Ready(r);
        }
        match me.end.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TimeoutStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let me = self.get_mut();
        me.stand.check()?;
        let written = Pin::new(&mut me.stream).poll_write(cx, buf);
        me.stand.note(&written);
        written
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
    fn poll_write_vectored(self: Pin<&mut Self>, cx: &mut Context<'_>, all: &[io::IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let me = self.get_mut();
        me.stand.check()?;
        let written = Pin::new(&mut me.stream).poll_write_vectored(cx, all);
        me.stand.note(&written);
        written
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
