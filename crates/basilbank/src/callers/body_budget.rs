//! Bounds the memory that bodies take together: those of requests, and of answers that are gathered
//! before they are passed on. Long heads and the prompts of drafts count as well. What counts is the memory
//! that is taken, not the length of what is in it.
//!
//! A process that exceeds its memory is killed with all its calls, so a body that doesn't fit is
//! refused, before it is read if its length is announced. An announced length is reserved, so that a
//! caller who sends at a usual pace is not refused halfway. A caller who sends more slowly than that
//! counts with what has arrived: otherwise a few who announce much and send nothing would keep all
//! others out. Large bodies leave a part of the bound to small ones.
//!
//! Answers may take half of the bound. One that doesn't fit isn't read on until others have ended. One
//! at a time is read on nevertheless, so that those that wait for each other all end.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::sleep,
};

/// Divisor of the process's memory for bodies; the rest is for connections, answers and state.
const MEMORY_DIVISOR: usize = 3;

/// Bound in bytes if the process's memory is unknown.
const DEFAULT_BOUND: usize = 32 << 20;

/// Minimum bound in bytes, so that a body of a usual maximum length fits into any process.
const MIN_BOUND: usize = 8 << 20;

/// Maximum size in bytes of a body that may use the whole bound.
const MAX_SMALL_BODY: usize = 64 << 10;

/// Divisor of the bound for the part that is left to small bodies.
const SMALL_DIVISOR: usize = 8;

/// Divisor of the bound for the part that answers may take.
const ANSWERS_DIVISOR: usize = 2;

/// Divisor of the bound for the part beyond which memory is short.
const SHORT_DIVISOR: usize = 2;

/// Maximum size in bytes of an answer that waits for no other.
const MAX_SMALL_ANSWER: usize = 16 << 10;

/// Time after which an answer that doesn't fit is looked at again.
const ANSWER_RECHECK: Duration = Duration::from_millis(5);

/// Time for which an announced length is reserved although nothing arrives.
const RESERVED_TIME: Duration = Duration::from_millis(500);

/// Bytes per second that keep an announced length reserved.
const RESERVED_RATE: f64 = 1e6;

/// A body is refused because it doesn't fit into the bound.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BudgetExceeded;

/// The bytes that bodies take, and what was refused.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct BodyUsage {
    /// Bytes that have arrived or are reserved.
    pub bytes: usize,
    /// Maximum number of bytes.
    pub bound: usize,
    /// Number of bodies that were refused unread.
    pub refused_unread: u64,
    /// Number of bodies that were refused while they were read.
    pub refused_midway: u64,
    /// The part of `bytes` that answers take.
    pub answers: usize,
    /// Number of times that an answer was not read on as it didn't fit.
    pub answers_paused: u64,
    /// The part of `bytes` that large bodies take.
    large: usize,
}

impl BodyUsage {
    /// Returns whether a body may take `to` bytes in place of `from`.
    fn fits(&self, from: usize, to: usize) -> bool {
        if to <= from {
            return true;
        }
        let large = self.large - large_part(from) + large_part(to);
        let max_large = self.bound - self.bound / SMALL_DIVISOR;
        self.bytes - from + to <= self.bound && (large_part(to) == 0 || large <= max_large)
    }

    /// Returns whether an answer may take `to` bytes in place of `from`.
    fn fits_answer(&self, from: usize, to: usize) -> bool {
        if to <= from.max(MAX_SMALL_ANSWER) {
            return true;
        }
        let answers = self.answers - from + to;
        self.fits(from, to) && answers <= self.bound / ANSWERS_DIVISOR
    }

    fn replace_answer(&mut self, from: usize, to: usize) {
        self.replace(from, to);
        self.answers = self.answers - from + to;
    }

    fn replace(&mut self, from: usize, to: usize) {
        self.bytes = self.bytes - from + to;
        self.large = self.large - large_part(from) + large_part(to);
    }
}

fn large_part(size: usize) -> usize {
    if MAX_SMALL_BODY < size { size } else { 0 }
}

/// Returns the bound for a process with this much memory in bytes, if that is known.
#[must_use]
pub fn bound_for_memory(memory: Option<usize>) -> usize {
    memory.map_or(DEFAULT_BOUND, |memory| (memory / MEMORY_DIVISOR).max(MIN_BOUND))
}

/// The bound on all bodies of a daemon together.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    usage: Arc<Mutex<BodyUsage>>,
    /// Held by the answer that is read on although it doesn't fit.
    beyond: Arc<Semaphore>,
}

impl Default for BodyBudget {
    fn default() -> BodyBudget {
        BodyBudget::new(bound_for_memory(None))
    }
}

impl BodyBudget {
    /// Creates a budget with a bound in bytes.
    #[must_use]
    pub fn new(bound: usize) -> BodyBudget {
        let usage = BodyUsage { bound, ..BodyUsage::default() };
        BodyBudget { usage: Arc::new(Mutex::new(usage)), beyond: Arc::new(Semaphore::new(1)) }
    }

    /// Changes the bound for bodies that are admitted from now on.
    pub fn set_bound(&self, bound: usize) {
        self.lock().bound = bound;
    }

    /// Returns the current usage.
    #[must_use]
    pub fn usage(&self) -> BodyUsage {
        *self.lock()
    }

