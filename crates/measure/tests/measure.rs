//! Measuring tool: repeatable tables, no KV cache between regions, nothing held afterwards.

use cuminlead_fleet::deployment::{Deployment, bucaramanga, relojeria};
use cuminlead_measure::{Row, RunFault, RunPlan, Site, run_all};
use cuminlead_types::DurationUs;
use yare::parameterized;

fn rows(deployment: Deployment) -> Vec<Row> {
    let site = Site::new(deployment);
    let plan = |policy: &str, fault| RunPlan {
        policy: policy.to_string(),
        load: 0.9,
        fault,
        seed: 3,
        length: DurationUs::from_ms(3_000),
    };
    let plans = [
        plan("prefix-cost", None),
        plan("prefill-first", None),
        plan("prefix-cost", Some(RunFault::RegionCut)),
    ];
    run_all(&site, &plans)
}

/// Guards against tables that cannot be repeated, KV cache on the paid link, engine memory that
/// stays held and calls that run twice.
#[parameterized(
    of_relojeria = { relojeria() },
    of_bucaramanga = { bucaramanga() },
)]
fn tables_are_repeatable_and_clean(deployment: Deployment) {
    let first = rows(deployment.clone());
    let lines = |rows: &[Row]| rows.iter().map(Row::line).collect::<Vec<_>>();
    assert_eq!(lines(&first), lines(&rows(deployment)));
    for row in &first {
        assert!(row.completed > 0, "{}", row.line());
        assert_eq!(row.kv_region_bytes, 0, "{}", row.line());
        assert_eq!(row.held_pieces, 0, "{}", row.line());
        assert_eq!(row.duplicates, 0, "{}", row.line());
    }
}
