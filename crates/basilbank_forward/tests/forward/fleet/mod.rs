//! Daemons that talk to each other, in virtual time.

pub mod bad_parts;
pub mod cut_off;
pub mod deadly;
pub mod limited;
pub mod proofs;
pub mod quotas;
pub mod scarce;
pub mod stated;
pub mod versions;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use basilbank_core::state::Rng;
use basilbank_forward::{prelude::*, state::history::ListChange};
use basilbank_wire::LoadGossip;

use crate::rig::written;

/// A datagram's way to a peer, and an event's to a daemon.
pub const WAY: Duration = Duration::from_millis(1);

/// A read of the store.
const STORE: Duration = Duration::from_millis(6);

/// How long the store keeps the list's changes, unless a play says otherwise.
pub const HISTORY: Duration = Duration::from_secs(20);

/// Milliseconds between a process's end and its next start.
const RESTART: u64 = 500;

/// Milliseconds since the Unix epoch when virtual time begins.
const EPOCH: u64 = 1_000_000_000;

/// What happens next.
pub enum Step {
    /// A daemon asks for something.
    Asks { daemon: usize, effect: Box<Effect> },
    /// A time that the play has set for itself.
    Mark(u64),
}

enum Due {
    Heard { from: usize, to: usize, beat: Arc<LoadGossip> },
    Fed { daemon: usize, life: u32, event: Box<Event> },
    Wake { daemon: usize, at: Duration },
    Start { daemon: usize },
    Mark(u64),
}

struct Daemon {
    state: State,
    life: u32,
    runs: bool,
    cut: bool,
    wakes: Duration,
    /// Bytes of the datagrams that it received.
    heard: usize,
}

/// Datagrams about the versions that began streams, as daemons receive them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    pub datagrams: usize,
    pub bytes: usize,
    pub origins: usize,
    pub queries: usize,
    pub answers: usize,
}

/// The daemons.
pub struct Fleet {
    daemons: Vec<Daemon>,
    now: Duration,
    due: BTreeMap<(Duration, u64), Due>,
    order: u64,
    asked: VecDeque<Step>,
    table: Arc<RouteTable>,
    listed: Vec<EndpointInfo>,
    revision: u64,
    /// What has changed in the list: when, its revision, and the changes.
    changes: VecDeque<(Duration, u64, Vec<ListChange>)>,
    /// How long the store keeps them.
    history: Duration,
    loss: f64,
    /// Daemons before this number and the others don't hear each other.
    half: Option<usize>,
    /// How long daemons trust keys.
    trust: Option<Duration>,
    /// Datagrams about proofs.
    words: usize,
    /// How much later than the others each daemon learns of changes of the list.
    lateness: Vec<Duration>,
    told: Told,
    /// Reads of the list's history.
    pub reads: usize,
    /// Reads that confirm the list.
    pub confirmations: usize,
    pub rng: Rng,
}

impl Fleet {
    /// Daemons that have all just started.
    pub fn new(count: usize, mut table: RouteTable, seed: u64) -> Fleet {
        table.revisions = ItemRevisions { created: 1, changed: 1 };
        let mut fleet = Fleet {
            daemons: Vec::new(),
            now: Duration::from_secs(100),
            due: BTreeMap::new(),
            order: 0,
            asked: VecDeque::new(),
            table: Arc::new(table),
            listed: Vec::new(),
            revision: 1,
            changes: VecDeque::new(),
            history: HISTORY,
            loss: 0.0,
            half: None,
            trust: None,
            words: 0,
            lateness: vec![Duration::ZERO; count],
            told: Told::default(),
            reads: 0,
            confirmations: 0,
            rng: Rng::new(seed),
        };
        for n in 0..count {
            let state = fleet.fresh(n, SystemStart::First);
            let wakes = Duration::MAX;
            fleet.daemons.push(Daemon { state, life: 0, runs: true, cut: false, wakes, heard: 0 });
        }
        (0..count).for_each(|n| fleet.boot(n));
        fleet
    }

    /// Datagrams that are lost, as a part of all.
    pub fn with_loss(mut self, loss: f64) -> Fleet {
        self.loss = loss;
        self
    }

    /// How long the store keeps the list's changes.
    pub fn with_history(mut self, history: Duration) -> Fleet {
        self.history = history;
        self
    }

