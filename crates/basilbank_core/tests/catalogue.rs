//! Changes come into force everywhere, and never go back.

mod world;

use std::time::Duration;

use basilbank_core::{
    prelude::*,
    state::{ApplyResult, DocumentStore, Rng},
};
use basilbank_wire::{Document, Heartbeat};
use test_case::test_case;
use world::{Listing, Node, PlatformMode, Spec, Step, Who, World};

const SECOND: Duration = Duration::from_secs(1);

fn in_force(world: &World) -> Vec<u64> {
    let running = world.daemons.iter().filter(|d| d.brain.is_some());
    running.map(|d| d.core().view.catalogue.revision).collect()
}

fn all_have(world: &World, revision: u64) -> bool {
    in_force(world).iter().all(|r| *r == revision)
}

/// Nobody went back, and nobody mixed documents of different revisions.
fn assert_sound(world: &World) {
    assert_eq!(world.record.reverted, []);
    assert_eq!(world.record.mixed, []);
}

fn publish(world: &mut World, at: Duration) {
    let catalogue = world.spec.catalogue();
    world.at(at, Step::Publish(Box::new(catalogue)));
}

/// A daemon hears of something now, past the world's network; gives what it does.
fn feed(world: &mut World, daemon: usize, event: Event) -> Vec<Effect> {
    let (now, mut out) = (world.clock(), Vec::new());
    let brain = world.daemons[daemon].brain.as_mut().expect("it runs");
    brain.reduce(now, event, &mut out);
    out
}

fn started(count: usize) -> World {
    let mut world = World::new(Spec::kitafuji().with_daemons(count));
    world.run_until(SECOND * 5);
    assert!(all_have(&world, 1) && world.daemons.iter().all(|d| d.is_ready()));
    world
}

#[test_case(1)]
#[test_case(8)]
#[test_case(64)]
fn a_change_is_in_force_everywhere_within_two_seconds(count: usize) {
    let mut world = started(count);
    publish(&mut world, SECOND * 6);
    world.run_until(SECOND * 8);
    assert!(all_have(&world, 2));
    assert_sound(&world);
}

#[test]
fn a_burst_is_read_and_checked_together() {
    let mut world = started(16);
    for i in 0..200 {
        publish(&mut world, SECOND * 6 + SECOND * i / 200);
    }
    world.run_until(SECOND * 9);
    assert!(all_have(&world, 201));
    assert!(world.platform.peak() < 40, "{:?}", world.platform.calls);
    assert!(world.record.notes["catalogue_in_force"] < 16 * 8);
    assert_sound(&world);
}

#[test]
fn reads_do_not_grow_with_the_fleet() {
    let calls = |count| {
        let mut world = started(count);
        world.run_until(SECOND * 65);
        world.platform.calls[5..65].iter().sum::<u32>()
    };
    assert!(calls(64) <= calls(8) + 10);
}

#[test]
fn an_outage_does_not_set_the_fleet_on_the_platform() {
    // Symptom: the platform comes back and is overrun at once.
    // Sequence: it is down for minutes; each daemon notices that nobody confirms its catalogue.
    // Cause: each tries by itself, and all together try more often the more they are.
    let mut world = started(160);
    let mode = PlatformMode::Down;
    world.at(SECOND * 6, Step::Platform { mode, lasting: SECOND * 60 });
    world.run_until(SECOND * 70);
    let reads = &world.platform.calls;
    assert!(reads.iter().skip(6).all(|c| *c < 45), "{reads:?}");
}

