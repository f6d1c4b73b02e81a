//! One caller's request, from its head to the end of its answer.

use std::{collections::HashMap, rc::Rc, time::Duration};

use basilbank_forward::prelude::*;
use hyper::{Request, Response, StatusCode, body::Incoming, header::CONTENT_LENGTH};
use tokio::{
    sync::{mpsc, oneshot},
    task::{AbortHandle, JoinSet, spawn_local},
};

use crate::{
    answer::{OutBody, OwnAnswer, Piece, passed_on},
    body::{BadBody, read_body},
    calls::{Came, Original, Parked, carry_out},
    digest::digest,
    relay::{Ended, relay},
    router::{Router, Step},
};

/// Pieces of a stream that may wait for a slow caller.
const PIECES: usize = 32;

/// Serves one request.
pub async fn serve(router: Rc<Router>, request: Request<Incoming>) -> Response<OutBody> {
    let (head, body) = request.into_parts();
    let most = router.read(|state| state.routes.limits.body_bytes);
    let body = match read_body(body, most).await {
        Ok(body) => body,
        Err(bad) => {
            let answer = router.read(|state| unless_outdated(bad_body(bad), state));
            return refuse_early(&router, &answer, "");
        }
    };
    let (id, steps) = router.register();
    let call = match (router.dialect.call)(id, &head) {
        Ok(call) => Call { digest: digest(&head, &body), ..call },
        Err(bad) => {
            router.unregister(id);
            let answer = OwnAnswer::new(StatusCode::BAD_REQUEST, bad.finding);
            return refuse_early(&router, &answer, &bad.trace);
        }
    };
    let original = Rc::new(Original { call, head, body });
    let (front, answer) = oneshot::channel();
    let drive = Drive {
        router: Rc::clone(&router),
        id,
        original,
        steps,
        work: JoinSet::new(),
        running: HashMap::new(),
        parked: HashMap::new(),
        front: Front::Waiting(front),
        last: None,
    };
    spawn_local(drive.run());
    // The task always answers; it would only be gone after a panic.
    let lost = || OwnAnswer::new(StatusCode::INTERNAL_SERVER_ERROR, "lost").response();
    answer.await.unwrap_or_else(|_| lost())
}

/// The answer to a body that can't be used.
fn bad_body(bad: BadBody) -> OwnAnswer {
    match bad {
        BadBody::TooLong => OwnAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large"),
        BadBody::Broken => OwnAnswer::new(StatusCode::BAD_REQUEST, "bad_body"),
        BadBody::Slow => OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "slow_body"),
    }
}

/// Too long by a configuration that is no longer in force may be allowed: the caller may come back.
fn unless_outdated(answer: OwnAnswer, state: &State) -> OwnAnswer {
    if answer.status != StatusCode::PAYLOAD_TOO_LARGE || !state.is_configuration_outdated() {
        return answer;
    }
    let later = OwnAnswer::new(StatusCode::SERVICE_UNAVAILABLE, Refusal::Outdated.as_str());
    later.with_after(Some(state.tuning.retry_after))
}

/// Refuses a request that the decisions never heard of.
fn refuse_early(router: &Router, answer: &OwnAnswer, trace: &str) -> Response<OutBody> {
    router.metrics.refused_early(answer.reason);
    let line = basilbank::logs::Line::new("refused_early")
        .with("request", trace)
        .with("reason", answer.reason);
    log::info!("{line}");
    answer.response()
}

/// Where the answer goes.
enum Front {
    /// Nothing has been sent to the caller.
    Waiting(oneshot::Sender<Response<OutBody>>),
    /// A stream is being sent.
    Streaming(mpsc::Sender<Piece>),
    /// All has been handed over.
    Done,
}

impl Front {
    /// The caller left.
    async fn closed(&mut self) {
        match self {
            Front::Waiting(front) => front.closed().await,
            Front::Streaming(pieces) => pieces.closed().await,
            Front::Done => std::future::pending().await,
        }
    }
}

/// What a piece of the task's work came to.
enum Worked {
    Came(Came),
    Ended(Ended),
}

/// The task of one request.
struct Drive {
    router: Rc<Router>,
    id: RequestId,
    original: Rc<Original>,
    steps: mpsc::UnboundedReceiver<Step>,
    work: JoinSet<(u32, Worked)>,
    running: HashMap<u32, AbortHandle>,
    parked: HashMap<u32, Option<Parked>>,
    front: Front,
    last: Option<String>,
}

/// Whether the task goes on.
enum Flow {
    On,
    Over,
}

