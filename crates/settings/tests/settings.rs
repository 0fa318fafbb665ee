//! Settings files of both binaries.

use cuminlead_settings::{
    AgentSettings, BackendKind, EntrySettings, Key, LogLevel, Presence, example_text,
};
use cuminlead_types::{Bytes, DurationUs, Findings, Slots};
use yare::parameterized;

const ENTRY: &str = include_str!("../../../examples/entry.toml");
const AGENT: &str = include_str!("../../../examples/agent.toml");
const SECRET: &str = "peer_secret = \"0123456789abcdef\"";

/// Guards against an example file that lacks a key or differs from the code in a default.
#[parameterized(
    entry = { ENTRY, EntrySettings::KEYS },
    agent = { AGENT, AgentSettings::KEYS },
)]
fn example_lists_every_key(example: &str, keys: &[Key]) {
    assert_eq!(example, example_text(keys));
}

/// Guards against example files that the binaries reject, and against changed defaults.
#[test]
fn examples_are_valid() {
    let entry = EntrySettings::parse("entry.toml", ENTRY).expect("valid settings");
    assert_eq!(*entry.body_max_bytes(), Bytes(4 << 20));
    assert_eq!(
        DurationUs::from(*entry.request_max_ms()),
        DurationUs::from_ms(100_000)
    );
    assert_eq!(entry.wasted_prefill_weight().get(), 0.5);
    assert_eq!(*entry.collector_address(), None);
    let agent = AgentSettings::parse("agent.toml", AGENT).expect("valid settings");
    assert_eq!(*agent.slots_count(), Slots(20));
    assert_eq!(*agent.backend(), BackendKind::Engine);
    assert_eq!(*agent.log_level(), LogLevel::Info);
}

/// Guards against a default that applies only when the file states it.
#[test]
fn defaults_apply_to_keys_that_are_not_set() {
    let keys = EntrySettings::KEYS.iter();
    let required = keys.filter_map(|key| match key.presence {
        Presence::Required(example) => Some(format!("{} = {example}\n", key.name)),
        _ => None,
    });
    let minimal: String = required.collect();
    let settings = EntrySettings::parse("short.toml", &minimal).expect("valid settings");
    assert_eq!(Ok(settings), EntrySettings::parse("entry.toml", ENTRY));
}

/// A count as an operator may write it, and what is read; `None` for an error.
struct RoundedCase {
    text: &'static str,
    read: Option<u32>,
}

const ROUNDED_CASES: &[RoundedCase] = &[
    RoundedCase {
        text: "0",
        read: Some(0),
    },
    RoundedCase {
        text: "84",
        read: Some(84),
    },
    RoundedCase {
        text: "84.0",
        read: Some(84),
    },
    RoundedCase {
        text: "84.9",
        read: Some(84),
    },
    RoundedCase {
        text: "0.5",
        read: Some(0),
    },
    RoundedCase {
        text: "8.45e1",
        read: Some(84),
    },
    RoundedCase {
        text: "5000000.5",
        read: Some(5_000_000),
    },
    RoundedCase {
        text: "4294967295",
        read: Some(u32::MAX),
    },
    RoundedCase {
        text: "4294967296",
        read: None,
    },
    RoundedCase {
        text: "1e300",
        read: None,
    },
    RoundedCase {
        text: "-1",
        read: None,
    },
    RoundedCase {
        text: "-0.5",
        read: None,
    },
    RoundedCase {
        text: "nan",
        read: None,
    },
    RoundedCase {
        text: "inf",
        read: None,
    },
    RoundedCase {
        text: "\"84\"",
        read: None,
    },
];

/// Guards against an entry that ends at its start because a count of the platform has a fraction.
#[test]
fn count_may_have_a_fraction() {
    for case in ROUNDED_CASES {
        let line = format!("retries_extra_count = {}", case.text);
        let text = ENTRY.replace("retries_extra_count = 54", &line);
        let settings = EntrySettings::parse("entry.toml", &text).ok();
        let read = settings.map(|settings| settings.retries_extra_count().0);
        assert_eq!(read, case.read, "{}", case.text);
    }
}

fn entry_findings(text: &str) -> Findings {
    EntrySettings::parse("entry.toml", text)
        .err()
        .unwrap_or_default()
}

