//! The reader of the platform's store, in virtual time.

mod findings;
mod limits;
mod rig;
mod topics;