#[test]
fn a_platform_that_only_watchers_cannot_reach_is_read_by_others() {
    // Symptom: no change comes into force any more.
    // Sequence: those that watch for all lose the platform, but not their peers.
    // Cause: the others wait for them for ever.
    let mut world = started(8);
    let watchers = world
        .daemons
        .iter()
        .enumerate()
        .filter(|(_, d)| d.core().documents.catalogue_reader.pending_since.is_some());
    let watchers: Vec<_> = watchers.map(|(i, _)| i).collect();
    assert_eq!(watchers.len(), 3);
    publish(&mut world, SECOND * 8);
    // Their shells report failures however often they try.
    for tenth in 50..500 {
        world.run_until(SECOND * tenth / 10);
        for watcher in &watchers {
            if world.daemons[*watcher].core().documents.catalogue_reader.pending_since.is_some() {
                feed(&mut world, *watcher, Event::Platform(PlatformEvent::CatalogueFailed));
            }
        }
    }
    assert!(all_have(&world, 2), "{:?}", in_force(&world));
}

#[test]
fn a_rejected_change_leaves_the_last_good_one_in_force() {
    let mut world = started(8);
    publish(&mut world, SECOND * 6);
    world.at(SECOND * 8, Step::PublishBad);
    world.run_until(SECOND * 12);
    assert!(all_have(&world, 2));
    assert!(world.daemons.iter().all(|d| d.core().documents.store.revision == 3));
    publish(&mut world, SECOND * 12);
    world.run_until(SECOND * 15);
    assert!(all_have(&world, 4));
    assert_sound(&world);
}

#[test]
fn a_process_that_starts_under_a_rejected_change_gets_the_last_good_one() {
    // Symptom: restarted daemons stay without a catalogue until the operators mend theirs.
    // Sequence: a bad change is published; processes are replaced.
    // Cause: the platform has the bad documents only.
    let mut world = started(8);
    publish(&mut world, SECOND * 6);
    world.at(SECOND * 8, Step::PublishBad);
    for daemon in 1..8 {
        let at = SECOND * (10 + daemon as u32);
        world.at(at, Step::Kill { daemon: Who::Daemon(daemon), back: Some(SECOND / 2) });
    }
    world.run_until(SECOND * 25);
    assert!(all_have(&world, 2));
    assert!(world.daemons.iter().all(|d| d.is_ready()));
    // What the restarted ones hold is the same again: the one that had it from the start goes.
    world.at(SECOND * 25, Step::Kill { daemon: Who::Daemon(0), back: Some(SECOND) });
    world.run_until(SECOND * 35);
    assert!(all_have(&world, 2));
    assert_sound(&world);
}

#[test]
fn daemons_that_skipped_different_revisions_agree() {
    // Symptom: a change is in force on some daemons only, for ever.
    // Sequence: a good change and then a bad one are published while part of the fleet is cut off;
    // when it is back it learns of both at once.
    // Cause: it never had the good one's documents alone, and the newest do not compile.
    let mut world = started(8);
    let nodes = (4..8).map(Node::Daemon).collect();
    world.at(SECOND * 6, Step::Partition { nodes, lasting: SECOND * 10 });
    publish(&mut world, SECOND * 8);
    world.at(SECOND * 10, Step::PublishBad);
    world.run_until(SECOND * 15);
    assert_eq!(in_force(&world), [2, 2, 2, 2, 1, 1, 1, 1]);
    world.run_until(SECOND * 20);
    assert!(all_have(&world, 2), "{:?}", in_force(&world));
    assert_sound(&world);
}

#[test]
fn a_restart_during_an_outage_still_gets_the_catalogue_and_the_list() {
    let mut world = started(8);
    let mode = PlatformMode::Down;
    world.at(SECOND * 6, Step::Platform { mode, lasting: SECOND * 60 });
    world.at(SECOND * 8, Step::Kill { daemon: Who::Daemon(1), back: Some(SECOND) });
    world.run_until(SECOND * 16);
    let restarted = &world.daemons[1];
    assert!(restarted.is_ready());
    assert!(restarted.core().members.may_decide());
    assert!(all_have(&world, 1));
}

