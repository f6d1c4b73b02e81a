//! Answers of a daemon that break off.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use basilbank_cli::ExitStatus;
use test_case::test_case;

use crate::common::run_command;

/// How the daemon ends the connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum End {
    Close,
    Reset,
}

/// Starts a server that sends the given bytes on each connection and ends it.
fn broken_daemon(bytes: String, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            match end {
                End::Close => skip_request(&stream),
                // Dropping a connection with unread bytes resets it.
                End::Reset => drop(stream.peek(&mut [0])),
            }
            stream.write_all(bytes.as_bytes()).unwrap();
        }
    });
    address
}

/// Reads a request without a body.
fn skip_request(stream: &TcpStream) {
    let lines = BufReader::new(stream).lines();
    lines.map_while(Result::ok).find(String::is_empty);
}

const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const NEITHER: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// Guards against a part of a list that is printed as the list.
#[test_case("", ""; "no answer")]
#[test_case("HTTP/1.1 200 OK\r\nConte", ""; "inside the head")]
#[test_case(LENGTH, ""; "length and no byte")]
#[test_case(LENGTH, "{\"items\":[{\"name\":\"fitt"; "length and half a string")]
#[test_case(LENGTH, "{\"items\":[{\"name\":\"a\"}]}"; "length and all but two spaces")]
#[test_case(CHUNKS, ""; "chunks and no byte")]
#[test_case(CHUNKS, "17\r\n{\"items\":[{\"name\":\"fitt"; "chunks and half of one")]
#[test_case(CHUNKS, "e\r\n{\"items\":[]}  \r\n"; "chunks without the last one")]
#[test_case(NEITHER, ""; "neither and no byte")]
#[test_case(NEITHER, "{\"items\":[{\"name\":\"fitt"; "neither and half a string")]
#[test_case(NEITHER, "{\"items\":[{\"name\":\"fitters\"}]"; "neither and no closing brace")]
#[test_case(NEITHER, "12"; "neither and no object")]
fn a_partial_answer_is_not_printed(head: &str, body: &str) {
    for end in [End::Close, End::Reset] {
        let admin = broken_daemon(format!("{head}{body}"), end).to_string();
        for command in [["teams", "--json"], ["status", "--json"]] {
            let output = run_command(&command, "", &[("BASILBANK_ADMIN", &admin)]);
            assert_eq!(output.status, ExitStatus::Unreachable, "{end:?}: {output:?}");
            assert_eq!(output.out, "", "{end:?}");
        }
    }
}
