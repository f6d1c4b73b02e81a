//! Random schedules of a daemon that shuts down beside changes of the configuration.

use std::time::Duration;

use basilbank_forward::{prelude::*, state::Request};
use proptest::prelude::*;

use crate::rig::{BUSY, DESK, Rig, WRITER, held, model, plain, prefilled, prompt, route, table};

/// From the signal to the end of the process.
const GRACE: Duration = Duration::from_millis(7400);

/// From the signal until callers that come back reach other daemons.
const BALANCER_REACTION: Duration = Duration::from_millis(2500);

const PATHS: [&str; 4] = ["/stock/1", "/sheet/1", "/draft/1", "/once/1"];

/// What may happen to a daemon that shuts down.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Pass {
        ms: u64,
    },
    Call {
        path: usize,
        timeout_ms: u64,
        tokens: u32,
    },
    Resume {
        known: bool,
    },
    /// All routes get another timeout.
    Change {
        timeout_ms: u64,
    },
    /// The oldest attempt in progress is answered, well or not.
    Answer {
        well: bool,
    },
    /// The oldest attempt in progress is silent, or goes on.
    Silent {
        ms: u64,
    },
    Drain {
        decode: bool,
    },
    Pause {
        ms: u64,
    },
    Freeze {
        ms: u64,
    },
    CallerLeaves,
}

fn happening() -> impl Strategy<Value = Happening> {
    let call = (0..PATHS.len(), 50u64..20_000, 10u32..9000);
    prop_oneof![
        20 => (1u64..400).prop_map(|ms| Happening::Pass { ms }),
        20 => call.prop_map(|(path, timeout_ms, tokens)| Happening::Call { path, timeout_ms, tokens }),
        4 => any::<bool>().prop_map(|known| Happening::Resume { known }),
        4 => (100u64..20_000).prop_map(|timeout_ms| Happening::Change { timeout_ms }),
        30 => any::<bool>().prop_map(|well| Happening::Answer { well }),
        6 => (0u64..2000).prop_map(|ms| Happening::Silent { ms }),
        2 => any::<bool>().prop_map(|decode| Happening::Drain { decode }),
        2 => (100u64..5000).prop_map(|ms| Happening::Pause { ms }),
        2 => (100u64..5000).prop_map(|ms| Happening::Freeze { ms }),
        2 => Just(Happening::CallerLeaves),
    ]
}

/// An attempt in progress.
struct Running {
    request: RequestId,
    attempt: Attempt,
    streams: bool,
}

/// The usual routes, all with another timeout.
fn table_with_timeout(version: u64, timeout: Duration) -> RouteTable {
    let routes = [
        route("/stock/", RouteKind::NonIdempotent, DESK, 1),
        route("/sheet/", RouteKind::Idempotent, DESK, 2),
        route("/draft/", RouteKind::Streaming, WRITER, 2),
        route("/once/", RouteKind::Streaming, WRITER, 1),
    ];
    table(version).with_routes(routes.map(|route| Route { timeout, ..route }).into())
}

struct Schedule {
    rig: Rig,
    version: u64,
    /// Attempts in progress, the oldest first.
    attempts: Vec<Running>,
    /// When the signal came.
    signalled: Option<Duration>,
}

impl Schedule {
    fn new() -> Schedule {
        let mut rig = Rig::new();
        let decode = (0..3).map(|n| model(&format!("d{n}"), 20 + n, Stage::Decode));
        let others = [plain("a", 1), plain("b", 2), model("p", 10, Stage::Prefill)];
        rig.list(decode.chain(others).collect());
        Schedule { rig, version: 1, attempts: Vec::new(), signalled: None }
    }

