//! Outputs of the reducer: everything that it asks the shell to do.

use std::time::Duration;

use basilbank_wire::{Document, Message};

use crate::{
    ids::{AttemptKey, CallerId, EndpointId, EntryId, RequestId, TeamId, VmId},
    reason::{Outcome, Refusal, Retry, Waste},
};

/// An output of the reducer, for the shell to carry out.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    /// Send an answer to a caller.
    Answer {
        /// Caller to answer.
        caller: CallerId,
        /// Answer to send.
        answer: Answer,
    },
    /// Call an endpoint.
    Engine(EngineCall),
    /// Send a message to a peer. The shell sends large messages over TCP.
    Send {
        /// VM of the peer.
        to: VmId,
        /// Message to send.
        message: Message,
    },
    /// Watch the catalogue on the platform. The platform answers when it changes, or after a while.
    WatchCatalogue {
        /// Revision that the daemon has; 0 if it has none, which reads the complete catalogue.
        after: u64,
    },
    /// Read the VM list from the platform.
    ReadVms,
    /// Check the documents of a catalogue revision and compile them.
    CheckCatalogue {
        /// Revision to check.
        revision: u64,
        /// All documents of that revision.
        documents: Vec<Document>,
    },
    /// Record a step in the log, in the metrics, or in both.
    Progress(Progress),
    /// Exit the process: nothing is left to do.
    Exit,
}

/// An answer, or a part of one, to a caller.
#[derive(Clone, PartialEq, Debug)]
pub enum Answer {
    /// The call was accepted. Nothing is sent to the caller yet.
    Accepted {
        /// Id of the request.
        request: RequestId,
        /// Catalogue entry that the request is charged to.
        entry: EntryId,
    },
    /// Location of the stream, needed to issue cursors for the tokens that follow.
    Located {
        /// Endpoint that holds the stream.
        endpoint: EndpointId,
        /// Name of the stream at that endpoint.
        stream: String,
        /// Offset in the stream of the caller's token 0, from which the offsets of cursors are
        /// computed. It is negative if the stream continues another one.
        base_offset: i64,
    },
    /// Generated tokens. Each token is sent once, and all are sent in order.
    Tokens {
        /// Offset of the first of these tokens in the caller's answer.
        offset: u32,
        /// Text of each token.
        texts: Vec<String>,
    },
    /// The answer is complete.
    Done {
        /// Why generation ended: `stop` or `length`.
        reason: String,
        /// Number of prompt tokens.
        prompt_tokens: u32,
        /// Number of prompt tokens that came from the prefix cache.
        cached_tokens: u32,
        /// Number of generated tokens.
        generated_tokens: u32,
    },
    /// The answer of a plain service, which the shell holds for this attempt.
    Plain {
        /// Attempt that received the answer.
        attempt: AttemptKey,
    },
    /// The call was refused; nothing of it was run.
    Refused {
        /// Reason for the refusal.
        refusal: Refusal,
        /// Time after which another call may succeed.
        retry_after: Option<Duration>,
    },
    /// The call may have run, but it can't be completed.
    Unknown,
}

/// A call to an endpoint. A call that names an attempt ends either in exactly one `Failed` event or
/// in the events of its success.
#[derive(Clone, PartialEq, Debug)]
pub enum EngineCall {
    /// Run a prefill.
    Prefill(CompletionCall),
    /// Import a KV cache and stream the generated tokens.
    Decode {
        /// The completion to decode.
        call: CompletionCall,
        /// Prefill endpoint that holds the KV cache.
        source: EndpointId,
        /// Handle of the KV cache at that endpoint.
        handle: String,
    },
    /// Take an existing stream over and read it.
    Resume {
        /// Attempt that reads the stream.
        attempt: AttemptKey,
        /// Caller that receives the tokens.
        caller: CallerId,
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Endpoint that holds the stream.
        endpoint: EndpointId,
        /// Name of the stream at that endpoint.
        stream: String,
        /// Offset of the first token to read.
        offset: u32,
    },
    /// Call a plain service.
    Plain {
        /// Attempt that makes the call.
        attempt: AttemptKey,
        /// Caller whose method, headers and body the shell holds.
        caller: CallerId,
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Endpoint to call.
        endpoint: EndpointId,
        /// Time limit of the call.
        timeout: Duration,
    },
    /// Stop the calls of an attempt and cancel what it holds at the endpoint.
    Cancel {
        /// The attempt. Its key is no longer valid in the reducer.
        attempt: AttemptKey,
        /// Endpoint where the attempt may hold resources.
        endpoint: EndpointId,
        /// Request that the attempt belongs to.
        request: RequestId,
        /// KV cache handle or stream name to cancel, if known.
        resource: Option<String>,
    },
    /// Cancel a stream or KV cache whose daemon is gone.
    Reap {
        /// Endpoint that holds it.
        endpoint: EndpointId,
        /// Stream name or KV cache handle.
        stream: String,
        /// VM that must still own it; otherwise the endpoint does nothing.
        vm: VmId,
        /// Incarnation that must still own it; otherwise the endpoint does nothing.
        incarnation: u64,
    },
    /// Read the load and the prefix cache events of an endpoint.
    ReadLoad {
        /// Endpoint to read from.
        endpoint: EndpointId,
    },
    /// List the streams and KV caches of an endpoint.
    ListStreams {
        /// Endpoint to read from.
        endpoint: EndpointId,
    },
    /// Tell an endpoint what to serve.
    Order {
        /// Endpoint that receives the order.
        endpoint: EndpointId,
        /// Fencing number of the order.
        fence: u64,
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
        /// Adapter to load; empty for none.
        adapter: String,
        /// Role to take: `prefill` or `decode`.
        role: &'static str,
    },
}