impl Drive {
    async fn run(mut self) {
        let call = Box::new(self.original.call.clone());
        self.router.dispatch(Event::Arrived(call));
        loop {
            let flow = tokio::select! {
                biased;
                step = self.steps.recv() => self.take(step),
                () = self.front.closed() => Flow::Over,
                Some(worked) = self.work.join_next() => {
                    if let Ok((number, worked)) = worked {
                        self.worked(number, worked);
                    }
                    Flow::On
                }
            };
            if matches!(flow, Flow::Over) {
                break;
            }
        }
        // Whatever is left of the request is stopped: the caller has its answer, or is gone.
        self.router.dispatch(Event::CallerLeft(self.id));
        self.router.unregister(self.id);
    }

    fn take(&mut self, step: Option<Step>) -> Flow {
        match step {
            None => Flow::Over,
            Some(Step::Start(attempt)) => self.start(attempt),
            Some(Step::Stop(number)) => self.stop(number),
            Some(Step::Deliver(number)) => self.deliver(number),
            Some(Step::Refuse(refusal, after)) => self.refuse(refusal, after),
            Some(Step::Cut) => Flow::Over,
        }
    }

    fn start(&mut self, attempt: Attempt) -> Flow {
        let number = attempt.number;
        self.parked.insert(number, None);
        let (router, original) = (Rc::clone(&self.router), Rc::clone(&self.original));
        let last = self.last.clone();
        let work = async move {
            let came = carry_out(router, original, attempt, last).await;
            (number, Worked::Came(came))
        };
        let handle = self.work.spawn_local(work);
        self.running.insert(number, handle);
        Flow::On
    }

    fn stop(&mut self, number: u32) -> Flow {
        if let Some(handle) = self.running.remove(&number) {
            handle.abort();
        }
        self.parked.remove(&number);
        Flow::On
    }

    fn worked(&mut self, number: u32, worked: Worked) {
        self.running.remove(&number);
        let outcome = match worked {
            Worked::Came(came) => {
                if let Some(parked) = self.parked.get_mut(&number) {
                    *parked = came.parked;
                }
                came.outcome
            }
            Worked::Ended(ended) => {
                if ended.last.is_some() {
                    self.last = ended.last;
                }
                match ended.whole {
                    true => Outcome::Finished,
                    false => Outcome::Broken(Damage::CutOff),
                }
            }
        };
        let finished = outcome == Outcome::Finished;
        let event = Event::AttemptOutcome { request: self.id, attempt: number, outcome };
        self.router.dispatch(event);
        if finished {
            self.finish();
        }
    }

    /// Ends the stream whole. The channel has room, or the caller is slow and gets the end later.
    fn finish(&mut self) {
        let Front::Streaming(pieces) = std::mem::replace(&mut self.front, Front::Done) else {
            return;
        };
        spawn_local(async move { drop(pieces.send(Piece::End).await) });
        self.steps.close();
    }

    fn deliver(&mut self, number: u32) -> Flow {
        let Some(Some(parked)) = self.parked.remove(&number) else { return Flow::On };
        match parked {
            Parked::Whole(answer) => {
                let body = OutBody::Whole(Some(answer.body));
                self.answer(passed_on(answer.status, answer.headers, body));
                Flow::Over
            }
            Parked::Stream(stream) => {
                self.stream(number, *stream);
                Flow::On
            }
        }
    }

    fn stream(&mut self, number: u32, mut stream: crate::calls::Stream) {
        let pieces = match &self.front {
            Front::Streaming(pieces) => pieces.clone(),
            Front::Waiting(_) | Front::Done => {
                let (sender, receiver) = mpsc::channel(PIECES);
                let mut headers = std::mem::take(&mut stream.headers);
                // The stream may go on elsewhere, so its length is open.
                headers.remove(CONTENT_LENGTH);
                let body = OutBody::Pieces(receiver);
                self.answer(passed_on(stream.status, headers, body));
                self.front = Front::Streaming(sender.clone());
                sender
            }
        };
        let router = Rc::clone(&self.router);
        let work = async move {
            let ended = relay(router, stream, pieces).await;
            (number, Worked::Ended(ended))
        };
        let handle = self.work.spawn_local(work);
        self.running.insert(number, handle);
    }

    fn refuse(&mut self, refusal: Refusal, after: Option<Duration>) -> Flow {
        let status = (self.router.dialect.status)(refusal);
        let answer = OwnAnswer::new(status, refusal.as_str()).with_after(after);
        self.answer(answer.response());
        Flow::Over
    }

    fn answer(&mut self, response: Response<OutBody>) {
        if let Front::Waiting(front) = std::mem::replace(&mut self.front, Front::Done) {
            // A caller that has just left needs no answer.
            let _ = front.send(response);
        }
    }
}
