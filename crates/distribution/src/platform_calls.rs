//! Calls to the platform.
//!
//! Each call is one action, whether the platform may delay its response or not, so the rate of
//! calls is decided in this module alone.

use cuminlead_types::{DurationUs, Revision, TimeUs};
use rand::RngExt;
use rand::rngs::StdRng;
use strum::IntoEnumIterator;

use crate::action::{Action, PublishedResource};
use crate::event::{PlatformCallRef, Revisions};
use crate::limits::{
    CALL_TIMEOUT, HOSTS_QUERY_JITTER_MAX, HOSTS_READ_INTERVAL, QUERY_INTERVAL_MIN,
    QUERY_JITTER_MAX, WATCH_INTERVAL_MIN, WATCH_RETRY_DELAY, WATCH_WAIT,
};

/// Calls of one process to the platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformCalls {
    lists: ResourceCalls,
    hosts: ResourceCalls,
    next_call: u64,
}

/// Calls for one resource, of which at most one is in flight.
#[derive(Debug, Default)]
struct ResourceCalls {
    call: Option<Call>,
    next_watch_at: TimeUs,
    is_watching: bool,
    query_at: Option<TimeUs>,
    queried_at: Option<TimeUs>,
    /// End of the jitter of the last query, over which the queries of many processes spread when
    /// they lose the same peers.
    jitter_ends_at: TimeUs,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: PlatformCallRef,
    sent_at: TimeUs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlatformCallOutcome {
    Answered,
    Failed,
}

/// Call that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FinishedCall {
    pub(crate) resource: PublishedResource,
    /// The response was created after this time.
    pub(crate) sent_at: TimeUs,
}

impl PlatformCalls {
    fn calls(&mut self, resource: PublishedResource) -> &mut ResourceCalls {
        match resource {
            PublishedResource::Lists => &mut self.lists,
            PublishedResource::Hosts => &mut self.hosts,
        }
    }

    /// Starts or stops watching a resource.
    pub(crate) fn set_watching(
        &mut self,
        resource: PublishedResource,
        is_watching: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.is_watching(resource) && !is_watching {
            self.stop_call(resource, actions);
        }
        self.calls(resource).is_watching = is_watching;
    }

    pub(crate) fn is_watching(&self, resource: PublishedResource) -> bool {
        match resource {
            PublishedResource::Lists => self.lists.is_watching,
            PublishedResource::Hosts => self.hosts.is_watching,
        }
    }

    fn stop_call(&mut self, resource: PublishedResource, actions: &mut Vec<Action>) {
        if let Some(call) = self.calls(resource).call.take() {
            actions.push(Action::StopPlatformCall { call: call.id });
        }
    }

    /// Schedules queries for both resources at the next step, regardless of the query interval;
    /// only at startup.
    pub(crate) fn query_at_startup(&mut self, now: TimeUs) {
        for resource in PublishedResource::iter() {
            self.calls(resource).query_at = Some(now);
        }
    }

    /// Schedules a query after a jitter and not before the query interval has passed. Queries for
    /// the lists wait until those for the host list are over, as both together would exceed the
    /// call rate of the platform. The longest jitter for the lists exceeds that for the host list,
    /// so part of it is left.
    pub(crate) fn request_query(
        &mut self,
        now: TimeUs,
        resource: PublishedResource,
        rng: &mut StdRng,
    ) {
        let start = match resource {
            PublishedResource::Lists => self.hosts.jitter_ends_at.max(now),
            PublishedResource::Hosts => now,
        };
        let calls = self.calls(resource);
        if calls.query_at.is_some() || calls.is_watching {
            return;
        }
        let end = now + query_jitter_max(resource);
        let jitter = DurationUs(rng.random_range(0..end.since(start).get()));
        let earliest = calls.queried_at.map(|at| at + QUERY_INTERVAL_MIN);
        let earliest = earliest.unwrap_or_default();
        if earliest <= start {
            calls.jitter_ends_at = end;
        }
        calls.query_at = Some((start + jitter).max(earliest));
    }

    /// Cancels a query that was not sent yet.
    pub(crate) fn cancel_query(&mut self, resource: PublishedResource) {
        self.calls(resource).query_at = None;
    }

    /// Whether a query is scheduled or any call is in flight.
    pub(crate) fn is_query_pending(&self) -> bool {
        let mut all_calls = [&self.lists, &self.hosts].into_iter();
        all_calls.any(|calls| calls.query_at.is_some() || calls.call.is_some())
    }

