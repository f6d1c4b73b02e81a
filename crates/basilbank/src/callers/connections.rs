//! Callers' open connections, and which of them is closed when a new one has no place.
//!
//! Each connection takes memory and descriptors, so their number is bounded. A crowd of callers who
//! send half of a request, or nothing, and stay could hold all places for as long as their time limits
//! last. So a new connection takes the place of one that doesn't get on; one whose request is being
//! served keeps its place.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

pub use basilbank_config::CONNECTION_BYTES;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use super::body_budget::{BodyBudget, BodyClaim, BudgetExceeded};

/// Time after which a connection that doesn't get on may lose its place.
const STALLED: Duration = Duration::from_secs(1);

/// Time for which connections are closed after their answers once a new one had no place.
const SHORTAGE: Duration = Duration::from_secs(1);

/// Bytes per second of a request that gets on: a bad mobile connection's.
const RATE: f64 = 16_384.0;

/// Bytes of a head that count with its connection's place.
const MAX_FREE_HEAD: usize = 16 << 10;

/// Memory by which a longer head's claim grows.
const HEAD_STEP: usize = 16 << 10;

/// Maximum number of connections that have lost their places and are not closed yet.
const MAX_LEAVING: usize = 64;

new_key_type! {
    /// Names an open connection.
    pub struct ConnectionKey;
}

/// What a connection is at.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Stage {
    /// A request has begun to arrive.
    Arriving,
    /// No request has come yet.
    New,
    /// All requests so far were answered.
    Idle,
    /// A whole request is being served.
    Serving,
}

impl Stage {
    /// All stages.
    pub const ALL: [Stage; 4] = [Stage::Arriving, Stage::New, Stage::Idle, Stage::Serving];

    /// Returns the name for metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Arriving => "arriving",
            Stage::New => "new",
            Stage::Idle => "idle",
            Stage::Serving => "serving",
        }
    }
}

/// Why a new connection has no place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Full;

/// A connection lost its place before its request was whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PlaceLost;

#[derive(Debug)]
struct Open {
    stage: Stage,
    /// Since when it is at that.
    since: Instant,
    /// When the last bytes of the request came.
    received_at: Instant,
    /// Bytes of the request that have come; 0 once it was answered.
    received: usize,
    /// Whether they are of its head.
    is_head: bool,
    /// Whether the caller takes no more of an answer for now.
    is_blocked: bool,
    /// Whether it has lost its place, and is about to close.
    is_leaving: bool,
    leave: Arc<Notify>,
}

impl Open {
    fn new(now: Instant) -> Open {
        Open {
            stage: Stage::New,
            since: now,
            received_at: now,
            received: 0,
            is_head: false,
            is_blocked: false,
            is_leaving: false,
            leave: Arc::default(),
        }
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        (self.stage, self.since) = (stage, now);
    }

    /// Returns whether it may lose its place.
    fn is_stalled(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        match self.stage {
            _ if self.is_leaving => false,
            Stage::Serving => false,
            Stage::New => STALLED <= age,
            // What was written for it would be lost.
            Stage::Idle => STALLED <= age && !self.is_blocked,
            Stage::Arriving => {
                let earned = Duration::from_secs_f64(self.received as f64 / RATE);
                let silence = now.saturating_duration_since(self.received_at);
                STALLED <= silence || STALLED + earned <= age
            }
        }
    }
}

#[derive(Debug)]
struct State {
    open: SlotMap<ConnectionKey, Open>,
    max: usize,
    /// When a new connection last had no place.
    full_at: Option<Instant>,
}

impl State {
    /// Marks a connection that doesn't get on as one that closes, if there is no other room. Returns whether
    /// it has.
    fn evict_stalled(&mut self, now: Instant) -> Result<bool, Full> {
        if self.open.len() < self.max {
            return Ok(false);
        }
        let leaving = self.open.values().filter(|open| open.is_leaving).count();
        if self.open.len() < self.max + leaving {
            return Ok(false);
        }
        let key = self.stalled(now).filter(|_| leaving < MAX_LEAVING).ok_or(Full)?;
        let stalled = self.open.get_mut(key).ok_or(Full)?;
        stalled.is_leaving = true;
        stalled.leave.notify_one();
        Ok(true)
    }

    /// Returns the connection whose place a new one takes: of those that don't get on, one in the middle
    /// of a request first, that which has sent most; then one that has sent nothing; then the one that
    /// has been idle for longest.
    fn stalled(&self, now: Instant) -> Option<ConnectionKey> {
        let stalled = self.open.iter().filter(|(_, open)| open.is_stalled(now));
        let rank = |open: &Open| (open.stage, std::cmp::Reverse(open.received), open.since);
        stalled.min_by_key(|(_, open)| rank(open)).map(|(key, _)| key)
    }
}

/// All open connections of callers.
#[derive(Clone, Debug)]
pub struct Connections {
    state: Arc<Mutex<State>>,
    /// Where long heads count, besides bodies.
    budget: BodyBudget,
    /// Notified when a connection has closed.
    closed: Arc<Notify>,
}

impl Connections {
    /// Creates it for at most `max` connections, whose long heads count in the budget.
    #[must_use]
    pub fn new(max: usize, budget: BodyBudget) -> Connections {
        let state = State { open: SlotMap::with_key(), max, full_at: None };
        Connections { state: Arc::new(Mutex::new(state)), budget, closed: Arc::default() }
    }

