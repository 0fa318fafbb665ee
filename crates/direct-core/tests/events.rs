//! Event boundaries in a stream of server-sent events.

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
