//! Streams and KV caches that nobody owns any more are cancelled.
//!
//! An endpoint's steward lists what the endpoint holds. It cancels what a daemon left behind that is
//! gone, once it was unread for long enough that no caller comes back for it. Each daemon looks after
//! its own cancels: where it cancelled something it lists the endpoint until that is gone.

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

/// Time from a cancel until the endpoint is looked at: most cancels have arrived by then.
const CHECK_DELAY: Duration = Duration::from_secs(1);
/// How long a daemon looks after a cancel of its own. After that the endpoint's steward sees to it.
const MAX_CHECK_TIME: Duration = Duration::from_secs(60);
/// A KV cache is of use for less than this; endpoints evict it by themselves in less.
const MAX_KV_CACHE_LIFE: Duration = Duration::from_secs(2);

/// Why something is cancelled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum CancelCause {
    /// Its daemon cancelled it before, and the cancel was lost.
    Cancelled,
    /// Its daemon is gone, or has not been heard, and nobody read it since.
    Orphaned,
    /// Nobody read it for so long that nobody will.
    Unread,
}

/// An endpoint listed what it holds.
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

/// Lists endpoints' streams.
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

/// Remembers the cancels among the effects of one event.
///
/// A cancel is one call without an answer. When it is lost, the endpoint goes on with a stream whose
/// caller has left and whose daemon has forgotten it: a slot stays taken until the stream ends by
/// itself, and no error is seen anywhere.
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

/// Forgets the cancels that had time to arrive before the list was asked for, and of which nothing
/// is on it, by request or by name.
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
    let pairs = vec![
        ("endpoint", endpoint.to_string()),
        ("stream", info.stream.clone()),
        ("owner", info.vm.to_string()),
        ("idle_ms", info.idle.as_millis().to_string()),
    ];
    out.push(Effect::Progress(Progress::Note { name, fields: pairs }));
    out.push(Effect::Engine(EngineCall::Reap {
        endpoint,
        stream: info.stream.clone(),
        vm: info.vm,
        incarnation: info.incarnation,
    }));
}

/// Why a stream or KV cache is to be cancelled; `None` when it is not.
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

/// Whether this daemon cancelled it and the cancel has had no effect. A request that lives may hold
/// another stream at the same endpoint by now, so without a name only a dead request's are meant.
///
/// A stream that was taken over is listed under the request that started it, on another daemon
/// perhaps, so its name counts as well: else a lost cancel of it would never be made good. But a
/// request of this daemon that has come to read it since keeps it.
fn was_cancelled(state: &State, endpoint: EndpointId, info: &StreamInfo, is_live: bool) -> bool {
    let Some(watch) = state.reaper.watches.get(&endpoint) else { return false };
    let is_match = |c: &CancelledAttempt| {
        let is_named = c.resource.as_ref() == Some(&info.stream);
        is_named || (c.request.0 == info.request && !is_live)
    };
    watch.cancelled.iter().any(is_match) && !is_read(state, endpoint, &info.stream)
}

/// Whether a request of this daemon reads a stream.
fn is_read(state: &State, endpoint: EndpointId, stream: &str) -> bool {
    state.requests.attempts.values().any(|attempt| {
        let is_here = attempt.slot.is_some_and(|slot| slot.endpoint == endpoint);
        is_here && attempt.stream.as_deref() == Some(stream)
    })
}

/// Whether the daemon that owns a stream is gone: it was replaced, is off the platform's list, or has
/// not been heard for the time after which members count as dead.
///
/// A daemon on the other side of a partition looks dead as well, though its caller reads on. Its
/// stream is not idle then, so callers of this function look at that too.
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
