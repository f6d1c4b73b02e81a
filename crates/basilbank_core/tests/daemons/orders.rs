//! Rolls: every endpoint ends with what the catalogue says, and nobody is cut off on the way.

use std::{collections::BTreeMap, ops::RangeInclusive, time::Duration};

use basilbank_core::{effect::EngineCall, prelude::*, state::RolloutStage};
use test_case::test_case;

use crate::{
    fleet::{Fleet, SECOND, catalogue, draft, spec, vm},
    world::{Ask, End, Node, Place, Power, Spec, Step, Who, World},
};

/// When the operators publish the new version.
const ROLL: Duration = Duration::from_secs(20);
const SAMPLE: Duration = Duration::from_millis(100);

/// A catalogue with another version of the model.
fn version(spec: &Spec, version: &str) -> Step {
    let mut catalogue = spec.catalogue();
    catalogue.models[0].version = version.into();
    catalogue.models[0].adapter = "terms".into();
    Step::Publish(Box::new(catalogue))
}

/// A world with a draft every 150 ms, about a third of what it can carry.
fn busy(spec: Spec, seconds: u32) -> World {
    let mut world = World::new(spec);
    for i in 0..seconds * 1000 / 150 {
        let at = SECOND * 3 + Duration::from_millis(150) * i;
        world.ask(Ask::draft(i as usize % 2, 1500, 80).at(at));
    }
    world
}

/// A world in which the operators publish the second version.
fn rolling(spec: &Spec) -> World {
    let mut world = World::new(spec.clone());
    world.at(ROLL, version(spec, "v2"));
    world
}

/// All endpoints of the model have this version loaded.
fn assert_versions(world: &World, expected: &str) {
    let models = world.endpoints.iter().filter(|e| !e.name.starts_with("plain"));
    let versions: Vec<_> = models.map(|e| e.version.as_str()).collect();
    assert!(versions.iter().all(|v| *v == expected), "{versions:?}");
}

/// Runs until there is what is looked for.
fn run_until_some<T>(world: &mut World, look: impl Fn(&World) -> Option<T>) -> T {
    loop {
        if let Some(found) = look(world) {
            return found;
        }
        world.run_until(world.now + SAMPLE);
        assert!(world.now < ROLL * 2, "it never came");
    }
}

/// Endpoints of a pool that serve nobody: closed by their steward, or loading.
fn out_of_service(world: &World, pool: &str) -> usize {
    let states = || world.daemons.iter().filter_map(|d| d.brain.as_ref()?.state());
    let closed = |id| states().any(|s| s.orders.rollouts.get(&id).is_some_and(|r| r.is_closed()));
    let of_pool = world.endpoints.iter().filter(|e| e.name.starts_with(pool));
    of_pool.filter(|e| e.version.is_empty() || closed(e.id)).count()
}

/// Runs to the end, and gives the most endpoints of each pool that were out of service at once.
fn watch(world: &mut World, end: Duration) -> BTreeMap<&'static str, usize> {
    let mut most = BTreeMap::new();
    while world.now < end {
        let next = world.now + SAMPLE;
        world.run_until(next);
        for pool in ["prefill", "decode"] {
            let out = out_of_service(world, pool);
            let known: &mut usize = most.entry(pool).or_default();
            *known = out.max(*known);
        }
    }
    most
}

fn assert_nothing_cut(world: &World) {
    let report = world.report();
    let not_done: Vec<_> = report.asks.iter().filter(|a| a.end != Some(End::Done)).collect();
    assert!(not_done.is_empty(), "{} of {}: {not_done:?}", not_done.len(), report.asks.len());
    assert!(!report.retries.contains_key(&Retry::DecodeDied), "{:?}", report.retries);
    assert!(!report.retries.contains_key(&Retry::PrefillFailed), "{:?}", report.retries);
}

