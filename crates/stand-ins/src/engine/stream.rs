//! Lines of a decode.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;

use super::Engine;
use super::state::Work;
use super::text::Generation;
use crate::behaviour::Passage;
use crate::http::LineSource;

/// Lines of one decode for one connection.
pub(super) struct DecodeLines {
    pub(super) engine: Arc<Engine>,
    pub(super) id: String,
    pub(super) peer: SocketAddr,
    /// Whether the import line is still to come.
    pub(super) tells_import: bool,
    /// Tokens that the receiver has.
    pub(super) sent: u64,
    pub(super) is_finished: bool,
}

/// How far a decode is.
struct Progress {
    generation: Generation,
    emitted: u64,
}

impl LineSource for DecodeLines {
    fn next_line(&mut self) -> io::Result<Option<String>> {
        if self.is_finished {
            return Ok(None);
        }
        if self.tells_import {
            self.tells_import = false;
            return Ok(Some(json!({ "imported": true }).to_string()));
        }
        let progress = self.wait_for_tokens()?;
        if self.engine.behaviour.pass(self.peer) != Passage::Proceed {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Some(self.line(&progress)))
    }
}

impl DecodeLines {
    fn wait_for_tokens(&self) -> io::Result<Progress> {
        let mut state = self.engine.lock();
        loop {
            let progress = match state.sequences.get(&self.id).map(|s| &s.work) {
                Some(Work::Decode {
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
            let is_whole = progress.emitted == progress.generation.count;
            if progress.emitted > self.sent || is_whole {
                return Ok(progress);
            }
            state = self.engine.wait(state);
        }
    }

    fn line(&mut self, progress: &Progress) -> String {
        let first = self.sent.min(progress.emitted);
        let is_whole = progress.emitted == progress.generation.count;
        self.sent = progress.emitted;
        self.is_finished = is_whole;
        json!({
            "first_token": first,
            "text": progress.generation.text(first, progress.emitted),
            "tokens": progress.emitted - first,
            "finish": is_whole.then(|| progress.generation.finish()),
        })
        .to_string()
    }
}
