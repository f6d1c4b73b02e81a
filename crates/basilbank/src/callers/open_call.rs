//! One call that the core knows of.

use std::{
    sync::{Arc, mpsc::Sender},
    task::{Context, Poll},
};

use basilbank_core::{
    effect::Answer,
    event::{Call, CallerEvent, Event},
    ids::{CallerId, RequestId},
    reason::Refusal,
};
use tokio::sync::mpsc::Receiver;

use super::{
    error::ApiError,
    registry::{Callers, Reply},
};

/// A call in progress, held by the future or body that serves its caller.
///
/// hyper drops that future or body when the caller's connection ends. Without a word to the core the
/// request would go on for nobody, and hold a slot and KV cache at an endpoint until it finished by
/// itself; so dropping an unfinished call tells the core that its caller left.
#[derive(Debug)]
pub struct OpenCall {
    caller: CallerId,
    replies: Receiver<Reply>,
    events: Sender<Event>,
    callers: Arc<Callers>,
    request: Option<RequestId>,
    finished: bool,
}

impl OpenCall {
    /// Hands a call to the core.
    ///
    /// # Errors
    /// The core has ended, so nothing was run.
    pub fn begin(
        call: Call,
        replies: Receiver<Reply>,
        events: &Sender<Event>,
        callers: &Arc<Callers>,
    ) -> Result<OpenCall, ApiError> {
        let caller = call.caller;
        let event = Event::Caller(CallerEvent::Arrived(Box::new(call)));
        if events.send(event).is_err() {
            callers.close(caller);
            return Err(ApiError::early(Refusal::ShuttingDown));
        }
        let (events, callers) = (events.clone(), Arc::clone(callers));
        Ok(OpenCall { caller, replies, events, callers, request: None, finished: false })
    }

    /// The request's id, once the core accepted it.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        self.request
    }

    /// The core's next reply.
    pub async fn next(&mut self) -> Reply {
        let reply = self.replies.recv().await;
        self.note(reply)
    }

    /// The core's next reply, for a body that is polled.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Reply> {
        self.replies.poll_recv(cx).map(|reply| self.note(reply))
    }

    /// A reply channel that closes before the last reply means that nobody will say how the call
    /// ended, so it may have run.
    fn note(&mut self, reply: Option<Reply>) -> Reply {
        let Some(reply) = reply else { return Reply::Core(Answer::Unknown) };
        match &reply {
            Reply::Core(Answer::Accepted { request, .. }) => self.request = Some(*request),
            Reply::Plain(_)
            | Reply::Core(Answer::Done { .. } | Answer::Refused { .. } | Answer::Unknown) => {
                self.finished = true;
            }
            Reply::Core(_) => {}
        }
        reply
    }

    /// Adds the request's id to an error.
    #[must_use]
    pub fn identify(&self, mut error: ApiError) -> ApiError {
        error.request = self.request;
        error
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        self.callers.close(self.caller);
        // The core may be gone already; then nothing is left to be cancelled through it.
        let _ = self.events.send(Event::Caller(CallerEvent::Left(self.caller)));
    }
}
