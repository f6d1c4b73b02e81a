//! Who is alive, who decides, and who knows that it must not.

mod world;

use std::time::Duration;

use basilbank_core::{prelude::*, reduce, state::rank};
use basilbank_wire::Heartbeat;
use test_case::test_case;
use world::{Listing, Net, Node, Spec, Step, Who, World};

const SECOND: Duration = Duration::from_secs(1);

fn state(world: &World, daemon: usize) -> &State {
    world.daemons[daemon].core()
}

fn daemons(world: &World) -> impl Iterator<Item = usize> {
    (0..world.daemons.len()).filter(|d| world.daemons[*d].brain.is_some())
}

fn vm(daemon: usize) -> VmId {
    VmId::of(&Spec::vm_name(daemon))
}

fn everyone_is_live(world: &World) -> bool {
    let all = || daemons(world);
    all().all(|a| all().all(|b| state(world, a).members.is_live(vm(b))))
}

fn started(count: usize) -> World {
    let mut world = World::new(Spec::kitafuji().with_daemons(count));
    world.run_until(SECOND * 4);
    world
}

#[test_case(1)]
#[test_case(2)]
#[test_case(8)]
#[test_case(64)]
fn a_fleet_that_starts_together_decides_within_four_seconds(count: usize) {
    let world = started(count);
    assert!(everyone_is_live(&world));
    assert!(daemons(&world).all(|d| state(&world, d).members.may_decide()));
    let first = state(&world, 0);
    for subject in 0..100 {
        for daemon in daemons(&world) {
            let members = &state(&world, daemon).members;
            assert_eq!(members.owner(subject), first.members.owner(subject));
            assert_eq!(members.voters(subject), first.members.voters(subject));
        }
    }
}

#[test]
fn a_daemon_without_a_list_does_not_decide() {
    // Symptom: a slot is given away twice.
    // Sequence: a process starts while the VM list can't be read.
    // Cause: it takes itself for the only one.
    let now = World::new(Spec::small()).clock();
    let mut state = State::new(Local::default().with_name("entry-0"), now);
    reduce(&mut state, now, Event::Tick, &mut Vec::new());
    assert!(!state.members.may_decide());
}

#[test_case(8, 0.1)]
#[test_case(64, 0.1)]
fn loss_kills_nobody(count: usize, loss: f64) {
    let mut world = started(count);
    world.at(world.now, Step::Net(Net { loss, doubled: 0.1, jitter: SECOND / 10 }));
    for second in 5..40 {
        world.run_until(SECOND * second);
        assert!(everyone_is_live(&world), "after {second} s");
    }
}

#[test_case(8)]
#[test_case(64)]
fn a_dead_daemon_loses_its_subjects_and_nobody_elses(count: usize) {
    let mut world = started(count);
    let before: Vec<_> = (0..500).map(|s| state(&world, 0).members.owner(s)).collect();
    world.at(SECOND * 4, Step::Kill { daemon: Who::Daemon(3), back: None });
    world.run_until(SECOND * 12);
    for daemon in daemons(&world) {
        let members = &state(&world, daemon).members;
        assert!(!members.is_live(vm(3)));
        for (subject, before) in before.iter().enumerate() {
            let after = members.owner(subject as u64);
            assert_ne!(after, Some(vm(3)));
            assert!(*before == Some(vm(3)) || *before == after);
        }
    }
}

#[test]
fn a_restarted_daemon_is_a_new_one_everywhere() {
    // Symptom: slots and streams of a process that is gone are held for ever.
    // Sequence: a process dies and its successor is up before anybody missed it.
    // Cause: the VM was never silent for long.
    let mut world = started(32);
    let old = state(&world, 5).local.incarnation;
    let back = Some(SECOND);
    world.at(SECOND * 4, Step::Kill { daemon: Who::Daemon(5), back });
    world.run_until(SECOND * 9);
    let new = state(&world, 5).local.incarnation;
    assert!(old < new);
    for daemon in daemons(&world) {
        assert_eq!(state(&world, daemon).members.incarnation(vm(5)), Some(new));
    }
}

