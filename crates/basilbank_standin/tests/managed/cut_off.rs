//! Daemons whose paths to endpoints are cut while their peers reach the endpoints.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use basilbank_standin::managed::{Paths, Request, Weather, World, WorldSpec, call};
use test_case::test_case;

use crate::support::{eventually, stream_of};

/// Time that a daemon has to get over a cut: the users' bound.
const CONTACT: Duration = Duration::from_secs(3);

/// Calls of each kind after that time.
const CALLS: u32 = 12;

/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(20);

/// What happens to paths.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Cut {
    /// Bytes are lost.
    Silent,
    /// What comes back is lost.
    OneWay,
    /// Open connections live on, new ones are refused.
    Refused,
    /// Open connections are reset, new ones are refused.
    Reset,
}

/// Which paths are cut.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Scope {
    All,
    Plain,
    Model,
}

struct CutWorld {
    world: World,
    paths: Paths,
}

impl CutWorld {
    /// Three daemons; the last one's paths can be cut.
    fn start() -> CutWorld {
        let spec = WorldSpec { daemons: 2, ..WorldSpec::default() };
        let mut world = World::start(&spec).expect("a world");
        let paths = world.add_with_paths().expect("a daemon with paths");
        CutWorld { world, paths }
    }

    fn cut(&self, how: Cut, scope: Scope) {
        let plain = self.world.plain.len();
        for (n, path) in self.paths.proxies().enumerate() {
            let concerned = match scope {
                Scope::All => true,
                Scope::Plain => n < plain,
                Scope::Model => plain <= n,
            };
            if concerned {
                path.set(match how {
                    Cut::Silent => Weather::Silent,
                    Cut::OneWay => Weather::CutBack,
                    Cut::Refused | Cut::Reset => Weather::Refuse,
                });
                if how == Cut::Reset {
                    path.reset();
                }
            }
        }
    }

    /// Cuts all paths, and waits until the daemon has got over that.
    fn start_cut() -> CutWorld {
        let cut = CutWorld::start();
        cut.cut(Cut::Reset, Scope::All);
        cut.served(2, "meanwhile");
        cut
    }

    /// The requests of an id that endpoints ran.
    fn ran(&self, id: &str) -> Vec<Request> {
        let endpoints = self.world.plain.iter().chain(&self.world.model);
        let ran = endpoints.flat_map(|endpoint| endpoint.served().ran);
        ran.filter(|request| request.header("x-attempt-id") == Some(id)).collect()
    }

    /// Status of a call to a daemon; none without an answer.
    fn status(&self, daemon: usize, line: &str, id: &str, tokens: Option<&str>) -> Option<u16> {
        let prefix = format!("{:x}:1000", id.bytes().map(u32::from).sum::<u32>());
        let mut headers =
            vec![("host", "shop.example"), ("x-attempt-id", id), ("x-deadline-remaining", "2000")];
        if let Some(tokens) = tokens {
            headers.extend([("x-token-counts", tokens), ("x-prompt-prefix", prefix.as_str())]);
        }
        let answer = call(self.world.callers(daemon), line, &headers, b"body").ok()?;
        let is_whole = tokens.is_none() || answer.status != 200 || answer.text() == stream_of(3);
        (answer.whole && is_whole).then_some(answer.status)
    }

    /// Calls of each kind, one after the other: how many of each were served.
    fn served(&self, daemon: usize, name: &str) -> [u32; 3] {
        let kinds = [("POST /stock/1", None), ("POST /sheet/1", None)];
        let kinds = kinds.into_iter().chain([("POST /draft/1", Some("1000,3"))]);
        let mut served = [0; 3];
        for n in 0..CALLS {
            for (kind, (line, tokens)) in kinds.clone().enumerate() {
                let status = self.status(daemon, line, &format!("{name}{kind}-{n}"), tokens);
                served[kind] += u32::from(status == Some(200));
            }
            thread::sleep(PAUSE);
        }
        served
    }
}

