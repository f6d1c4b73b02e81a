//! How the callers of the tests tell a whole answer from one that broke off.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use basilbank_standin::managed::{Answer, read_answer};
use socket2::SockRef;
use test_case::test_case;

/// How the other side ends the connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum End {
    Close,
    Reset,
    Silence,
}

/// Longest wait for a byte.
const PATIENCE: Duration = Duration::from_millis(200);

fn reading(bytes: &str, end: End) -> std::io::Result<Answer> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let to = listener.local_addr().expect("an address");
    let bytes = bytes.to_owned();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.write_all(bytes.as_bytes()).expect("a reader");
        match end {
            End::Close => stream.shutdown(Shutdown::Write).expect("a close"),
            End::Reset => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
                return None;
            }
            End::Silence => {}
        }
        Some(stream)
    });
    let stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let answer = read_answer(&mut BufReader::new(stream));
    drop(server.join().expect("a server"));
    answer
}

const ENDS: [End; 3] = [End::Close, End::Reset, End::Silence];

/// Guards against half a head that is taken for an answer.
#[test_case("")]
#[test_case("HTTP/1.1 200")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-le")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r"; "inside the blank line")]
fn half_a_head_is_no_answer(bytes: &str) {
    for end in ENDS {
        let answer = reading(bytes, end);
        assert!(answer.is_err(), "{end:?}: {answer:?}");
    }
}

const LENGTH: &str = "content-length: 6\r\n\r\n";
const CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n";
const NEITHER: &str = "\r\n";

/// Guards against half a body that counts as whole, and against bytes that never came.
#[test_case(LENGTH, "", "", &ENDS; "length, no byte")]
#[test_case(LENGTH, "oak", "oak", &ENDS; "length, half")]
#[test_case(CHUNKS, "", "", &ENDS; "chunks, no byte")]
#[test_case(CHUNKS, "1", "", &ENDS; "chunks, inside a size")]
#[test_case(CHUNKS, "6\r\noak", "oak", &ENDS; "chunks, inside a chunk")]
#[test_case(CHUNKS, "3\r\noak", "oak", &ENDS; "chunks, before a line break")]
#[test_case(CHUNKS, "3\r\noak\r\n", "oak", &ENDS; "chunks, before the last")]
#[test_case(CHUNKS, "3\r\noak\r\n0", "oak", &ENDS; "chunks, inside the last size")]
#[test_case(CHUNKS, "3\r\noak\r\n0\r\n", "oak", &ENDS; "chunks, behind the last size")]
#[test_case(CHUNKS, "3\r\noak\r\n0\r\n\r", "oak", &ENDS; "chunks, inside the last line break")]
#[test_case(CHUNKS, "3\r\noak\r\n0\r\nx-end: 1\r\n", "oak", &ENDS; "chunks, behind a trailer")]
#[test_case(NEITHER, "oak", "oak", &[End::Reset, End::Silence]; "neither")]
fn half_a_body_is_not_whole(framing: &str, body: &str, came: &str, ends: &[End]) {
    for end in ends {
        let answer = reading(&format!("HTTP/1.1 200 OK\r\n{framing}{body}"), *end);
        let answer = answer.expect("a head");
        assert_eq!((answer.whole, answer.text().as_str()), (false, came), "{end:?}");
    }
}

/// Guards against whole answers that count as broken, whatever comes after them.
#[test_case(200, LENGTH, "abcdef", "abcdef", &ENDS; "length")]
#[test_case(200, CHUNKS, "3\r\noak\r\n0\r\n\r\n", "oak", &ENDS; "chunks")]
#[test_case(200, CHUNKS, "3;a=b\r\noak\r\n0\r\n\r\n", "oak", &ENDS; "chunks with an extension")]
#[test_case(200, CHUNKS, "3\r\noak\r\n0\r\nx-end: 1\r\n\r\n", "oak", &ENDS; "chunks with a trailer")]
#[test_case(200, NEITHER, "oak", "oak", &[End::Close]; "neither")]
#[test_case(204, NEITHER, "", "", &ENDS; "no content")]
#[test_case(304, NEITHER, "", "", &ENDS; "not modified")]
fn a_whole_answer_is_whole(status: u16, framing: &str, body: &str, came: &str, ends: &[End]) {
    for end in ends {
        let answer = reading(&format!("HTTP/1.1 {status} X\r\n{framing}{body}"), *end);
        let answer = answer.expect("a head");
        assert_eq!((answer.whole, answer.text().as_str()), (true, came), "{end:?}");
    }
}
