//! The steps of an application call without failures: route, permit, run, respond. Also the
//! dispatch of replies.

use cuminlead_protocol::{AgentReply, AgentRequest, PermitIssued, PermitOutcome, ReplyBody};
use cuminlead_retry::{CallKind, Evidence, Step};
use cuminlead_routing::{NoRoute, Route};
use cuminlead_types::{DurationUs, TimeUs};

use super::ApplicationCall;
use super::state::Phase;
use crate::call::{CallAction, SendOutcome, SendRef};
use crate::cause::Cause;
use crate::outstanding::MessageKind;
use crate::turn::Turn;

impl ApplicationCall {
    /// Only the published routes make a call idempotent; an idempotency key does not.
    pub(super) fn kind(&self) -> CallKind {
        if self.request.is_idempotent {
            CallKind::Idempotent
        } else {
            CallKind::NonIdempotent
        }
    }

    pub(super) fn start(&mut self, turn: &mut Turn) {
        if self.phase != Phase::Created {
            return;
        }
        self.limits.deadline = turn.now + self.config.request_max_us;
        self.route(turn);
    }

    pub(super) fn route(&mut self, turn: &mut Turn) {
        self.limits.route_count += 1;
        self.limits.message_repeat_count = 0;
        self.phase = Phase::Route;
        turn.push(CallAction::Route(self.route_request()));
    }

    pub(super) fn on_routed(&mut self, turn: &mut Turn, result: Result<Route, NoRoute>) {
        if self.phase != Phase::Route {
            return;
        }
        let Ok(Route::Service(server)) = result else {
            self.on_no_server(turn);
            return;
        };
        self.server = server;
        self.attempt = self.attempt.next();
        match self.kind() {
            CallKind::Idempotent => self.send_run(turn, false),
            _ => self.send_permit_request(turn, false),
        }
    }

    /// Handles a route request that found no usable server. A server that failed this call may work
    /// again, and trying it is better than failing when there is no other.
    fn on_no_server(&mut self, turn: &mut Turn) {
        if self.excluded.is_empty() || !self.can_route_again(turn) {
            let cause = self.last_cause.unwrap_or(Cause::NO_SERVER);
            self.fail(turn, cause);
            return;
        }
        self.excluded.clear();
        self.route(turn);
    }

    pub(super) fn send_permit_request(&mut self, turn: &mut Turn, use_new_connection: bool) {
        self.permit = None;
        let request = self.permit_message();
        let wait = self.config.message_timeout_us;
        let send = self.send(turn, MessageKind::Permit, request, wait, use_new_connection);
        self.phase = Phase::Permit(send);
    }

    pub(super) fn send_run(&mut self, turn: &mut Turn, use_new_connection: bool) {
        self.unresolved_runs.earlier |= self.unresolved_runs.last;
        self.unresolved_runs.last = true;
        let request = self.run_message();
        let wait = match self.kind() {
            CallKind::Idempotent => self.config.run_timeout_us,
            _ => self.config.unresponsive_timeout_us,
        };
        let send = self.send(turn, MessageKind::Run, request, wait, use_new_connection);
        self.phase = Phase::Run(send);
    }

    pub(super) fn send_query(&mut self, turn: &mut Turn, run: SendRef, use_new_connection: bool) {
        let Some(issued) = self.permit else {
            return;
        };
        let request = self.query_message(issued.permit);
        let wait = self.config.message_timeout_us;
        let query = self.send(turn, MessageKind::Query, request, wait, use_new_connection);
        self.phase = Phase::Query { query, run };
    }

    fn send(
        &mut self,
        turn: &mut Turn,
        kind: MessageKind,
        request: AgentRequest,
        wait: DurationUs,
        use_new_connection: bool,
    ) -> SendRef {
        let server = self.server.clone();
        let deadline = turn.now + wait;
        let send = self.outstanding.add(kind, &server, self.attempt, deadline);
        turn.push(CallAction::Send {
            send,
            server,
            request,
            use_new_connection,
        });
        send
    }

