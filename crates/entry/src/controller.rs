//! The state owned by the entry's control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use crossbeam::channel::Sender;
use cuminlead_distribution::{Event, Peer, Revisions};
use cuminlead_entry_core::{CallEvent, StallReports, counts_against_server};
use cuminlead_kernel::Controller;
use cuminlead_lists::{HostList, HostState, Lists, ProcessKind};
use cuminlead_membership::Membership;
use cuminlead_process::feed::{Feed, FeedEvent, FeedUpdate};
use cuminlead_protocol::AgentState;
use cuminlead_retry::Evidence;
use cuminlead_routing::{LinkUse, RouteRequest, Router, Usability};
use cuminlead_telemetry::BusyTime;
use cuminlead_types::{
    BackendServerId, Bytes, CustomerId, DurationUs, HostId, Now, RequestId, RequestsPerSecond,
    TimeUs,
};
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::clients::Clients;
use crate::rate::{PlanRate, RateLimits};
use crate::status::EntryMetrics;

/// Interval at which a stopping entry looks whether its requests are answered.
const STOP_CHECK_INTERVAL: DurationUs = DurationUs::from_ms(50);

/// Event for the entry's control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A call needs servers.
    Route {
        /// What it needs.
        need: RouteRequest,
        /// Where `CallEvent::Routed` goes.
        reply: Sender<CallEvent>,
    },
    /// A customer's request came in.
    Admit {
        /// Customer.
        customer: CustomerId,
        /// Sustained rate of the plan.
        rate: RequestsPerSecond,
        /// Burst of the plan.
        burst_requests: u32,
        /// Whether the request is within the rate.
        reply: oneshot::Sender<bool>,
    },
    /// A reply carried the state of an agent.
    Observed(AgentState),
    /// A call has first-hand evidence about a server.
    Report {
        /// Server.
        server: BackendServerId,
        /// Failure, or none when the server did what it was asked.
        evidence: Option<Evidence>,
    },
    /// A call waits for a server without progress, or does so no more.
    Stalled {
        /// The call.
        request: RequestId,
        /// Server.
        server: BackendServerId,
        /// Last progress; `None` takes the report back.
        since: Option<TimeUs>,
    },
    /// A probe was answered or lost.
    Probed {
        /// Server.
        server: BackendServerId,
        /// Whether its agent answered.
        is_answered: bool,
    },
    /// An answer was handed to a caller.
    Answered {
        /// Server that made it.
        server: BackendServerId,
        /// Size of the answer.
        size: Bytes,
    },
    /// The feed of lists and hosts reported something.
    Feed(FeedEvent),
    /// The process was asked to stop.
    Stop,
}

/// State shared with the traffic threads and the admin address.
#[derive(Debug, Default)]
pub struct EntryFlags {
    /// Whether the balancer may send requests here.
    pub is_ready: AtomicBool,
    /// Whether new requests are refused because the process stops.
    pub is_refusing: AtomicBool,
    /// Requests that are being served.
    pub open_requests: AtomicU64,
}

/// Sends a probe to a server's agent, with the revisions known here.
pub type ProbeSender = Box<dyn Fn(BackendServerId, Revisions) + Send>;

/// Parts that a controller is built from.
pub struct ControllerParts {
    /// Host of this entry.
    pub host: HostId,
    /// Chooses servers.
    pub router: Router,
    /// Lists and hosts.
    pub feed: Feed,
    /// Connections to agents.
    pub clients: Arc<Clients>,
    /// Sends a probe and reports it as `ControlEvent::Probed`.
    pub probe: ProbeSender,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// State shared with other threads.
    pub flags: Arc<EntryFlags>,
    /// Time between failing readiness and refusing requests.
    pub drain_delay_us: DurationUs,
    /// Longest time that running requests may take on shutdown.
    pub drain_max_us: DurationUs,
    /// Logger.
    pub log: Logger,
}

/// State owned by the entry's control thread.
pub struct EntryController {
    parts: ControllerParts,
    membership: Membership,
    stalls: StallReports,
    lists: Arc<Lists>,
    hosts: Arc<HostList>,
    rates: RateLimits,
    entries_count: u32,
    /// Use of the paid link that the metrics show.
    link: LinkUse,
    busy: BusyTime,
    stop_asked_at_us: Option<TimeUs>,
    stop_check_at_us: Option<TimeUs>,
    is_done: bool,
}

