//! Endpoints go dark, and come back.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_forward::{effect::Target, event::Liveness, prelude::*};

use crate::rig::{Rig, held, model, plain, prompt};

/// How long it takes until a call to a dark endpoint is given up.
const GIVEN_UP: Duration = Duration::from_millis(250);

/// Step of the played time.
const STEP: Duration = Duration::from_millis(10);

fn probes(rig: &mut Rig) -> Vec<Target> {
    let effects = std::mem::take(&mut rig.effects);
    let probe = |effect| match effect {
        Effect::Probe(target) => Some(target),
        _ => None,
    };
    effects.into_iter().filter_map(probe).collect()
}

/// Sends a draft until a hold goes to `instance`, which does not answer.
fn meet_dark(rig: &mut Rig, instance: &str) -> EndpointKey {
    loop {
        let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
        let hold = rig.start();
        if hold.target.instance == instance {
            rig.came(id, hold.number, Outcome::Unreachable);
            rig.feed(Event::CallerLeft(id));
            rig.starts();
            return hold.target.endpoint;
        }
        rig.feed(Event::CallerLeft(id));
    }
}

fn hold_targets(rig: &mut Rig) -> Vec<String> {
    let mut seen = Vec::new();
    for _ in 0..40 {
        let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
        seen.extend(rig.starts().into_iter().map(|attempt| attempt.target.instance));
        rig.feed(Event::CallerLeft(id));
    }
    seen.sort();
    seen.dedup();
    seen
}

fn decode_rig() -> Rig {
    let mut rig = Rig::new();
    let decode = ["d1", "d2", "d3", "d4"];
    let mut list = vec![model("p1", 1, Stage::Prefill)];
    list.extend((10..).zip(decode).map(|(port, name)| model(name, port, Stage::Decode)));
    rig.list(list);
    rig
}

/// Symptom: half of all drafts began a quarter of a second late, some twice or three times that.
/// Sequence: three decode endpoints of eighteen went dark under load and stayed on the list for
/// their heartbeats.
/// Cause: a dark endpoint has the least to do, so it is everybody's first choice; each daemon found
/// out by its own drafts, and again by the next one each time that its patience was over.
#[test]
fn drafts_seldom_meet_a_dark_endpoint() {
    let met = Play::new(6, &["d1", "d2"]).run(Duration::from_secs(5));
    assert!(300 <= met.drafts, "{met:?}");
    assert!(met.dark <= 6, "{met:?}");
}

#[test]
fn a_dark_endpoint_gets_no_work_until_it_answers_a_question() {
    let mut rig = decode_rig();
    let key = meet_dark(&mut rig, "d1");
    assert_eq!(hold_targets(&mut rig), ["d2", "d3", "d4"]);
    for _ in 0..10 {
        rig.effects.clear();
        rig.pass_ms(1000);
        for target in probes(&mut rig) {
            assert_eq!(target.instance, "d1");
            rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Unreachable });
        }
        assert_eq!(hold_targets(&mut rig), ["d2", "d3", "d4"]);
    }
    rig.pass_ms(1000);
    assert_eq!(probes(&mut rig).len(), 1);
    rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Alive });
    assert_eq!(hold_targets(&mut rig), ["d1", "d2", "d3", "d4"]);
    rig.effects.clear();
    rig.pass_ms(5000);
    assert!(probes(&mut rig).is_empty(), "an endpoint that answers is asked no more");
}

/// Symptom: one daemon that was cut off made all others avoid endpoints that were sound.
/// Sequence: it reached no endpoint, but its peers heard it.
/// Cause: its word counted, though it could not be right about so many.
#[test]
fn a_daemon_that_reaches_nothing_tells_nobody() {
    let mut rig = Rig::as_daemon(SocketAddr::from(([10, 0, 1, 1], 7000)), vec![peer()]);
    let list: Vec<_> = (1..=6).map(|n| plain(&format!("e{n}"), n)).collect();
    rig.list(list);
    for _ in 0..20 {
        let id = rig.call("/stock/1", 1000, None);
        for attempt in rig.starts() {
            rig.came(id, attempt.number, Outcome::Unreachable);
        }
        rig.feed(Event::CallerLeft(id));
    }
    assert_eq!(rig.state.suspects.len(), 6);
    rig.beats();
    rig.pass_ms(1500);
    let beats = rig.beats();
    assert!(!beats.is_empty());
    let told = beats.iter().map(|(_, beat)| beat.shunned.len()).min();
    assert!(told <= Some(2), "{beats:?}");
}

#[test]
fn an_endpoint_that_leaves_the_list_is_asked_no_more() {
    let mut rig = decode_rig();
    meet_dark(&mut rig, "d1");
    rig.change(vec![], &["d1"]);
    rig.effects.clear();
    rig.pass_ms(3000);
    assert!(probes(&mut rig).is_empty());
    assert!(rig.state.suspects.is_empty());
}

