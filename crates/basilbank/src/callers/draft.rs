//! A draft's way from its request to the core.

use std::sync::Mutex;

use basilbank_core::{
    event::{Call, CallKind, Completion, ResumePoint},
    ids::EntryId,
    reason::Refusal,
};
use bytes::Bytes;
use hyper::{HeaderMap, Response};

use super::{
    body::Outgoing,
    chunk::Envelope,
    code::EdgeRefusal,
    cursor::CursorKey,
    error::ApiError,
    form::{Form, Mode, Shape},
    headers::{LAST_EVENT_ID, bearer, idempotency, repeatable},
    open_call::OpenCall,
    prompt::{block_hashes, count_tokens},
    registry::HeldDraft,
    service::Api,
    stream, whole,
};

impl Api {
    /// Serves a draft.
    ///
    /// # Errors
    /// It is refused, or its outcome is unknown.
    pub async fn draft(
        &self,
        shape: Shape,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Outgoing>, ApiError> {
        let key = bearer(headers)?;
        let (idempotency, repeatable) = (idempotency(headers)?, repeatable(headers)?);
        let form = Form::parse(shape, &body)?;
        drop(body);
        let no_memory = |_| ApiError::edge(EdgeRefusal::BodyMemory);
        let claim = self.callers.bodies.admit(form.prompt.len()).map_err(no_memory)?;
        let resume = resume_point(&self.cursors, headers, &form)?;
        let draft = Completion {
            model: form.model.clone(),
            prompt_tokens: count_tokens(&form.prompt),
            block_hashes: block_hashes(&form.prompt),
            max_tokens: form.max_tokens,
            resume,
        };
        let envelope = Envelope::new(shape, &form.model, self.unix_seconds());
        let held = HeldDraft { prompt: form.prompt, given: Mutex::default(), claim: Some(claim) };
        let (caller, replies) =
            self.callers.open_draft(held, self.config.limits.max_backlog_tokens);
        let call = Call {
            caller,
            key,
            idempotency_key: idempotency,
            repeatable,
            kind: CallKind::Completion(draft),
        };
        let open = OpenCall::begin(call, replies, &self.events, &self.callers)?;
        match form.mode {
            Mode::Whole => whole::answer(open, &envelope).await,
            Mode::Streamed(tail) => {
                stream::answer(open, envelope, self.cursors.clone(), tail).await
            }
        }
    }
}

/// Where the caller wants its stream to go on.
///
/// An entry's id is the hash of its name, so a cursor that was made for another entry is known here;
/// the core checks once more that the entry is the caller's.
fn resume_point(
    cursors: &CursorKey,
    headers: &HeaderMap,
    form: &Form,
) -> Result<Option<ResumePoint>, ApiError> {
    let Some(value) = headers.get(LAST_EVENT_ID) else { return Ok(None) };
    if form.mode == Mode::Whole {
        return Err(ApiError::early(Refusal::BadCursor)
            .with_message("Last-Event-ID needs \"stream\": true"));
    }
    let point = value.to_str().ok().and_then(|cursor| cursors.open(cursor.trim()));
    let point = point.filter(|p| p.entry == EntryId::of(&form.model));
    point.map(Some).ok_or_else(|| ApiError::early(Refusal::BadCursor))
}
