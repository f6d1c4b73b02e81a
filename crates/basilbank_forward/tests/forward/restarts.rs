//! An endpoint starts again under the id that it had.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::{
    event::{Acceptance, Liveness},
    prelude::*,
};
use test_case::test_case;

use crate::rig::{BUSY, Rig, held, model, plain, prompt};

/// An entry of the start at this time.
pub fn born(at: u64, info: EndpointInfo) -> EndpointInfo {
    EndpointInfo { start_time: Some(at), ..info }
}

fn at_port(port: u16, info: EndpointInfo) -> EndpointInfo {
    EndpointInfo { addr: SocketAddr::from(([10, 0, 0, 1], port)), ..info }
}

pub fn key(rig: &Rig, instance: &str) -> EndpointKey {
    rig.state.directory.find(instance).expect("listed")
}

fn forgotten(rig: &Rig, key: EndpointKey) -> bool {
    rig.effects.contains(&Effect::CloseConnections(key))
}

/// Where a plain call goes; it leaves at once.
fn target(rig: &mut Rig) -> Option<EndpointKey> {
    let id = rig.call("/stock/1", 1000, None);
    let start = rig.starts().pop();
    rig.feed(Event::CallerLeft(id));
    start.map(|attempt| attempt.target.endpoint)
}

/// A daemon with a prefill endpoint and a decode endpoint, each in its first start.
pub fn pair() -> Rig {
    let mut rig = Rig::new();
    rig.list(vec![born(1, model("p1", 1, Stage::Prefill)), born(1, model("d1", 3, Stage::Decode))]);
    rig
}

pub fn restart_prefill(rig: &mut Rig) {
    rig.list(vec![born(2, model("p1", 1, Stage::Prefill))]);
}

pub fn restart_decode(rig: &mut Rig) {
    rig.list(vec![born(2, model("d1", 3, Stage::Decode))]);
}

pub fn draft(rig: &mut Rig) -> (RequestId, Attempt) {
    let id = rig.call("/draft/1", 14_000, Some(prompt(1000)));
    (id, rig.start())
}

pub fn calls_at(rig: &Rig, instance: &str) -> (u32, u32) {
    let endpoint = rig.state.directory.get(key(rig, instance)).expect("listed");
    (endpoint.total_calls(), endpoint.total_tokens())
}

/// Symptom: calls went out over connections of a start that was over.
/// Sequence: an endpoint crashed and started again under its id.
/// Cause: its entry was taken for a change of the one that was known.
#[test]
fn a_later_start_is_a_new_endpoint() {
    let mut rig = Rig::new();
    rig.list(vec![born(1, plain("a", 1))]);
    let former = key(&rig, "a");
    rig.list(vec![born(2, plain("a", 1))]);
    assert!(forgotten(&rig, former));
    assert_ne!(key(&rig, "a"), former);
    assert!(rig.state.directory.get(former).is_none());
    assert_eq!(target(&mut rig), rig.state.directory.find("a"));
}

/// Symptom: an endpoint got work at the address that it had before it started again.
/// Sequence: an entry of the former start was read late, as a change, in a whole list, or after the
/// endpoint had gone.
/// Cause: the entry that came last counted.
#[test]
fn an_entry_of_a_former_start_changes_nothing() {
    let mut rig = Rig::new();
    let former = EndpointInfo { draining: true, ..born(1, plain("a", 1)) };
    rig.list(vec![born(2, at_port(9, plain("a", 1)))]);
    let present = key(&rig, "a");
    rig.list(vec![former.clone()]);
    assert_eq!(target(&mut rig), Some(present));
    rig.feed(Event::EndpointsRead { revisions: Revisions::at(99), list: vec![former.clone()] });
    assert_eq!(target(&mut rig), Some(present));
    assert!(!forgotten(&rig, present));
    rig.change(vec![], &["a"]);
    rig.list(vec![former]);
    assert_eq!(target(&mut rig), None);
    rig.list(vec![born(2, at_port(9, plain("a", 1)))]);
    assert!(target(&mut rig).is_some(), "the start itself may register again");
}

