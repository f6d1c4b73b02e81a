//! Versions whose endpoints this daemon has never used.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use basilbank_forward::prelude::*;
use test_case::test_case;

use super::{LONG, Net, two_versions, versioned, versions};
use crate::rig::{Rig, WRITER, table};

/// Another model service.
const OTHER: &str = "other-writer";

/// A daemon that has known one version for long.
fn beside_one_version() -> Net {
    let listed = two_versions().into_iter().filter(|info| info.version == "v1");
    let listed = listed.map(|info| EndpointInfo { start_time: Some(1), ..info });
    Net::new(1, listed.collect())
}

/// An endpoint whose record names another one's address.
fn at_taken_address() -> EndpointInfo {
    versioned("v2-x", 2, Stage::Decode)
}

/// Guards against a version that came and went between two reads, and isn't known.
#[test_case("v2-x", false; "another version")]
#[test_case("v1-x", true; "the same version")]
fn a_version_that_came_and_went_within_one_read(name: &str, goes_on: bool) {
    let mut net = beside_one_version();
    let replaced = versioned(name, 9, Stage::Decode);
    net.rigs[0].feed(Event::RecordsReplaced(vec![replaced]));
    net.rigs[0].change(vec![], &[name]);
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}

/// Guards against a version that isn't known, as this daemon doesn't use its only endpoint.
#[test_case(false; "that is listed")]
#[test_case(true; "that has gone")]
fn a_version_whose_address_is_taken(has_gone: bool) {
    let mut net = beside_one_version();
    let v1 = net.listed[0].software_version();
    net.rigs[0].list(vec![at_taken_address()]);
    // Other daemons may use it, and begin streams there.
    let assigned = |net: &Net, n: usize| {
        net.rigs[0].state.assignments.assign(WRITER, StreamId::of(&format!("t{n}")))
    };
    let (at_v1, others): (Vec<_>, Vec<_>) = (0..12).partition(|n| assigned(&net, *n) == Some(v1));
    if has_gone {
        net.pass(LONG);
        net.rigs[0].change(vec![], &["v2-x"]);
    }
    for n in &others {
        let (attempts, refusals) = net.take_up(0, &format!("again{n}"), &format!("t{n}"));
        assert_eq!((attempts.len(), refusals), (0, vec![Refusal::StreamUnknown]));
    }
    for n in &at_v1 {
        let (attempts, refusals) = net.take_up(0, &format!("again{n}"), &format!("t{n}"));
        // The endpoints of v1 haven't served for long enough before.
        let goes_on = has_gone && !attempts.is_empty();
        assert_eq!(goes_on, refusals.is_empty(), "{refusals:?}");
        assert!(versions(&attempts).iter().all(|version| *version == "v1"), "{attempts:?}");
    }
    assert!(!at_v1.is_empty() && !others.is_empty());
}

/// Guards against a version of a service that served before this daemon's configuration named it.
#[test]
fn a_version_of_a_service_that_was_not_configured() {
    let mut net = beside_one_version();
    let other = EndpointInfo {
        service: OTHER.to_owned(),
        addr: SocketAddr::from(([10, 0, 2, 1], 1)),
        ..versioned("v2-x", 9, Stage::Decode)
    };
    net.rigs[0].list(vec![other]);
    net.rigs[0].change(vec![], &["v2-x"]);
    let table = table(2);
    let mut routes = table.routes().to_vec();
    for route in routes.iter_mut().filter(|route| route.prefix == "/draft/") {
        route.split = vec![(WRITER.to_owned(), 1), (OTHER.to_owned(), 1)];
    }
    let service = table.services[WRITER].clone();
    net.rigs[0].configure(table.with_service(OTHER, service).with_routes(routes));
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((attempts.len(), refusals), (0, vec![Refusal::StreamUnknown]));
}

/// What has happened at a revision while the daemon couldn't read changes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Change {
    /// Something that nothing tells of.
    Unknown,
    /// Another configuration was written, and read.
    Configured,
    /// A listed endpoint's record was written.
    Written,
    /// An endpoint was added.
    Added,
}

