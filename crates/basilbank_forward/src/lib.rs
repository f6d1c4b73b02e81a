//! The decisions about forwarded calls, without I/O: one reducer over all events, with effects as
//! data.
//!
//! A forwarded call is opaque: method, path, headers and body are passed on unchanged, and so is
//! the answer. What decisions need of a call (route, deadline, prompt sizes) is in [`Call`]. The
//! user of this crate owns the sockets and clocks, passes [`Event`]s to [`reduce`] and carries out
//! the [`Effect`]s that it returns.

pub mod call;
pub mod effect;
pub mod endpoint;
pub mod event;
pub mod log_line;
pub mod prelude;
pub mod purpose;
pub mod rank;
pub mod reading;
pub mod reason;
pub mod route;
pub mod state;
pub mod team;
pub mod topic;
pub mod tuning;

mod gossip_bounds;
mod reduce;

pub use call::Call;
pub use effect::Effect;
pub use event::Event;
pub use reduce::reduce;
pub use state::State;
