//! What proves that an answer is whole, by the way in which its endpoint ends: while it leaves or not,
//! by framing and place, before its answer's end, at it and after it.

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use basilbank_standin::managed::{
    Answer, BreakKind, BreakPlace, Ending, Framing, ManagedEndpoint, Misdeed, Weather, World,
    WorldSpec, call,
};
use test_case::test_case;

use crate::{
    ends::{Ends, Way},
    support::{eventually, stream_of},
};

/// Events of a stream.
const EVENTS: u32 = 8;

/// Time in which a daemon reads the store, and answers on their way arrive.
const SETTLE: Duration = Duration::from_millis(300);

/// Time in which half an answer comes, and the daemon waits for its rest.
const HALF_TIME: Duration = Duration::from_millis(30);

/// Work that takes longer than the time after which an endpoint that doesn't answer is probed.
const SLOW_WORK: Duration = Duration::from_millis(700);

/// Silence of a later start, longer than the time in which an answer's writer is asked.
const SLOW_START: Duration = Duration::from_secs(3);

/// Longest time in which a leaving endpoint finishes its streams.
const LONGEST_DRAIN: Duration = Duration::from_secs(15);

/// Times that an endpoint leaves, of which some end before the daemon has asked.
const DRAINS: usize = 4;

/// Worlds that are played at once.
const AT_ONCE: usize = 6;

/// How an endpoint's process is gone in the middle of its answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Gone {
    /// It refuses connections for a while before its own close.
    Before,
    /// It ends, and its connections close.
    AtTheEnd,
    /// It has started again before its connections are seen to close.
    Restarted,
    /// Another endpoint has its address before its connections are seen to close.
    Replaced,
    /// It has started again, and the later start is silent at first.
    RestartedSilent,
    /// Another endpoint has its address, and is silent at first.
    ReplacedSilent,
}

/// One way to be gone in the middle of an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Row {
    framing: Framing,
    place: BreakPlace,
    is_leaving: bool,
    gone: Gone,
}

impl Row {
    fn all() -> Vec<Row> {
        let mut rows = Vec::new();
        for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
            for place in [BreakPlace::Inside, BreakPlace::Between] {
                for is_leaving in [false, true] {
                    for gone in [Gone::Before, Gone::AtTheEnd, Gone::Restarted, Gone::Replaced] {
                        rows.push(Row { framing, place, is_leaving, gone });
                    }
                }
            }
        }
        rows
    }

    /// The rows in which an orderly close is all that ends the answer.
    fn unmarked() -> Vec<Row> {
        let is_unmarked =
            |row: &Row| row.framing == Framing::Connection && row.place == BreakPlace::Between;
        Row::all().into_iter().filter(is_unmarked).collect()
    }

    /// The rows in which whoever has the address accepts connections and answers nothing.
    fn silent_starts() -> Vec<Row> {
        let (framing, place) = (Framing::Connection, BreakPlace::Between);
        let row = |is_leaving, gone| Row { framing, place, is_leaving, gone };
        let of = |gone| [false, true].map(|is_leaving| row(is_leaving, gone));
        [Gone::RestartedSilent, Gone::ReplacedSilent].into_iter().flat_map(of).collect()
    }

    /// The answer falls silent in its middle.
    fn silence(self) -> Ending {
        let broken = Some((self.place, BreakKind::Silence));
        Ending { framing: Some(self.framing), broken }
    }

    fn whole(self) -> Ending {
        Ending { framing: Some(self.framing), broken: None }
    }

    fn end(self, endpoint: &mut ManagedEndpoint) {
        let own = endpoint.instance().to_owned();
        match self.gone {
            Gone::Before => {
                endpoint.stop_listening();
                thread::sleep(SETTLE);
                endpoint.cut();
            }
            Gone::AtTheEnd => endpoint.end(),
            Gone::Restarted => endpoint.be_replaced(&own, Duration::ZERO).expect("a start"),
            Gone::Replaced => endpoint.be_replaced("another", Duration::ZERO).expect("a start"),
            Gone::RestartedSilent => endpoint.be_replaced(&own, SLOW_START).expect("a start"),
            Gone::ReplacedSilent => endpoint.be_replaced("another", SLOW_START).expect("a start"),
        }
    }
}

