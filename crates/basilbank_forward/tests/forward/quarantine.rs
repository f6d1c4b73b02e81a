//! A prompt that ends each endpoint that begins it, beside drafts that end none.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use basilbank_forward::{event::Life, prelude::*};
use basilbank_wire::{CrashReport, LoadBeat, Quarantined};
use test_case::test_case;

use crate::{
    fleet::{Fleet, Step, WAY, call_of},
    rig::{Rig, model, numbered, plain, prompt, table_with_memory},
};

/// What the prompt that ends endpoints has for its digest.
const DEADLY: Digest = Digest(7);

/// Retries that may reach endpoints once the third has ended, and daemons had time to hear of it.
const RETRIES: usize = 3;

/// How long an endpoint lives that has begun the prompt.
const ENDS: Duration = Duration::from_millis(60);

/// How long endpoints are away.
const AWAY: Duration = Duration::from_secs(3);

/// When the entry of one that has ended lapses.
const LAPSES: Duration = Duration::from_millis(1500);

const HOLD: Duration = Duration::from_millis(4);
const READ: Duration = Duration::from_millis(150);
const FIRST: Duration = Duration::from_millis(15);

/// The time in which all daemons shall have heard.
fn contact(daemons: usize) -> Duration {
    Duration::from_secs(if daemons < 60 { 3 } else { 5 })
}

/// A load.
#[derive(Clone, Copy)]
struct Load {
    daemons: usize,
    decode: usize,
    /// Other drafts, in a second.
    drafts: f64,
    /// Between two attempts of the prompt that ends endpoints.
    comes: Duration,
    lasts: Duration,
    loss: f64,
    /// Daemons are restarted, and others cut off.
    trouble: bool,
}

impl Load {
    fn new(daemons: usize, decode: usize) -> Load {
        Load {
            daemons,
            decode,
            drafts: 2.0 * decode as f64,
            comes: Duration::from_millis(700),
            lasts: Duration::from_secs(14),
            loss: 0.001,
            trouble: false,
        }
    }
}

/// When all daemons have met, and have used up what they may tell ahead.
const STARTED: Duration = Duration::from_secs(8);

const HEARD: u64 = 3;
const COMES: u64 = 0;
const DRAFT: u64 = 1;
const TROUBLE: u64 = 2;
/// Marks from here on are endpoints' returns, and from the second on ends of what they run.
const BACK: u64 = 1000;
const ENDED: u64 = 1_000_000;

/// An endpoint's decode.
struct Run {
    daemon: usize,
    request: RequestId,
    attempt: u32,
    deadly: bool,
}

/// What came of it.
#[derive(Debug, Default)]
struct Got {
    /// Endpoints that the prompt has ended.
    ends: Vec<Duration>,
    /// When it was sent, by daemons in touch.
    sent: Vec<Duration>,
    drafts: usize,
    served: usize,
    /// Other drafts that were refused as if they were the prompt's.
    blamed: usize,
    /// Most bytes in a second that a daemon received of its peers.
    heard: f64,
}

impl Got {
    /// Attempts that were sent on too late.
    fn late(&self, contact: Duration) -> usize {
        let Some(third) = self.ends.get(2) else { return 0 };
        self.sent.iter().filter(|at| *third + contact < **at).count()
    }
}

struct Play {
    fleet: Fleet,
    load: Load,
    got: Got,
    requests: HashMap<RequestId, Digest>,
    runs: HashMap<u64, (String, Run)>,
    down: BTreeSet<String>,
    births: u64,
    /// Bytes that had been heard then.
    started: usize,
    next: u64,
    out: HashMap<usize, Duration>,
}

