//! The steps of a model call without failures: route, reserve, prefill, open the stream. Also the
//! dispatch of replies and the release of resources.

use cuminlead_protocol::{AgentFailure, AgentReply, Prefilled, ReplyBody, Reserved};
use cuminlead_retry::{Evidence, Step};
use cuminlead_routing::{NoRoute, Route, RouteKind};
use cuminlead_types::{Attempt, BackendServerId, Incarnation, RegionName, TimeUs};

use super::ModelCall;
use super::state::{AttemptState, OpenStream, Phase};
use crate::call::{CallAction, CallStreamRef, SendOutcome, SendRef};
use crate::cause::Cause;
use crate::sends::{SendKind, SentMessage};
use crate::turn::Turn;

impl ModelCall {
    pub(super) fn start(&mut self, turn: &mut Turn) {
        if self.phase != Phase::Created {
            return;
        }
        self.limits.ends_at = turn.now + self.config.request_max_us;
        self.limits.due_at = turn.now + self.request.first_token_us;
        self.route_pair(turn);
    }

    pub(super) fn route_pair(&mut self, turn: &mut Turn) {
        self.limits.route_count += 1;
        self.phase = Phase::RoutePair;
        let kind = RouteKind::Pair(self.model_need(turn.now));
        turn.push(CallAction::Route(self.route_need(kind)));
    }

    pub(super) fn route_prefill(&mut self, turn: &mut Turn) {
        self.limits.route_count += 1;
        self.phase = Phase::RoutePrefill;
        let kind = RouteKind::Prefill {
            region: self.attempt.region.clone(),
            need: self.model_need(turn.now),
        };
        turn.push(CallAction::Route(self.route_need(kind)));
    }

    pub(super) fn routed(&mut self, turn: &mut Turn, result: Result<Route, NoRoute>) {
        match (&self.phase, result) {
            (Phase::RoutePair, Ok(route @ Route::Pair { .. })) => self.use_pair(turn, route),
            (Phase::RoutePrefill, Ok(Route::Prefill(server))) => self.use_prefill(turn, server),
            (Phase::RoutePrefill | Phase::RoutePair, Err(NoRoute::RetryBudget)) => {
                self.fail_route(turn);
            }
            (Phase::RoutePrefill, _) => self.new_attempt(turn, Step::Route, Cause::NO_SERVER),
            (Phase::RoutePair, _) => self.no_pair(turn),
            _ => {}
        }
    }

    fn use_pair(&mut self, turn: &mut Turn, route: Route) {
        let Route::Pair {
            region,
            decode,
            prefill,
        } = route
        else {
            return;
        };
        if self.use_decode(turn, &region, &decode) {
            return;
        }
        self.discard_kept(turn);
        self.begin_attempt(turn, region, decode, prefill);
    }

    fn begin_attempt(
        &mut self,
        turn: &mut Turn,
        region: RegionName,
        decode: BackendServerId,
        prefill: BackendServerId,
    ) {
        self.attempt = AttemptState {
            number: self.attempt.number.next(),
            region,
            decode,
            prefill,
            ..AttemptState::default()
        };
        self.advance(turn);
    }

    /// No server is usable. A server that failed this call may work again, and asking it is better
    /// than failing when there is no other.
    fn no_pair(&mut self, turn: &mut Turn) {
        if self.excluded.is_empty() || !self.may_route(turn) {
            self.fail_route(turn);
            return;
        }
        self.excluded.clear();
        self.route_pair(turn);
    }

    /// Fails with the cause that made the route necessary, if there was one.
    fn fail_route(&mut self, turn: &mut Turn) {
        let cause = self.last_cause.unwrap_or(Cause::NO_SERVER);
        self.fail(turn, cause);
    }

    /// Continues with another prefill server. A server given up in this attempt may still get the
    /// release that was sent to it, so it is used again only under a new attempt.
    fn use_prefill(&mut self, turn: &mut Turn, server: BackendServerId) {
        if self.holds.is_given_up(&server, self.attempt.number) {
            self.new_attempt(turn, Step::Route, Cause::NO_SERVER);
            return;
        }
        self.attempt.prefill = server;
        self.attempt.prefilled = None;
        self.attempt.repeat_count = 0;
        self.attempt.resume_count = 0;
        self.attempt.import_failed_count = 0;
        self.advance(turn);
    }

