//! Routes that are split, plain services and endpoints that come back.

use std::net::SocketAddr;

use basilbank_forward::prelude::*;

use super::{LONG, Net, two_versions, version, versioned};
use crate::rig::{DESK, Rig, WRITER, model, plain, route, table};

/// Guards against a stream that goes on at another service, as its route is split.
#[test]
fn a_stream_goes_on_at_the_service_that_began_it() {
    let split = |mut table: RouteTable| {
        let mut routes = table.routes().to_vec();
        for route in &mut routes {
            if route.prefix == "/draft/" {
                route.split = vec![(WRITER.to_owned(), 1), (OTHER.to_owned(), 1)];
            }
        }
        let writer = table.services[WRITER].clone();
        table = table.with_service(OTHER, writer);
        table.with_routes(routes)
    };
    let other = |info: EndpointInfo| EndpointInfo {
        service: OTHER.to_owned(),
        instance: format!("{}-other", info.instance),
        addr: SocketAddr::from(([10, 0, 2, 1], info.addr.port())),
        ..info
    };
    let writers: Vec<_> = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let others: Vec<_> = writers.iter().cloned().map(other).collect();
    let mut net = Net::new(2, writers);
    net.rigs.iter_mut().for_each(|rig| rig.configure(split(table(2))));
    net.list(others);
    net.pass(LONG);
    for n in 0..20 {
        let (id, attempt) = net.begin(0, &format!("t{n}"));
        net.rigs[0].feed(Event::CallerLeft(id));
        let (attempts, refusals) = net.take_up(1, &format!("again{n}"), &format!("t{n}"));
        let is_other = |attempt: &Attempt| attempt.target.instance.ends_with("-other");
        let last = attempts.last().expect("a stream");
        assert_eq!(is_other(last), is_other(&attempt), "{refusals:?}");
    }
}

/// Another model service.
const OTHER: &str = "other-writer";

/// Guards against a plain service's stream that goes on at another version.
#[test]
fn a_stream_of_a_plain_service_stays_at_its_version() {
    for n in 0..20 {
        let mut rig = Rig::new();
        let mut feed = route("/feed/", RouteKind::Streaming, DESK, 3);
        feed.resumable = true;
        rig.configure(table(2).with_routes(vec![feed]));
        let endpoint = |name: &str, port| {
            let version = version(name).to_owned();
            EndpointInfo { version, ..plain(name, port) }
        };
        rig.list(vec![endpoint("v1-a", 1), endpoint("v1-b", 2), endpoint("v2-a", 3)]);
        for _ in 0..40 {
            let id = rig.call("/feed/1", 4000, None);
            rig.feed(Event::CallerLeft(id));
        }
        rig.effects.clear();
        rig.pass_ms(n);
        let id = rig.call("/feed/1", 4000, None);
        let first = rig.start();
        rig.came(id, first.number, Outcome::Streaming);
        rig.feed(Event::FirstEvent { request: id, attempt: first.number });
        rig.came(id, first.number, Outcome::Broken(Damage::CutOff));
        for again in rig.starts() {
            assert_eq!(version(&again.target.instance), version(&first.target.instance));
        }
    }
}

/// Guards against an endpoint that is taken for its former start with another version.
#[test]
fn an_endpoint_that_comes_back_as_another_version_is_another_endpoint() {
    let mut net = Net::new(1, vec![versioned("v1-a", 1, Stage::Decode)]);
    let (id, attempt) = net.begin(0, "t");
    let next = EndpointInfo { version: "v2".to_owned(), ..model("v1-a", 1, Stage::Decode) };
    net.list(vec![next]);
    net.rigs[0].came(id, attempt.number, Outcome::Broken(Damage::CutOff));
    assert!(net.run(0, id).is_empty());
    assert!(net.rigs[0].effects.iter().any(|e| matches!(e, Effect::AbortStream { .. })));
}
