//! The HTTP client for endpoints, and what its errors prove.

use std::time::Duration;

use basilbank_core::event::Failure;
use ureq::{
    Agent, Body, SendBody, Timeout,
    config::Config,
    http::{Request, Response},
    middleware::MiddlewareNext,
    unversioned::resolver::DefaultResolver,
};

use crate::{answer_head::check_head, engine::dial::Dial};

/// Time for a connection to be made.
pub const CONNECT: Duration = Duration::from_secs(1);

/// An idle connection is not used again after this. Short, so that a request seldom meets one that
/// the endpoint is just closing: that would have to count as sent.
const IDLE_AGE: Duration = Duration::from_secs(4);

/// Bytes of one connection's read and write buffers.
const READ_BUFFER: usize = 16 << 10;
const WRITE_BUFFER: usize = 16 << 10;

/// Bytes of an answer's headers.
const HEADERS: usize = 32 << 10;

/// Connections kept for the next call: to one endpoint, and together.
const IDLE_PER_HOST: usize = 32;
const IDLE_TOTAL: usize = 512;

/// An HTTP client that passes on what comes: it follows no redirects, treats no status of a final answer
/// as an error, decompresses nothing and adds no headers. An answer whose head is malformed is an error.
/// Reading one piece of an answer takes `per_read` at most.
#[must_use]
pub fn agent(per_read: Duration) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .middleware(check_answer)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .allow_non_standard_methods(true)
        .max_response_header_size(HEADERS)
        .input_buffer_size(READ_BUFFER)
        .output_buffer_size(WRITE_BUFFER)
        .max_idle_connections(IDLE_TOTAL)
        .max_idle_connections_per_host(IDLE_PER_HOST)
        .max_idle_age(IDLE_AGE)
        .timeout_connect(Some(CONNECT))
        .timeout_per_read(Some(per_read))
        .timeout_per_write(Some(per_read))
        .build();
    Agent::with_parts(config, Dial::default(), DefaultResolver::default())
}

fn check_answer(
    request: Request<SendBody<'_>>,
    next: MiddlewareNext<'_>,
) -> Result<Response<Body>, ureq::Error> {
    let response = next.handle(request)?;
    let checked = check_head(response.status(), response.version(), response.headers());
    checked.map_err(|fault| ureq::Error::Other(Box::new(fault)))?;
    Ok(response)
}

/// What an error proves. Everything but a failure to connect counts as sent.
#[must_use]
pub fn failure(error: &ureq::Error) -> Failure {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => Failure::Unreachable,
        _ => Failure::Broken,
    }
}
