//! The platform: a catalogue that can be read and watched, and a lagging VM list.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use basilbank_core::prelude::*;
use basilbank_wire::{Document, VmRecord};

use super::{Due, Listing, Node, Spec, World, daemon::Process};

/// How long a watch waits for a change.
const WATCH: Duration = Duration::from_secs(10);
/// How long a daemon's shell waits for a platform that does not answer.
const SILENCE: Duration = Duration::from_secs(2);
/// Changes that the platform remembers for watches.
const REMEMBERED: u64 = 500;
/// Documents of the catalogue; each change touches one.
const DOCUMENTS: u64 = 4;

/// How the platform behaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlatformMode {
    /// As it should.
    Well,
    /// It refuses all calls.
    Down,
    /// It does not answer.
    Silent,
    /// It answers with what it held when it became stale.
    Stale,
}

/// A watch that waits.
struct Watch {
    id: u64,
    process: Process,
    after: u64,
}

/// The platform.
pub struct Platform {
    /// How it behaves.
    pub mode: PlatformMode,
    /// The revision of the latest change, accepted or not.
    pub revision: u64,
    /// What each revision compiles to; `None` when it does not pass the check.
    pub catalogues: BTreeMap<u64, Option<Arc<Catalogue>>>,
    /// The VM list with the moment from which readers see it.
    pub lists: Vec<(Duration, Vec<VmRecord>)>,
    /// Calls in each second.
    pub calls: Vec<u32>,
    /// Calls that were refused for the budget.
    pub refused: u64,
    stale_at: u64,
    stale_list: usize,
    budget: u32,
    watches: Vec<Watch>,
    next_watch: u64,
}

impl Platform {
    /// The platform with the first catalogue and all VMs on its list.
    #[must_use]
    pub fn new(spec: &Spec) -> Platform {
        let vms = (0..spec.daemons).map(|i| VmRecord {
            name: Spec::vm_name(i),
            address: format!("192.0.2.{}:7000", i % 250),
            data_centre: spec.centres[i % spec.centres.len()].into(),
            leaving: false,
        });
        Platform {
            mode: PlatformMode::Well,
            revision: 1,
            catalogues: BTreeMap::from([(1, Some(Arc::new(spec.catalogue())))]),
            lists: vec![(Duration::ZERO, vms.collect())],
            calls: Vec::new(),
            refused: 0,
            stale_at: 0,
            stale_list: 0,
            budget: spec.platform_budget,
            watches: Vec::new(),
            next_watch: 0,
        }
    }

    /// Calls a second, the most of any second.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.calls.iter().copied().max().unwrap_or(0)
    }

    /// All documents as of a revision.
    #[must_use]
    pub fn documents(&self, revision: u64) -> Vec<Document> {
        (0..DOCUMENTS.min(revision)).map(|i| document(newest(revision, i))).collect()
    }

    fn shown(&self) -> u64 {
        if self.mode == PlatformMode::Stale { self.stale_at } else { self.revision }
    }

    fn list_at(&self, now: Duration) -> usize {
        self.lists.iter().rposition(|(from, _)| *from <= now).unwrap_or(0)
    }

    /// Counts a call; `false` when the budget of this second is used up.
    fn count(&mut self, now: Duration) -> bool {
        let second = now.as_secs() as usize;
        if self.calls.len() <= second {
            self.calls.resize(second + 1, 0);
        }
        self.calls[second] += 1;
        let within = self.calls[second] <= self.budget;
        self.refused += u64::from(!within);
        within
    }

    /// What changed after a revision; the whole when that is too long ago to be remembered.
    fn changes(&self, after: u64) -> PlatformEvent {
        let revision = self.shown();
        if after == 0 || after + REMEMBERED < revision {
            let documents = self.documents(revision);
            return PlatformEvent::Documents { base_revision: 0, revision, documents };
        }
        let all = self.documents(revision);
        let documents = all.into_iter().filter(|d| after < d.revision).collect();
        PlatformEvent::Documents { base_revision: after, revision, documents }
    }
}

/// The latest revision up to `revision` that touched a document.
fn newest(revision: u64, document: u64) -> u64 {
    (revision - 1 - document) / DOCUMENTS * DOCUMENTS + document + 1
}

fn document(revision: u64) -> Document {
    let number = (revision - 1) % DOCUMENTS;
    let key = format!("catalogue/part-{number}");
    Document { key, text: Some(format!("{{ \"r\": {revision} }}")), revision }
}

impl World {
    /// Operators publish: `None` for a catalogue that does not pass the check.
    pub(super) fn publish(&mut self, catalogue: Option<Catalogue>) {
        self.platform.revision += 1;
        let revision = self.platform.revision;
        let accepted = catalogue.is_some();
        let compiled = catalogue.map(|c| Arc::new(Catalogue { revision, ..c }));
        self.platform.catalogues.insert(revision, compiled);
        self.record.published(revision, self.now, accepted);
        if self.platform.mode == PlatformMode::Well {
            self.answer_watches();
        }
    }