impl Play {
    fn run(load: Load, seed: u64) -> Got {
        let fleet = Fleet::new(load.daemons, table_with_memory(1, 1_000_000), seed);
        let mut play = Play {
            fleet: fleet.with_loss(load.loss),
            load,
            got: Got::default(),
            requests: HashMap::new(),
            runs: HashMap::new(),
            down: BTreeSet::new(),
            births: 0,
            started: 0,
            next: 10 * BACK,
            out: HashMap::new(),
        };
        let readers = (0..load.decode / 2 + 1).map(|n| model(&format!("p{n}"), 1, Stage::Prefill));
        let mut list: Vec<_> = readers.collect();
        list.extend((0..load.decode).map(|n| model(&format!("d{n}"), 1, Stage::Decode)));
        let ports = 1..u16::MAX;
        list.iter_mut().zip(ports).for_each(|(info, port)| info.addr.set_port(port));
        play.fleet.list(&list, &[]);
        play.fleet.mark(Duration::from_secs(3), COMES);
        play.fleet.mark(Duration::from_millis(500), DRAFT);
        play.fleet.mark(STARTED, HEARD);
        if load.trouble {
            play.fleet.mark(Duration::from_secs(4), TROUBLE);
        }
        let end = play.fleet.now() + load.lasts;
        while let Some(step) = play.fleet.step(end) {
            match step {
                Step::Asks { daemon, effect } => play.asked(daemon, *effect),
                Step::Mark(mark) => play.marked(mark),
            }
        }
        let time = load.lasts.saturating_sub(STARTED).as_secs_f64();
        play.got.heard = play.fleet.most_heard().saturating_sub(play.started) as f64 / time;
        play.got
    }

    fn marked(&mut self, mark: u64) {
        match mark {
            COMES => {
                let pause = self.load.comes.mul_f64(0.5 + self.fleet.rng.unit());
                self.fleet.mark(pause, COMES);
                self.arrive(DEADLY);
            }
            DRAFT => {
                let pause = -(1.0 - self.fleet.rng.unit()).ln() / self.load.drafts;
                self.fleet.mark(Duration::from_secs_f64(pause), DRAFT);
                self.got.drafts += 1;
                self.arrive(Digest(100_000 + self.got.drafts as u64));
            }
            TROUBLE => self.trouble(),
            HEARD => self.started = self.fleet.most_heard(),
            ENDED.. => self.finish(mark),
            _ => self.back(mark),
        }
    }

    /// A daemon restarts, another one is cut off for two seconds.
    fn trouble(&mut self) {
        self.fleet.mark(Duration::from_millis(1500), TROUBLE);
        let count = self.fleet.len();
        let (restarts, cut) = (self.fleet.rng.index(count), self.fleet.rng.index(count));
        for daemon in 0..count {
            self.fleet.cut(daemon, daemon == cut);
        }
        self.fleet.restart(restarts);
        // A daemon is in touch again so long after its trouble.
        let until = self.fleet.now() + Duration::from_millis(1500) + contact(count);
        self.out.insert(restarts, until);
        self.out.insert(cut, until);
    }

    fn arrive(&mut self, digest: Digest) {
        let id = RequestId(self.next);
        self.next += 1;
        self.requests.insert(id, digest);
        let prompt = Prompt { session: Some(digest.0), ..prompt(1000) };
        let call = Call {
            patience: Some(Duration::from_secs(14)),
            prompt: Some(prompt),
            ..call_of(id, digest, "/draft/1")
        };
        let daemon = self.fleet.rng.index(self.load.daemons);
        self.fleet.feed_later(daemon, WAY, Event::Arrived(Box::new(call)));
    }