#[test]
fn a_beat_of_another_incarnation_makes_a_daemon_ask_for_records() {
    // Symptom: after a mass restart the new processes count as dead for half a minute.
    // Sequence: more processes restart at once than full records fit into heartbeats.
    // Cause: beats of an unknown incarnation say nothing, and its record is far back in the queue.
    let mut world = started(8);
    let prefix = ((vm(1).0 >> 48) as u16).to_be_bytes();
    let tags = (0..32_u8).map(|tag| [prefix[0], prefix[1], tag << 3, 0]).collect::<Vec<_>>();
    let beat = Heartbeat { counter: 999, beats: tags.concat(), ..Heartbeat::default() };
    let incarnation = world.daemons[2].incarnation;
    let now = world.clock();
    let brain = world.daemons[0].brain.as_mut().expect("the daemon runs");
    let probes = |out: &[Effect]| {
        let is_probe = |e: &Effect| match e {
            Effect::Send { message: Message { body: Some(Body::Heartbeat(b)) }, .. } => b.probe,
            _ => false,
        };
        out.iter().any(is_probe)
    };
    let later = Now { mono: now.mono + SECOND / 2, ..now };
    let mut out = Vec::new();
    brain.reduce(later, Event::Tick, &mut out);
    assert!(!probes(&out));
    let message = Body::Heartbeat(beat).into();
    brain.reduce(later, Event::Peer { from: vm(2), incarnation, message }, &mut out);
    let later = Now { mono: later.mono + SECOND / 2, ..now };
    brain.reduce(later, Event::Tick, &mut out);
    assert!(probes(&out));
}

#[test]
fn a_message_of_an_old_process_is_dropped() {
    // Symptom: a slot is granted to a process that is gone, and stays held.
    // Sequence: a message waits in the network while its sender is replaced.
    // Cause: it arrives after news of the new process.
    let mut world = started(8);
    let now = world.clock();
    let mut heard = |counter, incarnation| {
        let brain = world.daemons[0].brain.as_mut().expect("the daemon runs");
        let beat = Heartbeat { counter, ..Heartbeat::default() };
        let message = Body::Heartbeat(beat).into();
        brain.reduce(now, Event::Peer { from: vm(1), incarnation, message }, &mut Vec::new());
        let members = &brain.state().expect("the product").members;
        (members.all[&vm(1)].heartbeat_counter, members.incarnation(vm(1)))
    };
    let new = u64::MAX;
    assert_eq!(heard(7, new), (7, Some(new)));
    assert_eq!(heard(9, 1), (7, Some(new)));
}

#[test_case(8; "eight")]
#[test_case(64; "sixty four")]
fn a_daemon_that_slept_decides_nothing_until_it_has_heard_its_peers(count: usize) {
    // Symptom: two stewards give the same slot away.
    // Sequence: a steward's process is stopped; another takes over; the first one wakes up and reads
    // the requests and heartbeats that came meanwhile.
    // Cause: nothing tells it how long it slept, and the heartbeats look like fresh ones.
    let mut world = started(count);
    let lasting = SECOND * 20;
    world.at(SECOND * 5, Step::Freeze { daemon: Who::Daemon(2), lasting });
    world.run_until(SECOND * 25);
    let woken = state(&world, 2);
    assert!(!woken.members.may_decide() && !woken.is_ready());
    world.run_until(SECOND * 25 + SECOND / 2);
    assert!(!state(&world, 2).members.may_decide());
    world.run_until(SECOND * 29);
    let woken = state(&world, 2);
    assert!(woken.members.may_decide() && woken.is_ready());
    assert!(everyone_is_live(&world));
}

