//! Serves one caller's request, from its head to the end of the response.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank::callers::{
    connections::Place,
    request_body::{BodyError, BodyLimits, read_body},
};
use basilbank_forward::prelude::*;
use hyper::{Request, Response, StatusCode, body::Incoming, header::CONTENT_LENGTH};
use tokio::{
    sync::{mpsc, oneshot},
    task::{AbortHandle, JoinSet, spawn_local},
};

use crate::{
    attempt::{AttemptResult, CallerRequest, PendingAnswer, run_attempt},
    digest::digest,
    metrics::Sender,
    relay::{LastEventId, RelayEnd, StreamProgress, relay},
    response::{Chunk, ErrorResponse, ResponseBody, forwarded_response},
    router::{RequestEffect, Router},
};

/// Maximum number of chunks of a stream that wait for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 32;

/// Time for a body before its bytes extend the deadline.
const BODY_BASE_TIME: Duration = Duration::from_secs(10);

/// Serves one request.
pub async fn serve(
    router: Rc<Router>,
    request: Request<Incoming>,
    place: &Place,
) -> Response<ResponseBody> {
    place.wait_unblocked().await;
    let (head, body) = request.into_parts();
    let max_bytes = router.read(|state| state.routes.limits.body_bytes);
    let limits = BodyLimits { max_bytes, base_time: BODY_BASE_TIME };
    let body = match read_body(body, limits, &router.bodies).await {
        Ok(body) => body,
        Err(error) => {
            let answer = router.read(|state| body_error_response(error, state));
            return refuse_early(&router, &answer, "");
        }
    };
    if place.record_whole(Instant::now()).is_err() {
        let answer = ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "connections");
        return refuse_early(&router, &answer, "");
    }
    router.metrics.count_unread(Sender::Caller, (router.dialect.unread_from_caller)(&head.headers));
    let (id, effects) = router.register();
    let call = match (router.dialect.parse_call)(id, &head) {
        Ok(call) => Call { digest: digest(&head, &body), ..call },
        Err(error) => {
            router.unregister(id);
            let answer = ErrorResponse::new(StatusCode::BAD_REQUEST, error.reason);
            return refuse_early(&router, &answer, &error.trace_id);
        }
    };
    let caller_request = Rc::new(CallerRequest { call, head, body: RefCell::new(Some(body)) });
    let (sender, response) = oneshot::channel();
    let task = RequestTask {
        router: Rc::clone(&router),
        id,
        caller_request,
        effects,
        tasks: JoinSet::new(),
        running: HashMap::new(),
        pending: HashMap::new(),
        responder: Responder::Waiting(sender),
        last_event_id: LastEventId::default(),
    };
    spawn_local(task.run());
    // The task always answers; it is gone without an answer only after a panic.
    let internal_error =
        || ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "lost").to_response();
    response.await.unwrap_or_else(|_| internal_error())
}

/// Returns the response to a body that can't be used.
fn body_error_response(error: BodyError, state: &State) -> ErrorResponse {
    match error {
        BodyError::TooLong => {
            let answer = ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large");
            retry_if_outdated(answer, state)
        }
        BodyError::Broken => ErrorResponse::new(StatusCode::BAD_REQUEST, "bad_body"),
        BodyError::TooSlow => ErrorResponse::new(StatusCode::REQUEST_TIMEOUT, "slow_body"),
        BodyError::NoMemory => ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "body_memory")
            .with_retry_after(Some(state.tuning.retry_after)),
    }
}

/// Tells the caller to retry if a body is too long by a configuration that is outdated: the current
/// one may allow it.
fn retry_if_outdated(answer: ErrorResponse, state: &State) -> ErrorResponse {
    if !state.is_configuration_outdated() {
        return answer;
    }
    let response = ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, Refusal::Outdated.as_str());
    response.with_retry_after(Some(state.tuning.retry_after))
}

/// Refuses a request before it gets to the reducer.
fn refuse_early(router: &Router, answer: &ErrorResponse, trace_id: &str) -> Response<ResponseBody> {
    router.metrics.count_refused_early(answer.reason);
    let line = basilbank::logs::Line::new("refused_early")
        .with("request", trace_id)
        .with("reason", answer.reason);
    log::info!("{line}");
    answer.to_response()
}

