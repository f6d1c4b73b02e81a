//! Log lines that say which answer was taken for what.

use basilbank::logs::Line;
use basilbank_forward::{effect::Target, prelude::*};
use hyper::Response;

use crate::{attempt::CallerRequest, belonging::AnswerOrigin, router::Router};

impl Router {
    /// Logs the answer that proves that an endpoint has not run an attempt.
    pub(crate) fn log_refusal<T>(
        &self,
        caller_request: &CallerRequest,
        attempt: &Attempt,
        answer: &Response<T>,
        origin: AnswerOrigin,
    ) {
        let line = Line::new("endpoint_refused")
            .with("request", &caller_request.call.trace_id)
            .with("attempt", attempt.number)
            .with("op", attempt.op.as_str());
        log::info!("{}", self.describe_answer(line, &attempt.target, answer, origin));
    }

    /// Logs and counts an answer that doesn't belong to the request that was sent, whose id is `due`.
    pub(crate) fn log_foreign_answer<T>(
        &self,
        purpose: Purpose,
        due: Option<&str>,
        target: &Target,
        answer: &Response<T>,
        origin: AnswerOrigin,
    ) {
        self.metrics.count_foreign_answer(purpose);
        let line = Line::new("foreign_answer")
            .with("request", due.unwrap_or_default())
            .with("purpose", purpose.as_str());
        log::info!("{}", self.describe_answer(line, target, answer, origin));
    }

    fn describe_answer<T>(
        &self,
        line: Line,
        target: &Target,
        answer: &Response<T>,
        origin: AnswerOrigin,
    ) -> Line {
        let came = (self.dialect.attempt_id)(answer.headers());
        let line = line
            .with("instance", &target.instance)
            .with("status", answer.status().as_u16())
            .with("came", came.unwrap_or_default());
        match (origin, target.via) {
            (AnswerOrigin::Direct(place), _) => {
                line.with("connection", place.connection).with("answer", place.answer)
            }
            (AnswerOrigin::Peer, Some(peer)) => line.with("via", peer),
            (AnswerOrigin::Peer, None) => line,
        }
    }
}
