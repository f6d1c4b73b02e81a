//! Settings that a daemon reads when it starts.

mod read;
mod schema;

use std::{net::SocketAddr, time::Duration};

use basilbank_core::tuning::Tuning;

pub use self::schema::SETTINGS;

/// A daemon's settings.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// Name of the VM in the platform's list.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address that callers connect to; with port 0 the system chooses a free port.
    pub callers: SocketAddr,
    /// Address for messages from other daemons, over UDP and TCP.
    pub peers: SocketAddr,
    /// Address that operators connect to.
    pub admin: SocketAddr,
    /// Base URL of the platform, for example `http://10.0.0.1:2379`.
    pub platform: String,
    /// Key shared by all daemons, which authenticates their messages and callers' cursors.
    pub peer_key: String,
    /// Bearer key of operators.
    pub admin_key: String,
    /// Limits of the callers' API.
    pub limits: ApiLimits,
    /// Log level and destination.
    pub log: LogSettings,
    /// Tuning constants of the daemon, such as timeouts and intervals.
    pub tuning: Tuning,
}

impl Default for Settings {
    fn default() -> Settings {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            name: String::new(),
            data_centre: String::new(),
            callers: loopback,
            peers: loopback,
            admin: loopback,
            platform: String::new(),
            peer_key: String::new(),
            admin_key: String::new(),
            limits: ApiLimits::default(),
            log: LogSettings::default(),
            tuning: Tuning::default(),
        }
    }
}

/// Limits of the callers' API.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ApiLimits {
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum memory for callers' connections and bodies together, in bytes.
    pub memory_bytes: usize,
    /// Maximum time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Time for a request's body to arrive, beside a second for each 16 KiB of it.
    pub body_timeout: Duration,
    /// Maximum size of a plain service's response in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of tokens buffered for a slow caller.
    pub max_backlog_tokens: usize,
}

/// Memory that a caller's connection takes beside its body: its task and the HTTP library's buffers for a
/// head and what follows it, and as much as its receive buffer may hold unread.
pub const CONNECTION_BYTES: usize = 52 << 10;

/// Memory for bodies if the settings don't state any, in bytes.
const BODY_MEMORY: usize = 24 << 20;

/// Returns the memory for callers' connections and bodies if the settings don't state any.
pub(crate) fn default_memory(max_connections: usize, max_body_bytes: usize) -> usize {
    max_connections * CONNECTION_BYTES + BODY_MEMORY.max(2 * max_body_bytes)
}

impl ApiLimits {
    /// Returns the part of the memory that is for bodies.
    #[must_use]
    pub fn body_memory(&self) -> usize {
        self.memory_bytes.saturating_sub(self.max_connections * CONNECTION_BYTES)
    }
}

impl Default for ApiLimits {
    fn default() -> ApiLimits {
        ApiLimits {
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            max_connections: 1024,
            memory_bytes: default_memory(1024, 1 << 20),
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            max_answer_bytes: 8 << 20,
            max_backlog_tokens: 8192,
        }
    }
}

/// Log level and destination.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LogSettings {
    /// Minimum severity that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// File that the log is appended to; `None` logs to standard error.
    pub file: Option<String>,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { level: "info".to_owned(), file: None }
    }
}