/// The whole list is read, as the store has dropped its changes.
fn read_anew(rig: &mut Rig, mut list: Vec<EndpointInfo>, changes: &[Change]) {
    let previous = rig.state.directory.revision.number;
    let newest = previous + changes.len() as u64;
    for (revision, change) in (previous + 1..).zip(changes) {
        let revisions = ItemRevisions { created: revision, changed: revision };
        match change {
            Change::Unknown => {}
            Change::Configured => {
                let mut table = table(2);
                table.revisions = ItemRevisions { created: 1, changed: revision };
                let revisions = Revisions::at(newest);
                rig.feed(Event::RoutesRead { revisions, table: Some(Arc::new(table)) });
            }
            Change::Written => list[0].revisions.changed = revision,
            Change::Added => {
                let info = versioned(&format!("v1-{revision}"), 20, Stage::Decode);
                list.push(EndpointInfo { revisions, ..info });
            }
        }
    }
    rig.forgotten = newest;
    rig.feed(Event::EndpointsRead { revisions: Revisions::at(newest), list });
}

/// Guards against a version that came and went while the store dropped its changes, and against
/// refusals where the list proves that none did.
#[test_case(&[], true; "nothing has changed")]
#[test_case(&[Change::Written, Change::Configured, Change::Added], true; "all is known")]
#[test_case(&[Change::Unknown, Change::Unknown], false; "an endpoint came and went")]
#[test_case(&[Change::Written, Change::Written], false; "an endpoint started twice")]
#[test_case(&[Change::Added, Change::Unknown], false; "an endpoint went")]
fn a_gap_in_the_changes(changes: &[Change], goes_on: bool) {
    let mut net = beside_one_version();
    let listed = net.listed.clone();
    read_anew(&mut net.rigs[0], listed, changes);
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}

/// Guards against a gap that is forgotten too early, or never.
#[test]
fn a_gap_matters_for_as_long_as_a_stream_may_last() {
    let mut net = beside_one_version();
    let listed = net.listed.clone();
    read_anew(&mut net.rigs[0], listed.clone(), &[Change::Unknown, Change::Unknown]);
    net.pass(Duration::from_secs(10));
    read_anew(&mut net.rigs[0], listed, &[]);
    net.pass(Duration::from_secs(9));
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((attempts.len(), refusals), (0, vec![Refusal::StreamUnknown]));
    net.pass(Duration::from_secs(1));
    let (attempts, refusals) = net.take_up(0, "later", "t");
    assert!(!attempts.is_empty(), "{refusals:?}");
}

/// Guards against the store's changes that would name the version, and aren't read.
#[test]
fn the_store_has_the_changes_since_a_gap() {
    let mut net = beside_one_version();
    let listed = net.listed.clone();
    read_anew(&mut net.rigs[0], listed, &[Change::Unknown, Change::Unknown]);
    net.rigs[0].forgotten -= 2;
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert!(!attempts.is_empty(), "{refusals:?}");
}

/// Guards against streams that are lost with the daemon that began them beside one version, as all
/// daemons have missed changes.
#[test]
fn streams_from_before_a_gap_are_told_to_others() {
    let listed = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let mut net = Net::new(12, listed);
    for n in 0..5 {
        net.break_off(1, &format!("t{n}"));
    }
    let listed = net.listed.clone();
    for rig in &mut net.rigs {
        read_anew(rig, listed.clone(), &[Change::Unknown, Change::Unknown]);
    }
    net.deliver();
    net.cut = vec![1];
    for n in 0..5 {
        let (attempts, refusals) = net.take_up(2, &format!("again{n}"), &format!("t{n}"));
        assert_eq!(versions(&attempts), ["v1"], "{refusals:?}");
    }
}

/// Guards against a version that only the lost changes of a restored store named.
#[test]
fn a_restored_store_has_lost_changes() {
    let mut net = beside_one_version();
    let restored = |net: &Net, number| Event::EndpointsRead {
        revisions: Revisions::at(Revision { era: 1, number }),
        list: net.listed.clone(),
    };
    let number = net.rigs[0].state.directory.revision.number;
    let event = restored(&net, number);
    net.rigs[0].feed(event);
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((attempts.len(), refusals), (0, vec![Refusal::StreamUnknown]));
    net.pass(Duration::from_secs(20));
    let event = restored(&net, number);
    net.rigs[0].feed(event);
    let (attempts, refusals) = net.take_up(0, "later", "t");
    assert!(!attempts.is_empty(), "{refusals:?}");
}
