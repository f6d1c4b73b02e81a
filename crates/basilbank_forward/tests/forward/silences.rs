//! Endpoints fall silent, and write on or not.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{BUSY, Rig, WRITER, held, model, plain, prefilled, prompt, route, table};

/// Silence after which an attempt is reported for the first time.
const NOTICED: Duration = Duration::from_millis(1150);

/// Longest time until a silent attempt is looked at again.
const NEXT_LOOK_MS: u64 = 150;

fn decode_rig(endpoints: u16) -> Rig {
    let mut rig = Rig::new();
    let decode = (0..endpoints).map(|n| model(&format!("d{n}"), 10 + n, Stage::Decode));
    rig.list(decode.chain([model("p1", 1, Stage::Prefill)]).collect());
    // Calls that earn some retry budget.
    for _ in 0..40 {
        let id = rig.call("/draft/1", 14_000, Some(prompt(100)));
        rig.feed(Event::CallerLeft(id));
    }
    rig.effects.clear();
    rig
}

fn without_budget(mut rig: Rig) -> Rig {
    rig.state.tuning.retry_slack = 0.0;
    rig.state.tuning.retry_ratio = 0.0;
    rig
}

/// A completion whose decode has been sent.
fn decoding(rig: &mut Rig, path: &str) -> (RequestId, Attempt) {
    let id = rig.call(path, 14_000, Some(prompt(1000)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    let decode = rig.start();
    (id, decode)
}

/// A completion whose stream has begun.
fn streaming(rig: &mut Rig, path: &str) -> (RequestId, Attempt) {
    let (id, decode) = decoding(rig, path);
    rig.came(id, decode.number, Outcome::Streaming);
    rig.effects.clear();
    (id, decode)
}

fn fall_silent(rig: &mut Rig, request: RequestId, attempt: u32) {
    rig.pass(NOTICED);
    rig.effects.clear();
    rig.feed(Event::AttemptSilent { request, attempt, silent_for: NOTICED });
}

fn resume(rig: &mut Rig, request: RequestId, attempt: u32) {
    rig.feed(Event::AttemptResumed { request, attempt });
}

fn is_stopped(rig: &Rig, number: u32) -> bool {
    rig.effects.iter().any(|e| matches!(e, Effect::Stop { attempt, .. } if *attempt == number))
}

fn is_ended(rig: &Rig) -> bool {
    let ends = |e: &Effect| matches!(e, Effect::AbortStream { .. } | Effect::Refuse { .. });
    rig.effects.iter().any(ends)
}

fn is_released(rig: &Rig) -> bool {
    rig.effects.iter().any(|e| matches!(e, Effect::ReleaseHold { .. }))
}

fn log_lines(rig: &Rig, name: &str) -> Vec<Vec<(&'static str, String)>> {
    let lines = rig.effects.iter().filter_map(|effect| match effect {
        Effect::Log(line) if line.name == name => Some(line.pairs.clone()),
        _ => None,
    });
    lines.collect()
}

fn running_calls(rig: &Rig) -> u32 {
    rig.state.directory.in_service("writer").map(|(_, e)| e.total_calls()).sum()
}

fn budget(rig: &mut Rig) -> f64 {
    let (now, daemons) = (rig.now(), rig.state.slack_sharers(rig.now()));
    let tuning = rig.state.tuning.clone();
    rig.state.retry_budgets.get_mut("writer").expect("calls").available(now, &tuning, daemons)
}

/// Guards against a silent attempt that is closed before its successor can take over.
#[test]
fn a_silent_stream_is_stopped_as_its_successor_is_sent() {
    let mut rig = decode_rig(2);
    let (id, decode) = streaming(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    assert!(!is_stopped(&rig, decode.number) && !is_ended(&rig));
    let hold = rig.start();
    assert_ne!(hold.target.endpoint, decode.target.endpoint);
    let before = budget(&mut rig);
    rig.came(id, hold.number, held());
    let at = |wanted: fn(&Effect) -> bool| rig.effects.iter().position(wanted);
    let stop = at(|e| matches!(e, Effect::Stop { .. })).expect("a stop");
    let start = at(|e| matches!(e, Effect::Start { .. })).expect("a start");
    assert!(stop < start && is_stopped(&rig, decode.number), "{:?}", rig.effects);
    assert!(budget(&mut rig) <= before - 1.0);
    assert!(matches!(rig.start().op, Op::Stream { hold: Some(_) }));
}

/// Guards against two endpoints that work on one completion, where two may answer a plain call.
#[test]
fn a_silent_idempotent_completion_is_stopped_as_its_successor_is_sent() {
    let mut rig = decode_rig(2);
    let pages = vec![route("/page/", RouteKind::Idempotent, WRITER, 2)];
    rig.configure(table(2).with_routes(pages));
    let (id, decode) = decoding(&mut rig, "/page/1");
    fall_silent(&mut rig, id, decode.number);
    let hold = rig.start();
    rig.came(id, hold.number, held());
    assert!(is_stopped(&rig, decode.number));
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against a stream that is cut, or moved, although its endpoint writes on.
#[test_case(true; "the slot is held")]
#[test_case(false; "the slot is asked for")]
fn a_stream_that_goes_on_stays_where_it_is(is_held: bool) {
    let mut rig = decode_rig(2);
    let (id, decode) = streaming(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    let hold = rig.start();
    let before = budget(&mut rig);
    if is_held {
        // The budget is used up by others meanwhile.
        rig.state.tuning.retry_ratio = 0.0;
        rig.state.tuning.retry_slack = 0.0;
        rig.came(id, hold.number, held());
        resume(&mut rig, id, decode.number);
    } else {
        resume(&mut rig, id, decode.number);
        rig.came(id, hold.number, held());
        assert!(budget(&mut rig) >= before);
    }
    assert!(rig.starts().is_empty());
    assert!(is_released(&rig), "{:?}", rig.effects);
    assert!(!is_stopped(&rig, decode.number) && !is_ended(&rig));
    assert_eq!(log_lines(&rig, "silence_ended").len(), 1);
    rig.pass_ms(1000);
    assert!(rig.starts().is_empty());
    rig.came(id, decode.number, Outcome::Finished);
    assert!(rig.state.requests.is_empty());
    assert_eq!(running_calls(&rig), 0);
}

/// Guards against streams that are cut since nothing can take them over: no budget, no other endpoint,
/// no attempt left.
#[test_case(2, "/draft/1", false; "no budget")]
#[test_case(1, "/draft/1", true; "no other endpoint")]
#[test_case(2, "/once/1", true; "not repeatable")]
fn a_silent_stream_that_nothing_can_take_over_waits(endpoints: u16, path: &str, has_budget: bool) {
    let mut rig = decode_rig(endpoints);
    if !has_budget {
        rig = without_budget(rig);
    }
    let (id, decode) = streaming(&mut rig, path);
    for _ in 0..6 {
        fall_silent(&mut rig, id, decode.number);
        assert!(rig.starts().is_empty());
        assert!(!is_stopped(&rig, decode.number) && !is_ended(&rig), "{:?}", rig.effects);
    }
    resume(&mut rig, id, decode.number);
    rig.came(id, decode.number, Outcome::Finished);
    assert!(rig.state.requests.is_empty());
}

/// Guards against a silent stream that nobody looks at again.
#[test]
fn a_silent_stream_is_taken_over_once_there_is_budget_and_an_endpoint() {
    let mut rig = without_budget(decode_rig(1));
    let (id, decode) = streaming(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    rig.state.tuning.retry_slack = 10_000.0;
    rig.pass_ms(NEXT_LOOK_MS);
    assert!(rig.starts().is_empty(), "there is no other endpoint");
    rig.list(vec![model("d9", 99, Stage::Decode)]);
    rig.pass_ms(NEXT_LOOK_MS);
    assert_eq!(rig.start().target.instance, "d9");
    assert!(!is_stopped(&rig, decode.number));
}

/// Guards against more slots that are held for silent streams than the budget lets go on.
#[test]
fn no_more_slots_are_asked_for_than_the_budget_allows() {
    let mut rig = without_budget(decode_rig(4));
    let streams: Vec<_> = (0..6).map(|_| streaming(&mut rig, "/draft/1")).collect();
    rig.state.tuning.retry_slack = 2.5 * 640.0;
    rig.pass(NOTICED);
    rig.effects.clear();
    for (request, attempt) in &streams {
        let (request, attempt) = (*request, attempt.number);
        rig.feed(Event::AttemptSilent { request, attempt, silent_for: NOTICED });
    }
    assert_eq!(rig.starts().len(), 2);
}

/// Guards against an endpoint that is silent itself and gets a stream of another one.
#[test]
fn a_silent_stream_does_not_go_to_another_silent_endpoint() {
    let mut rig = decode_rig(2);
    let streams: Vec<_> = (0..2).map(|_| streaming(&mut rig, "/draft/1")).collect();
    let targets: Vec<_> = streams.iter().map(|(_, decode)| decode.target.endpoint).collect();
    assert_ne!(targets[0], targets[1]);
    rig.pass(NOTICED);
    rig.effects.clear();
    let silent = |(request, decode): &(RequestId, Attempt)| Event::AttemptSilent {
        request: *request,
        attempt: decode.number,
        silent_for: NOTICED,
    };
    rig.feed(silent(&streams[0]));
    rig.feed(silent(&streams[1]));
    // The first one's slot is asked for before the second endpoint's silence is known.
    let holds = rig.starts();
    assert!(holds.iter().all(|hold| hold.target.endpoint == targets[1]), "{holds:?}");
    holds.iter().for_each(|hold| rig.came(streams[0].0, hold.number, Outcome::TimedOut));
    rig.pass_ms(500);
    assert!(rig.starts().is_empty());
    assert!(!is_ended(&rig));
    assert!(streams.iter().all(|(_, decode)| !is_stopped(&rig, decode.number)));
}

/// Guards against a stream that is refused before its first event because its endpoint is silent.
#[test_case(true; "it can go on elsewhere")]
#[test_case(false; "it can't")]
fn a_head_that_is_awaited_from_a_silent_endpoint(has_budget: bool) {
    let mut rig = decode_rig(2);
    let (id, decode) = decoding(&mut rig, "/draft/1");
    if !has_budget {
        rig = without_budget(rig);
    }
    fall_silent(&mut rig, id, decode.number);
    assert!(!is_stopped(&rig, decode.number) && !is_ended(&rig));
    if has_budget {
        let hold = rig.start();
        rig.came(id, hold.number, held());
        assert!(is_stopped(&rig, decode.number));
        assert!(matches!(rig.start().op, Op::Stream { hold: Some(_) }));
        return;
    }
    assert!(rig.starts().is_empty());
    resume(&mut rig, id, decode.number);
    rig.came(id, decode.number, Outcome::Streaming);
    assert!(rig.delivered());
}

/// Guards against a slot that is lost when the head comes after all.
#[test]
fn a_slot_for_a_successor_is_given_back_when_the_head_comes() {
    let mut rig = decode_rig(2);
    let (id, decode) = decoding(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    let hold = rig.start();
    rig.came(id, decode.number, Outcome::Streaming);
    assert!(rig.delivered());
    rig.came(id, hold.number, held());
    assert!(is_released(&rig));
    assert!(rig.starts().is_empty());
    rig.came(id, decode.number, Outcome::Finished);
    assert_eq!(running_calls(&rig), 0);
}

/// Guards against a completion that is given up because the endpoint that reads its prompt is silent.
#[test_case(true; "the decode endpoint can read it")]
#[test_case(false; "no budget")]
fn a_prefill_at_a_silent_endpoint(has_budget: bool) {
    let mut rig = decode_rig(1);
    let id = rig.call("/once/1", 14_000, Some(prompt(1000)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    if !has_budget {
        rig = without_budget(rig);
    }
    fall_silent(&mut rig, id, prefill.number);
    if has_budget {
        assert!(is_stopped(&rig, prefill.number));
        assert!(matches!(rig.start().op, Op::Stream { hold: Some(_) }));
        return;
    }
    assert!(rig.starts().is_empty() && !is_stopped(&rig, prefill.number) && !is_ended(&rig));
    resume(&mut rig, id, prefill.number);
    rig.came(id, prefill.number, prefilled());
    assert!(matches!(rig.start().op, Op::Decode { .. }));
}

/// Guards against a call that may run once and is sent again, or given up, because of a silence.
#[test]
fn a_plain_call_that_may_run_once_waits_for_its_silent_endpoint() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    let id = rig.call("/stock/1", 4000, None);
    let call = rig.start();
    fall_silent(&mut rig, id, call.number);
    fall_silent(&mut rig, id, call.number);
    assert!(rig.starts().is_empty() && !is_stopped(&rig, call.number) && !is_ended(&rig));
    resume(&mut rig, id, call.number);
    rig.came(id, call.number, Outcome::Answered { status: 200 });
    assert!(rig.delivered());
}

/// Guards against a silent attempt that outlives the caller's time.
#[test]
fn a_silent_attempt_ends_with_the_callers_time() {
    let mut rig = without_budget(decode_rig(2));
    let (id, decode) = streaming(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    rig.pass(Duration::from_secs(14));
    assert!(is_stopped(&rig, decode.number) && is_ended(&rig));
    let ends = log_lines(&rig, "silence_ended");
    assert!(ends[0].contains(&("end", "timed_out".to_owned())), "{ends:?}");
}

/// Guards against a stream that waits for an endpoint whose process is gone.
#[test]
fn a_silent_stream_whose_connection_breaks_goes_on_as_any_broken_one() {
    let mut rig = decode_rig(2);
    let (id, decode) = streaming(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    let hold = rig.start();
    rig.came(id, decode.number, Outcome::Broken(Damage::CutOff));
    assert!(!is_ended(&rig));
    let ends = log_lines(&rig, "silence_ended");
    assert!(ends[0].contains(&("end", "broken".to_owned())), "{ends:?}");
    rig.came(id, hold.number, held());
    assert!(matches!(rig.start().op, Op::Stream { hold: Some(_) }));
}

/// Guards against a stream that is cut since the only other endpoint is full.
#[test]
fn a_silent_stream_waits_for_room_and_loses_nothing_meanwhile() {
    let mut rig = decode_rig(2);
    let (id, decode) = streaming(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    for _ in 0..8 {
        for hold in rig.starts() {
            assert!(matches!(hold.op, Op::Hold { .. }));
            rig.came(id, hold.number, BUSY);
        }
        rig.pass_ms(200);
    }
    assert!(!is_stopped(&rig, decode.number) && !is_ended(&rig));
    resume(&mut rig, id, decode.number);
    rig.came(id, decode.number, Outcome::Finished);
    assert!(rig.state.requests.is_empty());
}

/// Leaves budget for one extra call.
fn with_one_extra_call(rig: &mut Rig) {
    rig.state.tuning.retry_ratio = 0.0;
    let (now, mut tuning) = (rig.now(), rig.state.tuning.clone());
    let sharers = rig.state.slack_sharers(now);
    let budget = rig.state.retry_budgets.get_mut(WRITER).expect("calls came");
    tuning.retry_slack = 0.0;
    while budget.available(now, &tuning, sharers) < 1.0 {
        tuning.retry_slack += 1.0;
    }
    rig.state.tuning.retry_slack = tuning.retry_slack;
}

#[test_case(BUSY; "it is full")]
#[test_case(Outcome::Unreachable; "it is not reached")]
#[test_case(Outcome::NotRun(NotRun::WrongInstance); "it was replaced")]
fn a_stream_waits_when_its_successor_did_not_run_and_the_budget_is_used_up(outcome: Outcome) {
    let mut rig = decode_rig(3);
    let (id, decode) = streaming(&mut rig, "/draft/1");
    with_one_extra_call(&mut rig);
    fall_silent(&mut rig, id, decode.number);
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let successor = rig.start();
    rig.came(id, successor.number, outcome);
    for hold in rig.starts() {
        rig.came(id, hold.number, held());
    }
    rig.pass_ms(NEXT_LOOK_MS);
    assert!(!is_ended(&rig), "{:?}", rig.effects);
    rig.state.tuning.retry_slack *= 10.0;
    rig.pass_ms(2 * NEXT_LOOK_MS);
    let hold = rig.starts().pop().expect("another endpoint is asked");
    rig.came(id, hold.number, held());
    assert!(rig.starts().iter().any(|attempt| matches!(attempt.op, Op::Stream { .. })));
}

/// Symptom: a stream that could still be taken over is cut, since four peers declined to make the call.
#[test]
fn a_stream_waits_when_peers_decline_to_make_its_successor() {
    let mut rig = decode_rig(3);
    let (id, decode) = streaming(&mut rig, "/draft/1");
    fall_silent(&mut rig, id, decode.number);
    let mut declined = 0;
    while declined < 6 {
        for attempt in rig.starts() {
            let is_hold = matches!(attempt.op, Op::Hold { .. });
            declined += u32::from(!is_hold);
            let failure = Outcome::NotProxied(NotProxied::Declined);
            rig.came(id, attempt.number, if is_hold { held() } else { failure });
        }
        assert!(!is_ended(&rig), "declined {declined} times");
        rig.pass_ms(10);
    }
}

/// A small generator of random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

/// Lets something happen to a random attempt. Returns whether the attempt has ended.
fn happen(rig: &mut Rig, random: &mut Random, id: RequestId, attempt: &Attempt) -> bool {
    let is_hold = matches!(attempt.op, Op::Hold { .. });
    let outcome = match random.below(10) {
        0..=2 if !is_hold => {
            let (request, attempt) = (id, attempt.number);
            rig.feed(Event::AttemptSilent { request, attempt, silent_for: NOTICED });
            return false;
        }
        0 | 1 => BUSY,
        3 => Outcome::Broken(Damage::CutOff),
        4 => Outcome::Unreachable,
        5 if !is_hold => {
            resume(rig, id, attempt.number);
            return false;
        }
        _ if is_hold => held(),
        _ if matches!(attempt.op, Op::Prefill) => prefilled(),
        _ => Outcome::Finished,
    };
    rig.came(id, attempt.number, outcome);
    true
}

/// A request that an endpoint serves would be given up as one that waits too long.
#[test_case(1, 150)]
#[test_case(1001, 150)]
fn a_request_that_an_endpoint_serves_does_not_wait(from: u64, seeds: u64) {
    for seed in from..from + seeds {
        let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        let mut rig = decode_rig(4);
        let mut running: Vec<(RequestId, Attempt)> = Vec::new();
        for step in 0..400 {
            match random.below(10) {
                0 | 1 => {
                    let tokens = 100 + u32::try_from(random.below(1500)).expect("it is small");
                    let path = if random.below(2) == 0 { "/draft/1" } else { "/once/1" };
                    rig.call(path, 3000 + random.below(9000), Some(prompt(tokens)));
                }
                2 => rig.pass_ms(random.below(300)),
                _ if running.is_empty() => rig.pass_ms(50),
                _ => {
                    let index = random.below(running.len() as u64) as usize;
                    let (id, attempt) = running[index].clone();
                    if happen(&mut rig, &mut random, id, &attempt) {
                        running.remove(index);
                    }
                }
            }
            for effect in std::mem::take(&mut rig.effects) {
                match effect {
                    Effect::Start { request, attempt } => running.push((request, attempt)),
                    Effect::Stop { request, attempt } => {
                        running.retain(|(id, known)| (*id, known.number) != (request, attempt));
                    }
                    _ => {}
                }
            }
            for id in &rig.state.waiting {
                let request = rig.state.requests.get(id);
                let is_served = request.is_some_and(|request| request.has_live_attempt());
                assert!(!is_served, "seed {seed}, step {step}: {id:?}");
            }
        }
    }
}
