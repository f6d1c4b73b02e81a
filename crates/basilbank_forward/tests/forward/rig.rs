//! One daemon's decisions, fed by hand.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use basilbank_forward::{
    prelude::*, rank::DEFAULT_PRIORITY, route::EngineInfo, state::history::ListChange,
};
use basilbank_wire::LoadGossip;

/// The plain service of the tests.
pub const DESK: &str = "desk";
/// The model service of the tests.
pub const WRITER: &str = "writer";

/// When a daemon starts, in milliseconds since the Unix epoch: long after its endpoints.
const NOON: u64 = 1_000_000;

/// A daemon, its time, and all that it has asked for since the last look.
pub struct Rig {
    pub state: State,
    pub effects: Vec<Effect>,
    /// What the store still has of the list's changes; without it the store doesn't answer.
    pub history: Option<HistoryAnswer>,
    /// The list's changes after what this daemon has read; without them the store doesn't answer.
    pub unread: Option<Vec<ListChange>>,
    /// The revision before which the store has dropped its changes.
    pub forgotten: u64,
    now: Duration,
    frozen: Duration,
    revision: u64,
    next: u64,
}

impl Rig {
    /// A daemon that knows the routes and nothing else.
    pub fn new() -> Rig {
        Rig::with_local(Local::default().with_incarnation(NOON))
    }

    /// The same, started again.
    pub fn restarted() -> Rig {
        Rig::with_local(Local::default().with_start(SystemStart::Restart))
    }

    /// One of several daemons.
    pub fn as_daemon(address: SocketAddr, seeds: Vec<SocketAddr>) -> Rig {
        Rig::with_local(local_at(address).with_incarnation(1).with_seeds(seeds))
    }

    /// The same after its process was replaced.
    pub fn as_next_daemon(address: SocketAddr, seeds: Vec<SocketAddr>) -> Rig {
        Rig::with_local(local_at(address).with_incarnation(2).with_seeds(seeds))
    }

    /// One of several daemons whose process starts again, at a time after the first start of all.
    pub fn restarted_daemon(address: SocketAddr, seeds: Vec<SocketAddr>, at: Duration) -> Rig {
        let incarnation = 1 + u64::try_from(at.as_millis()).expect("short");
        let local = local_at(address).with_incarnation(incarnation).with_seeds(seeds);
        Rig::with_local(local.with_start(SystemStart::Restart))
    }

