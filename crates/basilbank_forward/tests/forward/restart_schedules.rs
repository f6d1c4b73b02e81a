//! Random schedules of endpoints that start again: three daemons learn of it at different times, and
//! their datagrams are late, lost or overtake each other.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use basilbank_forward::prelude::*;
use basilbank_wire::LoadGossip;
use proptest::prelude::*;

use crate::rig::{BUSY, Rig, model, prompt};

const STEP: Duration = Duration::from_millis(10);

const DAEMONS: usize = 3;

/// The endpoints: a name, a port, a stage.
const ENDPOINTS: [(&str, u16, Stage); 3] =
    [("p1", 1, Stage::Prefill), ("d1", 2, Stage::Decode), ("d2", 3, Stage::Decode)];

/// What may happen in a step.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Nothing,
    /// A draft of some tokens comes to a daemon.
    Call(usize, u32),
    /// One of a daemon's callers leaves.
    Leave(usize, usize),
    /// One of a daemon's attempts comes to something.
    Come(usize, usize, Answer),
    /// An endpoint starts again.
    Restart(usize),
    /// A daemon reads an endpoint's entry.
    Read(usize, usize),
    /// A daemon reads an entry that is older by so many starts.
    ReadLate(usize, usize, u64),
    /// A daemon reads that an endpoint's entry has gone.
    Gone(usize, usize),
    /// A daemon reads the whole list.
    ReadAll(usize),
}

#[derive(Clone, Copy, Debug)]
enum Answer {
    Yes,
    Busy,
    Unreachable,
    Broken,
    Ended,
}

fn happening() -> impl Strategy<Value = Happening> {
    let vm = || 0..DAEMONS;
    let endpoint = || 0..ENDPOINTS.len();
    let answer = prop_oneof![
        12 => Just(Answer::Yes),
        2 => Just(Answer::Busy),
        1 => Just(Answer::Unreachable),
        2 => Just(Answer::Broken),
        2 => Just(Answer::Ended),
    ];
    prop_oneof![
        4 => Just(Happening::Nothing),
        6 => (vm(), 100u32..4000).prop_map(|(vm, tokens)| Happening::Call(vm, tokens)),
        2 => (vm(), any::<usize>()).prop_map(|(vm, nth)| Happening::Leave(vm, nth)),
        14 => (vm(), any::<usize>(), answer).prop_map(|(vm, nth, how)| Happening::Come(vm, nth, how)),
        2 => endpoint().prop_map(Happening::Restart),
        4 => (vm(), endpoint()).prop_map(|(vm, at)| Happening::Read(vm, at)),
        1 => (vm(), endpoint(), 1u64..3).prop_map(|(vm, at, by)| Happening::ReadLate(vm, at, by)),
        1 => (vm(), endpoint()).prop_map(|(vm, at)| Happening::Gone(vm, at)),
        1 => vm().prop_map(Happening::ReadAll),
    ]
}

/// An attempt under way: of which request, and which start it was sent to.
#[derive(Clone, Debug)]
struct Sent {
    request: RequestId,
    attempt: Attempt,
    start: String,
}

struct Schedule {
    vms: Vec<(SocketAddr, Rig)>,
    /// Each endpoint's present start.
    starts: [u64; ENDPOINTS.len()],
    sent: Vec<Vec<Sent>>,
    callers: Vec<Vec<RequestId>>,
    /// Datagrams under way: the step in which they arrive, to whom, from whom.
    network: Vec<(u64, usize, SocketAddr, LoadGossip)>,
    /// All datagrams that were sent, by sender and number.
    told: HashMap<(SocketAddr, u64), LoadGossip>,
    step: u64,
    random: u64,
    hashes: HashMap<String, u32>,
}

fn entry(endpoint: usize, born: u64) -> EndpointInfo {
    let (name, port, stage) = ENDPOINTS[endpoint];
    EndpointInfo { start_time: Some(born), ..model(name, port, stage) }
}

