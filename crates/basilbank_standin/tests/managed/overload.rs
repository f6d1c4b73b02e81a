//! Calls that crash endpoints, and endpoints that take so many calls a second only.

use std::{
    thread,
    time::{Duration, Instant},
};

use basilbank_standin::managed::{DEADLY, DEADLY_PART, Weather, World, WorldSpec};
use test_case::test_case;

use crate::support::{draft_of, draft_on, eventually, plain, stream_of};

const DAEMONS: usize = 3;

/// Three crashes, and those of attempts that come before all have heard of them.
const CRASHES: usize = 12;

/// Callers that call at once: more than can wait for endpoints with limits.
const CALLERS: usize = 16;

/// The window in which an endpoint's calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Starts endpoints again that were crashed, as a platform does; how many they were.
fn revive(world: &mut World) -> usize {
    let crashed: Vec<_> =
        (0..world.model.len()).filter(|n| world.model[*n].has_crashed()).collect();
    for n in &crashed {
        let port = world.model[*n].address().port();
        world.model[*n].restart(port).expect("it starts again");
        world.list_model(*n);
    }
    crashed.len()
}

#[test]
fn a_draft_that_crashes_endpoints_is_kept_from_them_by_all_daemons() {
    let spec =
        WorldSpec { daemons: DAEMONS, plain: 1, prefill: 1, decode: 4, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    let (mut crashes, mut attempts) = (0, 0);
    let path = format!("/draft{DEADLY}");
    let mut kept = [false; DAEMONS];
    eventually("kept from endpoints by all", || {
        let daemon = attempts % DAEMONS;
        attempts += 1;
        let answer = draft_of(world.callers(daemon), &path, &format!("d{attempts}"), 1000, 5);
        kept[daemon] = answer.status == 503 && answer.text().contains("quarantined");
        crashes += revive(&mut world);
        kept.iter().all(|kept| *kept)
    });
    assert!((3..=CRASHES).contains(&crashes), "{crashes} crashes by {attempts} attempts");
    for daemon in 0..DAEMONS {
        eventually("a draft of others is served", || {
            draft_of(world.callers(daemon), "/draft/1", "other", 1000, 5).text() == stream_of(5)
        });
    }
}

/// Sound drafts that are written for longer than it takes to crash an endpoint, and short ones.
#[test_case(false, 60; "by its own connections")]
#[test_case(true, 60; "one daemon by its peers")]
#[test_case(false, 5; "short drafts")]
fn drafts_on_a_part_that_crashes_endpoints_are_kept_from_them_by_all_daemons(
    cut: bool,
    events: u32,
) {
    let spec =
        WorldSpec { daemons: DAEMONS - 1, plain: 1, prefill: 1, decode: 4, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    let paths = world.add_with_paths().expect("a daemon with paths");
    if cut {
        paths.proxies().for_each(|path| path.set(Weather::Refuse));
    }
    let (mut crashes, mut attempts) = (0, 0);
    let mut kept = [false; DAEMONS];
    let sound = |world: &World, n: usize| {
        let (id, parts) = (format!("s{n}"), format!("f1:200,{:x}:300,{n:x}:500", 0x20 + n % 3));
        draft_on(world.callers(n % DAEMONS), &format!("/draft/{n}"), &id, &parts, events)
    };
    eventually("kept from endpoints by all", || {
        attempts += 1;
        let daemon = attempts % DAEMONS;
        let middle = 0x20 + attempts % 3;
        let parts = format!("f1:200,{DEADLY_PART}:300,{middle:x}:100,{attempts:x}:400");
        let path = format!("/draft/bad{attempts}");
        let answer =
            draft_on(world.callers(daemon), &path, &format!("d{attempts}"), &parts, events);
        kept[daemon] = answer.status == 503 && answer.text().contains("quarantined");
        crashes += revive(&mut world);
        sound(&world, 1000 + attempts);
        kept.iter().all(|kept| *kept)
    });
    assert!((3..=CRASHES).contains(&crashes), "{crashes} crashes by {attempts} attempts");
    for n in 0..DAEMONS {
        eventually("a draft that shares all other parts is served", || {
            sound(&world, 2000 + n).text() == stream_of(events)
        });
    }
}

#[test]
fn endpoints_with_limits_get_no_more_of_all_daemons_together() {
    let spec =
        WorldSpec { daemons: DAEMONS, plain: 2, prefill: 1, decode: 1, ..WorldSpec::default() };
    let world = World::start(&spec).expect("a world");
    let rates = [2.0, 5.0];
    for (endpoint, rate) in world.plain.iter().zip(rates) {
        endpoint.limit(Some(rate));
    }
    let call = &|n: usize| plain(world.callers(n % DAEMONS), "GET /sheet/1", b"").status;
    // One caller after the other would be served, however few calls endpoints take.
    eventually("some are refused", || {
        thread::scope(|scope| {
            let threads: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || call(n))).collect();
            threads.into_iter().any(|thread| thread.join().expect("an answer") == 503)
        })
    });
    // All daemons have heard of it some datagrams later.
    thread::sleep(Duration::from_secs(1));
    let begin = Instant::now();
    let caller = |n: usize| {
        let calls = (n..).map(call).take_while(|_| begin.elapsed() < WINDOW);
        calls.partition::<Vec<_>, _>(|status| *status == 200)
    };
    let all: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || caller(n))).collect();
        threads.into_iter().map(|thread| thread.join().expect("answers")).collect()
    });
    let served: usize = all.iter().map(|(served, _)| served.len()).sum();
    let refused: usize = all.iter().map(|(_, refused)| refused.len()).sum();
    let end = Instant::now();
    for (endpoint, rate) in world.plain.iter().zip(rates) {
        let limited = endpoint.served().limited;
        let got = limited.iter().filter(|(at, ..)| begin <= *at && *at <= end).count();
        let allowed = rate * (end - begin).as_secs_f64() * 1.5 + 5.0;
        assert!(got as f64 <= allowed, "{} got {got}, allowed {allowed}", endpoint.instance());
    }
    assert!(8 < served && 0 < refused, "{served} served, {refused} refused");
    world.plain.iter().for_each(|endpoint| endpoint.limit(None));
    eventually("limits are lifted", || (0..30).all(|n| call(n) == 200));
}
