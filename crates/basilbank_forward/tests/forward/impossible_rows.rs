//! Datagrams with values that no daemon can have measured or counted.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::{prelude::*, state::service_hash};
use basilbank_wire::{
    CallLimitReport, EndpointLoad, LoadGossip, Permit, PermitKind, QuotaAnswer, QuotaCounted,
    QuotaState, QuotaUse, ServiceGenerationStats,
};
use test_case::test_case;

use crate::rig::{Rig, WRITER, model, plain, table};

const TEAM: &str = "team-1";
const KEY: KeyHash = KeyHash([7; 16]);

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

/// Daemon 1 of a fleet, which knows daemon 2.
fn rig() -> Rig {
    let mut rig = Rig::as_daemon(peer(1), vec![]);
    rig.list(vec![plain("e1", 1), model("d1", 2, Stage::Decode)]);
    tell(&mut rig, 2, LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() });
    rig.effects.clear();
    rig
}

fn tell(rig: &mut Rig, from: u8, gossip: LoadGossip) {
    rig.feed(Event::gossip(peer(from), gossip));
}

/// A heartbeat, which comes after those before.
fn beat(sequence: u64) -> LoadGossip {
    LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() }
}

fn endpoint(rig: &Rig, name: &str) -> (EndpointKey, u32) {
    let key = rig.state.directory.find(name).expect("listed");
    (key, rig.state.directory.hash(key).expect("listed"))
}

/// Guards against a limit that is lifted, or sums of rates that are infinite.
#[test_case(Some(f64::NAN), Some(4.0); "not a number")]
#[test_case(Some(f64::INFINITY), Some(4.0); "infinite")]
#[test_case(Some(-1.0), Some(4.0); "negative")]
#[test_case(Some(1e308), Some(1e9); "more than any endpoint takes")]
#[test_case(Some(2.0), Some(2.0); "another limit")]
#[test_case(None, None; "no limit any more")]
fn a_reported_limit_is_bounded(rate: Option<f64>, known: Option<f64>) {
    let mut rig = rig();
    let (key, endpoint) = endpoint(&rig, "e1");
    rig.feed(Event::CallLimit { endpoint: key, rate: Some(4.0) });
    rig.pass_ms(2000);
    let report = CallLimitReport { endpoint, rate, ago: 0 };
    tell(&mut rig, 2, LoadGossip { limits: vec![report], ..beat(2) });
    assert_eq!(rig.state.call_limits.get(key), known);
}

/// Guards against endpoints that are not asked for any more.
#[test]
fn a_wait_for_a_permit_is_bounded() {
    let mut rig = rig();
    let (key, endpoint) = endpoint(&rig, "e1");
    rig.feed(Event::CallLimit { endpoint: key, rate: Some(4.0) });
    let permit = Permit { endpoint, word: PermitKind::Wait.into(), wait: u32::MAX };
    tell(&mut rig, 2, LoadGossip { permits: vec![permit], ..LoadGossip::default() });
    let until = rig.state.permit_holder.available_at(&[key]);
    assert!(until <= rig.now() + Duration::from_secs(10), "{until:?}");
}

/// Guards against an overflow that ends the process.
#[test]
fn a_start_time_at_the_end_of_time_is_no_older_one() {
    let mut rig = rig();
    tell(&mut rig, 3, LoadGossip { incarnation: u64::MAX, fleet: 7, ..beat(1) });
    assert_eq!(rig.state.fleet_size(), 3);
}

/// Guards against shares of quotas that round to nothing.
#[test_case(7, 7; "a fleet")]
#[test_case(u32::MAX, 2; "more daemons than any fleet has")]
fn a_reported_fleet_size_is_bounded(fleet: u32, known: usize) {
    let local = Local::default().with_address(peer(1)).with_incarnation(1_000_000);
    let mut state = State::new(local, Tuning::default());
    let gossip = LoadGossip { fleet, ..beat(1) };
    let now = Now { mono: Duration::from_secs(100), wall: std::time::SystemTime::UNIX_EPOCH };
    reduce(&mut state, now, Event::gossip(peer(2), gossip), &mut Vec::new());
    assert_eq!(state.peers.fleet.size, known);
}

/// Guards against an average that one row decides.
#[test_case(f32::MAX, 1.0, 0.0, 0.0; "tokens")]
#[test_case(1.0, f32::MAX, 0.0, 0.0; "seconds")]
#[test_case(1.0, 1.0, f32::MAX, 0.0; "squares")]
#[test_case(1.0, 1.0, 0.0, f32::MAX; "errors")]
#[test_case(f32::NAN, 1.0, 0.0, 0.0; "not a number")]
#[test_case(-1.0, 1.0, 0.0, 0.0; "negative")]
fn impossible_generation_stats_are_ignored(tokens: f32, seconds: f32, squares: f32, errors: f32) {
    let mut rig = rig();
    let service = service_hash(WRITER);
    let sound = ServiceGenerationStats {
        service,
        tokens: 1000.0,
        seconds: 20.0,
        squares: 50_000.0,
        errors: 2000.0,
    };
    tell(&mut rig, 2, LoadGossip { paces: vec![sound], ..beat(2) });
    let before = rig.state.growth(WRITER);
    assert!((before.rate - 50.0).abs() < 1e-6, "{before:?}");
    let false_row = ServiceGenerationStats { service, tokens, seconds, squares, errors };
    tell(&mut rig, 3, LoadGossip { paces: vec![false_row], ..beat(1) });
    assert_eq!(rig.state.growth(WRITER), before);
}

