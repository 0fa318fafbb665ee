//! Streamed output of a decode.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;

use super::Engine;
use super::state::Phase;
use super::text::Generation;
use crate::behaviour::CallDisposition;
use crate::http::LineSource;

/// Output of one decode on one connection.
pub(super) struct DecodeLines {
    pub(super) engine: Arc<Engine>,
    pub(super) id: String,
    pub(super) peer: SocketAddr,
    /// Whether the import line is still to be sent.
    pub(super) announces_import: bool,
    /// Tokens sent on this connection or received before a resume.
    pub(super) sent_tokens: u64,
    pub(super) is_finished: bool,
}

/// Progress of a decode.
struct Progress {
    generation: Generation,
    emitted: u64,
}

impl LineSource for DecodeLines {
    fn next_line(&mut self) -> io::Result<Option<String>> {
        if self.is_finished {
            return Ok(None);
        }
        if self.announces_import {
            self.announces_import = false;
            return Ok(Some(json!({ "imported": true }).to_string()));
        }
        let progress = self.wait_for_tokens()?;
        if self.engine.behaviour.admit_without_delay(self.peer) != CallDisposition::Proceed {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Some(self.line(&progress)))
    }
}

impl DecodeLines {
    fn wait_for_tokens(&self) -> io::Result<Progress> {
        let mut state = self.engine.lock();
        loop {
            let progress = match state.sequences.get(&self.id).map(|s| &s.phase) {
                Some(Phase::Decode {
                    generation,
                    emitted,
                }) => Progress {
                    generation: *generation,
                    emitted: *emitted,
                },
                Some(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
                None => match state.finished.get(&self.id) {
                    Some(finished) => Progress {
                        generation: finished.generation,
                        emitted: finished.generation.count,
                    },
                    None => return Err(io::ErrorKind::ConnectionAborted.into()),
                },
            };
            let is_complete = progress.emitted == progress.generation.count;
            if progress.emitted > self.sent_tokens || is_complete {
                return Ok(progress);
            }
            state = self.engine.wait(state);
        }
    }

    fn line(&mut self, progress: &Progress) -> String {
        let first = self.sent_tokens.min(progress.emitted);
        let is_complete = progress.emitted == progress.generation.count;
        self.sent_tokens = progress.emitted;
        self.is_finished = is_complete;
        json!({
            "first_token": first,
            "text": progress.generation.text(first, progress.emitted),
            "tokens": progress.emitted - first,
            "finish": is_complete.then(|| progress.generation.finish()),
        })
        .to_string()
    }
}
