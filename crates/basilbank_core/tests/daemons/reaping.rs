//! Streams and KV caches without an owner are cancelled, and no others.

use std::{collections::BTreeSet, time::Duration};

use basilbank_core::{effect::EngineCall, prelude::*};
use test_case::test_case;

use crate::fleet::{Fleet, catalogue, draft, vm};

const COUNT: usize = 8;
const SECOND: Duration = Duration::from_secs(1);

/// A decode endpoint that holds streams.
struct Engine {
    id: EndpointId,
    streams: Vec<Held>,
    /// Daemons that can't reach it.
    cut: BTreeSet<usize>,
    seen: usize,
}

struct Held {
    info: StreamInfo,
    read: Duration,
    reader: bool,
}

impl Engine {
    fn new(name: &str) -> Engine {
        Engine { id: EndpointId::of(name), streams: Vec::new(), cut: BTreeSet::new(), seen: 0 }
    }

    /// A stream that a daemon started, with a reader or without one.
    fn hold(&mut self, fleet: &Fleet, owner: usize, request: u64, reader: bool) {
        let info = StreamInfo {
            stream: format!("s{request}"),
            kv: false,
            vm: vm(owner),
            incarnation: fleet.states[owner].local.incarnation,
            request,
            idle: Duration::ZERO,
        };
        self.streams.push(Held { info, read: fleet.mono, reader });
    }

    /// Lets time go on, second by second, and answers lists and cancels.
    fn run(&mut self, fleet: &mut Fleet, seconds: u32) {
        for _ in 0..seconds {
            fleet.run(SECOND);
            for held in &mut self.streams {
                if held.reader {
                    held.read = fleet.mono;
                }
                held.info.idle = fleet.mono - held.read;
            }
            let calls = fleet.calls[self.seen..].to_vec();
            self.seen = fleet.calls.len();
            for (index, call) in calls {
                if !self.cut.contains(&index) {
                    self.answer(fleet, index, &call);
                }
            }
        }
    }

    fn answer(&mut self, fleet: &mut Fleet, index: usize, call: &EngineCall) {
        match call {
            EngineCall::ListStreams { endpoint } if *endpoint == self.id => {
                let streams = self.streams.iter().map(|s| s.info.clone()).collect();
                let report = EngineReport::Streams(streams);
                let report = EngineEvent::Report { endpoint: self.id, report };
                fleet.feed(index, Event::Engine(report));
            }
            EngineCall::Reap { endpoint, stream, vm, incarnation } if *endpoint == self.id => {
                let owner = (*vm, *incarnation);
                let is_meant = |s: &StreamInfo| s.stream == *stream;
                let is_owner = |s: &StreamInfo| (s.vm, s.incarnation) == owner;
                self.streams.retain(|s| !(is_meant(&s.info) && is_owner(&s.info)));
            }
            EngineCall::Cancel { endpoint, held: Some(held), .. } if *endpoint == self.id => {
                self.streams.retain(|s| s.info.stream != *held);
            }
            _ => {}
        }
    }

    fn holds(&self, request: u64) -> bool {
        self.streams.iter().any(|s| s.info.request == request)
    }
}

fn ready() -> Fleet {
    let mut fleet = Fleet::new(COUNT, Tuning::default(), catalogue());
    fleet.run(SECOND * 10);
    fleet
}

/// A KV cache is of no use to a caller that comes back, so it goes as soon as its daemon counts as
/// dead. Endpoints evict it by themselves; this is for one that does not.
#[test]
fn a_dead_daemons_kv_cache_goes_at_once() {
    let mut fleet = ready();
    let mut engine = Engine::new("prefill-0");
    for (owner, request) in [(2, 1), (3, 2)] {
        engine.hold(&fleet, owner, request, false);
        engine.streams.last_mut().unwrap().info.kv = true;
    }
    fleet.down.insert(2);
    engine.run(&mut fleet, 7);
    assert!(!engine.holds(1));
    assert!(engine.holds(2), "its daemon lives");
}

