//! Endpoints start again under the id that they had.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use basilbank_standin::managed::{
    Answer, DESK, EndpointSpec, Misdeed, Request, Served, StoreFault, WRITER, World, WorldSpec,
    call, key,
};
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{draft, draft_of, eventually, plain, stream_of, world};

/// Where an endpoint starts again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum At {
    /// At its address.
    Same,
    /// At another one.
    Another,
}

impl At {
    fn port(self, before: SocketAddr) -> u16 {
        match self {
            At::Same => before.port(),
            At::Another => 0,
        }
    }
}

fn restart_plain(world: &mut World, n: usize, at: At) -> Served {
    let port = at.port(world.plain[n].address());
    world.plain[n].restart(port).expect("it starts again")
}

fn restart_model(world: &mut World, n: usize, at: At) -> Served {
    let port = at.port(world.model[n].address());
    world.model[n].restart(port).expect("it starts again")
}

/// A world with one endpoint for each job: work has nowhere else to go.
fn narrow_world() -> World {
    let spec = WorldSpec { daemons: 1, plain: 1, prefill: 1, decode: 1, ..WorldSpec::default() };
    World::start(&spec).expect("a world")
}

fn serves(world: &World) -> bool {
    plain(world.callers(0), "GET /sheet/1", b"").status == 200
}

fn ran_of<'a>(served: &'a [Served], id: &str) -> Vec<&'a Request> {
    let ran = served.iter().flat_map(|served| &served.ran);
    ran.filter(|request| request.header("x-attempt-id") == Some(id)).collect()
}

/// The stand-in: a new start says so in all that it says of itself, and holds nothing of before.
#[test_case(At::Same)]
#[test_case(At::Another)]
fn a_start_says_when_it_was_and_its_counts_start_anew(at: At) {
    let mut world = narrow_world();
    let report = |world: &World| {
        let answer = call(world.model[1].address(), "GET /report", &[], b"").expect("a report");
        serde_json::from_slice::<Value>(&answer.body).expect("JSON")
    };
    let former = world.model[1].entry(WRITER, "ready");
    assert_eq!(former["born"], report(&world)["born"]);
    assert_eq!(draft(world.callers(0), "/draft/1", 3).text(), stream_of(3));
    let before = world.model[1].address();
    assert_ne!(restart_model(&mut world, 1, at).ran.len(), 0);
    let entry = world.model[1].entry(WRITER, "ready");
    assert_eq!(entry["born"], report(&world)["born"]);
    assert!(former["born"].as_u64() < entry["born"].as_u64());
    assert_eq!((&former["seq"], &entry["seq"]), (&json!(2), &json!(1)));
    assert_eq!(before == world.model[1].address(), at == At::Same);
    let served = world.model[1].served();
    assert_eq!((served.ran.len(), served.holds, served.active), (0, 0, 0));
}

/// Symptom: an endpoint that had started again got no work.
/// Sequence: it ends, and starts again under its id; its entry says so.
/// Cause: what was known of the former start was held against the new one.
#[test_case(At::Same)]
#[test_case(At::Another)]
fn a_plain_endpoint_that_starts_again_gets_work(at: At) {
    let mut world = narrow_world();
    assert!(serves(&world));
    for _ in 0..3 {
        let served = restart_plain(&mut world, 0, at);
        assert_ne!(served.ran.len(), 0);
        world.list_plain(0);
        eventually("the new start serves", || serves(&world));
        assert!((0..20).all(|_| serves(&world)), "it stays in use");
        assert_ne!(world.plain[0].served().ran.len(), 0);
    }
}

/// Symptom: an endpoint that was back got no work.
/// Sequence: it drains, or its entry goes; it starts again under its id.
/// Cause: an id that had left was taken to have left for good.
#[test_case(true; "it had drained")]
#[test_case(false; "its entry had gone")]
fn an_endpoint_that_left_and_starts_again_gets_work(drained: bool) {
    let mut world = narrow_world();
    assert!(serves(&world));
    match drained {
        true => world.drain_plain(0),
        false => world.unlist("plain-0"),
    }
    eventually("it leaves", || !serves(&world));
    restart_plain(&mut world, 0, At::Same);
    world.list_plain(0);
    eventually("the new start serves", || serves(&world));
}

