//! [`Admission`], and granting capacity to queued requests.

use cuminlead_protocol::{
    AgentFailure, EngineCommand, LoadReport, ModelTarget, RefusalReason, ReplyBody,
};
use cuminlead_types::{AttemptId, CustomerId, DurationUs, KvPieces, Priority, TimeUs, Tokens};

use crate::action::{AdmissionAction, AdmissionRecord, CallRef, ReleaseCause, StreamMessage};
use crate::config::AdmissionConfig;
use crate::estimate::Backlog;
use crate::fair::FairShare;
use crate::inventory::UnknownSequences;
use crate::lease::{
    Lease, LeaseKey, LeaseState, LeaseTable, Phase, Prefilling, ReserveTerms, ReservedSlot,
};
use crate::ledger::{Capacity, Ledger};
use crate::queue::{Purpose, Queue, WaitKey, Waiting};
use crate::released::ReleasedAttempts;

/// What the customer's plan gives for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingTerms {
    /// Priority.
    pub priority: Priority,
    /// Weight in the fair share among customers.
    pub weight: u32,
}

/// Leases, queue and retained output of one agent.
#[derive(Debug)]
pub struct Admission {
    pub(crate) config: AdmissionConfig,
    pub(crate) ledger: Ledger,
    pub(crate) leases: LeaseTable,
    pub(crate) queue: Queue,
    pub(crate) fair: FairShare,
    pub(crate) backlog: Backlog,
    pub(crate) released: ReleasedAttempts,
    pub(crate) unknown: UnknownSequences,
    pub(crate) is_draining: bool,
    /// Whether the engine did not answer when it was last asked for its inventory.
    pub(crate) is_engine_silent: bool,
    pub(crate) advanced_to: TimeUs,
}

impl Admission {
    /// Context that holds nothing.
    pub fn new(config: AdmissionConfig) -> Self {
        let total = Capacity {
            slots: config.slots,
            pieces: config.pieces,
        };
        Self {
            ledger: Ledger::new(total),
            leases: LeaseTable::default(),
            queue: Queue::default(),
            fair: FairShare::default(),
            backlog: Backlog::new(config.prefill_rate),
            released: ReleasedAttempts::new(config.lease_max_us),
            unknown: UnknownSequences::default(),
            is_draining: false,
            is_engine_silent: false,
            advanced_to: TimeUs::ZERO,
            config,
        }
    }

    /// Whether the attempt waits or holds something here.
    pub fn has_attempt(&self, id: AttemptId) -> bool {
        self.leases.find(id).is_some() || self.queue.find(id).is_some()
    }

