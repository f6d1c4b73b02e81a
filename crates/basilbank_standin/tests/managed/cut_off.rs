//! Daemons whose paths to endpoints are cut while their peers reach the endpoints.

use std::{thread, time::Duration};

use basilbank_standin::managed::{Paths, Weather, World, WorldSpec, call};
use test_case::test_case;

use crate::support::stream_of;

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
        for (n, path) in self.paths.proxies().iter().enumerate() {
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
