//! Plain calls where the links between data centres are expensive.

use std::time::Duration;

use basilbank_forward::{prelude::*, state::relays::MIN_RELAYS};
use test_case::test_case;

use super::Site;
use crate::rig::plain;

/// Number of calls in a test.
const CALLS: usize = 40;

/// The mean time of answers in the daemon's data centre.
const NEAR: Duration = Duration::from_millis(50);

/// How many calls leave the data centre if the endpoint elsewhere takes `far` milliseconds. Calls
/// are due in 150 ms, and a round trip takes 4 ms.
fn calls_that_leave(site: &mut Site, far: u64) -> usize {
    let elsewhere = EndpointInfo { data_centre: "hall-b".to_owned(), ..plain("far", 2) };
    site.rig.list(vec![plain("near", 1), elsewhere]);
    let times = [("near", NEAR), ("far", Duration::from_millis(far))];
    let leaves = |_: &usize| {
        for (name, time) in times {
            let key = site.rig.state.directory.find(name).expect("listed");
            let endpoint = site.rig.state.directory.get_mut(key).expect("known");
            endpoint.mean_answer_time = Some(time);
        }
        let id = site.rig.call("/stock/1", 2000, None);
        let instance = site.rig.start().target.instance;
        site.rig.feed(Event::CallerLeft(id));
        instance == "far"
    };
    (0..CALLS).filter(leaves).count()
}

/// Guards against calls that cross an expensive link for a small gain.
#[test_case(45, 0; "a little faster")]
#[test_case(32, 0; "by less than a round trip and a tenth of the target")]
#[test_case(20, CALLS; "much faster")]
fn a_call_leaves_its_data_centre_for_a_large_gain_only(far: u64, leave: usize) {
    let mut site = Site::new(3, MIN_RELAYS);
    assert_eq!(calls_that_leave(&mut site, far), leave);
}

/// Guards against any change in fleets that are too small for relays.
#[test]
fn in_a_small_fleet_a_call_leaves_as_before() {
    let mut site = Site::new(3, MIN_RELAYS - 1);
    let leave = calls_that_leave(&mut site, 45);
    assert!((8..=32).contains(&leave), "{leave}");
}

/// Guards against calls that wait for a full endpoint next to an idle one elsewhere.
#[test]
fn calls_leave_a_crowded_endpoint() {
    let mut site = Site::new(3, MIN_RELAYS);
    calls_that_leave(&mut site, 50);
    for _ in 0..12 {
        site.rig.call("/stock/1", 2000, None);
    }
    let far = site.rig.starts().iter().filter(|start| start.target.instance == "far").count();
    assert!((3..=6).contains(&far), "{far} of 12");
}

/// Guards against calls that queue at a full endpoint next to an idle one elsewhere.
#[test]
fn a_call_leaves_a_full_endpoint_for_any_gain() {
    let mut site = Site::new(3, MIN_RELAYS);
    let full = EndpointInfo { slots: 1, ..plain("near", 1) };
    let elsewhere = EndpointInfo { data_centre: "hall-b".to_owned(), ..plain("far", 2) };
    site.rig.list(vec![full, elsewhere]);
    for (name, time) in [("near", NEAR), ("far", Duration::from_millis(85))] {
        let key = site.rig.state.directory.find(name).expect("listed");
        site.rig.state.directory.get_mut(key).expect("known").mean_answer_time = Some(time);
    }
    let mut picked = || {
        site.rig.call("/stock/1", 2000, None);
        site.rig.start().target.instance
    };
    assert_eq!([picked(), picked()], ["near", "far"]);
}

/// Guards against a search of all peers for each plain call.
#[test]
fn whether_there_are_relays_is_kept_for_a_while() {
    let mut site = Site::new(3, MIN_RELAYS);
    let now = site.rig.now();
    assert!(site.rig.state.has_relays(now));
    site.rig.state.peers.known.clear();
    assert!(site.rig.state.has_relays(now + Duration::from_millis(99)));
    assert!(!site.rig.state.has_relays(now + Duration::from_millis(100)));
}
