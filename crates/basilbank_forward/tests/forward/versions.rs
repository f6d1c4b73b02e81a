//! Streams that go on, at endpoints of several versions of their software.

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{DESK, Rig, WRITER, held, model, plain, prefilled, prompt, route, table};

/// Longest time in which a caller is told that its stream can't go on.
const AT_ONCE: Duration = Duration::from_millis(150);

/// Longer than any stream lasts.
const LONG: Duration = Duration::from_secs(30);

/// Daemons, and a network that delivers at once.
struct Net {
    rigs: Vec<Rig>,
    /// Daemons that neither hear nor are heard.
    cut: Vec<usize>,
    listed: Vec<EndpointInfo>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, u8::try_from(n).expect("a small fleet")], 7000))
}

/// An endpoint whose name begins with its version.
fn versioned(name: &str, port: u16, stage: Stage) -> EndpointInfo {
    let (version, _) = name.split_once('-').expect("a version");
    EndpointInfo { version: version.to_owned(), ..model(name, port, stage) }
}

/// A prefill and two decode endpoints of each version.
fn two_versions() -> Vec<EndpointInfo> {
    vec![
        versioned("v1-p", 1, Stage::Prefill),
        versioned("v1-a", 2, Stage::Decode),
        versioned("v1-b", 3, Stage::Decode),
        versioned("v2-p", 4, Stage::Prefill),
        versioned("v2-a", 5, Stage::Decode),
        versioned("v2-b", 6, Stage::Decode),
    ]
}

fn version(instance: &str) -> &str {
    instance.split('-').next().unwrap_or_default()
}

impl Net {
    /// Daemons that have known each other and the endpoints for long.
    fn new(daemons: usize, listed: Vec<EndpointInfo>) -> Net {
        let seeds = |n: usize| if n == 0 { vec![] } else { vec![address(0)] };
        let rigs = (0..daemons).map(|n| Rig::as_daemon(address(n), seeds(n))).collect();
        let mut net = Net { rigs, cut: Vec::new(), listed: Vec::new() };
        net.list(listed);
        net.pass(LONG);
        net
    }

    fn list(&mut self, listed: Vec<EndpointInfo>) {
        self.rigs.iter_mut().for_each(|rig| rig.list(listed.clone()));
        self.listed.extend(listed);
        self.deliver();
    }

    fn unlist(&mut self, gone: &[&str]) {
        self.rigs.iter_mut().for_each(|rig| rig.change(vec![], gone));
        self.listed.retain(|info| !gone.contains(&info.instance.as_str()));
        self.deliver();
    }