fn start_name(info: &EndpointInfo) -> String {
    format!("{}/{}", info.instance, info.start_time.expect("all say it"))
}

/// How daemons name a start to each other: what one tells that knows nothing else.
fn wire_name(info: &EndpointInfo) -> u32 {
    let peer = SocketAddr::from(([10, 0, 9, 9], 7000));
    let mut rig = Rig::as_daemon(SocketAddr::from(([10, 0, 9, 8], 7000)), vec![peer]);
    rig.list(vec![EndpointInfo { stage: Some(Stage::Decode), ..info.clone() }]);
    rig.pass_ms(3000);
    rig.beats();
    rig.call("/draft/1", 14_000, Some(prompt(100)));
    rig.pass_ms(600);
    let (_, beat) = rig.beats().pop().expect("a datagram");
    beat.endpoints[0]
}

impl Schedule {
    fn new(random: u64) -> Schedule {
        let address = |n: usize| SocketAddr::from(([10, 0, 1, n as u8], 7000));
        let all: Vec<_> = (0..DAEMONS).map(address).collect();
        let vms = all.iter().map(|at| {
            let mut rig = Rig::as_daemon(*at, all.clone());
            rig.list((0..ENDPOINTS.len()).map(|n| entry(n, 1)).collect());
            rig.pass_ms(3000);
            (*at, rig)
        });
        Schedule {
            vms: vms.collect(),
            starts: [1; ENDPOINTS.len()],
            sent: vec![Vec::new(); DAEMONS],
            callers: vec![Vec::new(); DAEMONS],
            network: Vec::new(),
            told: HashMap::new(),
            step: 0,
            random: random | 1,
            hashes: HashMap::new(),
        }
    }

