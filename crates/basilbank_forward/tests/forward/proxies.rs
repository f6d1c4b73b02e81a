//! Calls that peers make for a daemon whose own path to endpoints is cut.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::{
    event::{Liveness, ProxiedEnd},
    prelude::*,
    state::Reach,
};
use basilbank_wire::LoadGossip;
use test_case::test_case;

use crate::rig::{BUSY, DESK, Rig, held, model, plain, prefilled, prompt};

/// Numbers of the peers' addresses.
const PEERS: [u8; 3] = [2, 3, 4];

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n], 7000))
}

/// A daemon that has heard three peers and knows endpoints of both services.
fn rig() -> Rig {
    let mut rig = Rig::as_daemon(address(1), vec![address(2)]);
    let models = [model("p1", 11, Stage::Prefill), model("d1", 12, Stage::Decode)];
    let list = [plain("a", 1), plain("b", 2)].into_iter().chain(models);
    rig.list(list.collect());
    hear(&mut rig, 1, &LoadGossip::default());
    rig.effects.clear();
    rig
}

fn hear(rig: &mut Rig, sequence: u64, gossip: &LoadGossip) {
    for n in PEERS {
        let gossip = LoadGossip { incarnation: 1, sequence, ..gossip.clone() };
        rig.feed(Event::gossip(address(n), gossip));
    }
}

/// All endpoints don't answer the daemon, as calls have shown, but answer peers.
fn cut_off() -> Rig {
    let mut rig = rig();
    let keys: Vec<_> = rig.state.directory.listed().map(|(key, _)| key).collect();
    for key in keys {
        rig.feed(Event::ProxiedCallStarted);
        rig.feed(Event::ProxiedCallEnded {
            endpoint: key,
            traits: None,
            wrote_on: false,
            duration: Duration::ZERO,
            end: ProxiedEnd::Unreachable,
        });
        rig.feed(Event::ProbedByPeer { endpoint: key, peer: address(2), failure: None });
    }
    rig.effects.clear();
    rig
}

fn refuse_all(rig: &mut Rig, id: RequestId, failure: NotProxied) -> usize {
    let mut asked = 0;
    while let Some(attempt) = rig.starts().pop() {
        assert!(attempt.target.via.is_some());
        asked += 1;
        assert!(asked < 20, "asked over and over");
        rig.came(id, attempt.number, Outcome::NotProxied(failure));
    }
    asked
}

/// Guards against calls that fail at a daemon that is cut off, whatever their kind.
#[test_case("/stock/1"; "may run once")]
#[test_case("/sheet/1"; "may run again")]
fn a_plain_call_goes_by_a_peer(path: &str) {
    let mut rig = cut_off();
    let id = rig.call(path, 2000, None);
    let attempt = rig.start();
    assert!(PEERS.map(address).map(Some).contains(&attempt.target.via));
    rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
}

/// Guards against completions that fail at a daemon that is cut off: each of their steps goes by a peer.
#[test]
fn each_step_of_a_completion_goes_by_a_peer() {
    let mut rig = cut_off();
    let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
    for outcome in [held(), prefilled(), Outcome::Streaming] {
        let attempt = rig.start();
        assert!(attempt.target.via.is_some(), "{attempt:?}");
        rig.came(id, attempt.number, outcome);
    }
    assert!(rig.delivered());
}

/// Guards against a slot that is kept after its caller has left, since the daemon can't give it back.
#[test]
fn a_slot_is_given_back_by_a_peer() {
    let mut rig = cut_off();
    let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
    let attempt = rig.start();
    rig.came(id, attempt.number, held());
    rig.effects.clear();
    rig.feed(Event::CallerLeft(id));
    let by_peer =
        |e: &Effect| matches!(e, Effect::ReleaseHold { target, .. } if target.via.is_some());
    assert!(rig.effects.iter().any(by_peer), "{:?}", rig.effects);
}

