//! Load tool: parsing the output of a kept fleet, and table rows of runs on real processes.

use cuminlead_fleet::Fleet;
use cuminlead_fleet::deployment::relojeria;
use cuminlead_fleet::requests::FleetGuard;
use cuminlead_load::table::{self, Counts};
use cuminlead_load::{LoadPlan, Target, run, target};
use cuminlead_measure::Site;
use cuminlead_types::DurationUs;
use yare::parameterized;

/// Output of `./dev/demo --keep` with one line for each process of relojeria, without the lines
/// that contain `left_out`.
fn demo_output(left_out: &str) -> String {
    let deployment = relojeria();
    let servers = deployment.servers.iter();
    let servers = servers.map(|spec| format!("process={} pid=1 address=127.0.0.1:1\n", spec.id));
    let entries = deployment.entries.iter().map(|spec| {
        let name = &spec.name;
        format!("process={name} pid=2 admin=127.0.0.1:2 callers=127.0.0.1:3 peer=127.0.0.1:4\n")
    });
    let lines = servers.chain(entries).chain(["key=secret\n".to_string()]);
    lines
        .filter(|line| left_out.is_empty() || !line.contains(left_out))
        .collect()
}

/// Guards against putting load on only some processes of a kept fleet because a line of its output
/// is missing.
#[parameterized(
    complete = { "", true },
    without_an_engine = { "process=notes-1 ", false },
    without_an_entry = { "process=entry-2 ", false },
    without_the_key = { "key=", false },
)]
fn output_of_a_kept_fleet_is_parsed_only_if_complete(left_out: &str, is_read: bool) {
    let target = Target::parse(relojeria(), &demo_output(left_out));
    assert_eq!(target.is_ok(), is_read, "{target:?}");
    if let Ok(target) = target {
        assert_eq!(target.entries[1].caller_address, "127.0.0.1:3");
        assert_eq!(target.entries[1].admin_address, "127.0.0.1:2");
        assert_eq!(target.key, "secret");
    }
}

/// Guards against rows that omit requests, and against wrong answers, KV memory that is not
/// released, KV cache between regions, and calls that run twice on real processes under load.
#[test]
fn row_of_real_processes_accounts_for_all_requests() {
    let _guard = FleetGuard::wait();
    let site = Site::new(relojeria());
    let fleet = Fleet::start(target::fleet_config(&site, "prefix-cost")).expect("a fleet");
    let target = Target::from_fleet(&fleet).expect("addresses");
    let plan = LoadPlan {
        policy: "prefix-cost".to_string(),
        load: 0.3,
        seed: 3,
        length: DurationUs::from_ms(3_000),
        answers_to_limit: true,
    };
    let before = Counts::read(&target).expect("counts");
    let run = run(&site, &target, &plan).expect("a run");
    let row = table::row(&site, &target, &plan, &run, &before).expect("a row");
    let ended = row.completed + row.cancelled + row.not_run + row.incomplete;
    assert!(row.completed > 0, "{}", row.to_tsv());
    assert_eq!(ended, row.offered, "{}", row.to_tsv());
    assert_eq!(row.kv_region_bytes, 0, "{}", row.to_tsv());
    assert_eq!(row.held_pieces, 0, "{}", row.to_tsv());
    assert_eq!(row.duplicates, 0, "{}", row.to_tsv());
    let wrong = |error: &Option<String>| error.as_deref() == Some("wrong_answer");
    assert!(!run.outcomes.iter().any(|outcome| wrong(&outcome.error)));
    fleet.stop().expect("a clean end");
}
