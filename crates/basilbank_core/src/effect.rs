//! All that the core asks of the shell.

use std::time::Duration;

use basilbank_wire::{Document, Message};

use crate::{
    ids::{AttemptKey, CallerId, EndpointId, EntryId, RequestId, TeamId, VmId},
    reason::{Outcome, Refusal, Retry, Waste},
};

/// One effect.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    /// Say something to a caller.
    Answer {
        /// The caller.
        caller: CallerId,
        /// What to say.
        answer: Answer,
    },
    /// Call an endpoint.
    Engine(EngineCall),
    /// Say something to a peer. Large messages go over TCP.
    Send {
        /// The peer.
        to: VmId,
        /// What to say.
        message: Message,
    },
    /// Watch the catalogue on the platform; answers when it changes or after a while.
    WatchCatalogue {
        /// The revision that the daemon has; 0 for none, which reads the whole.
        after: u64,
    },
    /// Read the VM list from the platform.
    ReadVms,
    /// Check a catalogue's texts and compile them.
    CheckCatalogue {
        /// The revision.
        revision: u64,
        /// All its documents.
        documents: Vec<Document>,
    },
    /// Something to count, to log, or both.
    Progress(Progress),
    /// The daemon is done: exit.
    Exit,
}

/// What a caller is told.
#[derive(Clone, PartialEq, Debug)]
pub enum Answer {
    /// The call was accepted under this id. Nothing is sent yet.
    Accepted {
        /// The request.
        request: RequestId,
        /// The entry it is charged to.
        entry: EntryId,
    },
    /// Where the stream lives now, for the cursors of the tokens that follow.
    Located {
        /// The endpoint.
        endpoint: EndpointId,
        /// The stream's name there.
        stream: String,
        /// The caller's token 0 is this token of the stream, so a cursor's offset can be worked out;
        /// negative when the stream continues another one.
        base_offset: i64,
    },
    /// Tokens, in order and once each.
    Tokens {
        /// Offset of the first one in the caller's answer.
        offset: u32,
        /// Their texts.
        texts: Vec<String>,
    },
    /// The answer is whole.
    Done {
        /// `stop` or `length`.
        reason: String,
        /// Prompt tokens.
        prompt_tokens: u32,
        /// Prompt tokens that came from the prefix cache.
        cached_tokens: u32,
        /// Generated tokens.
        generated_tokens: u32,
    },
    /// The plain answer that the shell holds for this attempt.
    Plain {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Refused: nothing was run.
    Refused {
        /// Why.
        refusal: Refusal,
        /// When another try may succeed.
        retry_after: Option<Duration>,
    },
    /// It may have run; it can't be finished.
    Unknown,
}

/// A call to an endpoint. Calls that name an attempt end in exactly one `Failed`, or in the events
/// of their success.
#[derive(Clone, PartialEq, Debug)]
pub enum EngineCall {
    /// Run a prefill.
    Prefill(CompletionCall),
    /// Import a KV cache and stream tokens.
    Decode {
        /// What to decode.
        call: CompletionCall,
        /// The prefill endpoint that holds the KV cache.
        source: EndpointId,
        /// The KV cache's name there.
        handle: String,
    },
    /// Read on from a stream that exists, taking it over.
    Resume {
        /// The attempt.
        attempt: AttemptKey,
        /// The caller.
        caller: CallerId,
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// The stream.
        stream: String,
        /// The first token wanted.
        offset: u32,
    },
    /// Call a plain service.
    Plain {
        /// The attempt.
        attempt: AttemptKey,
        /// The caller, whose call the shell holds.
        caller: CallerId,
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Give up after this.
        timeout: Duration,
    },
    /// Forget an attempt: stop its calls, and cancel whatever it holds at the endpoint.
    Cancel {
        /// The attempt; its key is dead.
        attempt: AttemptKey,
        /// The endpoint.
        endpoint: EndpointId,
        /// The request.
        request: RequestId,
        /// The KV cache or stream to cancel, if it is known.
        resource: Option<String>,
    },
    /// Cancel a stream or KV cache that a dead daemon left.
    Reap {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its name.
        stream: String,
        /// Only if it still belongs to this VM.
        vm: VmId,
        /// And to this incarnation.
        incarnation: u64,
    },
    /// Read the endpoint's load and cache events.
    ReadLoad {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// List the endpoint's streams and KV caches.
    ListStreams {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// State what the endpoint shall serve.
    Order {
        /// The endpoint.
        endpoint: EndpointId,
        /// The fencing number.
        fence: u64,
        /// The model's name.
        model: String,
        /// The version.
        version: String,
        /// The adapter; empty for none.
        adapter: String,
        /// The role: `prefill` or `decode`.
        role: &'static str,
    },
}

/// What a prefill or decode endpoint needs to know of a draft. The shell adds the prompt's text and
/// the texts already delivered.
#[derive(Clone, PartialEq, Debug)]
pub struct CompletionCall {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The caller, whose prompt the shell holds.
    pub caller: CallerId,
    /// The request.
    pub request: RequestId,
    /// The attempt's number within its request, from 0.
    pub attempt_number: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Tokens that the caller already has: they are part of the prompt now.
    pub delivered: u32,
    /// Most tokens still to generate.
    pub remaining: u32,
    /// Higher goes first.
    pub priority: u8,
    /// Give up after this.
    pub timeout: Duration,
}

/// Something to count and log. The shell writes one line for each and moves its counters.
#[derive(Clone, PartialEq, Debug)]
pub enum Progress {
    /// A request was accepted.
    Accepted {
        /// The request.
        request: RequestId,
        /// The team.
        team: TeamId,
        /// The entry.
        entry: EntryId,
    },
    /// A request waits for capacity.
    Queued {
        /// The request.
        request: RequestId,
    },
    /// A slot was had.
    Placed {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// What for: `prefill`, `decode`, `plain`.
        role: &'static str,
        /// How long it waited.
        waited: Duration,
    },
    /// A call was refused. `request` is `None` when it was never accepted.
    Refused {
        /// The request.
        request: Option<RequestId>,
        /// The team, when known.
        team: Option<TeamId>,
        /// Why.
        refusal: Refusal,
    },
    /// An attempt is followed by another.
    Retried {
        /// The request.
        request: RequestId,
        /// Why.
        retry: Retry,
        /// When.
        backoff: Duration,
    },
    /// The first token went out.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The entry.
        entry: EntryId,
        /// Since it was accepted.
        ttft: Duration,
    },
    /// Prefill work that no caller received.
    Wasted {
        /// The request.
        request: RequestId,
        /// Why.
        waste: Waste,
        /// Prefill time.
        prefill: Duration,
        /// Generated tokens.
        tokens: u32,
    },
    /// A request ended.
    Settled {
        /// The request.
        request: RequestId,
        /// The team.
        team: TeamId,
        /// The entry.
        entry: EntryId,
        /// How.
        outcome: Outcome,
        /// Since it was accepted.
        duration: Duration,
        /// Prompt tokens charged.
        prompt_tokens: u32,
        /// Generated tokens charged.
        generated_tokens: u32,
        /// Mean time between tokens.
        tbt: Duration,
    },
    /// Anything else worth a line and a counter: membership, catalogue, stewards, orders.
    Note {
        /// A stable name, for example `member_suspect`.
        name: &'static str,
        /// Key=value pairs.
        fields: Vec<(&'static str, String)>,
    },
}