    /// A number below `below`.
    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Nothing => {}
            Happening::Call(vm, tokens) => {
                let id = self.vms[vm].1.call("/draft/1", 14_000, Some(prompt(tokens)));
                self.callers[vm].push(id);
            }
            Happening::Leave(vm, nth) if !self.callers[vm].is_empty() => {
                let nth = nth % self.callers[vm].len();
                let id = self.callers[vm].swap_remove(nth);
                self.vms[vm].1.feed(Event::CallerLeft(id));
            }
            Happening::Come(vm, nth, answer) if !self.sent[vm].is_empty() => {
                let nth = nth % self.sent[vm].len();
                self.come(vm, nth, answer);
            }
            Happening::Leave(..) | Happening::Come(..) => {}
            Happening::Restart(endpoint) => self.starts[endpoint] += 1,
            Happening::Read(vm, endpoint) => {
                self.vms[vm].1.list(vec![entry(endpoint, self.starts[endpoint])]);
            }
            Happening::ReadLate(vm, endpoint, by) => {
                let born = self.starts[endpoint].saturating_sub(by).max(1);
                self.vms[vm].1.list(vec![entry(endpoint, born)]);
            }
            Happening::Gone(vm, endpoint) => {
                self.vms[vm].1.change(vec![], &[ENDPOINTS[endpoint].0]);
            }
            Happening::ReadAll(vm) => self.read_all(vm),
        }
    }

    fn read_all(&mut self, vm: usize) {
        let list = (0..ENDPOINTS.len()).map(|n| entry(n, self.starts[n])).collect();
        let rig = &mut self.vms[vm].1;
        let read = Revisions::at(rig.state.directory.revision.number + 1);
        rig.feed(Event::EndpointsRead { revisions: read, list });
        rig.set_revision(read.store.number);
    }

    fn come(&mut self, vm: usize, nth: usize, answer: Answer) {
        let Sent { request, attempt, start } = self.sent[vm][nth].clone();
        let outcome = match (answer, &attempt.op) {
            // What an endpoint holds bears the name of its start.
            (Answer::Yes, Op::Hold { .. }) => Outcome::Held { hold: start },
            (Answer::Yes, Op::Prefill) => Outcome::Prefilled { handle: start, tokens: 100 },
            (Answer::Yes, _) => Outcome::Streaming,
            (Answer::Ended, Op::Hold { .. } | Op::Prefill) | (Answer::Busy, _) => BUSY,
            (Answer::Ended, _) => Outcome::Finished,
            (Answer::Unreachable, _) => Outcome::Unreachable,
            (Answer::Broken, _) => Outcome::Broken(Damage::CutOff),
        };
        if outcome != Outcome::Streaming {
            self.sent[vm].swap_remove(nth);
        }
        self.vms[vm].1.came(request, attempt.number, outcome);
    }

    fn run(&mut self) -> Result<(), TestCaseError> {
        self.step += 1;
        for vm in 0..DAEMONS {
            self.vms[vm].1.pass(STEP);
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            self.network.drain(..).partition(|(at, ..)| *at <= self.step);
        self.network = rest;
        for (_, to, from, beat) in due {
            self.vms[to].1.feed(Event::gossip(from, beat));
        }
        for vm in 0..DAEMONS {
            self.carry_out(vm)?;
            self.check(vm)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, vm: usize) -> Result<(), TestCaseError> {
        for effect in std::mem::take(&mut self.vms[vm].1.effects) {
            match effect {
                Effect::Start { request, attempt } => self.start(vm, request, attempt)?,
                Effect::ReleaseHold { target, hold: name }
                | Effect::FreeKv { target, handle: name } => {
                    let state = &self.vms[vm].1.state;
                    // Its last call may have ended with this, and it is removed then.
                    if let Some(endpoint) = state.directory.get(target.endpoint) {
                        prop_assert_eq!(&name, &start_name(&endpoint.info));
                    }
                    let present = state.directory.find(&target.instance);
                    let present = present.and_then(|key| state.directory.get(key));
                    let present = present.map_or(name.clone(), |e| start_name(&e.info));
                    prop_assert_eq!(name, present, "given back at another start");
                }
                Effect::SendGossip { to, gossip } => self.send(vm, &to, &gossip),
                _ => {}
            }
        }
        Ok(())
    }

    fn start(
        &mut self,
        vm: usize,
        request: RequestId,
        attempt: Attempt,
    ) -> Result<(), TestCaseError> {
        let state = &self.vms[vm].1.state;
        let Some(endpoint) = state.directory.get(attempt.target.endpoint) else { return Ok(()) };
        let start = start_name(&endpoint.info);
        if let Op::Decode { hold, .. } | Op::Stream { hold } = &attempt.op {
            prop_assert_eq!(hold.as_ref(), Some(&start), "a hold of another start");
        }
        if let Op::Decode { source, handle, .. } = &attempt.op {
            let present = state.directory.listed().find(|(_, e)| e.info.addr == *source);
            if let Some((_, present)) = present {
                prop_assert_eq!(handle, &start_name(&present.info), "a KV cache of another start");
            }
        }
        self.sent[vm].push(Sent { request, attempt, start });
        Ok(())
    }

    fn send(&mut self, vm: usize, to: &[SocketAddr], beat: &LoadGossip) {
        let from = self.vms[vm].0;
        self.told.insert((from, beat.sequence), beat.clone());
        let named = |n: &usize| *n != vm && to.contains(&self.vms[*n].0);
        for to in (0..DAEMONS).filter(named).collect::<Vec<_>>() {
            // One in eight is lost; the others take up to a second and overtake each other.
            let lost = self.draw(8) == 0;
            let delay = self.draw(100);
            if !lost {
                self.network.push((self.step + delay, to, from, beat.clone()));
            }
        }
    }

    /// What is counted is what there is, at the start where it is.
    fn check(&mut self, vm: usize) -> Result<(), TestCaseError> {
        let state = &self.vms[vm].1.state;
        let mut own: HashMap<EndpointKey, (u32, u32)> = HashMap::new();
        let mut count = |key: EndpointKey, share: Usage| {
            let counted = own.entry(key).or_default();
            *counted = (counted.0 + share.calls, counted.1 + share.tokens);
        };
        for request in state.requests.values() {
            request.active_attempts.iter().for_each(|live| count(live.endpoint, live.usage));
            if let Some(hold) = &request.completion.hold {
                hold.usage.iter().for_each(|share| count(hold.endpoint, *share));
            }
        }
        let mut others: HashMap<EndpointKey, (u64, u64)> = HashMap::new();
        for (from, peer) in &state.peers.known {
            let beat = &self.told[&(*from, peer.sequence)];
            for load in &peer.loads {
                let counted = others.entry(load.endpoint).or_default();
                let (calls, tokens) = (load.usage.calls, load.usage.tokens);
                *counted = (counted.0 + u64::from(calls), counted.1 + u64::from(tokens));
                let Some(endpoint) = state.directory.get(load.endpoint) else { continue };
                let name = start_name(&endpoint.info);
                let hash = self.hashes.entry(name).or_insert_with(|| wire_name(&endpoint.info));
                let told = beat.loads().find(|told| told.endpoint == *hash);
                let told = told.map(|told| (told.calls, told.tokens));
                prop_assert_eq!(
                    told,
                    Some((load.usage.calls, load.usage.tokens)),
                    "told of another start"
                );
            }
        }
        let keys: HashSet<_> = own.keys().chain(others.keys()).copied().collect();
        let listed: Vec<_> = state.directory.listed().map(|(key, _)| key).collect();
        for key in keys.into_iter().chain(listed) {
            let Some(endpoint) = state.directory.get(key) else {
                prop_assert!(!own.contains_key(&key), "an endpoint with calls was removed");
                continue;
            };
            let counted = (endpoint.calls, endpoint.tokens);
            prop_assert_eq!(own.get(&key).copied().unwrap_or_default(), counted);
            let counted = (endpoint.peer_calls, endpoint.peer_tokens);
            prop_assert_eq!(others.get(&key).copied().unwrap_or_default(), counted);
            let sum = |shares: &[Usage]| shares.iter().map(|s| u64::from(s.tokens)).sum::<u64>();
            prop_assert_eq!(sum(&endpoint.own_usage), u64::from(endpoint.tokens));
            prop_assert_eq!(sum(&endpoint.peer_usage), endpoint.peer_tokens);
        }
        Ok(())
    }

    /// All callers leave, all daemons read the list, and all that is under way arrives.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for vm in 0..DAEMONS {
            for id in std::mem::take(&mut self.callers[vm]) {
                self.vms[vm].1.feed(Event::CallerLeft(id));
            }
        }
        self.run()?;
        (0..DAEMONS).for_each(|vm| self.read_all(vm));
        for _ in 0..500 {
            self.run()?;
        }
        for (_, rig) in &self.vms {
            let directory = &rig.state.directory;
            prop_assert_eq!(directory.len(), ENDPOINTS.len());
            for (at, (name, ..)) in ENDPOINTS.iter().enumerate() {
                let endpoint = directory.find(name).and_then(|key| directory.get(key));
                let endpoint = endpoint.expect("listed");
                prop_assert_eq!(endpoint.info.start_time, Some(self.starts[at]));
                prop_assert_eq!((endpoint.total_calls(), endpoint.total_tokens()), (0, 0));
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Symptom: an endpoint that had just started counted as full, or as emptier than it was.
    /// Sequence: daemons learned of its start at different times, and told each other of both starts.
    /// Cause: what was counted, held and told was of the instance, and both starts have its id.
    #[test]
    fn each_start_has_its_own_counts(
        steps in prop::collection::vec(happening(), 100..400),
        random in any::<u64>(),
    ) {
        let mut schedule = Schedule::new(random);
        for happening in steps {
            schedule.happen(happening);
            schedule.run()?;
        }
        schedule.settle()?;
    }
}
