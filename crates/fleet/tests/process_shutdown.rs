//! Draining hosts, graceful shutdown and hand-over, with separate processes.

use std::time::{Duration, Instant};

use cuminlead_fleet::handover::{Balancer, Traffic};
use cuminlead_fleet::process::Signal;
use cuminlead_fleet::requests::{FleetGuard, Question, RawRequest};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{Fleet, FleetConfig};
use serde_json::json;
use yare::parameterized;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// P6: a draining server receives no new work after this time.
const DRAINING_MAX: Duration = Duration::from_secs(5);
/// Limit of the design for a graceful shutdown.
const SHUTDOWN_MAX: Duration = Duration::from_secs(120);
const PERMIT_TTL: Duration = Duration::from_secs(2);
const LONG_OUTPUT_TOKENS: usize = 55;
/// Decode step time at which outputs take several seconds.
const STEP_US: &str = "100000";

fn config(counts: ServerCounts) -> FleetConfig {
    let mut config = FleetConfig::new(small_deployment(counts));
    config.engine_arguments = vec!["--step-us".to_string(), STEP_US.to_string()];
    config
}

fn end_gracefully(fleet: &mut Fleet, name: &str) {
    let process = fleet.process(name).expect("process");
    process.signal(Signal::Terminate).expect("signal");
    let deadline = Instant::now() + SHUTDOWN_MAX;
    process.wait_for_clean_end(deadline).expect("clean exit");
}

/// Guards against new work for a draining server, and against an agent that aborts its in-flight
/// requests when it is published as draining or shuts down.
#[test]
fn draining_agent_gets_no_new_work_and_finishes_its_requests() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(config(ServerCounts {
        prefills: 1,
        decodes: 2,
        services: 0,
    }))
    .expect("start");
    let balancer = Balancer::default();
    for entry in ["entry-1", "entry-2"] {
        balancer.add(&fleet, entry, REQUEST_TIMEOUT).expect("add");
    }
    let traffic = Traffic::start(&balancer, fleet.config.deployment.model, 6);
    fleet
        .wait_for("both engines decode", STEP_TIMEOUT, |fleet| {
            Ok(
                !fleet.sequences("decode-1")?.is_empty()
                    && !fleet.sequences("decode-2")?.is_empty(),
            )
        })
        .expect("decode started");
    fleet.publish_draining("agent-decode-1").expect("publish");
    std::thread::sleep(DRAINING_MAX);
    let running = fleet.sequences("decode-1").expect("sequences").len() as u64;
    let done = fleet.count("decode-1", "decodes").expect("counts");
    let count_min = traffic.count() + 8;
    fleet
        .wait_for("requests go on", STEP_TIMEOUT, |_| {
            Ok(traffic.count() >= count_min)
        })
        .expect("requests");
    fleet.config.shutdown_max = SHUTDOWN_MAX;
    fleet
        .shut_down_draining("agent-decode-1")
        .expect("clean exit");
    let outcome = traffic.stop();
    assert!(outcome.unexpected.is_empty(), "{:?}", outcome.unexpected);
    assert!(outcome.complete > 0);
    let done_at_end = fleet.count("decode-1", "decodes").expect("counts");
    assert!(
        done_at_end <= done + running,
        "{done_at_end} decodes at the end; {done} done and {running} running after the bound"
    );
}

/// Guards against a graceful shutdown of an entry or agent that aborts a stream in flight.
#[parameterized(
    of_the_entry = { "entry-1" },
    of_the_decode_agent = { "agent-decode-1" },
)]
fn shutdown_does_not_interrupt_a_stream(name: &str) {
    let _guard = FleetGuard::wait();
    let counts = ServerCounts {
        prefills: 1,
        decodes: 1,
        services: 0,
    };
    let mut fleet = Fleet::start(config(counts)).expect("start");
    let question = Question::with_long_answer("of a process that ends", LONG_OUTPUT_TOKENS);
    let pending = fleet.ask_in_background("entry-1", &question, REQUEST_TIMEOUT);
    let pending = pending.expect("request started");
    fleet
        .wait_until_decoding(STEP_TIMEOUT)
        .expect("decode started");
    end_gracefully(&mut fleet, name);
    let received = pending.join().expect("request thread").expect("response");
    question.check(&received).expect("complete output");
    assert_eq!(fleet.count("decode-1", "decodes").expect("counts"), 1);
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 1);
}

