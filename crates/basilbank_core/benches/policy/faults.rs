//! Goodput and waste while something fails, at three quarters of the capacity.

use std::time::Duration;

use crate::{
    figures::{Version, done, goodput, play_with, wasted},
    mix::{Deployment, Maker, START, Stream},
    sweep,
    world::{EngineFault, Place, Power, Step, Who},
};

const LOAD: f64 = 0.75;
const LASTING: Duration = Duration::from_secs(24);
/// When the fault begins, and how long it lasts.
const BEGINS: Duration = Duration::from_secs(8);
const LONG: Duration = Duration::from_secs(8);

/// What fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Decode,
    Prefill,
    Transfer,
    Daemon,
}

impl Fault {
    const ALL: [Fault; 4] = [Fault::Decode, Fault::Prefill, Fault::Transfer, Fault::Daemon];

    fn name(self) -> &'static str {
        match self {
            Fault::Decode => "decode_dies",
            Fault::Prefill => "prefill_dies",
            Fault::Transfer => "transfers_stall",
            Fault::Daemon => "daemon_frozen",
        }
    }

    /// The step; endpoints are numbered in the catalogue's order, prefill before decode.
    fn step(self, prefills: usize) -> Step {
        let down = |endpoint| Step::Down {
            endpoint: Place::Endpoint(endpoint),
            power: Power::Dead,
            back: Some(LONG),
        };
        match self {
            Fault::Decode => down(prefills),
            Fault::Prefill => down(0),
            Fault::Transfer => Step::Fault {
                endpoint: Place::Endpoint(prefills),
                fault: EngineFault::StallTransfer,
                lasting: LONG,
            },
            Fault::Daemon => Step::Freeze { daemon: Who::Daemon(0), lasting: LONG },
        }
    }
}

/// Prints all figures.
pub fn run() {
    for deployment in Deployment::ALL {
        for fault in Fault::ALL {
            for version in Version::ALL {
                one(deployment, fault, version);
            }
        }
    }
}

fn one(deployment: Deployment, fault: Fault, version: Version) {
    let spec = sweep::spec(deployment);
    let drafts = LOAD * deployment.draft_capacity(&spec);
    let until = START + LASTING;
    let mut maker = Maker::new(deployment, 17);
    let asks = (0..sweep::PARTS.len()).flat_map(|team| {
        let drafts = drafts * sweep::PARTS[team];
        maker.asks(&Stream { team, drafts, calls: 0.0, from: START, until })
    });
    let asks = asks.collect();
    let class = spec.drafts.clone();
    let step = fault.step(spec.prefill.count);
    let (_, report) = play_with(version.set(spec), asks, |world| world.at(START + BEGINS, step));
    let name = format!("{}.{}.{}", deployment.name(), fault.name(), version.name());
    println!("{name}.draft_done={:.4}", done(&report, |a| a.draft));
    println!("{name}.draft_goodput={:.4}", goodput(&report, &class, |a| a.draft));
    println!("{name}.prefill_wasted={:.5}", wasted(&report));
    for (retry, count) in &report.retries {
        println!("{name}.retried.{}={count}", retry.as_str());
    }
}
