//! Messages that the daemons exchange: their types, encoding, authentication and replay protection.
//!
//! ```
//! use basilbank_wire::{Body, Heartbeat, Message};
//!
//! let message = Message::from(Body::Heartbeat(Heartbeat { counter: 7, ..Default::default() }));
//! assert!(message.body.is_some());
//! ```

mod authenticator;
mod codec;
mod direct;
mod drop_reason;
mod load;
mod message;
mod proxy;
mod replay;

pub use authenticator::{Authenticator, MAC_LEN};
pub use codec::FramedStream;
pub use direct::{
    ConfigurationAge, OriginQuery, QuotaAnswer, QuotaCounted, QuotaRequest, QuotaState, QuotaUse,
    RefusedCall, ReturnAnswer, ReturnQuery, StreamOrigin,
};
pub use drop_reason::DropReason;
pub use load::{
    AvoidedEndpoint, CallLimitReport, CrashReport, DemandReport, EndpointLoad, HEADER_BYTES,
    LoadGossip, OrderClaim, PeerAddress, Permit, PermitKind, QuarantinedCall,
    ServiceGenerationStats, StoreRevision, WaitingCompletion, WaitingForVersion,
};
pub use message::*;
pub use proxy::{
    MAX_PROXY_FRAME_BYTES, PROXY_LENGTH_BYTES, ProxyCodec, ProxyEnd, ProxyFailure, ProxyHead,
    ProxyHeader, ProxyMessage, ProxyPurpose, ProxyRequest,
};
pub use replay::{MAX_SENDERS, REPLAY_WINDOW, ReplayGuard};