/// Status, error code and outcome for each request of a table; the same lists must give the same
/// responses.
fn decisions(fleet: &Fleet, entry: &str) -> Vec<String> {
    let body = fleet.request_body(&Question::new("of a decision", 2));
    let with_field = |key: &str, value: &str| {
        let mut body = body.clone();
        body[key] = json!(value);
        RawRequest::new("/v1/chat/completions", body)
    };
    let charge = |path: &str| RawRequest::new(path, json!({ "reference": "decision" }));
    let requests = [
        with_field("model", "repair-notes"),
        with_field("model", "no-such-model"),
        with_field("adapter", "kiosk"),
        with_field("adapter", "no-such-adapter"),
        with_field("version", "v9"),
        charge("/v1/services/no-such-service/charges"),
        charge("/v1/services/counter/charges").with_header("idempotency-key", "decision"),
    ];
    let answers = requests.iter().map(|request| {
        let answer = fleet
            .send(entry, request, REQUEST_TIMEOUT)
            .expect("response");
        let error = &answer.body["error"];
        format!("{} {} {}", answer.status, error["code"], error["outcome"])
    });
    answers.collect()
}

/// Guards against requests that are lost, aborted or run twice while the processes of a fleet are
/// replaced one by one, and against new processes that respond differently to the same requests.
#[test]
fn rolling_replacement_loses_no_requests() {
    let _guard = FleetGuard::wait();
    let counts = ServerCounts {
        prefills: 2,
        decodes: 2,
        services: 2,
    };
    let mut config = FleetConfig::new(small_deployment(counts));
    config.shutdown_max = SHUTDOWN_MAX;
    let mut fleet = Fleet::start(config).expect("start");
    let expected_decisions = decisions(&fleet, "entry-1");
    let revision = fleet.lists_revision("entry-1").expect("status");
    let balancer = Balancer::default();
    for entry in ["entry-1", "entry-2"] {
        balancer.add(&fleet, entry, REQUEST_TIMEOUT).expect("add");
    }
    let traffic = Traffic::start(&balancer, fleet.config.deployment.model, 4);
    for name in fleet.agent_and_entry_names() {
        let done = work_done(&fleet, &name);
        balancer.remove(&name);
        fleet.replace(&name).expect("replace");
        fleet.wait_until_ready().expect("ready");
        if name.starts_with("entry") {
            balancer.add(&fleet, &name, REQUEST_TIMEOUT).expect("add");
        }
        wait_until_known(&fleet, &name);
        if let Some(done) = done {
            fleet
                .wait_for("the successor receives requests", STEP_TIMEOUT, |fleet| {
                    Ok(work_done(fleet, &name) > Some(done))
                })
                .expect("work");
        }
        let count_min = traffic.count() + 8;
        fleet
            .wait_for("requests go on", STEP_TIMEOUT, |_| {
                Ok(traffic.count() >= count_min)
            })
            .expect("requests");
    }
    let outcome = traffic.stop();
    std::thread::sleep(PERMIT_TTL);
    outcome
        .check(&fleet.effects().expect("effects"))
        .expect("every request answered, or not run as reported");
    let refusals = &outcome.not_run;
    println!("whole={} not_run={refusals:?}", outcome.complete);
    assert!(
        refusals.len() < outcome.complete,
        "{} whole; {refusals:?}",
        outcome.complete
    );
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(fleet.lists_revision(entry).expect("status"), revision);
        assert_eq!(decisions(&fleet, entry), expected_decisions);
    }
    fleet.stop().expect("clean exit");
}

/// Number of requests that the back end of an agent has run; `None` for an entry.
fn work_done(fleet: &Fleet, name: &str) -> Option<u64> {
    let server = name.strip_prefix("agent-")?;
    let counted = match server.split_once('-')?.0 {
        "prefill" => fleet.count(server, "prefills"),
        "decode" => fleet.count(server, "decodes"),
        _ => fleet
            .effects_of(server)
            .map(|effects| effects.values().sum()),
    };
    Some(counted.expect("counts"))
}

/// Waits until all processes have the host list in which the successor is live.
fn wait_until_known(fleet: &Fleet, name: &str) {
    let published = || fleet.get_json("platform", "address", "/v1/hosts");
    let revision = published().expect("hosts")["revision"].clone();
    for process in fleet.agent_and_entry_names() {
        fleet
            .wait_for(
                &format!("{process} has the host list with the new {name}"),
                STEP_TIMEOUT,
                |f| Ok(f.status(&process)?["hosts_revision"] == revision),
            )
            .expect("host list");
    }
}
