//! Issues, starts, voids and records the permits of one agent.
//!
//! The safety of non-idempotent calls depends on these rules:
//!
//! - A permit starts only from the state `Issued`, before it expires, and at the incarnation that
//!   issued it.
//! - A query for a permit that has not started voids it, so the reply "not run" stays true.
//! - A key maps to one permit at a time. Before the retention period has passed, only a voided
//!   permit releases its key.
//! - A permit whose outcome is not known is reported as *unknown*, never as *voided*.

use cuminlead_lists::{Lists, ServerAssignment};
use cuminlead_protocol::{
    AgentFailure, HttpResponse, IssuePermit, PermitIssued, PermitOutcome, RefusalReason, ReplyBody,
    RunCall,
};
use cuminlead_types::{DurationUs, Now, PermitId, ServiceName, TimeUs};

use crate::config::PermitsConfig;
use crate::history::OwnershipHistory;
use crate::owner::{KeyId, owner_of};
use crate::table::{PermitRecord, PermitState, PermitTable};

/// Result of forwarding a call under a permit to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The service responded.
    Answered(HttpResponse),
    /// The call was not sent because no connection could be made, so the service did not run it.
    NotSent,
    /// The connection was lost after the call was sent, so the call may have run.
    Lost,
}

/// Permits and idempotency keys of one agent.
#[derive(Clone, Debug)]
pub struct Permits {
    config: PermitsConfig,
    history: OwnershipHistory,
    table: PermitTable,
    voided: Vec<PermitId>,
}

impl Permits {
    /// State of an incarnation that starts at `now`, without permits.
    pub fn new(now: Now, config: PermitsConfig) -> Self {
        Self {
            config,
            history: OwnershipHistory::new(now),
            table: PermitTable::default(),
            voided: Vec::new(),
        }
    }

    /// Records lists that took effect.
    pub fn apply_lists(&mut self, now: Now, lists: &Lists) {
        let service = self.own_service(lists);
        self.history.apply(now, lists, service);
    }

    /// Records that the configuration service or a peer confirmed the lists in effect as newest.
    pub fn confirm_lists(&mut self, now: TimeUs) {
        self.history.confirm(now);
    }

    /// Issues a permit, or replies from the record of the key.
    ///
    /// `lists` are the lists in effect, which the caller has passed to [`Permits::apply_lists`].
    pub fn issue(&mut self, now: Now, lists: &Lists, message: &IssuePermit) -> ReplyBody {
        self.expire(now.mono_us);
        if self.own_service(lists) != Some(&message.service) {
            return refused(RefusalReason::NotServed);
        }
        let key = key_id(message);
        if let Some(key) = &key
            && let Some(reply) = self.reply_for_key(now, lists, message, key)
        {
            return reply;
        }
        if !self.table.evict_for_insert(self.config.record_max_count) {
            return refused(RefusalReason::QueueFull);
        }
        self.insert(now.mono_us, message, key)
    }

    /// Marks the permit of a call as running; the caller then forwards the call once.
    ///
    /// # Errors
    ///
    /// `PermitMissing` if the message has no permit. `PermitInvalid` if the permit is unknown,
    /// expired or already used, or was issued by another incarnation or for another request,
    /// customer or service.
    pub fn start(&mut self, now: TimeUs, message: &RunCall) -> Result<PermitId, RefusalReason> {
        self.expire(now);
        let permit = message.permit.ok_or(RefusalReason::PermitMissing)?;
        let record = self
            .record(permit)
            .filter(|record| record.state == PermitState::Issued)
            .filter(|record| is_issued_for(record, message))
            .ok_or(RefusalReason::PermitInvalid)?;
        debug_assert!(record.expires_at.is_some_and(|expires_at| now < expires_at));
        self.table
            .set_state(permit.number, PermitState::Running, None);
        Ok(permit)
    }

    /// Records the result of a call and returns the outcome of its permit.
    ///
    /// A second result, or a result for a permit that has not started, changes nothing.
    pub fn finish(&mut self, now: TimeUs, permit: PermitId, outcome: &RunOutcome) -> PermitOutcome {
        let Some(record) = self.record(permit) else {
            return PermitOutcome::Unknown;
        };
        if record.state != PermitState::Running {
            return outcome_of(&record.state);
        }
        let state = state_after_run(outcome);
        let permit_outcome = outcome_of(&state);
        if state == PermitState::Voided {
            self.void(now, permit.number);
        } else {
            let expires_at = now + self.retention_us(record);
            self.table.set_state(permit.number, state, Some(expires_at));
            self.table
                .trim_responses(self.config.retained_max_bytes.get());
        }
        permit_outcome
    }

    /// Replies with the outcome of a permit; a permit that has not started is voided.
    pub fn query(&mut self, now: TimeUs, permit: PermitId) -> ReplyBody {
        self.expire(now);
        let state = self.record(permit).map(|record| &record.state);
        if state == Some(&PermitState::Issued) {
            self.void(now, permit.number);
        }
        let outcome = self
            .record(permit)
            .map_or(PermitOutcome::Unknown, |record| outcome_of(&record.state));
        ReplyBody::PermitOutcome(outcome)
    }

    /// Voids expired permits, and drops records whose retention period has ended.
    pub fn expire(&mut self, now: TimeUs) {
        while let Some(expiry) = self.table.first_expired(now) {
            let state = self.table.get(expiry.number).map(|record| &record.state);
            if state == Some(&PermitState::Issued) {
                self.void(expiry.at, expiry.number);
            } else {
                self.table.remove(expiry.number);
            }
        }
    }