    pub(super) fn on_reply(&mut self, turn: &mut Turn, send: SendRef, outcome: SendOutcome) {
        if self.outstanding.remove(send).is_none() {
            return;
        }
        match self.phase {
            Phase::Permit(current) if current == send => self.on_permit_reply(turn, outcome),
            Phase::Run(current) if current == send => self.on_run_reply(turn, outcome),
            Phase::Query { query, .. } if query == send => self.on_query_reply(turn, outcome),
            Phase::Query { run, .. } | Phase::QueryPause { run, .. } if run == send => {
                self.on_late_run_reply(turn, outcome);
            }
            _ => {}
        }
    }

    fn on_permit_reply(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Reply(reply) => self.on_permit_agent_reply(turn, *reply),
            SendOutcome::ConnectFailed => {
                self.recover(turn, Step::Permit, Cause::new(Evidence::ConnectFailed));
            }
            SendOutcome::Lost => self.on_permit_lost(turn),
        }
    }

    fn on_permit_agent_reply(&mut self, turn: &mut Turn, reply: AgentReply) {
        match reply.body {
            ReplyBody::PermitIssued(issued) => self.on_permit_issued(turn, issued),
            ReplyBody::KeyReplayed(http) => self.respond(turn, http),
            ReplyBody::KeyRunning => self.on_key_running(turn),
            ReplyBody::KeyUnknown => self.on_key_unknown(turn),
            ReplyBody::Failed(failure) => {
                self.recover(turn, Step::Permit, Cause::from_call_failure(&failure));
            }
            _ => self.recover(turn, Step::Permit, Cause::new(Evidence::EngineFailed)),
        }
    }

    fn on_permit_issued(&mut self, turn: &mut Turn, issued: PermitIssued) {
        self.permit = Some(issued);
        // No permit is issued for a key whose call is running or may have run.
        self.unresolved_runs.same_key = false;
        self.limits.message_repeat_count = 0;
        self.send_run(turn, false);
    }

    fn on_run_reply(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Reply(reply) => self.on_run_agent_reply(turn, *reply),
            SendOutcome::ConnectFailed => {
                self.recover(turn, Step::Run, Cause::new(Evidence::ConnectFailed));
            }
            SendOutcome::Lost => self.recover(turn, Step::Run, Cause::new(Evidence::Unresponsive)),
        }
    }

    fn on_run_agent_reply(&mut self, turn: &mut Turn, reply: AgentReply) {
        match reply.body {
            ReplyBody::CallDone(http) => self.respond(turn, http),
            body => self.recover(turn, Step::Run, reply_cause(&body)),
        }
    }

    /// Handles a reply to `RunCall` that arrives while the owner is queried about the call.
    /// Anything but a response of the service is left to the query.
    fn on_late_run_reply(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        if let SendOutcome::Reply(reply) = outcome
            && let ReplyBody::CallDone(http) = reply.body
        {
            self.respond(turn, http);
        }
    }

    fn on_query_reply(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        let cause = match outcome {
            SendOutcome::Reply(reply) => match reply.body {
                ReplyBody::PermitOutcome(PermitOutcome::Done(http)) => {
                    self.respond(turn, http);
                    return;
                }
                body => reply_cause(&body),
            },
            SendOutcome::ConnectFailed => Cause::new(Evidence::ConnectFailed),
            SendOutcome::Lost => Cause::new(Evidence::Unresponsive),
        };
        self.recover(turn, Step::QueryOutcome, cause);
    }

    pub(super) fn pause_deadline(&self) -> Option<TimeUs> {
        match self.phase {
            Phase::RoutePause(at) | Phase::KeyPause(at) | Phase::QueryPause { at, .. } => Some(at),
            _ => None,
        }
    }
}

/// Cause that follows from a reply without a response of the service.
fn reply_cause(body: &ReplyBody) -> Cause {
    match body {
        ReplyBody::PermitOutcome(PermitOutcome::Voided) => Cause::new(Evidence::Voided),
        ReplyBody::PermitOutcome(PermitOutcome::Running) => Cause::new(Evidence::StillRunning),
        ReplyBody::PermitOutcome(PermitOutcome::Unknown) => Cause::new(Evidence::OutcomeUnknown),
        ReplyBody::Failed(failure) => Cause::from_call_failure(failure),
        // A reply of the wrong type says nothing about the call.
        _ => Cause::new(Evidence::Unresponsive),
    }
}
