//! Which answer belongs to a request.

use basilbank_gateway::belonging::belongs;
use test_case::test_case;

const DUE: Option<&str> = Some("a1");

/// Guards against an answer that is taken for that of a request which it wasn't written for.
#[test_case(DUE, DUE, false, false => true; "the request's own id")]
#[test_case(DUE, Some("a0"), false, false => false; "another id")]
#[test_case(DUE, Some("a0"), true, true => false; "a refusal with another id on a new connection")]
#[test_case(DUE, Some(""), true, true => false; "an empty id")]
#[test_case(DUE, None, false, true => false; "no id on a new connection")]
#[test_case(DUE, None, true, true => true; "a refusal without an id on a new connection")]
#[test_case(DUE, None, true, false => false; "a refusal without an id after another answer")]
#[test_case(None, None, false, false => true; "a request of the router without an id")]
#[test_case(None, DUE, false, true => false; "an id where none was sent")]
fn an_answer_belongs_by_its_id(
    due: Option<&str>,
    came: Option<&str>,
    is_refusal: bool,
    is_first: bool,
) -> bool {
    belongs(due, came, is_refusal, is_first)
}
