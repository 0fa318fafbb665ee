//! Text patches of parts.

mod common;

use common::part;
use cuminlead_lists::{PatchLog, PatchMismatch, Snapshot, TextPatch, patched_parts};
use cuminlead_types::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use yare::parameterized;

/// Guards against patches that contain unchanged text, that split a character, or whose start and
/// end overlap.
#[parameterized(
    same = { "abc", "abc", 3, 0, "" },
    middle = { "abcd", "aXd", 1, 1, "X" },
    emptied = { "abc", "", 0, 0, "" },
    filled = { "", "abc", 0, 0, "abc" },
    repeated = { "aaa", "aaaa", 3, 0, "a" },
    shortened = { "aaaa", "aaa", 3, 0, "" },
    // U+00E9 and U+00E8 begin with the same byte, U+00E9 and U+0129 end with the same byte.
    first_byte_in_common = { "a\u{e9}b", "a\u{e8}b", 1, 1, "\u{e8}" },
    last_byte_in_common = { "a\u{e9}b", "a\u{129}b", 1, 1, "\u{129}" },
)]
fn patch_contains_only_the_changed_text(
    old: &str,
    new: &str,
    start: usize,
    end: usize,
    text: &str,
) {
    let patch = TextPatch::between(old, new);
    assert_eq!((patch.start_bytes, patch.end_bytes), (start, end));
    assert_eq!(patch.text, text);
    assert_eq!(patch.apply(old).as_deref(), Ok(new));
}

/// Guards against lengths from another process that cause a panic or a wrong text.
#[parameterized(
    beyond_the_text = { 9, 0 },
    overlapping = { 2, 2 },
    overflow = { usize::MAX, usize::MAX },
    within_a_character = { 2, 0 },
    other_result = { 0, 0 },
)]
fn lengths_that_do_not_fit_are_refused(start_bytes: usize, end_bytes: usize) {
    let old = "a\u{e9}";
    let patch = TextPatch {
        start_bytes,
        end_bytes,
        ..TextPatch::between(old, "a\u{e8}")
    };
    assert_eq!(patch.apply(old), Err(PatchMismatch::OtherResult));
}

/// Guards against a patch sent to a process that has another text than the patch starts from.
#[parameterized(
    at_the_old_text = { 3, true },
    later_at_the_old_text = { 4, true },
    before_the_old_text = { 2, false },
)]
fn patch_is_sent_only_to_processes_with_its_base(since: u64, is_patched: bool) {
    let text = |value: &str| format!("# {}\n{value}", "unchanged ".repeat(10));
    let log_of = |snapshots: &[Snapshot]| {
        let mut log = PatchLog::default();
        for pair in snapshots.windows(2) {
            log.record(&pair[0], &pair[1]);
        }
        log
    };
    let snapshot = |revision, at, value: &str| {
        let parts = [part("plans/a", at, &text(value)), part("plans/b", 1, "b")];
        Snapshot::new(Revision(revision), parts)
    };
    let snapshots = [
        snapshot(2, 2, "2"),
        snapshot(3, 3, "3"),
        snapshot(4, 3, "3"),
        snapshot(5, 5, "5"),
        snapshot(6, 5, "5"),
    ];
    let log = log_of(&snapshots);
    let mut delta = cuminlead_lists::Delta {
        from_revision: Revision(since),
        revision: Revision(6),
        parts: vec![part("plans/a", 5, &text("5"))],
        ..Default::default()
    };
    let patches = log.replace_parts(&mut delta);
    assert_eq!(patches.len(), usize::from(is_patched));
    assert_eq!(delta.parts.len(), usize::from(!is_patched));
    if is_patched {
        let parts = patched_parts(&snapshots[2], &patches).expect("patched");
        assert_eq!(parts, [part("plans/a", 5, &text("5"))]);
        let other = patched_parts(&snapshots[0], &patches);
        assert_eq!(other, Err(PatchMismatch::OtherBase));
    }
}

/// Texts with long common parts and characters of one to four bytes.
fn text() -> impl Strategy<Value = String> {
    "[ab\u{e8}\u{e9}\u{20ac}\u{1f600}]{0,24}"
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(31),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        cases: 4_096,
        ..Config::default()
    })]

    /// Guards against a patch that produces another text than the new one, or that applies to
    /// another text than the old one.
    #[test]
    fn patch_applies_to_the_old_text_only(start in text(), old in text(), new in text(), end in text(), other in text()) {
        let old = format!("{start}{old}{end}");
        let new = format!("{start}{new}{end}");
        let patch = TextPatch::between(&old, &new);
        prop_assert_eq!(patch.apply(&old), Ok(new));
        for base in [format!("{start}{other}{end}"), other] {
            if base != old {
                prop_assert_eq!(patch.apply(&base), Err(PatchMismatch::OtherBase));
            }
        }
    }
}
