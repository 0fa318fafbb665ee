//! The body of an answer to a caller.
//!
//! A relayed body that ends without [`Part::End`] fails, so that hyper closes the connection
//! instead of ending the answer as if it were whole.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::Receiver;

/// Part of a relayed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// The relayed answer ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer of the backend server ended early")
    }
}

impl std::error::Error for Incomplete {}

/// Body of an answer.
#[derive(Debug)]
pub enum CallerBody {
    /// Whole in memory.
    Whole(Option<Bytes>),
    /// Passed on as it arrives.
    Relayed(Receiver<Part>),
}

impl CallerBody {
    /// Body that is whole in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }
}

impl From<Infallible> for Incomplete {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Relayed(parts) => match ready!(parts.poll_recv(context)) {
                Some(Part::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Part::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(Incomplete))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}
