//! Cancels streams and KV caches that no daemon needs any more.
//!
//! An endpoint's owner lists what the endpoint holds. It cancels what a daemon that is gone left
//! behind, once that was unread for so long that no caller will come back for it. Each daemon
//! follows up on its own cancels: it lists the endpoint until what it cancelled is gone.

use std::{collections::HashSet, time::Duration};

use crate::{
    catalogue::Role,
    effect::{Effect, EngineCall, Progress},
    event::StreamInfo,
    ids::{EndpointId, RequestId},
    reduce::order,
    state::{CancelWatch, CancelledAttempt, State, Timer},
    time::Now,
};

/// Time from a cancel until the endpoint is listed; most cancels have arrived by then.
const CHECK_DELAY: Duration = Duration::from_secs(1);
/// Time for which a daemon follows up on its own cancel. After that the endpoint's owner cancels
/// what is left.
const MAX_CHECK_TIME: Duration = Duration::from_secs(60);
/// Idle time after which a KV cache is of no use; endpoints evict it by themselves before that.
const MAX_KV_CACHE_LIFE: Duration = Duration::from_secs(2);

/// Why a stream or KV cache is cancelled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum CancelCause {
    /// Its daemon cancelled it before, but the cancel was lost.
    Cancelled,
    /// Its daemon is gone or out of contact, and nobody has read it since.
    Orphaned,
    /// It was unread for so long that nobody will read it.
    Unread,
}

/// Handles an endpoint's list of its streams and KV caches.
pub fn on_stream_list(
    state: &mut State,
    endpoint: EndpointId,
    streams: &[StreamInfo],
    out: &mut Vec<Effect>,
) {
    let live: HashSet<_> = state.requests.arena.values().map(|r| r.id).collect();
    for info in streams {
        if let Some(cause) = cancel_cause(state, endpoint, info, &live) {
            cancel(endpoint, info, cause, out);
        }
    }
    forget_confirmed(state, endpoint, streams);
}

/// Requests the lists of streams and KV caches that are due.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let interval = state.local.tuning.reap_interval;
    let mut to_list = Vec::new();
    if state.reaper.next_list <= now.mono {
        state.reaper.next_list = now.mono + interval;
        state.timers.set(state.reaper.next_list, Timer::Reap);
        let engines = order::owned_endpoints(state).filter(|e| e.role != Role::Plain);
        to_list.extend(engines.map(|e| e.id));
    }
    for watch in state.reaper.watches.values_mut() {
        watch.cancelled.retain(|c| now.mono < c.cancelled_at + MAX_CHECK_TIME);
    }
    state.reaper.watches.retain(|_, watch| !watch.cancelled.is_empty());
    for (endpoint, watch) in &mut state.reaper.watches {
        if now.mono < watch.check_at {
            continue;
        }
        watch.listed_at = now.mono;
        watch.check_at = now.mono + interval;
        state.timers.set(watch.check_at, Timer::Reap);
        to_list.push(*endpoint);
    }
    to_list.sort_unstable();
    to_list.dedup();
    let calls = to_list.into_iter().map(|endpoint| EngineCall::ListStreams { endpoint });
    out.extend(calls.map(Effect::Engine));
}

/// Records the cancels among the effects of one event.
///
/// A cancel is one call without an answer. If it is lost, the endpoint continues a stream whose
/// caller has left and which its daemon has forgotten. The stream takes a slot until it ends by
/// itself, and no error shows up anywhere.
pub fn track_cancels(state: &mut State, now: Now, effects: &[Effect]) {
    for effect in effects {
        let Effect::Engine(EngineCall::Cancel { endpoint, request, resource, .. }) = effect else {
            continue;
        };
        if state.view.endpoint(*endpoint).is_none_or(|e| e.role == Role::Plain) {
            continue;
        }
        let due = now.mono + CHECK_DELAY;
        let watch = state.reaper.watches.entry(*endpoint).or_insert_with(|| {
            state.timers.set(due, Timer::Reap);
            CancelWatch { check_at: due, listed_at: Duration::ZERO, cancelled: Vec::new() }
        });
        let (request, resource) = (*request, resource.clone());
        watch.cancelled.push(CancelledAttempt { request, resource, cancelled_at: now.mono });
    }
}

