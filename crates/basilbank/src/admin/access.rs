//! Which path gives what, and who may see it.

use std::sync::Arc;

use basilbank_config::key_hash;
use basilbank_core::{catalogue::KeyHash, state::State};
use rouille::{Request, Response};
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::{
    admin::{check, lists, requests},
    history::History,
    metrics::Metrics,
    names::Names,
    published::Published,
    queries::Queries,
};

/// Content type of the metrics.
const METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What operators may see, and the key that they need for it.
#[derive(Clone, Debug)]
pub struct Access {
    /// SHA-256 of the operators' key. Hashes have one length, so comparing them says nothing of the
    /// key's.
    pub key: KeyHash,
    /// Snapshots of the state.
    pub published: Arc<Published>,
    /// Questions about the state.
    pub queries: Queries,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// What happened to the latest requests.
    pub history: Arc<History>,
}

/// A list of flat objects.
#[derive(Serialize, Debug)]
struct Items<T> {
    items: Vec<T>,
}

/// An error, as all of the API are told.
#[derive(Serialize, Debug)]
struct Problem {
    error: String,
}

impl Access {
    /// Answers a request.
    #[must_use]
    pub fn route(&self, request: &Request) -> Response {
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/healthz") => yes_or_no(self.published.is_alive(), "ok", "stuck"),
            ("GET", "/readyz") => yes_or_no(self.published.is_ready(), "ready", "not ready"),
            ("GET", "/metrics") => Response::from_data(METRICS, self.metrics.text()),
            _ if !self.is_allowed(request) => {
                problem(401, "the operators' key is needed: Authorization: Bearer KEY")
                    .with_additional_header("WWW-Authenticate", "Bearer")
            }
            ("GET", path) => self.read(path),
            ("POST", "/admin/check") => check::answer(request, &self.published.names()),
            ("POST", _) => problem(404, "there is no such path"),
            _ => problem(405, "this method is not taken here")
                .with_additional_header("Allow", "GET, POST"),
        }
    }

    fn read(&self, path: &str) -> Response {
        match path {
            "/admin/status" => self.ask(|state, _| lists::status(state)),
            "/admin/catalogue" => self.list(lists::catalogue),
            "/admin/endpoints" => self.list(lists::endpoints),
            "/admin/teams" => self.list(lists::teams),
            "/admin/peers" => self.list(lists::peers),
            "/admin/orders" => self.list(lists::orders),
            "/admin/requests" => self.list(requests::in_progress),
            _ => match path.strip_prefix("/admin/requests/") {
                Some(id) => requests::explain(id, &self.history, &self.published.names()),
                None => problem(404, "there is no such path"),
            },
        }
    }

    fn is_allowed(&self, request: &Request) -> bool {
        let presented = request.header("Authorization").and_then(|v| v.strip_prefix("Bearer "));
        presented.is_some_and(|key| key_hash(key).ct_eq(&self.key).into())
    }

    fn list<T: Serialize + Send + 'static>(
        &self,
        rows: impl FnOnce(&State, &Names) -> Vec<T> + Send + 'static,
    ) -> Response {
        self.ask(|state, names| Items { items: rows(state, names) })
    }

    fn ask<T: Serialize + Send + 'static>(
        &self,
        question: impl FnOnce(&State, &Names) -> T + Send + 'static,
    ) -> Response {
        let names = self.published.names();
        match self.queries.ask(move |state| question(state, &names)) {
            Some(answer) => Response::json(&answer),
            None => problem(503, "the event loop does not answer"),
        }
    }
}

fn yes_or_no(holds: bool, yes: &str, no: &str) -> Response {
    if holds {
        return Response::text(format!("{yes}\n"));
    }
    Response::text(format!("{no}\n")).with_status_code(503)
}

/// An error's answer.
#[must_use]
pub fn problem(status: u16, message: &str) -> Response {
    Response::json(&Problem { error: message.to_owned() }).with_status_code(status)
}
