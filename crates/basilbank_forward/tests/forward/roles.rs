//! Orders to endpoints' stages.

use basilbank_forward::{event::Acceptance, prelude::*};
use test_case::test_case;

use crate::rig::{Rig, model, table_with_memory};

/// A daemon with the right, before some prefill and decode endpoints, for some seconds.
fn orders(
    right: OrderRight,
    (memory, slots): (u32, u32),
    (prefill, decode): (u16, u16),
    seconds: u64,
) -> Vec<Effect> {
    let mut rig = Rig::new();
    rig.configure(table_with_memory(2, memory));
    rig.feed(Event::OrderRight(right));
    let stage = |n| if n < prefill { Stage::Prefill } else { Stage::Decode };
    let endpoint = |n| EndpointInfo { slots, ..model(&format!("m{n}"), n + 1, stage(n)) };
    let list: Vec<_> = (0..prefill + decode).map(endpoint).collect();
    rig.list(list.clone());
    let mut orders = Vec::new();
    for _ in 0..seconds * 2 {
        rig.pass_ms(500);
        rig.list(list[..1].to_vec());
        let effects = std::mem::take(&mut rig.effects);
        orders.extend(effects.into_iter().filter(|e| matches!(e, Effect::Order { .. })));
    }
    orders
}

#[test_case((40_718, 64), (3, 6), 1; "roomy endpoints")]
#[test_case((31_701, 32), (7, 11), 3; "less memory")]
#[test_case((22_800, 32), (21, 39), 11; "little memory needs many decode endpoints")]
#[test_case((40_718, 64), (2, 7), 0; "two are always left")]
#[test_case((81_945, 12), (6, 9), 2; "much memory, and few slots")]
#[test_case((81_945, 0), (6, 9), 4; "a number of slots that makes no sense")]
fn surplus_prefill_endpoints_become_decode_endpoints(
    room: (u32, u32),
    stages: (u16, u16),
    count: usize,
) {
    let orders = orders(OrderRight::AtOnce, room, stages, 5);
    assert_eq!(orders.len(), count);
    let mut fences: Vec<u64> = Vec::new();
    let mut instances: Vec<String> = Vec::new();
    for order in orders {
        let Effect::Order { target, stage, fence } = order else { continue };
        assert_eq!(stage, Stage::Decode);
        fences.push(fence);
        instances.push(target.instance);
    }
    assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
    instances.sort();
    instances.dedup();
    assert_eq!(instances.len(), count, "each is ordered once");
}

/// Symptom: two Vms ordered one endpoint within a lease.
/// Sequence: the Vm that orders was replaced; both acted.
/// Cause: the new one began at once.
#[test_case(OrderRight::None, 30, 0; "never")]
#[test_case(OrderRight::AfterSilence, 9, 0; "not before the silence is over")]
#[test_case(OrderRight::AfterSilence, 14, 1; "after it")]
fn the_right_to_order_is_waited_for(right: OrderRight, seconds: u64, count: usize) {
    assert_eq!(orders(right, (40_718, 64), (3, 6), seconds).len(), count);
}

#[test]
fn without_the_store_nothing_is_ordered() {
    let mut rig = Rig::new();
    rig.feed(Event::OrderRight(OrderRight::AtOnce));
    rig.list((0..9).map(|n| model(&format!("m{n}"), n + 1, Stage::Prefill)).collect());
    rig.effects.clear();
    // The list is not confirmed any more: the daemon may be cut off.
    for _ in 0..10 {
        rig.feed(Event::EndpointsReadFailed);
        rig.state.roles.list_grew += std::time::Duration::from_millis(500);
        rig.pass_ms(500);
    }
    assert!(!rig.effects.iter().any(|e| matches!(e, Effect::Order { .. })));
}

#[test]
fn a_refused_order_is_not_repeated() {
    let mut rig = Rig::new();
    rig.feed(Event::OrderRight(OrderRight::AtOnce));
    rig.list((0..4).map(|n| model(&format!("m{n}"), n + 1, Stage::Prefill)).collect());
    rig.pass_ms(1500);
    let count =
        |rig: &Rig| rig.effects.iter().filter(|e| matches!(e, Effect::Order { .. })).count();
    let first = count(&rig);
    assert!(0 < first);
    for n in 0..4 {
        let endpoint = rig.state.directory.find(&format!("m{n}")).unwrap();
        rig.feed(Event::OrderAnswered { endpoint, acceptance: Acceptance::Refused });
    }
    rig.list(vec![model("m0", 1, Stage::Prefill)]);
    rig.pass_ms(2000);
    assert_eq!(count(&rig), first);
}

/// Symptom: a Vm ordered an endpoint that its successor had just ordered.
/// Sequence: it stood still for longer than the successor waits; when it woke, its first act was the
/// order that had been next.
/// Cause: its steady clock did not count the time, so all that it knew looked fresh.
#[test]
fn a_vm_that_stood_still_does_not_order_at_once() {
    let mut rig = Rig::new();
    rig.feed(Event::OrderRight(OrderRight::AtOnce));
    rig.pass_ms(500);
    let list: Vec<_> = (0..9).map(|n| model(&format!("m{n}"), n + 1, Stage::Prefill)).collect();
    rig.list(list.clone());
    rig.freeze(std::time::Duration::from_secs(20));
    let ordered = |rig: &Rig| rig.effects.iter().any(|e| matches!(e, Effect::Order { .. }));
    for _ in 0..8 {
        rig.pass_ms(1000);
        rig.list(list.clone());
        assert!(!ordered(&rig));
    }
    for _ in 0..4 {
        rig.pass_ms(1000);
        rig.list(list.clone());
    }
    assert!(ordered(&rig), "the right is not lost for ever");
}