    /// Takes the next step of the attempt.
    pub(super) fn advance(&mut self, turn: &mut Turn) {
        if self.must_reserve(turn.now) {
            self.send_reserve(turn, false);
        } else {
            self.use_place(turn);
        }
    }

    fn use_place(&mut self, turn: &mut Turn) {
        if self.attempt.prefilled.is_none() {
            self.send_prefill(turn, false);
        } else {
            self.open_stream(turn, false);
        }
    }

    /// Whether a decode place is needed first. A lease that ran out while the prefill waited, or
    /// while this entry paused, is reserved anew before more is computed or imported.
    pub(super) fn must_reserve(&self, now: TimeUs) -> bool {
        let has_lease = self.attempt.lease_ends_at.is_some_and(|end| now < end);
        let has_prefill = self.attempt.prefilled.is_some();
        !has_lease && (has_prefill || !self.config.prefill_first)
    }

    pub(super) fn send_reserve(&mut self, turn: &mut Turn, fresh: bool) {
        let server = self.attempt.decode.clone();
        self.holds.note(&server, self.attempt.number);
        let request = self.reserve_message(turn.now);
        let deadline = turn.now + self.config.message_timeout_us;
        let send = self
            .sends
            .add(SendKind::Reserve, &server, self.attempt.number, deadline);
        self.phase = Phase::Reserve(send);
        turn.push(CallAction::Send {
            send,
            server,
            request,
            fresh,
        });
    }

    pub(super) fn send_prefill(&mut self, turn: &mut Turn, fresh: bool) {
        let server = self.attempt.prefill.clone();
        self.holds.note(&server, self.attempt.number);
        let request = self.prefill_message(turn.now);
        let wait = self
            .prefill_estimate()
            .saturating_add(self.config.message_timeout_us);
        let send = self.sends.add(
            SendKind::Prefill,
            &server,
            self.attempt.number,
            turn.now + wait,
        );
        self.phase = Phase::Prefill(send);
        turn.push(CallAction::Send {
            send,
            server,
            request,
            fresh,
        });
    }

    pub(super) fn open_stream(&mut self, turn: &mut Turn, fresh: bool) {
        let stream = CallStreamRef(self.stream_count);
        self.stream_count += 1;
        self.phase = Phase::Stream(OpenStream {
            stream,
            heard_at: turn.now,
            acknowledged_at: turn.now,
        });
        turn.push(CallAction::OpenStream {
            stream,
            server: self.attempt.decode.clone(),
            open: self.open_message(),
            fresh,
        });
    }

    pub(super) fn replied(&mut self, turn: &mut Turn, send: SendRef, outcome: SendOutcome) {
        let Some(message) = self.sends.settle(send) else {
            return;
        };
        match message.kind {
            SendKind::Release => self.release_replied(turn, &message, &outcome),
            _ if self.is_current(send) => self.step_replied(turn, &message, outcome),
            _ => self.late_reply(turn, &message, &outcome),
        }
    }

    pub(super) fn is_current(&self, send: SendRef) -> bool {
        self.phase == Phase::Reserve(send) || self.phase == Phase::Prefill(send)
    }

    fn step_replied(&mut self, turn: &mut Turn, message: &SentMessage, outcome: SendOutcome) {
        let step = step_of(message.kind);
        if is_without_effect(&outcome) {
            self.holds.disprove(&message.server, message.attempt);
        }
        match outcome {
            SendOutcome::Reply(reply) => self.step_answered(turn, message, *reply),
            SendOutcome::ConnectFailed => {
                self.recover(turn, step, Cause::new(Evidence::ConnectFailed));
            }
            SendOutcome::Lost => self.message_lost(turn, step),
        }
    }

