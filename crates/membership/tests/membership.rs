//! Status of a server after host lists, reports of its agent, results of calls, and probes.

use cuminlead_lists::{HostEntry, HostList, HostState, ProcessKind};
use cuminlead_membership::{Membership, ServerStatus};
use cuminlead_protocol::{AgentState, LoadReport};
use cuminlead_types::{BackendServerId, DurationUs, Incarnation, Revision, TimeUs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use yare::parameterized;

/// Event at the single server of a test.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Time advances to this millisecond.
    At(u64),
    /// Host list of this revision with the server live on host 1.
    Live(u64),
    /// Host list of this revision with the server leaving on host 1.
    Leaving(u64),
    /// Host list of this revision without the server.
    Absent(u64),
    /// Host list of this revision with the server live on host 2 and leaving on host 1.
    Replaced(u64),
    /// Report of this incarnation without the drain flag.
    Serving(u64),
    /// Report of this incarnation with the drain flag.
    Draining(u64),
    /// A call succeeds.
    Success,
    /// This number of calls fails.
    Failures(u32),
    /// A probe is due, is sent and succeeds.
    ProbeSucceeds,
    /// A probe is due, is sent and fails.
    ProbeFails,
    /// A probe is due and is sent.
    ProbeSent,
    /// No probe is due.
    NoProbe,
}

use Event::*;

fn server() -> BackendServerId {
    "notes-1".parse().expect("id")
}

fn host(number: u16, state: HostState) -> HostEntry {
    HostEntry {
        host: format!("h{number}").parse().expect("host"),
        region: "litoral".parse().expect("region"),
        zone: "litoral-a".parse().expect("zone"),
        state,
        process: ProcessKind::Agent,
        address: format!("127.0.0.1:{number}"),
        server: Some(server()),
    }
}

struct Fixture {
    membership: Membership,
    now: TimeUs,
}

impl Fixture {
    fn new() -> Self {
        Self {
            membership: Membership::new(),
            now: TimeUs::ZERO,
        }
    }

    fn hosts(&mut self, revision: u64, hosts: Vec<HostEntry>) {
        let revision = Revision(revision);
        self.membership
            .update_hosts(self.now, &HostList { revision, hosts });
    }

    fn report(&mut self, incarnation: u64, draining: bool, stall_ms: u64) {
        let load = LoadReport {
            oldest_stall_us: DurationUs::from_ms(stall_ms),
            ..LoadReport::default()
        };
        let state = AgentState {
            server: server(),
            incarnation: Incarnation(incarnation),
            draining,
            load,
            ..AgentState::default()
        };
        self.membership.record_report(self.now, &state);
    }

    fn check_probe(&mut self, is_due: bool) {
        let due = self.membership.take_due_probes(self.now);
        assert_eq!(!due.is_empty(), is_due, "probes at {}", self.now);
    }

    fn apply(&mut self, event: Event) {
        let id = server();
        match event {
            At(ms) => self.now = TimeUs(ms * 1_000),
            Live(revision) => self.hosts(revision, vec![host(1, HostState::Live)]),
            Leaving(revision) => self.hosts(revision, vec![host(1, HostState::Leaving)]),
            Absent(revision) => self.hosts(revision, Vec::new()),
            Replaced(revision) => {
                let hosts = vec![host(2, HostState::Live), host(1, HostState::Leaving)];
                self.hosts(revision, hosts);
            }
            Serving(incarnation) => self.report(incarnation, false, 0),
            Draining(incarnation) => self.report(incarnation, true, 0),
            Success => self.membership.record_success(self.now, &id),
            Failures(count) => {
                (0..count).for_each(|_| self.membership.record_failure(self.now, &id));
            }
            ProbeSucceeds => {
                self.check_probe(true);
                self.membership.record_probe(self.now, &id, true);
            }
            ProbeFails => {
                self.check_probe(true);
                self.membership.record_probe(self.now, &id, false);
            }
            ProbeSent => self.check_probe(true),
            NoProbe => self.check_probe(false),
        }
    }
}

