//! Probes after failed calls.

use cuminlead_membership::crash_probes::CrashProbes;
use cuminlead_types::{BackendServerId, TimeUs};

fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

/// Failed calls (ms, server), and the probes that follow (ms, server).
struct Case {
    failures: &'static [(u64, &'static str)],
    probes: &'static [(u64, &'static str)],
}

const CASES: &[Case] = &[
    Case {
        failures: &[],
        probes: &[],
    },
    Case {
        failures: &[(0, "s1")],
        probes: &[(1_200, "s1")],
    },
    Case {
        failures: &[(0, "s1"), (400, "s1"), (1_100, "s1"), (1_300, "s1")],
        probes: &[(1_200, "s1"), (2_500, "s1")],
    },
    Case {
        failures: &[(0, "s1"), (100, "s2")],
        probes: &[(1_200, "s1"), (1_300, "s2")],
    },
];

/// Guards against an entry that never learns that an engine has crashed on a call, and against a
/// probe for each of many failed calls.
#[test]
fn failed_calls_are_followed_by_one_probe() {
    for case in CASES {
        let mut probes = CrashProbes::default();
        let mut sent = Vec::new();
        for at in (0..10_000).step_by(100) {
            for (_, server) in case
                .failures
                .iter()
                .filter(|(failed_at, _)| *failed_at == at)
            {
                let server: BackendServerId = server.parse().expect("a valid fixture");
                probes.record_failure(ms(at), &server);
            }
            let is_due = probes.next_at().is_some_and(|next_at| next_at <= ms(at));
            let due = probes.take_due(ms(at));
            assert_eq!(is_due, !due.is_empty());
            sent.extend(due.iter().map(|server| (at, server.to_string())));
        }
        let sent: Vec<_> = sent.iter().map(|(at, id)| (*at, id.as_str())).collect();
        assert_eq!(sent, case.probes);
    }
}
