//! Ports for daemons.

use std::{collections::HashSet, net::TcpListener};

use basilbank_standin::managed::Ports;

/// Ports that each takes: more than a block has.
const TAKEN: usize = 250;

/// Guards against daemons of two test processes that choose the same port, and calls that come to the
/// other one's daemon.
#[test]
fn ports_that_are_chosen_at_the_same_time_differ() {
    let mut choosers = [Ports::new(), Ports::new(), Ports::new()];
    let mut taken = HashSet::new();
    for _ in 0..TAKEN {
        for ports in &mut choosers {
            let port = ports.take().expect("a port");
            assert!(taken.insert(port), "{port}");
        }
    }
}

#[test]
fn ports_are_used_again_if_they_are_free() {
    let mut ports = Ports::new();
    let busy = ports.take().expect("a port");
    let _listener = TcpListener::bind(("127.0.0.1", busy)).expect("a listener");
    for _ in 0..4000 {
        assert_ne!(ports.take().expect("a port"), busy);
    }
}
