//! What several daemons agree on, in virtual time: idempotency keys, orders, reaping, leaving.

mod claims;
mod fleet;
mod reaping;