/// Symptom: the same, after the store had been away.
/// Sequence: the endpoint starts again at another address while the store is away.
/// Cause: the list that was read then was compared by ids.
#[test_case(StoreFault::Silent)]
#[test_case(StoreFault::Busy)]
fn an_endpoint_that_starts_again_while_the_store_is_away_gets_work(fault: StoreFault) {
    let mut world = narrow_world();
    world.store.set_fault(fault);
    restart_plain(&mut world, 0, At::Another);
    world.list_plain(0);
    assert!((0..5).all(|_| !serves(&world)), "nobody has told the daemon where it is");
    world.store.set_fault(StoreFault::None);
    eventually("the new start serves", || serves(&world));
    assert!((0..20).all(|_| serves(&world)), "it stays in use");
}

/// Symptom: an endpoint that had just started got no work for seconds.
/// Sequence: it fails calls, starts again under its id, and its entry says so.
/// Cause: what its former start had failed was held against the new one.
/// A second endpoint is at hand all the while, with which a daemon stays unless it takes the new start
/// for a new endpoint.
#[test_case(At::Same)]
#[test_case(At::Another)]
fn what_a_former_start_failed_does_not_count(at: At) {
    let spec = WorldSpec { plain: 2, prefill: 0, decode: 0, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    world.plain[0].misbehave(Misdeed::Full);
    for _ in 0..20 {
        assert!(serves(&world));
    }
    restart_plain(&mut world, 0, at);
    world.plain[0].misbehave(Misdeed::None);
    world.list_plain(0);
    eventually("the new start is tried", || {
        assert!(serves(&world));
        !world.plain[0].served().ran.is_empty()
    });
}

/// Symptom: calls went to a start that had ended.
/// Sequence: an endpoint starts again at another address; the entry of its former start is written once
/// more, late, and the former start still listens.
/// Cause: the entry that was read last was taken for the newest.
#[test]
fn an_older_entry_that_comes_late_does_not_bring_the_former_start_back() {
    let mut world = narrow_world();
    assert!(serves(&world));
    world.add_plain(EndpointSpec::plain("plain-0")).expect("its next start");
    let ran = |world: &World, n: usize| world.plain[n].served().ran.len();
    eventually("the new start serves", || serves(&world) && 0 < ran(&world, 1));
    world.list_plain(0);
    // A third one is seen, so the late entry has been read; then only the new start is left.
    world.add_plain(EndpointSpec::plain("marker")).expect("an endpoint");
    eventually("the marker serves", || serves(&world) && 0 < ran(&world, 2));
    world.drain_plain(2);
    let former = ran(&world, 0);
    eventually("the new start serves alone", || {
        let before = ran(&world, 1);
        (0..10).all(|_| serves(&world)) && ran(&world, 1) == before + 10
    });
    assert_eq!(ran(&world, 0), former, "the former start got work");
}

/// Symptom: a service lost the endpoint that it had.
/// Sequence: an endpoint starts again at another address; the late entry of its former start says that
/// it is draining.
/// Cause: a late word of the former start was taken for the new one's.
#[test]
fn a_late_word_of_the_former_start_does_not_drain_the_new_one() {
    let mut world = narrow_world();
    let former = world.plain[0].entry(DESK, "draining");
    restart_plain(&mut world, 0, At::Another);
    world.list_plain(0);
    eventually("the new start serves", || serves(&world));
    world.store.put(&key("plain-0"), &former);
    world.add_plain(EndpointSpec::plain("marker")).expect("an endpoint");
    let ran = |world: &World, n: usize| world.plain[n].served().ran.len();
    eventually("the marker serves", || serves(&world) && 0 < ran(&world, 1));
    world.drain_plain(1);
    eventually("the new start serves alone", || {
        let before = ran(&world, 0);
        (0..10).all(|_| serves(&world)) && ran(&world, 0) == before + 10
    });
}

/// Symptom: an endpoint ran a call that it must not run twice, or a caller got another one's answer.
/// Sequence: an endpoint starts again while calls come one after another.
/// Cause: a call that a former start may have run was sent to the new one.
#[test_case(At::Same)]
#[test_case(At::Another)]
fn a_call_that_may_run_once_does_not_run_at_both_starts(at: At) {
    let mut world = narrow_world();
    let callers = world.callers(0);
    let over = Arc::new(AtomicBool::new(false));
    let stop = Arc::clone(&over);
    let calling = thread::spawn(move || {
        let call = |n: u32| {
            let path = format!("/stock/{n}");
            (path.clone(), plain(callers, &format!("POST {path}"), path.as_bytes()))
        };
        (0..).take_while(|_| !stop.load(Ordering::Relaxed)).map(call).collect::<Vec<_>>()
    });
    let mut served = Vec::new();
    for _ in 0..5 {
        eventually("the start serves", || 20 <= world.plain[0].served().ran.len());
        served.push(restart_plain(&mut world, 0, at));
        world.list_plain(0);
    }
    over.store(true, Ordering::Relaxed);
    let answers = calling.join().expect("the calls' thread");
    served.push(world.plain[0].served());
    for (path, answer) in answers {
        let ran = served.iter().flat_map(|served| &served.ran).filter(|r| r.target == path).count();
        assert!(ran <= 1, "{path} ran {ran} times");
        match answer.status {
            200 => assert_eq!(answer.text(), format!("POST {path} by plain-0")),
            503 => assert_eq!(ran, 0, "{path} ran, and its caller was told that it did not"),
            status => assert_eq!(status, 502, "{path}"),
        }
    }
}

/// Symptom: a call ran twice, or its caller was told that it had not run.
/// Sequence: an endpoint starts again under its id while it runs the call.
/// Cause: the new start was taken for another endpoint at which nothing of the call had run.
#[test_case(At::Same)]
#[test_case(At::Another)]
fn a_call_that_a_restart_broke_off_is_not_sent_again_unless_it_may(at: At) {
    let mut world = narrow_world();
    let callers = world.callers(0);
    world.plain[0].misbehave(Misdeed::Hanging);
    let once = thread::spawn(move || plain(callers, "POST /stock/1", b"x"));
    let often = thread::spawn(move || plain(callers, "GET /sheet/1", b""));
    eventually("both run", || 2 <= world.plain[0].served().ran.len());
    world.plain[0].misbehave(Misdeed::None);
    restart_plain(&mut world, 0, at);
    world.list_plain(0);
    let answer = once.join().expect("its thread");
    assert_eq!(answer.status, 502);
    let answer = often.join().expect("its thread");
    assert!(answer.status != 200 || answer.text() == "GET /sheet/1 by plain-0");
    eventually("the new start serves", || serves(&world));
    let ran = world.plain[0].served().ran;
    assert!(ran.iter().all(|request| request.target == "/sheet/1"), "the call ran at both starts");
}

/// Drafts that a world's caller has open, each with its id.
fn drafts(
    to: SocketAddr,
    path: &'static str,
    count: usize,
    tokens: u32,
) -> Vec<(String, JoinHandle<Answer>)> {
    let draft = |n: usize| {
        let id = format!("d{n}{}", path.replace('/', "-"));
        let own = id.clone();
        (id, thread::spawn(move || draft_of(to, path, &own, tokens, EVENTS)))
    };
    (0..count).map(draft).collect()
}

/// Events of such a draft: it takes half a second.
const EVENTS: u32 = 100;

/// Tokens of a prompt of which a decode endpoint's memory has room for one.
const LARGE: u32 = 60_000;

/// Symptom: callers got torn, doubled or mixed streams.
/// Sequence: a decode endpoint starts again under its id while it sends streams and others wait for
/// room at it.
/// Cause: what was held at the former start was taken for the new one's.
#[test_case("decode", At::Same, 1000; "decode at its address")]
#[test_case("decode", At::Another, 1000; "decode at another address")]
#[test_case("decode", At::Same, LARGE; "decode at its address while drafts wait")]
#[test_case("decode", At::Another, LARGE; "decode at another address while drafts wait")]
#[test_case("prefill", At::Same, LARGE; "prefill at its address while drafts wait")]
#[test_case("prefill", At::Another, LARGE; "prefill at another address while drafts wait")]
fn drafts_outlive_a_restart(stage: &str, at: At, tokens: u32) {
    let mut world = world();
    let mut open = drafts(world.callers(0), "/draft/1", 4, tokens);
    open.extend(drafts(world.callers(0), "/once/1", 2, tokens));
    let streams = |world: &World| world.model.iter().position(|e| e.served().active != 0);
    eventually("one streams", || streams(&world).is_some());
    let which = if stage == "prefill" { 0 } else { streams(&world).unwrap_or(1) };
    let former = restart_model(&mut world, which, at);
    world.list_model(which);
    let answers: Vec<_> =
        open.into_iter().map(|(id, thread)| (id, thread.join().expect("its thread"))).collect();
    let mut served: Vec<_> = world.model.iter().map(|endpoint| endpoint.served()).collect();
    served.push(former);
    for (id, answer) in answers {
        if id.contains("once") {
            is_part_of_one_run(&id, &answer, &served);
        } else {
            let is_whole = (answer.status, answer.whole) == (200, true);
            assert!(is_whole, "{id}: status {}, {}", answer.status, answer.text());
            assert_eq!(answer.text(), stream_of(EVENTS), "{id}");
        }
    }
}

/// A stream that may run once is whole, or looks broken off, or did not run.
fn is_part_of_one_run(id: &str, answer: &Answer, served: &[Served]) {
    let ran = ran_of(served, id).len();
    assert!(ran <= 1, "{id} ran {ran} times");
    if answer.status == 200 {
        assert!(stream_of(EVENTS).starts_with(&answer.text()), "{id}: {}", answer.text());
        assert_eq!(answer.whole, answer.text() == stream_of(EVENTS), "{id}");
    }
    assert!(answer.status != 503 || ran == 0, "{id} ran, and its caller was told that it did not");
}

/// Symptom: drafts were refused, or the endpoint that had just started got none.
/// Sequence: the only decode endpoint, or the only one that reads prompts, starts again.
/// Cause: slots and KV caches of the former start counted as held at the new one, or its failures as
/// the new one's.
#[test_case(0, At::Same; "prefill at its address")]
#[test_case(0, At::Another; "prefill at another address")]
#[test_case(1, At::Same; "decode at its address")]
#[test_case(1, At::Another; "decode at another address")]
fn a_model_endpoint_that_starts_again_gets_work(which: usize, at: At) {
    let mut world = narrow_world();
    let callers = world.callers(0);
    assert_eq!(draft(callers, "/draft/1", 3).text(), stream_of(3));
    for _ in 0..3 {
        let open = drafts(callers, "/once/1", 3, 1000);
        eventually("it streams", || world.model[1].served().active != 0);
        restart_model(&mut world, which, at);
        world.list_model(which);
        let works = |world: &World| {
            let served = world.model[which].served();
            0 < if which == 0 { served.prefills as usize } else { served.ran.len() }
        };
        eventually("the new start serves", || {
            draft(callers, "/draft/1", 3).text() == stream_of(3) && works(&world)
        });
        open.into_iter().for_each(|(_, thread)| drop(thread.join().expect("its thread")));
    }
}

/// Symptom: drafts were sent to an endpoint for a KV cache that its former start had made.
/// Sequence: the endpoint that reads prompts loses its KV caches and is left alone; it starts again.
/// Cause: the former start's failure was held against the new one.
#[test_case(At::Same)]
#[test_case(At::Another)]
fn a_prefill_endpoint_that_lost_kv_caches_reads_prompts_after_its_restart(at: At) {
    let mut world = world();
    let callers = world.callers(0);
    world.model[0].misbehave(Misdeed::Forgetful);
    assert_eq!(draft(callers, "/draft/1", 10).text(), stream_of(10));
    assert_eq!(draft(callers, "/draft/1", 10).text(), stream_of(10));
    assert_eq!(world.model[0].served().prefills, 1, "it is left alone");
    world.model[0].misbehave(Misdeed::None);
    restart_model(&mut world, 0, at);
    world.list_model(0);
    // They leave after it was listed, so that the daemon has read both once it refuses.
    (0..2).for_each(|n| world.drain_plain(n));
    eventually("plain endpoints leave", || !serves(&world));
    assert_eq!(draft(callers, "/draft/1", 10).text(), stream_of(10));
    assert_eq!(world.model[0].served().prefills, 1, "the new start reads the next prompt");
}
