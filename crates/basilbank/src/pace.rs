//! How long a transfer may take.

use std::time::Duration;

/// Bytes that earn a transfer another second: a bad mobile connection's. The time before the first ones
/// is the caller's choice.
///
/// A limit on the whole time alone would end a long transfer that gets on, and whoever needs it would
/// begin again at its first byte, perhaps with more to bring: it would never end. No limit at all would
/// let a sender that drips hold its place for ever.
const RATE: f64 = 16_384.0;

/// The time that a transfer of which so many bytes have come may have taken.
#[must_use]
pub fn time_for(first: Duration, bytes: usize) -> Duration {
    first + Duration::from_secs_f64(bytes as f64 / RATE)
}
