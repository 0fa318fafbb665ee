//! Stall detection: calls without progress, as evidence about their servers.
//!
//! [`MonitoredCall`] wraps a call and reports a server once the call has waited for it without
//! progress for longer than a limit. The report is repeated while the stall lasts, and withdrawn
//! when the call makes progress, moves to another server or ends. Heartbeats and repeated messages
//! do not count as progress, because a server can answer on its connection and still do no work.
//! [`StallReports`] combines the reports of all calls of an entry process.

use std::collections::BTreeMap;

use cuminlead_retry::Step;
use cuminlead_types::{Attempt, BackendServerId, DurationUs, RequestId, SequenceNumber, TimeUs};

use crate::call::{Call, CallAction, CallEvent};

/// Time without progress after which a call is reported; the same as membership's stall limit.
const STALL_LIMIT: DurationUs = DurationUs::from_ms(3_000);
/// Interval at which the report of a lasting stall is repeated.
const REPORT_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
/// Time after which a report that was not repeated expires; the same as in membership.
const REPORT_RETENTION: DurationUs = DurationUs::from_ms(5_000);

/// Step that a call waits for at a server. Any change of it counts as progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingStep {
    /// Server that the call waits for.
    pub server: BackendServerId,
    /// Step of the retry table.
    pub step: Step,
    /// Attempt that the step belongs to.
    pub attempt: Attempt,
    /// Next expected position in the output; zero for application calls.
    pub next_sequence: SequenceNumber,
}

/// Call with stall detection: it reports stalls by [`CallAction::Stalled`].
pub struct MonitoredCall {
    request: RequestId,
    call: Box<dyn Call>,
    pending: Option<PendingStep>,
    since: TimeUs,
    next_report_at: TimeUs,
    reported_server: Option<BackendServerId>,
}

impl MonitoredCall {
    /// Wraps the call of a request.
    pub fn new(request: RequestId, call: Box<dyn Call>) -> Self {
        Self {
            request,
            call,
            pending: None,
            since: TimeUs::ZERO,
            next_report_at: TimeUs::ZERO,
            reported_server: None,
        }
    }

    fn check_progress(&mut self, now: TimeUs, actions: &mut Vec<CallAction>) {
        let pending = self.call.pending_step();
        if pending != self.pending {
            self.pending = pending;
            self.since = now;
            self.next_report_at = now + STALL_LIMIT;
            self.withdraw_report(actions);
        }
        let Some(pending) = &self.pending else {
            return;
        };
        if self.next_report_at <= now {
            let server = pending.server.clone();
            self.next_report_at = now + REPORT_INTERVAL;
            self.reported_server = Some(server.clone());
            actions.push(CallAction::Stalled {
                request: self.request,
                server,
                since: Some(self.since),
            });
        }
    }

    fn withdraw_report(&mut self, actions: &mut Vec<CallAction>) {
        if let Some(server) = self.reported_server.take() {
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
        self.check_progress(now, actions);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let next_report_at = self.pending.as_ref().map(|_| self.next_report_at);
        [self.call.next_deadline(), next_report_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn is_ended(&self) -> bool {
        self.call.is_ended()
    }

    fn pending_step(&self) -> Option<PendingStep> {
        self.call.pending_step()
    }
}

#[derive(Clone, Copy, Debug)]
struct StalledCall {
    since: TimeUs,
    reported_at: TimeUs,
}

/// Stalled calls of an entry process, by server.
#[derive(Clone, Debug, Default)]
pub struct StallReports {
    calls_by_server: BTreeMap<BackendServerId, BTreeMap<RequestId, StalledCall>>,
}

impl StallReports {
    /// Records a report, or its withdrawal when `since` is `None`. Returns for how long the call
    /// that has waited longest for the server has made no progress, for `Membership::record_stall`;
    /// zero when no call is stalled.
    pub fn record(
        &mut self,
        now: TimeUs,
        server: &BackendServerId,
        request: RequestId,
        since: Option<TimeUs>,
    ) -> DurationUs {
        let calls = self.calls_by_server.entry(server.clone()).or_default();
        match since {
            Some(since) => {
                let reported_at = now;
                calls.insert(request, StalledCall { since, reported_at });
            }
            None => {
                calls.remove(&request);
            }
        }
        calls.retain(|_, call| now.since(call.reported_at) < REPORT_RETENTION);
        let oldest = calls.values().map(|call| call.since).min();
        if oldest.is_none() {
            self.calls_by_server.remove(server);
        }
        oldest.map_or(DurationUs::ZERO, |since| now.since(since))
    }
}
