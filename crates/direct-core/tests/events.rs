//! Event boundaries in a stream of server-sent events.

use cuminlead_direct_core::events::EVENT_HELD_MAX_BYTES;
use cuminlead_direct_core::{EventBoundary, EventScanner};

/// Guards against forwarding a partial event, which would be joined with an event of another run.
#[test]
fn events_are_whole_wherever_the_bytes_are_cut() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n";
    for cut in 0..=stream.len() {
        let mut scanner = EventScanner::new();
        let mut complete = scanner.push(&stream[..cut]);
        complete.extend(scanner.push(&stream[cut..]));
        assert_eq!(
            complete, b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n",
            "cut at {cut}"
        );
        assert_eq!(scanner.last_id(), Some("2"));
        assert_eq!(scanner.take_rest(), b"id: 3\ndata: c\n");
    }
}

/// Complete events, and what ends their lines.
struct LineEndCase {
    name: &'static str,
    events: &'static [u8],
}

const LINE_END_CASES: &[LineEndCase] = &[
    LineEndCase {
        name: "line feeds",
        events: b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    },
    LineEndCase {
        name: "carriage returns",
        events: b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
    },
    LineEndCase {
        name: "both",
        events: b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    },
    LineEndCase {
        name: "mixed",
        events: b"id: 1\rdata: a\n\rid: 2\r\ndata: b\r\r\n",
    },
];

/// Guards against events that are never passed on because their lines end in a way that the scanner
/// does not know.
#[test]
fn events_are_found_whatever_ends_their_lines() {
    for case in LINE_END_CASES {
        for cut in 0..=case.events.len() {
            let mut scanner = EventScanner::new();
            let mut complete = scanner.push(&case.events[..cut]);
            complete.extend(scanner.push(&case.events[cut..]));
            assert_eq!(complete, case.events, "{} cut at {cut}", case.name);
            assert_eq!(scanner.last_id(), Some("2"), "{} cut at {cut}", case.name);
            assert!(scanner.is_at_boundary(), "{} cut at {cut}", case.name);
            assert_eq!(scanner.take_rest(), b"", "{} cut at {cut}", case.name);
        }
    }
}

/// Event that is longer than what is held, and whether the stream can go on elsewhere afterwards.
struct LongEventCase {
    name: &'static str,
    start: &'static str,
    filler: &'static str,
    end: &'static str,
    last_id: Option<&'static str>,
    may_resume: bool,
}

const LONG_EVENT_CASES: &[LongEventCase] = &[
    LongEventCase {
        name: "id before a long line",
        start: "id: 7\ndata: ",
        filler: "x",
        end: "\n\n",
        last_id: Some("7"),
        may_resume: true,
    },
    LongEventCase {
        name: "id after a long line",
        start: "data: ",
        filler: "x",
        end: "\nid: 7\n\n",
        last_id: Some("7"),
        may_resume: true,
    },
    LongEventCase {
        name: "text of an id inside a long line",
        start: "id: 7\ndata: ",
        filler: "id: 8 ",
        end: "id: 8\n\n",
        last_id: Some("7"),
        may_resume: true,
    },
    LongEventCase {
        name: "many lines",
        start: "id: 7\n",
        filler: "data: x\n",
        end: "\n",
        last_id: Some("7"),
        may_resume: true,
    },
    LongEventCase {
        name: "id of any length",
        start: "id: ",
        filler: "7",
        end: "\n\n",
        last_id: Some("3"),
        may_resume: false,
    },
];

/// Guards against a server that makes a process hold, and scan again and again, an event without an
/// end, and against a stream that goes on elsewhere after a part of an event.
#[test]
fn long_event_is_passed_on_in_parts() {
    for case in LONG_EVENT_CASES {
        let filler_count = 5 * EVENT_HELD_MAX_BYTES / case.filler.len();
        let filler = case.filler.repeat(filler_count);
        let event = format!("{}{filler}{}", case.start, case.end);
        for chunk_bytes in [1_000, 16 * 1024, 1_000_000] {
            let mut scanner = EventScanner::new();
            let mut passed_on = scanner.push(b"id: 3\ndata: a\n\n");
            let before_count = passed_on.len();
            let mut held_max_count = 0;
            let chunks: Vec<_> = event.as_bytes().chunks(chunk_bytes).collect();
            for (index, chunk) in chunks.iter().enumerate() {
                passed_on.extend(scanner.push(chunk));
                let pushed_count = (index + 1) * chunk_bytes.min(event.len());
                let pushed_count = pushed_count.min(event.len());
                held_max_count = held_max_count.max(pushed_count + before_count - passed_on.len());
                let has_part = passed_on.len() > before_count && index + 1 < chunks.len();
                assert!(!has_part || !scanner.may_resume(), "{}", case.name);
            }
            assert!(
                held_max_count <= EVENT_HELD_MAX_BYTES,
                "{}: {held_max_count}",
                case.name
            );
            assert_eq!(
                passed_on[before_count..],
                *event.as_bytes(),
                "{}",
                case.name
            );
            assert!(scanner.is_at_boundary(), "{}", case.name);
            assert_eq!(scanner.may_resume(), case.may_resume, "{}", case.name);
            if case.may_resume {
                assert_eq!(scanner.last_id(), case.last_id, "{}", case.name);
            }
        }
    }
}

/// Bytes of a stream and whether it may end there.
struct BoundaryCase {
    stream: &'static [u8],
    is_at_boundary: bool,
}

const BOUNDARY_CASES: &[BoundaryCase] = &[
    BoundaryCase {
        stream: b"",
        is_at_boundary: true,
    },
    BoundaryCase {
        stream: b"id: 1\ndata: a\n\n",
        is_at_boundary: true,
    },
    BoundaryCase {
        stream: b"id: 1\r\ndata: a\r\n\r\n",
        is_at_boundary: true,
    },
    BoundaryCase {
        stream: b"id: 1\rdata: a\r\r",
        is_at_boundary: true,
    },
    BoundaryCase {
        stream: b"id: 1\ndata: a\n",
        is_at_boundary: false,
    },
    BoundaryCase {
        stream: b"id: 1\r\ndata: a\r\n",
        is_at_boundary: false,
    },
    BoundaryCase {
        stream: b"id: 1\ndata: a\n\nid: 2\nda",
        is_at_boundary: false,
    },
];

/// Guards against taking a stream that was broken off for complete, wherever its bytes are cut.
#[test]
fn stream_may_end_only_after_a_complete_event() {
    for case in BOUNDARY_CASES {
        for cut in 0..=case.stream.len() {
            let mut boundary = EventBoundary::default();
            boundary.push(&case.stream[..cut]);
            boundary.push(&case.stream[cut..]);
            let text = String::from_utf8_lossy(case.stream);
            assert_eq!(
                boundary.is_at_boundary(),
                case.is_at_boundary,
                "{text:?} cut at {cut}"
            );
        }
    }
}
