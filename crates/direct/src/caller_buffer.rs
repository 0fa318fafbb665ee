//! Bytes of a relayed response that its caller has not taken.
//!
//! They are bounded for each response. While the bound is reached, the relay does not read the
//! server's response; a caller that keeps it waiting for too long is closed
//! ([`cuminlead_direct_core::slow_caller`]).

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use cuminlead_direct_core::slow_caller::CallerProgress;
use cuminlead_types::DurationUs;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until};

use crate::app::App;
use crate::body::Chunk;
use crate::status::HeldCount;

/// Bytes that are held for a caller besides one chunk of the server. Outputs of engines are shorter,
/// so that a pause of a caller does not reach the engine.
const HELD_MAX_BYTES: usize = 64 * 1024;
/// Memory of a chunk besides its bytes.
const CHUNK_OVERHEAD_BYTES: usize = 128;

/// Closes the connection of a caller.
#[derive(Clone, Debug, Default)]
pub struct CallerConnection(Rc<Notify>);

impl CallerConnection {
    /// Has the connection closed.
    pub fn close(&self) {
        self.0.notify_one();
    }

    /// Completes when the connection is to be closed.
    pub async fn closing(&self) {
        self.0.notified().await;
    }
}

/// Why bytes were not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// The caller has disconnected.
    Disconnected,
    /// The caller reads too slowly.
    TooSlow,
}

/// Bytes that count as held for the caller until taken.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: Bytes,
    taken_bytes: Arc<AtomicU64>,
    _held: HeldCount,
    _permit: OwnedSemaphorePermit,
}

impl HeldBytes {
    /// Passes the bytes to the caller's connection.
    pub(crate) fn take(mut self) -> Bytes {
        let bytes = std::mem::take(&mut self.bytes);
        self.taken_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        bytes
    }
}

/// Sending end of a relayed response.
pub(crate) struct CallerBuffer {
    app: Rc<App>,
    chunks: UnboundedSender<Chunk>,
    room: Arc<Semaphore>,
    taken_bytes: Arc<AtomicU64>,
    progress: CallerProgress,
    /// Whether data of the server wait for the caller.
    pub(crate) is_blocked: bool,
}

impl CallerBuffer {
    /// Buffer of a response, and its receiving end.
    pub(crate) fn new(app: &Rc<App>) -> (Self, UnboundedReceiver<Chunk>) {
        let (chunks, receiver) = unbounded_channel();
        let buffer = Self {
            app: Rc::clone(app),
            chunks,
            room: Arc::new(Semaphore::new(HELD_MAX_BYTES)),
            taken_bytes: Arc::default(),
            progress: CallerProgress::new(app.slow_caller_limit),
            is_blocked: false,
        };
        (buffer, receiver)
    }

    /// Handle that completes when the caller has disconnected.
    pub(crate) fn chunks(&self) -> UnboundedSender<Chunk> {
        self.chunks.clone()
    }

    /// Records how long the server kept the relay waiting.
    pub(crate) fn waited_for_server(&mut self, waited: DurationUs) {
        self.progress.waited_for_server(waited);
    }

    /// Passes bytes on, as soon as there is room for them.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> Result<(), NotTaken> {
        let size = (bytes.len() + CHUNK_OVERHEAD_BYTES).min(HELD_MAX_BYTES);
        let permit = self.room(u32::try_from(size).unwrap_or(u32::MAX)).await?;
        let held = HeldCount::caller(&self.app.metrics, bytes.len());
        let held = HeldBytes {
            bytes,
            taken_bytes: Arc::clone(&self.taken_bytes),
            _held: held,
            _permit: permit,
        };
        let sent = self.chunks.send(Chunk::Data(held));
        sent.map_err(|_| NotTaken::Disconnected)
    }

    async fn room(&mut self, size: u32) -> Result<OwnedSemaphorePermit, NotTaken> {
        self.record_taken();
        if let Ok(permit) = Arc::clone(&self.room).try_acquire_many_owned(size) {
            return Ok(permit);
        }
        self.progress.blocked(self.app.now());
        self.is_blocked = true;
        let room = Arc::clone(&self.room).acquire_many_owned(size);
        tokio::pin!(room);
        loop {
            let deadline = self.progress.deadline().unwrap_or(self.app.now());
            let deadline = Instant::from_std(self.app.clock.instant(deadline));
            tokio::select! {
                biased;
                permit = &mut room => {
                    self.is_blocked = false;
                    self.record_taken();
                    return permit.map_err(|_| NotTaken::Disconnected);
                }
                () = sleep_until(deadline) => {}
            }
            self.record_taken();
            if self.progress.is_too_slow(self.app.now()) {
                return Err(NotTaken::TooSlow);
            }
        }
    }

    fn record_taken(&mut self) {
        let taken_bytes = self.taken_bytes.load(Ordering::Relaxed);
        self.progress.taken(self.app.now(), taken_bytes);
    }
}