/// What a prefill or decode endpoint needs to know about a completion. The shell adds the text of
/// the prompt and the text that was already delivered.
#[derive(Clone, PartialEq, Debug)]
pub struct CompletionCall {
    /// Attempt that makes the call.
    pub attempt: AttemptKey,
    /// Caller whose prompt the shell holds.
    pub caller: CallerId,
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt_number: u32,
    /// Endpoint to call.
    pub endpoint: EndpointId,
    /// Number of tokens that the caller already has. They are part of the prompt now.
    pub delivered: u32,
    /// Maximum number of tokens still to generate.
    pub remaining: u32,
    /// Priority; the endpoint serves higher values first.
    pub priority: u8,
    /// Time limit of the call.
    pub timeout: Duration,
}

/// A step to count and log. The shell writes one log line for each and updates its counters.
#[derive(Clone, PartialEq, Debug)]
pub enum Progress {
    /// A request was accepted.
    Accepted {
        /// Id of the request.
        request: RequestId,
        /// Team that made the call.
        team: TeamId,
        /// Catalogue entry that the request is charged to.
        entry: EntryId,
    },
    /// A request waits for capacity.
    Queued {
        /// Id of the request.
        request: RequestId,
    },
    /// A slot was granted.
    Placed {
        /// Id of the request.
        request: RequestId,
        /// Endpoint that the slot belongs to.
        endpoint: EndpointId,
        /// Use of the slot: `prefill`, `decode` or `plain`.
        role: &'static str,
        /// Time from the start of the attempt's stage to the grant.
        waited: Duration,
    },
    /// A call was refused.
    Refused {
        /// Id of the request; `None` if the call was never accepted.
        request: Option<RequestId>,
        /// Team that made the call, if known.
        team: Option<TeamId>,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// Another attempt follows a failed one.
    Retried {
        /// Id of the request.
        request: RequestId,
        /// Reason for the retry.
        retry: Retry,
        /// Delay before the next attempt.
        backoff: Duration,
    },
    /// The first token was sent to the caller.
    FirstToken {
        /// Id of the request.
        request: RequestId,
        /// Catalogue entry of the request.
        entry: EntryId,
        /// Time to first token, from the acceptance of the request.
        ttft: Duration,
    },
    /// Work was done that no caller is charged for: a prefill whose result was not used, or tokens
    /// that the caller already had.
    Wasted {
        /// Id of the request.
        request: RequestId,
        /// Why the work was wasted.
        waste: Waste,
        /// Prefill time that was wasted.
        prefill_time: Duration,
        /// Number of generated tokens that were wasted.
        tokens: u32,
    },
    /// A request ended.
    Settled {
        /// Id of the request.
        request: RequestId,
        /// Team that made the call.
        team: TeamId,
        /// Catalogue entry that the request is charged to.
        entry: EntryId,
        /// Outcome of the request.
        outcome: Outcome,
        /// Time from the acceptance of the request to its end.
        duration: Duration,
        /// Number of prompt tokens charged.
        prompt_tokens: u32,
        /// Number of generated tokens charged.
        generated_tokens: u32,
        /// Mean time between two tokens.
        tbt: Duration,
    },
    /// Any other occurrence worth a log line and a counter, such as changes of membership,
    /// catalogue, owners or orders.
    Note {
        /// Stable name, for example `member_suspect`.
        name: &'static str,
        /// Keys and values of the log line.
        fields: Vec<(&'static str, String)>,
    },
}
