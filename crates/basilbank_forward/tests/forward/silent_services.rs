//! Calls to a service none of whose endpoints answers for a moment, or ever again.

use std::{collections::BTreeMap, time::Duration};

use basilbank_forward::{event::Liveness, prelude::*};
use test_case::test_case;

use crate::rig::{Rig, held, model, plain, prefilled, prompt};

/// Time between two calls.
const PAUSE: Duration = Duration::from_millis(100);

/// Time that an endpoint takes for anything.
const WORK: Duration = Duration::from_millis(5);

/// Timeout of probes and of connections.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Silence for which a call waits at most, and the time until it is found.
const MAX_WAIT: Duration = Duration::from_millis(4200);

/// Time that callers wait.
const PATIENCE_MS: u64 = 10_000;

/// What becomes of the endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Trouble {
    /// They accept connections and answer nothing.
    Silent,
    /// No connection can be made.
    Dark,
}

enum Due {
    Came { request: RequestId, attempt: u32, outcome: Outcome },
    Probed { endpoint: EndpointKey, liveness: Liveness },
    Event(Event),
}

struct Play {
    rig: Rig,
    trouble: Trouble,
    /// When the trouble begins and ends.
    begin: Duration,
    end: Duration,
    due: BTreeMap<(Duration, usize), Due>,
    added: usize,
    arrived: BTreeMap<RequestId, Duration>,
    /// Calls that were answered, and those that were refused with the time until then.
    served: usize,
    refused: Vec<(Refusal, Duration)>,
}

impl Play {
    fn new(trouble: Trouble, lasts: Duration) -> Play {
        let mut rig = Rig::new();
        let models = [("p", 2, Stage::Prefill), ("d", 3, Stage::Decode)];
        let models = models.map(|(name, port, stage)| model(name, port, stage));
        rig.list([plain("a", 1)].into_iter().chain(models).collect());
        rig.pass(PAUSE);
        let begin = rig.now() + Duration::from_secs(1);
        let (due, arrived) = (BTreeMap::new(), BTreeMap::new());
        let (served, refused) = (0, Vec::new());
        let end = begin + lasts;
        Play { rig, trouble, begin, end, due, added: 0, arrived, served, refused }
    }

    /// When an endpoint does what it is asked at `at`.
    fn works_at(&self, at: Duration) -> Duration {
        let is_in_trouble = self.begin <= at && at < self.end;
        if is_in_trouble { self.end + WORK } else { at + WORK }
    }

    fn add(&mut self, at: Duration, due: Due) {
        self.added += 1;
        self.due.insert((at, self.added), due);
    }

    fn handle(&mut self, effect: Effect) {
        let now = self.rig.now();
        let answers_at = self.works_at(now);
        let is_late = now + TIMEOUT < answers_at;
        match effect {
            Effect::Start { request, attempt } => self.start(request, &attempt),
            Effect::Probe(target) => {
                let (at, liveness) = match (is_late, self.trouble) {
                    (false, _) => (answers_at, Liveness::Alive),
                    (true, Trouble::Silent) => (now + TIMEOUT, Liveness::Silent),
                    (true, Trouble::Dark) => (now + TIMEOUT, Liveness::Unreachable),
                };
                self.add(at, Due::Probed { endpoint: target.endpoint, liveness });
            }
            Effect::Refuse { request, refusal, .. } => {
                let waited = now - self.arrived[&request];
                self.refused.push((refusal, waited));
            }
            Effect::Deliver { .. } => self.served += 1,
            _ => {}
        }
    }