    /// Admits a body whose length was announced as `announced` bytes; 0 if it is unknown.
    ///
    /// # Errors
    /// Returns an error if the body doesn't fit.
    pub fn admit(&self, announced: usize) -> Result<BodyClaim, BudgetExceeded> {
        let mut usage = self.lock();
        if !usage.fits(0, announced) {
            usage.refused_unread += 1;
            return Err(BudgetExceeded);
        }
        usage.replace(0, announced);
        drop(usage);
        Ok(BodyClaim {
            budget: self.clone(),
            claimed: announced,
            reserved: announced,
            arrived: 0,
            held: 0,
        })
    }

    /// Returns a claim for an answer of which nothing was read.
    #[must_use]
    pub fn claim_answer(&self) -> AnswerClaim {
        AnswerClaim { budget: self.clone(), claimed: 0, beyond: None }
    }

    fn lock(&self) -> MutexGuard<'_, BodyUsage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of the budget that one body takes. Dropping it gives the part back.
pub struct BodyClaim {
    budget: BodyBudget,
    /// The bytes that count in the budget.
    claimed: usize,
    /// The announced length, until its reservation ends.
    reserved: usize,
    arrived: usize,
    /// Memory that the body takes, whether it is filled or not.
    held: usize,
}

impl fmt::Debug for BodyClaim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BodyClaim { claimed, arrived, .. } = self;
        f.debug_struct("BodyClaim").field("claimed", claimed).field("arrived", arrived).finish()
    }
}

impl BodyClaim {
    /// Records that further bytes have arrived.
    pub fn record_arrived(&mut self, bytes: usize) {
        self.arrived += bytes;
    }

    /// Claims memory before it is allocated: `held` bytes in total.
    ///
    /// # Errors
    /// Returns an error if they don't fit.
    pub fn hold(&mut self, held: usize) -> Result<(), BudgetExceeded> {
        let needed = held.max(self.reserved);
        let mut usage = self.budget.lock();
        if !usage.fits(self.claimed, needed) {
            usage.refused_midway += 1;
            return Err(BudgetExceeded);
        }
        usage.replace(self.claimed, needed);
        drop(usage);
        (self.claimed, self.held) = (needed, held);
        Ok(())
    }

    /// Returns the number of bytes that have arrived.
    #[must_use]
    pub fn arrived(&self) -> usize {
        self.arrived
    }

    /// Returns the time since the admission after which the reservation of what has not arrived ends;
    /// `None` if nothing is reserved.
    #[must_use]
    pub fn reserved_for(&self) -> Option<Duration> {
        let sent_time = Duration::from_secs_f64(self.arrived as f64 / RESERVED_RATE);
        (self.held < self.reserved).then(|| RESERVED_TIME + sent_time)
    }

    /// Ends the reservation of what has not arrived.
    pub fn release_unsent(&mut self) {
        self.reserved = 0;
        self.budget.lock().replace(self.claimed, self.held);
        self.claimed = self.held;
    }

    /// Returns whether bodies that don't get on keep others out: more than half of the bound is taken.
    #[must_use]
    pub fn is_memory_short(&self) -> bool {
        let usage = self.budget.lock();
        usage.bound / SHORT_DIVISOR < usage.bytes
    }

    /// Returns the body with this claim, which ends when the last clone of the body is dropped.
    #[must_use]
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ClaimedBody { body, _claim: self })
    }
}

impl Drop for BodyClaim {
    fn drop(&mut self) {
        self.budget.lock().replace(self.claimed, 0);
    }
}

/// A body and the claim that counts it.
struct ClaimedBody<C> {
    body: Bytes,
    _claim: C,
}

impl<C> AsRef<[u8]> for ClaimedBody<C> {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// The part of the budget that one answer takes. Dropping it gives the part back.
#[derive(Debug)]
pub struct AnswerClaim {
    budget: BodyBudget,
    claimed: usize,
    /// Held while the answer takes more than fits.
    beyond: Option<OwnedSemaphorePermit>,
}

impl AnswerClaim {
    /// Waits until this many bytes of the answer fit, or until it is the one that may take more.
    pub async fn resize(&mut self, bytes: usize) {
        if bytes == self.claimed || self.try_resize(bytes) {
            return;
        }
        self.budget.lock().answers_paused += 1;
        while !self.try_resize(bytes) {
            sleep(ANSWER_RECHECK).await;
        }
    }

    /// Waits like [`AnswerClaim::resize`], on a thread that may block, until `end` at most.
    ///
    /// # Errors
    /// They don't fit in time.
    pub fn resize_blocking(&mut self, bytes: usize, end: Instant) -> Result<(), BudgetExceeded> {
        if bytes == self.claimed || self.try_resize(bytes) {
            return Ok(());
        }
        self.budget.lock().answers_paused += 1;
        while !self.try_resize(bytes) {
            if end <= Instant::now() {
                return Err(BudgetExceeded);
            }
            thread::sleep(ANSWER_RECHECK);
        }
        Ok(())
    }

    /// Returns the answer with this claim, which ends when the last clone of the answer is dropped.
    #[must_use]
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ClaimedBody { body, _claim: self })
    }

    fn try_resize(&mut self, bytes: usize) -> bool {
        let mut usage = self.budget.lock();
        if !usage.fits_answer(self.claimed, bytes) {
            if self.beyond.is_none() {
                self.beyond = Arc::clone(&self.budget.beyond).try_acquire_owned().ok();
            }
            if self.beyond.is_none() {
                return false;
            }
        }
        usage.replace_answer(self.claimed, bytes);
        self.claimed = bytes;
        true
    }
}

impl Drop for AnswerClaim {
    fn drop(&mut self) {
        self.budget.lock().replace_answer(self.claimed, 0);
    }
}
