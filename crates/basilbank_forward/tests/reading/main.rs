//! The readers of the store, explored: some daemons before a store that fails in all ways, one after the
//! other. Whatever comes, what is confirmed is in force in time from the moment on at which a daemon
//! reaches a store that answers, and questions stay few.

mod daemon;
mod eras;
mod explore;
mod fleet;
mod random;
mod read_counts;
mod regressions;
mod scenario;
mod store;
