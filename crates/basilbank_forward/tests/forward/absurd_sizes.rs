//! Numbers that are larger than any that a caller, an endpoint or the store can mean.

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{Rig, held, model, prefilled, prompt};

/// Decode endpoints: an idle one takes a completion of any size.
const DECODE: u16 = 40;

fn rig() -> Rig {
    let mut rig = Rig::new();
    let decode = (0..DECODE).map(|n| model(&format!("d{n}"), 100 + n, Stage::Decode));
    let prefill = (1..3).map(|n| model(&format!("p{n}"), n, Stage::Prefill));
    rig.list(prefill.chain(decode).collect());
    rig
}

fn sized(tokens: u32, max_output: u32) -> Prompt {
    Prompt { max_output, output_hint: None, ..prompt(tokens) }
}

/// Guards against sums of tokens that overflow: a daemon that ends, or takes an endpoint with endless
/// prompts for an idle one.
#[test_case(u32::MAX, 100; "endless prompts")]
#[test_case(1000, u32::MAX; "endless completions")]
#[test_case(u32::MAX, u32::MAX; "both")]
#[test_case(1 << 31, 1 << 31; "half of all numbers")]
fn completions_of_absurd_sizes_are_served_beside_others(tokens: u32, max_output: u32) {
    let mut rig = rig();
    let mut readers = Vec::new();
    for prompt in (0..usize::from(DECODE) - 1).map(|_| sized(tokens, max_output)) {
        let id = rig.call("/draft/1", 14_000, Some(prompt));
        for attempt in rig.starts() {
            rig.came(id, attempt.number, held());
        }
        readers.extend(rig.starts());
    }
    assert!(!readers.is_empty(), "none was begun");
    let id = rig.call("/draft/1", 14_000, Some(prompt(1000)));
    let hold = rig.start();
    rig.came(id, hold.number, held());
    let mut next = rig.start();
    if next.op == Op::Prefill {
        rig.came(id, next.number, prefilled());
        next = rig.start();
    }
    rig.came(id, next.number, Outcome::Streaming);
    rig.came(id, next.number, Outcome::Finished);
    assert!(rig.refusals().is_empty());
    rig.pass_ms(20_000);
}

/// Guards against an order whose fencing number overflows: a daemon that ends, or orders that
/// endpoints take for old ones.
#[test_case(0, u64::MAX; "the last revision")]
#[test_case(1, u64::MAX; "the last revision of another era")]
#[test_case(u64::MAX, u64::MAX; "the last revision of the last era")]
#[test_case(u64::MAX, 1 << 56; "a large revision of the last era")]
fn fencing_numbers_rise_whatever_the_revision(era: u64, number: u64) {
    let mut rig = Rig::new();
    rig.feed(Event::OrderRight(OrderRight::AtOnce));
    let list: Vec<_> = (0..9).map(|n| model(&format!("p{n}"), 10 + n, Stage::Prefill)).collect();
    let revision = Revision { era, number };
    let revisions = Revisions { store: revision, latest_change: revision };
    rig.feed(Event::EndpointsRead { revisions, list });
    let mut last = 0;
    for _ in 0..60 {
        rig.pass_ms(1000);
        for effect in std::mem::take(&mut rig.effects) {
            let Effect::Order { fence, .. } = effect else { continue };
            assert!(last < fence, "{fence} after {last}");
            last = fence;
        }
    }
    assert_ne!(last, 0, "no order");
}
