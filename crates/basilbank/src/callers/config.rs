//! What the callers' server needs to know.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use basilbank_config::ApiLimits;
use basilbank_core::{catalogue::KeyHash, reason::Refusal, time::Clock};

/// Called with the stable name of each refusal that was made before the core heard of the call.
pub type RefusalHook = Arc<dyn Fn(&'static str) + Send + Sync>;

/// The names that a key's team may use in `model`.
///
/// A refusal says why they can't be had. A daemon without a catalogue knows no key; were it to answer
/// that the key is unknown, clients would give up for good.
pub type ModelLookup = Arc<dyn Fn(&KeyHash) -> Result<Vec<String>, Refusal> + Send + Sync>;

/// Settings and hooks of a [`Server`](super::Server).
#[derive(Clone)]
pub struct ServerConfig {
    /// Where to listen; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Limits of sizes, times and numbers.
    pub limits: ApiLimits,
    /// The key that all daemons share; cursors are authenticated with a key derived from it.
    pub peer_key: Vec<u8>,
    /// Counts refusals made at the edge.
    pub refused: RefusalHook,
    /// Answers `GET /v1/models`.
    pub models: ModelLookup,
    /// The time of day, for the `created` field.
    pub clock: Arc<dyn Clock>,
    /// A caller that takes no byte for this long while there are bytes for it is cut off.
    pub write_timeout: Duration,
}

impl ServerConfig {
    /// A configuration with default limits that counts nothing and has no catalogue.
    #[must_use]
    pub fn new(address: SocketAddr, peer_key: &[u8], clock: Arc<dyn Clock>) -> ServerConfig {
        ServerConfig {
            address,
            limits: ApiLimits::default(),
            peer_key: peer_key.to_vec(),
            refused: Arc::new(|_| {}),
            models: Arc::new(|_| Err(Refusal::NotReady)),
            clock,
            write_timeout: Duration::from_secs(30),
        }
    }

    /// Sets the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: ApiLimits) -> ServerConfig {
        self.limits = limits;
        self
    }

    /// Sets the hook that counts refusals made at the edge.
    #[must_use]
    pub fn with_refused(mut self, refused: RefusalHook) -> ServerConfig {
        self.refused = refused;
        self
    }

    /// Sets what answers `GET /v1/models`.
    #[must_use]
    pub fn with_models(mut self, models: ModelLookup) -> ServerConfig {
        self.models = models;
        self
    }

    /// Sets how long a caller may take no byte.
    #[must_use]
    pub fn with_write_timeout(mut self, timeout: Duration) -> ServerConfig {
        self.write_timeout = timeout;
        self
    }
}

impl fmt::Debug for ServerConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = f.debug_struct("ServerConfig");
        fields.field("address", &self.address).field("limits", &self.limits);
        fields.finish_non_exhaustive()
    }
}
