//! Makes basilbank's routing decisions without I/O: one reducer handles all events and returns
//! effects as data.
//!
//! The caller of this crate owns sockets, threads and clocks. It feeds [`Event`]s to [`reduce`] and
//! carries out the [`Effect`]s that it returns. The same events at the same times always give the
//! same effects.
//!
//! ```
//! use std::time::{Duration, SystemTime};
//!
//! use basilbank_core::prelude::*;
//!
//! let now = Now { mono: Duration::ZERO, wall: SystemTime::UNIX_EPOCH };
//! let mut state = State::new(Local::default().with_name("entry-1"), now);
//! let mut effects = Vec::new();
//! reduce(&mut state, now, Event::Tick, &mut effects);
//! ```

pub mod catalogue;
pub mod effect;
pub mod event;
pub mod ids;
pub mod naive;
pub mod prelude;
pub mod reason;
pub mod state;
pub mod time;
pub mod tuning;

mod reduce;

pub use effect::Effect;
pub use event::Event;
pub use reduce::reduce;
pub use state::State;
