//! Versions whose endpoints this daemon has never used.

use std::net::SocketAddr;

use basilbank_forward::prelude::*;
use test_case::test_case;

use super::{Net, two_versions, versioned};
use crate::rig::{WRITER, table};

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
    net.rigs[0].list(vec![at_taken_address()]);
    if has_gone {
        net.pass(super::LONG);
        net.rigs[0].change(vec![], &["v2-x"]);
    }
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((attempts.len(), refusals), (0, vec![Refusal::StreamUnknown]));
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