    fn asked(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Start { request, attempt } => self.start(daemon, request, &attempt),
            Effect::Refuse { request, refusal, .. } | Effect::Cut { request, refusal } => {
                let other = self.requests.get(&request) != Some(&DEADLY);
                self.got.blamed += usize::from(other && refusal.as_str() == "quarantined");
            }
            Effect::Probe(target) => {
                let dark = self.down.contains(&target.instance);
                let life = if dark { Life::Dark } else { Life::Alive };
                let event = Event::Probed { endpoint: target.endpoint, life };
                self.fleet.feed_later(daemon, WAY * 2, event);
            }
            _ => {}
        }
    }

    fn start(&mut self, daemon: usize, request: RequestId, attempt: &Attempt) {
        let deadly = self.requests.get(&request) == Some(&DEADLY);
        let number = attempt.number;
        let tell = |fleet: &mut Fleet, after, outcome| {
            fleet.feed_later(daemon, after, Event::Came { request, attempt: number, outcome });
        };
        if self.down.contains(&attempt.target.instance) {
            return tell(&mut self.fleet, WAY * 2, Outcome::Unreachable);
        }
        match attempt.op {
            Op::Hold { .. } => {
                tell(&mut self.fleet, HOLD, Outcome::Held { hold: "hold".to_owned() });
            }
            Op::Prefill => {
                let handle = "kv".to_owned();
                tell(&mut self.fleet, READ, Outcome::Prefilled { handle, tokens: 1000 });
            }
            _ => {
                tell(&mut self.fleet, FIRST, Outcome::Streaming);
                let run = Run { daemon, request, attempt: number, deadly };
                let mark = ENDED + self.next;
                self.next += 1;
                let seconds = Duration::from_millis(500).mul_f64(1.0 + 8.0 * self.fleet.rng.unit());
                let lasts = if deadly { ENDS } else { seconds };
                self.fleet.mark(lasts, mark);
                self.runs.insert(mark, (attempt.target.instance.clone(), run));
                let out = self.out.get(&daemon).is_some_and(|until| self.fleet.now() < *until);
                if deadly && !out {
                    self.got.sent.push(self.fleet.now());
                }
            }
        }
    }

    /// A decode ends, and with the prompt's the endpoint with all that it runs.
    fn finish(&mut self, mark: u64) {
        let Some((instance, run)) = self.runs.remove(&mark) else { return };
        if !run.deadly {
            self.got.served += 1;
            return self.came(&run, Outcome::Finished);
        }
        self.came(&run, Outcome::Broken(Damage::CutOff));
        let (broken, runs): (HashMap<_, _>, _) =
            self.runs.drain().partition(|(_, (at, _))| *at == instance);
        self.runs = runs;
        for (_, (_, run)) in broken {
            self.came(&run, Outcome::Broken(Damage::CutOff));
        }
        self.got.ends.push(self.fleet.now());
        self.births += 1;
        self.down.insert(instance);
        self.fleet.mark(LAPSES, BACK + 2 * self.births);
        self.fleet.mark(AWAY, BACK + 2 * self.births + 1);
    }

    fn came(&mut self, run: &Run, outcome: Outcome) {
        let Run { request, attempt, .. } = *run;
        self.fleet.feed_later(run.daemon, WAY, Event::Came { request, attempt, outcome });
    }

    /// An entry lapses, or the endpoint is back under another name.
    fn back(&mut self, mark: u64) {
        let (birth, born) = ((mark - BACK) / 2, mark % 2 == 1);
        if born {
            let port = 20_000 + u16::try_from(birth).unwrap_or(0);
            let info = model(&format!("n{birth}"), port, Stage::Decode);
            return self.fleet.list(&[info], &[]);
        }
        let gone: Vec<_> = self.down.iter().cloned().collect();
        self.fleet.list(&[], &gone);
    }
}

/// Each attempt has an id of its own: without a memory of what was asked for, each one is a new request.
#[test_case(8, 12; "small fleet")]
#[test_case(78, 15; "grown fleet")]
fn a_prompt_that_ended_three_endpoints_is_not_sent_on(daemons: usize, decode: usize) {
    for seed in 1..=5 {
        let got = Play::run(Load::new(daemons, decode), seed);
        assert!(3 <= got.ends.len(), "{seed}: {got:?}");
        assert!(got.late(contact(daemons)) <= RETRIES, "{seed}: {got:?}");
        assert_eq!(got.blamed, 0, "{seed}: {got:?}");
    }
}

#[test]
fn a_prompt_that_ended_three_endpoints_is_not_sent_on_in_a_large_fleet() {
    let lasts = Duration::from_secs(20);
    let load = Load { drafts: 60.0, lasts, ..Load::new(195, 50) };
    let got = Play::run(load, 1);
    assert!(got.heard < 26_000.0, "{got:?}");
    assert!(3 <= got.ends.len(), "{got:?}");
    assert!(got.late(contact(195)) <= RETRIES, "{got:?}");
    assert_eq!(got.blamed, 0, "{got:?}");
}

#[test_case(8, 12; "small fleet")]
#[test_case(78, 15; "grown fleet")]
fn restarts_cuts_and_lost_datagrams_do_not_let_a_deadly_prompt_through(
    daemons: usize,
    decode: usize,
) {
    for seed in 1..=5 {
        let load = Load { loss: 0.1, trouble: true, ..Load::new(daemons, decode) };
        let got = Play::run(load, seed);
        assert!(3 <= got.ends.len(), "{seed}: {got:?}");
        assert!(got.late(contact(daemons)) <= RETRIES, "{seed}: {got:?}");
        assert_eq!(got.blamed, 0, "{seed}: {got:?}");
    }
}

fn quarantined(digest: u64) -> LoadBeat {
    let told = Quarantined { digest, left: 3000 };
    LoadBeat { incarnation: 1, sequence: 1, quarantined: vec![told], ..LoadBeat::default() }
}

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