#[test_case(1)]
#[test_case(3)]
fn a_stale_platform_takes_nobody_back_while_one_daemon_remembers(seed: u64) {
    // Symptom: a withdrawn key works again.
    // Sequence: the platform goes stale after a change; all daemons but one are replaced.
    // Cause: the new ones believe the platform.
    let mut world = World::new(Spec::kitafuji().with_seed(seed));
    publish(&mut world, SECOND * 9);
    world.run_until(SECOND * 8);
    world.set_platform(PlatformMode::Stale);
    world.run_until(SECOND * 9 + SECOND / 2);
    // The change reaches one daemon past the stale replica.
    let fresh = PlatformEvent::Documents {
        base_revision: 0,
        revision: 2,
        documents: world.platform.documents(2),
    };
    feed(&mut world, 7, Event::Platform(fresh));
    let compiled = world.platform.catalogues[&2].clone().expect("it passes the check");
    let checked = PlatformEvent::Checked { revision: 2, result: Ok(compiled) };
    feed(&mut world, 7, Event::Platform(checked));
    world.run_until(SECOND * 15);
    assert!(all_have(&world, 2));
    for daemon in 0..7 {
        world.at(SECOND * 15, Step::Kill { daemon: Who::Daemon(daemon), back: Some(SECOND) });
    }
    world.run_until(SECOND * 30);
    assert!(all_have(&world, 2), "{:?}", in_force(&world));
    assert!(world.daemons.iter().all(|d| d.is_ready()));
    let served = world.record.force.iter().map(|f| f.last().map(|(_, r)| *r));
    assert!(served.into_iter().all(|r| r == Some(2)));
    assert_sound(&world);
}

#[test]
fn a_daemon_that_slept_serves_nobody_by_its_old_catalogue() {
    let mut world = started(8);
    world.at(SECOND * 6, Step::Freeze { daemon: Who::Daemon(3), lasting: SECOND * 30 });
    publish(&mut world, SECOND * 10);
    for tenth in 360..420 {
        world.run_until(SECOND * tenth / 10);
        let daemon = world.daemons[3].core();
        assert!(!daemon.is_ready() || daemon.view.catalogue.revision == 2);
    }
    assert!(world.daemons[3].is_ready());
}

#[test]
fn a_call_to_a_daemon_that_just_woke_is_refused() {
    let mut world = started(8);
    world.at(SECOND * 6, Step::Freeze { daemon: Who::Daemon(3), lasting: SECOND * 30 });
    world.run_until(SECOND * 36);
    let work =
        CallKind::Plain(PlainCall { method: "GET".into(), path: "/fitter-desk/item".into() });
    let (caller, key) = (CallerId(1), Spec::key(0));
    let call = Call { caller, key, idempotency_key: None, repeatable: None, kind: work };
    let out = feed(&mut world, 3, Event::Caller(CallerEvent::Arrived(Box::new(call))));
    let is_refused = |e: &Effect| {
        let Effect::Answer { answer: Answer::Refused { refusal, .. }, .. } = e else {
            return false;
        };
        *refusal == Refusal::NotReady
    };
    assert!(out.iter().any(is_refused), "{out:?}");
}

#[test]
fn a_part_without_the_platform_keeps_its_catalogue_and_catches_up() {
    let mut world = started(8);
    let nodes = (4..8).map(Node::Daemon).collect();
    world.at(SECOND * 6, Step::Partition { nodes, lasting: SECOND * 60 });
    publish(&mut world, SECOND * 20);
    world.run_until(SECOND * 65);
    assert_eq!(in_force(&world), [2, 2, 2, 2, 1, 1, 1, 1]);
    assert!(world.daemons[5].is_ready());
    world.run_until(SECOND * 69);
    assert!(all_have(&world, 2));
    assert_sound(&world);
}

