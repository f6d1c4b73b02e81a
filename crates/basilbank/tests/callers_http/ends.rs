//! Streams that end and bodies that break off, for callers with chunks and without.

use std::{io::Read, net::Shutdown, time::Duration};

use basilbank_core::prelude::*;
use socket2::SockRef;
use test_case::test_case;

use crate::edge::{Edge, STREAM};

const DONE: &str = "data: [DONE]\n\n";

/// All that a caller without chunks reads of a stream, from its status line to the connection's end.
fn read_old(edge: &Edge, end: impl FnOnce(CallerId)) -> String {
    let mut client = edge.client();
    client.send(&format!(
        "POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer key-a\r\n\
         Content-Length: {}\r\n\r\n{STREAM}",
        STREAM.len(),
    ));
    let caller = edge.arrived().caller;
    edge.accept(caller);
    edge.token(caller, 0, "Sure");
    end(caller);
    let mut text = String::new();
    client.stream().read_to_string(&mut text).unwrap();
    text
}

/// Guards against a broken stream that looks whole to a caller who knows no chunks.
#[test]
fn a_stream_without_chunks_ends_in_its_mark_only_if_it_is_whole() {
    let edge = Edge::open().0;
    let whole = read_old(&edge, |caller| edge.done(caller, 1));
    assert!(!whole.contains("transfer-encoding") && whole.ends_with(DONE), "{whole}");
    let unknown = read_old(&edge, |caller| edge.say(caller, Answer::Unknown));
    let forgotten = read_old(&edge, |caller| edge.callers.close(caller));
    for broken in [unknown, forgotten] {
        let last = broken.trim_end().rsplit("\n\n").next().unwrap();
        assert!(last.starts_with("event: error\ndata: {"), "{broken}");
        assert!(broken.ends_with("\n\n") && !broken.contains("[DONE]"), "{broken}");
    }
}

const LENGTH: &str = "Content-Length: 30\r\n\r\none work";
const CHUNK_SIZE: &str = "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n1";
const CHUNK: &str = "Transfer-Encoding: chunked\r\n\r\n8\r\none w";
const LAST_CHUNK: &str = "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n";
const LAST_SIZE: &str = "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0";

/// Guards against half a body that is run as a whole one.
#[test_case(LENGTH; "before the length")]
#[test_case(CHUNK_SIZE; "inside the size of a chunk")]
#[test_case(CHUNK; "inside a chunk")]
#[test_case(LAST_CHUNK; "before the last chunk")]
#[test_case(LAST_SIZE; "inside the size of the last chunk")]
fn a_body_that_breaks_off_is_no_call(part: &str) {
    let edge = Edge::open().0;
    let begin = format!("POST /desk/orders HTTP/1.1\r\nAuthorization: Bearer key-a\r\n{part}");
    for is_reset in [true, false] {
        let mut client = edge.client();
        client.send(&begin);
        if is_reset {
            let socket = SockRef::from(&*client.stream());
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        } else {
            client.stream().shutdown(Shutdown::Write).unwrap();
            // Until the server closes, too.
            let _ = client.stream().read_to_end(&mut Vec::new());
        }
    }
    let mut client = edge.client();
    client.post("/desk/next", "", "");
    let CallKind::Plain(plain) = edge.arrived().kind else { panic!("expected a plain call") };
    assert_eq!(plain.path, "/desk/next");
}
