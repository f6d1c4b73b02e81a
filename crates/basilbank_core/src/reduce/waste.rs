//! Records work that no caller received. It is charged to nobody, and counted by cause.

use std::time::Duration;

use crate::{
    effect::{Effect, Progress},
    ids::{AttemptKey, RequestId},
    reason::Waste,
    state::{AttemptStage, State},
    time::Now,
};

/// Records the prefill time of an attempt that ends before its result was used.
pub fn record_prefill(
    state: &State,
    now: Now,
    attempt_key: AttemptKey,
    waste: Waste,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let prefill_time = match attempt.stage {
        AttemptStage::Prefill => now.mono.saturating_sub(attempt.stage_since),
        AttemptStage::Relocating | AttemptStage::Import | AttemptStage::Stream => {
            attempt.prefill_time
        }
        AttemptStage::WaitingForSlot | AttemptStage::WaitingForPrefill | AttemptStage::Plain => {
            Duration::ZERO
        }
    };
    if prefill_time.is_zero() {
        return;
    }
    let request = state.requests.arena[attempt.request].id;
    out.push(Effect::Progress(Progress::Wasted { request, waste, prefill_time, tokens: 0 }));
}

/// Records tokens that the caller had already received.
pub fn record_duplicates(request: RequestId, tokens: u32, out: &mut Vec<Effect>) {
    let waste = Waste::Duplicate;
    let prefill_time = Duration::ZERO;
    out.push(Effect::Progress(Progress::Wasted { request, waste, prefill_time, tokens }));
}
