//! Ways to a refusal that promises that nothing has run: no endpoint runs the call, before or after it.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::{LoadGossip, QuarantinedCall, StoreRevision};
use test_case::test_case;

use crate::rig::{BUSY, Rig, held, model, plain, prompt, table};

/// Time after which nothing of a call is left.
const LONG_MS: u64 = 20_000;

const KEY: KeyHash = KeyHash([1; 16]);

/// A part of prompts that crashes endpoints.
const BAD: u64 = 0xbad;

fn listed(mut rig: Rig) -> Rig {
    rig.list(vec![
        plain("a", 1),
        plain("b", 2),
        model("p1", 3, Stage::Prefill),
        model("d1", 4, Stage::Decode),
    ]);
    rig.effects.clear();
    rig
}

fn sound() -> Rig {
    listed(Rig::new())
}

fn not_ready() -> Rig {
    Rig::new()
}

fn outdated() -> Rig {
    let mut rig = sound();
    let from = SocketAddr::from(([10, 0, 1, 2], 7000));
    let routes_news = Some(StoreRevision { era: 0, number: 500 });
    let (incarnation, sequence) = (1, 1);
    let beat = LoadGossip { incarnation, sequence, routes_news, ..LoadGossip::default() };
    rig.feed(Event::gossip(from, beat));
    rig
}

fn leaving() -> Rig {
    let mut rig = sound();
    rig.feed(Event::Shutdown { grace: Duration::from_secs(8) });
    rig.pass_ms(7900);
    rig
}

fn told(event: impl Fn(EndpointKey) -> Event) -> Rig {
    let mut rig = sound();
    for name in ["a", "b"] {
        let endpoint = rig.state.directory.find(name).expect("listed");
        rig.feed(event(endpoint));
    }
    rig
}

fn paused() -> Rig {
    told(|endpoint| Event::PauseRequested { endpoint, pause: Duration::from_secs(30) })
}

fn limited() -> Rig {
    let mut rig = told(|endpoint| Event::CallLimit { endpoint, rate: Some(0.0) });
    // Others have taken what the limit lets through.
    for _ in 0..20 {
        rig.call("/stock/1", 14_000, None);
    }
    rig
}

fn without_plain() -> Rig {
    let mut rig = sound();
    rig.change(vec![], &["a", "b"]);
    rig.pass_ms(LONG_MS);
    rig
}

fn without_budget() -> Rig {
    let mut rig = sound();
    (rig.state.tuning.retry_slack, rig.state.tuning.retry_ratio) = (0.0, 0.0);
    rig
}

fn crowded() -> Rig {
    let mut rig = sound();
    for _ in 0..2 {
        let id = rig.call("/draft/1", 14_000, Some(prompt(9000)));
        for attempt in rig.starts() {
            rig.came(id, attempt.number, held());
        }
    }
    rig
}

/// A team that may make one call in a long time, and has made it.
fn over_quota() -> Rig {
    let quota = Quota { rate: 0.001, burst: 1.0, unit: QuotaUnit::Requests };
    let teams = Teams::default().with_team(Team::new("team-1").with_quota(quota), [KEY]);
    let mut rig = sound();
    rig.state.tuning.max_confirmation_age = None;
    rig.configure(table(2).with_teams(teams));
    rig.call_with("/stock/1", Credential::Key(KEY));
    assert_eq!(rig.starts().len(), 1);
    rig
}

fn keys_unconfirmed() -> Rig {
    let teams = Teams::default().with_team(Team::new("team-1"), [KEY]);
    let mut rig = sound();
    rig.state.tuning.max_confirmation_age = Some(Duration::from_secs(5));
    rig.configure(table(2).with_teams(teams));
    rig.pass_ms(LONG_MS);
    rig
}

fn quarantined() -> Rig {
    let mut rig = Rig::as_daemon(SocketAddr::from(([10, 0, 0, 1], 7000)), vec![]);
    rig = listed(rig);
    let told = QuarantinedCall { digest: BAD, left: 3000, is_part: true, ago: 0 };
    let (incarnation, sequence, quarantined) = (1, 1, vec![told]);
    let beat = LoadGossip { incarnation, sequence, quarantined, ..LoadGossip::default() };
    rig.feed(Event::gossip(SocketAddr::from(([10, 0, 0, 2], 7000)), beat));
    rig.pass_ms(700);
    rig
}

