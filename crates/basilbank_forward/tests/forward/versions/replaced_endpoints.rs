//! Endpoints that start again under their id with another version, and take calls before their new
//! record is read.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use super::{Net, versioned};
use crate::rig::Rig;

/// When the endpoint started again, as its new record says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Start {
    BeforeTheStream,
    WithTheStream,
    AfterTheStream,
    Unstated,
}

/// What the stream may go on at.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum GoesOn {
    AtFormer,
    AtNew,
    Nowhere,
}

/// The time between the start and the stream, longer than clocks differ.
const APART: Duration = Duration::from_secs(6);

fn unix_ms(rig: &Rig) -> u64 {
    let age = rig.now() - Duration::from_secs(100);
    1 + u64::try_from(age.as_millis()).expect("a time")
}

/// An endpoint begins a stream; then its record says that it has started again with another version.
/// Returns the stream, and the versions before and after.
fn replace(net: &mut Net, start: Start) -> (RequestId, Attempt, [SoftwareVersion; 2]) {
    net.pass(APART);
    let (id, attempt) = net.begin(0, "t");
    let began = unix_ms(&net.rigs[0]);
    let apart = u64::try_from(APART.as_millis()).expect("a time");
    let start_time = match start {
        Start::BeforeTheStream => Some(began - apart),
        Start::WithTheStream => Some(began),
        Start::AfterTheStream => Some(began + apart),
        Start::Unstated => None,
    };
    net.pass(2 * APART);
    let listed = net.listed.iter().find(|info| info.instance == attempt.target.instance);
    let former = listed.expect("an endpoint").clone();
    let new = EndpointInfo { version: "v2".to_owned(), start_time, ..former.clone() };
    let versions = [former.software_version(), new.software_version()];
    net.list(vec![new]);
    (id, attempt, versions)
}

/// Two endpoints that have served for long.
fn two_endpoints() -> Net {
    let listed = [versioned("v1-a", 1, Stage::Decode), versioned("v1-b", 2, Stage::Decode)];
    let listed = listed.map(|info| EndpointInfo { start_time: Some(1), ..info });
    Net::new(2, listed.to_vec())
}

fn assert_goes_on(attempts: &[Attempt], [former, new]: [SoftwareVersion; 2], goes_on: GoesOn) {
    let expected = match goes_on {
        GoesOn::AtFormer => Some(former),
        GoesOn::AtNew => Some(new),
        GoesOn::Nowhere => None,
    };
    assert_eq!(attempts.is_empty(), expected.is_none(), "{attempts:?}");
    assert!(attempts.iter().all(|a| Some(a.target.software) == expected), "{attempts:?}");
}

/// Guards against a stream that goes on at the former version of an endpoint that began it with its new
/// one.
#[test_case(Start::BeforeTheStream, GoesOn::AtNew)]
#[test_case(Start::WithTheStream, GoesOn::Nowhere)]
#[test_case(Start::AfterTheStream, GoesOn::AtFormer)]
#[test_case(Start::Unstated, GoesOn::Nowhere)]
fn a_stream_of_a_replaced_endpoint_is_taken_up(start: Start, goes_on: GoesOn) {
    for daemon in [0, 1] {
        let mut net = two_endpoints();
        let (id, _, versions) = replace(&mut net, start);
        net.rigs[0].feed(Event::CallerLeft(id));
        net.deliver();
        let (attempts, _) = net.take_up(daemon, "again", "t");
        assert_goes_on(&attempts, versions, goes_on);
    }
}

/// Guards against the same within one answer.
#[test_case(Start::BeforeTheStream, GoesOn::AtNew)]
#[test_case(Start::WithTheStream, GoesOn::Nowhere)]
#[test_case(Start::AfterTheStream, GoesOn::AtFormer)]
#[test_case(Start::Unstated, GoesOn::Nowhere)]
fn a_stream_of_a_replaced_endpoint_breaks_off(start: Start, goes_on: GoesOn) {
    let mut net = two_endpoints();
    let (id, attempt, versions) = replace(&mut net, start);
    net.rigs[0].came(id, attempt.number, Outcome::Broken(Damage::CutOff));
    let attempts = net.run(0, id);
    assert_goes_on(&attempts, versions, goes_on);
}

/// Guards against the same where the new start has gone by the time its record is read.
#[test_case(0; "at the daemon that began it")]
#[test_case(1; "at another daemon")]
fn a_stream_of_a_replaced_endpoint_that_has_gone(daemon: usize) {
    let mut net = two_endpoints();
    net.pass(2 * APART);
    let (id, attempt) = net.begin(0, "t");
    net.rigs[0].feed(Event::CallerLeft(id));
    net.deliver();
    let name = attempt.target.instance.clone();
    let former = net.listed.iter().find(|info| info.instance == name).expect("it").clone();
    let start = unix_ms(&net.rigs[0]) - u64::try_from(APART.as_millis()).expect("a time");
    let new = EndpointInfo { version: "v2".to_owned(), start_time: Some(start), ..former };
    for rig in &mut net.rigs {
        rig.feed(Event::RecordsReplaced(vec![new.clone()]));
        rig.change(vec![], &[&name]);
    }
    net.deliver();
    let (attempts, refusals) = net.take_up(daemon, "again", "t");
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals, [Refusal::VersionGone]);
}
