//! Calls to endpoints: from a daemon's shell to the endpoint's door.

use std::time::Duration;

use basilbank_core::prelude::*;

use super::{
    Due, EngineFault, FakeKind, Moment, Node, Power, World,
    daemon::{Connection, Process},
    endpoint::{EngineDue, Origin, Reader},
    record::LateWork,
};

/// How long a shell waits for a connection, and for answers that name no attempt.
const CONNECT: Duration = Duration::from_millis(500);
/// How long an order's load takes on top of the weights.
const LOAD: Duration = Duration::from_millis(500);

/// What a call that names an attempt is, for the shell.
struct Attempted {
    attempt: AttemptKey,
    number: u32,
    timeout: Duration,
    failure: Failure,
}

fn attempted(call: &EngineCall) -> Option<Attempted> {
    let one = |attempt, number, timeout, failure| Attempted { attempt, number, timeout, failure };
    match call {
        EngineCall::Prefill(d) => {
            Some(one(d.attempt, d.attempt_number, d.timeout, Failure::Broken))
        }
        EngineCall::Decode { call: d, .. } => {
            Some(one(d.attempt, d.attempt_number, d.timeout, Failure::Stalled))
        }
        EngineCall::Resume { attempt, .. } => {
            Some(one(*attempt, 0, Duration::from_secs(30), Failure::Broken))
        }
        EngineCall::Plain { attempt, timeout, .. } => {
            Some(one(*attempt, 0, *timeout, Failure::Broken))
        }
        _ => None,
    }
}

/// The endpoint that a call goes to.
fn target(call: &EngineCall) -> EndpointId {
    match call {
        EngineCall::Prefill(draft) | EngineCall::Decode { call: draft, .. } => draft.endpoint,
        EngineCall::Resume { endpoint, .. }
        | EngineCall::Plain { endpoint, .. }
        | EngineCall::Cancel { endpoint, .. }
        | EngineCall::Reap { endpoint, .. }
        | EngineCall::ReadLoad { endpoint }
        | EngineCall::ListStreams { endpoint }
        | EngineCall::Order { endpoint, .. } => *endpoint,
    }
}

impl World {
    /// A daemon's shell makes a call.
    pub(super) fn call(&mut self, process: Process, call: EngineCall) {
        let id = target(&call);
        let Some(endpoint) = self.ids.get(&id).copied() else {
            self.fail_call(process, id, &call, Duration::ZERO, Failure::Unreachable);
            return;
        };
        let number = self.open_connection(process, endpoint, &call);
        let (a, b) = (Node::Daemon(process.daemon), Node::Endpoint(endpoint));
        let latency = self.latency(a, b);
        let power = self.endpoints[endpoint].power;
        if !self.connected(a, b) || power == Power::Lost {
            self.fail_call(process, id, &call, CONNECT, Failure::Unreachable);
        } else if power == Power::Dead {
            self.fail_call(process, id, &call, latency * 2, Failure::Unreachable);
        } else {
            if let EngineCall::Plain { caller, .. } = call {
                let ask = self.callers.tries[super::Try::number(caller)].ask;
                self.callers.progress[ask].plain = Some(endpoint);
                self.reached(ask, Moment::Sent);
            }
            self.after(latency, Due::Call(Origin { process, number }, call));
        }
    }

    /// Registers an attempt's connection and its time limit; gives the attempt's number.
    fn open_connection(&mut self, process: Process, endpoint: usize, call: &EngineCall) -> u32 {
        if let EngineCall::Cancel { attempt, .. } = call {
            let daemon = &mut self.daemons[process.daemon];
            daemon.connections.remove(attempt);
            return daemon.numbers.remove(attempt).unwrap_or(0);
        }
        let Some(one) = attempted(call) else { return 0 };
        self.connections += 1;
        let (id, attempt) = (self.connections, one.attempt);
        let daemon = &mut self.daemons[process.daemon];
        daemon.numbers.insert(attempt, one.number);
        let connection = Connection {
            id,
            endpoint,
            progress: self.now,
            timeout: one.timeout,
            failure: one.failure,
        };
        daemon.connections.insert(attempt, connection);
        self.after(one.timeout, Due::Timeout { process, attempt, connection: id });
        one.number
    }

