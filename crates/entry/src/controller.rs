//! State and event loop of the entry's control thread.
//!
//! The control thread owns routing, membership, the rate limits and the lists. Traffic threads and
//! runtime tasks send it [`ControlEvent`]s, so that this state needs no locks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use crossbeam::channel::Sender;
use cuminlead_distribution::{Event, Peer, Revisions};
use cuminlead_entry_core::{CallEvent, StallReports, counts_against_server};
use cuminlead_kernel::Controller;
use cuminlead_lists::{HostList, HostState, Lists, ProcessKind};
use cuminlead_membership::{CrashProbes, Membership};
use cuminlead_process::feed::{Feed, FeedEvent, FeedUpdate};
use cuminlead_protocol::AgentState;
use cuminlead_retry::Evidence;
use cuminlead_routing::{LinkUse, RouteRequest, Router, Usability};
use cuminlead_telemetry::BusyTime;
use cuminlead_types::{
    BackendServerId, Bytes, CustomerId, DurationUs, HostId, Now, PromptPartId, RequestId,
    RequestsPerSecond, TimeUs,
};
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::connections::AgentConnections;
use crate::rate_limit::{PlanRate, RateLimits};
use crate::status::EntryMetrics;

/// Interval at which an entry that shuts down checks for open requests.
const DRAIN_CHECK_INTERVAL: DurationUs = DurationUs::from_ms(50);

/// Event for the entry's control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A call requests a routing decision.
    Route {
        /// Constraints of the decision.
        request: RouteRequest,
        /// Receives `CallEvent::Routed`.
        reply: Sender<CallEvent>,
    },
    /// A request is checked against the rate limit of its customer.
    Admit {
        /// Customer that the request is counted for.
        customer: CustomerId,
        /// Sustained rate of the plan, for the whole fleet.
        rate: RequestsPerSecond,
        /// Burst of the plan, for the whole fleet.
        burst_requests: u32,
        /// Receives whether the request is within the rate.
        reply: oneshot::Sender<bool>,
    },
    /// A reply or decode stream carried the state of an agent.
    Observed(AgentState),
    /// A call reports what it observed of a server.
    Report {
        /// Server that the call used.
        server: BackendServerId,
        /// Failure; `None` if the server did what was requested.
        evidence: Option<Evidence>,
    },
    /// An engine has generated output for a prompt.
    OutputGenerated {
        /// Prefixes of the prompt that other prompts may share, shortest first.
        prompt_parts: Vec<PromptPartId>,
    },
    /// A call has made no progress at a server for a while, or has progressed again.
    Stalled {
        /// Request of the call.
        request: RequestId,
        /// Server that the call waits for.
        server: BackendServerId,
        /// Time of the last progress; `None` withdraws the report.
        since: Option<TimeUs>,
    },
    /// A probe ended.
    Probed {
        /// Server whose agent was probed.
        server: BackendServerId,
        /// Whether the agent replied in time.
        is_answered: bool,
    },
    /// A complete output was passed to a caller.
    Answered {
        /// Server that the output is attributed to: the first one that the call used.
        server: BackendServerId,
        /// Size of the output text.
        size: Bytes,
    },
    /// The feed of lists and hosts has an event to process.
    Feed(FeedEvent),
    /// The process received a shutdown signal.
    Shutdown,
}

/// State shared with the traffic threads and the admin address.
#[derive(Debug, Default)]
pub struct EntryFlags {
    /// Whether the balancer may send requests to this entry. Set by the control thread.
    pub is_ready: AtomicBool,
    /// Whether new requests are refused because of a shutdown. Set by the control thread.
    pub is_refusing: AtomicBool,
    /// Number of requests that have arrived and whose response is not fully sent.
    pub open_requests: AtomicU64,
}

/// Sends a probe to a server's agent, with the revisions in effect at this entry.
pub type ProbeSender = Box<dyn Fn(BackendServerId, Revisions) + Send>;