    /// Passes datagrams on until there are none.
    fn deliver(&mut self) {
        loop {
            let mut sent = Vec::new();
            for (from, rig) in self.rigs.iter_mut().enumerate() {
                let effects = std::mem::take(&mut rig.effects);
                for effect in effects {
                    match effect {
                        Effect::SendGossip { to, gossip } => sent.push((from, to, gossip)),
                        other => rig.effects.push(other),
                    }
                }
            }
            if sent.is_empty() {
                return;
            }
            for (from, to, gossip) in sent {
                for (n, rig) in self.rigs.iter_mut().enumerate() {
                    let is_cut = self.cut.contains(&n) || self.cut.contains(&from);
                    if to.contains(&address(n)) && !is_cut {
                        rig.feed(Event::Gossip { from: address(from), gossip: gossip.clone() });
                    }
                }
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        let step = Duration::from_millis(10);
        let mut left = time;
        while !left.is_zero() {
            let now = left.min(step);
            self.rigs.iter_mut().for_each(|rig| rig.pass(now));
            self.deliver();
            left -= now;
        }
    }

    /// A daemon's process is replaced by one that knows nothing.
    fn restart(&mut self, n: usize) {
        let mut rig = Rig::as_next_daemon(address(n), vec![address(usize::from(n == 0))]);
        rig.pass(self.rigs[n].now().saturating_sub(rig.now()));
        rig.list(self.listed.clone());
        self.rigs[n] = rig;
        self.deliver();
    }

    /// Answers what a daemon sends for one call until its stream runs. Returns all attempts; the last
    /// one is the stream's.
    fn run(&mut self, n: usize, id: RequestId) -> Vec<Attempt> {
        let mut all = Vec::new();
        loop {
            self.deliver();
            let rig = &mut self.rigs[n];
            let starts = rig.starts();
            if starts.is_empty() {
                return all;
            }
            for attempt in starts {
                let outcome = match &attempt.op {
                    Op::Hold { .. } => held(),
                    Op::Prefill => prefilled(),
                    Op::Plain | Op::Stream { .. } | Op::Decode { .. } => Outcome::Streaming,
                };
                let streams = outcome == Outcome::Streaming;
                rig.came(id, attempt.number, outcome);
                if streams {
                    rig.feed(Event::FirstEvent { request: id, attempt: attempt.number });
                }
                all.push(attempt);
            }
        }
    }

    /// Begins a stream, and returns its number and the attempt that runs.
    fn begin(&mut self, n: usize, trace_id: &str) -> (RequestId, Attempt) {
        let id = self.rigs[n].call_as("/draft/1", trace_id);
        let attempts = self.run(n, id);
        (id, attempts.last().expect("a stream").clone())
    }

    /// A stream begins at a daemon, breaks off there for good, and its caller leaves. Returns the
    /// version that began it.
    fn break_off(&mut self, n: usize, trace_id: &str) -> String {
        let (id, attempt) = self.begin(n, trace_id);
        self.rigs[n].feed(Event::CallerLeft(id));
        self.deliver();
        version(&attempt.target.instance).to_owned()
    }

    /// A caller comes back. Returns the attempts, and whether it was refused.
    fn take_up(
        &mut self,
        n: usize,
        trace_id: &str,
        began_as: &str,
    ) -> (Vec<Attempt>, Vec<Refusal>) {
        let id = self.rigs[n].resume("/draft/1", trace_id, began_as);
        let mut attempts = self.run(n, id);
        let mut waited = Duration::ZERO;
        while attempts.is_empty()
            && waited < AT_ONCE
            && self.rigs[n].state.requests.contains_key(&id)
        {
            self.pass(Duration::from_millis(10));
            waited += Duration::from_millis(10);
            attempts.extend(self.run(n, id));
        }
        (attempts, self.rigs[n].refusals())
    }
}

fn versions(attempts: &[Attempt]) -> Vec<&str> {
    let mut all: Vec<_> = attempts.iter().map(|a| version(&a.target.instance)).collect();
    all.dedup();
    all
}

/// Guards against one answer with events of two versions.
#[test]
fn a_stream_goes_on_within_its_answer_at_its_version() {
    for n in 0..20 {
        let mut net = Net::new(1, two_versions());
        let (id, attempt) = net.begin(0, &format!("t{n}"));
        net.rigs[0].came(id, attempt.number, Outcome::Broken(Damage::CutOff));
        let again = net.run(0, id);
        assert_eq!(versions(&again), [version(&attempt.target.instance)]);
        assert!(matches!(
            again.last().expect("a stream").op,
            Op::Stream { .. } | Op::Decode { .. }
        ));
    }
}

/// Guards against a caller who waits for the rest of a stream that no endpoint can write.
#[test]
fn a_stream_whose_version_is_gone_ends_at_once() {
    let mut net = Net::new(1, two_versions());
    let (id, attempt) = net.begin(0, "t");
    let gone = version(&attempt.target.instance).to_owned();
    let names = ["p", "a", "b"].map(|name| format!("{gone}-{name}"));
    net.unlist(&names.each_ref().map(String::as_str));
    net.rigs[0].came(id, attempt.number, Outcome::Broken(Damage::CutOff));
    assert!(net.run(0, id).is_empty());
    assert!(net.rigs[0].effects.iter().any(|e| matches!(e, Effect::AbortStream { .. })));
}

/// Guards against a KV cache that one version wrote and another one reads.
#[test]
fn a_prompt_is_read_and_decoded_by_one_version() {
    for n in 0..20 {
        let mut net = Net::new(1, two_versions());
        let id = net.rigs[0].call_as("/draft/1", &format!("t{n}"));
        let attempts = net.run(0, id);
        assert_eq!(attempts.len(), 3, "{attempts:?}");
        assert_eq!(versions(&attempts).len(), 1, "{attempts:?}");
    }
}

/// Guards against a KV cache of another version where the version has no prefill endpoint.
#[test]
fn a_version_without_prefill_endpoints_reads_its_prompts_itself() {
    let listed = vec![versioned("v1-p", 1, Stage::Prefill), versioned("v2-a", 2, Stage::Decode)];
    let mut net = Net::new(1, listed);
    let id = net.rigs[0].call_as("/draft/1", "t");
    let attempts = net.run(0, id);
    assert_eq!(versions(&attempts), ["v2"]);
    assert!(matches!(attempts.last().expect("a stream").op, Op::Stream { .. }));
}

/// Guards against a KV cache that is decoded by another version after its slot was lost.
#[test]
fn a_kv_cache_is_not_taken_to_another_version() {
    let listed = vec![
        versioned("v1-p", 1, Stage::Prefill),
        versioned("v1-a", 2, Stage::Decode),
        versioned("v2-a", 3, Stage::Decode),
    ];
    for n in 0..20 {
        let mut net = Net::new(1, listed.clone());
        let id = net.rigs[0].call_as("/draft/1", &format!("t{n}"));
        let hold = net.rigs[0].start();
        net.rigs[0].came(id, hold.number, held());
        let next = net.rigs[0].start();
        if next.op != Op::Prefill {
            continue;
        }
        net.rigs[0].change(vec![], &["v1-a"]);
        net.rigs[0].came(id, next.number, prefilled());
        let attempts = net.run(0, id);
        let decodes = attempts.iter().any(|a| matches!(a.op, Op::Decode { .. }));
        assert!(!decodes, "{attempts:?}");
        assert_eq!(versions(&attempts), ["v2"]);
    }
}

/// Who a caller comes back to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Back {
    /// The daemon that began the stream.
    Same,
    /// Another daemon.
    Another,
    /// Another daemon, the one that began it being dead.
    AnotherOfDead,
    /// Another daemon, the one that began it being cut off since.
    AnotherOfCutOff,
    /// A daemon that started after the stream broke off.
    New,
}

/// Guards against a stream that goes on at another version after its caller came back.
#[test_case(Back::Same)]
#[test_case(Back::Another)]
#[test_case(Back::AnotherOfDead)]
#[test_case(Back::AnotherOfCutOff)]
#[test_case(Back::New)]
fn a_stream_goes_on_over_tries_at_its_version(back: Back) {
    let mut net = Net::new(8, two_versions());
    for n in 0..20 {
        let (trace, began) = (format!("again{n}"), format!("t{n}"));
        let began_at = net.break_off(1, &began);
        match back {
            Back::Same | Back::Another => {}
            Back::AnotherOfDead | Back::AnotherOfCutOff => net.cut = vec![1],
            Back::New => net.restart(2),
        }
        let daemon = if back == Back::Same { 1 } else { 2 };
        net.pass(Duration::from_millis(50));
        let (attempts, refusals) = net.take_up(daemon, &trace, &began);
        assert_eq!(versions(&attempts), [began_at.as_str()], "{refusals:?}");
        net.cut.clear();
        net.pass(Duration::from_millis(1500));
    }
}

/// Guards against a version that is forgotten when a stream breaks off a second time.
#[test]
fn a_stream_that_breaks_off_twice_stays_at_its_version() {
    let mut net = Net::new(4, two_versions());
    for n in 0..10 {
        let began_at = net.break_off(0, &format!("t{n}"));
        for (daemon, trace) in [(1, "b"), (2, "c"), (3, "d")] {
            let (attempts, _) = net.take_up(daemon, &format!("{trace}{n}"), &format!("t{n}"));
            assert_eq!(versions(&attempts), [began_at.as_str()]);
        }
    }
}

/// Guards against a guess where nobody knows the version.
#[test_case("nobody-began-this"; "an attempt that nobody knows")]
#[test_case(""; "no attempt named")]
fn a_stream_that_nobody_knows_is_refused_at_once(began_as: &str) {
    let mut net = Net::new(4, two_versions());
    let (attempts, refusals) = net.take_up(0, "again", began_as);
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals.len(), 1);
    assert!(refusals[0].is_not_run());
}

