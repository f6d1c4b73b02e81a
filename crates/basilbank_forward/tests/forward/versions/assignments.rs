//! Streams that nobody remembers, beside several versions.

use std::time::Duration;

use basilbank_forward::prelude::*;
use test_case::test_case;

use super::{LONG, Net, two_versions, version, versioned, versions};
use crate::rig::WRITER;

const STREAMS: usize = 40;

/// Longer than what a stream may rest on, its own life and the age of the list that began it.
const WINDOW: Duration = Duration::from_secs(40);

/// What happens to the list after the streams have begun, and before all daemons start again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Change {
    Nothing,
    /// An endpoint of the second version joins.
    Joins,
    /// One of its endpoints goes.
    Goes,
    /// The first version's endpoints are all replaced by those of a third one.
    Replaced,
    /// An endpoint starts again under its id, with the other version.
    ChangesVersion,
}

fn dated(info: EndpointInfo) -> EndpointInfo {
    EndpointInfo { start_time: Some(1), ..info }
}

fn change(net: &mut Net, change: Change) {
    let joined = |name: &str, port| EndpointInfo {
        start_time: Some(1 + LONG.as_millis() as u64 * 2),
        ..versioned(name, port, Stage::Decode)
    };
    match change {
        Change::Nothing => {}
        Change::Joins => net.list(vec![joined("v2-c", 21)]),
        Change::Goes => net.unlist(&["v2-b"]),
        Change::Replaced => {
            net.list(vec![joined("v3-a", 22), joined("v3-b", 23)]);
            net.unlist(&["v1-p", "v1-a", "v1-b"]);
        }
        Change::ChangesVersion => {
            net.list(vec![EndpointInfo { version: "v1".to_owned(), ..joined("v2-b", 6) }]);
        }
    }
}

/// The streams, with the versions that began them, and daemons of which none remembers them.
fn forgotten(changed: Change) -> (Net, Vec<String>) {
    let mut net = Net::new(2, two_versions().into_iter().map(dated).collect());
    net.pass(WINDOW);
    let began = (0..STREAMS).map(|n| net.break_off(n % 2, &format!("t{n}"))).collect();
    change(&mut net, changed);
    net.pass(Duration::from_secs(1));
    for n in 0..2 {
        net.rigs[n].state.origins = Default::default();
    }
    (net, began)
}

/// Guards against streams that are refused though only one version can have begun them, and against a
/// continuation by another one.
#[test_case(Change::Nothing, STREAMS; "nothing has changed")]
#[test_case(Change::Joins, STREAMS / 2; "an endpoint has joined")]
#[test_case(Change::Goes, STREAMS / 3; "an endpoint has gone")]
#[test_case(Change::Replaced, 1; "a version has been replaced")]
#[test_case(Change::ChangesVersion, 0; "an endpoint has another version")]
fn a_stream_that_nobody_remembers_goes_on_at_the_version_that_began_it(
    changed: Change,
    least: usize,
) {
    let (mut net, began) = forgotten(changed);
    let mut go_on = 0;
    for (n, began) in began.iter().enumerate() {
        let (attempts, refusals) = net.take_up(n % 2, &format!("again{n}"), &format!("t{n}"));
        assert!(versions(&attempts).iter().all(|version| version == began), "{attempts:?}");
        assert_eq!(attempts.is_empty(), !refusals.is_empty(), "{refusals:?}");
        go_on += usize::from(!attempts.is_empty());
        if let (Some(last), Some((id, _))) =
            (attempts.last(), net.rigs[n % 2].state.requests.iter().next())
        {
            assert_eq!(version(&last.target.instance), began);
            let id = *id;
            net.rigs[n % 2].feed(Event::CallerLeft(id));
        }
    }
    assert!(least <= go_on, "{go_on} of {STREAMS}");
    assert!(changed != Change::ChangesVersion || go_on == 0, "{go_on} of {STREAMS}");
}

/// Guards against a stream that begins elsewhere than where it would be looked for.
#[test]
fn a_stream_begins_at_the_version_that_its_id_assigns_it_to() {
    let mut net = Net::new(1, two_versions().into_iter().map(dated).collect());
    let mut counts = std::collections::BTreeMap::new();
    for n in 0..STREAMS {
        let id = format!("t{n}");
        let assigned = net.rigs[0].state.assignments.assign(WRITER, StreamId::of(&id));
        let began = net.break_off(0, &id);
        let info = net.listed.iter().find(|info| info.version == began).expect("listed");
        assert_eq!(assigned, Some(info.software_version()));
        *counts.entry(began).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| STREAMS / 4 <= *count), "{counts:?}");
}

/// Guards against streams that are assigned by a list of the first few endpoints that register.
#[test]
fn no_stream_begins_before_a_service_has_settled() {
    let mut rig = crate::rig::Rig::restarted_daemon(super::address(0), vec![], Duration::ZERO);
    rig.list(vec![EndpointInfo { start_time: Some(1), ..versioned("v1-a", 2, Stage::Decode) }]);
    rig.call_as("/draft/1", "t");
    assert!(rig.starts().is_empty());
    rig.pass_ms(400);
    assert!(rig.starts().is_empty());
    rig.pass_ms(200);
    assert_eq!(rig.starts().len(), 1);
}
