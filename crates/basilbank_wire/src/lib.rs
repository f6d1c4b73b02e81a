//! The messages that daemons exchange, and how they become bytes.
//!
//! ```
//! use basilbank_wire::{Body, Heartbeat, Message};
//!
//! let message = Message::from(Body::Heartbeat(Heartbeat { counter: 7, ..Default::default() }));
//! assert!(message.body.is_some());
//! ```

mod codec;
mod drop_reason;
mod load;
mod message;
mod replay;
mod seal;
mod words;

pub use codec::Frames;
pub use drop_reason::DropReason;
pub use load::{
    CallLimitSeen, CrashReport, EndpointLoad, LoadBeat, PeerAddress, Permit, PermitWord,
    Quarantined, ServicePace, Shunned, StoreRevision, WaitingDraft,
};
pub use message::*;
pub use replay::{ReplayGuard, SENDERS, WINDOW};
pub use seal::{SEAL_LEN, Sealer};
pub use words::{ConfigurationAge, QuotaAnswer, QuotaAsk, QuotaCounted, QuotaState, QuotaUse};