/// Guards against new requests to a server that is leaving, draining or failing, and against a
/// server that stays out of use without cause.
#[parameterized(
    unknown = { &[], ServerStatus::Unpublished },
    live = { &[Live(1)], ServerStatus::Usable },
    leaving = { &[Live(1), Leaving(2)], ServerStatus::Leaving },
    absent = { &[Live(1), Absent(2)], ServerStatus::Unpublished },
    stale_list = { &[Leaving(2), Live(1)], ServerStatus::Leaving },
    replaced_host = { &[Live(1), Failures(3), Replaced(2)], ServerStatus::Usable },
    drain_before_list = { &[Draining(5), Live(1)], ServerStatus::Draining },
    drain_and_live_again = { &[Live(1), Draining(5), Live(2), At(60_000), Live(3)], ServerStatus::Draining },
    drain_and_republished = { &[Live(1), Draining(5), Absent(2), At(60_000), Live(3)], ServerStatus::Draining },
    drain_and_late_reply = { &[Live(1), Draining(5), Serving(5)], ServerStatus::Draining },
    drain_and_new_incarnation = { &[Live(1), Draining(5), Serving(6)], ServerStatus::Usable },
    drain_of_old_incarnation = { &[Live(1), Serving(6), Draining(5)], ServerStatus::Usable },
    drain_hidden_by_back_off = { &[Live(1), Draining(5), Failures(3), Serving(6)], ServerStatus::BackOff },
    two_failures = { &[Live(1), Failures(2)], ServerStatus::Usable },
    failures_with_success = { &[Live(1), Failures(2), Success, Failures(2)], ServerStatus::Usable },
    three_failures = { &[Live(1), Failures(3)], ServerStatus::BackOff },
    late_success = { &[Live(1), Failures(3), Success], ServerStatus::BackOff },
    only_time_passes = { &[Live(1), Failures(3), At(60_000)], ServerStatus::BackOff },
    probe_succeeds = { &[Live(1), Failures(3), At(1_000), ProbeSucceeds], ServerStatus::Usable },
    probe_not_yet = { &[Live(1), Failures(3), At(999), NoProbe], ServerStatus::BackOff },
    one_probe = { &[Live(1), Failures(3), At(1_000), ProbeSent, NoProbe, At(4_000), NoProbe], ServerStatus::BackOff },
    back_off_doubles = { &[Live(1), Failures(3), At(1_000), ProbeFails, At(2_999), NoProbe, At(3_000), ProbeFails, At(6_999), NoProbe, At(7_000), ProbeSucceeds], ServerStatus::Usable },
    failures_in_back_off = { &[Live(1), Failures(40), At(1_000), ProbeSucceeds], ServerStatus::Usable },
    lost_probe = { &[Live(1), Failures(3), At(1_000), ProbeSent, At(6_000), NoProbe, At(8_000), ProbeSucceeds], ServerStatus::Usable },
    leaving_is_not_probed = { &[Live(1), Failures(3), Leaving(2), At(60_000), NoProbe], ServerStatus::Leaving },
    drain_is_probed = { &[Live(1), Draining(5), NoProbe, At(2_000), ProbeSent, NoProbe, At(4_000), ProbeSent], ServerStatus::Draining },
    replaced_drain_is_probed = { &[Live(1), Draining(5), Replaced(2), ProbeSent], ServerStatus::Draining },
    expired = { &[Live(1), Draining(5), Absent(2), At(600_000), Absent(3), Live(4)], ServerStatus::Usable },
)]
fn status_after_events(events: &[Event], expected: ServerStatus) {
    let mut fixture = Fixture::new();
    events.iter().for_each(|event| fixture.apply(*event));
    assert_eq!(fixture.membership.status(&server()), expected);
    let is_usable = fixture.membership.is_usable(fixture.now, &server());
    assert_eq!(is_usable, expected == ServerStatus::Usable);
}