/// Guards against calls that fail at a daemon which is cut off from endpoints that its peers reach.
#[test_case(Cut::Silent, Scope::All; "silent")]
#[test_case(Cut::OneWay, Scope::All; "one way")]
#[test_case(Cut::Refused, Scope::All; "refused")]
#[test_case(Cut::Reset, Scope::All; "reset")]
#[test_case(Cut::Silent, Scope::Plain; "silent from the plain service")]
#[test_case(Cut::Silent, Scope::Model; "silent from the model service")]
#[test_case(Cut::Reset, Scope::Plain; "reset from the plain service")]
fn callers_at_a_daemon_that_is_cut_off_are_served(how: Cut, scope: Scope) {
    let cut = CutWorld::start();
    assert_eq!(cut.served(2, "before"), [CALLS; 3]);
    cut.cut(how, scope);
    // Callers go on meanwhile, so that connections are in use when the cut begins.
    thread::scope(|s| {
        s.spawn(|| cut.served(2, "meanwhile"));
        thread::sleep(CONTACT);
    });
    assert_eq!(cut.served(2, "cut"), [CALLS; 3]);
    cut.paths.set(Weather::Clear);
    thread::sleep(CONTACT);
    assert_eq!(cut.served(2, "after"), [CALLS; 3]);
}

/// Guards against work that goes on at an endpoint for a caller who has left.
#[test]
fn a_caller_who_leaves_ends_the_work_that_a_peer_has_begun() {
    let cut = CutWorld::start_cut();
    let head = "POST /draft/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: leaves\r\n\
                x-deadline-remaining: 8000\r\nx-token-counts: 1000,2000\r\n\
                x-prompt-prefix: 7:1000\r\ncontent-length: 0\r\n\r\n";
    let mut stream = TcpStream::connect(cut.world.callers(2)).expect("a connection");
    stream.write_all(head.as_bytes()).expect("sent");
    assert_ne!(stream.read(&mut [0; 512]).expect("the stream begins"), 0);
    let active = || cut.world.model.iter().map(|e| e.served().active).sum::<u32>();
    assert_eq!(active(), 1);
    drop(stream);
    eventually("the endpoint has stopped", || active() == 0);
}

/// Guards against endpoints that get more time than the caller has left, or another request than the caller
/// sent.
#[test]
fn a_call_reaches_its_endpoint_unchanged_and_with_the_time_that_is_left() {
    let cut = CutWorld::start_cut();
    assert_eq!(cut.status(2, "POST /stock/1?a=b", "whole", None), Some(200));
    let ran = cut.ran("whole");
    let [request] = ran.as_slice() else { panic!("{ran:?}") };
    assert_eq!((request.method.as_str(), request.target.as_str()), ("POST", "/stock/1?a=b"));
    assert_eq!(request.body, b"body");
    let left: u32 = request.header("x-deadline-remaining").expect("a time").parse().expect("ms");
    assert!((1000..2000).contains(&left), "{left}");
}

/// Guards against a call that is tried until its time has passed when no peer reaches its endpoints either.
#[test]
fn a_call_that_nobody_reaches_is_refused_at_once() {
    let mut world =
        World::start(&WorldSpec { daemons: 0, ..WorldSpec::default() }).expect("a world");
    let mut paths = [(); 3].map(|()| world.add_with_paths().expect("a daemon with paths"));
    let endpoints = world.plain.iter().chain(&world.model);
    let listed: Vec<_> = endpoints.map(|endpoint| endpoint.listed_at()).collect();
    // A connection that is accepted and then reset may have carried a call.
    for paths in &mut paths {
        listed.iter().for_each(|address| paths.close(*address));
        paths.reset();
    }
    let headers =
        [("host", "shop.example"), ("x-attempt-id", "a"), ("x-deadline-remaining", "4000")];
    let refusal = |daemon: usize| {
        let asked = std::time::Instant::now();
        let answer = call(world.callers(daemon), "POST /stock/1", &headers, b"").ok()?;
        let comes_back = answer.header("retry-after").is_some();
        let is_soon = asked.elapsed() < Duration::from_millis(300);
        (answer.status == 503 && comes_back && is_soon).then_some(())
    };
    eventually("all refuse at once", || (0..3).all(|daemon| refusal(daemon).is_some()));
    assert!((0..12).all(|n| refusal(n % 3).is_some()), "and go on so");
    for paths in &mut paths {
        listed.iter().for_each(|address| paths.open(*address).expect("its port"));
    }
    eventually("all serve again", || {
        (0..3).all(|daemon| {
            let answer = call(world.callers(daemon), "POST /stock/1", &headers, b"");
            answer.is_ok_and(|answer| answer.status == 200)
        })
    });
}
