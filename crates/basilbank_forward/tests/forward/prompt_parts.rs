//! What accuses a part of prompts, what shows it innocent, and which ways calls with it are kept from.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::{
    event::{Liveness, ProxiedEnd},
    prelude::*,
    tuning::WRITING_TIME,
};
use basilbank_wire::{CrashReport, LoadGossip, QuarantinedCall};
use test_case::test_case;

use crate::rig::{Rig, held, model, numbered, plain, prefilled, prompt};

/// The part that all prompts begin with, and one that crashes endpoints.
const FIRST: u64 = 0xf1;
const BAD: u64 = 0xbad;

fn rig() -> Rig {
    let mut rig = numbered(1);
    let decode = (3..9).map(|n| model(&format!("d{n}"), n, Stage::Decode));
    rig.list([model("p1", 1, Stage::Prefill)].into_iter().chain(decode).collect());
    rig.feed(Event::gossip(
        peer(),
        LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() },
    ));
    rig.effects.clear();
    rig
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 7000))
}

/// A peer says something, and time passes until crashes count.
fn hear(rig: &mut Rig, gossip: LoadGossip) {
    let sequence = u64::try_from(rig.now().as_millis()).expect("small");
    rig.feed(Event::gossip(peer(), LoadGossip { incarnation: 1, sequence, ..gossip }));
    rig.pass_ms(700);
}

fn verdict(part: u64, ago: u32) -> LoadGossip {
    let told = QuarantinedCall { digest: part, left: 3000, is_part: true, ago };
    LoadGossip { quarantined: vec![told], ..LoadGossip::default() }
}

fn crash(endpoint: u32, parts: &[u64]) -> LoadGossip {
    let digest = 1000 + u64::from(endpoint);
    let report =
        CrashReport { endpoint, digest, ran: 60, parts: parts.to_vec(), ..CrashReport::default() };
    LoadGossip { crashes: vec![report], ..LoadGossip::default() }
}

fn draft(rig: &mut Rig, path: &str, parts: &[u64]) -> RequestId {
    let prompt = Prompt { parts: parts.to_vec(), ..prompt(1000) };
    rig.call(path, 14_000, Some(prompt))
}

/// A draft whose stream has begun.
fn streaming(rig: &mut Rig, parts: &[u64]) -> (RequestId, Attempt) {
    let id = draft(rig, "/once/1", parts);
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    let decode = rig.start();
    rig.came(id, decode.number, Outcome::Streaming);
    (id, decode)
}

/// A draft with these parts is written on.
fn write_on(rig: &mut Rig, parts: &[u64]) {
    let (request, decode) = streaming(rig, parts);
    rig.feed(Event::WroteOn { request, attempt: decode.number });
    rig.came(request, decode.number, Outcome::Finished);
    rig.effects.clear();
}

fn is_kept(rig: &Rig, part: u64) -> bool {
    rig.state.quarantine.time_left(Cause::Part(part), rig.now()).is_some()
}

/// The parts that the daemon reports to peers of calls at crashed endpoints.
fn reported_parts(rig: &mut Rig) -> Vec<Vec<u64>> {
    rig.pass_ms(200);
    let reports = rig.beats().into_iter().flat_map(|(_, beat)| beat.crashes);
    let mut parts: Vec<_> = reports.map(|report| report.parts).collect();
    parts.dedup();
    parts
}

fn break_off(rig: &mut Rig, id: RequestId, attempt: &Attempt) {
    rig.came(id, attempt.number, Outcome::Broken(Damage::CutOff));
    rig.feed(Event::Probed { endpoint: attempt.target.endpoint, liveness: Liveness::Unreachable });
}