/// Revisions of the orders that each endpoint took, in their order.
fn revisions(world: &World) -> Vec<Vec<u64>> {
    let orders = world.endpoints.iter().map(|e| &e.orders);
    orders.map(|o| o.iter().map(|(_, fence)| fence >> 32).collect()).collect()
}

/// Symptom: callers' streams break while the operators roll a model. Cause would be an order to an
/// endpoint that still works, or too many endpoints that load at once.
#[test]
fn a_roll_under_load_cuts_nobody_off_and_keeps_what_is_owed() {
    let spec = Spec::kitafuji();
    let mut world = busy(spec.clone(), 150);
    world.at(ROLL, version(&spec, "v2"));
    let most = watch(&mut world, SECOND * 180);
    assert_versions(&world, "v2");
    assert_nothing_cut(&world);
    // The weight store serves one load at a time here.
    assert_eq!(most, BTreeMap::from([("prefill", 1), ("decode", 1)]));
    let orders = revisions(&world);
    assert!(orders.iter().all(|o| o.len() <= 1), "{orders:?}");
}

/// 140 decode slots of which 70% are owed: two of seven endpoints may be away, a third may not. Of
/// three prefill endpoints with 12 slots none may be away, so they go one by one.
#[test]
fn a_fast_weight_store_is_used_as_far_as_shares_allow() {
    let spec = Spec { link_rate: 1_000_000_000, ..Spec::kitafuji() };
    let mut world = rolling(&spec);
    let most = watch(&mut world, SECOND * 90);
    assert_versions(&world, "v2");
    assert_eq!(most, BTreeMap::from([("prefill", 1), ("decode", 2)]));
}

/// Symptom: a roll stops half way, or an endpoint is ordered while it works, because the daemon that
/// saw to it died or was paused in the middle of it.
#[test_case(Some(SECOND * 5), false; "steward replaced")]
#[test_case(None, false; "steward gone")]
#[test_case(Some(SECOND * 20), true; "steward paused")]
fn a_roll_survives_its_steward(back: Option<Duration>, is_pause: bool) {
    let mut world = rolling(&Spec::kitafuji());
    world.run_until(ROLL);
    let steward = run_until_some(&mut world, |world| {
        world.daemons.iter().position(|daemon| {
            let state = daemon.brain.as_ref().and_then(|b| b.state());
            state.is_some_and(|s| s.orders.rollouts.values().any(|r| r.is_closed()))
        })
    });
    let daemon = Who::Daemon(steward);
    let step = match (is_pause, back) {
        (true, Some(lasting)) => Step::Freeze { daemon, lasting },
        _ => Step::Kill { daemon, back },
    };
    world.at(world.now, step);
    world.run_until(SECOND * 200);
    assert_versions(&world, "v2");
}

/// Symptom: an endpoint goes back to an old version. Sequence: its steward is paused while it rolls
/// v2, the operators publish v3, another daemon takes over, the first one wakes up. Endpoints that
/// ignore fencing numbers take whatever comes.
#[test]
fn a_paused_steward_does_not_undo_a_newer_order() {
    let spec = Spec { unfenced: 1, ..Spec::kitafuji() };
    for paused in 0..spec.daemons {
        let mut world = rolling(&spec);
        let daemon = Who::Daemon(paused);
        world.at(ROLL + SECOND * 9, Step::Freeze { daemon, lasting: SECOND * 30 });
        world.at(ROLL + SECOND * 15, version(&spec, "v3"));
        world.run_until(SECOND * 300);
        assert_versions(&world, "v3");
        let orders = revisions(&world);
        assert!(orders.iter().all(|o| o.is_sorted()), "{paused}: {orders:?}");
    }
}

