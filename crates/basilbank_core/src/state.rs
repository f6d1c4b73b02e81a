//! All that a daemon's decisions know.

mod attempt;
mod claims;
mod documents;
mod health;
mod ledger;
mod limits;
mod members;
mod orders;
mod overrun;
mod prefix_index;
mod reaper;
mod requests;
pub mod rng;
mod slots;
mod timers;
mod view;
mod wait_queue;

use std::time::Duration;

pub use self::{
    attempt::{Attempt, AttemptStage, KvCache},
    claims::{
        ClaimKey, ClaimPhase, ClaimStatus, Claims, KeyEntry, KeyTable, OwnClaim, VoteWait, Voter,
        VoterHistory, VoterSince, uuid_v7_unix_ms,
    },
    documents::{
        AcceptedDocuments, AdvertisedRevision, AdvertisedRevisions, ApplyResult, CatalogueCheck,
        DocumentStore, Documents, Freshness, FullTransfers, PendingFetch, PlatformReader,
    },
    health::{EndpointHealth, Exclusion, Health, Overruns},
    ledger::{Ledger, Rebuild, ReportedLoad, SlotLease},
    limits::{
        Bucket, Holder, LeaseTerms, LimitDemand, LimitShare, LimitTable, RateMeter, SharedLimit,
        Shortage, Usage,
    },
    members::{Member, MemberCount, Members, OwnStatus, rank},
    orders::{ModelChange, Orders, Rollout, RolloutStage, ServingStatus, ServingTarget},
    overrun::Overrun,
    prefix_index::PrefixIndex,
    reaper::{CancelWatch, CancelledAttempt, Reaper},
    requests::{Request, RequestStage, Requests},
    rng::Rng,
    slots::{OwnSlot, SlotKey, Slots},
    timers::{Timer, Timers},
    view::View,
    wait_queue::{EntryQueue, Group, WaitQueue, Waiter},
};
use crate::{
    ids::{DataCentreId, EndpointId, VmId},
    time::Now,
    tuning::Tuning,
};

/// What a daemon knows of itself, from its settings and its start.
#[derive(Clone, PartialEq, Debug)]
pub struct Local {
    /// Its VM's name on the platform's list.
    pub name: String,
    /// Hash of the name.
    pub vm: VmId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Its process's start, milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Constants.
    pub tuning: Tuning,
}

impl Default for Local {
    fn default() -> Local {
        Local {
            name: String::new(),
            vm: VmId::of(""),
            data_centre: DataCentreId::of(""),
            incarnation: 1,
            seed: 1,
            tuning: Tuning::default(),
        }
    }
}

impl Local {
    /// Sets the VM's name.
    #[must_use]
    pub fn with_name(mut self, name: &str) -> Local {
        self.vm = VmId::of(name);
        self.name = name.to_owned();
        self
    }

    /// Sets the data centre by name.
    #[must_use]
    pub fn with_data_centre(mut self, name: &str) -> Local {
        self.data_centre = DataCentreId::of(name);
        self
    }

    /// Sets the incarnation, and a seed that depends on it.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: u64) -> Local {
        self.incarnation = incarnation;
        self.seed = incarnation ^ self.vm.0;
        self
    }

    /// Sets the constants.
    #[must_use]
    pub fn with_tuning(mut self, tuning: Tuning) -> Local {
        self.tuning = tuning;
        self
    }
}

/// The state of one daemon.
#[derive(Debug)]
pub struct State {
    /// What the daemon is.
    pub local: Local,
    /// The catalogue in force, indexed.
    pub view: View,
    /// Peers.
    pub members: Members,
    /// The catalogue's documents and the VM list, and how far they have spread.
    pub documents: Documents,
    /// Requests in progress.
    pub requests: Requests,
    /// What is known of endpoints: load, prefix caches, failures.
    pub health: Health,
    /// Slots held at endpoints, and those that this daemon decides on as steward.
    pub slots: Slots,
    /// Entries' limits: leases had, and those given as steward.
    pub limits: LimitTable,
    /// Idempotency keys: claims made, and votes given.
    pub claims: Claims,
    /// Orders to endpoints.
    pub orders: Orders,
    /// Streams and KV caches that nobody owns any more.
    pub reaper: Reaper,
    /// What is due when.
    pub timers: Timers,
    /// Seeded random numbers.
    pub rng: Rng,
    /// SIGTERM came: no new work.
    pub leaving: bool,
    /// The earliest moment to exit after that.
    pub exit_at: Duration,
    /// When the daemon started, on the monotonic clock.
    pub started_at: Duration,
}

impl State {
    /// A daemon that has just started and knows nothing yet.
    #[must_use]
    pub fn new(local: Local, now: Now) -> State {
        let mut timers = Timers::default();
        for timer in [Timer::Platform, Timer::Slots, Timer::Loads, Timer::Orders] {
            timers.set(now.mono, timer);
        }
        let mut rng = Rng::new(local.seed);
        let phase = local.tuning.heartbeat.mul_f64(rng.unit());
        timers.set(now.mono + phase, Timer::Heartbeat);
        timers.set(now.mono + phase, Timer::Limits);
        let phase = local.tuning.reap_interval.mul_f64(rng.unit());
        timers.set(now.mono + phase, Timer::Reap);
        State {
            view: View::default(),
            members: Members::new(&local, now.mono),
            documents: Documents::default(),
            requests: Requests::default(),
            health: Health::default(),
            slots: Slots::default(),
            limits: LimitTable::default(),
            claims: Claims::default(),
            orders: Orders::default(),
            reaper: Reaper::default(),
            timers,
            rng,
            leaving: false,
            exit_at: Duration::ZERO,
            started_at: now.mono,
            local,
        }
    }

    /// When the next `Event::Tick` is due, on the monotonic clock.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Whether an endpoint is known to be leaving, by the catalogue or by its own word.
    #[must_use]
    pub fn is_leaving(&self, endpoint: EndpointId) -> bool {
        let is_marked = self.view.endpoint(endpoint).is_none_or(|e| e.leaving);
        is_marked || self.health.endpoints.get(&endpoint).is_some_and(|known| known.leaving)
    }

    /// Whether callers may be sent here: there is a catalogue that peers have not left behind, and
    /// no shutdown.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.documents.freshness.is_fresh
    }
}
