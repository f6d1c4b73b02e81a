//! The state on which a daemon's decisions are based.

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
    wait_queue::{EntryQueue, PriorityGroup, WaitQueue, Waiter},
};
use crate::{
    ids::{DataCentreId, EndpointId, VmId},
    time::Now,
    tuning::Tuning,
};

/// Identity and settings of this daemon, fixed when its process starts.
#[derive(Clone, PartialEq, Debug)]
pub struct Local {
    /// Name of its VM on the platform's list.
    pub name: String,
    /// Hash of `name`.
    pub vm: VmId,
    /// Data centre of its VM.
    pub data_centre: DataCentreId,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Constants of the decisions.
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

/// State of one daemon.
#[derive(Debug)]
pub struct State {
    /// Identity and settings of the daemon.
    pub local: Local,
    /// The catalogue in force, indexed.
    pub view: View,
    /// The other daemons of the system.
    pub members: Members,
    /// The catalogue's documents and the VM list, and the state of their distribution.
    pub documents: Documents,
    /// Requests in progress.
    pub requests: Requests,
    /// Health of endpoints, prefix caches and estimate errors.
    pub health: Health,
    /// Slots that this daemon holds at endpoints, and ledgers of the endpoints that it owns.
    pub slots: Slots,
    /// Limits of entries: leases that this daemon holds, and limits that it shares out as owner.
    pub limits: LimitTable,
    /// Idempotency keys: claims that this daemon made, and keys that it granted as a voter.
    pub claims: Claims,
    /// Orders to endpoints about what they serve.
    pub orders: Orders,
    /// Cancels whose effect is checked, so that no stream or KV cache is left behind.
    pub reaper: Reaper,
    /// Timers.
    pub timers: Timers,
    /// Seeded random number generator.
    pub rng: Rng,
    /// Whether SIGTERM was received; the daemon then accepts no new work.
    pub leaving: bool,
    /// Earliest moment at which the process exits after SIGTERM.
    pub exit_at: Duration,
    /// Start of the daemon on the monotonic clock.
    pub started_at: Duration,
}

impl State {
    /// Creates the state of a daemon that has just started.
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

    /// Returns when the next `Event::Tick` is due, on the monotonic clock.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Whether an endpoint is leaving according to the catalogue or to its own report.
    #[must_use]
    pub fn is_leaving(&self, endpoint: EndpointId) -> bool {
        let is_marked = self.view.endpoint(endpoint).is_none_or(|e| e.leaving);
        is_marked || self.health.endpoints.get(&endpoint).is_some_and(|known| known.leaving)
    }

    /// Whether load balancers may send callers to this daemon: its catalogue is not known to be
    /// stale, and it is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.documents.freshness.is_fresh
    }
}
