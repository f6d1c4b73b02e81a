//! Plain calls, passed through.

use basilbank::callers::{HeldPlain, PlainAnswer};
use basilbank_core::prelude::*;
use bytes::Bytes;

use crate::edge::{Edge, REQUEST};

fn pair(name: &str, value: &str) -> (String, Bytes) {
    (name.to_owned(), Bytes::copy_from_slice(value.as_bytes()))
}

fn answer(edge: &Edge, caller: CallerId, answer: PlainAnswer) {
    let attempt = AttemptKey::default();
    edge.callers.hold_answer(attempt, answer);
    edge.say(caller, Answer::Plain { attempt });
}

#[test]
fn a_call_and_its_answer_are_passed_on() {
    let (edge, mut client) = Edge::open();
    client.send(
        "PUT /desk/st%C3%B6d/a%2Fb?x=1&x=%20 HTTP/1.1\r\nHost: test\r\n\
         Authorization: Bearer key-a\r\nIdempotency-Key: k-1\r\nX-Repeatable: true\r\n\
         Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n\
         X-Request-Id: mine\r\nAccept: text/plain\r\nAccept: text/html\r\n\
         Content-Length: 4\r\nExpect: 100-continue\r\n\r\n",
    );
    assert_eq!(client.head().status, 100);
    client.send("body");
    let call = edge.arrived();
    assert_eq!((call.idempotency_key.as_deref(), call.repeatable), (Some("k-1"), Some(true)));
    let CallKind::Plain(plain) = &call.kind else { panic!("expected a plain call") };
    assert_eq!((plain.method.as_str(), plain.path.as_str()), ("PUT", "/desk/st%C3%B6d/a%2Fb"));
    let expected = HeldPlain {
        method: "PUT".to_owned(),
        target: "/desk/st%C3%B6d/a%2Fb?x=1&x=%20".to_owned(),
        headers: vec![
            pair("idempotency-key", "k-1"),
            pair("accept", "text/plain"),
            pair("accept", "text/html"),
        ],
        body: Bytes::from_static(b"body"),
    };
    assert_eq!(*edge.callers.plain(call.caller).unwrap(), expected);
    edge.accept(call.caller);
    let headers = vec![
        pair("Set-Cookie", "a=1"),
        pair("Set-Cookie", "b=2"),
        pair("Transfer-Encoding", "chunked"),
        pair("Content-Length", "99"),
        pair("X-Outcome", "not-run"),
    ];
    answer(&edge, call.caller, PlainAnswer { status: 418, headers, body: "pot".into() });
    let (head, body) = client.answer();
    assert_eq!((head.status, head.get("x-request-id")), (418, Some(REQUEST)));
    assert_eq!(head.headers.iter().filter(|(name, _)| name == "set-cookie").count(), 2);
    assert_eq!((head.get("x-outcome"), head.get("transfer-encoding")), (None, None));
    assert_eq!(body, "pot");
}

#[test]
fn head_keeps_the_length_of_what_get_would_give() {
    let (edge, mut client) = Edge::open();
    client.send("HEAD /desk/export HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-a\r\n\r\n");
    let caller = edge.arrived().caller;
    let headers = vec![pair("Content-Length", "1234")];
    answer(&edge, caller, PlainAnswer { status: 200, headers, body: Bytes::new() });
    assert_eq!(client.head().get("content-length"), Some("1234"));
    client.post("/desk/next", "", "");
    assert_eq!(edge.arrived().caller, CallerId(2), "nothing is left of the first answer");
}

/// Symptom: a call with an unknown outcome reads as a success or hangs. Sequence: a service's answer
/// has a status that can't end a call. Cause: a status that is passed on unchecked.
#[test]
fn an_interim_status_is_no_answer() {
    let (edge, mut client) = Edge::open();
    client.post("/desk/orders", "", "one worktop");
    let caller = edge.arrived().caller;
    answer(&edge, caller, PlainAnswer { status: 102, ..PlainAnswer::default() });
    let head = client.head();
    assert_eq!((head.status, head.get("x-outcome")), (502, Some("unknown")));
}