    /// Every third daemon learns of changes of the list so much later.
    pub fn with_late_lists(mut self, lateness: Duration) -> Fleet {
        self.lateness.iter_mut().skip(1).step_by(3).for_each(|late| *late = lateness);
        self
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// What a daemon knows.
    pub fn state(&self, daemon: usize) -> &State {
        &self.daemons[daemon].state
    }

    /// It runs, and peers hear it.
    pub fn is_sound(&self, daemon: usize) -> bool {
        self.daemons[daemon].runs && !self.daemons[daemon].cut
    }

    /// The most bytes that a daemon has received.
    pub fn most_heard(&self) -> usize {
        self.daemons.iter().map(|daemon| daemon.heard).max().unwrap_or_default()
    }

    /// Its process is killed, and starts again.
    fn restart(&mut self, daemon: usize) {
        self.daemons[daemon].runs = false;
        self.daemons[daemon].life += 1;
        self.push(self.now + Duration::from_millis(RESTART), Due::Start { daemon });
    }

    /// All processes are killed, and start again.
    pub fn restart_all(&mut self) {
        (0..self.len()).for_each(|daemon| self.restart(daemon));
    }

    /// Its datagrams are lost, both ways.
    fn cut(&mut self, daemon: usize, cut: bool) {
        self.daemons[daemon].cut = cut;
    }

    /// One daemon restarts, and another one is cut off in place of the one before; which they are.
    pub fn trouble(&mut self) -> [usize; 2] {
        let (restarts, cut) = (self.rng.index(self.len()), self.rng.index(self.len()));
        for daemon in 0..self.len() {
            self.cut(daemon, daemon == cut);
        }
        self.restart(restarts);
        [restarts, cut]
    }

    /// All read the list.
    pub fn list(&mut self, listed: &[EndpointInfo], gone: &[String]) {
        let listed = written(listed.to_vec(), self.revision);
        self.revision += (listed.len() + gone.len()) as u64;
        self.listed.retain(|info| !gone.contains(&info.instance));
        self.listed.extend(listed.iter().cloned());
        let updated = listed.iter().map(|info| (info.instance.clone(), Some(info.clone())));
        let removed = gone.iter().map(|instance| (instance.clone(), None));
        let changes = updated.chain(removed).collect();
        // The endpoints of the first list have run for long.
        let at = if self.changes.is_empty() { Duration::ZERO } else { self.now };
        self.changes.push_back((at, self.revision, changes));
        let read = Revisions::at(self.revision);
        for daemon in 0..self.len() {
            let (listed, gone) = (listed.to_vec(), gone.to_vec());
            self.feed_later(
                daemon,
                WAY + self.lateness[daemon],
                Event::EndpointsChanged { revisions: read, updated: listed, removed: gone },
            );
        }
    }

    /// The changes after a revision, unless the store has dropped some of them.
    fn changes_after(&self, after: u64) -> HistoryAnswer {
        let is_dropped = |at: Duration| at + self.history < self.now;
        let (dropped, kept): (Vec<_>, Vec<_>) =
            self.changes.iter().partition(|(at, ..)| is_dropped(*at));
        if dropped.last().is_some_and(|(_, revision, _)| after < *revision) {
            return HistoryAnswer::Gone;
        }
        let changes = kept.into_iter().filter(|(_, revision, _)| after < *revision);
        HistoryAnswer::Changes(changes.flat_map(|(.., changes)| changes.clone()).collect())
    }

    /// An event comes to a daemon, unless its process ends before.
    pub fn feed_later(&mut self, daemon: usize, after: Duration, event: Event) {
        let life = self.daemons[daemon].life;
        self.push(self.now + after, Due::Fed { daemon, life, event: Box::new(event) });
    }

    /// A time that the play wants to hear of.
    pub fn mark(&mut self, after: Duration, mark: u64) {
        self.push(self.now + after, Due::Mark(mark));
    }

    /// The next of the marks that come at random, so many a second.
    pub fn mark_at_rate(&mut self, per_second: f64, mark: u64) {
        let pause = -(1.0 - self.rng.unit()).ln() / per_second;
        self.mark(Duration::from_secs_f64(pause), mark);
    }

    /// Goes on until something is asked for; none once `end` has come.
    pub fn step(&mut self, end: Duration) -> Option<Step> {
        loop {
            if let Some(step) = self.asked.pop_front() {
                return Some(step);
            }
            let next = self.due.first_entry().filter(|next| next.key().0 <= end)?;
            let ((at, _), due) = next.remove_entry();
            self.now = self.now.max(at);
            match due {
                Due::Heard { from, to, beat } => self.hear(from, to, &beat),
                Due::Fed { daemon, life, event } => {
                    if self.daemons[daemon].life == life {
                        self.feed(daemon, *event);
                    }
                }
                Due::Wake { daemon, at } => {
                    if self.daemons[daemon].wakes == at {
                        self.daemons[daemon].wakes = Duration::MAX;
                        self.feed(daemon, Event::Tick);
                    }
                }
                Due::Start { daemon } => {
                    self.daemons[daemon].state = self.fresh(daemon, SystemStart::Restart);
                    self.daemons[daemon].runs = true;
                    self.daemons[daemon].heard = 0;
                    self.boot(daemon);
                }
                Due::Mark(mark) => return Some(Step::Mark(mark)),
            }
        }
    }

    fn fresh(&mut self, n: usize, start: SystemStart) -> State {
        let incarnation = EPOCH + u64::try_from(self.now.as_millis()).unwrap_or(0);
        let mut local = Local::default()
            .with_name(&format!("vm-{n}"))
            .with_data_centre("hall-a")
            .with_start(start)
            .with_incarnation(incarnation)
            .with_address(address(n))
            .with_seeds((0..3).map(address).collect());
        local.seed = u64::from((self.rng.unit() * f64::from(u32::MAX)) as u32);
        State::new(local, Tuning { max_confirmation_age: self.trust, ..Tuning::default() })
    }

    /// It reads configuration and list.
    fn boot(&mut self, daemon: usize) {
        let read = Revisions::at(self.revision);
        self.feed(
            daemon,
            Event::RoutesRead { revisions: read, table: Some(Arc::clone(&self.table)) },
        );
        let list = self.listed.clone();
        self.feed(daemon, Event::EndpointsRead { revisions: read, list });
    }

    fn hear(&mut self, from: usize, to: usize, beat: &LoadGossip) {
        let apart = self.half.is_some_and(|half| (from < half) != (to < half));
        let lost = apart || self.rng.unit() < self.loss;
        if lost || !self.is_sound(from) || !self.is_sound(to) {
            return;
        }
        self.daemons[to].heard += beat.wire_bytes();
        self.feed(to, Event::gossip(address(from), beat.clone()));
    }

    fn feed(&mut self, daemon: usize, event: Event) {
        if !self.daemons[daemon].runs {
            return;
        }
        let wall = SystemTime::UNIX_EPOCH + Duration::from_millis(EPOCH) + self.now;
        let now = Now { mono: self.now, wall };
        let mut effects = Vec::new();
        reduce(&mut self.daemons[daemon].state, now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::SendGossip { to, gossip } => self.send(daemon, &to, *gossip),
                Effect::Log(_) => {}
                Effect::ReadHistory { after } => {
                    self.reads += 1;
                    let answer = self.changes_after(after);
                    self.feed_later(daemon, STORE, Event::HistoryRead { era: None, answer });
                }
                Effect::ConfirmList { after, asked_at } => {
                    self.confirmations += 1;
                    let unread = match self.changes_after(after) {
                        HistoryAnswer::Changes(changes) => {
                            Some(UnreadChanges { revision: self.revision, changes })
                        }
                        HistoryAnswer::Gone | HistoryAnswer::Failed => None,
                    };
                    let event = Event::ListConfirmed { asked_at, era: None, unread };
                    self.feed_later(daemon, STORE, event);
                }
                effect => {
                    let effect = Box::new(effect);
                    self.asked.push_back(Step::Asks { daemon, effect });
                }
            }
        }
        let Some(at) = self.daemons[daemon].state.wake_at() else { return };
        let at = at.max(self.now);
        if at < self.daemons[daemon].wakes {
            self.daemons[daemon].wakes = at;
            self.push(at, Due::Wake { daemon, at });
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], beat: LoadGossip) {
        self.words += beat.ages.len();
        self.told.count(to.len(), &beat);
        let beat = Arc::new(beat);
        for to in to.iter().filter_map(number) {
            if to < self.len() {
                self.push(self.now + WAY, Due::Heard { from, to, beat: Arc::clone(&beat) });
            }
        }
    }

