//! Bounded connections of entries to the reservation service.
//!
//! A new connection always finds a place: one beyond the bound replaces the connection that has
//! been silent for the longest time, so that silent clients don't keep entries away.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Sleep, sleep};
use tokio_stream::Stream;
use tonic::transport::server::Connected;

/// Pause after a failed accept, which means that descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Open connections, shared by the listener and its connections.
#[derive(Debug, Default)]
struct Connections(Mutex<BTreeMap<u64, ConnectionState>>);

#[derive(Debug)]
struct ConnectionState {
    active_at: Instant,
    /// Wakes the task that reads from the connection.
    reader: Option<Waker>,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, ConnectionState>> {
        // The table is consistent after each operation, including one that panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts at most a number of connections at a time.
#[derive(Debug)]
pub struct BoundedIncoming {
    listener: TcpListener,
    connections: Arc<Connections>,
    max_count: usize,
    next_id: u64,
    pause: Option<Pin<Box<Sleep>>>,
    closed_count: Counter,
}

impl BoundedIncoming {
    /// Accepts up to `max_count` connections; `closed_count` counts those that were replaced.
    pub fn new(listener: TcpListener, max_count: usize, closed_count: Counter) -> Self {
        Self {
            listener,
            connections: Arc::default(),
            max_count,
            next_id: 0,
            pause: None,
            closed_count,
        }
    }

    fn add(&mut self, stream: TcpStream) -> BoundedConnection {
        // Reservations are short messages. If the option can't be set, they are only delayed.
        let _ = stream.set_nodelay(true);
        let id = self.next_id;
        self.next_id += 1;
        let mut connections = self.connections.lock();
        if connections.len() >= self.max_count {
            let oldest = connections.iter().min_by_key(|(_, state)| state.active_at);
            let oldest = oldest.map(|(id, _)| *id);
            if let Some(state) = oldest.and_then(|id| connections.remove(&id)) {
                self.closed_count.inc();
                if let Some(reader) = state.reader {
                    reader.wake();
                }
            }
        }
        let state = ConnectionState {
            active_at: Instant::now(),
            reader: None,
        };
        connections.insert(id, state);
        BoundedConnection {
            stream,
            id,
            connections: Arc::clone(&self.connections),
        }
    }
}

impl Stream for BoundedIncoming {
    type Item = io::Result<BoundedConnection>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(context));
                self.pause = None;
            }
            match ready!(self.listener.poll_accept(context)) {
                Ok((stream, _)) => return Poll::Ready(Some(Ok(self.add(stream)))),
                Err(_) => self.pause = Some(Box::pin(sleep(ACCEPT_PAUSE))),
            }
        }
    }
}

/// Connection of an entry; reading fails once it was replaced.
#[derive(Debug)]
pub struct BoundedConnection {
    stream: TcpStream,
    id: u64,
    connections: Arc<Connections>,
}

impl Drop for BoundedConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
    }
}

impl Connected for BoundedConnection {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for BoundedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let mut connections = self.connections.lock();
        let Some(state) = connections.get_mut(&self.id) else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        };
        if polled.is_ready() {
            state.active_at = Instant::now();
        } else {
            state.reader = Some(context.waker().clone());
        }
        polled
    }
}

impl AsyncWrite for BoundedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
