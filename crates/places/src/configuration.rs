//! Thread that reads the configuration for entries which the registry does not answer.
//!
//! Nothing is kept between reads: requests that arrive before the next read is due wait for it and
//! share its result.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use cuminlead_direct_core::{ConfigurationSource, PublishedConfiguration};
use cuminlead_kernel::Clock;
use cuminlead_process::StartError;
use cuminlead_telemetry::Label;
use cuminlead_telemetry::metrics::Counters;
use cuminlead_types::{DurationUs, TimeUs};
use error_stack::{Report, ResultExt};
use slog::{Logger, warn};
use tokio::sync::oneshot;

/// Least time between two reads, so that many entries cost the registry no more than one.
const READ_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
/// Most requests that wait for a read; more than a fleet has entries on one agent.
const WAITING_MAX_COUNT: usize = 64;
/// Labels of reads in the metrics: with and without an answer.
const RESULTS: [&str; 2] = ["read", "failed"];

/// Why a configuration could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Too many requests wait for a read.
    Busy,
    /// The registry did not answer.
    Unavailable,
}

type ReadResult = Result<Option<Arc<PublishedConfiguration>>, ReadError>;

/// Handle of the thread.
#[derive(Clone, Debug)]
pub struct ConfigurationReader {
    requests: SyncSender<oneshot::Sender<ReadResult>>,
}

impl ConfigurationReader {
    /// Starts the thread, which ends after the last handle is dropped.
    pub fn spawn(
        clock: Clock,
        source: Box<dyn ConfigurationSource>,
        reads: Counters,
        log: Logger,
    ) -> Result<Self, Report<StartError>> {
        for result in RESULTS {
            drop(reads.get_or_create(&Label::new("result", result)));
        }
        let (requests, received) = sync_channel(WAITING_MAX_COUNT);
        thread::Builder::new()
            .name("configuration".to_string())
            .spawn(move || read_for_requests(clock, source, &received, &reads, &log))
            .change_context(StartError::Thread)?;
        Ok(Self { requests })
    }

    /// Reads the configuration after the request was made; `None` if none is published.
    pub async fn read(&self) -> ReadResult {
        let (sender, result) = oneshot::channel();
        let sent = self.requests.try_send(sender);
        sent.map_err(|_| ReadError::Busy)?;
        result.await.unwrap_or(Err(ReadError::Unavailable))
    }
}

fn read_for_requests(
    clock: Clock,
    mut source: Box<dyn ConfigurationSource>,
    requests: &Receiver<oneshot::Sender<ReadResult>>,
    reads: &Counters,
    log: &Logger,
) {
    let mut next_read_at = TimeUs::ZERO;
    while let Ok(first) = requests.recv() {
        thread::sleep(next_read_at.since(clock.monotonic()).into());
        let mut waiting = vec![first];
        waiting.extend(requests.try_iter());
        waiting.retain(|sender| !sender.is_closed());
        if waiting.is_empty() {
            continue;
        }
        next_read_at = clock.monotonic() + READ_INTERVAL;
        let result = source.read_configuration();
        let label = RESULTS[usize::from(result.is_err())];
        reads.get_or_create(&Label::new("result", label)).inc();
        let result = match result {
            Ok(published) => Ok(published.map(Arc::new)),
            Err(error) => {
                warn!(log, "reading the configuration for entries failed"; "error" => %error);
                Err(ReadError::Unavailable)
            }
        };
        for sender in waiting {
            // The entry may have given up.
            let _ = sender.send(result.clone());
        }
    }
}