/// Symptom: one endpoint never comes back from a roll, and the roll stops. Sequence: it dies while it
/// loads and comes up with nothing loaded. The order is sent again when the load has taken too long.
#[test]
fn a_load_that_got_stuck_is_ordered_again() {
    let mut world = rolling(&Spec::kitafuji());
    let loading = |world: &World| world.endpoints.iter().position(|e| e.version.is_empty());
    let endpoint = Place::Endpoint(run_until_some(&mut world, loading));
    let back = Some(SECOND * 2);
    world.at(world.now, Step::Down { endpoint, power: Power::Dead, back });
    world.run_until(SECOND * 300);
    assert_versions(&world, "v2");
    assert!(world.report().notes.contains_key("order_load_stuck"));
}

#[test]
fn a_roll_that_is_taken_back_changes_what_had_changed() {
    let spec = Spec::kitafuji();
    let mut world = rolling(&spec);
    world.at(ROLL + SECOND * 25, Step::Publish(Box::new(spec.catalogue())));
    world.run_until(SECOND * 200);
    assert_versions(&world, "v1");
    let untouched = revisions(&world).iter().filter(|o| o.is_empty()).count();
    assert!(spec.plain.count < untouched, "some never changed");
}

/// Symptom: a roll that met a partition never ends. Sequence: half of the daemons are cut off from the
/// others and from all endpoints for a minute, among them stewards of endpoints that drain.
#[test]
fn a_roll_goes_on_after_a_partition() {
    let mut world = rolling(&Spec::kitafuji());
    let nodes: Vec<_> = (0..4).map(Node::Daemon).collect();
    world.at(ROLL + SECOND * 10, Step::Partition { nodes, lasting: SECOND * 60 });
    world.run_until(SECOND * 250);
    assert_versions(&world, "v2");
    let orders = revisions(&world);
    assert!(orders.iter().all(|o| o.is_sorted()), "{orders:?}");
}

/// A daemon alone, steward of everything, that reads what the test says.
struct Alone(Fleet);

impl Alone {
    fn new(catalogue: Catalogue) -> Alone {
        let mut fleet = Fleet::new(1, Tuning::default(), catalogue);
        fleet.run(SECOND * 20);
        Alone(fleet)
    }

    /// Lets time go on while the decode endpoint reports the same; gives the orders that it got.
    fn run(&mut self, report: &EngineReport, seconds: u32) -> Vec<EngineCall> {
        orders_for(&mut self.0, 0, report, seconds)
    }

    fn roll(&self) -> Option<&RolloutStage> {
        self.0.states[0].orders.rollouts.get(&EndpointId::of("decode-0")).map(|r| &r.stage)
    }
}

/// Lets time go on while a daemon reads the same report from the decode endpoint.
fn orders_for(
    fleet: &mut Fleet,
    to: usize,
    report: &EngineReport,
    seconds: u32,
) -> Vec<EngineCall> {
    fleet.calls.clear();
    for _ in 0..seconds {
        let (endpoint, report) = (EndpointId::of("decode-0"), report.clone());
        fleet.feed(to, Event::Engine(EngineEvent::Report { endpoint, report }));
        fleet.run(SECOND);
    }
    let orders = fleet.calls.iter().map(|(_, call)| call);
    orders.filter(|c| matches!(c, EngineCall::Order { .. })).cloned().collect()
}

fn without_fencing() -> Catalogue {
    let mut catalogue = catalogue();
    catalogue.endpoints.iter_mut().for_each(|e| e.checks_fencing = false);
    catalogue
}

fn load(version: &str, fence: u64, running: u32) -> EngineReport {
    EngineReport::Load {
        running,
        queued: 0,
        age: Duration::ZERO,
        leaving: false,
        model: spec().model.into(),
        version: version.into(),
        adapter: String::new(),
        role: Some(Role::Decode),
        fence,
    }
}

/// An order without effect is sent again after 5, 10, 20 and 40 seconds.
#[test_case(|_| (), "v1", 30, 0..=0; "serves what it should")]
#[test_case(|e| e.accepts_orders = false, "v0", 60, 0..=0; "takes no orders")]
#[test_case(|_| (), "v0", 60, 3..=5; "does not follow")]
fn orders_by_what_an_endpoint_serves(
    change: fn(&mut Endpoint),
    version: &str,
    seconds: u32,
    orders: RangeInclusive<usize>,
) {
    let mut catalogue = catalogue();
    catalogue.endpoints.iter_mut().for_each(change);
    let count = Alone::new(catalogue).run(&load(version, 0, 0), seconds).len();
    assert!(orders.contains(&count), "{count}");
}

