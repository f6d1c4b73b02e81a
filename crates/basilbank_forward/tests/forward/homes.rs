//! Where a session's drafts are decoded.

use std::{collections::HashMap, net::SocketAddr};

use basilbank_forward::prelude::*;

use crate::rig::{Rig, held, model, prompt};

/// One of several daemons before eight decode endpoints.
fn daemon(number: u8) -> Rig {
    let address = SocketAddr::from(([10, 0, 1, number], 7000));
    let mut rig = Rig::as_daemon(address, vec![]);
    rig.state.local.seed = u64::from(number);
    let decode = (0..8).map(|n| model(&format!("d{n}"), 10 + n, Stage::Decode));
    rig.list(decode.chain([model("p1", 1, Stage::Prefill)]).collect());
    rig
}

fn draft(rig: &mut Rig, session: u64, tokens: u32) -> (RequestId, Attempt) {
    let prompt = Prompt { session: Some(session), ..prompt(tokens) };
    let id = rig.call("/draft/1", 14_000, Some(prompt));
    (id, rig.start())
}

/// Symptom: prompts were read again that an endpoint had kept.
/// Sequence: a daemon dies; its callers come back to others, with the same prompts.
/// Cause: each daemon placed a draft where there was most room at the moment.
#[test]
fn all_daemons_place_a_session_alike() {
    for session in 0..50 {
        let places = (1..5).map(|n| draft(&mut daemon(n), session, 1000).1.target.instance);
        let places: Vec<_> = places.collect();
        assert!(places.windows(2).all(|pair| pair[0] == pair[1]), "{places:?}");
    }
}

#[test]
fn sessions_are_spread_over_all_endpoints() {
    let mut places: HashMap<String, u32> = HashMap::new();
    let mut rig = daemon(1);
    for session in 0..400 {
        let (id, hold) = draft(&mut rig, session * 7919, 100);
        *places.entry(hold.target.instance).or_default() += 1;
        rig.feed(Event::CallerLeft(id));
    }
    assert_eq!(places.len(), 8);
    assert!(places.values().all(|count| (25..=80).contains(count)), "{places:?}");
}

#[test]
fn a_crowded_home_gives_way_to_the_second_and_a_full_one_to_any() {
    let mut rig = daemon(1);
    let mut places = Vec::new();
    for _ in 0..8 {
        let (id, hold) = draft(&mut rig, 42, 4000);
        places.push(hold.target.instance.clone());
        rig.came(id, hold.number, held());
        rig.starts();
    }
    assert_ne!(places[0], places[1], "the first has much less room");
    assert_eq!(places[2], places[0], "both have as much again");
    let mut all = places.clone();
    all.sort();
    all.dedup();
    assert!(2 < all.len(), "{places:?}");
}

#[test]
fn a_home_that_had_the_draft_is_not_tried_again() {
    let mut rig = daemon(1);
    let (id, hold) = draft(&mut rig, 42, 1000);
    rig.came(id, hold.number, Outcome::NotRun(NotRun::Busy));
    assert_ne!(rig.start().target, hold.target);
}
