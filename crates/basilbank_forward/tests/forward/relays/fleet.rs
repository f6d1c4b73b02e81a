//! Daemons in several data centres, in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use basilbank_core::state::Rng;
use basilbank_forward::prelude::*;
use basilbank_wire::LoadGossip;

use crate::rig::{Rig, model, prompt};

/// A datagram's way within a data centre, and to another one.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(5);

/// How long a daemon's call lasts, and the time between two.
const CALL: Duration = Duration::from_millis(100);
const BETWEEN_CALLS: Duration = Duration::from_millis(200);

enum Due {
    Heard { from: usize, to: usize, beat: Arc<LoadGossip> },
    Wake { daemon: usize },
    Call { daemon: usize },
    End { daemon: usize, life: u64, id: RequestId },
}

pub struct Fleet {
    pub rigs: Vec<Rig>,
    pub runs: Vec<bool>,
    lives: Vec<u64>,
    halls: usize,
    /// Whether daemons know their data centre, so that there are relays.
    relayed: bool,
    pub now: Duration,
    due: BTreeMap<(Duration, u64), Due>,
    order: u64,
    /// When each daemon is woken next.
    wakes: Vec<Duration>,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// A data centre that is cut off.
    pub cut: Option<usize>,
    /// Bytes and datagrams between data centres.
    pub crossed: (usize, usize),
    pub sent: usize,
    /// When each datagram was composed.
    composed: HashMap<(usize, u64, u64), Duration>,
    rng: Rng,
}

impl Fleet {
    pub fn new(count: usize, halls: usize, relayed: bool) -> Fleet {
        let mut fleet = Fleet {
            rigs: Vec::new(),
            runs: vec![true; count],
            lives: vec![1; count],
            halls,
            relayed,
            now: Duration::from_secs(100),
            due: BTreeMap::new(),
            order: 0,
            wakes: vec![Duration::ZERO; count],
            loss: 0.0,
            cut: None,
            crossed: (0, 0),
            sent: 0,
            composed: HashMap::new(),
            rng: Rng::new(7),
        };
        for n in 0..count {
            let rig = fleet.start(n);
            fleet.rigs.push(rig);
            let first = fleet.rng.unit();
            fleet.push(BETWEEN_CALLS.mul_f64(first), Due::Call { daemon: n });
            fleet.push(Duration::ZERO, Due::Wake { daemon: n });
        }
        fleet
    }

    pub fn hall(&self, daemon: usize) -> usize {
        daemon % self.halls
    }

    fn start(&self, n: usize) -> Rig {
        let seeds = (0..3).map(address).collect();
        let mut rig = match self.lives[n] {
            1 => Rig::as_daemon(address(n), seeds),
            _ => Rig::as_next_daemon(address(n), seeds),
        };
        let name = |hall: usize| format!("hall-{hall}");
        rig.state.local.data_centre = if self.relayed { name(self.hall(n)) } else { String::new() };
        let decode = (0..12).map(|d| EndpointInfo {
            data_centre: name(usize::from(d) % self.halls),
            ..model(&format!("d{d}"), 10 + d, Stage::Decode)
        });
        rig.list(decode.chain([model("p1", 1, Stage::Prefill)]).collect());
        rig.effects.clear();
        let behind = self.now.saturating_sub(rig.now());
        rig.pass(behind);
        rig
    }

