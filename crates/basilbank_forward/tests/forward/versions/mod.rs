//! Streams that go on, at endpoints of several versions of their software.

mod assignments;
mod cut_off;
mod history;
mod keepers;
mod old_views;
mod one_answer;
mod one_version;
mod over_tries;
mod replaced_endpoints;
mod services;
mod unseen;

use std::{net::SocketAddr, time::Duration};

use basilbank_forward::prelude::*;

use crate::rig::{Rig, held, model, prefilled};

/// Longest time in which a caller is told that its stream can't go on.
const AT_ONCE: Duration = Duration::from_millis(150);

/// Longer than any stream lasts.
const LONG: Duration = Duration::from_secs(30);

/// Daemons, and a network that delivers at once.
struct Net {
    rigs: Vec<Rig>,
    /// Daemons that neither hear nor are heard.
    cut: Vec<usize>,
    /// Daemons that hear each other, and none of the rest.
    apart: Vec<usize>,
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
        let mut net = Net { rigs, cut: Vec::new(), apart: Vec::new(), listed: Vec::new() };
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
                    let is_apart = self.apart.contains(&n) != self.apart.contains(&from);
                    let is_cut = is_apart || self.cut.contains(&n) || self.cut.contains(&from);
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
        self.take_up_within(AT_ONCE, n, trace_id, began_as)
    }

    fn take_up_within(
        &mut self,
        time: Duration,
        n: usize,
        trace_id: &str,
        began_as: &str,
    ) -> (Vec<Attempt>, Vec<Refusal>) {
        let id = self.rigs[n].resume("/draft/1", trace_id, began_as);
        let mut attempts = self.run(n, id);
        let mut waited = Duration::ZERO;
        while attempts.is_empty() && waited < time && self.rigs[n].state.requests.contains_key(&id)
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