/// Where the response is sent.
enum Responder {
    /// Nothing has been sent to the caller.
    Waiting(oneshot::Sender<Response<ResponseBody>>),
    /// A stream is being sent.
    Streaming(mpsc::Sender<Chunk>),
    /// The response is complete, or has been handed over.
    Done,
}

impl Responder {
    /// Waits until the caller leaves.
    async fn closed(&mut self) {
        match self {
            Responder::Waiting(sender) => sender.closed().await,
            Responder::Streaming(chunks) => chunks.closed().await,
            Responder::Done => std::future::pending().await,
        }
    }
}

/// Result of an attempt, or of the relay of its stream.
enum TaskResult {
    Attempt(AttemptResult),
    Relay(RelayEnd),
}

/// The task of one request.
struct RequestTask {
    router: Rc<Router>,
    id: RequestId,
    caller_request: Rc<CallerRequest>,
    effects: mpsc::UnboundedReceiver<RequestEffect>,
    tasks: JoinSet<(u32, TaskResult)>,
    running: HashMap<u32, AbortHandle>,
    pending: HashMap<u32, Option<PendingAnswer>>,
    responder: Responder,
    last_event_id: LastEventId,
}

/// Whether the task continues.
enum Flow {
    Continue,
    Stop,
}

impl RequestTask {
    async fn run(mut self) {
        let call = Box::new(self.caller_request.call.clone());
        self.router.dispatch(Event::Arrived(call));
        loop {
            let flow = tokio::select! {
                biased;
                effect = self.effects.recv() => self.handle_effect(effect),
                () = self.responder.closed() => Flow::Stop,
                Some(result) = self.tasks.join_next() => {
                    if let Ok((number, result)) = result {
                        self.handle_result(number, result);
                    }
                    Flow::Continue
                }
            };
            if matches!(flow, Flow::Stop) {
                break;
            }
        }
        // What is left of the request is stopped: the caller has its answer, or is gone.
        self.router.dispatch(Event::CallerLeft(self.id));
        self.router.unregister(self.id);
    }

    fn handle_effect(&mut self, effect: Option<RequestEffect>) -> Flow {
        match effect {
            None => Flow::Stop,
            Some(RequestEffect::Start(attempt)) => self.start(*attempt),
            Some(RequestEffect::Stop(number)) => self.stop(number),
            Some(RequestEffect::Deliver(number)) => self.deliver(number),
            Some(RequestEffect::DropBody) => {
                self.caller_request.body.take();
                Flow::Continue
            }
            Some(RequestEffect::Refuse(refusal, retry_after)) => self.refuse(refusal, retry_after),
            Some(RequestEffect::AbortStream) => Flow::Stop,
        }
    }

    fn start(&mut self, attempt: Attempt) -> Flow {
        let number = attempt.number;
        self.log_resumption(&attempt);
        self.pending.insert(number, None);
        let (router, caller_request) = (Rc::clone(&self.router), Rc::clone(&self.caller_request));
        let last_event_id = self.last_event_id.borrow().clone();
        let task = async move {
            let result = run_attempt(router, caller_request, attempt, last_event_id).await;
            (number, TaskResult::Attempt(result))
        };
        let handle = self.tasks.spawn_local(task);
        self.running.insert(number, handle);
        Flow::Continue
    }

    /// Returns the id of the event after which the stream goes on, if it has begun and may be resumed.
    fn resume_after(&self) -> Option<String> {
        let forwarded = self.last_event_id.borrow().clone();
        forwarded.or_else(|| {
            let is_resumable = |state: &State| {
                state.requests.get(&self.id).is_some_and(|request| request.route.resumable)
            };
            let received = (self.router.dialect.last_event_id)(&self.caller_request.head.headers);
            received.filter(|_| self.router.read(is_resumable)).map(str::to_owned)
        })
    }

    /// Logs the event after which an attempt goes on.
    fn log_resumption(&self, attempt: &Attempt) {
        let is_stream = matches!(attempt.op, Op::Stream { .. } | Op::Decode { .. });
        if let Some(after) = self.resume_after().filter(|_| is_stream) {
            let line = basilbank::logs::Line::new("resume")
                .with("request", &self.caller_request.call.trace_id)
                .with("attempt", attempt.number)
                .with("after", after);
            log::info!("{line}");
        }
    }

