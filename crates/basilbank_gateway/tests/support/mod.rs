//! What several tests need.

use basilbank_gateway::{AnswerKind, Dialect, InvalidCall, OutRequest};
use hyper::{Response, StatusCode};

/// A dialect for tests in which no calls are parsed.
pub fn dialect() -> Dialect {
    Dialect {
        parse_call: |_, _| Err(InvalidCall { trace_id: String::new(), reason: "no call" }),
        attempt_request: |_, _, _, _| OutRequest::default(),
        last_event_id: |_| None,
        shorten_deadline: |_, _| {},
        attempt_id: |_| None,
        is_refusal: |_, _| false,
        classify_answer: |_, _: &Response<()>| AnswerKind::Unclear,
        call_limit: |_| None,
        is_leaving: |_| false,
        requested_pause: |_, _| None,
        unread_from_endpoint: |_, _| Vec::new(),
        unread_from_caller: |_| Vec::new(),
        parse_control_answer: |_, _| None,
        free_request: |_| OutRequest::default(),
        release_hold_request: |_| OutRequest::default(),
        liveness_request: |_| OutRequest::default(),
        parse_start_time: |_| None,
        order_request: |_, _, _, _| OutRequest::default(),
        refusal_status: |_| StatusCode::OK,
    }
}
