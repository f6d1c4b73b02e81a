//! The cases. Each returns whether the rule held.

pub mod answers;
pub mod silence;
pub mod versions;

use std::thread;
use std::time::Duration;

/// A configuration with one route of streams that may be resumed.
pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-n73hh2b","host":"ficu95.example","prefix":"/pufi791/","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"quote-writer","maxAttempts":2,"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"quote-writer","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
