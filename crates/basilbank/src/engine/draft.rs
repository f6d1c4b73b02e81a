//! Prefill, decode and resumed streams.

use std::{sync::Arc, time::Duration};

use basilbank_core::{
    effect::CompletionCall,
    event::{EngineEvent, Failure},
    ids::{AttemptKey, EndpointId},
};
use ureq::{Body, Timeout, http::Response};

use crate::{
    callers::HeldDraft,
    engine::{
        Worker, agent,
        attempts::Phase,
        lines::{Lines, NoLine},
        protocol::{DecodeBody, NotRun, PrefillBody, Prefilled, StreamLine},
        received::{Pieces, read_whole},
    },
    sync::lock,
};

/// Longest answer that is not a stream, in bytes.
const SMALL_ANSWER: u64 = 64 << 10;

/// Where a stream goes on.
#[derive(Clone, Debug)]
pub struct ResumeCall {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The stream there.
    pub stream: String,
    /// The first token wanted.
    pub offset: u32,
}

/// Whose lines a stream must carry.
struct Expected {
    request: String,
    number: u32,
}

impl Worker {
    /// Runs a prefill to its end.
    pub fn prefill(&self, call: &CompletionCall) {
        if !self.attempts.is_live(call.attempt) {
            return;
        }
        let done = match self.run_prefill(call) {
            Ok(done) => done,
            Err(failure) => return self.fail(call.attempt, failure),
        };
        if self.attempts.end(call.attempt).is_none() {
            // The core gave the attempt up while the prefill ran. Its DELETE may have overtaken the
            // POST, and the KV cache would stay until it is evicted.
            self.drop_held(call.endpoint, &done.handle);
            return;
        }
        self.send(EngineEvent::Prefilled {
            attempt: call.attempt,
            handle: done.handle,
            prompt_tokens: done.tokens,
            cached_tokens: done.cached,
            bytes: done.bytes,
            prefill_time: Duration::from_millis(done.spent_ms),
        });
    }

    fn run_prefill(&self, call: &CompletionCall) -> Result<Prefilled, Failure> {
        let draft = self.callers.draft(call.caller).ok_or(Failure::Unreachable)?;
        let names = self.published.names();
        let model = names.model_at(call.endpoint).ok_or(Failure::Unreachable)?.name.as_str();
        let body = self.prefill_body(call, model, &draft);
        let silence = call.timeout;
        let mut response =
            self.post(call, "/prefill", body, silence).map_err(|e| agent::failure(&e))?;
        let text = read_small(&mut response)?;
        if response.status() == 503 {
            return Err(NotRun::failure(&text));
        }
        let done: Prefilled = serde_json::from_slice(&text).map_err(|_| Failure::Broken)?;
        let own = done.request == call.request.to_string() && done.attempt == call.attempt_number;
        if own { Ok(done) } else { Err(Failure::Broken) }
    }

    fn prefill_body(&self, call: &CompletionCall, model: &str, draft: &HeldDraft) -> Vec<u8> {
        let given = lock(&draft.given);
        encode(&PrefillBody {
            request: call.request.to_string(),
            attempt: call.attempt_number,
            owner: &self.config.owner,
            model,
            prompt: &draft.prompt,
            continuation: &given,
            priority: call.priority,
            source_dc: &self.config.data_centre,
        })
    }

    /// Imports a KV cache and reads its stream to the end.
    pub fn decode(&self, call: &CompletionCall, source: &Arc<str>, handle: &str) {
        if !self.attempts.is_live(call.attempt) {
            return;
        }
        let result = self.start_decode(call, source, handle);
        let expected = Expected { request: call.request.to_string(), number: call.attempt_number };
        match result {
            Ok(body) => self.read(call.attempt, call.endpoint, Some(&expected), body),
            Err(failure) => self.fail(call.attempt, failure),
        }
    }

    fn start_decode(
        &self,
        call: &CompletionCall,
        source: &str,
        handle: &str,
    ) -> Result<Body, Failure> {
        let names = self.published.names();
        let model = names.model_at(call.endpoint).ok_or(Failure::Unreachable)?.name.as_str();
        let body = encode(&DecodeBody {
            request: call.request.to_string(),
            attempt: call.attempt_number,
            owner: &self.config.owner,
            model,
            source,
            handle,
            max_tokens: call.remaining,
            priority: call.priority,
        });
        let response = self.post(call, "/decode", body, self.config.silence);
        stream_body(response.map_err(|e| import_failure(&e))?)
    }