/// One fault, of a kind and at daemons that the random numbers give. Daemon 0 keeps its memory: when
/// all lose it while the platform is stale, nobody can know better.
fn fault(world: &World, rng: &mut Rng) -> Vec<Step> {
    let some = |rng: &mut Rng| (1..8).filter(|_| rng.unit() < 0.5).collect::<Vec<usize>>();
    let lasting = Duration::from_millis(200 + rng.next_u64() % 6000);
    match rng.index(6) {
        0 => some(rng)
            .into_iter()
            .map(|d| Step::Freeze { daemon: Who::Daemon(d), lasting })
            .collect(),
        1 => {
            let kill = |d| Step::Kill { daemon: Who::Daemon(d), back: Some(lasting / 4) };
            some(rng).into_iter().map(kill).collect()
        }
        2 => {
            let nodes = some(rng).into_iter().map(Node::Daemon).collect();
            vec![Step::Partition { nodes, lasting }]
        }
        3 => vec![Step::Platform { mode: PlatformMode::Down, lasting }],
        4 => vec![Step::Platform { mode: PlatformMode::Stale, lasting }],
        _ => vec![Step::Publish(Box::new(world.spec.catalogue())), Step::PublishBad],
    }
}

#[test]
fn random_faults_take_nobody_back_and_leave_all_with_the_same() {
    for seed in 1..=60 {
        let mut world = World::new(Spec::kitafuji().with_seed(seed));
        let mut rng = Rng::new(seed);
        for turn in 0..8 {
            let start = SECOND * (5 + 7 * turn);
            for step in fault(&world, &mut rng) {
                world.at(start + Duration::from_millis(rng.next_u64() % 1000), step);
            }
            let at = start + Duration::from_millis(rng.next_u64() % 7000);
            if rng.unit() < 0.3 {
                world.at(at, Step::PublishBad);
            } else {
                publish(&mut world, at);
            }
        }
        world.run_until(SECOND * 90);
        let revision = in_force(&world)[0];
        assert!(all_have(&world, revision), "seed {seed}: {:?}", in_force(&world));
        assert!(world.daemons.iter().all(|d| d.is_ready()), "seed {seed}");
        assert_sound(&world);
    }
}

#[test]
fn a_daemon_that_is_not_listed_yet_hears_of_changes() {
    // Symptom: a new VM's daemon has no catalogue, or an old one, for as long as the list lags.
    // Sequence: a process starts on a VM that the platform's list does not name yet.
    // Cause: its peers send heartbeats to listed VMs only, and nothing in those it sends asks them.
    let spec = Spec { vm_lag: SECOND * 20, ..Spec::kitafuji().with_daemons(4) };
    let mut world = World::new(spec);
    world.at(SECOND * 5, Step::Kill { daemon: Who::Daemon(3), back: None });
    world.at(SECOND * 5, Step::List(3, Listing::Absent));
    world.at(SECOND * 30, Step::Start(3));
    publish(&mut world, SECOND * 38);
    world.run_until(SECOND * 34);
    assert!(world.daemons[3].is_ready() && all_have(&world, 1));
    world.run_until(SECOND * 40);
    assert!(all_have(&world, 2));
    // And it knows whom to ask for slots.
    for half in 80..96 {
        world.run_until(SECOND * half / 2);
        let members = &world.daemons[3].core().members;
        assert!(!members.is_listed(members.own));
        assert_eq!(members.live().len(), 3, "{:?}", world.now);
    }
}

#[test]
fn two_that_are_each_behind_do_not_answer_each_other_without_end() {
    let mut world = started(8);
    let now = world.clock();
    let vm = world.daemons[1].vm;
    let incarnation = world.daemons[1].incarnation;
    let brain = world.daemons[0].brain.as_mut().expect("it runs");
    let mut replies = |reply| {
        let beat = Heartbeat { counter: 999, vms: 99, reply, ..Heartbeat::default() };
        let message = Body::Heartbeat(beat).into();
        let mut out = Vec::new();
        brain.reduce(now, Event::Peer { from: vm, incarnation, message }, &mut out);
        let is_reply = |e: &&Effect| match e {
            Effect::Send { message: Message { body: Some(Body::Heartbeat(b)) }, .. } => b.reply,
            _ => false,
        };
        out.iter().filter(is_reply).count()
    };
    assert_eq!(replies(false), 1);
    assert_eq!(replies(true), 0);
}

