//! Calls that come while a daemon is stopped, in calm.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{Answer, World, WorldSpec, configuration, exchange};
use test_case::test_case;

use crate::support::{eventually, next_id, plain};

/// Callers of each kind that go on until the process is gone.
const CALLERS_OF_KIND: usize = 4;

/// Pause between two calls of a caller.
const PAUSE: Duration = Duration::from_millis(100);

/// Times, after the signal, at which connections that were opened before are used first.
const LATE_USES: [u64; 8] = [2000, 2700, 3500, 4500, 5500, 6500, 7000, 7300];

/// Calls that are sent later may not be cut, however long their endpoint works on them.
const LAST_CUT: Duration = Duration::from_secs(3);

/// Time that a daemon leaves for an answer to reach its caller before the deadline.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Time between two events of a stream, in milliseconds.
const EVENT_MS: u64 = 5;

/// What callers call.
const LINES: [&str; 4] = ["POST /stock/1", "GET /sheet/1", "POST /draft/1", "POST /once/1"];

/// One call, and what came of it.
#[derive(Debug)]
struct Call {
    id: String,
    /// Time from the signal.
    sent: Duration,
    /// How long its caller waits.
    patience: Duration,
    /// Time until it ended.
    took: Duration,
    /// `None` if the connection ended without an answer.
    answer: Option<Answer>,
}

/// Sends a call whose answer takes its endpoint so long.
fn send(stream: &TcpStream, line: &str, work: u64, patience: u64, signal: Instant) -> Call {
    let (id, sent) = (next_id(), signal.elapsed());
    let (events, part) = (work / EVENT_MS, &id[1..]);
    let size = match line.contains("/draft/") || line.contains("/once/") {
        true => format!("x-token-counts: 100,{events}\r\nx-prompt-prefix: {part}:100"),
        false => format!("x-work-ms: {work}"),
    };
    let request = format!(
        "{line} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {id}\r\n{size}\r\n\
         x-deadline-remaining: {patience}\r\ncontent-length: 5\r\n\r\norder"
    );
    let answer = exchange(stream, request.as_bytes()).ok();
    let (patience, took) = (Duration::from_millis(patience), signal.elapsed() - sent);
    Call { id, sent, patience, took, answer }
}

/// Calls over new connections, and over kept ones as long as they live, until nobody listens.
fn call_on(to: SocketAddr, line: &str, work: u64, signal: Instant) -> Vec<Call> {
    let mut calls = Vec::new();
    let mut kept = None;
    loop {
        let Some(stream) = kept.take().or_else(|| TcpStream::connect(to).ok()) else {
            return calls;
        };
        let call = send(&stream, line, work, 14_000, signal);
        let closes = |answer: &Answer| answer.header("connection") == Some("close");
        kept = call.answer.as_ref().is_some_and(|answer| !closes(answer)).then_some(stream);
        calls.push(call);
        thread::sleep(PAUSE);
    }
}

/// Opens a connection at once and uses it later.
fn call_late(to: SocketAddr, at: u64, work: u64, patience: u64, signal: Instant) -> Vec<Call> {
    let Ok(stream) = TcpStream::connect(to) else { return Vec::new() };
    thread::sleep(Duration::from_millis(at).saturating_sub(signal.elapsed()));
    vec![send(&stream, "POST /stock/1", work, patience, signal)]
}

/// Why a call was lost, if it was.
fn loss(world: &World, call: &Call) -> Option<String> {
    let ran = world.plain.iter().chain(&world.model).any(|endpoint| {
        let ran = endpoint.served().ran;
        ran.iter().any(|request| request.header("x-attempt-id") == Some(&call.id))
    });
    let is_lost = match &call.answer {
        Some(answer) if answer.whole => match answer.status {
            200 => false,
            503 => ran,
            // Its endpoint is still at work.
            502 => LAST_CUT < call.sent,
            504 => call.took + ANSWER_TIME < call.patience,
            _ => true,
        },
        // A stream that is still written.
        Some(_) => LAST_CUT < call.sent,
        None => ran,
    };
    is_lost.then(|| format!("ran {ran}, {call:?}"))
}

fn stop_and_call(world: &mut World, daemon: usize, work: u64) -> Vec<Call> {
    let to = world.callers(daemon);
    let mut callers = Vec::new();
    let signal = Instant::now();
    for line in LINES.repeat(CALLERS_OF_KIND) {
        callers.push(thread::spawn(move || call_on(to, line, work, signal)));
    }
    for at in LATE_USES {
        for patience in [14_000, 700] {
            callers.push(thread::spawn(move || call_late(to, at, work, patience, signal)));
        }
    }
    thread::sleep(PAUSE);
    world.terminate(daemon);
    world.wait_ended(daemon).expect("it ended");
    callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
}

/// Guards against calls that are taken late in the grace period and cut at its end.
#[test_case(600, 1; "short calls")]
#[test_case(2400, 1; "calls that take longer than callers are accepted")]
#[test_case(6000, 1; "calls that take most of the grace period")]
#[test_case(2400, 2; "daemons one after the other")]
fn a_planned_stop_cuts_no_call_that_came_late(work: u64, daemons: usize) {
    let mut world = World::start(&WorldSpec { daemons, ..WorldSpec::default() }).expect("a world");
    let mut patient = configuration(3, &["/new/"]);
    patient["limits"]["idleTimeoutMs"] = 20_000.into();
    for route in 0..LINES.len() {
        patient["routes"][route]["timeoutMs"] = 20_000.into();
    }
    world.store.put("op/config", &patient);
    for daemon in 0..daemons {
        let callers = world.callers(daemon);
        eventually("it is in force", || plain(callers, "GET /new/1", b"").status == 200);
    }
    let stopped = (0..daemons).flat_map(|daemon| stop_and_call(&mut world, daemon, work));
    let calls: Vec<_> = stopped.collect();
    let answered = |call: &&Call| call.answer.as_ref().is_some_and(|answer| answer.status == 200);
    assert_ne!(calls.iter().filter(answered).count(), 0, "{calls:#?}");
    let lost: Vec<_> = calls.iter().filter_map(|call| loss(&world, call)).collect();
    assert!(lost.is_empty(), "{} of {}: {lost:#?}", lost.len(), calls.len());
}
