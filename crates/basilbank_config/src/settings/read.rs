//! Reads a settings file.

use std::net::SocketAddr;

use basilbank_core::tuning::Tuning;

use super::{ApiLimits, LogSettings, SETTINGS, Settings};
use crate::{
    fields::Fields,
    finding::Findings,
    report::{Report, Source},
    syntax,
};

impl Settings {
    /// Reads a settings file's text. `file_name` is what findings call it.
    ///
    /// # Errors
    ///
    /// All that is wrong with the text, at once.
    pub fn parse(file_name: &str, text: &str) -> Result<Settings, Findings> {
        let mut report = Report::new(vec![Source { name: file_name, text }]);
        let root = syntax::root(&mut report, 0);
        let settings = root.map(|root| {
            let fields = Fields::new(&mut report, 0, &SETTINGS, &root);
            read(&mut report, &fields)
        });
        let findings = report.finish();
        settings.filter(|_| findings.errors() == 0).ok_or(findings)
    }
}

fn read(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Settings {
    check_platform(report, fields);
    check_addresses(report, fields);
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
        limits: fields.object(report, "limits").map(|f| read_limits(&f)).unwrap_or_default(),
        log: fields.object(report, "log").map(|f| read_log(&f)).unwrap_or_default(),
        tuning: match fields.object(report, "tuning") {
            Some(tuning) => read_tuning(report, &tuning),
            None => Tuning::default(),
        },
    }
}

fn check_platform(report: &mut Report<'_>, fields: &Fields<'_, '_>) {
    let Some(url) = fields.text("platform") else { return };
    let host = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    if host.is_none_or(|host| host.parse::<SocketAddr>().is_err()) {
        let help = "write http://, an IP number and a port, for example \"http://10.0.0.9:2379\"";
        report.error(fields.spot_of("platform"), "\"platform\" is not a base URL", help);
    }
}

/// Two listeners can't have one address. Callers and admin are both TCP, and peers is TCP and UDP.
fn check_addresses(report: &mut Report<'_>, fields: &Fields<'_, '_>) {
    let names = ["callers", "peers", "admin"];
    for (i, second) in names.iter().enumerate() {
        for first in &names[..i] {
            let (a, b) = (fields.address(first), fields.address(second));
            if a.is_some_and(|a| a.port() != 0) && a == b {
                let message = format!("\"{second}\" has the address of \"{first}\"");
                let (spot, other) = (fields.spot_of(second), fields.spot_of(first));
                report.clash(spot, other, message, "give each its own port");
            }
        }
    }
}

fn read_limits(fields: &Fields<'_, '_>) -> ApiLimits {
    let default = ApiLimits::default();
    ApiLimits {
        body: fields.count("body_bytes").unwrap_or(default.body),
        headers: fields.count("header_bytes").unwrap_or(default.headers),
        connections: fields.count("connections").unwrap_or(default.connections),
        header_timeout: fields.millis("header_timeout_ms").unwrap_or(default.header_timeout),
        body_timeout: fields.millis("body_timeout_ms").unwrap_or(default.body_timeout),
        answer: fields.count("answer_bytes").unwrap_or(default.answer),
        backlog: fields.count("backlog_tokens").unwrap_or(default.backlog),
    }
}

fn read_log(fields: &Fields<'_, '_>) -> LogSettings {
    let level = fields.text("level").map_or(LogSettings::default().level, str::to_owned);
    LogSettings { level, file: fields.text("file").map(str::to_owned) }
}

fn read_tuning(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Tuning {
    let default = Tuning::default();
    let millis = |name, default| fields.millis(name).unwrap_or(default);
    let tuning = Tuning {
        heartbeat: millis("heartbeat_ms", default.heartbeat),
        fan_out: fields.count("fan_out").unwrap_or(default.fan_out),
        dead_after: millis("dead_after_ms", default.dead_after),
        pause: millis("pause_ms", default.pause),
        slot_lease: millis("slot_lease_ms", default.slot_lease),
        peer_timeout: millis("peer_timeout_ms", default.peer_timeout),
        attempts: fields.count("attempts").unwrap_or(default.attempts),
        retry_ratio: fields.number("retry_ratio").unwrap_or(default.retry_ratio),
        backoff: millis("backoff_ms", default.backoff),
        max_backoff: millis("max_backoff_ms", default.max_backoff),
        queue: fields.count("queue").unwrap_or(default.queue),
        key_window: millis("key_window_ms", default.key_window),
        keys: fields.count("keys").unwrap_or(default.keys),
        skew: millis("skew_ms", default.skew),
        load_interval: millis("load_interval_ms", default.load_interval),
        reap_interval: millis("reap_interval_ms", default.reap_interval),
        stream_grace: millis("stream_grace_ms", default.stream_grace),
        unread_limit: millis("unread_limit_ms", default.unread_limit),
        kv_life: millis("kv_life_ms", default.kv_life),
        stall: millis("stall_ms", default.stall),
    };
    check_tuning(report, fields, &tuning);
    tuning
}

fn check_tuning(report: &mut Report<'_>, fields: &Fields<'_, '_>, tuning: &Tuning) {
    if tuning.dead_after < tuning.heartbeat * 3 {
        // With less, one lost heartbeat makes a live daemon count as dead.
        let message = "\"dead_after_ms\" is less than three heartbeats";
        let help = format!("write at least {}", 3 * tuning.heartbeat.as_millis());
        report.error(fields.spot_of("dead_after_ms"), message, help);
    }
    if tuning.max_backoff < tuning.backoff {
        let message = "\"max_backoff_ms\" is less than \"backoff_ms\"";
        let help = format!("write at least {}", tuning.backoff.as_millis());
        report.error(fields.spot_of("max_backoff_ms"), message, help);
    }
}
