//! One team asks for ten times its limit: what do the others get?

use std::time::Duration;

use basilbank_core::prelude::*;

use crate::{
    figures::{Version, done, goodput, millis, play, ttft_at, wasted},
    mix::{Deployment, Maker, START, Stream},
    world::{AskReport, TeamSpec},
};

const LASTING: Duration = Duration::from_secs(30);
/// The surge begins and ends within the run.
const SURGE: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(24));
/// What the steady team asks for, of the capacity; it is owed a little more.
const STEADY: f64 = 0.36;
const OWED: f64 = 0.4;
/// What the other team is limited to, of the capacity.
const LIMIT: f64 = 0.3;
const TIMES: f64 = 10.0;
/// How many times longer the answers are that fill all slots.
const LONGER: f64 = 8.0;
/// How many times the capacity that team asks for.
const FILL: f64 = 4.0;

/// Prints all figures.
pub fn run() {
    for deployment in Deployment::ALL {
        for version in Version::ALL {
            for limited in [Limited::Yes, Limited::No] {
                one(deployment, version, limited);
            }
            onset(deployment, version);
        }
    }
}

/// A team that is owed a share comes back when another has filled all slots with long answers.
fn onset(deployment: Deployment, version: Version) {
    let mut spec = deployment.spec();
    let drafts = deployment.draft_capacity(&spec);
    spec.teams = vec![TeamSpec::owed("steady", OWED), TeamSpec::owed("surging", LIMIT)];
    let (from, until) = (START + SURGE.0, START + SURGE.1);
    let steady = Stream { team: 0, drafts: drafts * STEADY, calls: 0.0, from, until };
    let surging =
        Stream { team: 1, drafts: drafts * FILL / LONGER, calls: 0.0, from: START, until };
    let mut maker = Maker::new(deployment, 13);
    let mut asks = maker.asks(&surging);
    for ask in &mut asks {
        ask.lengthen(LONGER as u32);
    }
    asks.extend(maker.asks(&steady));
    let class = spec.drafts.clone();
    let (_, report) = play(version.set(spec), asks);
    let name = format!("{}.onset.{}", deployment.name(), version.name());
    let owed = |a: &AskReport| a.team == 0;
    let other = |a: &AskReport| a.team == 1;
    println!("{name}.owed_draft_ttft_p95_ms={}", millis(ttft_at(&report, 0.95, owed)));
    println!("{name}.owed_draft_goodput={:.4}", goodput(&report, &class, owed));
    println!("{name}.other_draft_done={:.4}", done(&report, other));
    println!("{name}.prefill_wasted={:.5}", wasted(&report));
    for (retry, count) in &report.retries {
        println!("{name}.retried.{}={count}", retry.as_str());
    }
}

/// Whether the surging team's limit is in the catalogue, or only shares hold it back.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Limited {
    Yes,
    No,
}

fn one(deployment: Deployment, version: Version, limited: Limited) {
    let mut spec = deployment.spec();
    let drafts = deployment.draft_capacity(&spec);
    let calls = deployment.call_capacity(&spec);
    let most = |capacity: f64| {
        let requests = if limited == Limited::Yes { capacity * LIMIT } else { 0.0 };
        Limits { requests, owed: LIMIT, ..Limits::default() }
    };
    let surging = TeamSpec { name: "surging", drafts: most(drafts), calls: most(calls) };
    spec.teams = vec![TeamSpec::owed("steady", OWED), surging];
    let until = START + LASTING;
    let steady =
        Stream { team: 0, drafts: drafts * STEADY, calls: calls * STEADY, from: START, until };
    let (from, until) = (START + SURGE.0, START + SURGE.1);
    let surge = LIMIT * TIMES;
    let surging = Stream { team: 1, drafts: drafts * surge, calls: calls * surge, from, until };
    let mut maker = Maker::new(deployment, 11);
    let mut asks = maker.asks(&steady);
    asks.extend(maker.asks(&surging));
    let (draft_class, call_class) = (spec.drafts.clone(), spec.calls.clone());
    let (_, report) = play(version.set(spec), asks);
    let word = if limited == Limited::Yes { "surge" } else { "surge_unlimited" };
    let name = format!("{}.{word}.{}", deployment.name(), version.name());
    let during = |a: &AskReport| from <= a.at && a.at < until;
    let draft = |a: &AskReport| a.team == 0 && a.draft && during(a);
    let call = |a: &AskReport| a.team == 0 && !a.draft && during(a);
    println!("{name}.owed_draft_ttft_p95_ms={}", millis(ttft_at(&report, 0.95, draft)));
    println!("{name}.owed_draft_target_ms={}", millis(draft_class.ttft));
    println!("{name}.owed_call_ttft_p95_ms={}", millis(ttft_at(&report, 0.95, call)));
    println!("{name}.owed_call_target_ms={}", millis(call_class.ttft));
    println!("{name}.owed_draft_goodput={:.4}", goodput(&report, &draft_class, draft));
    println!("{name}.owed_call_goodput={:.4}", goodput(&report, &call_class, call));
    let other = |a: &AskReport| a.team == 1 && a.draft;
    println!("{name}.surging_draft_goodput={:.4}", goodput(&report, &draft_class, other));
    println!("{name}.prefill_wasted={:.5}", wasted(&report));
}
