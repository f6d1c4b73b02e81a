//! Endpoints whose events don't follow those that the caller has.

use std::{thread, time::Duration};

use basilbank_standin::managed::{Answer, Misdeed, call};
use test_case::test_case;

use crate::{
    ends::{Ends, Way},
    support::stream_of,
};

/// Events of a stream.
const EVENTS: u32 = 8;

/// Events that a caller has who comes back.
const HAD: u32 = 5;

/// Streams of which one surely comes to each of two endpoints.
const TRIES: u32 = 240;

/// Pause between them, in which an endpoint that failed is forgiven.
const PAUSE: Duration = Duration::from_millis(50);

/// Streams at an endpoint after which a row is over.
const ENOUGH: usize = 3;

fn stream(ends: &Ends, path: &str, n: u32, more: &[(&str, &str)]) -> Answer {
    let (id, counts) = (format!("o{n}"), format!("1000,{EVENTS}"));
    let parts = format!("{:x}:1000", 0x7000 + n);
    let mut headers = vec![
        ("host", "shop.example"),
        ("x-attempt-id", id.as_str()),
        ("x-deadline-remaining", "4000"),
        ("x-token-counts", counts.as_str()),
        ("x-prompt-prefix", parts.as_str()),
    ];
    headers.extend(more);
    call(ends.world.callers(ends.daemon), &format!("POST {path}"), &headers, b"x")
        .expect("an answer")
}

/// The streams that a model endpoint ran, those that were to go on after an event alone if asked for.
fn ran(ends: &Ends, n: usize, resumed: bool) -> usize {
    let ran = ends.world.model[n].served().ran;
    ran.iter().filter(|request| !resumed || request.header("last-event-id").is_some()).count()
}

fn is_whole(answer: &Answer) -> bool {
    (answer.status, answer.whole) == (200, true) && answer.text() == stream_of(EVENTS)
}

/// Whether the answer is a stream that broke off, has no event twice, and shows that.
fn is_cut(answer: &Answer) -> bool {
    let events = (0..EVENTS).any(|events| answer.text() == stream_of(events));
    (answer.status, answer.whole) == (200, false) && events
}

/// The events after those that a caller has who comes back.
fn rest() -> String {
    stream_of(EVENTS).split_off(stream_of(HAD).len())
}

fn take_up(ends: &Ends, n: u32) -> Answer {
    let had = HAD.to_string();
    stream(ends, "/draft/1", n, &[("last-event-id", had.as_str()), ("resumes", "o0")])
}

/// Guards against a second run in the middle of a stream.
#[test_case("/draft/1", Way::Direct; "resumable")]
#[test_case("/draft/1", Way::ByPeer; "resumable, by a peer")]
#[test_case("/once/1", Way::Direct; "not resumable")]
#[test_case("/once/1", Way::ByPeer; "not resumable, by a peer")]
fn a_stream_that_begins_again_is_cut_there(path: &str, way: Way) {
    let ends = Ends::start(way);
    ends.world.model[1].misbehave(Misdeed::Repeating);
    let before = ran(&ends, 1, false);
    for n in 0..TRIES {
        let answer = stream(&ends, path, n, &[]);
        let may_be_cut = path == "/once/1" && is_cut(&answer);
        assert!(is_whole(&answer) || may_be_cut, "{answer:?} {}", answer.text());
        if before + ENOUGH <= ran(&ends, 1, false) {
            return;
        }
        thread::sleep(PAUSE);
    }
    assert!(before < ran(&ends, 1, false));
}

/// Guards against a run from the first event on where the stream goes on elsewhere.
#[test_case(Way::Direct; "directly")]
#[test_case(Way::ByPeer; "by a peer")]
fn a_stream_that_moves_has_no_event_twice(way: Way) {
    let ends = Ends::start(way);
    ends.world.model[1].misbehave(Misdeed::Torn);
    ends.world.model[2].misbehave(Misdeed::Restarting);
    for n in 0..TRIES {
        let answer = stream(&ends, "/draft/1", n, &[]);
        assert!(is_whole(&answer) || is_cut(&answer), "{answer:?} {}", answer.text());
        if ran(&ends, 2, true) != 0 {
            return;
        }
        thread::sleep(PAUSE);
    }
    panic!("no stream moved");
}

/// Guards against events that a caller already has who comes back.
#[test_case(Way::Direct; "directly")]
#[test_case(Way::ByPeer; "by a peer")]
fn a_caller_who_comes_back_has_no_event_twice(way: Way) {
    let ends = Ends::start(way);
    assert!(is_whole(&stream(&ends, "/draft/1", 0, &[])));
    ends.world.model[1].misbehave(Misdeed::Restarting);
    for n in 1..TRIES {
        let answer = take_up(&ends, n);
        assert_eq!((answer.status, answer.whole, answer.text()), (200, true, rest()));
        if ran(&ends, 1, true) != 0 {
            break;
        }
        thread::sleep(PAUSE);
    }
    assert_ne!(ran(&ends, 1, true), 0);
    ends.world.model[2].misbehave(Misdeed::Restarting);
    let answer = take_up(&ends, TRIES);
    assert!(!answer.whole || answer.status != 200, "{answer:?}");
    assert!(!answer.text().contains("id: "), "{}", answer.text());
}

/// Guards against endpoints that are avoided for what callers ask for: on other routes an event's id binds
/// nobody.
#[test]
fn a_stream_that_cannot_be_resumed_may_begin_at_its_first_event() {
    let ends = Ends::start(Way::Direct);
    (1..3).for_each(|n| ends.world.model[n].misbehave(Misdeed::Restarting));
    let answer = stream(&ends, "/once/1", 1, &[("last-event-id", "5")]);
    assert!(is_whole(&answer), "{answer:?} {}", answer.text());
}
