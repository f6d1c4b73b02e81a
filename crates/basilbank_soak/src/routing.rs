//! Configurations with two services for each kind of call, between which routes move.

use basilbank_standin::managed::{DESK, WRITER, configuration as base};
use serde_json::Value;

use crate::plan::Routing;

/// The second service of plain calls.
pub const SECOND_DESK: &str = "second-desk";

/// The second service of streams.
pub const SECOND_WRITER: &str = "second-writer";

/// The configuration of a version, with routes as planned work wants them.
#[must_use]
pub fn configuration(version: u64, routing: Routing) -> Value {
    let mut value = base(version, &[]);
    if let Some(routes) = value["routes"].as_array_mut() {
        routes.retain(|route| route["prefix"].as_str() != routing.dropped);
        routes.iter_mut().for_each(|route| set(route, routing));
    }
    if let Some(services) = value["services"].as_array_mut() {
        let seconds: Vec<_> = services.iter().cloned().map(second).collect();
        services.extend(seconds);
    }
    value
}

fn set(route: &mut Value, routing: Routing) {
    let (timeout, moved, second) = match route["service"].as_str() {
        Some(DESK) => (routing.plain, routing.plain_moved, SECOND_DESK),
        _ => (routing.streams, routing.streams_moved, SECOND_WRITER),
    };
    route["timeoutMs"] = (timeout.as_millis() as u64).into();
    if moved {
        route["service"] = second.into();
    }
}

fn second(mut service: Value) -> Value {
    let name = if service["name"].as_str() == Some(WRITER) { SECOND_WRITER } else { SECOND_DESK };
    service["name"] = name.into();
    service
}
