//! TCP stream of a connection to a server that can be inspected while hyper owns it.
//!
//! hyper learns of bytes that arrive on an idle connection only when its task is polled. A request
//! that is sent before then takes them as the start of its response, so the connection asks the
//! socket itself before each use.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::response_validity::SendProgress;

/// Handle of a TCP stream; all clones refer to the same socket.
#[derive(Clone, Debug)]
pub struct SharedStream {
    stream: Rc<TcpStream>,
    progress: Rc<SendProgress>,
}

impl SharedStream {
    /// Shares a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Rc::new(stream),
            progress: Rc::default(),
        }
    }

    /// Progress of the request that is being sent.
    pub(crate) fn progress(&self) -> &Rc<SendProgress> {
        &self.progress
    }

    /// Whether the stream has failed. The system reports an error of a socket once, to whichever
    /// call comes first, so it is recorded.
    pub(crate) fn has_failed(&self) -> bool {
        if !matches!(self.stream.take_error(), Ok(None)) {
            self.progress.record_failure();
        }
        self.progress.is_failed()
    }

    /// Whether nothing is left to read: no byte has arrived, and the peer has not closed the stream.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.progress.record_write();
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    if written.is_err() {
                        self.progress.record_failure();
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(0) if self.has_failed() => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Ok(read_bytes) => {
                    buffer.advance(read_bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    self.progress.record_failure();
                    return Poll::Ready(Err(error));
                }
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
