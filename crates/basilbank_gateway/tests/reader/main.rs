//! The reader of the platform's store, in virtual time.

mod false_words;
mod findings;
mod limits;
mod returns;
mod rig;
mod store;
mod topics;
