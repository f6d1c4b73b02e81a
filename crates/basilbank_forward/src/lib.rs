//! The decisions about forwarded calls, without I/O: one reducer over all events, effects as data.
//!
//! A forwarded call is opaque: method, path, headers and body go on unchanged, and the answer comes
//! back unchanged. What decisions need (route, deadline, prompt sizes) stands in [`Call`]. The
//! caller of this crate owns sockets and clocks, feeds [`Event`]s to [`reduce`] and carries out the
//! [`Effect`]s that come back.

pub mod call;
pub mod effect;
pub mod endpoint;
pub mod event;
pub mod log_line;
pub mod prelude;
pub mod reading;
pub mod reason;
pub mod route;
pub mod state;
pub mod team;
pub mod topic;
pub mod tuning;

mod reduce;

pub use call::Call;
pub use effect::Effect;
pub use event::Event;
pub use reduce::reduce;
pub use state::State;
