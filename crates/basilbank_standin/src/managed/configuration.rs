//! The operator's configuration on the stand-in of the platform.

use serde_json::{Value, json};

/// The service of plain calls.
pub const DESK: &str = "desk";
/// The service of drafts.
pub const WRITER: &str = "writer";
/// The host of all routes.
pub const HOST: &str = "shop.example";

/// A configuration with the routes of all kinds, and `more` idempotent ones to the plain service:
/// their prefixes. In every other version drafts that may go on are more urgent than those that may
/// not.
#[must_use]
pub fn configuration(version: u64, more: &[&str]) -> Value {
    let has_ranks = version.is_multiple_of(2);
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": prefix.trim_matches('/'), "host": HOST, "prefix": prefix, "kind": kind,
            "service": service, "timeoutMs": 5000, "targetLatencyMs": 300, "targetGapMs": 300,
            "priority": if has_ranks && resumable { 0 } else { 1 }, "maxAttempts": attempts, "resumable": resumable,
        })
    };
    let mut routes = vec![
        route("/stock/", "non_idempotent", DESK, 1, false),
        route("/sheet/", "idempotent", DESK, 2, false),
        route("/draft/", "streaming", WRITER, 2, true),
        route("/once/", "streaming", WRITER, 1, false),
    ];
    routes.extend(more.iter().map(|prefix| route(prefix, "idempotent", DESK, 2, false)));
    json!({
        "version": version, "routes": routes,
        "services": [
            { "name": DESK, "healthPath": "/health", "maxConns": 50 },
            { "name": WRITER, "healthPath": "/health", "maxConns": 50,
              "engine": { "slots": 8, "kvTokens": 100_000, "kvHoldS": 2.0, "switchS": 1.0,
                          "holdMs": 2000.0 } },
        ],
        "limits": { "maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 1000,
                    "idleTimeoutMs": 2000 },
    })
}
