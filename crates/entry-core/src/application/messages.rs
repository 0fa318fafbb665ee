//! Construction of an application call's route requests and messages to agents.

use cuminlead_protocol::{AgentRequest, Envelope, IssuePermit, QueryPermit, RunCall};
use cuminlead_routing::{RouteKind, RouteRequest};
use cuminlead_types::{AttemptId, IdempotencyKey, PermitId};

use super::ApplicationCall;

impl ApplicationCall {
    fn envelope(&self) -> Envelope {
        let request = &self.request;
        Envelope {
            entry: request.entry.clone(),
            id: AttemptId {
                request: request.id,
                attempt: self.attempt,
            },
            customer: request.customer.clone(),
            lists_revision: request.lists_revision,
            hosts_revision: request.hosts_revision,
            traceparent: request.traceparent.clone(),
        }
    }

    pub(super) fn permit_message(&self) -> AgentRequest {
        AgentRequest::IssuePermit(IssuePermit {
            envelope: self.envelope(),
            service: self.request.service.clone(),
            key: self.owned_key(),
            key_issued_at_ms: self.request.key_issued_at_ms,
        })
    }

    pub(super) fn run_message(&self) -> AgentRequest {
        AgentRequest::RunCall(RunCall {
            envelope: self.envelope(),
            service: self.request.service.clone(),
            permit: self.permit.map(|issued| issued.permit),
            http: self.request.http.clone(),
        })
    }

    pub(super) fn query_message(&self, permit: PermitId) -> AgentRequest {
        AgentRequest::QueryPermit(QueryPermit {
            envelope: self.envelope(),
            permit,
        })
    }

    /// Key whose owner must handle the call. An idempotent call needs no owner, because it may run
    /// again.
    pub(super) fn owned_key(&self) -> Option<IdempotencyKey> {
        let key = self.request.key.clone();
        key.filter(|_| !self.request.is_idempotent)
    }

    pub(super) fn route_request(&self) -> RouteRequest {
        let key = self.owned_key();
        // The active lists determine the owner, and may be newer than those of the request.
        let allowed = match key {
            Some(_) => Vec::new(),
            None => self.request.servers.clone(),
        };
        RouteRequest {
            customer: self.request.customer.clone(),
            kind: RouteKind::Service {
                service: self.request.service.clone(),
                key,
            },
            allowed,
            excluded: self.excluded.clone(),
            is_retry: self.limits.route_count > 1,
        }
    }
}
