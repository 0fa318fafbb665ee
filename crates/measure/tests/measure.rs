//! Measurement tool: tables are repeatable, no KV cache crosses regions, and no KV memory stays
//! allocated.

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

/// Guards against nondeterministic tables, KV cache on the paid link between regions, KV memory
/// that is not released on engines, and calls that run twice.
#[parameterized(
    of_relojeria = { relojeria() },
    of_bucaramanga = { bucaramanga() },
)]
fn tables_are_repeatable_without_leaks_or_duplicates(deployment: Deployment) {
    let first = rows(deployment.clone());
    let lines = |rows: &[Row]| rows.iter().map(Row::to_tsv).collect::<Vec<_>>();
    assert_eq!(lines(&first), lines(&rows(deployment)));
    for row in &first {
        assert!(row.completed > 0, "{}", row.to_tsv());
        assert_eq!(row.kv_region_bytes, 0, "{}", row.to_tsv());
        assert_eq!(row.held_pieces, 0, "{}", row.to_tsv());
        assert_eq!(row.duplicates, 0, "{}", row.to_tsv());
    }
}
