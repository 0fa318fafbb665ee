//! Faults that are injected at injection points, and their ends.

use cuminlead_types::{DurationUs, RequestId};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::caller::PathKind;
use super::event::{Event, Heal, NodeId, ProcessEvent};
use super::platform::PlatformState;
use super::simulation::Simulation;

/// Pause that is shorter than every lease and permit.
const SHORT_PAUSE: DurationUs = DurationUs::from_ms(1_000);
/// Pause of an entry or a service that is longer than the longest lease (30 s) and every permit (2
/// s).
const LONG_PAUSE: DurationUs = DurationUs::from_ms(35_000);
/// Pause of an agent or an engine that exceeds the retention periods of decodes without their entry
/// (5 s) and of finished prefills (10 s) and the leases that calls request (8 s plus the prefill).
/// It still lets the process release memory within the 30 s of P1.
const LONG_SERVER_PAUSE: DurationUs = DurationUs::from_ms(25_000);
/// Pause of an agent or an engine that is longer than every bound on engine memory.
const LONGEST_SERVER_PAUSE: DurationUs = DurationUs::from_ms(45_000);
/// Duration of a network cut; exceeds the retention periods of orphaned decodes (5 s) and finished
/// prefills (10 s).
const CUT: DurationUs = DurationUs::from_ms(15_000);
/// Stall of KV transfers that outlasts two imports of 2 s each.
const STALL: DurationUs = DurationUs::from_ms(6_000);
/// Time for which the configuration service is down or stale.
const PLATFORM_FAULT: DurationUs = DurationUs::from_ms(20_000);
/// Time from the injection of a fault to a change of the lists.
const CHANGE_AFTER: DurationUs = DurationUs::from_ms(1_000);

/// Fault of `docs/design.md`, section 1.7, or an operation that callers must not notice.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The entry crashes and restarts.
    EntryDeath,
    /// The host of the entry loses power and restarts.
    EntryHostDeath,
    /// The agent at the injection point crashes and restarts.
    AgentDeath,
    /// The host of the agent and its backend server loses power and restarts.
    ServerHostDeath,
    /// The agent of the request's other engine crashes and restarts.
    OtherAgentDeath,
    /// The engine at the injection point crashes and restarts.
    EngineDeath,
    /// The request's other engine crashes and restarts.
    OtherEngineDeath,
    /// The connections between agent and engine end, while the engine continues.
    EngineConnectionLoss,
    /// The service crashes and restarts.
    ServiceDeath,
    /// The entry pauses for less than the duration of leases and permits.
    EntryPauseShort,
    /// The entry pauses for longer than the duration of leases and permits.
    EntryPauseLong,
    /// The agent pauses for less than the duration of leases and permits.
    AgentPauseShort,
    /// The agent pauses for longer than permits and the leases that calls request.
    AgentPauseLong,
    /// The engine pauses for less than the duration of leases.
    EnginePauseShort,
    /// The engine pauses for longer than the leases that calls request.
    EnginePauseLong,
    /// The agent pauses for longer than the bound on engine memory.
    AgentPauseLongest,
    /// The engine pauses for longer than the bound on engine memory.
    EnginePauseLongest,
    /// The service pauses for less than the duration of permits.
    ServicePauseShort,
    /// The service pauses for longer than the duration of permits.
    ServicePauseLong,
    /// No network path between the entry and the agent works.
    CutBoth,
    /// The network path from the entry to the agent does not work.
    CutToAgent,
    /// The network path from the agent to the entry does not work.
    CutToEntry,
    /// The open connection is unresponsive; a new one works.
    SilentConnection,
    /// KV transfers of all engines stall.
    TransferStall,
    /// The configuration service does not respond.
    PlatformDown,
    /// The configuration service serves an earlier revision.
    PlatformStale,
    /// The caller disconnects.
    CallerCancel,
    /// The agent is shut down gracefully and replaced.
    AgentDrain,
    /// The host list shows the agent's host as leaving, and the agent is replaced.
    HostLeaving,
    /// The entry is shut down gracefully and replaced.
    EntryDrain,
}

/// Processes and request that a fault can affect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Targets {
    /// Request that reached the injection point.
    pub request: RequestId,
    /// Host of the request's entry.
    pub entry: NodeId,
    /// Server that the injection point belongs to; none if the request uses none yet.
    pub server: Option<NodeId>,
    /// Other engine that the request uses, if any.
    pub other: Option<NodeId>,
}

impl Fault {
    /// Whether the fault is an operation that callers must not notice.
    pub const fn is_graceful(self) -> bool {
        matches!(
            self,
            Self::AgentDrain | Self::HostLeaving | Self::EntryDrain
        )
    }

    /// Time for which nothing can release the memory of an engine, where it exceeds the bound for a
    /// request that has ended. Only the engine has the memory, and only its agent can tell it to
    /// release it.
    pub const fn memory_blocked_us(self) -> DurationUs {
        match self {
            Self::AgentPauseLongest | Self::EnginePauseLongest => LONGEST_SERVER_PAUSE,
            _ => DurationUs::ZERO,
        }
    }

    /// Time for which an engine does not carry out a cancel that its agent has received.
    pub const fn cancel_blocked_us(self) -> DurationUs {
        match self {
            Self::EnginePauseShort => SHORT_PAUSE,
            Self::EnginePauseLong => LONG_SERVER_PAUSE,
            Self::EnginePauseLongest => LONGEST_SERVER_PAUSE,
            _ => DurationUs::ZERO,
        }
    }