/// Guards against a second run of a call that may run once, when the peer that made it dies.
#[test_case(Outcome::Broken(Damage::Closed), Refusal::Broken; "the peer died")]
#[test_case(Outcome::TimedOut, Refusal::TimedOut; "the peer fell silent")]
fn a_call_that_may_run_once_is_not_repeated_when_its_peer_is_lost(
    outcome: Outcome,
    refusal: Refusal,
) {
    let mut rig = cut_off();
    let id = rig.call("/stock/1", 2000, None);
    let attempt = rig.start();
    rig.came(id, attempt.number, outcome);
    assert!(rig.starts().is_empty());
    assert_eq!(rig.refusals(), [refusal]);
}

/// Guards against calls that are refused though peers reach the endpoints, which break their answers off.
#[test_case(Damage::CutOff)]
#[test_case(Damage::Garbled)]
#[test_case(Damage::Foreign)]
fn endpoints_that_break_answers_off_are_called_by_peers_all_the_same(damage: Damage) {
    let mut rig = cut_off();
    let keys: Vec<_> = rig.state.directory.in_service(DESK).map(|(key, _)| key).collect();
    for key in keys {
        rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Unreachable });
    }
    for n in 0..20 {
        let id = rig.call("/stock/1", 2000, None);
        let attempt = rig.starts().pop().unwrap_or_else(|| panic!("call {n} is refused"));
        assert!(attempt.target.via.is_some());
        rig.came(id, attempt.number, Outcome::Broken(damage));
        assert_eq!(rig.refusals(), [Refusal::Broken]);
        rig.effects.clear();
    }
}

/// Guards against calls that aren't repeated although the peer has sent nothing to an endpoint.
#[test_case(NotProxied::NoPeer; "no peer")]
#[test_case(NotProxied::Declined; "declined")]
#[test_case(NotProxied::EndpointUnreachable; "unreachable")]
fn a_call_that_a_peer_did_not_make_goes_by_another(failure: NotProxied) {
    let mut rig = cut_off();
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    rig.came(id, first.number, Outcome::NotProxied(failure));
    let second = rig.start();
    assert_ne!(
        (first.target.endpoint, first.target.via),
        (second.target.endpoint, second.target.via)
    );
    rig.came(id, second.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
}

/// Guards against calls that are refused because peers make none to another endpoint.
#[test]
fn peers_that_decline_calls_to_one_endpoint_make_those_to_others() {
    let mut rig = cut_off();
    let keys: Vec<_> = rig.state.directory.in_service(DESK).map(|(key, _)| key).collect();
    for key in keys {
        rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Unreachable });
    }
    let key = rig.state.directory.find("a").expect("listed");
    for n in PEERS {
        let failure = Some(NotProxied::Declined);
        rig.feed(Event::ProbedByPeer { endpoint: key, peer: address(n), failure });
    }
    rig.effects.clear();
    rig.call("/stock/1", 2000, None);
    let attempt = rig.start();
    assert_eq!(rig.state.directory.find("b"), Some(attempt.target.endpoint));
    assert!(attempt.target.via.is_some());
}

/// Guards against a call that is asked for over and over until its time has passed.
#[test_case(NotProxied::NoPeer; "no peer")]
#[test_case(NotProxied::Declined; "declined")]
#[test_case(NotProxied::EndpointUnreachable; "unreachable")]
fn a_call_that_no_peer_makes_is_refused_at_once(failure: NotProxied) {
    let mut rig = cut_off();
    let id = rig.call("/stock/1", 2000, None);
    let asked = refuse_all(&mut rig, id, failure);
    assert!((1..=4).contains(&asked), "{asked}");
    assert_eq!(rig.refusals(), [Refusal::NoEndpoint]);
    assert!(Refusal::NoEndpoint.is_not_run());
}

