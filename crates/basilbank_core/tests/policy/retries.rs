//! What follows failures.

use basilbank_core::prelude::*;

use super::{START, done, found, millis, secs};
use crate::world::{Ask, End, EngineFault, Job, Moment, Place, Pool, Spec, Step, World};

/// Symptom: the prefill of a draft is done twice because a transfer made no progress.
/// Sequence: the decode endpoint that was chosen takes no KV cache; the other one would.
/// Cause (guarded against): waiting for the transfer until the KV cache is evicted.
#[test]
fn a_stalled_transfer_goes_elsewhere_with_its_kv_cache() {
    let mut world = World::new(Spec::small());
    let ask = world.ask(Ask::draft(0, 500, 20).at(START));
    let (fault, lasting) = (EngineFault::StallTransfer, secs(30));
    let step = Step::Fault { endpoint: Place::Decode(ask), fault, lasting };
    world.when(ask, Moment::Reserved, step);
    world.run_until(START + secs(10));
    let report = world.report();
    assert_eq!(report.asks[ask].end, Some(End::Done));
    assert_eq!(report.retries.get(&Retry::TransferStalled), Some(&1));
    assert_eq!(world.record.prefills.len(), 1, "one prefill is enough");
    assert_eq!(found(&world), Vec::<String>::new());
}

/// Symptom: a third of all prefill time is wasted, and it gets worse with each retry.
/// Sequence: prompts with a cached prefix are computed faster than their KV caches leave over the
/// link.
/// Cause: transfers behind others counted as stalled and were started again, and prefill slots were
/// given back before the KV cache had left.
#[test]
fn a_full_link_does_not_waste_prefills() {
    let base = Spec::small();
    let prefill = Pool { count: 1, ..base.prefill };
    let decode = Pool { slots: 40, ..base.decode };
    let spec = Spec { prefill, decode, prefill_rate: 400_000.0, ..base };
    let mut world = World::new(spec);
    // Each KV cache takes the link for 77 ms and the prefill for 20.
    for i in 0..120 {
        world.ask(Ask::draft(i as usize % 2, 6000, 10).at(START + millis(50) * i));
    }
    world.run_until(START + secs(60));
    let report = world.report();
    let wasted = report.prefill_spent.saturating_sub(report.prefill_used);
    assert!(wasted * 50 < report.prefill_spent, "{wasted:?} of {:?}", report.prefill_spent);
    assert!(100 <= done(&world, |_| true));
}

/// Symptom: an answer ends in the middle and is called whole.
/// Sequence: the stream's end overtakes its last tokens on the way.
/// Cause: the end was believed without a look at how many tokens there are.
#[test]
fn an_end_that_overtakes_tokens_is_not_whole() {
    let mut world = World::new(Spec::small());
    let (fault, lasting) = (EngineFault::Disorder(millis(90)), secs(30));
    for endpoint in 2..4 {
        let step = Step::Fault { endpoint: Place::Endpoint(endpoint), fault, lasting };
        world.at(START, step);
    }
    for i in 0..6 {
        world.ask(Ask::draft(0, 300, 30).at(START + millis(300) * i));
    }
    world.run_until(START + secs(30));
    assert_eq!(done(&world, |a| a.tokens == 30), 6);
    assert_eq!(found(&world), Vec::<String>::new());
}

/// Symptom: after a storm of callers that leave, endpoints look full though they are empty.
/// Sequence: callers leave at every step while messages between daemons are lost.
/// Cause (guarded against): a lost release or a grant to a request that is gone keeps its slot.
#[test]
fn no_slot_stays_taken_for_callers_that_left() {
    let mut world = World::new(Spec::small());
    let net = crate::world::Net { loss: 0.2, doubled: 0.1, jitter: millis(5) };
    world.at(START, Step::Net(net));
    for i in 0..60 {
        let ask = Ask::draft(i as usize % 2, 800, 60).at(START + millis(40) * i);
        world.ask(ask.with_patience(millis(20) * (1 + i * 7 % 60)));
    }
    world.at(START + secs(6), Step::Net(crate::world::Net::default()));
    world.run_until(START + secs(20));
    for daemon in 0..world.daemons.len() {
        let slots = &world.daemons[daemon].core().slots;
        assert!(slots.own.is_empty(), "{:?}", slots.own);
        for (endpoint, ledger) in &slots.ledgers {
            assert!(ledger.leases.is_empty(), "{endpoint}: {:?}", ledger.leases);
            assert!(ledger.waiting.is_empty());
        }
    }
    assert_eq!(found(&world), Vec::<String>::new());
}

/// Symptom: a stock order is placed twice.
/// Sequence: a call that may not be repeated is sent, and its service dies before it answers.
/// Cause (guarded against): a broken connection taken for a call that was not run.
#[test]
fn what_may_not_be_repeated_is_sent_once() {
    let mut world = World::new(Spec::small());
    let ask = world.ask(Ask::plain(0, "POST").at(START));
    let down =
        Step::Fault { endpoint: Place::Plain(ask), fault: EngineFault::Stall, lasting: secs(40) };
    world.when(ask, Moment::Sent, down);
    world.run_until(START + secs(60));
    assert_eq!(world.report().asks[ask].end, Some(End::Unknown));
    assert_eq!(world.record.asks[&ask].plains, 1);
}

/// Symptom: a prompt is computed again at another endpoint, whose cache it fills.
/// Sequence: three questions on one long prompt, through three daemons.
/// Cause: a daemon knew only where it had sent prompts itself.
#[test]
fn questions_on_one_prompt_meet_its_cached_prefix() {
    let mut world = World::new(Spec::kitafuji());
    let blocks: std::sync::Arc<[u64]> = (0..300u64).map(|i| i * 7919 + 13).collect();
    for i in 0..3 {
        let mut ask = Ask::draft(0, 4800, 20).at(START + secs(4) * i);
        ask.job = Job::Draft { tokens: 4800, blocks: blocks.clone(), output: 20, max_tokens: 20 };
        ask.daemon = Some(2 * i as usize);
        world.ask(ask);
    }
    world.run_until(START + secs(20));
    let spent: Vec<_> = world.record.prefills.iter().map(|p| p.spent).collect();
    assert_eq!(spent.len(), 3);
    assert!(spent[1] < spent[0] / 8 && spent[2] < spent[0] / 8, "{spent:?}");
}

/// Symptom: each daemon finds out for itself that an endpoint takes no KV cache, and forgets it with
/// the next load report; drafts run out of attempts.
/// Sequence: one decode endpoint's transfers stall for a while, under load.
/// Cause: daemons did not tell each other, and a load report cleared any blame.
#[test]
fn an_endpoint_whose_transfers_stall_rests() {
    let mut world = World::new(Spec::kitafuji());
    let decode = world.spec.prefill.count;
    let (fault, lasting) = (EngineFault::StallTransfer, secs(8));
    let endpoint = Place::Endpoint(decode);
    world.at(START + secs(2), Step::Fault { endpoint, fault, lasting });
    for i in 0..400 {
        world.ask(Ask::draft(i as usize % 2, 1500, 80).at(START + millis(30) * i));
    }
    world.run_until(START + secs(30));
    let report = world.report();
    assert_eq!(done(&world, |_| true), 400);
    let stalled = report.retries.get(&Retry::TransferStalled).copied().unwrap_or_default();
    assert!((1..=40).contains(&stalled), "{stalled}");
    let wasted = report.prefill_spent.saturating_sub(report.prefill_used);
    assert!(wasted * 50 < report.prefill_spent, "{wasted:?} of {:?}", report.prefill_spent);
}