#[test]
fn calls_that_have_only_a_part_in_common_accuse_it_and_nothing_else() {
    let mut rig = rig();
    write_on(&mut rig, &[FIRST, 20, 1]);
    for n in 1..=4 {
        hear(&mut rig, crash(n, &[FIRST, BAD, 20 + u64::from(n % 2), 100 + u64::from(n)]));
        write_on(&mut rig, &[FIRST, 20, 1]);
    }
    let kept: Vec<_> =
        [FIRST, BAD, 20, 21].into_iter().filter(|part| is_kept(&rig, *part)).collect();
    assert_eq!(kept, [BAD]);
    draft(&mut rig, "/draft/1", &[FIRST, BAD, 22, 7]);
    assert_eq!(rig.refusals(), [Refusal::Quarantined]);
    draft(&mut rig, "/draft/1", &[FIRST, 20, 7]);
    assert_eq!(rig.starts().len(), 1);
}

#[test]
fn parts_that_were_together_in_all_crashes_so_far_are_told_apart_by_the_next() {
    let mut rig = rig();
    for n in 1..=4 {
        hear(&mut rig, crash(n, &[FIRST, BAD, if n < 4 { 20 } else { 21 }]));
        write_on(&mut rig, &[FIRST, 30]);
        assert_eq!((is_kept(&rig, BAD), is_kept(&rig, 20)), (n == 4, false), "crash {n}");
    }
}

#[test]
fn a_part_that_was_sound_is_not_blamed_in_place_of_one_that_goes_with_it() {
    let mut rig = rig();
    write_on(&mut rig, &[FIRST, 20]);
    rig.pass_ms(1000);
    for n in 1..=6 {
        let parts: &[u64] = if n == 1 { &[FIRST, 20] } else { &[FIRST, BAD, 20] };
        hear(&mut rig, crash(n, parts));
    }
    let kept = [FIRST, BAD, 20].map(|part| is_kept(&rig, part));
    assert_eq!(kept, [false, true, false]);
}

#[test]
fn a_part_of_most_prompts_is_not_blamed_where_nothing_shows_it_sound() {
    let mut rig = rig();
    for n in 0..8 {
        let id = draft(&mut rig, "/draft/1", &[FIRST, 20, 900 + n]);
        rig.feed(Event::CallerLeft(id));
    }
    for n in 1..=9 {
        hear(&mut rig, crash(n, &[FIRST, 20, 100 + u64::from(n)]));
    }
    hear(&mut rig, verdict(20, 0));
    assert!(!is_kept(&rig, FIRST) && !is_kept(&rig, 20));
}

#[test]
fn a_daemon_that_has_seen_no_prompts_does_not_blame_the_first_part() {
    let mut rig = rig();
    for n in 1..=9 {
        hear(&mut rig, crash(n, &[FIRST, BAD, 100 + u64::from(n)]));
    }
    assert!(!is_kept(&rig, FIRST) && is_kept(&rig, BAD));
}

#[test]
fn a_repeated_call_that_is_kept_from_endpoints_does_not_hide_its_part() {
    let mut rig = rig();
    for endpoint in 1..=3 {
        let report = CrashReport {
            endpoint,
            digest: 7,
            ran: 60,
            parts: vec![FIRST, BAD, 20],
            ..CrashReport::default()
        };
        hear(&mut rig, LoadGossip { crashes: vec![report], ..LoadGossip::default() });
        write_on(&mut rig, &[FIRST, 30]);
    }
    assert!(rig.state.quarantine.time_left(Digest(7), rig.now()).is_some() && !is_kept(&rig, BAD));
    hear(&mut rig, crash(4, &[FIRST, BAD, 21]));
    assert!(is_kept(&rig, BAD) && !is_kept(&rig, FIRST));
}

#[test]
fn a_prompt_that_was_written_on_is_no_evidence_against_its_parts() {
    let mut rig = rig();
    let (id, decode) = streaming(&mut rig, &[FIRST, 20]);
    rig.feed(Event::WroteOn { request: id, attempt: decode.number });
    rig.effects.clear();
    break_off(&mut rig, id, &decode);
    assert_eq!(reported_parts(&mut rig), [Vec::new()]);
}

