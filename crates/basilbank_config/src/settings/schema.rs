//! Schema of a settings file.

use crate::schema::{Field, FieldType, ObjectSchema};

/// Minimum length in characters of the keys that authenticate daemons and operators.
const MIN_KEY_CHARS: usize = 16;

/// Maximum for sizes in bytes, because a VM has little memory.
const MAX_SIZE_BYTES: u64 = 1 << 30;

/// Schema of a settings file.
pub const SETTINGS: ObjectSchema = ObjectSchema {
    noun: "settings object",
    fields: &[
        Field::required("name", FieldType::Name, "\"entry-1\"")
            .doc("The VM's name in the platform's list."),
        Field::required("data_centre", FieldType::Name, "\"hall-a\"")
            .doc("The data centre that the VM is in."),
        Field::required("callers", FieldType::Address, "\"10.0.0.1:8080\"")
            .doc("The address that callers connect to."),
        Field::required("peers", FieldType::Address, "\"10.0.0.1:7001\"")
            .doc("The address for messages from other daemons, over UDP and TCP."),
        Field::required("admin", FieldType::Address, "\"10.0.0.1:9090\"")
            .doc("The address that operators connect to."),
        Field::required("platform", FieldType::Text, "\"http://10.0.0.9:2379\"")
            .doc("Base URL of the platform's configuration service."),
        Field::required(
            "peer_key",
            FieldType::Secret { min: MIN_KEY_CHARS },
            "\"a-long-random-text\"",
        )
        .doc("The secret that all daemons of the fleet share."),
        Field::required(
            "admin_key",
            FieldType::Secret { min: MIN_KEY_CHARS },
            "\"another-random-text\"",
        )
        .doc("The bearer key of operators."),
        Field::optional("limits", FieldType::Object(&LIMITS), "{}", "{ \"connections\": 2048 }")
            .doc("Limits of the callers' API."),
        Field::optional("log", FieldType::Object(&LOG), "{}", "{ \"level\": \"debug\" }")
            .doc("Log level and destination."),
        Field::optional("tuning", FieldType::Object(&TUNING), "{}", "{ \"heartbeat_ms\": 500 }")
            .doc("Tuning constants; all daemons of a fleet should have the same values."),
    ],
};

const LIMITS: ObjectSchema = ObjectSchema {
    noun: "limits object",
    fields: &[
        Field::optional(
            "body_bytes",
            FieldType::Integer { min: 1024, max: MAX_SIZE_BYTES },
            "1048576",
            "65536",
        )
        .doc("Largest body of a request."),
        Field::optional(
            "header_bytes",
            FieldType::Integer { min: 8192, max: 1 << 20 },
            "16384",
            "32768",
        )
        .doc("Largest headers of a request."),
        Field::optional("connections", FieldType::Integer { min: 1, max: 100_000 }, "1024", "2048")
            .doc("Maximum number of callers' connections."),
        Field::optional(
            "memory_bytes",
            FieldType::Integer { min: 1 << 20, max: MAX_SIZE_BYTES },
            "79691776",
            "134217728",
        )
        .doc("Memory for callers' connections and bodies together; the default grows with `connections`, by 52 KiB each, and `body_bytes`."),
        Field::optional("header_timeout_ms", FieldType::millis(1), "5000", "2000")
            .doc("Time for a request's headers to arrive."),
        Field::optional("body_timeout_ms", FieldType::millis(1), "10000", "30000")
            .doc("Time for a request's body to arrive, beside a second for each 16 KiB of it."),
        Field::optional(
            "answer_bytes",
            FieldType::Integer { min: 1024, max: MAX_SIZE_BYTES },
            "8388608",
            "1048576",
        )
        .doc("Largest answer of a plain service."),
        Field::optional(
            "backlog_tokens",
            FieldType::Integer { min: 1, max: 1 << 20 },
            "8192",
            "1024",
        )
        .doc("Tokens kept for a caller that reads slowly."),
    ],
};

const LOG: ObjectSchema = ObjectSchema {
    noun: "log object",
    fields: &[
        Field::optional(
            "level",
            FieldType::Choice(&["error", "warn", "info", "debug", "trace"]),
            "\"info\"",
            "\"debug\"",
        )
        .doc("Minimum severity that is logged."),
        Field::optional("file", FieldType::Text, "standard error", "\"basilbankd.log\"")
            .doc("A file to append to."),
    ],
};

const TUNING: ObjectSchema = ObjectSchema {
    noun: "tuning object",
    fields: &[
        Field::optional("heartbeat_ms", FieldType::millis(10), "250", "500")
            .doc("Time between a daemon's heartbeats."),
        Field::optional("fan_out", FieldType::Integer { min: 1, max: 100 }, "1", "3")
            .doc("Peers that each heartbeat goes to."),
        Field::optional("dead_after_ms", FieldType::millis(20), "4000", "3000")
            .doc("Without news for this long a daemon counts as dead; three heartbeats or more."),
        Field::optional("pause_ms", FieldType::millis(150), "1000", "2000")
            .doc("A gap in a daemon's own clock that counts as a pause."),
        Field::optional("slot_lease_ms", FieldType::millis(100), "6000", "8000")
            .doc("How long a slot is leased without renewal."),
        Field::optional("peer_timeout_ms", FieldType::millis(1), "50", "100")
            .doc("Time to wait for a peer's answer before the message is sent again."),
        Field::optional("attempts", FieldType::Integer { min: 1, max: 100 }, "4", "3")
            .doc("Attempts of one request, the first included."),
        Field::optional("retry_ratio", FieldType::Number { min: 0.0, max: 1.0 }, "0.2", "0.1")
            .doc("Retries allowed for each success, over recent requests."),
        Field::optional("backoff_ms", FieldType::millis(1), "10", "20")
            .doc("First backoff; it doubles with each attempt."),
        Field::optional("max_backoff_ms", FieldType::millis(1), "500", "1000")
            .doc("Longest backoff."),
        Field::optional("kv_life_ms", FieldType::millis(10), "800", "500")
            .doc("How long a prefill endpoint keeps a KV cache that no decode endpoint has taken."),
        Field::optional("stall_ms", FieldType::millis(100), "3000", "5000")
            .doc("A stream that gives no token for this long counts as broken."),
        Field::optional("queue", FieldType::Integer { min: 0, max: 1_000_000 }, "1000", "2000")
            .doc("Requests that wait in one daemon."),
        Field::optional("key_window_ms", FieldType::millis(1000), "600000", "900000")
            .doc("How long an idempotency key is remembered."),
        Field::optional("keys", FieldType::Integer { min: 1, max: 10_000_000 }, "100000", "200000")
            .doc("Idempotency keys remembered at once."),
        Field::optional("skew_ms", FieldType::millis(0), "5000", "2000")
            .doc("Clock skew allowed for idempotency keys that carry their time."),
        Field::optional("load_interval_ms", FieldType::millis(10), "500", "250")
            .doc("Time between two reads of an endpoint's load."),
        Field::optional("reap_interval_ms", FieldType::millis(10), "2000", "1000")
            .doc("Time between two lists of an endpoint's streams."),
        Field::optional("stream_grace_ms", FieldType::millis(0), "10000", "20000")
            .doc("How long the unread stream of a daemon that is gone is kept for its caller."),
        Field::optional("unread_limit_ms", FieldType::millis(1000), "60000", "120000")
            .doc("After this long a stream that nobody reads is cancelled, whoever owns it."),
    ],
};