/// Membership as the router asks for it.
struct MembershipView<'a>(&'a Membership);

impl Usability for MembershipView<'_> {
    fn is_usable(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_usable(now, server)
    }

    fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_preferred(now, server)
    }
}

impl EntryController {
    /// Controller that starts its feed.
    pub fn new(parts: ControllerParts, now: Now) -> Self {
        let mut controller = Self {
            parts,
            membership: Membership::new(),
            stalls: StallReports::default(),
            lists: Arc::default(),
            hosts: Arc::default(),
            rates: RateLimits::default(),
            entries_count: 1,
            link: LinkUse::default(),
            busy: BusyTime::default(),
            stop_asked_at_us: None,
            stop_check_at_us: None,
            is_done: false,
        };
        let update = controller.parts.feed.start(now.mono_us);
        controller.apply(update, now);
        controller
    }

    /// Notes the state and the revisions that a reply of an agent carries.
    fn observe(&mut self, now: Now, state: &AgentState) {
        self.membership.record_report(now.mono_us, state);
        self.parts.router.observe(now.mono_us, state);
        let revisions = Revisions {
            lists: state.lists_revision,
            hosts: state.hosts_revision,
        };
        let peer = self.peer_of(&state.server);
        let event = FeedEvent::Distribution(Event::RevisionsSeen { revisions, peer });
        let update = self.parts.feed.handle(now.mono_us, event);
        self.apply(update, now);
    }

    fn revisions(&self) -> Revisions {
        Revisions {
            lists: self.lists.revision,
            hosts: self.hosts.revision,
        }
    }

    fn peer_of(&self, server: &BackendServerId) -> Option<Peer> {
        let address = self.membership.address_of(server)?.to_string();
        let host = self.membership.host_of(server)?.clone();
        Some(Peer { host, address })
    }

    fn route(&mut self, now: Now, need: &RouteRequest, reply: &Sender<CallEvent>) {
        let view = MembershipView(&self.membership);
        let result = self.parts.router.route(now.mono_us, &view, need);
        self.count_link();
        if let Err(reason) = result {
            info!(self.parts.log, "no server for a call"; "customer" => %need.customer,
                "reason" => ?reason);
        }
        // The call may have ended.
        let _ = reply.send(CallEvent::Routed(result));
    }

    fn count_link(&mut self) {
        let link = self.parts.router.link_use();
        self.parts.metrics.count_link(self.link, link);
        self.link = link;
    }

    fn count_busy(&mut self, started: Instant) {
        let busy_us = &self.parts.metrics.common.control_busy_us;
        self.busy.add(started.elapsed(), busy_us);
    }

    fn report(&mut self, now: Now, server: &BackendServerId, evidence: Option<Evidence>) {
        let is_failure = evidence.is_some_and(counts_against_server);
        if is_failure {
            self.membership.record_failure(now.mono_us, server);
        } else if evidence.is_none() {
            self.membership.record_success(now.mono_us, server);
        }
        self.parts
            .router
            .finished(now.mono_us, server, evidence.is_none());
    }

    fn apply(&mut self, update: FeedUpdate, now: Now) {
        if let Some(findings) = update.refused {
            for finding in findings.iter() {
                warn!(self.parts.log, "list snapshot refused"; "place" => %finding.location,
                    "finding" => &finding.message);
            }
        }
        if let Some(lists) = update.lists {
            info!(self.parts.log, "lists in force"; "revision" => lists.revision.0);
            self.parts.metrics.set_revision("lists", lists.revision);
            self.rates
                .retain(|customer| lists.customers.contains_key(customer));
            self.lists = lists;
            self.apply_to_router();
        }
        if let Some(hosts) = update.hosts {
            self.parts.metrics.set_revision("hosts", hosts.revision);
            self.membership.update_hosts(now.mono_us, &hosts);
            self.parts.clients.update(&hosts);
            self.entries_count = live_entries(&hosts);
            self.hosts = hosts;
            self.apply_to_router();
        }
        let is_ready = self.parts.feed.view().load().is_ready && self.stop_asked_at_us.is_none();
        self.parts.flags.is_ready.store(is_ready, Ordering::Relaxed);
    }

