//! The ids that requests over a connection had.

use std::time::{Duration, Instant};

use basilbank_gateway::carried_ids::{CarriedIds, SentId};

const REMAINING: Duration = Duration::from_secs(2);

fn sent(id: &str) -> SentId<'_> {
    SentId { id, remaining: REMAINING }
}

/// Guards against two attempts of a call over one connection, however many others it carries between.
#[test]
fn an_id_is_known_until_its_call_is_over() {
    let (mut ids, start) = (CarriedIds::default(), Instant::now());
    ids.record(sent("a1"), start);
    (0..500).for_each(|n| ids.record(sent(&format!("b{n}")), start));
    assert!(ids.contains("a1"));
    assert!(!ids.contains("a2"));
    (0..2000).for_each(|n| ids.record(sent(&format!("c{n}")), start + 2 * REMAINING));
    assert!(!ids.contains("a1"));
}

/// Guards against a clock that overflows by a time without bound.
#[test]
fn an_id_without_an_end_is_remembered_for_a_bounded_time() {
    let mut ids = CarriedIds::default();
    ids.record(SentId { id: "a1", remaining: Duration::MAX }, Instant::now());
    assert!(ids.contains("a1"));
}
