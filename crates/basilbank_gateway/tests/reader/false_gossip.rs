//! Peers that tell of changes that there are not. Their word may cost a question to the store, never a
//! configuration that is in force.

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

/// A store with the versions that are confirmed at these times.
fn store(versions: &[Duration]) -> Rc<Store> {
    Rc::new(Store { versions: versions.to_vec(), round_trip: ms(5), ..Store::default() })
}

/// Whether a route that isn't known may be denied.
fn can_deny_routes(rig: &Rig) -> bool {
    rig.router.read(|state| !state.is_configuration_outdated())
}

/// Symptom: a daemon answered 503 for routes that there are not, for ever, and so did all others.
/// Sequence: a peer tells of a revision that the store doesn't have, again and again.
/// Cause: a peer's word was believed until the store had reached it.
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
        // Two watches of the list end in that time; besides, one question disproves the word, and the
        // configuration's watch begins anew.
        let cost = rig.queries().len() - before;
        assert!(cost <= 6, "{cost} questions: {:?}", rig.queries());
        assert_eq!(rig.version(), 1);
    });
}

/// Symptom: a daemon asked the store without a pause.
/// Sequence: a peer tells of another revision with each datagram, and none of them exists.
/// Cause: each word counted as news.
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
        // One that disproves and one that waits, each 0.3 s at most; and the list's own.
        let cost = rig.queries().len() - before;
        assert!(cost <= 2 * 5000 / 300 + 8, "{cost} questions");
        assert_eq!(rig.version(), 3, "true news come in time all the same");
    });
}

/// A word about something that is known costs nothing.
#[test]
fn older_revision_causes_no_read() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let store = store(&[ms(100), ms(200)]);
        rig.start_readers(&store);
        // A peer is heard all the while, so that watches are as long at the end as at the start.
        rig.send_gossip(Topic::Routes, 1, ms(1500)).await;
        let before = rig.queries().into_iter().filter(|(at, _)| ms(800) < *at).count();
        assert_eq!((rig.version(), can_deny_routes(&rig)), (3, true));
        assert!(before <= 2, "{:?}", rig.queries());
    });
}