    fn apply_to_router(&mut self) {
        self.parts
            .router
            .apply(Arc::clone(&self.lists), Arc::clone(&self.hosts));
    }

    fn stop(&mut self, now: Now) {
        if self.stop_asked_at_us.is_none() {
            info!(self.parts.log, "entry stopping"; "host" => %self.parts.host);
            self.stop_asked_at_us = Some(now.mono_us);
            self.stop_check_at_us = Some(now.mono_us);
            self.parts.flags.is_ready.store(false, Ordering::Relaxed);
        }
    }

    fn advance_stop(&mut self, now: Now) {
        let Some(asked_at_us) = self.stop_asked_at_us else {
            return;
        };
        let elapsed_us = now.mono_us.since(asked_at_us);
        self.stop_check_at_us = Some(now.mono_us + STOP_CHECK_INTERVAL);
        if elapsed_us < self.parts.drain_delay_us {
            return;
        }
        self.parts.flags.is_refusing.store(true, Ordering::SeqCst);
        let open_requests = self.parts.flags.open_requests.load(Ordering::SeqCst);
        if open_requests == 0 || elapsed_us >= self.parts.drain_max_us {
            info!(self.parts.log, "entry drained"; "open_requests" => open_requests);
            self.is_done = true;
        }
    }
}

fn live_entries(hosts: &HostList) -> u32 {
    let live = hosts
        .hosts
        .iter()
        .filter(|host| host.process == ProcessKind::Entry && host.state == HostState::Live);
    u32::try_from(live.count()).unwrap_or(u32::MAX)
}

impl Controller for EntryController {
    type Event = ControlEvent;

    fn handle(&mut self, now: Now, event: ControlEvent) {
        let started = Instant::now();
        self.take(now, event);
        self.count_busy(started);
    }

    fn tick(&mut self, now: Now) {
        let started = Instant::now();
        self.pass_time(now);
        self.count_busy(started);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let deadlines = [
            self.stop_check_at_us,
            self.parts.feed.next_deadline(),
            self.membership.next_probe_at(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_done(&self) -> bool {
        self.is_done
    }
}

impl EntryController {
    fn take(&mut self, now: Now, event: ControlEvent) {
        match event {
            ControlEvent::Route { need, reply } => self.route(now, &need, &reply),
            ControlEvent::Admit {
                customer,
                rate,
                burst_requests,
                reply,
            } => {
                let plan = PlanRate {
                    rate,
                    burst_requests,
                    entries_count: self.entries_count,
                };
                // The caller's thread may have given up.
                let _ = reply.send(self.rates.admit(now.mono_us, &customer, plan));
            }
            ControlEvent::Observed(state) => self.observe(now, &state),
            ControlEvent::Report { server, evidence } => self.report(now, &server, evidence),
            ControlEvent::Stalled {
                request,
                server,
                since,
            } => {
                let age = self.stalls.record(now.mono_us, &server, request, since);
                self.membership.record_stall(now.mono_us, &server, age);
            }
            ControlEvent::Probed {
                server,
                is_answered,
            } => {
                self.membership
                    .record_probe(now.mono_us, &server, is_answered);
            }
            ControlEvent::Answered { server, size } => {
                self.parts.router.count_answer(now.mono_us, &server, size);
                self.count_link();
            }
            ControlEvent::Feed(event) => {
                let update = self.parts.feed.handle(now.mono_us, event);
                self.apply(update, now);
            }
            ControlEvent::Stop => self.stop(now),
        }
    }

    fn pass_time(&mut self, now: Now) {
        if self
            .parts
            .feed
            .next_deadline()
            .is_some_and(|deadline| deadline <= now.mono_us)
        {
            let update = self.parts.feed.tick(now.mono_us);
            self.apply(update, now);
        }
        for server in self.membership.take_due_probes(now.mono_us) {
            (self.parts.probe)(server, self.revisions());
        }
        self.advance_stop(now);
    }
}
