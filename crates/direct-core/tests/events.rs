//! Event boundaries in a stream of server-sent events.

use cuminlead_direct_core::EventScanner;

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
