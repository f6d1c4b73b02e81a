//! Peers that report changes which don't exist. Their reports may cost a read of the store, but
//! never a configuration that is in force.

use std::{rc::Rc, time::Duration};

use basilbank_forward::prelude::*;
use tokio::time::sleep;

use crate::{
    rig::{Rig, in_virtual_time},
    store::Store,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A store with versions that are confirmed at these times.
fn store(versions: &[Duration]) -> Rc<Store> {
    Rc::new(Store { versions: versions.to_vec(), round_trip: ms(5), ..Store::default() })
}

/// Whether a request for an unknown route may be denied.
fn can_deny_routes(rig: &Rig) -> bool {
    rig.router.read(|state| !state.is_configuration_outdated())
}

/// All daemons answered 503 for unknown routes for ever, because a peer kept reporting a revision
/// that the store doesn't have: its report was believed until the store reached that revision.
#[test]
fn nonexistent_revision_is_rejected_after_one_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let store = store(&[]);
        rig.start_readers(&store);
        sleep(ms(100)).await;
        let before = rig.queries().len();
        rig.send_gossip(Topic::Routes, 1_000_000, ms(3000)).await;
        assert!(can_deny_routes(&rig), "{:?}", rig.queries());
        // Two watches of the list end in that time. Besides, one read shows that the revision
        // doesn't exist, and the configuration's watch starts again.
        let cost = rig.queries().len() - before;
        assert!(cost <= 6, "{cost} reads: {:?}", rig.queries());
        assert_eq!(rig.version(), 1);
    });
}

/// A daemon read the store without a pause, because a peer reported another revision with each
/// datagram, and none of them existed: each report counted as a new change.
#[test]
fn false_revisions_cause_a_bounded_number_of_reads() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let store = store(&[ms(2000), ms(4000)]);
        rig.start_readers(&store);
        sleep(ms(100)).await;
        let before = rig.queries().len();
        for n in 0..500 {
            rig.send_gossip(Topic::Routes, 1_000_000 + n, Duration::ZERO).await;
            sleep(ms(10)).await;
        }
        // One read that rejects the revision and one that waits, each 0.3 s at most, and the reads
        // of the list.
        let cost = rig.queries().len() - before;
        assert!(cost <= 2 * 5000 / 300 + 8, "{cost} reads");
        assert_eq!(rig.version(), 3, "real changes are still read in time");
    });
}

/// A report of a revision that is already known costs no read.
#[test]
fn older_revision_causes_no_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let store = store(&[ms(100), ms(200)]);
        rig.start_readers(&store);
        // Gossip arrives all the time, so that watches are as long at the end as at the start.
        rig.send_gossip(Topic::Routes, 1, ms(1500)).await;
        let before = rig.queries().into_iter().filter(|(at, _)| ms(800) < *at).count();
        assert_eq!((rig.version(), can_deny_routes(&rig)), (3, true));
        assert!(before <= 2, "{:?}", rig.queries());
    });
}