/// Guards against a caller who waits for a version that is gone.
#[test]
fn a_stream_that_comes_back_after_its_version_is_refused_at_once() {
    let mut net = Net::new(4, two_versions());
    let gone = net.break_off(0, "t");
    let names = ["p", "a", "b"].map(|name| format!("{gone}-{name}"));
    net.unlist(&names.each_ref().map(String::as_str));
    let (attempts, refusals) = net.take_up(1, "again", "t");
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals.len(), 1);
    assert!(refusals[0].is_not_run());
}

/// Guards against streams that began before a second version came and can't go on after it.
#[test_case(true; "at the last moment")]
#[test_case(false; "before")]
fn a_stream_from_before_a_second_version_goes_on(is_running: bool) {
    let (first, second): (Vec<_>, Vec<_>) =
        two_versions().into_iter().partition(|info| info.version == "v1");
    for n in 0..10 {
        let mut net = Net::new(4, first.clone());
        let began = format!("t{n}");
        if is_running {
            let (id, _) = net.begin(0, &began);
            net.list(second.clone());
            net.rigs[0].feed(Event::CallerLeft(id));
        } else {
            net.break_off(0, &began);
            net.list(second.clone());
        }
        net.cut = vec![0];
        net.pass(Duration::from_millis(20));
        let (attempts, refusals) = net.take_up(1, "again", &began);
        assert_eq!(versions(&attempts), ["v1"], "{refusals:?}");
    }
}