/// Plays a call to its refusal and beyond. Endpoints hold slots, and answer all else with `answer`.
fn play(rig: &mut Rig, id: RequestId, answer: &Outcome) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    for _ in 0..LONG_MS / 10 {
        for effect in std::mem::take(&mut rig.effects) {
            match effect {
                Effect::Start { request, attempt } if request == id => {
                    assert!(refusals.is_empty(), "{attempt:?} after {refusals:?}");
                    let outcome = match attempt.op {
                        Op::Hold { .. } => held(),
                        _ => answer.clone(),
                    };
                    rig.came(id, attempt.number, outcome);
                }
                Effect::Refuse { request, refusal, .. } if request == id => refusals.push(refusal),
                Effect::Deliver { request, .. } => assert_ne!(request, id, "it was answered"),
                _ => {}
            }
        }
        rig.pass_ms(10);
    }
    refusals
}

/// Guards against calls that are refused and run, by any way that ends in a refusal.
#[test_case(not_ready(), "/stock/1", &BUSY, Refusal::NotReady; "not ready")]
#[test_case(outdated(), "/nowhere/", &BUSY, Refusal::Outdated; "outdated")]
#[test_case(leaving(), "/stock/1", &BUSY, Refusal::Leaving; "leaving")]
#[test_case(paused(), "/stock/1", &BUSY, Refusal::EndpointsPaused; "paused")]
#[test_case(limited(), "/stock/1", &BUSY, Refusal::RateLimited; "limited")]
#[test_case(without_plain(), "/stock/1", &BUSY, Refusal::NoEndpoint; "no endpoint")]
#[test_case(without_budget(), "/stock/1", &BUSY, Refusal::Full; "full")]
#[test_case(without_budget(), "/stock/1", &Outcome::Unreachable, Refusal::NoEndpoint; "no connection")]
#[test_case(crowded(), "/draft/1", &BUSY, Refusal::WaitTimedOut; "waited out")]
fn a_refused_call_never_runs(mut rig: Rig, path: &str, answer: &Outcome, expected: Refusal) {
    let prompt = path.starts_with("/draft").then(|| prompt(9000));
    let id = rig.call(path, 9000, prompt);
    assert_eq!(play(&mut rig, id, answer), [expected]);
    assert!(expected.is_not_run());
}

/// Guards against the same for callers with a key.
#[test_case(over_quota(), Refusal::OverQuota; "over quota")]
#[test_case(keys_unconfirmed(), Refusal::KeysUnconfirmed; "keys unconfirmed")]
fn a_refused_call_with_a_key_never_runs(mut rig: Rig, expected: Refusal) {
    let id = rig.call_with("/stock/1", Credential::Key(KEY));
    assert_eq!(play(&mut rig, id, &BUSY), [expected]);
    assert!(expected.is_not_run());
}

/// Guards against the same for a call with a part that is kept from endpoints.
#[test]
fn a_call_with_a_quarantined_part_never_runs() {
    let mut rig = quarantined();
    let prompt = Prompt { parts: vec![0xf1, BAD, 7], ..prompt(1000) };
    let id = rig.call("/draft/1", 9000, Some(prompt));
    assert_eq!(play(&mut rig, id, &BUSY), [Refusal::Quarantined]);
}

/// Guards against the same where a caller comes back with a part of a stream that nobody knows.
#[test]
fn a_call_for_a_stream_that_nobody_knows_never_runs() {
    let mut rig = listed(Rig::restarted());
    rig.history = None;
    let id = rig.resume("/draft/1", "again", "began");
    assert_eq!(play(&mut rig, id, &BUSY), [Refusal::StreamUnknown]);
}

/// Guards against a refusal of a call that an endpoint may have: what isn't known isn't promised.
#[test_case(&Outcome::Broken(Damage::CutOff); "cut off")]
#[test_case(&Outcome::Broken(Damage::Garbled); "garbled")]
fn a_call_that_may_have_run_is_not_refused(answer: &Outcome) {
    for path in ["/stock/1", "/once/1"] {
        let mut rig = sound();
        let id = rig.call(path, 9000, path.starts_with("/once").then(|| prompt(1000)));
        let refusals = play(&mut rig, id, answer);
        assert!(refusals.iter().all(|refusal| !refusal.is_not_run()), "{refusals:?}");
    }
}
