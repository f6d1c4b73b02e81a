//! A graceful end.

use std::net::TcpStream;

use basilbank_core::prelude::*;

use crate::edge::{Edge, WHOLE};

/// Symptom: a caller's answer is cut by an update. Sequence: a stream is open; the daemon is told to
/// end; more tokens come. Cause: a server that closes its connections.
#[test]
fn an_open_stream_is_finished() {
    let (edge, mut client) = Edge::open();
    let caller = edge.stream(&mut client);
    edge.server.shutdown();
    edge.token(caller, 1, "b");
    assert!(client.chunk().unwrap().contains("\"b\""));
    edge.done(caller, 2);
    assert!(client.chunk().unwrap().contains("finish_reason"));
    assert_eq!(client.chunk().unwrap(), "data: [DONE]\n\n");
    assert_eq!(client.chunk(), None);
    assert!(client.is_closed());
    let address = edge.server.address();
    edge.server.wait();
    assert!(TcpStream::connect(address).is_err());
}

/// Symptom: a caller's call ends in a broken connection, and it can't know whether it ran. Sequence:
/// it has connected, the daemon is told to end, then it calls. Cause: a server that closes a
/// connection that has not been used yet.
#[test]
fn a_new_connection_still_gets_an_answer_that_closes_it() {
    let (edge, mut client) = Edge::open();
    let mut idle = edge.client();
    let caller = edge.begin(&mut idle, WHOLE);
    edge.done(caller, 0);
    idle.answer();
    edge.server.shutdown();
    assert!(idle.is_closed());
    client.post("/v1/chat/completions", "", WHOLE);
    let refused = edge.arrived().caller;
    edge.say(refused, Answer::Refused { refusal: Refusal::ShuttingDown, retry_after: None });
    let (head, _) = client.answer();
    assert_eq!((head.status, head.get("connection")), (503, Some("close")));
    assert!(client.is_closed());
    edge.server.wait();
}
