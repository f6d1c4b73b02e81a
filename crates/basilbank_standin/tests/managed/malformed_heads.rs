//! Endpoints whose answers have malformed heads.

use std::{thread, time::Duration};

use basilbank_standin::managed::{
    Answer, BreakKind, Framing, GivenAnswer, ManagedEndpoint, Misdeed, World, call,
};
use test_case::test_case;

use crate::{
    ends::{Ends, Way},
    support::{next_id, stream_of},
};

/// Events of a stream.
const EVENTS: u32 = 8;

/// Calls of which one surely comes to each of two endpoints.
const TRIES: u32 = 240;

/// Pause between them, in which an endpoint that failed is forgiven.
const PAUSE: Duration = Duration::from_millis(20);

/// A kind of call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Kind {
    /// A plain call that may run once.
    Order,
    /// A plain call that may be repeated.
    Sheet,
    /// A stream that may go on elsewhere.
    Draft,
    /// A stream that may run once.
    Once,
}

impl Kind {
    fn line(self) -> &'static str {
        match self {
            Kind::Order => "POST /stock/1",
            Kind::Sheet => "GET /sheet/1",
            Kind::Draft => "POST /draft/1",
            Kind::Once => "POST /once/1",
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, Kind::Draft | Kind::Once)
    }

    fn may_repeat(self) -> bool {
        matches!(self, Kind::Sheet | Kind::Draft)
    }

    /// The endpoints that run such calls.
    fn endpoints(self, world: &World) -> [&ManagedEndpoint; 2] {
        match self.is_stream() {
            true => [&world.model[1], &world.model[2]],
            false => [&world.plain[0], &world.plain[1]],
        }
    }

    fn call(self, ends: &Ends) -> Answer {
        let (id, counts) = (next_id(), format!("1000,{EVENTS}"));
        let prefix = format!("{}:1000", &id[1..]);
        let mut headers =
            vec![("host", "shop.example"), ("x-attempt-id", &id), ("x-deadline-remaining", "3000")];
        if self.is_stream() {
            headers.extend([("x-token-counts", counts.as_str()), ("x-prompt-prefix", &prefix)]);
        }
        call(ends.world.callers(ends.daemon), self.line(), &headers, b"").expect("an answer")
    }

    /// Calls until an answer of the faulty endpoint was given. Its answer is the last.
    fn call_at(self, ends: &Ends, faulty: &ManagedEndpoint) -> Answer {
        let before = faulty.served().ran.len();
        for _ in 0..TRIES {
            let answer = self.call(ends);
            if faulty.served().ran.len() != before {
                return answer;
            }
            thread::sleep(PAUSE);
        }
        panic!("no call came to the endpoint");
    }

    /// Whether the answer is a sound endpoint's whole one.
    fn is_sound(self, answer: &Answer, sound: &ManagedEndpoint) -> bool {
        let text = match self.is_stream() {
            true => stream_of(EVENTS),
            false => format!("{} by {}", self.line(), sound.instance()),
        };
        (answer.status, answer.whole, answer.text()) == (200, true, text)
    }

    /// Whether the answer is a stream that shows that it was broken off between two events.
    fn is_cut(self, answer: &Answer) -> bool {
        let is_part = (0..=EVENTS).any(|events| answer.text() == stream_of(events));
        self.is_stream() && (answer.status, answer.whole) == (200, false) && is_part
    }
}

fn given(status: &'static str, lines: &'static str, body: Framing) -> GivenAnswer {
    GivenAnswer { status, first: "", lines, body: Some(body), end: BreakKind::Close }
}

/// Lines that state the length of a body wrongly, and how that is written.
const LENGTHS: [(&str, Framing); 21] = [
    ("content-length 14\r\n\r\n", Framing::Length),
    ("content-length: \r\n\r\n", Framing::Length),
    ("content-length: fourteen\r\n\r\n", Framing::Length),
    ("content-length: 1x4\r\n\r\n", Framing::Length),
    ("content-length: -14\r\n\r\n", Framing::Length),
    ("content-length: +14\r\n\r\n", Framing::Length),
    ("content-length: 0x1f\r\n\r\n", Framing::Length),
    ("content-length: 14, 15\r\n\r\n", Framing::Length),
    ("content-length: 14\r\ncontent-length: 15\r\n\r\n", Framing::Length),
    ("content-length: 99999999999999999999\r\n\r\n", Framing::Length),
    ("content-length: 1\r\n 4\r\n\r\n", Framing::Length),
    ("content-length: 9999\r\n\r\n", Framing::Length),
    ("content-length: 14\r\ntransfer-encoding: chunkd\r\n\r\n", Framing::Chunks),
    ("content-length: 14\r\ntransfer-encoding: chunked\r\n\r\n", Framing::Chunks),
    ("transfer-encoding: chunkd\r\n\r\n", Framing::Chunks),
    ("transfer-encoding: \r\n\r\n", Framing::Chunks),
    ("transfer-encoding: identity\r\n\r\n", Framing::Connection),
    ("transfer-encoding: chunked, identity\r\n\r\n", Framing::Chunks),
    ("transfer-encoding: gzip, chunked\r\n\r\n", Framing::Chunks),
    ("transfer-encoding: chunked, chunked\r\n\r\n", Framing::Chunks),
    ("transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n", Framing::Chunks),
];