    /// Whether nothing waits, is held or is retained.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue.is_empty()
    }

    /// Capacity in all.
    pub fn total(&self) -> Capacity {
        self.ledger.total()
    }

    /// Capacity in use.
    pub fn used(&self) -> Capacity {
        self.ledger.used()
    }

    /// Load for the agent's state.
    pub fn load(&self, now: TimeUs) -> LoadReport {
        let free = self.ledger.free();
        LoadReport {
            free_slots: free.slots,
            free_pieces: free.pieces,
            running_count: self.ledger.used().slots.0,
            queued_count: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            pending_prompt_tokens: self.pending_prompt_tokens(now),
            oldest_stall_us: self.oldest_stall_us(now),
        }
    }

    /// Takes no new work from now on; what waits is refused, what is held goes on.
    pub fn drain(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.advance(now, actions);
        self.is_draining = true;
        self.refuse_all_waiting(RefusalReason::Draining, actions);
    }

    /// Models of the attempts that hold capacity of the engine.
    pub fn held_targets(&self) -> impl Iterator<Item = &ModelTarget> {
        let leases = self.leases.iter().map(|(_, lease)| lease);
        let holding = leases.filter(|lease| lease.held != Capacity::default());
        holding.map(|lease| &lease.target)
    }

    /// Refuses each waiting request for which `check` gives a reason, after new lists.
    pub fn recheck_waiting(
        &mut self,
        now: TimeUs,
        check: impl Fn(&Waiting) -> Option<RefusalReason>,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        let refused: Vec<(WaitKey, RefusalReason)> = self
            .queue
            .iter()
            .filter_map(|(key, waiting)| Some((key, check(waiting)?)))
            .collect();
        for (key, reason) in refused {
            self.refuse_waiting(key, reason, actions);
        }
        self.grant(now, actions);
    }

    fn pending_prompt_tokens(&self, now: TimeUs) -> Tokens {
        let waiting = self.queue.iter().map(|(_, waiting)| match waiting.purpose {
            Purpose::Prefill { .. } => waiting.prompt_tokens,
            Purpose::Reserve { .. } => Tokens::ZERO,
        });
        waiting.sum::<Tokens>() + self.backlog.pending_tokens(now)
    }

    fn oldest_stall_us(&self, now: TimeUs) -> DurationUs {
        let stalls = self
            .leases
            .iter()
            .filter_map(|(_, lease)| lease.progress_at());
        stalls.map(|at| now.since(at)).max().unwrap_or_default()
    }

    /// Grants places in order until the first request does not fit.
    pub(crate) fn grant(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        while let Some(key) = self.first_that_fits(now) {
            let Some(waiting) = self.queue.remove(key) else {
                return;
            };
            let cost_tokens = waiting.cost_tokens();
            let is_taken = self.ledger.take(waiting.need);
            debug_assert!(is_taken, "only a request that fits is granted");
            self.fair
                .charge(&waiting.customer, cost_tokens, waiting.weight);
            self.start(now, waiting, actions);
        }
    }

    fn first_that_fits(&self, now: TimeUs) -> Option<WaitKey> {
        let key = self.queue.first(now, &self.fair, &self.backlog)?;
        let need = self.queue.get(key)?.need;
        self.ledger.has_free(need).then_some(key)
    }

    fn start(&mut self, now: TimeUs, mut waiting: Waiting, actions: &mut Vec<AdmissionAction>) {
        let state = match &mut waiting.purpose {
            Purpose::Prefill { prompt } => {
                let prompt = std::mem::take(prompt);
                self.start_prefill(now, &waiting, prompt, actions)
            }
            Purpose::Reserve {
                lease_us,
                output_max_tokens,
            } => {
                let terms = ReserveTerms {
                    lease_us: *lease_us,
                    output_max_tokens: *output_max_tokens,
                };
                self.start_reserved(now, &waiting, terms, actions)
            }
        };
        self.leases.insert(Lease {
            id: waiting.id,
            customer: waiting.customer,
            owner: waiting.owner,
            target: waiting.target,
            priority: waiting.priority,
            prompt_tokens: waiting.prompt_tokens,
            held: waiting.need,
            missed_inventories_count: 0,
            state,
        });
    }

    fn start_prefill(
        &mut self,
        now: TimeUs,
        waiting: &Waiting,
        prompt: String,
        actions: &mut Vec<AdmissionAction>,
    ) -> LeaseState {
        self.backlog.started(now, waiting.prompt_tokens);
        actions.push(AdmissionAction::Engine(EngineCommand::Prefill {
            id: waiting.id,
            target: waiting.target.clone(),
            priority: waiting.priority,
            prompt,
        }));
        LeaseState::Prefilling(Prefilling {
            calls: waiting.calls.clone(),
            started_at: now,
            until: waiting.heard_at + self.config.silent_max_us(),
            unattended_since: None,
        })
    }

    fn start_reserved(
        &self,
        now: TimeUs,
        waiting: &Waiting,
        terms: ReserveTerms,
        actions: &mut Vec<AdmissionAction>,
    ) -> LeaseState {
        // The time in the queue counts too: the entry may be gone since it asked.
        let latest = waiting.heard_at + self.config.lease_max_us;
        let until = (now + terms.lease_us).min(latest);
        for call in &waiting.calls {
            let body = crate::arrival::reserved_body(now, until);
            actions.push(AdmissionAction::Reply { call: *call, body });
        }
        LeaseState::Reserved(ReservedSlot {
            terms,
            until,
            has_failed_import: false,
        })
    }

    /// Frees a lease and everything that it holds; the caller grants afterwards.
    pub(crate) fn free(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        cause: ReleaseCause,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        self.ledger.give(lease.held);
        if lease.is_in_engine() {
            let id = lease.id;
            actions.push(AdmissionAction::Engine(EngineCommand::Cancel { id }));
        }
        let wasted_prefill_tokens = self.wasted_tokens(now, &lease, cause);
        if matches!(lease.state, LeaseState::Prefilling(_)) {
            self.backlog.ended(now, lease.prompt_tokens);
        }
        Self::tell_entry(&lease, cause, actions);
        actions.push(AdmissionAction::Record(AdmissionRecord::Released {
            id: lease.id,
            cause,
            wasted_prefill_tokens,
        }));
    }

    fn tell_entry(lease: &Lease, cause: ReleaseCause, actions: &mut Vec<AdmissionAction>) {
        let failure = match cause {
            ReleaseCause::EngineFailed => AgentFailure::EngineFailed,
            ReleaseCause::TransferFailed => AgentFailure::TransferFailed,
            _ => AgentFailure::Cancelled,
        };
        if let LeaseState::Prefilling(prefilling) = &lease.state {
            for call in &prefilling.calls {
                let body = ReplyBody::Failed(failure.clone());
                actions.push(AdmissionAction::Reply { call: *call, body });
            }
        }
        let Some(stream) = lease.stream() else {
            return;
        };
        if cause != ReleaseCause::Finished {
            let message = StreamMessage::Failed(failure);
            actions.push(AdmissionAction::Send { stream, message });
        }
        actions.push(AdmissionAction::CloseStream { stream });
    }

    /// Prompt tokens whose computation is lost with the lease.
    ///
    /// The cache of a failed transfer counts at the prefill agent, where its hold ends. A released
    /// cache counts as used because the release follows the import.
    fn wasted_tokens(&self, now: TimeUs, lease: &Lease, cause: ReleaseCause) -> Tokens {
        match &lease.state {
            LeaseState::Prefilling(prefilling) => {
                let run_us = now.since(prefilling.started_at);
                self.backlog.tokens_in(run_us).min(lease.prompt_tokens)
            }
            LeaseState::Prefilled(kv) if cause != ReleaseCause::Imported => {
                kv.prompt_tokens.saturating_sub(kv.cached_tokens)
            }
            LeaseState::Decoding(decoding) if decoding.phase == Phase::Generating => {
                lease.prompt_tokens
            }
            _ => Tokens::ZERO,
        }
    }

    pub(crate) fn refuse(
        id: AttemptId,
        customer: &CustomerId,
        calls: &[CallRef],
        reason: RefusalReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        for call in calls {
            let body = ReplyBody::Failed(AgentFailure::Refused(reason));
            actions.push(AdmissionAction::Reply { call: *call, body });
        }
        let customer = customer.clone();
        actions.push(AdmissionAction::Record(AdmissionRecord::Refused {
            id,
            customer,
            reason,
        }));
    }

    pub(crate) fn refuse_waiting(
        &mut self,
        key: WaitKey,
        reason: RefusalReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if let Some(waiting) = self.queue.remove(key) {
            Self::refuse(
                waiting.id,
                &waiting.customer,
                &waiting.calls,
                reason,
                actions,
            );
        }
    }

    pub(crate) fn refuse_all_waiting(
        &mut self,
        reason: RefusalReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let keys: Vec<WaitKey> = self.queue.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.refuse_waiting(key, reason, actions);
        }
    }

    /// Takes the KV pieces that the engine reports; what can never fit any more is refused, because
    /// it would block the queue.
    pub(crate) fn set_total_pieces(
        &mut self,
        reported: KvPieces,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if reported == KvPieces::ZERO {
            return;
        }
        let total = reported.min(self.config.pieces);
        self.ledger.set_total_pieces(total);
        let waiting = self.queue.iter();
        let too_large = waiting.filter(|(_, waiting)| !self.ledger.can_ever_fit(waiting.need));
        let keys: Vec<WaitKey> = too_large.map(|(key, _)| key).collect();
        for key in keys {
            self.refuse_waiting(key, RefusalReason::TooLarge, actions);
        }
    }
}
