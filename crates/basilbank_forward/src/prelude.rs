//! Re-exports of the types that most users of this crate need.

pub use basilbank_core::time::{Clock, Now};

pub use crate::{
    call::{Call, Cause, Digest, Prompt, RequestId, Resumption, SharedTraits, StreamId},
    effect::{Attempt, Effect, Op},
    endpoint::{EndpointInfo, EndpointKey, SoftwareVersion, Stage},
    event::{Damage, Event, HistoryAnswer, NotProxied, NotRun, Outcome, UnreadChanges},
    log_line::{LogLine, Measurement},
    purpose::Purpose,
    rank::Rank,
    reading::{
        Query, ReadEffect, ReadEvent, ReadId, ReadOutcome, ReadReason, ReaderContext, Readers,
        Scope,
    },
    reason::{Refusal, Retry},
    reduce::reduce,
    route::{Route, RouteKind, RouteTable, Service},
    state::{Local, OrderRight, State, SystemStart, Usage},
    team::{Credential, KeyHash, Quota, QuotaUnit, Team, TeamId, Teams},
    topic::{ItemRevisions, PerTopic, Revision, Revisions, Topic},
    tuning::Tuning,
};
