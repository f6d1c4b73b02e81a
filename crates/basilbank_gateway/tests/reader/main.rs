//! The reader of the platform's store, in virtual time.

mod limits;
mod rig;
mod topics;
