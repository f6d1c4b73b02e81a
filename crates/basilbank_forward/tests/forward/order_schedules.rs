//! Random schedules of the Vm that orders: restarts, freezes, cuts, and a right that moves; the
//! endpoints start again as well.

use std::time::Duration;

use basilbank_forward::prelude::*;
use proptest::prelude::*;

use crate::rig::{Rig, model};

/// Time within which two holders must not order one endpoint.
const LEASE: Duration = Duration::from_secs(3);

/// How late a Vm may learn that the right has moved: seeds lag by three seconds, and settings are
/// read every two.
const LAG: Duration = Duration::from_secs(5);

const STEP: Duration = Duration::from_millis(100);

/// What may happen to one of two Vms in a step.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Nothing,
    Restart(usize),
    /// Stands still for some steps.
    Freeze(usize, u32),
    /// Does not reach the store for some steps.
    Cut(usize, u32),
    /// The other Vm becomes the first seed.
    Move,
    /// A prefill endpoint is added.
    Grow,
    /// An endpoint starts again under its id.
    StartAgain(usize),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        40 => Just(Happening::Nothing),
        2 => (0usize..2).prop_map(Happening::Restart),
        2 => (0usize..2, 5u32..150).prop_map(|(vm, steps)| Happening::Freeze(vm, steps)),
        2 => (0usize..2, 5u32..100).prop_map(|(vm, steps)| Happening::Cut(vm, steps)),
        1 => Just(Happening::Move),
        4 => Just(Happening::Grow),
        3 => any::<usize>().prop_map(Happening::StartAgain),
    ]
}

/// One Vm, as the schedule sees it.
struct Vm {
    rig: Rig,
    frozen: u32,
    cut: u32,
    /// The right that it will learn of, and when.
    learns: Option<(Duration, OrderRight)>,
}

struct Schedule {
    vms: [Vm; 2],
    now: Duration,
    first: usize,
    moved: Duration,
    revision: u64,
    endpoints: Vec<EndpointInfo>,
    /// When, by which Vm, to which instance, with which fencing number.
    orders: Vec<(Duration, usize, String, u64)>,
}

fn new_vm(right: OrderRight) -> Vm {
    let mut rig = Rig::new();
    rig.feed(Event::OrderRight(right));
    Vm { rig, frozen: 0, cut: 0, learns: None }
}

impl Schedule {
    fn new() -> Schedule {
        let list = (0..9).map(|n| model(&format!("m{n}"), n + 1, Stage::Prefill));
        Schedule {
            vms: [new_vm(OrderRight::AtOnce), new_vm(OrderRight::None)],
            now: Duration::ZERO,
            first: 0,
            moved: Duration::ZERO,
            revision: 10,
            endpoints: list.collect(),
            orders: Vec::new(),
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Nothing => {}
            Happening::Restart(vm) => {
                // It starts with the settings in force.
                let right = match self.first == vm {
                    true => OrderRight::AfterSilence,
                    false => OrderRight::None,
                };
                self.vms[vm] = new_vm(right);
            }
            Happening::Freeze(vm, steps) => self.vms[vm].frozen = steps,
            Happening::Cut(vm, steps) => self.vms[vm].cut = steps,
            Happening::Move if self.moved + LAG + LEASE < self.now => {
                let (old, new) = (self.first, 1 - self.first);
                self.vms[old].learns = Some((self.now + LAG, OrderRight::None));
                self.vms[new].learns = Some((self.now, OrderRight::AfterSilence));
                (self.first, self.moved) = (new, self.now);
            }
            Happening::Move => {}
            Happening::Grow => {
                let n = self.endpoints.len() as u16;
                self.endpoints.push(model(&format!("m{n}"), n + 1, Stage::Prefill));
            }
            Happening::StartAgain(nth) => {
                let nth = nth % self.endpoints.len();
                let endpoint = &mut self.endpoints[nth];
                endpoint.start_time = Some(endpoint.start_time.map_or(1, |born| born + 1));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.revision += 1;
        for n in 0..2 {
            self.step_vm(n);
        }
    }

    fn step_vm(&mut self, n: usize) {
        let vm = &mut self.vms[n];
        if 0 < vm.frozen {
            vm.frozen -= 1;
            vm.rig.freeze(STEP);
            return;
        }
        // A Vm that has just woken acts on what it knew, before it reads anything.
        vm.rig.pass(STEP);
        let orders = vm.rig.effects.drain(..).filter_map(|effect| match effect {
            Effect::Order { target, fence, .. } => Some((target.instance, fence)),
            _ => None,
        });
        let now = self.now;
        self.orders.extend(orders.map(|(instance, fence)| (now, n, instance, fence)));
        if let Some((at, right)) = vm.learns
            && at <= now
        {
            vm.learns = None;
            vm.rig.feed(Event::OrderRight(right));
        }
        if 0 < vm.cut {
            vm.cut -= 1;
            vm.rig.feed(Event::EndpointsReadFailed);
            return;
        }
        vm.rig.set_revision(self.revision);
        vm.rig.list(self.endpoints.clone());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Symptom: two Vms undid each other's orders.
    /// Sequence: the Vm that orders was replaced while it stood still, was cut off or had just
    /// started again, and went on with an old view when it came back.
    /// Cause: its steady clock did not count the time, so all it knew looked fresh.
    #[test]
    fn holders_do_not_take_turns_within_a_lease(steps in prop::collection::vec(happening(), 300..600)) {
        let mut schedule = Schedule::new();
        for happening in steps {
            schedule.happen(happening);
            schedule.step();
        }
        let orders = &schedule.orders;
        for (at, vm, instance, fence) in orders {
            for (later, other, same, next) in orders {
                if (later, other) == (at, vm) || later < at || same != instance {
                    continue;
                }
                prop_assert!(fence < next, "{instance}: {fence} and then {next}");
                prop_assert!(vm == other || *at + LEASE <= *later, "{instance} at {at:?} and {later:?}");
            }
        }
    }
}