/// Dependencies of an [`EntryController`].
pub struct ControllerParts {
    /// Host of this entry.
    pub host: HostId,
    /// Chooses servers for calls.
    pub router: Router,
    /// Source of lists and hosts.
    pub feed: Feed,
    /// Connections to agents.
    pub connections: Arc<AgentConnections>,
    /// Sends a probe, whose result comes back as `ControlEvent::Probed`.
    pub probe: ProbeSender,
    /// Metrics of this process.
    pub metrics: EntryMetrics,
    /// State shared with other threads.
    pub flags: Arc<EntryFlags>,
    /// Time from failing readiness to refusing requests, in which the balancer stops sending them.
    pub drain_delay_us: DurationUs,
    /// Time limit for running requests, counted from the shutdown signal.
    pub drain_max_us: DurationUs,
    /// Logger of this process; not bound to a request.
    pub log: Logger,
}

/// State owned by the entry's control thread.
pub struct EntryController {
    parts: ControllerParts,
    membership: Membership,
    crash_probes: CrashProbes,
    stalls: StallReports,
    lists: Arc<Lists>,
    hosts: Arc<HostList>,
    rates: RateLimits,
    entries_count: u32,
    /// Use of the paid link that the metrics already include.
    reported_link_use: LinkUse,
    busy: BusyTime,
    shutdown_requested_at_us: Option<TimeUs>,
    drain_check_at_us: Option<TimeUs>,
    is_drained: bool,
}

/// Adapts [`Membership`] to the router's interface.
struct MembershipUsability<'a>(&'a Membership);

impl Usability for MembershipUsability<'_> {
    fn is_usable(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_usable(now, server)
    }

    fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_preferred(now, server)
    }
}

impl EntryController {
    /// Creates the controller and starts its feed.
    pub fn new(parts: ControllerParts, now: Now) -> Self {
        let mut controller = Self {
            parts,
            membership: Membership::new(),
            crash_probes: CrashProbes::default(),
            stalls: StallReports::default(),
            lists: Arc::default(),
            hosts: Arc::default(),
            rates: RateLimits::default(),
            entries_count: 1,
            reported_link_use: LinkUse::default(),
            busy: BusyTime::default(),
            shutdown_requested_at_us: None,
            drain_check_at_us: None,
            is_drained: false,
        };
        let update = controller.parts.feed.start(now.mono_us);
        controller.apply(update, now);
        controller
    }

