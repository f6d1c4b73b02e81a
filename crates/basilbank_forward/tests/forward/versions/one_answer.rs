//! Streams and KV caches within one answer.

use basilbank_forward::prelude::*;

use super::{Net, two_versions, version, versioned, versions};
use crate::rig::{held, prefilled, prompt};

/// Guards against one answer with events of two versions.
#[test]
fn a_stream_goes_on_within_its_answer_at_its_version() {
    for n in 0..20 {
        let mut net = Net::new(1, two_versions());
        let (id, attempt) = net.begin(0, &format!("t{n}"));
        net.rigs[0].came(id, attempt.number, Outcome::Broken(Damage::CutOff));
        let again = net.run(0, id);
        assert_eq!(versions(&again), [version(&attempt.target.instance)]);
        assert!(matches!(
            again.last().expect("a stream").op,
            Op::Stream { .. } | Op::Decode { .. }
        ));
    }
}

/// Guards against a caller who waits for the rest of a stream that no endpoint can write.
#[test]
fn a_stream_whose_version_is_gone_ends_at_once() {
    let mut net = Net::new(1, two_versions());
    let (id, attempt) = net.begin(0, "t");
    let gone = version(&attempt.target.instance).to_owned();
    let names = ["p", "a", "b"].map(|name| format!("{gone}-{name}"));
    net.unlist(&names.each_ref().map(String::as_str));
    net.rigs[0].came(id, attempt.number, Outcome::Broken(Damage::CutOff));
    assert!(net.run(0, id).is_empty());
    assert!(net.rigs[0].effects.iter().any(|e| matches!(e, Effect::AbortStream { .. })));
}

/// Guards against a KV cache that one version wrote and another one reads.
#[test]
fn a_prompt_is_read_and_decoded_by_one_version() {
    for n in 0..20 {
        let mut net = Net::new(1, two_versions());
        let id = net.rigs[0].call_as("/draft/1", &format!("t{n}"));
        let attempts = net.run(0, id);
        assert_eq!(attempts.len(), 3, "{attempts:?}");
        assert_eq!(versions(&attempts).len(), 1, "{attempts:?}");
    }
}

/// Guards against a KV cache of another version where the version has no prefill endpoint.
#[test]
fn a_version_without_prefill_endpoints_reads_its_prompts_itself() {
    let listed = vec![versioned("v1-p", 1, Stage::Prefill), versioned("v2-a", 2, Stage::Decode)];
    let mut net = Net::new(1, listed);
    let id = net.rigs[0].call_as("/draft/1", "t");
    let attempts = net.run(0, id);
    assert_eq!(versions(&attempts), ["v2"]);
    assert!(matches!(attempts.last().expect("a stream").op, Op::Stream { .. }));
}

/// Guards against a KV cache that is decoded by another version after its slot was lost.
#[test]
fn a_kv_cache_is_not_taken_to_another_version() {
    let listed = vec![
        versioned("v1-p", 1, Stage::Prefill),
        versioned("v1-a", 2, Stage::Decode),
        versioned("v2-a", 3, Stage::Decode),
    ];
    for n in 0..20 {
        let mut net = Net::new(1, listed.clone());
        let id = net.rigs[0].call_as("/draft/1", &format!("t{n}"));
        let hold = net.rigs[0].start();
        net.rigs[0].came(id, hold.number, held());
        let next = net.rigs[0].start();
        if next.op != Op::Prefill {
            continue;
        }
        net.rigs[0].change(vec![], &["v1-a"]);
        net.rigs[0].came(id, next.number, prefilled());
        let attempts = net.run(0, id);
        let decodes = attempts.iter().any(|a| matches!(a.op, Op::Decode { .. }));
        assert!(!decodes, "{attempts:?}");
        assert_eq!(versions(&attempts), ["v2"]);
    }
}

/// Guards against a first event that never came and binds its stream all the same.
#[test]
fn a_stream_that_broke_off_before_its_first_event_may_begin_anew_anywhere() {
    let listed = vec![versioned("v1-a", 1, Stage::Decode), versioned("v2-a", 2, Stage::Decode)];
    let mut net = Net::new(1, listed);
    for _ in 0..40 {
        let id = net.rigs[0].call("/draft/1", 14_000, Some(prompt(100)));
        net.rigs[0].feed(Event::CallerLeft(id));
    }
    net.rigs[0].effects.clear();
    let id = net.rigs[0].call_as("/draft/1", "t");
    let hold = net.rigs[0].start();
    net.rigs[0].came(id, hold.number, held());
    let stream = net.rigs[0].start();
    net.rigs[0].came(id, stream.number, Outcome::Streaming);
    net.unlist(&[stream.target.instance.as_str()]);
    net.rigs[0].came(id, stream.number, Outcome::Broken(Damage::CutOff));
    let again = net.run(0, id);
    assert_eq!(again.len(), 2, "{again:?}");
}
