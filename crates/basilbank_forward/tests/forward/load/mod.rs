//! A load that is played in virtual time: drafts come, simple engines serve them.

mod callers;
mod engine;
mod site;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use basilbank_core::state::Rng;
use basilbank_forward::{event::Liveness, prelude::*};
use basilbank_wire::LoadGossip;

pub use self::{
    callers::{Callers, Told},
    site::{Class, Engines, Got, Phase, Placing},
};
use self::{
    engine::{Engine, Running, Waiting},
    site::{KEPT, PATIENCE, address, daemon_at, endpoint, name, number, table},
};

/// Prompt tokens that a prefill endpoint reads in a second.
const RATE: f64 = 33_333.0;

/// What an idle endpoint adds to the reading of a prompt.
const BASE: Duration = Duration::from_millis(150);

/// A round trip with an endpoint's answer.
const TRIP: Duration = Duration::from_millis(5);

/// A datagram's way to a peer.
const WAY: Duration = Duration::from_millis(1);

/// How long a call to a dark endpoint is waited for.
const DARK: Duration = Duration::from_millis(250);

/// Time after which a play with callers who come back ends whatever is still going on.
const LONGEST: Duration = Duration::from_secs(120);

/// What happens to a draft at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive { class: usize },
    Answer { draft: u64, attempt: u32, what: Answer },
    End { draft: u64, attempt: u32, endpoint: usize },
    Probe { daemon: usize, endpoint: usize, via: Option<SocketAddr> },
    Heard { from: u16, to: usize, beat: usize },
    Return { draft: u64 },
    Restart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Held,
    Prefilled,
    Streaming,
    Unreachable,
}

/// A draft on its way.
struct Draft {
    class: usize,
    came: Duration,
    prompt: Prompt,
    output: u32,
    first: Option<Duration>,
    caller: u64,
    /// When its caller first came.
    first_came: Duration,
    tries: u32,
}

/// One play.
pub struct Play {
    engines: Engines,
    placing: Placing,
    states: Vec<State>,
    now: Duration,
    due: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    order: u64,
    endpoints: Vec<Engine>,
    drafts: HashMap<u64, Draft>,
    arrivals: VecDeque<(Duration, usize)>,
    beats: Vec<LoadGossip>,
    rng: Rng,
    got: Got,
    got_by_class: Vec<Got>,
    classes: Vec<Class>,
    cut: Option<(Duration, Duration)>,
    turn: usize,
    callers: Callers,
    told: Told,
    again: u64,
    restarts: u64,
    began: Duration,
}

impl Play {
    /// Plays phases one after the other.
    #[must_use]
    pub fn run(engines: Engines, phases: &[Phase], placing: Placing, seed: u64) -> Got {
        Play::run_classes(engines, &[Class::only(phases)], None, placing, seed).0
    }

    /// Plays the drafts of several classes. Returns what all callers got, and those of each class.
    /// During `cut`, given as seconds from the beginning, the two halves of the fleet don't hear
    /// each other.
    #[must_use]
    pub fn run_classes(
        engines: Engines,
        classes: &[Class],
        cut: Option<(u64, u64)>,
        placing: Placing,
        seed: u64,
    ) -> (Got, Vec<Got>) {
        let mut play = Play::new(engines, classes.to_vec(), placing, seed);
        let at = |seconds| play.now + Duration::from_secs(seconds);
        play.cut = cut.map(|(from, to)| (at(from), at(to)));
        play.prepare();
        play.play();
        (play.got, play.got_by_class)
    }

    fn new_state(&self, n: u16) -> State {
        let tuning = match &self.placing {
            Placing::Router(tuning) => (**tuning).clone(),
            Placing::InTurn => Tuning::default(),
        };
        let local = Local::default().with_name(&format!("vm-{n}")).with_data_centre("hall-a");
        let local = local.with_start(SystemStart::Restart);
        let local = match self.engines.hearing {
            true => local
                .with_incarnation(1 + self.restarts * 100_000)
                .with_address(address(n))
                .with_seeds((0..self.engines.daemons).map(address).collect()),
            false => local,
        };
        State::new(local, tuning)
    }

    fn new(engines: Engines, classes: Vec<Class>, placing: Placing, seed: u64) -> Play {
        let began = Duration::from_secs(100);
        let mut play = Play {
            engines,
            placing,
            states: Vec::new(),
            now: began,
            due: BinaryHeap::new(),
            order: 0,
            endpoints: Vec::new(),
            drafts: HashMap::new(),
            arrivals: VecDeque::new(),
            beats: Vec::new(),
            rng: Rng::new(seed),
            got: Got::default(),
            got_by_class: vec![Got::default(); classes.len()],
            classes,
            cut: None,
            turn: 0,
            callers: Callers::default(),
            told: Told::default(),
            again: 0,
            restarts: 0,
            began,
        };
        play.states = (0..engines.daemons).map(|n| play.new_state(n)).collect();
        play
    }

