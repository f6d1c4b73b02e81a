//! Client of the daemon's admin API.

use std::time::Duration;

use serde_json::Value;
use ureq::{Agent, Body, http::Response};

use crate::{args::Options, failure::Failure, table::format_cell};

/// Maximum time of a request, after which the daemon counts as unreachable.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of an answer. A list of 10,000 teams takes a few megabytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Maximum size of the body of an error answer.
const MAX_ERROR_BODY_BYTES: u64 = 64 << 10;

/// Client of one daemon's admin API.
#[derive(Debug)]
pub struct AdminClient {
    agent: Agent,
    base: String,
    key: Option<String>,
}

impl AdminClient {
    /// Creates a client for the daemon that the options name.
    ///
    /// # Errors
    ///
    /// Returns an error if the options name no daemon.
    pub fn new(options: &Options) -> Result<AdminClient, Failure> {
        let Some(admin) = &options.admin else {
            let message = "no daemon is named: give --admin URL or set BASILBANK_ADMIN";
            return Err(Failure::Usage(message.to_owned()));
        };
        let admin = admin.trim_end_matches('/');
        let base = if admin.contains("://") { admin.to_owned() } else { format!("http://{admin}") };
        // Without `proxy(None)` the key could go to a proxy that an environment variable names.
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        Ok(AdminClient { agent: Agent::new_with_config(config), base, key: options.key.clone() })
    }

    /// Requests a path under `/admin/`.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` with `what` if the daemon answers 404, and another failure if the daemon
    /// can't be reached, refuses the key or request, or sends an invalid answer.
    pub fn get(&self, path: &str, what: &str) -> Result<Value, Failure> {
        let mut request = self.agent.get(format!("{}/admin/{path}", self.base));
        if let Some(key) = &self.key {
            request = request.header("Authorization", format!("Bearer {key}"));
        }
        let answer = request.call().map_err(|error| self.request_failure(&error))?;
        self.parse_answer(answer, what)
    }

    /// Posts to a path under `/admin/`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as `get`.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        let mut request = self.agent.post(format!("{}/admin/{path}", self.base));
        if let Some(key) = &self.key {
            request = request.header("Authorization", format!("Bearer {key}"));
        }
        let request = request.header("Content-Type", "application/json");
        let answer =
            request.send(body.to_string()).map_err(|error| self.request_failure(&error))?;
        self.parse_answer(answer, path)
    }

    fn request_failure(&self, error: &ureq::Error) -> Failure {
        match error {
            ureq::Error::Http(_) => Failure::Usage("the key can't be sent in a header".to_owned()),
            ureq::Error::BadUri(_) => Failure::Usage(format!("{} is not a URL", self.base)),
            _ => Failure::Unreachable(format!("{}: {error}", self.base)),
        }
    }

    /// Formats the `error` field of an answer with a status other than 200, if it has one.
    fn error_message(&self, answer: &mut Response<Body>) -> String {
        let text = answer.body_mut().with_config().limit(MAX_ERROR_BODY_BYTES).read_to_string();
        let body: Option<Value> = text.ok().and_then(|text| serde_json::from_str(&text).ok());
        let reason = body.as_ref().and_then(|body| body.get("error")).map(format_cell);
        format!("{} answers: {}", self.base, reason.unwrap_or("no reason".to_owned()))
    }

    fn parse_answer(&self, mut answer: Response<Body>, what: &str) -> Result<Value, Failure> {
        match answer.status().as_u16() {
            200 => {}
            400 => return Err(Failure::Usage(self.error_message(&mut answer))),
            401 | 403 => return Err(Failure::KeyRefused),
            404 => return Err(Failure::NotFound(what.to_owned())),
            status => {
                let reason = self.error_message(&mut answer);
                return Err(Failure::Unreachable(format!("{reason} (status {status})")));
            }
        }
        let text = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_string();
        let text = text.map_err(|error| self.request_failure(&error))?;
        let invalid_json =
            |_| Failure::Unreachable(format!("{}: the answer is not JSON", self.base));
        serde_json::from_str(&text).map_err(invalid_json)
    }
}
