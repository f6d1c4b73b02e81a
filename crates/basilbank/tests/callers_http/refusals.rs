//! Bad input: each kind gets one answer, one code and one count.

use crate::edge::{Edge, config};

#[test]
fn what_is_not_json_is_counted_and_explained() {
    let edge = Edge::start(config());
    let mut client = edge.client();
    client.post("/v1/completions", "Connection: close\r\n", "{");
    let head = client.head();
    assert_eq!(head.status, 400);
    assert!(client.body(&head).contains(r#""code":"bad_json""#));
    assert!(client.is_closed());
    assert_eq!(*edge.refused.lock().unwrap(), ["bad_json"]);
}
