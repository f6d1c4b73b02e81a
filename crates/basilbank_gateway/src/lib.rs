//! The I/O layer of forwarded calls: turns sockets and timers into events, and carries out effects.
//!
//! All of it runs on one thread: a daemon has a fraction of a core, and a second thread would only
//! add wake-ups. The crate doesn't know the platform's header names and formats; a [`Dialect`]
//! provides them.

mod answer_log;
mod attempt;
pub mod belonging;
mod caller_listener;
pub mod carried_ids;
mod connections;
mod dialect;
mod digest;
mod direct_body;
mod end_proof;
mod endpoint_body;
mod endpoint_calls;
pub mod event_order;
mod events;
mod framing;
mod gateway;
mod gathered_answer;
mod gossip;
mod inbound;
pub mod intake;
mod liveness;
mod metrics;
mod peer_stream;
mod progress;
mod proxy_client;
pub mod proxy_intake;
mod proxy_listener;
mod read_guard;
mod reader;
mod relay;
mod request;
mod response;
mod router;
mod sent_bytes;
mod source;
mod status_listener;
pub mod stray_answers;
mod unusable;

pub use attempt::{AttemptResult, CallerRequest, parse_keep_alive, run_attempt, strip_hop_by_hop};
pub use basilbank::clock::SystemClock;
pub use connections::{CallError, Connection, ConnectionPool};
pub use dialect::{AnswerKind, Dialect, InvalidCall, OutRequest};
pub use digest::digest;
pub use endpoint_calls::EndpointCall;
pub use events::{Event, EventSplitter};
pub use framing::Framing;
pub use gateway::{Addresses, Gateway};
pub use metrics::{Metrics, Sender};
pub use progress::Progress;
pub use reader::run as run_reader;
pub use response::ErrorResponse;
pub use router::Router;
pub use sent_bytes::{SentBytes, SentPurpose, request_bytes};
pub use source::{ReadError, ReadFuture, Reading, Source};
pub use unusable::{UnusableRecord, UnusableRecordLog};
