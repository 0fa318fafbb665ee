//! Calls to the platform.
//!
//! Each call is one action, whether it waits or not, so the rate of calls is decided here alone.

use cuminlead_types::{DurationUs, Revision, TimeUs};
use rand::RngExt;
use rand::rngs::StdRng;
use strum::IntoEnumIterator;

use crate::action::{Action, PublishedResource};
use crate::event::{PlatformCallRef, Revisions};
use crate::limits::{
    CALL_TIMEOUT, HOSTS_INTERVAL, HOSTS_QUERY_JITTER_MAX, QUERY_INTERVAL_MIN, QUERY_JITTER_MAX,
    WATCH_INTERVAL_MIN, WATCH_RETRY, WATCH_WAIT,
};

/// Calls of one process to the platform.
#[derive(Debug, Default)]
pub(crate) struct ServiceCalls {
    lists: Channel,
    hosts: Channel,
    next_call: u64,
}

/// Calls for one value; at most one is under way.
#[derive(Debug, Default)]
struct Channel {
    call: Option<Call>,
    next_watch_at: TimeUs,
    is_watching: bool,
    query_at: Option<TimeUs>,
    queried_at: Option<TimeUs>,
    /// End of the time over which the questions of many processes spread that lost the same peers.
    spread_until: TimeUs,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: PlatformCallRef,
    sent_at: TimeUs,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Answered,
    Failed,
}

/// Call that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Finished {
    pub(crate) source: PublishedResource,
    /// Time after which the answer was made.
    pub(crate) sent_at: TimeUs,
}

impl ServiceCalls {
    fn channel(&mut self, source: PublishedResource) -> &mut Channel {
        match source {
            PublishedResource::Lists => &mut self.lists,
            PublishedResource::Hosts => &mut self.hosts,
        }
    }

    /// Starts or ends watching of a value.
    pub(crate) fn set_watching(
        &mut self,
        source: PublishedResource,
        is_watching: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.is_watching(source) && !is_watching {
            self.stop_call(source, actions);
        }
        self.channel(source).is_watching = is_watching;
    }

    pub(crate) fn is_watching(&self, source: PublishedResource) -> bool {
        match source {
            PublishedResource::Lists => self.lists.is_watching,
            PublishedResource::Hosts => self.hosts.is_watching,
        }
    }

    fn stop_call(&mut self, source: PublishedResource, actions: &mut Vec<Action>) {
        if let Some(call) = self.channel(source).call.take() {
            actions.push(Action::StopWatching { call: call.id });
        }
    }

    /// Asks for a question at the next step, whatever the interval; only for a fresh process.
    pub(crate) fn query_at_start(&mut self, now: TimeUs) {
        for source in PublishedResource::iter() {
            self.channel(source).query_at = Some(now);
        }
    }

    /// Asks for a question after a jitter, within the interval. Questions for the lists wait until those
    /// for the host list are over, as both together would exceed the rate of the platform; the jitter
    /// for the lists is longer than that for the host list, so some of it is left.
    pub(crate) fn request_query(
        &mut self,
        now: TimeUs,
        source: PublishedResource,
        rng: &mut StdRng,
    ) {
        let start = match source {
            PublishedResource::Lists => self.hosts.spread_until.max(now),
            PublishedResource::Hosts => now,
        };
        let channel = self.channel(source);
        if channel.query_at.is_some() || channel.is_watching {
            return;
        }
        let end = now + query_jitter_max(source);
        let jitter = DurationUs(rng.random_range(0..end.since(start).get()));
        let earliest = channel.queried_at.map(|at| at + QUERY_INTERVAL_MIN);
        let earliest = earliest.unwrap_or_default();
        if earliest <= start {
            channel.spread_until = end;
        }
        channel.query_at = Some((start + jitter).max(earliest));
    }

    /// Withdraws a question that is not sent yet.
    pub(crate) fn cancel_query(&mut self, source: PublishedResource) {
        self.channel(source).query_at = None;
    }

    /// Whether a question is asked for or under way.
    pub(crate) fn is_query_open(&self) -> bool {
        let mut channels = [&self.lists, &self.hosts].into_iter();
        channels.any(|channel| channel.query_at.is_some() || channel.call.is_some())
    }

