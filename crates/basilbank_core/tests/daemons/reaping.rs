//! Streams and KV caches without an owner are cancelled, and no others.

use std::{collections::BTreeSet, time::Duration};

use basilbank_core::{effect::EngineCall, prelude::*};
use test_case::test_case;

use crate::fleet::{Fleet, SECOND, draft, vm};

const COUNT: usize = 8;
/// All VMs but the third.
const OTHERS: [usize; 7] = [0, 1, 3, 4, 5, 6, 7];

/// Daemons and an endpoint that holds streams.
struct Engine {
    fleet: Fleet,
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
        let mut fleet = Fleet::usual(COUNT);
        fleet.run(SECOND * 10);
        let (id, streams, cut) = (EndpointId::of(name), Vec::new(), BTreeSet::new());
        Engine { fleet, id, streams, cut, seen: 0 }
    }

    /// A decode endpoint with the stream of request 1, with a reader or without one.
    fn streaming(owner: usize, reader: bool) -> Engine {
        let mut engine = Engine::new("decode-0");
        engine.hold(owner, 1, reader);
        engine
    }

    /// A stream that a daemon started.
    fn hold(&mut self, owner: usize, request: u64, reader: bool) {
        let info = StreamInfo {
            stream: format!("s{request}"),
            is_kv_cache: false,
            vm: vm(owner),
            incarnation: self.fleet.states[owner].local.incarnation,
            request,
            idle: Duration::ZERO,
        };
        self.streams.push(Held { info, read: self.fleet.mono, reader });
    }

    /// Lets time go on, second by second, and answers lists and cancels.
    fn run(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.fleet.run(SECOND);
            for held in &mut self.streams {
                if held.reader {
                    held.read = self.fleet.mono;
                }
                held.info.idle = self.fleet.mono - held.read;
            }
            let calls = self.fleet.calls[self.seen..].to_vec();
            self.seen = self.fleet.calls.len();
            for (index, call) in calls {
                if !self.cut.contains(&index) {
                    self.answer(index, &call);
                }
            }
        }
    }

    /// A daemon reads which streams there are.
    fn list(&mut self, index: usize, streams: Vec<StreamInfo>) {
        let report = EngineReport::Streams(streams);
        let report = EngineEvent::Report { endpoint: self.id, report };
        self.fleet.feed(index, Event::Engine(report));
    }

    fn answer(&mut self, index: usize, call: &EngineCall) {
        match call {
            EngineCall::ListStreams { endpoint } if *endpoint == self.id => {
                self.list(index, self.streams.iter().map(|s| s.info.clone()).collect());
            }
            EngineCall::Reap { endpoint, stream, vm, incarnation } if *endpoint == self.id => {
                let owner = (*vm, *incarnation);
                let is_meant = |s: &StreamInfo| s.stream == *stream;
                let is_owner = |s: &StreamInfo| (s.vm, s.incarnation) == owner;
                self.streams.retain(|s| !(is_meant(&s.info) && is_owner(&s.info)));
            }
            EngineCall::Cancel { endpoint, resource: Some(held), .. } if *endpoint == self.id => {
                self.streams.retain(|s| s.info.stream != *held);
            }
            _ => {}
        }
    }

    fn holds(&self, request: u64) -> bool {
        self.streams.iter().any(|s| s.info.request == request)
    }
}

/// A KV cache is of no use to a caller that comes back, so it goes as soon as its daemon counts as
/// dead. Endpoints evict it by themselves; this is for one that does not.
#[test]
fn a_dead_daemons_kv_cache_goes_at_once() {
    let mut engine = Engine::new("prefill-0");
    for (owner, request) in [(2, 1), (3, 2)] {
        engine.hold(owner, request, false);
        engine.streams.last_mut().unwrap().info.is_kv_cache = true;
    }
    engine.fleet.down.insert(2);
    engine.run(7);
    assert!(!engine.holds(1));
    assert!(engine.holds(2), "its daemon lives");
}

/// Symptom: a decode slot stays taken for minutes after a VM died, was replaced or went off the list.
/// Sequence: the stream of the daemon goes on without a reader. Cause would be that nobody but the owner
/// cancels streams. The grace lets a caller come back with its cursor first.
#[test_case(|fleet| _ = fleet.down.insert(2); "dead")]
#[test_case(|fleet| fleet.restart(2); "replaced")]
#[test_case(|fleet| { fleet.down.insert(2); fleet.list_all(&OTHERS) }; "off the list")]
fn a_stream_without_its_daemon_goes_after_the_grace(end: fn(&mut Fleet)) {
    let mut engine = Engine::streaming(2, false);
    end(&mut engine.fleet);
    engine.run(9);
    assert!(engine.holds(1), "within the grace a caller may still resume it");
    engine.run(6);
    assert!(!engine.holds(1));
}

