//! Body of a response to a caller.
//!
//! A relayed body whose channel closes before [`Chunk::End`] fails, so that hyper closes the
//! connection instead of ending the response as if it were complete.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::caller_buffer::HeldBytes;

use crate::connections::ConnectionLease;

/// Item of a relayed response.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(HeldBytes),
    /// End of a complete body.
    End,
}

/// The relayed response ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteResponse;

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("backend server's response ended before it was complete")
    }
}

impl std::error::Error for IncompleteResponse {}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum CallerBody {
    /// Complete body in memory.
    Buffered(Option<Bytes>),
    /// Body that is forwarded as it arrives.
    Relayed(UnboundedReceiver<Chunk>),
}

impl CallerBody {
    /// Creates a body from its complete bytes.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }
}

impl CallerBody {
    /// Size of a body that is complete in memory; 0 for one that is forwarded as it arrives.
    pub fn buffered_size(&self) -> cuminlead_types::Bytes {
        match self {
            Self::Buffered(bytes) => {
                cuminlead_types::Bytes(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Relayed(_) => cuminlead_types::Bytes(0),
        }
    }
}

/// Body of a response that tells its connection's lease when hyper has taken all of it.
pub struct TrackedBody {
    body: CallerBody,
    lease: Rc<ConnectionLease>,
}

impl TrackedBody {
    /// Wraps the body of a response on the connection of the lease.
    pub fn new(body: CallerBody, lease: Rc<ConnectionLease>) -> Self {
        Self { body, lease }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.lease.end_response();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl From<Infallible> for IncompleteResponse {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Relayed(chunks) => match ready!(chunks.poll_recv(context)) {
                Some(Chunk::Data(held)) => Poll::Ready(Some(Ok(Frame::data(held.take())))),
                Some(Chunk::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(IncompleteResponse))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}