#[test]
fn a_daemon_that_starts_later_hears_of_all_that_is_in_quarantine() {
    let mut rig = numbered(1);
    rig.feed(Event::beat(peer(2), quarantined(DEADLY.0)));
    rig.pass_ms(10_000);
    rig.feed(Event::beat(peer(2), LoadBeat { sequence: 2, ..quarantined(9) }));
    rig.beats();
    let greeting = LoadBeat { incarnation: 1, sequence: 1, ..LoadBeat::default() };
    rig.feed(Event::beat(peer(3), greeting));
    let beats = rig.beats();
    let introduction = beats.iter().find(|(to, _)| *to == peer(3)).expect("an introduction");
    let told: BTreeSet<_> = introduction.1.quarantined.iter().map(|told| told.digest).collect();
    assert_eq!(told, BTreeSet::from([DEADLY.0, 9]));
}

#[test]
fn a_call_that_ran_to_its_end_is_not_blamed_for_crashes_before_and_after() {
    let mut rig = numbered(1);
    rig.list(vec![plain("e1", 1)]);
    let report = |endpoint, digest| CrashReport { endpoint, digest, ran: 30 };
    let tell = |rig: &mut Rig, sequence, crashes| {
        let beat = LoadBeat { incarnation: 1, sequence, crashes, ..LoadBeat::default() };
        rig.feed(Event::beat(peer(2), beat));
        rig.pass_ms(1000);
    };
    tell(&mut rig, 1, vec![report(1, 0), report(2, 0)]);
    let id = rig.call("/stock/1", 2000, None);
    assert_eq!(id, RequestId(0));
    let attempt = rig.start();
    rig.came(id, attempt.number, Outcome::Answered { status: 200 });
    tell(&mut rig, 2, vec![report(3, 0), report(4, 0)]);
    assert!(rig.state.quarantine.is_empty());
    tell(&mut rig, 3, vec![report(5, 0)]);
    assert_eq!(rig.state.quarantine.len(), 1);
}

#[test]
fn what_ran_beside_the_cause_is_not_blamed() {
    let mut rig = numbered(1);
    for (sequence, endpoint) in (1..).zip(1..=4) {
        let report = |digest, ran| CrashReport { endpoint, digest, ran };
        let crashes = vec![report(50, 4000), report(DEADLY.0, 60), report(51, 90 * endpoint)];
        let beat = LoadBeat { incarnation: 1, sequence, crashes, ..LoadBeat::default() };
        rig.feed(Event::beat(peer(2), beat));
        rig.pass_ms(1000);
    }
    let kept: Vec<_> = [50, 51, DEADLY.0]
        .into_iter()
        .filter(|digest| rig.state.quarantine.left(Digest(*digest), rig.now()).is_some())
        .collect();
    assert_eq!(kept, [DEADLY.0]);
}

#[test]
fn connections_that_break_at_endpoints_that_live_are_no_evidence() {
    let mut rig = numbered(1);
    rig.list((1..=6).map(|n| plain(&format!("e{n}"), n)).collect());
    for _ in 0..5 {
        let id = rig.call("/stock/1", 2000, None);
        rig.feed(Event::Left(id));
        rig.starts();
    }
    let prompt = Digest(99);
    for _ in 0..6 {
        let id = rig.call_again(prompt);
        let attempt = rig.start();
        let endpoint = attempt.target.endpoint;
        rig.came(id, attempt.number, Outcome::Broken(Damage::Closed));
        rig.feed(Event::Probed { endpoint, life: Life::Alive });
        rig.pass_ms(1000);
    }
    assert!(rig.state.quarantine.is_empty());
}

#[test]
fn what_is_kept_is_bounded() {
    let mut rig = numbered(1);
    for sequence in 1..3000 {
        let endpoint = u32::try_from(sequence).expect("small");
        let calls = (0..300).map(|n| CrashReport { endpoint, digest: sequence * 1000 + n, ran: 1 });
        let crashes = calls.collect();
        let told = Quarantined { digest: sequence, left: 3000 };
        let beat = LoadBeat {
            incarnation: 1,
            sequence,
            crashes,
            quarantined: vec![told],
            ..LoadBeat::default()
        };
        rig.feed(Event::beat(peer(2), beat));
    }
    assert_eq!(rig.state.quarantine.len(), 512);
    assert!(rig.state.crashes.len() <= 128 * 256);
}
