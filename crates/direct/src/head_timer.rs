//! Bounds the time that a caller takes to send the head of a request.
//!
//! hyper has one timer for the idle time before a head and for the head itself, and the limits for
//! these differ. This wrapper of the connection notes when the first byte of a head arrives, and the
//! connection's task looks at the note from time to time.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// State of the head that a connection is receiving.
#[derive(Clone, Debug, Default)]
pub struct HeadTimer(Rc<Cell<HeadState>>);

#[derive(Clone, Copy, Debug, Default)]
enum HeadState {
    /// No byte of a request has arrived.
    #[default]
    Idle,
    /// The first byte has arrived.
    Receiving(Instant),
    /// The head is complete; what arrives is the body.
    Complete,
}

impl HeadTimer {
    /// A head is complete, and its request is served.
    pub fn complete(&self) {
        self.0.set(HeadState::Complete);
    }

    /// The answer to the request is known; the next byte begins a head.
    pub fn reset(&self) {
        self.0.set(HeadState::Idle);
    }

    fn note_bytes(&self) {
        if matches!(self.0.get(), HeadState::Idle) {
            self.0.set(HeadState::Receiving(Instant::now()));
        }
    }

    /// Ends when a head takes longer than `timeout`.
    pub async fn expired(&self, timeout: Duration) {
        loop {
            let began = match self.0.get() {
                HeadState::Receiving(began) => began,
                HeadState::Idle | HeadState::Complete => Instant::now(),
            };
            sleep_until(began + timeout).await;
            if let HeadState::Receiving(began) = self.0.get()
                && began.elapsed() >= timeout
            {
                return;
            }
        }
    }
}

/// Connection of a caller that notes when bytes arrive.
#[derive(Debug)]
pub struct TimedStream {
    stream: TokioIo<TcpStream>,
    timer: HeadTimer,
}

impl TimedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, timer: HeadTimer) -> Self {
        Self {
            stream: TokioIo::new(stream),
            timer,
        }
    }

    fn inner(&mut self) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.stream)
    }
}

impl Read for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(Read::poll_read(self.inner(), context, buffer))?;
        self.timer.note_bytes();
        Poll::Ready(Ok(()))
    }
}

impl Write for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Write::poll_write(self.inner(), context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Write::poll_flush(self.inner(), context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Write::poll_shutdown(self.inner(), context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Write::poll_write_vectored(self.inner(), context, parts)
    }
}