/// Guards against an invalid entry setting that is accepted, and a finding without its location.
#[parameterized(
    unknown = { "log_level = \"info\"", "log_lvl = 1", "entry.toml:LINE: log_lvl: unknown key" },
    syntax = { "log_level = \"info\"", "log_level = ", "entry.toml:LINE: " },
    missing = { "name = \"entry-1\"", "", "entry.toml: name: missing" },
    host_name = { "listen_address = \"127.0.0.1:8080\"", "listen_address = \"localhost:8080\"", "entry.toml:LINE: listen_address: expected IP address and port" },
    no_port = { "platform_address = \"127.0.0.1:8000\"", "platform_address = \"127.0.0.1\"", "entry.toml:LINE: platform_address: expected IP address and port" },
    text_for_number = { "body_max_bytes = 4194304", "body_max_bytes = \"4 MiB\"", "entry.toml:LINE: body_max_bytes: expected bytes" },
    range = { "body_max_bytes = 4194304", "body_max_bytes = 1", "entry.toml:LINE: body_max_bytes: 1 is out of range 1024 to 67108864" },
    too_large = { "workers_max_count = 512", "workers_max_count = 4294967297", "entry.toml:LINE: workers_max_count: 4294967297 is out of range" },
    weight = { "wasted_prefill_weight = 0.5", "wasted_prefill_weight = 1.5", "entry.toml:LINE: wasted_prefill_weight: expected fraction from 0.0 to 1.0" },
    not_a_number = { "wasted_prefill_weight = 0.5", "wasted_prefill_weight = nan", "entry.toml:LINE: wasted_prefill_weight: expected fraction" },
    level = { "log_level = \"info\"", "log_level = \"loud\"", "entry.toml:LINE: log_level: expected trace, debug, info, warning or error, found \"loud\"" },
    short_drain = { "drain_max_ms = 120000", "drain_max_ms = 100000", "entry.toml:LINE: drain_max_ms: must be longer than request_max_ms" },
    same_address = { "admin_address = \"127.0.0.1:8082\"", "admin_address = \"127.0.0.1:8081\"", "entry.toml:LINE: admin_address: same as peer_address" },
)]
fn invalid_entry_setting_is_reported(valid: &str, invalid: &str, expected: &str) {
    let offset = ENTRY
        .find(&format!("\n{valid}\n"))
        .expect("line of the example")
        + 1;
    let line = 1 + ENTRY[..offset].matches('\n').count();
    let text = format!(
        "{}{invalid}{}",
        &ENTRY[..offset],
        &ENTRY[offset + valid.len()..]
    );
    let found = entry_findings(&text).to_string();
    let expected = expected.replace("LINE", &line.to_string());
    assert!(
        found.lines().any(|finding| finding.starts_with(&expected)),
        "{found}"
    );
}

/// Guards against an agent setting that is accepted although it is outside the limits of the
/// design.
#[parameterized(
    lease = { "lease_max_ms = 30000", "lease_max_ms = 30001", "lease_max_ms: 30001 is out of range" },
    kv_retention = { "kv_hold_ms = 10000", "kv_hold_ms = 3999", "kv_hold_ms: must be at least twice import_timeout_ms" },
    backend = { "backend = \"engine\"", "backend = \"proxy\"", "backend: expected engine or service" },
    drain = { "drain_max_ms = 120000", "drain_max_ms = 30000", "drain_max_ms: must be longer than lease_max_ms" },
)]
fn invalid_agent_setting_is_reported(valid: &str, invalid: &str, expected: &str) {
    let text = AGENT.replace(valid, invalid);
    let found = AgentSettings::parse("agent.toml", &text)
        .expect_err("findings")
        .to_string();
    assert!(found.contains(expected), "{found}");
}

/// Guards against a check that stops at the first problem.
#[test]
fn findings_are_collected() {
    let text = ENTRY.replace("= 4194304", "= 1").replace("= 512", "= 0");
    let found = entry_findings(&format!("{text}\ncolour = 1\n"));
    assert_eq!(found.len(), 3, "{found}");
}

/// Guards against effective settings that cannot be read back as the same settings.
#[test]
fn effective_settings_parse_back() {
    let text = ENTRY.replace("# collector_address", "collector_address");
    let settings = EntrySettings::parse("entry.toml", &text).expect("valid settings");
    assert_eq!(
        EntrySettings::parse("effective", &settings.to_string()),
        Ok(settings)
    );
}

/// Guards against the peer secret appearing in logs, debug output or findings.
#[test]
fn secret_is_redacted() {
    let text = format!("{ENTRY}\n{SECRET}\n");
    let settings = EntrySettings::parse("entry.toml", &text).expect("valid settings");
    let secret = settings.peer_secret().as_ref().expect("secret");
    assert_eq!(secret.expose(), "0123456789abcdef");
    assert!(settings.to_string().contains("peer_secret = \"redacted\""));
    assert!(!settings.to_string().contains("0123456789abcdef"));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    let short_secret = format!("{ENTRY}\npeer_secret = \"hush hush\"\n");
    let found = entry_findings(&short_secret).to_string();
    assert!(
        found.contains("peer_secret") && !found.contains("hush"),
        "{found}"
    );
}