    fn configure(&mut self) {
        let read = Revisions::at(1);
        let table = Some(Arc::new(table(self.engines.memory, &self.classes)));
        self.feed_all(&Event::RoutesRead { revisions: read, table });
        let count = self.engines.prefill + self.engines.decode;
        let list = (0..count).map(|n| {
            let stage = if n < self.engines.prefill { Stage::Prefill } else { Stage::Decode };
            endpoint(n, stage, self.engines.slots)
        });
        self.feed_all(&Event::EndpointsChanged {
            revisions: read,
            updated: list.collect(),
            removed: Vec::new(),
        });
    }

    fn prepare(&mut self) {
        self.configure();
        let count = self.engines.prefill + self.engines.decode;
        let engine = || Engine { token: self.engines.token, ..Engine::default() };
        self.endpoints.resize_with(usize::from(count), engine);
        let mut arrivals = Vec::new();
        for (class, Class { phases, .. }) in self.classes.iter().enumerate() {
            let mut at = self.now;
            for phase in phases {
                let end = at + phase.time;
                loop {
                    let pause = -(1.0 - self.rng.unit()).ln() / phase.rate;
                    at += Duration::from_secs_f64(pause);
                    if end <= at {
                        break;
                    }
                    arrivals.push((at, class));
                }
                at = end;
            }
        }
        arrivals.sort_unstable();
        self.arrivals = arrivals.into();
        self.push_arrival();
    }

    fn push_arrival(&mut self) {
        if let Some((first, class)) = self.arrivals.pop_front() {
            self.push(first, Due::Arrive { class });
        }
    }

    fn play(&mut self) {
        loop {
            let next = self.due.peek().map(|Reverse((at, ..))| *at);
            let tick = self.states.iter().filter_map(State::wake_at).min();
            let Some(at) = next else {
                if self.drafts.is_empty() {
                    return;
                }
                self.now = tick.unwrap_or(self.now + PATIENCE).max(self.now);
                self.feed_all(&Event::Tick);
                continue;
            };
            if tick.is_some_and(|tick| tick < at) {
                self.now = tick.unwrap_or(at).max(self.now);
                self.feed_all(&Event::Tick);
                continue;
            }
            self.now = at.max(self.now);
            if self.callers != Callers::default() && self.began + LONGEST < self.now {
                return;
            }
            if let Some(Reverse((_, _, due))) = self.due.pop() {
                self.happen(due);
            }
        }
    }

