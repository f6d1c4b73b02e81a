//! The limits of the readers.

use std::time::Duration;

/// Silence of a watch beyond what the store was asked to wait, before another question goes out beside
/// it: far more than a round trip and a busy store's answer.
pub const HEDGE_DELAY: Duration = Duration::from_millis(700);

/// How long a question may be silent before it is closed. Until then its answer counts, however many
/// went out after it: a store may be this slow, and on a full link packets wait as long.
pub const READ_TIMEOUT: Duration = Duration::from_millis(4800);

/// How long answers of an era before the known one are taken for late ones: longer than any of them may
/// be.
pub const OLDER_ERA_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a question may be silent while a peer has seen a change. The answer usually begins within
/// some milliseconds; a watch that is still silent then has a dead connection, or the store is slow.
pub const STALE_HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Time between two questions to a store that is silent, for each daemon that is heard. All of them
/// look, and the first that gets an answer with news wakes the others.
const HEDGE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(100);

/// Least such time: some round trips, and a busy store's answer.
const MIN_HEDGE_INTERVAL: Duration = Duration::from_millis(400);

/// Longest such time. A daemon that lost the store alone has only its own questions to notice its
/// return, and what was confirmed has to be in force two seconds later.
const MAX_HEDGE_INTERVAL: Duration = Duration::from_millis(800);

/// Half the pause after a refusal; doubled each time.
const BASE_BACKOFF: Duration = Duration::from_millis(150);

/// Least time between the configuration's questions while the list can't be read either: one reader is
/// enough to notice that the store is back, and each call is paid for.
pub const MIN_ROUTES_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Times that the configuration's watch waits longer than the list's, at most 24 s: the store grants 30.
/// When connections go silent, the list's reader notices, and the configuration is asked for, too.
pub const ROUTES_WAIT_FACTOR: u32 = 3;

/// Watches' times that a daemon whose peers watch rests before it looks itself, 19 to 48 s: a bound for the
/// case that all who watch are wrong.
pub const FOLLOWER_POLL_FACTOR: u32 = 32;

/// The same as [`BATCH`] for a daemon whose peers watch. In a large fleet each burst costs a question of
/// each daemon.
pub const FOLLOWER_BATCH_PAUSE: Duration = Duration::from_millis(1200);

/// Part of a watch's wait within which daemons ask that rested on others' word, and can't any more: by
/// chance, so that they don't all ask in one moment.
pub const RESUME_SPREAD_FRACTION: f64 = 0.25;

/// How long after trouble the configuration's watch waits no longer than the list's: what has just
/// failed may fail again, and the list's connection may be another one by then.
pub const SHORT_WATCH_PERIOD: Duration = Duration::from_secs(5);

/// Pause after a read that had changes: they come in bursts, and each read is paid for.
pub const BATCH_PAUSE: Duration = Duration::from_millis(500);

/// Bytes of changes that are always taken: a twentieth of a second at ten megabits a second.
pub const MIN_CHANGES_BYTES: usize = 64 << 10;

/// Changes may be this many times as long as everything was. They bring each version that was written
/// meanwhile, so after a time without the store they are longer than all that is in force now, without
/// a bound: over a slow link they would take longer than their news is worth.
pub const MAX_CHANGES_FACTOR: usize = 2;

/// Most bytes of an answer to a question for everything: a page holds about a megabyte, in base64.
pub const MAX_PAGE_BYTES: usize = 8 << 20;

/// Time between two questions to a store that is silent, when so many peers are heard.
pub fn hedge_interval(peers: usize) -> Duration {
    let daemons = u32::try_from(peers).unwrap_or(u32::MAX).saturating_add(1);
    HEDGE_INTERVAL_PER_DAEMON.saturating_mul(daemons).clamp(MIN_HEDGE_INTERVAL, MAX_HEDGE_INTERVAL)
}

/// Pause after so many refusals in a row.
pub fn backoff(refusals: u32) -> Duration {
    BASE_BACKOFF.saturating_mul(1 << refusals.min(8)).min(MAX_HEDGE_INTERVAL)
}