/// Symptom: none yet: an endpoint would have had no work until its next start.
/// Sequence: its clock was set back while it was down.
/// Cause: its entry looks like a late one of a former start. A late one does not stand for a minute.
#[test]
fn an_entry_that_stands_is_no_late_one() {
    let mut rig = Rig::new();
    rig.list(vec![born(5, plain("a", 1)), plain("b", 2)]);
    rig.change(vec![], &["a"]);
    rig.list(vec![born(4, plain("a", 1))]);
    assert!(rig.state.directory.find("a").is_none());
    rig.pass(Duration::from_secs(61));
    rig.list(vec![plain("b", 2)]);
    assert!(rig.state.directory.find("a").is_some());
}

/// Symptom: none yet; what an entry says that doesn't name its start is a matter of choice.
/// Sequence: one of two entries names its start.
/// Cause: see `EndpointInfo::compare_start`.
#[test_case(None, None, 1, true; "as before")]
#[test_case(None, None, 2, true; "as before at another address")]
#[test_case(Some(1), Some(1), 2, true; "the same start says where it is")]
#[test_case(Some(1), None, 1, true; "one that does not say is the known one")]
#[test_case(Some(1), None, 2, false; "but not at another address")]
#[test_case(None, Some(1), 1, false; "one that begins to say is another")]
fn an_entry_is_of_the_known_start(first: Option<u64>, next: Option<u64>, port: u16, same: bool) {
    let mut rig = Rig::new();
    rig.list(vec![EndpointInfo { start_time: first, ..plain("a", 1) }]);
    let known = key(&rig, "a");
    rig.list(vec![EndpointInfo { start_time: next, ..plain("a", port) }]);
    assert_eq!(key(&rig, "a") == known, same);
    assert_eq!(forgotten(&rig, known), !same);
    let endpoint = rig.state.directory.get(key(&rig, "a")).expect("listed");
    assert_eq!(endpoint.info.addr.port(), port);
    assert_eq!(target(&mut rig), rig.state.directory.find("a"));
}

/// Symptom: an endpoint that had started again waited for its first work.
/// Sequence: it drained, ended, and started again; or an entry of its draining came late.
/// Cause: the state was kept by the instance's id.
#[test]
fn a_former_start_drains_alone() {
    let mut rig = Rig::new();
    let draining = EndpointInfo { draining: true, ..born(1, plain("a", 1)) };
    rig.list(vec![draining.clone()]);
    assert_eq!(target(&mut rig), None);
    rig.list(vec![born(2, plain("a", 1))]);
    assert!(target(&mut rig).is_some());
    rig.list(vec![draining]);
    assert!(target(&mut rig).is_some());
}

/// Symptom: an endpoint stayed in use after its entry had gone.
/// Sequence: it started again while a call was in progress at the former start, then it left, and
/// the call ended.
/// Cause: none yet: both starts have the id by which entries go.
#[test]
fn a_removal_is_of_the_present_start() {
    let mut rig = Rig::new();
    rig.list(vec![born(1, plain("a", 1))]);
    let id = rig.call("/stock/1", 5000, None);
    let call = rig.start();
    rig.list(vec![born(2, plain("a", 1))]);
    let present = key(&rig, "a");
    rig.came(id, call.number, Outcome::Answered { status: 200 });
    assert_eq!(target(&mut rig), Some(present), "the former start's end takes nothing off");
    rig.change(vec![], &["a"]);
    assert_eq!(target(&mut rig), None);
    assert!(rig.state.directory.is_empty());
}