    fn with_local(local: Local) -> Rig {
        let local = local.with_name("vm-1").with_data_centre("hall-a");
        let state = State::new(local, Tuning::default());
        let now = Duration::from_secs(100);
        let frozen = Duration::ZERO;
        let history = Some(HistoryAnswer::Changes(Vec::new()));
        let effects = Vec::new();
        let mut rig = Rig {
            state,
            effects,
            history,
            unread: Some(Vec::new()),
            forgotten: 0,
            now,
            frozen,
            revision: 10,
            next: 0,
        };
        rig.configure(table(1));
        rig
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The datagrams since the last look; all else is dropped.
    pub fn beats(&mut self) -> Vec<(SocketAddr, LoadGossip)> {
        let effects = std::mem::take(&mut self.effects);
        let beats = effects.into_iter().filter_map(|effect| match effect {
            Effect::SendGossip { to, gossip } => Some((to, *gossip)),
            _ => None,
        });
        let each = beats.flat_map(|(to, beat)| to.into_iter().map(move |to| (to, beat.clone())));
        each.collect()
    }

    /// Feeds an event.
    pub fn feed(&mut self, event: Event) {
        let wall = SystemTime::UNIX_EPOCH + self.now + self.frozen;
        let now = Now { mono: self.now, wall };
        reduce(&mut self.state, now, event, &mut self.effects);
        self.confirm_list(now);
        self.read_history(now);
    }

    /// The store answers reads of the list's history at once.
    fn read_history(&mut self, now: Now) {
        let Some(answer) = self.history.clone() else { return };
        let after = |effect: &Effect| match effect {
            Effect::ReadHistory { after } => Some(*after),
            _ => None,
        };
        while let Some(at) = self.effects.iter().position(|effect| after(effect).is_some()) {
            let is_gone = after(&self.effects.remove(at)) < Some(self.forgotten);
            let answer = if is_gone { HistoryAnswer::Gone } else { answer.clone() };
            let event = Event::HistoryRead { era: None, answer };
            reduce(&mut self.state, now, event, &mut self.effects);
        }
    }

    /// The store answers reads of the list's new changes at once.
    fn confirm_list(&mut self, now: Now) {
        let read = |effect: &Effect| match effect {
            Effect::ConfirmList { after, asked_at } => Some((*after, *asked_at)),
            _ => None,
        };
        while let Some(changes) = self.unread.clone()
            && let Some(at) = self.effects.iter().position(|effect| read(effect).is_some())
        {
            let (after, asked_at) = read(&self.effects.remove(at)).expect("a read");
            let revision = self.revision.max(after);
            let unread = Some(UnreadChanges { revision, changes });
            let event = Event::ListConfirmed { asked_at, era: None, unread };
            reduce(&mut self.state, now, event, &mut self.effects);
        }
    }

    /// Lets time pass, with ticks when they are due.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.state.wake_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.feed(Event::Tick);
        }
        self.now = end;
        self.feed(Event::Tick);
    }

    /// The process stands still: the time of day goes on, the steady clock does not.
    pub fn freeze(&mut self, time: Duration) {
        self.frozen += time;
    }

    /// The store's revision goes on.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Lets milliseconds pass.
    pub fn pass_ms(&mut self, ms: u64) {
        self.pass(Duration::from_millis(ms));
    }

    /// A configuration is read.
    pub fn configure(&mut self, mut table: RouteTable) {
        table.revisions = ItemRevisions { created: self.revision, changed: self.revision };
        let read = Revisions::at(self.revision);
        self.feed(Event::RoutesRead { revisions: read, table: Some(Arc::new(table)) });
    }

    /// Reads the whole list; each record was written at a revision of its own.
    pub fn read(&mut self, list: Vec<EndpointInfo>) {
        let list = written(list, self.revision);
        self.revision += list.len() as u64;
        self.feed(Event::EndpointsRead { revisions: Revisions::at(self.revision), list });
    }

    /// Lists endpoints, as a change.
    pub fn list(&mut self, listed: Vec<EndpointInfo>) {
        self.change(listed, &[]);
    }

    /// Lists endpoints and takes others off.
    pub fn change(&mut self, listed: Vec<EndpointInfo>, gone: &[&str]) {
        self.revision += 1;
        let gone = gone.iter().map(|name| (*name).to_owned()).collect();
        let read = Revisions::at(self.revision);
        self.feed(Event::EndpointsChanged { revisions: read, updated: listed, removed: gone });
    }

    /// A call comes in; returns its number.
    pub fn call(&mut self, path: &str, patience_ms: u64, prompt: Option<Prompt>) -> RequestId {
        self.arrive(path, patience_ms, prompt, Digest(self.next), Credential::None)
    }

    /// A call whose caller shows a key, or none.
    pub fn call_with(&mut self, path: &str, credential: Credential) -> RequestId {
        self.arrive(path, 2000, None, Digest(self.next), credential)
    }

    /// A completion whose caller shows a key.
    pub fn call_keyed(&mut self, path: &str, credential: Credential, prompt: Prompt) -> RequestId {
        self.arrive(path, 14_000, Some(prompt), Digest(self.next), credential)
    }

    /// The same plain call comes again, under another number.
    pub fn call_again(&mut self, digest: Digest) -> RequestId {
        self.arrive("/stock/1", 2000, None, digest, Credential::None)
    }

    /// A caller comes back with a part of a stream that another attempt began.
    pub fn resume(&mut self, path: &str, trace_id: &str, began_as: &str) -> RequestId {
        let prompt = Some(prompt(1000));
        let call = self.new_call(path, 14_000, prompt, Digest(self.next), Credential::None);
        let resumption = Some(Resumption { began_as: began_as.to_owned() });
        self.arrive_as(Call { trace_id: trace_id.to_owned(), resumption, ..call })
    }

    /// A call whose attempt has this id.
    pub fn call_as(&mut self, path: &str, trace_id: &str) -> RequestId {
        let prompt = Some(prompt(1000));
        let call = self.new_call(path, 14_000, prompt, Digest(self.next), Credential::None);
        self.arrive_as(Call { trace_id: trace_id.to_owned(), ..call })
    }

    fn arrive(
        &mut self,
        path: &str,
        patience_ms: u64,
        prompt: Option<Prompt>,
        digest: Digest,
        credential: Credential,
    ) -> RequestId {
        let call = self.new_call(path, patience_ms, prompt, digest, credential);
        self.arrive_as(call)
    }

    fn arrive_as(&mut self, call: Call) -> RequestId {
        let id = call.id;
        self.feed(Event::Arrived(Box::new(call)));
        id
    }

    fn new_call(
        &mut self,
        path: &str,
        patience_ms: u64,
        prompt: Option<Prompt>,
        digest: Digest,
        credential: Credential,
    ) -> Call {
        let id = RequestId(self.next);
        self.next += 1;
        Call {
            id,
            trace_id: format!("trace-{}", id.0),
            digest,
            host: "shop.example".to_owned(),
            path: path.to_owned(),
            credential,
            caller_timeout: Some(Duration::from_millis(patience_ms)),
            prompt,
            resumption: None,
        }
    }

    /// An attempt of a request comes to something.
    pub fn came(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        self.feed(Event::AttemptOutcome { request, attempt, outcome });
    }

    /// The attempts that were started since the last look.
    pub fn starts(&mut self) -> Vec<Attempt> {
        let effects = std::mem::take(&mut self.effects);
        let (starts, rest) = effects.into_iter().partition(|e| matches!(e, Effect::Start { .. }));
        self.effects = rest;
        let starts: Vec<Effect> = starts;
        let attempt = |effect| match effect {
            Effect::Start { attempt, .. } => Some(attempt),
            _ => None,
        };
        starts.into_iter().filter_map(attempt).collect()
    }

    /// The only attempt that was started since the last look.
    pub fn start(&mut self) -> Attempt {
        let mut starts = self.starts();
        assert_eq!(starts.len(), 1, "{starts:?}");
        starts.remove(0)
    }

    /// The refusals since the last look.
    pub fn refusals(&mut self) -> Vec<Refusal> {
        let effects = std::mem::take(&mut self.effects);
        let refusal = |effect| match effect {
            Effect::Refuse { refusal, .. } => Some(refusal),
            _ => None,
        };
        effects.into_iter().filter_map(refusal).collect()
    }

    /// An answer was passed on since the last look.
    pub fn delivered(&self) -> bool {
        self.effects.iter().any(|e| matches!(e, Effect::Deliver { .. }))
    }
}

