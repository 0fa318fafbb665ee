//! Traces: a span for each hop in the caller's trace, and faults of the collector.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::Duration;

use cuminlead_fleet::caller::Received;
use cuminlead_fleet::requests::{FleetGuard, Question, RawRequest};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{Fleet, FleetConfig};
use cuminlead_stand_ins::collector::{Collector, CollectorMode};
use serde_json::json;
use yare::parameterized;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit of the design for a graceful shutdown.
const SHUTDOWN_MAX: Duration = Duration::from_secs(120);
const MODEL_TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALL_TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "00f067aa0ba902b7";
const SERVER_COUNTS: ServerCounts = ServerCounts {
    prefills: 1,
    decodes: 1,
    services: 1,
};

/// Configuration in which all agents and entries export spans to one collector.
fn config(collector: &str) -> FleetConfig {
    let mut config = FleetConfig::new(small_deployment(SERVER_COUNTS));
    config.shutdown_max = SHUTDOWN_MAX;
    for settings in [&mut config.agent_settings, &mut config.entry_settings] {
        settings.insert("collector_address".to_string(), format!("\"{collector}\""));
    }
    config
}

fn with_trace(trace: &str, request: RawRequest) -> RawRequest {
    request.with_header("traceparent", format!("00-{trace}-{CALLER_SPAN}-01"))
}

fn expected(names: &[(&str, usize)]) -> BTreeMap<String, usize> {
    let counts = names.iter().map(|name| (name.0.to_string(), name.1));
    counts.collect()
}

/// Guards against a hop without a span, a span outside the caller's trace or without a known parent,
/// and spans that are lost when a process shuts down before it has exported them.
#[test]
fn every_hop_has_a_span_in_the_trace_of_the_caller() {
    let _guard = FleetGuard::wait();
    let collector = Collector::start(CollectorMode::Keep).expect("collector");
    let fleet = Fleet::start(config(&collector.address().to_string())).expect("start");
    let question = Question::new("of a traced request", 8);
    let model = RawRequest::new("/v1/chat/completions", fleet.request_body(&question));
    let charge = RawRequest::new(
        "/v1/services/counter/charges",
        json!({ "reference": "traced", "amount": 1 }),
    );
    for request in [
        with_trace(MODEL_TRACE, model),
        with_trace(CALL_TRACE, charge),
    ] {
        let answer = fleet.send("entry-1", &request, REQUEST_TIMEOUT);
        assert_eq!(answer.expect("response").status, 200);
    }
    fleet.stop().expect("clean exit");
    assert_eq!(
        collector.counts(MODEL_TRACE),
        expected(&[
            ("cuminlead-entry model_call", 1),
            ("cuminlead-entry reserve", 1),
            ("cuminlead-agent reserve", 1),
            ("cuminlead-entry prefill", 1),
            ("cuminlead-agent prefill", 1),
            ("cuminlead-entry decode", 1),
            ("cuminlead-agent decode", 1),
            ("cuminlead-agent transfer", 1),
            ("cuminlead-entry release", 1),
            ("cuminlead-agent release", 1),
        ])
    );
    assert_eq!(
        collector.counts(CALL_TRACE),
        expected(&[
            ("cuminlead-entry application_call", 1),
            ("cuminlead-entry issue_permit", 1),
            ("cuminlead-agent issue_permit", 1),
            ("cuminlead-entry run_call", 1),
            ("cuminlead-agent run_call", 1),
            ("cuminlead-agent service", 1),
        ])
    );
    for trace in [MODEL_TRACE, CALL_TRACE] {
        let spans = collector.spans(trace);
        for span in &spans {
            let is_linked =
                span.parent == CALLER_SPAN || spans.iter().any(|other| other.id == span.parent);
            assert!(is_linked, "no parent of {span:?} in {spans:?}");
        }
        let roots = spans.iter().filter(|span| span.parent == CALLER_SPAN);
        assert_eq!(roots.count(), 1, "{spans:?}");
    }
}

/// Fault of a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CollectorFault {
    /// No process listens at its address.
    Down,
    /// Connections are established but never read.
    Silent,
    /// The stand-in handles exports as its mode says.
    Mode(CollectorMode),
}

/// Guards against tracing that delays, changes or loses a response, or delays a shutdown, when the
/// collector is unreachable, unresponsive or returns errors.
#[parameterized(
    down = { CollectorFault::Down },
    silent = { CollectorFault::Silent },
    hanging = { CollectorFault::Mode(CollectorMode::Hang) },
    refusing = { CollectorFault::Mode(CollectorMode::Refuse) },
    failing = { CollectorFault::Mode(CollectorMode::Fail) },
)]
fn failing_collector_changes_no_response(fault: CollectorFault) {
    let _guard = FleetGuard::wait();
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let mut address = listener.local_addr().expect("address");
    let mut collector = None;
    match fault {
        CollectorFault::Down => drop(listener),
        CollectorFault::Silent => {}
        CollectorFault::Mode(mode) => {
            let started = Collector::start(mode).expect("collector");
            address = started.address();
            collector = Some(started);
        }
    }
    let mut config = config(&address.to_string());
    config.engine_arguments = vec!["--step-us".to_string(), "20000".to_string()];
    let fleet = Fleet::start(config).expect("start");
    let questions: Vec<Question> = (0..12)
        .map(|number| Question::new(&format!("of an untraced request {number}"), 8))
        .collect();
    let pending: Vec<_> = questions
        .iter()
        .map(|question| fleet.ask_in_background("entry-1", question, REQUEST_TIMEOUT))
        .collect();
    let charge_client = fleet
        .charge_client("entry-2", REQUEST_TIMEOUT)
        .expect("charger");
    for number in 0..12 {
        let answer = charge_client.send(&format!("untraced-{number}"), &[]);
        assert_eq!(answer.expect("response").status, 200);
    }
    for (question, pending) in questions.iter().zip(pending) {
        question
            .check(&join_response(pending.expect("request started")))
            .expect("complete output");
    }
    let errors = fleet.metric("entry-1", "cuminlead_entry_errors_total");
    assert_eq!(errors.expect("metrics"), 0.0);
    if let Some(collector) = &collector {
        fleet
            .wait_for("an export arrives", STEP_TIMEOUT, |_| {
                Ok(collector.requests_count() > 0)
            })
            .expect("export");
    }
    let question = Question::with_long_answer("at the end", 30);
    let pending = fleet.ask_in_background("entry-1", &question, REQUEST_TIMEOUT);
    fleet
        .wait_until_decoding(STEP_TIMEOUT)
        .expect("decode started");
    fleet.stop().expect("clean end within the bound");
    question
        .check(&join_response(pending.expect("request started")))
        .expect("complete output");
}

fn join_response(pending: std::thread::JoinHandle<std::io::Result<Received>>) -> Received {
    pending.join().expect("request thread").expect("response")
}
