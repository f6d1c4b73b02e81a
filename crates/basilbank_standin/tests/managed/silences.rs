//! Endpoints that fall silent for a while, and go on where they were.

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use basilbank_standin::managed::{
    Answer, EndpointSpec, FIRST_VERSION, Weather, World, WorldSpec, event_text, read_answer,
};
use test_case::test_case;

use crate::support::{eventually, stream_of};

/// Events of a stream: about a second.
const EVENTS: u32 = 180;

/// Streams at once, fewer than the endpoints of the smallest world have slots.
const CALLERS: usize = 6;

/// Retry slack of a users' deployment. A daemon that has just started has a small share of it.
const USERS_SLACK: u32 = 52;

/// Silence that nobody waits out.
const FOR_GOOD: Duration = Duration::from_secs(3600);

/// Longest gap in a stream whose endpoint is dark for good: the time until the silence is noticed, and
/// as much again for the slot, the prompt and a busy machine.
const MAX_TAKE_OVER: Duration = Duration::from_millis(2300);

/// Reads, and measures the longest pause between two pieces.
struct Timed {
    stream: TcpStream,
    last: Instant,
    longest: Duration,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let read = self.stream.read(buffer)?;
        let now = Instant::now();
        self.longest = self.longest.max(now - self.last);
        self.last = now;
        Ok(read)
    }
}

/// A call in a thread of its own: its answer, and the longest pause in it.
fn begin(
    to: SocketAddr,
    line: &'static str,
    n: usize,
    counts: Option<String>,
) -> JoinHandle<(Answer, Duration)> {
    thread::spawn(move || {
        let mut text = format!(
            "{line}/{n} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: s{n}\r\nconnection: close\r\n\
             x-deadline-remaining: 8000\r\ncontent-length: 0\r\n"
        );
        if let Some(counts) = counts {
            text += &format!("x-token-counts: {counts}\r\nx-prompt-prefix: {n:x}:1000\r\n");
        }
        let mut stream = TcpStream::connect(to).expect("a connection");
        stream.write_all((text + "\r\n").as_bytes()).expect("sent");
        let timed = Timed { stream, last: Instant::now(), longest: Duration::ZERO };
        let mut reader = BufReader::new(timed);
        let answer = read_answer(&mut reader).expect("an answer");
        (answer, reader.get_ref().longest)
    })
}

fn begin_streams(world: &World, path: &'static str) -> Vec<JoinHandle<(Answer, Duration)>> {
    let to = world.callers(0);
    (0..CALLERS).map(|n| begin(to, path, n, Some(format!("1000,{EVENTS}")))).collect()
}

fn start(decode: usize, retry_slack: u32) -> World {
    let spec = WorldSpec { decode, retry_slack, ..WorldSpec::default() };
    World::start(&spec).expect("a world")
}

/// Waits until all streams are written by endpoints.
fn wait_for_streams(world: &World) {
    let active = || world.model.iter().map(|e| e.served().active as usize).sum::<usize>();
    eventually("all stream", || active() == CALLERS);
    thread::sleep(Duration::from_millis(150));
}

/// How answers differ from the whole stream.
fn faults(streams: Vec<JoinHandle<(Answer, Duration)>>, expected: &[String]) -> Vec<String> {
    let answers = streams.into_iter().map(|stream| stream.join().expect("a caller").0);
    let is_right =
        |answer: &Answer| answer.status == 200 && answer.whole && expected.contains(&answer.text());
    let text = |answer: Answer| {
        let Answer { status, whole, .. } = answer;
        format!("status {status}, whole {whole}, {} bytes", answer.body.len())
    };
    answers.filter(|answer| !is_right(answer)).map(text).collect()
}

