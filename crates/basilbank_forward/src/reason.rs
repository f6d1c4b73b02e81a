//! Reasons for refusing, failing or repeating a call. Each has a counter and a stable name.

use basilbank_core::reasons;

reasons!(
    /// Why the router answers a call itself.
    Refusal {
        /// The configuration or the list of endpoints is not known yet.
        NotReady = "not_ready",
        /// The daemon is shutting down, and the call may take longer than that.
        Leaving = "leaving",
        /// No route matches, but a peer has read a newer configuration, which may have one.
        Outdated = "outdated",
        /// No route matches.
        UnknownRoute = "unknown_route",
        /// The caller sent no key, or more than one.
        NoKey = "no_key",
        /// The caller's key belongs to no team.
        UnknownKey = "unknown_key",
        /// The configuration in force may not be the newest, so the key may have been revoked.
        KeysUnconfirmed = "keys_unproved",
        /// The team's quota is used up.
        OverQuota = "over_quota",
        /// No endpoint of the service accepts work.
        NoEndpoint = "no_endpoint",
        /// All endpoints that were tried are full.
        Full = "full",
        /// The retry budget or the route's attempts are used up; nothing was run.
        RetriesExhausted = "retries_spent",
        /// The call's time ran out before anything was run.
        WaitTimedOut = "waited_out",
        /// No memory becomes free before the caller stops waiting, according to the forecast.
        NoRoom = "no_room",
        /// Too many other calls are ahead in the queue.
        QueueFull = "queue_full",
        /// All endpoints have call limits, and other calls go first.
        RateLimited = "limited",
        /// All endpoints of the service have asked this daemon for a pause.
        EndpointsPaused = "paused",
        /// The call continues a stream, and no daemon that answers knows which version of the
        /// endpoints' software began it.
        StreamUnknown = "stream_unknown",
        /// No endpoint has the version that began the stream which the call continues.
        VersionGone = "version_gone",
        /// The call has crashed the endpoints that ran it.
        Quarantined = "quarantined",
        /// The call's time ran out while an endpoint was running it.
        TimedOut = "timed_out",
        /// The daemon's shutdown was over while an endpoint was running the call.
        ShutDown = "shutdown",
        /// An endpoint's answer was lost or damaged; the call may have run.
        Broken = "broken",
    }
);

impl Refusal {
    /// Returns whether nothing was run and nothing will be.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        !matches!(self, Refusal::TimedOut | Refusal::ShutDown | Refusal::Broken)
    }

    /// Returns whether another try would be refused in the same way.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Refusal::NoKey | Refusal::UnknownKey)
    }
}

reasons!(
    /// How it is known which version of the endpoints' software began a stream.
    VersionSource {
        /// This daemon has a record of the stream.
        Record = "record",
        /// A peer has a record of the stream.
        PeerRecord = "peer_record",
        /// This daemon has known one version for long, and its list is current.
        List = "list",
        /// A peer has known one version for long, and this daemon all changes since.
        PeerList = "peer_list",
        /// The list and the store's history account for all endpoints.
        History = "history",
        /// Each list that a daemon may have used assigns the stream to the version.
        Assignment = "assignment",
    }
);

impl VersionSource {
    /// Returns whether it counts only if no peer knows better.
    #[must_use]
    pub fn is_last_resort(self) -> bool {
        matches!(self, VersionSource::History | VersionSource::Assignment)
    }
}

reasons!(
    /// Why it isn't known which version of the endpoints' software began a stream.
    UnknownVersion {
        /// The caller doesn't say which attempt began the stream.
        NotNamed = "not_named",
        /// No endpoint is known.
        NoVersion = "no_version",
        /// Several versions may have begun it.
        SeveralVersions = "several_versions",
        /// The store didn't confirm in time that the list of endpoints is current.
        Unconfirmed = "unconfirmed",
        /// No peer has told which versions there were before this daemon started.
        NoPeer = "no_peer",
        /// The store hasn't told in time which versions there were.
        NoHistory = "no_history",
        /// An endpoint may have gone unseen.
        UnknownPast = "unknown_past",
    }
);

reasons!(
    /// Why an extra call is sent for a request.
    Retry {
        /// The endpoint was full.
        Full = "full",
        /// Another instance has the address now.
        WrongInstance = "wrong_instance",
        /// The endpoint did not run the call for another reason.
        NotRun = "not_run",
        /// No connection could be made.
        Unreachable = "unreachable",
        /// The connection broke, or the answer was damaged.
        Broken = "broken",
        /// No answer came within the answer timeout.
        TimedOut = "silent",
        /// The endpoint answered with a server error.
        ServerError = "server_error",
        /// A second endpoint is asked while the first one is still working.
        Hedge = "hedge",
        /// The KV cache no longer exists.
        KvLost = "kv_gone",
    }
);
