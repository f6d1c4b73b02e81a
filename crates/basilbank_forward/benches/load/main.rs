//! Drafts on time under load, by the router and in turn, in virtual time: `name=value` lines, the same
//! on each run.
#![allow(clippy::print_stdout, reason = "a bench speaks to its terminal")]

#[allow(dead_code, unused_imports, reason = "tests use more of it")]
#[path = "../../tests/forward/load/mod.rs"]
mod load;

use std::time::Duration;

use basilbank_forward::prelude::*;

use load::{Engines, Phase, Placing, Play};

/// Plays of one case.
const SEEDS: u64 = 10;

/// Deployments by name, with the drafts a second that they just serve.
const SITES: [(&str, Engines, f64); 3] = [
    (
        "small",
        Engines { prefill: 2, decode: 7, memory: 40_718, daemons: 1, ..Engines::USUAL },
        24.0,
    ),
    (
        "medium",
        Engines { prefill: 4, decode: 14, memory: 31_701, daemons: 1, ..Engines::USUAL },
        36.0,
    ),
    (
        "tight",
        Engines { prefill: 4, decode: 12, memory: 22_800, daemons: 1, ..Engines::USUAL },
        22.0,
    ),
];

/// Parts of that load.
const LOADS: [f64; 5] = [0.5, 0.75, 1.0, 1.25, 1.5];

/// How long each load lasts.
const TIME: Duration = Duration::from_secs(20);

fn main() {
    for (name, engines, rate) in SITES {
        for load in LOADS {
            let phases = [Phase { rate: rate * load, time: TIME }];
            show(&format!("{name}_load_{load}"), engines, &phases);
        }
        let dark = Engines { dark: engines.decode / 5, ..engines };
        show(&format!("{name}_dark"), dark, &[Phase { rate: rate * 0.6, time: TIME }]);
        let burst = [(0.5, 6), (1.3, 5), (0.5, 6), (1.3, 4), (0.5, 6)];
        let phase = |(part, s): (f64, u64)| Phase { rate: rate * part, time: TIME / 20 * s as u32 };
        show(&format!("{name}_bursts"), engines, &burst.map(phase));
        let fresh = Engines { daemons: engines.decode, ..engines };
        let all_back = Phase { rate: rate * 5.0, time: Duration::from_secs(1) };
        show(&format!("{name}_restart"), fresh, &[all_back]);
    }
}

fn show(case: &str, engines: Engines, phases: &[Phase]) {
    let all_alike = Tuning {
        late_memory_fraction: 1.0,
        first_token_delay: Duration::ZERO,
        cold_start: Duration::ZERO,
        ..Tuning::default()
    };
    let placings = [
        ("in_turn", Placing::InTurn),
        ("all_alike", Placing::Router(Box::new(all_alike))),
        ("router", Placing::Router(Box::default())),
    ];
    for (name, placing) in placings {
        let got: Vec<_> =
            (0..SEEDS).map(|seed| Play::run(engines, phases, placing.clone(), seed)).collect();
        let drafts: u32 = got.iter().map(|got| got.drafts).sum();
        let part = |count: u32| f64::from(count) / f64::from(drafts.max(1));
        let timely = got.iter().map(|got| got.timely_part()).sum::<f64>() / SEEDS as f64;
        let served = part(got.iter().map(|got| got.served).sum());
        let vain = part(got.iter().map(|got| got.vain).sum());
        println!("{case}_{name}_timely={timely:.3} served={served:.3} vain={vain:.3}");
    }
}