/// Symptom: a call failed whose answer had come.
/// Sequence: the endpoint answered, crashed and started again; its new entry was read first.
/// Cause: the call's endpoint had been taken off.
#[test]
fn an_answer_of_the_former_start_counts() {
    let mut rig = Rig::new();
    rig.list(vec![born(1, plain("a", 1))]);
    let id = rig.call("/stock/1", 5000, None);
    let call = rig.start();
    rig.list(vec![born(2, plain("a", 1))]);
    assert_eq!(calls_at(&rig, "a"), (0, 0));
    let former = call.target.endpoint;
    assert!(rig.state.directory.get(former).is_some(), "its call goes on");
    assert!(rig.state.directory.target(former).is_none(), "nothing new is sent there");
    rig.came(id, call.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
    assert_eq!(rig.state.directory.len(), 1, "the former start is removed with its last call");
}

/// Symptom: none yet: a call that may run once must not run again at the new start.
/// Sequence: its connection broke when the endpoint crashed.
/// Cause: the new start has not had the call.
#[test]
fn a_call_that_may_have_run_is_not_sent_to_the_new_start() {
    let mut rig = Rig::new();
    rig.list(vec![born(1, plain("a", 1))]);
    let id = rig.call("/stock/1", 5000, None);
    let call = rig.start();
    rig.list(vec![born(2, plain("a", 1))]);
    rig.came(id, call.number, Outcome::Broken(Damage::Closed));
    assert!(rig.starts().is_empty());
    assert_eq!(rig.refusals(), [Refusal::Broken]);
}

/// A daemon's datagram to the other, after all that it has to tell has changed.
fn tell(from: &mut Rig, to: &mut Rig, address: SocketAddr) {
    from.beats();
    from.pass_ms(600);
    to.pass_ms(600);
    for (_, beat) in from.beats() {
        to.feed(Event::gossip(address, beat));
    }
}

fn daemons() -> (Rig, SocketAddr, Rig) {
    let address = |n| SocketAddr::from(([10, 0, 1, n], 7000));
    let mut one = Rig::as_daemon(address(1), vec![address(2)]);
    let mut other = Rig::as_daemon(address(2), vec![address(1)]);
    for rig in [&mut one, &mut other] {
        rig.list(vec![
            born(1, model("p1", 1, Stage::Prefill)),
            born(1, model("d1", 3, Stage::Decode)),
        ]);
        rig.pass_ms(1000);
    }
    (one, address(1), other)
}

/// Symptom: an endpoint that had just started again counted as full.
/// Sequence: one daemon knew of the new start, the other one still told what it had at the former.
/// Cause: datagrams named the instance alone.
#[test]
fn a_peers_load_at_the_former_start_is_none_of_the_new_ones() {
    let (mut one, address, mut other) = daemons();
    let (id, hold) = draft(&mut one);
    one.came(id, hold.number, held());
    tell(&mut one, &mut other, address);
    assert_eq!(calls_at(&other, "d1"), (1, 1060));
    restart_decode(&mut other);
    assert_eq!(calls_at(&other, "d1"), (0, 0));
    tell(&mut one, &mut other, address);
    assert_eq!(calls_at(&other, "d1"), (0, 0));
    restart_decode(&mut one);
    draft(&mut one);
    tell(&mut one, &mut other, address);
    assert_eq!(calls_at(&other, "d1"), (1, 1060));
}

/// Symptom: an endpoint that had just started got no work for seconds.
/// Sequence: a peer knew that the former start refused work, and did not know of the new one.
/// Cause: its word was of the instance.
#[test]
fn a_peers_word_of_the_former_start_says_nothing_of_the_new_one() {
    let (mut one, address, mut other) = daemons();
    let former = key(&one, "d1");
    one.feed(Event::OrderAnswered { endpoint: former, acceptance: Acceptance::Accepted });
    tell(&mut one, &mut other, address);
    let avoided =
        |rig: &Rig| rig.state.directory.get(key(rig, "d1")).expect("listed").avoided_until;
    assert!(other.now() < avoided(&other));
    restart_decode(&mut other);
    tell(&mut one, &mut other, address);
    assert_eq!(avoided(&other), Duration::ZERO);
}

/// Symptom: as above.
/// Sequence: calls of this daemon had met the former start dark, slow or refusing.
/// Cause: all of that was kept by the instance.
#[test]
fn what_was_measured_of_the_former_start_is_forgotten() {
    let mut rig = Rig::new();
    rig.list(vec![born(1, plain("a", 1))]);
    let former = key(&rig, "a");
    for outcome in [Outcome::Answered { status: 200 }, BUSY, Outcome::Unreachable] {
        let id = rig.call("/stock/1", 5000, None);
        let call = rig.start();
        rig.pass_ms(200);
        rig.came(id, call.number, outcome);
        rig.feed(Event::CallerLeft(id));
    }
    assert_eq!(rig.state.suspects.len(), 1);
    rig.list(vec![born(2, plain("a", 1))]);
    assert!(rig.state.suspects.is_empty());
    rig.effects.clear();
    rig.pass_ms(2000);
    assert!(!rig.effects.iter().any(|effect| matches!(effect, Effect::Probe(_))));
    rig.feed(Event::Probed { endpoint: former, liveness: Liveness::Unreachable });
    let endpoint = rig.state.directory.get(key(&rig, "a")).expect("listed");
    assert_eq!((endpoint.mean_answer_time, endpoint.slowness), (None, 1.0));
    assert_eq!((endpoint.avoided_until, endpoint.reported_until), (Duration::ZERO, Duration::ZERO));
}

/// Symptom: as above.
/// Sequence: a call at the former start comes to nothing after the new start is known.
/// Cause: as above.
#[test_case(Outcome::Unreachable)]
#[test_case(Outcome::TimedOut)]
#[test_case(Outcome::Broken(Damage::Closed))]
#[test_case(Outcome::NotRun(NotRun::WrongInstance))]
fn a_late_failure_at_the_former_start_says_nothing_of_the_new_one(outcome: Outcome) {
    let mut rig = Rig::new();
    rig.list(vec![born(1, plain("a", 1))]);
    let id = rig.call("/stock/1", 5000, None);
    let call = rig.start();
    rig.list(vec![born(2, plain("a", 1))]);
    rig.came(id, call.number, outcome);
    assert!(rig.state.suspects.is_empty());
    let endpoint = rig.state.directory.get(key(&rig, "a")).expect("listed");
    assert_eq!(endpoint.avoided_until, Duration::ZERO);
}

/// Symptom: a prefill endpoint that wasn't needed stayed one.
/// Sequence: it accepted the order to change its stage, crashed, and started again as it was.
/// Cause: it counted as ordered.
#[test]
fn an_order_is_forgotten_with_the_start_that_accepted_it() {
    let mut rig = Rig::new();
    rig.feed(Event::OrderRight(OrderRight::AtOnce));
    let list: Vec<_> =
        (0..9).map(|n| born(1, model(&format!("m{n}"), n + 1, Stage::Prefill))).collect();
    rig.list(list.clone());
    let mut orders: Vec<(String, u64)> = Vec::new();
    let mut go_on = |rig: &mut Rig, list: &[EndpointInfo]| {
        let mut made = Vec::new();
        for _ in 0..30 {
            rig.pass_ms(500);
            rig.list(list.to_vec());
            for effect in rig.effects.drain(..) {
                let Effect::Order { target, fence, .. } = effect else { continue };
                assert!(orders.iter().all(|(_, before)| *before < fence));
                orders.push((target.instance.clone(), fence));
                made.push(target);
            }
        }
        for target in &made {
            let endpoint = target.endpoint;
            rig.feed(Event::OrderAnswered { endpoint, acceptance: Acceptance::Accepted });
        }
        made
    };
    let first = go_on(&mut rig, &list);
    assert!(!first.is_empty());
    let again = first[0].instance.clone();
    let list: Vec<_> = list
        .into_iter()
        .map(|info| if info.instance == again { born(2, info) } else { info })
        .collect();
    let second = go_on(&mut rig, &list);
    assert_eq!(second.len(), 1, "{second:?}");
    assert!(second.iter().all(|target| target.endpoint == key(&rig, &target.instance)));
}

/// Symptom: none yet; a choice: the sessions of an endpoint that starts again stay with it.
/// Sequence: daemons learn of the start at different times, and place the same session.
/// Cause: see `pick::home`.
#[test]
fn a_session_stays_at_an_instance_that_starts_again() {
    let mut rig = Rig::new();
    let decode = |at| (0..8).map(move |n| born(at, model(&format!("d{n}"), 10 + n, Stage::Decode)));
    rig.list(decode(1).chain([model("p1", 1, Stage::Prefill)]).collect());
    let places = |rig: &mut Rig| {
        let mut places = Vec::new();
        for session in 0..40 {
            let prompt = Prompt { session: Some(session * 7919), ..prompt(100) };
            let id = rig.call("/draft/1", 14_000, Some(prompt));
            places.push(rig.start().target.instance);
            rig.feed(Event::CallerLeft(id));
        }
        places
    };
    let before = places(&mut rig);
    rig.list(decode(2).step_by(2).collect());
    assert_eq!(places(&mut rig), before);
}
