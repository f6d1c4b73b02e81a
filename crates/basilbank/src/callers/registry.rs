//! Open calls: what the core does not need to see of them, and the way back to the caller.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use basilbank_core::{
    effect::Answer,
    ids::{AttemptKey, CallerId},
};
use bytes::Bytes;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use super::body_budget::{BodyBudget, BodyClaim};

/// A draft's texts. The core sees sizes and hashes only.
#[derive(Debug, Default)]
pub struct HeldDraft {
    /// The prompt, all messages joined.
    pub prompt: String,
    /// What the caller has been given so far; another endpoint continues from it.
    pub given: Mutex<String>,
    /// What the prompt takes of the memory for bodies.
    pub claim: Option<BodyClaim>,
}

/// A plain call as it came in.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct HeldPlain {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers to pass on: neither hop-by-hop ones nor the caller's key.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// A plain service's answer.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PlainAnswer {
    /// The status.
    pub status: u16,
    /// Headers without hop-by-hop ones.
    pub headers: Vec<(String, Bytes)>,
    /// The body, whole.
    pub body: Bytes,
}

/// What goes to the task that serves a caller.
#[derive(Clone, PartialEq, Debug)]
pub enum Reply {
    /// The core's answer.
    Core(Answer),
    /// A plain service's answer.
    Plain(PlainAnswer),
}

/// What became of a reply.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Delivery {
    /// It is on its way.
    Sent,
    /// The caller left, or does not read: the core should hear `CallerEvent::Left`.
    Gone,
}

#[derive(Debug)]
enum Held {
    Draft(Arc<HeldDraft>),
    Plain(Arc<HeldPlain>),
}

#[derive(Debug)]
struct Open {
    held: Held,
    replies: Sender<Reply>,
}

/// All open calls of this daemon.
#[derive(Debug, Default)]
pub struct Callers {
    /// Bound on the memory of callers' bodies, prompts and answers.
    pub bodies: BodyBudget,
    counter: AtomicU64,
    open: Mutex<HashMap<CallerId, Open>>,
    answers: Mutex<HashMap<AttemptKey, PlainAnswer>>,
}

impl Callers {
    /// Registers a draft. At most `backlog` replies wait for its caller.
    pub fn open_draft(&self, draft: HeldDraft, backlog: usize) -> (CallerId, Receiver<Reply>) {
        self.open(Held::Draft(Arc::new(draft)), backlog)
    }

    /// Registers a plain call.
    pub fn open_plain(&self, plain: HeldPlain) -> (CallerId, Receiver<Reply>) {
        self.open(Held::Plain(Arc::new(plain)), 4)
    }

    fn open(&self, held: Held, backlog: usize) -> (CallerId, Receiver<Reply>) {
        let id = CallerId(self.counter.fetch_add(1, Ordering::Relaxed) + 1);
        let (replies, receiver) = channel(backlog);
        lock(&self.open).insert(id, Open { held, replies });
        (id, receiver)
    }

    /// Forgets a call. Dropping its sender ends the task that serves the caller.
    pub fn close(&self, caller: CallerId) {
        lock(&self.open).remove(&caller);
    }

    /// The texts of a draft whose call is open.
    #[must_use]
    pub fn draft(&self, caller: CallerId) -> Option<Arc<HeldDraft>> {
        match &lock(&self.open).get(&caller)?.held {
            Held::Draft(draft) => Some(Arc::clone(draft)),
            Held::Plain(_) => None,
        }
    }

    /// A plain call that is open.
    #[must_use]
    pub fn plain(&self, caller: CallerId) -> Option<Arc<HeldPlain>> {
        match &lock(&self.open).get(&caller)?.held {
            Held::Plain(plain) => Some(Arc::clone(plain)),
            Held::Draft(_) => None,
        }
    }

    /// Keeps a plain service's answer until the core says whose it is.
    pub fn hold_answer(&self, attempt: AttemptKey, answer: PlainAnswer) {
        lock(&self.answers).insert(attempt, answer);
    }

    /// Drops a plain service's answer that nobody wants.
    pub fn drop_answer(&self, attempt: AttemptKey) {
        lock(&self.answers).remove(&attempt);
    }

    /// Passes the core's answer on to a caller.
    pub fn answer(&self, caller: CallerId, answer: Answer) -> Delivery {
        let reply = match answer {
            Answer::Plain { attempt } => match lock(&self.answers).remove(&attempt) {
                Some(held) => Reply::Plain(held),
                None => Reply::Core(Answer::Unknown),
            },
            other => Reply::Core(other),
        };
        let mut open = lock(&self.open);
        let Some(call) = open.get(&caller) else { return Delivery::Gone };
        if let (Reply::Core(Answer::Tokens { texts, .. }), Held::Draft(draft)) =
            (&reply, &call.held)
        {
            lock(&draft.given).extend(texts.iter().map(String::as_str));
        }
        let last = is_last(&reply);
        let sent = call.replies.try_send(reply).is_ok();
        if last || !sent {
            open.remove(&caller);
        }
        if sent { Delivery::Sent } else { Delivery::Gone }
    }

    /// Number of open calls.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether no call is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn is_last(reply: &Reply) -> bool {
    match reply {
        Reply::Plain(_) => true,
        Reply::Core(answer) => {
            matches!(answer, Answer::Done { .. } | Answer::Refused { .. } | Answer::Unknown)
        }
    }
}

/// A panic in another thread leaves these maps whole, so the lock is taken all the same.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