/// One of so many of them is played by a peer.
const LENGTHS_BY_PEER: usize = 4;

/// Plays each answer at one endpoint beside a sound one, and for calls that may run once at both.
fn check(kind: Kind, way: Way, answers: impl IntoIterator<Item = GivenAnswer>) {
    let mut wrong = Vec::new();
    for given in answers {
        let ends = Ends::start(way);
        let [faulty, other] = kind.endpoints(&ends.world);
        faulty.misbehave(Misdeed::Given(given));
        if !kind.may_repeat() {
            other.misbehave(Misdeed::Given(given));
        }
        let answer = kind.call_at(&ends, faulty);
        let is_right = match kind.may_repeat() {
            true => kind.is_sound(&answer, other),
            false => answer.status == 502 && answer.whole || kind.is_cut(&answer),
        };
        if !is_right {
            wrong.push(format!(
                "{given:?}: {} {} {:?}",
                answer.status,
                answer.whole,
                answer.text()
            ));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against answers whose head says wrongly how long their body is.
#[test_case(Kind::Order, Way::Direct; "order")]
#[test_case(Kind::Sheet, Way::Direct; "sheet")]
#[test_case(Kind::Draft, Way::Direct; "draft")]
#[test_case(Kind::Once, Way::Direct; "once")]
#[test_case(Kind::Order, Way::ByPeer; "order by a peer")]
#[test_case(Kind::Sheet, Way::ByPeer; "sheet by a peer")]
#[test_case(Kind::Once, Way::ByPeer; "once by a peer")]
fn an_answer_whose_length_is_malformed_is_no_answer(kind: Kind, way: Way) {
    // A daemon without paths takes long to start.
    let step = if way == Way::Direct { 1 } else { LENGTHS_BY_PEER };
    let lengths = LENGTHS.iter().step_by(step);
    check(kind, way, lengths.map(|(lines, body)| given("200", lines, *body)));
}

/// Guards against the first part of a body that passes for the whole one.
#[test_case(Kind::Order, Way::Direct; "order")]
#[test_case(Kind::Sheet, Way::Direct; "sheet")]
#[test_case(Kind::Draft, Way::Direct; "draft")]
#[test_case(Kind::Once, Way::Direct; "once")]
#[test_case(Kind::Order, Way::ByPeer; "order by a peer")]
#[test_case(Kind::Once, Way::ByPeer; "once by a peer")]
fn an_answer_whose_length_is_too_short_is_no_answer(kind: Kind, way: Way) {
    let kept = |given| GivenAnswer { end: BreakKind::Silence, ..given };
    // Two of the events.
    let short =
        if kind.is_stream() { "content-length: 42\r\n\r\n" } else { "content-length: 14\r\n\r\n" };
    let closing = if kind.is_stream() {
        "content-length: 42\r\nconnection: close\r\n\r\n"
    } else {
        "content-length: 14\r\nconnection: close\r\n\r\n"
    };
    let answers = [
        given("200", short, Framing::Length),
        given("200", closing, Framing::Length),
        given("200", "content-length: 0\r\n\r\n", Framing::Length),
        given("204", "\r\n", Framing::Length),
    ];
    check(kind, way, answers.into_iter().flat_map(|given| [given, kept(given)]));
}

/// Guards against an answer without content in place of one whose status was corrupted.
#[test_case(Kind::Order; "order")]
#[test_case(Kind::Sheet; "sheet")]
#[test_case(Kind::Draft; "draft")]
#[test_case(Kind::Once; "once")]
fn no_content_that_has_a_body_is_no_answer(kind: Kind) {
    let answers = [
        given("204", "transfer-encoding: chunked\r\n\r\n", Framing::Chunks),
        given("204", "content-length: 14\r\n\r\n", Framing::Length),
    ];
    check(kind, Way::Direct, answers);
}

/// What may stand in place of a status.
const STATUSES: [&str; 14] =
    ["000", "001", "099", "100", "101", "199", "600", "999", "20", "2000", "2x0", "", "-20", "0x2"];

/// Guards against an answer whose status is invalid and that is passed on.
#[test_case(Kind::Order; "order")]
#[test_case(Kind::Sheet; "sheet")]
#[test_case(Kind::Draft; "draft")]
#[test_case(Kind::Once; "once")]
fn an_answer_whose_status_is_invalid_is_no_answer(kind: Kind) {
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let with_body = STATUSES.map(|status| given(status, chunked, Framing::Chunks));
    let without =
        STATUSES.map(|status| GivenAnswer { body: None, ..given(status, "\r\n", Framing::Length) });
    check(kind, Way::Direct, with_body.into_iter().chain(without));
}

/// Lines that are no fields, before those of a sound head.
const LINES: [&str; 16] = [
    "x bad: 1\r\n",
    "x-bad : 1\r\n",
    " x-bad: 1\r\n",
    "\tfolded\r\n",
    "x\tbad: 1\r\n",
    "x\x01bad: 1\r\n",
    "x\0bad: 1\r\n",
    "x\x7fbad: 1\r\n",
    "x\u{e9}bad: 1\r\n",
    "x(bad): 1\r\n",
    "x-bad: 1\x01\r\n",
    "x-bad: 1\0\r\n",
    "x-bad: 1\r2\r\n",
    ": 1\r\n",
    "no field at all\r\n",
    "HTTP/1.1 200 x\r\n",
];

/// Guards against lines that are no fields, and that are passed on or hide what follows them.
#[test_case(Kind::Order; "order")]
#[test_case(Kind::Sheet; "sheet")]
#[test_case(Kind::Draft; "draft")]
#[test_case(Kind::Once; "once")]
fn an_answer_with_a_line_that_is_no_field_is_no_answer(kind: Kind) {
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let answers =
        LINES.map(|line| GivenAnswer { first: line, ..given("200", chunked, Framing::Chunks) });
    check(kind, Way::Direct, answers);
}

/// Ends of heads that were broken off.
const BROKEN_OFF: [&str; 7] = [
    "",
    "conte",
    "content-length: ",
    "content-length: 1",
    "content-length: 14\r\n",
    "transfer-encoding: chunked\r\n",
    "content-length: 0\r\n\r",
];

/// Guards against the beginning of a head that passes for an answer without a body.
#[test_case(Kind::Order; "order")]
#[test_case(Kind::Sheet; "sheet")]
#[test_case(Kind::Draft; "draft")]
#[test_case(Kind::Once; "once")]
fn a_head_that_is_broken_off_is_no_answer(kind: Kind) {
    let cut = |lines, end| GivenAnswer { body: None, end, ..given("200", lines, Framing::Length) };
    let ends = [BreakKind::Close, BreakKind::Reset];
    check(kind, Way::Direct, BROKEN_OFF.iter().flat_map(|lines| ends.map(|end| cut(*lines, end))));
}

/// The body of each of these.
const ORDER: &str = "POST /stock/1 by plain-0";

/// Answers that RFC 9112 allows: what stands in place of the status, and all that follows the seal.
const VALID: [(&str, &str); 10] = [
    ("200", "content-length: 24\r\n\r\nPOST /stock/1 by plain-0"),
    ("200", "Content-Length: \t 24 \t\r\n\r\nPOST /stock/1 by plain-0"),
    ("200", "Transfer-Encoding: Chunked\r\n\r\n18\r\nPOST /stock/1 by plain-0\r\n0\r\n\r\n"),
    (
        "200",
        "transfer-encoding: chunked\r\n\r\n0004;a=\"b\"\r\nPOST\r\n14\r\n /stock/1 by plain-0\r\n\
         0\r\nx-sum: 1\r\n\r\n",
    ),
    ("200", "\r\nPOST /stock/1 by plain-0"),
    ("200", "connection: close\r\n\r\nPOST /stock/1 by plain-0"),
    (
        "200",
        "set-cookie: a\r\nset-cookie: b\r\nexpires: Sunday, 06-Nov-94 08:49:37 GMT\r\nx-empty:\r\n\
         content-length: 24\r\n\r\nPOST /stock/1 by plain-0",
    ),
    ("100 x\r\n\r\nHTTP/1.1 200", "content-length: 24\r\n\r\nPOST /stock/1 by plain-0"),
    ("103 x\r\nlink: a\r\n\r\nHTTP/1.1 200", "content-length: 24\r\n\r\nPOST /stock/1 by plain-0"),
    ("100 x\r\n\r\nHTTP/1.0 200", "content-length: 24\r\n\r\nPOST /stock/1 by plain-0"),
];

/// Guards against valid answers that are taken for malformed ones.
#[test]
fn a_valid_answer_passes_unchanged() {
    let ends = Ends::start(Way::Direct);
    for (status, lines) in VALID {
        let valid = GivenAnswer { body: None, ..given(status, lines, Framing::Length) };
        let endpoints = Kind::Order.endpoints(&ends.world);
        endpoints.iter().for_each(|endpoint| endpoint.misbehave(Misdeed::Given(valid)));
        let answer = Kind::Order.call(&ends);
        let seen = (answer.status, answer.whole, answer.text());
        assert_eq!(seen, (200, true, ORDER.to_owned()), "{valid:?}");
    }
}
