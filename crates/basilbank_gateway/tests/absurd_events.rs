//! Streams of events that no endpoint writes on purpose.

use basilbank_gateway::EventSplitter;
use test_case::test_case;

const MANY: usize = 1 << 20;

/// Splits a stream that comes in pieces of some bytes; returns what was passed on, and the rest.
fn split(splitter: &mut EventSplitter, stream: &[u8], piece: usize) -> Vec<u8> {
    stream.chunks(piece).flat_map(|piece| splitter.push(piece).to_vec()).collect()
}

/// Guards against time that rises with the square of a stream's length, and against bytes that are lost.
#[test_case(b"\n", 64 * 1024; "blank lines")]
#[test_case(b"\r\n", 64 * 1024; "blank lines of two bytes")]
#[test_case(b"id:", 1024; "ids in one line")]
#[test_case(b"id: 7\n", 1024; "lines with an id in one event")]
#[test_case(b"id: 7\n\n", 1024; "events with an id")]
#[test_case(b"\0\xff", 1024; "bytes that are no text")]
fn a_long_stream_is_split_whole(part: &[u8], piece: usize) {
    let stream = part.repeat(MANY / part.len());
    let mut splitter = EventSplitter::default();
    let mut passed = split(&mut splitter, &stream, piece);
    passed.extend(splitter.take_partial());
    assert_eq!(passed.len(), stream.len());
    assert!(passed == stream, "other bytes");
}

/// Guards against an id that is cut, or taken for a number.
#[test_case(&"9".repeat(MANY); "a long number")]
#[test_case("-1"; "negative")]
#[test_case("1e400"; "beyond floats")]
#[test_case("{\"a\":[["; "an open object")]
#[test_case(""; "empty")]
fn an_id_is_kept_as_it_came(id: &str) {
    let mut splitter = EventSplitter::default();
    let event = format!("id: {id}\ndata: x\n\n");
    assert_eq!(split(&mut splitter, event.as_bytes(), 4096), event.as_bytes());
    assert_eq!((splitter.last_event_id(), splitter.count_ids()), (Some(id), 1));
}
