//! Requests and processes, reconstructed from the record.

use std::collections::BTreeMap;

use cuminlead_types::{
    CustomerId, HostId, IdempotencyKey, RequestId, Revision, ServiceName, TimeUs,
};

use crate::observation::{AnswerDigest, Observation, RequestKind};
use crate::record::{Observed, Record};

/// Index and time of an observation in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordPosition {
    pub(crate) index: usize,
    pub(crate) at: TimeUs,
}

/// Acceptance of a request by an entry.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    pub(crate) position: RecordPosition,
    pub(crate) process: HostId,
    pub(crate) kind: RequestKind,
    pub(crate) key: Option<CallKey>,
    pub(crate) answer: Option<AnswerDigest>,
}

/// Idempotency key in its scope: one customer and service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallKey {
    pub(crate) customer: CustomerId,
    pub(crate) service: Option<ServiceName>,
    pub(crate) key: IdempotencyKey,
}

/// Events of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestHistory {
    pub(crate) accepted: Option<Accepted>,
    /// Ends of answers and errors that the caller received.
    pub(crate) completions: Vec<RecordPosition>,
    /// When the request ended: the first completion, the disconnect of its caller or the kill of
    /// its entry.
    pub(crate) ended: Option<RecordPosition>,
}

/// Process from one start to its exit.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    pub(crate) process: HostId,
    pub(crate) started: RecordPosition,
    pub(crate) ended: Option<RecordPosition>,
    pub(crate) revisions: Vec<ActiveRevision>,
    pub(crate) isolations: Vec<Isolation>,
}

/// Revision of the lists that a process put in effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveRevision {
    pub(crate) position: RecordPosition,
    pub(crate) revision: Revision,
}

/// Time during which a process had no network path to newer lists, or was paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    pub(crate) from: TimeUs,
    pub(crate) until: Option<TimeUs>,
}

/// Events of the record by request and by incarnation of a process.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) requests: BTreeMap<RequestId, RequestHistory>,
    pub(crate) incarnations: Vec<Incarnation>,
    /// Index in `incarnations` of the current incarnation of each running process.
    current_incarnations: BTreeMap<HostId, usize>,
}

impl History {
    pub(crate) fn from_record(record: &Record) -> Self {
        let mut history = Self::default();
        for (index, observed) in record.iter().enumerate() {
            let position = RecordPosition {
                index,
                at: observed.at,
            };
            history.add_request_event(position, observed);
            history.add_process_event(position, observed);
        }
        history
    }

    pub(crate) fn accepted(&self, request: RequestId) -> Option<&Accepted> {
        self.requests.get(&request)?.accepted.as_ref()
    }

    pub(crate) fn ended(&self, request: RequestId) -> Option<RecordPosition> {
        self.requests.get(&request)?.ended
    }

    fn add_request_event(&mut self, position: RecordPosition, observed: &Observed) {
        match &observed.what {
            Observation::RequestAccepted {
                request,
                process,
                kind,
                customer,
                service,
                key,
                answer,
            } => {
                let key = key.0.clone().map(|key| CallKey {
                    customer: customer.clone(),
                    service: service.0.clone(),
                    key,
                });
                self.request(*request).accepted = Some(Accepted {
                    position,
                    process: process.clone(),
                    kind: *kind,
                    key,
                    answer: answer.0,
                });
            }
            Observation::AnswerEnded { request, .. }
            | Observation::RequestFailed { request, .. } => {
                let history = self.request(*request);
                history.completions.push(position);
                history.ended.get_or_insert(position);
            }
            Observation::CallerDisconnected { request } | Observation::CallerCutOff { request } => {
                self.request(*request).ended.get_or_insert(position);
            }
            Observation::ProcessKilled { process } => self.end_all_requests(position, process),
            _ => {}
        }
    }

    fn request(&mut self, request: RequestId) -> &mut RequestHistory {
        self.requests.entry(request).or_default()
    }

    /// Ends the requests of a killed entry, whether or not their callers observed the disconnect.
    fn end_all_requests(&mut self, position: RecordPosition, process: &HostId) {
        for request in self.requests.values_mut() {
            let accepted = request.accepted.as_ref();
            if accepted.is_some_and(|accepted| accepted.process == *process) {
                request.ended.get_or_insert(position);
            }
        }
    }

    fn add_process_event(&mut self, position: RecordPosition, observed: &Observed) {
        match &observed.what {
            Observation::ProcessStarted { process } => self.start(position, process),
            Observation::ListsInForce { process, revision } => {
                let revision = *revision;
                let incarnation = self.incarnation(position, process);
                incarnation
                    .revisions
                    .push(ActiveRevision { position, revision });
            }
            Observation::ProcessStopped { process, .. }
            | Observation::ProcessKilled { process } => {
                self.incarnation(position, process).ended = Some(position);
                self.current_incarnations.remove(process);
            }
            Observation::IsolationBegan { process } => {
                let isolation = Isolation {
                    from: position.at,
                    until: None,
                };
                self.incarnation(position, process)
                    .isolations
                    .push(isolation);
            }
            Observation::IsolationEnded { process } => {
                let incarnation = self.incarnation(position, process);
                if let Some(isolation) = incarnation.isolations.last_mut() {
                    isolation.until.get_or_insert(position.at);
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, position: RecordPosition, process: &HostId) {
        self.current_incarnations
            .insert(process.clone(), self.incarnations.len());
        self.incarnations.push(Incarnation {
            process: process.clone(),
            started: position,
            ended: None,
            revisions: Vec::new(),
            isolations: Vec::new(),
        });
    }

    /// Current incarnation of a process; without an observed start it begins with its first event.
    fn incarnation(&mut self, position: RecordPosition, process: &HostId) -> &mut Incarnation {
        if !self.current_incarnations.contains_key(process) {
            self.start(position, process);
        }
        let index = self.current_incarnations[process];
        &mut self.incarnations[index]
    }
}
