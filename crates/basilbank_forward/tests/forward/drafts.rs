//! Drafts: a slot, the prefill, the decode.

use basilbank_forward::{event::Liveness, prelude::*};
use test_case::test_case;

use crate::rig::{BUSY, Rig, held, model, prefilled, prompt};

/// A daemon with two prefill and two decode endpoints, and calls enough for some retries.
fn rig() -> Rig {
    let mut rig = Rig::new();
    rig.list(vec![
        model("p1", 1, Stage::Prefill),
        model("p2", 2, Stage::Prefill),
        model("d1", 3, Stage::Decode),
        model("d2", 4, Stage::Decode),
    ]);
    for _ in 0..40 {
        let id = rig.call("/draft/1", 14_000, Some(prompt(100)));
        rig.feed(Event::CallerLeft(id));
    }
    rig.effects.clear();
    rig
}

fn draft(rig: &mut Rig, path: &str, tokens: u32) -> RequestId {
    rig.call(path, 14_000, Some(prompt(tokens)))
}

/// A draft whose slot is held.
fn held_draft(rig: &mut Rig, path: &str) -> (RequestId, Attempt) {
    let id = draft(rig, path, 1000);
    let hold = rig.start();
    rig.came(id, hold.number, held());
    (id, hold)
}

/// A draft whose prompt has been read, and whose decode is under way.
fn decoding_draft(rig: &mut Rig, path: &str) -> (RequestId, Attempt) {
    let (id, _) = held_draft(rig, path);
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    let decode = rig.start();
    (id, decode)
}

#[test]
fn a_slot_comes_before_the_prefill_and_the_decode_uses_both() {
    let mut rig = rig();
    let id = draft(&mut rig, "/draft/1", 1000);
    let hold = rig.start();
    assert!(matches!(hold.op, Op::Hold { .. }));
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    assert_eq!(prefill.op, Op::Prefill);
    rig.came(id, prefill.number, prefilled());
    let decode = rig.start();
    assert_eq!(decode.target, hold.target);
    let Op::Decode { source, handle, hold } = decode.op else { panic!("{:?}", decode.op) };
    assert_eq!((source, handle.as_str()), (prefill.target.addr, "kv-1"));
    assert_eq!(hold.as_deref(), Some("hold-1"));
    rig.came(id, decode.number, Outcome::Streaming);
    assert!(rig.delivered());
    rig.came(id, decode.number, Outcome::Finished);
    assert!(rig.state.requests.is_empty());
}

/// Symptom: prompts were read in vain and the drafts refused at once after it.
/// Sequence: a prefill endpoint refused the prompt, another one read it, and then the draft was given
/// up before its decode.
/// Cause: the second prefill used up the only attempt of the route, though the first had not run.
#[test]
fn a_refused_prefill_leaves_the_attempt_to_the_decode() {
    let mut rig = rig();
    let (id, _) = held_draft(&mut rig, "/once/1");
    let first = rig.start();
    rig.came(id, first.number, BUSY);
    let second = rig.start();
    assert_eq!(second.op, Op::Prefill);
    assert_ne!(second.target.endpoint, first.target.endpoint);
    rig.came(id, second.number, prefilled());
    assert!(matches!(rig.start().op, Op::Decode { .. }));
}

/// Symptom: as above, for a stream that broke off.
/// Sequence: a resumable stream broke, its prompt was read again, and the draft given up.
/// Cause: the second prefill and the decode after it count as one attempt each.
#[test]
fn a_broken_stream_goes_on_at_a_decode_endpoint_that_reads_the_prompt() {
    let mut rig = rig();
    let (id, decode) = decoding_draft(&mut rig, "/draft/1");
    rig.came(id, decode.number, Outcome::Streaming);
    rig.came(id, decode.number, Outcome::Broken(Damage::CutOff));
    let hold = rig.start();
    assert_ne!(hold.target.endpoint, decode.target.endpoint);
    rig.came(id, hold.number, held());
    assert!(matches!(rig.start().op, Op::Stream { hold: Some(_) }));
}

#[test]
fn a_stream_that_may_not_be_resumed_is_cut_when_it_breaks() {
    let mut rig = rig();
    let (id, decode) = decoding_draft(&mut rig, "/once/1");
    rig.came(id, decode.number, Outcome::Streaming);
    rig.came(id, decode.number, Outcome::Broken(Damage::CutOff));
    assert!(rig.starts().is_empty());
    assert!(rig.effects.iter().any(|e| matches!(e, Effect::AbortStream { .. })));
}