/// Guards against a stream that is cut since peers had declined it before it began.
#[test]
fn what_peers_declined_before_a_stream_began_does_not_count_when_it_breaks() {
    let mut rig = cut_off();
    let id = rig.call("/draft/1", 14_000, Some(prompt(500)));
    let declined = Outcome::NotProxied(NotProxied::Declined);
    for _ in 0..3 {
        let attempt = rig.start();
        rig.came(id, attempt.number, declined.clone());
    }
    rig.pass_ms(600);
    for outcome in [held(), prefilled(), Outcome::Streaming] {
        let attempt = rig.start();
        assert!(attempt.target.via.is_some(), "{attempt:?}");
        rig.came(id, attempt.number, outcome);
    }
    let decode = rig.state.requests[&id].active_attempts[0].number;
    rig.came(id, decode, Outcome::Broken(Damage::CutOff));
    rig.pass_ms(2000);
    let attempt = rig.start();
    rig.effects.clear();
    rig.came(id, attempt.number, declined);
    let is_cut = |effect: &Effect| matches!(effect, Effect::AbortStream { .. });
    assert!(!rig.effects.iter().any(is_cut), "{:?}", rig.effects);
}

/// Guards against calls that wait, or are sent, although nothing reaches their endpoints.
#[test]
fn a_call_is_refused_at_once_when_peers_are_cut_off_as_well() {
    let mut rig = cut_off();
    let unreached = vec![basilbank_forward::state::service_hash(DESK)];
    hear(&mut rig, 2, &LoadGossip { unreached, ..LoadGossip::default() });
    let keys: Vec<_> = rig.state.directory.in_service(DESK).map(|(key, _)| key).collect();
    for key in keys {
        rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Unreachable });
    }
    rig.call("/stock/1", 2000, None);
    assert!(rig.starts().is_empty());
    assert_eq!(rig.refusals(), [Refusal::NoEndpoint]);
}

/// Guards against one call that counts as two where a peer makes it: attempts, budget and quotas are the
/// sender's alone.
#[test]
fn a_call_that_peers_did_not_make_costs_no_attempt_and_no_budget() {
    let mut rig = cut_off();
    rig.state.tuning.retry_slack = 0.0;
    rig.state.tuning.retry_ratio = 0.0;
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    rig.came(id, first.number, Outcome::NotProxied(NotProxied::Declined));
    let second = rig.start();
    rig.came(id, second.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
    // A refusal by an endpoint costs what it costs without a peer.
    let id = rig.call("/stock/1", 2000, None);
    let first = rig.start();
    rig.came(id, first.number, BUSY);
    assert!(rig.starts().is_empty(), "there is no budget for a second call");
    assert_eq!(rig.refusals(), [Refusal::Full]);
}

/// Guards against a peer that is asked to make more calls than it can, while it serves its own callers.
#[test]
fn a_daemon_makes_a_bounded_number_of_calls_for_peers() {
    let mut rig = rig();
    let admit = |rig: &Rig| rig.state.admit_proxied("a", None, Purpose::Work, rig.now());
    let admitted = (0..1000).take_while(|_| {
        let is_admitted = admit(&rig).is_ok();
        if is_admitted {
            rig.feed(Event::ProxiedCallStarted);
        }
        is_admitted
    });
    assert_eq!(admitted.count(), 128);
    assert_eq!(admit(&rig), Err(NotProxied::Declined));
    let id = rig.call("/stock/1", 2000, None);
    let own = rig.start();
    assert_eq!(own.target.via, None);
    rig.came(id, own.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered(), "its own callers are served");
}

/// Guards against calls for peers that the daemon would not send for its own callers.
#[test]
fn a_daemon_makes_no_calls_for_peers_that_it_would_not_make_for_itself() {
    let mut rig = rig();
    let admit =
        |rig: &Rig, purpose| rig.state.admit_proxied("a", None, purpose, rig.now()).map(drop);
    let key = rig.state.directory.find("a").expect("listed");
    assert_eq!(admit(&rig, Purpose::Work), Ok(()));
    assert_eq!(
        rig.state.admit_proxied("unknown", None, Purpose::Work, rig.now()).map(drop),
        Err(NotProxied::Declined)
    );
    rig.feed(Event::PauseRequested { endpoint: key, pause: Duration::from_secs(1) });
    assert_eq!(admit(&rig, Purpose::Work), Err(NotProxied::Declined), "a pause");
    rig.pass_ms(1001);
    rig.feed(Event::EndpointLeaving(key));
    assert_eq!(admit(&rig, Purpose::Work), Err(NotProxied::Declined), "leaving");
    assert_eq!(admit(&rig, Purpose::Release), Ok(()), "giving back is no work");
    rig.feed(Event::Shutdown { grace: Duration::from_secs(5) });
    assert_eq!(admit(&rig, Purpose::Release), Err(NotProxied::Declined), "own shutdown");
}

/// Guards against a loop: a daemon that can't reach an endpoint itself doesn't hand a peer's call on.
#[test]
fn a_call_for_a_peer_goes_to_the_endpoint_or_nowhere() {
    let rig = cut_off();
    let admitted = rig.state.admit_proxied("a", None, Purpose::Work, rig.now());
    assert_eq!(admitted, Err(NotProxied::EndpointUnreachable));
    let probe = rig.state.admit_proxied("a", None, Purpose::Probe, rig.now()).expect("probed");
    assert_eq!(probe.via, None);
}

/// Guards against a cut that outlasts itself.
#[test]
fn a_daemon_calls_endpoints_itself_once_they_answer_its_probes() {
    let mut rig = cut_off();
    let key = rig.state.directory.find("a").expect("listed");
    assert_eq!(rig.state.reach(key, rig.now()), Reach::ByPeer);
    rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Alive });
    assert_eq!(rig.state.reach(key, rig.now()), Reach::Direct);
}

