//! Attempts whose endpoint has fallen silent.

use std::time::Duration;

use super::Context;
use crate::call::RequestId;

/// Handles an attempt whose endpoint sends nothing and doesn't answer a liveness request.
pub fn handle_silent(_: &mut Context<'_>, _: RequestId, _: u32, _: Duration) {}

/// Handles an attempt whose endpoint has sent something again.
pub fn handle_resumed(_: &mut Context<'_>, _: RequestId, _: u32) {}
