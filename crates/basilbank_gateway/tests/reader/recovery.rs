//! Once a daemon reaches the store again, confirmed versions are in force in time.

use std::{rc::Rc, time::Duration};

use test_case::test_case;

use crate::{
    rig::{Rig, in_virtual_time},
    store::{Outage, OutagePeriod, Store},
};

/// Maximum delay of a version after its confirmation, or after the store's return: the operators'
/// bound.
const MAX_DELAY: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A store with a new version every 800 ms, whose list of endpoints does not change.
fn store(outage: Outage, to: Duration) -> Rc<Store> {
    Rc::new(Store {
        versions: (1..40).map(|n| ms(800) * n).collect(),
        outages: vec![OutagePeriod { from: ms(4000), to, outage }],
        round_trip: ms(5),
        ..Store::default()
    })
}

/// Describes the first moment at which a version is not in force although it has to be.
async fn first_overdue_version(
    rig: &Rig,
    store: &Store,
    from: Duration,
    peer: bool,
) -> Option<String> {
    for step in 1..=240 {
        let now = ms(50) * step;
        rig.advance_until(store, now, peer).await;
        let due = store.version(now.saturating_sub(MAX_DELAY));
        if from + MAX_DELAY <= now && rig.version() < due {
            return Some(format!("version {} instead of {due} at {now:?}", rig.version()));
        }
    }
    None
}

/// Callers were told that a route doesn't exist although it had been confirmed seconds before. A Vm
/// lost its connection to the store and regained it while versions followed each other and the list
/// of endpoints didn't change. Nothing polled the store: unanswered reads were awaited with
/// timeouts that doubled, and then the configuration's reader waited for the list's, which was in a
/// watch that ends only at a change. In the log of such a Vm the next two versions after the
/// store's return are two seconds apart, the timeout of that wait, until the list's watch ends 7.4
/// s after the return.
#[test_case(Outage::Cut, true ; "cut off, with a peer")]
#[test_case(Outage::Cut, false ; "cut off, alone")]
#[test_case(Outage::Silent, true ; "silent, with a peer")]
#[test_case(Outage::Silent, false ; "silent, alone")]
#[test_case(Outage::Slow(Duration::from_millis(700)), true ; "slow, with a peer")]
#[test_case(Outage::Slow(Duration::from_millis(700)), false ; "slow, alone")]
#[test_case(Outage::Refused, true ; "refused, with a peer")]
#[test_case(Outage::Refused, false ; "refused, alone")]
fn confirmed_version_is_in_force_in_time_after(outage: Outage, peer: bool) {
    let mut overdue = Vec::new();
    // The result depends on which of the reader's waits the end of the outage falls into.
    for step in 0..16 {
        let to = ms(5500) + ms(130) * step;
        in_virtual_time(|| async {
            let rig = Rig::new();
            let store = store(outage, to);
            rig.start_readers(&store);
            let first = first_overdue_version(&rig, &store, to, peer).await;
            overdue.extend(first.map(|first| format!("restored at {to:?}: {first}")));
        });
    }
    assert!(overdue.is_empty(), "{} of 16 outages: {overdue:#?}", overdue.len());
}