#[test]
fn a_busy_endpoint_is_not_ordered() {
    let mut alone = Alone::new(catalogue());
    assert_eq!(alone.run(&load("v0", 0, 1), 60), []);
    assert_eq!(alone.roll(), Some(&RolloutStage::Draining { empty_since: None }));
    assert_eq!(alone.0.states[0].members.own, vm(0));
}

/// Symptom: a prefill is wasted and its request starts anew. Sequence: a decode slot is granted, the
/// prefill runs, the decode endpoint's report says rightly that nothing runs there, and it is ordered.
#[test]
fn an_endpoint_with_a_granted_slot_is_not_ordered() {
    let mut alone = Alone::new(catalogue());
    alone.run(&load("v1", 0, 0), 1);
    alone.0.call(0, None, draft());
    assert_eq!(alone.run(&load("v0", 0, 0), 6), []);
    let closed = alone.0.states[0].orders.rollouts.values().any(|r| r.is_closed());
    assert!(closed, "it drains");
}

/// Symptom: a daemon that is cut off from its peers loads a version that the operators have replaced.
/// It still reaches the endpoint and believes that it is its steward.
#[test]
fn a_daemon_that_is_cut_off_orders_nothing() {
    let mut fleet = Fleet::usual(8);
    fleet.run(SECOND * 20);
    let steward = fleet.steward("decode-0");
    for alone in [false, true] {
        fleet.holds = alone.then_some(|_| true);
        fleet.run(SECOND * 10);
        let orders = orders_for(&mut fleet, steward, &load("v0", 0, 0), 8);
        assert_eq!(orders.is_empty(), alone);
    }
}

/// Three daemons; one of them, a steward, drains an idle endpoint and is paused before it orders. The
/// endpoint's last report waits in its socket meanwhile, and looks fresh when it is read.
fn paused_in_a_drain(meanwhile: impl Fn(&mut Fleet, usize)) -> (Fleet, usize) {
    let mut fleet = Fleet::new(3, Tuning::default(), without_fencing());
    fleet.run(SECOND * 20);
    let steward = fleet.steward("decode-0");
    let is_empty = |fleet: &Fleet| {
        let roll = fleet.states[steward].orders.rollouts.get(&EndpointId::of("decode-0"));
        matches!(roll.map(|r| r.stage), Some(RolloutStage::Draining { empty_since: Some(_) }))
    };
    while !is_empty(&fleet) {
        report(&mut fleet, steward, 0);
        fleet.run(SAMPLE);
    }
    fleet.down.insert(steward);
    meanwhile(&mut fleet, steward);
    fleet.run(SECOND * 8);
    fleet.down.remove(&steward);
    fleet.calls.clear();
    report(&mut fleet, steward, 0);
    fleet.run(SECOND * 6 / 5);
    (fleet, steward)
}

fn report(fleet: &mut Fleet, index: usize, running: u32) {
    let (endpoint, report) = (EndpointId::of("decode-0"), load("v0", 0, running));
    fleet.feed(index, Event::Engine(EngineEvent::Report { endpoint, report }));
}

fn has_ordered(fleet: &Fleet, index: usize) -> bool {
    fleet.calls.iter().any(|(i, call)| *i == index && matches!(call, EngineCall::Order { .. }))
}