    /// A call could not be made.
    fn fail_call(
        &mut self,
        process: Process,
        endpoint: EndpointId,
        call: &EngineCall,
        delay: Duration,
        failure: Failure,
    ) {
        let event = match (attempted(call), call) {
            (Some(one), _) => EngineEvent::Failed { attempt: one.attempt, failure },
            (None, EngineCall::Cancel { .. } | EngineCall::Reap { .. }) => return,
            (None, _) => EngineEvent::Report { endpoint, report: EngineReport::NoResponse },
        };
        self.after(delay, Due::Event(process, Event::Engine(event)));
    }

    /// A call reaches its endpoint.
    pub(super) fn call_arrives(&mut self, origin: Origin, call: EngineCall) {
        let id = target(&call);
        let Some(endpoint) = self.ids.get(&id).copied() else { return };
        let (a, b) = (Node::Daemon(origin.process.daemon), Node::Endpoint(endpoint));
        if !self.connected(a, b) {
            self.stuck.push((a, b, Due::Call(origin, call)));
            return;
        }
        match self.endpoints[endpoint].power {
            Power::On => {}
            Power::Dead => {
                let latency = self.latency(a, b);
                self.fail_call(origin.process, id, &call, latency, Failure::Broken);
                return;
            }
            Power::Lost => {
                if attempted(&call).is_none() {
                    self.fail_call(origin.process, id, &call, CONNECT, Failure::Broken);
                }
                return;
            }
        }
        self.endpoints[endpoint].note_load(self.now);
        self.take_call(endpoint, origin, call);
    }

    fn take_call(&mut self, endpoint: usize, origin: Origin, call: EngineCall) {
        let process = origin.process;
        match call {
            EngineCall::Prefill(draft) => {
                let reader = Reader { process, attempt: draft.attempt };
                if self.is_welcome(endpoint, reader) {
                    self.prefill_call(endpoint, reader, &draft);
                }
            }
            EngineCall::Decode { call, source, handle } => {
                let reader = Reader { process, attempt: call.attempt };
                if self.is_welcome(endpoint, reader) {
                    self.decode_call(endpoint, reader, &call, source, &handle);
                }
            }
            EngineCall::Resume { attempt, caller, stream, offset, .. } => {
                self.resume_call(endpoint, Reader { process, attempt }, caller, &stream, offset);
            }
            EngineCall::Plain { attempt, caller, request, .. } => {
                let reader = Reader { process, attempt };
                if self.is_welcome(endpoint, reader) {
                    self.plain_call(endpoint, reader, caller, request);
                }
            }
            EngineCall::Cancel { request, resource: held, .. } => {
                self.cancel_call(endpoint, origin, request, held.as_deref());
            }
            EngineCall::Reap { stream, vm, incarnation, .. } => {
                self.reap_call(endpoint, &stream, vm, incarnation);
            }
            EngineCall::ReadLoad { .. } => self.load_call(endpoint, process),
            EngineCall::ListStreams { .. } => {
                let streams = self.held_streams(endpoint);
                self.tell(endpoint, process, EngineReport::Streams(streams));
            }
            EngineCall::Order { fence, version, adapter, .. } => {
                self.order_call(endpoint, process, fence, version, adapter);
            }
        }
    }

    /// Whether an endpoint takes new work; if not, its refusal is on its way.
    fn is_welcome(&mut self, endpoint: usize, reader: Reader) -> bool {
        let one = &self.endpoints[endpoint];
        let sender = &self.daemons[reader.process.daemon];
        // What only the platform knows does not reach a daemon that is cut off; what only the
        // endpoint knows is not told by one that stalls.
        let is_known = if one.leaving { !one.has(EngineFault::Stall) } else { sender.side == 0 };
        if let Some(marked) = one.marked.filter(|_| is_known) {
            let calm = sender.calm.max(self.record.calm);
            self.record.late.push(LateWork { endpoint, marked, at: self.now, calm });
        }
        let failure = if one.leaving { Failure::Leaving } else { Failure::Refused };
        if one.leaving || one.version.is_empty() {
            self.reply(endpoint, reader, EngineEvent::Failed { attempt: reader.attempt, failure });
            return false;
        }
        true
    }

    /// Refuses new work because the endpoint is full.
    pub(super) fn refuse_full(&mut self, endpoint: usize, reader: Reader) {
        self.endpoints[endpoint].refused += 1;
        let failure = Failure::Full;
        self.reply(endpoint, reader, EngineEvent::Failed { attempt: reader.attempt, failure });
    }

    /// Sends a report to a process.
    fn tell(&mut self, endpoint: usize, process: Process, report: EngineReport) {
        let (a, b) = (Node::Endpoint(endpoint), Node::Daemon(process.daemon));
        let event = EngineEvent::Report { endpoint: self.endpoints[endpoint].id, report };
        let delay = self.latency(a, b);
        self.pass(a, b, delay, Due::Event(process, Event::Engine(event)));
    }