    fn signal(&mut self) {
        self.signalled = Some(self.rig.now());
        self.rig.feed(Event::Shutdown { grace: GRACE });
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Pass { ms } => self.rig.pass_ms(ms),
            Happening::Call { path, timeout_ms, tokens } => {
                let prompt = (2 <= path).then(|| prompt(tokens));
                self.rig.call(PATHS[path], timeout_ms, prompt);
            }
            Happening::Resume { known } => {
                let began_as = if known { "trace-0" } else { "trace-x" };
                self.rig.resume("/draft/1", "trace-again", began_as);
            }
            Happening::Change { timeout_ms } => {
                self.version += 1;
                let timeout = Duration::from_millis(timeout_ms);
                self.rig.configure(table_with_timeout(self.version, timeout));
            }
            Happening::Answer { well } => self.answer(well),
            Happening::Silent { ms } => {
                if let Some(running) = self.attempts.first() {
                    let (request, attempt) = (running.request, running.attempt.number);
                    self.rig.feed(match ms {
                        0..900 => Event::AttemptResumed { request, attempt },
                        _ => {
                            let silent_for = Duration::from_millis(ms);
                            Event::AttemptSilent { request, attempt, silent_for }
                        }
                    });
                }
            }
            Happening::Drain { decode } => {
                let endpoint = if decode { model("d0", 20, Stage::Decode) } else { plain("a", 1) };
                self.rig.list(vec![EndpointInfo { draining: true, ..endpoint }]);
            }
            Happening::Pause { ms } => {
                if let Some(endpoint) = self.rig.state.directory.find("d1") {
                    let pause = Duration::from_millis(ms);
                    self.rig.feed(Event::PauseRequested { endpoint, pause });
                }
            }
            Happening::Freeze { ms } => self.rig.freeze(Duration::from_millis(ms)),
            Happening::CallerLeaves => {
                if let Some(request) = self.attempts.first().map(|running| running.request) {
                    self.rig.feed(Event::CallerLeft(request));
                }
            }
        }
        self.follow();
    }

    fn answer(&mut self, well: bool) {
        if self.attempts.is_empty() {
            return;
        }
        let Running { request, attempt, streams } = self.attempts.remove(0);
        let outcome = match (&attempt.op, well) {
            _ if streams && well => Outcome::Finished,
            _ if streams => Outcome::Broken(Damage::CutOff),
            (Op::Hold { .. }, true) => held(),
            (Op::Prefill, true) => prefilled(),
            (Op::Plain, true) => Outcome::Answered { status: 200 },
            (_, true) => Outcome::Streaming,
            (_, false) => BUSY,
        };
        let begins = outcome == Outcome::Streaming;
        self.rig.came(request, attempt.number, outcome);
        if begins {
            self.rig.feed(Event::FirstEvent { request, attempt: attempt.number });
            self.attempts.push(Running { request, attempt, streams: true });
        }
    }

    /// Takes over what the daemon asked for, and forgets the attempts of requests that have ended.
    fn follow(&mut self) {
        for effect in std::mem::take(&mut self.rig.effects) {
            match effect {
                Effect::Start { request, attempt } => {
                    self.attempts.push(Running { request, attempt, streams: false });
                }
                Effect::Stop { request, attempt } => self.attempts.retain(|running| {
                    (running.request, running.attempt.number) != (request, attempt)
                }),
                _ => {}
            }
        }
        let requests = &self.rig.state.requests;
        self.attempts.retain(|running| requests.contains_key(&running.request));
    }

    /// The requests in progress that came when callers could reach other daemons.
    fn late(&self) -> Vec<&Request> {
        let Some(signalled) = self.signalled else { return Vec::new() };
        let requests = self.rig.state.requests.values();
        requests.filter(|request| signalled + BALANCER_REACTION <= request.arrived).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a stream that comes seconds after the signal and is cut by the daemon's own end.
    #[test]
    fn no_late_call_is_in_progress_when_the_daemon_ends(
        before in prop::collection::vec(happening(), 0..60),
        after in prop::collection::vec(happening(), 100..300),
    ) {
        let mut schedule = Schedule::new();
        for happening in before {
            schedule.happen(happening);
        }
        schedule.signal();
        let end = schedule.rig.now() + GRACE;
        for happening in after {
            if let Happening::Pass { ms } = happening
                && end < schedule.rig.now() + Duration::from_millis(ms)
            {
                break;
            }
            schedule.happen(happening);
            for request in schedule.late() {
                prop_assert!(request.deadline <= end, "{:?} after {end:?}", request.deadline);
            }
        }
        let left = end.saturating_sub(schedule.rig.now());
        schedule.rig.pass(left);
        prop_assert!(schedule.late().is_empty(), "{:?}", schedule.late());
    }
}