/// Guards against bytes, questions and refusals where there is one version.
#[test]
fn one_version_costs_nothing() {
    let listed = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let mut net = Net::new(4, listed);
    let id = net.rigs[0].call_as("/draft/1", "t");
    let direct = |net: &mut Net| {
        let effects = net.rigs.iter().flat_map(|rig| &rig.effects);
        let is_direct =
            |e: &&Effect| matches!(e, Effect::SendGossip { gossip, .. } if gossip.sequence == 0);
        effects.filter(is_direct).count()
    };
    let mut starts = net.rigs[0].starts();
    let mut sent = 0;
    while let Some(attempt) = starts.pop() {
        let outcome = match &attempt.op {
            Op::Hold { .. } => held(),
            Op::Prefill => prefilled(),
            _ => Outcome::Streaming,
        };
        let streams = outcome == Outcome::Streaming;
        net.rigs[0].came(id, attempt.number, outcome);
        if streams {
            net.rigs[0].feed(Event::FirstEvent { request: id, attempt: attempt.number });
        }
        starts.extend(net.rigs[0].starts());
        sent += direct(&mut net);
    }
    let id = net.rigs[1].resume("/draft/1", "again", "nobody-began-this");
    sent += direct(&mut net);
    assert!(!net.run(1, id).is_empty());
    assert_eq!(sent, 0);
}

/// How long before the daemons the endpoints of a service started.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Start {
    Long,
    Recent,
    Unstated,
}

/// Guards against refusals after all daemons have restarted where one version has served for long, and
/// against a guess where another one may have served a moment ago.
#[test_case(Start::Long, true)]
#[test_case(Start::Unstated, true)]
#[test_case(Start::Recent, false)]
fn streams_come_back_after_all_daemons_died(start: Start, goes_on: bool) {
    let listed: Vec<_> = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let mut net = Net::new(2, listed.clone());
    net.break_off(0, "t");
    let unix_ms = u64::try_from(net.rigs[0].now().as_millis()).expect("a time");
    let start_time = match start {
        Start::Long => Some(1),
        Start::Recent => Some(unix_ms - 5000),
        Start::Unstated => None,
    };
    let listed: Vec<_> =
        listed.into_iter().map(|info| EndpointInfo { start_time, ..info }).collect();
    for n in 0..2 {
        let mut rig = Rig::restarted();
        rig.pass(net.rigs[n].now().saturating_sub(rig.now()));
        rig.list(listed.clone());
        net.rigs[n] = rig;
    }
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert_eq!((!attempts.is_empty(), refusals.is_empty()), (goes_on, goes_on), "{refusals:?}");
}

/// Guards against a call that comes back beside one version and goes on at one that comes later.
#[test_case(false; "known for long")]
#[test_case(true; "after all daemons died")]
fn a_stream_that_came_back_beside_one_version_stays_at_it(has_died: bool) {
    let first = versioned("v1-a", 1, Stage::Decode);
    let first = vec![EndpointInfo { start_time: Some(1), ..first }];
    let mut net = Net::new(1, first.clone());
    if has_died {
        let mut rig = Rig::restarted();
        rig.pass(net.rigs[0].now().saturating_sub(rig.now()));
        rig.list(first);
        net.rigs[0] = rig;
    }
    let id = net.rigs[0].resume("/draft/1", "again", "t");
    net.rigs[0].pass(AT_ONCE);
    let hold = net.rigs[0].start();
    net.list(vec![versioned("v2-a", 2, Stage::Decode)]);
    net.unlist(&["v1-a"]);
    net.rigs[0].came(id, hold.number, Outcome::Unreachable);
    let attempts = net.run(0, id);
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(net.rigs[0].refusals(), [Refusal::VersionGone]);
}

