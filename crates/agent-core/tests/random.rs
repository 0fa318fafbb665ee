//! Invariants of an agent under random events with a fixed seed: requests, streams, late and
//! reordered engine events, permits, lists, orders, an unresponsive engine, and drain.

mod random_events;
mod support;

use std::cell::Cell;

use proptest::prelude::prop;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use random_events::harness::{Harness, SERVICE};
use random_events::operations::op;

const CASES: u32 = 500;
const SEED: u64 = 11;

/// Guards against decode slots or KV pieces that are leaked or counted twice, a lease that never
/// ends, a message that is answered twice, a call that is executed twice, a role that changes while
/// leases are held, new work, permits or orders of a draining agent, a drain that completes early,
/// twice or never, a deadline that stays due, and memory that is retained longer than the design
/// allows.
#[yare::parameterized(
    decode = { "decode-1" },
    prefill = { "prefill-1" },
    service = { SERVICE },
)]
fn random_events_keep_invariants(server: &'static str) {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    });
    let ops = prop::collection::vec(op(), 1..120);
    let accepted_count = Cell::new(0);
    let permits_count = Cell::new(0);
    let result = runner.run(&ops, |ops| {
        let mut harness = Harness::new(server);
        for op in &ops {
            harness.apply(op);
        }
        harness.finish();
        accepted_count.set(accepted_count.get() + harness.accepted.len());
        permits_count.set(permits_count.get() + harness.permits.len());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let (accepted_count, permits_count) = (accepted_count.get(), permits_count.get());
    println!("{server}: {CASES} sequences, {accepted_count} attempts, {permits_count} permits");
    let worked_count = accepted_count + permits_count;
    assert!(
        worked_count > CASES as usize,
        "only {worked_count} attempts and permits in {CASES} cases"
    );
}
