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
use crate::outstanding::{MessageKind, SentMessage};
use crate::turn::Turn;

impl ModelCall {
    pub(super) fn start(&mut self, turn: &mut Turn) {
        if self.phase != Phase::Created {
            return;
        }
        self.limits.deadline = turn.now + self.config.request_max_us;
        self.limits.first_token_due_at = turn.now + self.request.first_token_us;
        self.route_pair(turn);
    }

    pub(super) fn route_pair(&mut self, turn: &mut Turn) {
        self.limits.route_count += 1;
        self.phase = Phase::RoutePair;
        let kind = RouteKind::Pair(self.model_requirements(turn.now));
        turn.push(CallAction::Route(self.route_request(kind)));
    }

    pub(super) fn route_prefill(&mut self, turn: &mut Turn) {
        self.limits.route_count += 1;
        self.phase = Phase::RoutePrefill;
        let kind = RouteKind::Prefill {
            region: self.attempt.region.clone(),
            requirements: self.model_requirements(turn.now),
        };
        turn.push(CallAction::Route(self.route_request(kind)));
    }

    pub(super) fn on_routed(&mut self, turn: &mut Turn, result: Result<Route, NoRoute>) {
        match (&self.phase, result) {
            (Phase::RoutePair, Ok(route @ Route::Pair { .. })) => self.use_pair(turn, route),
            (Phase::RoutePrefill, Ok(Route::Prefill(server))) => {
                self.use_prefill_server(turn, server)
            }
            (Phase::RoutePrefill | Phase::RoutePair, Err(NoRoute::RetryBudget)) => {
                self.fail_unrouted(turn);
            }
            (Phase::RoutePrefill | Phase::RoutePair, Err(NoRoute::Quarantined)) => {
                self.fail(turn, Cause::QUARANTINED);
            }
            (Phase::RoutePrefill, _) => self.new_attempt(turn, Step::Route, Cause::NO_SERVER),
            (Phase::RoutePair, _) => self.on_no_pair(turn),
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
        if self.use_decode_server(turn, &region, &decode) {
            return;
        }
        self.abandon_previous_attempt(turn);
        self.begin_attempt(turn, region, decode, prefill);
    }

    fn begin_attempt(
        &mut self,
        turn: &mut Turn,
        region: RegionName,
        decode_server: BackendServerId,
        prefill_server: BackendServerId,
    ) {
        self.attempt = AttemptState {
            number: self.attempt.number.next(),
            region,
            decode_server,
            prefill_server,
            ..AttemptState::default()
        };
        self.start_next_step(turn);
    }

    /// Handles a route request that found no usable server. A server that failed this call may work
    /// again, and trying it is better than failing when there is no other.
    fn on_no_pair(&mut self, turn: &mut Turn) {
        if self.excluded.is_empty() || !self.can_route_again(turn) {
            self.fail_unrouted(turn);
            return;
        }
        self.excluded.clear();
        self.route_pair(turn);
    }

    /// Fails with the cause that made the route request necessary, if there was one.
    fn fail_unrouted(&mut self, turn: &mut Turn) {
        let cause = self.last_cause.unwrap_or(Cause::NO_SERVER);
        self.fail(turn, cause);
    }

    /// Continues with another prefill server. A server that this attempt has abandoned may still
    /// receive the release that was sent to it, so it is used again only by a new attempt.
    fn use_prefill_server(&mut self, turn: &mut Turn, server: BackendServerId) {
        if self.resources.is_abandoned(&server, self.attempt.number) {
            self.new_attempt(turn, Step::Route, Cause::NO_SERVER);
            return;
        }
        self.attempt.prefill_server = server;
        self.attempt.prefilled = None;
        self.attempt.message_repeat_count = 0;
        self.attempt.resume_count = 0;
        self.attempt.failed_import_count = 0;
        self.start_next_step(turn);
    }

    /// Begins the next step of the attempt.
    pub(super) fn start_next_step(&mut self, turn: &mut Turn) {
        if self.needs_reservation(turn.now) {
            self.send_reserve(turn, false);
        } else {
            self.prefill_or_open_stream(turn);
        }
    }

    fn prefill_or_open_stream(&mut self, turn: &mut Turn) {
        if self.attempt.prefilled.is_none() {
            self.send_prefill(turn, false);
        } else {
            self.open_stream(turn, false);
        }
    }

    /// Whether a decode slot has to be reserved first. When the lease expired while the prefill
    /// waited, or while this entry process was paused, the slot is reserved again before more is
    /// computed or imported.
    pub(super) fn needs_reservation(&self, now: TimeUs) -> bool {
        let has_lease = self.attempt.lease_expires_at.is_some_and(|end| now < end);
        let has_prefill = self.attempt.prefilled.is_some();
        !has_lease && (has_prefill || !self.config.prefill_first)
    }

    pub(super) fn send_reserve(&mut self, turn: &mut Turn, use_new_connection: bool) {
        let server = self.attempt.decode_server.clone();
        self.resources.record_send(&server, self.attempt.number);
        let request = self.reserve_message(turn.now);
        let deadline = turn.now + self.config.message_timeout_us;
        let send =
            self.outstanding
                .add(MessageKind::Reserve, &server, self.attempt.number, deadline);
        self.phase = Phase::Reserve(send);
        turn.push(CallAction::Send {
            send,
            server,
            request,
            use_new_connection,
        });
    }

    pub(super) fn send_prefill(&mut self, turn: &mut Turn, use_new_connection: bool) {
        let server = self.attempt.prefill_server.clone();
        self.resources.record_send(&server, self.attempt.number);
        let request = self.prefill_message(turn.now);
        let wait = self
            .prefill_estimate()
            .saturating_add(self.config.message_timeout_us);
        let send = self.outstanding.add(
            MessageKind::Prefill,
            &server,
            self.attempt.number,
            turn.now + wait,
        );
        self.phase = Phase::Prefill(send);
        turn.push(CallAction::Send {
            send,
            server,
            request,
            use_new_connection,
        });
    }

    pub(super) fn open_stream(&mut self, turn: &mut Turn, use_new_connection: bool) {
        let stream = CallStreamRef(self.stream_count);
        self.stream_count += 1;
        self.phase = Phase::Stream(OpenStream {
            stream,
            last_event_at: turn.now,
            acknowledged_at: turn.now,
        });
        turn.push(CallAction::OpenStream {
            stream,
            server: self.attempt.decode_server.clone(),
            open: self.open_message(),
            use_new_connection,
        });
    }

    pub(super) fn on_reply(&mut self, turn: &mut Turn, send: SendRef, outcome: SendOutcome) {
        let Some(message) = self.outstanding.remove(send) else {
            return;
        };
        match message.kind {
            MessageKind::Release => self.on_release_reply(turn, &message, &outcome),
            _ if self.is_current(send) => self.on_step_reply(turn, &message, outcome),
            _ => self.on_late_reply(turn, &message, &outcome),
        }
    }

    pub(super) fn is_current(&self, send: SendRef) -> bool {
        self.phase == Phase::Reserve(send) || self.phase == Phase::Prefill(send)
    }

    fn on_step_reply(&mut self, turn: &mut Turn, message: &SentMessage, outcome: SendOutcome) {
        let step = step_of(message.kind);
        if had_no_effect(&outcome) {
            self.resources
                .record_no_effect(&message.server, message.attempt);
        }
        match outcome {
            SendOutcome::Reply(reply) => self.on_step_agent_reply(turn, message, *reply),
            SendOutcome::ConnectFailed => {
                self.recover(turn, step, Cause::new(Evidence::ConnectFailed));
            }
            SendOutcome::Lost => self.on_message_lost(turn, step),
        }
    }

    fn on_step_agent_reply(&mut self, turn: &mut Turn, message: &SentMessage, reply: AgentReply) {
        match (message.kind, reply.body) {
            (MessageKind::Reserve, ReplyBody::Reserved(reserved)) => {
                self.on_reserved(turn, reserved, reply.state.incarnation);
            }
            (MessageKind::Prefill, ReplyBody::Prefilled(prefilled)) => {
                self.on_prefilled(turn, prefilled);
            }
            (kind, ReplyBody::Failed(failure)) => {
                self.recover(turn, step_of(kind), Cause::from_failure(&failure));
            }
            (kind, _) => self.recover(turn, step_of(kind), Cause::new(Evidence::EngineFailed)),
        }
    }

    fn on_reserved(&mut self, turn: &mut Turn, reserved: Reserved, incarnation: Incarnation) {
        let is_first = self.attempt.lease_expires_at.is_none();
        self.attempt.incarnation = incarnation;
        self.attempt.lease_expires_at = Some(turn.now + reserved.expires_in_us);
        self.attempt.lease_us = reserved.expires_in_us;
        // Reserving the slot again during an unresponsive prefill must not extend the repeats of
        // the prefill.
        if is_first {
            self.attempt.message_repeat_count = 0;
        }
        // The slot is used even when no time is left on its lease: an agent replies so when it
        // already decodes the attempt, and another reservation would get the same reply.
        self.prefill_or_open_stream(turn);
    }

    fn on_prefilled(&mut self, turn: &mut Turn, prefilled: Prefilled) {
        self.attempt.kv_retained_until = turn.now + prefilled.retained_for_us;
        self.attempt.prefilled = Some(prefilled);
        self.attempt.message_repeat_count = 0;
        turn.report(&self.attempt.prefill_server, None);
        self.start_next_step(turn);
    }

    /// Handles a reply to a message that the call no longer waits for. What the agent holds
    /// according to the reply is released, unless the current attempt uses the same server.
    fn on_late_reply(&mut self, turn: &mut Turn, message: &SentMessage, outcome: &SendOutcome) {
        if had_no_effect(outcome) {
            self.resources
                .record_no_effect(&message.server, message.attempt);
        }
        let SendOutcome::Reply(reply) = outcome else {
            return;
        };
        if self.resources.is_in_use(&message.server, message.attempt) {
            return;
        }
        match &reply.body {
            ReplyBody::Reserved(_) => {}
            ReplyBody::Prefilled(prefilled) => {
                self.count_wasted_prefill(turn, prefilled, Evidence::TimedOut);
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
        use_new_connection: bool,
    ) {
        if self.resources.begin_release(server, attempt) {
            self.send_release(turn, server, attempt, use_new_connection);
        }
    }

    pub(super) fn send_release(
        &mut self,
        turn: &mut Turn,
        server: &BackendServerId,
        attempt: Attempt,
        use_new_connection: bool,
    ) {
        let deadline = turn.now + self.config.message_timeout_us;
        let send = self
            .outstanding
            .add(MessageKind::Release, server, attempt, deadline);
        turn.push(CallAction::Send {
            send,
            server: server.clone(),
            request: self.release_message(attempt),
            use_new_connection,
        });
    }

    fn on_release_reply(&mut self, turn: &mut Turn, message: &SentMessage, outcome: &SendOutcome) {
        let is_released = matches!(outcome, SendOutcome::Reply(_));
        if is_released {
            self.resources
                .mark_released(&message.server, message.attempt);
        } else {
            self.on_release_lost(turn, message);
        }
    }

    pub(super) fn on_release_lost(&mut self, turn: &mut Turn, message: &SentMessage) {
        let at = turn.now + self.config.repeat_pause_us;
        let max_count = self.config.repeats_max_count;
        self.resources
            .plan_repeat(&message.server, message.attempt, at, max_count);
    }
}

/// Whether the message is proven to have had no effect.
fn had_no_effect(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::ConnectFailed => true,
        SendOutcome::Lost => false,
        SendOutcome::Reply(reply) => {
            matches!(reply.body, ReplyBody::Failed(AgentFailure::Refused(_)))
        }
    }
}

/// Step of the retry table that a message belongs to.
pub(super) fn step_of(kind: MessageKind) -> Step {
    match kind {
        MessageKind::Reserve => Step::Reserve,
        _ => Step::Prefill,
    }
}
