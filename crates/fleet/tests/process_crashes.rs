//! Prompts that crash engines, with separate processes.

use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{Fleet, FleetConfig};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const CRASH_TEXT: &str = "zz-crash-zz";
const ENTRY: &str = "entry-1";
/// More than the attempts of one request, so that one engine remains.
const DECODES_COUNT: usize = 4;

fn start() -> Fleet {
    let counts = ServerCounts {
        prefills: 1,
        decodes: DECODES_COUNT,
        ..ServerCounts::default()
    };
    let mut config = FleetConfig::new(small_deployment(counts));
    config.engine_arguments = vec!["--crash-text".to_string(), CRASH_TEXT.to_string()];
    Fleet::start(config).expect("start")
}

/// Guards against sending a request that has crashed several engines to the remaining ones when its
/// caller repeats it.
#[test]
fn repeated_request_that_crashes_engines_is_refused() {
    let _guard = FleetGuard::wait();
    let fleet = start();
    let crashing = Question::new(CRASH_TEXT, 8);
    let first = fleet
        .ask(ENTRY, &crashing, REQUEST_TIMEOUT)
        .expect("response");
    assert_eq!(
        first.error_code.as_deref(),
        Some("backend_failed"),
        "{first:?}"
    );
    fleet
        .wait_for("the prompt is quarantined", STEP_TIMEOUT, |fleet| {
            let quarantined = fleet.metric(ENTRY, "cuminlead_entry_quarantined_parts")?;
            Ok(quarantined > 0.0)
        })
        .expect("quarantined");
    let second = fleet
        .ask(ENTRY, &crashing, REQUEST_TIMEOUT)
        .expect("response");
    assert_eq!(second.status, 503, "{second:?}");
    assert_eq!(second.error_code.as_deref(), Some("quarantined"));
    let sound = Question::new("Repair note of another kiosk.", 8);
    let received = fleet.ask(ENTRY, &sound, REQUEST_TIMEOUT).expect("response");
    sound.check(&received).expect("complete output");
    fleet.stop().expect("stop");
}
