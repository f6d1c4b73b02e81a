//! Callers' keys: who is let in, and how long a daemon trusts what it knows.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_wire::{ConfigurationAge, LoadGossip};
use test_case::test_case;

use crate::{
    fleet::proofs::Play,
    rig::{Rig, plain, route, table},
};

const TRUST: Duration = Duration::from_millis(4800);
const KEY: KeyHash = KeyHash([1; 16]);
const OTHER: KeyHash = KeyHash([2; 16]);

fn keyed(version: u64, keys: &[KeyHash]) -> RouteTable {
    let teams = Teams::default().with_team(Team::new("team-1"), keys.iter().copied());
    let mut routes = table(version).routes().to_vec();
    let mut open = route("/open/", RouteKind::Idempotent, "desk", 2);
    open.public = true;
    routes.push(open);
    table(version).with_routes(routes).with_teams(teams)
}

/// A daemon that knows one key, and must not trust it for longer than a bound.
fn rig() -> Rig {
    let mut rig = Rig::new();
    rig.state.tuning.max_confirmation_age = Some(TRUST);
    rig.configure(keyed(2, &[KEY]));
    rig.list(vec![plain("a", 1)]);
    confirm(&mut rig);
    rig
}

/// The store answers a question that has just gone out.
fn confirm(rig: &mut Rig) {
    let asked = rig.now();
    rig.feed(Event::RoutesConfirmed { asked_at: asked });
}

fn refused(rig: &mut Rig, path: &str, credential: Credential) -> Vec<Refusal> {
    rig.effects.clear();
    rig.call_with(path, credential);
    rig.refusals()
}

#[test]
fn a_key_opens_and_names_the_team() {
    let mut rig = rig();
    rig.call_with("/sheet/1", Credential::Key(KEY));
    assert_eq!(rig.start().team.as_deref(), Some("team-1"));
}

#[test_case(Credential::None, Refusal::NoKey)]
#[test_case(Credential::Unusable, Refusal::NoKey)]
#[test_case(Credential::Key(OTHER), Refusal::UnknownKey)]
fn who_has_no_key_is_turned_away_for_good(credential: Credential, refusal: Refusal) {
    let mut rig = rig();
    rig.call_with("/sheet/1", credential);
    let after = rig.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, retry_after: after, .. } => Some((*refusal, *after)),
        _ => None,
    });
    assert_eq!(after, Some((refusal, None)));
}

#[test]
fn a_public_route_needs_no_key_and_names_no_team() {
    let mut rig = rig();
    rig.call_with("/open/1", Credential::Key(KEY));
    assert_eq!(rig.start().team, None);
    rig.pass(TRUST * 2);
    rig.effects.clear();
    rig.call_with("/open/1", Credential::None);
    assert_eq!(rig.start().team, None, "also while keys are not trusted");
}

#[test]
fn a_key_that_was_taken_away_opens_nothing() {
    let mut rig = rig();
    rig.configure(keyed(3, &[OTHER]));
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), [Refusal::UnknownKey]);
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(OTHER)), []);
}

/// Symptom: a key that had been taken away was served for as long as a daemon was cut off.
/// Sequence: a daemon loses the store; a key is taken away.
/// Cause: what was read last held for ever.
#[test]
fn keys_are_trusted_for_a_bound_and_then_callers_are_told_to_come_back() {
    let mut rig = rig();
    rig.pass(TRUST - Duration::from_millis(1));
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), [], "not a moment early");
    assert!(rig.state.is_ready());
    rig.pass_ms(1);
    let all = [Credential::Key(KEY), Credential::Key(OTHER), Credential::None];
    for credential in all {
        let refusals = refused(&mut rig, "/sheet/1", credential);
        assert_eq!(refusals, [Refusal::KeysUnconfirmed], "nobody is turned away for good");
    }
    assert!(!rig.state.is_ready(), "the balancer sends callers elsewhere");
    confirm(&mut rig);
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), []);
    assert!(rig.state.is_ready());
}