#[test]
fn a_prompt_that_just_began_accuses_its_parts() {
    let mut rig = rig();
    let (id, decode) = streaming(&mut rig, &[FIRST, 20]);
    rig.effects.clear();
    break_off(&mut rig, id, &decode);
    assert_eq!(reported_parts(&mut rig), [vec![FIRST, 20]]);
}

#[test_case(false, &[vec![FIRST, BAD]]; "that just began")]
#[test_case(true, &[Vec::new()]; "that was written on")]
fn a_peers_call_accuses_the_parts_of_its_prompt(wrote_on: bool, parts: &[Vec<u64>]) {
    let mut rig = rig();
    let endpoint = rig.state.directory.listed().next().expect("an endpoint").0;
    let traits = Some(SharedTraits { digest: Digest(7), parts: vec![FIRST, BAD] });
    let (duration, end) = (Duration::from_millis(60), ProxiedEnd::Broken);
    rig.feed(Event::ProxiedCallStarted);
    rig.feed(Event::ProxiedCallEnded { endpoint, traits, wrote_on, duration, end });
    rig.feed(Event::Probed { endpoint, liveness: Liveness::Unreachable });
    assert_eq!(reported_parts(&mut rig), parts);
}

#[test_case(false, true; "whose endpoint lives on")]
#[test_case(true, false; "whose endpoint crashes")]
fn a_short_answer_is_a_proof_if_its_endpoint_lives_on(crashes: bool, proves: bool) {
    let mut rig = rig();
    hear(&mut rig, crash(1, &[BAD]));
    hear(&mut rig, crash(2, &[BAD]));
    let (id, decode) = streaming(&mut rig, &[BAD]);
    let (other, beside) = streaming(&mut rig, &[FIRST, 20]);
    rig.came(id, decode.number, Outcome::Finished);
    if crashes {
        let beside = Attempt { target: decode.target, ..beside };
        rig.feed(Event::ProxiedCallStarted);
        rig.feed(Event::ProxiedCallEnded {
            endpoint: beside.target.endpoint,
            traits: Some(SharedTraits { digest: Digest(8), parts: vec![FIRST] }),
            wrote_on: false,
            duration: WRITING_TIME,
            end: ProxiedEnd::Broken,
        });
    }
    rig.feed(Event::CallerLeft(other));
    rig.pass_ms(1500);
    hear(&mut rig, crash(3, &[BAD]));
    assert_eq!(is_kept(&rig, BAD), !proves);
}

#[test]
fn a_proof_releases_a_part_everywhere() {
    let mut rig = rig();
    let (id, decode) = streaming(&mut rig, &[FIRST, 20]);
    hear(&mut rig, verdict(20, 0));
    assert!(is_kept(&rig, 20));
    rig.effects.clear();
    rig.feed(Event::WroteOn { request: id, attempt: decode.number });
    assert!(!is_kept(&rig, 20));
    rig.pass_ms(200);
    let cleared: Vec<_> =
        rig.beats().into_iter().flat_map(|(_, beat)| beat.cleared_parts).collect();
    assert!(cleared.contains(&20) && !cleared.contains(&FIRST), "{cleared:?}");
    hear(&mut rig, verdict(20, 2000));
    assert!(!is_kept(&rig, 20), "an older verdict came back");
}

#[test]
fn a_daemon_that_has_just_seen_a_part_to_be_sound_goes_by_its_own_evidence() {
    let mut rig = rig();
    write_on(&mut rig, &[FIRST, 20]);
    rig.pass_ms(5000);
    hear(&mut rig, verdict(20, 0));
    assert!(!is_kept(&rig, 20));
    hear(&mut rig, verdict(21, 0));
    assert!(is_kept(&rig, 21));
    for n in 1..=5 {
        hear(&mut rig, crash(n, &[FIRST, 20, 200 + u64::from(n)]));
    }
    assert!(is_kept(&rig, 20), "it has become bad");
}