    /// Records the state of an agent, and the revisions in it that may be newer than the local
    /// ones.
    fn record_agent_state(&mut self, now: Now, state: &AgentState) {
        self.membership.record_report(now.mono_us, state);
        let quarantined = self.parts.router.record_report(now.mono_us, state);
        for part in quarantined {
            warn!(self.parts.log, "prompt part quarantined"; "part" => %part,
                "crashed" => %state.server);
            self.parts.metrics.count_quarantine();
        }
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

    fn route(&mut self, now: Now, request: &RouteRequest, reply: &Sender<CallEvent>) {
        let view = MembershipUsability(&self.membership);
        let result = self.parts.router.route(now.mono_us, &view, request);
        self.update_link_metrics();
        if let Err(reason) = result {
            info!(self.parts.log, "no server available for call"; "customer" => %request.customer,
                "reason" => ?reason);
        }
        // Fails only when the call has ended.
        let _ = reply.send(CallEvent::Routed(result));
    }

    fn update_link_metrics(&mut self) {
        let link_use = self.parts.router.link_use();
        self.parts
            .metrics
            .count_link_use(self.reported_link_use, link_use);
        self.reported_link_use = link_use;
    }

    fn count_busy(&mut self, started: Instant) {
        let busy_us = &self.parts.metrics.common.control_busy_us;
        self.busy.add(started.elapsed(), busy_us);
    }

    fn report(&mut self, now: Now, server: &BackendServerId, evidence: Option<Evidence>) {
        let is_failure = evidence.is_some_and(counts_against_server);
        if is_failure {
            self.membership.record_failure(now.mono_us, server);
            self.crash_probes.record_failure(now.mono_us, server);
        } else if evidence.is_none() {
            self.membership.record_success(now.mono_us, server);
        }
        self.parts
            .router
            .record_finished(now.mono_us, server, evidence.is_none());
    }

    fn apply(&mut self, update: FeedUpdate, now: Now) {
        if let Some(findings) = update.refused {
            for finding in findings.iter() {
                warn!(self.parts.log, "list snapshot refused"; "place" => %finding.location,
                    "finding" => &finding.message);
            }
        }
        if let Some(lists) = update.lists {
            info!(self.parts.log, "lists in effect"; "revision" => lists.revision.0);
            self.parts.metrics.set_revision("lists", lists.revision);
            self.rates
                .retain(|customer| lists.customers.contains_key(customer));
            self.lists = lists;
            self.apply_to_router();
        }
        if let Some(hosts) = update.hosts {
            self.parts.metrics.set_revision("hosts", hosts.revision);
            self.membership.update_hosts(now.mono_us, &hosts);
            self.parts.connections.update(&hosts);
            self.entries_count = live_entries(&hosts);
            self.hosts = hosts;
            self.apply_to_router();
        }
        let is_ready =
            self.parts.feed.view().load().is_ready && self.shutdown_requested_at_us.is_none();
        self.parts.flags.is_ready.store(is_ready, Ordering::Relaxed);
    }

    fn apply_to_router(&mut self) {
        self.parts
            .router
            .apply(Arc::clone(&self.lists), Arc::clone(&self.hosts));
    }

    fn begin_shutdown(&mut self, now: Now) {
        if self.shutdown_requested_at_us.is_none() {
            info!(self.parts.log, "entry stopping"; "host" => %self.parts.host);
            self.shutdown_requested_at_us = Some(now.mono_us);
            self.drain_check_at_us = Some(now.mono_us);
            self.parts.flags.is_ready.store(false, Ordering::Relaxed);
        }
    }

    fn advance_shutdown(&mut self, now: Now) {
        let Some(requested_at_us) = self.shutdown_requested_at_us else {
            return;
        };
        let elapsed_us = now.mono_us.since(requested_at_us);
        self.drain_check_at_us = Some(now.mono_us + DRAIN_CHECK_INTERVAL);
        if elapsed_us < self.parts.drain_delay_us {
            return;
        }
        self.parts.flags.is_refusing.store(true, Ordering::SeqCst);
        let open_requests = self.parts.flags.open_requests.load(Ordering::SeqCst);
        if open_requests == 0 || elapsed_us >= self.parts.drain_max_us {
            info!(self.parts.log, "entry drained"; "open_requests" => open_requests);
            self.is_drained = true;
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
        self.dispatch(now, event);
        self.count_busy(started);
    }

    fn tick(&mut self, now: Now) {
        let started = Instant::now();
        self.handle_deadlines(now);
        self.count_busy(started);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let deadlines = [
            self.drain_check_at_us,
            self.parts.feed.next_deadline(),
            self.membership.next_probe_at(),
            self.crash_probes.next_at(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_drained(&self) -> bool {
        self.is_drained
    }
}

impl EntryController {
    fn dispatch(&mut self, now: Now, event: ControlEvent) {
        match event {
            ControlEvent::Route { request, reply } => self.route(now, &request, &reply),
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
                // Fails only when the request's task has been dropped.
                let _ = reply.send(self.rates.admit(now.mono_us, &customer, plan));
            }
            ControlEvent::Observed(state) => self.record_agent_state(now, &state),
            ControlEvent::Report { server, evidence } => self.report(now, &server, evidence),
            ControlEvent::OutputGenerated { prompt_parts } => {
                let cleared = self.parts.router.record_sound(now.mono_us, &prompt_parts);
                for part in cleared {
                    info!(self.parts.log, "suspected prompt part cleared"; "part" => %part);
                }
            }
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
                self.update_link_metrics();
            }
            ControlEvent::Feed(event) => {
                let update = self.parts.feed.handle(now.mono_us, event);
                self.apply(update, now);
            }
            ControlEvent::Shutdown => self.begin_shutdown(now),
        }
    }

    fn handle_deadlines(&mut self, now: Now) {
        if self
            .parts
            .feed
            .next_deadline()
            .is_some_and(|deadline| deadline <= now.mono_us)
        {
            let update = self.parts.feed.tick(now.mono_us);
            self.apply(update, now);
        }
        let mut due = self.membership.take_due_probes(now.mono_us);
        due.extend(self.crash_probes.take_due(now.mono_us));
        for server in due {
            (self.parts.probe)(server, self.revisions());
        }
        self.advance_shutdown(now);
    }
}
