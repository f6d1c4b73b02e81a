//! What a steward knows of an endpoint's slots.

use std::time::Duration;

use basilbank_core::{
    ids::{EndpointId, EntryId, RequestId, VmId},
    state::{Ledger, PriorityGroup, Rebuild, ReportedLoad, SlotKey, SlotLease, WaitQueue, Waiter},
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(request: u64) -> SlotKey {
    SlotKey { endpoint: EndpointId::of("decode-1"), request: RequestId(request), attempt: 0 }
}

fn waiter(request: u64, due: u64) -> Waiter {
    Waiter {
        key: key(request),
        vm: VmId::of("entry-1"),
        entry: EntryId::of("scopes"),
        tokens: 100,
        transfer_tokens: 0,
        due: at(due),
        deadline: at(60_000),
        arrived_at: at(request),
        begun: false,
        can_preempt: true,
    }
}

fn lease(since: u64) -> SlotLease {
    SlotLease {
        vm: VmId::of("entry-1"),
        entry: EntryId::of("scopes"),
        tokens: 100,
        transfer_tokens: 0,
        granted_at: at(since),
        expires_at: at(since + 6000),
        done_at: at(since),
        lent: false,
        preempted_at: None,
    }
}

fn order(waiting: &WaitQueue) -> Vec<(PriorityGroup, u64)> {
    let all = waiting.queues().flat_map(|(_, line)| line.iter());
    all.map(|(group, waiter)| (group, waiter.key.request.0)).collect()
}

/// Symptom: a draft whose target has passed is served before one that can still be in time.
/// Sequence: by deadline alone, what is late longest comes first.
#[test]
fn what_is_late_goes_behind_what_is_not() {
    let mut waiting = WaitQueue::default();
    waiting.insert(waiter(1, 500), at(0));
    waiting.insert(waiter(2, 900), at(0));
    waiting.insert(Waiter { transfer_tokens: 2000, ..waiter(3, 2000) }, at(0));
    waiting.insert(Waiter { begun: true, ..waiter(4, 0) }, at(0));
    let first = [
        (PriorityGroup::Begun, 4),
        (PriorityGroup::Cached, 3),
        (PriorityGroup::InTime, 1),
        (PriorityGroup::InTime, 2),
    ];
    assert_eq!(order(&waiting), first);
    waiting.demote_late(at(600));
    let then = [
        (PriorityGroup::Begun, 4),
        (PriorityGroup::Cached, 3),
        (PriorityGroup::InTime, 2),
        (PriorityGroup::Late, 1),
    ];
    assert_eq!(order(&waiting), then);
    assert_eq!(waiting.position(key(1)), Some((PriorityGroup::Late, 3)));
}

/// Symptom: a reservation that is sent again, in case it was lost, takes two places.
#[test]
fn a_reservation_waits_once_however_often_it_is_sent() {
    let mut waiting = WaitQueue::default();
    waiting.insert(waiter(1, 500), at(0));
    waiting.insert(Waiter { arrived_at: at(200), ..waiter(1, 500) }, at(200));
    assert_eq!(waiting.len(), 1);
    assert_eq!(waiting.get(key(1)).map(|w| w.arrived_at), Some(at(1)));
    assert!(waiting.remove(key(1)).is_some());
    assert!(waiting.is_empty() && waiting.queues().next().is_none());
}

/// Symptom: twice as many requests as slots after a steward was replaced.
/// Sequence: its successor grants before it has heard what is held.
/// Cause (guarded against): an empty ledger taken for an empty endpoint.
#[test]
fn a_new_steward_grants_what_the_report_proves_free() {
    let mut ledger = Ledger { slots: 20, ..Ledger::default() };
    let missing = [VmId::of("entry-2")].into();
    ledger.rebuild = Some(Rebuild { missing, needs_report: true, deadline: at(2000) });
    assert_eq!(ledger.free_slots(), 0, "nothing is proved");
    ledger.reported_load = Some(ReportedLoad { running: 15, measured_at: at(100) });
    assert_eq!(ledger.free_slots(), 5);
    ledger.add_lease(key(1), lease(150));
    assert_eq!(ledger.free_slots(), 4, "the report does not know of this one");
    ledger.rebuild = None;
    ledger.unaccounted = 15;
    assert_eq!(ledger.free_slots(), 4);
}

/// Symptom: an endpoint counts as fuller than it is, for one report's time.
/// Sequence: a stream ends and its lease with it; then a report comes that was made before.
/// Cause: all that ran beyond the leases of now counted as unknown streams.
#[test]
fn leases_that_ended_since_a_report_are_known() {
    let mut ledger = Ledger { slots: 20, ..Ledger::default() };
    ledger.add_lease(key(1), lease(100));
    ledger.end_lease(key(1), at(500));
    assert_eq!(ledger.leases_ended_since(at(400)), 1);
    assert_eq!(ledger.leases_ended_since(at(600)), 0);
}

/// Symptom: a service without a queue refuses a third of all calls, however long it does.
/// Sequence: slots are granted beyond those that it has, to keep it busy between two calls.
/// Cause (guarded against): a refusal that only the refused call's daemon hears of.
#[test]
fn a_service_that_refuses_extra_calls_gets_fewer() {
    let mut ledger = Ledger { slots: 6, extra_slots: 2, ..Ledger::default() };
    for _ in 0..5 {
        ledger.record_full();
    }
    assert_eq!(ledger.free_slots(), 4, "never below what it has");
    for _ in 0..200 {
        ledger.record_served();
    }
    assert_eq!(ledger.free_slots(), 5, "one more is tried after a while");
}

/// Symptom: a decode endpoint is granted again and again though it is full.
/// Sequence: it runs streams that no daemon is known to hold, and refuses.
/// Cause (guarded against): waiting for the next load report to learn what the refusal says.
#[test]
fn a_refusal_as_full_counts_until_the_next_report() {
    let mut ledger = Ledger { slots: 20, ..Ledger::default() };
    ledger.record_full();
    assert_eq!(ledger.free_slots(), 19);
}