/// Guards against bodies that take memory though no attempt will send them, and against attempts
/// without a body.
#[test_case("/once/1", 0; "no attempt may follow the first stream")]
#[test_case("/draft/1", 1; "one may")]
fn the_body_is_dropped_with_the_last_stream(path: &str, resumptions: u32) {
    let drops = |rig: &Rig| rig.effects.iter().any(|e| matches!(e, Effect::DropBody(_)));
    let mut rig = rig();
    let (id, mut attempt) = decoding_draft(&mut rig, path);
    for _ in 0..resumptions {
        rig.came(id, attempt.number, Outcome::Streaming);
        assert!(!drops(&rig));
        rig.came(id, attempt.number, Outcome::Broken(Damage::CutOff));
        let hold = rig.start();
        rig.came(id, hold.number, held());
        attempt = rig.start();
    }
    assert!(!drops(&rig));
    rig.came(id, attempt.number, Outcome::Streaming);
    assert!(drops(&rig));
    rig.came(id, attempt.number, Outcome::Broken(Damage::CutOff));
    assert!(rig.starts().is_empty());
}

/// Symptom: decode endpoints refused one draft five times in a row, and the retry budget was gone.
/// Sequence: the KV cache had lapsed at its prefill endpoint; each decode endpoint refused it.
/// Cause: a refusal was taken for a full endpoint each time.
#[test]
fn a_refused_kv_cache_is_not_offered_again_and_again() {
    let mut rig = rig();
    let (id, decode) = decoding_draft(&mut rig, "/draft/1");
    rig.came(id, decode.number, BUSY);
    let hold = rig.start();
    assert!(matches!(hold.op, Op::Hold { .. }));
    rig.came(id, hold.number, held());
    assert!(matches!(rig.start().op, Op::Stream { .. }));
}

/// Symptom: drafts waited for memory at decode endpoints, after their prompt had been read.
/// Sequence: more drafts came than the decode endpoints' memory holds.
/// Cause: a slot was held, but nobody looked at the memory.
#[test]
fn a_draft_waits_for_room_before_its_prompt_is_read() {
    let mut rig = rig();
    let first = draft(&mut rig, "/draft/1", 9000);
    let second = draft(&mut rig, "/draft/1", 9000);
    assert_eq!(rig.starts().len(), 2);
    let third = draft(&mut rig, "/draft/1", 9000);
    assert!(rig.starts().is_empty(), "both decode endpoints are taken");
    rig.feed(Event::CallerLeft(first));
    let hold = rig.start();
    rig.came(third, hold.number, held());
    assert_eq!(rig.start().op, Op::Prefill);
    rig.feed(Event::CallerLeft(second));
}

#[test]
fn a_draft_that_can_be_on_time_goes_before_one_that_is_late() {
    let mut rig = rig();
    let first = draft(&mut rig, "/draft/1", 9000);
    let second = draft(&mut rig, "/draft/1", 9000);
    let late = draft(&mut rig, "/draft/1", 9000);
    rig.starts();
    rig.pass_ms(2000);
    let fresh = draft(&mut rig, "/draft/1", 9000);
    rig.feed(Event::CallerLeft(first));
    let hold = rig.start();
    rig.came(fresh, hold.number, held());
    assert_eq!(rig.start().op, Op::Prefill, "the slot was asked for the fresh one");
    rig.feed(Event::CallerLeft(second));
    rig.feed(Event::CallerLeft(late));
}

/// Symptom: drafts were late by seconds while prefill endpoints were down.
/// Sequence: one prefill endpoint had to read all prompts of a surge.
/// Cause: decode endpoints, which can read prompts too, were not asked.
#[test]
fn a_decode_endpoint_reads_prompts_when_the_prefill_queue_is_too_long() {
    let mut rig = Rig::new();
    rig.list(vec![
        model("p1", 1, Stage::Prefill),
        model("d1", 3, Stage::Decode),
        model("d2", 4, Stage::Decode),
        model("d3", 5, Stage::Decode),
        model("d4", 6, Stage::Decode),
    ]);
    let mut ops = Vec::new();
    for _ in 0..10 {
        let id = draft(&mut rig, "/draft/1", 3500);
        for hold in rig.starts() {
            rig.came(id, hold.number, held());
            ops.extend(rig.starts().into_iter().map(|attempt| attempt.op.as_str()));
        }
    }
    assert!(ops.starts_with(&["prefill"; 6]), "{ops:?}");
    assert!(ops.contains(&"stream"), "{ops:?}");
}

#[test]
fn what_is_held_for_a_caller_that_left_is_given_back() {
    let mut rig = rig();
    let (id, _) = held_draft(&mut rig, "/draft/1");
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    rig.feed(Event::CallerLeft(id));
    assert!(rig.effects.iter().any(|e| matches!(e, Effect::FreeKv { .. })));
    assert!(rig.effects.iter().any(|e| matches!(e, Effect::ReleaseHold { .. })));
}

