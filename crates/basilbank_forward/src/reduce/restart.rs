//! Corrects what was taken for the version of streams, after an endpoint has started again under its id.
//!
//! Until its new record is read, what the endpoint begins counts as of its former version.

use std::time::Duration;

use super::{Context, keepers};
use crate::{
    call::StreamId,
    endpoint::{EndpointInfo, EndpointKey, SoftwareVersion},
    log_line::LogLine,
};

/// Maximum time by which the clocks of an endpoint and of this daemon may differ.
const CLOCK_SLACK: Duration = Duration::from_secs(5);

/// Corrects the versions of the streams that a record's endpoint has begun since it started again with
/// another version.
pub fn correct_versions(ctx: &mut Context<'_>, former: EndpointKey, record: &EndpointInfo) {
    let state = &mut *ctx.state;
    let Some(former_info) = state.directory.get(former).map(|endpoint| &endpoint.info) else {
        return;
    };
    let after = record.software_version();
    // At another address there was no call of this daemon.
    if former_info.software_version() == after || former_info.addr != record.addr {
        return;
    }
    let slack = CLOCK_SLACK.as_millis() as u64;
    let (now, unix_now) = (ctx.now, state.unix_ms(ctx.now));
    let version = |first_event: Duration| {
        let at = unix_now.saturating_sub(now.saturating_sub(first_event).as_millis() as u64);
        match record.start_time {
            None => Some(SoftwareVersion::UNKNOWN),
            Some(start) if start.saturating_add(slack) <= at => Some(after),
            Some(start) if start <= at.saturating_add(slack) => Some(SoftwareVersion::UNKNOWN),
            Some(_) => None,
        }
    };
    let corrected = state.origins.correct(former, version);
    if corrected.is_empty() {
        return;
    }
    for request in state.requests.values_mut() {
        let began = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
        let stream = began.unwrap_or_else(|| StreamId::of(&request.call.trace_id));
        let new = corrected.iter().find(|(corrected, _)| *corrected == stream);
        if let Some((_, version)) = new.filter(|_| request.pinned.is_some()) {
            request.pinned = Some(*version);
        }
    }
    let line = LogLine::new("stream_versions_corrected")
        .with("instance", &record.instance)
        .with("software", after)
        .with("streams", corrected.len());
    ctx.log(line);
    keepers::announce(ctx, corrected);
}
