//! What several daemons agree on, in virtual time: idempotency keys, orders, reaping, leaving.

mod awake;
mod claims;
mod fleet;
mod leaving;
mod orders;
mod races;
mod reaping;
mod voters;
#[path = "../world/mod.rs"]
mod world;
