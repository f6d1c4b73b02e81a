//! Why a call was refused, failed or sent again. Each has a counter and a stable name.

use basilbank_core::reasons;

reasons!(
    /// Why a call gets an answer of the router's own.
    Refusal {
        /// No configuration or no list of endpoints is known yet.
        NotReady = "not_ready",
        /// The daemon leaves, and the call may outlast it.
        Leaving = "leaving",
        /// No route matches, but a peer has read a newer configuration, which may have it.
        Outdated = "outdated",
        /// No route matches.
        UnknownRoute = "unknown_route",
        /// The caller has no key, or more than one.
        NoKey = "no_key",
        /// No team has the caller's key.
        UnknownKey = "unknown_key",
        /// The configuration in force may not be the newest: the key may have been taken away.
        KeysUnconfirmed = "keys_unproved",
        /// The team has used its quota up.
        OverQuota = "over_quota",
        /// No endpoint of the service takes work.
        NoEndpoint = "no_endpoint",
        /// Every endpoint that was asked is full.
        Full = "full",
        /// The retry budget or the route's attempts are used up; nothing was run.
        RetriesExhausted = "retries_spent",
        /// The time ran out before anything was run.
        WaitTimedOut = "waited_out",
        /// It waits behind too many others.
        QueueFull = "queue_full",
        /// All endpoints take so many calls only, and others go first.
        RateLimited = "limited",
        /// It has crashed the endpoints that ran it.
        Quarantined = "quarantined",
        /// The time ran out while an endpoint was at work.
        TimedOut = "timed_out",
        /// An endpoint's answer was lost or damaged; it may have run.
        Broken = "broken",
    }
);

impl Refusal {
    /// Nothing was run and nothing will be.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        !matches!(self, Refusal::TimedOut | Refusal::Broken)
    }

    /// Another try would end like this one.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Refusal::NoKey | Refusal::UnknownKey)
    }
}

reasons!(
    /// Why a call is sent again.
    Retry {
        /// The endpoint was full.
        Full = "full",
        /// Another instance has the address.
        WrongInstance = "wrong_instance",
        /// The endpoint did not run it, for another reason.
        NotRun = "not_run",
        /// No connection.
        Unreachable = "unreachable",
        /// The connection broke, or the answer was damaged.
        Broken = "broken",
        /// No answer within the limit of the attempt.
        Silent = "silent",
        /// The endpoint answered with a server error.
        ServerError = "server_error",
        /// A second endpoint is asked while the first one still works.
        Hedge = "hedge",
        /// The KV cache is gone.
        KvGone = "kv_gone",
    }
);
