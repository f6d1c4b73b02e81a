//! Entries that name an address which another endpoint has, and entries of strangers.

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{DESK, Rig, WRITER, held, model, plain, prompt, table};

/// A service that no configuration names at first.
const STRANGE: &str = "strange";

fn born(at: u64, info: EndpointInfo) -> EndpointInfo {
    EndpointInfo { start_time: Some(at), ..info }
}

/// An entry of a service that no configuration names, at the address of endpoint "a".
fn stranger(at: Option<u64>) -> EndpointInfo {
    EndpointInfo { start_time: at, service: STRANGE.to_owned(), ..plain("x", 1) }
}

/// A configuration that names it, too.
fn named(version: u64) -> RouteTable {
    table(version).with_service(STRANGE, Service::default())
}

/// Whether endpoint "a" gets calls.
fn in_use(rig: &mut Rig) -> bool {
    let id = rig.call("/stock/1", 1000, None);
    let starts = rig.starts();
    rig.feed(Event::CallerLeft(id));
    starts.iter().any(|attempt| attempt.target.instance == "a")
}

fn is_listed(rig: &Rig, instance: &str) -> bool {
    rig.state.directory.listed().any(|(_, endpoint)| endpoint.info.instance == instance)
}

/// Symptom: a sound endpoint got no calls.
/// Sequence: another writer put an entry into the store, with the endpoint's address and a service
/// that nobody knows.
/// Cause: whoever was listed last had the address.
#[test_case(None, None; "neither says its start")]
#[test_case(Some(5), None; "the endpoint says it")]
#[test_case(Some(5), Some(4); "an older start")]
#[test_case(Some(5), Some(6); "a later start")]
fn a_stranger_takes_no_address(first: Option<u64>, next: Option<u64>) {
    let mut rig = Rig::new();
    let good = EndpointInfo { start_time: first, ..plain("a", 1) };
    rig.list(vec![good.clone()]);
    rig.list(vec![stranger(next)]);
    assert!(in_use(&mut rig));
    for list in [vec![good.clone(), stranger(next)], vec![stranger(next), good.clone()]] {
        rig.feed(Event::EndpointsRead { revisions: Revisions::at(99), list });
        assert!(in_use(&mut rig));
    }
    rig.change(vec![], &["x"]);
    assert!(in_use(&mut rig));
}

/// Symptom: as above.
/// Sequence: the list is read before the configuration, in either order of its entries.
/// Cause: without a configuration nobody can tell a stranger; the entries were not judged again.
#[test_case(None, None, false; "stranger last")]
#[test_case(None, None, true; "stranger first")]
#[test_case(Some(5), Some(6), false; "stranger last and later")]
#[test_case(Some(5), Some(6), true; "stranger first and later")]
fn entries_are_judged_again_when_the_configuration_comes(
    first: Option<u64>,
    next: Option<u64>,
    turned: bool,
) {
    let mut rig = Rig::new();
    rig.state = State::new(Local::default().with_data_centre("hall-a"), Tuning::default());
    let mut list = vec![EndpointInfo { start_time: first, ..plain("a", 1) }, stranger(next)];
    if turned {
        list.reverse();
    }
    rig.feed(Event::EndpointsRead { revisions: Revisions::at(11), list: list.clone() });
    rig.pass_ms(100);
    rig.feed(Event::EndpointsRead { revisions: Revisions::at(12), list });
    rig.configure(table(1));
    assert!(in_use(&mut rig));
    assert!(!is_listed(&rig, "x"));
}

/// Symptom: an endpoint of a new service got no calls.
/// Sequence: its entry was read before the configuration that names the service.
/// Cause: it had been taken for a stranger's.
#[test_case(Some(6), true; "it started later")]
#[test_case(Some(4), false; "it did not")]
#[test_case(None, false; "it does not say")]
fn a_later_start_of_a_new_service_has_the_address_once_it_is_known(next: Option<u64>, takes: bool) {
    let mut rig = Rig::new();
    rig.list(vec![born(5, plain("a", 1))]);
    rig.list(vec![stranger(next)]);
    rig.configure(named(2));
    assert_eq!(in_use(&mut rig), !takes);
    assert_eq!(is_listed(&rig, "x"), takes);
    rig.change(vec![], &["a"]);
    assert!(!in_use(&mut rig));
    assert!(is_listed(&rig, "x"), "the address is free");
}

