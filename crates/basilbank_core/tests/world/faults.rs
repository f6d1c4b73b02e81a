//! Steps of a script are carried out.

use std::time::Duration;

use super::{
    Due, Fake, FakeKind, Job, Listing, Node, Place, PlatformMode, Power, Step, Who, World,
    daemon::Process, decode::Stream, step::Restore,
};

/// The number of the side that nodes are cut off to.
const OTHER_SIDE: u8 = 1;
/// What the platform shows for this long is read by the daemons that watch it.
pub const READABLE: Duration = Duration::from_secs(1);

impl World {
    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Kill { daemon, back } => {
                let number = self.who(daemon);
                self.kill(number);
                if let Some(back) = back {
                    self.after(back, Due::Step(Step::Start(number)));
                }
            }
            Step::Replace { daemon, back } => {
                let number = self.who(daemon);
                self.kill(number);
                self.list(number, Listing::Absent);
                self.after(back, Due::Step(Step::Start(number)));
            }
            Step::Start(number) if self.daemons[number].brain.is_some() => {
                self.after(Duration::from_secs(1), Due::Step(Step::Start(number)));
            }
            Step::Start(number) => {
                self.list(number, Listing::Present);
                self.start(number);
            }
            Step::Freeze { daemon, lasting } => {
                let number = self.who(daemon);
                self.freeze(number);
                let life = self.daemons[number].life;
                self.later(lasting, Restore::Thaw(number, life));
            }
            Step::Shutdown(daemon) => {
                let number = self.who(daemon);
                self.daemons[number].leaving = true;
                self.note_reach(number);
                let process = self.daemons[number].process(number);
                self.deliver(process, basilbank_core::Event::Shutdown);
            }
            Step::Down { endpoint, power, back } => {
                let Some(number) = self.place(endpoint) else { return };
                self.power_down(number, power);
                if let Some(back) = back {
                    let life = self.endpoints[number].life;
                    self.later(back, Restore::Up(number, life));
                }
            }
            Step::Fault { endpoint, fault, lasting } => {
                let Some(number) = self.place(endpoint) else { return };
                self.endpoints[number].faults.push(fault);
                self.later(lasting, Restore::Fault(number, fault));
            }
            Step::Leave(endpoint) => {
                let Some(number) = self.place(endpoint) else { return };
                let one = &mut self.endpoints[number];
                one.leaving = true;
                // A plain service has no report to say it in; only the catalogue marks it.
                if !matches!(one.kind, FakeKind::Plain(_)) {
                    one.marked.get_or_insert(self.now);
                }
            }
            Step::Platform { mode, lasting } => {
                self.set_platform(mode);
                self.unmark();
                self.record.platform(self.now, mode == PlatformMode::Well);
                self.later(lasting, Restore::Platform);
            }
            Step::Publish(catalogue) => {
                self.publish(Some(*catalogue));
                self.mark_leaving();
            }
            Step::PublishBad => {
                self.publish(None);
                self.unmark();
            }
            Step::List(daemon, listing) => self.list(daemon, listing),
            Step::Partition { nodes, lasting } => self.partition(nodes, lasting),
            Step::Isolate { daemon, endpoints, lasting } => {
                let mut nodes = vec![Node::Daemon(self.who(daemon))];
                nodes.extend(endpoints.into_iter().map(Node::Endpoint));
                self.partition(nodes, lasting);
            }
            Step::Net(net) => self.net = net,
            Step::Cancel(ask) => {
                if let Some(latest) = self.callers.progress[ask].latest {
                    self.leave(latest);
                }
            }
            Step::Later(delay, step) => self.after(delay, Due::Step(*step)),
            Step::Restore(restore) => self.restore(restore),
        }
    }

    fn later(&mut self, delay: Duration, restore: Restore) {
        self.after(delay, Due::Step(Step::Restore(restore)));
    }

    fn restore(&mut self, restore: Restore) {
        self.record.calm = self.now;
        match restore {
            Restore::Thaw(daemon, life) => self.thaw(Process { daemon, life }),
            Restore::Up(number, life) => {
                let one = &mut self.endpoints[number];
                if one.life == life {
                    one.power = Power::On;
                    one.life += 1;
                }
            }
            Restore::Fault(number, fault) => {
                let faults = &mut self.endpoints[number].faults;
                if let Some(at) = faults.iter().position(|f| *f == fault) {
                    faults.swap_remove(at);
                }
                self.release();
            }
            Restore::Platform => {
                self.set_platform(PlatformMode::Well);
                self.record.platform(self.now, true);
                self.mark_leaving();
            }
            Restore::Join(nodes) => {
                for node in nodes {
                    self.put(node, 0);
                }
                self.release();
            }
        }
    }

    /// Which daemon is meant.
    fn who(&self, who: Who) -> usize {
        match who {
            Who::Daemon(number) => number,
            Who::Home(ask) => self.home(ask),
            Who::Steward(ask) => {
                let home = self.home(ask);
                let Some(endpoint) = self.place(Place::Current(ask)) else { return home };
                let subject = self.endpoints[endpoint].id.0;
                let state = self.daemons[home].brain.as_ref().and_then(|b| b.state());
                let steward = state.and_then(|s| s.members.owner(subject));
                let number = steward.and_then(|vm| self.vms.get(&vm).copied());
                number.unwrap_or(home)
            }
        }
    }

    fn home(&self, ask: usize) -> usize {
        let latest = self.callers.progress[ask].latest;
        latest.map_or(0, |l| self.callers.tries[l].process.daemon)
    }

    /// Whether a request's answer could come from an endpoint.
    fn may_use(&self, ask: usize, endpoint: &Fake) -> bool {
        match self.callers.asks[ask].job {
            Job::Draft { .. } => matches!(endpoint.kind, FakeKind::Decode(_)),
            Job::Plain { .. } => matches!(endpoint.kind, FakeKind::Plain(_)),
        }
    }

    /// Which endpoint is meant.
    fn place(&self, place: Place) -> Option<usize> {
        let of = |ask: usize| self.callers.progress[ask];
        match place {
            Place::Endpoint(number) => Some(number),
            Place::Prefill(ask) => of(ask).prefill,
            Place::Decode(ask) => of(ask).decode,
            Place::Plain(ask) => of(ask).plain,
            Place::Current(ask) => {
                let known = of(ask).decode.or(of(ask).prefill).or(of(ask).plain);
                known.or_else(|| self.endpoints.iter().position(|e| self.may_use(ask, e)))
            }
        }
    }

    fn partition(&mut self, nodes: Vec<Node>, lasting: Duration) {
        for node in &nodes {
            self.put(*node, OTHER_SIDE);
        }
        self.cut_at = self.now;
        self.later(lasting, Restore::Join(nodes));
    }

    fn put(&mut self, node: Node, side: u8) {
        match node {
            Node::Daemon(number) => {
                self.daemons[number].side = side;
                if side == 0 {
                    self.daemons[number].calm = self.now;
                }
                self.note_reach(number);
            }
            Node::Endpoint(number) => self.endpoints[number].side = side,
            Node::Platform => {}
        }
    }

    /// A platform that fails, or a rejected catalogue, takes back what hardly anybody can have read.
    fn unmark(&mut self) {
        let now = self.now;
        for one in self.endpoints.iter_mut().filter(|e| !e.leaving) {
            one.marked = one.marked.filter(|at| *at + READABLE < now);
        }
    }

    /// Endpoints that the catalogue in force marks as leaving.
    fn mark_leaving(&mut self) {
        if self.platform.mode != PlatformMode::Well {
            return;
        }
        let accepted = self.platform.catalogues.values().rev().find_map(Clone::clone);
        let Some(catalogue) = accepted else { return };
        for one in &mut self.endpoints {
            let leaving = catalogue.endpoints.iter().any(|e| e.id == one.id && e.leaving);
            if leaving {
                one.marked.get_or_insert(self.now);
            } else if !one.leaving || matches!(one.kind, FakeKind::Plain(_)) {
                one.marked = None;
            }
        }
    }

    /// An endpoint goes down with all that it holds.
    fn power_down(&mut self, number: usize, power: Power) {
        self.endpoints[number].note_load(self.now);
        self.endpoints[number].power = power;
        self.endpoints[number].life += 1;
        self.empty(number);
        let one = &mut self.endpoints[number];
        one.fence = 0;
        match &mut one.kind {
            FakeKind::Decode(decode) => decode.finished.clear(),
            FakeKind::Prefill(prefill) => prefill.cache.clear(),
            FakeKind::Plain(_) => {}
        }
    }

    /// An endpoint drops all work. Those who wait see their connections break, unless its machine
    /// is gone.
    pub(super) fn empty(&mut self, number: usize) {
        let mut readers = Vec::new();
        let mut holders = Vec::new();
        match &mut self.endpoints[number].kind {
            FakeKind::Prefill(prefill) => {
                let queued = std::mem::take(&mut prefill.queue).into_values();
                readers.extend(queued.chain(prefill.running.take()).map(|job| job.reader));
                prefill.kvs.clear();
            }
            FakeKind::Decode(decode) => {
                let streams = std::mem::take(&mut decode.streams).into_values();
                let each = streams.map(|s: Stream| (s.reader, s.holder));
                for (reader, holder) in each {
                    readers.extend(reader);
                    holders.push(holder);
                }
                decode.halt();
            }
            FakeKind::Plain(plain) => {
                let running = std::mem::take(&mut plain.running).into_values();
                readers.extend(running.chain(plain.queue.drain(..)).map(|job| job.reader));
            }
        }
        for holder in holders {
            self.released(holder);
        }
        if self.endpoints[number].power == Power::Lost {
            return;
        }
        for reader in readers {
            let failure = basilbank_core::prelude::Failure::Broken;
            let attempt = reader.attempt;
            let event = basilbank_core::prelude::EngineEvent::Failed { attempt, failure };
            self.reply(number, reader, event);
        }
    }

    /// A process is gone: endpoints see the connections of its streams break.
    pub(super) fn readers_gone(&mut self, process: Process) {
        let now = self.now;
        for one in &mut self.endpoints {
            let FakeKind::Decode(decode) = &mut one.kind else { continue };
            let all = decode.streams.values_mut().chain(decode.finished.values_mut());
            for stream in all.filter(|s| s.reader.is_some_and(|r| r.process == process)) {
                stream.reader = None;
                stream.read = now;
            }
        }
    }

    /// Whether a fault that a script set is still on.
    #[must_use]
    pub fn is_faulty(&self) -> bool {
        self.daemons.iter().any(|d| d.frozen || d.side != 0)
            || self.endpoints.iter().any(|e| e.side != 0 || !e.faults.is_empty())
            || self.platform.mode != PlatformMode::Well
    }

    /// A request's hold on an endpoint's memory ends.
    pub(super) fn released(&mut self, holder: usize) {
        let Some((ended, end)) = self.callers.tries[holder].end else { return };
        let process = self.callers.tries[holder].process;
        let orphan = !self.runs(process);
        let since = ended.max(self.record.calm);
        if !self.is_faulty() {
            let past = super::HeldPast { holder, end, orphan, since, until: self.now };
            self.record.held.push(past);
        }
    }
}
