//! Which events of a stream follow those before them.

use basilbank_forward::prelude::Damage;
use basilbank_gateway::{
    EventSplitter,
    event_order::{EventOrder, MisplacedEvent},
};
use test_case::test_case;

fn events(ids: &[&str], line_end: &str) -> String {
    let event = |id: &&str| format!("id: {id}{line_end}data: token{line_end}{line_end}");
    ids.iter().map(event).collect()
}

/// Events of an attempt, and how many bytes of them are passed on, whether they come at once or by byte.
fn passed(after: Option<&str>, text: &str) -> (String, Option<MisplacedEvent>) {
    let mut at_once = EventSplitter::new(Some(EventOrder::after(after)));
    let passed = at_once.push(text.as_bytes());
    let mut by_byte = EventSplitter::new(Some(EventOrder::after(after)));
    let bytes: Vec<u8> = text.bytes().flat_map(|byte| by_byte.push(&[byte])).collect();
    assert_eq!(passed, bytes);
    assert_eq!(at_once.last_event_id(), by_byte.last_event_id());
    let misplaced = at_once.order().and_then(|order| order.misplaced());
    (String::from_utf8(passed.to_vec()).expect("a text"), misplaced)
}

/// Guards against events of another run that are passed on as the rest of a stream.
#[test_case(None, &["1", "2", "1", "3"], 2, 1, 2 => Damage::OutOfOrder; "it goes back")]
#[test_case(None, &["1", "2", "2"], 2, 2, 2 => Damage::OutOfOrder; "an event comes twice")]
#[test_case(Some("2"), &["3", "2", "4"], 1, 2, 3 => Damage::OutOfOrder; "it goes back after it went on")]
#[test_case(Some("5"), &["1", "2", "6"], 0, 1, 5 => Damage::NotResumed; "it begins anew")]
#[test_case(Some("5"), &["5", "6"], 0, 5, 5 => Damage::NotResumed; "it begins with the last event")]
#[test_case(None, &["9", "x", "10", "9"], 3, 9, 10 => Damage::OutOfOrder; "after an id that is no number")]
fn an_event_that_does_not_follow_ends_what_is_passed_on(
    after: Option<&str>,
    ids: &[&str],
    sound: usize,
    id: u64,
    last: u64,
) -> Damage {
    let mut damage = Vec::new();
    for line_end in ["\n", "\r\n"] {
        let (passed, misplaced) = passed(after, &events(ids, line_end));
        let misplaced = misplaced.expect("a misplaced event");
        assert_eq!(passed, events(&ids[..sound], line_end));
        assert_eq!((misplaced.id, misplaced.after), (id, last));
        damage.push(misplaced.damage());
    }
    assert_eq!(damage[0], damage[1]);
    damage[0]
}

/// Guards against sound streams that are broken off.
#[test_case(None, &["1", "2", "3"]; "from the first event on")]
#[test_case(Some("7"), &["8", "9"]; "after an event")]
#[test_case(Some("7"), &["9", "14"]; "with gaps")]
#[test_case(None, &["0", "5", "100"]; "with gaps from the first event on")]
#[test_case(Some("b"), &["a", "b", "a"]; "with ids that are no numbers")]
#[test_case(Some("c7"), &["1", "2"]; "with numbers after another kind of id")]
fn a_sound_stream_is_passed_on(after: Option<&str>, ids: &[&str]) {
    let text = events(ids, "\n") + ": comment\n\ndata: [DONE]\n\n";
    assert_eq!(passed(after, &text), (text, None));
}

/// Guards against a last id that was not passed on, after which the stream would go on.
#[test]
fn the_last_id_is_that_of_an_event_that_was_passed_on() {
    let mut splitter = EventSplitter::new(Some(EventOrder::after(None)));
    splitter.push(events(&["1", "2", "1", "7"], "\n").as_bytes());
    assert_eq!((splitter.last_event_id(), splitter.count_ids()), (Some("2"), 2));
    assert!(splitter.push(events(&["8"], "\n").as_bytes()).is_empty());
    assert_eq!((splitter.last_event_id(), splitter.count_ids()), (Some("2"), 2));
}

#[test_case(None, 4 => None; "of a stream that begins")]
#[test_case(Some("3"), 4 => None; "of one that goes on")]
#[test_case(Some("3"), 6 => Some(2); "of one that goes on later")]
fn the_first_event_shows_what_was_skipped(after: Option<&str>, first: u32) -> Option<u64> {
    let mut splitter = EventSplitter::new(Some(EventOrder::after(after)));
    splitter.push(events(&[&first.to_string(), "90"], "\n").as_bytes());
    splitter.order().and_then(EventOrder::take_gap)
}
