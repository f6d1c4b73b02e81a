//! Worker threads that come with demand and go when idle.

use std::{
    collections::VecDeque,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

use crate::sync::lock;

/// Stack of one worker in bytes. Workers wait for sockets and keep their buffers on the heap.
const STACK: usize = 256 << 10;

/// A worker without work for this long ends.
const IDLE: Duration = Duration::from_secs(10);

/// A piece of work.
pub type Job = Box<dyn FnOnce() + Send>;

/// A bounded pool of worker threads. Dropping it lets the workers end after their work.
#[derive(Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

/// The pool has as many workers and as much waiting work as it may.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PoolFull;

#[derive(Debug)]
struct Shared {
    name: &'static str,
    threads: usize,
    backlog: usize,
    queue: Mutex<Queue>,
    /// There is work, or the pool was closed.
    wake: Condvar,
    /// A worker has nothing to do.
    idle: Condvar,
}

#[derive(Default)]
struct Queue {
    jobs: VecDeque<Job>,
    threads: usize,
    idle: usize,
    closed: bool,
}

impl std::fmt::Debug for Queue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Queue(jobs {}, threads {})", self.jobs.len(), self.threads)
    }
}

impl Pool {
    /// A pool of at most `threads` workers, with at most `backlog` jobs waiting for them.
    #[must_use]
    pub fn new(name: &'static str, threads: usize, backlog: usize) -> Pool {
        let queue = Mutex::new(Queue::default());
        let (wake, idle) = (Condvar::new(), Condvar::new());
        let shared = Shared { name, threads, backlog, queue, wake, idle };
        Pool { shared: Arc::new(shared) }
    }

    /// Hands a job over without waiting.
    ///
    /// # Errors
    /// The pool is full; the job is dropped.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), PoolFull> {
        let mut queue = lock(&self.shared.queue);
        let must_grow = queue.idle <= queue.jobs.len();
        if must_grow && queue.threads < self.shared.threads && self.grow() {
            queue.threads += 1;
        } else if must_grow && queue.jobs.len() >= self.shared.backlog {
            return Err(PoolFull);
        }
        if queue.threads == 0 {
            return Err(PoolFull);
        }
        queue.jobs.push_back(Box::new(job));
        drop(queue);
        self.shared.wake.notify_one();
        Ok(())
    }

    /// Waits until nothing waits or runs. `false` when that takes longer.
    #[must_use]
    pub fn wait_idle(&self, patience: Duration) -> bool {
        let queue = lock(&self.shared.queue);
        let busy = |queue: &mut Queue| !queue.jobs.is_empty() || queue.idle < queue.threads;
        let waited = self.shared.idle.wait_timeout_while(queue, patience, busy);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    fn grow(&self) -> bool {
        let shared = Arc::clone(&self.shared);
        let builder = thread::Builder::new().name(shared.name.to_owned()).stack_size(STACK);
        builder.spawn(move || shared.work()).is_ok()
    }
}

impl Drop for Pool {
    fn drop(&mut self) {
        lock(&self.shared.queue).closed = true;
        self.shared.wake.notify_all();
    }
}

impl Shared {
    fn work(&self) {
        while let Some(job) = self.next() {
            // A panicking job must not take the worker with it uncounted: the pool would believe in
            // a thread that is gone, and in the end wait for threads that don't exist.
            let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(job));
        }
    }

    fn next(&self) -> Option<Job> {
        let mut queue = lock(&self.queue);
        loop {
            if let Some(job) = queue.jobs.pop_front() {
                return Some(job);
            }
            if queue.closed {
                queue.threads -= 1;
                self.idle.notify_all();
                return None;
            }
            queue.idle += 1;
            self.idle.notify_all();
            let waited = self.wake.wait_timeout(queue, IDLE);
            let (guard, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
            queue = guard;
            queue.idle -= 1;
            if timeout.timed_out() && queue.jobs.is_empty() {
                queue.threads -= 1;
                return None;
            }
        }
    }
}