/// Guards against a stream that goes on at another service, as its route is split.
#[test]
fn a_stream_goes_on_at_the_service_that_began_it() {
    let split = |mut table: RouteTable| {
        let mut routes = table.routes().to_vec();
        for route in &mut routes {
            if route.prefix == "/draft/" {
                route.split = vec![(WRITER.to_owned(), 1), (OTHER.to_owned(), 1)];
            }
        }
        let writer = table.services[WRITER].clone();
        table = table.with_service(OTHER, writer);
        table.with_routes(routes)
    };
    let other = |info: EndpointInfo| EndpointInfo {
        service: OTHER.to_owned(),
        instance: format!("{}-other", info.instance),
        addr: SocketAddr::from(([10, 0, 2, 1], info.addr.port())),
        ..info
    };
    let writers: Vec<_> = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let others: Vec<_> = writers.iter().cloned().map(other).collect();
    let mut net = Net::new(2, writers);
    net.rigs.iter_mut().for_each(|rig| rig.configure(split(table(2))));
    net.list(others);
    net.pass(LONG);
    for n in 0..20 {
        let (id, attempt) = net.begin(0, &format!("t{n}"));
        net.rigs[0].feed(Event::CallerLeft(id));
        let (attempts, refusals) = net.take_up(1, &format!("again{n}"), &format!("t{n}"));
        let is_other = |attempt: &Attempt| attempt.target.instance.ends_with("-other");
        let last = attempts.last().expect("a stream");
        assert_eq!(is_other(last), is_other(&attempt), "{refusals:?}");
    }
}

/// Another model service.
const OTHER: &str = "other-writer";

/// Guards against a plain service's stream that goes on at another version.
#[test]
fn a_stream_of_a_plain_service_stays_at_its_version() {
    for n in 0..20 {
        let mut rig = Rig::new();
        let mut feed = route("/feed/", RouteKind::Streaming, DESK, 3);
        feed.resumable = true;
        rig.configure(table(2).with_routes(vec![feed]));
        let endpoint = |name: &str, port| {
            let version = version(name).to_owned();
            EndpointInfo { version, ..plain(name, port) }
        };
        rig.list(vec![endpoint("v1-a", 1), endpoint("v1-b", 2), endpoint("v2-a", 3)]);
        for _ in 0..40 {
            let id = rig.call("/feed/1", 4000, None);
            rig.feed(Event::CallerLeft(id));
        }
        rig.effects.clear();
        rig.pass_ms(n);
        let id = rig.call("/feed/1", 4000, None);
        let first = rig.start();
        rig.came(id, first.number, Outcome::Streaming);
        rig.feed(Event::FirstEvent { request: id, attempt: first.number });
        rig.came(id, first.number, Outcome::Broken(Damage::CutOff));
        for again in rig.starts() {
            assert_eq!(version(&again.target.instance), version(&first.target.instance));
        }
    }
}

/// Guards against an endpoint that is taken for its former start with another version.
#[test]
fn an_endpoint_that_comes_back_as_another_version_is_another_endpoint() {
    let mut net = Net::new(1, vec![versioned("v1-a", 1, Stage::Decode)]);
    let (id, attempt) = net.begin(0, "t");
    let next = EndpointInfo { version: "v2".to_owned(), ..model("v1-a", 1, Stage::Decode) };
    net.list(vec![next]);
    net.rigs[0].came(id, attempt.number, Outcome::Broken(Damage::CutOff));
    assert!(net.run(0, id).is_empty());
    assert!(net.rigs[0].effects.iter().any(|e| matches!(e, Effect::AbortStream { .. })));
}

/// Guards against a first event that never came and binds its stream all the same.
#[test]
fn a_stream_that_broke_off_before_its_first_event_may_begin_anew_anywhere() {
    let listed = vec![versioned("v1-a", 1, Stage::Decode), versioned("v2-a", 2, Stage::Decode)];
    let mut net = Net::new(1, listed);
    for _ in 0..40 {
        let id = net.rigs[0].call("/draft/1", 14_000, Some(prompt(100)));
        net.rigs[0].feed(Event::CallerLeft(id));
    }
    net.rigs[0].effects.clear();
    let id = net.rigs[0].call_as("/draft/1", "t");
    let hold = net.rigs[0].start();
    net.rigs[0].came(id, hold.number, held());
    let stream = net.rigs[0].start();
    net.rigs[0].came(id, stream.number, Outcome::Streaming);
    net.unlist(&[stream.target.instance.as_str()]);
    net.rigs[0].came(id, stream.number, Outcome::Broken(Damage::CutOff));
    let again = net.run(0, id);
    assert_eq!(again.len(), 2, "{again:?}");
}