/// Guards against streams that are cut because their endpoint is silent for a while, beside none, too few
/// or enough others, with the retry budget of a daemon that has just started.
#[test_case(1, 1, 500)]
#[test_case(1, 1, 1000)]
#[test_case(1, 1, 1200)]
#[test_case(1, 1, 1500)]
#[test_case(1, 1, 3000)]
#[test_case(2, 1, 500)]
#[test_case(2, 1, 1000)]
#[test_case(2, 1, 1200)]
#[test_case(2, 1, 1500)]
#[test_case(2, 1, 3000)]
#[test_case(3, 3, 1200; "all at once")]
#[test_case(3, 3, 3000; "all at once for long")]
#[test_case(9, 1, 1500)]
#[test_case(9, 3, 1200)]
fn a_silence_cuts_no_stream(endpoints: usize, silent: usize, ms: u64) {
    let world = start(endpoints, USERS_SLACK);
    let streams = begin_streams(&world, "POST /draft");
    wait_for_streams(&world);
    let decode = &world.model[1..];
    decode.iter().take(silent).for_each(|e| e.fall_silent(Duration::from_millis(ms)));
    let faults = faults(streams, &[stream_of(EVENTS)]);
    assert!(faults.is_empty(), "{} of {CALLERS}: {faults:#?}", faults.len());
}

/// Guards against a stream that is cut, or goes on at another version, since its version has one endpoint,
/// which is silent.
#[test_case(1200)]
#[test_case(1500)]
fn a_silence_of_the_only_endpoint_of_a_version_cuts_no_stream(ms: u64) {
    let mut world = start(1, USERS_SLACK);
    for name in ["later-0", "later-1"] {
        let spec = EndpointSpec { version: "v2", ..EndpointSpec::model(name, "decode") };
        world.add_model(spec).expect("an endpoint");
    }
    let streams = begin_streams(&world, "POST /draft");
    wait_for_streams(&world);
    world.model[1].fall_silent(Duration::from_millis(ms));
    let of = |version| (1..=EVENTS).map(|n| event_text(n, version)).collect::<String>();
    let faults = faults(streams, &[of(FIRST_VERSION), of("v2")]);
    assert!(faults.is_empty(), "{} of {CALLERS}: {faults:#?}", faults.len());
}