    /// Handles the end of a call; returns `None` if the call is no longer in flight.
    pub(crate) fn finish(
        &mut self,
        now: TimeUs,
        id: PlatformCallRef,
        outcome: PlatformCallOutcome,
    ) -> Option<FinishedCall> {
        let resource = PublishedResource::iter().find(|resource| {
            let call = self.calls(*resource).call;
            call.is_some_and(|call| call.id == id)
        })?;
        let calls = self.calls(resource);
        let call = calls.call.take()?;
        calls.next_watch_at = match outcome {
            PlatformCallOutcome::Answered => call.sent_at + watch_interval(resource),
            PlatformCallOutcome::Failed => now + WATCH_RETRY_DELAY,
        };
        let finished = FinishedCall {
            resource,
            sent_at: call.sent_at,
        };
        Some(finished)
    }

    /// Sends the calls that are due. `known` contains the revisions that need not be sent again,
    /// `active` those from which a delta may start.
    pub(crate) fn step(
        &mut self,
        now: TimeUs,
        known: Revisions,
        active: Revisions,
        actions: &mut Vec<Action>,
    ) {
        for resource in PublishedResource::iter() {
            self.expire(now, resource, actions);
            let calls = self.calls(resource);
            if calls.is_watching {
                calls.query_at = None;
                self.watch(now, resource, known, active, actions);
            } else if calls.query_at.is_some_and(|at| now >= at) {
                calls.query_at = None;
                calls.queried_at = Some(now);
                self.query(now, resource, known, active, actions);
            }
        }
    }

    fn expire(&mut self, now: TimeUs, resource: PublishedResource, actions: &mut Vec<Action>) {
        let calls = self.calls(resource);
        if calls
            .call
            .is_some_and(|call| now.since(call.sent_at) > CALL_TIMEOUT)
        {
            calls.next_watch_at = now;
            self.stop_call(resource, actions);
        }
    }

    fn watch(
        &mut self,
        now: TimeUs,
        resource: PublishedResource,
        known: Revisions,
        active: Revisions,
        actions: &mut Vec<Action>,
    ) {
        let calls = self.calls(resource);
        if calls.call.is_some() || now < calls.next_watch_at {
            return;
        }
        actions.push(Action::WatchPlatform {
            call: self.begin(now, resource),
            resource,
            after: revision_of(known, resource),
            active_revision: revision_of(active, resource),
            wait: watch_wait(resource),
        });
    }

    fn query(
        &mut self,
        now: TimeUs,
        resource: PublishedResource,
        known: Revisions,
        active: Revisions,
        actions: &mut Vec<Action>,
    ) {
        self.stop_call(resource, actions);
        actions.push(Action::QueryPlatform {
            call: self.begin(now, resource),
            resource,
            after: revision_of(known, resource),
            active_revision: revision_of(active, resource),
        });
    }

    fn begin(&mut self, now: TimeUs, resource: PublishedResource) -> PlatformCallRef {
        self.next_call += 1;
        let id = PlatformCallRef(self.next_call);
        let calls = self.calls(resource);
        calls.call = Some(Call { id, sent_at: now });
        // The next call must not follow immediately after a call that was stopped.
        calls.next_watch_at = now + watch_interval(resource);
        id
    }

    /// Time at which the next step is due.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        let all_calls = [&self.lists, &self.hosts].into_iter();
        let due = all_calls.filter_map(|calls| match calls.call {
            Some(call) => Some(call.sent_at + CALL_TIMEOUT + DurationUs(1)),
            None => calls.is_watching.then_some(calls.next_watch_at),
        });
        let queries = [self.lists.query_at, self.hosts.query_at];
        due.chain(queries.into_iter().flatten()).min()
    }
}

fn revision_of(revisions: Revisions, resource: PublishedResource) -> Revision {
    match resource {
        PublishedResource::Lists => revisions.lists,
        PublishedResource::Hosts => revisions.hosts,
    }
}

/// The host list cannot be watched, so the platform responds to a read immediately.
fn watch_wait(resource: PublishedResource) -> DurationUs {
    match resource {
        PublishedResource::Lists => WATCH_WAIT,
        PublishedResource::Hosts => DurationUs::ZERO,
    }
}

fn watch_interval(resource: PublishedResource) -> DurationUs {
    match resource {
        PublishedResource::Lists => WATCH_INTERVAL_MIN,
        PublishedResource::Hosts => HOSTS_READ_INTERVAL,
    }
}

fn query_jitter_max(resource: PublishedResource) -> DurationUs {
    match resource {
        PublishedResource::Lists => QUERY_JITTER_MAX,
        PublishedResource::Hosts => HOSTS_QUERY_JITTER_MAX,
    }
}
