//! The reader of the platform's store, in virtual time.

mod false_gossip;
mod recovery;
mod relays;
mod replaced;
mod rig;
mod store;
mod timeouts;
mod topics;
mod unusable;
