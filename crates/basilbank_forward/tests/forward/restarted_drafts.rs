//! What drafts have at an endpoint that starts again under the id that it had.

use std::time::Duration;

use basilbank_forward::prelude::*;

use crate::{
    restarts::{calls_at, draft, key, pair, restart_decode, restart_prefill},
    rig::{BUSY, Rig, held, prefilled},
};

/// Nothing is given back anywhere.
fn gives_nothing_back(rig: &Rig) -> bool {
    let gives =
        |effect: &Effect| matches!(effect, Effect::ReleaseHold { .. } | Effect::FreeKv { .. });
    !rig.effects.iter().any(gives)
}

/// Another draft whose prompt is being read, so that the prefill endpoint has a call.
fn other_reading(rig: &mut Rig) {
    let (id, hold) = draft(rig);
    rig.came(id, hold.number, held());
    assert_eq!(rig.start().op, Op::Prefill);
}

/// Symptom: a draft was sent with a hold that its endpoint did not know, or that was another's.
/// Sequence: the decode endpoint started again while the prompt was read.
/// Cause: the hold was kept by the instance.
#[test]
fn a_draft_whose_slot_was_at_the_former_start_places_itself_anew() {
    let mut rig = pair();
    let (id, hold) = draft(&mut rig);
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    restart_decode(&mut rig);
    assert_eq!(calls_at(&rig, "d1"), (0, 0));
    rig.came(id, prefill.number, prefilled());
    let again = rig.start();
    assert!(matches!(again.op, Op::Hold { .. }), "{:?}", again.op);
    assert_eq!(again.target.endpoint, key(&rig, "d1"));
    rig.came(id, again.number, Outcome::Held { hold: "hold-2".to_owned() });
    let Op::Decode { hold, .. } = rig.start().op else { panic!("its KV cache is there") };
    assert_eq!(hold.as_deref(), Some("hold-2"));
    assert!(gives_nothing_back(&rig));
}

/// Symptom: as above.
/// Sequence: the endpoint granted a slot; the entry of its new start was read before the answer.
/// Cause: the answer was taken for the new start's.
#[test]
fn a_slot_that_was_granted_by_the_former_start_is_not_used() {
    let mut rig = pair();
    let (id, hold) = draft(&mut rig);
    restart_decode(&mut rig);
    rig.came(id, hold.number, held());
    let again = rig.start();
    assert!(matches!(again.op, Op::Hold { .. }), "{:?}", again.op);
    assert_ne!(again.target.endpoint, hold.target.endpoint);
    assert!(gives_nothing_back(&rig));
    assert_eq!(calls_at(&rig, "d1"), (1, 1060), "the new one alone");
    rig.feed(Event::CallerLeft(id));
    assert_eq!(calls_at(&rig, "d1"), (0, 0));
}

/// Symptom: a draft could have gone on from another draft's KV cache.
/// Sequence: the prompt was read, the draft waited for a slot, and the prefill endpoint started
/// again meanwhile; names of KV caches may come again.
/// Cause: the KV cache was kept by the instance.
#[test]
fn a_kv_cache_of_the_former_start_is_not_taken() {
    let mut rig = pair();
    other_reading(&mut rig);
    let (id, hold) = draft(&mut rig);
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    restart_decode(&mut rig);
    rig.came(id, prefill.number, prefilled());
    let again = rig.start();
    restart_prefill(&mut rig);
    rig.came(id, again.number, held());
    let op = rig.start().op;
    assert!(matches!(op, Op::Stream { hold: Some(_) }), "the decode endpoint reads it: {op:?}");
}

/// Symptom: as above.
/// Sequence: the answer to the reading came after the entry of the new start.
/// Cause: the answer was taken for the new start's.
#[test]
fn a_prompt_that_the_former_start_has_read_is_read_anew() {
    let mut rig = pair();
    other_reading(&mut rig);
    let (id, hold) = draft(&mut rig);
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    restart_prefill(&mut rig);
    rig.came(id, prefill.number, prefilled());
    let op = rig.start().op;
    assert!(matches!(op, Op::Stream { hold: Some(_) }), "{op:?}");
    assert_eq!(calls_at(&rig, "p1"), (0, 0));
}

/// Symptom: none yet: a hold or a KV cache of another draft could have been given back.
/// Sequence: endpoints start again; then the caller of a draft that held both leaves.
/// Cause: what is given back is named to the address.
#[test]
fn nothing_of_the_former_start_is_given_back_at_the_new_one() {
    let mut rig = pair();
    let (id, hold) = draft(&mut rig);
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    assert!(matches!(rig.start().op, Op::Decode { .. }));
    restart_decode(&mut rig);
    restart_prefill(&mut rig);
    rig.feed(Event::CallerLeft(id));
    assert!(gives_nothing_back(&rig), "{:?}", rig.effects);
    assert_eq!(rig.state.directory.len(), 2);
}

/// Symptom: as above.
/// Sequence: a decode is refused after its endpoint and the prefill endpoint have started again.
/// Cause: as above; besides, the new prefill endpoint must not be shunned for what the former lost.
#[test]
fn a_refusal_by_the_former_start_says_nothing_of_the_new_one() {
    let mut rig = pair();
    let (id, hold) = draft(&mut rig);
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    let decode = rig.start();
    restart_decode(&mut rig);
    restart_prefill(&mut rig);
    rig.came(id, decode.number, BUSY);
    assert!(gives_nothing_back(&rig), "{:?}", rig.effects);
    for instance in ["p1", "d1"] {
        let endpoint = rig.state.directory.get(key(&rig, instance)).expect("listed");
        assert_eq!(
            (endpoint.avoided_until, endpoint.reported_until),
            (Duration::ZERO, Duration::ZERO)
        );
    }
}

/// Symptom: a stream that could go on was cut.
/// Sequence: its endpoint crashed and started again; there is no other one.
/// Cause: the endpoint had been tried.
#[test]
fn a_stream_goes_on_at_the_new_start() {
    let mut rig = pair();
    // Calls enough for a retry.
    for _ in 0..40 {
        let (id, _) = draft(&mut rig);
        rig.feed(Event::CallerLeft(id));
    }
    rig.effects.clear();
    let (id, hold) = draft(&mut rig);
    rig.came(id, hold.number, held());
    let prefill = rig.start();
    rig.came(id, prefill.number, prefilled());
    let decode = rig.start();
    rig.came(id, decode.number, Outcome::Streaming);
    restart_decode(&mut rig);
    assert_eq!(calls_at(&rig, "d1"), (0, 0));
    rig.came(id, decode.number, Outcome::Broken(Damage::CutOff));
    let again = rig.start();
    assert!(matches!(again.op, Op::Hold { .. }));
    assert_eq!(again.target.endpoint, key(&rig, "d1"));
    rig.came(id, again.number, Outcome::Held { hold: "hold-2".to_owned() });
    assert_eq!(rig.start().op, Op::Stream { hold: Some("hold-2".to_owned()) });
    assert_eq!(rig.state.directory.len(), 2);
}