    fn push(&mut self, at: Duration, due: Due) {
        self.order += 1;
        self.due.insert((at, self.order), due);
    }
}

impl Told {
    fn count(&mut self, receivers: usize, beat: &LoadGossip) {
        let (origins, queries) = (beat.origins.len(), beat.origin_queries.len());
        let answers = beat.origin_answers.len();
        if origins + queries + answers == 0 {
            return;
        }
        self.datagrams += receivers;
        self.bytes += receivers * beat.wire_bytes();
        self.origins += receivers * origins;
        self.queries += receivers * queries;
        self.answers += receivers * answers;
    }
}

/// The time in which all daemons shall have heard of something.
pub fn contact(daemons: usize) -> Duration {
    Duration::from_secs(if daemons < 60 { 3 } else { 5 })
}

/// A plain call whose caller waits for a second.
pub fn call_of(id: RequestId, digest: Digest, path: &str) -> Call {
    Call {
        id,
        trace_id: id.to_string(),
        digest,
        host: "shop.example".to_owned(),
        path: path.to_owned(),
        credential: Credential::None,
        caller_timeout: Some(Duration::from_secs(1)),
        prompt: None,
        resumption: None,
    }
}

fn address(n: usize) -> SocketAddr {
    let n = u16::try_from(n).unwrap_or(u16::MAX);
    let [high, low] = n.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7000))
}

fn number(address: &SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let [_, _, high, low] = v4.ip().octets();
    Some(usize::from(u16::from_be_bytes([high, low])))
}