#[test]
fn a_prompt_that_was_read_is_not_sent_on_once_its_part_is_known() {
    let mut rig = rig();
    let id = draft(&mut rig, "/draft/1", &[FIRST, BAD, 7]);
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.feed(Event::gossip(peer(), LoadGossip { incarnation: 1, sequence: 9, ..verdict(BAD, 0) }));
    rig.came(id, prefill.number, prefilled());
    assert_eq!((rig.starts().len(), rig.refusals()), (0, vec![Refusal::Quarantined]));
}

#[test]
fn a_stream_does_not_go_on_elsewhere_once_its_part_is_known() {
    let mut rig = rig();
    let id = draft(&mut rig, "/draft/1", &[FIRST, BAD, 7]);
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    let decode = rig.start();
    rig.feed(Event::gossip(peer(), LoadGossip { incarnation: 1, sequence: 9, ..verdict(BAD, 0) }));
    rig.came(id, decode.number, Outcome::Streaming);
    rig.came(id, decode.number, Outcome::Broken(Damage::CutOff));
    rig.pass_ms(2000);
    assert_eq!(rig.starts().len(), 0);
}

#[test]
fn a_call_that_is_kept_from_endpoints_gets_no_second_copy() {
    let mut rig = rig();
    rig.list(vec![plain("e1", 21), plain("e2", 22)]);
    let id = rig.call("/sheet/1", 2000, None);
    assert_eq!(rig.starts().len(), 1);
    let told = QuarantinedCall { digest: id.0, left: 3000, ..QuarantinedCall::default() };
    hear(&mut rig, LoadGossip { quarantined: vec![told], ..LoadGossip::default() });
    rig.pass_ms(1000);
    assert_eq!(rig.starts().len(), 0);
}

#[test]
fn calls_that_wait_are_refused_as_soon_as_their_part_is_known() {
    let mut rig = rig();
    for n in 0..12 {
        let middle = if n % 2 == 0 { BAD } else { 500 + n };
        let prompt = Prompt { parts: vec![FIRST, middle, n], ..prompt(9000) };
        rig.call("/draft/1", 14_000, Some(prompt));
    }
    let waiting = rig.state.waiting.len();
    assert!(0 < waiting);
    rig.effects.clear();
    rig.feed(Event::gossip(peer(), LoadGossip { incarnation: 1, sequence: 9, ..verdict(BAD, 0) }));
    let refused = rig.refusals().len();
    assert!(0 < refused && refused + rig.state.waiting.len() == waiting, "{refused} of {waiting}");
}

#[test]
fn a_part_is_kept_from_endpoints_until_an_hour_after_it_came_last() {
    let mut rig = rig();
    hear(&mut rig, verdict(BAD, 0));
    rig.pass(Duration::from_secs(2000));
    draft(&mut rig, "/draft/1", &[FIRST, BAD, 7]);
    assert_eq!(rig.refusals(), [Refusal::Quarantined]);
    rig.pass(Duration::from_secs(3590));
    assert!(is_kept(&rig, BAD));
    rig.pass(Duration::from_secs(20));
    draft(&mut rig, "/draft/1", &[FIRST, BAD, 8]);
    assert_eq!(rig.starts().len(), 1);
}

#[test]
fn a_daemon_that_starts_later_hears_of_parts_as_well() {
    let mut rig = rig();
    hear(&mut rig, verdict(BAD, 0));
    rig.pass_ms(10_000);
    rig.beats();
    let third = SocketAddr::from(([10, 0, 0, 3], 7000));
    let greeting = LoadGossip { incarnation: 1, sequence: 1, ..LoadGossip::default() };
    rig.feed(Event::gossip(third, greeting));
    let beats = rig.beats();
    let told = beats.iter().filter(|(to, _)| *to == third).flat_map(|(_, beat)| &beat.quarantined);
    let told: Vec<_> = told.map(|told| (told.digest, told.is_part)).collect();
    assert!(told.contains(&(BAD, true)), "{told:?}");
}
