//! `ApplicationCall`: permit, run and question of one request to a plain service.

use cuminlead_protocol::HttpRequest;
use cuminlead_types::{
    BackendServerId, CustomerId, EntryId, IdempotencyKey, RequestId, Revision, ServiceName, TimeUs,
    UnixMs,
};

use crate::call::{Call, CallAction, CallEvent};
use crate::config::CallConfig;

/// An application request inside its customer's plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplicationRequest {
    /// Request.
    pub id: RequestId,
    /// This entry.
    pub entry: EntryId,
    /// Customer.
    pub customer: CustomerId,
    /// Service.
    pub service: ServiceName,
    /// Servers that the plan allows.
    pub servers: Vec<BackendServerId>,
    /// Whether the published routes allow a repeat.
    pub is_idempotent: bool,
    /// Caller's key.
    pub key: Option<IdempotencyKey>,
    /// When the caller made the key.
    pub key_issued_at_ms: Option<UnixMs>,
    /// Call to forward.
    pub http: HttpRequest,
    /// Revision of the lists that the request was checked against.
    pub lists_revision: Revision,
    /// Revision of the host list at the entry.
    pub hosts_revision: Revision,
    /// W3C trace context, or empty.
    pub traceparent: String,
}

/// State of one application request.
#[derive(Debug)]
pub struct ApplicationCall {
    _config: CallConfig,
    _request: ApplicationRequest,
}

impl ApplicationCall {
    /// State of a request that was just accepted.
    pub fn new(config: CallConfig, request: ApplicationRequest) -> Self {
        Self {
            _config: config,
            _request: request,
        }
    }
}

impl Call for ApplicationCall {
    fn handle(&mut self, _now: TimeUs, _event: CallEvent, _actions: &mut Vec<CallAction>) {}

    fn next_deadline(&self) -> Option<TimeUs> {
        None
    }

    fn is_ended(&self) -> bool {
        false
    }
}
