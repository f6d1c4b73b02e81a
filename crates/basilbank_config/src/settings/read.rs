//! Reads a settings file.

use std::net::SocketAddr;

use basilbank_core::tuning::Tuning;

use super::{ApiLimits, CONNECTION_BYTES, LogSettings, SETTINGS, Settings, default_memory};
use crate::{
    fields::Fields,
    finding::Findings,
    report::{Report, Source},
    syntax,
};

impl Settings {
    /// Parses the text of a settings file. `file_name` is the name used in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is invalid.
    pub fn parse(file_name: &str, text: &str) -> Result<Settings, Findings> {
        let mut report = Report::new(vec![Source { name: file_name, text }]);
        let root = syntax::parse_root(&mut report, 0);
        let settings = root.map(|root| {
            let fields = Fields::new(&mut report, 0, &SETTINGS, &root);
            read_settings(&mut report, &fields)
        });
        let findings = report.finish();
        settings.filter(|_| findings.error_count() == 0).ok_or(findings)
    }
}

fn read_settings(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Settings {
    check_platform(report, fields);
    check_addresses(report, fields);
    check_keys(report, fields);
    let default = Settings::default();
    let text = |name| fields.text(name).unwrap_or_default().to_owned();
    let address = |name, default: SocketAddr| fields.address(name).unwrap_or(default);
    Settings {
        name: text("name"),
        data_centre: text("data_centre"),
        callers: address("callers", default.callers),
        peers: address("peers", default.peers),
        admin: address("admin", default.admin),
        platform: text("platform").trim_end_matches('/').to_owned(),
        peer_key: text("peer_key"),
        admin_key: text("admin_key"),
        limits: match fields.object(report, "limits") {
            Some(limits) => read_limits(report, &limits),
            None => ApiLimits::default(),
        },
        log: fields.object(report, "log").map(|f| read_log(&f)).unwrap_or_default(),
        tuning: match fields.object(report, "tuning") {
            Some(tuning) => read_tuning(report, &tuning),
            None => Tuning::default(),
        },
    }
}

/// Reports a platform URL that isn't `http://` with an IP address and a port.
fn check_platform(report: &mut Report<'_>, fields: &Fields<'_, '_>) {
    let Some(url) = fields.text("platform") else { return };
    let host = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    if host.is_none_or(|host| host.parse::<SocketAddr>().is_err()) {
        let help = "write http://, an IP number and a port, for example \"http://10.0.0.9:2379\"";
        report.error(fields.pos_of("platform"), "\"platform\" is not a base URL", help);
    }
}

/// Reports an admin key that is equal to the peer key. The keys belong to different people: with a
/// shared key, operators could forge messages of daemons and callers' cursors.
fn check_keys(report: &mut Report<'_>, fields: &Fields<'_, '_>) {
    let (peer, admin) = (fields.text("peer_key"), fields.text("admin_key"));
    if peer.is_some() && peer == admin {
        let (pos, other) = (fields.pos_of("admin_key"), fields.pos_of("peer_key"));
        let message = "\"admin_key\" is the same as \"peer_key\"";
        report.conflict(pos, other, message, "write another random text");
    }
}

/// Reports listeners with the same address. `callers` and `admin` listen on TCP, and `peers` on TCP
/// and UDP, so no two of them can share an address.
fn check_addresses(report: &mut Report<'_>, fields: &Fields<'_, '_>) {
    let names = ["callers", "peers", "admin"];
    for (i, second) in names.iter().enumerate() {
        for first in &names[..i] {
            let (a, b) = (fields.address(first), fields.address(second));
            if a.is_some_and(|a| a.port() != 0) && a == b {
                let message = format!("\"{second}\" has the address of \"{first}\"");
                let (pos, other) = (fields.pos_of(second), fields.pos_of(first));
                report.conflict(pos, other, message, "give each its own port");
            }
        }
    }
}

fn read_limits(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> ApiLimits {
    let default = ApiLimits::default();
    let max_body_bytes = fields.integer_as("body_bytes").unwrap_or(default.max_body_bytes);
    let max_connections = fields.integer_as("connections").unwrap_or(default.max_connections);
    let memory = fields.integer_as("memory_bytes");
    let limits = ApiLimits {
        max_body_bytes,
        max_header_bytes: fields.integer_as("header_bytes").unwrap_or(default.max_header_bytes),
        max_connections,
        memory_bytes: memory.unwrap_or_else(|| default_memory(max_connections, max_body_bytes)),
        header_timeout: fields.millis("header_timeout_ms").unwrap_or(default.header_timeout),
        body_timeout: fields.millis("body_timeout_ms").unwrap_or(default.body_timeout),
        max_answer_bytes: fields.integer_as("answer_bytes").unwrap_or(default.max_answer_bytes),
        max_backlog_tokens: fields
            .integer_as("backlog_tokens")
            .unwrap_or(default.max_backlog_tokens),
    };
    check_memory(report, fields, &limits);
    limits
}

/// Reports memory in which not even one body has room beside all connections.
fn check_memory(report: &mut Report<'_>, fields: &Fields<'_, '_>, limits: &ApiLimits) {
    if limits.body_memory() < limits.max_body_bytes {
        let message = "\"memory_bytes\" has no room for a body beside all connections";
        let needed = limits.max_connections * CONNECTION_BYTES + limits.max_body_bytes;
        let help = format!("write {needed} or more, or allow fewer \"connections\"");
        report.error(fields.pos_of("memory_bytes"), message, help);
    }
}

fn read_log(fields: &Fields<'_, '_>) -> LogSettings {
    let level = fields.text("level").map_or(LogSettings::default().level, str::to_owned);
    LogSettings { level, file: fields.text("file").map(str::to_owned) }
}

fn read_tuning(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Tuning {
    let mut tuning = Tuning::default();
    override_if_some(&mut tuning.heartbeat, fields.millis("heartbeat_ms"));
    override_if_some(&mut tuning.fan_out, fields.integer_as("fan_out"));
    override_if_some(&mut tuning.dead_after, fields.millis("dead_after_ms"));
    override_if_some(&mut tuning.pause, fields.millis("pause_ms"));
    override_if_some(&mut tuning.slot_lease, fields.millis("slot_lease_ms"));
    override_if_some(&mut tuning.peer_timeout, fields.millis("peer_timeout_ms"));
    override_if_some(&mut tuning.attempts, fields.integer_as("attempts"));
    override_if_some(&mut tuning.retry_ratio, fields.number("retry_ratio"));
    override_if_some(&mut tuning.backoff, fields.millis("backoff_ms"));
    override_if_some(&mut tuning.max_backoff, fields.millis("max_backoff_ms"));
    override_if_some(&mut tuning.kv_life, fields.millis("kv_life_ms"));
    override_if_some(&mut tuning.stall, fields.millis("stall_ms"));
    override_if_some(&mut tuning.queue, fields.integer_as("queue"));
    override_if_some(&mut tuning.key_window, fields.millis("key_window_ms"));
    override_if_some(&mut tuning.keys, fields.integer_as("keys"));
    override_if_some(&mut tuning.skew, fields.millis("skew_ms"));
    override_if_some(&mut tuning.load_interval, fields.millis("load_interval_ms"));
    override_if_some(&mut tuning.reap_interval, fields.millis("reap_interval_ms"));
    override_if_some(&mut tuning.stream_grace, fields.millis("stream_grace_ms"));
    override_if_some(&mut tuning.unread_limit, fields.millis("unread_limit_ms"));
    check_tuning(report, fields, &tuning);
    tuning
}

/// Replaces `target` if there is a value.
fn override_if_some<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

/// Reports tuning constants that contradict each other.
fn check_tuning(report: &mut Report<'_>, fields: &Fields<'_, '_>, tuning: &Tuning) {
    if tuning.dead_after < tuning.heartbeat * 3 {
        // With a shorter time, one lost heartbeat would make a live daemon count as dead.
        let message = "\"dead_after_ms\" is less than three heartbeats";
        let help = format!("write at least {}", 3 * tuning.heartbeat.as_millis());
        report.error(fields.pos_of("dead_after_ms"), message, help);
    }
    if tuning.max_backoff < tuning.backoff {
        let message = "\"max_backoff_ms\" is less than \"backoff_ms\"";
        let help = format!("write at least {}", tuning.backoff.as_millis());
        report.error(fields.pos_of("max_backoff_ms"), message, help);
    }
}
