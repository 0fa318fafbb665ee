//! Log lines for servers that the placement policy has found to be slow.

use std::collections::HashSet;

use cuminlead_direct_core::placement::LearnedServer;
use cuminlead_types::BackendServerId;
use slog::{Logger, info};

/// Slowness from which a server is logged as slow.
const SLOW_FROM: f64 = 2.0;
/// Slowness below which a slow server is logged as recovered; the gap avoids repeated lines.
const RECOVERED_BELOW: f64 = 1.5;

/// Servers that are logged as slow.
#[derive(Debug, Default)]
pub(crate) struct SlowServers {
    ids: HashSet<BackendServerId>,
}

impl SlowServers {
    /// Logs the servers that have become slow or recovered.
    pub(crate) fn update(&mut self, log: &Logger, learned: &[LearnedServer]) {
        let known: HashSet<_> = learned.iter().map(|server| &server.server).collect();
        self.ids.retain(|id| known.contains(id));
        for server in learned {
            let Some(slowness) = server.slowness else {
                continue;
            };
            let id = &server.server;
            if slowness >= SLOW_FROM && self.ids.insert(id.clone()) {
                info!(log, "server is slower than others of its service"; "server" => %id,
                    "slowness" => format!("{slowness:.1}"),
                    "prefill_tokens_per_ms" => server.prefill_tokens_per_ms.map(|rate| format!("{rate:.1}")),
                    "failure_rate" => format!("{:.2}", server.failure_rate),
                    "work_in_progress_ms" => format!("{:.0}", server.work_in_progress_ms));
            } else if slowness < RECOVERED_BELOW && self.ids.remove(id) {
                info!(log, "server is as fast as others of its service again"; "server" => %id,
                    "slowness" => format!("{slowness:.1}"));
            }
        }
    }
}