    /// The platform goes over to a mode.
    pub fn set_platform(&mut self, mode: PlatformMode) {
        let platform = &mut self.platform;
        if mode == PlatformMode::Stale && platform.mode != PlatformMode::Stale {
            platform.stale_at = platform.revision;
            platform.stale_list = platform.list_at(self.now);
        }
        platform.mode = mode;
        match mode {
            PlatformMode::Well => self.answer_watches(),
            PlatformMode::Down => {
                for watch in std::mem::take(&mut self.platform.watches) {
                    let event = PlatformEvent::CatalogueFailed;
                    self.platform_says(watch.process, event, Duration::ZERO);
                }
            }
            PlatformMode::Silent | PlatformMode::Stale => {}
        }
    }

    /// Tells those who wait what has changed.
    fn answer_watches(&mut self) {
        let revision = self.platform.revision;
        let all = std::mem::take(&mut self.platform.watches);
        for watch in all {
            if revision <= watch.after {
                self.platform.watches.push(watch);
                continue;
            }
            let event = self.platform.changes(watch.after);
            self.platform_says(watch.process, event, Duration::ZERO);
        }
    }

    /// Changes what the list says of a VM.
    pub(super) fn list(&mut self, daemon: usize, listing: Listing) {
        let name = Spec::vm_name(daemon);
        let (_, last) = &self.platform.lists[self.platform.lists.len() - 1];
        let mut vms = last.clone();
        match listing {
            Listing::Absent => vms.retain(|v| v.name != name),
            Listing::Present | Listing::Leaving => {
                let leaving = listing == Listing::Leaving;
                vms.iter_mut().filter(|v| v.name == name).for_each(|v| v.leaving = leaving);
                if !vms.iter().any(|v| v.name == name) {
                    let record = self.platform.lists[0].1.iter().find(|v| v.name == name);
                    vms.extend(record.cloned());
                }
            }
        }
        if vms != *last {
            self.platform.lists.push((self.now + self.spec.vm_lag, vms));
        }
    }

    /// A daemon watches the catalogue, or reads the whole.
    pub(super) fn watch(&mut self, process: Process, after: u64) {
        if !self.platform_answers(process, PlatformEvent::CatalogueFailed) {
            return;
        }
        if after < self.platform.shown() {
            let event = self.platform.changes(after);
            self.platform_says(process, event, self.spec.platform_latency);
            return;
        }
        self.platform.next_watch += 1;
        let id = self.platform.next_watch;
        self.platform.watches.push(Watch { id, process, after });
        self.after(WATCH, Due::WatchOver(id));
    }

    pub(super) fn watch_over(&mut self, id: u64) {
        let watches = &mut self.platform.watches;
        let Some(at) = watches.iter().position(|w| w.id == id) else { return };
        let watch = watches.swap_remove(at);
        let event = match self.platform.mode {
            PlatformMode::Well | PlatformMode::Stale => self.platform.changes(watch.after.max(1)),
            PlatformMode::Down | PlatformMode::Silent => PlatformEvent::CatalogueFailed,
        };
        self.platform_says(watch.process, event, Duration::ZERO);
    }

    /// A daemon reads the VM list.
    pub(super) fn read_vms(&mut self, process: Process) {
        if !self.platform_answers(process, PlatformEvent::VmsFailed) {
            return;
        }
        let stale = self.platform.mode == PlatformMode::Stale;
        let at = if stale { self.platform.stale_list } else { self.platform.list_at(self.now) };
        let vms = self.platform.lists[at].1.clone();
        let event = PlatformEvent::Vms { revision: at as u64 + 1, vms };
        self.platform_says(process, event, self.spec.platform_latency);
    }

    /// Whether a call gets through; if not, its failure is on its way.
    fn platform_answers(&mut self, process: Process, failure: PlatformEvent) -> bool {
        let reached = self.connected(Node::Daemon(process.daemon), Node::Platform);
        if !reached || self.platform.mode == PlatformMode::Silent {
            self.after(SILENCE, Due::Event(process, Event::Platform(failure)));
            return false;
        }
        if self.platform.mode == PlatformMode::Down || !self.platform.count(self.now) {
            self.platform_says(process, failure, self.spec.platform_latency);
            return false;
        }
        true
    }

    fn platform_says(&mut self, process: Process, event: PlatformEvent, extra: Duration) {
        if !self.connected(Node::Daemon(process.daemon), Node::Platform) {
            let failure = match event {
                PlatformEvent::Vms { .. } => PlatformEvent::VmsFailed,
                _ => PlatformEvent::CatalogueFailed,
            };
            self.after(SILENCE, Due::Event(process, Event::Platform(failure)));
            return;
        }
        let delay = self.spec.platform_latency + extra;
        self.after(delay, Due::Event(process, Event::Platform(event)));
    }

    /// A daemon has a revision's texts checked.
    pub(super) fn check_catalogue(
        &mut self,
        process: Process,
        revision: u64,
        mut documents: Vec<Document>,
    ) {
        documents.sort_by(|a, b| a.key.cmp(&b.key));
        if documents != self.platform.documents(revision) {
            self.record.mixed.push((process.daemon, revision));
        }
        let result = match self.platform.catalogues.get(&revision) {
            Some(Some(catalogue)) => Ok(Arc::clone(catalogue)),
            _ => Err(1),
        };
        let event = PlatformEvent::Checked { revision, result };
        self.after(Duration::from_millis(1), Due::Event(process, Event::Platform(event)));
    }
}
