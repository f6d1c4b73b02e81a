//! The fields of a settings file.

use crate::schema::{Field, Kind, Section};

/// Least characters of a key that processes or people prove themselves by.
const MIN_KEY: usize = 16;

/// Largest size in bytes that a setting may ask for: a VM has little memory.
const MAX_BYTES: u64 = 1 << 30;

/// A settings file.
pub const SETTINGS: Section = Section {
    noun: "settings object",
    fields: &[
        Field::required("name", Kind::Name, "\"entry-1\""),
        Field::required("data_centre", Kind::Name, "\"hall-a\""),
        Field::required("callers", Kind::Address, "\"10.0.0.1:8080\""),
        Field::required("peers", Kind::Address, "\"10.0.0.1:7001\""),
        Field::required("admin", Kind::Address, "\"10.0.0.1:9090\""),
        Field::required("platform", Kind::Text { min: 1 }, "\"http://10.0.0.9:2379\""),
        Field::required("peer_key", Kind::Text { min: MIN_KEY }, "\"a-long-random-text\""),
        Field::required("admin_key", Kind::Text { min: MIN_KEY }, "\"another-random-text\""),
        Field::optional("limits", Kind::Object(&LIMITS), "{}", "{ \"connections\": 2048 }"),
        Field::optional("log", Kind::Object(&LOG), "{}", "{ \"level\": \"debug\" }"),
        Field::optional("tuning", Kind::Object(&TUNING), "{}", "{ \"heartbeat_ms\": 250 }"),
    ],
};

const LIMITS: Section = Section {
    noun: "limits object",
    fields: &[
        Field::optional(
            "body_bytes",
            Kind::Whole { min: 1024, max: MAX_BYTES },
            "1048576",
            "65536",
        ),
        Field::optional("header_bytes", Kind::Whole { min: 8192, max: 1 << 20 }, "16384", "32768"),
        Field::optional("connections", Kind::Whole { min: 1, max: 100_000 }, "1024", "2048"),
        Field::optional("header_timeout_ms", Kind::millis(1), "5000", "2000"),
        Field::optional("body_timeout_ms", Kind::millis(1), "10000", "30000"),
        Field::optional(
            "answer_bytes",
            Kind::Whole { min: 1024, max: MAX_BYTES },
            "8388608",
            "1048576",
        ),
        Field::optional("backlog_tokens", Kind::Whole { min: 1, max: 1 << 20 }, "8192", "1024"),
    ],
};

const LOG: Section = Section {
    noun: "log object",
    fields: &[
        Field::optional(
            "level",
            Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            "\"info\"",
            "\"debug\"",
        ),
        Field::optional("file", Kind::Text { min: 1 }, "standard error", "\"basilbankd.log\""),
    ],
};

const TUNING: Section = Section {
    noun: "tuning object",
    fields: &[
        Field::optional("heartbeat_ms", Kind::millis(10), "250", "500"),
        Field::optional("fan_out", Kind::Whole { min: 1, max: 100 }, "1", "2"),
        Field::optional("dead_after_ms", Kind::millis(20), "4000", "3000"),
        Field::optional("pause_ms", Kind::millis(150), "1000", "2000"),
        Field::optional("slot_lease_ms", Kind::millis(100), "6000", "8000"),
        Field::optional("peer_timeout_ms", Kind::millis(1), "50", "100"),
        Field::optional("attempts", Kind::Whole { min: 1, max: 100 }, "4", "3"),
        Field::optional("retry_ratio", Kind::Number { min: 0.0, max: 1.0 }, "0.2", "0.1"),
        Field::optional("backoff_ms", Kind::millis(1), "10", "20"),
        Field::optional("max_backoff_ms", Kind::millis(1), "500", "1000"),
        Field::optional("queue", Kind::Whole { min: 0, max: 1_000_000 }, "1000", "2000"),
        Field::optional("key_window_ms", Kind::millis(1000), "600000", "900000"),
        Field::optional("keys", Kind::Whole { min: 1, max: 10_000_000 }, "100000", "200000"),
        Field::optional("skew_ms", Kind::millis(0), "5000", "2000"),
        Field::optional("load_interval_ms", Kind::millis(10), "500", "250"),
        Field::optional("reap_interval_ms", Kind::millis(10), "2000", "1000"),
        Field::optional("stream_grace_ms", Kind::millis(10), "10000", "20000"),
        Field::optional("unread_limit_ms", Kind::millis(10), "60000", "120000"),
        Field::optional("kv_life_ms", Kind::millis(1), "800", "1000"),
        Field::optional("stall_ms", Kind::millis(10), "3000", "2000"),
    ],
};
