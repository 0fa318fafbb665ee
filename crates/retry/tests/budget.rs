//! Compares retry budgets with a reference that keeps the time of every request and retry.

use cuminlead_retry::RetryBudget;
use cuminlead_types::TimeUs;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const WINDOW_US: u64 = 10_000_000;
const BUCKET_US: u64 = 1_000_000;

/// Guards against retry storms (more retries within some 10 s than the limit), and against a budget
/// that refuses a retry although fewer than three were made in the last 11 s.
#[test]
fn limit_holds_in_every_window() {
    let step = (prop_oneof![0..50_000_u64, 0..4_000_000_u64], 0..4_u8);
    let steps = proptest::collection::vec(step, 1..300);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let run = |steps: Vec<(u64, u8)>| {
        let (mut budget, mut now) = (RetryBudget::default(), 0);
        let (mut requests, mut retries) = (Vec::<u64>::new(), Vec::<u64>::new());
        for (wait, kind) in steps {
            now += wait;
            if kind > 0 {
                requests.push(now);
                budget.count_request(TimeUs(now));
                continue;
            }
            let count_within =
                |times: &[u64], us| times.iter().filter(|at| now - **at < us).count();
            let allowed = (count_within(&requests, WINDOW_US) / 10).max(3);
            if budget.try_retry(TimeUs(now)) {
                prop_assert!(count_within(&retries, WINDOW_US) < allowed);
                retries.push(now);
            } else {
                prop_assert!(count_within(&retries, WINDOW_US + BUCKET_US) >= 3);
            }
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&steps, run)
        .unwrap();
}
