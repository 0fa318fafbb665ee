//! Quarantine of prompt parts that crash engines.

use cuminlead_quarantine::{CrashReport, PromptQuarantine};
use cuminlead_types::{PromptPartId, RequestId, TimeUs};

fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

fn parts(text: &str) -> Vec<PromptPartId> {
    let parts = text.split_whitespace();
    parts
        .map(|part| part.parse().expect("a valid fixture"))
        .collect()
}

fn quarantined(quarantine: &PromptQuarantine, now: TimeUs) -> Vec<String> {
    let state = quarantine.state(now);
    let mut quarantined: Vec<_> = state
        .quarantined
        .iter()
        .map(|part| part.part.to_string())
        .collect();
    quarantined.sort();
    quarantined
}

fn report(request: Option<RequestId>, server: &str, text: &str) -> CrashReport {
    CrashReport {
        server: server.parse().expect("a valid fixture"),
        request,
        parts: parts(text),
    }
}

/// What a process observes, in ms since its start.
enum Step {
    /// Engine that crashed, and the parts of a run that had not begun its output.
    Crash(u64, &'static str, &'static str),
    /// Like `Crash`, with the number of the run's request.
    CrashOf(u128, u64, &'static str, &'static str),
    /// Parts for which output was generated.
    Sound(u64, &'static str),
}

use Step::{Crash, CrashOf, Sound};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Time of the check, in ms, and the parts then in quarantine.
    checked_at_ms: u64,
    quarantined: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "two crashes may be a coincidence",
        steps: &[Crash(0, "e1", "guide x"), Crash(1_000, "e2", "guide x")],
        checked_at_ms: 1_000,
        quarantined: &[],
    },
    Case {
        name: "the last common part of three crashes",
        steps: &[
            Crash(0, "e1", "guide x"),
            Crash(1_000, "e2", "guide x"),
            Crash(2_000, "e3", "guide x"),
        ],
        checked_at_ms: 2_000,
        quarantined: &["x"],
    },
    Case {
        name: "bystanders of the crashes",
        steps: &[
            Crash(0, "e1", "guide x"),
            Crash(0, "e1", "guide a"),
            Crash(1_000, "e2", "guide b"),
            Crash(1_000, "e2", "guide x"),
            Crash(2_000, "e3", "guide c"),
            Crash(2_000, "e3", "guide x"),
        ],
        checked_at_ms: 2_000,
        quarantined: &["x"],
    },
    Case {
        name: "several reports of one crash count once",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(400, "e1", "x"),
            Crash(800, "e1", "x"),
            Crash(1_200, "e1", "x"),
        ],
        checked_at_ms: 1_200,
        quarantined: &[],
    },
    Case {
        name: "engines that fail together count once",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(50, "e2", "x"),
            Crash(100, "e3", "x"),
            Crash(150, "e4", "x"),
        ],
        checked_at_ms: 150,
        quarantined: &[],
    },
    Case {
        name: "one engine that crashes again and again",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(4_000, "e1", "x"),
            Crash(8_000, "e1", "x"),
        ],
        checked_at_ms: 8_000,
        quarantined: &["x"],
    },
    Case {
        name: "output clears earlier crashes",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(1_000, "e2", "x"),
            Sound(1_500, "x"),
            Crash(4_000, "e3", "x"),
        ],
        checked_at_ms: 4_000,
        quarantined: &[],
    },
    Case {
        name: "output ends a quarantine",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(1_000, "e2", "x"),
            Crash(2_000, "e3", "x"),
            Sound(2_500, "x"),
        ],
        checked_at_ms: 2_500,
        quarantined: &[],
    },
    Case {
        name: "a part that only crashing requests begin with",
        steps: &[
            Crash(0, "e1", "x a"),
            Crash(1_000, "e2", "x b"),
            Crash(2_000, "e3", "x c"),
            Crash(3_000, "e4", "x d"),
            Crash(4_000, "e5", "x e"),
            Crash(5_000, "e6", "x f"),
        ],
        checked_at_ms: 5_000,
        quarantined: &["x"],
    },
    Case {
        name: "a quarantined part explains later crashes",
        steps: &[
            Crash(0, "e1", "guide x"),
            Crash(1_000, "e2", "guide x"),
            Crash(2_000, "e3", "guide x"),
            Crash(3_000, "e4", "guide x"),
            Crash(4_000, "e5", "guide x"),
            Crash(5_000, "e6", "guide x"),
            Crash(6_000, "e7", "guide x"),
        ],
        checked_at_ms: 6_000,
        quarantined: &["x"],
    },
    Case {
        name: "a quarantine ends",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(1_000, "e2", "x"),
            Crash(2_000, "e3", "x"),
        ],
        checked_at_ms: 302_000,
        quarantined: &[],
    },
    Case {
        name: "one more crash renews a quarantine that has ended, for twice the time",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(1_000, "e2", "x"),
            Crash(2_000, "e3", "x"),
            Crash(310_000, "e4", "x"),
        ],
        checked_at_ms: 900_000,
        quarantined: &["x"],
    },
    Case {
        name: "one request that is sent again after each crash",
        steps: &[
            CrashOf(1, 0, "e1", "guide x"),
            CrashOf(1, 60, "e2", "guide x"),
            CrashOf(1, 120, "e3", "guide x"),
        ],
        checked_at_ms: 120,
        quarantined: &["x"],
    },
    Case {
        name: "different requests on engines that fail together",
        steps: &[
            CrashOf(1, 0, "e1", "x"),
            CrashOf(2, 60, "e2", "x"),
            CrashOf(3, 120, "e3", "x"),
        ],
        checked_at_ms: 120,
        quarantined: &[],
    },
    Case {
        name: "reports that arrive in another order than the crashes",
        steps: &[
            Crash(2_000, "e3", "x"),
            Crash(0, "e1", "x"),
            Crash(1_000, "e2", "x"),
        ],
        checked_at_ms: 2_000,
        quarantined: &["x"],
    },
    Case {
        name: "engines that fail together, reported in another order",
        steps: &[
            Crash(150, "e3", "x"),
            Crash(0, "e1", "x"),
            Crash(50, "e2", "x"),
        ],
        checked_at_ms: 150,
        quarantined: &[],
    },
    Case {
        name: "old crashes do not count",
        steps: &[
            Crash(0, "e1", "x"),
            Crash(1_000, "e2", "x"),
            Crash(601_000, "e3", "x"),
        ],
        checked_at_ms: 601_000,
        quarantined: &[],
    },
];

