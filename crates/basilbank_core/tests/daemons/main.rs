//! What several daemons agree on, in virtual time: idempotency keys, orders, reaping, leaving.

mod claims;
mod fleet;
mod leaving;
mod orders;
mod races;
mod reaping;
#[path = "../world/mod.rs"]
mod world;