/// Guards against calls that go back and forth on a path that loses packets.
#[test]
fn a_path_that_flaps_has_to_answer_several_probes() {
    let mut rig = cut_off();
    let key = rig.state.directory.find("a").expect("listed");
    rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Alive });
    rig.feed(Event::ProxiedCallEnded {
        endpoint: key,
        traits: None,
        wrote_on: false,
        duration: Duration::ZERO,
        end: ProxiedEnd::Silent,
    });
    rig.feed(Event::ProbedByPeer { endpoint: key, peer: address(3), failure: None });
    for expected in [Reach::ByPeer, Reach::ByPeer, Reach::Direct] {
        rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Alive });
        assert_eq!(rig.state.reach(key, rig.now()), expected);
    }
}

/// Guards against endpoints that peers avoid because a daemon that is cut off from one small service blames
/// them.
#[test]
fn peers_are_not_told_to_avoid_a_service_that_one_daemon_is_cut_off_from() {
    let mut rig = rig();
    let list: Vec<_> = (0..12).map(|n| model(&format!("e{n}"), 20 + n, Stage::Decode)).collect();
    rig.list(list);
    for name in ["a", "b"] {
        let key = rig.state.directory.find(name).expect("listed");
        rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Alive });
        let id = rig.call("/stock/1", 1000, None);
        for attempt in rig.starts() {
            rig.came(id, attempt.number, Outcome::Unreachable);
        }
        rig.feed(Event::CallerLeft(id));
        rig.feed(Event::ProbedByPeer { endpoint: key, peer: address(2), failure: None });
    }
    rig.beats();
    rig.pass_ms(600);
    let beats = rig.beats();
    assert!(!beats.is_empty());
    assert!(beats.iter().all(|(_, beat)| beat.shunned.is_empty()), "{beats:?}");
    let hash = basilbank_forward::state::service_hash(DESK);
    assert!(
        beats.iter().any(|(_, beat)| beat.unreached == [hash]),
        "peers know that it can't help"
    );
}

/// Guards against a call that is given up because its sound endpoint was silent for a second.
#[test]
fn a_call_goes_on_at_an_endpoint_that_is_silent_for_a_second() {
    let mut rig = rig();
    let id = rig.call("/stock/1", 4000, None);
    let attempt = rig.start();
    let key = attempt.target.endpoint;
    rig.pass_ms(260);
    assert!(rig.effects.iter().any(|e| matches!(e, Effect::Probe(t) if t.endpoint == key)));
    rig.pass_ms(250);
    rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Unreachable });
    rig.pass_ms(490);
    let stopped = |e: &Effect| matches!(e, Effect::Stop { .. } | Effect::Refuse { .. });
    assert!(!rig.effects.iter().any(stopped));
    rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
    rig.feed(Event::Probed { endpoint: key, liveness: Liveness::Alive });
    assert_eq!(rig.state.reach(key, rig.now()), Reach::Direct);
}