    fn start(&mut self, request: RequestId, attempt: &Attempt) {
        let (now, number) = (self.rig.now(), attempt.number);
        let answers_at = self.works_at(now);
        let is_late = now + TIMEOUT < answers_at;
        let came = |outcome| Due::Came { request, attempt: number, outcome };
        if is_late && self.trouble == Trouble::Dark {
            return self.add(now + TIMEOUT, came(Outcome::Unreachable));
        }
        let outcome = match attempt.op {
            Op::Hold { .. } if is_late => {
                return self.add(now + attempt.answer_timeout, came(Outcome::TimedOut));
            }
            Op::Hold { .. } => held(),
            Op::Prefill => prefilled(),
            Op::Plain => Outcome::Answered { status: 200 },
            Op::Stream { .. } | Op::Decode { .. } => Outcome::Streaming,
        };
        let noticed_at = now + attempt.answer_timeout + TIMEOUT;
        if noticed_at < answers_at {
            let silent_for = noticed_at - now;
            let silent = Event::AttemptSilent { request, attempt: number, silent_for };
            self.add(noticed_at, Due::Event(silent));
            let resumed = Event::AttemptResumed { request, attempt: number };
            self.add(answers_at, Due::Event(resumed));
        }
        let streams = outcome == Outcome::Streaming;
        self.add(answers_at, came(outcome));
        if streams {
            self.add(answers_at + WORK, came(Outcome::Finished));
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.rig.now() + time;
        while self.rig.now() < end {
            self.rig.pass_ms(5);
            let now = self.rig.now();
            while let Some(next) = self.due.first_entry().filter(|next| next.key().0 <= now) {
                match next.remove() {
                    Due::Came { request, attempt, outcome } => {
                        self.rig.came(request, attempt, outcome);
                    }
                    Due::Probed { endpoint, liveness } => {
                        self.rig.feed(Event::Probed { endpoint, liveness });
                    }
                    Due::Event(event) => self.rig.feed(event),
                }
            }
            for effect in std::mem::take(&mut self.rig.effects) {
                self.handle(effect);
            }
        }
    }

    /// Calls arrive from half a second before the trouble until half a second after `last`.
    fn run(&mut self, path: &str, last: Duration) -> usize {
        self.pass(Duration::from_millis(500));
        let calls = (last + Duration::from_secs(1)).div_duration_f64(PAUSE) as usize;
        for _ in 0..calls {
            let prompt = path.starts_with("/draft").then(|| prompt(100));
            let id = self.rig.call(path, PATIENCE_MS, prompt);
            self.arrived.insert(id, self.rig.now());
            self.pass(PAUSE);
        }
        self.pass(Duration::from_millis(PATIENCE_MS));
        calls
    }
}

/// Guards against calls that are refused while the only endpoint of their service is silent for a
/// moment.
#[test_case("/sheet/1", 500)]
#[test_case("/sheet/1", 1000)]
#[test_case("/sheet/1", 1500)]
#[test_case("/sheet/1", 2000)]
#[test_case("/stock/1", 500)]
#[test_case("/stock/1", 1000)]
#[test_case("/stock/1", 1500)]
#[test_case("/stock/1", 2000)]
#[test_case("/draft/1", 500)]
#[test_case("/draft/1", 1000)]
#[test_case("/draft/1", 1500)]
#[test_case("/draft/1", 2000)]
fn calls_wait_for_an_endpoint_that_is_only_silent(path: &str, silent_ms: u64) {
    let silence = Duration::from_millis(silent_ms);
    let mut play = Play::new(Trouble::Silent, silence);
    let calls = play.run(path, silence);
    assert_eq!((play.served, play.refused.as_slice()), (calls, &[][..]));
}

/// Guards against calls that are held until their deadline by an endpoint that never answers again.
#[test_case("/sheet/1")]
#[test_case("/stock/1")]
#[test_case("/draft/1")]
fn calls_do_not_wait_for_ever_for_a_silent_endpoint(path: &str) {
    let mut play = Play::new(Trouble::Silent, Duration::from_secs(3600));
    play.run(path, Duration::from_secs(6));
    let is_bounded = |(_, waited): &&(Refusal, Duration)| *waited <= MAX_WAIT;
    let held: Vec<_> = play.refused.iter().filter(|refused| !is_bounded(refused)).collect();
    assert!(held.len() <= 6, "{held:?}");
    let (_, late) = play.refused.split_at(play.refused.len() / 2);
    assert!(late.iter().any(|(_, waited)| *waited < TIMEOUT), "{late:?}");
}

/// Guards against calls that wait for an endpoint whose machine doesn't answer either.
#[test_case("/sheet/1")]
#[test_case("/stock/1")]
#[test_case("/draft/1")]
fn calls_to_a_dark_endpoint_are_refused_at_once(path: &str) {
    let mut play = Play::new(Trouble::Dark, Duration::from_secs(3600));
    play.run(path, Duration::from_secs(3));
    let longest = play.refused.iter().map(|(_, waited)| *waited).max();
    assert!(longest.is_some_and(|longest| longest <= 4 * TIMEOUT), "{longest:?}");
}