/// Symptom: an endpoint came and went with each reading of the list.
/// Sequence: two entries name one address, both of services that are known.
/// Cause: whoever was listed last had the address.
#[test]
fn the_later_start_has_the_address() {
    let mut rig = Rig::new();
    let list = [born(5, plain("a", 1)), born(4, plain("b", 1))];
    for revision in 20..24 {
        let read = Revisions::at(revision);
        rig.feed(Event::EndpointsRead { revisions: read, list: list.to_vec() });
        assert!(in_use(&mut rig) && !is_listed(&rig, "b"));
    }
    assert!(!rig.effects.iter().any(|effect| matches!(effect, Effect::CloseConnections(_))));
    let former = rig.state.directory.find("a").expect("listed");
    rig.list(vec![born(6, plain("c", 1))]);
    assert!(!in_use(&mut rig) && is_listed(&rig, "c"));
    assert!(rig.effects.contains(&Effect::CloseConnections(former)));
}

/// Symptom: an endpoint's place stayed empty after an address had been used again.
/// Sequence: the endpoint that had it went; the next one's entry had been read before that.
/// Cause: the next one's entry doesn't change any more.
#[test]
fn an_address_is_used_again_after_its_endpoint_has_gone() {
    let mut rig = Rig::new();
    rig.list(vec![born(5, plain("b", 1))]);
    rig.list(vec![plain("a", 1)]);
    assert!(!in_use(&mut rig), "an endpoint that says when it started has it");
    rig.change(vec![], &["b"]);
    assert!(in_use(&mut rig));
    rig.list(vec![born(6, plain("b", 1))]);
    assert!(!in_use(&mut rig));
}

/// Symptom: none yet: a hold of another service's endpoint could have been given back.
/// Sequence: an endpoint left the list while a draft held a slot there; its address was used again.
/// Cause: what is given back is named to the address.
#[test]
fn nothing_is_given_back_at_an_address_that_is_used_again() {
    let mut rig = Rig::new();
    rig.list(vec![model("p1", 1, Stage::Prefill), model("d1", 2, Stage::Decode)]);
    let id = rig.call("/draft/1", 14_000, Some(prompt(1000)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    rig.change(vec![], &["d1"]);
    rig.list(vec![plain("a", 2)]);
    rig.feed(Event::CallerLeft(id));
    assert!(!rig.effects.iter().any(|effect| matches!(effect, Effect::ReleaseHold { .. })));
    assert_eq!(rig.state.directory.len(), 2);
}

/// Symptom: calls of a service could have been run by an endpoint of another one.
/// Sequence: an instance starts again for another service, which is not known yet.
/// Cause: it was left in its place, and the check of the id passes.
#[test]
fn an_instance_that_starts_again_for_a_service_that_is_not_known_is_no_longer_used() {
    let mut rig = Rig::new();
    rig.list(vec![born(5, plain("a", 1))]);
    rig.list(vec![EndpointInfo { service: STRANGE.to_owned(), ..born(6, plain("a", 1)) }]);
    assert!(!in_use(&mut rig));
}

/// Symptom: as above.
/// Sequence: an instance's entry names another service than before, without a start.
/// Cause: it stayed on the list of the service that it had first.
#[test_case(WRITER, false; "a service that is known")]
#[test_case(STRANGE, false; "another writer's entry in place of its own")]
#[test_case(DESK, true; "the same")]
fn an_instance_serves_what_its_entry_says(service: &str, stays: bool) {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1)]);
    rig.list(vec![EndpointInfo { service: service.to_owned(), ..plain("a", 1) }]);
    assert_eq!(in_use(&mut rig), stays);
    rig.list(vec![plain("a", 1)]);
    assert!(in_use(&mut rig), "its own entry is back");
}

/// Symptom: none yet: a daemon would have woken without a pause for as long as a call ran.
/// Sequence: an endpoint left the list while a call was in progress; the store was away, and its entry
/// was named as gone once more after that.
/// Cause: it was to lapse, and what is off the list already never did.
#[test]
fn an_endpoint_that_is_off_the_list_does_not_lapse() {
    let mut rig = Rig::new();
    rig.list(vec![plain("a", 1), plain("b", 2)]);
    let calls: Vec<_> = (0..4).map(|_| rig.call("/stock/1", 60_000, None)).collect();
    rig.change(vec![], &["a"]);
    rig.feed(Event::EndpointsReadFailed);
    rig.pass_ms(5000);
    rig.change(vec![], &["a"]);
    assert!(rig.state.directory.next_expiry().is_none());
    rig.pass_ms(3000);
    for id in calls {
        rig.feed(Event::CallerLeft(id));
    }
    assert_eq!(rig.state.directory.len(), 1);
}
