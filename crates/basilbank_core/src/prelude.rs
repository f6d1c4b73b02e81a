//! The common types, for `use basilbank_core::prelude::*`.

pub use basilbank_wire::{Body, Message};

pub use crate::catalogue::{
    Catalogue, Class, Endpoint, Entry, EntryTarget, KeyHash, Limits, ModelSpec, Role, Service, Team,
};
pub use crate::effect::{Answer, CompletionCall, Effect, EngineCall, Progress};
pub use crate::event::{
    Call, CallKind, CallerEvent, Completion, EngineEvent, EngineReport, Event, Failure, PlainCall,
    PlatformEvent, StreamInfo,
};
pub use crate::ids::{
    AttemptKey, CallerId, ClassId, DataCentreId, EndpointId, EntryId, ModelId, RequestId,
    RequestKey, ServiceId, TeamId, VmId,
};
pub use crate::reason::{Outcome, Refusal, Retry, Waste};
pub use crate::reduce::reduce;
pub use crate::state::{Local, State};
pub use crate::time::{Clock, Now};
pub use crate::tuning::Tuning;
