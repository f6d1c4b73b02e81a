//! Which answer belongs to a request that was sent to an endpoint.
//!
//! An endpoint in trouble may answer a request again, late, where the answer to the next one over the
//! connection is due. Taken for that one's answer, a refusal would promise that a call was not run that
//! runs, and a failure would reach another caller.

use std::rc::Rc;

use basilbank_forward::{effect::Target, prelude::*};
use hyper::Response;

use crate::{
    connections::{AnswerPlace, CallError},
    router::Router,
};

/// Who can tell what came over the connection before an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerOrigin {
    /// The answer came over a connection of this daemon.
    Direct(AnswerPlace),
    /// A peer passes the answer on, and has checked that it belongs to the request.
    Peer,
}

impl AnswerOrigin {
    /// Returns whether no earlier answer can have been written over the connection.
    fn is_first(self) -> bool {
        match self {
            AnswerOrigin::Direct(place) => place.answer <= 1,
            AnswerOrigin::Peer => true,
        }
    }
}

/// Returns whether an answer with the id `came` belongs to the request with the id `due`.
///
/// Endpoints echo the id, but an instance that the request isn't meant for may refuse it without. Such a
/// refusal counts where nothing else can have been answered.
#[must_use]
pub fn belongs(due: Option<&str>, came: Option<&str>, is_refusal: bool, is_first: bool) -> bool {
    match (due, came) {
        (Some(due), Some(came)) => due == came,
        (Some(_), None) => is_refusal && is_first,
        (None, Some(_)) => false,
        (None, None) => true,
    }
}

impl Router {
    /// Checks that an answer belongs to the request with the id `due`.
    ///
    /// # Errors
    /// Returns an error if it doesn't. It proves neither that the request was run nor that it wasn't.
    pub(crate) fn check_answer<T>(
        self: &Rc<Self>,
        purpose: Purpose,
        due: Option<&str>,
        target: &Target,
        answer: &Response<T>,
        origin: AnswerOrigin,
    ) -> Result<(), CallError> {
        let came = (self.dialect.attempt_id)(answer.headers());
        let is_refusal = (self.dialect.is_refusal)(answer.status(), answer.headers());
        if belongs(due, came, is_refusal, origin.is_first()) {
            return Ok(());
        }
        self.log_foreign_answer(purpose, due, target, answer, origin);
        Err(CallError::Broken(Damage::Foreign))
    }
}
