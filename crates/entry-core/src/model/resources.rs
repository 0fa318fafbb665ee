//! Resources that agents may hold for a call, and their release.
//!
//! A resource is recorded before the message that may allocate it is sent, because that message can
//! take effect even when its reply is lost. A resource needs no release only when every such
//! message is proven to have had no effect.

use cuminlead_types::{Attempt, BackendServerId, TimeUs};

/// What one agent may hold for one attempt: a decode slot, a sequence or a KV cache.
#[derive(Clone, Debug)]
pub(super) struct AgentResource {
    pub(super) server: BackendServerId,
    pub(super) attempt: Attempt,
    /// Messages that may have had an effect.
    possible_effect_count: u32,
    state: ResourceState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResourceState {
    /// The current attempt uses it.
    InUse,
    /// A release was sent this many times.
    Releasing(u32),
    /// The last release was lost after this many were sent, and is repeated at this time.
    RetryAt(u32, TimeUs),
    /// Released, or left to the end of its lease.
    Closed,
}

/// Resources that agents may hold for one call.
#[derive(Debug, Default)]
pub(super) struct AgentResources(Vec<AgentResource>);

impl AgentResources {
    /// Records that a message that may allocate a resource is about to be sent.
    pub(super) fn record_send(&mut self, server: &BackendServerId, attempt: Attempt) {
        if let Some(resource) = self.find(server, attempt) {
            resource.possible_effect_count += 1;
            resource.state = ResourceState::InUse;
            return;
        }
        self.0.push(AgentResource {
            server: server.clone(),
            attempt,
            possible_effect_count: 1,
            state: ResourceState::InUse,
        });
    }

    /// Notes that one message is proven to have had no effect.
    pub(super) fn record_no_effect(&mut self, server: &BackendServerId, attempt: Attempt) {
        if let Some(resource) = self.find(server, attempt) {
            resource.possible_effect_count = resource.possible_effect_count.saturating_sub(1);
        }
    }

    /// Whether the resource is in use by the current attempt.
    pub(super) fn is_in_use(&self, server: &BackendServerId, attempt: Attempt) -> bool {
        let mut resources = self.0.iter();
        resources.any(|r| r.is_for(server, attempt) && r.state == ResourceState::InUse)
    }

    /// Whether the attempt used this server and has abandoned it.
    pub(super) fn is_abandoned(&self, server: &BackendServerId, attempt: Attempt) -> bool {
        let mut resources = self.0.iter();
        resources.any(|r| r.is_for(server, attempt) && r.state != ResourceState::InUse)
    }

    pub(super) fn in_use(&self) -> Vec<AgentResource> {
        let resources = self.0.iter();
        resources
            .filter(|r| r.state == ResourceState::InUse)
            .cloned()
            .collect()
    }

    /// Marks a resource as released; no release is sent or repeated for it.
    pub(super) fn mark_released(&mut self, server: &BackendServerId, attempt: Attempt) {
        if let Some(resource) = self.find(server, attempt) {
            resource.state = ResourceState::Closed;
        }
    }

    /// Marks a resource as being released. False when the agent cannot hold anything, so that no
    /// release has to be sent.
    pub(super) fn begin_release(&mut self, server: &BackendServerId, attempt: Attempt) -> bool {
        let Some(resource) = self.find(server, attempt) else {
            return false;
        };
        if resource.possible_effect_count == 0 {
            resource.state = ResourceState::Closed;
            return false;
        }
        resource.state = ResourceState::Releasing(1);
        true
    }

    /// Plans the repeat of a lost release, with at most `max_count` repeats in all.
    pub(super) fn plan_repeat(
        &mut self,
        server: &BackendServerId,
        attempt: Attempt,
        at: TimeUs,
        max_count: u32,
    ) {
        let Some(resource) = self.find(server, attempt) else {
            return;
        };
        if let ResourceState::Releasing(count) = resource.state {
            resource.state = if count > max_count {
                ResourceState::Closed
            } else {
                ResourceState::RetryAt(count, at)
            };
        }
    }

    /// Resources whose release is to be repeated now.
    pub(super) fn take_due_repeats(&mut self, now: TimeUs) -> Vec<AgentResource> {
        let mut due = Vec::new();
        for resource in &mut self.0 {
            if let ResourceState::RetryAt(count, at) = resource.state
                && at <= now
            {
                resource.state = ResourceState::Releasing(count + 1);
                due.push(resource.clone());
            }
        }
        due
    }

    /// Earliest time of a planned repeat.
    pub(super) fn next_deadline(&self) -> Option<TimeUs> {
        let resources = self.0.iter();
        let times = resources.filter_map(|r| match r.state {
            ResourceState::RetryAt(_, at) => Some(at),
            _ => None,
        });
        times.min()
    }

    fn find(&mut self, server: &BackendServerId, attempt: Attempt) -> Option<&mut AgentResource> {
        self.0.iter_mut().find(|r| r.is_for(server, attempt))
    }
}

impl AgentResource {
    fn is_for(&self, server: &BackendServerId, attempt: Attempt) -> bool {
        self.attempt == attempt && self.server == *server
    }
}
