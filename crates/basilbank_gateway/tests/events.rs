//! How a stream of bytes is split into events.

use basilbank_gateway::EventSplitter;
use test_case::test_case;

/// Guards against events that are held back, or torn, for their kind of line end.
#[test_case("\n")]
#[test_case("\r\n")]
#[test_case("\r")]
fn events_are_passed_on_whole_wherever_the_bytes_are_split(line_end: &str) {
    let event = |n: u32| format!("id: {n}{line_end}data: token{line_end}{line_end}");
    let all: String = (1..=3).map(event).collect();
    for split in 1..all.len() {
        let mut events = EventSplitter::default();
        let first = events.push(&all.as_bytes()[..split]);
        assert!(first.len() <= split);
        let second = events.push(&all.as_bytes()[split..]);
        let passed = [first, second, events.take_partial()].concat();
        assert_eq!(passed, all.as_bytes(), "split at {split}");
        assert_eq!((events.last_event_id(), events.count_ids()), (Some("3"), 3));
        assert!(!events.is_inside_event());
    }
}

#[test]
fn an_unfinished_event_is_kept_back_and_shows() {
    let mut events = EventSplitter::default();
    assert_eq!(&events.push(b"id: 1\ndata: a\n\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert!(events.is_inside_event());
    assert_eq!((events.partial_bytes(), events.last_event_id()), (8, Some("1")));
    assert_eq!(events.count_ids(), 1);
    assert_eq!(&events.push(b"ta: b\n\n")[..], b"id: 2\ndata: b\n\n");
    assert!(!events.is_inside_event());
}

#[test]
fn line_ends_after_the_last_event_are_no_unfinished_event() {
    let mut events = EventSplitter::default();
    events.push(b"data: a\n\n\r\n");
    assert!(!events.is_inside_event());
}