/// Guards against a daemon with an old list that takes its only version for the stream's.
#[test_case(true; "it is come back to")]
#[test_case(false; "it is asked")]
fn a_daemon_that_has_not_read_of_a_version_guesses_nothing(is_come_back_to: bool) {
    let (first, second): (Vec<_>, Vec<_>) =
        two_versions().into_iter().partition(|info| info.version == "v1");
    for n in 0..20 {
        let mut net = Net::new(8, first.clone());
        let behind = 2;
        for (daemon, rig) in net.rigs.iter_mut().enumerate() {
            if daemon != behind {
                rig.list(second.clone());
            }
        }
        net.deliver();
        let began = format!("t{n}");
        let began_at = net.break_off(1, &began);
        let daemon = if is_come_back_to { behind } else { 3 };
        let (attempts, refusals) = net.take_up(daemon, "again", &began);
        let is_right = versions(&attempts) == [began_at.as_str()];
        assert!(is_right || attempts.is_empty() && !refusals.is_empty(), "{attempts:?}");
        assert!(is_right || is_come_back_to && began_at == "v2", "{refusals:?}");
    }
}

/// Guards against a stream that was let through beside one version and waits until there are two.
#[test]
fn a_stream_that_waits_for_capacity_stays_at_its_version() {
    let listed = vec![versioned("v1-a", 1, Stage::Decode)];
    let mut net = Net::new(1, listed);
    let full: Vec<_> = (0..20).map(|n| net.rigs[0].call_as("/draft/1", &format!("f{n}"))).collect();
    full.iter().for_each(|id| drop(net.run(0, *id)));
    let id = net.rigs[0].resume("/draft/1", "again", "t");
    assert!(net.run(0, id).is_empty(), "it waits");
    net.list(vec![versioned("v2-a", 2, Stage::Decode)]);
    let early = net.run(0, id);
    assert!(early.iter().all(|a| version(&a.target.instance) == "v1"), "{early:?}");
}

/// Guards against keepers that start again and are told nothing.
#[test]
fn keepers_that_start_again_are_told_anew() {
    for n in 0..5 {
        let mut net = Net::new(8, two_versions());
        let began = format!("t{n}");
        let began_at = net.break_off(1, &began);
        (2..8).for_each(|keeper| net.restart(keeper));
        net.pass(Duration::from_millis(1500));
        net.cut = vec![1];
        let (attempts, refusals) = net.take_up(2, "again", &began);
        assert_eq!(versions(&attempts), [began_at.as_str()], "{refusals:?}");
    }
}

/// Guards against a stream that waits though all endpoints of its version want a pause.
#[test]
fn a_stream_whose_version_wants_a_pause_is_refused_with_the_pause() {
    let mut net = Net::new(1, two_versions());
    let began_at = net.break_off(0, "t");
    for name in ["a", "b"] {
        let key = net.rigs[0].state.directory.find(&format!("{began_at}-{name}"));
        let endpoint = key.expect("an endpoint");
        let pause = Duration::from_secs(13);
        net.rigs[0].feed(Event::PauseRequested { endpoint, pause });
    }
    let (attempts, refusals) = net.take_up(0, "again", "t");
    assert!(attempts.is_empty(), "{attempts:?}");
    assert_eq!(refusals, [Refusal::EndpointsPaused]);
}

/// Guards against streams of a fleet that has just restarted, which only the daemon that began them knew.
#[test]
fn a_fleet_that_has_restarted_keeps_its_streams() {
    let listed: Vec<_> = two_versions().into_iter().filter(|info| info.version == "v1").collect();
    let mut net = Net::new(12, listed);
    (0..12).for_each(|n| net.restart(n));
    net.pass(Duration::from_secs(4));
    for n in 0..10 {
        let began = format!("t{n}");
        let began_at = net.break_off(1, &began);
        net.cut = vec![1];
        let (attempts, refusals) = net.take_up(2, &format!("again{n}"), &began);
        assert_eq!(versions(&attempts), [began_at.as_str()], "{refusals:?}");
        net.cut.clear();
    }
}
