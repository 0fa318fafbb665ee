//! The subcommand `check-lists`, with which operators check plans and allowances before publishing.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use yare::parameterized;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn check_lists(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cuminlead-entry"));
    let output = command.arg("check-lists").args(arguments).output();
    output.expect("the binary runs")
}

fn example(deployment: &str, list: &str) -> String {
    format!("{EXAMPLES}/{deployment}/{list}.toml")
}

/// Writes a file to the temporary directory of this test.
fn write(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("write");
    path
}

/// Guards against example files with errors, which every process would refuse.
#[parameterized(
    of_relojeria = { "relojeria", "no findings: customers=3 servers=11\n" },
    of_bucaramanga = { "bucaramanga", "no findings: customers=3 servers=12\n" },
)]
fn example_lists_have_no_findings(deployment: &str, expected: &str) {
    let plans = example(deployment, "plans");
    let allowances = example(deployment, "allowances");
    let output = check_lists(&["--plans", &plans, "--allowances", &allowances]);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(String::from_utf8_lossy(&output.stdout), expected);
    assert_eq!(output.status.code(), Some(0));
}

/// Guards against a check that stops at the first finding, omits the file, line or key, or exits
/// with status 0.
#[test]
fn every_finding_is_printed_with_its_location() {
    let plans = fs::read_to_string(example("relojeria", "plans")).expect("plans");
    let plans = plans
        .replacen("weight = 4", "weight = 0", 1)
        .replacen("first_token_ms = 30000", "first_token_s = 30", 1)
        .replacen("plan = \"nightly\"", "plan = \"daily\"", 1);
    let allowances = fs::read_to_string(example("relojeria", "allowances")).expect("allowances");
    let allowances = allowances
        .replacen("role = \"prefill\"", "role = \"both\"", 1)
        .replacen("id = \"counter-2\"", "id = \"counter-1\"", 1)
        .replacen("priority = 5", "priority = 10", 1)
        .replacen("\"counter-3\"]", "\"counter-9\"]", 1);
    let plans_file = write("faulty-plans.toml", &plans).display().to_string();
    let allowances_file = write("faulty-allowances.toml", &allowances);
    let allowances_file = allowances_file.display().to_string();
    let output = check_lists(&[
        "--plans",
        &plans_file,
        "--allowances",
        &allowances_file,
        "--allowances",
        "no-such-file.toml",
    ]);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    let line_of = |text: &str, wanted: &str| {
        let at = text.lines().position(|line| line.contains(wanted));
        at.unwrap_or_else(|| panic!("no line {wanted}")) + 1
    };
    let in_plans = |wanted: &str| format!("{plans_file}:{}: ", line_of(&plans, wanted));
    let in_allowances =
        |wanted: &str| format!("{allowances_file}:{}: ", line_of(&allowances, wanted));
    for expected in [
        format!("{}plan.weight: 0 is out", in_plans("weight = 0")),
        format!("{}plan.first_token_s: unknown", in_plans("first_token_s")),
        format!("{}customer.plan: no plan daily", in_plans("\"daily\"")),
        format!("{}server.role: expected", in_allowances("\"both\"")),
        format!("{}allowance.model.priority: 10", in_allowances("= 10")),
        format!(
            "{}allowance.service.servers: no server counter-9",
            in_allowances("counter-9")
        ),
        "server.id: server counter-1 is listed twice".to_string(),
        "no-such-file.toml: cannot be read: ".to_string(),
    ] {
        assert!(printed.contains(&expected), "{expected}\n---\n{printed}");
    }
    assert_eq!(output.stdout, b"");
    assert_eq!(output.status.code(), Some(1));
}

/// Guards against a list that passes the check but is larger than the configuration service stores,
/// and against a command line without lists that exits with status 0.
#[test]
fn size_and_command_line_are_checked() {
    let large = "#".repeat(1_000_001);
    let file = write("large.toml", &large).display().to_string();
    let output = check_lists(&["--plans", &file]);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(printed.contains("1000001 bytes are more"), "{printed}");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(check_lists(&[]).status.code(), Some(2));
    assert_eq!(check_lists(&["--plan-file", "x"]).status.code(), Some(2));
}
