//! The daemon's admin API.

use std::time::Duration;

use serde_json::Value;
use ureq::{Agent, Body, http::Response};

use crate::{args::Options, failure::Failure, table::format_cell};

/// A daemon that takes longer is as good as unreachable.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Most bytes of an answer: a list of 10,000 teams has some megabytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Most bytes of an answer that says why not.
const MAX_ERROR_BODY_BYTES: u64 = 64 << 10;

/// A daemon's admin API.
#[derive(Debug)]
pub struct AdminClient {
    agent: Agent,
    base: String,
    key: Option<String>,
}

impl AdminClient {
    /// The daemon that the options name.
    ///
    /// # Errors
    ///
    /// They name none.
    pub fn new(options: &Options) -> Result<AdminClient, Failure> {
        let Some(admin) = &options.admin else {
            let message = "no daemon is named: give --admin URL or set BASILBANK_ADMIN";
            return Err(Failure::Usage(message.to_owned()));
        };
        let admin = admin.trim_end_matches('/');
        let base = if admin.contains("://") { admin.to_owned() } else { format!("http://{admin}") };
        // The key must not go to a proxy that some variable of the environment names.
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        Ok(AdminClient { agent: Agent::new_with_config(config), base, key: options.key.clone() })
    }

    /// Reads a path under `/admin/`.
    ///
    /// # Errors
    ///
    /// `NotFound` with `what` when the daemon says so; others.
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
    /// Like `get`.
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

    /// The reason that an answer other than 200 gives, if it gives one.
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
