//! `ModelCall`: reservation, prefill, transfer and decode of one request.

use cuminlead_protocol::ModelTarget;
use cuminlead_types::{
    BackendServerId, CustomerId, DurationUs, EntryId, Priority, RequestId, Revision, TimeUs, Tokens,
};

use crate::call::{Call, CallAction, CallEvent};
use crate::config::CallConfig;

/// A model request inside its customer's plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelRequest {
    /// Request.
    pub id: RequestId,
    /// This entry.
    pub entry: EntryId,
    /// Customer.
    pub customer: CustomerId,
    /// Model, adapter and version from the plan.
    pub target: ModelTarget,
    /// Priority from the plan.
    pub priority: Priority,
    /// Servers that the plan allows.
    pub servers: Vec<BackendServerId>,
    /// Prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub output_max_tokens: Tokens,
    /// Target for the time to first token.
    pub first_token_us: DurationUs,
    /// Revision of the lists that the request was checked against.
    pub lists_revision: Revision,
    /// Revision of the host list at the entry.
    pub hosts_revision: Revision,
    /// W3C trace context, or empty.
    pub traceparent: String,
}

/// State of one model request.
#[derive(Debug)]
pub struct ModelCall {
    _config: CallConfig,
    _request: ModelRequest,
}

impl ModelCall {
    /// State of a request that was just accepted.
    pub fn new(config: CallConfig, request: ModelRequest) -> Self {
        Self {
            _config: config,
            _request: request,
        }
    }
}

impl Call for ModelCall {
    fn handle(&mut self, _now: TimeUs, _event: CallEvent, _actions: &mut Vec<CallAction>) {}

    fn next_deadline(&self) -> Option<TimeUs> {
        None
    }

    fn is_ended(&self) -> bool {
        false
    }
}