/// Guards against streams that are given up before their first event because their endpoint is silent.
#[test_case(1, 1200)]
#[test_case(1, 1500)]
#[test_case(2, 1500)]
fn a_silence_before_the_first_event_costs_no_stream(endpoints: usize, ms: u64) {
    let world = start(endpoints, USERS_SLACK);
    world.model[1..].iter().for_each(|e| e.fall_silent_at_run(Duration::from_millis(ms)));
    let to = world.callers(0);
    let streams = vec![begin(to, "POST /draft", 0, Some(format!("1000,{EVENTS}")))];
    let faults = faults(streams, &[stream_of(EVENTS)]);
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against streams that are given up because the endpoint that reads their prompt is silent.
#[test_case(500)]
#[test_case(1200)]
fn a_silence_during_a_prefill_costs_no_stream(ms: u64) {
    let world = start(1, USERS_SLACK);
    world.model[0].fall_silent(Duration::from_millis(ms));
    let to = world.callers(0);
    let streams = vec![begin(to, "POST /draft", 0, Some(format!("1000,{EVENTS}")))];
    let faults = faults(streams, &[stream_of(EVENTS)]);
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against plain answers that are given up because their endpoint is silent.
#[test_case("POST /stock", 1200)]
#[test_case("POST /stock", 1500)]
#[test_case("GET /sheet", 1500)]
fn a_silence_costs_no_plain_answer(line: &'static str, ms: u64) {
    let world = start(1, USERS_SLACK);
    world.plain.iter().for_each(|e| e.fall_silent(Duration::from_millis(ms)));
    let to = world.callers(0);
    let calls: Vec<_> = (0..CALLERS).map(|n| begin(to, line, n, None)).collect();
    let statuses = calls.into_iter().map(|call| call.join().expect("a caller").0.status);
    assert_eq!(statuses.collect::<Vec<_>>(), [200; CALLERS]);
    let ran: usize = world.plain.iter().map(|e| e.served().ran.len()).sum();
    assert!(line.starts_with("GET") || ran == CALLERS, "{ran} runs");
}

/// Guards against calls that are refused because they come while the endpoints of their service are
/// silent, also where peers could make them.
#[test_case(1, "POST /stock", 1000)]
#[test_case(1, "POST /stock", 2000)]
#[test_case(1, "GET /sheet", 1500)]
#[test_case(1, "POST /draft", 1000)]
#[test_case(1, "POST /draft", 1500)]
#[test_case(3, "POST /stock", 1500)]
#[test_case(3, "GET /sheet", 1500)]
#[test_case(3, "POST /draft", 1500)]
fn calls_that_come_during_a_silence_are_served(daemons: usize, line: &'static str, ms: u64) {
    let spec = WorldSpec { daemons, decode: 1, retry_slack: USERS_SLACK, ..WorldSpec::default() };
    let world = World::start(&spec).expect("a world");
    let silence = Duration::from_millis(ms);
    world.plain.iter().chain(&world.model).for_each(|e| e.fall_silent(silence));
    let (to, began) = (world.callers(0), Instant::now());
    let mut calls = Vec::new();
    while began.elapsed() < silence {
        let counts = line.ends_with("draft").then(|| "1000,2".to_owned());
        calls.push(begin(to, line, calls.len(), counts));
        thread::sleep(Duration::from_millis(150));
    }
    let answers = calls.into_iter().map(|call| call.join().expect("a caller").0);
    let refused = answers.filter(|answer| answer.status != 200);
    let refused: Vec<_> = refused.map(|answer| (answer.status, answer.text())).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against a stream that stays at an endpoint which is dark for good while another one has room.
#[test]
fn a_stream_goes_on_elsewhere_when_its_endpoint_is_dark_for_good() {
    let world = start(2, 20_000);
    let streams = begin_streams(&world, "POST /draft");
    wait_for_streams(&world);
    world.model[1].fall_silent(FOR_GOOD);
    let answers: Vec<_> = streams.into_iter().map(|s| s.join().expect("a caller")).collect();
    for (answer, _) in &answers {
        assert!((answer.status, answer.whole) == (200, true) && answer.text() == stream_of(EVENTS));
    }
    let gaps: Vec<_> = answers.iter().map(|(_, gap)| gap.as_millis()).collect();
    assert!(answers.iter().all(|(_, gap)| *gap < MAX_TAKE_OVER), "{gaps:?}");
    let abandoned = || world.model[1].served().abandoned + world.model[2].served().abandoned;
    assert_eq!(abandoned(), 0, "the dark endpoint has noticed nothing, the other kept its callers");
}

/// Guards against an endpoint that still works on a stream after another one has taken it over.
#[test]
fn an_endpoint_whose_stream_was_taken_over_is_left() {
    let world = start(2, 20_000);
    let streams = begin_streams(&world, "POST /draft");
    wait_for_streams(&world);
    let before = world.model[1].served().active;
    assert_ne!(before, 0);
    world.model[1].fall_silent(Duration::from_millis(2500));
    eventually("it works on none of them", || world.model[1].served().active == 0);
    assert_eq!(world.model[1].served().abandoned, before);
    assert!(faults(streams, &[stream_of(EVENTS)]).is_empty());
}

/// Guards against streams that a peer passes on and that are cut because their endpoint is silent.
#[test_case(1200)]
#[test_case(1500)]
fn a_silence_cuts_no_stream_that_a_peer_passes_on(ms: u64) {
    let spec = WorldSpec { daemons: 2, retry_slack: USERS_SLACK, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    let paths = world.add_with_paths().expect("a daemon with paths");
    paths.set(Weather::Silent);
    let ran = |world: &World| world.model[1..].iter().all(|e| !e.served().ran.is_empty());
    let to = world.callers(2);
    let mut numbers = CALLERS + 1..;
    eventually("peers make the calls", || {
        let first = numbers.next().expect("a number");
        let answer = begin(to, "POST /draft", first, Some("1000,2".to_owned())).join();
        answer.is_ok() && ran(&world)
    });
    let begin = |n| begin(to, "POST /draft", n, Some(format!("1000,{EVENTS}")));
    let streams = (1..=CALLERS).map(begin).collect();
    wait_for_streams(&world);
    world.model[1].fall_silent(Duration::from_millis(ms));
    let faults = faults(streams, &[stream_of(EVENTS)]);
    assert!(faults.is_empty(), "{} of {CALLERS}: {faults:#?}", faults.len());
}
