//! HTTP/1 connection to a backend server.
//!
//! Dropping a connection aborts its task and closes it. A server cancels a request when its
//! connection closes, so dropping the request's future is enough to cancel it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cuminlead_process::response_head::UNSENT_MAX_BYTES;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::response_validity::RequestBody;
use crate::shared_stream::SharedStream;

/// Largest buffer for the head of a response and for the bytes of its body that were not read yet.
/// It is part of what a request is charged. hyper's default is 400 KB, of which a relay could hold
/// several for a caller that reads slowly.
const BUFFER_MAX_BYTES: usize = 32 * 1024;
/// Timeout for establishing a connection. Covers the round trip to another region and a slow
/// accept. A lost first packet is retransmitted only after a second; another server is the better
/// choice by then.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for an idle connection to report whether it is usable, which takes one poll of its task.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// The request was not sent and can be sent on another connection.
    NotSent(Box<Request<Bytes>>),
    /// The request may have been sent.
    Lost(hyper::Error),
}

/// Connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    stream: SharedStream,
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to a server; `None` if it can't be reached within the timeout.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        // With Nagle's algorithm, a request would wait for the acknowledgement of the one before
        // it.
        let _ = stream.set_nodelay(true);
        // Without the option, a connection that breaks off is noticed later.
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_MAX_BYTES);
        let stream = SharedStream::new(stream);
        let handshake = Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(stream.clone()))
            .await;
        let (sender, connection) = handshake.ok()?;
        let task = tokio::task::spawn_local(async move {
            // An error is also returned to the in-flight request; without one, nothing waits for
            // it.
            let _ = connection.await;
        });
        Some(Self {
            stream,
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether an idle connection can carry a request. It can't if the server closed it or
    /// sent bytes without a request.
    pub async fn is_usable(&mut self) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(()))) && self.stream.is_quiet()
    }

    /// Stream of the connection.
    pub(crate) fn stream(&self) -> SharedStream {
        self.stream.clone()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, SendError> {
        let request = request.map(|bytes| RequestBody::new(bytes, self.stream.progress()));
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request.map(RequestBody::into_bytes))),
            None => SendError::Lost(error.into_error()),
        })
    }
}