#[test]
fn a_late_check_takes_nobody_back() {
    // Symptom: a withdrawn key works again.
    // Sequence: the check of a revision takes long; meanwhile a later one is in force.
    // Cause: the first check's result comes last.
    let mut world = started(8);
    publish(&mut world, SECOND * 5);
    world.run_until(SECOND * 8);
    let older = world.platform.catalogues[&1].clone().expect("it passes the check");
    let checked = PlatformEvent::Checked { revision: 1, result: Ok(older) };
    let now = world.clock();
    let brain = world.daemons[0].brain.as_mut().expect("it runs");
    brain.reduce(now, Event::Platform(checked), &mut Vec::new());
    assert!(all_have(&world, 2));
}

#[test]
fn a_list_without_vms_is_not_believed() {
    let mut world = started(8);
    let vms = Event::Platform(PlatformEvent::Vms { revision: 99, vms: Vec::new() });
    feed(&mut world, 0, vms);
    assert_eq!(world.daemons[0].core().members.listed().len(), 8);
}

#[test]
fn changes_of_the_list_reach_all() {
    let mut world = started(32);
    world.at(SECOND * 5, Step::List(9, Listing::Absent));
    world.run_until(SECOND * 14);
    assert!(world.daemons.iter().all(|d| d.core().members.listed().len() == 31));
}

fn document(key: &str, revision: u64) -> Document {
    Document { key: key.into(), text: Some(format!("{key} at {revision}")), revision }
}

fn removed(key: &str, revision: u64) -> Document {
    Document { key: key.into(), text: None, revision }
}

fn store() -> DocumentStore {
    let mut store = DocumentStore::default();
    let whole = vec![document("a", 3), document("b", 4)];
    assert!(matches!(store.apply(0, 5, whole), ApplyResult::Changed(_)));
    store
}

#[test]
fn what_is_older_is_dropped() {
    let mut store = store();
    assert_eq!(store.apply(0, 4, vec![document("a", 4)]), ApplyResult::Stale);
    assert_eq!(store.apply(5, 5, vec![]), ApplyResult::Unchanged);
    assert_eq!(store.apply(7, 9, vec![document("a", 9)]), ApplyResult::Gap);
    assert_eq!(store.revision, 5);
    assert_eq!(store.all(), [document("a", 3), document("b", 4)]);
}

#[test]
fn a_delta_that_starts_earlier_does_no_harm() {
    let mut store = store();
    let applied = store.apply(2, 6, vec![document("a", 3), document("b", 6)]);
    let former = [("b".to_owned(), Some(document("b", 4)))];
    assert_eq!(applied, ApplyResult::Changed(former.into()));
    assert_eq!(store.all(), [document("a", 3), document("b", 6)]);
}

#[test]
fn a_whole_removes_what_it_lacks_and_passes_that_on() {
    let mut store = store();
    store.apply(0, 8, vec![document("b", 4)]);
    assert_eq!(store.all(), [document("b", 4)]);
    assert_eq!(store.delta_since(5).documents, [removed("a", 8)]);
    assert_eq!(store.delta_since(5).after, 5);
    // What was removed before revision 5 is not known.
    assert_eq!(store.delta_since(4).after, 0);
}

#[test]
fn removals_are_forgotten_in_the_end() {
    let mut store = store();
    for i in 0..2000 {
        let revision = 6 + 2 * i;
        store.apply(revision - 1, revision, vec![document(&format!("k{i}"), revision)]);
        store.apply(revision, revision + 1, vec![removed(&format!("k{i}"), revision + 1)]);
    }
    assert!(store.delta_since(4000).documents.len() < 10);
    assert_eq!(store.delta_since(1000).after, 0);
    assert_eq!(store.all().len(), 2);
    let mut late = self::store();
    let delta = store.delta_since(5);
    late.apply(delta.after, delta.revision, delta.documents);
    assert_eq!(late.all(), store.all());
}
