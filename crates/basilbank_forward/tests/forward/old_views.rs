//! What daemons of a large fleet know of each other is old, and how they place by it.

use std::{collections::HashMap, time::Duration};

use basilbank_forward::prelude::*;

use crate::rig::{Rig, held, model, prompt};

/// Drafts that are placed.
const DRAFTS: u32 = 400;

/// Endpoints that read prompts.
const READERS: u16 = 8;

/// How many prompts each prefill endpoint gets. The first one looks idle, the others have a prompt each by
/// peers' word, and what peers do is told so late.
fn placed(untold: Duration) -> HashMap<String, u32> {
    let mut rig = Rig::new();
    let readers = (0..READERS).map(|n| model(&format!("p{n}"), 10 + n, Stage::Prefill));
    rig.list(readers.chain([model("d1", 1, Stage::Decode)]).collect());
    for n in 1..READERS {
        let key = rig.state.directory.find(&format!("p{n}")).expect("listed");
        let endpoint = rig.state.directory.get_mut(key).expect("known");
        endpoint.peer_tokens = 3000;
        endpoint.peer_calls = 1;
    }
    rig.state.peers.untold = untold;
    let mut placed = HashMap::new();
    for _ in 0..DRAFTS {
        let id = rig.call("/draft/1", 14_000, Some(prompt(3000)));
        let hold = rig.start();
        rig.came(id, hold.number, held());
        *placed.entry(rig.start().target.instance).or_default() += 1;
        rig.feed(Event::Left(id));
    }
    placed
}

#[test]
fn what_is_known_at_once_decides() {
    assert_eq!(placed(Duration::ZERO), HashMap::from([("p0".to_owned(), DRAFTS)]));
}

/// Symptom: in a fleet of 195 daemons prompts queued for seconds at a few prefill endpoints, beside idle
/// ones.
/// Sequence: an endpoint looks idle to all daemons, by loads that are older than a prompt's reading takes.
/// Cause: each sent its prompts there until it heard of the others'.
#[test]
fn an_endpoint_that_looks_idle_by_old_views_does_not_get_all() {
    let placed = placed(Duration::from_millis(1200));
    let even = DRAFTS / u32::from(READERS);
    assert_eq!(placed.len(), usize::from(READERS), "{placed:?}");
    assert!(placed.values().all(|count| even / 3 <= *count), "{placed:?}");
    assert!(placed["p0"] <= 3 * even, "{placed:?}");
}

#[test]
fn an_endpoint_that_looks_idle_gets_most_by_views_that_are_nearly_new() {
    let placed = placed(Duration::from_millis(50));
    assert!(DRAFTS / 2 < placed["p0"], "{placed:?}");
    assert!(1 < placed.len(), "{placed:?}");
}
