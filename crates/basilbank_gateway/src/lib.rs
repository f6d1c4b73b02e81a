//! The shell of forwarded calls: sockets and timers become events, effects are carried out.
//!
//! All of it runs on one thread: a daemon has a fraction of a core, and a second thread would only
//! add wake-ups. How a platform spells things is not known here; a [`Dialect`] says it.

mod answer;
mod body;
mod calls;
mod dialect;
mod digest;
mod edge;
mod findings;
mod gateway;
mod links;
mod metrics;
mod peers;
mod progress;
mod reader;
mod reading;
mod relay;
mod request;
mod router;
mod side;

pub use answer::OwnAnswer;
pub use basilbank::clock::SystemClock;
pub use body::{BadBody, read_body};
pub use calls::strip_hop_by_hop;
pub use dialect::{BadCall, Dialect, Head, OutRequest};
pub use digest::digest;
pub use findings::{Finding, Findings};
pub use gateway::{Addresses, Gateway};
pub use links::{CallError, Link, Links};
pub use metrics::Metrics;
pub use progress::Progress;
pub use reader::run as run_reader;
pub use reading::{Read, ReadError, Reading, Source};
pub use router::Router;