/// Guards against a back-off longer than 30 s, which would leave a recovered server unused.
#[test]
fn back_off_has_an_upper_bound() {
    let mut fixture = Fixture::new();
    [Live(1), Failures(3)]
        .into_iter()
        .for_each(|event| fixture.apply(event));
    for _ in 0..12 {
        let at = fixture.membership.next_probe_at().expect("probe");
        assert!(at.since(fixture.now) <= DurationUs::from_ms(30_000));
        fixture.now = at;
        fixture.apply(ProbeFails);
    }
}

/// Guards against preferring a server whose calls make no progress, and against never preferring it
/// again because it gets no calls whose replies would show progress.
#[parameterized(
    short = { 2_999, 0, true },
    long = { 3_000, 0, false },
    retained = { 3_000, 4_999, false },
    expired = { 3_000, 5_000, true },
)]
fn stalled_server_is_not_preferred(stall_ms: u64, later_ms: u64, is_preferred: bool) {
    for is_reported in [true, false] {
        let mut fixture = Fixture::new();
        fixture.apply(Live(1));
        if is_reported {
            fixture.report(1, false, stall_ms);
        } else {
            let age = DurationUs::from_ms(stall_ms);
            fixture.membership.record_stall(fixture.now, &server(), age);
        }
        fixture.apply(At(later_ms));
        let membership = &fixture.membership;
        assert_eq!(
            membership.is_preferred(fixture.now, &server()),
            is_preferred
        );
        assert!(membership.is_usable(fixture.now, &server()));
    }
}

/// Guards against routing to the region or address of a host that has been replaced.
#[test]
fn location_follows_the_host_list() {
    let mut fixture = Fixture::new();
    [Live(1), Replaced(2)]
        .into_iter()
        .for_each(|event| fixture.apply(event));
    let membership = &fixture.membership;
    assert_eq!(membership.address_of(&server()), Some("127.0.0.1:2"));
    let region = membership.region_of(&server()).map(ToString::to_string);
    assert_eq!(region.as_deref(), Some("litoral"));
    assert_eq!(membership.usable_servers().count(), 1);
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1u64..20).prop_map(Live),
        (1u64..20).prop_map(Leaving),
        (1u64..20).prop_map(Absent),
        (1u64..20).prop_map(Replaced),
        (1u64..5).prop_map(Serving),
        (1u64..5).prop_map(Draining),
        (0u64..100_000).prop_map(At),
        Just(Success),
        (1u32..4).prop_map(Failures),
    ]
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        cases: 1_000,
        ..Config::default()
    })]

    /// Guards against an order of events that makes a server usable again although its newest
    /// incarnation is draining or the newest host list publishes it as leaving or not at all.
    #[test]
    fn no_order_of_events_makes_a_draining_server_usable(
        events in prop::collection::vec(any_event(), 1..30),
    ) {
        let mut fixture = Fixture::new();
        let mut drained = 0;
        let mut newest = 0;
        let mut listed = (0, false);
        for event in events {
            // Skipped because time never goes back on a monotonic clock.
            match event {
                At(ms) if TimeUs(ms * 1_000) < fixture.now => continue,
                event => fixture.apply(event),
            }
            match event {
                Serving(incarnation) => newest = newest.max(incarnation),
                Draining(incarnation) => {
                    newest = newest.max(incarnation);
                    drained = drained.max(incarnation);
                }
                Live(revision) | Replaced(revision) if revision > listed.0 => listed = (revision, true),
                Leaving(revision) | Absent(revision) if revision > listed.0 => {
                    listed = (revision, false);
                }
                _ => {}
            }
            let may_be_usable = listed.1 && (newest > drained || newest == 0);
            let is_usable = fixture.membership.is_usable(fixture.now, &server());
            prop_assert!(may_be_usable || !is_usable);
        }
    }
}
