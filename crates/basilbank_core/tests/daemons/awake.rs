//! A steward that was paused is as new to its endpoints as one that has just taken over.

use std::time::Duration;

use basilbank_core::{Event, prelude::*, tuning::Tuning};

use crate::fleet::{Fleet, catalogue, vm};

const PAUSE: Duration = Duration::from_secs(2);

/// Symptom: a decode endpoint refuses drafts as full after whole prefills; an endpoint that ignores
/// fencing gets two orders at once. Sequence: a steward is paused, another takes its endpoints over,
/// grants their slots and orders there; the first wakes up and goes on from what it knew. Cause: its
/// ledgers and the start of its hold-off were from before the pause.
#[test]
fn a_steward_that_was_paused_asks_again_what_is_held() {
    let mut fleet = Fleet::new(2, Tuning::default(), catalogue());
    fleet.run(Duration::from_secs(30));
    let catalogue = catalogue();
    let endpoint = catalogue.endpoints.iter().find(|e| e.role == Role::Decode).unwrap().id;
    let is_steward = |i: &usize| fleet.states[*i].members.owner(endpoint.0) == Some(vm(*i));
    let steward = (0..2).find(is_steward).unwrap();
    assert!(fleet.states[steward].slots.ledgers[&endpoint].rebuild.is_none());

    fleet.skip(PAUSE);
    fleet.feed(steward, Event::Tick);

    let state = &fleet.states[steward];
    let learns = |l: &basilbank_core::state::Ledger| l.rebuild.is_some();
    assert!(state.slots.ledgers.get(&endpoint).is_none_or(learns));
    let now = fleet.now().mono;
    assert!(state.orders.owned_since.values().all(|since| now <= *since));
}
