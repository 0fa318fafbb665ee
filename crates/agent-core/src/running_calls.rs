//! Application calls in progress at the service.

use std::collections::BTreeMap;

use cuminlead_protocol::ServiceCallRef;
use cuminlead_types::{DurationUs, TimeUs};

use crate::event::CallRef;

/// Application call that was forwarded to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningCall {
    /// Message to reply to; `None` once its connection has ended.
    pub call: Option<CallRef>,
    /// Time at which the call was forwarded.
    pub started_at: TimeUs,
}

/// Application calls in progress.
#[derive(Debug, Default)]
pub struct RunningCalls {
    by_ref: BTreeMap<ServiceCallRef, RunningCall>,
}

impl RunningCalls {
    /// Number of calls in progress.
    pub fn len(&self) -> usize {
        self.by_ref.len()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.by_ref.is_empty()
    }

    /// Adds a call that is being forwarded.
    pub fn insert(&mut self, now: TimeUs, run: ServiceCallRef, call: CallRef) {
        let started = RunningCall {
            call: Some(call),
            started_at: now,
        };
        self.by_ref.insert(run, started);
    }

    /// Removes a call that has ended; `None` if its end was already reported.
    pub fn remove(&mut self, run: ServiceCallRef) -> Option<RunningCall> {
        self.by_ref.remove(&run)
    }

    /// Detaches a call from its message, whose connection has ended; the call continues.
    pub fn detach_connection(&mut self, call: CallRef) {
        let waiting = self.by_ref.values_mut();
        for run in waiting.filter(|run| run.call == Some(call)) {
            run.call = None;
        }
    }

    /// Age of the oldest call in progress; zero if there is none.
    pub fn oldest_age_us(&self, now: TimeUs) -> DurationUs {
        let ages = self.by_ref.values().map(|run| now.since(run.started_at));
        ages.max().unwrap_or_default()
    }
}
