//! [`Admission`], and granting capacity to queued requests.

use cuminlead_protocol::{
    AgentFailure, EngineCommand, LoadReport, ModelTarget, RefusalReason, ReplyBody,
};
use cuminlead_types::{
    AttemptId, CustomerId, DurationUs, KvPieces, Priority, PromptPartId, TimeUs, Tokens,
};

use crate::action::{AdmissionAction, AdmissionRecord, CallRef, ReleaseCause, StreamMessage};
use crate::backlog::PrefillBacklog;
use crate::capacity::{Capacity, CapacityPool};
use crate::config::AdmissionConfig;
use crate::fair_share::FairShare;
use crate::inventory::UnknownSequences;
use crate::lease::{
    DecodePhase, Lease, LeaseKey, LeaseState, LeaseTable, Prefilling, ReservationLimits,
    ReservedSlot,
};
use crate::queue::{Purpose, Queue, QueuedRequest, WaitKey};
use crate::released::ReleasedAttempts;

/// Scheduling parameters of a request from the customer's plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingTerms {
    /// Priority; a request with a higher one is served first.
    pub priority: Priority,
    /// Weight in the fair share among customers.
    pub weight: u32,
}

/// Admission state of one agent: leases, queue and retained output.
#[derive(Debug)]
pub struct Admission {
    pub(crate) config: AdmissionConfig,
    pub(crate) capacity: CapacityPool,
    pub(crate) leases: LeaseTable,
    pub(crate) queue: Queue,
    pub(crate) fair_share: FairShare,
    pub(crate) backlog: PrefillBacklog,
    pub(crate) released: ReleasedAttempts,
    pub(crate) unknown_sequences: UnknownSequences,
    pub(crate) is_draining: bool,
    /// Whether the latest inventory query failed.
    pub(crate) is_engine_unresponsive: bool,
    pub(crate) advanced_to: TimeUs,
}

impl Admission {
    /// Admission without leases and queued requests.
    pub fn new(config: AdmissionConfig) -> Self {
        let total = Capacity {
            slots: config.slots,
            pieces: config.pieces,
        };
        Self {
            capacity: CapacityPool::new(total),
            leases: LeaseTable::default(),
            queue: Queue::default(),
            fair_share: FairShare::default(),
            backlog: PrefillBacklog::new(config.prefill_rate),
            released: ReleasedAttempts::new(config.lease_max_us),
            unknown_sequences: UnknownSequences::default(),
            is_draining: false,
            is_engine_unresponsive: false,
            advanced_to: TimeUs::ZERO,
            config,
        }
    }

    /// Whether the attempt is queued or has a lease.
    pub fn has_attempt(&self, id: AttemptId) -> bool {
        self.leases.find(id).is_some() || self.queue.find(id).is_some()
    }

    /// Prompt parts of a decode whose output has just begun or is to begin; `None` for other
    /// attempts.
    pub fn parts_of_begun_output(&self, now: TimeUs, id: AttemptId) -> Option<&[PromptPartId]> {
        let lease = self.leases.get(self.leases.find(id)?)?;
        match &lease.state {
            LeaseState::Decoding(decoding) if decoding.has_just_begun(now) => {
                Some(&lease.prompt_parts)
            }
            _ => None,
        }
    }

