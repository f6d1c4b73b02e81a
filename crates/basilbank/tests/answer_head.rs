//! Which heads of answers are valid.

use basilbank::answer_head::{HeadFault, check_head};
use hyper::{
    HeaderMap, StatusCode, Version,
    header::{HeaderName, HeaderValue},
};
use test_case::test_case;

fn check(status: u16, version: Version, lines: &[(&str, &str)]) -> Result<(), HeadFault> {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = name.parse::<HeaderName>().expect("a name");
        headers.append(name, value.parse::<HeaderValue>().expect("a value"));
    }
    check_head(StatusCode::from_u16(status).expect("a status"), version, &headers)
}

/// Guards against valid answers that are taken for broken ones.
#[test_case(200, &[]; "neither length nor chunks")]
#[test_case(200, &[("content-length", "0")]; "an empty body")]
#[test_case(500, &[("content-length", "14")]; "a length")]
#[test_case(200, &[("transfer-encoding", "Chunked")]; "chunks")]
#[test_case(204, &[]; "no content")]
#[test_case(204, &[("content-length", "0")]; "no content of no length")]
#[test_case(304, &[("content-length", "14")]; "the length of what was not modified")]
#[test_case(200, &[("set-cookie", "a"), ("set-cookie", "b")]; "another header twice")]
fn a_valid_head_passes(status: u16, lines: &[(&str, &str)]) {
    assert_eq!(check(status, Version::HTTP_11, lines), Ok(()));
}

/// Guards against bodies that are cut or extended, as their head was malformed.
#[test_case(200, &[("content-length", "")]; "an empty length")]
#[test_case(200, &[("content-length", "1x4")]; "no number")]
#[test_case(200, &[("content-length", "+14")]; "a signed length")]
#[test_case(200, &[("content-length", "14, 14")]; "two lengths")]
#[test_case(200, &[("content-length", "14"), ("content-length", "14")]; "two lines of lengths")]
#[test_case(200, &[("content-length", "14"), ("transfer-encoding", "chunked")]; "a length and chunks")]
#[test_case(200, &[("transfer-encoding", "chunkd")]; "an unknown coding")]
#[test_case(200, &[("transfer-encoding", "")]; "an empty coding")]
#[test_case(200, &[("transfer-encoding", "gzip, chunked")]; "a coding before chunks")]
#[test_case(200, &[("transfer-encoding", "chunked, gzip")]; "a coding after chunks")]
#[test_case(200, &[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")]; "codings in two lines")]
#[test_case(204, &[("transfer-encoding", "chunked")]; "no content in chunks")]
#[test_case(204, &[("content-length", "14")]; "no content of a length")]
fn a_head_with_an_invalid_framing_is_a_fault(status: u16, lines: &[(&str, &str)]) {
    assert_eq!(check(status, Version::HTTP_11, lines), Err(HeadFault::Framing));
}

/// Guards against a transfer coding in a version that has none.
#[test]
fn chunks_in_the_first_version_are_a_fault() {
    let lines = [("transfer-encoding", "chunked")];
    assert_eq!(check(200, Version::HTTP_10, &lines), Err(HeadFault::Framing));
}

/// Guards against an invalid status that is passed on.
#[test_case(100)]
#[test_case(101)]
#[test_case(199)]
#[test_case(600)]
#[test_case(999)]
fn a_status_that_is_none_of_a_final_answer_is_a_fault(status: u16) {
    assert_eq!(check(status, Version::HTTP_11, &[]), Err(HeadFault::Status));
}