/// Symptom: an endpoint loads a version that the operators have withdrawn. Sequence: a steward is
/// paused while it drains an endpoint; the operators take the change back; it wakes up and hears that
/// there is a newer catalogue, but the datagrams that would bring it are lost. Cause: it may decide
/// again, and goes on with the order of before.
#[test]
fn a_steward_that_knows_of_a_newer_catalogue_orders_nothing() {
    let (mut fleet, steward) = paused_in_a_drain(|fleet, steward| {
        let mut back = Catalogue { revision: 2, ..catalogue() };
        back.models[0].version = "v0".into();
        for other in (0..3).filter(|i| *i != steward) {
            fleet.publish(other, back.clone());
        }
    });
    for _ in 0..300 {
        report(&mut fleet, steward, 0);
        fleet.run(SAMPLE);
    }
    assert_eq!(fleet.states[steward].view.catalogue.revision, 1);
    assert!(fleet.states[steward].members.may_decide());
    assert!(!has_ordered(&fleet, steward));
}

#[test]
fn an_order_states_the_end_and_carries_the_published_revisions() {
    let mut alone = Alone::new(catalogue());
    let orders = alone.run(&load("v0", 0, 0), 8);
    let expected = EngineCall::Order {
        endpoint: EndpointId::of("decode-0"),
        fence: 1 << 32 | 1,
        model: spec().model.into(),
        version: "v1".into(),
        adapter: String::new(),
        role: "decode",
    };
    assert_eq!(orders, [expected]);
}

/// Symptom: two daemons order an endpoint in turn, back and forth. One that meets a higher number has
/// an old view; it stops until it has a newer catalogue.
#[test]
fn a_higher_fencing_number_stops_orders_until_a_newer_catalogue() {
    let mut alone = Alone::new(catalogue());
    let report = load("v0", 2 << 32 | 1, 0);
    assert_eq!(alone.run(&report, 30), []);
    alone.0.publish(0, Catalogue { revision: 3, ..catalogue() });
    assert_eq!(alone.run(&report, 8).len(), 1);
}

#[test]
fn a_refused_order_is_not_sent_again() {
    let mut alone = Alone::new(catalogue());
    let report = load("v0", 0, 0);
    assert_eq!(alone.run(&report, 8).len(), 1);
    let fenced = EngineReport::OrderFenced { fence: 2 << 32 };
    alone.run(&fenced, 1);
    assert_eq!(alone.roll(), None);
    let report = load("v0", 2 << 32, 0);
    assert_eq!(alone.run(&report, 60), []);
}

#[test]
fn a_newer_version_is_ordered_while_the_older_one_loads() {
    let mut newer = Catalogue { revision: 2, ..catalogue() };
    newer.models[0].version = "v2".into();
    let mut alone = Alone::new(catalogue());
    assert_eq!(alone.run(&load("v0", 0, 0), 4).len(), 1);
    assert_eq!(alone.run(&load("", 0, 0), 20), []);
    alone.0.publish(0, newer);
    let orders = alone.run(&load("", 0, 0), 3);
    assert!(matches!(&orders[..], [EngineCall::Order { version, .. }] if version == "v2"));
}

/// The endpoint does not check numbers, so a new steward waits out what its forerunner may have sent.
#[test]
fn an_endpoint_without_fencing_is_ordered_after_a_settling_time() {
    let mut fleet = Fleet::new(1, Tuning::default(), without_fencing());
    fleet.run(SECOND);
    let mut alone = Alone(fleet);
    let report = load("v0", 0, 0);
    assert_eq!(alone.run(&report, 8), []);
    assert_eq!(alone.run(&report, 8).len(), 1);
}

#[test]
fn a_change_of_role_is_ordered_once_the_old_work_is_done() {
    let mut turned = Catalogue { revision: 2, ..catalogue() };
    turned.endpoints[1].role = Role::Prefill;
    let mut alone = Alone::new(catalogue());
    alone.0.publish(0, turned);
    assert_eq!(alone.run(&load("v1", 0, 1), 20), []);
    let orders = alone.run(&load("v1", 0, 0), 6);
    assert!(matches!(orders[..], [EngineCall::Order { role: "prefill", .. }]), "{orders:?}");
}
