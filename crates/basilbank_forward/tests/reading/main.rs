//! Tests of the readers of the store. Simulated daemons read from a store that fails in different ways,
//! one after the other. Confirmed changes have to be in force in time once the store answers a daemon,
//! and the number of reads has to stay bounded.

mod daemon;
mod eras;
mod explore;
mod fleet;
mod random;
mod read_counts;
mod regressions;
mod scenario;
mod store;
