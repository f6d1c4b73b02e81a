//! Timeouts and size limits of the readers.

use std::time::Duration;

/// Time without an answer, beyond what the store was asked to wait, after which a hedged read
/// starts: far more than a round trip and a busy store's processing.
pub const HEDGE_DELAY: Duration = Duration::from_millis(700);

/// Time without data after which a read is closed. Until then its answer is used, however many
/// reads were started after it: a store may be this slow, and on a full link packets wait as long.
pub const READ_TIMEOUT: Duration = Duration::from_millis(4800);

/// How long answers of an era before the known one are taken for late ones: longer than any answer
/// may be late.
pub const OLDER_ERA_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without an answer after which a hedged read starts if a peer has seen a change. An answer
/// usually begins within some milliseconds; if a watch has none by then, its connection is dead or
/// the store is slow.
pub const STALE_HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Interval between hedged reads of a store that doesn't answer, for each daemon in contact. All
/// daemons poll, and the first that reads a change tells the others.
const HEDGE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(100);

/// Minimum interval between hedged reads: some round trips, and a busy store's processing.
const MIN_HEDGE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum interval between hedged reads. A daemon that has lost the store alone notices the
/// store's return only by its own reads, and confirmed changes have to be in force two seconds
/// later.
const MAX_HEDGE_INTERVAL: Duration = Duration::from_millis(800);

/// Half the pause after the first error; the pause doubles with each error.
const BASE_BACKOFF: Duration = Duration::from_millis(150);

/// Minimum interval between reads of the configuration while the list of endpoints can't be read
/// either: one reader is enough to notice that the store is back, and each call is paid for.
pub const MIN_ROUTES_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// How many times longer the configuration's watch waits than the list's: at most 24 s, while the
/// store allows 30 s. If connections stop answering, the list's reader notices and causes a read of
/// the configuration, too.
pub const ROUTES_WAIT_FACTOR: u32 = 3;

/// Interval between polls of a daemon whose peers watch, in multiples of a watch's wait: 19 to 48
/// s. It bounds the delay if all watchers are wrong.
pub const FOLLOWER_POLL_FACTOR: u32 = 32;

/// Pause after a read with changes for a daemon whose peers watch, instead of [`BATCH_PAUSE`]. In a
/// large fleet each burst of changes costs one read per daemon.
pub const FOLLOWER_BATCH_PAUSE: Duration = Duration::from_millis(1200);

/// Fraction of a watch's wait over which daemons that relied on watchers spread their reads when
/// the watchers fail, at random moments, so that they don't all read at once.
pub const RESUME_SPREAD_FRACTION: f64 = 0.25;

/// How long after trouble the configuration's watch waits no longer than the list's: what has just
/// failed may fail again, and the list may use another connection by then.
pub const SHORT_WATCH_PERIOD: Duration = Duration::from_secs(5);

/// Pause after a read with changes: changes come in bursts, and each read is paid for.
pub const BATCH_PAUSE: Duration = Duration::from_millis(500);

/// Size in bytes up to which changes are always accepted: a twentieth of a second at ten megabits
/// per second.
pub const MIN_CHANGES_BYTES: usize = 64 << 10;

/// Maximum size of changes, in multiples of the last full read. Changes contain each version that
/// was written meanwhile, so after a time without the store they exceed the records in force,
/// without a bound: over a slow link they would take longer than they are worth.
pub const MAX_CHANGES_FACTOR: usize = 2;

/// Maximum size in bytes of a page of a full read: a page holds about a megabyte, in base64.
pub const MAX_PAGE_BYTES: usize = 8 << 20;

/// Returns the interval between hedged reads of a store that doesn't answer, for a number of peers
/// in contact.
pub fn hedge_interval(peers: usize) -> Duration {
    let daemons = u32::try_from(peers).unwrap_or(u32::MAX).saturating_add(1);
    HEDGE_INTERVAL_PER_DAEMON.saturating_mul(daemons).clamp(MIN_HEDGE_INTERVAL, MAX_HEDGE_INTERVAL)
}

/// Returns the pause after a number of consecutive errors.
pub fn backoff(refusals: u32) -> Duration {
    BASE_BACKOFF.saturating_mul(1 << refusals.min(8)).min(MAX_HEDGE_INTERVAL)
}
