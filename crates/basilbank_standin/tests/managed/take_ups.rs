//! Callers that come back with a part of a stream, before endpoints of two versions.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use basilbank_standin::managed::{
    Answer, EndpointSpec, Proxy, WRITER, Weather, World, WorldSpec, call, event_text, key,
};
use test_case::test_case;

use crate::support::eventually;

/// Streams of each play.
const STREAMS: usize = 12;

/// Events of a stream, and those that its caller has before its connection breaks.
const EVENTS: u32 = 60;
const HAD: u32 = 3;

/// Interval of endpoints' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);

const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Three daemons before a prefill and two decode endpoints of each version.
fn world() -> World {
    world_of(&VERSIONS)
}

fn world_of(versions: &[&'static str]) -> World {
    let spec = WorldSpec { daemons: 3, plain: 1, prefill: 0, decode: 0, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    versions.iter().for_each(|version| add_version(&mut world, version));
    let streams = |to, n: usize| whole(to, &format!("w{n}")).status == 200;
    eventually("all daemons have all versions", || {
        (0..3).all(|daemon| (0..4).all(|n| streams(world.callers(daemon), 10 * daemon + n)))
    });
    world
}

fn add_version(world: &mut World, version: &'static str) {
    for (name, stage) in [("p", "prefill"), ("a", "decode"), ("b", "decode")] {
        let spec = EndpointSpec::model(&format!("{version}-{name}"), stage);
        world.add_model(EndpointSpec { version, ..spec }).expect("an endpoint");
    }
}

fn head(id: &str, more: &str) -> String {
    let session: u32 = id.bytes().map(u32::from).sum();
    format!(
        "POST /draft/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-remaining: 8000\r\nx-token-counts: 1000,{EVENTS}\r\n\
         x-prompt-prefix: {session:x}:1000\r\n{more}content-length: 0\r\n\r\n"
    )
}

fn whole(to: SocketAddr, id: &str) -> Answer {
    let headers = [
        ("host", "shop.example"),
        ("x-attempt-id", id),
        ("x-deadline-remaining", "8000"),
        ("x-token-counts", "1000,2"),
        ("x-prompt-prefix", "ab:1000"),
    ];
    call(to, "POST /draft/1", &headers, b"").expect("an answer")
}

/// Reads the first events of a stream, breaks the connection, and returns the version that wrote them.
fn begin(to: SocketAddr, id: &str) -> &'static str {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.write_all(head(id, "").as_bytes()).expect("a request");
    let (mut text, mut buffer) = (String::new(), [0; 512]);
    while text.matches("id: ").count() <= HAD as usize {
        let read = stream.read(&mut buffer).expect("a stream");
        assert_ne!(read, 0, "{text}");
        text += &String::from_utf8_lossy(&buffer[..read]);
    }
    let wrote = |version: &&&str| text.contains(&event_text(1, version));
    VERSIONS.iter().find(wrote).expect("a version")
}

/// Comes back for the rest of a stream.
fn take_up(to: SocketAddr, id: &str, began_as: &str) -> Answer {
    let had = HAD.to_string();
    let counts = format!("1000,{EVENTS}");
    let headers = [
        ("host", "shop.example"),
        ("x-attempt-id", id),
        ("x-deadline-remaining", "8000"),
        ("x-token-counts", counts.as_str()),
        ("x-prompt-prefix", "ab:1000"),
        ("last-event-id", had.as_str()),
        ("resumes", began_as),
    ];
    call(to, "POST /draft/1", &headers, b"").expect("an answer")
}

fn rest_of(version: &str) -> String {
    (HAD + 1..=EVENTS).map(|n| event_text(n, version)).collect()
}

/// Guards against a stream that goes on at another version after its caller came back.
#[test_case(0; "to the daemon that began it")]
#[test_case(1; "to another daemon")]
fn a_stream_goes_on_at_its_version(daemon: usize) {
    let world = world();
    for n in 0..STREAMS {
        let began_at = begin(world.callers(0), &format!("s{n}"));
        let answer = take_up(world.callers(daemon), &format!("t{n}"), &format!("s{n}"));
        assert_eq!((answer.status, answer.whole), (200, true), "{}", answer.text());
        assert_eq!(answer.text(), rest_of(began_at));
    }
}

/// Guards against a version that only the daemon knew which began the stream.
#[test]
fn a_stream_goes_on_at_its_version_after_its_daemon_has_ended() {
    let mut world = world();
    let began: Vec<_> = (0..STREAMS).map(|n| begin(world.callers(0), &format!("s{n}"))).collect();
    world.terminate(0);
    world.wait_ended(0).expect("its end");
    for (n, began_at) in began.into_iter().enumerate() {
        let answer = take_up(world.callers(1), &format!("t{n}"), &format!("s{n}"));
        assert_eq!((answer.status, answer.text()), (200, rest_of(began_at)));
    }
}

/// Guards against daemons that lose the store together and take the only version that they know for the
/// stream's.
#[test]
fn daemons_without_the_store_guess_nothing() {
    let spec = WorldSpec { daemons: 0, plain: 1, prefill: 0, decode: 0, ..WorldSpec::default() };
    let mut world = World::start(&spec).expect("a world");
    add_version(&mut world, "v1");
    let ways = [0, 1].map(|_| Proxy::start(world.store.address()).expect("a way to the store"));
    ways.iter().for_each(|way| world.add_through(way).expect("a daemon"));
    world.add_another().expect("a daemon");
    eventually("they serve", || {
        (0..3).all(|daemon| whole(world.callers(daemon), &format!("w{daemon}")).status == 200)
    });
    ways.iter().for_each(|way| way.set(Weather::Silent));
    world.terminate(2);
    world.wait_ended(2).expect("its end");
    add_version(&mut world, "v2");
    (0..3).for_each(|n| world.drain_model(n));
    world.add_apart().expect("a daemon");
    eventually("it serves", || whole(world.callers(3), "w").status == 200);
    for n in 0..STREAMS {
        assert_eq!(begin(world.callers(3), &format!("s{n}")), "v2");
        let answer = take_up(world.callers(n % 2), &format!("t{n}"), &format!("s{n}"));
        assert_eq!(answer.status, 503, "{}", answer.text());
    }
}

/// Replaces all daemons with one that remembers nothing, before endpoints that have run for long.
fn replace_daemons(world: &mut World) {
    (0..3).for_each(|daemon| world.terminate(daemon));
    (0..3).for_each(|daemon| world.wait_ended(daemon).expect("its end"));
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time");
    let heartbeats = (unix_time.as_secs_f64() / HEARTBEAT.as_secs_f64()) as u64;
    for endpoint in &world.model {
        let mut entry = endpoint.entry(WRITER, "ready");
        entry["born"] = 1.into();
        entry["seq"] = heartbeats.into();
        if entry["version"] != "v1" || world.model.len() == 3 {
            world.store.put(&key(endpoint.instance()), &entry);
        }
    }
    world.add_restarted().expect("a daemon");
}

/// Guards against a version that is forgotten as it went before all daemons ended.
#[test_case(false; "the store has its history")]
#[test_case(true; "the store has dropped its history")]
fn a_version_that_went_before_all_daemons_ended_is_remembered(is_dropped: bool) {
    let mut world = world();
    let began: Vec<_> = (0..STREAMS).map(|n| begin(world.callers(0), &format!("s{n}"))).collect();
    ["p", "a", "b"].iter().for_each(|name| world.unlist(&format!("v1-{name}")));
    if is_dropped {
        world.store.compact();
    }
    replace_daemons(&mut world);
    eventually("it serves", || whole(world.callers(3), "w").status == 200);
    for (n, began_at) in began.iter().enumerate() {
        let answer = take_up(world.callers(3), &format!("t{n}"), &format!("s{n}"));
        assert_eq!(answer.status, 503, "{began_at}: {}", answer.text());
    }
}

/// Guards against refusals where there was one version before all daemons ended.
#[test_case(false; "the store has its history")]
#[test_case(true; "the store has dropped its history")]
fn streams_go_on_after_all_daemons_ended_beside_one_version(is_dropped: bool) {
    let mut world = world_of(&["v1"]);
    for n in 0..STREAMS {
        assert_eq!(begin(world.callers(0), &format!("s{n}")), "v1");
    }
    if is_dropped {
        world.store.compact();
    }
    replace_daemons(&mut world);
    eventually("it serves", || whole(world.callers(3), "w").status == 200);
    for n in 0..STREAMS {
        let answer = take_up(world.callers(3), &format!("t{n}"), &format!("s{n}"));
        assert_eq!((answer.status, answer.text()), (200, rest_of("v1")));
    }
}

/// Guards against another version where a peer makes the calls.
#[test]
fn a_stream_goes_on_at_its_version_by_a_peer() {
    let mut world = world();
    let paths = world.add_with_paths().expect("a daemon with paths");
    paths.proxies().for_each(|path| path.set(Weather::Silent));
    let mut n = 0;
    eventually("peers make the calls", || {
        n += 1;
        whole(world.callers(3), &format!("w{n}")).status == 200
    });
    let mut served = 0;
    for n in 0..STREAMS {
        let began_at = begin(world.callers(0), &format!("s{n}"));
        let answer = take_up(world.callers(3), &format!("t{n}"), &format!("s{n}"));
        if answer.status == 200 && answer.whole {
            assert_eq!(answer.text(), rest_of(began_at));
            served += 1;
        }
    }
    assert!(STREAMS / 2 <= served, "{served}");
}

/// Guards against a guess, and against a wait, where the stream can't go on.
#[test_case("nobody", false; "nobody knows it")]
#[test_case("s", true; "its version is gone")]
fn a_stream_that_cannot_go_on_is_refused(began_as: &str, is_gone: bool) {
    let world = world();
    let began_at = begin(world.callers(0), "s");
    if is_gone {
        ["p", "a", "b"].iter().for_each(|name| world.unlist(&format!("{began_at}-{name}")));
        eventually("it is off the list", || take_up(world.callers(1), "t", "s").status == 503);
    }
    let answer = take_up(world.callers(1), "u", began_as);
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

/// Guards against streams that are lost with all daemons, though endpoints of their versions serve.
#[test]
fn streams_go_on_after_all_daemons_ended_beside_two_versions() {
    let mut world = world();
    let began: Vec<_> = (0..STREAMS).map(|n| begin(world.callers(0), &format!("s{n}"))).collect();
    replace_daemons(&mut world);
    eventually("it serves", || whole(world.callers(3), "w").status == 200);
    let mut went_on = 0;
    for (n, began_at) in began.iter().enumerate() {
        let answer = take_up(world.callers(3), &format!("t{n}"), &format!("s{n}"));
        if answer.status == 200 {
            assert_eq!((answer.whole, answer.text()), (true, rest_of(began_at)));
            went_on += 1;
        }
    }
    assert!(STREAMS / 2 <= went_on, "{went_on} of {STREAMS}");
}

/// Guards against streams that are lost with all daemons, though their ids tell which version began them.
#[test]
fn streams_go_on_at_their_assigned_version_after_all_daemons_ended() {
    let mut world = world();
    let began: Vec<_> = (0..STREAMS).map(|n| begin(world.callers(0), &format!("s{n}"))).collect();
    (0..3).for_each(|daemon| world.terminate(daemon));
    (0..3).for_each(|daemon| world.wait_ended(daemon).expect("its end"));
    world.add_restarted().expect("a daemon");
    eventually("it serves", || whole(world.callers(3), "w").status == 200);
    for (n, began_at) in began.iter().enumerate() {
        let answer = take_up(world.callers(3), &format!("t{n}"), &format!("s{n}"));
        assert_eq!((answer.status, answer.whole), (200, true), "{n}: {}", answer.text());
        assert_eq!(answer.text(), rest_of(began_at));
    }
}