#[test]
fn a_service_is_unreached_once_its_sound_endpoints_leave() {
    let mut rig = decode_rig();
    meet_dark(&mut rig, "d1");
    let dark = meet_dark(&mut rig, "d2");
    leave(&mut rig, "d3");
    assert!(rig.state.suspects.unreached.is_empty());
    leave(&mut rig, "d4");
    assert_eq!(rig.state.suspects.unreached.len(), 1);
    rig.feed(Event::Probed { endpoint: dark, liveness: Liveness::Alive });
    assert!(rig.state.suspects.unreached.is_empty());
}

#[test]
fn a_service_is_unreached_for_as_long_as_its_list_says_so() {
    let mut rig = decode_rig();
    for instance in ["d1", "d2", "d3"] {
        assert!(rig.state.suspects.unreached.is_empty());
        meet_dark(&mut rig, instance);
    }
    assert_eq!(rig.state.suspects.unreached.len(), 1);
    rig.change(vec![model("d5", 20, Stage::Decode)], &[]);
    assert!(rig.state.suspects.unreached.is_empty());
}

fn leave(rig: &mut Rig, instance: &str) {
    let endpoint = rig.state.directory.find(instance).expect("listed");
    rig.feed(Event::EndpointLeaving(endpoint));
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 2], 7000))
}

/// What drafts met.
#[derive(Debug, Default)]
struct Met {
    drafts: u32,
    dark: u32,
}

/// Daemons that forward drafts while some endpoints are dark.
struct Play {
    rigs: Vec<(SocketAddr, Rig)>,
    dark: Vec<String>,
    /// Answers under way: when, to which daemon, for which attempt, what.
    pending: Vec<(Duration, usize, RequestId, u32, Outcome)>,
    questions: HashMap<(usize, EndpointKey), Duration>,
    met: Met,
}

impl Play {
    fn new(daemons: u8, dark: &[&str]) -> Play {
        let address = |n: u8| SocketAddr::from(([10, 0, 1, n], 7000));
        let rigs = (1..=daemons).map(|n| {
            let seeds = if n == 1 { vec![] } else { vec![address(1)] };
            let mut rig = Rig::as_daemon(address(n), seeds);
            let decode = (1..=8).map(|n| model(&format!("d{n}"), 10 + n, Stage::Decode));
            rig.list(decode.chain([model("p1", 1, Stage::Prefill)]).collect());
            (address(n), rig)
        });
        let dark = dark.iter().map(|name| (*name).to_owned()).collect();
        let (pending, questions) = (Vec::new(), HashMap::new());
        Play { rigs: rigs.collect(), dark, pending, questions, met: Met::default() }
    }

    fn run(mut self, time: Duration) -> Met {
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..steps {
            for n in 0..self.rigs.len() {
                let comes = step as usize % 9 == n;
                self.step(n, comes);
            }
        }
        self.met
    }

    fn step(&mut self, n: usize, comes: bool) {
        let rig = &mut self.rigs[n].1;
        rig.pass(STEP);
        let now = rig.now();
        let (due, rest): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|(at, to, ..)| *to == n && *at <= now);
        self.pending = rest;
        for (_, _, id, attempt, outcome) in due {
            let over = outcome != Outcome::Unreachable;
            rig.came(id, attempt, outcome);
            if over {
                rig.feed(Event::CallerLeft(id));
            }
        }
        let answered: Vec<_> =
            self.questions.extract_if(|(to, _), at| *to == n && *at <= now).collect();
        for ((_, endpoint), _) in answered {
            rig.feed(Event::Probed { endpoint, liveness: Liveness::Unreachable });
        }
        if comes {
            rig.call("/draft/1", 14_000, Some(prompt(500)));
            self.met.drafts += 1;
        }
        self.carry_out(n);
    }

    fn carry_out(&mut self, n: usize) {
        let (from, rig) = &mut self.rigs[n];
        let (from, now) = (*from, rig.now());
        let mut beats = Vec::new();
        for effect in std::mem::take(&mut rig.effects) {
            match effect {
                Effect::Start { request, attempt } if attempt.op.as_str() == "hold" => {
                    let dark = self.dark.contains(&attempt.target.instance);
                    self.met.dark += u32::from(dark);
                    let wait = if dark { GIVEN_UP } else { Duration::ZERO };
                    let outcome = if dark { Outcome::Unreachable } else { held() };
                    self.pending.push((now + wait, n, request, attempt.number, outcome));
                }
                Effect::Probe(target) => {
                    self.questions.insert((n, target.endpoint), now + GIVEN_UP);
                }
                Effect::SendGossip { to, gossip } => beats.push((to, *gossip)),
                _ => {}
            }
        }
        for (to, beat) in beats {
            for (_, rig) in self.rigs.iter_mut().filter(|(at, _)| to.contains(at)) {
                rig.feed(Event::gossip(from, beat.clone()));
            }
        }
    }
}
