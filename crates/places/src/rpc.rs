//! The service that entries ask.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlead_direct_core::{ReservationReply, ReservationRequest, ReservationTable};
use cuminlead_kernel::Clock;
use cuminlead_types::{DurationUs, Slots, TimeUs, Tokens};
use cuminlead_wire::proto::places_server::Places;
use cuminlead_wire::proto::{GiveBackReply, GiveBackRequest, HoldReply, HoldRequest};
use slog::{Logger, info};
use tonic::{Request, Response, Status};

/// Longest time for which a place is held, whatever an entry asks for: a prefill of the largest
/// prompt and its transfer.
const TTL_MAX: DurationUs = DurationUs::from_ms(3_000);
/// Longest accepted id of a request.
const REQUEST_MAX_BYTES: usize = 128;

/// Ledger shared by the service and the thread that reads reports.
#[derive(Clone, Debug)]
pub struct SharedLedger(Arc<Mutex<ReservationTable>>);

impl SharedLedger {
    /// Shares a ledger.
    pub fn new(ledger: ReservationTable) -> Self {
        Self(Arc::new(Mutex::new(ledger)))
    }

    /// Ledger, for the time of one decision.
    pub fn lock(&self) -> MutexGuard<'_, ReservationTable> {
        // A ledger is whole after each of its calls, also after one that panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Service of an agent.
#[derive(Clone, Debug)]
pub struct ReservationRpc {
    ledger: SharedLedger,
    clock: Clock,
    log: Logger,
    refusals: Arc<Mutex<Refusals>>,
}

impl ReservationRpc {
    /// Service over a ledger.
    pub fn new(ledger: SharedLedger, clock: Clock, log: Logger) -> Self {
        Self {
            ledger,
            clock,
            log,
            refusals: Arc::default(),
        }
    }
}

/// Pause between lines about refused places; entries ask a full engine every few ten ms.
const REFUSAL_LINE_PAUSE: DurationUs = DurationUs::from_ms(200);

impl ReservationRpc {
    /// One line for all places refused in a while, with the newest of them.
    fn count_refusal(&self, asked: &ReservationRequest, reply: ReservationReply) {
        let now = self.clock.mono();
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.count += 1;
        if now.since(refusals.logged_at) < REFUSAL_LINE_PAUSE && refusals.is_logged {
            return;
        }
        info!(self.log, "places refused"; "count" => refusals.count, "newest" => &asked.request,
            "prompt_tokens" => asked.prompt_tokens.0, "free_tokens" => reply.free_tokens.0,
            "total_tokens" => reply.total_tokens.0);
        *refusals = Refusals {
            count: 0,
            logged_at: now,
            is_logged: true,
        };
    }
}

/// Places refused since the last line about them.
#[derive(Debug, Default)]
struct Refusals {
    count: u64,
    logged_at: TimeUs,
    is_logged: bool,
}

#[tonic::async_trait]
impl Places for ReservationRpc {
    async fn hold(&self, request: Request<HoldRequest>) -> Result<Response<HoldReply>, Status> {
        let message = request.into_inner();
        if message.request.is_empty() || message.request.len() > REQUEST_MAX_BYTES {
            return Err(Status::invalid_argument("request id"));
        }
        let asked = ReservationRequest {
            request: message.request,
            prompt_tokens: Tokens(message.prompt_tokens),
            answer_tokens: Some(Tokens(message.answer_tokens)).filter(|tokens| tokens.0 > 0),
            ttl: DurationUs(message.ttl_us).min(TTL_MAX),
            slots: Slots(message.slots),
            is_late: message.is_late,
            computes_prompt: message.computes_prompt,
        };
        let reply = self.ledger.lock().reserve_slot(self.clock.mono(), &asked);
        if reply.is_held {
            info!(self.log, "place held"; "request" => &asked.request,
                "prompt_tokens" => asked.prompt_tokens.0,
                "answer_tokens" => asked.answer_tokens.map(|tokens| tokens.0),
                "computes_prompt" => asked.computes_prompt,
                "free_tokens" => reply.free_tokens.0);
        } else {
            self.count_refusal(&asked, reply);
        }
        Ok(Response::new(HoldReply {
            is_held: reply.is_held,
            free_tokens: reply.free_tokens.0,
            total_tokens: reply.total_tokens.0,
        }))
    }

    async fn give_back(
        &self,
        request: Request<GiveBackRequest>,
    ) -> Result<Response<GiveBackReply>, Status> {
        self.ledger
            .lock()
            .release_slot(&request.into_inner().request);
        Ok(Response::new(GiveBackReply {}))
    }
}
