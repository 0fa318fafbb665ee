//! Non-idempotent calls and KV memory when processes pause or restart, with separate processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminlead_fleet::call_reports::{self, ReportedOutcome};
use cuminlead_fleet::process::Signal;
use cuminlead_fleet::requests::{FleetGuard, Question};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{Fleet, FleetConfig};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const MEMORY_FREED_MAX: Duration = Duration::from_secs(30);
/// Longer than `permit_ttl_ms` (2 s), so that permits expire during the pause.
const PAUSE: Duration = Duration::from_secs(3);
/// Longer than `orphan_ms` (5 s), so that the leases of a paused entry expire during the pause.
const LONG_PAUSE: Duration = Duration::from_secs(7);
/// Lifetime of a permit: one that has not started by then is void.
const PERMIT_TTL: Duration = Duration::from_secs(2);
/// Setting `key_staleness_ms` of the agents: an earlier owner of a key may run it for this long.
/// Longer than the 5 s between two queries for a confirmation of the lists.
const KEY_STALENESS_MS: u64 = 15_000;
/// A key counts as new if it was issued this long after the agent applied its first lists.
const KEY_MARGIN_MS: u64 = KEY_STALENESS_MS + 5_000;
const WORK_MS: &str = "100";
const LONG_OUTPUT_TOKENS: usize = 55;
/// Decode step time at which the output takes longer than [`LONG_PAUSE`].
const STEP_US: &str = "150000";
const BOTH_ENTRIES: [&str; 2] = ["entry-1", "entry-2"];

fn counters() -> FleetConfig {
    let counts = ServerCounts {
        services: 2,
        ..ServerCounts::default()
    };
    let mut config = FleetConfig::new(small_deployment(counts));
    config.service_arguments = vec!["--work-ms".to_string(), WORK_MS.to_string()];
    let staleness = ("key_staleness_ms".to_string(), KEY_STALENESS_MS.to_string());
    config.agent_settings.extend([staleness]);
    config
}

/// Waits until `more` further calls have ended.
fn wait_for_charges(fleet: &Fleet, charges: &call_reports::ChargeTraffic, more: usize) {
    let count_min = charges.count() + more;
    fleet
        .wait_for("further calls have ended", STEP_TIMEOUT, |_| {
            Ok(charges.count() >= count_min)
        })
        .expect("calls ended");
}

/// Compares the reported outcomes with the effects, once all permits have expired.
fn check_call_reports(fleet: &Fleet, call_reports: &[call_reports::CallReport]) {
    std::thread::sleep(PERMIT_TTL);
    let effects = fleet.effects().expect("effects");
    call_reports::check(call_reports, &effects).expect("reported outcomes match the effects");
    assert!(
        call_reports
            .iter()
            .any(|report| report.reported == ReportedOutcome::Ran)
    );
}

/// Guards against a call that runs twice, or runs after it was reported as not run, because a paused
/// agent uses an expired permit when it resumes.
#[test]
fn paused_agent_runs_no_call_twice() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(counters()).expect("start");
    let charges = fleet
        .start_charges(&BOTH_ENTRIES, 4, REQUEST_TIMEOUT)
        .expect("charges");
    wait_for_charges(&fleet, &charges, 8);
    let agent = "agent-counter-1";
    let signal = |fleet: &mut Fleet, signal| fleet.process(agent).expect("agent").signal(signal);
    signal(&mut fleet, Signal::Stop).expect("stop");
    std::thread::sleep(PAUSE);
    signal(&mut fleet, Signal::Continue).expect("continue");
    wait_for_charges(&fleet, &charges, 16);
    let call_reports = charges.stop();
    check_call_reports(&fleet, &call_reports);
    fleet.stop().expect("clean exit");
}

/// Guards against a call that runs twice because a paused entry retries it when it resumes.
#[test]
fn paused_entry_runs_no_call_twice() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(counters()).expect("start");
    let charges = fleet
        .start_charges(&BOTH_ENTRIES, 4, REQUEST_TIMEOUT)
        .expect("charges");
    wait_for_charges(&fleet, &charges, 8);
    let entry = "entry-1";
    let signal = |fleet: &mut Fleet, signal| fleet.process(entry).expect("entry").signal(signal);
    signal(&mut fleet, Signal::Stop).expect("stop");
    std::thread::sleep(LONG_PAUSE);
    signal(&mut fleet, Signal::Continue).expect("continue");
    wait_for_charges(&fleet, &charges, 16);
    let call_reports = charges.stop();
    check_call_reports(&fleet, &call_reports);
    fleet.stop().expect("clean exit");
}

