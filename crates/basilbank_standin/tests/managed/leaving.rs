//! A daemon is told to leave.

use std::{net::TcpStream, thread, time::Duration};

use basilbank_standin::managed::{ManagedEndpoint, Misdeed, call, configuration, exchange};

use crate::support::{draft, eventually, plain, stream_of, world};

/// Symptom: callers lost streams and got refused connections when a Vm was rolled.
/// Sequence: SIGTERM came while a stream ran; the balancer noticed two seconds later.
/// Cause: the listener closed at once, and the process ended with its streams.
#[test]
fn a_daemon_that_leaves_finishes_its_streams_and_serves_until_the_balancer_has_noticed() {
    let mut world = world();
    let callers = world.callers(0);
    let streaming = thread::spawn(move || draft(callers, "/draft/1", 300));
    thread::sleep(Duration::from_millis(300));
    world.terminate(0);
    let ready = world.ready(0);
    let refused = || call(ready, "GET /ready", &[], b"").is_ok_and(|answer| answer.status == 503);
    eventually("it is not ready", refused);
    let answer = plain(callers, "POST /stock/1", b"x");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let answer = streaming.join().expect("the stream's thread");
    assert_eq!((answer.whole, answer.text()), (true, stream_of(300)));
    world.wait_ended(0).expect("it ended");
}

#[test]
fn a_kept_connection_is_told_to_close_with_its_next_answer() {
    let mut world = world();
    let stream = TcpStream::connect(world.callers(0)).expect("a connection");
    world.terminate(0);
    let ready = world.ready(0);
    let refused = || call(ready, "GET /ready", &[], b"").is_ok_and(|answer| answer.status == 503);
    eventually("it is not ready", refused);
    let text = "GET /sheet/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: a\r\n\r\n";
    let answer = exchange(&stream, text.as_bytes()).expect("an answer");
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    world.wait_ended(0).expect("it ended");
}

#[test]
fn a_call_that_runs_until_the_end_of_a_shutdown_gets_an_answer() {
    let mut world = world();
    let callers = world.callers(0);
    let mut patient = configuration(3, &["/new/"]);
    patient["routes"][0]["timeoutMs"] = 20_000.into();
    world.store.put("op/config", &patient);
    eventually("it is in force", || plain(callers, "GET /new/1", b"").status == 200);
    world.plain.iter().for_each(|endpoint| endpoint.misbehave(Misdeed::Hanging));
    let calling = thread::spawn(move || {
        let headers =
            [("host", "shop.example"), ("x-attempt-id", "late"), ("x-deadline-remaining", "20000")];
        call(callers, "POST /stock/1", &headers, b"x")
    });
    let runs = |endpoint: &ManagedEndpoint| {
        endpoint.served().ran.iter().any(|request| request.header("x-attempt-id") == Some("late"))
    };
    eventually("it runs", || world.plain.iter().any(runs));
    world.terminate(0);
    let answer = calling.join().expect("the caller's thread").expect("an answer");
    assert_eq!((answer.status, answer.whole), (502, true));
    world.wait_ended(0).expect("it ended");
}
