//! Decision time per event, by the wall clock: at today's size, and for one daemon of the size that
//! is planned for.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank_core::prelude::*;
use hdrhistogram::Histogram;

use crate::{
    mix::{Deployment, Maker, START, Stream},
    sweep,
    world::{Ask, Brain, Pool, Spec, TeamSpec, Traffic, World},
};

const LASTING: Duration = Duration::from_secs(10);
/// Members, runners, accounts and requests a second of the planned size.
const DAEMONS: usize = 320;
const PREFILLS: usize = 280;
const DECODES: usize = 560;
const ACCOUNTS: usize = 10_000;
const REQUESTS: f64 = 6100.0;

/// Decision times in nanoseconds, by kind of event.
struct Times {
    all: Histogram<u64>,
    kinds: Vec<(&'static str, Histogram<u64>)>,
}

impl Times {
    fn new() -> Times {
        Times { all: histogram(), kinds: Vec::new() }
    }

    fn add(&mut self, kind: &'static str, took: Duration) {
        let nanos = took.as_nanos() as u64;
        self.all.saturating_record(nanos);
        let at = self.kinds.iter().position(|(k, _)| *k == kind).unwrap_or_else(|| {
            self.kinds.push((kind, histogram()));
            self.kinds.len() - 1
        });
        self.kinds[at].1.saturating_record(nanos);
    }

    fn print(&mut self, name: &str) {
        let print = |name: &str, times: &Histogram<u64>| {
            let micros = |nanos: f64| nanos / 1000.0;
            println!("wall_decision_us.{name}.mean={:.2}", micros(times.mean()));
            println!(
                "wall_decision_us.{name}.p99={:.2}",
                micros(times.value_at_quantile(0.99) as f64)
            );
            println!("wall_decision_us.{name}.events={}", times.len());
        };
        print(name, &self.all);
        self.kinds.sort_by_key(|(kind, _)| *kind);
        for (kind, times) in &self.kinds {
            print(&format!("{name}.{kind}"), times);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(10_000_000_000, 3).expect("the bounds are valid")
}

/// The product's decisions with a stop watch.
struct Timed {
    state: State,
    times: Rc<RefCell<Times>>,
}

impl Brain for Timed {
    fn reduce(&mut self, now: Now, event: Event, out: &mut Vec<Effect>) {
        let kind = kind_of(&event);
        let begun = Instant::now();
        reduce(&mut self.state, now, event, out);
        let took = begun.elapsed();
        // Until then daemons find each other and index the catalogue.
        if START <= now.mono {
            self.times.borrow_mut().add(kind, took);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.state.wake_at()
    }

    fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    fn revision(&self) -> u64 {
        self.state.view.catalogue.revision
    }

    fn state(&self) -> Option<&State> {
        Some(&self.state)
    }
}

fn kind_of(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Caller(_) => "caller",
        Event::Engine(EngineEvent::Tokens { .. }) => "token",
        Event::Engine(EngineEvent::Report { .. }) => "report",
        Event::Engine(_) => "engine",
        Event::Peer { .. } => "peer",
        Event::Platform(_) | Event::Shutdown => "platform",
    }
}

/// Prints all figures.
pub fn run() {
    today();
    planned();
}

/// Measures the daemon of a name; all daemons when it is empty.
fn measured(spec: Spec, name: String, asks: Vec<Ask>) -> (World, Rc<RefCell<Times>>) {
    let times = Rc::new(RefCell::new(Times::new()));
    let shared = Rc::clone(&times);
    let mut spec = spec;
    spec.brain = Rc::new(move |local: Local, now| {
        let is_it = name.is_empty() || local.name == name;
        let state = State::new(local, now);
        if is_it {
            Box::new(Timed { state, times: Rc::clone(&shared) }) as Box<dyn Brain>
        } else {
            Box::new(state)
        }
    });
    let mut world = World::new(spec);
    for ask in asks {
        world.ask(ask);
    }
    world.run_until(START);
    for daemon in &mut world.daemons {
        daemon.sent = Traffic::default();
    }
    world.run_until(START + LASTING);
    (world, times)
}

/// Eight daemons and 24 endpoints at their capacity.
fn today() {
    let deployment = Deployment::Kommunkalkyl;
    let spec = sweep::spec(deployment);
    let drafts = deployment.draft_capacity(&spec);
    let calls = deployment.call_capacity(&spec);
    let until = START + LASTING;
    let stream = Stream { team: 0, drafts, calls, from: START, until };
    let asks = Maker::new(deployment, 3).asks(&stream);
    let (_, times) = measured(spec, String::new(), asks);
    times.borrow_mut().print("today");
}

/// One daemon of the planned size, with its share of the requests. The others have little to do, but
/// are there.
fn planned() {
    let mut spec = Deployment::Kitafuji.spec();
    spec.daemons = DAEMONS;
    spec.prefill = Pool { count: PREFILLS, ..spec.prefill };
    spec.decode = Pool { count: DECODES, ..spec.decode };
    let owed = 1.0 / ACCOUNTS as f64;
    let account =
        |i: usize| TeamSpec::owed(Box::leak(format!("account-{i}").into_boxed_str()), owed);
    spec.teams = (0..ACCOUNTS).map(account).collect();
    let share = REQUESTS / DAEMONS as f64;
    let until = START + LASTING;
    let mut maker = Maker::new(Deployment::Kitafuji, 5);
    let stream = Stream { team: 0, drafts: share, calls: 0.0, from: START, until };
    let mut asks = maker.asks(&stream);
    for (i, ask) in asks.iter_mut().enumerate() {
        ask.team = i * 37 % ACCOUNTS;
        ask.daemon = Some(0);
    }
    // Requests of others, at the endpoints that this daemon decides on as well.
    let rest = Stream { drafts: REQUESTS / 10.0, ..stream };
    let others = maker.asks(&rest).into_iter().enumerate();
    asks.extend(others.map(|(i, ask)| Ask {
        team: i * 41 % ACCOUNTS,
        daemon: Some(1 + i % (DAEMONS - 1)),
        ..ask
    }));
    let (world, times) = measured(spec, Spec::vm_name(0), asks);
    times.borrow_mut().print("planned");
    let seconds = LASTING.as_secs_f64();
    let sent = world.daemons[0].sent;
    println!("planned.peer_bytes_a_second={:.0}", sent.bytes as f64 / seconds);
    println!("planned.peer_messages_a_second={:.1}", sent.messages as f64 / seconds);
    let idle: u64 = world.daemons[1..].iter().map(|d| d.sent.bytes).sum();
    let idle = idle as f64 / seconds / (DAEMONS - 1) as f64;
    println!("planned.peer_bytes_a_second.others={idle:.0}");
}