/// Guards against a part that crashes engine after engine, and against refusing sound requests
/// that only shared an engine, a first part or a moment with crashes.
#[test]
fn parts_are_quarantined_for_separate_crashes_only() {
    for case in CASES {
        let mut quarantine = PromptQuarantine::default();
        for step in case.steps {
            match step {
                Crash(at_ms, server, text) => {
                    quarantine.record_crash(ms(*at_ms), &report(None, server, text));
                }
                CrashOf(number, at_ms, server, text) => {
                    let request = Some(RequestId(*number));
                    quarantine.record_crash(ms(*at_ms), &report(request, server, text));
                }
                Sound(at_ms, text) => {
                    quarantine.record_sound(ms(*at_ms), &parts(text));
                }
            }
        }
        let found = quarantined(&quarantine, ms(case.checked_at_ms));
        assert_eq!(found, case.quarantined, "{}", case.name);
    }
}

/// Guards against suspecting parts that engines generate output for all the time.
#[test]
fn parts_with_recent_output_are_no_suspects() {
    let mut quarantine = PromptQuarantine::default();
    quarantine.record_sound(ms(0), &parts("guide"));
    assert_eq!(
        quarantine.suspects(ms(1_000), &parts("guide x")),
        parts("x")
    );
    let all = parts("guide x");
    assert_eq!(quarantine.suspects(ms(2_000), &all), all);
}

/// Guards against a table that callers can grow without bound, and against losing a quarantine to
/// many other suspects.
#[test]
fn evidence_is_bounded_and_keeps_quarantines() {
    let mut quarantine = PromptQuarantine::default();
    for (at_ms, server) in [(0, "e1"), (1_000, "e2"), (2_000, "e3")] {
        quarantine.record_crash(ms(at_ms), &report(None, server, "x"));
    }
    for number in 0..2_000 {
        let other = report(None, "e4", &format!("other{number}"));
        quarantine.record_crash(ms(3_000 + number), &other);
    }
    assert_eq!(quarantined(&quarantine, ms(6_000)), ["x"]);
    let state = quarantine.state(ms(6_000));
    assert_eq!(state.suspected.len(), 16);
    assert!(quarantine.evidence_count() <= 256);
}
