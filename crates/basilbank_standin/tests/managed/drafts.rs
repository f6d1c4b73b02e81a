//! Drafts over real sockets.

use basilbank_standin::managed::{Misdeed, World};

use crate::support::{draft, eventually, stream_of, world};

fn prefills(world: &World) -> u32 {
    world.model.iter().map(|e| e.served().prefills).sum()
}

#[test]
fn a_draft_is_prefilled_and_decoded_and_streams_whole() {
    let world = world();
    let answer = draft(world.callers(0), "/draft/1", 20);
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.text(), stream_of(20));
    assert_eq!(answer.header("x-server-seal"), Some("seal"));
    assert_eq!(prefills(&world), 1);
    let ran: Vec<_> = world.model.iter().flat_map(|e| e.served().ran).collect();
    assert!(ran[0].header("x-kv-source").is_some());
    assert!(ran[0].header("x-kv-hold").is_some());
}

/// Symptom: a stream had a piece twice, or a torn one.
/// Sequence: the decode endpoint broke off in the middle of an event; the stream went on elsewhere.
/// Cause: the torn event had been passed on, and the new stream began at the wrong place.
#[test]
fn a_resumable_stream_goes_on_elsewhere_without_a_torn_event() {
    let world = world();
    for n in [1, 2] {
        world.model[n].misbehave(Misdeed::Torn);
        let answer = draft(world.callers(0), "/draft/1", 12);
        world.model[n].misbehave(Misdeed::None);
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(answer.text(), stream_of(12));
    }
}

/// Symptom: half a stream looked complete.
/// Sequence: the endpoint broke off; the stream may not go on elsewhere.
/// Cause: the answer was ended as if it were whole.
#[test]
fn a_stream_that_breaks_off_does_not_look_whole() {
    let world = world();
    (1..3).for_each(|n| world.model[n].misbehave(Misdeed::Torn));
    let answer = draft(world.callers(0), "/once/1", 12);
    assert_eq!((answer.status, answer.whole), (200, false));
    assert_eq!(answer.text(), stream_of(2));
    assert_eq!(prefills(&world), 1);
}

/// Symptom: each draft failed while one prefill endpoint lost its KV caches at once.
/// Sequence: prefill, decode refused for want of the KV cache.
/// Cause: the refusal was final.
#[test]
fn a_draft_whose_kv_cache_is_lost_is_read_by_the_decode_endpoint() {
    let world = world();
    world.model[0].misbehave(Misdeed::Forgetful);
    let answer = draft(world.callers(0), "/draft/1", 10);
    assert_eq!((answer.status, answer.text()), (200, stream_of(10)));
    let again = draft(world.callers(0), "/draft/1", 10);
    assert_eq!((again.status, again.text()), (200, stream_of(10)));
    assert_eq!(prefills(&world), 1, "the endpoint that loses KV caches is left alone");
}

#[test]
fn a_draft_without_prefill_endpoints_is_served() {
    let mut world = world();
    let gone = world.model.remove(0);
    world.unlist(gone.instance());
    drop(gone);
    let answer = draft(world.callers(0), "/draft/1", 10);
    assert_eq!((answer.status, answer.text()), (200, stream_of(10)));
}

#[test]
fn what_was_held_for_a_draft_that_failed_is_given_back() {
    let world = world();
    world.model[0].misbehave(Misdeed::Silent);
    for endpoint in &world.model[1..] {
        endpoint.misbehave(Misdeed::Lost);
    }
    let answer = draft(world.callers(0), "/once/1", 10);
    assert_ne!(answer.status, 200);
    let holds = |world: &World| -> u32 { world.model.iter().map(|e| e.served().holds).sum() };
    eventually("each hold was used or given back", || {
        let served: u32 =
            world.model.iter().map(|e| e.served()).map(|s| s.dropped + s.ran.len() as u32).sum();
        holds(&world) <= served
    });
}
