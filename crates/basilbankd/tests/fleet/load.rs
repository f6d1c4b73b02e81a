//! Callers that go on while daemons come and go.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::Scope,
};

use basilbank_standin::expected_answer;

use crate::{common::wait_until, rig::draft_at};

/// Callers of drafts.
#[derive(Default)]
pub struct Load {
    /// Where they may connect; the same place belongs to the same daemon.
    pub callers: Mutex<Vec<SocketAddr>>,
    stop: AtomicBool,
    served: AtomicUsize,
}

/// Ends the load when it is dropped, also by a failed assertion.
pub struct Running<'a>(&'a Load);

impl Load {
    /// Starts callers, each with its own prompts. Every answer must be right.
    pub fn start<'scope>(
        &'scope self,
        scope: &'scope Scope<'scope, '_>,
        count: usize,
    ) -> Running<'scope> {
        for caller in 0..count {
            scope.spawn(move || self.call(caller));
        }
        Running(self)
    }

    fn call(&self, caller: usize) {
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let prompt = format!("caller {caller} {round} length=10");
            let first = caller + round;
            round += 1;
            let draft = draft_at(|turn| self.daemon(first + turn), &prompt);
            assert_eq!(draft.text, expected_answer(&prompt, 100).concat());
            self.served.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The present address of the daemon whose turn it is. A replaced one has another than before.
    fn daemon(&self, turn: usize) -> SocketAddr {
        let callers = self.callers.lock().unwrap();
        callers[turn % callers.len()]
    }

    /// Answers so far.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::Relaxed)
    }

    /// Waits until so many more were served after this moment.
    pub fn wait_served(&self, more: usize) {
        let before = self.served();
        wait_until("callers are served", || before + more <= self.served());
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}
