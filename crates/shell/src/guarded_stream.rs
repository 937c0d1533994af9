//! A client's connection that checks, right before it writes to its socket,
//! whether the request may still be sent.
use crate::prelude::*;
use rustix::net::RecvFlags;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The request under way on a connection, shared with its stream.
#[derive(Default)]
pub struct Exchange {
    /// When nothing of it may be written any more, by the boot-time clock.
    end: AtomicU64,
    /// Some of it was written.
    written: AtomicBool,
    /// Bytes of its answer that were read.
    read: AtomicU64,
}

impl Exchange {
    /// Begins a request of which nothing is written from `end` on.
    pub fn begin(&self, end: Time) {
        self.end.store(end.0, Ordering::Relaxed);
        self.written.store(false, Ordering::Relaxed);
        self.read.store(0, Ordering::Relaxed);
    }

    /// How many bytes came back since it began.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Whether bytes of the request may have reached the other side.
    pub fn written(&self) -> bool {
        self.written.load(Ordering::Relaxed)
    }

    fn ended(&self) -> bool {
        now().0 >= self.end.load(Ordering::Relaxed)
    }
}

/// A stream that writes a request only before its end, and only when the
/// other side said nothing since the last answer.
pub struct GuardedStream {
    stream: TcpStream,
    exchange: Arc<Exchange>,
    /// Bytes read earlier that are still to be given out.
    unread: Bytes,
    mode: Mode,
}

/// What is done with reads and writes.
enum Mode {
    Open,
    /// What is written is dropped: it was sent before. Nothing is read until
    /// then, for the HTTP library takes what comes sooner for an error.
    ReadOnly {
        sent: bool,
        reader: Option<Waker>,
    },
}

impl GuardedStream {
    pub fn new(stream: TcpStream, exchange: Arc<Exchange>) -> GuardedStream {
        GuardedStream { stream, exchange, unread: Bytes::new(), mode: Mode::Open }
    }

    /// The same stream, of which only the answers that still come are wanted;
    /// `unread` was read from it and not used.
    pub fn into_read_only(self, unread: Bytes) -> GuardedStream {
        GuardedStream { unread, mode: Mode::ReadOnly { sent: false, reader: None }, ..self }
    }

    /// Drops what is to be written; false when it has to be written.
    fn drops_write(&mut self) -> bool {
        let Mode::ReadOnly { sent, reader } = &mut self.mode else { return false };
        *sent = true;
        if let Some(reader) = reader.take() {
            reader.wake();
        }
        true
    }

    /// Whether nothing may be read yet; the reader is woken then.
    fn holds_reader(&mut self, cx: &Context<'_>) -> bool {
        match &mut self.mode {
            Mode::ReadOnly { sent: false, reader } => {
                *reader = Some(cx.waker().clone());
                true
            }
            Mode::ReadOnly { sent: true, .. } | Mode::Open => false,
        }
    }

    /// Gives out bytes that were read earlier; false when there are none.
    fn give_unread(&mut self, buf: &mut ReadBuf<'_>) -> bool {
        let count = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread.split_to(count));
        count > 0
    }

    /// Whether the next bytes may be written.
    fn check(&self) -> io::Result<()> {
        if self.exchange.ended() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if !self.exchange.written() && !silent(&self.stream) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Remembers that bytes left.
    fn note(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.exchange.written.store(true, Ordering::Relaxed);
        }
    }
}

/// Whether neither bytes nor an end wait to be read from a socket. It asks
/// the kernel, for the runtime may not have looked since they came.
fn silent(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0u8; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(peeked, Err(rustix::io::Errno::AGAIN))
}

impl AsyncRead for GuardedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.holds_reader(cx) {
            return Poll::Pending;
        }
        if self.give_unread(buf) {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        self.exchange.read.fetch_add(count as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.drops_write() {
            return Poll::Ready(Ok(buf.len()));
        }
        self.check()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(&written);
        written
    }

    fn poll_write_vectored(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>]) -> Poll<io::Result<usize>> {
        if self.drops_write() {
            return Poll::Ready(Ok(bufs.iter().map(|b| b.len()).sum()));
        }
        self.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
