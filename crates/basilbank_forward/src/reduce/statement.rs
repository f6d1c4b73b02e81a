//! What endpoints state about themselves in their answers.

use std::time::Duration;

use super::Context;
use crate::{endpoint::EndpointKey, log_line::LogLine};

/// Time for which peers are told to avoid an endpoint whose answers say that it is leaving. Most
/// endpoints are gone by then, and one answer tells each peer itself.
const REPORT_LEAVING_FOR: Duration = Duration::from_secs(30);

/// Marks an endpoint as leaving because its answer says so.
///
/// The mark stays for as long as the incarnation is known. An answer without the statement doesn't
/// take it back, since it may have been on its way for longer, and neither does a record, which is
/// older than the answer while the store is unreachable.
pub fn mark_leaving(ctx: &mut Context<'_>, key: EndpointKey) {
    let now = ctx.now;
    let Some(endpoint) = ctx.state.directory.get_mut(key).filter(|endpoint| !endpoint.leaving)
    else {
        return;
    };
    endpoint.leaving = true;
    // All daemons read the record.
    if !endpoint.info.draining {
        endpoint.avoid_and_report(now + REPORT_LEAVING_FOR);
    }
    let line = LogLine::new("endpoint_leaving").with("instance", &endpoint.info.instance);
    ctx.state.records.record_leaving(&endpoint.info, now);
    ctx.log(line);
    ctx.state.peers.changed = true;
    ctx.state.capacity_changed = true;
}
