//! Fleets before endpoints that a prompt crashes, and before such that take so many calls a second only, in
//! virtual time: `name=value` lines.
#![allow(clippy::print_stdout, reason = "a bench speaks to its terminal")]

#[path = "../../tests/forward/fleet/mod.rs"]
#[allow(dead_code, reason = "tests use more of it")]
mod fleet;
#[path = "../../tests/forward/rig.rs"]
#[allow(dead_code, reason = "tests use more of it")]
mod rig;
mod ways;

use std::time::Duration;

use fleet::{contact, deadly, limited, quotas};
use ways::Way;

/// Daemons, decode endpoints, other drafts a second, plays.
const DEADLY: [(usize, usize, f64, u64); 4] =
    [(8, 12, 24.0, 20), (78, 15, 30.0, 5), (195, 50, 60.0, 2), (320, 60, 100.0, 1)];

/// Daemons, calls a second, plays.
const LIMITED: [(usize, f64, u64); 4] =
    [(8, 66.0, 20), (78, 240.0, 5), (195, 190.0, 2), (320, 400.0, 1)];

/// What the endpoints of a service take.
const LIMITS: [(&str, [Option<f64>; 4]); 2] = [
    ("some", [Some(4.1), Some(2.8), None, None]),
    ("all", [Some(5.4), Some(4.1), Some(9.0), Some(6.0)]),
];

/// Datagrams that are lost, as a part of all, and whether daemons are restarted and cut off.
const TROUBLES: [(&str, f64, bool); 2] = [("calm", 0.001, false), ("trouble", 0.1, true)];

const TIME: Duration = Duration::from_secs(20);

/// Daemons, those by which callers come.
const QUOTAS: [(usize, usize); 6] = [(8, 8), (8, 1), (71, 71), (71, 1), (195, 195), (320, 320)];

/// What a team asks for, as a part of its quota.
const ASKS: [f64; 2] = [0.8, 7.5];

fn quotas_of_teams() {
    for (daemons, by) in QUOTAS {
        for asks in ASKS {
            let surge = vec![(Duration::ZERO, asks.min(0.6)), (Duration::from_secs(11), asks)];
            let load = quotas::Load { by, asks: surge, ..quotas::Load::new(daemons, asks) };
            let got = quotas::Play::run(load, 101);
            let below = got.refused_below as f64 / got.calls as f64;
            let name = format!("quota_{daemons}_by_{by}_asks_{asks}");
            println!("{name}_worst={:.2} {name}_used={:.2}", got.worst, got.used);
            println!("{name}_refused_below={below:.4} {name}_heard_bytes={}", got.heard);
            let heartbeat = Duration::from_millis(if daemons < 80 { 500 } else { 3000 });
            for way in [Way::EvenShare, Way::Heartbeats(heartbeat)] {
                let got = ways::play(way, daemons, by, asks, quotas::RATE, 101);
                println!("{name}_{way:?}_worst={:.2} used={:.2}", got.worst, got.used);
                println!("{name}_{way:?}_refused_below={:.4}", got.refused_below);
            }
        }
    }
}

fn main() {
    if std::env::args().any(|arg| arg == "quotas") {
        return quotas_of_teams();
    }
    quotas_of_teams();
    for (trouble, loss, restarts) in TROUBLES {
        for (daemons, decode, drafts, seeds) in DEADLY {
            let load = deadly::Load {
                drafts,
                loss,
                trouble: restarts,
                lasts: TIME,
                ..deadly::Load::new(daemons, decode)
            };
            let all: Vec<_> = (1..=seeds).map(|seed| deadly::Play::run(load, 100 + seed)).collect();
            let late = all.iter().map(|got| got.late(contact(daemons))).max();
            let ends = all.iter().map(|got| got.ends.len()).max();
            let blamed: usize = all.iter().map(|got| got.blamed).sum();
            let heard = all.iter().map(|got| got.heard).fold(0.0, f64::max);
            let name = format!("deadly_{trouble}_{daemons}");
            println!(
                "{name}_retries_late={} {name}_crashes={}",
                late.unwrap_or(0),
                ends.unwrap_or(0)
            );
            println!("{name}_others_refused={blamed} {name}_heard_bytes_per_s={heard:.0}");
        }
        for (daemons, calls, seeds) in LIMITED {
            for (which, limits) in LIMITS {
                let load = limited::Load {
                    calls,
                    loss,
                    trouble: restarts,
                    lasts: TIME,
                    ..limited::Load::new(daemons, &limits)
                };
                let all: Vec<_> =
                    (1..=seeds).map(|seed| limited::Play::run(load.clone(), 100 + seed)).collect();
                let counted = (TIME - limited::NAMES - contact(daemons)).as_secs_f64();
                let taken = limits.iter().flatten().sum::<f64>() * counted * seeds as f64;
                let got: usize = all.iter().flat_map(|got| &got.each).sum();
                let worst = all.iter().map(|got| got.worst).fold(0.0, f64::max);
                let heard = all.iter().map(|got| got.heard).fold(0.0, f64::max);
                let name = format!("limits_{trouble}_{daemons}_{which}");
                println!("{name}_worst={worst:.2} {name}_used={:.2}", got as f64 / taken);
                println!("{name}_heard_bytes_per_s={heard:.0}");
            }
        }
    }
}
