//! Application calls that are running.

use std::collections::BTreeMap;

use cuminlead_protocol::RunRef;
use cuminlead_types::{DurationUs, TimeUs};

use crate::event::CallRef;

/// Running application call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Message that waits for the reply, while its connection lives.
    pub call: Option<CallRef>,
    /// Start.
    pub started_at: TimeUs,
}

/// Application calls that are running.
#[derive(Debug, Default)]
pub struct Runs {
    by_ref: BTreeMap<RunRef, Run>,
}

impl Runs {
    /// Number of running calls.
    pub fn len(&self) -> usize {
        self.by_ref.len()
    }

    /// Whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.by_ref.is_empty()
    }

    /// A call was started.
    pub fn started(&mut self, now: TimeUs, run: RunRef, call: CallRef) {
        let started = Run {
            call: Some(call),
            started_at: now,
        };
        self.by_ref.insert(run, started);
    }

    /// A call has ended.
    pub fn ended(&mut self, run: RunRef) -> Option<Run> {
        self.by_ref.remove(&run)
    }

    /// The connection of a message ended; its call runs on.
    pub fn call_dropped(&mut self, call: CallRef) {
        let waiting = self.by_ref.values_mut();
        for run in waiting.filter(|run| run.call == Some(call)) {
            run.call = None;
        }
    }

    /// Age of the oldest running call, zero when nothing runs.
    pub fn oldest_us(&self, now: TimeUs) -> DurationUs {
        let ages = self.by_ref.values().map(|run| now.since(run.started_at));
        ages.max().unwrap_or_default()
    }
}