/// Guards against engine memory that stays allocated while its entry is paused, and against a wrong
/// output when the entry resumes after its leases have expired.
#[test]
fn paused_entry_resumes_its_response_and_retains_no_memory() {
    let _guard = FleetGuard::wait();
    let counts = ServerCounts {
        prefills: 1,
        decodes: 1,
        services: 0,
    };
    let mut config = FleetConfig::new(small_deployment(counts));
    config.engine_arguments = vec!["--step-us".to_string(), STEP_US.to_string()];
    let mut fleet = Fleet::start(config).expect("start");
    let question = Question::with_long_answer("of a paused entry", LONG_OUTPUT_TOKENS);
    let pending = fleet.ask_in_background("entry-1", &question, REQUEST_TIMEOUT);
    let pending = pending.expect("request started");
    fleet
        .wait_until_decoding(STEP_TIMEOUT)
        .expect("decode started");
    let entry = fleet.process("entry-1").expect("entry");
    entry.signal(Signal::Stop).expect("stop");
    fleet
        .wait_until_memory_is_free(MEMORY_FREED_MAX)
        .expect("free engine memory while the entry is paused");
    let entry = fleet.process("entry-1").expect("entry");
    entry.signal(Signal::Continue).expect("continue");
    let received = pending.join().expect("request thread").expect("response");
    question.check(&received).expect("complete output");
    fleet
        .wait_until_memory_is_free(MEMORY_FREED_MAX)
        .expect("free engine memory");
    fleet.stop().expect("clean exit");
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("time after 1970").as_millis()).expect("time in 64 bits")
}

/// Waits until keys count as new at every service agent, and returns the time from which they do, in
/// Unix milliseconds.
fn wait_for_new_keys(fleet: &Fleet) -> u64 {
    let incarnation_of = |agent: &str| {
        let status = fleet.status(agent).expect("status");
        status["incarnation"].as_u64().expect("incarnation")
    };
    let started_at = ["agent-counter-1", "agent-counter-2"].map(incarnation_of);
    // The agents apply the lists after their start, and this counts as a change of the servers.
    let now = unix_ms().max(started_at[0]).max(started_at[1]);
    let issued_at = now + KEY_MARGIN_MS;
    fleet
        .wait_for("keys count as new", STEP_TIMEOUT, |_| {
            Ok(unix_ms() >= issued_at)
        })
        .expect("time passes");
    issued_at
}

fn key_headers(key: &str, issued_at_ms: u64) -> Vec<(String, String)> {
    vec![
        ("idempotency-key".to_string(), key.to_string()),
        (
            "idempotency-issued-at-ms".to_string(),
            issued_at_ms.to_string(),
        ),
    ]
}

/// Guards against a second effect of one idempotency key, through another entry or after the agent
/// that had the record of the key was killed.
#[test]
fn idempotency_key_has_one_effect() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(counters()).expect("start");
    let headers = key_headers("order-17", wait_for_new_keys(&fleet));
    let send = |fleet: &Fleet, entry: &str, reference: &str| {
        let charge_client = fleet
            .charge_client(entry, REQUEST_TIMEOUT)
            .expect("charger");
        charge_client.send(reference, &headers).expect("response")
    };
    let first = send(&fleet, "entry-1", "keyed");
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(send(&fleet, "entry-2", "keyed"), first);
    for agent in ["agent-counter-1", "agent-counter-2"] {
        fleet.process(agent).expect("agent").kill();
        fleet.restart(agent).expect("restart");
    }
    fleet.publish_hosts().expect("publish");
    for entry in BOTH_ENTRIES {
        // Until the entry has the new addresses of the agents, it refuses the call as not run.
        let timeout = STEP_TIMEOUT;
        fleet
            .wait_for("the outcome is reported as unknown", timeout, |fleet| {
                let answer = send(fleet, entry, "keyed");
                assert!([503, 504].contains(&answer.status), "{answer:?}");
                Ok(answer.body["error"]["outcome"] == "unknown")
            })
            .expect("unknown outcome");
    }
    let effects = fleet.effects().expect("effects");
    assert_eq!(effects.get("keyed"), Some(&1), "{effects:?}");
    fleet.stop().expect("clean exit");
}