    fn step_answered(&mut self, turn: &mut Turn, message: &SentMessage, reply: AgentReply) {
        match (message.kind, reply.body) {
            (SendKind::Reserve, ReplyBody::Reserved(reserved)) => {
                self.reserved(turn, reserved, reply.state.incarnation);
            }
            (SendKind::Prefill, ReplyBody::Prefilled(prefilled)) => {
                self.prefilled(turn, prefilled);
            }
            (kind, ReplyBody::Failed(failure)) => {
                self.recover(turn, step_of(kind), Cause::from_failure(&failure));
            }
            (kind, _) => self.recover(turn, step_of(kind), Cause::new(Evidence::EngineFailed)),
        }
    }

    fn reserved(&mut self, turn: &mut Turn, reserved: Reserved, incarnation: Incarnation) {
        let is_first = self.attempt.lease_ends_at.is_none();
        self.attempt.incarnation = incarnation;
        self.attempt.lease_ends_at = Some(turn.now + reserved.expires_in_us);
        self.attempt.lease_us = reserved.expires_in_us;
        // A lease that is reserved anew during a silent prefill must not extend its repeats.
        if is_first {
            self.attempt.repeat_count = 0;
        }
        // The place is used even when no time is left on its lease: an agent answers so when it
        // decodes the attempt already, and asking again would bring the same answer.
        self.use_place(turn);
    }

    fn prefilled(&mut self, turn: &mut Turn, prefilled: Prefilled) {
        self.attempt.prefill_held_until = turn.now + prefilled.held_for_us;
        self.attempt.prefilled = Some(prefilled);
        self.attempt.repeat_count = 0;
        turn.report(&self.attempt.prefill, None);
        self.advance(turn);
    }

    /// An answer to a message that the call no longer waits for. What it says is held belongs to
    /// nobody, unless the current attempt still uses the same place.
    fn late_reply(&mut self, turn: &mut Turn, message: &SentMessage, outcome: &SendOutcome) {
        if is_without_effect(outcome) {
            self.holds.disprove(&message.server, message.attempt);
        }
        let SendOutcome::Reply(reply) = outcome else {
            return;
        };
        if self.holds.is_in_use(&message.server, message.attempt) {
            return;
        }
        match &reply.body {
            ReplyBody::Reserved(_) => {}
            ReplyBody::Prefilled(prefilled) => {
                self.count_waste(turn, prefilled, Evidence::TimedOut);
            }
            _ => return,
        }
        self.release(turn, &message.server, message.attempt, false);
    }

    pub(super) fn release(
        &mut self,
        turn: &mut Turn,
        server: &BackendServerId,
        attempt: Attempt,
        fresh: bool,
    ) {
        if self.holds.begin_release(server, attempt) {
            self.send_release(turn, server, attempt, fresh);
        }
    }

    pub(super) fn send_release(
        &mut self,
        turn: &mut Turn,
        server: &BackendServerId,
        attempt: Attempt,
        fresh: bool,
    ) {
        let deadline = turn.now + self.config.message_timeout_us;
        let send = self.sends.add(SendKind::Release, server, attempt, deadline);
        turn.push(CallAction::Send {
            send,
            server: server.clone(),
            request: self.release_message(attempt),
            fresh,
        });
    }

    fn release_replied(&mut self, turn: &mut Turn, message: &SentMessage, outcome: &SendOutcome) {
        let is_released = matches!(outcome, SendOutcome::Reply(_));
        if is_released {
            self.holds.settle(&message.server, message.attempt);
        } else {
            self.release_lost(turn, message);
        }
    }

    pub(super) fn release_lost(&mut self, turn: &mut Turn, message: &SentMessage) {
        let at = turn.now + self.config.repeat_pause_us;
        let max_count = self.config.repeats_max_count;
        self.holds
            .plan_repeat(&message.server, message.attempt, at, max_count);
    }
}

/// Whether the message certainly had no effect.
fn is_without_effect(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::ConnectFailed => true,
        SendOutcome::Lost => false,
        SendOutcome::Reply(reply) => {
            matches!(reply.body, ReplyBody::Failed(AgentFailure::Refused(_)))
        }
    }
}

/// Step that a message belongs to.
pub(super) fn step_of(kind: SendKind) -> Step {
    match kind {
        SendKind::Reserve => Step::Reserve,
        _ => Step::Prefill,
    }
}
