//! Transfer of KV caches: export by prefill engines, import by decode engines.
//!
//! The transfer carries zero bytes in place of the cache, at the configured rate.

use std::io::{self, BufRead, BufReader, Read};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::Engine;
use super::state::Phase;
use crate::client;
use crate::http::Answer;

/// Agents time out earlier.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest lead over the transfer rate for which an export sleeps.
const PACING_SLEEP_MIN: Duration = Duration::from_millis(5);

/// First line of an export, followed by `cache_bytes` bytes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ExportHead {
    pub(super) prompt: String,
    pub(super) prompt_tokens: u64,
    pub(super) cache_bytes: u64,
}

/// Reads a complete KV cache from the engine at `address`.
///
/// Fails with `NotFound` for an unknown handle and `UnexpectedEof` for a truncated transfer.
pub(super) fn import_kv(address: &str, handle: &str) -> io::Result<ExportHead> {
    let url = format!("http://{address}/v1/kv/{handle}");
    let mut response = client::agent(IMPORT_TIMEOUT)
        .get(&url)
        .call()
        .map_err(io::Error::other)?;
    if response.status() != 200 {
        return Err(io::ErrorKind::NotFound.into());
    }
    let body = response.body_mut().with_config().limit(u64::MAX);
    let mut reader = BufReader::new(body.reader());
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let head: ExportHead = serde_json::from_str(&line)?;
    let received = io::copy(&mut reader, &mut io::sink())?;
    if received == head.cache_bytes {
        Ok(head)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

impl Engine {
    pub(super) fn export(&self, handle: &str) -> Answer {
        let mut state = self.lock();
        let mut sequences = state.sequences.values_mut();
        let exported = sequences
            .find(|s| s.handle == handle && matches!(s.phase, Phase::Computed))
            .map(|sequence| {
                let earlier = sequence.clone();
                sequence.is_export_counted = true;
                earlier
            });
        let Some(sequence) = exported else {
            return Answer::error(404, "unknown_handle");
        };
        if !sequence.is_export_counted {
            state.counts.exported_tokens += sequence.prompt_tokens - sequence.cached_tokens;
        }
        drop(state);
        let head = ExportHead {
            prompt: sequence.prompt,
            prompt_tokens: sequence.prompt_tokens,
            cache_bytes: sequence.prompt_tokens * self.config.kv_bytes_per_token,
        };
        let line = json!(head).to_string() + "\n";
        Answer::Bytes(Box::new(PacedExport {
            head: line.into_bytes(),
            head_sent: 0,
            cache_bytes: head.cache_bytes,
            cache_sent: 0,
            started_at: Instant::now(),
            bytes_per_second: self.config.transfer_bytes_per_second.max(1),
        }))
    }
}

/// Head line and zero bytes in place of the cache, at the transfer rate.
struct PacedExport {
    head: Vec<u8>,
    head_sent: usize,
    cache_bytes: u64,
    cache_sent: u64,
    started_at: Instant,
    bytes_per_second: u64,
}

impl Read for PacedExport {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.head_sent < self.head.len() {
            let size = buffer.len().min(self.head.len() - self.head_sent);
            buffer[..size].copy_from_slice(&self.head[self.head_sent..self.head_sent + size]);
            self.head_sent += size;
            return Ok(size);
        }
        let left = self.cache_bytes - self.cache_sent;
        let size = buffer
            .len()
            .min(usize::try_from(left).unwrap_or(usize::MAX));
        buffer[..size].fill(0);
        self.cache_sent += size as u64;
        self.pace();
        Ok(size)
    }
}

impl PacedExport {
    /// Sleeps when the export leads the transfer rate by [`PACING_SLEEP_MIN`] or more.
    fn pace(&self) {
        let due_us = self.cache_sent.saturating_mul(1_000_000) / self.bytes_per_second;
        let ahead = Duration::from_micros(due_us).saturating_sub(self.started_at.elapsed());
        if ahead >= PACING_SLEEP_MIN {
            std::thread::sleep(ahead);
        }
    }
}
