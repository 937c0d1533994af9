//! A client connection's stream that checks, immediately before each write to
//! its socket, whether the request may still be sent.
use crate::prelude::*;
use rustix::net::RecvFlags;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The request in progress on a connection, shared between the connection and
/// its stream.
#[derive(Default)]
pub struct Exchange {
    /// From this moment (boot-time clock, microseconds) on, nothing of the request may be written.
    deadline: AtomicU64,
    /// Bytes of the request were written.
    has_written: AtomicBool,
    /// Bytes of the response that were read.
    bytes_read: AtomicU64,
}

impl Exchange {
    /// Begins a request, no byte of which is written at `deadline` or later.
    pub fn begin(&self, deadline: Time) {
        self.deadline.store(deadline.0, Ordering::Relaxed);
        self.has_written.store(false, Ordering::Relaxed);
        self.bytes_read.store(0, Ordering::Relaxed);
    }

    /// Bytes of the response that were read since the request began.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Relaxed)
    }

    /// Whether bytes of the request may have reached the other side.
    pub fn has_written(&self) -> bool {
        self.has_written.load(Ordering::Relaxed)
    }

    fn is_past_deadline(&self) -> bool {
        now().0 >= self.deadline.load(Ordering::Relaxed)
    }
}

/// A stream that writes a request only before its deadline, and only if the
/// server sent nothing since its last response.
pub struct GuardedStream {
    stream: TcpStream,
    exchange: Arc<Exchange>,
    /// Bytes that were read from the socket earlier and are returned by the next reads.
    unread: Bytes,
    mode: Mode,
}

/// How a stream treats reads and writes.
enum Mode {
    /// Both go to the socket.
    ReadWrite,
    /// A written request is discarded, because it was sent before. Reads wait
    /// until then: the HTTP library treats bytes that arrive before it has
    /// written a request as an error.
    ReadOnly { has_discarded_write: bool, reader: Option<Waker> },
}

impl GuardedStream {
    pub fn new(stream: TcpStream, exchange: Arc<Exchange>) -> GuardedStream {
        GuardedStream { stream, exchange, unread: Bytes::new(), mode: Mode::ReadWrite }
    }

    /// Turns the stream into one that only reads the responses still to come;
    /// `unread` holds bytes that were read from it and not used.
    pub fn into_read_only(self, unread: Bytes) -> GuardedStream {
        GuardedStream { unread, mode: Mode::ReadOnly { has_discarded_write: false, reader: None }, ..self }
    }

    /// Whether a write is discarded; wakes a reader that waits for it.
    fn discards_write(&mut self) -> bool {
        let Mode::ReadOnly { has_discarded_write, reader } = &mut self.mode else { return false };
        *has_discarded_write = true;
        if let Some(reader) = reader.take() {
            reader.wake();
        }
        true
    }

    /// Whether reads have to wait for the first write, which then wakes the reader.
    fn blocks_reader(&mut self, cx: &Context<'_>) -> bool {
        match &mut self.mode {
            Mode::ReadOnly { has_discarded_write: false, reader } => {
                *reader = Some(cx.waker().clone());
                true
            }
            Mode::ReadOnly { has_discarded_write: true, .. } | Mode::ReadWrite => false,
        }
    }

    /// Copies bytes that were read earlier to `buf`; false if there are none.
    fn copy_unread(&mut self, buf: &mut ReadBuf<'_>) -> bool {
        let count = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread.split_to(count));
        count > 0
    }

    /// Fails if the next bytes may not be written.
    fn check_write(&self) -> io::Result<()> {
        if self.exchange.is_past_deadline() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if !self.exchange.has_written() && !has_nothing_to_read(&self.stream) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Records that bytes of the request were written.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.exchange.has_written.store(true, Ordering::Relaxed);
        }
    }
}

/// Whether neither bytes nor an end of stream wait to be read from a socket. It
/// asks the kernel, as the runtime may not have polled the socket since they arrived.
fn has_nothing_to_read(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0u8; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(peeked, Err(rustix::io::Errno::AGAIN))
}

impl AsyncRead for GuardedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.blocks_reader(cx) {
            return Poll::Pending;
        }
        if self.copy_unread(buf) {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        self.exchange.bytes_read.fetch_add(count as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.discards_write() {
            return Poll::Ready(Ok(buf.len()));
        }
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>]) -> Poll<io::Result<usize>> {
        if self.discards_write() {
            return Poll::Ready(Ok(bufs.iter().map(|b| b.len()).sum()));
        }
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
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
