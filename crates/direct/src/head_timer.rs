//! Limits the time that a caller takes to send the head of a request.
//!
//! hyper has a single timer for the idle time before a head and for the head itself, but the two
//! limits differ. [`TimedStream`] wraps the connection and records when the first byte of a head
//! arrives; the connection's task checks this time periodically.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cuminlead_types::Bytes;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use crate::connections::ConnectionLease;

/// State of the head that a connection receives, shared with its [`TimedStream`].
#[derive(Clone, Debug, Default)]
pub struct HeadTimer(Rc<Cell<HeadState>>);

#[derive(Clone, Copy, Debug, Default)]
enum HeadState {
    /// No byte of the next request has arrived.
    #[default]
    Idle,
    /// The first byte arrived at this time.
    Receiving(Instant),
    /// The head is complete; further bytes belong to the body.
    Complete,
}

impl HeadTimer {
    /// Records that a head is complete and its request is being served. True if the head arrived
    /// before the response to the request before it was ready.
    pub fn complete(&self) -> bool {
        matches!(self.0.replace(HeadState::Complete), HeadState::Idle)
    }

    /// Records that the response is ready; the next byte received starts a new head.
    pub fn reset(&self) {
        self.0.set(HeadState::Idle);
    }

    /// Records that bytes arrived; true if they begin a head.
    fn record_bytes(&self) -> bool {
        let is_head = matches!(self.0.get(), HeadState::Idle);
        if is_head {
            self.0.set(HeadState::Receiving(Instant::now()));
        }
        is_head
    }

    /// Completes once a head has taken longer than `timeout`.
    pub async fn expired(&self, timeout: Duration) {
        loop {
            let started_at = match self.0.get() {
                HeadState::Receiving(started_at) => started_at,
                HeadState::Idle | HeadState::Complete => Instant::now(),
            };
            sleep_until(started_at + timeout).await;
            if let HeadState::Receiving(started_at) = self.0.get()
                && started_at.elapsed() >= timeout
            {
                return;
            }
        }
    }
}

/// Connection of a caller that records when bytes arrive and are taken.
pub struct TimedStream {
    stream: TokioIo<TcpStream>,
    timer: HeadTimer,
    lease: Rc<ConnectionLease>,
    head_max: Bytes,
}

impl TimedStream {
    /// Wraps an accepted connection.
    pub fn new(
        stream: TcpStream,
        timer: HeadTimer,
        lease: Rc<ConnectionLease>,
        head_max: Bytes,
    ) -> Self {
        Self {
            stream: TokioIo::new(stream),
            timer,
            lease,
            head_max,
        }
    }

    fn record_write(&self, polled: &Poll<std::io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(count)) => self.lease.record_progress(Bytes(*count as u64)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.lease.block_sending(),
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
        if self.timer.record_bytes() {
            self.lease.begin_head(self.head_max);
        } else {
            self.lease.record_progress(Bytes(0));
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Write::poll_write(self.inner(), context, bytes);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        // hyper flushes the connection once it has written all that it holds.
        ready!(Write::poll_flush(self.inner(), context))?;
        self.lease.sent();
        Poll::Ready(Ok(()))
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
        let polled = Write::poll_write_vectored(self.inner(), context, parts);
        self.record_write(&polled);
        polled
    }
}