/// The answer of a slow store is as old as its question.
#[test]
fn a_proof_counts_from_its_question() {
    let mut rig = rig();
    let asked = rig.now();
    rig.pass(TRUST - Duration::from_millis(100));
    rig.feed(Event::RoutesConfirmed { asked_at: asked });
    rig.pass_ms(100);
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), [Refusal::KeysUnconfirmed]);
}

#[test]
fn a_daemon_that_knows_of_a_newer_configuration_turns_no_key_away_for_good() {
    let mut rig = rig();
    let from = SocketAddr::from(([10, 0, 1, 2], 7000));
    let beat = LoadGossip { incarnation: 1, sequence: 1, version: 3, ..LoadGossip::default() };
    rig.feed(Event::gossip(from, beat));
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(OTHER)), [Refusal::Outdated]);
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), []);
}

#[test]
fn without_a_bound_keys_are_trusted_for_ever() {
    let mut rig = rig();
    rig.state.tuning.max_confirmation_age = None;
    rig.pass(TRUST * 10);
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), []);
}

/// A call that one team repeats is another one than the same call by another team.
#[test]
fn quarantine_tells_teams_apart() {
    let call = Digest(7);
    assert_ne!(call.for_team(TeamId::of("a")), call.for_team(TeamId::of("b")));
    assert_eq!(call.for_team(TeamId::of("a")), call.for_team(TeamId::of("a")));
}

/// A daemon of a large fleet, where six peers watch the store for all.
fn follower() -> Rig {
    let mut rig = rig();
    for n in 2..=60 {
        let watching = n <= 7;
        rig.feed(Event::gossip(peer(n), LoadGossip { watching, ..beat(1) }));
    }
    rig.effects.clear();
    rig
}

fn beat(sequence: u64) -> LoadGossip {
    LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() }
}

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n], 7000))
}

/// Lets time pass while the watching peers go on saying that the store answers them.
fn pass(rig: &mut Rig, ms: u64, sequence: &mut u64) {
    for _ in 0..ms / 100 {
        *sequence += 1;
        for n in 2..=60 {
            rig.feed(Event::gossip(peer(n), LoadGossip { watching: n <= 7, ..beat(*sequence) }));
        }
        rig.pass_ms(100);
    }
}

fn questions(rig: &mut Rig) -> Vec<(SocketAddr, ConfigurationAge)> {
    let beats = rig.beats();
    beats
        .into_iter()
        .flat_map(|(to, beat)| beat.ages.into_iter().map(move |age| (to, age)))
        .collect()
}

#[test]
fn a_daemon_that_rests_on_others_asks_them_for_a_proof() {
    let (mut rig, mut sequence) = (follower(), 1);
    pass(&mut rig, 900, &mut sequence);
    assert_eq!(questions(&mut rig), [], "its own proof is new");
    pass(&mut rig, 200, &mut sequence);
    let asked = questions(&mut rig);
    assert_eq!(asked.len(), 1, "{asked:?}");
    let (to, question) = asked[0];
    assert!((2..=7).map(peer).any(|watching| watching == to), "one that watches: {to}");
    let word = ConfigurationAge { age: Some(300), version: 2, ..question };
    rig.feed(Event::gossip(
        to,
        LoadGossip { incarnation: 1, ages: vec![word], ..LoadGossip::default() },
    ));
    let age = rig.state.freshness.age(rig.now()).expect("a proof");
    assert!(age < Duration::from_millis(500), "{age:?}");
}

