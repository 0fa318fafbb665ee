//! Calls that make no progress, as first-hand evidence about their servers.
//!
//! [`MonitoredCall`] wraps a call and reports a server when the call has waited for it without progress for
//! too long. The report is repeated while that lasts and taken back at the first progress, at the
//! move to another server and at the end of the call. Heartbeats and repeated messages are no
//! progress: a server whose connection works may still do nothing. [`StallReports`] combines the reports of
//! all calls of an entry.

use std::collections::BTreeMap;

use cuminlead_retry::Step;
use cuminlead_types::{Attempt, BackendServerId, DurationUs, RequestId, SequenceNumber, TimeUs};

use crate::call::{Call, CallAction, CallEvent};

/// Time without progress from which a call is reported, as in the rules of membership.
const STALL_AFTER: DurationUs = DurationUs::from_ms(3_000);
/// Interval of further reports.
const REPORT_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
/// Time after which a report that was not repeated is dropped, as in the rules of membership.
const REPORT_MEMORY: DurationUs = DurationUs::from_ms(5_000);

/// What a call waits for; any change of it is progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Awaited {
    /// Server.
    pub server: BackendServerId,
    /// Step of the call.
    pub step: Step,
    /// Attempt.
    pub attempt: Attempt,
    /// Next part of the answer.
    pub next: SequenceNumber,
}

/// A call whose waiting is reported with `CallAction::Stalled`.
pub struct MonitoredCall {
    request: RequestId,
    call: Box<dyn Call>,
    awaited: Option<Awaited>,
    since: TimeUs,
    report_at: TimeUs,
    reported: Option<BackendServerId>,
}

impl MonitoredCall {
    /// Watches a call.
    pub fn new(request: RequestId, call: Box<dyn Call>) -> Self {
        Self {
            request,
            call,
            awaited: None,
            since: TimeUs::ZERO,
            report_at: TimeUs::ZERO,
            reported: None,
        }
    }

    fn watch(&mut self, now: TimeUs, actions: &mut Vec<CallAction>) {
        let awaited = self.call.awaited();
        if awaited != self.awaited {
            self.awaited = awaited;
            self.since = now;
            self.report_at = now + STALL_AFTER;
            self.take_back(actions);
        }
        let Some(awaited) = &self.awaited else {
            return;
        };
        if self.report_at <= now {
            let server = awaited.server.clone();
            self.report_at = now + REPORT_INTERVAL;
            self.reported = Some(server.clone());
            actions.push(CallAction::Stalled {
                request: self.request,
                server,
                since: Some(self.since),
            });
        }
    }

    fn take_back(&mut self, actions: &mut Vec<CallAction>) {
        if let Some(server) = self.reported.take() {
            actions.push(CallAction::Stalled {
                request: self.request,
                server,
                since: None,
            });
        }
    }
}

impl Call for MonitoredCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        self.call.handle(now, event, actions);
        self.watch(now, actions);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let report_at = self.awaited.as_ref().map(|_| self.report_at);
        [self.call.next_deadline(), report_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn is_ended(&self) -> bool {
        self.call.is_ended()
    }

    fn awaited(&self) -> Option<Awaited> {
        self.call.awaited()
    }
}

#[derive(Clone, Copy, Debug)]
struct Stalled {
    since: TimeUs,
    reported_at: TimeUs,
}

/// Calls of an entry without progress, by server.
#[derive(Clone, Debug, Default)]
pub struct StallReports {
    servers: BTreeMap<BackendServerId, BTreeMap<RequestId, Stalled>>,
}

impl StallReports {
    /// Takes a report and returns the age of the oldest call without progress, for
    /// `Membership::record_stall`.
    pub fn record(
        &mut self,
        now: TimeUs,
        server: &BackendServerId,
        request: RequestId,
        since: Option<TimeUs>,
    ) -> DurationUs {
        let calls = self.servers.entry(server.clone()).or_default();
        match since {
            Some(since) => {
                let reported_at = now;
                calls.insert(request, Stalled { since, reported_at });
            }
            None => {
                calls.remove(&request);
            }
        }
        calls.retain(|_, call| now.since(call.reported_at) < REPORT_MEMORY);
        let oldest = calls.values().map(|call| call.since).min();
        if oldest.is_none() {
            self.servers.remove(server);
        }
        oldest.map_or(DurationUs::ZERO, |since| now.since(since))
    }
}
