//! Liveness requests on behalf of calls whose endpoint sends nothing.
//!
//! All calls that wait at an endpoint share its liveness requests: however many there are, one is under
//! way at a time, and none begins right after an answer. So silence costs no more with many streams.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use basilbank_forward::{effect::Target, prelude::*};
use tokio::{
    sync::watch,
    task::spawn_local,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    connections::CallError,
    dialect::OutRequest,
    endpoint_calls::{EndpointCall, LIVENESS_TIMEOUT},
    router::Router,
};

/// Time after an answer in which no further liveness request begins. A silence that begins meanwhile is
/// noticed that much later at most.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// The endpoint that is asked, and the peer that asks it for this daemon.
type Path = (EndpointKey, Option<SocketAddr>);

/// The liveness requests under way, and the last answers.
#[derive(Debug, Default)]
pub struct LivenessChecks {
    /// Results of the requests under way: `None` until they are known.
    running: RefCell<HashMap<Path, watch::Receiver<Option<bool>>>>,
    /// When endpoints last answered; entries are dropped when they are too old to matter.
    answered: RefCell<HashMap<Path, Instant>>,
}

impl LivenessChecks {
    fn pause_end(&self, path: Path) -> Option<Instant> {
        let mut answered = self.answered.borrow_mut();
        answered.retain(|_, at| at.elapsed() < MIN_PAUSE);
        answered.get(&path).map(|at| *at + MIN_PAUSE)
    }

    fn running(&self, path: Path) -> Option<watch::Receiver<Option<bool>>> {
        self.running.borrow().get(&path).cloned()
    }
}

impl Router {
    /// Returns whether the endpoint answers a liveness request successfully. One that wants a pause
    /// is not asked, and counts as alive.
    pub async fn is_alive(
        self: &Rc<Self>,
        target: &Target,
        request: impl FnOnce() -> OutRequest,
    ) -> bool {
        let path = (target.endpoint, target.via);
        if let Some(end) = self.liveness.pause_end(path) {
            sleep_until(end).await;
        }
        let deadline = Instant::now() + LIVENESS_TIMEOUT;
        // A request that began before may have no answer although a later one would have: only an
        // answer counts.
        if let Some(earlier) = self.liveness.running(path)
            && result(earlier, deadline).await
        {
            return true;
        }
        if deadline <= Instant::now() {
            return false;
        }
        let own = self.liveness.running(path);
        let own = own.unwrap_or_else(|| self.start_check(path, target.clone(), request()));
        result(own, deadline).await
    }

    fn start_check(
        self: &Rc<Self>,
        path: Path,
        target: Target,
        request: OutRequest,
    ) -> watch::Receiver<Option<bool>> {
        let (sender, receiver) = watch::channel(None);
        self.liveness.running.borrow_mut().insert(path, receiver.clone());
        let router = Rc::clone(self);
        // The request goes on for others if the call that began it gets an answer meanwhile.
        spawn_local(async move {
            let call = EndpointCall::own(&target, request, LIVENESS_TIMEOUT, Purpose::Probe);
            let is_alive = match router.call_endpoint(call).await {
                Ok((response, _)) => response.status().is_success(),
                Err(error) => error == CallError::Withheld,
            };
            router.liveness.running.borrow_mut().remove(&path);
            if is_alive {
                router.liveness.answered.borrow_mut().insert(path, Instant::now());
            }
            let _ = sender.send(Some(is_alive));
        });
        receiver
    }
}

/// Returns the result of a liveness request; `false` if there is none before the deadline.
async fn result(mut request: watch::Receiver<Option<bool>>, deadline: Instant) -> bool {
    let known = timeout_at(deadline, request.wait_for(Option::is_some)).await;
    matches!(known, Ok(Ok(is_alive)) if *is_alive == Some(true))
}