    /// Time at which [`Permits::expire`] next has an effect, if any.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        self.table.next_deadline()
    }

    /// Permits voided since the last call of this function, for logs and metrics.
    pub fn take_voided(&mut self) -> Vec<PermitId> {
        std::mem::take(&mut self.voided)
    }

    /// Number of permits that are issued and not used yet.
    pub fn issued_count(&self) -> usize {
        self.table.issued_count()
    }

    /// Number of permits whose calls are running.
    pub fn running_count(&self) -> usize {
        self.table.running_count()
    }

    /// Bytes of retained responses.
    pub fn retained_bytes(&self) -> u64 {
        self.table.retained_bytes()
    }

    fn own_service<'a>(&self, lists: &'a Lists) -> Option<&'a ServiceName> {
        match &lists.servers.get(&self.config.server)?.assignment {
            ServerAssignment::Service(service) => Some(service),
            ServerAssignment::Engine(_) => None,
        }
    }

    /// Reply to a message with a key; `None` if it gets a new permit.
    fn reply_for_key(
        &mut self,
        now: Now,
        lists: &Lists,
        message: &IssuePermit,
        key: &KeyId,
    ) -> Option<ReplyBody> {
        let owner = owner_of(key, lists.servers_of_service(&key.service));
        if owner != Some(&self.config.server) {
            return Some(refused(RefusalReason::NotOwner));
        }
        if !self.history.is_confirmed(now.mono_us, &self.config) {
            return Some(refused(RefusalReason::ListsUnconfirmed));
        }
        let Some(number) = self.table.number_of_key(key) else {
            let issued_at = message.key_issued_at_ms;
            let may_have_run = self.history.may_have_run(now, issued_at, &self.config);
            return may_have_run.then_some(ReplyBody::KeyUnknown);
        };
        self.reply_for_record(now.mono_us, message, number)
    }

    fn reply_for_record(
        &mut self,
        now: TimeUs,
        message: &IssuePermit,
        number: u64,
    ) -> Option<ReplyBody> {
        let record = self.table.get(number)?;
        match &record.state {
            PermitState::Done(http) => Some(ReplyBody::KeyReplayed(http.clone())),
            PermitState::Unknown => Some(ReplyBody::KeyUnknown),
            PermitState::Issued if record.request == message.envelope.id.request => {
                // The entry repeats its message because the reply was lost. The earlier permit is
                // voided, so that only the new one can start the call.
                self.void(now, number);
                None
            }
            PermitState::Issued | PermitState::Running => Some(ReplyBody::KeyRunning),
            PermitState::Voided => None,
        }
    }

    fn insert(&mut self, now: TimeUs, message: &IssuePermit, key: Option<KeyId>) -> ReplyBody {
        let expires_in_us = self.config.permit_ttl_us;
        let number = self.table.insert(PermitRecord {
            request: message.envelope.id.request,
            customer: message.envelope.customer.clone(),
            service: message.service.clone(),
            key: key.map(|key| key.key),
            state: PermitState::Issued,
            expires_at: Some(now + expires_in_us),
        });
        let permit = self.permit_id(number);
        ReplyBody::PermitIssued(PermitIssued {
            permit,
            expires_in_us,
        })
    }

    fn void(&mut self, now: TimeUs, number: u64) {
        let expires_at = now + self.config.outcome_retention_us;
        self.table
            .set_state(number, PermitState::Voided, Some(expires_at));
        self.voided.push(self.permit_id(number));
    }

    fn permit_id(&self, number: u64) -> PermitId {
        PermitId {
            incarnation: self.config.incarnation,
            number,
        }
    }

    fn record(&self, permit: PermitId) -> Option<&PermitRecord> {
        if permit.incarnation != self.config.incarnation {
            return None;
        }
        self.table.get(permit.number)
    }

    fn retention_us(&self, record: &PermitRecord) -> DurationUs {
        match record.key {
            Some(_) => self.config.key_retention_us,
            None => self.config.outcome_retention_us,
        }
    }
}

fn key_id(message: &IssuePermit) -> Option<KeyId> {
    Some(KeyId {
        customer: message.envelope.customer.clone(),
        service: message.service.clone(),
        key: message.key.clone()?,
    })
}

fn is_issued_for(record: &PermitRecord, message: &RunCall) -> bool {
    record.request == message.envelope.id.request
        && record.customer == message.envelope.customer
        && record.service == message.service
}

fn state_after_run(outcome: &RunOutcome) -> PermitState {
    match outcome {
        RunOutcome::Answered(http) => PermitState::Done(http.clone()),
        RunOutcome::NotSent => PermitState::Voided,
        RunOutcome::Lost => PermitState::Unknown,
    }
}

fn outcome_of(state: &PermitState) -> PermitOutcome {
    match state {
        PermitState::Issued | PermitState::Running => PermitOutcome::Running,
        PermitState::Done(http) => PermitOutcome::Done(http.clone()),
        PermitState::Unknown => PermitOutcome::Unknown,
        PermitState::Voided => PermitOutcome::Voided,
    }
}

fn refused(reason: RefusalReason) -> ReplyBody {
    ReplyBody::Failed(AgentFailure::Refused(reason))
}