/// Guards against an endpoint that looks full, and against sums from which one row took another.
#[test]
fn impossible_loads_are_ignored() {
    let mut rig = rig();
    let (key, endpoint) = endpoint(&rig, "d1");
    let load = |tokens, calls| EndpointLoad { endpoint, tokens, calls, tokens_left: 0 };
    tell(&mut rig, 2, beat(2).with_loads([load(u32::MAX, u32::MAX)]));
    tell(&mut rig, 3, beat(1).with_loads([load(3000, 2)]));
    tell(&mut rig, 2, beat(3));
    let sums = |rig: &Rig| {
        let endpoint = rig.state.directory.get(key).expect("listed");
        (endpoint.total_tokens(), endpoint.total_calls())
    };
    assert_eq!(sums(&rig), (3000, 2));
    tell(&mut rig, 2, beat(4).with_loads([load(u32::MAX, 1), load(1, u32::MAX)]));
    assert_eq!(sums(&rig), (3000, 2));
}

/// Guards against rows whose sums go beyond 32 bits: what is left of them is what they were.
#[test]
fn sums_of_large_loads_lose_nothing() {
    let mut rig = rig();
    let (key, _) = endpoint(&rig, "d1");
    let usage = Usage { calls: 1 << 31, tokens: 1 << 31, ..Usage::default() };
    for _ in 0..3 {
        rig.state.directory.add_peer_usage(key, usage);
    }
    rig.state.directory.remove_peer_usage(key, usage);
    rig.state.directory.remove_peer_usage(key, usage);
    let endpoint = rig.state.directory.get(key).expect("listed");
    assert_eq!((endpoint.total_tokens(), endpoint.total_calls()), (1 << 31, 1 << 31));
}

/// The same with a team that may take 100 calls a second.
fn rig_with_team() -> Rig {
    let quota = Quota { rate: 100.0, burst: 400.0, unit: QuotaUnit::Requests };
    let teams = Teams::default().with_team(Team::new(TEAM).with_quota(quota), [KEY]);
    let mut rig = rig();
    rig.state.tuning.max_confirmation_age = None;
    rig.configure(table(2).with_teams(teams));
    rig
}

/// Daemon 1 and a peer, of which the first or the second owns the team's quota.
fn rig_and_peer(owns: bool) -> (Rig, u8) {
    for n in 2..50 {
        let mut rig = rig_with_team();
        tell(&mut rig, 2, LoadGossip { leaving: true, ..beat(2) });
        for sequence in 1..15 {
            tell(&mut rig, n, beat(sequence));
            rig.pass_ms(1000);
        }
        let owner = rig.state.remote_owner(TeamId::of(TEAM).0, |_| true);
        if owner.is_none() == owns {
            rig.effects.clear();
            return (rig, n);
        }
    }
    unreachable!("each daemon owns some quotas");
}

/// Guards against an overflow that ends the process, and a quota that is gone for all.
#[test_case(&[i64::MAX]; "all")]
#[test_case(&[i64::MAX, i64::MIN]; "all and back")]
#[test_case(&[i64::MIN, i64::MAX]; "back and all")]
#[test_case(&[1 << 62]; "half of all")]
#[test_case(&[1 << 40]; "more than calls can take between two reports")]
fn an_impossible_use_of_a_quota_counts_as_none(sums: &[i64]) {
    let (mut rig, n) = rig_and_peer(true);
    for taken in sums {
        let team = TeamId::of(TEAM).0;
        let usage = QuotaUse { team, epoch: 1, taken: *taken, ..QuotaUse::default() };
        tell(&mut rig, n, LoadGossip { quota_uses: vec![usage], ..LoadGossip::default() });
    }
    rig.effects.clear();
    rig.call_with("/stock/1", Credential::Key(KEY));
    assert_eq!(rig.refusals(), []);
}

/// Guards against an overflow that ends the process, and a false sum that goes to the next owner.
#[test_case(i64::MIN; "the least sum")]
#[test_case(i64::MAX; "the greatest sum")]
#[test_case(-1_000_000; "less than was taken")]
fn an_acknowledgement_of_what_was_never_taken_is_ignored(taken: i64) {
    let (mut rig, n) = rig_and_peer(false);
    let team = TeamId::of(TEAM);
    rig.call_with("/stock/1", Credential::Key(KEY));
    rig.pass_ms(30);
    let epoch = rig.state.quotas.usage_mut(team, Duration::ZERO).epoch;
    let counted = Some(QuotaCounted { epoch, taken });
    let state = QuotaState { team: team.0, counted, ..QuotaState::default() };
    tell(&mut rig, n, LoadGossip { quota_states: vec![state], ..LoadGossip::default() });
    tell(&mut rig, n, LoadGossip { leaving: true, ..beat(99) });
    rig.call_with("/stock/1", Credential::Key(KEY));
    let usage = rig.state.quotas.usage_mut(team, Duration::ZERO);
    assert_eq!((usage.taken, usage.acknowledged, usage.owner), (1, 1, None));
    assert_eq!(rig.refusals(), []);
}

/// Guards against a team that is refused for weeks.
#[test]
fn a_wait_for_a_quota_is_bounded() {
    let (mut rig, n) = rig_and_peer(false);
    let team = TeamId::of(TEAM);
    let answer = Some(QuotaAnswer { ticket: 0, granted: false, wait: u32::MAX });
    let state = QuotaState { team: team.0, ask_for: u32::MAX, answer, ..QuotaState::default() };
    tell(&mut rig, n, LoadGossip { quota_states: vec![state], ..LoadGossip::default() });
    let now = rig.now();
    let usage = rig.state.quotas.usage_mut(team, now);
    assert!(usage.full_until <= now + Duration::from_secs(4), "{usage:?}");
    assert!(usage.ask_until <= now + Duration::from_secs(3), "{usage:?}");
}
