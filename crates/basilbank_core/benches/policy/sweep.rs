//! Goodput and waste from half to twice the capacity.

use std::time::Duration;

use basilbank_core::prelude::*;

use crate::{
    figures::{Version, done, goodput, millis, play, ttft_at, wasted},
    mix::{Deployment, Maker, START, Stream},
    world::{AskReport, Report, Spec},
};

const LOADS: [f64; 6] = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0];
const LASTING: Duration = Duration::from_secs(30);
/// Asks before this find empty pools; they are not counted.
const WARM: Duration = Duration::from_secs(10);
/// The teams' parts of the load. The third is owed nothing.
pub const PARTS: [f64; 3] = [0.4, 0.35, 0.25];

/// Prints all figures.
pub fn run() {
    for deployment in Deployment::ALL {
        for load in LOADS {
            for version in Version::ALL {
                one(deployment, load, version);
            }
        }
    }
}

fn one(deployment: Deployment, load: f64, version: Version) {
    let spec = spec(deployment);
    let drafts = load * deployment.draft_capacity(&spec);
    let calls = load * deployment.call_capacity(&spec);
    let mut maker = Maker::new(deployment, 7);
    let until = START + LASTING;
    let asks = (0..PARTS.len()).flat_map(|team| {
        let part = PARTS[team];
        let stream =
            Stream { team, drafts: drafts * part, calls: calls * part, from: START, until };
        maker.asks(&stream)
    });
    let asks = asks.collect();
    let (draft_class, call_class) = (spec.drafts.clone(), spec.calls.clone());
    let (_, report) = play(version.set(spec), asks);
    let name = format!("{}.load_{load}.{}", deployment.name(), version.name());
    let counted = |a: &AskReport| START + WARM <= a.at;
    let draft = |a: &AskReport| a.draft && counted(a);
    let call = |a: &AskReport| !a.draft && counted(a);
    println!("{name}.draft_goodput={:.4}", goodput(&report, &draft_class, draft));
    println!("{name}.call_goodput={:.4}", goodput(&report, &call_class, call));
    println!("{name}.draft_done={:.4}", done(&report, draft));
    println!("{name}.call_done={:.4}", done(&report, call));
    println!("{name}.draft_ttft_p95_ms={}", millis(ttft_at(&report, 0.95, draft)));
    println!("{name}.call_ttft_p95_ms={}", millis(ttft_at(&report, 0.95, call)));
    let drafts = report.decode_taken.max(1) as f64;
    let spent = report.prefill_spent.as_secs_f64() * 1e3 / drafts;
    println!("{name}.prefill_ms_a_draft={spent:.1}");
    print_waste(&name, &report);
    let asked = (report.decode_taken + report.decode_full).max(1);
    println!("{name}.slot_over_commit={:.5}", report.decode_full as f64 / asked as f64);
    if version == Version::Current {
        print_traffic(&name, &report);
    }
}

/// The deployment with a third team that is owed nothing.
pub fn spec(deployment: Deployment) -> Spec {
    let mut spec = deployment.spec();
    spec.teams.push(crate::world::TeamSpec::owed("guests", 0.0));
    spec
}

fn print_waste(name: &str, report: &Report) {
    println!("{name}.prefill_wasted={:.5}", wasted(report));
    let spent = report.prefill_spent.as_secs_f64().max(f64::MIN_POSITIVE);
    for cause in Waste::ALL {
        let Some((_, prefill, _)) = report.wastes.get(cause) else { continue };
        if !prefill.is_zero() {
            let share = prefill.as_secs_f64() / spent;
            println!("{name}.prefill_wasted.{}={share:.5}", cause.as_str());
        }
    }
}

fn print_traffic(name: &str, report: &Report) {
    let sent: u64 = report.daemons.iter().map(|d| d.sent.bytes).sum();
    let seconds = (START + LASTING).as_secs_f64() * report.daemons.len() as f64;
    println!("{name}.peer_bytes_a_second={:.0}", sent as f64 / seconds);
    for (refusal, count) in &report.refusals {
        println!("{name}.refused.{}={count}", refusal.as_str());
    }
    for (retry, count) in &report.retries {
        println!("{name}.retried.{}={count}", retry.as_str());
    }
}
