//! How long an endpoint says that it keeps a connection open.

use std::time::{Duration, Instant};

use basilbank_gateway::parse_keep_alive;
use hyper::{HeaderMap, header::CONNECTION};
use test_case::test_case;

/// Guards against a time that no clock reaches.
#[test_case("timeout=5", Some(5); "seconds")]
#[test_case("timeout=5, max=100", Some(5); "seconds and calls")]
#[test_case("timeout=18446744073709551615", Some(3600); "longer than any clock")]
#[test_case("timeout=18446744073709551616", None; "no number of seconds")]
#[test_case("max=100", None; "no seconds")]
fn the_time_to_keep_a_connection_is_read(text: &str, seconds: Option<u64>) {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", text.parse().expect("a value"));
    let keep_alive = parse_keep_alive(&headers).expect("an open connection");
    assert_eq!(keep_alive, seconds.map(Duration::from_secs));
    assert!(Instant::now().checked_add(keep_alive.unwrap_or_default()).is_some());
}

#[test]
fn a_connection_that_closes_is_not_kept() {
    let headers = HeaderMap::from_iter([(CONNECTION, "close".parse().expect("a value"))]);
    assert_eq!(parse_keep_alive(&headers), None);
}
