//! Reasons why a request is refused, retried or wasted, and outcomes of requests. Each has a metric
//! counter.

/// Defines an enum of reasons, each with a stable name for logs, error codes and metric labels.
#[macro_export]
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
        pub enum $name {
            $($(#[$vdoc])* $variant),+
        }

        impl $name {
            /// All variants, in order of declaration.
            pub const ALL: &[$name] = &[$($name::$variant),+];

            /// Returns the stable name, which is used as error code and metric label.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $($name::$variant => $text),+
                }
            }
        }
    };
}

reasons!(
    /// Why a request was refused. Nothing was run for a refused request.
    Refusal {
        /// The call has no key, or one that belongs to no team.
        UnknownKey = "unknown_key",
        /// The team has no entry of this name.
        UnknownModel = "unknown_model",
        /// No service has this path.
        UnknownPath = "unknown_path",
        /// The body is not valid for the API.
        BadRequest = "bad_request",
        /// The body is too large.
        TooLarge = "too_large",
        /// The cursor is forged, damaged or belongs to another team.
        BadCursor = "bad_cursor",
        /// The stream that the cursor names no longer exists.
        StreamGone = "stream_gone",
        /// The entry's limit on requests per second is used up.
        RequestLimit = "request_limit",
        /// The entry's limit on tokens per second is used up.
        TokenLimit = "token_limit",
        /// The entry has too many requests in progress.
        ConcurrentLimit = "concurrent_limit",
        /// The class's latency target can't be met now, and the class does not allow waiting.
        TargetMissed = "target_missed",
        /// The request waited for capacity as long as its class allows.
        WaitTimedOut = "waited_out",
        /// This daemon's queue is full.
        QueueFull = "queue_full",
        /// No endpoint serves the model or service now.
        NoEndpoint = "no_endpoint",
        /// Endpoints refused the request as often as the retry budget allows.
        RetriesExhausted = "retries_spent",
        /// The idempotency key could not be claimed.
        KeyUnclaimed = "key_unclaimed",
        /// The idempotency key belongs to a request that is still running and that the call can't
        /// join.
        KeyRunning = "key_running",
        /// The daemon is shutting down.
        ShuttingDown = "shutting_down",
        /// The daemon has no catalogue yet.
        NotReady = "not_ready",
    }
);

reasons!(
    /// Why an attempt was followed by another one.
    Retry {
        /// The endpoint's owner had no free slot.
        NoSlot = "no_slot",
        /// The endpoint's owner did not answer.
        OwnerSilent = "steward_silent",
        /// The endpoint refused the attempt: it is full, leaving or does not serve the model or
        /// service.
        Refused = "refused",
        /// The endpoint could not be reached; nothing was sent.
        Unreachable = "unreachable",
        /// The prefill failed or its endpoint died.
        PrefillFailed = "prefill_failed",
        /// The KV cache was evicted before the decode endpoint fetched it.
        Evicted = "evicted",
        /// The transfer of the KV cache stalled.
        TransferStalled = "transfer_stalled",
        /// The decode endpoint died in mid-stream; another endpoint continues the stream.
        DecodeDied = "decode_died",
        /// The slot was taken back for a team whose guaranteed share it belongs to.
        Preempted = "preempted",
        /// A repeatable plain call failed.
        PlainFailed = "plain_failed",
    }
);

reasons!(
    /// Why prefill seconds or generated tokens were not charged to any team.
    Waste {
        /// The caller left.
        CallerLeft = "caller_left",
        /// The KV cache was evicted.
        Evicted = "evicted",
        /// The transfer of the KV cache stalled.
        Stalled = "stalled",
        /// The prefill endpoint failed.
        PrefillFailed = "prefill_failed",
        /// The decode endpoint failed.
        DecodeFailed = "decode_failed",
        /// The slot was taken back.
        Preempted = "preempted",
        /// A late or duplicate answer was dropped.
        Duplicate = "duplicate",
    }
);

reasons!(
    /// How a request ended.
    Outcome {
        /// The whole answer was delivered.
        Done = "done",
        /// Nothing was run.
        NotRun = "not_run",
        /// The request may have run, but its answer is not known.
        Unknown = "unknown",
        /// The caller left.
        Abandoned = "abandoned",
    }
);

impl Outcome {
    /// Returns the outcome's code in messages to peers. There, 0 stands for a request that is still
    /// running.
    #[must_use]
    pub fn code(self) -> u32 {
        match self {
            Outcome::Done => 1,
            Outcome::NotRun => 2,
            Outcome::Unknown => 3,
            Outcome::Abandoned => 4,
        }
    }
}

impl Refusal {
    /// Returns whether the same call may succeed later, so that the refusal should carry
    /// `Retry-After`.
    #[must_use]
    pub fn is_temporary(self) -> bool {
        use Refusal::{
            BadCursor, BadRequest, StreamGone, TooLarge, UnknownKey, UnknownModel, UnknownPath,
        };
        !matches!(
            self,
            UnknownKey
                | UnknownModel
                | UnknownPath
                | BadRequest
                | TooLarge
                | BadCursor
                | StreamGone
        )
    }
}
