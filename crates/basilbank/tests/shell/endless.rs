//! Endpoints that write bytes that are no answer, until the connection is closed.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use basilbank_core::event::Failure;
use test_case::test_case;

use crate::rig::Rig;

/// Bytes that an endpoint gets rid of before its caller closes the connection: what the largest answer
/// may have, and what sockets hold.
const MAX_WRITTEN: usize = 24 << 20;

/// Size of a piece in bytes, about.
const PIECE: usize = 16 << 10;

const CHUNKED: &str = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

fn write_on(mut stream: &TcpStream, first: &str, piece: &str, written: &AtomicUsize) {
    let piece = piece.repeat(PIECE / piece.len());
    let mut is_open = stream.write_all(first.as_bytes()).is_ok();
    while is_open && written.load(Ordering::SeqCst) < 2 * MAX_WRITTEN {
        is_open = stream.write_all(piece.as_bytes()).is_ok();
        written.fetch_add(piece.len(), Ordering::SeqCst);
    }
}

/// Guards against a daemon that keeps all that comes, and ends for lack of memory.
#[test_case("", "\0"; "zeros")]
#[test_case("HTTP/1.1 200 X\r\na: ", "x"; "a header")]
#[test_case("HTTP/1.1 200 X\r\n", "a: b\r\n"; "headers")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "informational heads")]
#[test_case("HTTP/1.1 200 X\r\n\r\n", "x"; "a body")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length: 1152921504606846976\r\n\r\n", "x"; "a length")]
#[test_case(CHUNKED, "3\r\nabc\r\n"; "chunks")]
#[test_case(CHUNKED, "0"; "the size of a chunk")]
#[test_case("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"; "extensions")]
#[test_case("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"; "trailers")]
fn an_answer_without_end_is_given_up(first: &'static str, piece: &'static str) {
    for call in [Rig::order, Rig::prefill, Rig::decode] {
        let written = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&written);
        let rig = Rig::patient(move |_, stream| write_on(stream, first, piece, &counted));
        assert_eq!(rig.failure_of(call(&rig, 1)), Failure::Broken);
        let written = written.load(Ordering::SeqCst);
        assert!(written < MAX_WRITTEN, "{written} bytes");
    }
}