#[test_case(ConfigurationAge { asked: 12345, age: Some(0), version: 2 }, false; "to no question of this start")]
#[test_case(ConfigurationAge { asked: 0, age: Some(0), version: 3 }, true; "about a newer version")]
fn a_peers_word_proves_nothing(word: ConfigurationAge, echo: bool) {
    let (mut rig, mut sequence) = (follower(), 1);
    pass(&mut rig, 1100, &mut sequence);
    let asked = questions(&mut rig);
    let (to, question) = asked[0];
    let word = if echo { ConfigurationAge { asked: question.asked, ..word } } else { word };
    let before = rig.state.freshness.confirmed_at;
    rig.feed(Event::gossip(
        to,
        LoadGossip { incarnation: 1, ages: vec![word], ..LoadGossip::default() },
    ));
    assert_eq!(rig.state.freshness.confirmed_at, before);
}

#[test]
fn an_answer_tells_how_old_the_proof_is() {
    let mut rig = rig();
    rig.feed(Event::gossip(peer(2), beat(1)));
    rig.pass_ms(700);
    rig.effects.clear();
    let question = ConfigurationAge { asked: 5, age: None, version: 0 };
    let words = LoadGossip { incarnation: 1, ages: vec![question], ..LoadGossip::default() };
    rig.feed(Event::gossip(peer(2), words.clone()));
    let answers = questions(&mut rig);
    assert_eq!(answers.len(), 1);
    let (to, answer) = answers[0];
    assert_eq!((to, answer.asked, answer.version), (peer(2), 5, 2));
    assert!(answer.age.is_some_and(|age| (700..800).contains(&age)), "{answer:?}");
    rig.feed(Event::gossip(peer(3), words));
    assert_eq!(questions(&mut rig), [], "who is no peer isn't heard");
}

/// Nobody trusts a key for longer than the bound after it went, whatever a daemon can read and hear.
#[test_case(8; "small fleet")]
#[test_case(71; "grown fleet")]
fn no_key_is_trusted_for_longer_than_the_bound(daemons: usize) {
    for seed in 1..=4 {
        let got = Play::run(daemons, true, seed);
        assert_eq!(got.late, 0, "{seed}: {got:?}");
        assert!(got.all / 2 < got.trusted, "{seed}: {got:?}");
    }
}

/// While all is well no daemon closes, and those that rest on others ask about once a second.
#[test_case(8; "small fleet")]
#[test_case(71; "grown fleet")]
#[test_case(195; "large fleet")]
fn daemons_that_read_or_hear_trust_keys_all_the_time(daemons: usize) {
    let got = Play::run(daemons, false, 1);
    assert_eq!((got.late, got.trusted), (0, got.all), "{got:?}");
    assert!(got.asked < daemons * 40 * 3, "{got:?}");
}

/// A daemon that counts a quota of one request a second, and has one left.
fn quota_of_one() -> Rig {
    let mut rig = rig();
    let quota = Quota { rate: 1.0, burst: 1.0, unit: QuotaUnit::Requests };
    let teams = Teams::default().with_team(Team::new("team-1").with_quota(quota), [KEY]);
    rig.configure(keyed(3, &[]).with_teams(teams));
    rig
}

/// Symptom: a team whose callers left early had more than its quota.
/// Sequence: a call is at an endpoint, which may run it; its caller leaves.
/// Cause: it was looked at after its attempts had been stopped, and counted as one that was nowhere.
#[test]
fn a_call_that_may_have_run_gives_nothing_of_its_quota_back() {
    let mut rig = quota_of_one();
    let id = rig.call_with("/sheet/1", Credential::Key(KEY));
    assert_eq!(rig.start().op, Op::Plain);
    rig.feed(Event::CallerLeft(id));
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), [Refusal::OverQuota]);
}

#[test]
fn a_call_that_was_not_run_gives_its_quota_back() {
    let mut rig = quota_of_one();
    assert_eq!(refused(&mut rig, "/once/1", Credential::Key(KEY)), [Refusal::NoEndpoint]);
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), []);
    assert_eq!(refused(&mut rig, "/sheet/1", Credential::Key(KEY)), [Refusal::OverQuota]);
}