/// Symptom: a decode slot stays taken for minutes after a VM died. Sequence: the daemon dies, its
/// stream goes on without a reader. Cause would be that nobody but the owner cancels streams. The
/// grace lets a caller come back with its cursor first.
#[test]
fn a_dead_daemons_stream_goes_after_the_grace() {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    engine.hold(&fleet, 2, 1, false);
    fleet.down.insert(2);
    engine.run(&mut fleet, 9);
    assert!(engine.holds(1), "within the grace a caller may still resume it");
    engine.run(&mut fleet, 6);
    assert!(!engine.holds(1));
}

#[test]
fn a_replaced_daemons_stream_goes_after_the_grace() {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    engine.hold(&fleet, 2, 1, false);
    fleet.restart(2);
    engine.run(&mut fleet, 15);
    assert!(!engine.holds(1));
}

#[test]
fn a_stream_of_a_vm_off_the_list_goes_after_the_grace() {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    engine.hold(&fleet, 2, 1, false);
    fleet.down.insert(2);
    for index in [0, 1, 3, 4, 5, 6, 7] {
        fleet.list(index, &[0, 1, 3, 4, 5, 6, 7]);
    }
    engine.run(&mut fleet, 15);
    assert!(!engine.holds(1));
}

/// Symptom: a caller's stream breaks in the middle of a sentence while its own VM is well. Sequence: a
/// partition parts the daemons; the endpoint's steward hears nothing of the daemon on the other side
/// and takes it for dead, but that daemon still reaches the endpoint and its caller reads on.
#[test]
fn a_stream_that_is_read_across_a_partition_stays() {
    for owner in 0..COUNT {
        let mut fleet = ready();
        let mut engine = Engine::new("decode-0");
        engine.hold(&fleet, owner, 1, true);
        fleet.holds = |p| (p.from < 4) != (p.to < 4);
        engine.run(&mut fleet, 120);
        assert!(engine.holds(1), "owner {owner}");
    }
}

/// Symptom: as above, with a cause of its own: the daemon was taken off the platform's list while it
/// finishes what is in progress.
#[test]
fn a_stream_that_a_delisted_daemon_still_reads_stays() {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    engine.hold(&fleet, 2, 1, true);
    for index in 0..COUNT {
        fleet.list(index, &[0, 1, 3, 4, 5, 6, 7]);
    }
    engine.run(&mut fleet, 60);
    assert!(engine.holds(1));
}

/// Symptom: a caller resumes its stream through another VM and it is cancelled under its hands.
/// Sequence: the steward lists the stream of a dead daemon, a caller takes it over, the cancel comes
/// after that. The cancel names the owner that it is meant for.
#[test]
fn a_cancel_that_comes_after_a_takeover_does_nothing() {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    engine.hold(&fleet, 2, 1, false);
    fleet.down.insert(2);
    engine.run(&mut fleet, 9);
    let late: Vec<_> = (0..COUNT)
        .map(|index| {
            let info = &engine.streams[0].info;
            let (vm, incarnation) = (info.vm, info.incarnation);
            let stream = info.stream.clone();
            (index, EngineCall::Reap { endpoint: engine.id, stream, vm, incarnation })
        })
        .collect();
    let new_owner = &mut engine.streams[0].info;
    new_owner.vm = vm(3);
    new_owner.incarnation = fleet.states[3].local.incarnation;
    engine.streams[0].reader = true;
    for (index, call) in late {
        engine.answer(&mut fleet, index, &call);
    }
    engine.run(&mut fleet, 30);
    assert!(engine.holds(1));
}

/// Symptom: a slot stays taken although its caller left. Sequence: the caller leaves, the daemon sends
/// the one cancel that there is, and the endpoint never gets it.
#[test_case(true; "the stream's name was known")]
#[test_case(false; "the stream's name was not known yet")]
fn a_lost_cancel_is_made_good(known: bool) {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    let caller = fleet.call(0, None, draft());
    fleet.run(SECOND);
    let request = fleet.states[0].requests.arena.values().next().unwrap().id.0;
    fleet.import(0);
    if known {
        fleet.stream(0, &format!("s{request}"));
    }
    engine.hold(&fleet, 0, request, false);
    fleet.feed(0, Event::Caller(CallerEvent::Left(caller)));
    engine.seen = fleet.calls.len();
    engine.run(&mut fleet, 4);
    assert!(!engine.holds(request));
    engine.run(&mut fleet, 4);
    assert!(!fleet.states[0].reaper.watches.contains_key(&engine.id));
}

