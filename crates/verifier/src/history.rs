//! Requests and processes as the record shows them.

use std::collections::BTreeMap;

use cuminlead_types::{
    CustomerId, HostId, IdempotencyKey, RequestId, Revision, ServiceName, TimeUs,
};

use crate::observation::{AnswerDigest, Observation, RequestKind};
use crate::record::{Observed, Record};

/// Place of an observation in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) index: usize,
    pub(crate) at: TimeUs,
}

/// What an accepted request is.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    pub(crate) seen: Seen,
    pub(crate) process: HostId,
    pub(crate) kind: RequestKind,
    pub(crate) key: Option<CallKey>,
    pub(crate) answer: Option<AnswerDigest>,
}

/// Key under which a call may run once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallKey {
    pub(crate) customer: CustomerId,
    pub(crate) service: Option<ServiceName>,
    pub(crate) key: IdempotencyKey,
}

/// One request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestHistory {
    pub(crate) accepted: Option<Accepted>,
    /// Answers and errors that the caller received.
    pub(crate) endings: Vec<Seen>,
    /// When the caller had an ending or was gone, whichever was first.
    pub(crate) gone: Option<Seen>,
}

/// One life of a process.
#[derive(Clone, Debug)]
pub(crate) struct Life {
    pub(crate) process: HostId,
    pub(crate) started: Seen,
    pub(crate) ended: Option<Seen>,
    pub(crate) revisions: Vec<InForce>,
    pub(crate) isolations: Vec<Isolation>,
}

/// Lists that a process put in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InForce {
    pub(crate) seen: Seen,
    pub(crate) revision: Revision,
}

/// Time without a path to newer lists.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    pub(crate) from: TimeUs,
    pub(crate) until: Option<TimeUs>,
}

/// The record, sorted by request and process.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) requests: BTreeMap<RequestId, RequestHistory>,
    pub(crate) lives: Vec<Life>,
    /// Index in `lives` of the present life of each process.
    present: BTreeMap<HostId, usize>,
}

impl History {
    pub(crate) fn of(record: &Record) -> Self {
        let mut history = Self::default();
        for (index, observed) in record.iter().enumerate() {
            let seen = Seen {
                index,
                at: observed.at,
            };
            history.note_request(seen, observed);
            history.note_process(seen, observed);
        }
        history
    }

    pub(crate) fn accepted(&self, request: RequestId) -> Option<&Accepted> {
        self.requests.get(&request)?.accepted.as_ref()
    }

    pub(crate) fn gone(&self, request: RequestId) -> Option<Seen> {
        self.requests.get(&request)?.gone
    }

    fn note_request(&mut self, seen: Seen, observed: &Observed) {
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
                    seen,
                    process: process.clone(),
                    kind: *kind,
                    key,
                    answer: answer.0,
                });
            }
            Observation::AnswerEnded { request, .. }
            | Observation::RequestFailed { request, .. } => {
                let history = self.request(*request);
                history.endings.push(seen);
                history.gone.get_or_insert(seen);
            }
            Observation::CallerDisconnected { request } | Observation::CallerCutOff { request } => {
                self.request(*request).gone.get_or_insert(seen);
            }
            Observation::ProcessKilled { process } => self.all_gone(seen, process),
            _ => {}
        }
    }

    fn request(&mut self, request: RequestId) -> &mut RequestHistory {
        self.requests.entry(request).or_default()
    }

    /// The requests of a killed entry are gone, whether or not their callers noticed.
    fn all_gone(&mut self, seen: Seen, process: &HostId) {
        for request in self.requests.values_mut() {
            let accepted = request.accepted.as_ref();
            if accepted.is_some_and(|accepted| accepted.process == *process) {
                request.gone.get_or_insert(seen);
            }
        }
    }

    fn note_process(&mut self, seen: Seen, observed: &Observed) {
        match &observed.what {
            Observation::ProcessStarted { process } => self.start(seen, process),
            Observation::ListsInForce { process, revision } => {
                let revision = *revision;
                let life = self.life(seen, process);
                life.revisions.push(InForce { seen, revision });
            }
            Observation::ProcessStopped { process, .. }
            | Observation::ProcessKilled { process } => {
                self.life(seen, process).ended = Some(seen);
                self.present.remove(process);
            }
            Observation::IsolationBegan { process } => {
                let isolation = Isolation {
                    from: seen.at,
                    until: None,
                };
                self.life(seen, process).isolations.push(isolation);
            }
            Observation::IsolationEnded { process } => {
                let life = self.life(seen, process);
                if let Some(isolation) = life.isolations.last_mut() {
                    isolation.until.get_or_insert(seen.at);
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, seen: Seen, process: &HostId) {
        self.present.insert(process.clone(), self.lives.len());
        self.lives.push(Life {
            process: process.clone(),
            started: seen,
            ended: None,
            revisions: Vec::new(),
            isolations: Vec::new(),
        });
    }

    /// The present life of a process; one that was not seen to start began with its first sign.
    fn life(&mut self, seen: Seen, process: &HostId) -> &mut Life {
        if !self.present.contains_key(process) {
            self.start(seen, process);
        }
        let index = self.present[process];
        &mut self.lives[index]
    }
}