    /// Whether the fault affects the agent, engine or lists that orders to engines depend on.
    const fn affects_orders(self) -> bool {
        matches!(
            self,
            Self::AgentDeath
                | Self::ServerHostDeath
                | Self::EngineDeath
                | Self::EngineConnectionLoss
                | Self::AgentPauseShort
                | Self::AgentPauseLong
                | Self::AgentPauseLongest
                | Self::EnginePauseShort
                | Self::EnginePauseLong
                | Self::EnginePauseLongest
                | Self::PlatformDown
                | Self::PlatformStale
                | Self::AgentDrain
                | Self::HostLeaving
        )
    }

    /// Whether the path has what the fault affects.
    pub const fn applies_to(self, path: PathKind) -> bool {
        let is_model = path.is_model();
        if path.change().is_some() {
            return self.affects_orders();
        }
        match self {
            Self::OtherAgentDeath
            | Self::EngineDeath
            | Self::OtherEngineDeath
            | Self::EngineConnectionLoss
            | Self::EnginePauseShort
            | Self::EnginePauseLong
            | Self::EnginePauseLongest
            | Self::TransferStall => is_model,
            Self::ServiceDeath | Self::ServicePauseShort | Self::ServicePauseLong => !is_model,
            _ => true,
        }
    }
}

impl Simulation {
    pub(super) fn inject(&mut self, fault: Fault, targets: Targets) {
        self.change_lists_in(CHANGE_AFTER);
        match fault {
            Fault::EntryDeath => self.kill(targets.entry),
            Fault::EntryHostDeath => self.kill_host(targets.entry),
            Fault::EntryPauseShort => self.pause(targets.entry, SHORT_PAUSE),
            Fault::EntryPauseLong => self.pause(targets.entry, LONG_PAUSE),
            Fault::EntryDrain => self.request_drain(targets.entry),
            Fault::CallerCancel => self.disconnect_caller(targets.request),
            Fault::PlatformDown => self.fail_platform(PlatformState::Down),
            Fault::PlatformStale => self.fail_platform(PlatformState::Stale),
            Fault::TransferStall => {
                self.are_transfers_stalled = true;
                self.heal_in(STALL, Heal::Transfers);
            }
            Fault::OtherAgentDeath => self.fault_server(Fault::AgentDeath, targets, targets.other),
            Fault::OtherEngineDeath => {
                self.fault_server(Fault::EngineDeath, targets, targets.other);
            }
            _ => self.fault_server(fault, targets, targets.server),
        }
    }

    fn fault_server(&mut self, fault: Fault, targets: Targets, server: Option<NodeId>) {
        let Some(server) = server else {
            return;
        };
        let entry = targets.entry;
        match fault {
            Fault::AgentDeath => self.kill(server),
            Fault::ServerHostDeath => self.kill_host(server),
            Fault::EngineConnectionLoss => self.lose_engine_connections(server),
            Fault::EngineDeath | Fault::ServiceDeath => self.kill_backend(server),
            Fault::AgentPauseShort => self.pause(server, SHORT_PAUSE),
            Fault::AgentPauseLong => self.pause(server, LONG_SERVER_PAUSE),
            Fault::AgentPauseLongest => self.pause(server, LONGEST_SERVER_PAUSE),
            Fault::EnginePauseShort | Fault::ServicePauseShort => {
                self.pause_backend(server, SHORT_PAUSE);
            }
            Fault::EnginePauseLong => self.pause_backend(server, LONG_SERVER_PAUSE),
            Fault::EnginePauseLongest => self.pause_backend(server, LONGEST_SERVER_PAUSE),
            Fault::ServicePauseLong => self.pause_backend(server, LONG_PAUSE),
            Fault::CutBoth => {
                self.cut_for(CUT, entry, server);
                self.cut_for(CUT, server, entry);
            }
            Fault::CutToAgent => self.cut_for(CUT, entry, server),
            Fault::CutToEntry => self.cut_for(CUT, server, entry),
            Fault::SilentConnection => self.make_unresponsive(entry, server),
            Fault::AgentDrain => self.request_drain(server),
            Fault::HostLeaving => self.publish_leaving(server),
            _ => debug_assert!(false, "fault {fault} does not affect a server"),
        }
    }

    /// Ends the process and the backend server of a host without closing their connections.
    fn kill_host(&mut self, node: NodeId) {
        self.make_all_unresponsive(node);
        self.kill(node);
        self.kill_backend(node);
    }

    pub(super) fn cut_for(&mut self, time: DurationUs, from: NodeId, to: NodeId) {
        self.cut(from, to);
        self.heal_in(time, Heal::RestorePath { from, to });
    }

    fn fail_platform(&mut self, state: PlatformState) {
        self.set_platform(state);
        self.heal_in(PLATFORM_FAULT, Heal::Platform);
    }

    fn request_drain(&mut self, node: NodeId) {
        self.push_process(DurationUs::ZERO, node, ProcessEvent::Drain);
    }

    /// Schedules the end of a fault.
    pub(super) fn heal_in(&mut self, time: DurationUs, heal: Heal) {
        self.pending_heals_count += 1;
        self.push(time, Event::Heal(heal));
    }

    pub(super) fn heal(&mut self, heal: Heal) {
        self.pending_heals_count -= 1;
        match heal {
            Heal::StartProcess(node) => self.start_process(node),
            Heal::StartBackend(node) => {
                self.backends[node.0].is_running = true;
                self.observe_served(node);
            }
            Heal::ResumeProcess(node) => self.resume(node),
            Heal::ResumeBackend(node) => self.resume_backend(node),
            Heal::RestorePath { from, to } => self.restore_path(from, to),
            Heal::Transfers => self.are_transfers_stalled = false,
            Heal::Platform => self.set_platform(PlatformState::Up),
            Heal::PublishLive(node) => self.publish_live(node),
        }
    }
}