/// Symptom: as above. Sequence: a list is asked for, a cancel is lost, the list comes and does not yet
/// show the stream that the cancel was for.
#[test]
fn a_list_from_before_a_cancel_says_nothing_of_it() {
    let mut fleet = ready();
    let callers = [0, 0].map(|index| fleet.call(index, None, draft()));
    fleet.run(SECOND);
    let endpoint = EndpointId::of("prefill-0");
    fleet.feed(0, Event::Caller(CallerEvent::Left(callers[0])));
    let is_list = |(_, call): &(usize, EngineCall)| *call == EngineCall::ListStreams { endpoint };
    let lists = fleet.calls.iter().filter(|c| is_list(c)).count();
    while fleet.calls.iter().filter(|c| is_list(c)).count() == lists {
        fleet.run(Duration::from_millis(100));
    }
    fleet.feed(0, Event::Caller(CallerEvent::Left(callers[1])));
    let report = EngineEvent::Report { endpoint, report: EngineReport::Streams(Vec::new()) };
    fleet.feed(0, Event::Engine(report));
    assert_eq!(fleet.states[0].reaper.watches[&endpoint].cancelled.len(), 1);
}

/// Symptom: as above, and the daemon can't reach the endpoint any more. The endpoint's steward, which
/// still hears the daemon, cancels what nobody has read for a minute.
#[test]
fn an_unread_stream_of_a_live_daemon_goes_after_the_limit() {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    let steward = fleet.states[0].members.steward(engine.id.0).unwrap();
    let owner = (0..COUNT).find(|i| vm(*i) != steward).unwrap();
    engine.cut.insert(owner);
    engine.hold(&fleet, owner, 1, false);
    engine.run(&mut fleet, 50);
    assert!(engine.holds(1));
    engine.run(&mut fleet, 15);
    assert!(!engine.holds(1));
}

/// Symptom: a stream that a caller has come back to is cancelled. Sequence: the steward is paused with
/// a list in its socket that says unread for a minute, the owner reads on, the steward wakes up and
/// takes the list for new.
#[test]
fn a_daemon_that_woke_up_cancels_nothing_that_lives() {
    let mut fleet = ready();
    let mut engine = Engine::new("decode-0");
    let steward = fleet.states[0].members.steward(engine.id.0).unwrap();
    let asleep = (0..COUNT).find(|i| vm(*i) == steward).unwrap();
    let owner = (0..COUNT).find(|i| *i != asleep).unwrap();
    engine.hold(&fleet, owner, 1, false);
    fleet.down.insert(asleep);
    engine.run(&mut fleet, 12);
    let old = StreamInfo { idle: SECOND * 61, ..engine.streams[0].info.clone() };
    let list = vec![old];
    fleet.calls.clear();
    let endpoint = engine.id;
    let report = EngineEvent::Report { endpoint, report: EngineReport::Streams(list) };
    fleet.feed(asleep, Event::Engine(report));
    let reaps = fleet.calls.iter().any(|(_, call)| matches!(call, EngineCall::Reap { .. }));
    assert!(!reaps);
}

#[test]
fn only_the_steward_lists_an_endpoint() {
    let mut fleet = ready();
    fleet.calls.clear();
    fleet.run(SECOND * 20);
    let lists = fleet.calls.iter().filter_map(|(index, call)| match call {
        EngineCall::ListStreams { endpoint } => Some((*endpoint, *index)),
        _ => None,
    });
    let by_endpoint: BTreeSet<_> = lists.clone().collect();
    assert_eq!(by_endpoint.len(), 2, "one lister for each of the two engines");
    assert!((18..=22).contains(&lists.count()), "every two seconds");
}
