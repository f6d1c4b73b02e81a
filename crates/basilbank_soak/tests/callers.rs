//! Callers tell whole answers from those that broke off.

use basilbank_soak::{
    callers::{Kind, Seen, judge},
    streams::Events,
};
use basilbank_standin::managed::Answer;
use test_case::test_case;

const LINE: &str = "POST /stock/a";

fn answer(text: &str, whole: bool) -> Answer {
    let headers = [("x-attempt-id", "a"), ("x-server-seal", "seal")];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned())).into();
    Answer { status: 200, headers, body: text.as_bytes().to_vec(), whole }
}

fn seen(kind: Kind, text: &str, whole: bool) -> Seen {
    judge(kind, "a", LINE, &answer(text, whole), &mut Events::default())
}

fn stream(events: u32) -> String {
    (1..=events).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect()
}

#[test]
fn whole_answers_are_served() {
    assert_eq!(seen(Kind::Stock, "POST /stock/a by plain-0-12", true), Seen::Served);
    assert_eq!(seen(Kind::Draft, &stream(40), true), Seen::Served);
}

#[test_case(""; "nothing")]
#[test_case("POST /stock/a"; "half")]
#[test_case("POST /stock/a by plain-"; "without the instance")]
#[test_case("POST /stock/a by plain-0-"; "without the last byte")]
#[test_case("POST /stock/b by plain-0-0"; "of another call")]
fn a_plain_answer_that_looks_whole_and_is_not(text: &str) {
    assert!(matches!(seen(Kind::Stock, text, true), Seen::Wrong(_)));
}

#[test]
fn a_plain_answer_that_shows_its_break() {
    assert_eq!(seen(Kind::Stock, "POST /stock/a by", false), Seen::Broken);
}

#[test_case(0; "without an event")]
#[test_case(2; "between two events")]
#[test_case(39; "without the last event")]
fn a_stream_that_looks_whole_and_is_not(events: u32) {
    assert!(matches!(seen(Kind::Once, &stream(events), true), Seen::Wrong(_)));
    assert_eq!(seen(Kind::Once, &stream(events), false), Seen::Broken);
}

#[test]
fn a_stream_that_ends_inside_an_event() {
    let torn = stream(2) + "id: 3\ndata: to";
    assert!(matches!(seen(Kind::Draft, &torn, true), Seen::Wrong(_)));
}
