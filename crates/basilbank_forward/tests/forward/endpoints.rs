//! Endpoints come, drain and go.

use basilbank_forward::prelude::*;

use crate::rig::{Rig, plain};

fn targets(rig: &mut Rig) -> Vec<String> {
    let mut seen = Vec::new();
    for _ in 0..30 {
        let id = rig.call("/stock/1", 1000, None);
        for attempt in rig.starts() {
            seen.push(attempt.target.instance);
        }
        rig.feed(Event::CallerLeft(id));
    }
    seen.sort();
    seen.dedup();
    seen
}

#[test]
fn a_draining_endpoint_gets_no_new_work() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    assert_eq!(targets(&mut rig), ["a", "b"]);
    rig.list(vec![EndpointInfo { draining: true, ..plain("a", 1) }]);
    assert_eq!(targets(&mut rig), ["b"]);
}

/// Symptom: an endpoint got work 2.3 s after its entry had gone from the store.
/// Sequence: nothing changed in the store for longer than its silence counts as an outage; then an
/// endpoint left without draining first, and its entry went.
/// Cause: a long wait for a change was taken for an outage of the store, after which entries that
/// are missing are kept for a while.
#[test]
fn an_entry_that_goes_after_a_quiet_time_is_gone() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    rig.pass_ms(5000);
    rig.change(vec![], &["a"]);
    assert_eq!(targets(&mut rig), ["b"]);
}

/// Symptom: every call was refused for want of endpoints after the store came back.
/// Sequence: the store was down for longer than entries live; all lapsed, though their endpoints
/// were alive and registered again within two seconds.
/// Cause: a missing entry meant a gone endpoint, whatever the reason.
#[test]
fn entries_that_lapsed_during_an_outage_get_time_to_come_back() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    rig.feed(Event::EndpointsReadFailed);
    rig.pass_ms(5000);
    rig.change(vec![], &["a", "b"]);
    assert_eq!(targets(&mut rig), ["a", "b"]);
    rig.list(vec![plain("b", 2)]);
    rig.pass_ms(2600);
    assert_eq!(targets(&mut rig), ["b"], "the one that did not come back is gone");
}

/// Symptom: calls were answered 421 for seconds after an outage of the store.
/// Sequence: an endpoint crashed during the outage and started again at the same address, as a new
/// instance; afterwards the old one was kept for the grace after an outage.
/// Cause: nothing tied the two to their address.
#[test]
fn a_new_instance_at_an_address_ends_the_old_one() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    rig.feed(Event::EndpointsReadFailed);
    rig.pass_ms(5000);
    rig.change(vec![plain("a2", 1)], &["a"]);
    assert_eq!(targets(&mut rig), ["a2", "b"]);
}

#[test]
fn a_whole_list_takes_off_what_it_lacks() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    rig.feed(Event::EndpointsRead { revisions: Revisions::at(99), list: vec![plain("b", 2)] });
    assert_eq!(targets(&mut rig), ["b"]);
}

/// Symptom: an endpoint that was added during a day got no calls.
/// Sequence: the others answered within milliseconds; the new one had not answered anything yet.
/// Cause: it counted as slower than all of them until its first answer, which it was never asked for.
#[test]
fn a_new_endpoint_beside_fast_ones_gets_calls() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    for _ in 0..20 {
        let id = rig.call("/stock/1", 1000, None);
        let attempt = rig.start();
        rig.pass_ms(1);
        rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    }
    rig.list(vec![plain("c", 3)]);
    assert!(targets(&mut rig).contains(&"c".to_owned()));
}