    /// Takes the end of a call; returns what was asked unless the call is not under way any more.
    pub(crate) fn finish(
        &mut self,
        now: TimeUs,
        id: PlatformCallRef,
        outcome: Outcome,
    ) -> Option<Finished> {
        let source = PublishedResource::iter().find(|source| {
            let call = self.channel(*source).call;
            call.is_some_and(|call| call.id == id)
        })?;
        let channel = self.channel(source);
        let call = channel.call.take()?;
        channel.next_watch_at = match outcome {
            Outcome::Answered => call.sent_at + watch_interval(source),
            Outcome::Failed => now + WATCH_RETRY,
        };
        let finished = Finished {
            source,
            sent_at: call.sent_at,
        };
        Some(finished)
    }

    /// Sends the calls that are due. `known` are the revisions not to be sent again, `held` those
    /// in force.
    pub(crate) fn step(
        &mut self,
        now: TimeUs,
        known: Revisions,
        held: Revisions,
        actions: &mut Vec<Action>,
    ) {
        for source in PublishedResource::iter() {
            self.expire(now, source, actions);
            let channel = self.channel(source);
            if channel.is_watching {
                channel.query_at = None;
                self.watch(now, source, known, held, actions);
            } else if channel.query_at.is_some_and(|at| now >= at) {
                channel.query_at = None;
                channel.queried_at = Some(now);
                self.query(now, source, known, held, actions);
            }
        }
    }

    fn expire(&mut self, now: TimeUs, source: PublishedResource, actions: &mut Vec<Action>) {
        let channel = self.channel(source);
        if channel
            .call
            .is_some_and(|call| now.since(call.sent_at) > CALL_TIMEOUT)
        {
            channel.next_watch_at = now;
            self.stop_call(source, actions);
        }
    }

    fn watch(
        &mut self,
        now: TimeUs,
        source: PublishedResource,
        known: Revisions,
        held: Revisions,
        actions: &mut Vec<Action>,
    ) {
        let channel = self.channel(source);
        if channel.call.is_some() || now < channel.next_watch_at {
            return;
        }
        actions.push(Action::WatchService {
            call: self.begin(now, source),
            source,
            after: revision_of(known, source),
            held: revision_of(held, source),
            wait: watch_wait(source),
        });
    }

    fn query(
        &mut self,
        now: TimeUs,
        source: PublishedResource,
        known: Revisions,
        held: Revisions,
        actions: &mut Vec<Action>,
    ) {
        self.stop_call(source, actions);
        actions.push(Action::QueryService {
            call: self.begin(now, source),
            source,
            after: revision_of(known, source),
            held: revision_of(held, source),
        });
    }

    fn begin(&mut self, now: TimeUs, source: PublishedResource) -> PlatformCallRef {
        self.next_call += 1;
        let id = PlatformCallRef(self.next_call);
        let channel = self.channel(source);
        channel.call = Some(Call { id, sent_at: now });
        // A call that is dropped must not be followed at once by the next one.
        channel.next_watch_at = now + watch_interval(source);
        id
    }

    /// Time of the next step.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        let channels = [&self.lists, &self.hosts].into_iter();
        let due = channels.filter_map(|channel| match channel.call {
            Some(call) => Some(call.sent_at + CALL_TIMEOUT + DurationUs(1)),
            None => channel.is_watching.then_some(channel.next_watch_at),
        });
        let queries = [self.lists.query_at, self.hosts.query_at];
        due.chain(queries.into_iter().flatten()).min()
    }
}

fn revision_of(known: Revisions, source: PublishedResource) -> Revision {
    match source {
        PublishedResource::Lists => known.lists,
        PublishedResource::Hosts => known.hosts,
    }
}

/// The host list cannot be watched, so a reading of it is answered at once.
fn watch_wait(source: PublishedResource) -> DurationUs {
    match source {
        PublishedResource::Lists => WATCH_WAIT,
        PublishedResource::Hosts => DurationUs::ZERO,
    }
}

fn watch_interval(source: PublishedResource) -> DurationUs {
    match source {
        PublishedResource::Lists => WATCH_INTERVAL_MIN,
        PublishedResource::Hosts => HOSTS_INTERVAL,
    }
}

fn query_jitter_max(source: PublishedResource) -> DurationUs {
    match source {
        PublishedResource::Lists => QUERY_JITTER_MAX,
        PublishedResource::Hosts => HOSTS_QUERY_JITTER_MAX,
    }
}