    /// Takes a stream over and reads on from it.
    pub fn resume(&self, call: &ResumeCall) {
        if !self.attempts.is_live(call.attempt) {
            return;
        }
        match self.start_resume(call) {
            Ok(body) => {
                let (attempt, stream) = (call.attempt, call.stream.clone());
                self.send(EngineEvent::Started { attempt, stream });
                self.read(attempt, call.endpoint, None, body);
            }
            Err(failure) => self.fail(call.attempt, failure),
        }
    }

    fn start_resume(&self, call: &ResumeCall) -> Result<Body, Failure> {
        let base = self.base(call.endpoint).ok_or(Failure::Unreachable)?;
        let owner = self.config.owner.query();
        let url = format!("{base}/streams/{}?from={}&{owner}", call.stream, call.offset);
        let response = self.agent.get(url).call().map_err(|e| agent::failure(&e))?;
        if response.status() == 404 {
            return Err(Failure::Evicted);
        }
        stream_body(response)
    }

    fn read(
        &self,
        attempt: AttemptKey,
        endpoint: EndpointId,
        expected: Option<&Expected>,
        body: Body,
    ) {
        let mut lines = Lines::new(Pieces(body.into_reader()));
        loop {
            let line = match lines.next::<StreamLine>() {
                Ok(line) => line,
                Err(reason) => return self.lost(attempt, reason),
            };
            if !self.attempts.is_live(attempt) {
                if let Some(stream) = line.stream {
                    // The core gave the attempt up while the endpoint imported: the stream has
                    // started since, and nobody else knows its name.
                    self.drop_held(endpoint, &stream);
                }
                return;
            }
            if !self.take_line(attempt, expected, line) {
                return;
            }
        }
    }

    /// A stream ended without its last line.
    fn lost(&self, attempt: AttemptKey, reason: NoLine) {
        let Some(phase) = self.attempts.end(attempt) else { return };
        let stalled = phase == Phase::Import && reason == NoLine::Silent;
        let failure = if stalled { Failure::Stalled } else { Failure::Broken };
        self.send(EngineEvent::Failed { attempt, failure });
    }

    /// Hands a line on; `false` when it was the last one.
    fn take_line(
        &self,
        attempt: AttemptKey,
        expected: Option<&Expected>,
        line: StreamLine,
    ) -> bool {
        if let Some(reason) = line.done {
            let Some(tokens) = line.tokens else {
                self.fail(attempt, Failure::Broken);
                return false;
            };
            if self.attempts.forget(attempt) {
                self.send(EngineEvent::Finished { attempt, reason, tokens });
            }
            return false;
        }
        if line.taken {
            self.fail(attempt, Failure::TakenOver);
            return false;
        }
        if let Some(offset) = line.offset {
            self.send(EngineEvent::Tokens { attempt, offset, texts: line.texts });
            return true;
        }
        let (Some(stream), Some(expected)) = (line.stream, expected) else { return true };
        let own = line.request.as_ref() == Some(&expected.request)
            && line.attempt == Some(expected.number);
        if !own {
            self.fail(attempt, Failure::Broken);
            return false;
        }
        if self.attempts.streams(attempt) {
            self.send(EngineEvent::Started { attempt, stream });
        }
        true
    }

    /// Posts to a draft's endpoint. No piece of the answer may take longer than `silence`.
    fn post(
        &self,
        call: &CompletionCall,
        path: &str,
        body: Vec<u8>,
        silence: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let base = self.base(call.endpoint).ok_or(ureq::Error::ConnectionFailed)?;
        let request = self.agent.post(format!("{base}{path}")).config();
        let request = request.timeout_recv_response(Some(call.timeout));
        let request = request.timeout_per_read(Some(silence)).build();
        request.content_type("application/json").send(body)
    }
}

/// What a failed decode call proves: an endpoint that took the call but is silent waits for the KV
/// cache.
fn import_failure(error: &ureq::Error) -> Failure {
    match error {
        ureq::Error::Timeout(Timeout::RecvResponse | Timeout::PerRead) => Failure::Stalled,
        _ => agent::failure(error),
    }
}

fn stream_body(mut response: Response<Body>) -> Result<Body, Failure> {
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        503 => Err(NotRun::failure(&read_small(&mut response)?)),
        _ => Err(Failure::Broken),
    }
}

fn read_small(response: &mut Response<Body>) -> Result<Vec<u8>, Failure> {
    read_whole(response, SMALL_ANSWER).map_err(|_| Failure::Broken)
}

/// These bodies have string keys and plain values only, which always encode.
fn encode(body: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