    fn stop(&mut self, number: u32) -> Flow {
        if let Some(handle) = self.running.remove(&number) {
            handle.abort();
        }
        self.pending.remove(&number);
        Flow::Continue
    }

    fn handle_result(&mut self, number: u32, result: TaskResult) {
        // One that was stopped as it ended has no result: its successor was sent.
        if self.running.remove(&number).is_none() {
            return;
        }
        let outcome = match result {
            TaskResult::Attempt(result) => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    *pending = result.pending;
                }
                result.outcome
            }
            TaskResult::Relay(RelayEnd::Complete) => Outcome::Finished,
            TaskResult::Relay(RelayEnd::Broken) => Outcome::Broken(Damage::CutOff),
            TaskResult::Relay(RelayEnd::Closed) => Outcome::Broken(Damage::Closed),
            TaskResult::Relay(RelayEnd::Endless) => Outcome::Broken(Damage::Endless),
            TaskResult::Relay(RelayEnd::Misplaced(damage)) => Outcome::Broken(damage),
        };
        let finished = outcome == Outcome::Finished;
        let event = Event::AttemptOutcome { request: self.id, attempt: number, outcome };
        self.router.dispatch(event);
        if finished {
            self.finish_stream();
        }
    }

    /// Completes the stream. If the channel is full because the caller is slow, the end is sent
    /// later.
    fn finish_stream(&mut self) {
        let Responder::Streaming(chunks) = std::mem::replace(&mut self.responder, Responder::Done)
        else {
            return;
        };
        spawn_local(async move { drop(chunks.send(Chunk::End).await) });
        self.effects.close();
    }

    fn deliver(&mut self, number: u32) -> Flow {
        let Some(Some(pending)) = self.pending.remove(&number) else { return Flow::Continue };
        match pending {
            PendingAnswer::Full(answer) => {
                let body = ResponseBody::Full(Some(answer.body));
                self.respond(forwarded_response(answer.status, answer.headers, body));
                Flow::Stop
            }
            PendingAnswer::Stream(stream) => {
                self.relay_stream(number, *stream);
                Flow::Continue
            }
        }
    }

    fn relay_stream(&mut self, number: u32, mut stream: crate::attempt::AnswerStream) {
        let chunks = match &self.responder {
            Responder::Streaming(chunks) => chunks.clone(),
            Responder::Waiting(_) | Responder::Done => {
                let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
                let mut headers = std::mem::take(&mut stream.headers);
                // The stream may continue at another endpoint, so its length is unknown.
                headers.remove(CONTENT_LENGTH);
                let body = ResponseBody::Chunks(receiver);
                self.respond(forwarded_response(stream.status, headers, body));
                self.responder = Responder::Streaming(sender.clone());
                sender
            }
        };
        let (router, request) = (Rc::clone(&self.router), self.id);
        let dispatcher = Rc::clone(&router);
        let on_progress = move |progress| {
            dispatcher.dispatch(match progress {
                StreamProgress::FirstEvent => Event::FirstEvent { request, attempt: number },
                StreamProgress::WroteOn => Event::WroteOn { request, attempt: number },
                StreamProgress::Silent(silent_for) => {
                    Event::AttemptSilent { request, attempt: number, silent_for }
                }
                StreamProgress::Resumed => Event::AttemptResumed { request, attempt: number },
            });
        };
        let last_forwarded = Rc::clone(&self.last_event_id);
        let after = self.resume_after();
        let task = async move {
            let ended = relay(router, stream, chunks, after, last_forwarded, on_progress).await;
            (number, TaskResult::Relay(ended))
        };
        let handle = self.tasks.spawn_local(task);
        self.running.insert(number, handle);
    }

    fn refuse(&mut self, refusal: Refusal, retry_after: Option<Duration>) -> Flow {
        let status = (self.router.dialect.refusal_status)(refusal);
        let answer = ErrorResponse::new(status, refusal.as_str()).with_retry_after(retry_after);
        self.respond(answer.to_response());
        Flow::Stop
    }

    fn respond(&mut self, response: Response<ResponseBody>) {
        if let Responder::Waiting(sender) = std::mem::replace(&mut self.responder, Responder::Done)
        {
            // A caller that has just left needs no answer.
            let _ = sender.send(response);
        }
    }
}