/// Symptom: four endpoints refused 1,700 calls in eight seconds, and the drafts went late to others.
/// Sequence: they drained while the store was down. Having nothing to do, they were the first choice
/// for each draft, again and again.
/// Cause: a refusal kept an endpoint out for some milliseconds only, however often it came.
#[test]
fn an_endpoint_that_goes_on_refusing_is_asked_ever_less() {
    let mut rig = rig();
    let d1 = rig.state.directory.find("d1");
    let mut asked = 0;
    for _ in 0..100 {
        let id = draft(&mut rig, "/draft/1", 500);
        for hold in rig.starts() {
            let refuses = Some(hold.target.endpoint) == d1;
            asked += u32::from(refuses);
            rig.came(id, hold.number, if refuses { BUSY } else { held() });
        }
        rig.starts();
        rig.feed(Event::CallerLeft(id));
        rig.pass_ms(40);
    }
    assert!(asked <= 10, "{asked} calls in four seconds");
}

/// Symptom: prompts were read and the drafts refused for want of retry budget right after it.
/// Sequence: two prefill endpoints refused the prompt, the third one read it; the daemon's budget
/// held two extra calls.
/// Cause: the decode was taken for one more extra call, though it is the first that isn't refused.
#[test]
fn the_decode_after_refused_prefills_is_no_extra_call() {
    let mut rig = Rig::new();
    rig.state.tuning.retry_slack = 24.0;
    // A daemon that has just started would have less.
    rig.pass_ms(10_500);
    rig.list(vec![
        model("p1", 1, Stage::Prefill),
        model("p2", 2, Stage::Prefill),
        model("p3", 3, Stage::Prefill),
        model("d1", 4, Stage::Decode),
    ]);
    let (id, _) = held_draft(&mut rig, "/draft/1");
    for _ in 0..2 {
        let prefill = rig.start();
        assert_eq!(prefill.op, Op::Prefill);
        rig.came(id, prefill.number, BUSY);
    }
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    assert!(matches!(rig.start().op, Op::Decode { .. }));
}

/// Symptom: the retry budget was gone while endpoints were down, though none had had a call.
/// Sequence: connections were refused one after the other.
/// Cause: a call that was never sent counted like one that was refused.
#[test]
fn an_endpoint_that_was_not_reached_costs_no_budget() {
    let mut rig = Rig::new();
    rig.state.tuning.retry_slack = 0.0;
    rig.list(vec![
        model("p1", 1, Stage::Prefill),
        model("p2", 2, Stage::Prefill),
        model("d1", 4, Stage::Decode),
    ]);
    let (id, _) = held_draft(&mut rig, "/draft/1");
    let first = rig.start();
    rig.came(id, first.number, Outcome::Unreachable);
    assert_eq!(rig.start().op, Op::Prefill);
}

/// Symptom: a model service got more repeats than its bound on a day of 71 Vms.
/// Sequence: endpoints reset connections; prefills broke, and each draft went on to a decode endpoint.
/// Cause: a broken prefill counted as the free one, though no endpoint had accepted it.
#[test]
fn a_broken_prefill_is_paid_for() {
    let mut rig = Rig::new();
    rig.state.tuning.retry_slack = 0.0;
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 4, Stage::Decode)]);
    let (id, _) = held_draft(&mut rig, "/draft/1");
    let prefill = rig.start();
    rig.came(id, prefill.number, Outcome::Broken(Damage::CutOff));
    assert!(rig.starts().is_empty(), "there is no budget for the call at the decode endpoint");
    assert_eq!(rig.refusals().len(), 1);
}

/// How many of some drafts' prompts a decode endpoint reads itself.
fn read_at_decode(rig: &mut Rig) -> usize {
    let mut whole = 0;
    for _ in 0..100 {
        let (id, _) = held_draft(rig, "/draft/1");
        whole += usize::from(matches!(rig.start().op, Op::Stream { .. }));
        rig.feed(Event::CallerLeft(id));
    }
    whole
}

#[test]
fn a_daemon_that_started_with_all_others_leaves_prompts_to_decode_endpoints_for_some_seconds() {
    let mut rig = Rig::restarted();
    let list = [("p1", 1, Stage::Prefill), ("p2", 2, Stage::Prefill)].into_iter();
    let list = list.chain([("d1", 3, Stage::Decode), ("d2", 4, Stage::Decode)]);
    rig.list(list.map(|(name, port, stage)| model(name, port, stage)).collect());
    assert_eq!(read_at_decode(&mut rig), 100);
    rig.pass_ms(3000);
    assert_eq!(read_at_decode(&mut rig), 0);
}

