//! Endpoints whose answers have no end.
//!
//! The memory of a process is what is checked, and keeps traces of all plays in it. So each play has a
//! process of its own, and no two run at once.

use std::{
    env,
    process::Command,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{
    Answer, Endless, FIRST_VERSION, Misdeed, World, WorldSpec, call, event_text,
};
use test_case::test_case;

/// Calls at once.
const CALLS: usize = 150;

/// Calls after these.
const LATER_CALLS: usize = 30;

/// Tokens of a stream.
const TOKENS: u32 = 10;

/// Memory of a daemon of the users, of which the stand-ins take a part here.
const MAX_MEMORY: usize = 110_000_000;

/// Longest time of a call: the time until it is found that its answer has no end, and its turn after
/// all others at the other endpoints.
const MAX_TIME: Duration = Duration::from_secs(8);

/// Longest time of an answer to the load balancer.
const MAX_READY_TIME: Duration = Duration::from_millis(500);

/// Most calls that the endpoint gets after it was found out.
const MAX_LATER: usize = 2;

/// Time until a caller whose connection was closed comes back.
const COME_BACK: Duration = Duration::from_millis(100);

/// Variable that is set in the process of one play.
const ALONE: &str = "BASILBANK_TEST_ALONE";

static PLAYS: Mutex<()> = Mutex::new(());

/// Memory of this process in bytes.
fn memory() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").expect("its memory");
    let resident = pages.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    resident.expect("a number of pages") * 4096
}

fn ask(world: &World, line: &str, n: usize) -> (Answer, Duration) {
    let (id, counts) = (format!("c{n}"), format!("100,{TOKENS}"));
    let mut headers =
        vec![("host", "shop.example"), ("x-attempt-id", &id), ("x-deadline-remaining", "14000")];
    let part = format!("{n:x}:100");
    if line.ends_with("/draft/1") {
        headers.extend([("x-token-counts", counts.as_str()), ("x-prompt-prefix", part.as_str())]);
    }
    let began = Instant::now();
    // A busy daemon closes some new connections unread; their callers come back.
    let answer = loop {
        match call(world.callers(0), line, &headers, b"") {
            Err(_) if began.elapsed() < MAX_TIME => thread::sleep(COME_BACK),
            answer => break answer.expect("an answer"),
        }
    };
    (answer, began.elapsed())
}

fn is_right(answer: &Answer, line: &str) -> bool {
    let text = answer.text();
    let is_own = match line.ends_with("/draft/1") {
        true => text == (1..=TOKENS).map(|n| event_text(n, FIRST_VERSION)).collect::<String>(),
        false => text.starts_with(line),
    };
    answer.status == 200 && answer.whole && is_own
}

/// What is seen of a daemon while it serves.
#[derive(Debug, Default)]
struct Seen {
    memory: usize,
    ready_time: Duration,
}

fn watch(world: &World, has_ended: &AtomicBool) -> Seen {
    let mut seen = Seen::default();
    while !has_ended.load(Ordering::SeqCst) {
        seen.memory = seen.memory.max(memory());
        let began = Instant::now();
        let answer = call(world.ready(0), "GET /ready", &[], b"").expect("an answer");
        assert_eq!(answer.status, 200);
        seen.ready_time = seen.ready_time.max(began.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    seen
}

/// Plays in a process of its own: this test again.
fn play(line: &str, endless: Endless) {
    if env::var_os(ALONE).is_some() {
        return play_alone(line, endless);
    }
    let _only = PLAYS.lock().unwrap_or_else(PoisonError::into_inner);
    let this = thread::current();
    let name = this.name().expect("a test's name");
    let mut again = Command::new(env::current_exe().expect("this program"));
    let output = again.args(["--exact", name]).env(ALONE, "1").output().expect("its end");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}

fn play_alone(line: &str, endless: Endless) {
    let spec = WorldSpec { plain: 3, decode: 3, ..WorldSpec::default() };
    let world = World::start(&spec).expect("a world");
    let faulty = if line.ends_with("/draft/1") { &world.model[1] } else { &world.plain[0] };
    faulty.misbehave(Misdeed::Endless(endless));
    let has_ended = AtomicBool::new(false);
    let (answers, seen) = thread::scope(|scope| {
        let watcher = scope.spawn(|| watch(&world, &has_ended));
        let calls: Vec<_> = (0..CALLS)
            .map(|n| {
                scope.spawn({
                    let world = &world;
                    move || ask(world, line, n)
                })
            })
            .collect();
        let answers: Vec<_> = calls.into_iter().map(|call| call.join()).collect();
        has_ended.store(true, Ordering::SeqCst);
        (answers, watcher.join())
    });
    let answers: Vec<_> = answers.into_iter().map(|answer| answer.expect("a caller")).collect();
    let seen = seen.expect("a watcher");
    let met = faulty.served().ran.len();
    let wrong: Vec<_> = answers.iter().filter(|(answer, _)| !is_right(answer, line)).collect();
    let wrong: Vec<_> =
        wrong.iter().map(|(a, time)| (a.status, a.whole, a.body.len(), time)).collect();
    let longest = answers.iter().map(|(_, time)| *time).max();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(seen.memory < MAX_MEMORY, "{seen:?}");
    assert!(seen.ready_time < MAX_READY_TIME, "{seen:?}");
    assert!(longest < Some(MAX_TIME), "{longest:?}");
    let later = (CALLS..CALLS + LATER_CALLS).filter(|n| !is_right(&ask(&world, line, *n).0, line));
    assert_eq!(later.count(), 0);
    let met_later = faulty.served().ran.len() - met;
    assert!(met_later <= MAX_LATER, "{met_later} of {LATER_CALLS}");
}

/// Guards against calls that are lost, and a daemon that exceeds its memory, where an endpoint writes
/// a plain answer without end.
#[test_case(Endless::Body(200))]
#[test_case(Endless::Chunks(200))]
#[test_case(Endless::Body(500))]
#[test_case(Endless::Length)]
#[test_case(Endless::Encoded)]
#[test_case(Endless::Zeros)]
#[test_case(Endless::ChunkSize)]
#[test_case(Endless::Extensions)]
#[test_case(Endless::Trailers)]
#[test_case(Endless::Continue)]
#[test_case(Endless::Head)]
#[test_case(Endless::SlowHead)]
fn a_plain_answer_without_end(endless: Endless) {
    play("GET /sheet/1", endless);
}

/// Guards against the same where an endpoint writes a stream without end.
#[test_case(Endless::Body(500))]
#[test_case(Endless::Chunks(500))]
#[test_case(Endless::Comments)]
#[test_case(Endless::SlowComments)]
#[test_case(Endless::Event)]
#[test_case(Endless::Data)]
#[test_case(Endless::OneId)]
#[test_case(Endless::ChunkSize)]
#[test_case(Endless::Extensions)]
#[test_case(Endless::Trailers)]
#[test_case(Endless::Continue)]
#[test_case(Endless::Head)]
#[test_case(Endless::SlowHead)]
fn a_stream_without_end(endless: Endless) {
    play("POST /draft/1", endless);
}
