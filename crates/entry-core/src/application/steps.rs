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
use crate::sends::SendKind;
use crate::turn::Turn;

impl ApplicationCall {
    /// Only the published routes make a call idempotent; a key alone does not.
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
        self.limits.ends_at = turn.now + self.config.request_max_us;
        self.route(turn);
    }

    pub(super) fn route(&mut self, turn: &mut Turn) {
        self.limits.route_count += 1;
        self.limits.repeat_count = 0;
        self.phase = Phase::Route;
        turn.push(CallAction::Route(self.route_need()));
    }

    pub(super) fn routed(&mut self, turn: &mut Turn, result: Result<Route, NoRoute>) {
        if self.phase != Phase::Route {
            return;
        }
        let Ok(Route::Service(server)) = result else {
            self.no_server(turn);
            return;
        };
        self.server = server;
        self.attempt = self.attempt.next();
        match self.kind() {
            CallKind::Idempotent => self.send_run(turn, false),
            _ => self.send_permit(turn, false),
        }
    }

    /// No server is usable. A server that failed this call may work again, and asking it is better
    /// than failing when there is no other.
    fn no_server(&mut self, turn: &mut Turn) {
        if self.excluded.is_empty() || !self.may_route(turn) {
            let cause = self.last_cause.unwrap_or(Cause::NO_SERVER);
            self.fail(turn, cause);
            return;
        }
        self.excluded.clear();
        self.route(turn);
    }

    pub(super) fn send_permit(&mut self, turn: &mut Turn, fresh: bool) {
        self.permit = None;
        let request = self.permit_message();
        let wait = self.config.message_timeout_us;
        let send = self.send(turn, SendKind::Permit, request, wait, fresh);
        self.phase = Phase::Permit(send);
    }

    pub(super) fn send_run(&mut self, turn: &mut Turn, fresh: bool) {
        self.proof.is_earlier_open |= self.proof.is_last_open;
        self.proof.is_last_open = true;
        let request = self.run_message();
        let wait = match self.kind() {
            CallKind::Idempotent => self.config.run_timeout_us,
            _ => self.config.silence_us,
        };
        let send = self.send(turn, SendKind::Run, request, wait, fresh);
        self.phase = Phase::Run(send);
    }

    pub(super) fn send_ask(&mut self, turn: &mut Turn, run: SendRef, fresh: bool) {
        let Some(issued) = self.permit else {
            return;
        };
        let request = self.ask_message(issued.permit);
        let wait = self.config.message_timeout_us;
        let ask = self.send(turn, SendKind::Ask, request, wait, fresh);
        self.phase = Phase::Ask { ask, run };
    }

    fn send(
        &mut self,
        turn: &mut Turn,
        kind: SendKind,
        request: AgentRequest,
        wait: DurationUs,
        fresh: bool,
    ) -> SendRef {
        let server = self.server.clone();
        let deadline = turn.now + wait;
        let send = self.sends.add(kind, &server, self.attempt, deadline);
        turn.push(CallAction::Send {
            send,
            server,
            request,
            fresh,
        });
        send
    }

    pub(super) fn replied(&mut self, turn: &mut Turn, send: SendRef, outcome: SendOutcome) {
        if self.sends.settle(send).is_none() {
            return;
        }
        match self.phase {
            Phase::Permit(current) if current == send => self.permit_replied(turn, outcome),
            Phase::Run(current) if current == send => self.run_replied(turn, outcome),
            Phase::Ask { ask, .. } if ask == send => self.ask_replied(turn, outcome),
            Phase::Ask { run, .. } | Phase::AskPause { run, .. } if run == send => {
                self.late_run_replied(turn, outcome);
            }
            _ => {}
        }
    }

    fn permit_replied(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Reply(reply) => self.permit_answered(turn, *reply),
            SendOutcome::ConnectFailed => {
                self.recover(turn, Step::Permit, Cause::new(Evidence::ConnectFailed));
            }
            SendOutcome::Lost => self.permit_lost(turn),
        }
    }

    fn permit_answered(&mut self, turn: &mut Turn, reply: AgentReply) {
        match reply.body {
            ReplyBody::PermitIssued(issued) => self.permit_issued(turn, issued),
            ReplyBody::KeyReplayed(http) => self.respond(turn, http),
            ReplyBody::KeyRunning => self.key_running(turn),
            ReplyBody::KeyUnknown => self.key_unknown(turn),
            ReplyBody::Failed(failure) => {
                self.recover(turn, Step::Permit, Cause::from_call_failure(&failure));
            }
            _ => self.recover(turn, Step::Permit, Cause::new(Evidence::EngineFailed)),
        }
    }

    fn permit_issued(&mut self, turn: &mut Turn, issued: PermitIssued) {
        self.permit = Some(issued);
        // A key whose call runs or ran is not given another permit.
        self.proof.is_key_open = false;
        self.limits.repeat_count = 0;
        self.send_run(turn, false);
    }

    fn run_replied(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Reply(reply) => self.run_answered(turn, *reply),
            SendOutcome::ConnectFailed => {
                self.recover(turn, Step::Run, Cause::new(Evidence::ConnectFailed));
            }
            SendOutcome::Lost => self.recover(turn, Step::Run, Cause::new(Evidence::Silent)),
        }
    }

    fn run_answered(&mut self, turn: &mut Turn, reply: AgentReply) {
        match reply.body {
            ReplyBody::CallDone(http) => self.respond(turn, http),
            body => self.recover(turn, Step::Run, answer_cause(&body)),
        }
    }

    /// The call in question was answered while its owner is asked about it. Anything but an answer
    /// of the service is left to the question.
    fn late_run_replied(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        if let SendOutcome::Reply(reply) = outcome
            && let ReplyBody::CallDone(http) = reply.body
        {
            self.respond(turn, http);
        }
    }

    fn ask_replied(&mut self, turn: &mut Turn, outcome: SendOutcome) {
        let cause = match outcome {
            SendOutcome::Reply(reply) => match reply.body {
                ReplyBody::PermitOutcome(PermitOutcome::Done(http)) => {
                    self.respond(turn, http);
                    return;
                }
                body => answer_cause(&body),
            },
            SendOutcome::ConnectFailed => Cause::new(Evidence::ConnectFailed),
            SendOutcome::Lost => Cause::new(Evidence::Silent),
        };
        self.recover(turn, Step::Ask, cause);
    }

    pub(super) fn pause_deadline(&self) -> Option<TimeUs> {
        match self.phase {
            Phase::RoutePause(at) | Phase::KeyPause(at) | Phase::AskPause { at, .. } => Some(at),
            _ => None,
        }
    }
}

/// What an answer without a response says about the call.
fn answer_cause(body: &ReplyBody) -> Cause {
    match body {
        ReplyBody::PermitOutcome(PermitOutcome::Voided) => Cause::new(Evidence::Voided),
        ReplyBody::PermitOutcome(PermitOutcome::Running) => Cause::new(Evidence::StillRunning),
        ReplyBody::PermitOutcome(PermitOutcome::Unknown) => Cause::new(Evidence::OutcomeUnknown),
        ReplyBody::Failed(failure) => Cause::from_call_failure(failure),
        // An answer to another message says nothing about the call.
        _ => Cause::new(Evidence::Silent),
    }
}
