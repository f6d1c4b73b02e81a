//! A randomized soak: real daemons as processes, faults from outside them, and checks of what callers
//! and endpoints saw.
//!
//! A seed gives a plan of faults that come in series and overlap. Daemons are stopped, paused, killed
//! and restarted by signals; a loopback proxy before each endpoint and before the store delays, cuts
//! one way, silences and resets connections; answers of endpoints break off; endpoints of several versions
//! serve side by side; the last daemon's time of day jumps.

pub mod callers;
pub mod checks;
pub mod clock;
pub mod plan;
pub mod play;
pub mod process;
pub mod routing;
pub mod site;
pub mod soak;
pub mod streams;