    /// Whether there are no queued requests, leases and retained outputs.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue.is_empty()
    }

    /// Total capacity of the engine.
    pub fn total(&self) -> Capacity {
        self.capacity.total()
    }

    /// Allocated capacity of the engine.
    pub fn used(&self) -> Capacity {
        self.capacity.used()
    }

    /// Load report of the engine at `now`.
    pub fn load(&self, now: TimeUs) -> LoadReport {
        let free = self.capacity.free();
        LoadReport {
            free_slots: free.slots,
            free_pieces: free.pieces,
            running_count: self.capacity.used().slots.0,
            queued_count: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            pending_prompt_tokens: self.pending_prompt_tokens(now),
            oldest_stall_us: self.oldest_stall_us(now),
        }
    }

    /// Stops accepting requests: queued requests are refused, existing leases continue.
    pub fn drain(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.advance(now, actions);
        self.is_draining = true;
        self.refuse_all_waiting(RefusalReason::Draining, actions);
    }

    /// Models and adapters of the attempts that have capacity allocated, one item per attempt.
    pub fn targets_in_use(&self) -> impl Iterator<Item = &ModelTarget> {
        let leases = self.leases.iter().map(|(_, lease)| lease);
        let holding = leases.filter(|lease| lease.allocated != Capacity::default());
        holding.map(|lease| &lease.target)
    }

    /// Refuses each queued request for which `check` returns a reason.
    ///
    /// The caller uses this after new lists or a new inventory.
    pub fn recheck_queue(
        &mut self,
        now: TimeUs,
        check: impl Fn(&QueuedRequest) -> Option<RefusalReason>,
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
            .filter_map(|(_, lease)| lease.last_progress_at());
        stalls.map(|at| now.since(at)).max().unwrap_or_default()
    }

    /// Grants capacity to queued requests in order, until the first one does not fit.
    pub(crate) fn grant(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        while let Some(key) = self.first_if_it_fits(now) {
            let Some(waiting) = self.queue.remove(key) else {
                return;
            };
            let cost_tokens = waiting.cost_tokens();
            let is_allocated = self.capacity.allocate(waiting.required);
            debug_assert!(is_allocated, "only a request that fits is granted");
            self.fair_share
                .charge(&waiting.customer, cost_tokens, waiting.weight);
            self.start(now, waiting, actions);
        }
    }

    fn first_if_it_fits(&self, now: TimeUs) -> Option<WaitKey> {
        let key = self.queue.first(now, &self.fair_share, &self.backlog)?;
        let required = self.queue.get(key)?.required;
        self.capacity.has_free(required).then_some(key)
    }

    fn start(
        &mut self,
        now: TimeUs,
        mut waiting: QueuedRequest,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let state = match &mut waiting.purpose {
            Purpose::Prefill { prompt } => {
                let prompt = std::mem::take(prompt);
                self.start_prefill(now, &waiting, prompt, actions)
            }
            Purpose::Reserve {
                lease_us,
                output_max_tokens,
            } => {
                let limits = ReservationLimits {
                    lease_us: *lease_us,
                    output_max_tokens: *output_max_tokens,
                };
                self.start_reservation(now, &waiting, limits, actions)
            }
        };
        self.leases.insert(Lease {
            id: waiting.id,
            customer: waiting.customer,
            owner: waiting.owner,
            target: waiting.target,
            priority: waiting.priority,
            prompt_tokens: waiting.prompt_tokens,
            prompt_parts: waiting.prompt_parts,
            allocated: waiting.required,
            missed_inventories_count: 0,
            state,
        });
    }

    fn start_prefill(
        &mut self,
        now: TimeUs,
        waiting: &QueuedRequest,
        prompt: String,
        actions: &mut Vec<AdmissionAction>,
    ) -> LeaseState {
        self.backlog.add_prompt(now, waiting.prompt_tokens);
        actions.push(AdmissionAction::Engine(EngineCommand::Prefill {
            id: waiting.id,
            target: waiting.target.clone(),
            priority: waiting.priority,
            prompt,
        }));
        LeaseState::Prefilling(Prefilling {
            calls: waiting.calls.clone(),
            started_at: now,
            expires_at: waiting.last_contact_at + self.config.no_contact_max_us(),
            unattended_since: None,
        })
    }

    fn start_reservation(
        &self,
        now: TimeUs,
        waiting: &QueuedRequest,
        limits: ReservationLimits,
        actions: &mut Vec<AdmissionAction>,
    ) -> LeaseState {
        // The time in the queue counts too: the entry may have failed after its last message.
        let latest_expiry = waiting.last_contact_at + self.config.lease_max_us;
        let expires_at = (now + limits.lease_us).min(latest_expiry);
        for call in &waiting.calls {
            let body = crate::arrival::reserved_body(now, expires_at);
            actions.push(AdmissionAction::Reply { call: *call, body });
        }
        LeaseState::Reserved(ReservedSlot {
            limits,
            expires_at,
            has_failed_import: false,
        })
    }

    /// Releases a lease and its capacity; the caller then calls [`Self::grant`].
    pub(crate) fn release_lease(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        cause: ReleaseCause,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        self.capacity.release(lease.allocated);
        if lease.is_in_engine() {
            let id = lease.id;
            actions.push(AdmissionAction::Engine(EngineCommand::Cancel { id }));
        }
        let wasted_prefill_tokens = self.wasted_prefill_tokens(now, &lease, cause);
        if matches!(lease.state, LeaseState::Prefilling(_)) {
            self.backlog.remove_prompt(now, lease.prompt_tokens);
        }
        Self::notify_entry(&lease, cause, actions);
        actions.push(AdmissionAction::Record(AdmissionRecord::Released {
            id: lease.id,
            cause,
            wasted_prefill_tokens,
        }));
    }

    fn notify_entry(lease: &Lease, cause: ReleaseCause, actions: &mut Vec<AdmissionAction>) {
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

    /// Prompt tokens whose computation is discarded with the lease.
    ///
    /// The KV cache of a failed transfer is counted by the prefill agent when its retention period
    /// ends. A released KV cache counts as used, because the entry releases it after the import.
    fn wasted_prefill_tokens(&self, now: TimeUs, lease: &Lease, cause: ReleaseCause) -> Tokens {
        match &lease.state {
            LeaseState::Prefilling(prefilling) => {
                let run_us = now.since(prefilling.started_at);
                self.backlog.tokens_in(run_us).min(lease.prompt_tokens)
            }
            LeaseState::Prefilled(kv) if cause != ReleaseCause::Imported => {
                kv.prompt_tokens.saturating_sub(kv.cached_tokens)
            }
            LeaseState::Decoding(decoding) if decoding.phase == DecodePhase::Generating => {
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

    /// Sets the total KV pieces that the engine reports; a report of zero is ignored.
    ///
    /// Requests that can no longer fit are refused, because they would block the queue.
    pub(crate) fn set_total_pieces(
        &mut self,
        reported: KvPieces,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if reported == KvPieces::ZERO {
            return;
        }
        let total = reported.min(self.config.pieces);
        self.capacity.set_total_pieces(total);
        let waiting = self.queue.iter();
        let too_large =
            waiting.filter(|(_, waiting)| !self.capacity.can_ever_fit(waiting.required));
        let keys: Vec<WaitKey> = too_large.map(|(key, _)| key).collect();
        for key in keys {
            self.refuse_waiting(key, RefusalReason::TooLarge, actions);
        }
    }
}