/// Forgets the cancels that had time to arrive before the list was requested and whose request and
/// name are not on the list.
fn forget_confirmed(state: &mut State, endpoint: EndpointId, streams: &[StreamInfo]) {
    let own = (state.local.vm, state.local.incarnation);
    let own_streams = || streams.iter().filter(|info| (info.vm, info.incarnation) == own);
    let requests: HashSet<_> = own_streams().map(|info| info.request).collect();
    let names: HashSet<_> = own_streams().map(|info| info.stream.as_str()).collect();
    let is_listed = |c: &CancelledAttempt| {
        requests.contains(&c.request.0) || c.resource.as_deref().is_some_and(|h| names.contains(h))
    };
    let Some(watch) = state.reaper.watches.get_mut(&endpoint) else { return };
    let asked = watch.listed_at;
    watch.cancelled.retain(|c| asked < c.cancelled_at + CHECK_DELAY || is_listed(c));
    if watch.cancelled.is_empty() {
        state.reaper.watches.remove(&endpoint);
    }
}

fn cancel(endpoint: EndpointId, info: &StreamInfo, cause: CancelCause, out: &mut Vec<Effect>) {
    let name = match cause {
        CancelCause::Cancelled => "reaped_cancelled",
        CancelCause::Orphaned => "reaped_orphaned",
        CancelCause::Unread => "reaped_unread",
    };
    let fields = vec![
        ("endpoint", endpoint.to_string()),
        ("stream", info.stream.clone()),
        ("owner", info.vm.to_string()),
        ("idle_ms", info.idle.as_millis().to_string()),
    ];
    out.push(Effect::Progress(Progress::Note { name, fields }));
    out.push(Effect::Engine(EngineCall::Reap {
        endpoint,
        stream: info.stream.clone(),
        vm: info.vm,
        incarnation: info.incarnation,
    }));
}

/// Returns why a stream or KV cache is to be cancelled, or `None` if it is not.
fn cancel_cause(
    state: &State,
    endpoint: EndpointId,
    info: &StreamInfo,
    live: &HashSet<RequestId>,
) -> Option<CancelCause> {
    let local = &state.local;
    let is_own = info.vm == local.vm && info.incarnation == local.incarnation;
    if is_own {
        let is_live = live.contains(&RequestId(info.request));
        if was_cancelled(state, endpoint, info, is_live) {
            return Some(CancelCause::Cancelled);
        }
        let is_unread = local.tuning.unread_limit <= info.idle;
        return (is_unread && !is_live).then_some(CancelCause::Unread);
    }
    let members = &state.members;
    if !members.may_decide() || members.owner(endpoint.0) != Some(members.own) {
        return None;
    }
    if info.is_kv_cache {
        return (MAX_KV_CACHE_LIFE <= info.idle && is_daemon_gone(state, info))
            .then_some(CancelCause::Orphaned);
    }
    if local.tuning.unread_limit <= info.idle {
        return Some(CancelCause::Unread);
    }
    (local.tuning.stream_grace <= info.idle && is_daemon_gone(state, info))
        .then_some(CancelCause::Orphaned)
}

/// Returns whether this daemon cancelled a stream or KV cache without effect. A live request may
/// hold another stream at the same endpoint by now, so a match by request counts only if the
/// request has ended.
///
/// A stream that was taken over is listed under the request that started it, possibly on another
/// daemon. Therefore a match by name counts as well; otherwise a lost cancel of such a stream would
/// never be repeated. But a stream that a request of this daemon reads again is not cancelled.
fn was_cancelled(state: &State, endpoint: EndpointId, info: &StreamInfo, is_live: bool) -> bool {
    let Some(watch) = state.reaper.watches.get(&endpoint) else { return false };
    let is_match = |c: &CancelledAttempt| {
        let is_named = c.resource.as_ref() == Some(&info.stream);
        is_named || (c.request.0 == info.request && !is_live)
    };
    watch.cancelled.iter().any(is_match) && !is_read(state, endpoint, &info.stream)
}

/// Returns whether a request of this daemon reads a stream.
fn is_read(state: &State, endpoint: EndpointId, stream: &str) -> bool {
    state.requests.attempts.values().any(|attempt| {
        let is_here = attempt.slot.is_some_and(|slot| slot.endpoint == endpoint);
        is_here && attempt.stream.as_deref() == Some(stream)
    })
}

/// Returns whether the daemon that a stream belongs to is gone: it was replaced, is not on the
/// platform's list, or has been silent for the time after which members count as dead.
///
/// A daemon on the other side of a partition looks dead as well, although its caller still reads
/// the stream. Such a stream is not idle, so callers of this function check that too.
fn is_daemon_gone(state: &State, info: &StreamInfo) -> bool {
    let members = &state.members;
    if !members.is_listed(info.vm) {
        return true;
    }
    match members.incarnation(info.vm) {
        Some(known) if info.incarnation < known => true,
        Some(known) => info.incarnation == known && !members.is_live(info.vm),
        None => false,
    }
}
