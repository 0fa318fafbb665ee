//! Context of one [`Call::handle`](crate::call::Call::handle) invocation: the current time and the
//! actions decided so far.

use cuminlead_retry::Evidence;
use cuminlead_types::{BackendServerId, TimeUs};

use crate::call::CallAction;

/// Current time and collected actions of one event.
pub(crate) struct Turn<'a> {
    pub(crate) now: TimeUs,
    actions: &'a mut Vec<CallAction>,
}

impl<'a> Turn<'a> {
    pub(crate) fn new(now: TimeUs, actions: &'a mut Vec<CallAction>) -> Self {
        Self { now, actions }
    }

    pub(crate) fn push(&mut self, action: CallAction) {
        self.actions.push(action);
    }

    pub(crate) fn report(&mut self, server: &BackendServerId, evidence: Option<Evidence>) {
        let server = server.clone();
        self.push(CallAction::Report { server, evidence });
    }
}