    /// Changes the number of connections for those that come from now on.
    pub fn set_max(&self, max: usize) {
        self.lock().max = max;
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.lock().open.len()
    }

    /// Returns the number of open connections at a stage.
    #[must_use]
    pub fn count(&self, stage: Stage) -> usize {
        self.lock().open.values().filter(|open| open.stage == stage).count()
    }

    /// Returns the maximum number of open connections.
    #[must_use]
    pub fn max(&self) -> usize {
        self.lock().max
    }

    /// Gives a new connection a place, if need be that of one that doesn't get on.
    ///
    /// # Errors
    /// All others get on.
    pub fn admit(&self, now: Instant) -> Result<Place, Full> {
        let mut state = self.lock();
        let has_evicted = state.evict_stalled(now).inspect_err(|_| state.full_at = Some(now))?;
        let open = Open::new(now);
        let leave = Arc::clone(&open.leave);
        let key = state.open.insert(open);
        drop(state);
        Ok(Place {
            connections: self.clone(),
            key,
            has_evicted,
            leave,
            unblocked: Notify::new(),
            head: Mutex::default(),
        })
    }

    /// Waits until no connection is open.
    pub async fn wait_closed(&self) {
        loop {
            let closed = self.closed.notified();
            if self.open() == 0 {
                return;
            }
            closed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of one connection. Dropping it gives the place back.
#[derive(Debug)]
pub struct Place {
    connections: Connections,
    key: ConnectionKey,
    has_evicted: bool,
    leave: Arc<Notify>,
    unblocked: Notify,
    /// What a long head takes, until its request was answered.
    head: Mutex<Option<BodyClaim>>,
}

impl Place {
    /// Returns whether another connection was closed for this one.
    #[must_use]
    pub fn has_evicted(&self) -> bool {
        self.has_evicted
    }

    /// Waits until the connection has lost its place, and is to be closed.
    pub async fn lost(&self) {
        self.leave.notified().await;
    }

    /// Returns whether the connection has lost its place.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        let mut is_leaving = false;
        self.update(|open| is_leaving = open.is_leaving);
        is_leaving
    }

    /// Records that bytes of a request have come.
    ///
    /// # Errors
    /// They are of a long head, for which there is no memory.
    pub fn record_received(&self, bytes: usize, now: Instant) -> Result<(), BudgetExceeded> {
        let mut head = 0;
        self.update(|open| {
            if matches!(open.stage, Stage::New | Stage::Idle) {
                open.enter(Stage::Arriving, now);
                (open.received, open.is_head) = (0, true);
            }
            open.received += bytes;
            open.received_at = now;
            head = if open.is_head { open.received } else { 0 };
        });
        if head <= MAX_FREE_HEAD { Ok(()) } else { self.claim_head(head) }
    }

    fn claim_head(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let mut head = self.head.lock().unwrap_or_else(PoisonError::into_inner);
        let claim = match head.take() {
            Some(claim) => claim,
            None => self.connections.budget.admit(0)?,
        };
        head.insert(claim).hold(bytes.next_multiple_of(HEAD_STEP))
    }

    /// Records that a request's head is whole.
    pub fn record_head(&self) {
        self.update(|open| open.is_head = false);
    }

    /// Records that a request is whole, and is served from now on.
    ///
    /// # Errors
    /// The connection has lost its place: the request isn't to be served.
    pub fn record_whole(&self, now: Instant) -> Result<(), PlaceLost> {
        let mut lost = false;
        self.update(|open| {
            lost = open.is_leaving;
            open.enter(Stage::Serving, now);
        });
        if lost { Err(PlaceLost) } else { Ok(()) }
    }

    /// Records that the answer has been written.
    pub fn record_answered(&self, now: Instant) {
        self.head.lock().unwrap_or_else(PoisonError::into_inner).take();
        self.update(|open| {
            open.enter(Stage::Idle, now);
            open.received = 0;
        });
    }

    /// Returns whether the connection is to be closed after its answer, as others have no place: a caller
    /// who sends one request behind another would keep it for ever.
    #[must_use]
    pub fn is_wanted(&self, now: Instant) -> bool {
        let full_at = self.connections.lock().full_at;
        full_at.is_some_and(|at| now.saturating_duration_since(at) < SHORTAGE)
    }

    /// Records whether the caller takes more of an answer.
    pub fn record_blocked(&self, is_blocked: bool) {
        let mut was_blocked = false;
        self.update(|open| was_blocked = std::mem::replace(&mut open.is_blocked, is_blocked));
        if was_blocked && !is_blocked {
            self.unblocked.notify_one();
        }
    }

    /// Waits until the caller has taken what was written for it. A request that is served before would
    /// add its answer to those that wait.
    pub async fn wait_unblocked(&self) {
        loop {
            let unblocked = self.unblocked.notified();
            let mut is_blocked = false;
            self.update(|open| is_blocked = open.is_blocked);
            if !is_blocked {
                return;
            }
            unblocked.await;
        }
    }

    fn update(&self, change: impl FnOnce(&mut Open)) {
        if let Some(open) = self.connections.lock().open.get_mut(self.key) {
            change(open);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.lock().open.remove(self.key);
        self.connections.closed.notify_waiters();
    }
}
