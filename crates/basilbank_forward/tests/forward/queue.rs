//! Drafts of several services that wait for room.

use basilbank_forward::prelude::*;

use crate::rig::{Rig, WRITER, model, prompt, route, table};

/// Another service of drafts, with its decode endpoint.
const EDITOR: &str = "editor";

fn rig() -> Rig {
    let mut rig = Rig::new();
    let known = table(2);
    let writer = known.services[WRITER].clone();
    let mut routes = known.routes().to_vec();
    routes.push(route("/edit/", RouteKind::Streaming, EDITOR, 1));
    rig.configure(known.with_service(EDITOR, writer).with_routes(routes));
    let editor = |instance, port, stage| EndpointInfo {
        service: EDITOR.to_owned(),
        ..model(instance, port, stage)
    };
    rig.list(vec![
        model("p1", 1, Stage::Prefill),
        model("d1", 2, Stage::Decode),
        editor("p2", 3, Stage::Prefill),
        editor("d2", 4, Stage::Decode),
    ]);
    rig
}

/// Symptom: drafts were refused after they had waited to their deadline, while an endpoint had room.
/// Sequence: two services are full; a draft of the first waits and is due first; the second gets room.
/// Cause: the first draft in the order that found no room ended the round, for all services.
#[test]
fn a_service_that_is_full_does_not_hold_up_another() {
    let mut rig = rig();
    rig.call("/draft/1", 14_000, Some(prompt(9000)));
    let leaves = rig.call("/edit/1", 14_000, Some(prompt(9000)));
    assert_eq!(rig.starts().len(), 2);
    rig.call("/draft/2", 14_000, Some(prompt(9000)));
    rig.pass_ms(10);
    rig.call("/edit/2", 14_000, Some(prompt(9000)));
    assert!(rig.starts().is_empty(), "both wait");
    rig.feed(Event::CallerLeft(leaves));
    assert_eq!(rig.start().target.instance, "d2");
    assert_eq!(rig.state.waiting.len(), 1, "the other one goes on waiting");
}