#[test]
fn a_daemon_that_hears_an_older_one_need_not_guess() {
    let own = std::net::SocketAddr::from(([10, 0, 1, 1], 7000));
    let from = std::net::SocketAddr::from(([10, 0, 1, 2], 7000));
    let mut rig = Rig::as_daemon(own, vec![from]);
    rig.state.local.start = SystemStart::Restart;
    rig.state.local.incarnation = 100_000;
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 3, Stage::Decode)]);
    assert_eq!(read_at_decode(&mut rig), 100);
    let beat =
        basilbank_wire::LoadGossip { incarnation: 50_000, sequence: 1, ..Default::default() };
    rig.feed(Event::gossip(from, beat));
    assert_eq!(read_at_decode(&mut rig), 0);
}

/// Symptom: drafts waited in the gateway until their callers left, a fifth of all in an overload; some
/// had their prompts read a moment before.
/// Sequence: decode memory was full for seconds; callers of streams leave after four times the target.
/// Cause: drafts were kept until the deadline that they name, which is far later.
#[test]
fn a_draft_that_can_not_begin_before_its_caller_leaves_is_refused_at_once() {
    let mut rig = rig();
    let first = draft(&mut rig, "/draft/1", 9000);
    let second = draft(&mut rig, "/draft/1", 9000);
    rig.starts();
    draft(&mut rig, "/draft/1", 9000);
    rig.pass_ms(3000);
    assert!(rig.refusals().is_empty(), "there is time to read its prompt and begin");
    rig.pass_ms(400);
    assert_eq!(rig.refusals(), [Refusal::WaitTimedOut]);
    rig.feed(Event::CallerLeft(first));
    rig.feed(Event::CallerLeft(second));
    assert!(rig.starts().is_empty(), "it is over");
}

#[test]
fn a_stream_that_has_begun_goes_on_however_old_it_is() {
    let mut rig = rig();
    let (id, decode) = decoding_draft(&mut rig, "/draft/1");
    rig.came(id, decode.number, Outcome::Streaming);
    rig.pass_ms(6000);
    rig.came(id, decode.number, Outcome::Broken(Damage::CutOff));
    let hold = rig.start();
    assert_eq!(hold.op.as_str(), "hold");
    rig.came(id, hold.number, held());
    assert_eq!(rig.start().op.as_str(), "stream");
}

/// Symptom: an endpoint got a draft 2.5 s after it had said that it leaves.
/// Sequence: a draft holds a slot there; the answer of its prefill is lost; the endpoint leaves, which
/// the daemon knows at once; the prefill's connection is closed seconds later.
/// Cause: a slot that is held is used whatever has become of its endpoint.
/// Evidence: in the daemon's log the endpoint drains from 24.828 s on, and gets the draft at 27.174.
#[test]
fn a_slot_at_an_endpoint_that_has_left_meanwhile_is_not_used() {
    let mut rig = Rig::new();
    rig.state.tuning.retry_slack = 1000.0;
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
    let id = rig.call("/draft/1", 14_000, Some(prompt(3000)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.list(vec![
        EndpointInfo { draining: true, ..model("d1", 2, Stage::Decode) },
        model("d2", 3, Stage::Decode),
    ]);
    rig.pass_ms(2300);
    rig.came(id, prefill.number, Outcome::Broken(Damage::Closed));
    let starts = rig.starts();
    assert!(starts.iter().all(|next| next.target.instance != "d1"), "{starts:?}");
    assert!(!starts.is_empty());
}

/// Guards against calls that are lost at an endpoint whose streams are out of order and whose probes are
/// answered, and against a sound one that is avoided since it began one stream anew.
#[test_case(Damage::OutOfOrder => true; "out of order")]
#[test_case(Damage::NotResumed => false; "begun anew")]
fn an_endpoint_whose_streams_are_out_of_order_is_avoided(damage: Damage) -> bool {
    let mut rig = rig();
    let (id, decode) = decoding_draft(&mut rig, "/draft/1");
    rig.came(id, decode.number, Outcome::Streaming);
    rig.came(id, decode.number, Outcome::Broken(damage));
    assert_ne!(rig.start().target.endpoint, decode.target.endpoint, "it goes on elsewhere");
    rig.feed(Event::Probed { endpoint: decode.target.endpoint, liveness: Liveness::Alive });
    let endpoint = rig.state.directory.get(decode.target.endpoint).expect("listed");
    rig.now() < endpoint.avoided_until.min(endpoint.reported_until)
}
