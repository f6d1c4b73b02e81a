//! What a daemon is told at its start.

mod read;
mod schema;

use std::{net::SocketAddr, time::Duration};

use basilbank_core::tuning::Tuning;

pub use self::schema::SETTINGS;

/// A daemon's settings.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// The VM's name on the platform's list.
    pub name: String,
    /// The data centre that the VM is in.
    pub data_centre: String,
    /// Where callers connect; port 0 lets the system choose.
    pub callers: SocketAddr,
    /// Where peers are heard, by UDP and TCP.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// The platform's base URL, for example `http://10.0.0.1:2379`.
    pub platform: String,
    /// The key that all daemons share, for peers' messages and callers' cursors.
    pub peer_key: String,
    /// The bearer key of operators.
    pub admin_key: String,
    /// Limits of the callers' API.
    pub limits: ApiLimits,
    /// Logs.
    pub log: LogSettings,
    /// Constants of the decisions.
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
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Connections at once.
    pub max_connections: usize,
    /// Time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Time for a request's body to arrive.
    pub body_timeout: Duration,
    /// Bytes of a plain service's answer.
    pub max_answer_bytes: usize,
    /// Tokens that wait for a slow caller.
    pub max_backlog_tokens: usize,
}

impl Default for ApiLimits {
    fn default() -> ApiLimits {
        ApiLimits {
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            max_connections: 1024,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            max_answer_bytes: 8 << 20,
            max_backlog_tokens: 8192,
        }
    }
}

/// Logs.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// A file to append to; standard error when `None`.
    pub file: Option<String>,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { level: "info".to_owned(), file: None }
    }
}