/// Plays rows, some at once, and returns what is wrong.
fn play(rows: &[Row], one: impl Fn(Row) -> Option<String> + Sync) -> Vec<String> {
    let one = &one;
    let mut wrong = Vec::new();
    for group in rows.chunks(AT_ONCE) {
        let found: Vec<_> = thread::scope(|scope| {
            let played: Vec<_> = group.iter().map(|row| scope.spawn(move || one(*row))).collect();
            played.into_iter().map(|played| played.join().expect("a row")).collect()
        });
        wrong.extend(group.iter().zip(found).filter_map(|(row, found)| Some((row, found?))));
    }
    wrong.into_iter().map(|(row, found)| format!("{row:?}: {found}")).collect()
}

fn begin(world: &World, daemon: usize, line: &str, counts: Option<String>) -> JoinHandle<Answer> {
    let (to, line) = (world.callers(daemon), line.to_owned());
    thread::spawn(move || {
        let id = line.replace(['/', ' '], "-");
        let mut headers = vec![
            ("host", "shop.example"),
            ("x-attempt-id", id.as_str()),
            ("x-deadline-remaining", "8000"),
        ];
        headers.extend(counts.as_deref().map(|counts| ("x-token-counts", counts)));
        headers.extend(counts.as_deref().map(|_| ("x-prompt-prefix", "abc:1000")));
        call(to, &line, &headers, b"body").expect("an answer")
    })
}

fn begin_stream(world: &World, daemon: usize, path: &str, events: u32) -> JoinHandle<Answer> {
    let counts = Some(format!("1000,{events}"));
    begin(world, daemon, &format!("POST {path}/long"), counts)
}

/// The decode endpoint that a stream runs at. Others may still end streams of before.
fn streaming(world: &World, path: &str) -> usize {
    let target = format!("{path}/long");
    let runs = |e: &ManagedEndpoint| e.served().ran.iter().any(|run| run.target == target);
    let at = || world.model.iter().position(runs);
    eventually("it streams", || at().is_some());
    at().expect("an endpoint that streams")
}

fn finding(answer: &Answer) -> String {
    format!("status {}, whole {}, {:?}", answer.status, answer.whole, answer.text())
}

fn is_whole(answer: &Answer, events: u32) -> bool {
    (answer.status, answer.whole) == (200, true) && answer.text() == stream_of(events)
}

/// Whether the answer shows that it broke off, with whole events only.
fn is_cut(answer: &Answer, events: u32) -> bool {
    let has_whole_events = (0..events).any(|some| answer.text() == stream_of(some));
    (answer.status, answer.whole) == (200, false) && has_whole_events
}

/// Plays a stream whose endpoint is gone in its middle.
fn play_stream(row: Row, path: &str, way: Way) -> Option<String> {
    let mut ends = Ends::start(way);
    ends.world.model.iter().skip(1).for_each(|e| e.end_answers(row.silence()));
    let stream = begin_stream(&ends.world, ends.daemon, path, EVENTS);
    let at = streaming(&ends.world, path);
    // The one that streams may not have looked yet how its answer ends.
    let others = ends.world.model.iter().enumerate().filter(|(n, _)| *n != at);
    others.for_each(|(_, e)| e.end_answers(row.whole()));
    if row.is_leaving {
        ends.world.drain_model(at);
    }
    thread::sleep(SETTLE);
    row.end(&mut ends.world.model[at]);
    let answer = stream.join().expect("a caller");
    let may_go_on = path == "/draft";
    let is_right = match way {
        Way::Direct if may_go_on => is_whole(&answer, EVENTS),
        _ => is_cut(&answer, EVENTS) || may_go_on && is_whole(&answer, EVENTS),
    };
    (!is_right).then(|| finding(&answer))
}

