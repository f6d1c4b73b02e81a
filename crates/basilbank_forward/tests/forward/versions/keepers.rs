//! Peers that are told which version began a stream, beside one version.

use basilbank_forward::prelude::*;
use test_case::test_case;

use super::{Net, two_versions, versions};

/// More daemons than are asked for a stream.
const DAEMONS: usize = 14;

fn lose_store(net: &mut Net) {
    for rig in &mut net.rigs {
        rig.unread = None;
        rig.feed(Event::EndpointsReadFailed);
    }
    net.deliver();
}

/// Guards against streams that are lost in a large fleet while the store is away for all.
#[test_case(true; "begun before")]
#[test_case(false; "begun meanwhile")]
fn streams_go_on_in_a_large_fleet_without_the_store(begins_before: bool) {
    let listed = two_versions().into_iter().filter(|info| info.version == "v1");
    let mut net = Net::new(DAEMONS, listed.collect());
    if !begins_before {
        lose_store(&mut net);
    }
    for n in 0..DAEMONS {
        assert_eq!(net.break_off(n, &format!("t{n}")), "v1");
    }
    if begins_before {
        lose_store(&mut net);
    }
    for n in 0..DAEMONS {
        let daemon = (n + 1) % DAEMONS;
        let (attempts, refusals) = net.take_up(daemon, &format!("again{n}"), &format!("t{n}"));
        assert_eq!(versions(&attempts), ["v1"], "{refusals:?}");
    }
}