#[test]
fn a_lone_daemon_that_slept_goes_on() {
    let mut world = started(1);
    world.at(SECOND * 5, Step::Freeze { daemon: Who::Daemon(0), lasting: SECOND * 9 });
    world.run_until(SECOND * 14);
    assert!(state(&world, 0).members.may_decide() && state(&world, 0).is_ready());
}

#[test_case(3, false, true; "the smaller part does not decide")]
#[test_case(4, true, true; "equal parts both decide")]
#[test_case(5, true, false; "the larger part decides wherever the platform is")]
fn a_partition_leaves_the_decisions_to_the_larger_part(away: usize, there: bool, here: bool) {
    let mut world = started(8);
    let nodes = (0..away).map(Node::Daemon).collect();
    world.at(SECOND * 5, Step::Partition { nodes, lasting: SECOND * 20 });
    world.run_until(SECOND * 24);
    for daemon in 0..8 {
        let expected = if daemon < away { there } else { here };
        let members = &state(&world, daemon).members;
        assert_eq!(members.may_decide(), expected, "daemon {daemon}");
        // Both sides must ask the same voters, or a key could run on each.
        assert_eq!(members.voters(9), state(&world, 7).members.voters(9));
    }
    world.run_until(SECOND * 28);
    assert!(everyone_is_live(&world));
    assert!(daemons(&world).all(|d| state(&world, d).members.may_decide()));
}

#[test]
fn a_daemon_that_shuts_down_gives_its_subjects_up_at_once() {
    let mut world = started(8);
    let mine: Vec<_> =
        (0..200).filter(|s| state(&world, 0).members.owner(*s) == Some(vm(4))).collect();
    assert!(!mine.is_empty());
    world.at(SECOND * 4, Step::Shutdown(Who::Daemon(4)));
    world.run_until(SECOND * 6);
    for daemon in daemons(&world) {
        let members = &state(&world, daemon).members;
        assert!(mine.iter().all(|s| members.owner(*s) != Some(vm(4))));
    }
}

#[test]
fn the_last_daemon_decides_while_it_shuts_down() {
    // Symptom: a shutdown cuts a request in progress.
    // Sequence: a request's prefill ends after SIGTERM, and it needs a slot to decode in.
    // Cause: leaving daemons decide nothing, and all are leaving.
    let mut world = started(1);
    let now = world.clock();
    let brain = world.daemons[0].brain.as_mut().expect("the daemon runs");
    brain.reduce(now, Event::Shutdown, &mut Vec::new());
    let members = &brain.state().expect("the product").members;
    assert!(members.may_decide());
    assert_eq!(members.owner(1), Some(vm(0)));
}

#[test]
fn a_vm_that_the_list_drops_stays_known_for_a_while() {
    let mut world = started(8);
    world.at(SECOND * 4, Step::Kill { daemon: Who::Daemon(6), back: None });
    world.at(SECOND * 5, Step::List(6, Listing::Absent));
    world.run_until(SECOND * 15);
    let members = &state(&world, 0).members;
    assert!(!members.is_listed(vm(6)) && !members.is_live(vm(6)));
    let silent = members.silent_for(vm(6)).expect("it was heard once");
    assert!(SECOND * 10 < silent && silent < SECOND * 12, "{silent:?}");
    assert!(members.incarnation(vm(6)).is_some());
}

#[test]
fn a_vm_that_the_list_calls_leaving_decides_nothing_new() {
    let mut world = started(8);
    world.at(SECOND * 4, Step::List(6, Listing::Leaving));
    world.run_until(SECOND * 12);
    for daemon in 0..8 {
        let members = &state(&world, daemon).members;
        assert!((0..100).all(|s| members.owner(s) != Some(vm(6))));
    }
}

#[test]
fn subjects_spread_evenly() {
    let counts = (0..32).map(|d| {
        let is_first = |s: &u64| (0..32).all(|o| rank(vm(o), *s) <= rank(vm(d), *s));
        (0..3200_u64).filter(is_first).count()
    });
    assert!(counts.into_iter().all(|c| (60..150).contains(&c)));
}
