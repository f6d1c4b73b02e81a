//! Ensures that at most one request runs per idempotency key: the voter's side.

use std::time::Duration;

use basilbank_wire::{Body, Claim, KeyRecord, Settle, Verdict, Vote};

use crate::{
    effect::{Effect, Progress},
    ids::VmId,
    reason::Outcome,
    state::{ClaimKey, State},
    time::Now,
};

/// Answers a peer that claims a key.
pub fn on_claim(state: &mut State, now: Now, from: VmId, claim: &Claim, out: &mut Vec<Effect>) {
    let vote = cast(state, now, from, claim, out);
    out.push(Effect::Send { to: from, message: Body::Vote(vote).into() });
}

/// Handles a peer's record of where a key's request runs or how it ended. The vote that is sent
/// back confirms it.
pub fn on_settle(state: &mut State, now: Now, from: VmId, settle: &Settle, out: &mut Vec<Effect>) {
    let Some(record) = &settle.record else { return };
    state.claims.key_table.expire(now.mono);
    apply_settle(state, now, settle);
    let vote = Vote {
        key: settle.key.clone(),
        request: record.request,
        verdict: Verdict::Done.into(),
        record: None,
    };
    out.push(Effect::Send { to: from, message: Body::Vote(vote).into() });
}

/// Updates for which keys this daemon is a voter, after the platform's VM list may have changed.
pub fn update_voter_history(state: &mut State, now: Now) {
    let window = state.local.tuning.key_window;
    state.claims.voter_history.update(now, window, &state.members);
}

/// Decides this daemon's vote on a claim by `from`, and remembers the key if it is granted.
pub fn cast(state: &mut State, now: Now, from: VmId, claim: &Claim, out: &mut Vec<Effect>) -> Vote {
    state.claims.key_table.expire(now.mono);
    let (verdict, record) = match ClaimKey::from_bytes(&claim.key) {
        Some(key) => decide_vote(state, now, from, key, claim, out),
        None => (Verdict::Abstain, None),
    };
    Vote { key: claim.key.clone(), request: claim.request, verdict: verdict.into(), record }
}

/// Applies a record of what became of a key's request.
///
/// Only a request that won its key reports anything other than 'not run', so its record replaces a
/// grant to another request. A record of a request that has ended is not replaced by an earlier one
/// that was delayed on the way.
pub fn apply_settle(state: &mut State, now: Now, settle: &Settle) {
    let Some(key) = ClaimKey::from_bytes(&settle.key) else { return };
    let Some(record) = &settle.record else { return };
    let known = state.claims.key_table.get(&key).map(|entry| &entry.record);
    let is_same_request = known.is_some_and(|k| k.request == record.request);
    if record.outcome == Outcome::NotRun.code() {
        if is_same_request {
            state.claims.key_table.remove(&key);
        }
        return;
    }
    if known.is_some_and(|k| k.outcome != 0) && record.outcome == 0 {
        return;
    }
    let expires = now.mono + state.local.tuning.key_window;
    state.claims.key_table.insert(key, record.clone(), expires);
}

fn decide_vote(
    state: &mut State,
    now: Now,
    from: VmId,
    key: ClaimKey,
    claim: &Claim,
    out: &mut Vec<Effect>,
) -> (Verdict, Option<KeyRecord>) {
    let known = state.claims.key_table.get(&key).map(|entry| &entry.record);
    let takes_over = known.is_some_and(|record| may_take_over(claim, record));
    if let Some(record) = known.filter(|_| !takes_over) {
        let verdict = match record.outcome {
            0 if record.request == claim.request => return (Verdict::Granted, None),
            0 => Verdict::Running,
            _ => Verdict::Done,
        };
        return (verdict, Some(record.clone()));
    }
    let may_grant = takes_over || would_remember(state, now, key, claim.made);
    if !state.members.may_decide() || !may_grant {
        return (Verdict::Abstain, None);
    }
    if !takes_over && state.local.tuning.keys <= state.claims.key_table.len() {
        let fields = vec![("keys", state.claims.key_table.len().to_string())];
        out.push(Effect::Progress(Progress::Note { name: "key_table_full", fields }));
        return (Verdict::Overflow, None);
    }
    let record = KeyRecord {
        request: claim.request,
        vm: from.0,
        incarnation: claim.incarnation,
        repeatable: claim.repeatable,
        ..KeyRecord::default()
    };
    state.claims.key_table.insert(key, record, now.mono + state.local.tuning.key_window);
    (Verdict::Granted, None)
}

/// Returns whether a claim's request may take over the key from the request that has it.
fn may_take_over(claim: &Claim, record: &KeyRecord) -> bool {
    let is_named = claim.after != 0 && claim.after == record.request;
    is_named && record.outcome == 0 && record.repeatable && claim.repeatable
}

/// Returns whether this daemon would remember the key if an earlier request had claimed it.
///
/// This is so if the daemon has been a voter of the key for the whole key window, or if the key was
/// created after it became a voter. No voter remembers a key that was created before the key
/// window: its first request may have come and been forgotten. A key with a creation time in the
/// future comes from a wrong clock, so its time is ignored.
fn would_remember(state: &State, now: Now, key: ClaimKey, made: u64) -> bool {
    let Some(since) = state.claims.voter_history.voter_since(state.local.vm, key.subject()) else {
        return false;
    };
    let tuning = &state.local.tuning;
    let skew = to_millis(tuning.skew);
    let window = to_millis(tuning.key_window);
    let is_timed = made != 0 && made <= now.unix_ms() + skew;
    if is_timed && made + window < now.unix_ms() + skew {
        return false;
    }
    let is_long_standing = since.mono + tuning.key_window <= now.mono;
    is_long_standing || (is_timed && since.wall + skew < made)
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
