//! Why a request was refused, retried or wasted, and how it ended. Each has a counter.

/// Defines an enum of reasons: each has a stable name for logs, error codes and metric labels.
#[macro_export]
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
        pub enum $name {
            $($(#[$vdoc])* $variant),+
        }

        impl $name {
            /// All of them, in order.
            pub const ALL: &[$name] = &[$($name::$variant),+];

            /// The stable name, used as error code and metric label.
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
    /// Why a request was refused. Nothing of a refused request was run.
    Refusal {
        /// No key, or one that no team has.
        UnknownKey = "unknown_key",
        /// The team has no entry of this name.
        UnknownModel = "unknown_model",
        /// No service has this path.
        UnknownPath = "unknown_path",
        /// The body is not what the API asks for.
        BadRequest = "bad_request",
        /// The body is too large.
        TooLarge = "too_large",
        /// The cursor is forged, damaged or another team's.
        BadCursor = "bad_cursor",
        /// The stream that the cursor names is gone.
        StreamGone = "stream_gone",
        /// The entry's requests a second are used up.
        RequestLimit = "request_limit",
        /// The entry's tokens a second are used up.
        TokenLimit = "token_limit",
        /// The entry has too many requests in progress.
        ConcurrentLimit = "concurrent_limit",
        /// The class's target can't be met now, and the class does not wait.
        TargetMissed = "target_missed",
        /// It waited as long as its class allows.
        WaitTimedOut = "waited_out",
        /// This daemon's queue is full.
        QueueFull = "queue_full",
        /// No endpoint serves this now.
        NoEndpoint = "no_endpoint",
        /// Endpoints refused it as often as the retry budget allows.
        RetriesExhausted = "retries_spent",
        /// The idempotency key could not be claimed.
        KeyUnclaimed = "key_unclaimed",
        /// The idempotency key belongs to a request that still runs and can't be joined.
        KeyRunning = "key_running",
        /// The daemon is shutting down.
        ShuttingDown = "shutting_down",
        /// The daemon has no catalogue yet.
        NotReady = "not_ready",
    }
);

reasons!(
    /// Why an attempt was followed by another.
    Retry {
        /// The steward had no slot.
        NoSlot = "no_slot",
        /// The steward did not answer.
        OwnerSilent = "steward_silent",
        /// The endpoint refused: full, leaving or not serving this.
        Refused = "refused",
        /// The endpoint could not be reached; nothing was sent.
        Unreachable = "unreachable",
        /// The prefill failed or its endpoint died.
        PrefillFailed = "prefill_failed",
        /// The KV cache was evicted before decode took it.
        Evicted = "evicted",
        /// The transfer stalled.
        TransferStalled = "transfer_stalled",
        /// The decode endpoint died part way; the stream goes on elsewhere.
        DecodeDied = "decode_died",
        /// The slot was taken back for a team that is owed it.
        Preempted = "preempted",
        /// A repeatable plain call failed.
        PlainFailed = "plain_failed",
    }
);

reasons!(
    /// Why prefill seconds or generated tokens were not charged to anyone.
    Waste {
        /// The caller left.
        CallerLeft = "caller_left",
        /// The KV cache was evicted.
        Evicted = "evicted",
        /// The transfer stalled.
        Stalled = "stalled",
        /// The prefill endpoint failed.
        PrefillFailed = "prefill_failed",
        /// The decode endpoint failed.
        DecodeFailed = "decode_failed",
        /// The slot was taken back.
        Preempted = "preempted",
        /// A late or doubled answer was dropped.
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
        /// It may have run.
        Unknown = "unknown",
        /// The caller left.
        Abandoned = "abandoned",
    }
);

impl Outcome {
    /// The outcome as peers write it. 0 stands for a request that still runs.
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
    /// Whether the caller should try again, so that `Retry-After` helps.
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
