//! One connection to a backend server.
//!
//! The connection's task is aborted when the channel is dropped: a server drops a request when its
//! connection closes, so that dropping a request is enough to cancel it everywhere.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time for a connection to be established. It covers a region apart and a slow accept; a lost
/// first packet is sent again only after a second, when another server is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a kept connection to say whether it can be used, which needs one turn of its task.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Why a request has no answer.
#[derive(Debug)]
pub enum SendError {
    /// It was not sent; it can be sent on another connection.
    NotSent(Box<Request<Full<Bytes>>>),
    /// It may have been sent.
    Lost(hyper::Error),
}

/// Connection that serves one request at a time.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Channel {
    /// Connects; `None` when the server cannot be reached in time.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        // Without the option requests only wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.ok()?;
        let task = tokio::task::spawn_local(async move {
            // The error reaches the request under way; without one nobody waits for it.
            let _ = connection.await;
        });
        Some(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether a kept connection can take a request. One that the server closed, or on which bytes
    /// arrived without a request, cannot.
    pub async fn is_usable(&mut self) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        matches!(
            timeout(READY_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Lost(error.into_error()),
        })
    }
}
