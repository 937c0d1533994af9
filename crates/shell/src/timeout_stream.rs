//! A server-side stream with timeouts for the request head, for idle
//! connections, and for the moment at which a response may last be written.
use crate::prelude::*;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep_until, Instant, Sleep};

/// The state of a connection, shared between its request handler, which sets
/// it, and its stream, which reads it.
#[derive(Default)]
pub struct ConnectionState {
    /// The head of a request has arrived; its body or its response is in progress.
    busy: AtomicBool,
    /// From this moment (boot-time clock, microseconds) on, the responses that wait to be
    /// written may no longer be sent; 0 means no deadline.
    write_deadline: AtomicU64,
}

impl ConnectionState {
    /// Whether a request's body or response is in progress on the connection.
    pub fn set_busy(&self, on: bool) {
        self.busy.store(on, Ordering::Relaxed);
    }
    /// Allows the next response to be written only before `deadline`. Of several
    /// deadlines the earliest holds.
    pub fn set_write_deadline(&self, deadline: Option<Time>) {
        let Some(deadline) = deadline else { return };
        let previous = self.write_deadline.load(Ordering::Relaxed);
        let earliest = if previous == 0 { deadline.0 } else { previous.min(deadline.0) };
        self.write_deadline.store(earliest, Ordering::Relaxed);
    }
    /// Fails once the write deadline has passed.
    fn check_write_deadline(&self) -> io::Result<()> {
        let deadline = self.write_deadline.load(Ordering::Relaxed);
        if deadline > 0 && now().0 >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
    /// Clears the write deadline once bytes of a response were written.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.write_deadline.store(0, Ordering::Relaxed);
        }
    }
    fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed)
    }
}

/// What the stream waits for from its connection.
#[derive(Clone, Copy, PartialEq)]
enum WaitingFor {
    /// The first byte of a request.
    FirstByte,
    /// The rest of the request's head.
    RestOfHead,
    /// The request's body, or the end of its response.
    BodyOrResponse,
}

/// A stream whose reads fail with `TimedOut` when a request head takes too long
/// or the connection stays idle, and whose writes fail after the write deadline.
pub struct TimeoutStream<S> {
    stream: S,
    state: Arc<ConnectionState>,
    head_timeout: Duration,
    idle_timeout: Duration,
    waiting_for: WaitingFor,
    read_timer: Pin<Box<Sleep>>,
}

impl<S> TimeoutStream<S> {
    pub fn new(stream: S, state: Arc<ConnectionState>, head_timeout: Duration, idle_timeout: Duration) -> TimeoutStream<S> {
        let read_timer = Box::pin(sleep_until(Instant::now() + idle_timeout));
        TimeoutStream { stream, state, head_timeout, idle_timeout, waiting_for: WaitingFor::FirstByte, read_timer }
    }
    fn restart_timer(&mut self, waiting_for: WaitingFor, timeout: Duration) {
        self.waiting_for = waiting_for;
        self.read_timer.as_mut().reset(Instant::now() + timeout);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TimeoutStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let is_busy = this.state.is_busy();
        if is_busy != (this.waiting_for == WaitingFor::BodyOrResponse) {
            this.restart_timer(if is_busy { WaitingFor::BodyOrResponse } else { WaitingFor::FirstByte }, this.idle_timeout);
        }
        let filled_before = buf.filled().len();
        if let Poll::Ready(r) = Pin::new(&mut this.stream).poll_read(cx, buf) {
            match this.waiting_for {
                _ if buf.filled().len() == filled_before => {}
                WaitingFor::FirstByte => this.restart_timer(WaitingFor::RestOfHead, this.head_timeout),
                WaitingFor::RestOfHead => {}
                WaitingFor::BodyOrResponse => this.restart_timer(WaitingFor::BodyOrResponse, this.idle_timeout),
            }
            return Poll::Ready(r);
        }
        match this.read_timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TimeoutStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.state.check_write_deadline()?;
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.state.record_write(&written);
        written
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
    fn poll_write_vectored(self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.state.check_write_deadline()?;
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.state.record_write(&written);
        written
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