/// Symptom: a caller's stream breaks in the middle of a sentence while its own VM is well. Sequence: a
/// partition parts the daemons, or a daemon goes off the list while it finishes what is in progress;
/// the endpoint's steward takes it for dead, but it still reaches the endpoint and its caller reads on.
#[test_case(|fleet| fleet.holds = Some(|p| (p.from < 4) != (p.to < 4)), 120; "partition")]
#[test_case(|fleet| fleet.list_all(&OTHERS), 60; "off the list")]
fn a_stream_that_is_still_read_stays(part: fn(&mut Fleet), seconds: u32) {
    for owner in 0..COUNT {
        let mut engine = Engine::streaming(owner, true);
        part(&mut engine.fleet);
        engine.run(seconds);
        assert!(engine.holds(1), "owner {owner}");
    }
}

/// Symptom: a caller resumes its stream through another VM and it is cancelled under its hands.
/// Sequence: the steward lists the stream of a dead daemon, a caller takes it over, the cancel comes
/// after that. The cancel names the owner that it is meant for.
#[test]
fn a_cancel_that_comes_after_a_takeover_does_nothing() {
    let mut engine = Engine::streaming(2, false);
    engine.fleet.down.insert(2);
    engine.run(9);
    let StreamInfo { stream, vm: owner, incarnation, .. } = engine.streams[0].info.clone();
    let late = EngineCall::Reap { endpoint: engine.id, stream, vm: owner, incarnation };
    let new_owner = &mut engine.streams[0].info;
    new_owner.vm = vm(3);
    new_owner.incarnation = engine.fleet.states[3].local.incarnation;
    engine.streams[0].reader = true;
    (0..COUNT).for_each(|index| engine.answer(index, &late));
    engine.run(30);
    assert!(engine.holds(1));
}

/// Symptom: a slot stays taken although its caller left. Sequence: the caller leaves, the daemon sends
/// the one cancel that there is, and the endpoint never gets it.
#[test_case(true; "the stream's name was known")]
#[test_case(false; "the stream's name was not known yet")]
fn a_lost_cancel_is_made_good(known: bool) {
    let mut engine = Engine::new("decode-0");
    let fleet = &mut engine.fleet;
    let caller = fleet.call(0, None, draft());
    fleet.run(SECOND);
    let request = fleet.states[0].requests.arena.values().next().unwrap().id.0;
    fleet.import(0);
    if known {
        fleet.stream(0, &format!("s{request}"));
    }
    engine.hold(0, request, false);
    engine.fleet.feed(0, Event::Caller(CallerEvent::Left(caller)));
    engine.seen = engine.fleet.calls.len();
    engine.run(4);
    assert!(!engine.holds(request));
    engine.run(4);
    assert!(!engine.fleet.states[0].reaper.watches.contains_key(&engine.id));
}

/// Symptom: as above. Sequence: a list is asked for, a cancel is lost, the list comes and does not yet
/// show the stream that the cancel was for.
#[test]
fn a_list_from_before_a_cancel_says_nothing_of_it() {
    let mut engine = Engine::new("prefill-0");
    let (endpoint, fleet) = (engine.id, &mut engine.fleet);
    let callers = [0, 0].map(|index| fleet.call(index, None, draft()));
    fleet.run(SECOND);
    fleet.feed(0, Event::Caller(CallerEvent::Left(callers[0])));
    let is_list = |(_, call): &&(usize, EngineCall)| *call == EngineCall::ListStreams { endpoint };
    let lists = fleet.calls.iter().filter(is_list).count();
    while fleet.calls.iter().filter(is_list).count() == lists {
        fleet.run(SECOND / 10);
    }
    fleet.feed(0, Event::Caller(CallerEvent::Left(callers[1])));
    engine.list(0, Vec::new());
    assert_eq!(engine.fleet.states[0].reaper.watches[&endpoint].cancelled.len(), 1);
}

/// Symptom: as above, and the daemon can't reach the endpoint any more. The endpoint's steward, which
/// still hears the daemon, cancels what nobody has read for a minute.
#[test]
fn an_unread_stream_of_a_live_daemon_goes_after_the_limit() {
    let mut engine = Engine::new("decode-0");
    let owner = (0..COUNT).find(|i| *i != engine.fleet.steward("decode-0")).unwrap();
    engine.cut.insert(owner);
    engine.hold(owner, 1, false);
    engine.run(50);
    assert!(engine.holds(1));
    engine.run(15);
    assert!(!engine.holds(1));
}

/// Symptom: a stream that a caller has come back to is cancelled. Sequence: the steward is paused with
/// a list in its socket that says unread for a minute, the owner reads on, the steward wakes up and
/// takes the list for new.
#[test]
fn a_daemon_that_woke_up_cancels_nothing_that_lives() {
    let mut engine = Engine::new("decode-0");
    let asleep = engine.fleet.steward("decode-0");
    let owner = (0..COUNT).find(|i| *i != asleep).unwrap();
    engine.hold(owner, 1, false);
    engine.fleet.down.insert(asleep);
    engine.run(12);
    let old = StreamInfo { idle: SECOND * 61, ..engine.streams[0].info.clone() };
    engine.fleet.calls.clear();
    engine.list(asleep, vec![old]);
    let mut calls = engine.fleet.calls.iter();
    assert!(!calls.any(|(_, call)| matches!(call, EngineCall::Reap { .. })));
}

#[test]
fn only_the_steward_lists_an_endpoint() {
    let mut fleet = Engine::new("decode-0").fleet;
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
