//! Which connection to an endpoint a request is sent over.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use basilbank_forward::{effect::Target, prelude::*};
use basilbank_gateway::{
    CallError, Connection, ConnectionPool, OutRequest, carried_ids::SentId,
    stray_answers::StrayAnswers,
};
use test_case::test_case;
use tokio::{runtime::Builder, task::LocalSet};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a second answer takes after the first.
const DELAY: Duration = Duration::from_millis(5);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Answers each request, and once more a little later if `twice`.
fn serve(mut stream: TcpStream, twice: bool) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|length| length != 0) {
        stream.write_all(ANSWER).expect("written");
        if twice {
            thread::sleep(DELAY);
            // The connection may have been closed meanwhile.
            let _ = stream.write_all(ANSWER);
        }
    }
}

fn listen(twice: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, twice));
        }
    });
    addr
}

/// Sends requests with these ids one after the other, and returns over which connection each went, and
/// the number of its answer there. The HTTP library reads nothing between two of them.
fn places(twice: bool, ids: &[&str]) -> Vec<(u64, u32)> {
    let addr = listen(twice);
    let target = Target {
        endpoint: EndpointKey::default(),
        instance: "d1".to_owned(),
        addr,
        software: SoftwareVersion::from_wire(1).expect("a version"),
        via: None,
    };
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pool = ConnectionPool::default();
    LocalSet::new().block_on(&runtime, async {
        let mut places = Vec::new();
        for id in ids {
            let sent = Some(SentId { id, remaining: TIMEOUT });
            let answer = pool.call(&target, OutRequest::default(), sent, TIMEOUT, || true).await;
            let (answer, connection) = answer.expect("an answer");
            assert_eq!(answer.status(), 200);
            let place = connection.answer_place();
            places.push((place.connection, place.answer));
            pool.keep(target.endpoint, connection, None);
            thread::sleep(4 * DELAY);
        }
        places
    })
}

/// Guards against new connections for each request.
#[test]
fn a_connection_is_used_again() {
    let places = places(false, &["a1", "a2", "a3"]);
    assert_eq!(places.iter().map(|place| place.1).collect::<Vec<_>>(), [1, 2, 3]);
}

/// Guards against two attempts of a call whose answers can't be told apart.
#[test]
fn a_connection_carries_no_id_twice() {
    let places = places(false, &["a1", "a2", "a1", "a3"]);
    assert_eq!(places[1].0, places[0].0);
    assert_ne!(places[2].0, places[0].0);
}

/// Guards against an answer that is read before its request was sent.
#[test]
fn a_connection_with_something_to_read_is_not_used() {
    let places = places(true, &["a1", "a2", "a3"]);
    assert!(places.iter().all(|place| place.1 == 1), "{places:?}");
}

/// Guards against a read of the store that gets what was written for an earlier one.
#[test_case(false => true; "nothing to read")]
#[test_case(true => false; "a second answer")]
fn a_kept_connection_is_reusable_unless_it_has_something_to_read(twice: bool) -> bool {
    let addr = listen(twice);
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut connection = Connection::connect(addr, TIMEOUT).await.expect("a connection");
        connection.send(OutRequest::default(), TIMEOUT).await.expect("an answer");
        connection.await_request();
        thread::sleep(4 * DELAY);
        connection.is_reusable()
    })
}

/// Guards against calls that are lost at an endpoint that goes on to write second answers, and against
/// distrust that never ends.
#[test]
fn distrust_of_an_endpoint_grows_and_ends() {
    let (mut strays, endpoint) = (StrayAnswers::default(), EndpointKey::default());
    let mut now = Instant::now();
    let mut durations = Vec::new();
    for _ in 0..6 {
        strays.record(endpoint, now);
        let start = now;
        while strays.is_distrusted(endpoint, now) {
            now += Duration::from_secs(1);
        }
        durations.push((now - start).as_secs());
    }
    assert_eq!(durations, [5, 10, 20, 40, 60, 60]);
    now += Duration::from_secs(60);
    strays.record(endpoint, now);
    assert!(!strays.is_distrusted(endpoint, now + Duration::from_secs(5)));
}

/// Guards against a malformed head that is taken for an answer to a slot, an order, a report or a read of the
/// store: all of them are sent by this.
#[test_case("HTTP/1.1 000 x\r\ncontent-length: 0\r\n\r\n"; "no status")]
#[test_case("HTTP/1.1 600 x\r\ncontent-length: 0\r\n\r\n"; "an unknown status")]
#[test_case("HTTP/1.1 202 x\r\ncontent-length: 0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"; "a length and chunks")]
#[test_case("HTTP/1.1 202 x\r\ntransfer-encoding: chunkd\r\n\r\n0\r\n\r\n"; "an unknown coding")]
#[test_case("HTTP/1.1 202 x\r\ncontent-length: 0\r\nno field\r\n\r\n"; "no field")]
#[test_case("HTTP/1.1 202 x\r\ncontent-length: 0\r\nx bad: 1\r\n\r\n"; "a blank in a name")]
fn a_malformed_head_is_an_answer_to_nothing(bytes: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]).expect("a request");
        stream.write_all(bytes.as_bytes()).expect("written");
    });
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut connection = Connection::connect(addr, TIMEOUT).await.expect("a connection");
        let answer = connection.send(OutRequest::default(), TIMEOUT).await;
        let error = answer.map(|answer| answer.status()).expect_err("no answer").0;
        assert_eq!(error, CallError::Broken(Damage::Garbled));
    });
}