    /// A process is replaced.
    pub fn restart(&mut self, n: usize) {
        self.lives[n] += 1;
        self.rigs[n] = self.start(n);
        self.wakes[n] = self.now;
        self.push(Duration::ZERO, Due::Wake { daemon: n });
    }

    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.due.first_entry().filter(|next| next.key().0 <= end) {
            let ((at, _), due) = next.remove_entry();
            self.now = at;
            self.handle(due);
        }
        self.now = end;
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Heard { from, to, beat } => {
                let parted = self.cut.is_some_and(|cut| {
                    self.hall(from) != self.hall(to)
                        && [from, to].map(|n| self.hall(n)).contains(&cut)
                });
                if !parted && self.runs[to] && self.loss <= self.rng.unit() {
                    self.feed(to, Event::gossip(address(from), (*beat).clone()));
                }
            }
            Due::Wake { daemon } => {
                if self.wakes[daemon] <= self.now {
                    self.wakes[daemon] = Duration::MAX;
                    self.feed(daemon, Event::Tick);
                }
            }
            Due::Call { daemon } => {
                let pause = BETWEEN_CALLS.mul_f64(0.5 + self.rng.unit());
                self.push(pause, Due::Call { daemon });
                if self.runs[daemon] {
                    let behind = self.now.saturating_sub(self.rigs[daemon].now());
                    self.rigs[daemon].pass(behind);
                    let id = self.rigs[daemon].call("/draft/1", 14_000, Some(prompt(50)));
                    let life = self.lives[daemon];
                    self.push(CALL, Due::End { daemon, life, id });
                    self.collect(daemon);
                }
            }
            Due::End { daemon, life, id } => {
                if self.lives[daemon] == life {
                    self.feed(daemon, Event::CallerLeft(id));
                }
            }
        }
    }

    fn feed(&mut self, n: usize, event: Event) {
        if !self.runs[n] {
            return;
        }
        let behind = self.now.saturating_sub(self.rigs[n].now());
        self.rigs[n].pass(behind);
        self.rigs[n].feed(event);
        self.collect(n);
    }

    /// Sends what a daemon wants to send, and wakes it when it next has to act.
    fn collect(&mut self, n: usize) {
        for effect in std::mem::take(&mut self.rigs[n].effects) {
            if let Effect::SendGossip { to, gossip } = effect {
                self.send(n, &to, *gossip);
            }
        }
        if let Some(at) = self.rigs[n].state.wake_at() {
            let at = at.max(self.now + Duration::from_micros(100));
            if at < self.wakes[n] {
                self.wakes[n] = at;
                self.push(at - self.now, Due::Wake { daemon: n });
            }
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], beat: LoadGossip) {
        if beat.origin.is_none() {
            let at = (from, beat.incarnation, beat.sequence);
            self.sent += usize::from(self.composed.insert(at, self.now).is_none());
        }
        let beat = Arc::new(beat);
        let count = self.runs.len();
        for to in to.iter().map(number).filter(|to| *to < count) {
            let is_far = self.hall(from) != self.hall(to);
            if is_far {
                self.crossed.0 += beat.wire_bytes();
                self.crossed.1 += 1;
            }
            let way = if is_far { FAR } else { NEAR };
            self.push(way, Due::Heard { from, to, beat: Arc::clone(&beat) });
        }
    }

    fn push(&mut self, after: Duration, due: Due) {
        self.order += 1;
        self.due.insert((self.now + after, self.order), due);
    }

    /// The mean and the 99th percentile of the ages, in seconds, of the reports that daemons have
    /// of running peers in other data centres, over some time.
    pub fn ages(&mut self, time: Duration) -> (f64, f64) {
        let mut ages = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.pass(Duration::from_millis(50));
            for n in (0..self.rigs.len()).filter(|n| self.runs[*n]) {
                for (at, peer) in &self.rigs[n].state.peers.known {
                    let from = number(at);
                    let composed = self.composed.get(&(from, peer.incarnation, peer.sequence));
                    if let (true, Some(composed)) = (self.runs[from], composed)
                        && self.hall(from) != self.hall(n)
                    {
                        ages.push((self.now - *composed).as_secs_f64());
                    }
                }
            }
        }
        ages.sort_unstable_by(f64::total_cmp);
        (ages.iter().sum::<f64>() / ages.len() as f64, ages[ages.len() * 99 / 100])
    }

    /// The number of peers that each running daemon knows: the least of them.
    pub fn least_known(&self) -> usize {
        let running = (0..self.rigs.len()).filter(|n| self.runs[*n]);
        running.map(|n| self.rigs[n].state.peers.known.len()).min().unwrap_or_default()
    }
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7000))
}

fn number(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}
