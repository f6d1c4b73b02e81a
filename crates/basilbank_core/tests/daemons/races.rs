//! Random schedules of claims: whatever is lost, late, dead, paused or replaced, a key runs once.

use std::{collections::BTreeMap, time::Duration};

use basilbank_core::{effect::EngineCall, prelude::*};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::fleet::{Fleet, Parcel, stock_order};

const COUNT: usize = 5;
const KEYS: [&str; 2] = ["order-1", "order-2"];

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// A call with a key comes to a daemon.
    Call(usize, usize),
    /// Time goes on, in milliseconds.
    Run(u64),
    /// Nothing happens anywhere for a while, in milliseconds.
    Sleep(u64),
    /// Messages of a kind are held back from now on.
    Hold(usize),
    /// What was held back arrives.
    Release,
    /// What was held back is lost.
    Lose,
    /// A daemon stops, or goes on where it was.
    Toggle(usize),
    /// A daemon's process is replaced.
    Restart(usize),
    /// One daemon sees a list without a VM.
    Delist(usize, usize),
}

const HOLDS: [fn(&Parcel) -> bool; 6] = [
    |_| false,
    |p| matches!(p.message.body, Some(Body::Vote(_))),
    |p| matches!(p.message.body, Some(Body::Settle(_))),
    |p| matches!(p.message.body, Some(Body::Claim(_))),
    |p| (p.from < 2) != (p.to < 2),
    |p| p.to == 0,
];

fn action() -> impl Strategy<Value = Action> {
    let daemon = 0..COUNT;
    prop_oneof![
        6 => (daemon.clone(), 0..KEYS.len()).prop_map(|(d, k)| Action::Call(d, k)),
        6 => (1..400u64).prop_map(Action::Run),
        1 => (1..3000u64).prop_map(Action::Sleep),
        3 => (0..HOLDS.len()).prop_map(Action::Hold),
        2 => Just(Action::Release),
        2 => Just(Action::Lose),
        2 => daemon.clone().prop_map(Action::Toggle),
        1 => daemon.clone().prop_map(Action::Restart),
        1 => (daemon.clone(), daemon).prop_map(|(d, v)| Action::Delist(d, v)),
    ]
}

fn act(fleet: &mut Fleet, action: Action, callers: &mut BTreeMap<CallerId, usize>) {
    match action {
        Action::Call(daemon, key) if !fleet.down.contains(&daemon) => {
            let caller = fleet.call(daemon, Some(KEYS[key]), stock_order());
            callers.insert(caller, key);
            fleet.deliver();
        }
        Action::Call(..) => {}
        Action::Run(millis) => fleet.run(Duration::from_millis(millis)),
        Action::Sleep(millis) => fleet.skip(Duration::from_millis(millis)),
        Action::Hold(kind) => fleet.holds = Some(HOLDS[kind]),
        Action::Release => fleet.release(),
        Action::Lose => fleet.held.clear(),
        Action::Toggle(daemon) => {
            if !fleet.down.remove(&daemon) {
                fleet.down.insert(daemon);
            }
        }
        Action::Restart(daemon) => fleet.restart(daemon),
        Action::Delist(daemon, vm) => {
            let names: Vec<_> = (0..COUNT).filter(|n| *n != vm).collect();
            fleet.list(daemon, &names);
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_key_runs_once(actions in prop::collection::vec(action(), 1..40)) {
        let mut fleet = Fleet::usual(COUNT);
        fleet.skip(Tuning::default().key_window);
        fleet.run(Duration::from_secs(3));
        let mut callers = BTreeMap::new();
        for action in actions {
            act(&mut fleet, action, &mut callers);
        }
        fleet.down.clear();
        fleet.release();
        fleet.run(Duration::from_secs(6));
        let mut runs = [0; KEYS.len()];
        for (_, call) in &fleet.calls {
            if let EngineCall::Plain { caller, .. } = call {
                runs[callers[caller]] += 1;
            }
        }
        prop_assert!(runs.iter().all(|n| *n <= 1), "{:?}", runs);
    }
}
