//! The baseline's calls to endpoints, and the handling of their results.

use std::time::Duration;

use crate::{
    catalogue::{EntryTarget, Role},
    effect::{Answer, CompletionCall, Effect, EngineCall, Progress},
    ids::{AttemptKey, CallerId, EndpointId, RequestKey},
    naive::{Naive, Stage},
    reason::{Outcome, Refusal},
    time::Now,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

impl Naive {
    /// Sends a request to the next endpoint by round robin.
    pub(super) fn start_attempt(&mut self, key: RequestKey, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(key) else { return };
        let role = match job.target {
            EntryTarget::Model(_) => Role::Prefill,
            EntryTarget::Service(_) => Role::Plain,
        };
        let Some(endpoint) = self.next_endpoint(job.target, role) else {
            return self.refuse_job(key, Refusal::NoEndpoint, out);
        };
        let attempt = self.attempts.insert(key);
        let job = &mut self.jobs[key];
        job.attempts += 1;
        job.stage = Stage::Running(attempt, endpoint);
        let (caller, request) = (job.caller, job.id);
        let resume = job.completion.as_ref().and_then(|d| d.resume.clone());
        let call = match (resume, role) {
            (Some(resume), _) => EngineCall::Resume {
                attempt,
                caller,
                request,
                endpoint: resume.endpoint,
                stream: resume.stream,
                offset: resume.offset,
            },
            (None, Role::Plain) => {
                EngineCall::Plain { attempt, caller, request, endpoint, timeout: CALL_TIMEOUT }
            }
            (None, _) => EngineCall::Prefill(self.completion_call(key, attempt, endpoint)),
        };
        out.push(Effect::Engine(call));
    }

    fn next_endpoint(&mut self, target: EntryTarget, role: Role) -> Option<EndpointId> {
        let all = self.view.serving(target, role);
        self.next_index += 1;
        all.get(self.next_index.checked_rem(all.len())?).copied()
    }

    fn completion_call(
        &self,
        key: RequestKey,
        attempt: AttemptKey,
        endpoint: EndpointId,
    ) -> CompletionCall {
        let job = &self.jobs[key];
        let class = self.view.entry(job.entry).and_then(|e| self.view.class(e.class));
        CompletionCall {
            attempt,
            caller: job.caller,
            request: job.id,
            attempt_number: job.attempts - 1,
            endpoint,
            delivered: 0,
            remaining: job.completion.as_ref().map_or(0, |d| d.max_tokens),
            priority: class.map_or(0, |c| c.priority),
            timeout: CALL_TIMEOUT,
        }
    }

    pub(super) fn on_prefilled(
        &mut self,
        attempt: AttemptKey,
        handle: String,
        tokens: u32,
        cached: u32,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.attempts.get(attempt).copied() else { return };
        let job = &mut self.jobs[key];
        job.prompt_tokens = tokens;
        job.cached_tokens = cached;
        let (target, Stage::Running(_, source)) = (job.target, job.stage) else { return };
        let Some(endpoint) = self.next_endpoint(target, Role::Decode) else {
            return self.refuse_job(key, Refusal::NoEndpoint, out);
        };
        self.jobs[key].stage = Stage::Running(attempt, endpoint);
        let call = self.completion_call(key, attempt, endpoint);
        out.push(Effect::Engine(EngineCall::Decode { call, source, handle }));
    }

    pub(super) fn on_started(
        &mut self,
        attempt: AttemptKey,
        stream: String,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.attempts.get(attempt).copied() else { return };
        let job = &self.jobs[key];
        let Stage::Running(_, endpoint) = job.stage else { return };
        let offset =
            job.completion.as_ref().and_then(|d| d.resume.as_ref()).map_or(0, |r| r.offset);
        let answer = Answer::Located { endpoint, stream, base_offset: offset.into() };
        out.push(Effect::Answer { caller: job.caller, answer });
    }

    pub(super) fn on_tokens(
        &mut self,
        now: Now,
        attempt: AttemptKey,
        offset: u32,
        texts: Vec<String>,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.attempts.get(attempt).copied() else { return };
        let job = &mut self.jobs[key];
        let start = job.completion.as_ref().and_then(|d| d.resume.as_ref()).map_or(0, |r| r.offset);
        let known = (start + job.delivered).saturating_sub(offset) as usize;
        let texts: Vec<_> = texts.into_iter().skip(known).collect();
        if texts.is_empty() {
            return;
        }
        if job.first_token_at.is_none() {
            job.first_token_at = Some(now.mono);
            let ttft = now.mono - job.accepted_at;
            let progress = Progress::FirstToken { request: job.id, entry: job.entry, ttft };
            out.push(Effect::Progress(progress));
        }
        let offset = job.delivered;
        job.delivered += texts.len() as u32;
        let answer = Answer::Tokens { offset, texts };
        out.push(Effect::Answer { caller: job.caller, answer });
    }

    pub(super) fn on_finished(
        &mut self,
        now: Now,
        attempt: AttemptKey,
        reason: String,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.attempts.get(attempt).copied() else { return };
        let job = &self.jobs[key];
        let (prompt, cached, generated) = (job.prompt_tokens, job.cached_tokens, job.delivered);
        let answer = Answer::Done {
            reason,
            prompt_tokens: prompt,
            cached_tokens: cached,
            generated_tokens: generated,
        };
        self.finish(now, key, answer, Outcome::Done, out);
    }

    pub(super) fn on_answered(&mut self, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
        let Some(key) = self.attempts.get(attempt).copied() else { return };
        self.finish(now, key, Answer::Plain { attempt }, Outcome::Done, out);
    }

    pub(super) fn on_caller_left(&mut self, now: Now, caller: CallerId, out: &mut Vec<Effect>) {
        let Some(key) = self.callers.get(&caller).copied() else { return };
        let job = &self.jobs[key];
        if let Stage::Running(attempt, endpoint) = job.stage {
            let request = job.id;
            let call = EngineCall::Cancel { attempt, endpoint, request, resource: None };
            out.push(Effect::Engine(call));
        }
        self.settle_job(now, key, Outcome::Abandoned, out);
    }

    fn refuse_job(&mut self, key: RequestKey, refusal: Refusal, out: &mut Vec<Effect>) {
        let job = &self.jobs[key];
        let (request, team) = (Some(job.id), Some(job.team));
        out.push(Effect::Progress(Progress::Refused { request, team, refusal }));
        let answer = Answer::Refused { refusal, retry_after: None };
        out.push(Effect::Answer { caller: job.caller, answer });
        self.remove_job(key);
    }

    pub(super) fn finish(
        &mut self,
        now: Now,
        key: RequestKey,
        answer: Answer,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let caller = self.jobs[key].caller;
        out.push(Effect::Answer { caller, answer });
        self.settle_job(now, key, outcome, out);
    }

    fn settle_job(&mut self, now: Now, key: RequestKey, outcome: Outcome, out: &mut Vec<Effect>) {
        let job = &self.jobs[key];
        out.push(Effect::Progress(Progress::Settled {
            request: job.id,
            team: job.team,
            entry: job.entry,
            outcome,
            duration: now.mono - job.accepted_at,
            prompt_tokens: job.prompt_tokens,
            generated_tokens: job.delivered,
            tbt: Duration::ZERO,
        }));
        self.remove_job(key);
    }

    fn remove_job(&mut self, key: RequestKey) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.callers.remove(&job.caller);
        if let Stage::Running(attempt, _) = job.stage {
            self.attempts.remove(attempt);
        }
    }
}