    fn load_call(&mut self, endpoint: usize, process: Process) {
        let report = self.endpoints[endpoint].report(self.now);
        self.tell(endpoint, process, report);
        let visible = self.now.saturating_sub(self.spec.cache_lag);
        let FakeKind::Prefill(prefill) = &self.endpoints[endpoint].kind else { return };
        let cursor = self.daemons[process.daemon].cursors.entry(endpoint).or_default();
        if let Some(report) = prefill.cache.events(cursor, visible) {
            self.tell(endpoint, process, report);
        }
    }

    fn held_streams(&self, endpoint: usize) -> Vec<StreamInfo> {
        let now = self.now;
        let identity = |p: Process| {
            let daemon = &self.daemons[p.daemon];
            (daemon.vm, daemon.incarnations[p.life as usize - 1])
        };
        let mut list = match &self.endpoints[endpoint].kind {
            FakeKind::Prefill(prefill) => prefill.list(now, identity),
            FakeKind::Decode(decode) => decode.list(now, identity),
            FakeKind::Plain(_) => Vec::new(),
        };
        // What is written to a reader behind a partition is not taken.
        for info in &mut list {
            let reader = self.vms.get(&info.vm).copied();
            let cut = |d| !self.connected(Node::Daemon(d), Node::Endpoint(endpoint));
            if reader.is_some_and(cut) {
                info.idle = info.idle.max(now - self.cut_at);
            }
        }
        list
    }

    fn cancel_call(&mut self, endpoint: usize, origin: Origin, id: RequestId, held: Option<&str>) {
        match &self.endpoints[endpoint].kind {
            FakeKind::Prefill(_) => self.prefill_cancel(endpoint, origin, id),
            FakeKind::Decode(_) => self.decode_cancel(endpoint, origin, id, held),
            FakeKind::Plain(_) => {
                self.endpoints[endpoint].plain().queue.retain(|job| job.request != id);
            }
        }
    }

    fn reap_call(&mut self, endpoint: usize, stream: &str, vm: VmId, incarnation: u64) {
        let held = self.held_streams(endpoint);
        let is_it = |s: &&StreamInfo| s.stream == stream;
        let Some(info) = held.iter().find(is_it) else { return };
        if info.vm == vm && info.incarnation == incarnation {
            self.drop_held(endpoint, stream);
        }
    }

    fn order_call(
        &mut self,
        endpoint: usize,
        process: Process,
        fence: u64,
        version: String,
        adapter: String,
    ) {
        let one = &mut self.endpoints[endpoint];
        let fencing = one.fencing && !one.has(EngineFault::IgnoreFencing);
        if fencing && fence < one.fence {
            let report = EngineReport::OrderFenced { fence: one.fence };
            self.tell(endpoint, process, report);
            return;
        }
        one.fence = if one.fencing { one.fence.max(fence) } else { 0 };
        one.orders.push((self.now, fence));
        let changes = one.version != version || one.adapter != adapter;
        self.tell(endpoint, process, EngineReport::OrderAccepted { fence });
        if !changes {
            return;
        }
        self.empty(endpoint);
        let one = &mut self.endpoints[endpoint];
        one.version = String::new();
        one.loading = (version, adapter);
        let life = one.life;
        self.after(LOAD, Due::Engine(endpoint, life, EngineDue::Loaded));
    }

    pub(super) fn engine_due(&mut self, endpoint: usize, life: u32, due: EngineDue) {
        let one = &mut self.endpoints[endpoint];
        if one.life != life || one.power != Power::On {
            return;
        }
        one.note_load(self.now);
        match due {
            EngineDue::Prefilled(id) => self.prefill_done(endpoint, id),
            EngineDue::Evict(kv) => self.evict(endpoint, kv),
            EngineDue::Transfer(stream) => self.transfer(endpoint, stream),
            EngineDue::Imported(stream) => self.imported(endpoint, stream),
            EngineDue::Step => self.decode_step(endpoint),
            EngineDue::Forget(stream) => {
                one.decode().finished.remove(&stream);
            }
            EngineDue::Called(job) => self.plain_done(endpoint, job),
            EngineDue::Loaded => {
                // An order that came during the load began another.
                let (version, adapter) = std::mem::take(&mut one.loading);
                if !version.is_empty() {
                    one.version = version;
                    one.adapter = adapter;
                }
            }
        }
    }
}