/// Guards against half a stream that looks whole because its endpoint had said that it leaves.
#[test_case("/draft"; "resumable")]
#[test_case("/once"; "may run once")]
fn a_stream_whose_endpoint_is_gone_is_not_whole(path: &str) {
    let wrong = play(&Row::all(), |row| play_stream(row, path, Way::Direct));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// The same, where a peer passes the stream on.
#[test_case("/draft"; "resumable")]
#[test_case("/once"; "may run once")]
fn a_stream_by_a_peer_whose_endpoint_is_gone_is_not_whole(path: &str) {
    let wrong = play(&Row::unmarked(), |row| play_stream(row, path, Way::ByPeer));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against half a stream that looks whole because something accepts connections at the address
/// of its endpoint.
#[test_case("/draft", Way::Direct; "resumable")]
#[test_case("/once", Way::Direct; "may run once")]
#[test_case("/draft", Way::ByPeer; "resumable by a peer")]
#[test_case("/once", Way::ByPeer; "may run once by a peer")]
fn a_stream_whose_endpoint_is_gone_is_not_whole_while_a_later_start_is_silent(
    path: &str,
    way: Way,
) {
    let wrong = play(&Row::silent_starts(), |row| play_stream(row, path, way));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Plays a plain answer whose endpoint is gone in its middle.
fn play_plain(row: Row, line: &str) -> Option<String> {
    let mut ends = Ends::start(Way::Direct);
    for endpoint in &ends.world.plain {
        endpoint.end_answers(row.silence());
        endpoint.leave(row.is_leaving);
    }
    let plain = begin(&ends.world, 0, line, None);
    let at = || ends.world.plain.iter().position(|e| !e.served().ran.is_empty());
    eventually("it runs", || at().is_some());
    let at = at().expect("an endpoint that runs it");
    let others = ends.world.plain.iter().enumerate().filter(|(n, _)| *n != at);
    for (_, endpoint) in others {
        endpoint.end_answers(row.whole());
        endpoint.leave(false);
    }
    thread::sleep(HALF_TIME);
    let instance = ends.world.plain[at].instance().to_owned();
    row.end(&mut ends.world.plain[at]);
    let answer = plain.join().expect("a caller");
    let is_half = !answer.text().contains(" by plain-") || answer.text().ends_with(&instance);
    let is_repeated = line.starts_with("GET") && !is_half;
    let is_right = answer.status != 200 || answer.whole && is_repeated;
    (!is_right).then(|| finding(&answer))
}

/// Guards against half a plain answer that is passed on because its endpoint had said that it leaves.
#[test_case("GET /sheet/a"; "idempotent")]
#[test_case("POST /stock/a"; "may run once")]
fn a_plain_answer_whose_endpoint_is_gone_is_no_success(line: &str) {
    let wrong = play(&Row::all(), |row| play_plain(row, line));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test_case("GET /sheet/a"; "idempotent")]
#[test_case("POST /stock/a"; "may run once")]
fn a_plain_answer_whose_endpoint_is_gone_is_no_success_while_a_later_start_is_silent(line: &str) {
    let wrong = play(&Row::silent_starts(), |row| play_plain(row, line));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Some streams ran at the endpoint that left, and all that `play_drain` began are whole.
fn assert_drain_is_whole(ran: usize, answers: &[Answer]) {
    assert_ne!(ran, 0);
    let lengths = (0..).map(drain_events);
    let wrong: Vec<_> =
        answers.iter().zip(lengths).filter(|(a, events)| !is_whole(a, *events)).collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Events of a stream that is begun before an endpoint leaves: they are written until after that.
fn drain_events(number: u32) -> u32 {
    200 + 5 * number
}

/// Streams that an endpoint finishes while it leaves, and when it ends after the last of them.
fn play_drain(way: Way, path: &str, pause: Duration) -> (usize, Vec<Answer>) {
    const STREAMS: u32 = 8;
    let mut ends = Ends::start(way);
    let unframed = Ending { framing: Some(Framing::Connection), broken: None };
    ends.world.model.iter().for_each(|e| e.end_answers(unframed));
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| begin_stream(&ends.world, ends.daemon, &format!("{path}/{n}"), drain_events(n)))
        .collect();
    let active = |at: usize| ends.world.model[at].served().active;
    let decode = 1..ends.world.model.len();
    // A stream that begins later may find no endpoint if the other one is slow to answer. Where peers
    // make the calls, it must find one all the same.
    let needed = if way == Way::Direct { STREAMS } else { 1 };
    eventually("they stream", || needed <= decode.clone().map(active).sum());
    let at = decode.max_by_key(|at| active(*at)).expect("an endpoint that streams");
    ends.world.drain_model(at);
    // It is to end right after its last answer.
    assert!(ends.world.model[at].wait_idle(LONGEST_DRAIN), "it finishes its streams");
    thread::sleep(pause);
    ends.world.model[at].end();
    let ran = ends.world.model[at].served().ran.len();
    (ran, streams.into_iter().map(|stream| stream.join().expect("a caller")).collect())
}

/// Guards against whole answers of a leaving endpoint that count as broken.
#[test_case("/draft", Way::Direct; "resumable")]
#[test_case("/once", Way::Direct; "may run once")]
#[test_case("/draft", Way::ByPeer; "resumable by a peer")]
#[test_case("/once", Way::ByPeer; "may run once by a peer")]
fn a_leaving_endpoint_that_ends_after_its_streams_has_ended_them_whole(path: &str, way: Way) {
    let (ran, answers) = play_drain(way, path, Duration::from_millis(500));
    assert_drain_is_whole(ran, &answers);
}

/// Guards against whole streams that count as broken because their leaving endpoint ends at once after
/// the last of them.
#[test_case("/draft"; "resumable")]
#[test_case("/once"; "may run once")]
fn a_leaving_endpoint_that_ends_at_once_has_ended_its_streams_whole(path: &str) {
    for _ in 0..DRAINS {
        let (ran, answers) = play_drain(Way::Direct, path, Duration::ZERO);
        assert_drain_is_whole(ran, &answers);
    }
}

/// Guards against whole answers that count as broken where new connections are reset and those that are
/// open live on.
#[test_case("/draft"; "resumable")]
#[test_case("/once"; "may run once")]
fn a_stream_is_whole_while_new_connections_are_reset(path: &str) {
    let mut world = World::start(&WorldSpec::default()).expect("a world");
    let paths = world.add_with_paths().expect("a daemon with paths");
    let unframed = Ending { framing: Some(Framing::Connection), broken: None };
    world.model.iter().for_each(|e| e.end_answers(unframed));
    let stream = begin_stream(&world, 1, path, 60);
    streaming(&world, path);
    paths.set(Weather::Refuse);
    let answer = stream.join().expect("a caller");
    assert!(is_whole(&answer, 60), "{}", finding(&answer));
}

/// Begins a plain call whose answer takes so long.
fn begin_work(world: &World, line: &'static str, id: &str, work: Duration) -> JoinHandle<Answer> {
    let (to, id, work) = (world.callers(0), id.to_owned(), work.as_millis().to_string());
    thread::spawn(move || {
        let headers = [
            ("host", "shop.example"),
            ("x-attempt-id", id.as_str()),
            ("x-deadline-remaining", "4000"),
            ("x-work-ms", work.as_str()),
        ];
        call(to, line, &headers, b"body").expect("an answer")
    })
}

/// A world with one plain endpoint, to which several connections stay open.
fn warm_world() -> World {
    let spec = WorldSpec { plain: 1, ..WorldSpec::default() };
    let world = World::start(&spec).expect("a world");
    let work = Duration::from_millis(50);
    let sheets: Vec<_> =
        (0..3).map(|n| begin_work(&world, "GET /sheet/1", &format!("sheet-{n}"), work)).collect();
    sheets.into_iter().for_each(|sheet| drop(sheet.join().expect("the caller's thread")));
    world
}

/// Begins a call that may run once and whose answer takes so long, and waits until it runs.
fn run_once(world: &World, ending: Ending, work: Duration) -> JoinHandle<Answer> {
    world.plain[0].end_answers(ending);
    let before = world.plain[0].served().ran.len();
    let calling = begin_work(world, "POST /stock/1", "stock", work);
    eventually("it runs", || before < world.plain[0].served().ran.len());
    calling
}

#[test_case(true; "and accepts connections")]
#[test_case(false; "and refuses connections")]
fn a_whole_answer_of_an_endpoint_that_falls_silent_is_passed_on(is_listening: bool) {
    let mut world = warm_world();
    let unframed = Ending { framing: Some(Framing::Connection), broken: None };
    let calling = run_once(&world, unframed, Duration::from_millis(150));
    if !is_listening {
        world.plain[0].stop_listening();
    }
    world.plain[0].misbehave(Misdeed::Silent);
    let answer = calling.join().expect("the caller's thread");
    assert_eq!((answer.status, answer.whole), (200, true));
}

/// Guards against whole answers that count as broken because a probe was refused meanwhile.
#[test_case(true; "leaving")]
#[test_case(false; "before it says so")]
fn a_slow_answer_of_an_endpoint_that_refuses_connections_is_passed_on(is_leaving: bool) {
    let mut world = warm_world();
    let unframed = Ending { framing: Some(Framing::Connection), broken: None };
    let calling = run_once(&world, unframed, SLOW_WORK);
    if is_leaving {
        world.drain_plain(0);
    }
    world.plain[0].stop_listening();
    let answer = calling.join().expect("the caller's thread");
    assert_eq!((answer.status, answer.whole), (200, true), "{}", answer.text());
}

#[test_case(true; "leaving")]
#[test_case(false; "before it says so")]
fn half_a_slow_answer_of_an_endpoint_that_refused_connections_and_ended_is_no_success(
    is_leaving: bool,
) {
    let mut world = warm_world();
    let broken = Some((BreakPlace::Inside, BreakKind::Silence));
    let ending = Ending { framing: Some(Framing::Connection), broken };
    let calling = run_once(&world, ending, SLOW_WORK);
    if is_leaving {
        world.drain_plain(0);
    }
    world.plain[0].stop_listening();
    thread::sleep(SLOW_WORK + HALF_TIME);
    world.plain[0].end();
    let answer = calling.join().expect("the caller's thread");
    assert_ne!(answer.status, 200, "{}", answer.text());
}

#[test]
fn a_stream_whose_connection_an_ending_process_closes_first_is_not_whole() {
    const LONG: u32 = 100;
    let mut world = World::start(&WorldSpec::default()).expect("a world");
    // Connections to both decode endpoints stay open.
    let warm: Vec<_> =
        (0..6).map(|n| begin_stream(&world, 0, &format!("/draft/warm-{n}"), EVENTS)).collect();
    warm.into_iter().for_each(|stream| drop(stream.join().expect("a caller")));
    let breaks_off = Ending {
        framing: Some(Framing::Connection),
        broken: Some((BreakPlace::Between, BreakKind::Close)),
    };
    for endpoint in world.model.iter().skip(1) {
        endpoint.end_answers(breaks_off);
        endpoint.hold_breaks();
    }
    let stream = begin_stream(&world, 0, "/once", LONG);
    let at = streaming(&world, "/once");
    world.model[at].stop_listening();
    world.model[at].end_after_report();
    let answer = stream.join().expect("a caller");
    assert!(is_cut(&answer, LONG), "{}", finding(&answer));
}