    fn push(&mut self, at: Duration, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrive { class } => self.arrive(class),
            Due::Answer { draft, attempt, what } => self.answer(draft, attempt, what),
            Due::End { draft, attempt, endpoint } => {
                self.release(endpoint, draft);
                self.finish(draft, attempt);
            }
            Due::Heard { from, to, beat } => {
                let beat = self.beats[beat].clone();
                self.feed(to, Event::gossip(address(from), beat));
            }
            Due::Probe { daemon, endpoint, via } => self.probed(daemon, endpoint, via),
            Due::Return { draft } => self.call(draft),
            Due::Restart => self.restart(),
        }
    }

    /// A probe ends, of the daemon itself or by a peer: an endpoint that isn't dark answers.
    fn probed(&mut self, daemon: usize, endpoint: usize, via: Option<SocketAddr>) {
        let is_dark = self.is_dark(endpoint);
        let Some(endpoint) = self.states[daemon].directory.find(&name(endpoint)) else { return };
        let event = match via {
            Some(peer) => {
                let failure = is_dark.then_some(NotProxied::EndpointUnreachable);
                Event::ProbedByPeer { endpoint, peer, failure }
            }
            None => {
                let liveness = if is_dark { Liveness::Unreachable } else { Liveness::Alive };
                Event::Probed { endpoint, liveness }
            }
        };
        self.feed(daemon, event);
    }

    fn arrive(&mut self, class: usize) {
        self.push_arrival();
        self.got.drafts += 1;
        self.got_by_class[class].drafts += 1;
        let id = u64::from(self.got.drafts);
        let tokens = (self.around(3000.0, 0.5)).clamp(200.0, 6600.0) as u32;
        let output =
            (self.around(self.engines.output, 0.7)).clamp(10.0, self.engines.output * 2.5) as u32;
        let hint = (f64::from(output) * (0.5 + self.rng.unit())) as u32;
        let prompt = Prompt {
            tokens,
            max_output: self.engines.output as u32 * 5 / 2 + 20,
            output_hint: Some(hint),
            session: Some(id),
            parts: Vec::new(),
        };
        let (came, first) = (self.now, None);
        let (caller, first_came) = (id, came);
        let draft = Draft { class, came, prompt, output, first, caller, first_came, tries: 0 };
        self.drafts.insert(id, draft);
        self.count_caller(id);
        self.call(id);
    }

    /// A draft comes to a daemon.
    fn call(&mut self, id: u64) {
        let Some(draft) = self.drafts.get(&id) else { return };
        let (class, prompt, caller) = (draft.class, draft.prompt.clone(), draft.caller);
        match self.placing {
            Placing::InTurn => self.place_in_turn(id),
            Placing::Router(_) => {
                let call = Call {
                    id: RequestId(id),
                    trace_id: id.to_string(),
                    digest: Digest(caller),
                    host: "shop.example".to_owned(),
                    credential: self.classes[class].credential(),
                    path: format!("/draft/{class}/1"),
                    caller_timeout: Some(PATIENCE),
                    prompt: Some(prompt),
                    resumption: None,
                };
                self.feed(self.daemon(id), Event::Arrived(Box::new(call)));
            }
        }
    }

    /// A skewed value with a mean: the sum of exponentials is skewed like real lengths.
    fn around(&mut self, mean: f64, spread: f64) -> f64 {
        let skew = -(1.0 - self.rng.unit()).ln() - 1.0;
        mean * (1.0 + spread * skew)
    }

    fn place_in_turn(&mut self, id: u64) {
        self.turn += 1;
        let prefill = self.turn % usize::from(self.engines.prefill);
        self.read(id, 0, prefill);
    }

    /// Whether a daemon hears another one now.
    fn hears(&self, from: usize, to: usize) -> bool {
        let is_cut = self.cut.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let half = self.states.len() / 2;
        !is_cut || (from < half) == (to < half)
    }

    /// The daemon that has a draft.
    fn daemon(&self, draft: u64) -> usize {
        usize::try_from(draft).unwrap_or_default() % self.states.len()
    }

    fn feed_all(&mut self, event: &Event) {
        (0..self.states.len()).for_each(|daemon| self.feed(daemon, event.clone()));
    }

    fn feed(&mut self, daemon: usize, event: Event) {
        let wall = SystemTime::UNIX_EPOCH + self.now;
        let mut effects = Vec::new();
        reduce(&mut self.states[daemon], Now { mono: self.now, wall }, event, &mut effects);
        let records = self.states[daemon].returns.len();
        self.told.most_records = self.told.most_records.max(records);
        for effect in effects {
            match effect {
                Effect::Start { request, attempt } => self.start(request.0, &attempt),
                Effect::Refuse { request, refusal, retry_after } => {
                    self.refused(request.0, refusal, retry_after);
                }
                Effect::AbortStream { request, .. } => {
                    self.drafts.remove(&request.0);
                }
                Effect::SendGossip { to, gossip } => {
                    self.beats.push(*gossip);
                    let beat = self.beats.len() - 1;
                    for to in to.into_iter().map(daemon_at) {
                        let from = u16::try_from(daemon).unwrap_or_default();
                        if self.hears(daemon, to) {
                            self.push(self.now + WAY, Due::Heard { from, to, beat });
                        }
                    }
                }
                Effect::Probe(target) => {
                    let endpoint = number(&target.instance);
                    let at = self.now + if self.is_dark(endpoint) { DARK } else { TRIP };
                    self.push(at, Due::Probe { daemon, endpoint, via: target.via });
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, draft: u64, attempt: &Attempt) {
        let endpoint = number(&attempt.target.instance);
        if self.is_dark(endpoint) {
            let what = Answer::Unreachable;
            let at = self.now + DARK;
            return self.push(at, Due::Answer { draft, attempt: attempt.number, what });
        }
        match attempt.op {
            Op::Hold { .. } => {
                let what = Answer::Held;
                let at = self.now + TRIP;
                self.push(at, Due::Answer { draft, attempt: attempt.number, what });
            }
            Op::Prefill => self.read(draft, attempt.number, endpoint),
            _ => {
                let has_kv = matches!(attempt.op, Op::Decode { .. });
                self.generate(draft, attempt.number, endpoint, has_kv, attempt.rank);
            }
        }
    }

    fn is_dark(&self, endpoint: usize) -> bool {
        let first = usize::from(self.engines.prefill);
        let dark = match self.callers.dark {
            Some((at, dark)) if self.began + at <= self.now => dark,
            _ => self.engines.dark,
        };
        (first..first + usize::from(dark)).contains(&endpoint)
    }

    /// Prompts are read one after the other.
    fn read(&mut self, draft: u64, attempt: u32, endpoint: usize) {
        let Some(tokens) = self.drafts.get(&draft).map(|d| d.prompt.tokens) else { return };
        let engine = &mut self.endpoints[endpoint];
        let begin = engine.free_at.max(self.now);
        engine.free_at = begin + Duration::from_secs_f64(f64::from(tokens) / RATE);
        let at = engine.free_at + BASE;
        self.push(at, Due::Answer { draft, attempt, what: Answer::Prefilled });
    }

    fn answer(&mut self, draft: u64, attempt: u32, what: Answer) {
        if matches!(self.placing, Placing::InTurn) && what == Answer::Prefilled {
            self.turn += 1;
            let first = usize::from(self.engines.prefill);
            let endpoint = first + self.turn % usize::from(self.engines.decode);
            return match self.is_dark(endpoint) {
                true => {
                    self.got.vain += 1;
                    self.drafts.remove(&draft);
                }
                false => self.generate(draft, attempt, endpoint, true, None),
            };
        }
        if what == Answer::Streaming
            && let Some(draft) = self.drafts.get_mut(&draft)
        {
            draft.first.get_or_insert(self.now);
        }
        if matches!(self.placing, Placing::InTurn) {
            return;
        }
        let tokens = self.drafts.get(&draft).map_or(0, |d| d.prompt.tokens);
        let outcome = match what {
            Answer::Held => Outcome::Held { hold: "hold".to_owned() },
            Answer::Prefilled => Outcome::Prefilled { handle: "kv".to_owned(), tokens },
            Answer::Streaming => Outcome::Streaming,
            Answer::Unreachable => Outcome::Unreachable,
        };
        self.feed(
            self.daemon(draft),
            Event::AttemptOutcome { request: RequestId(draft), attempt, outcome },
        );
    }

    /// A draft waits at the engine until there is memory for its prompt. What is generated grows beyond
    /// that; real engines then put the newest one back, which this one does not.
    fn generate(
        &mut self,
        draft: u64,
        attempt: u32,
        endpoint: usize,
        has_kv: bool,
        rank: Option<Rank>,
    ) {
        let Some(tokens) = self.drafts.get(&draft).map(|d| d.prompt.tokens) else { return };
        let read = match has_kv {
            true => TRIP,
            false => BASE + Duration::from_secs_f64(f64::from(tokens) / RATE * 2.0),
        };
        let since = self.now;
        let waiting = Waiting { draft, attempt, tokens, since, read, has_kv, rank };
        self.endpoints[endpoint].push(waiting);
        self.admit(endpoint);
    }

    fn admit(&mut self, endpoint: usize) {
        loop {
            let engine = &mut self.endpoints[endpoint];
            let Some(next) = engine.waiting.front() else { return };
            let lapsed = next.has_kv && next.since + KEPT < self.now;
            let Some(draft) = self.drafts.get(&next.draft) else {
                engine.waiting.pop_front();
                continue;
            };
            let used = engine.used(self.now);
            if !lapsed && used != 0 && self.engines.memory < used + next.tokens {
                return;
            }
            let Some(next) = engine.waiting.pop_front() else { return };
            if lapsed {
                self.got.vain += 1;
                self.drafts.remove(&next.draft);
                let outcome = Outcome::NotRun(NotRun::Busy);
                if matches!(self.placing, Placing::Router(_)) {
                    self.drop_draft(next.draft, next.attempt, outcome);
                }
                continue;
            }
            let first = self.now + next.read;
            let end = first + engine.token * draft.output;
            let (draft, attempt) = (next.draft, next.attempt);
            engine.running.push(Running { draft, tokens: next.tokens, first });
            self.push(first, Due::Answer { draft, attempt, what: Answer::Streaming });
            self.push(end, Due::End { draft, attempt, endpoint });
        }
    }

    /// The draft is over for the figures; the router may do with it what it likes.
    fn drop_draft(&mut self, draft: u64, attempt: u32, outcome: Outcome) {
        let daemon = self.daemon(draft);
        self.feed(daemon, Event::AttemptOutcome { request: RequestId(draft), attempt, outcome });
        self.feed(daemon, Event::CallerLeft(RequestId(draft)));
    }

    fn release(&mut self, endpoint: usize, draft: u64) {
        let engine = &self.endpoints[endpoint];
        self.got.crowded += u32::from(self.engines.memory < engine.used(self.now));
        self.endpoints[endpoint].running.retain(|run| run.draft != draft);
        self.admit(endpoint);
    }

    fn finish(&mut self, draft: u64, attempt: u32) {
        if let Some(draft) = self.drafts.remove(&draft) {
            let first = draft.first.unwrap_or(self.now);
            let target = self.classes[draft.class].target;
            let is_timely = u32::from(first <= draft.first_came + target);
            self.count_served(&draft, is_timely != 0);
            for got in [&mut self.got, &mut self.got_by_class[draft.class]] {
                got.served += 1;
                got.timely += is_timely;
            }
        }
        if matches!(self.placing, Placing::Router(_)) {
            let request = RequestId(draft);
            let outcome = Outcome::Finished;
            self.feed(self.daemon(draft), Event::AttemptOutcome { request, attempt, outcome });
        }
    }
}