/// Each daemon draws random numbers of its own.
fn local_at(address: SocketAddr) -> Local {
    Local::default().with_name(&address.to_string()).with_address(address)
}

/// A route table with a route of each kind.
pub fn table(version: u64) -> RouteTable {
    table_with_memory(version, 10_000)
}

/// The same with decode endpoints of some tokens of memory.
pub fn table_with_memory(version: u64, memory: u32) -> RouteTable {
    let engine = EngineInfo {
        memory_tokens: memory,
        kv_ttl: Duration::from_millis(500),
        stage_change: Duration::from_secs(6),
        max_hold: Duration::from_secs(2),
    };
    let writer = Service { engine: Some(engine) };
    RouteTable::new(version)
        .with_service(DESK, Service::default())
        .with_service(WRITER, writer)
        .with_routes(vec![
            route("/stock/", RouteKind::NonIdempotent, DESK, 1),
            route("/sheet/", RouteKind::Idempotent, DESK, 2),
            route("/draft/", RouteKind::Streaming, WRITER, 2),
            route("/once/", RouteKind::Streaming, WRITER, 1),
        ])
}

/// A route; only `/draft/` streams are resumable.
pub fn route(prefix: &str, kind: RouteKind, service: &str, attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(14),
        target: Duration::from_millis(if service == WRITER { 900 } else { 150 }),
        split: vec![(service.to_owned(), 1)],
        max_attempts: attempts,
        resumable: prefix == "/draft/",
        public: false,
        priority: DEFAULT_PRIORITY,
    }
}

/// A plain endpoint in the daemon's data centre.
pub fn plain(instance: &str, port: u16) -> EndpointInfo {
    endpoint(instance, port, DESK, None)
}

/// A model endpoint in the daemon's data centre.
pub fn model(instance: &str, port: u16, stage: Stage) -> EndpointInfo {
    endpoint(instance, port, WRITER, Some(stage))
}

/// Records, each written at a revision of its own after this one.
pub fn written(list: Vec<EndpointInfo>, after: u64) -> Vec<EndpointInfo> {
    let write = |(revision, info): (u64, EndpointInfo)| EndpointInfo {
        revisions: ItemRevisions { created: revision, changed: revision },
        ..info
    };
    (after + 1..).zip(list).map(write).collect()
}

fn endpoint(instance: &str, port: u16, service: &str, stage: Option<Stage>) -> EndpointInfo {
    EndpointInfo {
        version: "v1".to_owned(),
        instance: instance.to_owned(),
        start_time: None,
        service: service.to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: "hall-a".to_owned(),
        slots: 6,
        draining: false,
        stage,
        revisions: ItemRevisions::default(),
        heartbeats: 1,
    }
}

/// The daemon at `10.0.0.N:7000`, which knows the others by their word alone.
pub fn numbered(n: u8) -> Rig {
    let address = |n| SocketAddr::from(([10, 0, 0, n], 7000));
    Rig::as_daemon(address(n), vec![address(1), address(2)])
}

/// A prompt of some tokens, with sixty more to generate.
pub fn prompt(tokens: u32) -> Prompt {
    Prompt { tokens, max_output: 100, output_hint: Some(60), session: None, parts: Vec::new() }
}

/// The endpoint is full, or lacks the KV cache.
pub const BUSY: Outcome = Outcome::NotRun(NotRun::Busy);

/// A held slot.
pub fn held() -> Outcome {
    Outcome::Held { hold: "hold-1".to_owned() }
}

/// A prompt that was read.
pub fn prefilled() -> Outcome {
    Outcome::Prefilled { handle: "kv-1".to_owned(), tokens: 1000 }
}
